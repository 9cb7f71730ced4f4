/*
 * The task part of the fold.  Records of kind RECORD_TASK carry a batch of
 * entries; each entry is admitted or void on its own, in order, by nothing
 * but the log.
 *
 * A placement gives a task to one VM under an epoch.  The task leaves that VM
 * only by an entry that says that the VM was fenced: it was told to stop the
 * task under the next epoch, so that a late start or renewal of the old epoch
 * is refused there.  Or the VM itself is on record as lost.  So no task has
 * two holders, whatever was frozen or repeated in between, and no clock is
 * needed for it.
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

#define TASKS_LIVE_MAX 65536 /* that have not ended */
#define TASKS_ENDED_RETAINED_MAX 4096 /* remembered after their end */
#define TASK_ATTEMPTS_MAX 3 /* failed runs until a task itself has failed */
#define TASK_ENTRIES_MAX 1024 /* entries of one record */
#define TASK_THROTTLE_PPM                                  \
	250000 /* share of its cores a throttled one keeps \
		*/

struct fold;
struct vm;

/*
 * Operations of the entries.  A RECORD_TASK's body is {"e": [entry, …]}; an
 * entry is a map with "op" and the keys named here.
 */
enum task_op {
	TASK_OP_SUBMIT = 1, /* member, name, urgent, yield, size */
	TASK_OP_PLACE = 2, /* task, epoch (of the new lease), vm, inc */
	TASK_OP_STOP = 3, /* task, epoch: the holder must let go */
	TASK_OP_END = 4, /* task, epoch, result: fenced and let go */
	TASK_OP_CANCEL = 5, /* any of member, prefix, from, to, tasks */
	TASK_OP_USAGE = 6, /* task, epoch, size: as reported */
	TASK_OP_THROTTLE = 7, /* task, epoch, on */
	TASK_OP_REFUSE = 8 /* task: it can run nowhere any more */
};

enum task_state {
	TASK_WAITING, /* has no holder */
	TASK_RUNNING, /* its VM holds it under "epoch" */
	TASK_STOPPING, /* still held; must be fenced and let go */
	TASK_ENDED
};
const char *task_state_name(enum task_state s);

enum task_result {
	TASK_RESULT_NONE,
	TASK_RESULT_DONE,
	TASK_RESULT_FAILED,
	TASK_RESULT_CANCELLED,
	TASK_RESULT_REFUSED, /* it can run nowhere */
	/* the following send it back to wait */
	TASK_RESULT_CHECKPOINTED,
	TASK_RESULT_STOPPED,
	TASK_RESULT_LAPSED
};
const char *task_result_name(enum task_result r);

/* What a task that is not urgent does for an urgent one. */
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
	struct task_size size; /* declared, corrected by reported usage */
	bool throttled;
	enum task_state state;
	bool cancelled; /* while TASK_STOPPING: it does not come back */
	enum task_result result; /* of the last run, or its end */
	char reason[64];
	uint64_t epoch; /* grows with each placement and each fence */
	char vm[NAME_BYTES]; /* holder, or "" */
	uint64_t incarnation;
	char failed_vm[NAME_BYTES]; /* where the last run failed, or "" */
	unsigned consecutive_failures; /* failed runs in a row */
	uint64_t submitted_offset; /* offset */
	uint64_t changed_offset; /* offset of the last change of state */
	int64_t changed_ms; /* log time of that */
	int64_t not_before_ms; /* log time before which it isn't placed */
	UT_hash_handle hh; /* by id */
};

/* What tasks hold of a VM. */
struct task_vm {
	char name[NAME_BYTES];
	uint64_t incarnation;
	struct task_size used;
	unsigned task_count;
	unsigned consecutive_failures; /* failed runs in a row */
	bool quarantined; /* until a new incarnation */
	UT_hash_handle hh; /* by name */
};

/* What tasks hold of a member's quota. */
struct task_member {
	char name[NAME_BYTES];
	struct task_size used;
	unsigned task_count;
	UT_hash_handle hh; /* by name */
};

struct fold_tasks;

/* What the fold shows its task part. */
struct fold_tasks_view {
	const struct text *text; /* NULL before the first */
	const struct vm *vms; /* head of the table by name */
	bool (*serves)(const struct fold *f, const struct vm *v);
	const struct fold *fold; /* for serves */
	int64_t log_ms; /* time of the log, this record counted */
	const struct vm
	    *last_fit; /* VM that took a size last: looked at first */
};
/* Fills the view from the fold's public functions. */
void fold_tasks_view_init(struct fold_tasks_view *v, const struct fold *f);

struct fold_tasks *fold_tasks_new(void);
void fold_tasks_free(struct fold_tasks *ft);
/*
 * Folds one RECORD_TASK; "r->offset" is its place in the log.  Returns true
 * where at least one entry was admitted.
 */
bool fold_tasks_apply(
    struct fold_tasks *ft, const struct record *r, struct fold_tasks_view *v);
/*
 * To be called when a VM goes on record as lost, or as a new incarnation:
 * "incarnation" is the one that is gone.  Its tasks wait again.
 */
void fold_tasks_vm_lost(struct fold_tasks *ft, const char *vm,
    uint64_t incarnation, uint64_t offset, const struct fold_tasks_view *v);

/* The same bytes for the same state. */
struct buf *fold_tasks_encode(const struct fold_tasks *ft);
struct fold_tasks *fold_tasks_decode(
    const void *data, size_t len, struct err *e);
/* NULL where no such task is on record. */
struct json_object *fold_task_json(const struct fold_tasks *ft, uint64_t id);
struct json_object *fold_tasks_dump(const struct fold_tasks *ft);
void fold_tasks_metrics(const struct fold_tasks *ft, struct buf *out);

/* Heads of the tables: iterate with HASH_ITER(hh, …); don't change them. */
const struct task *fold_tasks_head(const struct fold_tasks *ft);
const struct task *fold_tasks_get(const struct fold_tasks *ft, uint64_t id);
const struct task_vm *fold_tasks_vm(
    const struct fold_tasks *ft, const char *vm);
const struct task_member *fold_tasks_member(
    const struct fold_tasks *ft, const char *member);
/* Grows with each change. */
uint64_t fold_tasks_revision(const struct fold_tasks *ft);

uint64_t task_id(const char *member, const char *name);
/* What a task holds of its VM: its corrected size, less where throttled. */
struct task_size task_charge(const struct task *t);
/* Why a task of this size can run nowhere; NULL where it can. */
const char *fold_tasks_unrunnable_reason(struct fold_tasks_view *v,
    const char *member, const struct task_size *size);
/* Why a task can't be placed on a VM now; NULL where it can. */
const char *fold_tasks_placement_refusal(const struct fold_tasks *ft,
    const struct fold_tasks_view *v, const struct task *t, const struct vm *vm);

#endif
