/*
 * Crashes of workers.  A task may crash each worker that starts it, together
 * with all other tasks there.  All of them are suspects; those that had run for
 * a while before the crash less so than those that had just started.  A suspect
 * starts again on trial (pool_trials.c), where a crash convicts it alone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/* Least time by which a worker must outlive a trial. */
#define TRIAL_MIN_MS 200
/* Difference of two runs' times that is not due to links and timers. */
#define OUTLIVE_MARGIN_MS 100
/*
 * A run that its worker has outlived by this time has not crashed it: tasks
 * crash the workers that start them, and not those that they have run on.
 */
#define LONG_RUN_MS 3000
/* With so many crashes, a task is a suspect unless its run was long. */
#define CRASHES_SUSPECT 2
/*
 * A crash on trial convicts a task if so many crashes came right after its
 * start, or so many in all, and no other worker of the rack went with the last.
 */
#define CRASHES_CONVICT_PLAIN 2
#define CRASHES_CONVICT 3
/*
 * So many convict it without a trial and with a lost rack, if one of the runs
 * had begun: callers allow no further start.
 */
#define CRASHES_MAX 5
/* The same, with crashes that longer runs have cleared it of. */
#define CRASHES_TOTAL_MAX 10
/* Workers that are lost with their rack fall silent within this time. */
#define RACK_LOSS_MS 300

/*
 * Measured on the worker's clock, as answers may wait for the loop.  A start
 * without an answer may be carried out at any later time.
 */
int64_t
task_survived_ms(const struct task *t)
{
	int64_t ms = t->worker->alive_clock_ms - t->begun_clock_ms;

	return t->begun && ms > 0 ? ms : 0;
}

/*
 * The worker was about to leave: its end is no crash.  A cordon alone announces
 * no end, as a machine is only commanded once its worker runs nothing.
 */
static bool
worker_end_expected(const struct pool_worker *w)
{
	return w->report.draining || w->machine_removed;
}

/* Latest time at which the worker, which has ended, can have done so. */
static int64_t
worker_end_us(const struct pool *p, const struct pool_worker *w)
{
	return w->silent_since_us != 0 ? w->silent_since_us : p->now_us;
}

/* Upper bound of the time that the task had run when its worker crashed. */
static int64_t
task_ran_ms(const struct pool *p, const struct task *t)
{
	return (worker_end_us(p, t->worker) - t->placed_us) / US_PER_MS;
}

/*
 * Another worker of the rack fell silent at about the same time, and no trial
 * explains that.  The crash came up to "ran_ms" after the start of the task.
 */
static bool
rack_may_be_lost(const struct pool *p, const struct task *t, int64_t ran_ms)
{
	const struct pool_worker *other, *w = t->worker;
	int64_t apart_us, most_ms;

	if (worker_rack(w)[0] == '\0')
		return false;
	most_ms = RACK_LOSS_MS + ran_ms - task_survived_ms(t);
	for (other = p->workers; other != NULL; other = other->hh.next) {
		if (other == w || other->silent_since_us == 0 ||
		    other->trial_count > 0 || other->crashed_on_trial ||
		    strcmp(worker_rack(other), worker_rack(w)) != 0)
			continue;
		apart_us = other->silent_since_us - worker_end_us(p, w);
		if (llabs(apart_us) < most_ms * US_PER_MS)
			return true;
	}
	return false;
}

static void
log_lost_run(struct pool *p, const struct task *t, bool expected)
{
	const struct task_crashes *c = t->crashes;
	const struct occurrence *o = t->step->occurrence;

	fx_log(p,
	    task_survived_ms(t) < YOUNG_RUN_MS || (c != NULL && c->suspect)
		? LOG_LEVEL_WARN
		: LOG_LEVEL_INFO,
	    "msg=\"run has ended with its worker\" job=%s task=%u.%u.%u "
	    "run=%lld worker=%s expected=%d survived_ms=%lld noticed_ms=%lld "
	    "crashes=%d suspect=%d on_trial=%d",
	    o->job->id, o->number, t->step->number, t->index, (long long)t->run,
	    t->worker->report.id, expected, (long long)task_survived_ms(t),
	    (long long)((p->now_us - t->placed_us) / US_PER_MS),
	    c != NULL ? c->count : 0, c != NULL && c->suspect,
	    c != NULL && c->on_trial);
}

void
task_outlived(struct task *t, int64_t survived_ms)
{
	struct task_crashes *c = t->crashes;

	if (survived_ms >= LONG_RUN_MS)
		c->total = 0;
	if (survived_ms > c->survived_ms)
		c->survived_ms = survived_ms;
	if (c->survived_ms >= c->crash_max_ms + OUTLIVE_MARGIN_MS) {
		c->count = c->begun_count = c->plain_count = 0;
		c->crash_max_ms = 0;
	}
}

