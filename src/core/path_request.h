/* One request on its way through this daemon, from arrival to its answer. */
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
	PATH_CLAIMING, /* waits for its claim, in no queue yet */
	PATH_RUNNING, /* an attempt is at an upstream */
	PATH_BACKOFF, /* waits before a retry */
	PATH_SPILLED, /* handed to a daemon of another data centre */
	PATH_AWAITING_ORIGINAL /* a repeat that waits for the first one's answer
				*/
};

/* Who asked: a caller of ours (peer 0) or a daemon that spilled. */
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
	int64_t backoff_until_us; /* end of PATH_BACKOFF */
	bool idempotent; /* may run more than once */
	bool may_have_run; /* an attempt was sent and not refused */
	bool is_probe; /* the attempt in flight probes an ejected upstream */
	bool queued; /* counted in a queue */
	bool finished; /* waits in the list of ended ones to be freed */
	const char *
	    idempotency_key; /* Idempotency-Key that must be claimed, or NULL */
	unsigned attempt_count; /* sent so far */
	uint64_t attempt_id; /* id of the one in flight, 0 none */
	int64_t attempt_started_us; /* when it was handed over */
	struct upstream *upstream; /* that holds a slot for it, or NULL */
	char avoid_vm[NAME_BYTES]; /* VM of the last failed attempt, or "" */
	struct path_key *owned_key; /* of the key that it is the first one of */
	uint64_t remote_peer; /* of PATH_SPILLED and PATH_AWAITING_ORIGINAL */
	uint64_t remote_incarnation; /* of that daemon */
	uint64_t spill_number;
	unsigned spill_count; /* daemons asked so far */
	const char *fallback_reason; /* static; of the refusal that it avoids */
	int fallback_retry_after_ms;
	uint64_t request_number; /* that its attempts carry to the upstream */
	bool querying; /* PATH_AWAITING_ORIGINAL another daemon, in the list of
			  these */
	uint64_t query_number;
	int64_t query_sent_us;
	TAILQ_ENTRY(path_request) link; /* in its queue, or in back-off */
	UT_hash_handle hh; /* by origin */
	UT_hash_handle hh_attempt; /* by attempt */
};

TAILQ_HEAD(path_request_list, path_request);

#endif
