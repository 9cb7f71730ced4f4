/* Workers of a pool: entries, state, reconciliation after a takeover. */
#include <stdlib.h>

#include "pool_state.h"

/* A dropped entry comes back within this time or not at all. */
#define ENTRY_RETURN_MAX_MS 2500
/* What came while the loop stood still has been read by so long after. */
#define LOOP_BACKLOG_MS 300
#define CORDON_VALID_MS 2000 /* a cordon that is not renewed expires */
/* From a worker's answer until a late loop has read it. */
#define ANSWER_DELAY_MAX_MS 1000

struct pool_worker *
pool_find_worker(const struct pool *p, const char *id)
{
	struct pool_worker *w;

	HASH_FIND_STR(p->workers, id, w);
	return w;
}

int64_t
pool_worker_fence(const struct pool *p, const char *worker)
{
	const struct pool_worker *w = pool_find_worker(p, worker);

	return w != NULL ? w->fence
			 : p->opts.fence * FENCES_PER_TERM + p->fences_used;
}

/* Without effect once the term has used all its fences. */
void
worker_raise_fence(struct pool *p, struct pool_worker *w)
{
	if (p->fences_used < FENCES_PER_TERM - 1)
		p->fences_used++;
	w->fence = p->opts.fence * FENCES_PER_TERM + p->fences_used;
	w->fence_raised_us = p->now_us;
}

int64_t
worker_clock_ms(const struct pool_worker *w, int64_t now_us)
{
	return w->report.clock_ms + (now_us - w->clock_read_us) / US_PER_MS;
}

/*
 * The worker's known incarnation may have shown this clock in an answer that is
 * read now.
 */
static bool
clock_plausible(const struct pool_worker *w, int64_t now_us, int64_t clock_ms)
{
	int64_t elapsed_max_ms = (now_us - w->clock_since_us) / US_PER_MS + 1;

	return w->clock_since_us != 0 &&
	    clock_ms >= worker_clock_min_ms(w, now_us) - ANSWER_DELAY_MAX_MS &&
	    clock_ms <= w->report.clock_ms + elapsed_max_ms;
}

bool
worker_note_clock(
    struct pool_worker *w, int64_t now_us, int64_t sent_us, int64_t clock_ms)
{
	if (clock_ms < 0 || sent_us < w->restarted_us ||
	    !clock_plausible(w, now_us, clock_ms))
		return false;
	if (clock_ms > w->alive_clock_ms)
		w->alive_clock_ms = clock_ms;
	return true;
}

int64_t
worker_clock_min_ms(const struct pool_worker *w, int64_t now_us)
{
	double elapsed_ms =
	    (double)(now_us - w->clock_read_us) / (double)US_PER_MS;

	return w->report.clock_ms + (int64_t)(elapsed_ms * CLOCK_RATE_MIN);
}

bool
worker_lease_expired(const struct pool_worker *w, int64_t now_us)
{
	int64_t end_ms = w->lease_end_ms > w->foreign_lease_end_ms
	    ? w->lease_end_ms
	    : w->foreign_lease_end_ms;

	return worker_clock_min_ms(w, now_us) > end_ms + LEASE_MARGIN_MS;
}

/*
 * Entries expire while the store is unavailable and come back soon after it
 * does: a worker that answers in the meantime stays in use.
 */
bool
worker_present(const struct pool *p, const struct pool_worker *w)
{
	return w->listed ||
	    (w->unlisted_us != 0 && w->missed_renewals == 0 &&
		p->now_us - w->unlisted_us < ENTRY_RETURN_MAX_MS * US_PER_MS);
}

/* A worker's labels are its kind and its rack, in this order. */
const char *
worker_rack(const struct pool_worker *w)
{
	return w->report.label_count > 1 ? w->report.labels[1] : "";
}

