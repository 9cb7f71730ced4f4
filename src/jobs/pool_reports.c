/* What a worker lists in its answer to a lease renewal: runs and their ends. */
#include "pool_state.h"

#define ENDS_PER_REPORT_MAX 500 /* a full list may omit further ends */

/* The task's run has ended or will not begin: its worker has restarted. */
static bool
start_is_fenced(const struct task *t)
{
	return !t->run_confirmed && t->placed_us < t->worker->restarted_us;
}

/*
 * A run that the worker lists and that the pool has not placed there: resumes a
 * task that is inherited, or that a restart has ended and a late start begun
 * again, and stops any other run.
 */
static void
adopt_run(struct pool *p, struct pool_worker *w, const struct run_report *r)
{
	struct task *t = pool_find_task(p, &r->task);
	struct job *j = t != NULL ? t->step->occurrence->job : NULL;

	if (t != NULL && t->worker == w && start_is_fenced(t))
		task_detach(p, t);
	if (t == NULL || job_final(j) || t->done || t->place != PLACE_NONE) {
		p->stats.second_runs +=
		    t != NULL && t->worker != NULL && t->worker != w;
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"stops an unwanted run\" job=%s "
		    "task=%u.%u.%u run=%lld worker=%s known=%d done=%d "
		    "placed_on=%s placed_run=%lld",
		    r->task.job, r->task.occurrence, r->task.step,
		    r->task.index, (long long)r->run, w->report.id, t != NULL,
		    t != NULL && t->done,
		    t != NULL && t->worker != NULL ? t->worker->report.id
						   : "none",
		    t != NULL ? (long long)t->run : 0);
		if (t != NULL && t->step->spec->long_running)
			pool_log_availability(p, t, w, r->run, "unwanted-run");
		fx_stop(p, w, &r->task, r->run);
		account_note_unwanted_run(p, w, r);
		w->unwanted_run_count++;
		return;
	}
	task_attach(t, w);
	task_set_place(p, t, PLACE_RUNNING);
	t->adopted = true;
	if (task_suspect(t))
		task_begin_trial(p, t);
	if (t->run > t->used_run)
		t->used_run = t->run;
	t->run = r->run;
	t->placed_us = t->command_answered_us = t->progress_changed_us =
	    p->now_us;
	j->started = true;
	if (j->state == JOB_QUEUED)
		j->state = JOB_RUNNING;
}

static struct task *
find_listed_task(
    struct pool *p, struct pool_worker *w, const struct run_report *r)
{
	struct task *t = pool_find_task(p, &r->task);

	if (t == NULL || t->worker != w || t->run != r->run)
		return NULL;
	return t;
}

/* Returns true if a long-running task has begun to work. */
static bool
process_running(
    struct pool *p, struct pool_worker *w, const struct renewal_report *report)
{
	const struct run_report *r;
	bool warmed_up = false;
	struct task *t;
	size_t i;

	w->unwanted_run_count = 0;
	for (i = 0; i < report->running_count; i++) {
		r = &report->running[i];
		t = find_listed_task(p, w, r);
		if (t == NULL) {
			adopt_run(p, w, r);
			t = find_listed_task(p, w, r);
			if (t == NULL)
				continue;
		}
		if (task_awaits_list(t))
			t->command_answered_us = p->now_us;
		if (t->place == PLACE_STARTING || task_awaits_list(t))
			task_set_place(p, t, PLACE_RUNNING);
		task_start_arrived(t, w->report.id, r->run);
		t->run_confirmed = t->lease_known = true;
		if (!t->begun) {
			t->begun = true;
			t->begun_clock_ms = report->clock_ms;
		}
		/* an unknown one is no sign of a run that hangs */
		if (t->progress_percent != r->progress_percent ||
		    t->progress_changed_us == 0)
			t->progress_changed_us = p->now_us;
		warmed_up |= task_warming_up(t) && r->progress_percent >= 100;
		if (r->progress_percent != RUN_PROGRESS_UNKNOWN)
			t->progress_percent = r->progress_percent;
		t->usage = r->usage;
		t->last_listed_in = w->report_count;
		if (t->crashes != NULL && t->crashes->on_trial &&
		    task_survived_ms(t) >= t->crashes->trial_ms)
			task_pass_trial(p, t);
		pool_note_checkpoint(
		    p, t, &r->checkpoint, r->checkpoint_left_out);
	}
	return warmed_up;
}

static void
process_ended(
    struct pool *p, struct pool_worker *w, const struct renewal_report *report)
{
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		if (report->ended[i].number <= w->last_end)
			continue;
		w->last_end = report->ended[i].number;
		pool_run_ended(p, w, &report->ended[i]);
	}
}

/*
 * Detaches the tasks in neither list of the report whose last command had been
 * answered when the renewal was sent: such a run does not exist and cannot
 * start any more.
 */
static void
detach_unlisted_tasks(struct pool *p, struct pool_worker *w, int64_t sent_us)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (t->last_listed_in == w->report_count ||
		    t->command_answered_us == 0 ||
		    t->command_answered_us > sent_us ||
		    t->place == PLACE_STARTING)
			continue;
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker does not list a run: detaches its task\" "
		    "job=%s task=%u.%u run=%lld worker=%s",
		    t->step->occurrence->job->id, t->step->number, t->index,
		    (long long)t->run, w->report.id);
		task_detach(p, t);
	}
}

/* Their runs may be in rows that cannot be read: they go on. */
static void
excuse_unlisted_tasks(struct pool *p, struct pool_worker *w)
{
	struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->last_listed_in != w->report_count)
			t->progress_changed_us = p->now_us;
	}
}

bool
worker_process_report(struct pool *p, struct pool_worker *w,
    const struct renewal_report *r, int64_t sent_us)
{
	bool warmed_up;

	/* Ends come first, so that no ended run is adopted. */
	process_ended(p, w, r);
	warmed_up = process_running(p, w, r);
	w->all_ends_listed |=
	    r->ended_count + r->unreadable_count < ENDS_PER_REPORT_MAX;
	if (r->unreadable_count > 0)
		excuse_unlisted_tasks(p, w);
	else if (r->ended_count < ENDS_PER_REPORT_MAX)
		detach_unlisted_tasks(p, w, sent_us);
	return warmed_up;
}
