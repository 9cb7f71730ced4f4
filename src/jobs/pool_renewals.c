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
		if (t->step->spec->fills)
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
	if (!w->held || w->misses > 0)
		return 0;
	if (w->recorded && w->record_serial <= p->written)
		return p->opts.lease_ms;
	left_ms =
	    (int64_t)((double)(w->told_silent_ms - p->now_ms) * CLOCK_RATE_MIN);
	return left_ms < p->opts.lease_ms ? left_ms : p->opts.lease_ms;
}

static void
hold_send(struct pool *p, struct pool_worker *w)
{
	struct pool_effect *x = fx_add(p, POOL_RENEW);
	int64_t end_ms, granted_ms = grant_ms(p, w);

	fx_target(&x->u.hold.worker, w);
	/*
	 * Told once, right after an answer: a new life of the worker under the
	 * same id counts its ends from 1 again, and would forget them unseen.
	 */
	w->telling_end =
	    w->misses == 0 && w->acked_end > w->told_end ? w->acked_end : 0;
	x->u.hold.acked_end = w->telling_end;
	w->hold_out = true;
	if (granted_ms <= 0)
		return;
	end_ms = worker_clock_ms(w, p->now_us) + granted_ms;
	if (end_ms > w->lease_end_ms)
		w->lease_end_ms = end_ms;
	x->u.hold.lease_end_ms = end_ms;
	if (w->seen_end > w->acked_end)
		return;
	x->u.hold.wait_ms = hold_wait_ms(p, w);
}

/* Ends that are stored may be forgotten; the next hold says so. */
static void
worker_advance_acks(struct pool *p, struct pool_worker *w)
{
	if (w->pending_end > w->acked_end && p->written >= w->pending_serial) {
		w->acked_end = w->pending_end;
		w->hold_due_us = p->now_us;
	}
	if (w->pending_end <= w->acked_end && w->seen_end > w->acked_end) {
		w->pending_end = w->seen_end;
		w->pending_serial = p->serial;
		if (p->written >= w->pending_serial) {
			w->acked_end = w->pending_end;
			w->hold_due_us = p->now_us;
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
	return p->confirmed_us - w->clock_us >
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
	if (w->misses == 0 || w->task_count == 0)
		return;
	if (w->held ? worker_lease_expired(w, p->confirmed_us)
		    : unheard_lease_over(p, w)) {
		w->silent_until_ms = p->now_ms;
		worker_mark_record_stale(p, w);
		worker_detach_tasks(p, w, "lease-over");
		p->place_due = true;
	}
}

/* A hold is to be sent at "hold_due_us". */
static bool
hold_waits(const struct pool_worker *w)
{
	return !w->hold_out && !w->left;
}

int64_t
pool_next_renewal_us(const struct pool *p, int64_t latest_us)
{
	return p->next_hold_us < latest_us ? p->next_hold_us : latest_us;
}

/* What is due for one worker; it may be freed. */
static void
worker_run(struct pool *p, struct pool_worker *w)
{
	worker_check_lease(p, w);
	if (!worker_present(p, w) && !w->left && w->task_count == 0 &&
	    !w->hold_out &&
	    (w->held || !w->inherited || p->now_us >= p->settle_until_us)) {
		worker_free(p, w);
		return;
	}
	worker_advance_acks(p, w);
	if (hold_waits(w) && p->now_us >= w->hold_due_us)
		hold_send(p, w);
	if (hold_waits(w) && w->hold_due_us < p->next_hold_us)
		p->next_hold_us = w->hold_due_us;
}

/* Events that say something of one worker at most leave the others alone. */
static bool
all_workers_due(const struct pool *p, enum pool_event_kind kind)
{
	if (p->now_us >= p->next_hold_us ||
	    p->now_us - p->workers_run_us >= WORKERS_EVERY_MS * US_PER_MS)
		return true;
	switch (kind) {
	case POOL_TICK:
	case POOL_QUEUE_CHANGE:
	case POOL_RENEWAL_DONE: /* its worker is looked at alone */
	case POOL_START_DONE:
	case POOL_STOP_DONE: /* brings "next_hold_us" forward */
	case POOL_SUBMIT:
	case POOL_CANCEL:
	case POOL_JOB_STATUS:
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
		    ? pool_find_worker(p, ev->u.held.worker)
		    : NULL;
		if (w != NULL)
			worker_run(p, w);
		return;
	}
	p->workers_run_us = p->now_us;
	p->next_hold_us = INT64_MAX;
	HASH_ITER(hh, p->workers, w, next)
	{
		worker_run(p, w);
	}
}

void
worker_ended(struct pool *p, struct pool_worker *w, const char *why)
{
	worker_detach_tasks(p, w, why);
	w->held = false;
	w->inherited = false; /* nor does anything of earlier terms run there */
	if (w->silent_until_ms == 0 || w->silent_until_ms > p->now_ms) {
		w->silent_until_ms = p->now_ms;
		worker_mark_record_stale(p, w);
	}
	w->hold_due_us = p->now_us + HOLD_RETRY_MAX_MS * US_PER_MS;
	p->place_due = true;
}

static void
hold_failed(struct pool *p, struct pool_worker *w, enum command_result end)
{
	int64_t pause = HOLD_RETRY_MS;

	w->misses++;
	if (w->telling_end > 0 && end != COMMAND_UNSENT)
		w->late_until_us = p->now_us + LATE_ORDER_MS * US_PER_MS;
	if (w->misses == SILENT_MISSED_RENEWALS)
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"worker does not answer: no new tasks\" worker=%s "
		    "heard_ms_ago=%lld end=%d",
		    w->report.id,
		    (long long)((p->now_us - w->heard_us) / US_PER_MS), end);
	/*
	 * A next owner need not wait for it as long again: it has had no lease
	 * of this term, and gets none that lasts longer before it has answered
	 * and that is stored.
	 */
	if (w->silent_until_ms != 0 &&
	    w->silent_until_ms != w->recorded_silent_ms)
		worker_mark_record_stale(p, w);
	pause *= w->misses;
	if (pause > HOLD_RETRY_MAX_MS)
		pause = HOLD_RETRY_MAX_MS;
	w->hold_due_us = p->now_us + pause * US_PER_MS;
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
		w->strangers++;
		return;
	}
	task_attach(t, w);
	task_set_place(p, t, PLACE_RUNNING);
	t->adopted = true;
	t->run = r->run > t->run ? r->run : t->run;
	t->placed_us = t->answered_us = t->progress_us = p->now_us;
	j->begun = true;
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

	w->strangers = 0;
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
		if (t->percent != r->percent || t->progress_us == 0)
			t->progress_us = p->now_us;
		begun |= task_warming_up(t) && r->percent >= 100;
		t->percent = r->percent;
		t->usage = r->usage;
		t->reports = w->reports;
		task_set_checkpoint(t, r->saved);
	}
	return begun;
}

