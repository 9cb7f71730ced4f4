#include "path_share.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "peers.h"
#include "wire.h"

#define STATUS_INTERVAL_US (450 * US_PER_MS) /* three in each lease */
#define STATUS_FAST_INTERVAL_US (100 * US_PER_MS) /* while something changes \
						   */
/* A promise is kept a tenth longer than the other counts on it. */
#define LEASE_GRANT_US (SHARE_LEASE_US + SHARE_LEASE_US / 10)

void
share_init(struct share *s)
{
	memset(s, 0, sizeof(*s));
	s->started_us = -1;
	s->version = 1;
}

bool
share_set_has(const struct share_set *set, uint64_t id)
{
	unsigned i;

	for (i = 0; i < set->count; i++) {
		if (set->ids[i] == id)
			return true;
	}
	return false;
}

bool
share_acked_since(const struct share *s, int64_t t_us)
{
	unsigned i;

	for (i = 0; i < s->peer_count; i++) {
		if (s->peers[i].acked_us >= t_us)
			return true;
	}
	return false;
}

static void
share_set_add(struct share_set *set, uint64_t id)
{
	unsigned i;

	if (set->count == SHARE_DAEMONS_MAX || share_set_has(set, id))
		return;
	for (i = set->count++; i > 0 && set->ids[i - 1] > id; i--)
		set->ids[i] = set->ids[i - 1];
	set->ids[i] = id;
	set->hash = XXH64(set->ids, set->count * sizeof(set->ids[0]), 1);
}

static struct share_peer *
share_peer(struct share *s, uint64_t id)
{
	unsigned i;

	for (i = 0; i < s->peer_count; i++) {
		if (s->peers[i].id == id)
			return &s->peers[i];
	}
	return NULL;
}

/* Leases that a daemon of a set of n needs so that no majority excludes it. */
static unsigned
leases_needed(unsigned n)
{
	return n < 2 ? 0 : n - 1 - n / 2;
}

static void
peer_reset(struct share_peer *q, uint64_t id, uint64_t incarnation)
{
	int64_t promised = q->id == id ? q->lease_granted_until_us : 0;
	int64_t barred = q->id == id ? q->lease_blocked_until_us : 0;

	memset(q, 0, sizeof(*q));
	q->id = id;
	q->incarnation = incarnation;
	q->lease_granted_until_us = promised;
	q->lease_blocked_until_us = barred;
	q->status_sent_us = INT64_MIN / 2;
}

static void
share_sync_peer(
    struct share *s, const struct view *v, const struct fold_daemon *d)
{
	struct share_peer *q = share_peer(s, d->process);

	if (q == NULL) {
		if (s->peer_count == SHARE_DAEMONS_MAX)
			return;
		q = &s->peers[s->peer_count++];
		memset(q, 0, sizeof(*q));
		peer_reset(q, d->process, d->incarnation);
		q->last_status_us = v->now_us;
		return;
	}
	if (q->incarnation != d->incarnation) {
		peer_reset(q, d->process, d->incarnation);
		q->last_status_us = v->now_us;
	}
}

static void
share_drop_peers(struct share *s)
{
	unsigned i = 0;

	while (i < s->peer_count) {
		if (share_set_has(&s->target, s->peers[i].id)) {
			i++;
			continue;
		}
		s->peers[i] = s->peers[--s->peer_count];
	}
}

/* Agreement on a new set. */

/* Every other one has agreed, or can't but have folded the set before. */
static bool
target_is_agreed(const struct share *s, const struct view *v)
{
	const struct fold_daemon *d, *e;
	const struct share_peer *q;
	unsigned i;

	for (i = 0; i < s->peer_count; i++) {
		q = &s->peers[i];
		if (q->agreed_hash == s->target.hash)
			continue;
		if (!s->restarted || s->active.count > 0 ||
		    v->now_us - s->started_us <
			(LOAN_LEASE_US + LEASE_GRANT_US +
			    s->longest_attempt_us) *
			    2)
			return false;
		d = fold_daemon(v->fold, q->id);
		for (e = fold_daemons(v->fold); e != NULL; e = e->hh.next) {
			if (share_set_has(&s->target, e->process) &&
			    e->process != v->self && d != NULL &&
			    e->joined > d->joined)
				return false;
		}
	}
	return true;
}

