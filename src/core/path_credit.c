#include "path_credit.h"

#include <stdlib.h>
#include <string.h>

#include "peers.h"
#include "wire.h"

#define LOAN_REQUEST_SLOTS_MAX 64 /* in one loan request */
/* Time after which a request without an answer is sent again. */
#define LOAN_REQUEST_RETRY_US (100 * US_PER_MS)
/* Time for which a peer's request stays open. */
#define LOAN_REQUEST_TTL_US (90 * US_PER_MS)
#define RECALL_INTERVAL_US (20 * US_PER_MS)
#define GRANT_LOANS_MAX 1024 /* loans in one grant */

void
credit_init(struct credit *c, enum path_policy policy)
{
	memset(c, 0, sizeof(*c));
	c->policy = policy;
	share_init(&c->share);
	TAILQ_INIT(&c->lent);
	TAILQ_INIT(&c->borrowed);
	TAILQ_INIT(&c->exchanges);
}

static void
loans_clear(struct loan_list *list)
{
	struct loan *l;

	while ((l = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, l, link);
		free(l);
	}
}

void
credit_uninit(struct credit *c)
{
	struct credit_exchange *ex;

	while ((ex = TAILQ_FIRST(&c->exchanges)) != NULL) {
		TAILQ_REMOVE(&c->exchanges, ex, link);
		free(ex);
	}
	loans_clear(&c->lent);
	loans_clear(&c->borrowed);
}

static struct upstream *
loan_upstream(const struct upstream_table *t, const struct loan *l)
{
	struct upstream *u;

	HASH_FIND_STR(t->by_vm, l->vm, u);
	return u != NULL && u->incarnation == l->vm_incarnation ? u : NULL;
}

/* Recounting. */

static int
credit_base_slots(
    const struct credit *c, const struct view *v, struct upstream *u)
{
	int n;

	switch (c->policy) {
	case PATH_POLICY_CREDIT:
		return share_slots(&c->share, v, u, u->pool->worker_slots,
		    u->pool->attempt_timeout_ms);
	case PATH_POLICY_STATIC:
		n = 1 + (int)peers_alive_count(v->peers, v->data_centre);
		return u->pool->worker_slots / n;
	case PATH_POLICY_TWO_CHOICES:
		return u->pool->worker_slots;
	}
	return 0;
}

static void
recount_at(struct credit *c, const struct view *v, int64_t time_us)
{
	if (time_us > v->now_us && time_us < c->recount_us)
		c->recount_us = time_us;
}

static void
count_lent(struct credit *c, const struct view *v, struct upstream_table *t)
{
	struct loan *l, *next;
	struct upstream *u;

	for (l = TAILQ_FIRST(&c->lent); l != NULL; l = next) {
		next = TAILQ_NEXT(l, link);
		if (v->now_us >= l->lease_end_us) {
			c->expired_count++;
			TAILQ_REMOVE(&c->lent, l, link);
			free(l);
			continue;
		}
		recount_at(c, v, l->lease_end_us);
		u = loan_upstream(t, l);
		if (u != NULL)
			u->lent_slots += l->slot_count;
	}
}

static void
count_borrowed(struct credit *c, const struct view *v, struct upstream_table *t)
{
	struct upstream *u;
	struct loan *l;

	TAILQ_FOREACH(l, &c->borrowed, link) {
		u = loan_upstream(t, l);
		if (u == NULL)
			continue;
		u->borrowed_slots += l->slot_count;
		u->orphaned_slots += l->orphaned ? l->slot_count : 0;
		if (v->now_us < l->lease_end_us) {
			u->credits += l->slot_count;
			recount_at(c, v, l->lease_end_us);
		} else {
			u->lapsed_slots += l->slot_count;
		}
	}
}

void
credit_recount(struct credit *c, const struct view *v, struct upstream_table *t)
{
	struct upstream *u;

	c->recount_us = INT64_MAX;
	for (u = t->by_vm; u != NULL; u = u->hh.next) {
		u->lent_slots = u->borrowed_slots = u->lapsed_slots =
		    u->orphaned_slots = 0;
		u->credits = 0;
		u->base_slots =
		    u->pool == NULL ? 0 : credit_base_slots(c, v, u);
	}
	count_lent(c, v, t);
	count_borrowed(c, v, t);
	for (u = t->by_vm; u != NULL; u = u->hh.next)
		u->credits += u->base_slots - u->lent_slots;
	if (c->policy != PATH_POLICY_CREDIT)
		return;
	recount_at(c, v, share_leases_until(&c->share));
	recount_at(c, v, c->share.exclusion_active_until_us);
}

bool
credit_recount_due(const struct credit *c, const struct view *v)
{
	return v->now_us >= c->recount_us;
}

