/* Holds of workers: leases renewed, what runs and what has ended there. */
#include "pool_state.h"

#define HOLD_WAIT_BUSY_MS 1000 /* a hold waits so long for an end … */
#define HOLD_WAIT_FILLS_MS 400 /* … where tails are watched … */
#define HOLD_WAIT_BEGINS_MS 150 /* … where a task is about to be at work … */
#define HOLD_WAIT_MOVES_MS 300 /* … where one may be moved to soon … */
#define HOLD_WAIT_IDLE_MS                                    \
	2000 /* … and where nothing runs: the most allowed \
	      */
#define HOLD_RETRY_MS 100 /* after a hold without an answer */
#define HOLD_RETRY_MAX_MS 1000
#define HOLD_UNACKED_MS 250 /* between holds that would end at once */
#define LATE_ORDER_MS                                          \
	12000 /* an order without an answer may arrive so late \
	       */
#define LEASE_MAX_MS 6000 /* that a worker grants, by the platform's bounds */
#define WORKERS_EVERY_MS 20 /* leases and entries that end by time */
#define ENDS_OF_A_REPORT 500 /* a full list may hide further ends */

/* A hold waits for an end: what else is to be seen soon makes it shorter. */
static int
hold_wait_ms(const struct pool *p, const struct pool_worker *w)
{
	int wait_ms = HOLD_WAIT_BUSY_MS;
	const struct task *t;

	if (w->task_count == 0)
		return p->now_us < p->moves_until_us ? HOLD_WAIT_MOVES_MS
						     : HOLD_WAIT_IDLE_MS;
	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (task_warming_up(t))
			return HOLD_WAIT_BEGINS_MS;
		/* tails of the tasks that serve beside it are watched */
		if (t->step->spec->best_effort)
			wait_ms = HOLD_WAIT_FILLS_MS;
	}
	return wait_ms;
}

/*
 * What a hold may grant.  While the store does not say yet that a worker has
 * answered, a lease must be over when a next owner stops waiting for it.
 */
static int64_t
grant_ms(const struct pool *p, const struct pool_worker *w)
{
	int64_t left_ms;

	/* its clock is not known yet; or what it may run must end some time */
	if (!w->fence_confirmed || w->missed_renewals > 0)
		return 0;
	if (w->record_current && w->record_serial <= p->stored_serial)
		return p->opts.lease_ms;
	left_ms = (int64_t)((double)(w->successor_wait_end_ms - p->now_ms) *
	    CLOCK_RATE_MIN);
	return left_ms < p->opts.lease_ms ? left_ms : p->opts.lease_ms;
}

static void
hold_send(struct pool *p, struct pool_worker *w)
{
	struct pool_effect *x = fx_add(p, POOL_RENEW);
	int64_t end_ms, granted_ms = grant_ms(p, w);

	fx_target(&x->u.renewal.worker, w);
	/*
	 * Told once, right after an answer: a new life of the worker under the
	 * same id counts its ends from 1 again, and would forget them unseen.
	 */
	w->in_flight_ack_end =
	    w->missed_renewals == 0 && w->acked_end > w->delivered_ack_end
	    ? w->acked_end
	    : 0;
	x->u.renewal.acked_end = w->in_flight_ack_end;
	w->renewal_in_flight = true;
	if (granted_ms <= 0)
		return;
	end_ms = worker_clock_ms(w, p->now_us) + granted_ms;
	if (end_ms > w->lease_end_ms)
		w->lease_end_ms = end_ms;
	x->u.renewal.lease_end_ms = end_ms;
	if (w->last_end > w->acked_end)
		return;
	x->u.renewal.wait_ms = hold_wait_ms(p, w);
}

