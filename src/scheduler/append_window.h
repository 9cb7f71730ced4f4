/*
 * Group commit with pipelining for one writer of a topic: batches records into
 * consecutively numbered appends and keeps a few of them in flight.  Decides
 * which append to send when, and what an answer implies for the others.  No
 * I/O and no clock.
 */
#ifndef APPEND_WINDOW_H
#define APPEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include <sys/queue.h>

#include <uthash.h>

#include "append_pace.h"
#include "buf.h"
#include "store_wire.h"

/* A record that is not part of an append yet. */
struct pending_record {
	char key[STORE_KEY_MAX_BYTES + 1];
	struct buf *value; /* NULL deletes the key */
	uint64_t first_serial; /* oldest pending write of this key */
	STAILQ_ENTRY(pending_record) entries;
	UT_hash_handle hh; /* by key */
};

struct window_append {
	struct buf *records; /* framed by store_record_add() */
	uint64_t last_serial; /* all writes up to it are in this or earlier
				appends */
	int64_t seq;
	bool in_flight;
	bool pipelined; /* sent while an earlier append was unconfirmed */
	int early_count; /* STORE_OUT_OF_SEQUENCE answers that caused a resend
			  */
	int64_t not_before_us; /* earliest time of a resend */
};

struct append_window_opts {
	int64_t first_seq; /* of the first append */
	bool epoch_established; /* the store has an append of this epoch */
	size_t record_max_bytes; /* the store's limit */
	size_t request_max_bytes; /* the store's limit on an append's records */
};

struct append_window {
	struct append_window_opts opts;
	struct window_append appends[APPENDS_IN_FLIGHT_MAX]; /* oldest first */
	int append_count;
	struct append_pace pace;
	int64_t next_seq;
	int64_t last_append_us; /* when the newest append was created */
	/* the store has an append of this epoch and rejects gaps in numbers */
	bool epoch_established;
	bool fenced; /* the store rejects all further appends */
	/* not numbered yet, in the order of their oldest writes */
	STAILQ_HEAD(pending_records, pending_record) pending;
	struct pending_record *pending_by_key;
	size_t pending_bytes; /* size as framed */
	uint64_t last_serial; /* newest write passed to append_window_put() */
	int64_t pending_since_us; /* when "pending" became non-empty */
	int64_t last_progress_us; /* last confirmation, or first write after
				     idling; 0 while idle */
};

enum append_window_result {
	WINDOW_PENDING, /* call append_window_next() */
	WINDOW_STORED, /* all writes up to *serial are stored */
	WINDOW_FENCED, /* a later epoch writes the topic; final */
	WINDOW_UNREADABLE /* the store rejects the append's bytes for good;
			     final */
};

enum window_put_result {
	WINDOW_PUT_QUEUED,
	WINDOW_PUT_TOO_LARGE, /* over the store's limit; dropped */
	WINDOW_PUT_NO_MEMORY
};

void append_window_init(
    struct append_window *w, const struct append_window_opts *opts);
void append_window_uninit(struct append_window *w);
/*
 * Queues a write; "value" NULL deletes the key.  Takes a reference to "value".
 * If a write of the same key is pending, its value is replaced and it keeps its
 * place in the queue.
 */
enum window_put_result append_window_put(struct append_window *w,
    int64_t now_us, const char *key, struct buf *value, uint64_t serial);
/*
 * Returns the append to send now and marks it as in flight.  NULL if none is
 * due; *wait_us is then the time until the next one is due, or -1 if that
 * depends on an answer or a write.
 */
const struct window_append *append_window_next(
    struct append_window *w, int64_t now_us, int64_t *wait_us);
/*
 * Records the outcome of append "seq", with or without an answer.  Ignored if
 * the append is already known to be stored.
 */
enum append_window_result append_window_complete(struct append_window *w,
    int64_t now_us, int64_t seq, enum store_outcome outcome, uint64_t *serial);
/* No append before "seq" is unconfirmed. */
bool append_window_is_oldest(const struct append_window *w, int64_t seq);
/*
 * Whether a write that a caller waits for cannot be expected to be stored
 * within "left_us"; 0 if that is not known.
 */
bool append_window_overdue(
    const struct append_window *w, int64_t now_us, int64_t left_us);
/* No write is pending or unconfirmed. */
bool append_window_idle(const struct append_window *w);

#endif
