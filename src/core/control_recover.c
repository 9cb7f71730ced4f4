/*
 * Recovers a state from a snapshot or a peer.  If the log no longer retains
 * our offset, scans the control stream for the newest snapshot that the
 * retained records continue, and fetches its parts.  At the same time, and
 * also if the log cannot be read at start, requests the state of a peer.  The
 * first state that is complete is adopted.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define RECOVER_SCAN_RETRY_US (2 * US_PER_S) /* after an unsuccessful scan */
#define RECOVER_FETCH_RETRY_US (500 * US_PER_MS) /* after a failed read */
/* Requests for a peer's state while this daemon is ready. */
#define RECOVER_READY_REQUEST_INTERVAL_US (5 * US_PER_S)
/* Requests while not ready; each goes to the next peer. */
#define RECOVER_REQUEST_INTERVAL_US (1 * US_PER_S)
/* A ready daemon requests a state after this time without a log read. */
#define RECOVER_LOG_SILENCE_US (2 * US_PER_S)
/* Time for a start from the log before peers are asked for a state. */
#define RECOVER_START_DELAY_US (300 * US_PER_MS)
#define RECOVER_SEND_INTERVAL_US (1 * US_PER_S) /* minimum, over all peers */

static void
recover_read(struct effects *fx, enum stream s, uint64_t from)
{
	struct effect *x = effects_add(fx, EFFECT_READ);

	x->u.read.stream = s;
	x->u.read.from = from;
}

static void
recover_start_scan(struct control *c, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	memset(&r->best_snapshot, 0, sizeof(r->best_snapshot));
	r->fetching = false;
	r->scanning = true;
	r->scan_offset = r->first_retained_offset;
	c->read_pending = true;
	recover_read(fx, STREAM_CONTROL, r->scan_offset);
}

static void
recover_schedule_scan(struct control *c, const struct view *v)
{
	c->recovery.scanning = false;
	c->recovery.fetching = false;
	c->recovery.next_scan_us = v->now_us + RECOVER_SCAN_RETRY_US;
}

void
control_recover_handle_gap(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_gap.stream == STREAM_SNAPSHOT) {
		if (r->fetching)
			recover_schedule_scan(c, v);
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
	c->last_log_read_us = v->now_us;
	c->first_retained_offset = ev->u.log_gap.first;
	r->gap = true;
	r->first_retained_offset = ev->u.log_gap.first;
	recover_start_scan(c, fx);
}

static void
recover_handle_scan_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;
	struct fold_snapshot s;
	size_t i;

	for (i = 0; i < ev->u.log_batch.count; i++) {
		const struct record *rec = &ev->u.log_batch.records[i];

		if (rec->kind == RECORD_SNAPSHOT &&
		    fold_snapshot_read(&s, rec) &&
		    s.next >= r->first_retained_offset &&
		    s.next > r->best_snapshot.next)
			r->best_snapshot = s;
	}
	r->scan_offset = ev->u.log_batch.next;
	if (r->scan_offset < ev->u.log_batch.tail) {
		c->read_pending = true;
		recover_read(fx, STREAM_CONTROL, r->scan_offset);
		return;
	}
	if (r->best_snapshot.next <= fold_next(v->fold)) {
		effects_log(fx, LOG_LEVEL_ERROR,
		    "event=no-snapshot first=%llu remedy=\"start a daemon of "
		    "this data centre that has the state, or restore the log\"",
		    (unsigned long long)r->first_retained_offset);
		recover_schedule_scan(c, v);
		return;
	}
	r->scanning = false;
	r->fetching = true;
	r->fetch_offset = r->best_snapshot.parts_offset;
	r->fetch_retry_us = 0;
	snapshot_parts_begin(&r->log_parts,
	    &(struct snapshot_head){r->best_snapshot.next,
		r->best_snapshot.hash, r->best_snapshot.len});
	recover_read(fx, STREAM_SNAPSHOT, r->fetch_offset);
}

static void
recover_decode_parts(
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
	fold_free(c->recovery.recovered_fold);
	c->recovery.recovered_fold = f;
}

