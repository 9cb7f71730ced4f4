/*
 * Lease renewals.  A worker answers with its running and ended runs; it may
 * delay the answer until a run ends.
 */
#include "pool_state.h"

/* Longest time that a worker delays its answer to wait for an end of a run. */
#define RENEWAL_WAIT_BUSY_MS 1000
/* The tail latencies next to a best-effort task are watched. */
#define RENEWAL_WAIT_BEST_EFFORT_MS 400
#define RENEWAL_WAIT_WARM_UP_MS 150 /* a long-running task is starting up */
#define RENEWAL_WAIT_TRIAL_MS 50 /* a task is on trial */
#define RENEWAL_WAIT_MOVES_MS 300 /* a task may move to the worker soon */
/* Puts the time-out off while the loop is late. */
#define RENEWAL_WAIT_LATE_MS 400
/* The worker answers, and gets no lease until its record is stored. */
#define RENEWAL_WAIT_UNSTORED_MS 150
#define RENEWAL_WAIT_IDLE_MS 2000 /* nothing runs; the longest allowed wait */
/* After an unanswered renewal; grows with each one up to the maximum. */
#define RENEWAL_RETRY_MS 100
#define RENEWAL_RETRY_MAX_MS 1000
/* Between renewals that do not wait, as there are unacknowledged ends. */
#define RENEWAL_UNACKED_INTERVAL_MS 250
/*
 * A probe ends if it has not reached the worker by then, as connection attempts
 * to an address that does not answer are repeated only after a second.
 */
#define PROBE_CONNECT_MS 100
/* Interval of checks for leases and entries that expire. */
#define WORKERS_CHECK_INTERVAL_MS 20

/*
 * A renewal waits for the end of a run.  The wait is shorter where other
 * changes are expected, as only an answer shows them.
 */
static int
renewal_wait_ms(const struct pool *p, const struct pool_worker *w)
{
	int wait_ms = RENEWAL_WAIT_BUSY_MS;
	const struct task *t;

	if (w->renewal_cut_short)
		return RENEWAL_WAIT_LATE_MS;
	if (w->trial_count > 0 || p->now_us < w->trial_reserved_until_us)
		return RENEWAL_WAIT_TRIAL_MS;
	if (w->task_count == 0)
		return p->now_us < p->moves_until_us ? RENEWAL_WAIT_MOVES_MS
						     : RENEWAL_WAIT_IDLE_MS;
	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (task_warming_up(t))
			return RENEWAL_WAIT_WARM_UP_MS;
		/* watch the tail latencies of serving tasks next to it */
		if (t->step->spec->best_effort)
			wait_ms = RENEWAL_WAIT_BEST_EFFORT_MS;
	}
	return wait_ms;
}

/* The same for a renewal that extends no lease. */
static int
query_wait_ms(const struct pool_worker *w)
{
	if (w->renewal_cut_short)
		return RENEWAL_WAIT_LATE_MS;
	if (!w->fence_confirmed || w->missed_renewals > 0 ||
	    w->last_end > w->acked_end)
		return 0;
	return RENEWAL_WAIT_UNSTORED_MS;
}

/*
 * Length of the lease that a renewal may grant.  Until the store has a record
 * that the worker has answered, a lease must expire before a next owner stops
 * waiting for the worker.
 */
static int64_t
lease_grant_ms(const struct pool *p, const struct pool_worker *w)
{
	int64_t left_ms;

	/* unknown clock, or a silent worker, whose runs must end some time */
	if (!w->fence_confirmed ||
	    (w->missed_renewals > 0 && !w->renewal_cut_short))
		return 0;
	if (w->record_current && w->record_serial <= p->stored_serial)
		return p->opts.lease_ms;
	left_ms = (int64_t)((double)(w->successor_wait_end_us - p->now_us) /
		      (double)US_PER_MS * CLOCK_RATE_MIN) -
	    LEASE_MARGIN_MS;
	return left_ms < p->opts.lease_ms ? left_ms : p->opts.lease_ms;
}

