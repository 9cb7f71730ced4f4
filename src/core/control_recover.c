/*
 * A state from elsewhere.  Where the log no longer holds our offset, the
 * newest snapshot that the retained records continue is looked up and fetched;
 * a peer of the data centre is asked at the same time, and also where the
 * platform is down at our start.  Whichever is complete first is used.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define RECOVER_SCAN_US (2 * US_PER_S) /* between two scans without success */
#define RECOVER_FETCH_US (500 * US_PER_MS) /* after a failed read */
#define RECOVER_AGAIN_US (5 * US_PER_S) /* where we serve meanwhile */
#define RECOVER_ASK_US (1 * US_PER_S) /* between two peers */
#define RECOVER_BEHIND_US (2 * US_PER_S) /* the log was not read so long */
#define RECOVER_START_US (300 * US_PER_MS) /* a start may take so long */
#define RECOVER_HAND_US (1 * US_PER_S) /* between two states handed out */

static void
recover_read(struct effects *fx, enum stream s, uint64_t from)
{
	struct effect *x = effects_add(fx, EFFECT_READ);

	x->u.read.stream = s;
	x->u.read.from = from;
}

static void
recover_scan(struct control *c, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	memset(&r->found, 0, sizeof(r->found));
	r->fetching = false;
	r->scanning = true;
	r->scan_next = r->first;
	c->reading = true;
	recover_read(fx, STREAM_CONTROL, r->scan_next);
}

static void
recover_rest(struct control *c, const struct view *v)
{
	c->recovery.scanning = false;
	c->recovery.fetching = false;
	c->recovery.scan_us = v->now_us + RECOVER_SCAN_US;
}

void
control_recover_gap(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_gap.stream == STREAM_SNAPSHOT) {
		if (r->fetching)
			recover_rest(c, v);
		return;
	}
	if (ev->u.log_gap.stream != STREAM_CONTROL)
		return;
	if (!r->gap)
		effects_log(fx, LOG_LEVEL_WARN,
		    "event=log-gap next=%llu first=%llu remedy=\"none needed "
		    "while a peer or a snapshot is there\"",
		    (unsigned long long)fold_next(v->fold),
		    (unsigned long long)ev->u.log_gap.first);
	c->log_gaps++;
	c->log_down = false;
	c->log_read_us = v->now_us;
	c->first_retained = ev->u.log_gap.first;
	r->gap = true;
	r->first = ev->u.log_gap.first;
	recover_scan(c, fx);
}

static void
recover_scan_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;
	struct fold_snapshot s;
	size_t i;

	for (i = 0; i < ev->u.log_batch.count; i++) {
		const struct record *rec = &ev->u.log_batch.records[i];

		if (rec->kind == RECORD_SNAPSHOT &&
		    fold_snapshot_read(&s, rec) && s.next >= r->first &&
		    s.next > r->found.next)
			r->found = s;
	}
	r->scan_next = ev->u.log_batch.next;
	if (r->scan_next < ev->u.log_batch.tail) {
		c->reading = true;
		recover_read(fx, STREAM_CONTROL, r->scan_next);
		return;
	}
	if (r->found.next <= fold_next(v->fold)) {
		effects_log(fx, LOG_LEVEL_ERROR,
		    "event=no-snapshot first=%llu remedy=\"start a daemon of "
		    "this data centre that has the state, or restore the log\"",
		    (unsigned long long)r->first);
		recover_rest(c, v);
		return;
	}
	r->scanning = false;
	r->fetching = true;
	r->fetch_next = r->found.parts_offset;
	r->fetch_us = 0;
	snapshot_parts_begin(&r->parts,
	    &(struct snapshot_head){
		r->found.next, r->found.hash, r->found.len});
	recover_read(fx, STREAM_SNAPSHOT, r->fetch_next);
}

static void
recover_complete(
    struct control *c, struct snapshot_parts *p, struct effects *fx)
{
	struct err e = {0};
	struct fold *f = snapshot_parts_decode(p, &e);

	if (f == NULL)
		effects_log(fx, LOG_LEVEL_ERROR,
		    "event=bad-state error=\"%s\" remedy=\"%s\"", e.message,
		    e.remedy);
	snapshot_parts_uninit(p);
	if (f == NULL)
		return;
	fold_free(c->recovery.fold);
	c->recovery.fold = f;
}

