/*
 * Watches placed tasks: stops without effect, stalled runs, evacuation, and the
 * throttles of best-effort tasks.
 */
#include <stdio.h>
#include <string.h>

#include "pool_state.h"

/* An earlier owner's stop may arrive this long after the takeover. */
#define LATE_STOP_MS 1000
#define STOP_RETRY_MS 400 /* after a stop that had no effect */
/*
 * A run stalls after this time without progress, plus this many times the
 * estimated time for 1 % of its task.
 */
#define STALL_MS 2500
#define STALL_ESTIMATES 2.0
/* Evacuation: time until tasks that lose little work are stopped. */
#define EVACUATE_SOFT_MS 1500
#define EVACUATE_MAX_MS 4000 /* time until all other tasks are stopped */
/* Moves are expected this long after a long-running task had to leave. */
#define MOVES_MS 3000
/*
 * Longest time between two answers of a worker that runs tasks: the longest
 * wait of a renewal and its time-out.
 */
#define REPORT_AGE_MAX_MS 1600
/* Time between changes of a throttle: a report covers half a second. */
#define THROTTLE_INTERVAL_MS 700
/* Ratio of tail latency to target: throttle more above, less below. */
#define PRESSURE_HIGH 0.85
#define PRESSURE_LOW 0.6
#define THROTTLE_STEP_PERCENT 15 /* upward */
#define THROTTLE_MIN_PERCENT 10 /* below this a task is halted */
#define THROTTLE_FULL_PERCENT 100

static bool
task_stalls(const struct pool *p, const struct task *t)
{
	const struct step_spec *s = t->step->spec;
	int64_t limit_ms = STALL_MS + p->opts.restore_ms;

	if (t->place != PLACE_RUNNING || t->progress_changed_us == 0 ||
	    t->throttle_percent == 0)
		return false;
	if (t->progress_percent >= 100) /* at work, or about to end */
		return false;
	/* 1 % of a long task may take longer than STALL_MS */
	limit_ms += (int64_t)(STALL_ESTIMATES * (double)s->estimate_ms / 100);
	return p->now_us - t->progress_changed_us > limit_ms * US_PER_MS;
}

static void
stop_stalled(struct pool *p, struct pool_worker *w, struct task *t)
{
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"run makes no progress: moves its task\" job=%s task=%u.%u "
	    "run=%lld worker=%s percent=%d for_ms=%lld",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    (long long)t->run, w->report.id, t->progress_percent,
	    (long long)((p->now_us - t->progress_changed_us) / US_PER_MS));
	snprintf(t->avoid_worker, sizeof(t->avoid_worker), "%s", w->report.id);
	w->fail_streak++;
	task_stop(p, t, "stalled");
}

bool
task_awaits_list(const struct task *t)
{
	return t->place == PLACE_UNCONFIRMED && !t->stop_sent &&
	    t->step->spec->long_running && !t->step->spec->gang;
}

bool
task_warming_up(const struct task *t)
{
	return t->step->spec->long_running && t->progress_percent < 100 &&
	    (t->place == PLACE_STARTING || t->place == PLACE_RUNNING ||
		task_awaits_list(t));
}

/*
 * What the worker has reported of its tasks still counts: the report is not
 * older than reports become where the owner gets to read them, and the lease is
 * being extended.
 */
static bool
worker_report_valid(const struct pool *p, const struct pool_worker *w)
{
	return w->missed_renewals == 0 &&
	    p->now_us - w->reported_us <= REPORT_AGE_MAX_MS * US_PER_MS &&
	    w->lease_end_ms - worker_clock_ms(w, p->now_us) >
	    p->opts.lease_ms / 2;
}

/*
 * The task is at work by the last report of its worker, and that is valid.
 * An adopted run may have been stopped by an earlier owner and is listed until
 * it ends, so it counts only after the longest time that a stop takes.
 */
static bool
task_at_work(const struct pool *p, const struct task *t)
{
	int64_t stop_end_ms = p->opts.stop_max_ms + LATE_STOP_MS;

	if (t->adopted && p->now_us - t->placed_us < stop_end_ms * US_PER_MS)
		return false;
	return t->place == PLACE_RUNNING && t->progress_percent >= 100 &&
	    worker_report_valid(p, t->worker);
}

/*
 * Number of other tasks of the step that are not at work; "last" is set to one
 * of them.
 */
static unsigned
count_unavailable(
    const struct pool *p, const struct task *t, const struct task **last)
{
	const struct job_step *s = t->step;
	unsigned i, unavailable = 0;

	for (i = 0; i < s->spec->task_count; i++) {
		if (&s->tasks[i] == t || task_at_work(p, &s->tasks[i]))
			continue;
		*last = &s->tasks[i];
		unavailable++;
	}
	return unavailable;
}