/* Ends that are stored may be forgotten; the next hold says so. */
static void
worker_advance_acks(struct pool *p, struct pool_worker *w)
{
	if (w->pending_ack_end > w->acked_end &&
	    p->stored_serial >= w->pending_ack_serial) {
		w->acked_end = w->pending_ack_end;
		w->renewal_due_us = p->now_us;
	}
	if (w->pending_ack_end <= w->acked_end && w->last_end > w->acked_end) {
		w->pending_ack_end = w->last_end;
		w->pending_ack_serial = p->write_serial;
		if (p->stored_serial >= w->pending_ack_serial) {
			w->acked_end = w->pending_ack_end;
			w->renewal_due_us = p->now_us;
		}
	}
}

/*
 * An order that was not answered may arrive at a new life, whose clock starts
 * anew: its lease is cut to the most that workers grant, from then on.
 */
static bool
unheard_lease_over(const struct pool *p, const struct pool_worker *w)
{
	return p->ownership_confirmed_us - w->clock_read_us >
	    (LATE_ORDER_MS + LEASE_MAX_MS) * US_PER_MS;
}

/*
 * A successor that reaches the worker goes on with what runs there.  There was
 * none yet while this owner was confirmed: a lease that was over by then has
 * been extended by nobody.
 */
static void
worker_check_lease(struct pool *p, struct pool_worker *w)
{
	if (w->missed_renewals == 0 || w->task_count == 0)
		return;
	if (w->fence_confirmed
		? worker_lease_expired(w, p->ownership_confirmed_us)
		: unheard_lease_over(p, w)) {
		w->idle_by_ms = p->now_ms;
		worker_mark_record_stale(p, w);
		worker_detach_tasks(p, w, "lease-over");
		p->placement_due = true;
	}
}

/* A hold is to be sent at "hold_due_us". */
static bool
hold_waits(const struct pool_worker *w)
{
	return !w->renewal_in_flight && !w->machine_removed;
}

int64_t
pool_next_renewal_us(const struct pool *p, int64_t latest_us)
{
	return p->next_renewal_us < latest_us ? p->next_renewal_us : latest_us;
}

/* What is due for one worker; it may be freed. */
static void
worker_run(struct pool *p, struct pool_worker *w)
{
	worker_check_lease(p, w);
	if (!worker_present(p, w) && !w->machine_removed &&
	    w->task_count == 0 && !w->renewal_in_flight &&
	    (w->fence_confirmed || !w->inherited ||
		p->now_us >= p->reconcile_end_us)) {
		worker_free(p, w);
		return;
	}
	worker_advance_acks(p, w);
	if (hold_waits(w) && p->now_us >= w->renewal_due_us)
		hold_send(p, w);
	if (hold_waits(w) && w->renewal_due_us < p->next_renewal_us)
		p->next_renewal_us = w->renewal_due_us;
}

/* Events that say something of one worker at most leave the others alone. */
static bool
all_workers_due(const struct pool *p, enum pool_event_kind kind)
{
	if (p->now_us >= p->next_renewal_us ||
	    p->now_us - p->workers_checked_us >= WORKERS_EVERY_MS * US_PER_MS)
		return true;
	switch (kind) {
	case POOL_TICK:
	case POOL_QUEUE_CHANGE:
	case POOL_RENEWAL_DONE: /* its worker is looked at alone */
	case POOL_START_DONE:
	case POOL_STOP_DONE: /* brings "next_hold_us" forward */
	case POOL_SUBMIT:
	case POOL_CANCEL:
	case POOL_JOB_QUERY:
	case POOL_COUNT_WAITING:
	case POOL_POLICY_ANSWER:
	case POOL_INCOMING:
		return false;
	case POOL_LOADED:
	case POOL_WORKER_ENTRY:
	case POOL_WORKER_UNLISTED:
	case POOL_CORDON:
	case POOL_LIVENESS_LIST:
	case POOL_STORED: /* ends may be acknowledged now */
		return true;
	}
	return true;
}

void
pool_run_renewals(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w, *next;

	if (!all_workers_due(p, ev->kind)) {
		w = ev->kind == POOL_RENEWAL_DONE
		    ? pool_find_worker(p, ev->u.renewal.worker)
		    : NULL;
		if (w != NULL)
			worker_run(p, w);
		return;
	}
	p->workers_checked_us = p->now_us;
	p->next_renewal_us = INT64_MAX;
	HASH_ITER(hh, p->workers, w, next)
	{
		worker_run(p, w);
	}
}

