/*
 * Trials of tasks that may crash their workers.  While a task is on trial, no
 * other job's task starts on its worker, and those that run there have outlived
 * their starts: if the worker crashes, the task on trial is the cause.  A trial
 * is stored before its start, so that a next owner counts it.
 */
#include <stdio.h>
#include <string.h>

#include "pool_state.h"

/* A reservation expires unless the trial begins. */
#define RESERVATION_MS 1000
/* A suspect waits so long for news whether its last worker has crashed. */
#define FATE_WAIT_MS 3000
/* Part of the usable workers that may be on trial at once. */
#define TRIAL_WORKERS_SHARE 0.5
/* Stands for the workers of a gang in the record of its trial. */
#define GANG_WORKERS "-"

bool
task_suspect(const struct task *t)
{
	return t->crashes != NULL && t->crashes->suspect;
}

bool
worker_on_trial(
    const struct pool *p, const struct pool_worker *w, const struct job *j)
{
	if (w->trial_count == 0 && p->now_us >= w->trial_reserved_until_us)
		return false;
	return j == NULL || strcmp(w->trial_job, j->id) != 0;
}

bool
worker_runs_proven(const struct pool_worker *w, const struct job *j)
{
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->step->occurrence->job == j &&
		    (t->step->spec->gang || t->crashes != NULL))
			continue;
		if (t->place != PLACE_STOPPING &&
		    task_survived_ms(t) < YOUNG_RUN_MS)
			return false;
	}
	return true;
}

/*
 * Preference for a trial: suspects of one job share a worker, and the crash
 * should end as few other tasks as possible.
 */
static double
trial_score(
    const struct pool *p, const struct pool_worker *w, const struct job *j)
{
	double points = -(double)w->task_count;

	if (worker_on_trial(p, w, NULL))
		points += 10000;
	return worker_runs_proven(w, j) ? points : points - 1000;
}

static struct pool_worker *
choose_trial_worker(struct pool *p, const struct task *t)
{
	const struct job *j = t->step->occurrence->job;
	struct pool_worker *w, *best = NULL;
	size_t usable = 0, on_trial = 0;

	p->stats.worker_scans += HASH_COUNT(p->workers);
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_usable(p, w))
			continue;
		usable++;
		on_trial += worker_on_trial(p, w, NULL);
		if (worker_may_run(p, w, t) &&
		    (best == NULL ||
			trial_score(p, w, j) > trial_score(p, best, j)))
			best = w;
	}
	if (on_trial > 0 &&
	    (double)on_trial >= TRIAL_WORKERS_SHARE * (double)usable &&
	    best != NULL && !worker_on_trial(p, best, NULL))
		return NULL;
	return best;
}

/* Stores that the task is about to start on trial. */
static void
store_trial(struct pool *p, struct task *t)
{
	pool_write_progress(p, t->step->occurrence->job);
	t->crashes->trial_serial = p->write_serial;
}

static void
reserve_worker(struct pool *p, struct task *t, struct pool_worker *w)
{
	struct task_crashes *c = t->crashes;

	snprintf(w->trial_job, sizeof(w->trial_job), "%s",
	    t->step->occurrence->job->id);
	w->trial_reserved_until_us = p->now_us + RESERVATION_MS * US_PER_MS;
	p->max_free.valid = false;
	snprintf(c->worker, sizeof(c->worker), "%s", w->report.id);
	c->worker_started_ms = w->report.started_ms;
	store_trial(p, t);
}

enum worker_fate {
	FATE_UNKNOWN,
	FATE_ALIVE,
	FATE_GONE
};

static enum worker_fate
find_fate(const struct pool *p, const struct task_crashes *c)
{
	const struct pool_worker *w = pool_find_worker(p, c->worker);

	if (w == NULL || w->is_gone || w->machine_removed ||
	    w->report.started_ms != c->worker_started_ms)
		return FATE_GONE;
	if ((w->fence_confirmed && w->missed_renewals == 0) ||
	    w->named_us > c->fate_open_us)
		return FATE_ALIVE;
	return FATE_UNKNOWN;
}

/*
 * The task was taken off a silent worker, or an earlier owner has stored its
 * trial: the worker may have crashed.  False while that is unknown.
 */
