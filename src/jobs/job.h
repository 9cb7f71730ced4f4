/*
 * State of a job and its tasks in the pool that owns it.  Does no I/O and
 * reads no clock.
 */
#ifndef JOBS_JOB_H
#define JOBS_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "job_spec.h"
#include "queue_settings.h"
#include "run_time.h"
#include "worker.h"

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED, /* all tasks are done */
	JOB_FAILED, /* a task has failed too often */
	JOB_CANCELLED
};

/* State of a task's placement on a worker. */
enum placement {
	PLACE_NONE,
	PLACE_STARTING, /* start sent, not answered yet */
	PLACE_RUNNING,
	/*
	 * The start got no answer; a stop blocks the run, unless the worker
	 * lists it first and the task is long-running.
	 */
	PLACE_UNCONFIRMED,
	PLACE_STOPPING
};

/*
 * Must be above max_attempts of any queue: each failed run is counted once, in
 * whatever order the ends arrive.
 */
#define FAILED_RUNS_KEPT 8

struct pool_worker; /* pool_state.h */
struct pool_account; /* pool_state.h */
struct job_step;

/*
 * Workers that crashed under a task.  The task may be the cause: then it starts
 * again only on trial, where a crash convicts it.  A task that crashes workers
 * does so at the same time after each start, so a run that is outlived by more
 * clears it of the crashes before.
 */
struct task_crashes {
	int total; /* since the last long run */
	int count; /* that the task may have caused */
	int begun_count; /* of these, under runs that had begun … */
	int plain_count; /* … and that crashed right after that */
	/* The time is above survived_ms, and at most crash_max_ms. */
	int64_t survived_ms;
	int64_t crash_max_ms; /* 0: count is 0 */
	int64_t counted_run; /* newest run that was counted */
	bool suspect; /* starts only on trial */
	bool on_trial; /* its present run is a trial */
	int64_t trial_ms; /* a trial is passed once its worker outlives this */
	/*
	 * Worker that is reserved for the trial, or that the task has run on;
	 * "": none.
	 */
	char worker[NAME_BYTES];
	int64_t worker_started_ms; /* identifies its incarnation */
	uint64_t trial_serial; /* write that stores the trial */
	/*
	 * When the task was taken off the worker, or found in the record of an
	 * earlier owner, without news whether the worker has crashed; 0: there
	 * is news.
	 */
	int64_t fate_open_us;
	bool fate_begun; /* the run had begun there */
};

/* A start of a task that got no answer, and may still reach its worker. */
struct late_start {
	char worker[NAME_BYTES];
	int64_t run;
	int64_t sent_us;
	bool wait_logged; /* that the task waits for it */
	LIST_ENTRY(late_start) entries;
};

struct task {
	struct job_step *step;
	unsigned index;
	bool done;
	/* Started by an earlier owner, and found in its worker's list. */
	bool adopted;
	bool begun; /* its worker has accepted or listed the run */
	int64_t begun_clock_ms; /* when at the latest, on the worker's clock */
	/*
	 * The worker's known incarnation has listed it.  An answer to a start
	 * does not tell the incarnation, nor does the clock in it, as clocks
	 * start anywhere.
	 */
	bool run_confirmed;
	/*
	 * The run ends with the lease that the worker has by the clock of its
	 * known incarnation, whichever incarnation accepted the start.
	 */
	bool lease_known;
	enum placement place;
	struct pool_worker *worker; /* NULL for PLACE_NONE */
	TAILQ_ENTRY(task) on_worker;
	int64_t run; /* number of the newest run, or of the adopted one */
	int64_t used_run; /* higher number used for a start; 0: there is none */
	int failed_attempts; /* runs that ended with a failure */
	int64_t failed_runs[FAILED_RUNS_KEPT]; /* newest failed runs */
	/* Newest checkpoint; NULL: none.  A gang's is at its first member. */
	struct stored_text *checkpoint;
	bool checkpoint_loss_logged; /* of its newest run */
	struct task_crashes *crashes; /* NULL: no worker crashed under it */
	char avoid_worker[NAME_BYTES]; /* of the last failed run; "": none */
	int progress_percent; /* in the worker's last report */
	int64_t usage; /* see struct run_report */
	int64_t placed_us; /* start sent */
	int64_t command_answered_us; /* answer to the newest command; 0: none */
	int64_t progress_changed_us; /* last change of progress_percent */
	int64_t command_sent_us; /* newest command: a start or stop */
	bool stop_sent; /* it is a stop */
	int64_t unconfirmed_us; /* when it was known that it got no answer */
	int64_t start_not_before_us; /* back-off after a refused start */
	LIST_HEAD(late_starts, late_start) late_starts;
	int throttle_percent; /* share of full speed; 0: halted */
	/* report_count of the worker when it last listed the task. */
	uint64_t last_listed_in;
};

/* Ticket of a queue's policy that allows a worker to run a step. */
struct step_ticket {
	char worker[NAME_BYTES];
	struct text_view ticket; /* may be empty */
	bool usable; /* else the ticket cannot be read, or is too long */
};

