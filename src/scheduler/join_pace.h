/*
 * When a member of the group sends its next join.  Two cases need more than a
 * fixed interval.  After an outage of the store, members that return one by
 * one would cause pools to be reassigned again and again, so joins without an
 * answer are sent again early.  And while pools change owners, one member's
 * join releases a pool and only a later join of another member receives it, so
 * joins follow each other quickly.  No I/O and no clock.
 */
#ifndef JOIN_PACE_H
#define JOIN_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "repeat_timer.h"

/* Zeroed before the first join. */
struct join_pace {
	struct repeat_timer timer;
	int attempts; /* joins sent since the last answer */
	int fast_joins_left; /* joins still to be sent at the short interval */
};

/* Records a join that was sent; returns the time to the next one, in us. */
int64_t join_pace_sent(struct join_pace *p);
/*
 * Records an answer that came "took_us" after its join was sent; returns the
 * time to the next join, in us.  "changed" is set where the answer names
 * another generation of the group, which the next join acknowledges.
 */
int64_t join_pace_answered(struct join_pace *p, int64_t took_us, bool changed);

#endif
