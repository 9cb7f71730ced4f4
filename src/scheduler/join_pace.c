#include "join_pace.h"

#include "bounds.h"

#define JOIN_EVERY_MS 500 /* a quarter of the time that members are kept */
#define JOIN_SOON_MS 100 /* after a change; ten answers of the store */
#define JOINS_SOON 10 /* two of the usual pauses: every member has joined */

int64_t
join_pace_sent(struct join_pace *p)
{
	return repeat_timer_timeout_us(&p->timer, ++p->tries);
}

int64_t
join_pace_answered(struct join_pace *p, int64_t took_us, bool changed)
{
	repeat_timer_add_sample(&p->timer, took_us);
	p->tries = 0;
	if (changed) {
		p->soon = JOINS_SOON;
		return US_PER_MS;
	}
	if (p->soon == 0)
		return JOIN_EVERY_MS * US_PER_MS;
	p->soon--;
	return JOIN_SOON_MS * US_PER_MS;
}
