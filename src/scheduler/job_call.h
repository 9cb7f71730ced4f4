/*
 * A caller's request for a job on its way to the daemon that owns the pool,
 * and the reply.
 */
#ifndef JOB_CALL_H
#define JOB_CALL_H

#include "buf.h"
#include "errors.h"
#include "pool.h"

enum job_op {
	JOB_SUBMIT,
	JOB_CANCEL,
	JOB_QUERY,
	JOB_COUNT_WAITING
};

struct job_request {
	enum job_op op;
	char pool[NAME_BYTES];
	char id[JOB_ID_BYTES]; /* "" for JOB_COUNT_WAITING */
	struct queue_terms terms; /* as the asking daemon knows them */
	struct buf *body; /* JOB_SUBMIT; NULL otherwise */
};

enum job_reply_kind {
	REPLY_ANSWER, /* the owner's answer */
	REPLY_INVALID, /* the body is no job; "error" says why */
	REPLY_NOT_DONE, /* nothing was done: not the owner, or not yet */
	REPLY_UNKNOWN /* it may have been done */
};

struct job_reply {
	enum job_reply_kind kind;
	enum pool_answer answer;
	enum job_state state;
	size_t waiting_count;
	int retry_after_ms;
	struct err error;
};

/* The pool's owner has decided, whatever it said. */
bool job_reply_decided(const struct job_reply *r);

typedef void job_reply_fn(void *arg, const struct job_reply *reply);

/* msgpack; NULL when memory is short. */
struct buf *job_request_encode(const struct job_request *r);
/* The body is a new reference; -1 where the bytes are damaged. */
int job_request_decode(
    struct job_request *r, const void *data, size_t len, struct err *e);
struct buf *job_reply_encode(const struct job_reply *r);
int job_reply_decode(
    struct job_reply *r, const void *data, size_t len, struct err *e);
const char *job_op_name(enum job_op op);

#endif