/* Adds one part from the log; returns true if the state is complete. */
static bool
recover_add_log_part(struct recovery *r, const struct record *rec)
{
	struct wire_reader rd;
	const uint8_t *data;
	uint64_t next, index;
	size_t len;
	bool complete = false;

	if (rec->kind != RECORD_SNAPSHOT ||
	    rec->id.process != r->best_snapshot.process ||
	    rec->id.incarnation != r->best_snapshot.incarnation ||
	    wire_reader_init(&rd, rec->body->data, rec->body->len, NULL) == -1)
		return false;
	if (wire_get_u64(rd.root, "nx", &next) &&
	    next == r->best_snapshot.next &&
	    wire_get_u64(rd.root, "i", &index) &&
	    wire_get_bin(rd.root, "b", &data, &len))
		complete = snapshot_parts_add(&r->log_parts, index, data, len);
	wire_reader_uninit(&rd);
	return complete;
}

static void
recover_handle_parts_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;
	size_t i;

	for (i = 0; i < ev->u.log_batch.count; i++) {
		if (!recover_add_log_part(r, &ev->u.log_batch.records[i]))
			continue;
		recover_schedule_scan(c, v);
		recover_decode_parts(c, &r->log_parts, fx);
		return;
	}
	r->fetch_offset = ev->u.log_batch.next;
	if (r->fetch_offset >= ev->u.log_batch.tail)
		recover_schedule_scan(c, v);
	else
		recover_read(fx, STREAM_SNAPSHOT, r->fetch_offset);
}

bool
control_recover_handle_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_batch.stream == STREAM_SNAPSHOT) {
		if (r->fetching)
			recover_handle_parts_batch(c, v, ev, fx);
		return true;
	}
	if (ev->u.log_batch.stream != STREAM_CONTROL || !r->gap)
		return false;
	c->read_pending = false;
	if (r->scanning)
		recover_handle_scan_batch(c, v, ev, fx);
	return true;
}

void
control_recover_handle_error(
    struct control *c, const struct view *v, const struct event *ev)
{
	struct recovery *r = &c->recovery;

	if (ev->u.log_error.stream == STREAM_SNAPSHOT && r->fetching)
		r->fetch_retry_us = v->now_us + RECOVER_FETCH_RETRY_US;
	if (ev->u.log_error.stream == STREAM_CONTROL && r->scanning)
		recover_schedule_scan(c, v);
}

struct fold *
control_recover_take_fold(struct control *c, const struct fold *f)
{
	struct recovery *r = &c->recovery;
	struct fold *recovered = r->recovered_fold;

	r->recovered_fold = NULL;
	if (recovered == NULL)
		return NULL;
	if (fold_next(recovered) <= fold_next(f) ||
	    fold_config_version(recovered) < fold_config_version(f)) {
		fold_free(recovered);
		return NULL;
	}
	r->gap = false;
	r->scanning = false;
	r->fetching = false;
	return recovered;
}

void
control_recover_free(struct control *c)
{
	snapshot_parts_uninit(&c->recovery.log_parts);
	snapshot_parts_uninit(&c->recovery.peer_parts);
	fold_free(c->recovery.recovered_fold);
}

/* Exchange of states between peers. */

static bool
peer_can_send_state(
    const struct control *c, const struct peer *p, const struct view *v)
{
	if (!p->linked || p->state != PEER_ALIVE)
		return false;
	if (strcmp(p->data_centre, v->data_centre) == 0)
		return true;
	return c->ready && p->fold_next > fold_next(v->fold);
}

/*
 * Next usable peer in order of daemon id after the last one that was asked,
 * or NULL.
 */
static const struct peer *
recover_next_peer(const struct control *c, const struct view *v)
{
	const struct peer *p, *first = NULL, *after = NULL;

	for (p = peers_all(v->peers); p != NULL; p = p->hh.next) {
		if (!peer_can_send_state(c, p, v))
			continue;
		if (first == NULL || p->id < first->id)
			first = p;
		if (p->id > c->recovery.requested_peer &&
		    (after == NULL || p->id < after->id))
			after = p;
	}
	return after != NULL ? after : first;
}

/*
 * True if this daemon cannot read the log and a peer has a newer state.  A
 * ready daemon is on record or counted by a peer, so it may adopt a newer
 * state from any data centre.
 */
static bool
recover_peer_is_ahead(const struct control *c, const struct view *v)
{
	const struct peer *p;

	if (!c->ready || !c->log_down ||
	    v->now_us - c->last_log_read_us < RECOVER_LOG_SILENCE_US)
		return false;
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (peer_can_send_state(c, p, v) &&
		    p->fold_next > fold_next(v->fold))
			return true;
	return false;
}

