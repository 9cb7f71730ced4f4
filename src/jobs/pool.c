#include "pool.h"

#include <stdlib.h>
#include <string.h>

#include "pool_selection.h"

#define TICK_INTERVAL_MAX_US (50 * US_PER_MS)
/*
 * From such a delay on, the event loop may run the time-out of a command
 * before it reads an answer that has arrived.
 */
#define LOOP_LATE_MS 300
/*
 * Time between two scheduling passes: a fixed part, and a part for each waiting
 * occurrence.  The latter is about ten times what the pass takes; with 300 jobs
 * it adds 1 % of the time that a task runs.
 */
#define PLACE_INTERVAL_US 1500
#define PLACE_INTERVAL_PER_OCCURRENCE_US 20

static void
init_text_stores(struct pool *p)
{
	const struct text_store_opts checkpoints = {
	    .text_max_bytes =
		progress_checkpoints_max_bytes(p->opts.record_max_bytes),
	    .bytes_max = p->opts.checkpoints_max_bytes,
	    .eviction = EVICT_LONGEST,
	};
	const struct text_store_opts tickets = {
	    .bytes_max = p->opts.tickets_max_bytes,
	    .eviction = EVICT_OLDEST, /* which expire first */
	};

	text_store_init(&p->checkpoints, &checkpoints);
	text_store_init(&p->tickets, &tickets);
}

struct pool *
pool_new(const struct pool_opts *opts)
{
	struct pool *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	p->selection = selection_new();
	if (p->selection == NULL) {
		free(p);
		return NULL;
	}
	p->opts = *opts;
	init_text_stores(p);
	p->now_us = opts->now_us;
	p->now_ms = opts->now_ms;
	p->reconcile_end_us =
	    opts->now_us + (int64_t)opts->reconcile_max_ms * US_PER_MS;
	p->next_occurrence_ms = INT64_MAX;
	start_window_init(p);
	TAILQ_INIT(&p->active);
	TAILQ_INIT(&p->finished);
	TAILQ_INIT(&p->changed_jobs);
	STAILQ_INIT(&p->pending_answers);
	return p;
}

void
pool_free(struct pool *p)
{
	struct pool_worker *w, *next_worker;
	struct pending_answer *a;
	struct job *j, *next;

	if (p == NULL)
		return;
	HASH_ITER(hh, p->jobs, j, next)
	{
		HASH_DEL(p->jobs, j);
		job_free(j);
	}
	HASH_ITER(hh, p->workers, w, next_worker)
	{
		HASH_DEL(p->workers, w);
		free(w);
	}
	while ((a = STAILQ_FIRST(&p->pending_answers)) != NULL) {
		STAILQ_REMOVE_HEAD(&p->pending_answers, entries);
		free(a);
	}
	run_time_free(p->run_times);
	pool_refused_free(p);
	pool_accounts_free(p);
	selection_free(p->selection);
	free(p);
}

static void
handle_stored(struct pool *p, uint64_t serial)
{
	struct pending_answer *a;

	if (serial > p->stored_serial)
		p->stored_serial = serial;
	p->placement_due = true;
	p->caps.update_due = true;
	while ((a = STAILQ_FIRST(&p->pending_answers)) != NULL &&
	    a->serial <= p->stored_serial) {
		STAILQ_REMOVE_HEAD(&p->pending_answers, entries);
		*fx_add(p, POOL_ANSWER) = a->effect;
		free(a);
	}
}

/* Unfinished jobs take over changed settings; finished ones keep theirs. */
static void
apply_queue_settings(struct pool *p, const struct queue_settings *settings)
{
	struct job *j;

	TAILQ_FOREACH(j, &p->active, entries) {
		if (strcmp(j->queue.name, settings->name) == 0)
			j->queue = *settings;
	}
	p->placement_due = true;
}

