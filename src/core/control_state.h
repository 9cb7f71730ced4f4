/*
 * Internal state and functions of the control path, shared by control_*.c
 * only.  This state is local to the daemon; the replicated state is in the
 * fold.
 */
#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

#include <uthash.h>

#include "appender.h"
#include "control.h"
#include "fold.h"
#include "path.h"
#include "peers.h"
#include "snapshot.h"
#include "view.h"
#include "wire.h"

#define CONTROL_BATCH_MAX 200 /* entries of one proposed record or frame */

/* A VM of this data centre as the platform's VM list last showed it. */
struct listed_vm {
	struct vm_list_entry entry;
	int64_t state_since_us; /* first list with this state and incarnation */
	uint64_t last_live_epoch; /* fold's epoch when last listed as live */
	/* Entry VM: incarnation of its daemon on record when last live. */
	uint64_t daemon_incarnation;
	unsigned missed_lists; /* consecutive full lists without this VM */
	int64_t missing_since_us; /* time of the second of these lists */
	UT_hash_handle hh; /* by entry.vm */
};

/*
 * A VM that a peer or the VM list reports as leaving before the local fold
 * shows it.  The entry is in effect until the fold reaches the epoch or the
 * config version given here; from then on the fold decides.
 */
struct leaving_vm {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	uint64_t until_epoch; /* epoch of the VM */
	uint64_t until_config_version;
	uint64_t withdrawal; /* withdrawal to acknowledge, 0: none */
	UT_hash_handle hh; /* by vm */
};

#define ACK_DAEMONS_MAX                                      \
	64 /* daemons per data centre whose acks are counted \
	    */

/* One start of a daemon. */
struct daemon_instance {
	uint64_t process; /* daemon id */
	uint64_t incarnation;
};

/* Acknowledgements of one withdrawal, in order of arrival. */
struct ack_set {
	uint64_t withdrawal;
	struct daemon_instance daemons[ACK_DAEMONS_MAX];
	unsigned daemon_count;
	UT_hash_handle hh; /* by withdrawal */
};

enum exec_stage {
	EXEC_DRAIN,
	EXEC_APPLY, /* assign the VM to its new pool, or reboot it */
	EXEC_CONFIRM, /* until the VM is back or the end is on record */
};

/* Platform operations of one acknowledged withdrawal. */
struct execution {
	uint64_t withdrawal;
	char vm[NAME_BYTES];
	enum exec_stage stage;
	uint64_t pending_key; /* key of the operation in flight, 0: none */
	int64_t stage_since_us;
	int64_t next_attempt_us; /* earliest time of the next operation */
	UT_hash_handle hh; /* by withdrawal */
};

/*
 * A starting daemon that this daemon sent its state to and that is not on
 * record yet.  This daemon acknowledges a withdrawal only after each of them
 * has done so.
 */
struct joining_daemon {
	struct daemon_instance instance;
	uint64_t state_offset; /* local fold offset when the state was sent */
	UT_hash_handle hh; /* by instance.process */
};

/*
 * Recovery of a state from a snapshot or a peer, for when reading the log is
 * not enough.
 */
struct recovery {
	bool gap; /* the next offset to read is no longer retained */
	uint64_t first_retained_offset; /* as of the last gap */
	bool scanning; /* reads the control stream for a usable snapshot */
	uint64_t scan_offset;
	int64_t next_scan_us;
	struct fold_snapshot best_snapshot; /* newest usable one found so far */
	bool fetching; /* reads the parts of best_snapshot */
	uint64_t fetch_offset;
	int64_t fetch_retry_us; /* 0: no retry is scheduled */
	struct snapshot_parts log_parts;
	struct snapshot_parts peer_parts;
	uint64_t parts_peer; /* daemon id of the sender of peer_parts */
	uint64_t requested_peer; /* peer of the last state request */
	int64_t next_request_us;
	struct fold *recovered_fold; /* complete state to adopt, or NULL */
};

#define RETENTION_SAMPLES 1440 /* one day at one sample per minute */

/* Samples of the log's end over time, to estimate the log's retention time. */
struct retention {
	struct {
		uint64_t next; /* fold_next() at that time */
		int64_t us;
	} samples[RETENTION_SAMPLES]; /* ring buffer */
	unsigned sample_count; /* samples ever taken */
	int64_t last_sample_us;
	int64_t retained_us; /* lower bound of the retention time */
	bool truncated; /* the log was truncated past a sample */
};

/* State of a snapshot that is being written to the log. */
struct snapshot_writer {
	bool writing;
	struct snapshot_head head;
	uint64_t first_seq, last_seq; /* append sequences of the parts */
	uint64_t parts_offset; /* offset of the first part, 0: not known yet */
	int64_t due_since_us; /* 0: no snapshot is due */
	uint64_t written_count;
};