void
pool_log_availability(struct pool *p, const struct task *t,
    const struct pool_worker *w, int64_t run, const char *why)
{
	const struct job_step *s = t->step;
	const struct task *last = NULL;
	int64_t age_us, oldest_us = 0;
	unsigned i;

	for (i = 0; i < s->spec->task_count; i++) {
		if (&s->tasks[i] == t || s->tasks[i].worker == NULL)
			continue;
		age_us = p->now_us - s->tasks[i].worker->reported_us;
		oldest_us = age_us > oldest_us ? age_us : oldest_us;
	}
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"ends a long-running task\" job=%s task=%u.%u run=%lld "
	    "worker=%s why=%s percent=%d away=%u may_miss=%u "
	    "oldest_report_ms=%lld lease_left_ms=%lld",
	    s->occurrence->job->id, s->number, t->index, (long long)run,
	    w->report.id, why, t->worker == w ? t->progress_percent : -1,
	    count_unavailable(p, t, &last), s->spec->max_unavailable,
	    (long long)(oldest_us / US_PER_MS),
	    (long long)(w->lease_end_ms - worker_clock_ms(w, p->now_us)));
}

/* Logs why a task cannot leave an evacuating worker, once a second at most. */
static void
log_move_blocked(struct pool *p, const struct pool_worker *w,
    const struct task *t, unsigned unavailable, const struct task *last)
{
	const struct pool_worker *on = last != NULL ? last->worker : NULL;

	if (p->now_us - p->move_blocked_logged_us < US_PER_S)
		return;
	p->move_blocked_logged_us = p->now_us;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"long-running task cannot move\" job=%s task=%u.%u worker=%s "
	    "emptied_ms_ago=%lld away=%u may_miss=%u one_away=%u on=%s "
	    "percent=%d silent=%d report_ms_ago=%lld",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    w->report.id,
	    (long long)((p->now_us - w->evacuating_since_us) / US_PER_MS),
	    unavailable, t->step->spec->max_unavailable,
	    last != NULL ? last->index : 0, on != NULL ? on->report.id : "none",
	    last != NULL ? last->progress_percent : 0,
	    on != NULL ? on->missed_renewals : 0,
	    on != NULL ? (long long)((p->now_us - on->reported_us) / US_PER_MS)
		       : -1);
}

/*
 * Another worker has capacity for the task.  If none has, the pool's demand
 * includes one more machine, and the task moves once that has joined.
 */
static bool
has_capacity_elsewhere(struct pool *p, struct task *t)
{
	if (task_fits_elsewhere(p, t))
		return true;
	if (t->step->occurrence->job->queue.has_policy)
		pool_query_policy(p, t->step);
	p->move_blocked_us = p->now_us;
	return false;
}

/*
 * Commands of the owner may make at most max_unavailable tasks of a
 * long-running step unavailable at once, or one if that is 0.  The task itself
 * counts as at work, whatever its last report says.
 */
static bool
long_running_may_move(
    struct pool *p, const struct pool_worker *w, struct task *t)
{
	const struct step_spec *s = t->step->spec;
	const struct task *last = NULL;
	unsigned unavailable = count_unavailable(p, t, &last);

	if (unavailable < (s->max_unavailable > 0 ? s->max_unavailable : 1) &&
	    has_capacity_elsewhere(p, t))
		return true;
	log_move_blocked(p, w, t, unavailable, last);
	return false;
}

/*
 * Their steps may miss all long-running tasks of the worker at once, for the
 * time of its maintenance.
 */
static bool
worker_may_be_missed(const struct pool *p, const struct pool_worker *w)
{
	const struct task *t, *other;
	unsigned i, missing;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (!t->step->spec->long_running)
			continue;
		missing = 0;
		for (i = 0; i < t->step->spec->task_count; i++) {
			other = &t->step->tasks[i];
			missing +=
			    other->worker == w || !task_at_work(p, other);
		}
		if (missing > t->step->spec->max_unavailable)
			return false;
	}
	return true;
}

/* The worker is evacuated for maintenance, and its cordon has not expired. */
static bool
worker_evacuating(const struct pool *p, const struct pool_worker *w)
{
	return w->evacuating_since_us != 0 && p->now_us < w->cordon_until_us;
}

/*
 * The task has to leave a worker that is evacuated: long-running tasks move one
 * after the other; other tasks may end first, up to a time limit.  After that
 * time, long-running tasks that may be missed end without another worker.
 */
