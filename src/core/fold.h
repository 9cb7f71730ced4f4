/*
 * The fold: replicated state that is computed from the control stream alone.
 * Every daemon applies the records in offset order with the same pure
 * function, so two daemons that applied the same prefix have byte-identical
 * states.  No local clock, health information or randomness is used.
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
	VM_SERVING, /* receives work of its pool's services */
	VM_LEAVING, /* gets no new work; awaits acknowledgements */
	VM_OUT, /* acknowledged: draining, rebooting or moving */
	VM_LOST /* recorded as gone; may return as a new incarnation */
};
const char *vm_state_name(enum vm_state s);

#define VM_FORMER_INCARNATIONS_MAX 4 /* per VM */
/*
 * Retention of a lost VM in ms of log time.  Until it is removed, the VM
 * counts in the size of its pool.
 */
#define VM_LOST_RETENTION_MS (INT64_C(24) * 3600 * MS_PER_S)

/* Values of "op" in the entries of RECORD_MOVE and RECORD_DISRUPTION. */
enum withdrawal_op {
	WITHDRAWAL_LEAVE, /* take the VM out of service */
	WITHDRAWAL_ACKED, /* all daemons of its data centre acknowledged */
	WITHDRAWAL_ENDED, /* moved, or returned from maintenance */
	WITHDRAWAL_FAILED, /* did not return from maintenance */
	WITHDRAWAL_CANCELLED /* cancelled before it was acknowledged */
};

/* Values of "op" in a RECORD_WAVE. */
enum wave_op {
	WAVE_OPEN,
	WAVE_NEXT, /* begin the next batch */
	WAVE_STOP,
	WAVE_CLOSE
};

/* State that a RECORD_VM reports for a VM, from the platform's VM list. */
enum vm_report {
	VM_REPORT_LIVE,
	VM_REPORT_LEAVING,
	VM_REPORT_GONE,
	VM_REPORT_UNLISTED, /* not listed any more; may be listed again */
	VM_REPORT_EXPIRED /* lost for VM_LOST_RETENTION_MS: remove it */
};

struct vm {
	char name[NAME_BYTES];
	uint64_t incarnation;
	uint64_t epoch; /* incremented by each admitted change of this VM */
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	char pool[NAME_BYTES]; /* exactly one pool at any offset */
	char target_pool[NAME_BYTES]; /* pool that a move leads to, or "" */
	char addr[ADDR_BYTES];
	int port;
	enum vm_role role;
	enum vm_state state;
	uint64_t changed_offset; /* of the last record that changed this VM */
	int64_t maintained_ms; /* log time of its last maintenance; 0: never */
	int64_t lost_ms; /* log time of its last loss */
	int64_t cores, memory_mb, accelerators;
	/*
	 * Id of the move or maintenance in progress, or 0.  The id is derived
	 * from the log entry that took the VM out of service and is never
	 * reused.  withdrawal_key() derives the idempotency keys of platform
	 * operations from it.
	 */
	uint64_t withdrawal_id;
	/* end of the last withdrawal of this incarnation, or 0 */
	uint64_t withdrawal_end_offset;
	uint64_t wave_id; /* last maintenance wave of this VM, or 0 */
	uint64_t wave_batch; /* batch of that wave, counted from 1 */
	bool config_leaving; /* the text in force lists the VM as leaving */
	bool unlisted; /* VM_LOST because the VM list omitted it */
	/* newest first; 0: unused */
	uint64_t former_incarnations[VM_FORMER_INCARNATIONS_MAX];
	UT_hash_handle hh; /* by name */
	LIST_ENTRY(vm) unavailable; /* see fold_unavailable_vms() */
	bool is_unavailable; /* on that list */
};
LIST_HEAD(vm_list, vm);

/* True if "incarnation" is one of the VM's former incarnations. */
bool vm_had_incarnation(const struct vm *v, uint64_t incarnation);
/* Idempotency key of one platform operation of a withdrawal. */
uint64_t withdrawal_key(uint64_t withdrawal_id, enum platform_op op);
/* Lowest withdrawal id that a record at this offset can assign. */
uint64_t withdrawal_first_id(uint64_t offset);

/* A maintenance wave of one data centre. */
struct fold_wave {
	uint64_t id; /* offset of the record that opened it */
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES]; /* of the current batch */
	uint64_t batch; /* from 1 */
	int64_t batch_size; /* maximum number of VMs in this batch */
	int64_t batch_admitted, batch_ended;
	int64_t ended_count; /* VMs that returned, over all batches */
	int64_t failure_count; /* since the wave was opened or resumed */
	int64_t config_resume; /* "resume" of the text at that time */
	bool stopped;
	char stop_reason[ERR_MESSAGE_BYTES]; /* why the wave was stopped */
	UT_hash_handle hh; /* by data_centre */
};

/* The newest snapshot that a record of the control stream refers to. */
struct fold_snapshot {
	uint64_t next; /* fold_next() of the state; 0: no snapshot yet */
	uint64_t parts_offset; /* of its first part in the snapshot stream */
	uint64_t hash, len;
	uint64_t process, incarnation; /* of its author */
	uint64_t record_offset; /* of the control record */
};

