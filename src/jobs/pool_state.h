/*
 * State and functions that the source files of the pool's reducer share.
 * Only pool*.c include this file.
 */
#ifndef JOBS_POOL_STATE_H
#define JOBS_POOL_STATE_H

#include "pool.h"
#include "pool_caps.h"

/* A worker that missed this many renewals in a row gets no new tasks. */
#define SILENT_MISSED_RENEWALS 2
#define RUNS_PER_TERM 1000 /* run numbers that one term may assign */
/* Fences that one term may use: one for each incarnation of a worker. */
#define FENCES_PER_TERM 1000000
/* Tasks whose start the worker has outlived by less may crash it. */
#define YOUNG_RUN_MS 100
/* An unanswered command may arrive this long after it was sent. */
#define LATE_COMMAND_MAX_MS 12000
/* Lowest rate of a worker's clock: clocks run at most 2 % slow. */
#define CLOCK_RATE_MIN 0.98
/* Added to the end of a lease, for rounding and message delivery. */
#define LEASE_MARGIN_MS 100

/*
 * A worker's clock at the time of a record: tells the next owner how long ago
 * that was, which no daemon's time of day does.
 */
struct clock_reference {
	char worker[NAME_BYTES]; /* "": none */
	int64_t worker_started_ms; /* identifies its incarnation */
	int64_t min_ms, max_ms; /* between which its clock was */
};

/*
 * A worker and what the owner of the pool has placed on it.  The *_us fields
 * are on the owner's monotonic clock unless their comment says otherwise.
 */
struct pool_worker {
	struct worker_report report;
	bool listed; /* the store has the worker's entry */
	bool entry_dropped; /* the store had it */
	/* The worker's machine was removed: all its runs have ended. */
	bool machine_removed;
	int64_t removal_known_us; /* to the controller */
	/* Its newest answer, or entry after a removal: it lived then. */
	int64_t alive_us;
	int64_t unlisted_us; /* when its entry was dropped; 0: it was not */
	/*
	 * Of commands to the worker.  Rises when it restarts, so that the new
	 * incarnation rejects commands that were sent before.
	 */
	int64_t fence;
	/* The worker has answered under its fence. */
	bool fence_confirmed;
	bool inherited; /* an earlier owner may have started runs on it */
	/* Under its fence, an answer has listed its last end. */
	bool all_ends_listed;
	/*
	 * All runs that were started on the worker have ended by then; 0 while
	 * it answers.  The time that is left is stored for the next owner.
	 */
	int64_t idle_by_us;
	/* idle_by_us of an inherited worker, also after it has answered. */
	int64_t reconciled_by_us;
	/* When the newest record was written, and the wait in it. */
	struct clock_reference recorded_at;
	int64_t recorded_wait_ms;
	bool has_record; /* the topic has a record of the worker */
	/* The newest record written matches this state. */
	bool record_current;
	uint64_t record_serial; /* write of the newest record */
	/*
	 * By the newest record, as a next owner would see it at the earliest;
	 * 0: the worker was not silent.
	 */
	int64_t recorded_idle_by_us;
	/*
	 * A next owner that reads the record from before the worker answered
	 * waits for the worker until this time at least.
	 */
	int64_t successor_wait_end_us;
	int64_t clock_read_us; /* when report.clock_ms was received */
	/* The worker's clock showed report.clock_ms then or later. */
	int64_t clock_since_us;
	/* End of the latest lease sent, ms on the worker's clock. */
	int64_t lease_end_ms;
	/*
	 * End of any lease by a command from before its first answer, of an
	 * earlier owner or meant for an earlier incarnation; on its clock.
	 */
	int64_t foreign_lease_end_ms;
	/* Newest renewals could not extend the lease, which is logged. */
	bool lease_withheld;
	int64_t lease_sent_us; /* newest command that grants a lease */
	int64_t last_reply_us; /* last answer to a renewal */
	int64_t alive_clock_ms; /* its latest clock in any answer */
	int64_t restarted_us; /* when its newest restart was noticed */
	/* What the last answer says was true at this time or later. */
	int64_t reported_us;
	/* First missed renewal since the last answer; 0: none was missed. */
	int64_t silent_since_us;
	int missed_renewals; /* renewals in a row without an answer */
	/* Platform lists in a row that lack the worker. */
	int missing_from_lists;
	int64_t named_us; /* newest list that names it while it is silent */
	bool is_gone; /* its process has ended */
	bool fate_awaited; /* a suspect waits for news of it */
	bool renewal_in_flight;
	int64_t renewal_sent_us; /* newest renewal */
	/* It was not answered in time, perhaps as the loop was late. */
	bool renewal_cut_short;
	int64_t renewal_due_us; /* next renewal */
	int64_t last_end; /* highest end number processed */
	/* The worker may forget ends up to this number: they are stored. */
	int64_t acked_end;
	/* Highest acked_end that the worker has received and answered. */
	int64_t delivered_ack_end;
	/* acked_end sent with the renewal in flight; 0: none is sent. */
	int64_t in_flight_ack_end;
	int64_t fence_raised_us; /* starts sent before have a lower fence */
	/* Latest arrival of an unanswered start. */
	int64_t late_start_until_us;
	int64_t late_start_sent_us; /* newest unanswered start */
	/* Starts of an earlier owner, whose fence is lower, may arrive. */
	int64_t earlier_starts_until_us;
	/* Latest arrival of an unanswered renewal that has an acked_end. */
	int64_t late_ack_until_us;
	/* Becomes acked_end once write pending_ack_serial is stored. */
	int64_t pending_ack_end;
	uint64_t pending_ack_serial;
	size_t unwanted_run_count; /* listed runs that are being stopped */
	uint64_t report_count; /* renewals answered */
	/* Sums over the placed tasks. */
	int64_t cpu_milli, memory_mb, accelerators;
	TAILQ_HEAD(placed_list, task) tasks;
	size_t task_count;
	/* Tasks on trial there, all of job trial_job. */
	size_t trial_count;
	char trial_job[JOB_ID_BYTES];
	int64_t trial_reserved_until_us; /* for a trial of trial_job */
	bool crashed_on_trial; /* its newest crash ended a trial */
	int fail_streak; /* tasks' first failures and stalls, in a row */
	/*
	 * No new tasks before this time: tasks fail on the worker, or a late
	 * acknowledgement may arrive at a new incarnation.
	 */
	int64_t quarantined_until_us;
	/* No new tasks before this time: it refused one, being full. */
	int64_t full_until_us;
	/* Earliest end of a draining worker; 0: not draining. */
	int64_t drain_end_us;
	/* No new tasks of other jobs before this time. */
	int64_t reserved_until_us;
	char reserved_job[JOB_ID_BYTES];
	int64_t throttle_changed_us; /* newest change of a throttle */
	/* No new tasks before this time: the worker is cordoned. */
	int64_t cordon_until_us;
	/* An open maintenance wave may reach the worker until this time. */
	int64_t maintenance_pending_until_us;
	/* When evacuation was requested; 0: it was not. */
	int64_t evacuating_since_us;
	UT_hash_handle hh; /* by report.id */
};