static void
dispatch(struct pool *p, const struct pool_event *ev)
{
	switch (ev->kind) {
	case POOL_TICK:
		break;
	case POOL_LOADED:
		p->loaded = true;
		p->placement_due = true;
		break;
	case POOL_QUEUE_CHANGE:
		apply_queue_settings(p, ev->u.queue_change.settings);
		break;
	case POOL_ACCOUNT_CHANGE:
		pool_account_change(p, ev);
		break;
	case POOL_CAP_REQUEST:
		caps_apply_request(p, ev->u.cap_request);
		break;
	case POOL_WORKER_ENTRY:
		pool_worker_entry(p, ev->u.worker.report);
		break;
	case POOL_WORKER_UNLISTED:
		pool_worker_unlisted(p, ev->u.unlisted.id);
		break;
	case POOL_INCOMING:
		p->incoming_workers = ev->u.incoming.count;
		p->incoming_within_ms = ev->u.incoming.within_ms;
		p->incoming_reported_us = p->now_us;
		break;
	case POOL_CORDON:
		pool_cordon(p, ev);
		break;
	case POOL_RENEWAL_DONE:
		pool_renewal_done(p, ev);
		break;
	case POOL_START_DONE:
		pool_start_done(p, ev);
		break;
	case POOL_STOP_DONE:
		pool_stop_done(p, ev);
		break;
	case POOL_SUBMIT:
		pool_submit(p, ev);
		break;
	case POOL_CANCEL:
		pool_cancel(p, ev);
		break;
	case POOL_JOB_QUERY:
		pool_answer_job_query(p, ev);
		break;
	case POOL_COUNT_WAITING:
		pool_answer_waiting_count(p, ev);
		break;
	case POOL_STORED:
		handle_stored(p, ev->u.stored.serial);
		break;
	case POOL_POLICY_ANSWER:
		pool_policy_answered(p, ev);
		break;
	case POOL_LIVENESS_LIST:
		pool_apply_liveness_list(p, ev);
		break;
	}
}

/*
 * A worker's capacity may shrink while it runs.  Workers that do not refuse
 * what exceeds it get no starts while their entries are old.
 */
static void
update_capacity_known(struct pool *p)
{
	int64_t age_ms = (p->now_us - p->entries_read_us) / US_PER_MS;
	bool known = p->workers_guarded || age_ms <= p->opts.capacity_valid_ms;

	if (known == p->capacity_known)
		return;
	p->capacity_known = known;
	p->placement_due |= known;
	fx_log(p, known ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "msg=\"%s\" guarded=%d entries_age_ms=%lld most_ms=%d",
	    known ? "capacity of workers is known"
		  : "capacity of workers is unknown: starts wait",
	    p->workers_guarded, (long long)age_ms, p->opts.capacity_valid_ms);
}

/* Ticks come every TICK_INTERVAL_MAX_US at least. */
static bool
loop_late(const struct pool *p, const struct pool_event *ev)
{
	return ev->loop_lag_us >= LOOP_LATE_MS * US_PER_MS ||
	    ev->now_us - p->now_us >= LOOP_LATE_MS * US_PER_MS;
}

/* Before a pass, after a write is stored, and at intervals. */
static bool
caps_update_due(const struct pool *p)
{
	if (LIST_EMPTY(&p->caps.accounts))
		return false;
	return p->caps.update_due ||
	    (p->placement_due && p->now_us >= p->placement_not_before_us) ||
	    p->now_us - p->caps.updated_us >= TICK_INTERVAL_MAX_US;
}

