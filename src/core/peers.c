#include "peers.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "fold.h"
#include "frame.h"
#include "metric.h"
#include "wire.h"

#define PEERS_PING_INTERVAL_US (1 * US_PER_S) /* within a data centre */
/* Interval to a daemon of another data centre. */
#define PEERS_REMOTE_PING_INTERVAL_US (5 * US_PER_S)
/*
 * Silence after which a peer of this data centre is suspect. A peer of another
 * data centre is suspect after three of its ping intervals.
 */
#define PEERS_SUSPECT_AFTER_US (3 * US_PER_S)
/*
 * Silence after which a suspect peer is dead, unless another peer reports it
 * alive.
 */
#define PEERS_DEAD_AFTER_US (10 * US_PER_S)
/* Silence after which a peer that is dead or has left is removed. */
#define PEERS_FORGET_AFTER_US (600 * US_PER_S)
/*
 * With more linked daemons in other data centres than this, only one daemon of
 * this data centre, chosen for each other data centre, pings the daemons there.
 * The others rely on their links.
 */
#define PEERS_REMOTE_DIRECT_MAX 32
#define PEERS_FRAME_IDS_MAX 256 /* ids in one frame */

struct peer_entry {
	/* First member, so that the table can be iterated as struct peer. */
	struct peer p;
	int64_t last_ping_us;
	int64_t indirect_seen_us; /* when another peer last reported it alive */
};

struct peers {
	struct peer *table;
	int64_t next_ping_us;
	uint64_t pings, suspicions, deaths;
};

const char *
peer_state_name(enum peer_state s)
{
	switch (s) {
	case PEER_ALIVE:
		return "alive";
	case PEER_SUSPECT:
		return "suspect";
	case PEER_DEAD:
		return "dead";
	case PEER_LEFT:
		return "left";
	}
	return "none";
}

struct peers *
peers_new(void)
{
	return calloc(1, sizeof(struct peers));
}

static struct peer_entry *
peer_entry(struct peer *p)
{
	return (struct peer_entry *)p;
}

void
peers_free(struct peers *p)
{
	struct peer *q, *tmp;

	if (p == NULL)
		return;
	HASH_ITER(hh, p->table, q, tmp)
	{
		HASH_DEL(p->table, q);
		free(peer_entry(q));
	}
	free(p);
}

static struct peer *
peers_find(const struct peers *p, uint64_t id)
{
	struct peer *q;

	HASH_FIND(hh, p->table, &id, sizeof(id), q);
	return q;
}

static struct peer *
peers_add(struct peers *p, uint64_t id)
{
	struct peer_entry *e;

	e = calloc(1, sizeof(*e));
	if (e == NULL)
		err(1, "cannot add a daemon to the peer table");
	e->p.id = id;
	HASH_ADD(hh, p->table, id, sizeof(e->p.id), &e->p);
	return &e->p;
}

static void
peers_up(struct peers *p, const struct view *v, const struct event *ev)
{
	struct peer *q = peers_find(p, ev->u.peer_up.peer);

	if (q == NULL)
		q = peers_add(p, ev->u.peer_up.peer);
	if (q->incarnation != ev->u.peer_up.incarnation) {
		q->config_version = 0;
		q->fold_next = 0;
	}
	q->incarnation = ev->u.peer_up.incarnation;
	memcpy(q->name, ev->u.peer_up.name, sizeof(q->name));
	memcpy(
	    q->data_centre, ev->u.peer_up.data_centre, sizeof(q->data_centre));
	q->state = PEER_ALIVE;
	q->linked = true;
	q->last_frame_us = v->now_us;
	peer_entry(q)->last_ping_us = 0;
}

static void
peers_down(struct peers *p, const struct event *ev)
{
	struct peer *q = peers_find(p, ev->u.peer_down.peer);

	if (q == NULL || q->incarnation != ev->u.peer_down.incarnation)
		return;
	q->linked = false;
	if (q->state == PEER_ALIVE) {
		q->state = PEER_SUSPECT;
		p->suspicions++;
	}
}

