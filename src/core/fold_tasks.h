/*
 * The members' tasks in the replicated state (the fold).  A RECORD_TASK carries
 * a batch of entries.  Each entry is admitted or void on its own, in order, by
 * the content of the log alone.
 *
 * A placement leases a task to one VM under an epoch.  The task leaves that VM
 * only by an entry that states that the VM was fenced: it was told to stop the
 * task under the next epoch, so that it refuses a late start or renewal of the
 * old one.  The other way is a record that the VM itself is lost.  So no task
 * has two holders, whatever was paused or repeated in between, and no clock is
 * needed for this.
 */
#ifndef FOLD_TASKS_H
#define FOLD_TASKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>
#include <uthash.h>

#include "buf.h"
#include "errors.h"
#include "record.h"
#include "text.h"

#define TASKS_LIVE_MAX 65536 /* tasks that have not ended */
#define TASKS_ENDED_RETAINED_MAX 4096 /* kept for queries and repeats */
#define TASK_ATTEMPTS_MAX 3 /* consecutive failed runs that fail a task */
#define TASK_ENTRIES_MAX 1024 /* entries in one record */
/* Share of its cores that a throttled task keeps. */
#define TASK_THROTTLE_PPM 250000

struct fold;
struct vm;

/*
 * Operations of the entries.  A RECORD_TASK's body is {"e": [entry, …]}; an
 * entry is a map with "op" and the keys named here.
 */
enum task_op {
	TASK_OP_SUBMIT = 1, /* member, name, urgent, yield, size */
	TASK_OP_PLACE = 2, /* task, epoch (of the new lease), vm, inc */
	TASK_OP_STOP = 3, /* task, epoch: the holder must stop it */
	TASK_OP_END = 4, /* task, epoch, result: the holder is fenced */
	TASK_OP_CANCEL = 5, /* member, prefix, from, to, tasks: optional */
	TASK_OP_USAGE = 6, /* task, epoch, size: corrected by reports */
	TASK_OP_THROTTLE = 7, /* task, epoch, on */
	TASK_OP_REFUSE = 8 /* task: no VM can run it any more */
};

enum task_state {
	TASK_WAITING, /* has no holder */
	TASK_RUNNING, /* held by "vm" under "epoch" */
	TASK_STOPPING, /* still held, until the holder is fenced */
	TASK_ENDED
};
const char *task_state_name(enum task_state s);

enum task_result {
	TASK_RESULT_NONE,
	TASK_RESULT_DONE,
	TASK_RESULT_FAILED,
	TASK_RESULT_CANCELLED,
	TASK_RESULT_REFUSED, /* no VM can run it */
	/* After the following the task waits again. */
	TASK_RESULT_CHECKPOINTED,
	TASK_RESULT_STOPPED,
	TASK_RESULT_LAPSED
};
const char *task_result_name(enum task_result r);

/* How a task yields when an urgent task needs its capacity. */
enum task_yield {
	TASK_YIELD_CHECKPOINT,
	TASK_YIELD_THROTTLE,
	TASK_YIELD_STOP
};
const char *task_yield_name(enum task_yield y);

struct task_size {
	int64_t cores_milli;
	int64_t memory_mb;
	int64_t accelerators;
};

struct task {
	uint64_t id; /* task_id() of member and name */
	char name[NAME_BYTES];
	char member[NAME_BYTES];
	bool urgent;
	enum task_yield yield;
	struct task_size declared;
	struct task_size size; /* "declared", corrected by reported usage */
	bool throttled;
	enum task_state state;
	bool cancelled; /* in TASK_STOPPING: ends instead of waiting again */
	enum task_result result; /* of the last run, or of the task */
	char reason[64]; /* why the task ended; "" if done */
	uint64_t epoch; /* incremented by each placement and each fence */
	char vm[NAME_BYTES]; /* holder; "" none */
	uint64_t incarnation;
	char failed_vm[NAME_BYTES]; /* VM of the last failed run; "" none */
	unsigned consecutive_failures; /* failed runs */
	uint64_t submitted_offset; /* log offset of the submission */
	uint64_t changed_offset; /* of the last change of state or throttling */
	int64_t changed_ms; /* log time of the last state change */
	int64_t not_before_ms; /* log time before which no placement holds */
	UT_hash_handle hh; /* by id */
};

