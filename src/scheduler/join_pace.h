/*
 * When a member of the group sends its joins.  Answers a store that was away:
 * members that are back one by one have the pools dealt over and over; and
 * pools on the move: one member's join lets go of a pool, another's is dealt
 * it.  No I/O and no clock.
 */
#ifndef JOIN_PACE_H
#define JOIN_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "repeat_timer.h"

/* Zeroed: none was sent yet. */
struct join_pace {
	struct repeat_timer timer;
	int attempts; /* since the newest answer */
	int fast_joins_left; /* joins to come while the group is in motion */
};

/* One was sent; how long to wait for an answer until the next, in us. */
int64_t join_pace_sent(struct join_pace *p);
/*
 * One was answered so long after it was sent; how long until the next, in us.
 * "changed": with another generation, which is to be acknowledged.
 */
int64_t join_pace_answered(struct join_pace *p, int64_t took_us, bool changed);

#endif
