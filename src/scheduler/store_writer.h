/*
 * Writes records to a topic as its only writer, with group commit: batches
 * records into appends and keeps a few of them in flight.
 */
#ifndef STORE_WRITER_H
#define STORE_WRITER_H

#include "scheduler.h"

struct store_writer;

struct store_writer_opts {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	int64_t epoch;
	int64_t first_seq; /* of the first append */
	bool epoch_established; /* the store has an append of this epoch */
	/* All writes up to "serial" are stored. */
	void (*on_stored)(void *arg, uint64_t serial);
	/*
	 * The store accepts no further writes: a later epoch writes the topic,
	 * or it rejects the bytes of an append for good.
	 */
	void (*on_fenced)(void *arg, const char *why);
	void *arg;
};

struct store_writer *store_writer_new(const struct store_writer_opts *opts);
void store_writer_free(struct store_writer *w);
/*
 * Queues a write; "value" NULL deletes the key.  A record over the store's size
 * limit is logged, counted and dropped.
 */
void store_writer_put(struct store_writer *w, const char *key,
    struct buf *value, uint64_t serial);
/* All writes are stored. */
bool store_writer_idle(const struct store_writer *w);
/*
 * Time in ms since the store last confirmed a write while others are waiting;
 * 0 if none is waiting.
 */
int64_t store_writer_stalled_ms(const struct store_writer *w);
/*
 * Whether a job that is submitted now cannot be expected to be stored within
 * "left_ms", the rest of its caller's deadline; 0: unknown.
 */
bool store_writer_overdue(const struct store_writer *w, int64_t left_ms);
/* Number of appends that are kept in flight. */
int store_writer_depth(const struct store_writer *w);

#endif
