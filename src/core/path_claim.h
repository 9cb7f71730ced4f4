/*
 * Claims of idempotency keys. The claims stream of the log decides: the first
 * claim of a key in log order wins on every daemon, whichever daemon received
 * the duplicate request. This module folds the stream, batches this daemon's
 * own claims and releases, and looks up the holder of a key. Keys expire by log
 * time, which no single author's clock can advance.
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

/* Size of the table; claims are refused while it is full. */
#define CLAIMS_MAX 400000

/* Hash of a service, a member and a key. */
struct claim_hash {
	uint64_t high, low;
};

/* Holder of a key according to the log. */
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
	CLAIM_RELEASE = 1 /* the request was not sent to an upstream */
};

struct claim_change {
	enum claim_op op;
	struct claim_hash hash;
	uint64_t claim_number;
	int64_t ttl_s;
};

struct claim_author {
	uint64_t process;
	int64_t latest_ms; /* latest time of its records */
	uint64_t incarnation;
	uint64_t last_seq; /* highest sequence number of that incarnation */
};

#define CLAIM_AUTHORS_MAX 32

struct claims {
	struct claim_holder *holders;
	struct claim_holder_list sweep_list;
	struct claim_author authors[CLAIM_AUTHORS_MAX];
	unsigned author_count;
	/* second-highest of the authors' latest times; never decreases. */
	int64_t log_time_ms;
	/* Log time at the first record that was read, or at the last gap. */
	int64_t history_start_ms;
	/* Records before history_start_ms were never read. */
	bool history_truncated;
	bool has_read; /* a batch or a gap was read */
	uint64_t next_offset; /* log offset of the next read */
	bool read_pending; /* a read is in flight */
	bool read_failed;
	int64_t next_read_us; /* earliest retry after a failed read */
	/* Changes not yet passed to the appender. */
	struct claim_change *pending;
	size_t pending_count, pending_cap;
	int64_t last_append_us;
	uint64_t last_claim_number;
	uint64_t won_count, lost_count, released_count, malformed_count;
};

void claims_init(struct claims *c);
void claims_uninit(struct claims *c);
struct claim_hash claim_hash(
    const char *service, const char *member, const char *key);

/*
 * Called for each claim or release by this incarnation of the daemon that is
 * read back from the log. "won" tells whether it took effect.
 */
typedef void (*claim_result_fn)(
    void *arg, uint64_t number, enum claim_op op, bool won);
/*
 * Handles EVENT_LOG_BATCH, EVENT_LOG_GAP and EVENT_LOG_ERROR of the claims
 * stream, and EVENT_TICK.
 */
void claims_step(struct claims *c, const struct view *v, const struct event *ev,
    claim_result_fn result, void *arg, struct effects *fx);
/* NULL where the key has no holder. */
const struct claim_holder *claims_holder(
    const struct claims *c, struct claim_hash hash);
/*
 * False where the records read so far do not cover a key's lifetime, or the
 * table is full.
 */
bool claims_available(const struct claims *c, int64_t ttl_s);
/*
 * claims_acquire() queues a claim and returns its number; claims_release()
 * queues the release of the claim with that number.
 */
uint64_t claims_acquire(
    struct claims *c, struct claim_hash hash, int64_t ttl_s);
void claims_release(struct claims *c, struct claim_hash hash, uint64_t number);
/* Passes pending changes to the appender, once the append before has ended. */
void claims_flush(struct claims *c, const struct view *v);

#endif
