#include "path_priv.h"

#include <string.h>

#include "path_admit.h"
#include "path_health.h"

/* Weight of the old value in the moving average, of 8. */
#define EWMA_OLD_WEIGHT 7
/*
 * A timeout after at most this many times the usual service time is not a
 * failure of the upstream.
 */
#define TIMEOUT_FAILURE_FACTOR 3
/* A request under which so many upstreams broke off may be what breaks them. */
#define LOST_ATTEMPTS_MAX 3

void
path_release_slot(const struct path_ctx *x, struct path_request *r)
{
	if (r->upstream == NULL)
		return;
	r->service->running_count[r->class]--;
	if (r->is_probe)
		health_release_probe(r->upstream);
	r->is_probe = false;
	upstream_release(&x->p->table, r->upstream, r->class);
	r->upstream = NULL;
}

static void
attempt_remove(const struct path_ctx *x, struct path_request *r)
{
	HASH_DELETE(hh_attempt, x->p->attempts, r); /* NOLINT: r is in it */
	r->attempt_id = 0;
	path_release_slot(x, r);
}

void
path_attempt_cancel(const struct path_ctx *x, struct path_request *r)
{
	struct effect *e;

	if (r->attempt_id == 0) {
		path_release_slot(x, r);
		return;
	}
	e = effects_add(x->fx, EFFECT_ATTEMPT_CANCEL);
	e->u.cancel.id = r->attempt_id;
	attempt_remove(x, r);
	r->may_have_run = true;
}

static int
attempt_timeout_ms(const struct path_ctx *x, const struct path_request *r)
{
	int64_t remaining_ms = (r->deadline_us - x->v->now_us) / US_PER_MS;
	int max_ms = r->service->text->attempt_timeout_ms;

	if (remaining_ms < 1)
		return 1;
	return remaining_ms < max_ms ? (int)remaining_ms : max_ms;
}

static void
attempt_send(const struct path_ctx *x, struct path_request *r)
{
	struct path *p = x->p;
	struct upstream *u = r->upstream;
	struct effect *e;

	r->state = PATH_RUNNING;
	r->attempt_id = ++p->last_attempt_id;
	r->attempt_started_us = x->v->now_us;
	r->attempt_count++;
	p->counters.attempts++;
	HASH_ADD(hh_attempt, p->attempts, attempt_id, sizeof(r->attempt_id), r);
	e = effects_add(x->fx, EFFECT_ATTEMPT);
	e->u.attempt.id = r->attempt_id;
	e->u.attempt.request = r->request_number;
	e->u.attempt.message = request_ref(r->message);
	memcpy(e->u.attempt.vm, u->vm, sizeof(u->vm));
	memcpy(e->u.attempt.addr, u->addr, sizeof(u->addr));
	e->u.attempt.port = u->port;
	e->u.attempt.timeout_ms = attempt_timeout_ms(x, r);
}

void
path_attempt_start(
    const struct path_ctx *x, struct path_request *r, struct upstream *u)
{
	upstream_acquire(u, r->class);
	r->service->running_count[r->class]++;
	r->upstream = u;
	attempt_send(x, r);
}

static void
request_requeue(const struct path_ctx *x, struct path_request *r)
{
	r->state = PATH_QUEUED;
	if (queue_push_front(&r->service->queues[r->class], r) == -1)
		path_fail(x, r, 503, "no-memory", 0);
}

void
path_leave_claiming(struct path_request *r)
{
	if (r->state != PATH_CLAIMING)
		return;
	r->state = PATH_QUEUED;
	r->service->claiming_count[r->class]--;
}

void
path_claim_won(const struct path_ctx *x, struct path_request *r)
{
	const struct text_service *s = r->service->text;

	path_leave_claiming(r);
	if (s == NULL)
		path_fail(x, r, 404, "unknown-service", 0);
	else if (queue_push(&r->service->queues[r->class], r, r->weight,
		     (size_t)s->classes[r->class].queue_limit) == -1)
		path_fail(x, r, 503, "queue-full", 1000);
}

static struct path_request *
attempt_find(const struct path *p, uint64_t id)
{
	struct path_request *r;

	HASH_FIND(hh_attempt, p->attempts, &id, sizeof(id), r);
	return r;
}