/* An answer that is sent once write "serial" is stored. */
struct pending_answer {
	struct pool_effect effect;
	uint64_t serial;
	STAILQ_ENTRY(pending_answer) entries;
};

/* Averaging times of arriving work, shortest first. */
enum arrival_span {
	ARRIVAL_SHORT,
	ARRIVAL_MEDIUM,
	ARRIVAL_LONG,
	ARRIVAL_SPANS
};

struct resources {
	double cpu_milli, memory_mb, accelerators;
};

/* A job whose submission was refused. */
struct refused_job {
	char id[JOB_ID_BYTES];
	int64_t first_ms; /* Unix time of its first submission */
	UT_hash_handle hh; /* by id */
};

/*
 * An account with jobs in the pool, or in the configuration.  Kept until the
 * pool is freed, as jobs refer to it.
 */
struct pool_account {
	/* Weight 1 and no cap unless it is in the configuration. */
	struct account_settings settings;
	bool configured; /* it is in the configuration */
	/*
	 * What its tasks on workers occupy, from the start that is sent until
	 * the run's end is known.  Best-effort tasks count with their CPU.
	 */
	struct account_cap usage;
	size_t active_jobs; /* unfinished jobs in the pool */
	/* Submissions that it may make; see pool_admission.c. */
	double tokens;
	int64_t tokens_us; /* when they were counted; 0: never */
	int64_t last_turn_us; /* an overdue job of it went ahead; 0: never */
	int64_t next_token_us; /* first time not named to a refused caller */
	/* Its index in the load_problem of this pass. */
	uint64_t load_pass;
	size_t load_index;
	struct account_share share;
	UT_hash_handle hh; /* by settings.name */
};

