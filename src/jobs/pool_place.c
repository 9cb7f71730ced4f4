/* A scheduling pass: selects the worker of each task that waits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_selection.h"

/* Wait for the data's rack, as a share of the time lost on another rack. */
#define RACK_WAIT_SHARE 0.5

static bool
has_label(const struct pool_worker *w, const char *label)
{
	size_t i;

	for (i = 0; i < w->report.label_count; i++) {
		if (strcmp(w->report.labels[i], label) == 0)
			return true;
	}
	return false;
}

bool
worker_has_capacity(const struct pool_worker *w, const struct step_spec *s)
{
	return w->cpu_milli + step_spec_reserved_cpu_milli(s) <=
	    w->report.cpu_milli &&
	    w->memory_mb + s->memory_mb <= w->report.memory_mb &&
	    w->accelerators + s->accelerators <= w->report.accelerators;
}

bool
worker_fits_if_empty(const struct pool_worker *w, const struct step_spec *s)
{
	return step_spec_reserved_cpu_milli(s) <= w->report.cpu_milli &&
	    s->memory_mb <= w->report.memory_mb &&
	    s->accelerators <= w->report.accelerators &&
	    (s->label[0] == '\0' || has_label(w, s->label));
}

/* One more worker like one of the pool's would fit a waiting task. */
static bool
another_worker_would_help(const struct pool *p, const struct occurrence *o)
{
	const struct pool_worker *w;
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		if (!step_has_waiting_tasks(&o->steps[i]))
			continue;
		for (w = p->workers; w != NULL; w = w->hh.next) {
			if (w->listed &&
			    worker_fits_if_empty(w, o->steps[i].spec))
				return true;
		}
	}
	return false;
}

static unsigned
step_tasks_on_worker(const struct pool_worker *w, const struct job_step *s)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, on_worker)
		n += t->step == s;
	return n;
}

size_t
worker_long_running_tasks(const struct pool_worker *w)
{
	const struct task *t;
	size_t n = 0;

	TAILQ_FOREACH(t, &w->tasks, on_worker)
		n += t->step->spec->long_running;
	return n;
}

bool
worker_may_run(
    const struct pool *p, const struct pool_worker *w, const struct task *t)
{
	const struct step_spec *s = t->step->spec;

	if (!worker_usable(p, w) || p->now_us < w->full_until_us ||
	    !worker_has_capacity(w, s) ||
	    worker_on_trial(p, w, t->step->occurrence->job) ||
	    worker_reserved(p, w, t->step->occurrence->job))
		return false;
	if (s->gang && task_suspect(t) &&
	    !worker_runs_proven(w, t->step->occurrence->job))
		return false;
	if (s->label[0] != '\0' && !has_label(w, s->label))
		return false;
	if (s->max_per_worker > 0 &&
	    step_tasks_on_worker(w, t->step) >= s->max_per_worker)
		return false;
	return !t->step->occurrence->job->queue.has_policy ||
	    step_find_ticket(t->step, w, p->now_us) != NULL;
}

/* Tasks of the step on one rack: the loss of a rack should affect few. */
static unsigned
step_tasks_on_rack(
    const struct pool *p, const char *rack, const struct job_step *s)
{
	const struct pool_worker *w;
	unsigned n = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (strcmp(worker_rack(w), rack) == 0)
			n += step_tasks_on_worker(w, s);
	}
	return n;
}

/* Preference for a worker that may run the task; higher is better. */
static double
score(const struct pool *p, const struct pool_worker *w, const struct task *t)
{
	const struct step_spec *s = t->step->spec;
	double points;

	/* pack tasks, so that machines become free for other pools */
	points = (double)w->cpu_milli /
	    (double)(w->report.cpu_milli > 0 ? w->report.cpu_milli : 1);
	if (t->avoid_worker[0] != '\0' &&
	    strcmp(t->avoid_worker, w->report.id) == 0)
		points -= 8;
	if (w->fail_streak > 0)
		points -= 1;
	/* next to long-running tasks, which keep their machine anyway */
	if (s->long_running && worker_long_running_tasks(w) > 0)
		points += 1;
	/* maintenance would make it move again, one task at a time */
	if (s->long_running && p->now_us < w->maintenance_pending_until_us)
		points -= 4;
	if (s->long_running)
		points -= 0.1 * step_tasks_on_worker(w, t->step) +
		    0.05 * step_tasks_on_rack(p, worker_rack(w), t->step);
	if (s->rack[0] != '\0' && strcmp(worker_rack(w), s->rack) != 0)
		points -= 16;
	if (s->same_rack && t->step->rack[0] != '\0' &&
	    strcmp(worker_rack(w), t->step->rack) != 0)
		points -= 16;
	return points;
}