void
pool_step(struct pool *p, const struct pool_event *ev, struct pool_effects *fx)
{
	if (loop_late(p, ev))
		p->loop_late_us = ev->now_us;
	if (ev->now_us - p->now_us >= LOOP_LATE_MS * US_PER_MS) {
		p->loop_stopped_us = p->now_us;
		p->loop_resumed_us = ev->now_us;
	}
	p->now_us = ev->now_us;
	p->now_ms = ev->now_ms;
	p->loop_lag_us = ev->loop_lag_us;
	p->ownership_confirmed_us = ev->ownership_confirmed_us;
	p->entries_read_us = ev->entries_read_us;
	p->workers_guarded = ev->workers_guarded;
	p->fx = fx;
	update_capacity_known(p);
	dispatch(p, ev);
	if (!p->loaded)
		return;
	pool_update_reconciled(p);
	pool_note_workers_answered(p);
	if (p->now_ms >= p->next_occurrence_ms || p->now_us >= p->wait_end_us)
		p->placement_due = true;
	if (caps_update_due(p))
		caps_update(p);
	if (p->placement_due && p->now_us >= p->placement_not_before_us) {
		p->placement_due = false;
		pool_place(p);
		p->placement_not_before_us = p->now_us + PLACE_INTERVAL_US +
		    (int64_t)p->waiting_occurrences *
			PLACE_INTERVAL_PER_OCCURRENCE_US;
	}
	pool_flush_jobs(p);
	pool_write_worker_records(p);
	pool_run_renewals(p, ev);
	/* events put ticks off, so that ticks alone would not do */
	if (p->now_us - p->periodic_done_us < TICK_INTERVAL_MAX_US)
		return;
	p->periodic_done_us = p->now_us;
	pool_check_liveness(p);
	pool_drop_old_jobs(p);
}

int64_t
pool_next_us(const struct pool *p)
{
	int64_t next =
	    pool_next_renewal_us(p, p->now_us + TICK_INTERVAL_MAX_US);

	if (p->placement_due && p->placement_not_before_us < next)
		next = p->placement_not_before_us;
	return next > p->now_us ? next : p->now_us + 1;
}

void
pool_stats(const struct pool *p, struct pool_stats *s)
{
	const struct pool_worker *w;
	const struct job *j;

	*s = p->stats;
	s->jobs = p->active_count;
	s->jobs_finished = p->finished_count;
	s->starts_in_flight = p->starts_in_flight;
	s->under_pressure = p->selection->pressure;
	TAILQ_FOREACH(j, &p->active, entries)
		s->jobs_waiting += !j->started;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		s->workers++;
		s->workers_confirmed += w->fence_confirmed;
		s->tasks_placed += w->task_count;
	}
}

void
pool_each_worker(const struct pool *p,
    void (*each)(void *arg, const struct pool_worker_view *w), void *arg)
{
	const struct pool_worker *w;
	struct pool_worker_view v;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		/* without an answer, the worker's tasks are unknown */
		if (!w->listed || !w->fence_confirmed || w->missed_renewals > 0)
			continue;
		v.id = w->report.id;
		v.task_count = w->task_count;
		v.long_running_count = worker_long_running_tasks(w);
		v.cordoned = p->now_us < w->cordon_until_us;
		each(arg, &v);
	}
}

static void
dump_worker(const struct pool_worker *w, int64_t now_us, struct buf *out)
{
	buf_printf(out,
	    "{\"worker\":\"%s\",\"listed\":%s,\"held\":%s,\"draining\":%s,"
	    "\"misses\":%d,\"tasks\":%zu,\"cpu\":%lld,\"heard_ms_ago\":%lld}",
	    w->report.id, w->listed ? "true" : "false",
	    w->fence_confirmed ? "true" : "false",
	    w->report.draining ? "true" : "false", w->missed_renewals,
	    w->task_count, (long long)w->cpu_milli,
	    (long long)((now_us - w->last_reply_us) / US_PER_MS));
}

void
pool_dump(const struct pool *p, struct buf *out)
{
	const struct pool_worker *w;
	const struct job *j;

	buf_printf(out, "{\"pool\":\"%s\",\"fence\":%lld,\"jobs\":[",
	    p->opts.name, (long long)p->opts.fence);
	TAILQ_FOREACH(j, &p->active, entries)
		buf_printf(out,
		    "%s{\"job\":\"%s\",\"queue\":\"%s\",\"begun\":%s}",
		    j == TAILQ_FIRST(&p->active) ? "" : ",", j->id,
		    j->queue.name, j->started ? "true" : "false");
	buf_printf(out, "],\"workers\":[");
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (w != p->workers)
			buf_printf(out, ",");
		dump_worker(w, p->now_us, out);
	}
	buf_printf(out, "]}");
}