struct control {
	/* log reads */
	bool started;
	bool read_pending; /* an EFFECT_READ of the control stream is open */
	bool catchup_known;
	uint64_t catchup_offset; /* log tail seen by the first read */
	bool log_down;
	int64_t next_read_us;
	uint64_t first_retained_offset;
	bool ready;
	bool registration_pending; /* proposed, not on record yet */
	int64_t last_log_read_us; /* last successful read */
	int64_t last_step_us; /* to detect pauses of the process */
	/* the platform's VM list */
	struct listed_vm *listed_vms;
	bool list_received;
	int64_t next_propose_us;
	int64_t next_daemon_note_us;
	/* notifications about leaving VMs */
	struct leaving_vm *leaving_vms;
	/* fold revision + 1 that peers were notified of; 0 forces a new one */
	uint64_t notified_revision;
	uint64_t pruned_revision;
	int64_t last_notify_us;
	/* moves and maintenance */
	struct ack_set *ack_sets;
	struct execution *executions;
	struct joining_daemon *joining_daemons;
	int64_t last_ack_us; /* acknowledgements last sent */
	uint64_t ack_checked_revision;
	int64_t last_exec_us;
	unsigned fresh_reads_needed; /* reads to the tail before we may act */
	bool departure_proposed; /* proposed our removal from the record */
	struct recovery recovery;
	struct snapshot_writer writer;
	struct retention retention;
	uint64_t snapshot_record_offset; /* of the newest one on record */
	int64_t snapshot_seen_us; /* when that record was first seen */
	int64_t last_state_sent_us; /* to any peer */
	bool discard_read; /* the open read is for a fold since replaced */
	bool counted_by_peer; /* the peer that sent our state awaits our acks */
	int64_t start_us;
	/* maintenance wave of this data centre */
	uint64_t soak_wave, soak_batch;
	int64_t soak_start_us; /* when the batch was first found complete */
	int64_t next_wave_check_us; /* earlier if the fold changes */
	uint64_t wave_checked_revision;
	/* counters */
	uint64_t log_errors, log_gaps, malformed_records, proposals,
	    pause_count;
};

/*
 * True if the local fold contains every append of this daemon to the control
 * stream, so that a new proposal takes the outcome of earlier ones into
 * account.
 */
bool control_appends_folded(const struct view *v);
/*
 * Appends a proposal to the control stream; takes ownership of "body".
 * Returns false if the append queue is full.
 */
bool control_propose(
    struct control *c, const struct view *v, unsigned kind, struct buf *body);

/* control_vms.c: proposes records for changes that the VM list shows. */
void control_vms_handle_list(
    struct control *c, const struct view *v, const struct event *ev);
void control_vms_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_vms_free(struct control *c);

/* control_leaving.c: exchanges notifications of leaving VMs with peers. */
void control_leaving_notify(
    struct control *c, const struct view *v, struct effects *fx);
void control_leaving_handle_frame(
    struct control *c, const struct view *v, const struct frame *f);
void control_leaving_add(
    struct control *c, const struct view *v, const struct leaving_vm *added);
/* Removes entries that the fold has caught up with. */
void control_leaving_prune(struct control *c, const struct view *v);
void control_leaving_free(struct control *c);

/* control_acks.c: acknowledgements of withdrawals. */
void control_acks_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_acks_handle_frame(
    struct control *c, const struct view *v, const struct frame *f);
void control_acks_free(struct control *c);
/*
 * True if every daemon that must acknowledge this VM's withdrawal has done so
 * and WITHDRAWAL_ACKED can be proposed.
 */
bool control_all_acked(
    const struct control *c, const struct view *v, const struct vm *r);

/* control_recover.c: recovers a state from a snapshot or from a peer. */
void control_recover_handle_gap(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx);
/* Returns true if the batch belongs to the recovery and not to the fold. */
bool control_recover_handle_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx);
void control_recover_handle_error(
    struct control *c, const struct view *v, const struct event *ev);
void control_recover_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_recover_handle_frame(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx);
/*
 * Returns a complete state newer than "f", which the caller owns, or NULL.
 * A recovered state that is not newer is freed.
 */
struct fold *control_recover_take_fold(struct control *c, const struct fold *f);
void control_recover_free(struct control *c);

/* control_snapshot.c: writes snapshots well within the log's retention. */
void control_snapshot_tick(struct control *c, const struct view *v);
/* Called on every event: continues a snapshot that is being written. */
void control_snapshot_step(struct control *c, const struct view *v);

/* control_exec.c: executes acknowledged withdrawals. */
void control_exec_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_exec_handle_result(
    struct control *c, const struct view *v, const struct event *ev);
void control_exec_free(struct control *c);
/*
 * False after a pause of the process or a failed log read, among others:
 * decisions made in the meantime may not be in the local fold, so nothing is
 * proposed or executed.
 */
bool control_may_act(const struct control *c, const struct view *v);

/* control_waves.c: runs the maintenance waves of this data centre. */
void control_waves_tick(
    struct control *c, const struct view *v, struct effects *fx);
struct json_object *control_waves_plan(
    const struct control *c, const struct view *v);

/* Encoder of the entries of one RECORD_MOVE or RECORD_DISRUPTION. */
struct withdrawal_entries {
	struct wire_writer writer;
	uint32_t count;
};
void entries_init(struct withdrawal_entries *e);
/* Begins an entry with "keys" keys, including "op" and "vm". */
void entries_add(struct withdrawal_entries *e, uint32_t keys,
    enum withdrawal_op op, const char *vm);
/*
 * Returns the body {"by": [process, incarnation, ...], "es": [...]}, owned by
 * the caller, and frees the entries.
 */
struct buf *entries_finish(struct withdrawal_entries *e,
    const struct daemon_instance *by, unsigned by_count);

/*
 * True if the VM list shows this VM as leaving or gone and the list is not
 * merely lagging behind a finished withdrawal.
 */
bool listed_vm_is_leaving(const struct listed_vm *lv, const struct view *v);

#endif