/* Logs the first of several renewals that extend no lease. */
static void
log_lease_withheld(struct pool *p, struct pool_worker *w, int64_t granted_ms)
{
	bool withheld = granted_ms <= 0 && w->task_count > 0;

	if (withheld && !w->lease_withheld)
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"lease is not extended\" worker=%s why=%s tasks=%zu "
		    "misses=%d heard_ms_ago=%lld left_ms=%lld lag_ms=%lld",
		    w->report.id,
		    !w->fence_confirmed          ? "unconfirmed"
			: w->missed_renewals > 0 ? "silent"
						 : "record-not-stored",
		    w->task_count, w->missed_renewals,
		    (long long)((p->now_us - w->last_reply_us) / US_PER_MS),
		    (long long)(w->lease_end_ms -
			worker_clock_ms(w, p->now_us)),
		    (long long)(p->loop_lag_us / US_PER_MS));
	w->lease_withheld = withheld;
}

/*
 * The worker may be back as a new incarnation at any moment.  A late loop would
 * take connections for ones that have not been made.
 */
static bool
renewal_is_probe(const struct pool *p, const struct pool_worker *w)
{
	return w->missed_renewals > 0 && !w->renewal_cut_short &&
	    p->loop_lag_us < PROBE_CONNECT_MS * US_PER_MS / 2 &&
	    worker_awaits_late_starts(p, w);
}

static void
renewal_send(struct pool *p, struct pool_worker *w)
{
	struct pool_effect *x;
	int64_t end_ms, granted_ms = lease_grant_ms(p, w);

	if (w->missed_renewals > 0)
		worker_fence_late_starts(p, w);
	log_lease_withheld(p, w, granted_ms);
	x = fx_add(p, POOL_RENEW); /* effects that follow may move it */
	fx_target(&x->u.renewal.worker, w);
	if (renewal_is_probe(p, w))
		x->u.renewal.connect_ms = PROBE_CONNECT_MS;
	/*
	 * The acknowledgement is sent only once and right after an answer.  A
	 * new incarnation of the worker under the same id numbers its ends from
	 * 1 again; a late acknowledgement would make it forget ends that the
	 * owner has not seen.
	 */
	w->in_flight_ack_end =
	    w->missed_renewals == 0 && w->acked_end > w->delivered_ack_end
	    ? w->acked_end
	    : 0;
	x->u.renewal.acked_end = w->in_flight_ack_end;
	w->renewal_in_flight = true;
	w->renewal_sent_us = p->now_us;
	if (granted_ms <= 0) {
		x->u.renewal.wait_ms = query_wait_ms(w);
		return;
	}
	w->lease_sent_us = p->now_us;
	end_ms = worker_clock_ms(w, p->now_us) + granted_ms;
	if (end_ms > w->lease_end_ms)
		w->lease_end_ms = end_ms;
	x->u.renewal.lease_end_ms = end_ms;
	if (w->last_end > w->acked_end)
		return;
	x->u.renewal.wait_ms = renewal_wait_ms(p, w);
}

/* Acknowledges ends that are stored; the next renewal carries the number. */
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

int64_t
pool_next_renewal_us(const struct pool *p, int64_t latest_us)
{
	return p->next_renewal_us < latest_us ? p->next_renewal_us : latest_us;
}

/* Does what is due for one worker, and may free it. */
static void
worker_update(struct pool *p, struct pool_worker *w)
{
	if (w->machine_removed) {
		if (w->entry_dropped && !w->renewal_in_flight)
			worker_free(p, w);
		return;
	}
	worker_check_lease(p, w);
	if (!worker_present(p, w) && w->task_count == 0 &&
	    !w->renewal_in_flight && p->now_us >= w->late_ack_until_us &&
	    !worker_awaits_late_starts(p, w) &&
	    !worker_has_unlisted_ends(p, w) &&
	    (w->fence_confirmed || !w->inherited ||
		p->now_us >= p->reconcile_end_us)) {
		worker_free(p, w);
		return;
	}
	if (w->idle_by_us != 0 && p->now_us >= w->idle_by_us &&
	    w->recorded_wait_ms != RUNS_ENDED_WAIT_MS)
		worker_mark_record_stale(p, w);
	worker_advance_acks(p, w);
	if (!w->renewal_in_flight && p->now_us >= w->renewal_due_us)
		renewal_send(p, w);
	if (!w->renewal_in_flight && w->renewal_due_us < p->next_renewal_us)
		p->next_renewal_us = w->renewal_due_us;
}

/*
 * All workers are checked at intervals, when a renewal is due and after events
 * that may concern several workers.
 */
