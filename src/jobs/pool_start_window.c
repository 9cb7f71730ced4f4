/*
 * Limit of starts in flight.  A start carries the caller's text of some
 * kilobytes, so that starts fill the link of a small machine, and lease
 * renewals wait behind them.  The limit grows with answers that come soon, and
 * is halved when answers come late or not at all.
 */
#include "pool_state.h"

/*
 * An owner with a quarter of a core sends this many starts and processes their
 * answers well within a command's time-out of 400 ms.
 */
#define WINDOW_MAX 128
/* 72 KB of starts, which a link of 2 Mbit/s sends within 0.3 s. */
#define WINDOW_INITIAL 16
#define WINDOW_MIN 2
/* An answer that takes longer has waited in a queue. */
#define ANSWER_SLOW_MS 200
/* The answers that are already late are due to one full queue. */
#define CUT_INTERVAL_MS 400

void
start_window_init(struct pool *p)
{
	p->start_window = WINDOW_INITIAL;
}

static void
cut_window(struct pool *p, int64_t took_ms)
{
	if (p->now_us - p->start_window_cut_us < CUT_INTERVAL_MS * US_PER_MS)
		return;
	p->start_window_cut_us = p->now_us;
	p->start_window /= 2;
	if (p->start_window < WINDOW_MIN)
		p->start_window = WINDOW_MIN;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"starts are answered late: sends fewer at a time\" "
	    "most=%zu in_flight=%zu took_ms=%lld lag_ms=%lld",
	    p->start_window, p->starts_in_flight, (long long)took_ms,
	    (long long)(p->loop_lag_us / US_PER_MS));
}

void
start_window_answered(struct pool *p, int64_t sent_us)
{
	int64_t took_ms = (p->now_us - sent_us) / US_PER_MS;

	if (took_ms > ANSWER_SLOW_MS)
		cut_window(p, took_ms);
	else if (p->start_window < WINDOW_MAX)
		p->start_window++;
}

void
start_window_unanswered(struct pool *p)
{
	cut_window(p, -1);
}

bool
start_window_has_room(const struct pool *p, size_t count)
{
	return p->starts_in_flight + count <= p->start_window;
}