/* Schedules a retry; false where the request must fail instead. */
static bool
attempt_try_retry(
    const struct path_ctx *x, struct path_request *r, bool may_have_run)
{
	struct path_service *s = r->service;
	int64_t wait_us = 0;

	if ((may_have_run && !r->idempotent) || s->text == NULL)
		return false;
	if (may_have_run || r->attempt_count > 1)
		wait_us = retry_backoff_us(r->attempt_count, x->v->prng);
	if (x->v->now_us + wait_us + admit_service_time_us(s, r->class) >
	    r->deadline_us)
		return false;
	if (!retry_withdraw(&s->retry_tokens))
		return false;
	x->p->counters.retries++;
	if (wait_us == 0) {
		request_requeue(x, r);
		return true;
	}
	r->state = PATH_BACKOFF;
	r->backoff_until_us = x->v->now_us + wait_us;
	TAILQ_INSERT_TAIL(&x->p->backoff, r, link);
	return true;
}

void
path_end_backoffs(const struct path_ctx *x)
{
	struct path_request *r, *next;

	for (r = TAILQ_FIRST(&x->p->backoff); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (r->backoff_until_us > x->v->now_us)
			continue;
		TAILQ_REMOVE(&x->p->backoff, r, link);
		request_requeue(x, r);
	}
}

void
path_attempt_answered(const struct path_ctx *x, uint64_t id, struct answer *a)
{
	struct path_request *r = attempt_find(x->p, id);
	struct path_result result = {.outcome = OUTCOME_ANSWERED};
	int64_t elapsed_us, *average_us;
	bool good = a->status < 500;

	if (r == NULL) {
		x->p->counters.late_answers++;
		return;
	}
	elapsed_us = x->v->now_us - r->attempt_started_us;
	health_record_answer(r->upstream, x->v->now_us, elapsed_us, good);
	memcpy(r->avoid_vm, r->upstream->vm, sizeof(r->avoid_vm));
	attempt_remove(x, r);
	if (!good && attempt_try_retry(x, r, true)) {
		r->may_have_run = true;
		return;
	}
	average_us = &r->service->service_time_us[r->class];
	if (good)
		*average_us = *average_us == 0
		    ? elapsed_us
		    : (*average_us * EWMA_OLD_WEIGHT + elapsed_us) /
			(EWMA_OLD_WEIGHT + 1);
	result.status = a->status;
	result.answer = a;
	path_finish(x, r, &result);
}

static void
attempt_fail_request(const struct path_ctx *x, struct path_request *r,
    enum attempt_failure failure)
{
	switch (failure) {
	case ATTEMPT_UNSENT:
		path_fail(x, r, 503, "upstream-unreachable", 1000);
		return;
	case ATTEMPT_REFUSED:
		path_fail(x, r, 503, "upstream-refused", 1000);
		return;
	case ATTEMPT_LOST:
	case ATTEMPT_TRUNCATED:
		path_fail(x, r, 502, "upstream-lost", 0);
		return;
	case ATTEMPT_TIMEOUT:
		path_fail(x, r, 504, "upstream-timeout", 0);
		return;
	}
}

/*
 * True where the attempt took long enough for the upstream to be at fault. A
 * timeout caused by a caller's short deadline is not.
 */
static bool
timeout_is_failure(const struct path_ctx *x, const struct path_request *r)
{
	int64_t elapsed_us = x->v->now_us - r->attempt_started_us;

	return elapsed_us > TIMEOUT_FAILURE_FACTOR *
	    admit_service_time_us(r->service, r->class);
}

void
path_attempt_failed(
    const struct path_ctx *x, uint64_t id, enum attempt_failure failure)
{
	struct path_request *r = attempt_find(x->p, id);
	bool may_have_run =
	    failure != ATTEMPT_UNSENT && failure != ATTEMPT_REFUSED;

	if (r == NULL) {
		x->p->counters.late_answers++;
		return;
	}
	if (failure != ATTEMPT_TIMEOUT || timeout_is_failure(x, r))
		health_record_failure(r->upstream, x->v->now_us);
	memcpy(r->avoid_vm, r->upstream->vm, sizeof(r->avoid_vm));
	attempt_remove(x, r);
	if (may_have_run)
		r->may_have_run = true;
	if (failure == ATTEMPT_LOST || failure == ATTEMPT_TRUNCATED)
		r->lost_attempt_count++;
	if (r->lost_attempt_count >= LOST_ATTEMPTS_MAX ||
	    !attempt_try_retry(x, r, may_have_run))
		attempt_fail_request(x, r, failure);
}