/* Drops the exchanges with daemons that are no longer in the peer table. */
static void
credit_drop_exchanges(struct credit *c, const struct view *v)
{
	struct credit_exchange *ex, *next;

	for (ex = TAILQ_FIRST(&c->exchanges); ex != NULL; ex = next) {
		next = TAILQ_NEXT(ex, link);
		if (peers_get(v->peers, ex->peer) != NULL)
			continue;
		TAILQ_REMOVE(&c->exchanges, ex, link);
		free(ex);
	}
}

/* Ends loans whose lender has left the fold's table or has restarted. */
static void
credit_check_lenders(struct credit *c, const struct view *v)
{
	const struct fold_daemon *d;
	struct loan *l;

	TAILQ_FOREACH(l, &c->borrowed, link) {
		d = fold_daemon(v->fold, l->peer);
		l->orphaned =
		    d == NULL || d->incarnation != l->peer_incarnation;
		if (l->orphaned)
			l->lease_end_us = 0;
	}
}

void
credit_sync(struct credit *c, const struct view *v, struct upstream_table *t)
{
	if (c->policy == PATH_POLICY_CREDIT) {
		share_sync(&c->share, v);
		credit_check_lenders(c, v);
		credit_drop_exchanges(c, v);
	}
	credit_recount(c, v, t);
}

void
credit_tick(struct credit *c, const struct view *v, struct upstream_table *t,
    struct effects *fx)
{
	/*
	 * Check the lenders first: the status that share_tick() sends may agree
	 * to a set under which they own these slots again.
	 */
	credit_check_lenders(c, v);
	credit_recount(c, v, t);
	if (c->policy == PATH_POLICY_CREDIT) {
		share_tick(&c->share, v, t, fx);
		credit_recount(c, v, t);
	}
	credit_return_borrowed(c, v, t, false, fx);
}

/* Loan requests. */

static struct credit_exchange *
credit_exchange_get(struct credit *c, uint64_t peer, const char *pool)
{
	struct credit_exchange *ex;

	TAILQ_FOREACH(ex, &c->exchanges, link) {
		if (ex->peer == peer && strcmp(ex->pool, pool) == 0)
			return ex;
	}
	ex = calloc(1, sizeof(*ex));
	if (ex == NULL)
		return NULL;
	ex->peer = peer;
	memcpy(ex->pool, pool, strlen(pool) + 1);
	ex->sent_us = ex->recall_sent_us = INT64_MIN / 2;
	TAILQ_INSERT_TAIL(&c->exchanges, ex, link);
	return ex;
}

static void
loan_request_send(const struct view *v, const struct credit_exchange *ex,
    const struct upstream_pool *p, int wanted, bool recall, struct effects *fx)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_str(&w, "pool", p->name);
	wire_i64(&w, "want",
	    wanted > LOAN_REQUEST_SLOTS_MAX ? LOAN_REQUEST_SLOTS_MAX : wanted);
	wire_i64(&w, "t", v->now_us);
	wire_bool(&w, "recall", recall);
	effects_send(fx, ex->peer, FRAME_CREDIT_REQUEST,
	    recall ? 0 : ex->sent_number, wire_writer_finish(&w));
}

static bool
credit_has_lent_to(const struct credit *c, const struct upstream_table *t,
    uint64_t peer, const struct upstream_pool *p)
{
	const struct upstream *u;
	const struct loan *l;

	TAILQ_FOREACH(l, &c->lent, link) {
		u = loan_upstream(t, l);
		if (l->peer == peer && u != NULL && u->pool == p)
			return true;
	}
	return false;
}

static void
credit_request_from(struct credit *c, const struct view *v,
    struct upstream_table *t, struct upstream_pool *p, int wanted,
    const struct peer *q, struct effects *fx)
{
	struct credit_exchange *ex = credit_exchange_get(c, q->id, p->name);

	if (ex == NULL)
		return;
	if (credit_has_lent_to(c, t, q->id, p) &&
	    v->now_us - ex->recall_sent_us >= RECALL_INTERVAL_US) {
		ex->recall_sent_us = v->now_us;
		c->recall_count++;
		loan_request_send(v, ex, p, wanted, true, fx);
	}
	if (ex->sent_number != 0 &&
	    v->now_us - ex->sent_us < LOAN_REQUEST_RETRY_US)
		return;
	ex->sent_number = ++c->last_request_number;
	ex->sent_us = v->now_us;
	loan_request_send(v, ex, p, wanted, false, fx);
}

/*
 * Any linked peer of this data centre is a partner. A borrower need not be in
 * the fold's table, because a loan only concerns slots that the lender owns;
 * handle_grant() accepts a grant only from a lender in the table.
 */
bool
credit_is_partner(const struct view *v, uint64_t id)
{
	const struct peer *q = peers_get(v->peers, id);

	return q != NULL && q->linked && q->state == PEER_ALIVE &&
	    strcmp(q->data_centre, v->data_centre) == 0;
}

