#include "append_pace.h"

#include "bounds.h"

/* Ten times the store's usual time for an append. */
#define SLOW_APPEND_MS 50
/*
 * Longest round trip that is put down to the network.  A writer that starts
 * while the store is slow has seen no quick answer.
 */
#define BASE_MAX_MS 50
#define SMOOTHING_DIVISOR 4 /* weight of a new sample, as in repeat_timer.c */
#define PATIENCE_LATENCIES 4 /* as in repeat_timer.c */
#define PATIENCE_MAX_MS 1500 /* the timeout of one append attempt */
#define RECHECK_MS 10 /* of a retransmission that is held back */
/* The first answer of a store that takes 0.24 s for an append, and a margin. */
#define HOLD_MAX_MS 300
/* Longer than the longest gap between two lost answers, a third being lost. */
#define LOSS_MEMORY_MS 10000

/* In a loop that runs late, single answers overtake others, too. */
#define OVERTAKEN_MIN 3
#define OVERTAKEN_WITHIN_MS 1000

/* Time that the store took for the append. */
static int64_t
append_time_us(const struct append_pace *p, const struct append_answer *a)
{
	/* it was queued behind the append that was answered before */
	if (a->sent_us < p->stored_us)
		return a->now_us - p->stored_us;
	return a->now_us - a->sent_us - p->base_us;
}

static void
update_base(struct append_pace *p, int64_t latency_us)
{
	if (latency_us > BASE_MAX_MS * US_PER_MS)
		latency_us = BASE_MAX_MS * US_PER_MS;
	if (p->base_us == 0 || latency_us < p->base_us)
		p->base_us = latency_us;
}

static enum append_pace_change
set_slow(struct append_pace *p, bool slow)
{
	if (slow == p->slow)
		return APPEND_PACE_UNCHANGED;
	p->slow = slow;
	return slow ? APPEND_PACE_SLOW : APPEND_PACE_NORMAL;
}

static enum append_pace_change
add_stored(struct append_pace *p, const struct append_answer *a, bool quick)
{
	int64_t us = append_time_us(p, a) - a->loop_lag_us;

	p->stored_us = a->now_us;
	if (quick)
		return set_slow(p, false);
	/* appends sent later were answered sooner: this one was held up */
	if (p->quick_sent_us > a->sent_us)
		return APPEND_PACE_UNCHANGED;
	if (us < 0)
		us = 0;
	if (!p->slow && us < SLOW_APPEND_MS * US_PER_MS)
		return APPEND_PACE_UNCHANGED;
	if (p->slow)
		p->append_us += (us - p->append_us) / SMOOTHING_DIVISOR;
	else
		p->append_us = us;
	return set_slow(p, true);
}

enum append_pace_change
append_pace_add_answer(struct append_pace *p, const struct append_answer *a)
{
	int64_t latency_us = a->now_us - a->sent_us;
	bool quick;

	update_base(p, latency_us);
	quick = latency_us < p->base_us + SLOW_APPEND_MS * US_PER_MS;
	if (quick && a->sent_us > p->quick_sent_us)
		p->quick_sent_us = a->sent_us;
	if (quick && a->retransmitted)
		p->lost_us = a->now_us;
	p->heard_us = a->now_us;
	return a->stored ? add_stored(p, a, quick) : APPEND_PACE_UNCHANGED;
}

void
append_pace_add_overtaken(struct append_pace *p, int64_t now_us)
{
	if (now_us - p->overtaken_since_us > OVERTAKEN_WITHIN_MS * US_PER_MS) {
		p->overtaken_since_us = now_us;
		p->overtaken_count = 0;
	}
	if (++p->overtaken_count >= OVERTAKEN_MIN)
		p->lost_us = now_us;
}

int
append_pace_depth(const struct append_pace *p)
{
	int64_t n;

	if (!p->slow || p->append_us <= 0)
		return APPENDS_IN_FLIGHT_MAX;
	/* rounded: round trip of an append that is not queued / its time */
	n = (p->base_us + p->append_us + p->append_us / 2) / p->append_us;
	return n < APPENDS_IN_FLIGHT_MAX ? (int)n : APPENDS_IN_FLIGHT_MAX;
}

int64_t
append_pace_latency_us(const struct append_pace *p)
{
	return p->slow ? p->base_us + p->append_us : 0;
}

int64_t
append_pace_timeout_us(const struct append_pace *p)
{
	int64_t us = append_pace_latency_us(p) * PATIENCE_LATENCIES;

	return us < PATIENCE_MAX_MS * US_PER_MS ? us
						: PATIENCE_MAX_MS * US_PER_MS;
}

/*
 * Whether nothing tells a slow store from lost answers yet.  The store answers
 * the appends of a topic in order, so one copy of the oldest is enough.
 */
static bool
is_held_back(
    const struct append_pace *p, const struct append_wait *w, int64_t now_us)
{
	bool loses_answers =
	    p->lost_us != 0 && now_us - p->lost_us < LOSS_MEMORY_MS * US_PER_MS;

	bool retransmitted = w->sent_us > w->first_sent_us;

	return (!w->oldest || retransmitted) && !loses_answers &&
	    p->heard_us < w->first_sent_us &&
	    now_us - w->first_sent_us < HOLD_MAX_MS * US_PER_MS;
}

int64_t
append_pace_retransmit_us(
    const struct append_pace *p, const struct append_wait *w, int64_t now_us)
{
	int64_t timeout_us = append_pace_timeout_us(p), due_us;

	if (timeout_us < w->timeout_us)
		timeout_us = w->timeout_us;
	due_us = w->sent_us + timeout_us;
	if (due_us <= now_us && is_held_back(p, w, now_us))
		return now_us + RECHECK_MS * US_PER_MS;
	return due_us;
}
