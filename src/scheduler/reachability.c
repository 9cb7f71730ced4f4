#include "reachability.h"

#include <math.h>

#include "bounds.h"

#define DECAY_MS 1000 /* time constant of the request counts */
#define RECENT_COUNT_MIN 2.0 /* a single request is not conclusive */
/* Two group joins without an answer: the store is unreachable. */
#define STORE_SILENT_MS 1200
/* After this long without the store even owners have released their pools. */
#define STORE_OUTAGE_MS 3000

static double
decay_factor(const struct reachability_stats *s, int64_t now_us)
{
	double ms = (double)(now_us - s->updated_us) / (double)US_PER_MS;

	return s->updated_us > 0 ? exp(-ms / DECAY_MS) : 0;
}

void
reachability_record(struct reachability *r, int64_t now_us,
    enum breaker_class request_class, enum reachability_outcome outcome)
{
	struct reachability_stats *s = &r->stats[request_class];
	double decay = decay_factor(s, now_us);

	s->recent_served =
	    s->recent_served * decay + (outcome == REACHABILITY_SERVED);
	s->recent_unserved =
	    s->recent_unserved * decay + (outcome == REACHABILITY_UNSERVED);
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
 * Cut off: submissions have failed since the last store answer and none was
 * served lately.  Ends with several served submissions; a single one may be a
 * retry of a submission that the owner knows already.
 */
static bool
update_cut_off(struct reachability *r, int64_t now_us, int64_t store_answer_us)
{
	const struct reachability_stats *s = &r->stats[BREAKER_SUBMIT];

	if (now_us - s->last_served_us >= STORE_SILENT_MS * US_PER_MS)
		r->cut_off = r->cut_off || s->last_failed_us > store_answer_us;
	else if (s->recent_served * decay_factor(s, now_us) >= RECENT_COUNT_MIN)
		r->cut_off = false;
	return r->cut_off;
}

static int64_t
last_served_any_us(const struct reachability *r)
{
	int64_t submit_us = r->stats[BREAKER_SUBMIT].last_served_us;
	int64_t control_us = r->stats[BREAKER_CONTROL].last_served_us;

	return submit_us > control_us ? submit_us : control_us;
}

bool
reachability_ready(
    struct reachability *r, int64_t now_us, int64_t store_answer_us)
{
	int64_t store_silent_us = now_us - store_answer_us;

	if (store_silent_us < STORE_SILENT_MS * US_PER_MS) {
		r->cut_off = false;
		return true;
	}
	/* this zone is cut off: daemons in other zones serve callers better */
	if (update_cut_off(r, now_us, store_answer_us) ||
	    reachability_owners_lost(r, now_us))
		return false;
	/* only this daemon is cut off from the store: owners still answer */
	if (now_us - last_served_any_us(r) < STORE_SILENT_MS * US_PER_MS)
		return true;
	return store_silent_us < STORE_OUTAGE_MS * US_PER_MS;
}