/* Recorded VMs of one pool, over all data centres. */
struct fold_pool {
	char name[NAME_BYTES];
	int64_t total, serving;
	int64_t withdrawn; /* VMs in a move or in maintenance */
	/* location of the withdrawn VMs; "" if there are none */
	char withdrawn_data_centre[NAME_BYTES], withdrawn_domain[NAME_BYTES];
	UT_hash_handle hh;
};

/*
 * A registered daemon.  A daemon registers before it accepts requests, so
 * every later withdrawal also waits for its acknowledgement.
 */
struct fold_daemon {
	uint64_t process; /* daemon id */
	uint64_t incarnation;
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint64_t registered_offset; /* of its registration record */
	UT_hash_handle hh; /* by process */
};

/* Decision of the fold on one published text. */
struct fold_verdict {
	struct record_id id;
	uint64_t offset;
	bool admitted;
	char reason[ERR_MESSAGE_BYTES]; /* "" if admitted */
};

struct fold;
struct fold_tasks;

struct fold *fold_new(void);
void fold_free(struct fold *f);

/*
 * Applies one record of the control stream.  Records below fold_next() are
 * ignored.  Rejected records change only the log position, the entries of
 * their authors, the verdicts and the counters; records of unknown kinds are
 * stored as they are.
 */
void fold_apply(struct fold *f, const struct record *r);

/* Advances fold_next() to "offset": the stream has no record before it. */
void fold_skip_to(struct fold *f, uint64_t offset);

/* Offset after the last applied record. */
uint64_t fold_next(const struct fold *f);
/* Grows with every record that changes the state, other than RECORD_TASK. */
uint64_t fold_revision(const struct fold *f);
/*
 * Text in force, owned by the fold; NULL before the first one.  Its version is
 * the offset of its record.
 */
struct text *fold_text(const struct fold *f);
uint64_t fold_config_version(const struct fold *f);
/* Head of the VM table: iterate with HASH_ITER(hh, ...); read-only. */
const struct vm *fold_vms(const struct fold *f);
const struct vm *fold_vm(const struct fold *f, const char *name);
/* True if the VM is in VM_SERVING and the text does not list it as leaving. */
bool fold_vm_serves(const struct fold *f, const struct vm *v);
/* Number of VMs in a move or in maintenance, in all data centres. */
size_t fold_withdrawn_count(const struct fold *f);
/*
 * VMs that receive no work but are not lost, in no particular order: iterate
 * with LIST_FOREACH(v, ..., unavailable).
 */
const struct vm_list *fold_unavailable_vms(const struct fold *f);
/* May be NULL if the pool has no worker on record. */
const struct fold_pool *fold_pool(const struct fold *f, const char *name);
/*
 * True if the availability of its pool allows taking this VM out of service
 * now.  Otherwise writes the reason to "reason" ("size" bytes).
 */
bool fold_budget_allows(
    const struct fold *f, const struct vm *v, char *reason, size_t size);
/* True if the VM has been lost for VM_LOST_RETENTION_MS of log time. */
bool fold_vm_is_expired(const struct fold *f, const struct vm *v);
/* True if the maintenance interval of the text has elapsed for this VM. */
bool fold_vm_maintenance_due(const struct fold *f, const struct vm *v);
/* NULL if the data centre has no open wave. */
const struct fold_wave *fold_wave(
    const struct fold *f, const char *data_centre);
/* The result's "next" is 0 if there is no snapshot. */
const struct fold_snapshot *fold_snapshot(const struct fold *f);
/* Decodes a RECORD_SNAPSHOT of the control stream; false if malformed. */
bool fold_snapshot_read(struct fold_snapshot *s, const struct record *r);
/* Head of the table of registered daemons, by process; read-only. */
const struct fold_daemon *fold_daemons(const struct fold *f);
const struct fold_daemon *fold_daemon(const struct fold *f, uint64_t process);
/*
 * Log time in Unix ms: the second-highest of the authors' clocks, so that one
 * wrong clock cannot advance it; 0 before the first record.
 */
int64_t fold_log_ms(const struct fold *f);
/* Verdict "back" places before the newest (0); NULL if there is none. */
const struct fold_verdict *fold_verdict(const struct fold *f, unsigned back);
/* Task state, see fold_tasks.h. */
const struct fold_tasks *fold_task_state(const struct fold *f);
/* Number of applied records of kinds that this binary does not know. */
uint64_t fold_unknown_count(const struct fold *f);

/*
 * Serialises the whole state: the same bytes on every daemon at the same
 * offset.  The caller owns the result.
 */
struct buf *fold_encode(const struct fold *f);
/* Decodes the result of fold_encode(); NULL on failure. */
struct fold *fold_decode(const void *data, size_t len, struct err *e);
uint64_t fold_hash(const struct fold *f); /* xxhash of fold_encode() */

/*
 * The last verdicts on texts, newest first:
 * [{"process","incarnation","seq","offset", "admitted","reason"}], the parts of
 * the record id as decimal strings.
 */
struct json_object *fold_verdicts_json(const struct fold *f);
/* Stored records of unknown kinds, counted by kind: {"17": 3}. */
struct json_object *fold_unknown_records_json(const struct fold *f);
struct json_object *fold_dump(const struct fold *f);
void fold_metrics(const struct fold *f, struct buf *out);

#endif
