#include "join_pace.h"

#include "bounds.h"

#define JOIN_INTERVAL_MS 500 /* a quarter of a member's TTL */
/* After a new generation; ten times the store's usual answer time. */
#define JOIN_FAST_INTERVAL_MS 100
/* Lasts for two usual intervals, in which every member has joined. */
#define FAST_JOIN_COUNT 10

int64_t
join_pace_sent(struct join_pace *p)
{
	return repeat_timer_timeout_us(&p->timer, ++p->attempts);
}

int64_t
join_pace_answered(struct join_pace *p, int64_t took_us, bool changed)
{
	repeat_timer_add_sample(&p->timer, took_us);
	p->attempts = 0;
	if (changed) {
		p->fast_joins_left = FAST_JOIN_COUNT;
		return US_PER_MS;
	}
	if (p->fast_joins_left == 0)
		return JOIN_INTERVAL_MS * US_PER_MS;
	p->fast_joins_left--;
	return JOIN_FAST_INTERVAL_MS * US_PER_MS;
}