static bool
conclude_fate(struct pool *p, struct task *t)
{
	struct task_crashes *c = t->crashes;
	enum worker_fate fate;

	if (c->fate_open_us == 0)
		return true;
	fate = find_fate(p, c);
	if (fate == FATE_UNKNOWN && c->count == 0)
		fate = FATE_ALIVE; /* its first trial need not wait */
	if (fate == FATE_UNKNOWN &&
	    p->now_us - c->fate_open_us < FATE_WAIT_MS * US_PER_MS)
		return false;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"fate of a suspect's worker\" job=%s task=%u.%u worker=%s "
	    "fate=%d open_ms=%lld crashes=%d",
	    t->step->occurrence->job->id, t->step->number, t->index, c->worker,
	    fate, (long long)((p->now_us - c->fate_open_us) / US_PER_MS),
	    c->count);
	c->fate_open_us = 0;
	c->worker[0] = '\0';
	c->fate_begun &= fate == FATE_GONE;
	if (fate != FATE_ALIVE)
		task_add_unseen_crash(p, t);
	return true;
}

void
task_begin_trial(struct pool *p, struct task *t)
{
	p->stats.trials++;
	t->crashes->on_trial = true;
	t->crashes->fate_open_us = 0;
	t->worker->trial_count++;
	snprintf(t->worker->trial_job, sizeof(t->worker->trial_job), "%s",
	    t->step->occurrence->job->id);
}

void
task_abort_trial(struct task *t)
{
	if (t->crashes == NULL || !t->crashes->on_trial)
		return;
	t->crashes->on_trial = false;
	t->crashes->worker[0] = '\0';
	if (--t->worker->trial_count == 0)
		t->worker->trial_reserved_until_us = 0;
}

void
task_pass_trial(struct pool *p, struct task *t)
{
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"task has passed its trial\" job=%s task=%u.%u.%u run=%lld "
	    "worker=%s survived_ms=%lld crashes=%d",
	    t->step->occurrence->job->id, t->step->occurrence->number,
	    t->step->number, t->index, (long long)t->run, t->worker->report.id,
	    (long long)task_survived_ms(t), t->crashes->count);
	task_outlived(t, task_survived_ms(t));
	task_abort_trial(t);
	t->crashes->suspect = false;
	t->step->occurrence->job->progress_stale = true;
	pool_mark_job_changed(p, t->step->occurrence->job);
	p->placement_due = true;
}

/* The worker reserved for the task's trial; NULL: none any more. */
static struct pool_worker *
reserved_worker(const struct pool *p, const struct task *t)
{
	struct pool_worker *w = pool_find_worker(p, t->crashes->worker);

	if (w == NULL || w->report.started_ms != t->crashes->worker_started_ms)
		return NULL;
	return worker_on_trial(p, w, NULL) && worker_may_run(p, w, t) ? w
								      : NULL;
}

void
pool_place_on_trial(struct pool *p, struct task *t)
{
	struct task_crashes *c = t->crashes;
	struct pool_worker *w;

	if (!conclude_fate(p, t) || c->trial_serial > p->stored_serial ||
	    job_final(t->step->occurrence->job))
		return;
	w = reserved_worker(p, t);
	if (w == NULL) {
		w = choose_trial_worker(p, t);
		if (w != NULL)
			reserve_worker(p, t, w);
		return;
	}
	if (!worker_runs_proven(w, t->step->occurrence->job))
		return;
	place_task(p, t, w);
	task_begin_trial(p, t);
	task_start(p, t, task_next_run(p, t));
}

bool
gang_store_trial(struct pool *p, struct job_step *s)
{
	struct task_crashes *c;
	uint64_t serial = 0;
	unsigned i;

	for (i = 0; i < s->spec->task_count; i++) {
		if (!task_suspect(&s->tasks[i]))
			continue;
		c = s->tasks[i].crashes;
		if (!conclude_fate(p, &s->tasks[i]))
			return false;
		if (c->worker[0] == '\0') {
			snprintf(
			    c->worker, sizeof(c->worker), "%s", GANG_WORKERS);
			c->worker_started_ms = 0;
			store_trial(p, &s->tasks[i]);
		}
		serial = c->trial_serial > serial ? c->trial_serial : serial;
	}
	return serial <= p->stored_serial && !job_final(s->occurrence->job);
}