/* True if the crashes, the last of them on trial or not, convict the task. */
static bool
crashes_convict(const struct task_crashes *c, bool rack_lost)
{
	if (c->total >= CRASHES_TOTAL_MAX)
		return true;
	if (c->count >= CRASHES_MAX)
		return c->begun_count > 0;
	return !rack_lost &&
	    (c->begun_count >= CRASHES_CONVICT ||
		c->plain_count >= CRASHES_CONVICT_PLAIN);
}

/* Counts a crash of the task's worker; true if it convicts the task. */
static bool
count_crash(struct pool *p, struct task *t)
{
	int64_t survived_ms = task_survived_ms(t), ran_ms = task_ran_ms(p, t);
	bool young = survived_ms < YOUNG_RUN_MS;
	bool plain = t->begun && ran_ms < TRIAL_MIN_MS;
	struct task_crashes *c;

	if (survived_ms >= LONG_RUN_MS && t->crashes == NULL)
		return false;
	c = task_get_crashes(t);
	/* an unanswered start may arrive at the next incarnation, too */
	if (c->counted_run == t->run)
		return false;
	c->counted_run = t->run;
	t->step->occurrence->job->progress_stale = true;
	pool_mark_job_changed(p, t->step->occurrence->job);
	c->total++;
	task_outlived(t, survived_ms);
	/*
	 * Of an earlier run that was outlived by more, and a crash right after
	 * the start, the latter is the better evidence: answers may be read
	 * late.
	 */
	if (plain && ran_ms < c->survived_ms)
		c->survived_ms = ran_ms;
	if (survived_ms >= LONG_RUN_MS ||
	    ran_ms + OUTLIVE_MARGIN_MS < c->survived_ms)
		return c->on_trial && c->total >= CRASHES_TOTAL_MAX;
	c->count++;
	c->begun_count += t->begun;
	c->plain_count += plain;
	if (c->crash_max_ms == 0 || ran_ms < c->crash_max_ms)
		c->crash_max_ms = ran_ms;
	if (c->on_trial || c->count >= CRASHES_MAX)
		return crashes_convict(c, rack_may_be_lost(p, t, ran_ms));
	if (!young && c->count < CRASHES_SUSPECT)
		return false;
	c->suspect = true;
	c->trial_ms = TRIAL_MIN_MS + (young ? 0 : c->crash_max_ms);
	return false;
}

static void
give_up_task(struct pool *p, struct task *t)
{
	const struct task_crashes *c = t->crashes;

	p->stats.given_up++;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"gives up a task that crashes its workers\" job=%s "
	    "task=%u.%u.%u crashes=%d last_worker=%s",
	    t->step->occurrence->job->id, t->step->occurrence->number,
	    t->step->number, t->index, c->count, c->worker);
	pool_fail_job(p, t->step->occurrence->job, t);
}

void
worker_crashed(struct pool *p, struct pool_worker *w)
{
	bool expected = worker_end_expected(w);
	struct task *t, *next;

	if (w->task_count == 0)
		return;
	TAILQ_FOREACH(t, &w->tasks, on_worker)
		log_lost_run(p, t, expected);
	if (expected)
		return;
	p->stats.crashes++;
	w->crashed_on_trial = w->trial_count > 0;
	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (t->done || job_final(t->step->occurrence->job))
			continue;
		if (count_crash(p, t))
			give_up_task(p, t);
	}
}

void
task_add_unseen_crash(struct pool *p, struct task *t)
{
	t->step->occurrence->job->progress_stale = true;
	pool_mark_job_changed(p, t->step->occurrence->job);
	t->crashes->begun_count += t->crashes->fate_begun;
	t->crashes->total++;
	if (t->crashes->crash_max_ms == 0)
		t->crashes->crash_max_ms = LONG_RUN_MS;
	t->crashes->count++;
	if (crashes_convict(t->crashes, true))
		give_up_task(p, t);
}

void
worker_suspect_tasks(
    struct pool *p, struct pool_worker *w, enum detach_scope scope)
{
	struct task_crashes *c;
	struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (!detach_scope_has(scope, t) ||
		    (task_survived_ms(t) >= YOUNG_RUN_MS && !task_suspect(t)))
			continue;
		c = task_get_crashes(t);
		if (!c->suspect)
			c->trial_ms = TRIAL_MIN_MS;
		c->suspect = true;
		log_lost_run(p, t, false);
		task_abort_trial(t);
		snprintf(c->worker, sizeof(c->worker), "%s", w->report.id);
		c->worker_started_ms = w->report.started_ms;
		c->fate_open_us = p->now_us;
		c->fate_begun = t->begun;
		w->fate_awaited = true;
		t->step->occurrence->job->progress_stale = true;
	}
}
