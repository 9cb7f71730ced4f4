#include "reach.h"

#include <math.h>

#include "bounds.h"

#define RECENT_MS 1000 /* over which requests are counted */
#define COUNT_MIN 2.0 /* one request says little */
/* Two joins of the group without an answer: the store is out of reach. */
#define STORE_SHORT_MS 1200
/* Silence of the store after which even owners have given their pools up. */
#define STORE_LONG_MS 3000

static double
kept(const struct reach *r, int64_t now_us)
{
	double ms = (double)(now_us - r->counted_us) / (double)US_PER_MS;

	return r->counted_us > 0 ? exp(-ms / RECENT_MS) : 0;
}

void
reach_note(struct reach *r, int64_t now_us, bool served)
{
	double k = kept(r, now_us);

	r->served = r->served * k + served;
	r->unserved = r->unserved * k + !served;
	r->counted_us = now_us;
	if (served)
		r->served_us = now_us;
}

bool
reach_lost(const struct reach *r, int64_t now_us)
{
	double k = kept(r, now_us);

	return r->unserved * k >= COUNT_MIN && r->unserved > r->served;
}

bool
reach_ready(const struct reach *r, int64_t now_us, int64_t store_heard_us)
{
	int64_t silent_us = now_us - store_heard_us;

	if (silent_us < STORE_SHORT_MS * US_PER_MS)
		return true;
	/* a zone that is cut off: callers do better with daemons elsewhere */
	if (reach_lost(r, now_us))
		return false;
	/* the store turns away this daemon only: owners answer for it */
	if (r->served_us != 0 &&
	    now_us - r->served_us < STORE_SHORT_MS * US_PER_MS)
		return true;
	return silent_us < STORE_LONG_MS * US_PER_MS;
}
