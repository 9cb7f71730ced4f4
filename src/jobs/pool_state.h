/* What the files of the pool's reducer share; for pool*.c only. */
#ifndef JOBS_POOL_STATE_H
#define JOBS_POOL_STATE_H

#include "pool.h"

#define SILENT_MISSED_RENEWALS 2 /* a worker with so many gets no new tasks */
#define RUNS_PER_TERM 1000 /* run numbers that a term may hand out */
/* Worker's clocks are at most 2 % slow. */
#define CLOCK_RATE_MIN 0.98
#define CLOCK_OFFSET_MAX_MS 500 /* of daemons; "close to true time" */
#define LEASE_MARGIN_MS 100 /* beyond a lease's end: rounding and delivery */

struct pool_worker {
	struct worker_report report;
	bool listed; /* its entry is in the store */
	bool machine_removed; /* its machine was taken away: it has ended */
	int64_t unlisted_us; /* its entry was dropped then; 0: it was not */
	bool fence_confirmed; /* has seen this term's fence */
	bool inherited; /* an earlier owner may have ordered tasks to it */
	/*
	 * Unix time at which nothing runs there any more that was ordered; 0:
	 * it answers, or did of late.  A next owner is told.
	 */
	int64_t idle_by_ms;
	int64_t
	    reconciled_by_us; /* the same for this owner, where "inherited" */
	bool has_record; /* the topic has a record of it … */
	bool record_current; /* … that says what is believed of it … */
	uint64_t record_serial; /* … once this is written */
	int64_t recorded_idle_by_ms; /* "silent_until_ms" of the record */
	/* Unix time until which a next owner waits for it all the same. */
	int64_t successor_wait_end_ms;
	int64_t clock_read_us; /* when report.clock_ms was observed */
	int64_t lease_end_ms; /* latest that was sent, on its clock */
	int64_t last_reply_us;
	int missed_renewals; /* holds in a row without an answer */
	int missing_from_lists; /* the platform has not named it, in a row */
	bool renewal_in_flight; /* a hold is under way */
	int64_t renewal_due_us;
	int64_t last_end; /* highest end number that was taken in */
	int64_t acked_end; /* may be forgotten by the worker */
	int64_t delivered_ack_end; /* … and it was told so, and has answered */
	int64_t in_flight_ack_end; /* by the hold under way; 0: tells nothing */
	int64_t
	    late_ack_until_us; /* a hold that told it may arrive until then */
	int64_t pending_ack_end; /* … once "pending_serial" is written */
	uint64_t pending_ack_serial;
	size_t unwanted_run_count; /* runs there that are not wanted, being
				      stopped */
	uint64_t report_count; /* holds answered */
	int64_t cpu_milli, memory_mb, accelerators; /* of what is placed */
	TAILQ_HEAD(placed_list, task) tasks;
	size_t task_count;
	int fail_streak; /* first failures in a row */
	int64_t quarantined_until_us; /* no new tasks: fails what it starts */
	int64_t full_until_us; /* refused a task for want of room */
	int64_t drain_end_us; /* it may be gone then; 0: not draining */
	int64_t throttle_changed_us; /* newest change of pace */
	int64_t cordon_until_us; /* no new tasks: its machine is to go away */
	int64_t
	    maintenance_pending_until_us; /* its machine's upkeep is to come */
	int64_t evacuating_since_us; /* its tasks go elsewhere; 0: not asked */
	UT_hash_handle hh; /* by report.id */
};

/* An answer that waits for a write. */
struct pending_answer {
	struct pool_effect effect;
	uint64_t serial;
	STAILQ_ENTRY(pending_answer) entries;
};

/* How long a queue's tasks take, against their callers' estimates. */
struct learned {
	char queue[NAME_BYTES];
	double ratio;
	UT_hash_handle hh;
};

enum arrival_span {
	ARRIVAL_SHORT,
	ARRIVAL_MEDIUM,
	ARRIVAL_LONG,
	ARRIVAL_SPANS
};

/* Room that tasks take up, or could. */
struct room {
	double cpu, memory_mb, accelerators;
};

/* A job that was refused, by id. */
struct refused_job {
	char id[JOB_ID_BYTES];
	int64_t first_ms; /* Unix time it came first */
	UT_hash_handle hh;
};

