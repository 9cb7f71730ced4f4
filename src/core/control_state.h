/*
 * Inside of the control path, shared by its parts (control_*.c) and by
 * nobody else.  All of it is this daemon's own view; what is agreed is in the
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

/* One VM of this data centre as the platform's list last showed it. */
struct listed_vm {
	struct vm_list_entry entry;
	int64_t state_since_us; /* it shows this state and incarnation */
	uint64_t last_live_epoch; /* the fold's when it was last shown live */
	uint64_t
	    daemon_incarnation; /* of an entry VM: incarnation then on record */
	unsigned missed_lists; /* whole lists in a row without it */
	int64_t missing_since_us; /* first of them */
	UT_hash_handle hh; /* by entry.vm */
};

/*
 * A VM that somebody told us is leaving before our own fold shows it.  Counts
 * until the fold has caught up and decides by itself.
 */
struct leaving_vm {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	uint64_t until_epoch; /* the fold decides from this epoch of the VM */
	uint64_t until_config_version; /* or from this version of the text */
	uint64_t withdrawal; /* that wants our acknowledgement, or 0 */
	UT_hash_handle hh; /* by vm */
};

#define ACK_DAEMONS_MAX 64 /* daemons of one data centre that are counted */

/* A daemon's name for one life. */
struct daemon_instance {
	uint64_t process;
	uint64_t incarnation;
};

/* Acknowledgements of one withdrawal, as they came in. */
struct ack_set {
	uint64_t withdrawal;
	struct daemon_instance daemons[ACK_DAEMONS_MAX];
	unsigned daemon_count;
	UT_hash_handle hh; /* by withdrawal */
};

enum exec_stage {
	EXEC_DRAIN,
	EXEC_APPLY, /* assign or reboot */
	EXEC_CONFIRM, /* for the VM to be back, or for the record */
};

/* Platform operations of one acknowledged withdrawal. */
struct execution {
	uint64_t withdrawal;
	char vm[NAME_BYTES];
	enum exec_stage stage;
	uint64_t pending_key; /* of the operation without a result yet, or 0 */
	int64_t stage_since_us; /* in this stage */
	int64_t next_attempt_us; /* not before */
	UT_hash_handle hh; /* by withdrawal */
};

/*
 * A starting daemon that has our state but is not on record yet.  Our own
 * acknowledgements wait for its.
 */
struct joining_daemon {
	struct daemon_instance instance;
	uint64_t state_offset; /* our offset when it got the state */
	UT_hash_handle hh; /* by life.process */
};

/* Getting a state from elsewhere, where the log alone does not do. */
struct recovery {
	bool gap; /* our offset is no longer retained */
	uint64_t
	    first_retained_offset; /* first retained offset, as last heard */
	bool scanning; /* looking for a snapshot that can be used */
	uint64_t scan_offset;
	int64_t next_scan_us; /* next scan */
	struct fold_snapshot best_snapshot; /* best so far */
	bool fetching;
	uint64_t fetch_offset;
	int64_t fetch_retry_us;
	struct snapshot_parts log_parts; /* from the log */
	struct snapshot_parts peer_parts;
	uint64_t parts_peer; /* whose parts these are */
	uint64_t requested_peer; /* peer that was asked last */
	int64_t next_request_us;
	struct fold *recovered_fold; /* complete; to be put in place */
};

#define RETENTION_SAMPLES 1440 /* a day, one each minute */

/* When the end of the log stood where, to learn how long it keeps records. */
struct retention {
	struct {
		uint64_t next;
		int64_t us;
	} samples[RETENTION_SAMPLES]; /* ring */
	unsigned sample_count; /* ever taken */
	int64_t last_sample_us;
	int64_t retained_us; /* records are kept for at least so long */
	bool truncated; /* a sample was seen cut */
};

/* Writing a snapshot into the log. */
struct snapshot_writer {
	bool writing;
	struct snapshot_head head;
	uint64_t first_seq, last_seq; /* appends of the parts */
	uint64_t parts_offset; /* offset of the first part, 0 until known */
	int64_t due_since_us; /* since when one is due, 0: not */
	uint64_t written_count;
};