void
worker_ended(struct pool *p, struct pool_worker *w, const char *why)
{
	worker_detach_tasks(p, w, why);
	w->fence_confirmed = false;
	w->inherited = false; /* nor does anything of earlier terms run there */
	if (w->idle_by_ms == 0 || w->idle_by_ms > p->now_ms) {
		w->idle_by_ms = p->now_ms;
		worker_mark_record_stale(p, w);
	}
	w->renewal_due_us = p->now_us + HOLD_RETRY_MAX_MS * US_PER_MS;
	p->placement_due = true;
}

static void
hold_failed(struct pool *p, struct pool_worker *w, enum command_result end)
{
	int64_t pause = HOLD_RETRY_MS;

	w->missed_renewals++;
	if (w->in_flight_ack_end > 0 && end != COMMAND_UNSENT)
		w->late_ack_until_us = p->now_us + LATE_ORDER_MS * US_PER_MS;
	if (w->missed_renewals == SILENT_MISSED_RENEWALS)
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"worker does not answer: no new tasks\" worker=%s "
		    "heard_ms_ago=%lld end=%d",
		    w->report.id,
		    (long long)((p->now_us - w->last_reply_us) / US_PER_MS),
		    end);
	/*
	 * A next owner need not wait for it as long again: it has had no lease
	 * of this term, and gets none that lasts longer before it has answered
	 * and that is stored.
	 */
	if (w->idle_by_ms != 0 && w->idle_by_ms != w->recorded_idle_by_ms)
		worker_mark_record_stale(p, w);
	pause *= w->missed_renewals;
	if (pause > HOLD_RETRY_MAX_MS)
		pause = HOLD_RETRY_MAX_MS;
	w->renewal_due_us = p->now_us + pause * US_PER_MS;
	if (end == COMMAND_OTHER_INCARNATION)
		worker_ended(p, w, "other-life");
}

/* A run that the worker lists and that the pool did not know there. */
static void
adopt_run(struct pool *p, struct pool_worker *w, const struct run_report *r)
{
	struct job *j = pool_find_job(p, r->task.job);
	struct task *t = j != NULL ? job_find_task(j, &r->task) : NULL;

	if (t == NULL || job_final(j) || t->done || t->place != PLACE_NONE) {
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"stops a run that is not wanted\" job=%s "
		    "task=%u.%u.%u run=%lld worker=%s known=%d",
		    r->task.job, r->task.occurrence, r->task.step,
		    r->task.index, (long long)r->run, w->report.id, t != NULL);
		fx_stop(p, w, &r->task, r->run);
		w->unwanted_run_count++;
		return;
	}
	task_attach(t, w);
	task_set_place(p, t, PLACE_RUNNING);
	t->adopted = true;
	t->run = r->run > t->run ? r->run : t->run;
	t->placed_us = t->command_answered_us = t->progress_changed_us =
	    p->now_us;
	j->started = true;
	if (j->state == JOB_QUEUED)
		j->state = JOB_RUNNING;
}

static struct task *
run_task(struct pool *p, struct pool_worker *w, const struct run_report *r)
{
	struct job *j = pool_find_job(p, r->task.job);
	struct task *t = j != NULL ? job_find_task(j, &r->task) : NULL;

	if (t == NULL || t->worker != w || t->run != r->run)
		return NULL;
	return t;
}

/* Returns true if a task that lasts has come to work. */
static bool
take_running(
    struct pool *p, struct pool_worker *w, const struct renewal_report *report)
{
	const struct run_report *r;
	bool begun = false;
	struct task *t;
	size_t i;

