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
	/*
	 * The term is ours and every record before it was read.  Called once.
	 * "next_seq" is the number of the term's next append.
	 */
	void (*on_claimed)(void *arg, int64_t epoch, int64_t next_seq);
	void *arg;
};

struct topic_claim *topic_claim_new(const struct topic_claim_opts *opts);
/* Accepts NULL; may be called from on_claimed. */
void topic_claim_free(struct topic_claim *t);

#endif
