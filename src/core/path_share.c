#include "path_share.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "peers.h"
#include "wire.h"

/* Three statuses in each lease. */
#define STATUS_INTERVAL_US (450 * US_PER_MS)
/* Interval while a set or an exclusion is changing. */
#define STATUS_FAST_INTERVAL_US (100 * US_PER_MS)
/* The grantor honours a lease 10 % longer than its holder relies on it. */
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

/*
 * Leases that a daemon of a set of n daemons must hold, so that no majority can
 * have excluded it.
 */
static unsigned
leases_needed(unsigned n)
{
	return n < 2 ? 0 : n - 1 - n / 2;
}

static void
peer_reset(struct share_peer *q, uint64_t id, uint64_t incarnation)
{
	int64_t granted_until_us = q->id == id ? q->lease_granted_until_us : 0;
	int64_t blocked_until_us = q->id == id ? q->lease_blocked_until_us : 0;

	memset(q, 0, sizeof(*q));
	q->id = id;
	q->incarnation = incarnation;
	q->lease_granted_until_us = granted_until_us;
	q->lease_blocked_until_us = blocked_until_us;
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

/*
 * True where every peer has agreed to the target set. Once all leases, loans
 * and attempts from before the restart have ended, a restarted daemon also
 * counts the peer that joined last as agreed, because that peer had folded this
 * set when it joined.
 */
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
			    e->registered_offset > d->registered_offset)
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
	struct share_set target = {0};

	if (s->started_us < 0)
		s->started_us = v->now_us;
	own = fold_daemon(v->fold, v->self);
	if (own != NULL && own->incarnation != v->incarnation)
		s->restarted = true;
	if (own == NULL || own->incarnation != v->incarnation) {
		s->version += s->target.count > 0;
		/* Not in the fold's table: no share. */
		memset(&s->target, 0, sizeof(s->target));
		return;
	}
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (strcmp(d->data_centre, v->data_centre) == 0)
			share_set_add(&target, d->process);
	}
	s->version += target.hash != s->target.hash;
	s->target = target;
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (share_set_has(&target, d->process) && d->process != v->self)
			share_sync_peer(s, v, d);
	}
	share_drop_peers(s);
	/*
	 * No other daemon has to agree, so that requests need not wait for the
	 * next tick.
	 */
	if (s->peer_count == 0)
		share_adopt_target(s, v);
}

/*
 * End of the shortest lease among the required number of longest leases of the
 * set's daemons; INT64_MAX where none is required, 0 where too few exist.
 */
static int64_t
set_leases_until(const struct share *s, const struct share_set *set)
{
	unsigned required = leases_needed(set->count), i, j, count = 0;
	int64_t list[SHARE_DAEMONS_MAX], t;

	if (required == 0)
		return INT64_MAX;
	for (i = 0; i < s->peer_count; i++) {
		if (!share_set_has(set, s->peers[i].id))
			continue;
		t = s->peers[i].lease_held_until_us;
		for (j = count++; j > 0 && list[j - 1] < t; j--)
			list[j] = list[j - 1];
		list[j] = t;
	}
	return count < required ? 0 : list[required - 1];
}

int64_t
share_leases_until(const struct share *s)
{
	int64_t target_us = set_leases_until(s, &s->target);
	int64_t active_us = set_leases_until(s, &s->active);

	return target_us < active_us ? target_us : active_us;
}

/*
 * Daemons of a set in the order in which they take the slots of a VM in turn,
 * by rendezvous hashing.
 */
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
    const struct share_set *excluded)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < set->count; i++) {
		if (!share_set_has(excluded, set->ids[i]))
			share_set_add(out, set->ids[i]);
	}
}

/*
 * True where the last requests and loans of the excluded daemons have ended,
 * and the consent of all others is valid.
 */
static bool
exclusion_usable(const struct share *s, const struct view *v, int timeout_ms)
{
	int64_t wait_us = (LOAN_LEASE_US + timeout_ms * US_PER_MS) * 11 / 10;

	return s->exclusion_active_since_us > 0 &&
	    v->now_us >= s->exclusion_active_since_us + wait_us &&
	    v->now_us < s->exclusion_active_until_us;
}

/*
 * Computes this daemon's slots of an upstream. The result is kept until the
 * version of the share or the number of slots changes.
 */
