/*
 * Claims of idempotency keys.  The claims stream of the log decides: the
 * first claim of a key in the order of the log wins on every daemon, whichever
 * daemon met the repeat.  This module folds the stream, batches this daemon's
 * own claims and releases, and tells who holds a key.  Keys expire by the
 * log's own time, which no single author's clock can push ahead.
 */
#ifndef PATH_CLAIM_H
#define PATH_CLAIM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "effect.h"
#include "event.h"
#include "view.h"

#define CLAIMS_MAX 400000 /* keys remembered; more are refused */

/* A service's and member's key, hashed. */
struct claim_hash {
	uint64_t high, low;
};

/* Who holds a key by the log. */
struct claim_holder {
	struct claim_hash hash;
	uint64_t process, incarnation;
	uint64_t claim_number; /* of the holder's claim */
	int64_t expires_ms; /* log time */
	TAILQ_ENTRY(claim_holder) link;
	UT_hash_handle hh;
};
TAILQ_HEAD(claim_holder_list, claim_holder);

enum claim_op {
	CLAIM_ACQUIRE = 0,
	CLAIM_RELEASE = 1 /* the request was not sent after all */
};

struct claim_change {
	enum claim_op op;
	struct claim_hash hash;
	uint64_t claim_number;
	int64_t ttl_s;
};

struct claim_author {
	uint64_t process;
	int64_t latest_ms; /* latest of its records */
	uint64_t incarnation;
	uint64_t last_seq; /* highest of that incarnation's records */
};

#define CLAIM_AUTHORS_MAX 32

struct claims {
	struct claim_holder *holders;
	struct claim_holder_list sweep_list;
	struct claim_author authors[CLAIM_AUTHORS_MAX];
	unsigned author_count;
	int64_t log_time_ms; /* second-highest author's clock; never falls */
	int64_t history_start_ms; /* log time where our knowledge begins */
	bool history_truncated; /* records before that were never seen */
	bool has_read;
	uint64_t next_offset; /* offset */
	bool read_pending, read_failed;
	int64_t next_read_us; /* not before, after a failure */
	struct claim_change *pending; /* waits for the append before it */
	size_t pending_count, pending_cap;
	int64_t last_append_us; /* last append */
	uint64_t last_claim_number;
	uint64_t won_count, lost_count, released_count, malformed_count;
};

void claims_init(struct claims *c);
void claims_uninit(struct claims *c);
struct claim_hash claim_hash(
    const char *service, const char *member, const char *key);

/* Tells of a change of this incarnation that was read back. */
typedef void (*claim_result_fn)(
    void *arg, uint64_t number, enum claim_op op, bool won);
/* Handles EVENT_LOG_BATCH, _GAP and _ERROR of the claims stream, and ticks. */
void claims_step(struct claims *c, const struct view *v, const struct event *ev,
    claim_result_fn result, void *arg, struct effects *fx);
/* NULL where nobody holds the key. */
const struct claim_holder *claims_holder(
    const struct claims *c, struct claim_hash hash);
/* False where keys of this age can't be judged, or too many are kept. */
bool claims_available(const struct claims *c, int64_t ttl_s);
/* Queues a claim; returns its number.  Queues a release of that number. */
uint64_t claims_acquire(
    struct claims *c, struct claim_hash hash, int64_t ttl_s);
void claims_release(struct claims *c, struct claim_hash hash, uint64_t number);
/* Hands the batch to the appender when nothing is in flight. */
void claims_flush(struct claims *c, const struct view *v);

#endif
