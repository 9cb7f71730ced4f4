/*
 * Events: the inputs of a daemon, as data.  The shell, a test or the experiment
 * driver builds an event, calls core_step() and frees the event's data; the
 * reducer takes its own references to data that outlives the call.
 */
#ifndef EVENT_H
#define EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "frame.h"
#include "bounds.h"
#include "record.h"
#include "request.h"

enum event_kind {
	EVENT_TICK, /* periodic, at least every 100 ms */
	EVENT_REQUEST, /* a complete request of a caller */
	EVENT_CALLER_GONE, /* the caller disconnected before its answer */
	EVENT_ATTEMPT_SENT, /* first byte was written to a connection */
	EVENT_ATTEMPT_ANSWERED, /* the upstream's complete answer */
	EVENT_ATTEMPT_FAILED,
	EVENT_PEER_UP, /* connected and FRAME_HELLO exchanged */
	EVENT_PEER_DOWN,
	EVENT_PEER_FRAME,
	EVENT_LOG_BATCH, /* records of a stream, in offset order */
	EVENT_LOG_GAP, /* the next offset to read is not retained any more */
	EVENT_LOG_ERROR, /* a log read failed: platform down or slow */
	EVENT_APPEND_RESULT,
	EVENT_VM_LIST, /* the platform's VM list, or its changes */
	EVENT_PLATFORM_RESULT, /* result of an EFFECT_PLATFORM */
	EVENT_USAGE, /* delayed usage and task reports of workers */
	EVENT_STOP /* planned stop (SIGTERM) */
};

/* Why an attempt at an upstream failed. */
enum attempt_failure {
	ATTEMPT_UNSENT, /* no byte was written to a connection */
	ATTEMPT_REFUSED, /* the upstream answered that it did not run it */
	ATTEMPT_LOST, /* sent; no answer */
	ATTEMPT_TRUNCATED, /* sent; the answer was truncated */
	ATTEMPT_TIMEOUT /* sent; no complete answer in time */
};

/* Outcome of an append, or of a platform operation. */
enum append_outcome {
	APPEND_DONE,
	APPEND_NOT_DONE, /* certainly not done */
	APPEND_UNKNOWN /* may have been done */
};

enum vm_list_state {
	VM_LIST_LIVE,
	VM_LIST_LEAVING,
	VM_LIST_GONE
};
enum vm_role {
	VM_WORKER, /* upstream worker */
	VM_ENTRY /* entry VM */
};

struct vm_list_entry {
	char vm[NAME_BYTES];
	uint64_t incarnation; /* changes when the VM is replaced */
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	char pool[NAME_BYTES]; /* initial pool, see struct vm */
	char addr[ADDR_BYTES];
	int port;
	enum vm_role role;
	enum vm_list_state state;
	int64_t cores, memory_mb, accelerators;
};

struct usage_entry {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	uint64_t task; /* 0: the worker itself */
	uint64_t epoch; /* lease epoch of the task on the worker */
	int64_t cores_milli, memory_mb, accelerators;
	int state; /* enum usage_state of tasks.h */
};

struct event {
	enum event_kind kind;
	int64_t now_us; /* monotonic clock */
	int64_t wall_ms; /* wall clock, only for timestamps of records */
	union {
		struct {
			uint64_t id; /* assigned by the shell, never 0 */
			struct request *request;
		} request;
		struct {
			uint64_t id;
		} caller_gone;
		struct {
			uint64_t id; /* of the EFFECT_ATTEMPT */
		} sent;
		struct {
			uint64_t id;
			struct answer *answer;
		} answered;
		struct {
			uint64_t id;
			enum attempt_failure failure;
		} failed;
		struct {
			uint64_t peer; /* daemon id */
			uint64_t incarnation;
			char name[NAME_BYTES];
			char data_centre[NAME_BYTES];
		} peer_up;
		struct {
			uint64_t peer;
			uint64_t incarnation;
		} peer_down;
		struct {
			const struct frame *frame;
		} peer_frame;
		struct {
			enum stream stream;
			const struct record *records;
			size_t count;
			uint64_t next; /* offset after the last record read */
			uint64_t tail; /* end of the stream when read */
			uint64_t first; /* first retained offset */
			size_t bad; /* number of undecodable records */
		} log_batch;
		struct {
			enum stream stream;
			uint64_t first; /* first retained offset */
			uint64_t tail;
		} log_gap;
		struct {
			enum stream stream;
		} log_error;
		struct {
			uint64_t token; /* of the EFFECT_APPEND */
			enum append_outcome outcome;
			uint64_t offset; /* set for APPEND_DONE */
		} append;
		struct {
			bool whole; /* false: changed entries only */
			const struct vm_list_entry *list;
			size_t count;
		} vm_list;
		struct {
			uint64_t key; /* of the EFFECT_PLATFORM */
			enum append_outcome outcome;
		} platform;
		struct {
			const struct usage_entry *list;
			size_t count;
		} usage;
	} u;
};

const char *event_kind_name(enum event_kind kind);

#endif
