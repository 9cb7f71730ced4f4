#include "reachability.h"

#include <math.h>

#include "bounds.h"

#define DECAY_MS 1000 /* over which requests are counted */
#define RECENT_COUNT_MIN 2.0 /* one request says little */
/* Two joins of the group without an answer: the store is out of reach. */
#define STORE_SILENT_MS 1200
/* Silence of the store after which even owners have given their pools up. */
#define STORE_OUTAGE_MS 3000

static double
decay_factor(const struct reachability_stats *s, int64_t now_us)
{
	double ms = (double)(now_us - s->updated_us) / (double)US_PER_MS;

	return s->updated_us > 0 ? exp(-ms / DECAY_MS) : 0;
}

void
reachability_record(struct reachability *r, int64_t now_us,
    enum breaker_class kind, enum reachability_outcome outcome)
{
	struct reachability_stats *s = &r->stats[kind];
	double k = decay_factor(s, now_us);

	s->recent_served =
	    s->recent_served * k + (outcome == REACHABILITY_SERVED);
	s->recent_unserved =
	    s->recent_unserved * k + (outcome == REACHABILITY_UNSERVED);
	s->updated_us = now_us;
	if (outcome == REACHABILITY_SERVED)
		s->last_served_us = now_us;
	else
		s->last_failed_us = now_us;
}

bool
reachability_owners_lost(const struct reachability *r, int64_t now_us)
{
	const struct reachability_stats *s;

	for (s = r->stats; s < r->stats + BREAKER_CLASSES; s++) {
		if (s->recent_unserved * decay_factor(s, now_us) >=
			RECENT_COUNT_MIN &&
		    s->recent_unserved > s->recent_served)
			return true;
	}
	return false;
}

/*
 * Hand-ins were in vain since the store was heard, and none was served lately.
 * A single one that is served afterwards may be of a job that is known.
 */
static bool
update_cut_off(struct reachability *r, int64_t now_us, int64_t store_heard_us)
{
	const struct reachability_stats *s = &r->stats[BREAKER_SUBMIT];

	if (now_us - s->last_served_us >= STORE_SILENT_MS * US_PER_MS)
		r->cut_off = r->cut_off || s->last_failed_us > store_heard_us;
	else if (s->recent_served * decay_factor(s, now_us) >= RECENT_COUNT_MIN)
		r->cut_off = false;
	return r->cut_off;
}

static int64_t
last_served_any_us(const struct reachability *r)
{
	int64_t hand_in_us = r->stats[BREAKER_SUBMIT].last_served_us;
	int64_t about_us = r->stats[BREAKER_CONTROL].last_served_us;

	return hand_in_us > about_us ? hand_in_us : about_us;
}

bool
reachability_ready(
    struct reachability *r, int64_t now_us, int64_t store_heard_us)
{
	int64_t silent_us = now_us - store_heard_us;

	if (silent_us < STORE_SILENT_MS * US_PER_MS) {
		r->cut_off = false;
		return true;
	}
	/* a zone that is cut off: callers do better with daemons elsewhere */
	if (update_cut_off(r, now_us, store_heard_us) ||
	    reachability_owners_lost(r, now_us))
		return false;
	/* the store turns away this daemon only: owners answer for it */
	if (now_us - last_served_any_us(r) < STORE_SILENT_MS * US_PER_MS)
		return true;
	return silent_us < STORE_OUTAGE_MS * US_PER_MS;
}
