/* Runs of tasks: start, stop, end. */
#include <stdio.h>
#include <string.h>

#include "pool_state.h"

#define START_RETRY_MS 50 /* after a start failed or was refused */
/* From an answer until it is read, usually; part of LEASE_MARGIN_MS. */
#define CLOCK_BEHIND_MAX_MS 50
/* A worker that refused a start gets no new tasks for this time. */
#define REFUSAL_PAUSE_MS 300
/*
 * This many failures in a row, each the first one of its task, count as the
 * worker's fault.
 */
#define QUARANTINE_STREAK 2
/* Quarantine of such a worker; doubles with each further failure. */
#define QUARANTINE_MS 1000
#define QUARANTINE_DOUBLINGS_MAX 4

int64_t
task_next_run(const struct pool *p, const struct task *t)
{
	int64_t base = (p->opts.fence - 1) * RUNS_PER_TERM;

	if (t->used_run > base)
		base = t->used_run;
	return (t->run > base ? t->run : base) + 1;
}

void
task_set_place(struct pool *p, struct task *t, enum placement place)
{
	p->starts_in_flight -= t->place == PLACE_STARTING;
	p->starts_in_flight += place == PLACE_STARTING;
	t->place = place;
}

void
task_attach(struct task *t, struct pool_worker *w)
{
	const struct step_spec *s = t->step->spec;

	t->worker = w;
	TAILQ_INSERT_TAIL(&w->tasks, t, on_worker);
	w->task_count++;
	w->cpu_milli += step_spec_reserved_cpu_milli(s);
	w->memory_mb += s->memory_mb;
	w->accelerators += s->accelerators;
	t->step->placed_count++;
	account_note_placed(t);
}

void
task_detach(struct pool *p, struct task *t)
{
	const struct step_spec *s = t->step->spec;
	struct pool_worker *w = t->worker;

	if (w == NULL)
		return;
	task_abort_trial(t);
	account_note_detached(t);
	TAILQ_REMOVE(&w->tasks, t, on_worker);
	w->task_count--;
	w->cpu_milli -= step_spec_reserved_cpu_milli(s);
	w->memory_mb -= s->memory_mb;
	w->accelerators -= s->accelerators;
	if (--t->step->placed_count == 0)
		t->step->rack[0] = '\0';
	t->worker = NULL;
	task_set_place(p, t, PLACE_NONE);
	t->begun = false;
	t->progress_percent = 0;
	t->throttle_percent = 100;
	p->placement_due = true;
	pool_mark_job_changed(p, t->step->occurrence->job);
}

void
task_start(struct pool *p, struct task *t, int64_t run)
{
	struct pool_worker *w = t->worker;
	struct buf *checkpoint = task_checkpoint(t);
	struct pool_effect *x = fx_add(p, POOL_START);

	task_set_place(p, t, PLACE_STARTING);
	t->adopted = false;
	t->begun = false;
	t->run_confirmed = t->lease_known = false;
	t->run = run;
	t->placed_us = t->progress_changed_us = t->command_sent_us = p->now_us;
	t->command_answered_us = 0;
	t->stop_sent = false;
	fx_target(&x->u.start.worker, w);
	task_get_name(t, &x->u.start.task);
	x->u.start.run = run;
	x->u.start.spec = job_spec_ref(t->step->occurrence->job->spec);
	x->u.start.lease_end_ms =
	    worker_clock_ms(w, p->now_us) + p->opts.lease_ms;
	w->lease_sent_us = p->now_us;
	if (x->u.start.lease_end_ms > w->lease_end_ms)
		w->lease_end_ms = x->u.start.lease_end_ms;
	x->u.start.checkpoint = buf_ref(checkpoint);
	x->u.start.ticket = buf_ref(step_find_ticket(t->step, w, p->now_us));
	t->checkpoint_loss_logged = false;
	p->stats.starts++;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"starts a run\" job=%s task=%u.%u.%u run=%lld worker=%s "
	    "free_cpu=%lld heard_ms_ago=%lld checkpoint_bytes=%zu trial=%d",
	    t->step->occurrence->job->id, t->step->occurrence->number,
	    t->step->number, t->index, (long long)run, w->report.id,
	    (long long)(w->report.cpu_milli - w->cpu_milli),
	    (long long)((p->now_us - w->last_reply_us) / US_PER_MS),
	    checkpoint != NULL ? checkpoint->len : 0,
	    t->crashes != NULL && t->crashes->on_trial);
}