/* Adds one part from the log; true once the state is complete. */
static bool
recover_part(struct recovery *r, const struct record *rec)
{
	struct wire_reader rd;
	const uint8_t *data;
	uint64_t next, index;
	size_t len;
	bool whole = false;

	if (rec->kind != RECORD_SNAPSHOT ||
	    rec->id.process != r->found.process ||
	    rec->id.incarnation != r->found.incarnation ||
	    wire_reader_init(&rd, rec->body->data, rec->body->len, NULL) == -1)
		return false;
	if (wire_get_u64(rd.root, "nx", &next) && next == r->found.next &&
	    wire_get_u64(rd.root, "i", &index) &&
	    wire_get_bin(rd.root, "b", &data, &len))
		whole = snapshot_parts_add(&r->parts, index, data, len);
	wire_reader_uninit(&rd);
	return whole;
}

static void
recover_fetch_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;
	size_t i;

	for (i = 0; i < ev->u.log_batch.count; i++) {
		if (!recover_part(r, &ev->u.log_batch.records[i]))
			continue;
		recover_rest(c, v);
		recover_complete(c, &r->parts, fx);
		return;
	}
	r->fetch_next = ev->u.log_batch.next;
	if (r->fetch_next >= ev->u.log_batch.tail)
		recover_rest(c, v);
	else
		recover_read(fx, STREAM_SNAPSHOT, r->fetch_next);
}

bool
control_recover_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_batch.stream == STREAM_SNAPSHOT) {
		if (r->fetching)
			recover_fetch_batch(c, v, ev, fx);
		return true;
	}
	if (ev->u.log_batch.stream != STREAM_CONTROL || !r->gap)
		return false;
	c->reading = false;
	if (r->scanning)
		recover_scan_batch(c, v, ev, fx);
	return true;
}

void
control_recover_error(
    struct control *c, const struct view *v, const struct event *ev)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_error.stream == STREAM_SNAPSHOT && r->fetching)
		r->fetch_us = v->now_us + RECOVER_FETCH_US;
	if (ev->u.log_error.stream == STREAM_CONTROL && r->scanning)
		recover_rest(c, v);
}

struct fold *
control_recover_take(struct control *c, const struct fold *f)
{
	struct recovery *r = &c->recovery;
	struct fold *got = r->fold;

	r->fold = NULL;
	if (got == NULL)
		return NULL;
	if (fold_next(got) <= fold_next(f) ||
	    fold_config_version(got) < fold_config_version(f)) {
		fold_free(got);
		return NULL;
	}
	r->gap = false;
	r->scanning = false;
	r->fetching = false;
	return got;
}

void
control_recover_free(struct control *c)
{
	snapshot_parts_uninit(&c->recovery.parts);
	snapshot_parts_uninit(&c->recovery.peer_parts);
	fold_free(c->recovery.fold);
}

/* Between peers. */

static bool
peer_can_help(
    const struct control *c, const struct peer *p, const struct view *v)
{
	if (!p->linked || p->state != PEER_ALIVE)
		return false;
	if (strcmp(p->data_centre, v->data_centre) == 0)
		return true;
	return c->ready && p->fold_next > fold_next(v->fold);
}

/* The peers of the data centre in turn. */
static const struct peer *
recover_next_peer(const struct control *c, const struct view *v)
{
	const struct peer *p, *first = NULL, *after = NULL;

	for (p = peers_all(v->peers); p != NULL; p = p->hh.next) {
		if (!peer_can_help(c, p, v))
			continue;
		if (first == NULL || p->id < first->id)
			first = p;
		if (p->id > c->recovery.asked &&
		    (after == NULL || p->id < after->id))
			after = p;
	}
	return after != NULL ? after : first;
}

/*
 * Where only we cannot read the log, peers know newer texts: whoever is on
 * record, or counted by a peer, may take a later state from anywhere.
 */
static bool
recover_behind(const struct control *c, const struct view *v)
{
	const struct peer *p;

	if (!c->ready || !c->log_down ||
	    v->now_us - c->log_read_us < RECOVER_BEHIND_US)
		return false;
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (peer_can_help(c, p, v) && p->fold_next > fold_next(v->fold))
			return true;
	return false;
}

static bool
recover_wanted(const struct control *c, const struct view *v)
{
	if (c->recovery.gap || recover_behind(c, v))
		return true;
	return !c->ready && !v->stopping &&
	    v->now_us - c->start_us > RECOVER_START_US &&
	    (c->log_down || !c->goal_known);
}

static void
recover_ask(struct control *c, const struct view *v, struct effects *fx)
{
	const struct peer *p = recover_next_peer(c, v);
	struct wire_writer w;

	if (p == NULL)
		return;
	c->recovery.asked = p->id;
	c->recovery.ask_us =
	    v->now_us + (c->ready ? RECOVER_AGAIN_US : RECOVER_ASK_US);
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_u64(&w, "nx", fold_next(v->fold));
	effects_send(fx, p->id, FRAME_STATE_REQUEST, 0, wire_writer_finish(&w));
}

