/*
 * Messages between daemons: a caller's job request, forwarded to the daemon
 * that owns the pool, and the owner's reply.
 */
#ifndef JOB_CALL_H
#define JOB_CALL_H

#include "buf.h"
#include "errors.h"
#include "pool.h"
#include "queue_homes.h"

enum job_op {
	JOB_SUBMIT,
	JOB_CANCEL,
	JOB_QUERY, /* state of a job */
	JOB_COUNT_WAITING /* number of waiting jobs in a queue */
};

struct job_request {
	enum job_op op;
	char pool[NAME_BYTES];
	char id[JOB_ID_BYTES]; /* "" for JOB_COUNT_WAITING */
	/* of the job's queue, from the forwarding daemon's config */
	struct queue_settings settings;
	char account[NAME_BYTES]; /* of the caller; "": none */
	int left_ms; /* until the caller's deadline; 0: unknown */
	struct buf *body; /* JOB_SUBMIT; NULL otherwise */
	/*
	 * Of the forwarding daemon's configuration; 0: a daemon of an earlier
	 * version, which does not know REPLY_ELSEWHERE and REPLY_SEARCH.
	 */
	int64_t config_version;
	bool searched; /* the queue's other homes do not have the job */
	/* Of a search: answered only by a configuration that is not older. */
	bool probe;
};

enum job_reply_kind {
	REPLY_ANSWER, /* the owner processed the request; see "answer" */
	REPLY_INVALID, /* the body is not a valid job; see "error" */
	REPLY_NOT_DONE, /* certainly not processed: not the pool's owner, or the
			   takeover is not complete */
	REPLY_UNKNOWN, /* may have been processed */
	REPLY_ELSEWHERE, /* not processed: the queue is the first of "pools" */
	REPLY_SEARCH /* not processed: "pools" may have the job */
};

struct job_reply {
	enum job_reply_kind kind;
	enum pool_answer answer;
	enum job_state state;
	size_t waiting_count;
	int retry_after_ms;
	/* Of the owner's configuration with accounts; 0: not given. */
	int64_t config_version;
	struct err error;
	char pools[HOMES_ASKED_MAX][NAME_BYTES];
	size_t pool_count;
};

/* True if the pool's owner has answered, positively or negatively. */
bool job_reply_decided(const struct job_reply *r);

typedef void job_reply_fn(void *arg, const struct job_reply *reply);

/* Encodes as msgpack.  NULL if out of memory. */
struct buf *job_request_encode(const struct job_request *r);
/* The caller owns a reference to r->body.  -1 if "data" is malformed. */
int job_request_decode(
    struct job_request *r, const void *data, size_t len, struct err *e);
struct buf *job_reply_encode(const struct job_reply *r);
int job_reply_decode(
    struct job_reply *r, const void *data, size_t len, struct err *e);
const char *job_op_name(enum job_op op);

#endif