/* The policy's decision on one incarnation of a worker. */
struct step_verdict {
	char worker[NAME_BYTES];
	int64_t worker_started_ms; /* identifies the incarnation */
	bool allowed; /* false is final for the incarnation */
	struct stored_text *ticket; /* NULL: it was dropped or not usable */
	int64_t ticket_end_us; /* the ticket is valid until then */
	int64_t query_not_before_us; /* after an unusable ticket */
	UT_hash_handle hh; /* by worker */
};

/* Queries to the policy about a step, and its decisions so far. */
struct step_advice {
	bool query_in_flight;
	bool query_failed; /* the last query got no decision */
	int64_t queried_us; /* newest query; 0: none */
	char (*queried)[NAME_BYTES]; /* workers of the newest query */
	size_t queried_count;
	struct step_verdict *verdicts; /* by worker */
};

/* A step of one occurrence. */
struct job_step {
	struct occurrence *occurrence;
	const struct step_spec *spec;
	unsigned number;
	double expected_ms; /* run time, by occurrence_expect() */
	struct task *tasks; /* spec->task_count of them */
	unsigned done_count;
	unsigned placed_count; /* tasks that are on a worker */
	unsigned open_dependency_count; /* earlier steps that are not done */
	char rack[LABEL_BYTES]; /* where a same-rack step runs; "": any */
	struct step_advice advice;
};

struct occurrence {
	struct job *job;
	unsigned number;
	int64_t due_ms; /* Unix time; 0: due when submitted */
	struct job_step *steps;
	size_t done_step_count;
	bool deferred; /* has been, under overload */
	bool in_turn; /* has gone ahead of others because it was overdue */
	LIST_ENTRY(occurrence) entries;
};

struct job {
	char id[JOB_ID_BYTES];
	struct queue_settings queue;
	struct pool_account *account; /* NULL: it belongs to none */
	struct text_store *checkpoints; /* the pool's */
	struct job_spec *spec;
	double value; /* relative to a mean job of its queue */
	enum job_state state; /* set before it is stored */
	uint64_t state_serial; /* write that stores the final state */
	/* Unix time of the first submission, even if it was refused. */
	int64_t submitted_ms;
	LIST_HEAD(occurrence_list, occurrence) occurrences; /* in progress */
	unsigned next_occurrence_number; /* lowest that has not started */
	unsigned done_occurrence_count;
	bool started; /* a task has started */
	bool inherited; /* accepted by an earlier owner */
	uint64_t spec_serial; /* write that stores the specification */
	bool progress_stale; /* progress differs from what was written */
	size_t checkpoints_left_out; /* of a record, the most so far */
	bool in_changed_list; /* pool.changed_jobs contains the job */
	TAILQ_ENTRY(job) changed_entries;
	int64_t ended_ms; /* Unix time of the final state */
	UT_hash_handle hh; /* by id */
	TAILQ_ENTRY(job) entries; /* in pool.active or pool.finished */
};

struct job_opts {
	const char *id;
	const struct queue_settings *queue;
	struct job_spec *spec; /* the job takes a reference */
	int64_t submitted_ms;
	struct text_store *checkpoints; /* must outlive the job */
};

/* NULL when out of memory. */
struct job *job_new(const struct job_opts *opts);
void job_free(struct job *j);
static inline bool
job_final(const struct job *j)
{
	return j->state >= JOB_COMPLETED;
}

/* Name of its account; "": none.  In pool_accounts.c. */
const char *job_account_name(const struct job *j);
/* Starts the next occurrence; NULL when out of memory. */
struct occurrence *job_start_occurrence(struct job *j);
/* Unix time at which the next occurrence is due; INT64_MAX: none is left. */
int64_t job_next_due_ms(const struct job *j);
/* NULL if the task is not part of an occurrence in progress. */
struct task *job_find_task(struct job *j, const struct task_name *n);
void task_get_name(const struct task *t, struct task_name *n);
/*
 * Marks a task as done.  If that completes its step, dependent steps become
 * ready; the occurrence and the job may complete as well.
 */
void task_mark_done(struct task *t, int64_t now_ms);
/*
 * Frees finished occurrences without placed tasks.  Workers may still list
 * members of a gang after one member has ended for all.
 */
void job_drop_finished(struct job *j);
/* Counts a failed run; false if the run was counted before. */
bool task_count_failure(struct task *t, int64_t run);
/*
 * Replaces the checkpoint of an unfinished task, or of its gang.  False if it
 * cannot be kept; the older one stays, which is valid, too.
 */
bool task_set_checkpoint(struct task *t, const struct text_view *checkpoint);
/* Of the task or its gang; NULL: none. */
struct buf *task_checkpoint(const struct task *t);
/* Its crashes, which are added with a count of 0 unless the task has some. */
struct task_crashes *task_get_crashes(struct task *t);
/*
 * Sets the expected run times of the steps by the model of the queue.  The next
 * three use them.
 */
void occurrence_expect(struct occurrence *o, const struct run_time_model *m);
/* Expected time of the remaining critical path in ms. */
double occurrence_critical_path_left_ms(
    const struct occurrence *o, int64_t now_us);
/* Expected remaining work in thousandths of a core times ms. */
double occurrence_work_left(const struct occurrence *o);
/* Time that the objective allows from the due time on. */
int64_t occurrence_objective_span_ms(const struct occurrence *o);

#endif