struct pool {
	struct pool_opts opts;
	int64_t now_us, now_ms; /* of the event */
	int64_t loop_lag_us; /* of the daemon's loop, as the event said */
	int64_t ownership_confirmed_us; /* as the event said */
	struct pool_effects *fx;
	bool loaded;
	bool reconciled; /* seen to be, so that waiting tasks are looked at */
	int64_t reconcile_end_us; /* silent workers may run tasks until then */
	int64_t reconcile_logged_us;
	bool liveness_check_in_flight; /* the platform is being asked … */
	int64_t liveness_check_sent_us; /* … or was, then */
	struct job *jobs; /* all, by id */
	TAILQ_HEAD(job_list, job) active, finished;
	struct refused_job *refused; /* the oldest first */
	struct job_list changed_jobs; /* changed since the last flush */
	size_t active_count, finished_count;
	struct pool_worker *workers; /* by id */
	int64_t next_renewal_us; /* no worker is to be held earlier */
	int64_t workers_checked_us; /* when all workers were looked at last */
	int64_t starved_since_us; /* work in time finds no room; 0: it does */
	int64_t long_running_starved_since_us; /* a lasting task neither; 0: it
						  does */
	int64_t move_blocked_us; /* one that is to move was seen to find none */
	size_t incoming_workers; /* workers on their way … */
	int incoming_within_ms; /* … that work so long … */
	int64_t incoming_reported_us; /* … after this was told */
	int64_t moves_until_us; /* lasting tasks move about until then */
	int64_t move_blocked_logged_us;
	double typical_worker_count, typical_cpu_milli, typical_memory_mb,
	    typical_accelerators;
	/*
	 * Room that arriving work takes up in the long run, averaged over
	 * times of different length, as of then; 0: none has arrived.
	 */
	struct room arrivals[ARRIVAL_SPANS];
	int64_t arrivals_decayed_us;
	int64_t
	    workers_answered_us; /* all workers had answered then; 0: not yet */
	bool records_stale; /* one is not recorded as it is */
	bool has_worker_list_record; /* an earlier version's record of all is
					stored */
	struct learned *corrections; /* by queue */
	uint64_t write_serial; /* newest write */
	uint64_t stored_serial; /* newest that is stored */
	STAILQ_HEAD(pending_list, pending_answer) pending_answers;
	/* The most room on any worker, in one look at what waits. */
	struct {
		bool known; /* since the last task was placed */
		int64_t cpu, memory_mb, accelerators;
	} max_free;
	size_t starts_in_flight; /* tasks in PLACE_STARTING */
	bool start_limit_reached; /* the last look ended with as many as may be
				   */
	bool placement_due; /* room or work has changed */
	int64_t placement_not_before_us; /* … and is looked at then */
	size_t
	    waiting_occurrences; /* occurrences that waited at the last look */
	int64_t next_occurrence_ms; /* of timed jobs */
	struct pool_stats stats;
};

/* Classes of work, the first goes first. */
enum rank_class {
	RANK_LONG_RUNNING,
	RANK_STARTED, /* under way, and can still meet its objective */
	RANK_ON_TIME, /* can still meet it, not begun yet */
	RANK_LATE, /* cannot, but is still worth something */
	RANK_HOPELESS
};

struct candidate {
	struct occurrence *occurrence;
	enum rank_class class;
	int priority;
	double slack_ms; /* until it could not meet its objective any more */
};

