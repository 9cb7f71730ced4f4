/*
 * What one daemon may send to one owner of pools.  Answers the load in which
 * an owner is slow or gone while hundreds of callers a second want it: tries
 * again and again by each of them would keep it down.  No I/O and no clock.
 */
#ifndef CIRCUIT_BREAKER_H
#define CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/* Each has a share of its own, so that hand-ins do not starve the others. */
enum breaker_class {
	BREAKER_SUBMIT,
	BREAKER_CONTROL, /* a look, a cancel, a count */
	BREAKER_CLASSES
};

enum breaker_verdict {
	BREAKER_SEND,
	BREAKER_PROBE, /* send, and say so when it ends: the only one under way
			*/
	BREAKER_DEFER /* nothing may be sent yet */
};

/* Zeroed but for "prng": nothing is known of the owner. */
struct circuit_breaker {
	uint64_t prng; /* seed of the jitter; not 0 */
	int in_flight[BREAKER_CLASSES];
	int consecutive_failures; /* in a row */
	int64_t open_since_us; /* while too many were unanswered */
	bool probe_in_flight;
	int64_t next_probe_us; /* none earlier, while "unanswered" is high */
	double retry_tokens; /* that may be sent … */
	int64_t tokens_refilled_us; /* … as of then; 0: not counted yet */
};

/* "again": the request was sent before. */
enum breaker_verdict circuit_breaker_admit(struct circuit_breaker *g,
    int64_t now_us, enum breaker_class kind, bool again);
/*
 * What was sent by a verdict has ended: "answered" by the owner, or not, or by
 * a daemon that does not own the pool yet.
 */
void circuit_breaker_complete(struct circuit_breaker *g, int64_t now_us,
    enum breaker_class kind, enum breaker_verdict sent, bool answered);
/* Nothing is under way. */
bool circuit_breaker_idle(const struct circuit_breaker *g);
/* No answer came to the newest requests. */
bool circuit_breaker_is_open(const struct circuit_breaker *g);
/*
 * No answer has come for longer than a take-over takes: callers are not kept
 * waiting.
 */
bool circuit_breaker_owner_gone(
    const struct circuit_breaker *g, int64_t now_us);
/*
 * Neither the owner nor another one will answer soon.  "stuck": no other daemon
 * can take over.  An owner that is only busy is waited for all the same.
 */
bool circuit_breaker_fail_fast(
    const struct circuit_breaker *g, int64_t now_us, bool stuck);

#endif
