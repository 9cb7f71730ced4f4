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
	return v != NULL && v->born_ms == w->report.born_ms ? v : NULL;
}

const char *
step_find_ticket(
    const struct job_step *s, const struct pool_worker *w, int64_t now_us)
{
	const struct step_verdict *v = verdict_of(s, w);

	if (v == NULL || !v->allowed ||
	    now_us + TICKET_SPARE_MS * US_PER_MS > v->until_us)
		return NULL;
	return v->ticket;
}

void
step_expire_ticket(struct job_step *s, const struct pool_worker *w)
{
	struct step_verdict *v = verdict_of(s, w);

	if (v != NULL)
		v->until_us = 0;
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
	int64_t ago_ms = (p->now_us - a->asked_us) / US_PER_MS;

	return a->asked_us == 0 ||
	    ago_ms >= (a->asked            ? ASK_LOST_MS
			      : a->refused ? ASK_PAUSE_MS
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
	free(a->named);
	a->named = malloc(n * sizeof(list[0]));
	if (a->named == NULL)
		abort(); /* the step would wait without a question */
	memcpy(a->named, list, n * sizeof(list[0]));
	a->named_count = n;
	a->asked = true;
	a->asked_us = p->now_us;
	x = fx_add(p, POOL_QUERY_POLICY);
	task_get_name(&s->tasks[0], &x->u.advise.step);
	x->u.advise.workers = malloc(n * sizeof(list[0]));
	if (x->u.advise.workers == NULL)
		abort(); /* the step would wait without a question */
	memcpy(x->u.advise.workers, list, n * sizeof(list[0]));
	x->u.advise.count = n;
}

static const struct step_ticket *
find_ticket(const struct pool_event *ev, const char *worker)
{
	size_t i;

	for (i = 0; i < ev->u.advised.count; i++) {
		if (strcmp(ev->u.advised.list[i].worker, worker) == 0)
			return &ev->u.advised.list[i];
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
	v->born_ms = w->report.born_ms;
	v->allowed = ticket != NULL;
	v->until_us =
	    s->advice.asked_us + (int64_t)ev->u.advised.valid_ms * US_PER_MS;
	if (ticket != NULL)
		memcpy(v->ticket, ticket->ticket, sizeof(v->ticket));
}

void
pool_policy_answered(struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.advised.step.job);
	struct task *t =
	    j != NULL ? job_find_task(j, &ev->u.advised.step) : NULL;
	struct step_advice *a;
	size_t i;

	if (t == NULL)
		return;
	a = &t->step->advice;
	a->asked = false;
	a->refused = !ev->u.advised.ok;
	if (a->refused)
		return;
	for (i = 0; i < a->named_count; i++)
		note_verdict(p, t->step, a->named[i], ev);
	p->place_due = true;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"policy has answered\" job=%s step=%u workers=%zu of=%zu "
	    "took_ms=%lld",
	    j->id, t->step->number, ev->u.advised.count, a->named_count,
	    (long long)((p->now_us - a->asked_us) / US_PER_MS));
}