static bool
all_workers_due(const struct pool *p, enum pool_event_kind kind)
{
	if (p->now_us >= p->next_renewal_us ||
	    p->now_us - p->workers_checked_us >=
		WORKERS_CHECK_INTERVAL_MS * US_PER_MS)
		return true;
	switch (kind) {
	case POOL_TICK:
	case POOL_QUEUE_CHANGE:
	case POOL_ACCOUNT_CHANGE:
	case POOL_CAP_REQUEST:
	case POOL_RENEWAL_DONE: /* only its own worker is checked */
	case POOL_START_DONE:
	case POOL_STOP_DONE: /* may have set next_renewal_us to now */
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
	case POOL_STORED: /* stored ends can be acknowledged */
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
			worker_update(p, w);
		return;
	}
	p->workers_checked_us = p->now_us;
	p->next_renewal_us = INT64_MAX;
	HASH_ITER(hh, p->workers, w, next)
	{
		worker_update(p, w);
	}
}

void
worker_ended(struct pool *p, struct pool_worker *w, const char *why)
{
	worker_crashed(p, w);
	worker_detach_tasks(p, w, DETACH_ALL, why);
	w->is_gone = true;
	w->fence_confirmed = false;
	w->inherited = false; /* runs of earlier terms have ended, too */
	if (w->idle_by_us == 0 || w->idle_by_us > p->now_us) {
		w->idle_by_us = p->now_us;
		worker_mark_record_stale(p, w);
	}
	w->renewal_due_us = p->now_us;
	w->renewal_due_us += worker_awaits_late_starts(p, w)
	    ? worker_probe_pause_us(p, w, RENEWAL_RETRY_MS * US_PER_MS)
	    : RENEWAL_RETRY_MAX_MS * US_PER_MS;
	p->placement_due = true;
}

/*
 * The loop was late while the renewal was in flight, so that its time-out may
 * have run before an answer was read.  That explains no silence for longer than
 * the term of a lease.
 */
static bool
renewal_cut_short(const struct pool *p, const struct pool_worker *w,
    enum command_result result)
{
	return result == COMMAND_UNANSWERED &&
	    p->loop_late_us > w->renewal_sent_us &&
	    p->now_us - w->last_reply_us < p->opts.lease_ms * US_PER_MS;
}

static void
renewal_failed(
    struct pool *p, struct pool_worker *w, enum command_result result)
{
	int64_t pause_us = RENEWAL_RETRY_MS * US_PER_MS;

	if (result == COMMAND_FENCED) { /* it answers; the fence has risen */
		w->renewal_due_us = p->now_us;
		return;
	}
	if (w->missed_renewals++ == 0)
		w->silent_since_us = p->now_us;
	if (w->in_flight_ack_end > 0 && result != COMMAND_UNSENT)
		w->late_ack_until_us =
		    p->now_us + LATE_COMMAND_MAX_MS * US_PER_MS;
	if (w->missed_renewals == SILENT_MISSED_RENEWALS)
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"worker is silent: no new tasks\" worker=%s "
		    "heard_ms_ago=%lld end=%d",
		    w->report.id,
		    (long long)((p->now_us - w->last_reply_us) / US_PER_MS),
		    result);
	/*
	 * Records idle_by_us, so that a next owner waits little longer than
	 * this one: the worker has no lease of this term, and gets none that
	 * ends later until it has answered and the store has a record of that.
	 */
	if (worker_wait_unrecorded(p, w))
		worker_mark_record_stale(p, w);
	pause_us *= w->missed_renewals;
	if (pause_us > RENEWAL_RETRY_MAX_MS * US_PER_MS)
		pause_us = RENEWAL_RETRY_MAX_MS * US_PER_MS;
	/* a late start may reach a new incarnation before its fence does */
	if (p->now_us < w->late_start_until_us)
		pause_us = RENEWAL_RETRY_MS * US_PER_MS;
	w->renewal_cut_short = renewal_cut_short(p, w, result);
	if (w->renewal_cut_short)
		pause_us = 0;
	else if (result != COMMAND_REFUSED && worker_awaits_late_starts(p, w))
		pause_us = worker_probe_pause_us(p, w, pause_us);
	w->renewal_due_us = p->now_us + pause_us;
	if (result == COMMAND_OTHER_INCARNATION) {
		worker_ended(p, w, "other-life");
		/* another worker has the address: none can be born there */
		w->renewal_due_us =
		    p->now_us + RENEWAL_RETRY_MAX_MS * US_PER_MS;
	}
}