/*
 * Without the log this daemon cannot do the work that it would be responsible
 * for.
 */
static bool
self_ineligible(const struct view *v)
{
	return v->log_down || !v->ready;
}

static bool
id_requested(const msgpack_object_array *ids, uint64_t id)
{
	uint32_t i;

	for (i = 0; ids != NULL && i < ids->size; i++)
		if (ids->ptr[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    ids->ptr[i].via.u64 == id)
			return true;
	return ids == NULL;
}

/*
 * Writes the ids of the peers in a state. Where "ids" is not NULL, only ids
 * that it contains are written.
 */
static void
write_peer_ids(struct wire_writer *w, const char *key, const struct peers *p,
    const msgpack_object_array *ids, enum peer_state state)
{
	const struct peer *q;
	uint32_t n = 0;

	for (q = p->table; q != NULL && n < PEERS_FRAME_IDS_MAX; q = q->hh.next)
		n += q->state == state && id_requested(ids, q->id);
	wire_array(w, key, n);
	for (q = p->table; q != NULL && n > 0; q = q->hh.next) {
		if (q->state != state || !id_requested(ids, q->id))
			continue;
		msgpack_pack_uint64(&w->pk, q->id);
		n--;
	}
}

static bool
peers_any_suspect(const struct peers *p)
{
	const struct peer *q;

	for (q = p->table; q != NULL; q = q->hh.next)
		if (q->state == PEER_SUSPECT)
			return true;
	return false;
}

/*
 * Encodes a PING: log positions, own eligibility and, with "wants_pong", a
 * request for a PONG that reports on the suspected peers.
 */
static struct buf *
ping_encode(const struct peers *p, const struct view *v, bool wants_pong)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, wants_pong ? 5 : 3);
	wire_bool(&w, "un", self_ineligible(v));
	wire_u64(&w, "cv", fold_config_version(v->fold));
	wire_u64(&w, "fn", fold_next(v->fold));
	if (wants_pong) {
		wire_bool(&w, "an", true);
		write_peer_ids(&w, "q", p, NULL, PEER_SUSPECT);
	}
	return wire_writer_finish(&w);
}

/*
 * Encodes a PONG: as a PING, with those peers of the list that are alive here.
 */
static struct buf *
pong_encode(const struct peers *p, const struct view *v,
    const msgpack_object_array *ids)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_bool(&w, "un", self_ineligible(v));
	wire_u64(&w, "cv", fold_config_version(v->fold));
	wire_u64(&w, "fn", fold_next(v->fold));
	write_peer_ids(&w, "h", p, ids, PEER_ALIVE);
	return wire_writer_finish(&w);
}

static void
peers_apply_indirect(
    struct peers *p, const struct view *v, const msgpack_object_array *ids)
{
	struct peer *q;
	uint32_t i;

	for (i = 0; i < ids->size; i++) {
		if (ids->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			continue;
		q = peers_find(p, ids->ptr[i].via.u64);
		if (q != NULL)
			peer_entry(q)->indirect_seen_us = v->now_us;
	}
}

/* Handles a PING or a PONG, and answers where requested. */
static void
peers_handle_ping(struct peers *p, struct peer *q, const struct view *v,
    const struct frame *f, struct effects *fx)
{
	bool wants_pong = false;
	const msgpack_object_array *ids;
	struct wire_reader rd;
	uint64_t value;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (wire_get_u64(rd.root, "cv", &value) && value > q->config_version)
		q->config_version = value;
	if (wire_get_u64(rd.root, "fn", &value) && value > q->fold_next)
		q->fold_next = value;
	q->ineligible = false;
	wire_get_bool(rd.root, "un", &q->ineligible);
	if (wire_get_array(rd.root, "h", &ids))
		peers_apply_indirect(p, v, ids);
	wire_get_bool(rd.root, "an", &wants_pong);
	if (wants_pong && wire_get_array(rd.root, "q", &ids))
		effects_send(fx, q->id, FRAME_PONG, f->request_id,
		    pong_encode(p, v, ids));
	wire_reader_uninit(&rd);
}

static void
peers_frame(struct peers *p, const struct view *v, const struct frame *f,
    struct effects *fx)
{
	struct peer *q = peers_find(p, f->source);

