#include "join_pace.h"

#include "bounds.h"

#define JOIN_EVERY_MS 500 /* a quarter of the time that members are kept */

int64_t
join_pace_sent(struct join_pace *p)
{
	return repeat_timer_wait(&p->timer, ++p->tries);
}

int64_t
join_pace_answered(struct join_pace *p, int64_t took_us, bool changed)
{
	repeat_timer_answered(&p->timer, took_us);
	p->tries = 0;
	return changed ? US_PER_MS : JOIN_EVERY_MS * US_PER_MS;
}
