#include "repeat_timer.h"

#include "bounds.h"

/*
 * Like TCP's retransmission timeout: a new sample has a weight of
 * 1/SMOOTHING_DIVISOR, and the time-out is a multiple of the smoothed latency.
 */
#define SMOOTHING_DIVISOR 4
#define TIMEOUT_LATENCIES 4
/* The store's time for about ten appends: others may be queued before ours. */
#define TIMEOUT_MIN_MS 50
#define BACKOFF_MAX 4 /* multiple of the first time-out */
#define TIMEOUT_MAX_MS 1500 /* the time-out of one append attempt */

void
repeat_timer_add_sample(struct repeat_timer *t, int64_t latency_us)
{
	if (latency_us < 1)
		latency_us = 1;
	if (t->smoothed_latency_us == 0)
		t->smoothed_latency_us = latency_us;
	else
		t->smoothed_latency_us +=
		    (latency_us - t->smoothed_latency_us) / SMOOTHING_DIVISOR;
}

int64_t
repeat_timer_timeout_us(const struct repeat_timer *t, int attempts)
{
	int64_t us = t->smoothed_latency_us * TIMEOUT_LATENCIES;

	if (us < TIMEOUT_MIN_MS * US_PER_MS)
		us = TIMEOUT_MIN_MS * US_PER_MS;
	us *= attempts < BACKOFF_MAX ? attempts : BACKOFF_MAX;
	return us < TIMEOUT_MAX_MS * US_PER_MS ? us
					       : TIMEOUT_MAX_MS * US_PER_MS;
}
