/*
 * The one writer of a topic: puts what has gathered into appends, a few of them
 * under way at once.
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
	bool epoch_established; /* to the store: an append of it is stored */
	/* All writes up to "serial" are stored. */
	void (*on_stored)(void *arg, uint64_t serial);
	/*
	 * Nothing of ours is taken any more: a later epoch writes the topic, or
	 * the store refuses an append's bytes for good.
	 */
	void (*on_fenced)(void *arg, const char *why);
	void *arg;
};

struct store_writer *store_writer_new(const struct store_writer_opts *opts);
void store_writer_free(struct store_writer *w);
/*
 * "value" NULL drops the key.  A record that the store would not take is
 * logged, counted and left out.
 */
void store_writer_put(struct store_writer *w, const char *key,
    struct buf *value, uint64_t serial);
/* Nothing waits for the store. */
bool store_writer_idle(const struct store_writer *w);
/* ms since the store last took a write while one waits; 0 where none does. */
int64_t store_writer_stalled_ms(const struct store_writer *w);

#endif
