/* Watches what runs: orders without effect, stalled tasks, tails. */
#include <stdio.h>
#include <string.h>

#include "pool_state.h"

#define ADOPTED_SPARE_MS 1000 /* an earlier owner's stop may arrive so late */
#define STOP_AGAIN_MS 400 /* a stop that had no effect */
#define STALL_MS 2500 /* without progress: the run stands still */
#define STALL_ESTIMATES 2.0 /* … and so many times its estimate for 1 % */
#define EMPTY_SOFT_MS 1500 /* before work that loses little is stopped … */
#define EMPTY_MAX_MS 4000 /* … and before all is */
#define MOVES_MS 3000 /* lasting tasks move on so long after one had to */
#define PACE_HOLD_MS 700 /* between changes: reports cover half a second */
#define PACE_HIGH 0.85 /* tail ÷ target: slow the fillers down … */
#define PACE_LOW 0.6 /* … and let them go on */
#define PACE_STEP 15 /* percent, upward */
#define PACE_MIN 10 /* below this they are halted */
#define PACE_FULL 100

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
	/* one percent of a long task takes its time */
	limit_ms += (int64_t)(STALL_ESTIMATES * (double)s->estimate_ms / 100);
	return p->now_us - t->progress_changed_us > limit_ms * US_PER_MS;
}

static void
stop_stalled(struct pool *p, struct pool_worker *w, struct task *t)
{
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"run stands still: starts it elsewhere\" job=%s task=%u.%u "
	    "run=%lld worker=%s percent=%d for_ms=%lld",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    (long long)t->run, w->report.id, t->progress_percent,
	    (long long)((p->now_us - t->progress_changed_us) / US_PER_MS));
	snprintf(t->avoid_worker, sizeof(t->avoid_worker), "%s", w->report.id);
	w->fail_streak++;
	task_stop(p, t);
}

bool
task_warming_up(const struct task *t)
{
	return t->step->spec->long_running && t->progress_percent < 100 &&
	    (t->place == PLACE_STARTING || t->place == PLACE_RUNNING);
}

/*
 * At work as far as its worker has said, and that answers.  A run that an
 * earlier owner has told to stop is listed until it ends.
 */
static bool
task_at_work(const struct pool *p, const struct task *t)
{
	int64_t unsure_ms = p->opts.stop_max_ms + ADOPTED_SPARE_MS;

	if (t->adopted && p->now_us - t->placed_us < unsure_ms * US_PER_MS)
		return false;
	return t->place == PLACE_RUNNING && t->progress_percent >= 100 &&
	    t->worker->missed_renewals == 0;
}

/* Others of the step that are not at work, "last" one of them. */
static unsigned
step_away(const struct pool *p, const struct task *t, const struct task **last)
{
	const struct job_step *s = t->step;
	unsigned i, away = 0;

	for (i = 0; i < s->spec->task_count; i++) {
		if (&s->tasks[i] == t || task_at_work(p, &s->tasks[i]))
			continue;
		*last = &s->tasks[i];
		away++;
	}
	return away;
}

/* One line a second: what keeps a worker from being emptied. */
static void
log_stays(struct pool *p, const struct pool_worker *w, const struct task *t,
    unsigned away, const struct task *last)
{
	const struct pool_worker *on = last != NULL ? last->worker : NULL;

	if (p->now_us - p->move_blocked_logged_us < US_PER_S)
		return;
	p->move_blocked_logged_us = p->now_us;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"lasting task stays for now\" job=%s task=%u.%u worker=%s "
	    "emptied_ms_ago=%lld away=%u may_miss=%u one_away=%u on=%s "
	    "percent=%d silent=%d",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    w->report.id,
	    (long long)((p->now_us - w->evacuating_since_us) / US_PER_MS), away,
	    t->step->spec->max_unavailable, last != NULL ? last->index : 0,
	    on != NULL ? on->report.id : "none",
	    last != NULL ? last->progress_percent : 0,
	    on != NULL ? on->missed_renewals : 0);
}

/* Where it has none, the pool asks for a machine first. */
static bool
lasting_has_room(struct pool *p, struct task *t)
{
	if (task_fits_elsewhere(p, t))
		return true;
	if (t->step->occurrence->job->queue.has_policy)
		pool_query_policy(p, t->step);
	p->move_blocked_us = p->now_us;
	return false;
}