/* The task waits some time for its data's rack, where it runs faster. */
static bool
waits_for_rack(
    const struct pool *p, const struct pool_worker *w, const struct task *t)
{
	const struct step_spec *s = t->step->spec;
	const struct job *j = t->step->occurrence->job;
	const struct pool_worker *other;
	double cost_ms, waited_ms;

	if (s->rack[0] == '\0' || strcmp(worker_rack(w), s->rack) == 0)
		return false;
	cost_ms = (p->opts.remote_factor - 1) * (double)s->estimate_ms;
	waited_ms = (double)(p->now_ms -
	    (t->step->occurrence->due_ms > 0 ? t->step->occurrence->due_ms
					     : j->submitted_ms));
	if (waited_ms > cost_ms * RACK_WAIT_SHARE)
		return false;
	for (other = p->workers; other != NULL; other = other->hh.next) {
		if (worker_usable(p, other) &&
		    strcmp(worker_rack(other), s->rack) == 0)
			return true;
	}
	return false;
}

static void
update_max_free(struct pool *p)
{
	const struct pool_worker *w;

	memset(&p->max_free, 0, sizeof(p->max_free));
	p->max_free.valid = true;
	p->stats.worker_scans += HASH_COUNT(p->workers);
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_usable(p, w) || p->now_us < w->full_until_us ||
		    worker_on_trial(p, w, NULL) || worker_reserved(p, w, NULL))
			continue;
		if (w->report.cpu_milli - w->cpu_milli > p->max_free.cpu_milli)
			p->max_free.cpu_milli =
			    w->report.cpu_milli - w->cpu_milli;
		if (w->report.memory_mb - w->memory_mb > p->max_free.memory_mb)
			p->max_free.memory_mb =
			    w->report.memory_mb - w->memory_mb;
		if (w->report.accelerators - w->accelerators >
		    p->max_free.accelerators)
			p->max_free.accelerators =
			    w->report.accelerators - w->accelerators;
	}
}

/*
 * False if no worker can have capacity.  During a surge, this rejects most of
 * the waiting tasks without a scan of all workers.
 */
static bool
may_fit(struct pool *p, const struct step_spec *s)
{
	if (!p->max_free.valid)
		update_max_free(p);
	return step_spec_reserved_cpu_milli(s) <= p->max_free.cpu_milli &&
	    s->memory_mb <= p->max_free.memory_mb &&
	    s->accelerators <= p->max_free.accelerators;
}

static struct pool_worker *
choose_worker(struct pool *p, const struct task *t)
{
	struct pool_worker *w, *best = NULL;
	double points, best_points = 0;

	if (!p->placing_in_turn && !may_fit(p, t->step->spec))
		return NULL;
	p->stats.worker_scans += HASH_COUNT(p->workers);
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_may_run(p, w, t))
			continue;
		points = score(p, w, t);
		if (best == NULL || points > best_points) {
			best = w;
			best_points = points;
		}
	}
	if (best != NULL && waits_for_rack(p, best, t))
		return NULL;
	return best;
}

bool
task_fits_elsewhere(struct pool *p, const struct task *t)
{
	struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (w != t->worker && worker_may_run(p, w, t))
			return true;
	}
	return false;
}

static void
step_set_rack(struct job_step *s, const struct pool_worker *w)
{
	if (s->spec->same_rack && s->rack[0] == '\0')
		snprintf(s->rack, sizeof(s->rack), "%s", worker_rack(w));
}

void
place_task(struct pool *p, struct task *t, struct pool_worker *w)
{
	task_attach(t, w);
	p->max_free.valid = false;
}

/*
 * Starts all members of a gang or none, with one run number and from one
 * checkpoint.
 */