static bool
recover_needed(const struct control *c, const struct view *v)
{
	if (c->recovery.gap || recover_peer_is_ahead(c, v))
		return true;
	return !c->ready && !v->stopping &&
	    v->now_us - c->start_us > RECOVER_START_DELAY_US &&
	    (c->log_down || !c->catchup_known);
}

static void
recover_request_state(
    struct control *c, const struct view *v, struct effects *fx)
{
	const struct peer *p = recover_next_peer(c, v);
	struct wire_writer w;

	if (p == NULL)
		return;
	c->recovery.requested_peer = p->id;
	c->recovery.next_request_us = v->now_us +
	    (c->ready ? RECOVER_READY_REQUEST_INTERVAL_US
		      : RECOVER_REQUEST_INTERVAL_US);
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

	if (r->gap && !r->scanning && !r->fetching &&
	    v->now_us >= r->next_scan_us)
		recover_start_scan(c, fx);
	if (r->fetching && r->fetch_retry_us != 0 &&
	    v->now_us >= r->fetch_retry_us) {
		r->fetch_retry_us = 0;
		recover_read(fx, STREAM_SNAPSHOT, r->fetch_offset);
	}
	if (recover_needed(c, v) && v->now_us >= r->next_request_us)
		recover_request_state(c, v, fx);
}

/*
 * Notes that the sender of a state request is joining, unless it is on
 * record.  From now on our acknowledgements wait for its own.
 */
static void
joining_daemon_add(
    struct control *c, const struct view *v, const struct frame *f)
{
	const struct fold_daemon *d = fold_daemon(v->fold, f->source);
	struct joining_daemon *j;

	if (d != NULL && d->incarnation == f->incarnation)
		return;
	HASH_FIND(hh, c->joining_daemons, &f->source, sizeof(f->source), j);
	if (j == NULL) {
		j = calloc(1, sizeof(*j));
		if (j == NULL)
			err(1, "control");
		j->instance.process = f->source;
		HASH_ADD(hh, c->joining_daemons, instance.process,
		    sizeof(uint64_t), j);
	}
	j->instance.incarnation = f->incarnation;
	j->state_offset = fold_next(v->fold);
}

static void
recover_send_state(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx)
{
	const struct peer *p = peers_get(v->peers, f->source);
	struct snapshot_head head;
	struct wire_writer w;
	const uint8_t *part;
	struct buf *state;
	uint32_t i, count;
	size_t len;

	if (p == NULL || !v->ready || v->stopping ||
	    v->now_us - c->last_state_sent_us < RECOVER_SEND_INTERVAL_US)
		return;
	c->last_state_sent_us = v->now_us;
	if (strcmp(p->data_centre, v->data_centre) == 0)
		joining_daemon_add(c, v, f);
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

/*
 * True if the peer waits for our acknowledgements after it sent its state;
 * only peers of our own data centre do.
 */
static bool
recover_peer_counts_us(const struct view *v, uint64_t peer)
{
	const struct peer *p = peers_get(v->peers, peer);

	return p != NULL && strcmp(p->data_centre, v->data_centre) == 0;
}

static void
recover_add_peer_part(struct control *c, const struct view *v,
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
	if (r->parts_peer != f->source ||
	    r->peer_parts.head.hash != head.hash) {
		if (snapshot_parts_begin(&r->peer_parts, &head) == -1)
			return;
		r->parts_peer = f->source;
	}
	if (!snapshot_parts_add(&r->peer_parts, index, data, len))
		return;
	recover_decode_parts(c, &r->peer_parts, fx);
	if (r->recovered_fold != NULL)
		c->counted_by_peer |= recover_peer_counts_us(v, f->source);
}

void
control_recover_handle_frame(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx)
{
	struct wire_reader rd;
	uint64_t next;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_STATE_REQUEST &&
	    wire_get_u64(rd.root, "nx", &next) && next < fold_next(v->fold))
		recover_send_state(c, v, f, fx);
	if (f->kind == FRAME_STATE_CHUNK && recover_needed(c, v))
		recover_add_peer_part(c, v, f, rd.root, fx);
	wire_reader_uninit(&rd);
}
