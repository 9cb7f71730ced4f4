/* The lender's side of credits: finds idle slots and grants loan requests. */
#include <stdlib.h>
#include <string.h>

#include "path_credit.h"
#include "peers.h"
#include "wire.h"

static int64_t
pool_timeout_us(const struct upstream_pool *p)
{
	return p->attempt_timeout_ms * US_PER_MS;
}

static int
upstream_idle_slots(const struct upstream *u)
{
	int own = u->inflight_slots - u->borrowed_slots, n;

	n = u->base_slots - u->lent_slots - (own > 0 ? own : 0);
	return u->serving && n > 0 ? n : 0;
}

/*
 * Idle slots of a pool less one, which is kept for this daemon's next request.
 */
static int
pool_lendable_slots(const struct upstream_pool *p, int waiting)
{
	const struct upstream *u;
	int idle = 0;

	if (waiting > 0)
		return 0;
	TAILQ_FOREACH(u, &p->upstreams, link)
		idle += upstream_idle_slots(u);
	return idle - 1;
}

static struct upstream *
pool_most_idle(const struct upstream_pool *p)
{
	struct upstream *u, *best = NULL;

	TAILQ_FOREACH(u, &p->upstreams, link) {
		if (upstream_idle_slots(u) >
		    (best ? upstream_idle_slots(best) : 0))
			best = u;
	}
	return best;
}

static struct loan *
loan_find(struct loan_list *list, uint64_t peer, const struct upstream *u,
    uint64_t newer_than)
{
	struct loan *l;

	TAILQ_FOREACH(l, list, link) {
		if (l->peer == peer && l->id > newer_than &&
		    strcmp(l->vm, u->vm) == 0)
			return l;
	}
	return NULL;
}

static void
loan_add_slot(struct credit *c, const struct view *v, struct upstream *u,
    const struct credit_exchange *ex, uint64_t last_id)
{
	struct loan *l = loan_find(&c->lent, ex->peer, u, last_id);

	u->lent_slots++;
	u->credits--;
	c->lent_total++;
	if (l != NULL) {
		l->slot_count++;
		return;
	}
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return;
	l->id = ++c->last_loan_id;
	l->peer = ex->peer;
	l->peer_incarnation = ex->peer_incarnation;
	memcpy(l->vm, u->vm, sizeof(l->vm));
	l->vm_incarnation = u->incarnation;
	l->slot_count = 1;
	/* Later than the end of the borrower's last request under this loan. */
	l->lease_end_us =
	    v->now_us + (LOAN_LEASE_US + pool_timeout_us(u->pool)) * 11 / 10;
	TAILQ_INSERT_TAIL(&c->lent, l, link);
}

static void
grant_send(const struct credit *c, uint64_t last_id,
    const struct credit_exchange *ex, struct effects *fx)
{
	const struct loan *l;
	struct wire_writer w;
	uint32_t n = 0;

	TAILQ_FOREACH(l, &c->lent, link)
		n += l->id > last_id;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_i64(&w, "t", ex->received_peer_us);
	wire_array(&w, "loans", n);
	TAILQ_FOREACH(l, &c->lent, link) {
		if (l->id <= last_id)
			continue;
		wire_map(&w, 4);
		wire_u64(&w, "id", l->id);
		wire_str(&w, "vm", l->vm);
		wire_u64(&w, "inc", l->vm_incarnation);
		wire_i64(&w, "n", l->slot_count);
	}
	effects_send(fx, ex->peer, FRAME_CREDIT_GRANT, ex->received_number,
	    wire_writer_finish(&w));
}

static void
lend_to_peer(struct credit *c, const struct view *v, struct upstream_pool *p,
    struct credit_exchange *ex, int spare, struct effects *fx)
{
	uint64_t last_id = c->last_loan_id;
	struct upstream *u;

	while (ex->wanted_slots > 0 && spare > 0) {
		u = pool_most_idle(p);
		if (u == NULL)
			break;
		loan_add_slot(c, v, u, ex, last_id);
		ex->wanted_slots--;
		spare--;
	}
	if (c->last_loan_id == last_id)
		return;
	ex->received_expiry_us = 0;
	grant_send(c, last_id, ex, fx);
}

void
credit_lend_idle(struct credit *c, const struct view *v,
    struct upstream_table *t, credit_waiting_fn waiting, const void *arg,
    struct effects *fx)
{
	struct upstream_pool *p;
	struct credit_exchange *ex;
	int spare;

	/*
	 * Slots may still change owners until all daemons have agreed to the
	 * target set.
	 */
	if (c->share.active.hash != c->share.target.hash || v->stopping)
		return;
	TAILQ_FOREACH(ex, &c->exchanges, link) {
		if (v->now_us >= ex->received_expiry_us ||
		    !credit_is_partner(v, ex->peer))
			continue;
		p = upstream_pool_get(t, ex->pool);
		if (p == NULL)
			continue;
		spare = pool_lendable_slots(p, waiting(arg, p));
		if (spare > 0)
			lend_to_peer(c, v, p, ex, spare, fx);
	}
}
