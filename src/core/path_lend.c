/* The lender's side of credits: what is idle and whom it is lent to. */
#include <stdlib.h>
#include <string.h>

#include "path_credit.h"
#include "peers.h"
#include "wire.h"

static int64_t
pool_timeout_us(const struct upstream_pool *p)
{
	return p->timeout_ms * US_PER_MS;
}

static int
upstream_idle(const struct upstream *u)
{
	int own = u->inflight - u->held, n;

	n = u->base - u->lent - (own > 0 ? own : 0);
	return u->serving && n > 0 ? n : 0;
}

/* Idle slots of a pool but for one, for its own next request. */
static int
pool_spare(const struct upstream_pool *p, int waiting)
{
	const struct upstream *u;
	int idle = 0;

	if (waiting > 0)
		return 0;
	TAILQ_FOREACH(u, &p->list, link)
		idle += upstream_idle(u);
	return idle - 1;
}

static struct upstream *
pool_most_idle(const struct upstream_pool *p)
{
	struct upstream *u, *best = NULL;

	TAILQ_FOREACH(u, &p->list, link) {
		if (upstream_idle(u) > (best ? upstream_idle(best) : 0))
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
loan_make(struct credit *c, const struct view *v, struct upstream *u,
    const struct credit_ask *a, uint64_t first)
{
	struct loan *l = loan_find(&c->lent, a->peer, u, first);

	u->lent++;
	u->credits--;
	c->loans_made++;
	if (l != NULL) {
		l->count++;
		return;
	}
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return;
	l->id = ++c->last_loan;
	l->peer = a->peer;
	l->incarnation = a->incarnation;
	memcpy(l->vm, u->vm, sizeof(l->vm));
	l->vm_incarnation = u->incarnation;
	l->count = 1;
	/* After the borrower's last request there has ended at the latest. */
	l->until_us =
	    v->now_us + (LOAN_LEASE_US + pool_timeout_us(u->pool)) * 11 / 10;
	TAILQ_INSERT_TAIL(&c->lent, l, link);
}

static void
grant_send(const struct credit *c, uint64_t first, const struct credit_ask *a,
    struct effects *fx)
{
	const struct loan *l;
	struct wire_writer w;
	uint32_t n = 0;

	TAILQ_FOREACH(l, &c->lent, link)
		n += l->id > first;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_i64(&w, "t", a->heard_at);
	wire_array(&w, "loans", n);
	TAILQ_FOREACH(l, &c->lent, link) {
		if (l->id <= first)
			continue;
		wire_map(&w, 4);
		wire_u64(&w, "id", l->id);
		wire_str(&w, "vm", l->vm);
		wire_u64(&w, "inc", l->vm_incarnation);
		wire_i64(&w, "n", l->count);
	}
	effects_send(
	    fx, a->peer, FRAME_CREDIT_GRANT, a->heard, wire_writer_finish(&w));
}

static void
credit_lend(struct credit *c, const struct view *v, struct upstream_pool *p,
    struct credit_ask *a, int spare, struct effects *fx)
{
	uint64_t first = c->last_loan;
	struct upstream *u;

	while (a->want > 0 && spare > 0) {
		u = pool_most_idle(p);
		if (u == NULL)
			break;
		loan_make(c, v, u, a, first);
		a->want--;
		spare--;
	}
	if (c->last_loan == first)
		return;
	a->open_until = 0;
	grant_send(c, first, a, fx);
}

void
credit_offer(struct credit *c, const struct view *v, struct upstream_table *t,
    credit_waiting waiting, const void *arg, struct effects *fx)
{
	struct upstream_pool *p;
	struct credit_ask *a;
	int spare;

	/* While a new set is being agreed to, slots may still change hands. */
	if (c->share.settled.hash != c->share.target.hash || v->stopping)
		return;
	TAILQ_FOREACH(a, &c->asks, link) {
		if (v->now_us >= a->open_until || !credit_partner(v, a->peer))
			continue;
		p = upstream_pool_get(t, a->pool);
		if (p == NULL)
			continue;
		spare = pool_spare(p, waiting(arg, p));
		if (spare > 0)
			credit_lend(c, v, p, a, spare, fx);
	}
}
