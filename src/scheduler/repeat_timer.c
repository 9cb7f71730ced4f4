#include "repeat_timer.h"

#include "bounds.h"

/* As TCP's: a newest answer's weight, and the answer times to wait. */
#define SMOOTHING_DIVISOR 4 /* one part in so many */
#define TIMEOUT_LATENCIES 4
/* Some ten appends of the store: others may be in turn before ours. */
#define TIMEOUT_MIN_MS 50
#define BACKOFF_MAX 4 /* times the first wait, at most */
#define TIMEOUT_MAX_MS 1500 /* an append's own time-out */

void
repeat_timer_add_sample(struct repeat_timer *t, int64_t took_us)
{
	if (took_us < 1)
		took_us = 1;
	if (t->smoothed_latency_us == 0)
		t->smoothed_latency_us = took_us;
	else
		t->smoothed_latency_us +=
		    (took_us - t->smoothed_latency_us) / SMOOTHING_DIVISOR;
}

int64_t
repeat_timer_timeout_us(const struct repeat_timer *t, int tries)
{
	int64_t us = t->smoothed_latency_us * TIMEOUT_LATENCIES;

	if (us < TIMEOUT_MIN_MS * US_PER_MS)
		us = TIMEOUT_MIN_MS * US_PER_MS;
	us *= tries < BACKOFF_MAX ? tries : BACKOFF_MAX;
	return us < TIMEOUT_MAX_MS * US_PER_MS ? us
					       : TIMEOUT_MAX_MS * US_PER_MS;
}