bool
worker_usable(const struct pool *p, const struct pool_worker *w)
{
	if (!worker_present(p, w) || !w->fence_confirmed ||
	    w->report.draining || !w->record_current ||
	    w->record_serial > p->stored_serial ||
	    w->missed_renewals >= SILENT_MISSED_RENEWALS)
		return false;
	if (w->unwanted_run_count > 0) /* they use unknown resources */
		return false;
	if (!p->capacity_known || (!w->listed && !p->workers_guarded))
		return false;
	return p->now_us >= w->quarantined_until_us &&
	    p->now_us >= w->cordon_until_us;
}

/* Ends from before its lease expired or its machine left do not count. */
bool
worker_has_unlisted_ends(const struct pool *p, const struct pool_worker *w)
{
	return w->inherited && w->fence_confirmed && !w->all_ends_listed &&
	    !w->machine_removed &&
	    (w->missed_renewals == 0 ||
		!worker_lease_expired(w, p->ownership_confirmed_us));
}

bool
worker_reconciled(const struct pool *p, const struct pool_worker *w)
{
	if (worker_has_unlisted_ends(p, w))
		return false;
	return w->fence_confirmed || !w->inherited ||
	    p->now_us > w->reconciled_by_us;
}

bool
pool_reconciled(const struct pool *p)
{
	bool time_over = p->now_us >= p->reconcile_end_us;
	const struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (time_over ? worker_has_unlisted_ends(p, w)
			      : !worker_reconciled(p, w))
			return false;
	}
	return time_over || p->workers != NULL;
}

/* Logs which workers inherited jobs wait for, once a second at most. */
static void
log_reconciling(struct pool *p)
{
	const struct pool_worker *w, *first = NULL;
	size_t n = 0;

	if (p->now_us - p->reconcile_logged_us < US_PER_S)
		return;
	p->reconcile_logged_us = p->now_us;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_reconciled(p, w))
			continue;
		first = first != NULL ? first : w;
		n++;
	}
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"inherited jobs wait for silent workers\" workers=%zu "
	    "first=%s misses=%d ends=%lld silent_ms_left=%lld for_ms=%lld "
	    "ms_left=%lld",
	    n, first != NULL ? first->report.id : "none",
	    first != NULL ? first->missed_renewals : 0,
	    first != NULL ? (long long)first->last_end : 0,
	    first != NULL
		? (long long)((first->idle_by_us - p->now_us) / US_PER_MS)
		: 0,
	    (long long)((p->now_us - p->opts.now_us) / US_PER_MS),
	    (long long)((p->reconcile_end_us - p->now_us) / US_PER_MS));
}

void
pool_update_reconciled(struct pool *p)
{
	if (p->reconciled)
		return;
	p->reconciled = pool_reconciled(p);
	if (!p->reconciled) {
		log_reconciling(p);
		return;
	}
	p->placement_due = true;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"runs of earlier terms are reconciled\" "
	    "workers=%u active=%zu after_ms=%lld by_time=%d",
	    HASH_COUNT(p->workers), p->active_count,
	    (long long)((p->now_us - p->opts.now_us) / US_PER_MS),
	    p->now_us >= p->reconcile_end_us);
}

void
worker_mark_record_stale(struct pool *p, struct pool_worker *w)
{
	w->record_current = false;
	p->records_stale = true;
}

void
worker_free(struct pool *p, struct pool_worker *w)
{
	char key[JOB_KEY_BYTES];

	if (w->has_record) {
		worker_record_key(key, w->report.id);
		fx_write(p, key, NULL);
	}
	HASH_DEL(p->workers, w);
	free(w);
}