/* pool_effects.c */
struct pool_effect *fx_add(struct pool *p, enum pool_effect_kind kind);
void fx_log(struct pool *p, enum log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void fx_answer(struct pool *p, uint64_t token, enum pool_answer answer);
void fx_write(struct pool *p, const char *key, struct buf *value);
void fx_target(struct worker_target *to, const struct pool_worker *w);
void fx_stop(struct pool *p, const struct pool_worker *w,
    const struct task_name *task, int64_t run);
void fx_throttle(struct pool *p, const struct task *t, int percent);

/* pool_workers.c */
struct pool_worker *pool_find_worker(const struct pool *p, const char *id);
void pool_worker_entry(struct pool *p, const struct worker_report *r);
void pool_worker_unlisted(struct pool *p, const char *id);
void pool_cordon(struct pool *p, const struct pool_event *ev);
/* The worker runs nothing any more that it was told to run. */
void worker_detach_tasks(
    struct pool *p, struct pool_worker *w, const char *why);
int64_t worker_clock_ms(const struct pool_worker *w, int64_t now_us);
bool worker_lease_expired(const struct pool_worker *w, int64_t now_us);
bool worker_usable(const struct pool *p, const struct pool_worker *w);
/* NULL when memory is short. */
struct pool_worker *pool_worker_new(
    struct pool *p, const struct worker_report *r);
/* All tasks of earlier terms are known or have ended. */
bool pool_reconciled(const struct pool *p);
/* Notes, and says, when they are. */
void pool_update_reconciled(struct pool *p);

/* What an earlier owner may have ordered there is known, or has ended. */
bool worker_reconciled(const struct pool *p, const struct pool_worker *w);
/* Is listed, or may be again. */
bool worker_present(const struct pool *p, const struct pool_worker *w);
/* What the topic says of it is not what is believed any more. */
void worker_mark_record_stale(struct pool *p, struct pool_worker *w);
/* Another life under the same id: it knows nothing of before. */
void worker_restarted(
    struct pool *p, struct pool_worker *w, int64_t clock_ms, int64_t born_ms);
void worker_free(struct pool *p, struct pool_worker *w);

/* pool_holds.c */
void pool_renewal_done(struct pool *p, const struct pool_event *ev);
void pool_run_renewals(struct pool *p, const struct pool_event *ev);
/* Its life is over, and with it all that ran there: the next owner is told. */
void worker_ended(struct pool *p, struct pool_worker *w, const char *why);
/* When the next hold is due; "latest_us" where none is earlier. */
int64_t pool_next_renewal_us(const struct pool *p, int64_t latest_us);

/* pool_apply_liveness_list.c */
/* Where a silent worker holds tasks up. */
void pool_check_liveness(struct pool *p);
void pool_apply_liveness_list(struct pool *p, const struct pool_event *ev);

/* pool_worker_records.c */
/* Writes the workers that are not recorded as they are. */
void pool_write_worker_records(struct pool *p);

/* pool_runs.c */
void task_set_place(struct pool *p, struct task *t, enum placement place);
void task_attach(struct task *t, struct pool_worker *w);
void task_detach(struct pool *p, struct task *t);
void task_start(struct pool *p, struct task *t, int64_t run);
void task_stop(struct pool *p, struct task *t);
void pool_run_ended(
    struct pool *p, struct pool_worker *w, const struct end_report *r);
void pool_start_done(struct pool *p, const struct pool_event *ev);
void pool_stop_done(struct pool *p, const struct pool_event *ev);
int64_t task_next_run(const struct pool *p, const struct task *t);

/* pool_jobs.c */
struct job *pool_find_job(const struct pool *p, const char *id);
void pool_submit(struct pool *p, const struct pool_event *ev);
void pool_cancel(struct pool *p, const struct pool_event *ev);
void pool_answer_job_query(struct pool *p, const struct pool_event *ev);
void pool_answer_waiting_count(struct pool *p, const struct pool_event *ev);
void pool_fail_job(struct pool *p, struct job *j, const struct task *t);
/* A task or the state of a job has changed: pool_flush_jobs() looks at it. */
void pool_mark_job_changed(struct pool *p, struct job *j);
/* Writes what has changed and files jobs that have ended. */
void pool_flush_jobs(struct pool *p);
void pool_drop_old_jobs(struct pool *p);

/* pool_refused.c */
void pool_note_refused(struct pool *p, const char *id);
/* Unix time at which a job that is taken in came first. */
int64_t pool_remove_refused(struct pool *p, const char *id);
void pool_refused_free(struct pool *p);

/* pool_place.c */
void pool_rank_occurrence(
    const struct pool *p, struct candidate *c, struct occurrence *o);
void pool_place(struct pool *p);
/* Another worker has room for a task that is placed. */
bool task_fits_elsewhere(struct pool *p, const struct task *t);
size_t worker_long_running_tasks(const struct pool_worker *w);

bool worker_has_capacity(
    const struct pool_worker *w, const struct step_spec *s);

/* pool_advice.c */
/* NULL: the policy allows none, or has not been asked. */
const char *step_find_ticket(
    const struct job_step *s, const struct pool_worker *w, int64_t now_us);
/* The worker does not take it any more. */
void step_expire_ticket(struct job_step *s, const struct pool_worker *w);
/* About workers that it was not asked about yet, unless an answer is due. */
void pool_query_policy(struct pool *p, struct job_step *s);
void pool_policy_answered(struct pool *p, const struct pool_event *ev);

/* pool_demand.c */
void pool_note_arrival(struct pool *p, const struct job_spec *o,
    const struct queue_settings *t, int64_t ago_ms);
/* Sees when all workers have answered to this owner. */
void pool_note_workers_answered(struct pool *p);

/* pool_watch.c */
void pool_watch_tasks(struct pool *p, struct pool_worker *w);
/* The next lasting task may leave a worker that is being emptied. */
void pool_watch_evacuating(struct pool *p);
/* Lasts, and is not at work yet. */
bool task_warming_up(const struct task *t);
void pool_throttle_best_effort(struct pool *p, struct pool_worker *w);

/* learned.c */
double estimate_correction_ratio(
    const struct learned *table, const char *queue);
void estimate_correction_add(struct learned **table, const char *queue,
    double estimate_ms, double took_ms);
void estimate_correction_free(struct learned *table);

#endif