	if (q == NULL || q->incarnation != f->incarnation)
		return;
	q->last_frame_us = v->now_us;
	if (q->state != PEER_LEFT)
		q->state = PEER_ALIVE;
	if (f->kind == FRAME_PING || f->kind == FRAME_PONG)
		peers_handle_ping(p, q, v, f, fx);
	if (f->kind == FRAME_BYE)
		q->state = PEER_LEFT;
}

/*
 * True where this daemon wins the rendezvous hashing over the live, eligible
 * daemons of its data centre.
 */
static bool
peers_is_hash_winner(
    const struct peers *p, const struct view *v, const char *key)
{
	const struct peer *q;
	uint64_t own_score = XXH64(key, strlen(key), v->self), score;

	for (q = p->table; q != NULL; q = q->hh.next) {
		if (!q->linked || q->state != PEER_ALIVE || q->ineligible ||
		    strcmp(q->data_centre, v->data_centre) != 0)
			continue;
		score = XXH64(key, strlen(key), q->id);
		if (score > own_score ||
		    (score == own_score && q->id > v->self))
			return false;
	}
	return true;
}

/*
 * A silent peer becomes suspect. It becomes dead only when no other peer has
 * reported it alive for PEERS_DEAD_AFTER_US either.
 */
static void
peers_update_state(struct peers *p, struct peer *q, const struct view *v)
{
	struct peer_entry *e = peer_entry(q);
	int64_t silent_us = v->now_us - q->last_frame_us;

	if (q->state == PEER_ALIVE && silent_us > PEERS_SUSPECT_AFTER_US &&
	    strcmp(q->data_centre, v->data_centre) == 0) {
		q->state = PEER_SUSPECT;
		p->suspicions++;
	}
	if (q->state == PEER_ALIVE &&
	    silent_us > 3 * PEERS_REMOTE_PING_INTERVAL_US) {
		q->state = PEER_SUSPECT;
		p->suspicions++;
	}
	if (q->state == PEER_SUSPECT && silent_us > PEERS_DEAD_AFTER_US &&
	    v->now_us - e->indirect_seen_us > PEERS_DEAD_AFTER_US) {
		q->state = PEER_DEAD;
		p->deaths++;
	}
	if (q->state >= PEER_DEAD && silent_us > PEERS_FORGET_AFTER_US &&
	    !q->linked) {
		HASH_DEL(p->table, q);
		free(e);
	}
}

static bool
peer_is_remote(const struct peer *q, const struct view *v)
{
	return strcmp(q->data_centre, v->data_centre) != 0;
}

/*
 * True where another daemon of this data centre pings the peer. "sole_pinger"
 * is set where one daemon of this data centre pings it for all; that ping
 * requests a PONG.
 */
static bool
peers_ping_delegated(const struct peers *p, const struct view *v,
    const struct peer *q, bool *sole_pinger)
{
	const struct peer *o;
	char key[NAME_BYTES + 4];
	unsigned remote_count = 0;

	*sole_pinger = false;
	if (!peer_is_remote(q, v))
		return false;
	for (o = p->table; o != NULL; o = o->hh.next)
		remote_count += o->linked && peer_is_remote(o, v);
	*sole_pinger = remote_count > PEERS_REMOTE_DIRECT_MAX;
	if (!*sole_pinger)
		return false;
	snprintf(key, sizeof(key), "far/%s", q->data_centre);
	return !peers_is_hash_winner(p, v, key);
}

static void
peers_tick(struct peers *p, const struct view *v, struct effects *fx)
{
	bool any_suspect = peers_any_suspect(p);
	struct peer *q, *tmp;
	int64_t interval_us;
	bool sole_pinger;

	HASH_ITER(hh, p->table, q, tmp)
	{
		interval_us = strcmp(q->data_centre, v->data_centre) == 0
		    ? PEERS_PING_INTERVAL_US
		    : PEERS_REMOTE_PING_INTERVAL_US;
		if (q->linked &&
		    v->now_us - peer_entry(q)->last_ping_us >= interval_us) {
			peer_entry(q)->last_ping_us = v->now_us;
			if (peers_ping_delegated(p, v, q, &sole_pinger)) {
				/*
				 * Not pinged from here, so silence is no sign
				 * of failure.
				 */
				q->last_frame_us = v->now_us;
				continue;
			}
			effects_send(fx, q->id, FRAME_PING, 0,
			    ping_encode(p, v, any_suspect || sole_pinger));
			p->pings++;
		}
		peers_update_state(p, q, v);
	}
}

static void
peers_send_bye(const struct peers *p, struct effects *fx)
{
	const struct peer *q;
	struct wire_writer w;

	for (q = p->table; q != NULL; q = q->hh.next) {
		if (!q->linked)
			continue;
		wire_writer_init(&w);
		wire_map(&w, 0);
		effects_send(fx, q->id, FRAME_BYE, 0, wire_writer_finish(&w));
	}
}

void
peers_step(struct peers *p, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	switch (ev->kind) {
	case EVENT_PEER_UP:
		peers_up(p, v, ev);
		break;
	case EVENT_PEER_DOWN:
		peers_down(p, ev);
		break;
	case EVENT_PEER_FRAME:
		peers_frame(p, v, ev->u.peer_frame.frame, fx);
		break;
	case EVENT_TICK:
		peers_tick(p, v, fx);
		break;
	case EVENT_STOP:
		peers_send_bye(p, fx);
		break;
	default:
		break;
	}
}

const struct peer *
peers_all(const struct peers *p)
{
	return p->table;
}

const struct peer *
peers_get(const struct peers *p, uint64_t id)
{
	return peers_find(p, id);
}

unsigned
peers_alive_count(const struct peers *p, const char *data_centre)
{
	const struct peer *q;
	unsigned n = 0;

	for (q = p->table; q != NULL; q = q->hh.next)
		n += q->linked && q->state == PEER_ALIVE &&
		    strcmp(q->data_centre, data_centre) == 0;
	return n;
}

bool
peers_is_responsible(
    const struct peers *p, const struct view *v, const char *key)
{
	return !v->stopping && !self_ineligible(v) &&
	    peers_is_hash_winner(p, v, key);
}

struct json_object *
peers_dump(const struct peers *p)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct peer *q;