static void
take_ended(
    struct pool *p, struct pool_worker *w, const struct renewal_report *report)
{
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		if (report->ended[i].number <= w->seen_end)
			continue;
		w->seen_end = report->ended[i].number;
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
		if (t->reports == w->reports || t->answered_us == 0 ||
		    t->answered_us > asked_us || t->place == PLACE_STARTING)
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
	const struct renewal_report *r = ev->u.held.report;
	bool begun;

	if (r->born_ms != 0 && w->report.born_ms != 0 &&
	    r->born_ms != w->report.born_ms) {
		if (r->born_ms > w->report.born_ms) {
			worker_restarted(p, w, r->clock_ms, r->born_ms);
			w->report.born_ms = r->born_ms;
		}
		w->hold_due_us = p->now_us;
		return;
	}
	if (!w->held)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker under this fence\" worker=%s fence=%lld "
		    "running=%zu ended=%zu",
		    w->report.id, (long long)p->opts.fence, r->running_count,
		    r->ended_count);
	/* an owner before this one may have granted as much until now */
	if (!w->held && r->clock_ms + p->opts.lease_ms > w->lease_end_ms)
		w->lease_end_ms = r->clock_ms + p->opts.lease_ms;
	w->held = true;
	w->misses = w->census_missing = 0;
	if (w->silent_until_ms != 0) { /* before it gets leases again */
		w->silent_until_ms = 0;
		if (w->recorded_silent_ms != 0) {
			w->told_silent_ms = w->recorded_silent_ms;
			worker_mark_record_stale(p, w);
		}
	}
	if (w->telling_end > 0)
		w->told_end = w->telling_end;
	w->heard_us = p->now_us;
	w->report.clock_ms = r->clock_ms;
	w->clock_us = p->now_us;
	w->reports++;
	/* Ends first: what has ended must not be taken for wanted. */
	take_ended(p, w, r);
	begun = take_running(p, w, r);
	if (r->ended_count < ENDS_OF_A_REPORT)
		drop_missing(p, w, ev->u.held.asked_us);
	pool_watch_tasks(p, w);
	if (begun)
		pool_watch_evacuating(p);
	pool_throttle_best_effort(p, w);
	w->hold_due_us = w->seen_end > w->acked_end
	    ? p->now_us + HOLD_UNACKED_MS * US_PER_MS
	    : p->now_us;
	p->place_due = true;
}

void
pool_renewal_done(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w = pool_find_worker(p, ev->u.held.worker);

	if (w == NULL)
		return;
	w->hold_out = false;
	if (ev->u.held.report != NULL)
		hold_answered(p, w, ev);
	else
		hold_failed(p, w, ev->u.held.end);
}
