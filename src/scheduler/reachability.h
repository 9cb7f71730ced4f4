/*
 * Whether this daemon can reach the store and the owners of pools, and hence
 * whether the load balancer should send callers to it.  No I/O and no clock.
 */
#ifndef REACHABILITY_H
#define REACHABILITY_H

#include <stdbool.h>
#include <stdint.h>

#include "circuit_breaker.h"

enum reachability_outcome {
	REACHABILITY_SERVED, /* an owner processed the request */
	REACHABILITY_REFUSED, /* the owner refused: it may be cut off itself */
	REACHABILITY_UNSERVED /* no owner answered */
};

/* Counts of recent requests decay exponentially. */
struct reachability_stats {
	double recent_served; /* as of updated_us */
	double recent_unserved; /* as of updated_us */
	int64_t updated_us;
	int64_t last_served_us; /* 0: never */
	int64_t last_failed_us; /* last refused or unserved request; 0: never */
};

/* Valid when zeroed. */
struct reachability {
	struct reachability_stats stats[BREAKER_CLASSES];
	bool cut_off; /* result of the last reachability_ready() */
};

void reachability_record(struct reachability *r, int64_t now_us,
    enum breaker_class request_class, enum reachability_outcome outcome);
/*
 * Most recent requests of some class found no owner.  Classes are separate
 * because an owner that is cut off as well still answers for jobs that it
 * knows, but accepts none.
 */
bool reachability_owners_lost(const struct reachability *r, int64_t now_us);
/*
 * True if callers are served at least as well here as by other daemons.
 * "store_answer_us" is the time of the last store answer.
 */
bool reachability_ready(
    struct reachability *r, int64_t now_us, int64_t store_answer_us);

#endif
