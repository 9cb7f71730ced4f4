/*
 * The fold: state worked out from the control stream alone.  Every daemon
 * folds the same records in offset order with the same pure function, so the
 * same prefix gives the same state, byte for byte.  No clock, no local health
 * and no randomness enter it.
 */
#ifndef FOLD_H
#define FOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <sys/queue.h>

#include <json-c/json.h>
#include <uthash.h>

#include "effect.h"
#include "errors.h"
#include "event.h"
#include "record.h"
#include "text.h"

enum vm_state {
	VM_SERVING, /* takes work of its pool's services */
	VM_LEAVING, /* admitted to leave: no new work, waits for acks */
	VM_OUT, /* acknowledged: drained, rebooting or changing pool */
	VM_LOST /* recorded as gone; a new incarnation brings it back */
};
const char *vm_state_name(enum vm_state s);

#define VM_FORMER_INCARNATIONS_MAX \
	4 /* earlier incarnations that are remembered */
/* A lost VM counts in its pool's size for so long. */
#define VM_LOST_RETENTION_MS (INT64_C(24) * 3600 * MS_PER_S)

/* Entries of RECORD_MOVE and RECORD_DISRUPTION. */
enum withdrawal_op {
	WITHDRAWAL_LEAVE, /* take it out of service */
	WITHDRAWAL_ACKED, /* every daemon on record has acknowledged */
	WITHDRAWAL_ENDED, /* moved, or back from maintenance */
	WITHDRAWAL_FAILED, /* did not come back from maintenance */
	WITHDRAWAL_CANCELLED /* given up before it was acknowledged */
};

/* Entries of RECORD_WAVE. */
enum wave_op {
	WAVE_OPEN,
	WAVE_NEXT, /* the next batch */
	WAVE_STOP,
	WAVE_CLOSE
};

/* What a RECORD_VM says about a VM, from the platform's VM list. */
enum vm_report {
	VM_REPORT_LIVE,
	VM_REPORT_LEAVING,
	VM_REPORT_GONE,
	VM_REPORT_UNLISTED, /* no longer listed; may be listed again */
	VM_REPORT_EXPIRED /* lost for so long that nobody expects it back */
};

struct vm {
	char name[NAME_BYTES];
	uint64_t incarnation;
	uint64_t epoch; /* grows with each admitted change of this VM */
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	char pool[NAME_BYTES]; /* exactly one at any offset */
	char target_pool[NAME_BYTES]; /* of a move under way, or "" */
	char addr[ADDR_BYTES];
	int port;
	enum vm_role role;
	enum vm_state state;
	uint64_t changed_offset; /* offset of the record that last changed it */
	int64_t maintained_ms; /* log time of its last maintenance, 0 never */
	int64_t lost_ms; /* log time at which it was last lost */
	int64_t cores, memory_mb, accelerators;
	/*
	 * The move or maintenance under way, 0 where none is: number of the
	 * entry that took it out of service, never used twice.  Key of the
	 * platform's operations, see withdrawal_key().
	 */
	uint64_t withdrawal_id;
	uint64_t withdrawal_end_offset; /* offset of this incarnation's last
					   completed one */
	uint64_t wave_id; /* maintenance wave it was last part of, or 0 */
	uint64_t wave_batch; /* batch of that wave, from 1 */
	bool config_leaving; /* the text in force lists it as leaving */
	bool unlisted; /* VM_LOST because the VM list left it out */
	uint64_t
	    former_incarnations[VM_FORMER_INCARNATIONS_MAX]; /* earlier
								incarnations,
								newest first */
	UT_hash_handle hh; /* by name */
	LIST_ENTRY(vm) unavailable; /* where it takes no work, but isn't lost */
	bool is_unavailable; /* is in that list */
};
LIST_HEAD(vm_list, vm);

/* True where this was an earlier incarnation of the VM. */
bool vm_had_incarnation(const struct vm *v, uint64_t incarnation);
/* Idempotency key of one platform operation of a withdrawal. */
uint64_t withdrawal_key(uint64_t withdrawal, enum platform_op op);
/* Lowest number that a record at this offset can give. */
uint64_t withdrawal_first_id(uint64_t offset);

/* A maintenance wave of one data centre. */
struct fold_wave {
	uint64_t id; /* offset of the record that opened it */
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES]; /* failure domain of the current batch
					  */
	uint64_t batch; /* from 1 */
	int64_t batch_size; /* VMs that this batch may take */
	int64_t batch_admitted, batch_ended;
	int64_t ended_count; /* VMs done in all batches */
	int64_t failure_count; /* since it was opened or resumed */
	int64_t config_resume; /* of the text, when opened or resumed */
	bool stopped;
	char stop_reason[ERR_MESSAGE_BYTES]; /* why it was stopped */
	UT_hash_handle hh; /* by data_centre */
};

/* Newest snapshot that a record of the control stream points to. */
struct fold_snapshot {
	uint64_t next; /* fold_next() of the state; 0: none yet */
	uint64_t
	    parts_offset; /* offset of its first part in the snapshot stream */
	uint64_t hash, len;
	uint64_t process, incarnation; /* its author */
	uint64_t record_offset; /* of the record that points to it */
};

