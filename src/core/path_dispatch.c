/*
 * Takes waiting requests to upstreams: quick before batch, members by their
 * weights, and the upstream where the request should be done soonest.
 */
#include <string.h>

#include "control.h"
#include "path_admit.h"
#include "path_health.h"
#include "path_priv.h"

/* A class may fill all slots but those that the text keeps for the other. */
static bool
class_may_start(const struct path_service *s, enum text_class_id class)
{
	const struct upstream *u;
	enum text_class_id other =
	    class == CLASS_QUICK ? CLASS_BATCH : CLASS_QUICK;
	int64_t credits = 0, used = 0, kept;

	kept = s->text->classes[other].reserved_slots;
	if (kept == 0)
		return true;
	TAILQ_FOREACH(u, &s->pool->list, link) {
		if (!u->serving)
			continue;
		credits += u->credits;
		used +=
		    class == CLASS_BATCH ? u->batch : u->inflight - u->batch;
	}
	return used < credits * (s->pool->slots - kept) / s->pool->slots;
}

static bool
upstream_may_take(const struct path_ctx *x, struct upstream *u)
{
	if (!u->serving || u->credits <= u->inflight)
		return false;
	if (!control_vm_is_leaving(x->v->control, u->vm, u->incarnation))
		return true;
	u->serving = false;
	return false;
}

/* Better rank first, then the shorter expected time. */
static bool
upstream_before(const struct upstream *a, const struct upstream *b)
{
	int ra = health_rank(a), rb = health_rank(b);

	if (ra != rb)
		return ra < rb;
	return health_score(a) < health_score(b);
}

static struct upstream *
upstream_at(const struct upstream_pool *p, uint64_t n)
{
	struct upstream *u;

	TAILQ_FOREACH(u, &p->list, link) {
		if (n-- == 0)
			return u;
	}
	return NULL;
}

/* The less busy of two random ones; the baseline PATH_OPEN. */
static struct upstream *
upstream_of_two(const struct path_ctx *x, const struct path_service *s)
{
	struct upstream *a, *b;

	if (s->pool->count == 0)
		return NULL;
	a = upstream_at(
	    s->pool, prng_below(x->v->prng, (uint64_t)s->pool->count));
	b = upstream_at(
	    s->pool, prng_below(x->v->prng, (uint64_t)s->pool->count));
	if (!upstream_may_take(x, a))
		a = NULL;
	if (!upstream_may_take(x, b))
		b = NULL;
	if (a == NULL || b == NULL)
		return a == NULL ? b : a;
	return a->inflight <= b->inflight ? a : b;
}

static struct upstream *
upstream_choose(const struct path_ctx *x, const struct path_service *s,
    const struct path_request *r)
{
	struct upstream *u, *best = NULL, *avoided = NULL;

	if (x->p->credit.policy == PATH_OPEN) {
		best = upstream_of_two(x, s);
		if (best != NULL)
			return best;
	}
	TAILQ_FOREACH(u, &s->pool->list, link) {
		if (u->health != UPSTREAM_GOOD || !upstream_may_take(x, u))
			continue;
		if (strcmp(u->vm, r->avoid) == 0) {
			avoided = u;
			continue;
		}
		if (best == NULL || upstream_before(u, best))
			best = u;
	}
	return best != NULL ? best : avoided;
}

/* A request that may run twice is the better probe. */
static struct upstream *
upstream_to_probe(const struct path_ctx *x, const struct path_service *s,
    const struct path_request *r)
{
	struct upstream *u;
	int64_t due = x->v->now_us;

	TAILQ_FOREACH(u, &s->pool->list, link) {
		if (!r->idempotent)
			due = x->v->now_us - u->probe_wait_us;
		if (health_probe_due(u, due) && upstream_may_take(x, u))
			return u;
	}
	return NULL;
}

/* Too late for its deadline: answered now instead of run for nobody. */
static bool
request_too_late(const struct path_ctx *x, const struct path_request *r)
{
	return r->deadline_us - x->v->now_us <
	    admit_service_us(r->service, r->class);
}

static bool
dispatch_one(
    const struct path_ctx *x, struct path_service *s, enum text_class_id class)
{
	struct class_queue *q = &s->queues[class];
	struct path_request *r;
	struct upstream *u;

	if (q->count == 0 || !class_may_start(s, class))
		return false;
	r = queue_peek(q, x->p->max_weight);
	if (request_too_late(x, r)) {
		path_give_up(x, r, 503, "deadline", 0);
		return true;
	}
	u = upstream_to_probe(x, s, r);
	r->probe = u != NULL;
	if (u == NULL)
		u = upstream_choose(x, s, r);
	if (u == NULL)
		return false;
	u->probing = u->probing || r->probe;
	queue_take(q, r);
	path_attempt_start(x, r, u);
	return true;
}

/* One request of each service in turn, so that shared pools are shared. */
void
path_dispatch(const struct path_ctx *x)
{
	struct path_service *s;
	bool more = true;

	while (more) {
		more = false;
		for (s = x->p->services; s != NULL; s = s->hh.next) {
			if (s->text == NULL || s->pool == NULL)
				continue;
			more = dispatch_one(x, s, CLASS_QUICK) ||
			    dispatch_one(x, s, CLASS_BATCH) || more;
		}
	}
}
