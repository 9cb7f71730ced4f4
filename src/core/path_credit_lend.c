/* The lender's side of credits: what is idle and whom it is lent to. */
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

/* Idle slots of a pool but for one, for its own next request. */
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
    const struct credit_exchange *a, uint64_t first)
{
	struct loan *l = loan_find(&c->lent, a->peer, u, first);

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
	l->peer = a->peer;
	l->peer_incarnation = a->peer_incarnation;
	memcpy(l->vm, u->vm, sizeof(l->vm));
	l->vm_incarnation = u->incarnation;
	l->slot_count = 1;
	/* After the borrower's last request there has ended at the latest. */
	l->lease_end_us =
	    v->now_us + (LOAN_LEASE_US + pool_timeout_us(u->pool)) * 11 / 10;
	TAILQ_INSERT_TAIL(&c->lent, l, link);
}

static void
grant_send(const struct credit *c, uint64_t first,
    const struct credit_exchange *a, struct effects *fx)
{
	const struct loan *l;
	struct wire_writer w;
	uint32_t n = 0;

	TAILQ_FOREACH(l, &c->lent, link)
		n += l->id > first;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_i64(&w, "t", a->received_peer_us);
	wire_array(&w, "loans", n);
	TAILQ_FOREACH(l, &c->lent, link) {
		if (l->id <= first)
			continue;
		wire_map(&w, 4);
		wire_u64(&w, "id", l->id);
		wire_str(&w, "vm", l->vm);
		wire_u64(&w, "inc", l->vm_incarnation);
		wire_i64(&w, "n", l->slot_count);
	}
	effects_send(fx, a->peer, FRAME_CREDIT_GRANT, a->received_number,
	    wire_writer_take(&w));
}

static void
lend_to_peer(struct credit *c, const struct view *v, struct upstream_pool *p,
    struct credit_exchange *a, int spare, struct effects *fx)
{
	uint64_t first = c->last_loan_id;
	struct upstream *u;

	while (a->wanted_slots > 0 && spare > 0) {
		u = pool_most_idle(p);
		if (u == NULL)
			break;
		loan_add_slot(c, v, u, a, first);
		a->wanted_slots--;
		spare--;
	}
	if (c->last_loan_id == first)
		return;
	a->received_expiry_us = 0;
	grant_send(c, first, a, fx);
}

void
credit_lend_idle(struct credit *c, const struct view *v,
    struct upstream_table *t, credit_waiting_fn waiting, const void *arg,
    struct effects *fx)
{
	struct upstream_pool *p;
	struct credit_exchange *a;
	int spare;

	/* While a new set is being agreed to, slots may still change hands. */
	if (c->share.active.hash != c->share.target.hash || v->stopping)
		return;
	TAILQ_FOREACH(a, &c->exchanges, link) {
		if (v->now_us >= a->received_expiry_us ||
		    !credit_is_partner(v, a->peer))
			continue;
		p = upstream_pool_get(t, a->pool);
		if (p == NULL)
			continue;
		spare = pool_lendable_slots(p, waiting(arg, p));
		if (spare > 0)
			lend_to_peer(c, v, p, a, spare, fx);
	}
}