struct pool {
	struct pool_opts opts;
	/* Copied from the event that is being processed. */
	int64_t now_us, now_ms;
	int64_t loop_lag_us;
	int64_t loop_late_us; /* newest event that the loop was late for */
	/* When the loop last stood still for long; 0: never. */
	int64_t loop_stopped_us, loop_resumed_us;
	int64_t ownership_confirmed_us;
	int64_t entries_read_us;
	bool workers_guarded;
	bool capacity_known; /* the entries are not too old for starts */
	struct pool_effects *fx; /* effects of that event */
	struct text_store checkpoints; /* of tasks */
	struct text_store tickets; /* of steps, for workers */
	bool loaded; /* POOL_LOADED has been processed */
	/* pool_reconciled() has been true: inherited tasks may be placed. */
	bool reconciled;
	/* Silent workers may run tasks of earlier terms until this time. */
	int64_t reconcile_end_us;
	int64_t reconcile_logged_us;
	int64_t periodic_done_us; /* newest liveness check and deletion */
	bool liveness_check_in_flight;
	int64_t liveness_check_sent_us; /* newest liveness check */
	struct job *jobs; /* all, by id */
	TAILQ_HEAD(job_list, job) active, finished;
	struct refused_job *refused; /* by id, oldest first */
	struct job_list changed_jobs; /* since pool_flush_jobs() */
	size_t active_count, finished_count;
	struct pool_account *accounts; /* by name */
	size_t configured_accounts;
	struct pool_selection *selection;
	bool placing_in_turn; /* see candidate.in_turn */
	struct pool_caps caps;
	struct pool_worker *workers; /* by id */
	int64_t fences_used; /* of this term */
	int64_t next_renewal_us; /* no renewal is due earlier */
	int64_t last_probe_us; /* latest probe that is due, of any worker */
	int64_t workers_checked_us; /* newest pass over all workers */
	/*
	 * Time since which work that can meet its objective or is long-running
	 * has found no capacity; 0: it finds some.
	 */
	int64_t starved_since_us;
	/* The same for long-running tasks alone. */
	int64_t long_running_starved_since_us;
	/* When a long-running task last found no worker to move to. */
	int64_t move_blocked_us;
	/*
	 * incoming_workers workers join the pool within incoming_within_ms,
	 * as reported at incoming_reported_us.
	 */
	size_t incoming_workers;
	int incoming_within_ms;
	int64_t incoming_reported_us;
	/* End of the time in which long-running tasks leave workers. */
	int64_t moves_until_us;
	int64_t move_blocked_logged_us;
	/* Mean capacity of a worker, and the number of workers averaged. */
	double typical_worker_count, typical_cpu_milli, typical_memory_mb,
	    typical_accelerators;
	/*
	 * Mean resources that arriving work occupies, over averaging times of
	 * different length, decayed to arrivals_decayed_us; 0: no arrivals.
	 */
	struct resources arrivals[ARRIVAL_SPANS];
	int64_t arrivals_decayed_us;
	/*
	 * When all inherited workers had answered or missed a renewal; 0: some
	 * have done neither yet.
	 */
	int64_t workers_answered_us;
	bool records_stale; /* the record of a worker is not current */
	/* The store has an earlier version's list of all workers. */
	bool has_worker_list_record;
	struct run_time_model *run_times; /* by queue */
	uint64_t write_serial; /* newest write */
	uint64_t stored_serial; /* newest write that is stored */
	STAILQ_HEAD(pending_list, pending_answer) pending_answers;
	/* Largest free amount of each resource on any usable worker. */
	struct {
		bool valid; /* no task was placed since they were computed */
		int64_t cpu_milli, memory_mb, accelerators;
	} max_free;
	size_t starts_in_flight; /* tasks in PLACE_STARTING */
	size_t start_window; /* most starts in flight at present */
	int64_t start_window_cut_us; /* when it was last reduced */
	bool start_limit_reached; /* by the last scheduling pass */
	/* Capacity or work has changed since the last scheduling pass. */
	bool placement_due;
	int64_t placement_not_before_us; /* earliest next scheduling pass */
	/* When a task stops waiting for a late start; INT64_MAX: none waits. */
	int64_t wait_end_us;
	/* Occurrences with tasks to place, in the last scheduling pass. */
	size_t waiting_occurrences;
	int64_t next_occurrence_ms; /* Unix time; of any timed job */
	struct pool_stats stats;
};

/* Which of a worker's tasks are detached. */
enum detach_scope {
	DETACH_ALL,
	DETACH_LEASE_KNOWN /* those with lease_known */
};

