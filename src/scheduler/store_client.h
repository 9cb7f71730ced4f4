/*
 * Calls to the platform's store, and the one writer of a topic, which puts
 * what has gathered into one append at a time.
 */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include "scheduler.h"

struct store_op;

/* "status" is 0 where no whole answer came; "sent": it may be carried out. */
typedef void store_end(
    void *arg, int status, bool sent, const void *body, size_t len);

/*
 * Takes over the call's body.  NULL where it could not be started; "end" is
 * not called then.
 */
struct store_op *store_send(struct scheduler *s, struct store_call *c,
    int timeout_ms, store_end *end, void *arg);
/* "end" is not called any more.  Accepts NULL. */
void store_op_cancel(struct store_op *op);

struct store_writer;

struct store_writer_opts {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	int64_t epoch;
	int64_t seq; /* of the first append */
	/* All writes up to "serial" are stored. */
	void (*on_written)(void *arg, uint64_t serial);
	/* A later epoch writes the topic: nothing of ours is taken any more. */
	void (*on_fenced)(void *arg);
	void *arg;
};

struct store_writer *store_writer_new(const struct store_writer_opts *opts);
void store_writer_free(struct store_writer *w);
/* "value" NULL drops the key. */
void store_writer_put(struct store_writer *w, const char *key,
    const struct buf *value, uint64_t serial);
/* Nothing waits for the store. */
bool store_writer_idle(const struct store_writer *w);
/* ms since the store last took a write while one waits; 0 where none does. */
int64_t store_writer_stuck_ms(const struct store_writer *w);

#endif
