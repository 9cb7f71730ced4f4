#include "path_priv.h"

#include <stdlib.h>
#include <string.h>

#include "path_admit.h"
#include "path_health.h"
#include "path_route.h"

/* Keeps numbers of inbound spilled requests apart from the shell's. */
#define INBOUND_NUMBER_BIT (UINT64_C(1) << 63)
/* Retry-After while this daemon is starting or stopping. */
#define NOT_READY_RETRY_AFTER_MS 1000

struct path_request *
path_find(const struct path *p, const struct path_origin *origin)
{
	struct path_request *r;

	HASH_FIND(hh, p->requests, origin, sizeof(*origin), r);
	return r;
}

static void
answer_caller(const struct path_ctx *x, const struct path_origin *origin,
    const struct path_result *result)
{
	struct effect *e;

	switch (result->outcome) {
	case OUTCOME_ANSWERED:
		x->p->counters.answered++;
		break;
	case OUTCOME_NOT_RUN:
		x->p->counters.not_run++;
		break;
	case OUTCOME_UNKNOWN:
		x->p->counters.unknown++;
		break;
	}
	if (origin->peer != 0) {
		spill_send_answer(x, origin, result);
		return;
	}
	e = effects_add(x->fx, EFFECT_ANSWER);
	e->u.answer.request = origin->id;
	e->u.answer.outcome = result->outcome;
	e->u.answer.status = result->status;
	e->u.answer.reason = result->reason;
	e->u.answer.retry_after_ms = result->retry_after_ms;
	e->u.answer.answer = answer_ref(result->answer);
}

static void
request_remove(const struct path_ctx *x, struct path_request *r)
{
	if (r->queued)
		queue_remove(&r->service->queues[r->class], r);
	if (r->state == PATH_BACKOFF)
		TAILQ_REMOVE(&x->p->backoff, r, link);
	path_leave_claiming(r);
	key_cancel_query(x, r);
	spill_cancel(x, r);
	path_attempt_cancel(x, r);
	HASH_DEL(x->p->requests, r); /* NOLINT: it is in the table */
	x->p->open_count--;
	r->finished = true;
	TAILQ_INSERT_TAIL(&x->p->finished, r, link);
}

void
path_free_finished(struct path *p)
{
	struct path_request *r;

	while ((r = TAILQ_FIRST(&p->finished)) != NULL) {
		TAILQ_REMOVE(&p->finished, r, link);
		request_unref(r->message);
		free(r);
	}
}

void
path_finish(const struct path_ctx *x, struct path_request *r,
    const struct path_result *result)
{
	answer_caller(x, &r->origin, result);
	key_settle(x, r, result);
	request_remove(x, r);
}

void
path_fail(const struct path_ctx *x, struct path_request *r, int status,
    const char *reason, int retry_after_ms)
{
	struct path_result result = {.outcome = OUTCOME_NOT_RUN,
	    .status = status,
	    .reason = reason,
	    .retry_after_ms = retry_after_ms};

	path_attempt_cancel(x, r);
	if (r->may_have_run) {
		result.outcome = OUTCOME_UNKNOWN;
		result.status = status == 504 ? 504 : 502;
		result.retry_after_ms = 0;
	}
	path_finish(x, r, &result);
}

static void
refuse(const struct path_ctx *x, const struct path_origin *origin, int status,
    const char *reason, int retry_after_ms)
{
	struct path_result result = {.outcome = OUTCOME_NOT_RUN,
	    .status = status,
	    .reason = reason,
	    .retry_after_ms = retry_after_ms};

	answer_caller(x, origin, &result);
}

static struct path_request *
request_open(const struct path_ctx *x, const struct path_origin *origin,
    struct request *m, const struct route *rt, struct path_service *s)
{
	struct path_request *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->origin = *origin;
	r->message = request_ref(m);
	r->service = s;
	r->class = rt->class;
	memcpy(r->member, rt->member->name, sizeof(r->member));
	r->weight = rt->member->weight;
	r->arrived_us = x->v->now_us;
	r->deadline_us = r->arrived_us + rt->deadline_ms * US_PER_MS;
	r->idempotent = rt->idempotent;
	r->idempotency_key = rt->idempotency_key;
	r->request_number = origin->peer == 0
	    ? origin->id
	    : INBOUND_NUMBER_BIT | ++x->p->spill.last_inbound_number;
	HASH_ADD(hh, x->p->requests, origin, sizeof(r->origin), r);
	x->p->open_count++;
	return r;
}

/*
 * Sends the request to another data centre, or refuses it where that is not
 * possible.
 */
static void
spill_or_refuse(const struct path_ctx *x, struct path_request *r,
    const char *reason, int retry_ms)
{
	if (!spill_send(x, r, reason, retry_ms))
		path_fail(x, r, 503, reason, retry_ms);
}

/*
 * True where no upstream here is healthy, so that another data centre is the
 * better choice.
 */
static bool
pool_all_bad(const struct path_service *s)
{
	const struct upstream *u;

	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (u->serving && u->health == UPSTREAM_HEALTHY &&
		    !health_is_bad(u))
			return false;
	}
	return true;
}

static void
admit_to_queue(const struct path_ctx *x, struct path_request *r,
    const struct text_member *m, size_t limit, int retry_ms)
{
	struct path_service *s = r->service;

	if (pool_all_bad(s) &&
	    spill_send(x, r, "upstream-unreachable", retry_ms))
		return;
	if (r->idempotency_key != NULL &&
	    s->claiming_count[r->class] >= limit) {
		spill_or_refuse(x, r, "queue-full", retry_ms);
		return;
	}
	if (key_admit(x, r))
		return;
	if (queue_push(&s->queues[r->class], r, m->weight, limit) == -1)
		spill_or_refuse(x, r, "queue-full", retry_ms);
}

