/*
 * Dispatches waiting requests to upstreams: class quick before batch, members
 * by their weights, each to the upstream with the shortest expected time.
 */
#include <string.h>

#include "control.h"
#include "path_admit.h"
#include "path_health.h"
#include "path_priv.h"

/*
 * True where the class uses fewer slots than remain after those that the text
 * reserves for the other class.
 */
static bool
class_may_start(const struct path_service *s, enum text_class_id class)
{
	const struct upstream *u;
	enum text_class_id other =
	    class == CLASS_QUICK ? CLASS_BATCH : CLASS_QUICK;
	int64_t credits = 0, used = 0, reserved;

	reserved = s->text->classes[other].reserved_slots;
	if (reserved == 0)
		return true;
	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (!u->serving)
			continue;
		credits += u->credits;
		used += class == CLASS_BATCH
		    ? u->batch_slots
		    : u->inflight_slots - u->batch_slots;
	}
	return used < credits * (s->pool->worker_slots - reserved) /
	    s->pool->worker_slots;
}

static bool
upstream_is_usable(const struct path_ctx *x, struct upstream *u)
{
	if (!u->serving || u->credits <= u->inflight_slots)
		return false;
	if (!control_vm_is_leaving(x->v->control, u->vm, u->incarnation))
		return true;
	u->serving = false;
	return false;
}

/* Lower rank first, then the shorter expected time. */
static bool
upstream_is_better(const struct upstream *a, const struct upstream *b)
{
	int ra = health_rank(a), rb = health_rank(b);

	if (ra != rb)
		return ra < rb;
	return health_expected_time_us(a) < health_expected_time_us(b);
}

static struct upstream *
upstream_at(const struct upstream_pool *p, uint64_t n)
{
	struct upstream *u;

	TAILQ_FOREACH(u, &p->upstreams, link) {
		if (n-- == 0)
			return u;
	}
	return NULL;
}

/* The less busy of two random upstreams; for PATH_POLICY_TWO_CHOICES. */
static struct upstream *
upstream_two_choices(const struct path_ctx *x, const struct path_service *s)
{
	struct upstream *a, *b;

	if (s->pool->upstream_count == 0)
		return NULL;
	a = upstream_at(
	    s->pool, prng_below(x->v->prng, (uint64_t)s->pool->upstream_count));
	b = upstream_at(
	    s->pool, prng_below(x->v->prng, (uint64_t)s->pool->upstream_count));
	if (!upstream_is_usable(x, a))
		a = NULL;
	if (!upstream_is_usable(x, b))
		b = NULL;
	if (a == NULL || b == NULL)
		return a == NULL ? b : a;
	return a->inflight_slots <= b->inflight_slots ? a : b;
}

static struct upstream *
upstream_choose(const struct path_ctx *x, const struct path_service *s,
    const struct path_request *r)
{
	struct upstream *u, *best = NULL, *avoided = NULL;

	if (x->p->credit.policy == PATH_POLICY_TWO_CHOICES) {
		best = upstream_two_choices(x, s);
		if (best != NULL)
			return best;
	}
	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (u->health != UPSTREAM_HEALTHY || !upstream_is_usable(x, u))
			continue;
		if (strcmp(u->vm, r->avoid_vm) == 0) {
			avoided = u;
			continue;
		}
		if (best == NULL || upstream_is_better(u, best))
			best = u;
	}
	return best != NULL ? best : avoided;
}

/*
 * An ejected upstream that is due for a probe. A request that is not idempotent
 * is used as a probe one probe interval later than an idempotent one.
 */
static struct upstream *
upstream_to_probe(const struct path_ctx *x, const struct path_service *s,
    const struct path_request *r)
{
	struct upstream *u;
	int64_t due_us = x->v->now_us;

	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (!r->idempotent)
			due_us = x->v->now_us - u->probe_interval_us;
		if (health_probe_due(u, due_us) && upstream_is_usable(x, u))
			return u;
	}
	return NULL;
}

/*
 * True where too little time is left to run the request; it is refused at once.
 */
static bool
request_too_late(const struct path_ctx *x, const struct path_request *r)
{
	return r->deadline_us - x->v->now_us <
	    admit_service_time_us(r->service, r->class);
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
		path_fail(x, r, 503, "deadline", 0);
		return true;
	}
	u = upstream_to_probe(x, s, r);
	r->is_probe = u != NULL;
	if (u == NULL)
		u = upstream_choose(x, s, r);
	if (u == NULL)
		return false;
	u->probing = u->probing || r->is_probe;
	queue_pop(q, r);
	path_attempt_start(x, r, u);
	return true;
}

/*
 * Dispatches one request of each service in turn, so that services of the same
 * pool get an even share of its slots.
 */
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