void
task_stop(struct pool *p, struct task *t, const char *why)
{
	struct task_name n;

	if (t->step->spec->long_running &&
	    (t->place == PLACE_STARTING || t->place == PLACE_RUNNING))
		pool_log_availability(p, t, t->worker, t->run, why);

	switch (t->place) {
	case PLACE_NONE:
		return;
	case PLACE_STARTING:
	case PLACE_UNCONFIRMED:
		task_set_place(p, t, PLACE_UNCONFIRMED);
		break;
	case PLACE_RUNNING:
	case PLACE_STOPPING:
		task_set_place(p, t, PLACE_STOPPING);
		break;
	}
	t->command_sent_us = p->now_us;
	t->command_answered_us = 0;
	t->stop_sent = true;
	task_get_name(t, &n);
	fx_stop(p, t->worker, &n, t->run);
}

/* Stops all members of a gang: it cannot continue without one of them. */
static void
gang_stop(struct pool *p, struct job_step *s)
{
	unsigned i;

	for (i = 0; i < s->spec->task_count; i++) {
		if (s->tasks[i].place == PLACE_STARTING ||
		    s->tasks[i].place == PLACE_RUNNING)
			task_stop(p, &s->tasks[i], "gang-broken");
	}
}

/* One member's end with RUN_DONE stands for the whole gang. */
static void
mark_done(struct pool *p, struct task *t)
{
	struct job_step *s = t->step;
	struct job *j = s->occurrence->job;
	unsigned i;

	if (s->spec->gang) {
		for (i = 0; i < s->spec->task_count; i++)
			task_mark_done(&s->tasks[i], p->now_ms);
	} else {
		task_mark_done(t, p->now_ms);
	}
	if (job_final(j))
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"job is completed\" job=%s queue=%s took_ms=%lld",
		    j->id, j->queue.name,
		    (long long)(p->now_ms - j->submitted_ms));
}

/* Counts the first failure of a task against its worker. */
static void
count_first_failure(struct pool *p, struct pool_worker *w)
{
	int doublings;

	if (++w->fail_streak < QUARANTINE_STREAK)
		return;
	doublings = w->fail_streak - QUARANTINE_STREAK;
	if (doublings > QUARANTINE_DOUBLINGS_MAX)
		doublings = QUARANTINE_DOUBLINGS_MAX;
	w->quarantined_until_us =
	    p->now_us + ((int64_t)QUARANTINE_MS << doublings) * US_PER_MS;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"worker quarantined: tasks fail on it\" worker=%s "
	    "failures=%d for_ms=%d",
	    w->report.id, w->fail_streak, QUARANTINE_MS << doublings);
}

static void
run_failed(struct pool *p, struct pool_worker *w, struct task *t,
    const struct end_report *r)
{
	struct job *j = t->step->occurrence->job;
	/* a gang's failures are counted at its first member */
	struct task *counted = t->step->spec->gang ? t->step->tasks : t;

	p->stats.ends_failed++;
	if (!task_count_failure(counted, r->run))
		return;
	j->progress_stale = true;
	snprintf(t->avoid_worker, sizeof(t->avoid_worker), "%s", w->report.id);
	if (counted->failed_attempts == 1)
		count_first_failure(p, w);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"run has failed\" job=%s task=%u.%u run=%lld worker=%s "
	    "attempts=%d of=%d",
	    j->id, t->step->number, t->index, (long long)r->run, w->report.id,
	    counted->failed_attempts, j->queue.max_attempts);
	if (!t->step->spec->long_running && j->queue.max_attempts > 0 &&
	    counted->failed_attempts >= j->queue.max_attempts)
		pool_fail_job(p, j, t);
}

static void
note_run_time(struct pool *p, const struct task *t)
{
	const struct step_spec *s = t->step->spec;

	if (task_checkpoint(t) == NULL)
		run_time_add(&p->run_times,
		    t->step->occurrence->job->queue.name, s->estimate_ms,
		    (double)(p->now_us - t->placed_us) / (double)US_PER_MS,
		    1.0 / (double)s->task_count);
}

static void
run_done(struct pool *p, struct pool_worker *w, struct task *t)
{
	p->stats.ends_done++;
	w->fail_streak = 0;
	if (t->step->spec->long_running || job_final(t->step->occurrence->job))
		return;
	mark_done(p, t);
	if (t->place != PLACE_NONE) /* another run of the task */
		task_stop(p, t, "task-done");
}

static void
log_lease_expired(
    struct pool *p, const struct pool_worker *w, const struct task *t)
{
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"lease of a long-running task has expired\" job=%s "
	    "task=%u.%u worker=%s extended_ms_ago=%lld ended_ms_ago=%lld",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    w->report.id,
	    (long long)((p->now_us - w->lease_sent_us) / US_PER_MS),
	    (long long)(w->report.clock_ms - w->lease_end_ms));
}