void
control_recover_tick(
    struct control *c, const struct view *v, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	if (r->gap && !r->scanning && !r->fetching && v->now_us >= r->scan_us)
		recover_scan(c, fx);
	if (r->fetching && r->fetch_us != 0 && v->now_us >= r->fetch_us) {
		r->fetch_us = 0;
		recover_read(fx, STREAM_SNAPSHOT, r->fetch_next);
	}
	if (recover_wanted(c, v) && v->now_us >= r->ask_us)
		recover_ask(c, v, fx);
}

/* From now on our own acknowledgements wait for the newcomer's. */
static void
sponsor(struct control *c, const struct view *v, const struct frame *f)
{
	const struct fold_daemon *d = fold_daemon(v->fold, f->source);
	struct sponsored *s;

	if (d != NULL && d->incarnation == f->incarnation)
		return;
	HASH_FIND(hh, c->sponsored, &f->source, sizeof(f->source), s);
	if (s == NULL) {
		s = calloc(1, sizeof(*s));
		if (s == NULL)
			err(1, "control");
		s->life.process = f->source;
		HASH_ADD(hh, c->sponsored, life.process, sizeof(uint64_t), s);
	}
	s->life.incarnation = f->incarnation;
	s->since = fold_next(v->fold);
}

static void
recover_hand_out(struct control *c, const struct view *v, const struct frame *f,
    struct effects *fx)
{
	const struct peer *p = peers_get(v->peers, f->source);
	struct snapshot_head head;
	struct wire_writer w;
	const uint8_t *part;
	struct buf *state;
	uint32_t i, count;
	size_t len;

	if (p == NULL || !v->ready || v->stopping ||
	    v->now_us - c->handed_us < RECOVER_HAND_US)
		return;
	c->handed_us = v->now_us;
	if (strcmp(p->data_centre, v->data_centre) == 0)
		sponsor(c, v, f);
	state = fold_encode(v->fold);
	snapshot_head_init(&head, v->fold, state);
	count = snapshot_part_count(state->len);
	for (i = 0; i < count; i++) {
		part = snapshot_part(state, i, &len);
		wire_writer_init(&w);
		wire_map(&w, 5);
		wire_u64(&w, "nx", head.next);
		wire_u64(&w, "h", head.hash);
		wire_u64(&w, "len", head.len);
		wire_u64(&w, "i", i);
		wire_bin(&w, "b", part, len);
		effects_send(fx, f->source, FRAME_STATE_CHUNK, 0,
		    wire_writer_finish(&w));
	}
	buf_unref(state);
}

/* Only a peer of our own data centre counts us among those that must ack. */
static bool
recover_sponsor(const struct view *v, uint64_t peer)
{
	const struct peer *p = peers_get(v->peers, peer);

	return p != NULL && strcmp(p->data_centre, v->data_centre) == 0;
}

static void
recover_peer_part(struct control *c, const struct view *v,
    const struct frame *f, const msgpack_object *map, struct effects *fx)
{
	struct recovery *r = &c->recovery;
	struct snapshot_head head;
	const uint8_t *data;
	uint64_t index;
	size_t len;

	if (!wire_get_u64(map, "nx", &head.next) ||
	    !wire_get_u64(map, "h", &head.hash) ||
	    !wire_get_u64(map, "len", &head.len) ||
	    !wire_get_u64(map, "i", &index) ||
	    !wire_get_bin(map, "b", &data, &len) ||
	    head.next <= fold_next(v->fold))
		return;
	if (r->peer != f->source || r->peer_parts.head.hash != head.hash) {
		if (snapshot_parts_begin(&r->peer_parts, &head) == -1)
			return;
		r->peer = f->source;
	}
	if (!snapshot_parts_add(&r->peer_parts, index, data, len))
		return;
	recover_complete(c, &r->peer_parts, fx);
	if (r->fold != NULL)
		c->sponsored_by_peer |= recover_sponsor(v, f->source);
}

void
control_recover_frame(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx)
{
	struct wire_reader rd;
	uint64_t next;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_STATE_REQUEST &&
	    wire_get_u64(rd.root, "nx", &next) && next < fold_next(v->fold))
		recover_hand_out(c, v, f, fx);
	if (f->kind == FRAME_STATE_CHUNK && recover_wanted(c, v))
		recover_peer_part(c, v, f, rd.root, fx);
	wire_reader_uninit(&rd);
}
