/*
 * Crashes of workers.  A task may crash each worker that starts it, together
 * with all other tasks there.
 */
#include "pool_state.h"

/* A run that its worker has outlived by this time has not crashed it. */
#define TRIAL_MS 100

/*
 * Time that the worker has outlived the start of the task's run, by its last
 * answer.
 */
static int64_t
task_survived_ms(const struct task *t)
{
	int64_t us = t->worker->alive_us - t->placed_us;

	return us > 0 ? us / US_PER_MS : 0;
}

/* The worker was about to leave: its end is no crash. */
static bool
worker_end_expected(const struct pool *p, const struct pool_worker *w)
{
	return w->report.draining || w->machine_removed ||
	    p->now_us < w->cordon_until_us;
}

void
worker_log_lost_runs(struct pool *p, const struct pool_worker *w)
{
	bool expected = worker_end_expected(p, w);
	const struct task *t;
	int64_t survived_ms;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		survived_ms = task_survived_ms(t);
		fx_log(p,
		    survived_ms < TRIAL_MS ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
		    "msg=\"run has ended with its worker\" job=%s "
		    "task=%u.%u.%u run=%lld worker=%s expected=%d "
		    "survived_ms=%lld noticed_ms=%lld",
		    t->step->occurrence->job->id, t->step->occurrence->number,
		    t->step->number, t->index, (long long)t->run, w->report.id,
		    expected, (long long)survived_ms,
		    (long long)((p->now_us - t->placed_us) / US_PER_MS));
	}
}