static bool
task_must_evacuate(struct pool *p, const struct pool_worker *w, struct task *t)
{
	int64_t waited_ms;

	if (!worker_evacuating(p, w) || t->place != PLACE_RUNNING)
		return false;
	waited_ms = (p->now_us - w->evacuating_since_us) / US_PER_MS;
	if (t->step->spec->long_running) {
		p->moves_until_us = p->now_us + MOVES_MS * US_PER_MS;
		return long_running_may_move(p, w, t) ||
		    (waited_ms > EVACUATE_MAX_MS && worker_may_be_missed(p, w));
	}
	if (waited_ms > EVACUATE_MAX_MS)
		return true;
	return waited_ms > EVACUATE_SOFT_MS &&
	    (t->step->spec->has_checkpoints || t->progress_percent < 30);
}

/*
 * The task has to leave a draining worker while that still answers:
 * long-running tasks at once, others if they would not end in time.
 */
static bool
task_must_leave_draining(
    const struct pool *p, const struct pool_worker *w, const struct task *t)
{
	double left_ms;

	if (!w->report.draining || t->place != PLACE_RUNNING)
		return false;
	if (t->step->spec->long_running)
		return true;
	left_ms = (double)t->step->spec->estimate_ms *
	    (100 - t->progress_percent) / 100;
	return (double)(w->drain_end_us - p->now_us) <
	    left_ms * (double)US_PER_MS &&
	    t->progress_percent < 80;
}

/*
 * A stop that has had no effect is sent again.  After an answered stop, a later
 * renewal must still list the run: a stop before each renewal would reset
 * command_answered_us, and no renewal would ever count as sent after the
 * answer.
 */
static bool
stop_retry_due(const struct pool *p, const struct task *t)
{
	bool listed = t->last_listed_in == t->worker->report_count;

	if (task_awaits_list(t))
		return t->worker->last_reply_us >= t->unconfirmed_us;
	return (t->place == PLACE_STOPPING || t->place == PLACE_UNCONFIRMED) &&
	    (t->command_answered_us == 0 || listed) &&
	    p->now_us - t->command_sent_us > STOP_RETRY_MS * US_PER_MS;
}

void
pool_watch_tasks(struct pool *p, struct pool_worker *w)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (task_stalls(p, t))
			stop_stalled(p, w, t);
		else if (stop_retry_due(p, t))
			task_stop(p, t, "stop-unanswered");
		else if (task_must_leave_draining(p, w, t))
			task_stop(p, t, "drains");
		else if (task_must_evacuate(p, w, t))
			task_stop(p, t, "evacuates");
	}
}

void
pool_watch_evacuating(struct pool *p)
{
	struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_evacuating(p, w))
			pool_watch_tasks(p, w);
	}
}

/* Highest ratio of tail latency to target of serving tasks; 0: no such task. */
static double
worker_pressure(const struct pool_worker *w)
{
	double worst = 0, tail;
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->step->spec->tail_target_ms <= 0 ||
		    t->place != PLACE_RUNNING)
			continue;
		tail = (double)t->usage / (double)t->step->spec->tail_target_ms;
		if (tail > worst)
			worst = tail;
	}
	return worst;
}

static void
throttle_task(
    struct pool *p, struct pool_worker *w, struct task *t, int percent)
{
	if (percent == t->throttle_percent)
		return;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"throttles a best-effort task\" job=%s task=%u.%u worker=%s "
	    "from=%d to=%d",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    w->report.id, t->throttle_percent, percent);
	t->throttle_percent = percent;
	w->throttle_changed_us = p->now_us;
	fx_throttle(p, t, percent);
}

static int
next_throttle_percent(int percent, double pressure)
{
	if (pressure > PRESSURE_HIGH) {
		percent /= 2;
		return percent < THROTTLE_MIN_PERCENT ? 0 : percent;
	}
	if (pressure < PRESSURE_LOW)
		percent += THROTTLE_STEP_PERCENT;
	return percent > THROTTLE_FULL_PERCENT ? THROTTLE_FULL_PERCENT
					       : percent;
}

void
pool_throttle_best_effort(struct pool *p, struct pool_worker *w)
{
	double pressure;
	struct task *t;

	if (p->now_us - w->throttle_changed_us <
	    THROTTLE_INTERVAL_MS * US_PER_MS)
		return;
	pressure = worker_pressure(w);
	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->step->spec->best_effort && t->place == PLACE_RUNNING)
			throttle_task(p, w, t,
			    next_throttle_percent(
				t->throttle_percent, pressure));
	}
}