static void
share_adopt_target(struct share *s, const struct view *v)
{
	if (s->target.count == 0 || s->active.hash == s->target.hash)
		return;
	if (!target_is_agreed(s, v))
		return;
	s->active = s->target;
	s->version++;
}

void
share_sync(struct share *s, const struct view *v)
{
	const struct fold_daemon *d, *own;
	struct share_set next = {0};

	if (s->started_us < 0)
		s->started_us = v->now_us;
	own = fold_daemon(v->fold, v->self);
	if (own != NULL && own->incarnation != v->incarnation)
		s->restarted = true;
	if (own == NULL || own->incarnation != v->incarnation) {
		s->version += s->target.count > 0;
		memset(&s->target, 0, sizeof(s->target)); /* no share at all */
		return;
	}
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (strcmp(d->data_centre, v->data_centre) == 0)
			share_set_add(&next, d->process);
	}
	s->version += next.hash != s->target.hash;
	s->target = next;
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (share_set_has(&next, d->process) && d->process != v->self)
			share_sync_peer(s, v, d);
	}
	share_drop_peers(s);
	/* Nobody else has to agree: requests don't wait for a tick. */
	if (s->peer_count == 0)
		share_adopt_target(s, v);
}

/* The nth-largest of the others' leases; a set that needs none: always. */
static int64_t
set_leases_until(const struct share *s, const struct share_set *set)
{
	unsigned need = leases_needed(set->count), i, j, count = 0;
	int64_t list[SHARE_DAEMONS_MAX], t;

	if (need == 0)
		return INT64_MAX;
	for (i = 0; i < s->peer_count; i++) {
		if (!share_set_has(set, s->peers[i].id))
			continue;
		t = s->peers[i].lease_held_until_us;
		for (j = count++; j > 0 && list[j - 1] < t; j--)
			list[j] = list[j - 1];
		list[j] = t;
	}
	return count < need ? 0 : list[need - 1];
}

int64_t
share_leases_until(const struct share *s)
{
	int64_t a = set_leases_until(s, &s->target);
	int64_t b = set_leases_until(s, &s->active);

	return a < b ? a : b;
}

/* Daemons of a set in the order in which they take turns for a VM's slots. */
static void
vm_slot_order(
    const struct share_set *set, const struct upstream *u, uint64_t *ids)
{
	uint64_t score[SHARE_DAEMONS_MAX], h;
	unsigned i, j;

	for (i = 0; i < set->count; i++) {
		h = XXH64(u->vm, strlen(u->vm), set->ids[i]);
		for (j = i; j > 0 && score[j - 1] > h; j--) {
			score[j] = score[j - 1];
			ids[j] = ids[j - 1];
		}
		score[j] = h;
		ids[j] = set->ids[i];
	}
}

static void
share_set_without(struct share_set *out, const struct share_set *set,
    const struct share_set *mask)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < set->count; i++) {
		if (!share_set_has(mask, set->ids[i]))
			share_set_add(out, set->ids[i]);
	}
}

/* The excluded daemons' last requests and loans have ended. */
static bool
exclusion_usable(const struct share *s, const struct view *v, int timeout_ms)
{
	int64_t wait = (LOAN_LEASE_US + timeout_ms * US_PER_MS) * 11 / 10;

	return s->exclusion_active_since_us > 0 &&
	    v->now_us >= s->exclusion_active_since_us + wait &&
	    v->now_us < s->exclusion_active_until_us;
}

/* Works out whose each slot is; kept until a set or the mask changes. */
static void
share_assign_slots(
    const struct share *s, const struct view *v, struct upstream *u, int slots)
{
	uint64_t a[SHARE_DAEMONS_MAX], b[SHARE_DAEMONS_MAX];
	uint64_t rest[SHARE_DAEMONS_MAX];
	struct share_set left;
	uint64_t x, y;
	int i;

	u->share.version = s->version;
	u->share.slots = slots;
	u->share.own = u->share.inherited = 0;
	if (s->active.count == 0 || s->target.count == 0)
		return;
	vm_slot_order(&s->active, u, a);
	vm_slot_order(&s->target, u, b);
	share_set_without(&left, &s->target, &s->exclusion);
	vm_slot_order(&left, u, rest);
	for (i = 0; i < slots; i++) {
		x = a[(unsigned)i % s->active.count];
		y = b[(unsigned)i % s->target.count];
		if (x == v->self && y == v->self)
			u->share.own++;
		else if (x == y && share_set_has(&s->exclusion, x))
			u->share.inherited +=
			    rest[(unsigned)i % left.count] == v->self;
	}
}

