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

#define APPENDS_MAX 3 /* under way: answers take three times an append */

/* A record that waits for its append. */
struct append_record {
	char key[STORE_KEY_MAX_BYTES + 1];
	struct buf *value; /* NULL drops the key */
	uint64_t first_serial; /* oldest write of this key that waits */
	STAILQ_ENTRY(append_record) entries;
	UT_hash_handle hh; /* by key */
};

struct append_slot {
	struct buf *records; /* framed by store_record_add() */
	uint64_t serial; /* of the newest write in it */
	int64_t seq;
	bool under_way;
	bool behind; /* sent while an earlier one was not settled */
	int overtook; /* times that it came before an earlier one */
	int64_t retry_us; /* not sent again before */
};

struct append_window_opts {
	int64_t seq; /* of the first append */
	bool established; /* the store knows the epoch already */
	size_t record_bytes; /* largest record that the store takes */
	size_t request_bytes; /* largest sum of one append's records */
};

struct append_window {
	struct append_window_opts opts;
	struct append_slot slots[APPENDS_MAX]; /* oldest first */
	int count;
	int64_t next_seq;
	int64_t newest_us; /* when the newest number was first sent */
	/* The store knows the epoch: a number that does not follow is refused.
	 */
	bool established;
	bool fenced;
	/* Records without a number yet, in the order of their oldest writes. */
	STAILQ_HEAD(append_records, append_record) gathered;
	struct append_record *by_key;
	size_t gathered_bytes; /* as the store counts them */
	uint64_t newest_serial; /* of all writes that were put */
	int64_t gathered_us; /* since when */
	int64_t waits_since_us; /* 0: nothing waits */
};

enum window_result {
	WINDOW_WAITS, /* look at append_window_next() */
	WINDOW_WRITTEN, /* all writes up to "serial" are stored */
	WINDOW_FENCED, /* a later epoch writes: nothing is taken any more */
	WINDOW_UNREADABLE /* the store refuses the bytes for good: as fenced */
};

enum window_put {
	PUT_GATHERED,
	PUT_TOO_LARGE, /* for the store: it is not sent */
	PUT_NO_MEMORY
};

void append_window_init(
    struct append_window *w, const struct append_window_opts *opts);
void append_window_uninit(struct append_window *w);
/*
 * "value" NULL drops the key; its reference is taken.  A value that waits
 * without a number is replaced by a later one of its key, in its place.
 */
enum window_put append_window_put(struct append_window *w, int64_t now_us,
    const char *key, struct buf *value, uint64_t serial);
/*
 * The append to send now, taken as sent; else NULL, and in "wait_us" how long
 * until one is due; -1: not before an answer or a write.
 */
const struct append_slot *append_window_next(
    struct append_window *w, int64_t now_us, int64_t *wait_us);
/* The append "seq" was answered, or not.  Later answers to it are ignored. */
enum window_result append_window_ended(struct append_window *w, int64_t now_us,
    int64_t seq, enum store_outcome outcome, uint64_t *serial);
bool append_window_idle(const struct append_window *w);

#endif
