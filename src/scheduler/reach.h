/*
 * What a daemon knows of its own reach: the store, and owners of pools.
 * Decides whether callers should come here.  No I/O and no clock.
 */
#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Zeroed: nothing is known yet. */
struct reach {
	double served; /* requests that an owner answered, of late … */
	double unserved; /* … and those that found none */
	int64_t counted_us; /* when both were brought up to date */
	int64_t served_us; /* newest answer of an owner; 0 never */
};

/* A request has ended: an owner answered it, or none was found. */
void reach_note(struct reach *r, int64_t now_us, bool served);
/* Most requests of late found no owner. */
bool reach_lost(const struct reach *r, int64_t now_us);
/* Callers are served better here than elsewhere. */
bool reach_ready(const struct reach *r, int64_t now_us, int64_t store_heard_us);

#endif
