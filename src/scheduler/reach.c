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
kept(const struct reach_share *s, int64_t now_us)
{
	double ms = (double)(now_us - s->counted_us) / (double)US_PER_MS;

	return s->counted_us > 0 ? exp(-ms / RECENT_MS) : 0;
}

void
reach_note(struct reach *r, int64_t now_us, enum gate_kind kind,
    enum reach_outcome outcome)
{
	struct reach_share *s = &r->shares[kind];
	double k = kept(s, now_us);

	s->served = s->served * k + (outcome == REACH_SERVED);
	s->unserved = s->unserved * k + (outcome == REACH_UNSERVED);
	s->counted_us = now_us;
	if (outcome == REACH_SERVED)
		s->served_us = now_us;
	else
		s->in_vain_us = now_us;
}

bool
reach_lost(const struct reach *r, int64_t now_us)
{
	const struct reach_share *s;

	for (s = r->shares; s < r->shares + GATE_KINDS; s++) {
		if (s->unserved * kept(s, now_us) >= COUNT_MIN &&
		    s->unserved > s->served)
			return true;
	}
	return false;
}

/*
 * Hand-ins were in vain since the store was heard, and none was served lately.
 * A single one that is served afterwards may be of a job that is known.
 */
static bool
hand_ins_away(struct reach *r, int64_t now_us, int64_t store_heard_us)
{
	const struct reach_share *s = &r->shares[GATE_HAND_IN];

	if (now_us - s->served_us >= STORE_SHORT_MS * US_PER_MS)
		r->away = r->away || s->in_vain_us > store_heard_us;
	else if (s->served * kept(s, now_us) >= COUNT_MIN)
		r->away = false;
	return r->away;
}

static int64_t
served_us(const struct reach *r)
{
	int64_t hand_in_us = r->shares[GATE_HAND_IN].served_us;
	int64_t about_us = r->shares[GATE_ABOUT_JOB].served_us;

	return hand_in_us > about_us ? hand_in_us : about_us;
}

bool
reach_ready(struct reach *r, int64_t now_us, int64_t store_heard_us)
{
	int64_t silent_us = now_us - store_heard_us;

	if (silent_us < STORE_SHORT_MS * US_PER_MS) {
		r->away = false;
		return true;
	}
	/* a zone that is cut off: callers do better with daemons elsewhere */
	if (hand_ins_away(r, now_us, store_heard_us) || reach_lost(r, now_us))
		return false;
	/* the store turns away this daemon only: owners answer for it */
	if (now_us - served_us(r) < STORE_SHORT_MS * US_PER_MS)
		return true;
	return silent_us < STORE_LONG_MS * US_PER_MS;
}
