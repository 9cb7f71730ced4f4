/*
 * Internals of the fold, for fold_*.c only.  All state here is a function of
 * the applied prefix of the control stream.
 */
#ifndef FOLD_STATE_H
#define FOLD_STATE_H

#include <msgpack.h>

#include "fold.h"
#include "fold_tasks.h"
#include "wire.h"

#define FOLD_VERDICTS_MAX 64 /* last verdicts on texts */
#define FOLD_CLOCKS_MAX 16 /* authors with a stored clock */
#define FOLD_UNKNOWN_MAX 256 /* last records of unknown kinds */
/* An author without a record in this many offsets is removed. */
#define FOLD_AUTHOR_RETENTION_OFFSETS UINT64_C(131072)
/* Interval between two removals of such authors. */
#define FOLD_PURGE_INTERVAL_OFFSETS UINT64_C(1024)

/* Highest applied sequence number of one author; detects duplicates. */
struct fold_author {
	struct {
		uint64_t process;
		uint64_t incarnation;
	} key;
	uint64_t last_seq;
	uint64_t last_offset;
	UT_hash_handle hh;
};

/* Latest timestamp in the records of one author. */
struct fold_clock {
	uint64_t process;
	int64_t latest_ms;
	uint64_t next_offset; /* after its last record; 0: slot is unused */
};

/* An encoded record of a kind that this binary does not know. */
struct fold_unknown {
	uint64_t offset;
	struct buf *encoded;
};

struct fold_counters {
	uint64_t applied, duplicates, voided, unknown, malformed;
};

struct fold {
	uint64_t next;
	uint64_t revision;
	struct text *text;
	uint64_t config_version;
	struct vm *vms;
	struct fold_daemon *daemons;
	struct fold_wave *waves;
	struct fold_snapshot snapshot;
	struct vm_list unavailable; /* not encoded */
	size_t withdrawn_count; /* VMs in a withdrawal; not encoded */
	struct fold_pool *pools; /* derived from the VMs; not encoded */
	struct fold_author *authors;
	struct fold_tasks *tasks;
	struct fold_clock clocks[FOLD_CLOCKS_MAX];
	int64_t log_ms;
	struct fold_verdict verdicts[FOLD_VERDICTS_MAX];
	uint64_t verdict_count; /* total; the ring holds the last ones */
	struct fold_unknown unknown_records[FOLD_UNKNOWN_MAX];
	uint64_t unknown_count; /* total; the ring holds the last ones */
	struct fold_counters counters;
};

/* Input of the handler of one record kind. */
struct fold_input {
	const struct record *record;
	const msgpack_object *body; /* always a map */
};

/* Handlers return true if the record changed the state. */
bool fold_config_apply(struct fold *f, const struct fold_input *in);
/* Log time in ms, at least 1, for fields in which 0 means never. */
int64_t fold_timestamp_ms(const struct fold *f);
bool fold_vms_apply(struct fold *f, const struct fold_input *in);

bool fold_moves_apply(struct fold *f, const struct fold_input *in);
bool fold_disruptions_apply(struct fold *f, const struct fold_input *in);
bool fold_waves_apply(struct fold *f, const struct fold_input *in);

/*
 * Every change of a VM's pool, state, failure domain or withdrawal must be
 * enclosed in these two calls, which update the counts of the pools.  The
 * second call marks the VM as changed by the record at "offset".
 */
void fold_vm_change_begin(struct fold *f, struct vm *v);
void fold_vm_change_end(struct fold *f, struct vm *v, uint64_t offset);
/*
 * Adds (sign 1) or subtracts (sign -1) a VM in the derived counts and lists,
 * without marking it as changed.
 */
void fold_count_vm(struct fold *f, struct vm *v, int sign);
/* Updates the VMs' config_leaving after the text "old" was replaced. */
void fold_update_config_leaving(struct fold *f, const struct text *old);
bool fold_config_lists_leaving(const struct fold *f, const char *vm);

/*
 * Calls "entry" for each entry of a record with the entry's index.  Returns
 * true if any call did.
 */
bool fold_entries_apply(struct fold *f, const struct fold_input *in,
    bool (*entry)(struct fold *, const struct fold_input *,
	const msgpack_object *, uint32_t));

/*
 * True if the record's author is a registered daemon of this data centre;
 * daemons may propose only for their own data centre.
 */
bool fold_author_may_propose(
    const struct fold *f, const struct record *r, const char *data_centre);
/* Takes a VM out of service; the caller has checked the preconditions. */
void fold_withdraw(struct fold *f, struct vm *v, const struct fold_input *in,
    uint32_t index, const char *target_pool);
/* Ends the VM's withdrawal and sets its new state. */
void fold_withdrawal_end(
    struct fold *f, struct vm *v, enum vm_state state, uint64_t offset);
/* Applies a WITHDRAWAL_ACKED of a move or a maintenance. */
bool fold_apply_withdrawal_ack(
    struct fold *f, const struct fold_input *in, const msgpack_object *o);
/*
 * The VM that an entry names; NULL if the entry's "key" is not the id of the
 * VM's current withdrawal.
 */
struct vm *fold_find_withdrawn_vm(
    const struct fold *f, const msgpack_object *o);

/*
 * Count a VM of a wave that returned from maintenance, or that failed.
 * "outstanding" is false if the VM had returned already and was lost later.
 */
void fold_wave_vm_returned(struct fold *f, struct vm *v);
void fold_wave_vm_failed(struct fold *f, const struct vm *v, bool outstanding);
/* Resumes the stopped waves that the new text resumes. */
void fold_waves_resume(struct fold *f);
struct vm *fold_vm_find(const struct fold *f, const char *name);

/* Sorts the tables, so that iteration does not depend on insertion order. */
void fold_sort_tables(struct fold *f);

#endif
