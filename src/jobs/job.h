/*
 * State of a job and its tasks in the pool that owns it.  Nothing here does
 * I/O or looks at a clock.
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
#include "worker.h"

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED, /* all tasks are done */
	JOB_FAILED, /* a task has failed too often */
	JOB_CANCELLED
};

/* Where a task stands on a worker. */
enum placement {
	PLACE_NONE,
	PLACE_STARTING, /* ordered, not answered yet */
	PLACE_RUNNING,
	PLACE_UNCONFIRMED, /* ordered, answer lost: being barred by a stop */
	PLACE_STOPPING
};

/* More than any queue's attempts: each is counted once, in any order. */
#define FAILED_RUNS_KEPT 8

struct pool_worker; /* pool_worker.h */
struct job_step;

struct task {
	struct job_step *step;
	unsigned index;
	bool done;
	bool adopted; /* ordered by an earlier owner, listed by its worker */
	enum placement place;
	struct pool_worker *worker; /* NULL for PLACE_NONE */
	TAILQ_ENTRY(task) on_worker;
	int64_t run; /* highest number given to a start */
	int failed_attempts; /* runs that ended failed … */
	int64_t failed_runs[FAILED_RUNS_KEPT]; /* … the newest of them */
	char *checkpoint; /* newest checkpoint; NULL none */
	char avoid_worker[NAME_BYTES]; /* worker of the last failed run; "" none
					*/
	int progress_percent; /* of its work, at the worker's last report */
	int64_t usage; /* see struct run_report */
	int64_t placed_us; /* start ordered */
	int64_t command_answered_us; /* start or stop answered */
	int64_t progress_changed_us; /* percent last seen to change */
	int64_t command_sent_us; /* newest start or stop sent */
	int64_t start_not_before_us; /* no start earlier: backs off */
	int throttle_percent; /* share of its speed, percent */
	uint64_t last_listed_in; /* of its worker, when it was listed last */
};

/* What a queue's policy says of a worker that may run a step. */
struct step_ticket {
	char worker[NAME_BYTES];
	char ticket[CHECKPOINT_BYTES];
};

/* What it has said of a worker, in this life of the worker. */
struct step_verdict {
	char worker[NAME_BYTES];
	int64_t worker_started_ms;
	bool allowed; /* what is not, never will be */
	char ticket[CHECKPOINT_BYTES];
	int64_t ticket_end_us; /* the ticket holds */
	UT_hash_handle hh; /* by worker */
};

struct step_advice {
	bool query_in_flight; /* an answer is due */
	bool query_failed; /* the last question was not answered */
	int64_t queried_us; /* newest question; 0 none … */
	char (*queried)[NAME_BYTES]; /* … and its workers */
	size_t queried_count;
	struct step_verdict *verdicts;
};

/* A step of one occurrence. */
struct job_step {
	struct occurrence *occurrence;
	const struct step_spec *spec;
	unsigned number;
	struct task *tasks; /* order->count of them */
	unsigned done_count;
	unsigned placed_count; /* tasks that are on a worker */
	unsigned open_dependency_count; /* earlier steps that are not done */
	char rack[LABEL_BYTES]; /* where a same-rack step runs; "" any */
	struct step_advice advice;
};

struct occurrence {
	struct job *job;
	unsigned number;
	int64_t due_ms; /* Unix time; 0: when accepted */
	struct job_step *steps;
	size_t done_step_count;
	LIST_ENTRY(occurrence) entries;
};

struct job {
	char id[JOB_ID_BYTES];
	struct queue_settings queue;
	struct job_spec *spec;
	enum job_state state; /* also while not stored yet */
	uint64_t state_serial; /* write that stores the final state */
	int64_t submitted_ms; /* Unix time it came first, refused or not */
	LIST_HEAD(occurrence_list, occurrence) occurrences; /* under way */
	unsigned next_occurrence_number; /* lowest that is not under way yet */
	unsigned done_occurrence_count;
	bool started; /* a task has started */
	bool inherited; /* accepted by an owner before this one */
	uint64_t spec_serial; /* write that stores the order */
	bool progress_stale; /* progress differs from what was written */
	bool in_changed_list; /* in the pool's list of those to look at */
	TAILQ_ENTRY(job) changed_entries;
	int64_t ended_ms; /* Unix time of the final state */
	UT_hash_handle hh; /* by id */
	TAILQ_ENTRY(job) entries; /* unfinished or finished, in the pool */
};

struct job *job_new(const char *id, const struct queue_settings *terms,
    struct job_spec *job_spec, int64_t handed_in_ms);
void job_free(struct job *j);
static inline bool
job_final(const struct job *j)
{
	return j->state >= JOB_COMPLETED;
}

/* Puts the next occurrence under way; NULL when memory is short. */
struct occurrence *job_start_occurrence(struct job *j);
/* Unix time at which the next occurrence is due; INT64_MAX: none is left. */
int64_t job_next_due_ms(const struct job *j);
/* NULL where no such task is under way. */
struct task *job_find_task(struct job *j, const struct task_name *n);
void task_get_name(const struct task *t, struct task_name *n);
/*
 * Marks a task as done and follows what that ends: its step, which may let
 * others begin, its occurrence, its job.
 */
void task_mark_done(struct task *t, int64_t now_ms);
/*
 * Frees occurrences that are finished and on no worker any more: members of
 * a gang may still be listed after one of them ended for all.
 */
void job_drop_finished(struct job *j);
/* Counts a failed run; false where it was counted before. */
bool task_count_failure(struct task *t, int64_t run);
void task_set_checkpoint(struct task *t, const char *saved);
/*
 * ms of the longest chain of steps that is left, by estimates times "ratio".
 */
double occurrence_critical_path_left_ms(
    const struct occurrence *o, double ratio, int64_t now_us);
/* Thousandths of a core times ms that are left, by estimates. */
double occurrence_work_left(const struct occurrence *o);
/* Unix time by which an occurrence should be finished. */
int64_t occurrence_objective_ms(const struct occurrence *o);
int64_t occurrence_objective_span_ms(const struct occurrence *o);

#endif