/* VMs of a pool on record, over all data centres. */
struct fold_pool {
	char name[NAME_BYTES];
	int64_t total, serving;
	int64_t withdrawn; /* being moved or maintained */
	/* of the withdrawn ones, "" where there are none */
	char withdrawn_data_centre[NAME_BYTES], withdrawn_domain[NAME_BYTES];
	UT_hash_handle hh;
};

/*
 * A daemon on record.  A daemon registers itself before it takes requests, so
 * that every move that is acknowledged later waits for it too.
 */
struct fold_daemon {
	uint64_t process; /* daemon id */
	uint64_t incarnation;
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint64_t registered_offset; /* offset of its registration */
	UT_hash_handle hh; /* by process */
};

/* What the fold decided about one published text. */
struct fold_verdict {
	struct record_id id;
	uint64_t offset;
	bool admitted;
	char reason[ERR_MESSAGE_BYTES]; /* "" where admitted */
};

struct fold;
struct fold_tasks;

struct fold *fold_new(void);
void fold_free(struct fold *f);

/*
 * Folds one record of the control stream.  Its offset must be fold_next() or
 * larger.  Void and unknown records change nothing but their counters.
 */
void fold_apply(struct fold *f, const struct record *r);

/* The stream has nothing more to fold before this offset. */
void fold_skip_to(struct fold *f, uint64_t offset);

/* Offset after the last folded record. */
uint64_t fold_next(const struct fold *f);
/* Grows whenever a VM or the text in force has changed. */
uint64_t fold_revision(const struct fold *f);
/* Text in force, NULL before the first; its version is its offset. */
struct text *fold_text(const struct fold *f);
uint64_t fold_config_version(const struct fold *f);
/* Head of the VM table: iterate with HASH_ITER(hh, …); do not change it. */
const struct vm *fold_vms(const struct fold *f);
const struct vm *fold_vm(const struct fold *f, const char *name);
/* False where the text or the fold takes a VM out of service. */
bool fold_vm_serves(const struct fold *f, const struct vm *v);
/* VMs that are being moved or maintained, in all data centres. */
size_t fold_withdrawn_count(const struct fold *f);
/*
 * VMs that take no work but are not lost, in any order: iterate with
 * LIST_FOREACH(v, …, idle).
 */
const struct vm_list *fold_unavailable_vms(const struct fold *f);
/* NULL where the pool has no VM on record. */
const struct fold_pool *fold_pool(const struct fold *f, const char *name);
/*
 * True where the budgets allow that this VM goes out of service now; else
 * "reason" says why not.
 */
bool fold_budget_allows(
    const struct fold *f, const struct vm *v, char *reason, size_t size);
/* True where the VM has been lost for VM_LOST_RETENTION_MS of log time. */
bool fold_vm_is_expired(const struct fold *f, const struct vm *v);
/* True where the text wants this VM maintained (again) by now. */
bool fold_vm_maintenance_due(const struct fold *f, const struct vm *v);
/* NULL where the data centre has no open wave. */
const struct fold_wave *fold_wave(
    const struct fold *f, const char *data_centre);
/* Its "next" is 0 where there is none. */
const struct fold_snapshot *fold_snapshot(const struct fold *f);
/* Reads a RECORD_SNAPSHOT of the control stream. */
bool fold_snapshot_read(struct fold_snapshot *s, const struct record *r);
/* Head of the table of daemons on record, by process. */
const struct fold_daemon *fold_daemons(const struct fold *f);
const struct fold_daemon *fold_daemon(const struct fold *f, uint64_t process);
/*
 * Time of the log in ms: the second-highest of its authors' clocks, so that
 * no single wild clock pushes it ahead; 0 before the first record.
 */
int64_t fold_log_ms(const struct fold *f);
/* Verdict "back" places before the newest (0); NULL where there is none. */
const struct fold_verdict *fold_verdict(const struct fold *f, unsigned back);
/* The task part of the state, see fold_tasks.h. */
const struct fold_tasks *fold_task_state(const struct fold *f);
/* Records of kinds that this binary does not know. */
uint64_t fold_unknown_count(const struct fold *f);

/* Whole state as bytes, the same on every daemon at the same offset. */
struct buf *fold_encode(const struct fold *f);
struct fold *fold_decode(const void *data, size_t len, struct err *e);
uint64_t fold_hash(const struct fold *f); /* xxhash of fold_encode() */

/*
 * The last verdicts on texts: [{"process","incarnation","seq","offset",
 * "admitted","reason"}], numbers of an id as decimal strings.
 */
struct json_object *fold_verdicts_json(const struct fold *f);
/* Kinds that this binary does not know and their counts: {"17": 3}. */
struct json_object *fold_unknown_records_json(const struct fold *f);
struct json_object *fold_dump(const struct fold *f);
void fold_metrics(const struct fold *f, struct buf *out);

#endif