/* Logs the first task and the age of what is known of the worker. */
static void
log_runs_over(struct pool *p, const struct pool_worker *w,
    enum detach_scope scope, const char *why)
{
	const struct task *t, *first = NULL;
	size_t n = 0;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (!detach_scope_has(scope, t))
			continue;
		first = first != NULL ? first : t;
		n++;
	}
	if (first == NULL)
		return;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"runs of a worker are over\" worker=%s tasks=%zu of=%zu "
	    "why=%s first_job=%s first_task=%u.%u.%u run=%lld place=%d "
	    "clock_age_ms=%lld heard_ms_ago=%lld lease_ms_left=%lld "
	    "confirmed_ms_ago=%lld misses=%d lists_without_it=%d",
	    w->report.id, n, w->task_count, why,
	    first->step->occurrence->job->id, first->step->occurrence->number,
	    first->step->number, first->index, (long long)first->run,
	    first->place,
	    (long long)((p->now_us - w->clock_read_us) / US_PER_MS),
	    (long long)((p->now_us - w->last_reply_us) / US_PER_MS),
	    (long long)(w->lease_end_ms - worker_clock_ms(w, p->now_us)),
	    (long long)((p->now_us - p->ownership_confirmed_us) / US_PER_MS),
	    w->missed_renewals, w->missing_from_lists);
}

void
worker_detach_tasks(struct pool *p, struct pool_worker *w,
    enum detach_scope scope, const char *why)
{
	struct task *t, *next;

	if (w->task_count > 0)
		log_runs_over(p, w, scope, why);
	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		if (!detach_scope_has(scope, t))
			continue;
		if (t->place == PLACE_STARTING)
			task_note_late_start(t);
		task_detach(p, t);
	}
}

/* The run was the earlier incarnation's, and no start of it is under way. */
static bool
run_over_by_restart(const struct task *t, bool late_starts)
{
	return t->run_confirmed && !late_starts && t->place != PLACE_STARTING &&
	    t->place != PLACE_UNCONFIRMED;
}

/* The clocks tell whether a run was the new incarnation's. */
static void
log_restart(struct pool *p, const struct pool_worker *w, int64_t clock_ms,
    bool late_starts)
{
	const struct task *t;
	size_t over = 0;

	TAILQ_FOREACH(t, &w->tasks, on_worker)
		over += run_over_by_restart(t, late_starts);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"worker restarted\" worker=%s tasks=%zu over=%zu "
	    "late_starts=%d clock_ms=%lld clock_before_ms=%lld "
	    "heard_ms_ago=%lld",
	    w->report.id, w->task_count, over, late_starts, (long long)clock_ms,
	    (long long)worker_clock_ms(w, p->now_us),
	    (long long)((p->now_us - w->last_reply_us) / US_PER_MS));
}

/*
 * The runs of the earlier incarnation have ended.  Commands that were sent to
 * it may still arrive at the new one until that has the new fence.
 */
void
worker_restarted(struct pool *p, struct pool_worker *w, int64_t clock_ms)
{
	bool late_starts = p->now_us < w->late_start_until_us;
	struct task *t, *next;

	log_restart(p, w, clock_ms, late_starts);
	worker_crashed(p, w);
	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, on_worker);
		t->begun = false;
		if (run_over_by_restart(t, late_starts)) {
			task_detach(p, t);
			continue;
		}
		/* the first report under the new fence shows a run, or none */
		if (t->place == PLACE_STARTING) {
			task_set_place(p, t, PLACE_UNCONFIRMED);
			task_note_late_start(t);
		}
		t->command_answered_us = p->now_us;
		t->run_confirmed = t->lease_known = false;
		t->progress_percent = 0;
		t->progress_changed_us = p->now_us;
	}
	worker_raise_fence(p, w);
	w->fence_confirmed = w->all_ends_listed = false;
	/*
	 * The new incarnation does not have the fence.  An owner that has been
	 * replaced must not command it, and is kept from that as the store
	 * refuses its write of this record.
	 */
	worker_mark_record_stale(p, w);
	w->last_end = w->acked_end = w->pending_ack_end = w->delivered_ack_end =
	    0;
	if (w->in_flight_ack_end > 0)
		w->late_ack_until_us =
		    p->now_us + LATE_COMMAND_MAX_MS * US_PER_MS;
	w->in_flight_ack_end = 0;
	/* no runs while a late renewal could acknowledge their ends */
	w->quarantined_until_us = w->late_ack_until_us;
	w->report.clock_ms = clock_ms;
	w->clock_read_us = p->now_us;
	w->clock_since_us = w->alive_clock_ms = 0;
	w->restarted_us = p->now_us;
	w->lease_end_ms = w->foreign_lease_end_ms = 0;
	w->successor_wait_end_us = 0;
	w->drain_end_us = 0;
	w->fail_streak = 0;
	/* a start that arrives before the new fence is carried out */
	if (worker_awaits_late_starts(p, w))
		w->renewal_in_flight = false;
	w->renewal_due_us = p->now_us;
}

