/*
 * Claims a topic for a new term: reads the newest record of each key, follows
 * the topic to its end, and writes the term there under the condition that it
 * still ends there.  The same way after a cold start, a kill, a rebalance or
 * a freeze.
 */
#ifndef TOPIC_CLAIM_H
#define TOPIC_CLAIM_H

#include "scheduler.h"

struct topic_claim;

struct topic_claim_opts {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	/*
	 * A record of any key but the term's.  Records of a key may come out
	 * of order and more than once; the highest offset is the newest.
	 */
	void (*on_record)(void *arg, const struct store_record *r);
	/* The term is ours and every record before it was read.  Called once.
	 */
	void (*on_claimed)(void *arg, int64_t epoch, int64_t end);
	void *arg;
};

struct topic_claim *topic_claim_new(const struct topic_claim_opts *opts);
/* Accepts NULL; may be called from on_claimed. */
void topic_claim_free(struct topic_claim *t);
/* Number of a claim's own append; the next one of the term is 1. */
#define TOPIC_CLAIM_SEQ 0

#endif