/*
 * Our orders may keep no more than "may_miss" tasks of a lasting step away at
 * once.  The task itself counts as at work, whatever was heard of it last.
 */
static bool
lasting_may_move(struct pool *p, const struct pool_worker *w, struct task *t)
{
	const struct step_spec *s = t->step->spec;
	const struct task *last = NULL;
	unsigned away = step_away(p, t, &last);

	if (away < (s->max_unavailable > 0 ? s->max_unavailable : 1) &&
	    lasting_has_room(p, t))
		return true;
	log_stays(p, w, t, away, last);
	return false;
}

/* Its machine is to go into upkeep, and the order is in force. */
static bool
worker_emptied(const struct pool *p, const struct pool_worker *w)
{
	return w->evacuating_since_us != 0 && p->now_us < w->cordon_until_us;
}

/*
 * A worker whose machine is to go into upkeep: lasting tasks move one after
 * the other, work that lasts longer than it can wait for is stopped.
 */
static bool
task_makes_room(struct pool *p, const struct pool_worker *w, struct task *t)
{
	int64_t waited_ms;

	if (!worker_emptied(p, w) || t->place != PLACE_RUNNING)
		return false;
	if (t->step->spec->long_running) {
		p->moves_until_us = p->now_us + MOVES_MS * US_PER_MS;
		return lasting_may_move(p, w, t);
	}
	waited_ms = (p->now_us - w->evacuating_since_us) / US_PER_MS;
	if (waited_ms > EMPTY_MAX_MS)
		return true;
	return waited_ms > EMPTY_SOFT_MS &&
	    (t->step->spec->has_checkpoints || t->progress_percent < 30);
}

/*
 * Tasks of a worker that leaves move while it still answers: lasting ones at
 * once, others where they would not end in time.
 */
static bool
task_must_leave(
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
 * An order to stop that has had no effect yet.  One that was answered waits
 * for a hold that is asked later: sent again before each, none ever would be.
 */
static bool
stop_is_due(const struct pool *p, const struct task *t)
{
	bool listed = t->last_listed_in == t->worker->report_count;

	return (t->place == PLACE_STOPPING || t->place == PLACE_UNCONFIRMED) &&
	    (t->command_answered_us == 0 || listed) &&
	    p->now_us - t->command_sent_us > STOP_AGAIN_MS * US_PER_MS;
}

void
pool_watch_tasks(struct pool *p, struct pool_worker *w)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (task_stalls(p, t))
			stop_stalled(p, w, t);
		else if (stop_is_due(p, t) || task_must_leave(p, w, t) ||
		    task_makes_room(p, w, t))
			task_stop(p, t);
	}
}

void
pool_watch_evacuating(struct pool *p)
{
	struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_emptied(p, w))
			pool_watch_tasks(p, w);
	}
}

/* Worst tail ÷ target of the tasks that serve; 0 where none does. */
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
pace_task(struct pool *p, struct pool_worker *w, struct task *t, int percent)
{
	if (percent == t->throttle_percent)
		return;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"paces a task that fills\" job=%s task=%u.%u worker=%s "
	    "from=%d to=%d",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    w->report.id, t->throttle_percent, percent);
	t->throttle_percent = percent;
	w->throttle_changed_us = p->now_us;
	fx_throttle(p, t, percent);
}

static int
next_pace(int pace, double pressure)
{
	if (pressure > PACE_HIGH) {
		pace /= 2;
		return pace < PACE_MIN ? 0 : pace;
	}
	if (pressure < PACE_LOW)
		pace += PACE_STEP;
	return pace > PACE_FULL ? PACE_FULL : pace;
}

void
pool_throttle_best_effort(struct pool *p, struct pool_worker *w)
{
	double pressure;
	struct task *t;

	if (p->now_us - w->throttle_changed_us < PACE_HOLD_MS * US_PER_MS)
		return;
	pressure = worker_pressure(w);
	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->step->spec->best_effort && t->place == PLACE_RUNNING)
			pace_task(
			    p, w, t, next_pace(t->throttle_percent, pressure));
	}
}