struct pool_worker *
pool_worker_new(struct pool *p, const struct worker_report *r)
{
	struct pool_worker *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL; /* its next entry retries */
	w->report = *r;
	worker_raise_fence(p, w);
	w->clock_read_us = p->now_us;
	w->last_reply_us = p->now_us;
	w->renewal_due_us = p->now_us;
	TAILQ_INIT(&w->tasks);
	HASH_ADD(hh, p->workers, report.id, strlen(w->report.id), w);
	p->records_stale = true;
	return w;
}

static void
worker_begin_draining(struct pool *p, struct pool_worker *w)
{
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"worker drains: no new tasks\" worker=%s remaining_ms=%d "
	    "tasks=%zu",
	    w->report.id, w->report.remaining_ms, w->task_count);
	w->drain_end_us = p->now_us + w->report.remaining_ms * US_PER_MS;
}

/*
 * The worker has written its entry since its removal was known.  It is used
 * once it has answered under this term's fence.
 */
static void
worker_removal_disproved(struct pool *p, struct pool_worker *w)
{
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"a removed worker has written its entry again: it is in "
	    "use\" worker=%s removal_known_ms_ago=%lld "
	    "entries_read_ms_ago=%lld",
	    w->report.id,
	    (long long)((p->now_us - w->removal_known_us) / US_PER_MS),
	    (long long)((p->now_us - p->entries_read_us) / US_PER_MS));
	w->alive_us = p->entries_read_us;
	w->fence_confirmed = w->all_ends_listed = false;
	w->renewal_due_us = p->now_us;
}

void
pool_worker_entry(struct pool *p, const struct worker_report *r)
{
	struct pool_worker *w = pool_find_worker(p, r->id);
	int64_t clock_ms, started_ms;
	bool was_draining;

	if (worker_report_from_future(r, p->now_ms)) {
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"ignores an entry of a worker that has not started "
		    "yet\" worker=%s started_in_ms=%lld known=%d",
		    r->id, (long long)(r->started_ms - p->now_ms), w != NULL);
		return;
	}
	if (w == NULL)
		w = pool_worker_new(p, r);
	if (w == NULL ||
	    (r->started_ms != 0 && r->started_ms < w->report.started_ms))
		return;
	if (w->machine_removed && r->started_ms == w->report.started_ms) {
		if (p->entries_read_us <= w->removal_known_us)
			return; /* perhaps written before the removal */
		worker_removal_disproved(p, w);
	}
	w->machine_removed = false;
	was_draining = w->report.draining;
	if (r->started_ms != w->report.started_ms && r->started_ms != 0 &&
	    w->report.started_ms != 0) {
		worker_restarted(p, w, r->clock_ms);
		was_draining = false;
	}
	clock_ms = w->report.clock_ms;
	started_ms = r->started_ms != 0 ? r->started_ms : w->report.started_ms;
	if (!w->listed)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"worker listed\" worker=%s data_centre=%s cpu=%lld "
		    "labels=%zu labels_left_out=%zu",
		    r->id, r->data_centre, (long long)r->cpu_milli,
		    r->label_count, r->labels_left_out);
	w->report = *r;
	w->report.clock_ms = clock_ms;
	w->report.started_ms = started_ms;
	w->listed = true;
	w->entry_dropped = false;
	if (r->draining && !was_draining)
		worker_begin_draining(p, w);
	p->placement_due = true;
}