bool
credit_can_borrow(const struct credit *c, const struct view *v)
{
	return c->policy == PATH_POLICY_CREDIT &&
	    peers_alive_count(v->peers, v->data_centre) > 0;
}

void
credit_request_slots(struct credit *c, const struct view *v,
    struct upstream_table *t, struct upstream_pool *p, int wanted,
    struct effects *fx)
{
	const struct peer *q;

	if (c->policy != PATH_POLICY_CREDIT)
		return;
	for (q = peers_all(v->peers); q != NULL; q = q->hh.next) {
		if (credit_is_partner(v, q->id))
			credit_request_from(c, v, t, p, wanted, q, fx);
	}
}

/* The lender recalls "wanted" slots: their leases end now. */
static void
loans_recall(struct credit *c, struct upstream_table *t,
    const struct upstream_pool *p, uint64_t lender, int64_t wanted)
{
	const struct upstream *u;
	struct loan *l;

	TAILQ_FOREACH(l, &c->borrowed, link) {
		u = loan_upstream(t, l);
		if (l->peer != lender || u == NULL || u->pool != p ||
		    l->lease_end_us == 0 || wanted <= 0)
			continue;
		l->lease_end_us = 0;
		wanted -= l->slot_count;
	}
}

/*
 * Ignores a request that was delivered before: a duplicate must not be granted
 * twice.
 */
static void
loan_request_store(struct credit *c, const struct view *v,
    const struct frame *f, const char *pool, int64_t wanted, int64_t peer_us)
{
	struct credit_exchange *ex = credit_exchange_get(c, f->source, pool);

	if (ex == NULL ||
	    (ex->peer_incarnation == f->incarnation &&
		f->request_id <= ex->received_number))
		return;
	ex->peer_incarnation = f->incarnation;
	ex->received_number = f->request_id;
	ex->received_peer_us = peer_us;
	ex->wanted_slots =
	    wanted > LOAN_REQUEST_SLOTS_MAX ? LOAN_REQUEST_SLOTS_MAX : wanted;
	ex->received_expiry_us = v->now_us + LOAN_REQUEST_TTL_US;
}

static void
handle_loan_request(struct credit *c, const struct view *v,
    struct upstream_table *t, const struct frame *f, const msgpack_object *map,
    struct effects *fx)
{
	struct upstream_pool *p;
	char pool[NAME_BYTES];
	int64_t wanted, peer_us;
	bool recall;

	if (!wire_get_str(map, "pool", pool, sizeof(pool)) ||
	    !wire_get_i64(map, "want", &wanted) ||
	    !wire_get_i64(map, "t", &peer_us) ||
	    !wire_get_bool(map, "recall", &recall))
		return;
	p = upstream_pool_get(t, pool);
	if (p == NULL || !credit_is_partner(v, f->source))
		return;
	if (!recall) {
		loan_request_store(c, v, f, pool, wanted, peer_us);
		return;
	}
	loans_recall(c, t, p, f->source, wanted);
	credit_recount(c, v, t);
	credit_return_borrowed(c, v, t, false, fx);
}

/* Borrowing. */

static void
loan_accept(struct credit *c, const struct frame *f, const msgpack_object *map,
    int64_t until_us)
{
	struct loan *l;
	int64_t n;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return;
	if (!wire_get_u64(map, "id", &l->id) ||
	    !wire_get_str(map, "vm", l->vm, sizeof(l->vm)) ||
	    !wire_get_u64(map, "inc", &l->vm_incarnation) ||
	    !wire_get_i64(map, "n", &n) || n < 1 ||
	    n > LOAN_REQUEST_SLOTS_MAX) {
		free(l);
		return;
	}
	l->slot_count = (int)n;
	l->peer = f->source;
	l->peer_incarnation = f->incarnation;
	l->lease_end_us = until_us;
	c->borrowed_total += (uint64_t)n;
	TAILQ_INSERT_TAIL(&c->borrowed, l, link);
}

static void
handle_grant(struct credit *c, const struct view *v, struct upstream_table *t,
    const struct frame *f, const msgpack_object *map)
{
	const msgpack_object_array *list;
	const struct fold_daemon *d = fold_daemon(v->fold, f->source);
	struct credit_exchange *ex;
	int64_t sent_us;
	uint32_t i;

	/* Accept only the first answer to the open request. */
	TAILQ_FOREACH(ex, &c->exchanges, link) {
		if (ex->peer == f->source && ex->sent_number == f->request_id)
			break;
	}
	if (ex == NULL || f->request_id == 0 || d == NULL ||
	    d->incarnation != f->incarnation ||
	    !wire_get_i64(map, "t", &sent_us) || sent_us != ex->sent_us ||
	    !wire_get_array(map, "loans", &list) ||
	    list->size > GRANT_LOANS_MAX)
		return;
	ex->sent_number = 0;
	for (i = 0; i < list->size; i++) {
		if (list->ptr[i].type == MSGPACK_OBJECT_MAP)
			loan_accept(
			    c, f, &list->ptr[i], sent_us + LOAN_LEASE_US);
	}
	credit_recount(c, v, t);
}

