/* Requests with an Idempotency-Key. For the claims see path_claim.h. */
#ifndef PATH_KEY_H
#define PATH_KEY_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "path_claim.h"
#include "path_request.h"

struct path_ctx;
struct path_result;

enum key_state {
	KEY_NO_CLAIM, /* no claim has been made for the key */
	KEY_CLAIMING, /* the claim has not been read back from the log yet */
	KEY_CLAIMED, /* the claim succeeded; the request waits or runs */
	KEY_ABANDONED, /* the request ended before the claim was read back */
	/* The request was not run; the release has not been read back yet. */
	KEY_RELEASING,
	KEY_ANSWERED,
	KEY_UNKNOWN /* the request may have run */
};

/*
 * Duplicate that waits for the outcome: a request of this daemon, or a query
 * from another daemon.
 */
struct key_waiter {
	struct path_origin origin;
	bool remote;
	TAILQ_ENTRY(key_waiter) link;
};
TAILQ_HEAD(key_waiter_list, key_waiter);

/* A key whose original request is or was at this daemon. */
struct path_key {
	struct claim_hash hash;
	uint64_t claim_number; /* 0 before the claim */
	enum key_state state;
	/* The request runs without a claim because the log is unavailable. */
	bool unclaimed;
	struct path_request *request; /* NULL once the request has ended */
	struct answer *answer; /* reference; set in KEY_ANSWERED */
	int ttl_s;
	int64_t claim_sent_us;
	struct key_waiter_list waiters;
	unsigned waiter_count;
	bool cached; /* is in the list of cached results */
	int64_t cache_expiry_us, cached_bytes;
	TAILQ_ENTRY(path_key) link;
	UT_hash_handle hh; /* by hash */
	UT_hash_handle hh_number;
};
TAILQ_HEAD(path_key_list, path_key);

struct path_keys {
	struct claims claims;
	struct path_key *by_hash;
	struct path_key *by_claim_number;
	struct path_key_list cached; /* oldest first */
	size_t cached_count;
	int64_t cached_bytes;
	/* Requests that wait for the reply of a claim holder. */
	struct path_request_list queries;
	uint64_t last_query_number;
	/* From a claim to its result; moving average. */
	int64_t claim_latency_us;
};

void keys_init(struct path_keys *ks);
void keys_uninit(struct path_keys *ks);
/*
 * Handles every event: reads the claims stream and checks for expired entries.
 */
void keys_step(const struct path_ctx *x, const struct event *ev);
/*
 * True where the key is already claimed. The request is then a duplicate and
 * waits for the original's outcome, or has ended with it.
 */
bool key_handle_duplicate(const struct path_ctx *x, struct path_request *r);
/*
 * Claims the key of a new request, if it has one. False where the request may
 * be queued now. True where it waits for its claim, after which
 * path_claim_won() queues it, where it waits as a duplicate, or where it has
 * ended.
 */
bool key_admit(const struct path_ctx *x, struct path_request *r);
/*
 * Settles the key of a request that ends with this result and notifies its
 * duplicates.
 */
void key_settle(const struct path_ctx *x, struct path_request *r,
    const struct path_result *result);
/* Handles FRAME_CLAIM_QUERY and FRAME_CLAIM_ANSWER. */
void key_frame(const struct path_ctx *x, const struct frame *f);
/* The request no longer waits for the reply of a claim holder. */
void key_cancel_query(const struct path_ctx *x, struct path_request *r);

#endif
