/*
 * What one writer has under way at the store: records gather into appends with
 * numbers that follow each other, and a few of them are under way at once.
 * Decides what is sent when, and what an answer says of the others.  No I/O
 * and no clock.
 */
#ifndef APPEND_WINDOW_H
#define APPEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include <sys/queue.h>

#include <uthash.h>

#include "buf.h"
#include "store_wire.h"

#define APPENDS_IN_FLIGHT_MAX \
	3 /* under way: answers take three times an append */

/* A record that waits for its append. */
struct pending_record {
	char key[STORE_KEY_MAX + 1];
	struct buf *value; /* NULL drops the key */
	uint64_t first_serial; /* oldest write of this key that waits */
	STAILQ_ENTRY(pending_record) entries;
	UT_hash_handle hh; /* by key */
};

struct window_append {
	struct buf *records; /* framed by store_record_add() */
	uint64_t last_serial; /* of the newest write in it */
	int64_t seq;
	bool in_flight;
	bool pipelined; /* sent while an earlier one was not settled */
	int early_count; /* times that it came before an earlier one */
	int64_t not_before_us; /* not sent again before */
};

struct append_window_opts {
	int64_t first_seq; /* of the first append */
	bool epoch_established; /* the store knows the epoch already */
	size_t record_max_bytes; /* largest record that the store takes */
	size_t request_max_bytes; /* largest sum of one append's records */
};

struct append_window {
	struct append_window_opts opts;
	struct window_append appends[APPENDS_IN_FLIGHT_MAX]; /* oldest first */
	int append_count;
	int64_t next_seq;
	int64_t last_append_us; /* when the newest number was first sent */
	/* The store knows the epoch: a number that does not follow is refused.
	 */
	bool epoch_established;
	bool fenced;
	/* Records without a number yet, in the order of their oldest writes. */
	STAILQ_HEAD(append_records, pending_record) pending;
	struct pending_record *pending_by_key;
	size_t pending_bytes; /* as the store counts them */
	uint64_t last_serial; /* of all writes that were put */
	int64_t pending_since_us; /* since when */
	int64_t last_progress_us; /* 0: nothing waits */
};

enum append_window_result {
	WINDOW_PENDING, /* look at append_window_next() */
	WINDOW_STORED, /* all writes up to "serial" are stored */
	WINDOW_FENCED, /* a later epoch writes: nothing is taken any more */
	WINDOW_UNREADABLE /* the store refuses the bytes for good: as fenced */
};

enum window_put_result {
	WINDOW_PUT_QUEUED,
	WINDOW_PUT_TOO_LARGE, /* for the store: it is not sent */
	WINDOW_PUT_NO_MEMORY
};

void append_window_init(
    struct append_window *w, const struct append_window_opts *opts);
void append_window_uninit(struct append_window *w);
/*
 * "value" NULL drops the key; its reference is taken.  A value that waits
 * without a number is replaced by a later one of its key, in its place.
 */
enum window_put_result append_window_put(struct append_window *w,
    int64_t now_us, const char *key, struct buf *value, uint64_t serial);
/*
 * The append to send now, taken as sent; else NULL, and in "wait_us" how long
 * until one is due; -1: not before an answer or a write.
 */
const struct window_append *append_window_next(
    struct append_window *w, int64_t now_us, int64_t *wait_us);
/* The append "seq" was answered, or not.  Later answers to it are ignored. */
enum append_window_result append_window_complete(struct append_window *w,
    int64_t now_us, int64_t seq, enum store_outcome outcome, uint64_t *serial);
bool append_window_idle(const struct append_window *w);

#endif