static void
admit_request(const struct path_ctx *x, const struct path_origin *origin,
    struct request *m, const struct route *rt, struct path_service *s)
{
	struct path_request *r;
	size_t limit = (size_t)rt->service->classes[rt->class].queue_limit;
	int64_t wait_us, time_limit_us = rt->deadline_ms * US_PER_MS;
	int retry_ms;

	s->arrival_count += origin->peer == 0;
	retry_deposit(&s->retry_tokens, rt->service->retry_budget_ppm);
	s->can_borrow = credit_can_borrow(&x->p->credit, x->v);
	wait_us = admit_expected_wait_us(
	    s, rt->class, rt->member->name, rt->member->weight);
	if (rt->idempotency_key != NULL &&
	    wait_us < x->p->keys.claim_latency_us)
		wait_us = x->p->keys.claim_latency_us;
	retry_ms = admit_retry_after_ms(s, rt->class, wait_us, time_limit_us);
	r = request_open(x, origin, m, rt, s);
	if (r == NULL) {
		refuse(x, origin, 503, "no-memory", retry_ms);
		return;
	}
	if (r->idempotency_key != NULL && key_handle_duplicate(x, r))
		return;
	if (origin->peer != 0 && !spill_has_capacity(x, s))
		path_fail(x, r, 503, "no-room", retry_ms);
	else if (wait_us == INT64_MAX)
		spill_or_refuse(x, r, "no-upstream", retry_ms);
	else if (!admit_meets_deadline(s, rt->class, wait_us, time_limit_us))
		spill_or_refuse(x, r, "deadline", retry_ms);
	else
		admit_to_queue(x, r, rt->member, limit, retry_ms);
}

void
path_receive(const struct path_ctx *x, const struct path_origin *origin,
    struct request *m, int64_t remaining_ms)
{
	struct path_service *s;
	struct route rt;

	x->p->counters.requests++;
	if (x->v->stopping) {
		refuse(x, origin, 503, "leaving", NOT_READY_RETRY_AFTER_MS);
		return;
	}
	if (!x->v->ready || x->p->text == NULL) {
		refuse(x, origin, 503, "not-ready", NOT_READY_RETRY_AFTER_MS);
		return;
	}
	route_request(&rt, x->p->text, m);
	if (rt.status != 0) {
		refuse(x, origin, rt.status, rt.reason, 0);
		return;
	}
	if (origin->peer != 0 && remaining_ms < rt.deadline_ms)
		rt.deadline_ms = remaining_ms > 1 ? (int)remaining_ms : 1;
	HASH_FIND_STR(x->p->services, rt.service->name, s);
	if (s == NULL) {
		refuse(x, origin, 503, "not-ready", NOT_READY_RETRY_AFTER_MS);
		return;
	}
	admit_request(x, origin, m, &rt, s);
}

void
path_caller_gone(const struct path_ctx *x, const struct path_origin *origin)
{
	struct path_request *r = path_find(x->p, origin);
	struct path_result result = {.outcome = OUTCOME_NOT_RUN,
	    .status = 503,
	    .reason = "caller-gone",
	    .retry_after_ms = 200};

	if (r == NULL)
		return;
	x->p->counters.callers_gone++;
	if (r->attempt_id != 0 || r->may_have_run)
		result.outcome = OUTCOME_UNKNOWN;
	key_settle(x, r, &result);
	request_remove(x, r);
}

/*
 * Time until which the request may go on waiting for a slot or for another
 * daemon's reply.
 */
static int64_t
wait_limit_us(const struct path_request *r)
{
	int64_t reserve_us = admit_service_time_us(r->service, r->class);

	/*
	 * Overdue requests are found at a tick, so at least PATH_TICK_MAX_US is
	 * reserved: the answer must be in time even if the next tick is late.
	 */
	if (r->state == PATH_SPILLED || r->state == PATH_AWAITING_ORIGINAL ||
	    reserve_us < PATH_TICK_MAX_US)
		reserve_us = PATH_TICK_MAX_US;
	return r->deadline_us - reserve_us;
}

static void
expire_one(const struct path_ctx *x, struct path_request *r)
{
	int64_t wait_us;

	if (r->service->text == NULL && r->queued) {
		path_fail(x, r, 404, "unknown-service", 0);
		return;
	}
	/* An attempt's timeout ends at the request's deadline. */
	if (r->state == PATH_RUNNING ? x->v->now_us < r->deadline_us
				     : x->v->now_us < wait_limit_us(r))
		return;
	wait_us = admit_expected_wait_us(r->service, r->class, r->member, 1);
	path_fail(x, r, r->state == PATH_RUNNING ? 504 : 503, "deadline",
	    admit_retry_after_ms(
		r->service, r->class, wait_us, r->deadline_us - r->arrived_us));
}

/* Ends requests that can no longer have their answer by their deadline. */
void
path_expire_overdue(const struct path_ctx *x)
{
	struct path_request *r, *tmp;

	/*
	 * Ending a request may end its duplicates too. The finished ones stay
	 * allocated until the end of the step, so iterating over them is safe.
	 */
	HASH_ITER(hh, x->p->requests, r, tmp)
	{
		if (!r->finished)
			expire_one(x, r);
	}
}
