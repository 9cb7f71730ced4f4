/*
 * What a daemon knows of its own reach: the store, and owners of pools.
 * Decides whether callers should come here.  No I/O and no clock.
 */
#ifndef REACHABILITY_H
#define REACHABILITY_H

#include <stdbool.h>
#include <stdint.h>

#include "circuit_breaker.h"

enum reachability_outcome {
	REACHABILITY_SERVED, /* an owner answered */
	REACHABILITY_REFUSED, /* so it did, and may be cut off itself */
	REACHABILITY_UNSERVED /* no owner was found */
};

struct reachability_stats {
	double recent_served; /* requests that an owner answered, of late … */
	double recent_unserved; /* … and those that found none */
	int64_t updated_us; /* when both were brought up to date */
	int64_t last_served_us; /* newest; 0 never */
	int64_t last_failed_us; /* newest of the others */
};

/* Zeroed: nothing is known yet. */
struct reachability {
	struct reachability_stats stats[BREAKER_CLASSES];
	bool cut_off; /* cut off, as the last look found */
};

void reachability_record(struct reachability *r, int64_t now_us,
    enum breaker_class kind, enum reachability_outcome outcome);
/*
 * Most requests of a kind found no owner of late.  An owner that is cut off
 * too still answers for jobs that it knows, and takes none.
 */
bool reachability_owners_lost(const struct reachability *r, int64_t now_us);
/* Callers are served better here than elsewhere. */
bool reachability_ready(
    struct reachability *r, int64_t now_us, int64_t store_heard_us);

#endif
