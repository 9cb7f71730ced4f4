/*
 * Claims a topic for a new term: reads the newest record of each key, follows
 * the topic to its end, and appends a record of the term on the condition that
 * the topic still ends there.  Cold starts, crashes, rebalancing and suspended
 * owners all take this one path.
 */
#ifndef TOPIC_CLAIM_H
#define TOPIC_CLAIM_H

#include "scheduler.h"

struct topic_claim;

struct topic_claim_opts {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	/*
	 * Called for each record read, except those of terms.  Records of a key
	 * may arrive out of order and more than once; the one with the highest
	 * offset is the newest.
	 */
	void (*on_record)(void *arg, const struct store_record *r);
	/*
	 * Called once, when the term is claimed and every record before it has
	 * been read.  "next_seq" is the number of the term's next append.
	 */
	void (*on_claimed)(void *arg, int64_t epoch, int64_t next_seq);
	void *arg;
};

/* Retries until it succeeds or is freed.  NULL when memory is short. */
struct topic_claim *topic_claim_new(const struct topic_claim_opts *opts);
/* Accepts NULL; may be called from on_claimed. */
void topic_claim_free(struct topic_claim *t);

#endif
