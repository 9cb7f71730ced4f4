/* State of one request in this daemon, from its arrival to its answer. */
#ifndef PATH_REQUEST_H
#define PATH_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "request.h"
#include "text.h"

struct path_key;
struct path_service;
struct upstream;

enum path_state {
	PATH_QUEUED, /* waits for a slot */
	PATH_CLAIMING, /* waits for the result of its claim, in no queue yet */
	PATH_RUNNING, /* an attempt is in flight at an upstream */
	PATH_BACKOFF, /* waits out the back-off before a retry */
	PATH_SPILLED, /* sent to a daemon of another data centre */
	/* Duplicate that waits for the outcome of the original request. */
	PATH_AWAITING_ORIGINAL
};

/*
 * Sender of a request: a caller of this daemon (peer 0), or the daemon that
 * spilled it.
 */
struct path_origin {
	uint64_t peer;
	uint64_t incarnation; /* of the peer */
	uint64_t id;
};

struct path_request {
	struct path_origin origin;
	struct request *message; /* reference */
	struct path_service *service;
	enum text_class_id class;
	enum path_state state;
	char member[NAME_BYTES];
	int weight; /* of the member */
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t backoff_until_us; /* end of the back-off in PATH_BACKOFF */
	bool idempotent; /* may run more than once */
	/*
	 * An attempt was sent, was not refused and has ended; or another daemon
	 * may have run the request; or, for a duplicate, the original request
	 * may have run.
	 */
	bool may_have_run;
	bool is_probe; /* the attempt in flight probes an ejected upstream */
	bool queued; /* is in the queue of its class and member */
	/* Is in the list of requests to be freed at the end of the step. */
	bool finished;
	/*
	 * Idempotency-Key that must be claimed, or NULL; points into the
	 * message.
	 */
	const char *idempotency_key;
	unsigned attempt_count; /* sent so far */
	/* Attempts under which the upstream broke off. */
	unsigned lost_attempt_count;
	uint64_t attempt_id; /* of the attempt in flight; 0: none */
	int64_t attempt_started_us; /* when that attempt was sent */
	struct upstream *upstream; /* holds a slot for this request, or NULL */
	char avoid_vm[NAME_BYTES]; /* VM of the last failed attempt, or "" */
	/* Key whose original request this is, or NULL. */
	struct path_key *owned_key;
	/*
	 * Daemon that the request was spilled to, or that is queried for the
	 * key's outcome.
	 */
	uint64_t remote_peer;
	uint64_t remote_incarnation; /* of remote_peer, in PATH_SPILLED */
	uint64_t spill_number; /* identifies the answer to the spill */
	unsigned spill_count; /* daemons tried so far */
	/* Static string; answer to the caller if the spill is refused. */
	const char *fallback_reason;
	int fallback_retry_after_ms;
	/* Identifies the request to the upstream in all its attempts. */
	uint64_t request_number;
	bool querying; /* is in the list of queries to claim holders */
	uint64_t query_number; /* identifies the holder's reply */
	int64_t query_sent_us;
	/*
	 * In its queue, the back-off list, the spilled requests, the queries or
	 * the finished requests.
	 */
	TAILQ_ENTRY(path_request) link;
	UT_hash_handle hh; /* by origin */
	UT_hash_handle hh_attempt; /* by attempt_id */
};

TAILQ_HEAD(path_request_list, path_request);

#endif