/* Slots in use that neither the base share nor a valid lease covers. */
static int
upstream_excess_slots(const struct upstream *u)
{
	return u->inflight_slots > u->credits ? u->inflight_slots - u->credits
					      : 0;
}

static void
return_send(const struct loan *l, struct effects *fx)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "id", l->id);
	wire_i64(&w, "back", l->returned_count);
	effects_send(
	    fx, l->peer, FRAME_CREDIT_RETURN, 0, wire_writer_finish(&w));
}

/* Returns "n" slots of a loan and frees the loan with the last one. */
static void
loan_return(struct credit *c, struct loan *l, int n, struct effects *fx)
{
	l->slot_count -= n;
	l->returned_count += n;
	return_send(l, fx);
	if (l->slot_count > 0)
		return;
	TAILQ_REMOVE(&c->borrowed, l, link);
	free(l);
}

/* Ends all valid leases, as if the lenders had recalled them. */
static void
leases_end_all(struct credit *c, const struct view *v)
{
	struct loan *l;

	TAILQ_FOREACH(l, &c->borrowed, link) {
		if (l->lease_end_us > v->now_us)
			l->lease_end_us = 0;
	}
}

/* Slots of an expired loan that no request uses. */
static int
loan_idle_slots(const struct loan *l, const struct upstream *u)
{
	int idle;

	if (u == NULL)
		return l->slot_count;
	idle = u->lapsed_slots - upstream_excess_slots(u);
	if (idle <= 0)
		return 0;
	return idle < l->slot_count ? idle : l->slot_count;
}

void
credit_return_borrowed(struct credit *c, const struct view *v,
    struct upstream_table *t, bool all, struct effects *fx)
{
	struct loan *l, *next;
	struct upstream *u;
	int n;

	if (all) {
		leases_end_all(c, v);
		credit_recount(c, v, t);
	}
	for (l = TAILQ_FIRST(&c->borrowed); l != NULL; l = next) {
		next = TAILQ_NEXT(l, link);
		if (v->now_us < l->lease_end_us)
			continue;
		u = loan_upstream(t, l);
		n = loan_idle_slots(l, u);
		if (n == 0)
			continue;
		if (u != NULL) {
			u->borrowed_slots -= n;
			u->lapsed_slots -= n;
			u->orphaned_slots -= l->orphaned ? n : 0;
		}
		loan_return(c, l, n, fx);
	}
}

static void
handle_return(struct credit *c, const struct view *v, struct upstream_table *t,
    const struct frame *f, const msgpack_object *map)
{
	struct loan *l;
	uint64_t id;
	int64_t returned;

	if (!wire_get_u64(map, "id", &id) ||
	    !wire_get_i64(map, "back", &returned))
		return;
	TAILQ_FOREACH(l, &c->lent, link) {
		if (l->id == id && l->peer == f->source &&
		    l->peer_incarnation == f->incarnation)
			break;
	}
	/*
	 * "returned" is the total returned so far, so a duplicate frame has no
	 * effect.
	 */
	if (l == NULL || returned <= l->returned_count ||
	    returned - l->returned_count > l->slot_count)
		return;
	l->slot_count -= (int)returned - l->returned_count;
	l->returned_count = (int)returned;
	if (l->slot_count == 0) {
		TAILQ_REMOVE(&c->lent, l, link);
		free(l);
	}
	credit_recount(c, v, t);
}

void
credit_frame(struct credit *c, const struct view *v, struct upstream_table *t,
    const struct frame *f, struct effects *fx)
{
	struct wire_reader rd;

	if (c->policy != PATH_POLICY_CREDIT)
		return;
	if (f->kind == FRAME_PATH_STATUS) {
		share_handle_status(&c->share, v, f);
		return;
	}
	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_CREDIT_REQUEST)
		handle_loan_request(c, v, t, f, rd.root, fx);
	else if (f->kind == FRAME_CREDIT_GRANT)
		handle_grant(c, v, t, f, rd.root);
	else if (f->kind == FRAME_CREDIT_RETURN)
		handle_return(c, v, t, f, rd.root);
	wire_reader_uninit(&rd);
}

int
credit_lent_slots(const struct credit *c, const char *vm, uint64_t incarnation)
{
	const struct loan *l;
	int n = 0;

	TAILQ_FOREACH(l, &c->lent, link) {
		if (l->vm_incarnation == incarnation && strcmp(l->vm, vm) == 0)
			n += l->slot_count;
	}
	return n;
}
