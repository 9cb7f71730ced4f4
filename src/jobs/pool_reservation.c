/*
 * Workers that are kept free for an overdue job.  Where small tasks wait all
 * the time, capacity for a large task or a gang would never be free at once.
 */
#include <stdio.h>
#include <string.h>

#include "pool_selection.h"

/* A reservation that no scheduling pass renews ends after this time. */
#define RESERVATION_MS 2000

bool
worker_reserved(
    const struct pool *p, const struct pool_worker *w, const struct job *j)
{
	return p->now_us < w->reserved_until_us &&
	    (j == NULL || strcmp(w->reserved_job, j->id) != 0);
}

static void
release_workers(struct pool *p)
{
	struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next)
		w->reserved_until_us = 0;
	p->selection->reserved_until_us = 0;
	p->max_free.valid = false;
}

/* Tasks of the step that the worker can run once its finite tasks have ended.
 */
static unsigned
tasks_if_drained(const struct pool_worker *w, const struct step_spec *s)
{
	struct step_spec all = *s;
	const struct task *t;
	unsigned n;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (!t->step->spec->long_running)
			continue;
		all.cpu_milli += step_spec_reserved_cpu_milli(t->step->spec);
		all.memory_mb += t->step->spec->memory_mb;
		all.accelerators += t->step->spec->accelerators;
	}
	for (n = 0; n < s->task_count && worker_fits_if_empty(w, &all); n++) {
		if (s->max_per_worker > 0 && n == s->max_per_worker)
			break;
		all.cpu_milli += s->cpu_milli;
		all.memory_mb += s->memory_mb;
		all.accelerators += s->accelerators;
	}
	return n;
}

/* The usable worker with most free cores that can run a task of the step. */
static struct pool_worker *
best_to_drain(struct pool *p, const struct job_step *s)
{
	struct pool_worker *w, *best = NULL;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_usable(p, w) || p->now_us < w->reserved_until_us ||
		    tasks_if_drained(w, s->spec) == 0 ||
		    (s->occurrence->job->queue.has_policy &&
			step_find_ticket(s, w, p->now_us) == NULL))
			continue;
		if (best == NULL ||
		    w->report.cpu_milli - w->cpu_milli >
			best->report.cpu_milli - best->cpu_milli)
			best = w;
	}
	return best;
}

static void
reserve(struct pool *p, struct job_step *s)
{
	struct pool_selection *sel = p->selection;
	const struct job *j = s->occurrence->job;
	unsigned wanted = s->spec->gang ? s->spec->task_count : 1, found = 0;
	int64_t until_us = p->now_us + RESERVATION_MS * US_PER_MS;
	struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (p->now_us >= w->reserved_until_us || !worker_usable(p, w))
			continue;
		w->reserved_until_us = until_us;
		found += tasks_if_drained(w, s->spec);
	}
	while (found < wanted && (w = best_to_drain(p, s)) != NULL) {
		w->reserved_until_us = until_us;
		memcpy(w->reserved_job, j->id, sizeof(w->reserved_job));
		found += tasks_if_drained(w, s->spec);
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker reserved for an overdue job\" worker=%s "
		    "job=%s queue=%s account=%s step=%u used_cpu=%lld cpu=%lld",
		    w->report.id, j->id, j->queue.name, job_account_name(j),
		    s->number, (long long)w->cpu_milli,
		    (long long)w->report.cpu_milli);
	}
	if (found < wanted) {
		release_workers(p); /* they would not do */
		return;
	}
	memcpy(sel->reserved_job, j->id, sizeof(sel->reserved_job));
	sel->reserved_until_us = until_us;
	p->max_free.valid = false;
}

/* Tasks of the occurrence have been started in this pass. */
static bool
started_now(const struct pool *p, const struct occurrence *o)
{
	const struct job_step *s;
	size_t i;
	unsigned k;

	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		for (k = 0; s->placed_count > 0 && k < s->spec->task_count;
		     k++) {
			if (s->tasks[k].place != PLACE_NONE &&
			    s->tasks[k].placed_us == p->now_us)
				return true;
		}
	}
	return false;
}

void
selection_turn_taken(struct pool *p, struct occurrence *o)
{
	struct pool_selection *sel = p->selection;
	struct pool_account *a = o->job->account;
	bool holds = p->now_us < sel->reserved_until_us;
	struct job_step *s;
	size_t i;

	if (holds && strcmp(sel->reserved_job, o->job->id) != 0)
		return;
	if (started_now(p, o)) {
		(a != NULL ? a : &sel->no_account)->last_turn_us = p->now_us;
		if (holds)
			release_workers(p);
		return;
	}
	if (sel->turn_denied || p->start_limit_reached)
		return; /* it has not been tried on workers */
	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		if (step_has_waiting_tasks(s) && s->placed_count == 0 &&
		    p->now_us >= s->tasks[0].start_not_before_us &&
		    caps_allow_starts(s, step_spec_unit_tasks(s->spec))) {
			reserve(p, s);
			return;
		}
	}
}
