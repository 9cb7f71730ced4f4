/* Internal state of the task module, shared by tasks*.c only. */
#ifndef TASKS_STATE_H
#define TASKS_STATE_H

#include <uthash.h>

#include "fold.h"
#include "fold_tasks.h"
#include "tasks.h"

/* Shortest time between two scheduling passes. */
#define TASKS_PASS_INTERVAL_US (50 * US_PER_MS)
/* Time between two passes while the replicated state does not change. */
#define TASKS_IDLE_PASS_INTERVAL_US (1 * US_PER_S)
/* Delay before a refused worker operation is sent again. */
#define TASKS_OP_RETRY_DELAY_US (300 * US_PER_MS)
/* Time after which an operation without a result is sent again. */
#define TASKS_OP_TIMEOUT_US (5 * US_PER_S)
/* Time for a checkpoint; after that the task is fenced without one. */
#define TASKS_CHECKPOINT_TIMEOUT_US (2 * US_PER_S)
/* Consecutive refusals after which the epoch counts as fenced. */
#define TASKS_REFUSALS_MAX 3
/* Delay before a data centre places a task that another one places first. */
#define TASKS_OTHER_DC_DELAY_US (1 * US_PER_S)
/* Entries in one record. */
#define TASKS_BATCH_MAX 256
/* Placements and preemptions proposed in one pass. */
#define TASKS_PASS_PLACEMENTS_MAX 128
/* Time between two removals of stale leases and reports. */
#define TASKS_SWEEP_INTERVAL_US (60 * US_PER_S)
/* Retention of early reports. */
#define TASKS_EARLY_REPORT_TTL_US (600 * US_PER_S)
#define TASKS_EARLY_REPORTS_MAX 65536
/* Records of proposals that the fold has not decided yet. */
#define TASKS_PROPOSAL_RECORDS_MAX 8

/* Operations on a worker, in the order in which a lease goes through them. */
enum lease_op {
	LEASE_OP_NONE,
	LEASE_OP_START,
	LEASE_OP_RENEW,
	LEASE_OP_THROTTLE,
	LEASE_OP_CHECKPOINT,
	LEASE_OP_FENCE
};

/*
 * This daemon's local state for one lease: a task's placement on one VM under
 * one epoch.  The fold holds the decisions; this holds the progress of the
 * operations on the worker.
 */
struct task_lease {
	uint64_t id; /* of the task */
	uint64_t epoch;
	enum lease_op op_in_flight;
	uint64_t op_key; /* idempotency key of the operation in flight */
	/* In flight: time of sending.  Otherwise: earliest time of the next. */
	int64_t op_time_us;
	bool started, throttled, fenced; /* confirmed by the worker */
	unsigned consecutive_refusals; /* of starts and renewals */
	int64_t last_renewal_us;
	int64_t checkpoint_start_us; /* first checkpoint request; 0 none */
	uint64_t renewal_count;
	bool reported;
	enum usage_state report_state; /* valid if reported */
	struct task_size peak; /* largest usage reported */
	int64_t peak_since_us; /* first report under this lease */
	int64_t last_correction_us; /* last proposed size; 0 none */
	uint64_t proposal_generation; /* of the last proposal for this task */
	UT_hash_handle hh; /* by id */
};

/* A usage report for a lease that this daemon has not folded yet. */
struct early_report {
	uint64_t id; /* of the task */
	struct usage_entry usage;
	int64_t received_us;
	UT_hash_handle hh; /* by id */
};

/* An operation in flight; maps the key of its result to the task. */
struct pending_op {
	uint64_t key;
	uint64_t id; /* of the task */
	UT_hash_handle hh; /* by key */
};

/* This daemon's local state for a waiting task that it tries to place. */
struct placement_attempt {
	uint64_t id; /* of the task */
	uint64_t epoch;
	int64_t waiting_since_us; /* first seen waiting under this epoch */
	uint64_t proposal_generation; /* of the last placement; 0 none */
	/* No further preemption for this task before these times. */
	int64_t capacity_preempt_until_us;
	int64_t quota_preempt_until_us;
	char vm[NAME_BYTES]; /* VM proposed or reserved last */
	UT_hash_handle hh; /* by id */
};

/* A record of proposals that has been handed to the appender. */
struct proposal_record {
	uint64_t append_seq; /* sequence of the append; 0: nothing to append */
	/* Offset of the record or of a later one; 0: not known to be stored. */
	uint64_t offset_bound;
};

struct tasks_counters {
	uint64_t submitted, cancelled, refused;
	uint64_t placements_proposed, stops_proposed, ends_proposed,
	    corrections_proposed, preemptions_proposed;
	uint64_t starts_sent, renewals_sent, fences_sent;
};

struct tasks {
	struct task_lease *leases;
	struct pending_op *pending_ops;
	struct placement_attempt *attempts;
	struct early_report *early_reports;
	struct task_batch requests; /* submissions and cancellations */
	struct task_batch proposals;
	/* Number of the last pass; a pass appends at most one record. */
	uint64_t generation;
	/* Proposals up to this generation have been folded or dropped. */
	uint64_t decided_generation;
	/* Indexed by generation modulo the array's length. */
	struct proposal_record proposal_records[TASKS_PROPOSAL_RECORDS_MAX];
	int64_t last_pass_us;
	uint64_t pass_tasks_revision, pass_fold_revision; /* at the last pass */
	int64_t last_tick_us, last_sweep_us;
	bool pass_requested; /* a result or report needs a pass */
	bool catchup_pending; /* no pass until the log is read to its tail */
	struct tasks_counters counters;
};

/* A task whose end is proposed in this pass; its capacity counts as free. */
struct proposed_end {
	const struct task *task;
	struct task_size charge;
};

/* One scheduling pass over all tasks. */
struct tasks_pass {
	struct tasks *local_state;
	const struct view *daemon_view;
	struct effects *effect_list;
	const struct fold_tasks *fold_state;
	struct fold_tasks_view fold_view;
	struct proposed_end endings[TASKS_BATCH_MAX];
	size_t ending_count;
};

/*
 * Sends the next operation or proposal for a task that a VM of this data
 * centre holds.  Does nothing while an earlier one is in flight.
 */
void tasks_execute(struct tasks_pass *pass, const struct task *t);
/* "done": the worker answered with success. */
void tasks_handle_op_result(
    struct tasks *tasks, const struct view *v, uint64_t key, bool done);
void tasks_handle_report(
    struct tasks *tasks, const struct view *v, const struct usage_entry *u);
void tasks_drop_early_report(struct tasks *tasks, struct early_report *r);
/* Returns the state for the task's current epoch, created if needed. */
struct task_lease *tasks_get_lease(
    struct tasks *tasks, const struct task *t, int64_t now_us);
/* True while proposals of this generation may still be folded. */
bool tasks_proposal_in_flight(const struct tasks *tasks, uint64_t generation);
void tasks_drop_lease(struct tasks *tasks, struct task_lease *lease);

/* Proposes VMs for waiting tasks, urgent tasks first. */
void tasks_place(struct tasks_pass *pass);
/* True if the task's VM is in this data centre, in the lease's incarnation. */
bool tasks_holder_is_local(const struct tasks_pass *pass, const struct task *t);

#endif
