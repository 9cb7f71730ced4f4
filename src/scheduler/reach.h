/*
 * What a daemon knows of its own reach: the store, and owners of pools.
 * Decides whether callers should come here.  No I/O and no clock.
 */
#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stdint.h>

#include "peer_gate.h"

enum reach_outcome {
	REACH_SERVED, /* an owner answered */
	REACH_REFUSED, /* so it did, and may be cut off itself */
	REACH_UNSERVED /* no owner was found */
};

struct reach_share {
	double served; /* requests that an owner answered, of late … */
	double unserved; /* … and those that found none */
	int64_t counted_us; /* when both were brought up to date */
	int64_t served_us; /* newest; 0 never */
	int64_t in_vain_us; /* newest of the others */
};

/* Zeroed: nothing is known yet. */
struct reach {
	struct reach_share shares[GATE_KINDS];
	bool away; /* cut off, as the last look found */
};

void reach_note(struct reach *r, int64_t now_us, enum gate_kind kind,
    enum reach_outcome outcome);
/*
 * Most requests of a kind found no owner of late.  An owner that is cut off
 * too still answers for jobs that it knows, and takes none.
 */
bool reach_lost(const struct reach *r, int64_t now_us);
/* Callers are served better here than elsewhere. */
bool reach_ready(struct reach *r, int64_t now_us, int64_t store_heard_us);

#endif
