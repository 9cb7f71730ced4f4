/*
 * What a queue's policy has said of workers for a step.  It is asked about
 * some workers at a time, and about others while tasks still find no room.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/* Workers of one question: what the users' objective allows time for. */
#define ASK_WORKERS 30
#define ASK_LOST_MS 1500 /* a question that gets no answer */
#define ASK_PAUSE_MS 200 /* after a policy that refuses */
#define TICKET_SPARE_MS 200 /* a ticket must hold so long yet */

static struct step_verdict *
verdict_of(const struct job_step *s, const struct pool_worker *w)
{
	struct step_verdict *v;

	HASH_FIND_STR(s->advice.verdicts, w->report.id, v);
	return v != NULL && v->worker_started_ms == w->report.started_ms ? v
									 : NULL;
}

const char *
step_find_ticket(
    const struct job_step *s, const struct pool_worker *w, int64_t now_us)
{
	const struct step_verdict *v = verdict_of(s, w);

	if (v == NULL || !v->allowed ||
	    now_us + TICKET_SPARE_MS * US_PER_MS > v->ticket_end_us)
		return NULL;
	return v->ticket;
}

void
step_expire_ticket(struct job_step *s, const struct pool_worker *w)
{
	struct step_verdict *v = verdict_of(s, w);

	if (v != NULL)
		v->ticket_end_us = 0;
}

/* Nothing is known of it, or its ticket has run out. */
static bool
must_ask(
    const struct pool *p, const struct job_step *s, const struct pool_worker *w)
{
	const struct step_verdict *v = verdict_of(s, w);

	if (!worker_usable(p, w) || !worker_has_capacity(w, s->spec))
		return false;
	return v == NULL ||
	    (v->allowed && step_find_ticket(s, w, p->now_us) == NULL);
}

static bool
may_ask(const struct pool *p, const struct step_advice *a)
{
	int64_t ago_ms = (p->now_us - a->queried_us) / US_PER_MS;

	return a->queried_us == 0 ||
	    ago_ms >= (a->query_in_flight       ? ASK_LOST_MS
			      : a->query_failed ? ASK_PAUSE_MS
						: 0);
}

void
pool_query_policy(struct pool *p, struct job_step *s)
{
	struct step_advice *a = &s->advice;
	const struct pool_worker *w;
	char list[ASK_WORKERS][NAME_BYTES];
	struct pool_effect *x;
	size_t n = 0;

	if (!may_ask(p, a))
		return;
	for (w = p->workers; w != NULL && n < ASK_WORKERS; w = w->hh.next) {
		if (must_ask(p, s, w))
			snprintf(list[n++], NAME_BYTES, "%s", w->report.id);
	}
	if (n == 0)
		return;
	free(a->queried);
	a->queried = malloc(n * sizeof(list[0]));
	if (a->queried == NULL)
		abort(); /* the step would wait without a question */
	memcpy(a->queried, list, n * sizeof(list[0]));
	a->queried_count = n;
	a->query_in_flight = true;
	a->queried_us = p->now_us;
	x = fx_add(p, POOL_QUERY_POLICY);
	task_get_name(&s->tasks[0], &x->u.policy_query.step);
	x->u.policy_query.workers = malloc(n * sizeof(list[0]));
	if (x->u.policy_query.workers == NULL)
		abort(); /* the step would wait without a question */
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
			return; /* it is asked about again */
		snprintf(v->worker, sizeof(v->worker), "%s", worker);
		HASH_ADD_STR(s->advice.verdicts, worker, v);
	}
	v->worker_started_ms = w->report.started_ms;
	v->allowed = ticket != NULL;
	v->ticket_end_us = s->advice.queried_us +
	    (int64_t)ev->u.policy_answer.valid_ms * US_PER_MS;
	if (ticket != NULL)
		memcpy(v->ticket, ticket->ticket, sizeof(v->ticket));
}

void
pool_policy_answered(struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.policy_answer.step.job);
	struct task *t =
	    j != NULL ? job_find_task(j, &ev->u.policy_answer.step) : NULL;
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
	    "msg=\"policy has answered\" job=%s step=%u workers=%zu of=%zu "
	    "took_ms=%lld",
	    j->id, t->step->number, ev->u.policy_answer.count, a->queried_count,
	    (long long)((p->now_us - a->queried_us) / US_PER_MS));
}