static void
place_gang(struct pool *p, struct job_step *s)
{
	const struct step_spec *spec = s->spec;
	struct pool_worker *w;
	int64_t run = 0, next;
	unsigned i, n;

	if (s->placed_count > 0) /* the previous run has not ended yet */
		return;
	if (!gang_store_trial(p, s))
		return;
	/* members placed and taken off again would cause the next pass */
	if (!caps_allow_starts(s, spec->task_count))
		return;
	if (!selection_allows_start(p, s, spec->task_count))
		return;
	/* a gang above the limit starts when no other start is in flight */
	if (p->starts_in_flight > 0 &&
	    !start_window_has_room(p, spec->task_count)) {
		p->start_limit_reached = true;
		return;
	}
	for (n = 0; n < spec->task_count; n++) {
		w = p->now_us >= s->tasks[n].start_not_before_us &&
			!task_awaits_late_start(p, &s->tasks[n]) &&
			caps_allow_start(p, &s->tasks[n])
		    ? choose_worker(p, &s->tasks[n])
		    : NULL;
		if (w == NULL)
			goto undo;
		place_task(p, &s->tasks[n], w);
		step_set_rack(s, w);
		next = task_next_run(p, &s->tasks[n]);
		run = next > run ? next : run;
	}
	for (i = 0; i < spec->task_count; i++) {
		if (task_suspect(&s->tasks[i]))
			task_begin_trial(p, &s->tasks[i]);
		task_start(p, &s->tasks[i], run);
	}
	return;
undo:
	p->max_free.valid = false;
	while (n-- > 0)
		task_detach(p, &s->tasks[n]);
}

static void
place_tasks(struct pool *p, struct job_step *s)
{
	struct pool_worker *w;
	struct task *t;
	unsigned i;

	for (i = 0; i < s->spec->task_count; i++) {
		t = &s->tasks[i];
		if (t->done || t->place != PLACE_NONE ||
		    p->now_us < t->start_not_before_us ||
		    task_awaits_late_start(p, t))
			continue;
		if (!caps_allow_start(p, t) || !selection_allows_start(p, s, 1))
			return; /* the other tasks occupy as much */
		if (!start_window_has_room(p, 1)) {
			p->start_limit_reached = true;
			return;
		}
		if (task_suspect(t)) {
			pool_place_on_trial(p, t);
			continue;
		}
		w = choose_worker(p, t);
		if (w == NULL)
			return; /* the other tasks need as much capacity */
		place_task(p, t, w);
		step_set_rack(s, w);
		task_start(p, t, task_next_run(p, t));
	}
}

static void
place_occurrence(struct pool *p, struct occurrence *o)
{
	struct job_step *s;
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		if (!step_has_waiting_tasks(s))
			continue;
		if (s->spec->gang)
			place_gang(p, s);
		else
			place_tasks(p, s);
		if (step_has_waiting_tasks(s) && o->job->queue.has_policy)
			pool_query_policy(p, s);
	}
}

/* Sets the time at which a condition became true; 0 once it is false. */
static void
update_since(int64_t *since_us, bool holds, int64_t now_us)
{
	if (!holds)
		*since_us = 0;
	else if (*since_us == 0)
		*since_us = now_us;
}

void
pool_place(struct pool *p)
{
	bool starved = false, long_running_starved = false;
	struct candidate *list;
	size_t i, n;

	list = pool_gather_candidates(p, &n);
	if (list == NULL)
		return; /* out of memory: the next event retries */
	p->waiting_occurrences = n;
	p->wait_end_us = INT64_MAX;
	p->max_free.valid = false;
	p->start_limit_reached = false;
	for (i = 0; i < n; i++) {
		p->placing_in_turn = list[i].in_turn;
		place_occurrence(p, list[i].occurrence);
		if (p->placing_in_turn)
			selection_turn_taken(p, list[i].occurrence);
		if (p->start_limit_reached)
			break; /* the rest is not tried: it may find capacity */
		if (list[i].class > RANK_ON_TIME ||
		    caps_hold_back(list[i].occurrence->job) ||
		    !another_worker_would_help(p, list[i].occurrence))
			continue;
		starved = true;
		long_running_starved |= list[i].class == RANK_LONG_RUNNING;
	}
	free(list);
	if (p->start_limit_reached)
		return;
	update_since(&p->starved_since_us, starved, p->now_us);
	update_since(
	    &p->long_running_starved_since_us, long_running_starved, p->now_us);
}