	w->unwanted_run_count = 0;
	for (i = 0; i < report->running_count; i++) {
		r = &report->running[i];
		t = run_task(p, w, r);
		if (t == NULL) {
			adopt_run(p, w, r);
			t = run_task(p, w, r);
			if (t == NULL)
				continue;
		}
		if (t->place == PLACE_STARTING)
			task_set_place(p, t, PLACE_RUNNING);
		if (t->progress_percent != r->progress_percent ||
		    t->progress_changed_us == 0)
			t->progress_changed_us = p->now_us;
		begun |= task_warming_up(t) && r->progress_percent >= 100;
		t->progress_percent = r->progress_percent;
		t->usage = r->usage;
		t->last_listed_in = w->report_count;
		task_set_checkpoint(t, r->checkpoint);
	}
	return begun;
}

static void
take_ended(
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
 * A task that was on the worker for certain when the hold was sent and that
 * is in neither list is not there, and cannot come any more.
 */
static void
drop_missing(struct pool *p, struct pool_worker *w, int64_t asked_us)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (t->last_listed_in == w->report_count ||
		    t->command_answered_us == 0 ||
		    t->command_answered_us > asked_us ||
		    t->place == PLACE_STARTING)
			continue;
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"run is not at its worker\" job=%s task=%u.%u "
		    "run=%lld "
		    "worker=%s",
		    t->step->occurrence->job->id, t->step->number, t->index,
		    (long long)t->run, w->report.id);
		task_detach(p, t);
	}
}

static void
hold_answered(
    struct pool *p, struct pool_worker *w, const struct pool_event *ev)
{
	const struct renewal_report *r = ev->u.renewal.report;
	bool begun;

	if (r->started_ms != 0 && w->report.started_ms != 0 &&
	    r->started_ms != w->report.started_ms) {
		if (r->started_ms > w->report.started_ms) {
			worker_restarted(p, w, r->clock_ms, r->started_ms);
			w->report.started_ms = r->started_ms;
		}
		w->renewal_due_us = p->now_us;
		return;
	}
	if (!w->fence_confirmed)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker under this fence\" worker=%s fence=%lld "
		    "running=%zu ended=%zu",
		    w->report.id, (long long)p->opts.fence, r->running_count,
		    r->ended_count);
	/* an owner before this one may have granted as much until now */
	if (!w->fence_confirmed &&
	    r->clock_ms + p->opts.lease_ms > w->lease_end_ms)
		w->lease_end_ms = r->clock_ms + p->opts.lease_ms;
	w->fence_confirmed = true;
	w->missed_renewals = w->missing_from_lists = 0;
	if (w->idle_by_ms != 0) { /* before it gets leases again */
		w->idle_by_ms = 0;
		if (w->recorded_idle_by_ms != 0) {
			w->successor_wait_end_ms = w->recorded_idle_by_ms;
			worker_mark_record_stale(p, w);
		}
	}
	if (w->in_flight_ack_end > 0)
		w->delivered_ack_end = w->in_flight_ack_end;
	w->last_reply_us = p->now_us;
	w->report.clock_ms = r->clock_ms;
	w->clock_read_us = p->now_us;
	w->report_count++;
	/* Ends first: what has ended must not be taken for wanted. */
	take_ended(p, w, r);
	begun = take_running(p, w, r);
	if (r->ended_count < ENDS_OF_A_REPORT)
		drop_missing(p, w, ev->u.renewal.sent_us);
	pool_watch_tasks(p, w);
	if (begun)
		pool_watch_evacuating(p);
	pool_throttle_best_effort(p, w);
	w->renewal_due_us = w->last_end > w->acked_end
	    ? p->now_us + HOLD_UNACKED_MS * US_PER_MS
	    : p->now_us;
	p->placement_due = true;
}

void
pool_renewal_done(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w = pool_find_worker(p, ev->u.renewal.worker);

	if (w == NULL)
		return;
	w->renewal_in_flight = false;
	if (ev->u.renewal.report != NULL)
		hold_answered(p, w, ev);
	else
		hold_failed(p, w, ev->u.renewal.result);
}