void
pool_note_checkpoint(struct pool *p, struct task *t,
    const struct text_view *checkpoint, bool left_out)
{
	if ((!left_out && task_set_checkpoint(t, checkpoint)) ||
	    t->checkpoint_loss_logged)
		return;
	t->checkpoint_loss_logged = true;
	p->stats.checkpoints_lost++;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"checkpoint cannot be kept: the next run resumes from an "
	    "older one, or from the start\" job=%s task=%u.%u.%u bytes=%zu "
	    "kept_bytes=%zu older=%d",
	    t->step->occurrence->job->id, t->step->occurrence->number,
	    t->step->number, t->index, checkpoint->len, p->checkpoints.bytes,
	    task_checkpoint(t) != NULL);
}

void
pool_run_ended(
    struct pool *p, struct pool_worker *w, const struct end_report *r)
{
	struct task *t = pool_find_task(p, &r->task);
	struct job *j;
	bool placed;

	if (t == NULL) /* its job or occurrence is over */
		return;
	j = t->step->occurrence->job;
	pool_mark_job_changed(p, j);
	placed = t->worker == w && t->run == r->run;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"run has ended\" job=%s task=%u.%u.%u run=%lld worker=%s "
	    "end=%lld how=%d ran_ms=%lld estimate_ms=%lld",
	    j->id, r->task.occurrence, r->task.step, r->task.index,
	    (long long)r->run, w->report.id, (long long)r->number, r->outcome,
	    placed ? (long long)((p->now_us - t->placed_us) / US_PER_MS) : -1,
	    (long long)t->step->spec->estimate_ms);
	if (r->outcome == RUN_LEASE_EXPIRED && t->step->spec->long_running)
		log_lease_expired(p, w, t);
	task_start_arrived(t, w->report.id, r->run);
	if (r->run > t->run)
		t->run = r->run;
	j->progress_stale |= !t->done && r->checkpoint.len > 0;
	pool_note_checkpoint(p, t, &r->checkpoint, r->checkpoint_left_out);
	if (placed && r->outcome == RUN_DONE && !t->step->spec->long_running)
		note_run_time(p, t);
	if (placed && t->crashes != NULL && t->crashes->on_trial &&
	    (r->outcome == RUN_DONE || r->outcome == RUN_FAILED))
		task_pass_trial(p, t);
	if (placed)
		task_detach(p, t);
	switch (r->outcome) {
	case RUN_DONE:
		run_done(p, w, t);
		break;
	case RUN_FAILED:
		run_failed(p, w, t, r);
		break;
	case RUN_STOPPED:
	case RUN_LEASE_EXPIRED:
	case RUN_GANG_BROKEN:
	case RUN_GANG_INCOMPLETE:
		p->stats.ends_other++;
		break;
	}
	if (t->step->spec->gang && !t->done && r->outcome != RUN_DONE && placed)
		gang_stop(p, t->step);
	job_drop_finished(j);
}

/* The task is placed as it was when the command was sent. */
static bool
placed_as_commanded(
    const struct task *t, const struct pool_event_command *command)
{
	return t->worker != NULL && t->run == command->run &&
	    strcmp(t->worker->report.id, command->worker) == 0;
}

static void
start_refused(struct pool *p, struct task *t, enum command_result result)
{
	struct pool_worker *w = t->worker;
	struct job *j = t->step->occurrence->job;

	p->stats.starts_refused++;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"start of a run failed\" job=%s task=%u.%u run=%lld "
	    "worker=%s end=%d cpu_placed=%lld",
	    j->id, t->step->number, t->index, (long long)t->run, w->report.id,
	    result, (long long)w->cpu_milli);
	task_detach(p, t);
	t->start_not_before_us = p->now_us + START_RETRY_MS * US_PER_MS;
	if (result == COMMAND_NO_CAPACITY)
		w->full_until_us = p->now_us + REFUSAL_PAUSE_MS * US_PER_MS;
	else if (result == COMMAND_NO_TICKET)
		step_expire_ticket(t->step, w);
	else if (result != COMMAND_RUN_ENDED)
		w->quarantined_until_us =
		    p->now_us + REFUSAL_PAUSE_MS * US_PER_MS;
	if (t->step->spec->gang)
		gang_stop(p, t->step);
}

/*
 * The run may have begun, or begin later.  A stop blocks it; one of a
 * long-running task may be at work by now, and goes on if the worker lists it.
 */
static void
start_unanswered(struct pool *p, struct task *t)
{
	bool awaits_list = t->step->spec->long_running && !t->step->spec->gang;

	task_note_late_start(t);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"start unanswered: %s\" job=%s task=%u.%u run=%lld worker=%s",
	    awaits_list ? "waits for the worker's list" : "blocks the run",
	    t->step->occurrence->job->id, t->step->number, t->index,
	    (long long)t->run, t->worker->report.id);
	if (!awaits_list) {
		task_stop(p, t, "start-unanswered");
		return;
	}
	task_set_place(p, t, PLACE_UNCONFIRMED);
	t->unconfirmed_us = p->now_us;
}

