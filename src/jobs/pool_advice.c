/*
 * Decisions of a queue's policy on which workers may run a step.  A query names
 * a limited number of workers; while tasks still find no capacity, the next
 * query names others.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/*
 * Workers in one query.  The policy's answer time grows with each worker, and
 * the users' objective leaves time for this many.
 */
#define QUERY_WORKERS_MAX 30
#define QUERY_TIMEOUT_MS 1500 /* a query without an answer is repeated */
#define QUERY_RETRY_MS 200 /* after a query that failed */
#define TICKET_VALID_MIN_MS 200 /* least remaining validity for a start */
/* Until a query names a worker again whose ticket could not be used. */
#define UNUSABLE_TICKET_RETRY_MS 1000

static struct step_verdict *
find_verdict(const struct job_step *s, const struct pool_worker *w)
{
	struct step_verdict *v;

	HASH_FIND_STR(s->advice.verdicts, w->report.id, v);
	return v != NULL && v->worker_started_ms == w->report.started_ms ? v
									 : NULL;
}

struct buf *
step_find_ticket(
    const struct job_step *s, const struct pool_worker *w, int64_t now_us)
{
	const struct step_verdict *v = find_verdict(s, w);

	if (v == NULL || !v->allowed ||
	    now_us + TICKET_VALID_MIN_MS * US_PER_MS > v->ticket_end_us)
		return NULL;
	return stored_text_value(v->ticket);
}

void
step_expire_ticket(struct job_step *s, const struct pool_worker *w)
{
	struct step_verdict *v = find_verdict(s, w);

	if (v != NULL)
		v->ticket_end_us = 0;
}

/*
 * The worker has capacity for the step, and the policy has not decided on it
 * or its ticket has expired.
 */
static bool
needs_query(
    const struct pool *p, const struct job_step *s, const struct pool_worker *w)
{
	const struct step_verdict *v = find_verdict(s, w);

	if (!worker_usable(p, w) || !worker_has_capacity(w, s->spec))
		return false;
	return v == NULL ||
	    (v->allowed && p->now_us >= v->query_not_before_us &&
		step_find_ticket(s, w, p->now_us) == NULL);
}

static bool
may_query(const struct pool *p, const struct step_advice *a)
{
	int64_t ago_ms = (p->now_us - a->queried_us) / US_PER_MS;

	return a->queried_us == 0 ||
	    ago_ms >= (a->query_in_flight       ? QUERY_TIMEOUT_MS
			      : a->query_failed ? QUERY_RETRY_MS
						: 0);
}

void
pool_query_policy(struct pool *p, struct job_step *s)
{
	struct step_advice *a = &s->advice;
	const struct pool_worker *w;
	char list[QUERY_WORKERS_MAX][NAME_BYTES];
	struct pool_effect *x;
	size_t n = 0;

	if (!may_query(p, a))
		return;
	for (w = p->workers; w != NULL && n < QUERY_WORKERS_MAX;
	     w = w->hh.next) {
		if (needs_query(p, s, w))
			snprintf(list[n++], NAME_BYTES, "%s", w->report.id);
	}
	if (n == 0)
		return;
	free(a->queried);
	a->queried = malloc(n * sizeof(list[0]));
	if (a->queried == NULL)
		abort(); /* the step would wait without a query */
	memcpy(a->queried, list, n * sizeof(list[0]));
	a->queried_count = n;
	a->query_in_flight = true;
	a->queried_us = p->now_us;
	x = fx_add(p, POOL_QUERY_POLICY);
	task_get_name(&s->tasks[0], &x->u.policy_query.step);
	x->u.policy_query.workers = malloc(n * sizeof(list[0]));
	if (x->u.policy_query.workers == NULL)
		abort(); /* the step would wait without a query */
	memcpy(x->u.policy_query.workers, list, n * sizeof(list[0]));
	x->u.policy_query.count = n;
}

static const struct step_ticket *
find_ticket(const struct pool_event *ev, const char *worker)
{
	size_t i;

	for (i = 0; i < ev->u.policy_answer.count; i++) {
		if (strcmp(ev->u.policy_answer.tickets[i].worker, worker) == 0)
			return &ev->u.policy_answer.tickets[i];
	}
	return NULL;
}

static void
note_unusable_ticket(
    struct pool *p, const struct job_step *s, struct step_verdict *v)
{
	stored_text_free(&v->ticket); /* an earlier one, which has expired */
	v->query_not_before_us =
	    p->now_us + UNUSABLE_TICKET_RETRY_MS * US_PER_MS;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"ticket cannot be used: the policy is asked again\" job=%s "
	    "step=%u worker=%s kept_bytes=%zu",
	    s->occurrence->job->id, s->number, v->worker, p->tickets.bytes);
}

static void
note_verdict(struct pool *p, struct job_step *s, const char *worker,
    const struct pool_event *ev)
{
	const struct step_ticket *ticket = find_ticket(ev, worker);
	const struct pool_worker *w = pool_find_worker(p, worker);
	struct step_verdict *v;

	if (w == NULL)
		return;
	HASH_FIND_STR(s->advice.verdicts, worker, v);
	if (v == NULL) {
		v = calloc(1, sizeof(*v));
		if (v == NULL)
			return; /* the next query names the worker again */
		snprintf(v->worker, sizeof(v->worker), "%s", worker);
		HASH_ADD_STR(s->advice.verdicts, worker, v);
	}
	v->worker_started_ms = w->report.started_ms;
	v->allowed = ticket != NULL;
	v->ticket_end_us = s->advice.queried_us +
	    (int64_t)ev->u.policy_answer.valid_ms * US_PER_MS;
	v->query_not_before_us = 0;
	if (ticket == NULL)
		stored_text_free(&v->ticket);
	else if (!ticket->usable ||
	    !text_store_put(&p->tickets, &v->ticket, &ticket->ticket))
		note_unusable_ticket(p, s, v);
}

void
pool_policy_answered(struct pool *p, const struct pool_event *ev)
{
	struct task *t = pool_find_task(p, &ev->u.policy_answer.step);
	struct step_advice *a;
	size_t i;

	if (t == NULL)
		return;
	a = &t->step->advice;
	a->query_in_flight = false;
	a->query_failed = !ev->u.policy_answer.ok;
	if (a->query_failed)
		return;
	for (i = 0; i < a->queried_count; i++)
		note_verdict(p, t->step, a->queried[i], ev);
	p->placement_due = true;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"policy answered a query\" job=%s step=%u workers=%zu of=%zu "
	    "took_ms=%lld",
	    t->step->occurrence->job->id, t->step->number,
	    ev->u.policy_answer.count, a->queried_count,
	    (long long)((p->now_us - a->queried_us) / US_PER_MS));
}