struct control {
	/* reading */
	bool started;
	bool read_pending; /* an EFFECT_READ of the control stream is open */
	bool catchup_known;
	uint64_t catchup_offset; /* tail seen after our own start */
	bool log_down;
	int64_t next_read_us;
	uint64_t first_retained_offset;
	bool ready;
	bool registration_pending;
	int64_t last_log_read_us; /* last successful read */
	int64_t last_step_us; /* last step, to notice pauses */
	/* the platform's list */
	struct listed_vm *listed_vms;
	bool list_received;
	int64_t next_propose_us;
	int64_t next_daemon_note_us;
	/* leaving */
	struct leaving_vm *leaving_vms;
	uint64_t notified_revision; /* fold revision that peers were told */
	uint64_t pruned_revision;
	int64_t last_notify_us;
	/* moves and maintenance */
	struct ack_set *ack_sets;
	struct execution *executions;
	struct joining_daemon *joining_daemons;
	int64_t last_ack_us; /* acknowledgements last sent */
	uint64_t ack_checked_revision;
	int64_t last_exec_us;
	unsigned
	    fresh_reads_needed; /* reads until the log counts as read again */
	bool departure_proposed; /* told the log that we are gone */
	struct recovery recovery;
	struct snapshot_writer writer;
	struct retention retention;
	uint64_t
	    snapshot_record_offset; /* offset of the newest one on record */
	int64_t snapshot_seen_us; /* when it was first seen here */
	int64_t last_state_sent_us; /* when a state was last handed out */
	bool discard_read; /* the open read is for a state we no longer have */
	bool counted_by_peer; /* our state came from one that counts us */
	int64_t start_us;
	/* the wave of this data centre, as its driver sees it */
	uint64_t soak_wave, soak_batch;
	int64_t soak_start_us; /* since when its batch serves again */
	int64_t
	    next_wave_check_us; /* next look, or when the fold has changed */
	uint64_t wave_checked_revision;
	/* counters */
	uint64_t log_errors, log_gaps, malformed_records, proposals,
	    pause_count;
};

/*
 * True where every append of ours to the control stream is in our own fold,
 * so that a new proposal looks at its outcome.
 */
bool control_appends_folded(const struct view *v);
/*
 * Appends a proposal to the control stream; takes over "body".  False where
 * the queue is full.
 */
bool control_propose(
    struct control *c, const struct view *v, unsigned kind, struct buf *body);

/* control_vms.c: from the platform's list to records, and who is leaving. */
void control_vms_handle_list(
    struct control *c, const struct view *v, const struct event *ev);
void control_vms_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_vms_free(struct control *c);

/* control_leaving.c: telling peers who is leaving, and hearing it. */
void control_leaving_notify(
    struct control *c, const struct view *v, struct effects *fx);
void control_leaving_handle_frame(
    struct control *c, const struct view *v, const struct frame *f);
void control_leaving_add(
    struct control *c, const struct view *v, const struct leaving_vm *news);
void control_leaving_prune(struct control *c, const struct view *v);
void control_leaving_free(struct control *c);

/* control_moves.c: acknowledgements of what leaves. */
void control_acks_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_acks_handle_frame(
    struct control *c, const struct view *v, const struct frame *f);
void control_acks_free(struct control *c);
/* An ACKED entry is due: everybody who must has acknowledged. */
bool control_all_acked(
    const struct control *c, const struct view *v, const struct vm *r);

/* control_recover.c: a state from a snapshot or from a peer. */
void control_recover_handle_gap(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx);
/* True where the batch was for the recovery and not for the fold. */
bool control_recover_handle_batch(struct control *c, const struct view *v,
    const struct event *ev, struct effects *fx);
void control_recover_handle_error(
    struct control *c, const struct view *v, const struct event *ev);
void control_recover_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_recover_handle_frame(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx);
/* A newer state that is complete, or NULL; the caller owns it. */
struct fold *control_recover_take_fold(struct control *c, const struct fold *f);
void control_recover_free(struct control *c);

/* control_snapshot.c: writes snapshots well inside the retention. */
void control_snapshot_tick(struct control *c, const struct view *v);
/* On every event: goes on with one that is being written. */
void control_snapshot_step(struct control *c, const struct view *v);

/* control_exec.c: carries out what was acknowledged. */
void control_exec_tick(
    struct control *c, const struct view *v, struct effects *fx);
void control_exec_handle_result(
    struct control *c, const struct view *v, const struct event *ev);
void control_exec_free(struct control *c);
/*
 * False after a pause or a failed read: what was decided meanwhile is not
 * known here, so nothing is carried out.
 */
bool control_may_act(const struct control *c, const struct view *v);

/* control_waves.c: drives the maintenance of this data centre. */
void control_waves_tick(
    struct control *c, const struct view *v, struct effects *fx);
struct json_object *control_waves_plan(
    const struct control *c, const struct view *v);

/* Proposals of one record, gathered one by one. */
struct withdrawal_entries {
	struct wire_writer writer;
	uint32_t count;
};
void entries_init(struct withdrawal_entries *e);
/* Begins an entry of so many keys, "op" and "vm" counted. */
void entries_add(struct withdrawal_entries *e, uint32_t keys,
    enum withdrawal_op op, const char *vm);
/* The body {"es": …, "by": …} with the given lives; frees the entries. */
struct buf *entries_finish(struct withdrawal_entries *e,
    const struct daemon_instance *by, unsigned by_count);

/* True where the list shows this VM leaving or gone, and is believed. */
bool listed_vm_is_leaving(const struct listed_vm *s, const struct view *v);

#endif
