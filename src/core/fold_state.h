/*
 * Inside of the fold, shared by its parts (fold_*.c) and by nobody else.
 * Everything here is a function of the folded prefix of the control stream.
 */
#ifndef FOLD_STATE_H
#define FOLD_STATE_H

#include <msgpack.h>

#include "fold.h"
#include "fold_tasks.h"
#include "wire.h"

#define FOLD_VERDICTS_MAX 64 /* verdicts on texts that are kept */
#define FOLD_CLOCKS_MAX 16 /* authors whose clocks are kept */
#define FOLD_UNKNOWN_MAX 256 /* records of unknown kinds that are carried */
/* An author that has not appended for this many offsets is forgotten. */
#define FOLD_AUTHOR_RETENTION_OFFSETS UINT64_C(131072)
#define FOLD_PURGE_INTERVAL_OFFSETS \
	UINT64_C(1024) /* offsets between two purges */

/* Highest sequence of one incarnation that was folded. */
struct fold_author {
	struct {
		uint64_t process;
		uint64_t incarnation;
	} key;
	uint64_t last_seq;
	uint64_t last_offset;
	UT_hash_handle hh;
};

/* Latest time that one author has put into its records. */
struct fold_clock {
	uint64_t process;
	int64_t latest_ms;
	uint64_t next_offset; /* 0: unused */
};

/* A record of a kind that this binary does not know, as it was encoded. */
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
	size_t
	    withdrawn_count; /* VMs with a withdrawal under way, not encoded */
	struct fold_pool *pools; /* worked out from the VMs, not encoded */
	struct fold_author *authors;
	struct fold_tasks *tasks;
	struct fold_clock clocks[FOLD_CLOCKS_MAX];
	int64_t log_ms;
	struct fold_verdict verdicts[FOLD_VERDICTS_MAX];
	uint64_t verdict_count; /* ever given; the ring holds the last ones */
	struct fold_unknown unknown_records[FOLD_UNKNOWN_MAX];
	uint64_t unknown_count; /* ever seen; the ring holds the last ones */
	struct fold_counters counters;
};

/* What one handler of a record kind works on. */
struct fold_input {
	const struct record *record;
	const msgpack_object *body; /* a map */
};

/* Handlers return true where the record changed the state. */
bool fold_config_apply(struct fold *f, const struct fold_input *in);
/* Log time for a field in which 0 means never. */
int64_t fold_timestamp_ms(const struct fold *f);
bool fold_vms_apply(struct fold *f, const struct fold_input *in);

bool fold_moves_apply(struct fold *f, const struct fold_input *in);
bool fold_disruptions_apply(struct fold *f, const struct fold_input *in);
bool fold_waves_apply(struct fold *f, const struct fold_input *in);

/*
 * Every change of a VM's pool, state, domain or withdrawal stands between
 * these two, which keep the pools' counts.  The second marks the VM as changed
 * by the record at "offset".
 */
void fold_vm_change_begin(struct fold *f, struct vm *v);
void fold_vm_change_end(struct fold *f, struct vm *v, uint64_t offset);
/* Counts a VM without marking it. */
void fold_count_vm(struct fold *f, struct vm *v, int sign);
/* Works out again which VMs the text lists as leaving. */
void fold_update_config_leaving(struct fold *f, const struct text *old);
bool fold_config_lists_leaving(const struct fold *f, const char *vm);

/* Hands each entry of a record, with its place, to "entry". */
bool fold_entries_apply(struct fold *f, const struct fold_input *in,
    bool (*entry)(struct fold *, const struct fold_input *,
	const msgpack_object *, uint32_t));

/* A record's author may propose only for its own data centre. */
bool fold_author_may_propose(
    const struct fold *f, const struct record *r, const char *data_centre);
/* Takes a VM out of service; the caller has checked that it may. */
void fold_withdraw(struct fold *f, struct vm *v, const struct fold_input *in,
    uint32_t index, const char *target_pool);
/* Ends what was under way; "state" is its state from now on. */
void fold_withdrawal_end(
    struct fold *f, struct vm *v, enum vm_state state, uint64_t offset);
/* WITHDRAWAL_ACKED, the same for moves and maintenance. */
bool fold_apply_withdrawal_ack(
    struct fold *f, const struct fold_input *in, const msgpack_object *o);
/* The VM that an entry names, where its "key" is the one under way. */
struct vm *fold_find_withdrawn_vm(
    const struct fold *f, const msgpack_object *o);

/* A VM of a wave came back, failed, or was lost after it came back. */
void fold_wave_vm_returned(struct fold *f, struct vm *v);
void fold_wave_vm_failed(struct fold *f, const struct vm *v, bool outstanding);
/* A new text may resume stopped waves. */
void fold_waves_resume(struct fold *f);
struct vm *fold_vm_find(const struct fold *f, const char *name);

/* Tables in a fixed order, whatever the order of insertion was. */
void fold_sort_tables(struct fold *f);

#endif
