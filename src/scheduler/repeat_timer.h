/*
 * When a call that can be repeated is sent once more, learned from how long
 * its answers take.  No I/O and no clock.
 */
#ifndef REPEAT_TIMER_H
#define REPEAT_TIMER_H

#include <stdint.h>

/* Zeroed: nothing is known yet. */
struct repeat_timer {
	int64_t smoothed_latency_us; /* from sending to answer, smoothed; 0
					unknown */
};

/* A try was answered so long after it was sent. */
void repeat_timer_add_sample(struct repeat_timer *t, int64_t took_us);
/* How long to wait for an answer to the newest of so many tries, in us. */
int64_t repeat_timer_timeout_us(const struct repeat_timer *t, int tries);

#endif