	for (q = p->table; q != NULL; q = q->hh.next) {
		o = json_object_new_object();
		json_object_object_add(
		    o, "name", json_object_new_string(q->name));
		json_object_object_add(o, "id", json_object_new_uint64(q->id));
		json_object_object_add(
		    o, "incarnation", json_object_new_uint64(q->incarnation));
		json_object_object_add(
		    o, "data_centre", json_object_new_string(q->data_centre));
		json_object_object_add(o, "state",
		    json_object_new_string(peer_state_name(q->state)));
		json_object_object_add(
		    o, "linked", json_object_new_boolean(q->linked));
		json_object_object_add(o, "config_version",
		    json_object_new_uint64(q->config_version));
		json_object_object_add(
		    o, "fold_next", json_object_new_uint64(q->fold_next));
		json_object_array_add(list, o);
	}
	return list;
}

void
peers_metrics(const struct peers *p, struct buf *out)
{
	const struct peer *q;
	int64_t alive = 0;

	for (q = p->table; q != NULL; q = q->hh.next)
		alive += q->linked && q->state == PEER_ALIVE;
	metric_gauge(
	    out, "peers_alive", "Linked peers that answer.", "", alive);
	metric_counter(out, "peer_pings_total", "Pings sent.", "", p->pings);
	metric_counter(out, "peer_suspicions_total",
	    "Times that a peer fell silent.", "", p->suspicions);
	metric_counter(out, "peer_deaths_total",
	    "Times that a silent peer was taken for dead.", "", p->deaths);
}