/*
 * The clock in an answer is not behind that of the worker's known incarnation,
 * so that a lease is over by the latter's reckoning at the latest.
 */
static bool
clock_keeps_up(
    const struct pool *p, const struct pool_worker *w, int64_t clock_ms)
{
	return w->fence_confirmed && clock_ms >= 0 &&
	    clock_ms + CLOCK_BEHIND_MAX_MS >= worker_clock_min_ms(w, p->now_us);
}

void
pool_start_done(struct pool *p, const struct pool_event *ev)
{
	struct task *t = pool_find_task(p, &ev->u.command.task);
	struct job *j;

	/* the task may have been taken off the worker before the answer */
	if (t != NULL && ev->u.command.result != COMMAND_UNANSWERED)
		task_start_arrived(t, ev->u.command.worker, ev->u.command.run);
	if (t == NULL || !placed_as_commanded(t, &ev->u.command) ||
	    (t->place != PLACE_STARTING && t->place != PLACE_UNCONFIRMED))
		return;
	if (ev->u.command.result == COMMAND_UNANSWERED)
		start_window_unanswered(p);
	else
		start_window_answered(p, t->placed_us);
	p->placement_due |= p->start_limit_reached;
	j = t->step->occurrence->job;
	switch (ev->u.command.result) {
	case COMMAND_ACCEPTED:
		/* else a list shows when it began */
		if (worker_note_clock(t->worker, p->now_us, t->placed_us,
			ev->u.command.clock_ms)) {
			t->begun = true;
			t->begun_clock_ms = ev->u.command.clock_ms;
		}
		t->lease_known |=
		    clock_keeps_up(p, t->worker, ev->u.command.clock_ms);
		if (t->place == PLACE_STARTING) {
			task_set_place(p, t, PLACE_RUNNING);
			t->command_answered_us = p->now_us;
		}
		if (!j->started)
			fx_log(p, LOG_LEVEL_INFO,
			    "msg=\"job has begun\" job=%s worker=%s "
			    "after_ms=%lld",
			    j->id, ev->u.command.worker,
			    (long long)(p->now_ms - j->submitted_ms));
		j->started = true;
		if (j->state == JOB_QUEUED)
			j->state = JOB_RUNNING;
		return;
	case COMMAND_UNANSWERED:
		if (t->place == PLACE_STARTING)
			start_unanswered(p, t);
		else /* stopped meanwhile */
			task_note_late_start(t);
		return;
	case COMMAND_OTHER_INCARNATION:
		worker_ended(p, t->worker, "other-life");
		/* which took this start for unanswered */
		t = pool_find_task(p, &ev->u.command.task);
		if (t != NULL)
			task_start_arrived(
			    t, ev->u.command.worker, ev->u.command.run);
		return;
	case COMMAND_UNSENT:
	case COMMAND_FENCED:
	case COMMAND_RUN_ENDED:
	case COMMAND_NO_CAPACITY:
	case COMMAND_NO_TICKET:
	case COMMAND_REFUSED:
		/*
		 * A refused run is not on the worker, as each run is started
		 * only once: of two starts, the other could be accepted.
		 */
		if (t->place == PLACE_STARTING)
			start_refused(p, t, ev->u.command.result);
		return;
	}
}

void
pool_stop_done(struct pool *p, const struct pool_event *ev)
{
	struct task *t = pool_find_task(p, &ev->u.command.task);

	if (t == NULL || !placed_as_commanded(t, &ev->u.command) ||
	    (t->place != PLACE_STOPPING && t->place != PLACE_UNCONFIRMED))
		return;
	switch (ev->u.command.result) {
	case COMMAND_ACCEPTED:
	case COMMAND_RUN_ENDED:
		/* the next renewal lists the remaining runs */
		(void)worker_note_clock(t->worker, p->now_us,
		    t->command_sent_us, ev->u.command.clock_ms);
		t->command_answered_us = p->now_us;
		t->worker->renewal_due_us = p->now_us;
		p->next_renewal_us = p->now_us;
		return;
	case COMMAND_OTHER_INCARNATION:
		worker_ended(p, t->worker, "other-life");
		return;
	case COMMAND_UNSENT:
	case COMMAND_UNANSWERED:
	case COMMAND_FENCED:
	case COMMAND_NO_CAPACITY:
	case COMMAND_NO_TICKET:
	case COMMAND_REFUSED:
		return; /* pool_watch_tasks() sends the stop again */
	}
}