/* Capacity of a VM that its tasks hold. */
struct task_vm {
	char name[NAME_BYTES];
	uint64_t incarnation;
	struct task_size used;
	unsigned task_count;
	unsigned consecutive_failures; /* failed runs */
	bool quarantined; /* gets no tasks until its next incarnation */
	UT_hash_handle hh; /* by name */
};

/* Quota that a member's tasks hold, in all data centres. */
struct task_member {
	char name[NAME_BYTES];
	struct task_size used;
	unsigned task_count;
	UT_hash_handle hh; /* by name */
};

struct fold_tasks;

/* What the rest of the fold provides to the functions below. */
struct fold_tasks_view {
	const struct text *text; /* configuration in force; NULL none */
	const struct vm *vms; /* head of the table of VMs by name */
	bool (*serves)(const struct fold *f, const struct vm *v);
	const struct fold *fold; /* argument of serves() */
	int64_t log_ms; /* log time, including the current record */
	const struct vm *last_fit; /* VM that fitted last; tried first */
};
/* Initialises the view from the fold's public functions. */
void fold_tasks_view_init(struct fold_tasks_view *v, const struct fold *f);

struct fold_tasks *fold_tasks_new(void);
void fold_tasks_free(struct fold_tasks *ft);
/*
 * Folds one RECORD_TASK, which is at "r->offset" in the log.  Returns true if
 * at least one entry was admitted.
 */
bool fold_tasks_apply(
    struct fold_tasks *ft, const struct record *r, struct fold_tasks_view *v);
/*
 * Must be called when the log records a VM as lost or in a new incarnation.
 * "incarnation" is the one that has ended.  Its tasks wait again, and are not
 * placed before the duration of a lease has passed.
 */
void fold_tasks_vm_lost(struct fold_tasks *ft, const char *vm,
    uint64_t incarnation, uint64_t offset, const struct fold_tasks_view *v);

/* Encoding for snapshots; equal states give equal bytes. */
struct buf *fold_tasks_encode(const struct fold_tasks *ft);
struct fold_tasks *fold_tasks_decode(
    const void *data, size_t len, struct err *e);
/* Returns NULL if the task is unknown; otherwise the caller owns it. */
struct json_object *fold_task_json(const struct fold_tasks *ft, uint64_t id);
struct json_object *fold_tasks_dump(const struct fold_tasks *ft);
void fold_tasks_metrics(const struct fold_tasks *ft, struct buf *out);

/* Head of the table of tasks, read-only; iterate by hh.next. */
const struct task *fold_tasks_head(const struct fold_tasks *ft);
/* These return NULL if there is no such entry. */
const struct task *fold_tasks_get(const struct fold_tasks *ft, uint64_t id);
const struct task_vm *fold_tasks_vm(
    const struct fold_tasks *ft, const char *vm);
const struct task_member *fold_tasks_member(
    const struct fold_tasks *ft, const char *member);
/* Incremented by each admitted entry and each loss of a VM in use. */
uint64_t fold_tasks_revision(const struct fold_tasks *ft);

uint64_t task_id(const char *member, const char *name);
/* Capacity that a task holds: its corrected size, or less if throttled. */
struct task_size task_charge(const struct task *t);
/*
 * Returns why no VM can ever run a task of this size, or NULL if one can.  The
 * reason is stored in the replicated state, so its wording is part of the
 * format.
 */
const char *fold_tasks_unrunnable_reason(struct fold_tasks_view *v,
    const char *member, const struct task_size *size);
/* Returns why a task can't be placed on a VM now, or NULL if it can. */
const char *fold_tasks_placement_refusal(const struct fold_tasks *ft,
    const struct fold_tasks_view *v, const struct task *t, const struct vm *vm);

#endif