int
share_slots(const struct share *s, const struct view *v, struct upstream *u,
    int slots, int timeout_ms)
{
	if (u->share.version != s->version || u->share.slots != slots)
		share_assign_slots(s, v, u, slots);
	if (v->now_us >= share_leases_until(s))
		return 0;
	if (u->share.inherited > 0 && exclusion_usable(s, v, timeout_ms))
		return u->share.own + u->share.inherited;
	return u->share.own;
}

/* Nothing here uses more than this daemon's own slots and loans. */
static bool
share_within_limits(
    const struct share *s, const struct view *v, const struct upstream_table *t)
{
	struct upstream *u;
	int own;

	for (u = t->by_vm; u != NULL; u = u->hh.next) {
		if (u->pool == NULL)
			continue;
		own = share_slots(s, v, u, u->pool->worker_slots,
		    u->pool->attempt_timeout_ms);
		if (u->inflight_slots + u->lent_slots >
		    own + u->borrowed_slots - u->orphaned_slots)
			return false;
	}
	return true;
}

/* Exclusion of silent daemons. */

static void
exclusion_candidates(
    const struct share *s, const struct view *v, struct share_set *out)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < s->peer_count; i++) {
		if (v->now_us - s->peers[i].last_status_us >
		    SHARE_SILENCE_MAX_US)
			share_set_add(out, s->peers[i].id);
	}
	/* A minority may exclude nobody. */
	if ((s->target.count - out->count) * 2 <= s->target.count ||
	    s->active.hash != s->target.hash)
		memset(out, 0, sizeof(*out));
}

static bool
exclusion_may_change(
    const struct share *s, const struct view *v, const struct share_set *next)
{
	unsigned i;

	if (v->now_us < s->exclusion_promised_until_us)
		return false;
	for (i = 0; i < s->peer_count; i++) {
		if (share_set_has(next, s->peers[i].id) &&
		    v->now_us < s->peers[i].lease_granted_until_us)
			return false;
	}
	return true;
}

/* Time until which all that are left consent to the mask; 0: they don't. */
static int64_t
exclusion_consent_until(const struct share *s)
{
	const struct share_peer *q;
	int64_t until = INT64_MAX;
	unsigned i;

	if (s->exclusion.count == 0 || s->exclusion_ending ||
	    s->active.hash != s->target.hash)
		return 0;
	for (i = 0; i < s->peer_count; i++) {
		q = &s->peers[i];
		if (share_set_has(&s->exclusion, q->id))
			continue;
		if (q->exclusion_hash != s->exclusion.hash)
			return 0;
		if (q->exclusion_until_us < until)
			until = q->exclusion_until_us;
	}
	return until;
}

static void
exclusion_update(struct share *s, const struct view *v)
{
	struct share_set next;
	unsigned i;

	exclusion_candidates(s, v, &next);
	s->exclusion_ending = next.hash != s->exclusion.hash;
	if (s->exclusion_ending) {
		s->exclusion_active_since_us = 0;
		if (!exclusion_may_change(s, v, &next))
			return;
		for (i = 0; i < s->peer_count; i++) {
			if (share_set_has(&s->exclusion, s->peers[i].id))
				s->peers[i].lease_blocked_until_us = v->now_us +
				    (LOAN_LEASE_US + s->longest_attempt_us) *
					11 / 10;
		}
		s->exclusion_count += next.count > s->exclusion.count;
		s->exclusion = next;
		s->version++;
		s->exclusion_ending = false;
	}
	s->exclusion_active_until_us = exclusion_consent_until(s);
	if (s->exclusion_active_until_us <= v->now_us)
		s->exclusion_active_since_us = 0;
	else if (s->exclusion_active_since_us == 0)
		s->exclusion_active_since_us = v->now_us;
}

/* Statuses. */

