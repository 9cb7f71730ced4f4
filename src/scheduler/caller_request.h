/*
 * A caller's request: attempts at the pool's owner, and the answer.  For
 * job_frontend.c and caller_request.c only.
 */
#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include <sys/queue.h>

#include "circuit_breaker.h"
#include "home_search.h"
#include "job_call.h"
#include "scheduler.h"

#define DEFAULT_RETRY_AFTER_MS 1000 /* if no owner suggests a delay */

/* Limits what is sent to one owner of one pool. */
struct owner_breaker {
	struct endpoint owner;
	char pool[NAME_BYTES];
	struct circuit_breaker breaker;
	int64_t heard_us; /* latest answer to any request; 0: none yet */
	bool query_in_flight; /* a caller_request's alive_query */
	LIST_ENTRY(owner_breaker) entries;
};

/* A caller's request that has not been answered yet. */
struct caller_request {
	struct job_frontend *frontend;
	uint64_t listener_id; /* the listener's number of the request */
	struct job_request request;
	struct home_search search;
	int64_t received_us;
	int64_t deadline_us; /* latest time of the answer */
	int attempts;
	bool outcome_unknown; /* an attempt without an answer may have taken
				 effect */
	bool unserved_recorded; /* in owner_reachability */
	bool local; /* in progress at a pool owned by this daemon */
	bool answered; /* with 504 at the deadline; freed at the pool's reply */
	struct peer_call *peer_call; /* attempt in flight, or NULL */
	int64_t sent_us; /* of peer_call */
	/* asks whether the owner is alive while peer_call has no answer */
	struct peer_call *alive_query;
	struct owner_breaker *in_flight_breaker; /* that admitted peer_call */
	enum breaker_verdict verdict; /* of in_flight_breaker */
	/* next attempt, check of the attempt in flight, or local deadline */
	lws_sorted_usec_list_t timer;
	LIST_ENTRY(caller_request) entries;
};

struct job_frontend {
	struct scheduler *scheduler;
	struct http_listener *callers_listener;
	struct http_listener *readiness_listener;
	LIST_HEAD(caller_requests, caller_request) requests;
	LIST_HEAD(owner_breakers, owner_breaker) breakers;
	size_t breaker_count;
	size_t pending_count;
	bool exiting; /* new requests are refused, pending ones answered */
	bool reported_ready; /* last answer to the load balancer */
};

/* The daemon can serve callers. */
bool frontend_ready(struct scheduler *s);
/* Sends an answer; takes over the reference to "body", which may be NULL. */
void frontend_answer(struct job_frontend *f, uint64_t id, int status,
    struct buf *body, int retry_after_ms);

/*
 * Sends the request to the pool's owner, here or on a peer, until it has an
 * answer or its deadline passes; then frees it.
 */
void caller_request_start(struct caller_request *c);
/* Answers that the request has had no answer from an owner, and frees it. */
void caller_request_finish_unserved(struct caller_request *c);
/*
 * This daemon's pool has not answered by the deadline.  The request is freed
 * when the pool's reply arrives.
 */
void caller_request_expire_local(struct caller_request *c);
void caller_request_free(struct caller_request *c);

#endif
