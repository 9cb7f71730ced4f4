/*
 * What the answers of the store show of one topic's appends: whether the store
 * is slow, how many appends to keep in flight, and how long to wait for an
 * answer.  No I/O and no clock.
 */
#ifndef APPEND_PACE_H
#define APPEND_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* The round trip takes three times as long as the store's own append. */
#define APPENDS_IN_FLIGHT_MAX 3

/* Valid when zeroed: nothing has been measured yet. */
struct append_pace {
	int64_t base_us; /* shortest latency, at most BASE_MAX_MS; 0: unknown */
	int64_t append_us; /* the store's time per append, smoothed; while slow
			    */
	bool slow;
	int64_t heard_us; /* latest answer */
	int64_t stored_us; /* latest answer of an append that is stored */
	int64_t quick_sent_us; /* latest sending that had a quick answer */
	int64_t lost_us; /* when an answer was last lost; 0: never */
	/* appends whose answer a later one's has overtaken */
	int overtaken_count;
	int64_t overtaken_since_us; /* start of the count */
};

/* A final answer to an attempt of an append. */
struct append_answer {
	int64_t now_us;
	int64_t sent_us; /* of the attempt that was answered */
	bool retransmitted; /* an earlier attempt is still unanswered */
	/* how much of the latency may be this daemon's own delay */
	int64_t loop_lag_us;
	bool stored; /* false: refused, which takes the store no append time */
};

enum append_pace_change {
	APPEND_PACE_UNCHANGED,
	APPEND_PACE_SLOW,
	APPEND_PACE_NORMAL
};

/* An append whose newest attempt is unanswered. */
struct append_wait {
	int64_t first_sent_us; /* first attempt */
	int64_t sent_us; /* newest attempt */
	int64_t timeout_us; /* repeat_timer_timeout_us() of that attempt */
	bool oldest; /* no earlier append of the topic is unconfirmed */
};

enum append_pace_change append_pace_add_answer(
    struct append_pace *p, const struct append_answer *a);
/* An append was answered while an earlier one of the topic had no answer. */
void append_pace_add_overtaken(struct append_pace *p, int64_t now_us);
/* Number of appends to keep in flight. */
int append_pace_depth(const struct append_pace *p);
/* Time from sending an append until its answer; 0 unless slow. */
int64_t append_pace_latency_us(const struct append_pace *p);
/* How long to wait for an answer before it counts as missing; 0 unless slow. */
int64_t append_pace_timeout_us(const struct append_pace *p);
/*
 * When to retransmit the append, or to ask again.  Retransmit if the result is
 * not after "now_us".
 */
int64_t append_pace_retransmit_us(
    const struct append_pace *p, const struct append_wait *w, int64_t now_us);

#endif
