/*
 * Retransmission timeout of an idempotent call, adapted to the latency of its
 * answers.  No I/O and no clock.
 */
#ifndef REPEAT_TIMER_H
#define REPEAT_TIMER_H

#include <stdint.h>

/* Valid when zeroed. */
struct repeat_timer {
	int64_t smoothed_latency_us; /* from sending to answer; 0: unknown */
};

/* Adds the latency of an attempt that was answered. */
void repeat_timer_add_sample(struct repeat_timer *t, int64_t latency_us);
/* How long to wait for an answer after attempt number "attempts", from 1. */
int64_t repeat_timer_timeout_us(const struct repeat_timer *t, int attempts);

#endif