static void
share_assign_slots(
    const struct share *s, const struct view *v, struct upstream *u, int slots)
{
	uint64_t active_order[SHARE_DAEMONS_MAX];
	uint64_t target_order[SHARE_DAEMONS_MAX];
	uint64_t remaining_order[SHARE_DAEMONS_MAX];
	struct share_set remaining;
	uint64_t active_owner, target_owner;
	int i;

	u->share.version = s->version;
	u->share.slots = slots;
	u->share.own = u->share.inherited = 0;
	if (s->active.count == 0 || s->target.count == 0)
		return;
	vm_slot_order(&s->active, u, active_order);
	vm_slot_order(&s->target, u, target_order);
	share_set_without(&remaining, &s->target, &s->exclusion);
	vm_slot_order(&remaining, u, remaining_order);
	for (i = 0; i < slots; i++) {
		active_owner = active_order[(unsigned)i % s->active.count];
		target_owner = target_order[(unsigned)i % s->target.count];
		if (active_owner == v->self && target_owner == v->self)
			u->share.own++;
		else if (active_owner == target_owner &&
		    share_set_has(&s->exclusion, active_owner))
			u->share.inherited +=
			    remaining_order[(unsigned)i % remaining.count] ==
			    v->self;
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

/*
 * True where no upstream has more slots in use or lent than this daemon owns or
 * has borrowed from valid lenders.
 */
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
	/* Only a majority may exclude daemons, and only under an agreed set. */
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

/*
 * Time until which all daemons outside the excluded set consent to it; 0 where
 * one of them does not.
 */
static int64_t
exclusion_consent_until(const struct share *s)
{
	const struct share_peer *q;
	int64_t until_us = INT64_MAX;
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
		if (q->exclusion_until_us < until_us)
			until_us = q->exclusion_until_us;
	}
	return until_us;
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
	int64_t until_us = q->last_status_us + LEASE_GRANT_US;
	struct wire_writer w;

	agree = s->exclusion.count == 0 && share_within_limits(s, v, t);
	lease = q->last_status_peer_us > 0 &&
	    !share_set_has(&s->exclusion, q->id) &&
	    v->now_us >= q->lease_blocked_until_us && v->now_us < until_us;
	exclude = s->exclusion.count > 0 && !s->exclusion_ending;
	/*
	 * The peer counts the lease from when it sent the status that this one
	 * echoes, which is before that status arrived here.
	 */
	if (lease && q->lease_granted_until_us < until_us)
		q->lease_granted_until_us = until_us;
	if (exclude && s->exclusion_promised_until_us < until_us)
		s->exclusion_promised_until_us = until_us;
	wire_writer_init(&w);
	wire_map(&w, 7);
	wire_u64(&w, "for", q->incarnation);
	wire_i64(&w, "t", v->now_us);
	wire_i64(&w, "echo", q->last_status_peer_us);
	wire_u64(&w, "set", agree ? s->target.hash : 0);
	wire_u64(&w, "est", s->active.hash);
	wire_u64(&w, "mask", exclude ? s->exclusion.hash : 0);
	wire_bool(&w, "lease", lease);
	return wire_writer_finish(&w);
}

static int64_t
status_interval_us(
    const struct share *s, const struct view *v, const struct share_peer *q)
{
	bool agreed = s->active.hash == s->target.hash &&
	    q->active_hash == s->target.hash;

	if (agreed && s->exclusion.count == 0 &&
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
	uint64_t agreed_hash = 0, active_hash = 0, exclusion_hash = 0,
		 incarnation = 0;
	int64_t peer_us = 0, echo_us = 0;
	bool lease = false;

	if (!wire_get_i64(map, "t", &peer_us) ||
	    !wire_get_i64(map, "echo", &echo_us) ||
	    !wire_get_u64(map, "set", &agreed_hash) ||
	    !wire_get_u64(map, "est", &active_hash) ||
	    !wire_get_u64(map, "mask", &exclusion_hash) ||
	    !wire_get_u64(map, "for", &incarnation) ||
	    !wire_get_bool(map, "lease", &lease) || echo_us > v->now_us)
		return;
	/*
	 * Sent to an earlier incarnation of this daemon: its lease, agreement
	 * and consent do not apply.
	 */
	if (incarnation != v->incarnation)
		echo_us = agreed_hash = exclusion_hash = 0;
	/* Older than the last status. */
	if (peer_us < q->last_status_peer_us)
		return;
	q->last_status_peer_us = peer_us;
	if (echo_us > q->acked_us)
		q->acked_us = echo_us;
	q->last_status_us = v->now_us;
	q->active_hash = active_hash;
	q->agreed_hash = agreed_hash;
	q->exclusion_hash = exclusion_hash;
	if (exclusion_hash != 0 && echo_us > 0)
		q->exclusion_until_us = echo_us + SHARE_LEASE_US;
	if (lease && echo_us > 0)
		q->lease_held_until_us = echo_us + SHARE_LEASE_US;
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

		/* Only the incarnation in the fold's table takes part. */
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
