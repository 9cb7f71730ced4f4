/* Inside of the task module, shared by tasks*.c only. */
#ifndef TASKS_STATE_H
#define TASKS_STATE_H

#include <uthash.h>

#include "fold.h"
#include "fold_tasks.h"
#include "tasks.h"

#define TASKS_PASS_INTERVAL_US (50 * US_PER_MS) /* between two looks */
#define TASKS_IDLE_PASS_INTERVAL_US \
	(1 * US_PER_S) /* where nothing has changed */
#define TASKS_OP_RETRY_DELAY_US \
	(300 * US_PER_MS) /* between tries at a worker */
#define TASKS_OP_TIMEOUT_US (5 * US_PER_S) /* until a result is late */
#define TASKS_CHECKPOINT_TIMEOUT_US (2 * US_PER_S) /* until it is given up */
#define TASKS_REFUSALS_MAX 3 /* until a stay is taken for fenced */
#define TASKS_OTHER_DC_DELAY_US (1 * US_PER_S) /* until others place a task */
#define TASKS_BATCH_MAX 256 /* entries of one record */
#define TASKS_PASS_PLACEMENTS_MAX 128 /* placements proposed in one look */
#define TASKS_SWEEP_INTERVAL_US (60 * US_PER_S) /* between two clean-ups */
#define TASKS_EARLY_REPORT_TTL_US                   \
	(600 * US_PER_S) /* an early report is kept \
			  */
#define TASKS_EARLY_REPORTS_MAX 65536 /* early reports that are kept */
#define TASKS_PROPOSAL_RECORDS_MAX 8 /* records of proposals not yet judged */

/* Operations at a worker, in the order of a task's stay there. */
enum lease_op {
	LEASE_OP_NONE,
	LEASE_OP_START,
	LEASE_OP_RENEW,
	LEASE_OP_THROTTLE,
	LEASE_OP_CHECKPOINT,
	LEASE_OP_FENCE
};

/* What this daemon knows beyond the fold about one stay of a task. */
struct task_lease {
	uint64_t id; /* task */
	uint64_t epoch;
	enum lease_op op_in_flight; /* in flight */
	uint64_t op_key; /* of the operation in flight */
	int64_t op_time_us; /* when it was sent or may be tried again */
	bool started, throttled, fenced;
	unsigned consecutive_refusals; /* starts and renewals in a row without a
					  200 */
	int64_t last_renewal_us;
	int64_t checkpoint_start_us; /* when it was first asked to checkpoint */
	uint64_t renewal_count;
	bool reported;
	enum usage_state report_state;
	struct task_size peak; /* largest reported */
	int64_t peak_since_us; /* first report of this stay */
	int64_t last_correction_us; /* last correction proposed */
	uint64_t proposal_generation; /* of the last proposal about it */
	UT_hash_handle hh; /* by id */
};

/* A report that came before the fold knew of the stay that it is about. */
struct early_report {
	uint64_t id; /* task */
	struct usage_entry usage;
	int64_t received_us;
	UT_hash_handle hh; /* by id */
};

/* An operation in flight, to find its hold by the result's key. */
struct pending_op {
	uint64_t key;
	uint64_t id;
	UT_hash_handle hh; /* by key */
};

/* A waiting task that this daemon has tried to place. */
struct placement_attempt {
	uint64_t id;
	uint64_t epoch;
	int64_t waiting_since_us; /* first seen waiting with this epoch */
	uint64_t
	    proposal_generation; /* of the last placement proposed; 0 none */
	int64_t
	    capacity_preempt_until_us; /* room was asked for it until then */
	int64_t quota_preempt_until_us; /* the same for its member's quota */
	char vm[NAME_BYTES]; /* where */
	UT_hash_handle hh; /* by id */
};

/* A record of proposals on its way through the log. */
struct proposal_record {
	uint64_t append_seq; /* of the append */
	uint64_t
	    offset_bound; /* at or behind its own; 0: not known to be there */
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
	/* Each look that proposes is a generation and one record. */
	uint64_t generation;
	uint64_t
	    decided_generation; /* all up to this one were folded or dropped */
	struct proposal_record
	    proposal_records[TASKS_PROPOSAL_RECORDS_MAX]; /* by generation */
	int64_t last_pass_us;
	uint64_t pass_tasks_revision, pass_fold_revision;
	int64_t last_tick_us, last_sweep_us;
	bool pass_requested; /* a result or a report asks for a look */
	bool catchup_pending; /* the clock jumped: wait for the log first */
	struct tasks_counters counters;
};

/* A task whose end is proposed in this look: its room may be given away. */
struct proposed_end {
	const struct task *task;
	struct task_size charge;
};

/* One look at all tasks. */
struct tasks_pass {
	struct tasks *local_state;
	const struct view *daemon_view;
	struct effects *effect_list;
	const struct fold_tasks *fold_state;
	struct fold_tasks_view fold_view;
	struct proposed_end endings[TASKS_BATCH_MAX];
	size_t ending_count;
};

/* Carries on with a task that a VM of this data centre holds. */
void tasks_execute(struct tasks_pass *l, const struct task *t);
void tasks_handle_op_result(
    struct tasks *k, const struct view *v, uint64_t key, bool done);
void tasks_handle_report(
    struct tasks *k, const struct view *v, const struct usage_entry *u);
void tasks_drop_early_report(struct tasks *k, struct early_report *r);
struct task_lease *tasks_get_lease(
    struct tasks *k, const struct task *t, int64_t now_us);
/* True where a proposal of this generation may still be folded. */
bool tasks_proposal_in_flight(const struct tasks *k, uint64_t generation);
void tasks_drop_lease(struct tasks *k, struct task_lease *h);

/* Proposes VMs for waiting tasks, urgent ones first. */
void tasks_place(struct tasks_pass *l);
/* Task is held by a VM of this data centre under a live incarnation. */
bool tasks_holder_is_local(const struct tasks_pass *l, const struct task *t);

#endif