static inline bool
detach_scope_has(enum detach_scope scope, const struct task *t)
{
	return scope == DETACH_ALL || t->lease_known;
}

/* pool_effects.c */
struct pool_effect *fx_add(struct pool *p, enum pool_effect_kind kind);
void fx_log(struct pool *p, enum log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void fx_answer(struct pool *p, uint64_t token, enum pool_answer answer);
/* Takes the reference to "value"; NULL drops the key. */
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
/* The runs of all these tasks on the worker have ended. */
void worker_detach_tasks(struct pool *p, struct pool_worker *w,
    enum detach_scope scope, const char *why);
/* Estimate of the worker's clock, ms. */
int64_t worker_clock_ms(const struct pool_worker *w, int64_t now_us);
/* Lowest time that the worker's clock may show, ms. */
int64_t worker_clock_min_ms(const struct pool_worker *w, int64_t now_us);
/*
 * The answer to a start or stop of "sent_us" carried this time of the worker's
 * clock; -1: none.  False if it is of another incarnation, or may be of an
 * earlier one.
 */
bool worker_note_clock(
    struct pool_worker *w, int64_t now_us, int64_t sent_us, int64_t clock_ms);
bool worker_lease_expired(const struct pool_worker *w, int64_t now_us);
/* Rack of the worker; "": unknown. */
const char *worker_rack(const struct pool_worker *w);
/* May be given new tasks. */
bool worker_usable(const struct pool *p, const struct pool_worker *w);
/* NULL when out of memory. */
struct pool_worker *pool_worker_new(
    struct pool *p, const struct worker_report *r);
/* All tasks of earlier terms are listed by their workers or have ended. */
bool pool_reconciled(const struct pool *p);
/* Sets pool.reconciled, and logs the change. */
void pool_update_reconciled(struct pool *p);
/* The runs that earlier owners started on the worker are listed or over. */
bool worker_reconciled(const struct pool *p, const struct pool_worker *w);
/* The worker answers, and may have more ends of such runs to list. */
bool worker_has_unlisted_ends(
    const struct pool *p, const struct pool_worker *w);
/* The worker is listed, or its entry may still come back. */
bool worker_present(const struct pool *p, const struct pool_worker *w);
/* The worker's record no longer matches its state, and is written again. */
void worker_mark_record_stale(struct pool *p, struct pool_worker *w);
/* A new incarnation has the worker's id and none of its earlier state. */
void worker_restarted(struct pool *p, struct pool_worker *w, int64_t clock_ms);
void worker_free(struct pool *p, struct pool_worker *w);

/* Commands that were sent before the next one have a lower fence. */
void worker_raise_fence(struct pool *p, struct pool_worker *w);

/* pool_late_starts.c */
/* The start of the task's run has got no answer: it may still arrive. */
void task_note_late_start(struct task *t);
/* A start of this run has arrived at the worker, and cannot do so again. */
void task_start_arrived(struct task *t, const char *worker, int64_t run);
/*
 * An earlier start may be carried out, by a new incarnation of its worker: the
 * task must not start elsewhere yet.
 */
bool task_awaits_late_start(struct pool *p, struct task *t);
/* Starts to the worker, of this owner or an earlier one, may still arrive. */
bool worker_awaits_late_starts(
    const struct pool *p, const struct pool_worker *w);
/*
 * A silent worker may be back as a new incarnation by the next command, which
 * has to bring it a fence above those of all starts that may still arrive.
 */
void worker_fence_late_starts(struct pool *p, struct pool_worker *w);
/*
 * Time until the next renewal to a silent worker that awaits late starts, "us"
 * at most.  Probes follow each other at short intervals, over all workers,
 * unless the owner is overloaded.
 */
int64_t worker_probe_pause_us(
    struct pool *p, const struct pool_worker *w, int64_t us);

/* pool_lease_expiry.c */
/*
 * Detaches the tasks of a silent worker whose leases have expired.  A later
 * owner may have renewed them since, but there was none while this owner was
 * confirmed: the leases must have expired by that time.
 */
void worker_check_lease(struct pool *p, struct pool_worker *w);

/* pool_renewals.c */
void pool_renewal_done(struct pool *p, const struct pool_event *ev);
/* Sends the renewals that are due and checks leases. */
void pool_run_renewals(struct pool *p, const struct pool_event *ev);
/*
 * The worker's process and all its runs have ended: frees its tasks and
 * records that the next owner need not wait for it.
 */
void worker_ended(struct pool *p, struct pool_worker *w, const char *why);
/* Time of the next renewal, "latest_us" at the latest. */
int64_t pool_next_renewal_us(const struct pool *p, int64_t latest_us);

/* pool_reports.c */
/*
 * Adopts, ends and detaches runs by an answer to a renewal that was sent at
 * "sent_us".  True if a long-running task has begun to work.
 */
bool worker_process_report(struct pool *p, struct pool_worker *w,
    const struct renewal_report *r, int64_t sent_us);

/* pool_liveness.c */
/* Starts a liveness check if a silent worker keeps tasks waiting. */
void pool_check_liveness(struct pool *p);
void pool_apply_liveness_list(struct pool *p, const struct pool_event *ev);

/* pool_crashes.c */
/*
 * The worker's process has ended with its runs.  Unless the end was expected,
 * counts a crash for each of its tasks, and gives up the jobs of those that it
 * convicts.
 */
void worker_crashed(struct pool *p, struct pool_worker *w);
/* The fate of a silent worker is unknown: those of its tasks are suspected. */
void worker_suspect_tasks(
    struct pool *p, struct pool_worker *w, enum detach_scope scope);
/* Time that the worker has outlived the start of the task's run, in ms. */
int64_t task_survived_ms(const struct task *t);
/* Its worker has outlived a run of the task by so much. */
void task_outlived(struct task *t, int64_t survived_ms);
/* The trial is over, and tells nothing of the task. */
void task_abort_trial(struct task *t);
/* Ends the trial of a task that its worker has outlived. */
void task_pass_trial(struct pool *p, struct task *t);
/* Counts a crash that this owner has not seen. */
void task_add_unseen_crash(struct pool *p, struct task *t);

/* pool_trials.c */
bool task_suspect(const struct task *t);
/* Trials of other jobs keep the job's tasks off the worker. */
bool worker_on_trial(
    const struct pool *p, const struct pool_worker *w, const struct job *j);
/* All tasks on the worker, but those of the job on trial, have outlived it. */
bool worker_runs_proven(const struct pool_worker *w, const struct job *j);
/* Starts a suspect once a worker is reserved and the trial is stored. */
void pool_place_on_trial(struct pool *p, struct task *t);
/* Stores that all members of a suspect gang are on trial; true: it is stored */
bool gang_store_trial(struct pool *p, struct job_step *s);
/* The task, on its worker, is about to start or goes on under a new owner. */
void task_begin_trial(struct pool *p, struct task *t);

/* pool_worker_records.c */
#define RUNS_ENDED_WAIT_MS 1 /* for a silent worker whose runs have ended */
/* The wait for a silent worker is to be recorded, or recorded better. */
bool worker_wait_unrecorded(const struct pool *p, const struct pool_worker *w);
/*
 * The worker has answered: shortens the waits for silent workers whose records
 * have its clock.
 */
void pool_use_clock_reference(struct pool *p, const struct pool_worker *w);
/* Writes the records that are not current. */
void pool_write_worker_records(struct pool *p);

/* pool_runs.c */
void task_set_place(struct pool *p, struct task *t, enum placement place);
void task_attach(struct task *t, struct pool_worker *w);
/* Takes the task off its worker; unless done, it may be started again. */
void task_detach(struct pool *p, struct task *t);
void task_start(struct pool *p, struct task *t, int64_t run);
/* "why" is logged if a run of a long-running task ends with it. */
void task_stop(struct pool *p, struct task *t, const char *why);
/*
 * Keeps a checkpoint that a worker has reported.  "left_out": it has not come
 * with the report.  A loss is logged once for each run.
 */
void pool_note_checkpoint(struct pool *p, struct task *t,
    const struct text_view *checkpoint, bool left_out);
void pool_run_ended(
    struct pool *p, struct pool_worker *w, const struct end_report *r);
void pool_start_done(struct pool *p, const struct pool_event *ev);
void pool_stop_done(struct pool *p, const struct pool_event *ev);
int64_t task_next_run(const struct pool *p, const struct task *t);

/* pool_jobs.c */
struct job *pool_find_job(const struct pool *p, const char *id);
/* NULL: its job is not known, or its occurrence not in progress. */
struct task *pool_find_task(const struct pool *p, const struct task_name *n);
void pool_submit(struct pool *p, const struct pool_event *ev);
void pool_cancel(struct pool *p, const struct pool_event *ev);
void pool_answer_job_query(struct pool *p, const struct pool_event *ev);
void pool_answer_waiting_count(struct pool *p, const struct pool_event *ev);
void pool_fail_job(struct pool *p, struct job *j, const struct task *t);
/* Queues a job whose state or tasks have changed for pool_flush_jobs(). */
void pool_mark_job_changed(struct pool *p, struct job *j);
/*
 * Writes the progress of changed jobs and moves those that have ended to
 * pool.finished.
 */
void pool_flush_jobs(struct pool *p);
/* Writes the job's progress at once. */
void pool_write_progress(struct pool *p, struct job *j);
/* Deletes finished jobs after opts.status_retention_ms. */
void pool_drop_old_jobs(struct pool *p);

/* pool_accounts.c */
/* NULL for the name ""; adds the account unless the pool has it. */
struct pool_account *pool_account_get(struct pool *p, const char *name);
void pool_account_change(struct pool *p, const struct pool_event *ev);
/* The task has been placed on a worker, or taken off it. */
void account_note_placed(const struct task *t);
void account_note_detached(const struct task *t);
void pool_accounts_free(struct pool *p);

/* pool_admission.c */
/* The controller's report of incoming workers is recent enough to count. */
bool pool_incoming_known(const struct pool *p);
#define SUBMIT_RETRY_MAX_MS 10000 /* upper bound of a refusal's retry time */
/* Returns the retry time of a refused job and the reason; 0: accepted. */
int pool_submit_refusal_ms(
    struct pool *p, const struct pool_event *ev, const char **why);
/* The figures behind the last refusal, as log fields; "": none. */
const char *pool_refusal_figures(const struct pool *p);

/* pool_refused.c */
void pool_note_refused(struct pool *p, const char *id);
/* Unix time of the first submission of a job that is now accepted. */
int64_t pool_remove_refused(struct pool *p, const char *id);
void pool_refused_free(struct pool *p);

/* pool_start_window.c */
void start_window_init(struct pool *p);
/* A start that was sent at "sent_us" has been answered. */
void start_window_answered(struct pool *p, int64_t sent_us);
/* A start has had no answer within its time-out. */
void start_window_unanswered(struct pool *p);
/* So many further starts may be sent now. */
bool start_window_has_room(const struct pool *p, size_t count);

/* pool_place.c */
/* The worker has capacity for the task and may run it. */
bool worker_may_run(
    const struct pool *p, const struct pool_worker *w, const struct task *t);
void place_task(struct pool *p, struct task *t, struct pool_worker *w);
/* A scheduling pass: starts the waiting tasks that find capacity. */
void pool_place(struct pool *p);
/* Another worker has capacity for a placed task. */
bool task_fits_elsewhere(struct pool *p, const struct task *t);
/* The worker would have capacity for a task if it ran nothing. */
bool worker_fits_if_empty(
    const struct pool_worker *w, const struct step_spec *s);
size_t worker_long_running_tasks(const struct pool_worker *w);
bool worker_has_capacity(
    const struct pool_worker *w, const struct step_spec *s);

/* pool_advice.c */
/* NULL: the policy excludes the worker, or has not been queried about it. */
struct buf *step_find_ticket(
    const struct job_step *s, const struct pool_worker *w, int64_t now_us);
/* The worker has refused the ticket: the policy is queried again. */
void step_expire_ticket(struct job_step *s, const struct pool_worker *w);
/* Queries the policy about further workers, unless a query is in flight. */
void pool_query_policy(struct pool *p, struct job_step *s);
void pool_policy_answered(struct pool *p, const struct pool_event *ev);

/* pool_demand.c */
/* Adds a job that was submitted "ago_ms" before now to the arrivals. */
void pool_note_arrival(struct pool *p, const struct job_spec *spec,
    const struct queue_settings *q, int64_t ago_ms);
/* Sets pool.workers_answered_us. */
void pool_note_workers_answered(struct pool *p);

/* pool_watch.c */
/* Stops the tasks that stall, must leave the worker, or ignored a stop. */
void pool_watch_tasks(struct pool *p, struct pool_worker *w);
/* Lets the next long-running task leave an evacuating worker. */
void pool_watch_evacuating(struct pool *p);
/* Logs an order that ends a run of a long-running task. */
void pool_log_availability(struct pool *p, const struct task *t,
    const struct pool_worker *w, int64_t run, const char *why);
/*
 * The start of a long-running task got no answer, and the worker's next list
 * shows whether the run has begun.
 */
bool task_awaits_list(const struct task *t);
/* A long-running task that is placed and not at work yet. */
bool task_warming_up(const struct task *t);
void pool_throttle_best_effort(struct pool *p, struct pool_worker *w);

#include "pool_rank.h"

#endif
