/*
 * Effects: the actions of a daemon, as data.  core_step() appends effects to a
 * list; the shell (or a test) executes them in order.
 */
#ifndef EFFECT_H
#define EFFECT_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "bounds.h"
#include "record.h"
#include "request.h"

enum effect_kind {
	EFFECT_ATTEMPT, /* send a request to an upstream */
	EFFECT_ATTEMPT_CANCEL, /* abort an attempt; no event follows */
	EFFECT_ANSWER, /* final answer to a caller */
	EFFECT_PEER_SEND, /* send a frame to a peer; dropped if not connected */
	EFFECT_READ, /* read a stream from an offset */
	EFFECT_APPEND, /* append a record; EVENT_APPEND_RESULT follows */
	EFFECT_PLATFORM, /* platform operation; EVENT_PLATFORM_RESULT follows */
	EFFECT_LOG, /* write a log line */
	EFFECT_STOPPED /* planned stop is complete; the process may exit */
};

/* Outcome of a request, as reported to the caller. */
enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_NOT_RUN, /* certainly not executed by any upstream */
	OUTCOME_UNKNOWN /* may have been executed */
};
const char *outcome_name(enum outcome o); /* "answered", "not-run", ... */

enum platform_op {
	PLATFORM_DRAIN,
	PLATFORM_REBOOT,
	PLATFORM_ASSIGN, /* move a VM to another pool */
	PLATFORM_TASK_START,
	PLATFORM_TASK_STOP,
	PLATFORM_TASK_CHECKPOINT,
	PLATFORM_TASK_THROTTLE
};
const char *platform_op_name(enum platform_op op);

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

struct effect {
	enum effect_kind kind;
	union {
		struct {
			uint64_t id; /* unique within the incarnation */
			uint64_t request;
			struct request *message; /* reference */
			char vm[NAME_BYTES];
			char addr[ADDR_BYTES];
			int port;
			int timeout_ms;
		} attempt;
		struct {
			uint64_t id;
		} cancel;
		struct {
			uint64_t request;
			enum outcome outcome;
			int status;
			int retry_after_ms; /* 0: no Retry-After */
			const char *reason; /* static; set for refusals */
			struct answer *answer; /* reference; may be NULL */
		} answer;
		struct {
			uint64_t peer;
			unsigned kind; /* enum frame_kind */
			uint64_t request;
			struct buf *payload; /* reference */
		} peer_send;
		struct {
			enum stream stream;
			uint64_t from;
		} read;
		struct {
			uint64_t token;
			enum stream stream;
			struct buf *record; /* encoded record; reference */
		} append;
		struct {
			enum platform_op op;
			/* idempotency key, derived from a record's offset */
			uint64_t key;
			char vm[NAME_BYTES];
			uint64_t incarnation;
			char pool[NAME_BYTES]; /* for PLATFORM_ASSIGN */
			uint64_t task, epoch; /* for PLATFORM_TASK_* */
			int lease_s;
		} platform;
		struct {
			enum log_level level;
			char line[256]; /* key=value pairs */
		} log;
	} u;
};

struct effects {
	struct effect *list;
	size_t count;
	size_t cap;
};

void effects_init(struct effects *fx);
/* Releases all references and empties the list, which can be reused. */
void effects_clear(struct effects *fx);
void effects_uninit(struct effects *fx);
/*
 * Returns a new, zeroed effect, valid until the next call.  Exits the process
 * if out of memory.
 */
struct effect *effects_add(struct effects *fx, enum effect_kind kind);
/* Adds an EFFECT_PEER_SEND; takes over the reference to "payload". */
void effects_send(struct effects *fx, uint64_t peer, unsigned kind,
    uint64_t request, struct buf *payload);
/* Adds an EFFECT_LOG. */
void effects_log(struct effects *fx, enum log_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
const char *effect_kind_name(enum effect_kind kind);

#endif