void
pool_worker_unlisted(struct pool *p, const char *id)
{
	struct pool_worker *w = pool_find_worker(p, id);

	if (w == NULL)
		return;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"worker's entry is dropped\" worker=%s tasks=%zu misses=%d",
	    id, w->task_count, w->missed_renewals);
	w->listed = false;
	w->unlisted_us = w->machine_removed ? 0 : p->now_us;
	w->entry_dropped = true;
}

/* All runs on the worker have ended; its entry expires later. */
static void
worker_machine_removed(
    struct pool *p, struct pool_worker *w, int64_t removal_known_us)
{
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"a worker's machine was removed\" worker=%s tasks=%zu "
	    "removal_known_ms_ago=%lld alive_ms_ago=%lld",
	    w->report.id, w->task_count,
	    (long long)((p->now_us - removal_known_us) / US_PER_MS),
	    (long long)((p->now_us - w->alive_us) / US_PER_MS));
	worker_detach_tasks(p, w, DETACH_ALL, "machine-taken-away");
	w->machine_removed = true;
	w->removal_known_us = removal_known_us;
	w->listed = false;
	w->unlisted_us = 0; /* its entry will not come back */
	w->idle_by_us = p->now_us;
	worker_mark_record_stale(p, w);
	p->placement_due = true;
}

/* Notices of one removal are repeated: logs the first of them. */
static void
log_removal_ignored(
    struct pool *p, struct pool_worker *w, int64_t removal_known_us)
{
	if (removal_known_us - w->removal_known_us < US_PER_S)
		return;
	w->removal_known_us = removal_known_us;
	fx_log(p, LOG_LEVEL_WARN,
	    "msg=\"ignores the removal of a worker that has answered since\" "
	    "worker=%s tasks=%zu removal_known_ms_ago=%lld alive_ms_ago=%lld",
	    w->report.id, w->task_count,
	    (long long)((p->now_us - removal_known_us) / US_PER_MS),
	    (long long)((p->now_us - w->alive_us) / US_PER_MS));
}

/*
 * When the controller knew of a removal, by a notice that was sent "age_ms"
 * later and may have waited for the loop.
 */
static int64_t
removal_known_us(const struct pool *p, int64_t age_ms)
{
	int64_t sent_us = p->now_us - p->loop_lag_us;

	if (p->loop_stopped_us != 0 &&
	    p->now_us - p->loop_resumed_us < LOOP_BACKLOG_MS * US_PER_MS)
		sent_us = p->loop_stopped_us;
	return sent_us - age_ms * US_PER_MS;
}

void
pool_cordon(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w = pool_find_worker(p, ev->u.cordon.id);
	int64_t known_us;

	if (w == NULL || w->machine_removed)
		return;
	if (ev->u.cordon.machine_removed) {
		known_us = removal_known_us(p, ev->u.cordon.age_ms);
		if (w->alive_us <= known_us)
			worker_machine_removed(p, w, known_us);
		else
			log_removal_ignored(p, w, known_us);
		return;
	}
	if (ev->u.cordon.maintenance_pending) {
		w->maintenance_pending_until_us =
		    p->now_us + CORDON_VALID_MS * US_PER_MS;
		return;
	}
	if (p->now_us >= w->cordon_until_us)
		w->evacuating_since_us = 0;
	w->cordon_until_us = p->now_us + CORDON_VALID_MS * US_PER_MS;
	if (ev->u.cordon.evacuate && w->evacuating_since_us == 0)
		w->evacuating_since_us = p->now_us;
	pool_watch_tasks(p, w);
}
