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

#include "buf.h"
#include "store_wire.h"

#define APPENDS_MAX 3 /* under way: answers take three times an append */

struct append_slot {
	struct buf *records; /* framed by store_record_add() */
	uint64_t serial; /* of the newest write in it */
	int64_t seq;
	bool under_way;
	bool behind; /* sent while an earlier one was not settled */
	int overtook; /* times that it came before an earlier one */
	int64_t retry_us; /* not sent again before */
};

struct append_window {
	struct append_slot slots[APPENDS_MAX]; /* oldest first */
	int count;
	int64_t next_seq;
	int64_t newest_us; /* when the newest number was first sent */
	/* The store knows the epoch: a number that does not follow is refused.
	 */
	bool established;
	bool fenced;
	struct buf *gathered; /* records without a number yet; NULL none */
	uint64_t gathered_serial;
	int64_t gathered_us; /* since when */
	int64_t waits_since_us; /* 0: nothing waits */
};

enum window_result {
	WINDOW_WAITS, /* look at append_window_next() */
	WINDOW_WRITTEN, /* all writes up to "serial" are stored */
	WINDOW_FENCED /* a later epoch writes: nothing is taken any more */
};

void append_window_init(struct append_window *w, int64_t seq, bool established);
void append_window_uninit(struct append_window *w);
/* "value" NULL drops the key.  -1 when memory is short. */
int append_window_put(struct append_window *w, int64_t now_us, const char *key,
    const struct buf *value, uint64_t serial);
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