/*
 * The answer to a renewal of "sent_us" shows the clock.  By the clock itself,
 * the worker may have made the answer late in the renewal's wait.
 */
static void
worker_read_clock(
    struct pool *p, struct pool_worker *w, int64_t clock_ms, int64_t sent_us)
{
	int64_t since_us =
	    w->clock_since_us + (clock_ms - w->report.clock_ms) * US_PER_MS;

	w->clock_since_us =
	    w->clock_since_us != 0 && since_us > sent_us ? since_us : sent_us;
	w->report.clock_ms = clock_ms;
	w->clock_read_us = p->now_us;
}

static void
renewal_answered(
    struct pool *p, struct pool_worker *w, const struct pool_event *ev)
{
	const struct renewal_report *r = ev->u.renewal.report;
	bool warmed_up;

	if (r->started_ms != 0 && w->report.started_ms != 0 &&
	    r->started_ms != w->report.started_ms) {
		if (r->started_ms > w->report.started_ms) {
			worker_restarted(p, w, r->clock_ms);
			w->report.started_ms = r->started_ms;
		}
		w->renewal_due_us = p->now_us;
		return;
	}
	if (!w->fence_confirmed)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker accepts the fence\" worker=%s fence=%lld "
		    "running=%zu ended=%zu",
		    w->report.id, (long long)w->fence, r->running_count,
		    r->ended_count);
	/* an earlier owner may have granted a full lease just now */
	if (!w->fence_confirmed &&
	    r->clock_ms + p->opts.lease_ms > w->lease_end_ms)
		w->lease_end_ms = r->clock_ms + p->opts.lease_ms;
	/* its end by the clock of an earlier incarnation may be further away */
	if (!w->fence_confirmed && (w->inherited || w->restarted_us != 0))
		w->foreign_lease_end_ms = r->clock_ms + p->opts.lease_max_ms;
	w->fence_confirmed = true;
	w->missed_renewals = w->missing_from_lists = 0;
	w->renewal_cut_short = false;
	w->silent_since_us = 0;
	w->is_gone = w->fate_awaited = false;
	if (w->idle_by_us != 0) { /* recorded before leases are renewed */
		w->idle_by_us = 0;
		if (w->recorded_idle_by_us != 0) {
			w->successor_wait_end_us = w->recorded_idle_by_us;
			worker_mark_record_stale(p, w);
		}
	}
	if (w->in_flight_ack_end > 0)
		w->delivered_ack_end = w->in_flight_ack_end;
	w->last_reply_us = p->now_us;
	if (r->clock_ms > w->alive_clock_ms)
		w->alive_clock_ms = r->clock_ms;
	/* a late loop may have left the answer unread for that long */
	w->reported_us = p->loop_late_us > ev->u.renewal.sent_us
	    ? ev->u.renewal.sent_us
	    : p->now_us;
	w->alive_us = w->reported_us;
	worker_read_clock(p, w, r->clock_ms, ev->u.renewal.sent_us);
	pool_use_clock_reference(p, w);
	w->report_count++;
	warmed_up = worker_process_report(p, w, r, ev->u.renewal.sent_us);
	pool_watch_tasks(p, w);
	if (warmed_up)
		pool_watch_evacuating(p);
	pool_throttle_best_effort(p, w);
	w->renewal_due_us = w->last_end > w->acked_end
	    ? p->now_us + RENEWAL_UNACKED_INTERVAL_MS * US_PER_MS
	    : p->now_us;
	p->placement_due = true;
}

/* A later one is in flight, under the fence of a new incarnation. */
static bool
renewal_superseded(const struct pool_worker *w, int64_t sent_us)
{
	return sent_us < w->restarted_us &&
	    (!w->renewal_in_flight || w->renewal_sent_us >= w->restarted_us);
}

void
pool_renewal_done(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w = pool_find_worker(p, ev->u.renewal.worker);

	if (w == NULL || renewal_superseded(w, ev->u.renewal.sent_us))
		return;
	w->renewal_in_flight = false;
	if (w->machine_removed) /* if it lives, its next entry shows that */
		return;
	if (ev->u.renewal.report == NULL)
		renewal_failed(p, w, ev->u.renewal.result);
	else if (ev->u.renewal.sent_us < w->restarted_us)
		w->renewal_due_us = p->now_us; /* it had the old fence */
	else
		renewal_answered(p, w, ev);
}
