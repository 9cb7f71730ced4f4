/* Requests with an Idempotency-Key; see path_claim.h for the claims. */
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
	KEY_NO_CLAIM, /* to be run without a claim */
	KEY_CLAIMING, /* the claim is on its way to the log and back */
	KEY_CLAIMED, /* claimed; the request runs, or waits to run */
	KEY_ABANDONED, /* given up before the claim came back */
	KEY_RELEASING, /* not run; the release is on its way */
	KEY_ANSWERED,
	KEY_UNKNOWN /* it may have run */
};

/* A repeat that waits: a request of ours, or another daemon's question. */
struct key_waiter {
	struct path_origin origin;
	bool remote;
	TAILQ_ENTRY(key_waiter) link;
};
TAILQ_HEAD(key_waiter_list, key_waiter);

/* A key whose first request is or was with this daemon. */
struct path_key {
	struct claim_hash hash;
	uint64_t claim_number; /* of the claim; 0 before it */
	enum key_state state;
	bool unclaimed; /* run without a claim: the log was down */
	struct path_request *request; /* NULL once it has ended */
	struct answer *answer; /* reference, of KEY_ANSWERED */
	int ttl_s;
	int64_t claim_sent_us;
	struct key_waiter_list waiters;
	unsigned waiter_count;
	bool cached; /* in the list of ended ones */
	int64_t cache_expiry_us, cached_bytes;
	TAILQ_ENTRY(path_key) link;
	UT_hash_handle hh; /* by hash */
	UT_hash_handle hh_number;
};
TAILQ_HEAD(path_key_list, path_key);

struct path_keys {
	struct claims claims;
	struct path_key *by_hash; /* by hash */
	struct path_key *by_claim_number; /* by number */
	struct path_key_list cached; /* oldest first */
	size_t cached_count;
	int64_t cached_bytes;
	struct path_request_list queries; /* wait for another daemon's word */
	uint64_t last_query_number;
	int64_t claim_latency_us; /* from a claim to its result, smoothed */
};

void keys_init(struct path_keys *ks);
void keys_uninit(struct path_keys *ks);
/* Sees every event: reads the claims stream and keeps time. */
void keys_step(const struct path_ctx *x, const struct event *ev);
/*
 * True where the key is known to be taken and the request has been dealt
 * with: nothing but the first one's outcome may be said of it.
 */
bool key_handle_duplicate(const struct path_ctx *x, struct path_request *r);
/*
 * A new request: false where it may be queued; true where it waits for its
 * claim (then path_claim_won() goes on) or has been dealt with (a repeat, or
 * refused) and may be gone.
 */
bool key_admit(const struct path_ctx *x, struct path_request *r);
/* The request ends so: settles its claim and tells the repeats. */
void key_settle(const struct path_ctx *x, struct path_request *r,
    const struct path_result *end);
/* Takes in FRAME_CLAIM_ASK and FRAME_CLAIM_ANSWER. */
void key_frame(const struct path_ctx *x, const struct frame *f);
/* The request no longer waits for another daemon's word. */
void key_cancel_query(const struct path_ctx *x, struct path_request *r);

#endif