static struct buf *
status_encode(struct share *s, const struct view *v, struct share_peer *q,
    const struct upstream_table *t)
{
	bool lease, agree, exclude;
	int64_t until = q->last_status_us + LEASE_GRANT_US;
	struct wire_writer w;

	agree = s->exclusion.count == 0 && share_within_limits(s, v, t);
	lease = q->last_status_peer_us > 0 &&
	    !share_set_has(&s->exclusion, q->id) &&
	    v->now_us >= q->lease_blocked_until_us && v->now_us < until;
	exclude = s->exclusion.count > 0 && !s->exclusion_ending;
	/* It counts from the time of the status that we echo. */
	if (lease && q->lease_granted_until_us < until)
		q->lease_granted_until_us = until;
	if (exclude && s->exclusion_promised_until_us < until)
		s->exclusion_promised_until_us = until;
	wire_writer_init(&w);
	wire_map(&w, 7);
	wire_u64(&w, "for", q->incarnation);
	wire_i64(&w, "t", v->now_us);
	wire_i64(&w, "echo", q->last_status_peer_us);
	wire_u64(&w, "set", agree ? s->target.hash : 0);
	wire_u64(&w, "est", s->active.hash);
	wire_u64(&w, "mask", exclude ? s->exclusion.hash : 0);
	wire_bool(&w, "lease", lease);
	return wire_writer_take(&w);
}

static int64_t
status_interval_us(
    const struct share *s, const struct view *v, const struct share_peer *q)
{
	bool settled = s->active.hash == s->target.hash &&
	    q->active_hash == s->target.hash;

	if (settled && s->exclusion.count == 0 &&
	    v->now_us - q->last_status_us < 2 * STATUS_INTERVAL_US &&
	    v->now_us >= q->lease_blocked_until_us && q->exclusion_hash == 0)
		return STATUS_INTERVAL_US;
	return STATUS_FAST_INTERVAL_US;
}

void
share_tick(struct share *s, const struct view *v,
    const struct upstream_table *t, struct effects *fx)
{
	const struct upstream_pool *p;
	struct share_peer *q;
	unsigned i;

	s->longest_attempt_us = 0;
	for (p = t->pools; p != NULL; p = p->hh.next) {
		if (p->attempt_timeout_ms * US_PER_MS > s->longest_attempt_us)
			s->longest_attempt_us =
			    p->attempt_timeout_ms * US_PER_MS;
	}
	exclusion_update(s, v);
	share_adopt_target(s, v);
	for (i = 0; i < s->peer_count; i++) {
		q = &s->peers[i];
		if (v->now_us - q->status_sent_us < status_interval_us(s, v, q))
			continue;
		q->status_sent_us = v->now_us;
		effects_send(
		    fx, q->id, FRAME_PATH_STATUS, 0, status_encode(s, v, q, t));
	}
}

static void
status_apply(
    const struct view *v, struct share_peer *q, const msgpack_object *map)
{
	uint64_t set = 0, est = 0, mask = 0, to = 0;
	int64_t at = 0, echo = 0;
	bool lease = false;

	if (!wire_get_i64(map, "t", &at) || !wire_get_i64(map, "echo", &echo) ||
	    !wire_get_u64(map, "set", &set) ||
	    !wire_get_u64(map, "est", &est) ||
	    !wire_get_u64(map, "mask", &mask) ||
	    !wire_get_u64(map, "for", &to) ||
	    !wire_get_bool(map, "lease", &lease) || echo > v->now_us)
		return;
	/* Meant for the one before us: it promises us nothing. */
	if (to != v->incarnation)
		echo = set = mask = 0;
	if (at < q->last_status_peer_us)
		return; /* older than what it said last */
	q->last_status_peer_us = at;
	if (echo > q->acked_us)
		q->acked_us = echo;
	q->last_status_us = v->now_us;
	q->active_hash = est;
	q->agreed_hash = set;
	q->exclusion_hash = mask;
	if (mask != 0 && echo > 0)
		q->exclusion_until_us = echo + SHARE_LEASE_US;
	if (lease && echo > 0)
		q->lease_held_until_us = echo + SHARE_LEASE_US;
}

void
share_handle_status(
    struct share *s, const struct view *v, const struct frame *f)
{
	struct share_peer *q = share_peer(s, f->source);
	struct wire_reader rd;

	if (q == NULL)
		return;
	if (q->incarnation != f->incarnation) {
		const struct fold_daemon *d = fold_daemon(v->fold, q->id);

		/* Only the incarnation on record has a say. */
		if (d == NULL || d->incarnation != f->incarnation)
			return;
		peer_reset(q, q->id, f->incarnation);
	}
	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	status_apply(v, q, rd.root);
	wire_reader_uninit(&rd);
}
