/*
 * Circuit breaker and concurrency limit for the requests that one daemon sends
 * to one owner of a pool.  Without it, hundreds of callers a second that retry
 * against a slow or dead owner would keep it overloaded.  No I/O and no clock.
 */
#ifndef CIRCUIT_BREAKER_H
#define CIRCUIT_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/* Each class has its own limit, so that submissions do not starve the rest. */
enum breaker_class {
	BREAKER_SUBMIT,
	BREAKER_CONTROL, /* queries, cancels and counts */
	BREAKER_CLASSES
};

enum breaker_verdict {
	BREAKER_SEND,
	BREAKER_PROBE, /* send; no other request is sent until it completes */
	BREAKER_DEFER /* do not send now; ask again later */
};

/* Valid when zeroed except for "prng"; closed initially. */
struct circuit_breaker {
	uint64_t prng; /* jitter seed; not 0 */
	int in_flight[BREAKER_CLASSES];
	int consecutive_failures;
	int64_t open_since_us;
	bool probe_in_flight;
	int64_t next_probe_us; /* earliest next probe while open */
	double retry_tokens; /* retry budget at tokens_refilled_us */
	int64_t tokens_refilled_us; /* 0: never */
};

/*
 * Decides whether a request may be sent now.  "is_retry": an earlier attempt at
 * the same request may have reached the owner; retries have their own budget.
 * Pass the verdict to circuit_breaker_complete() unless it is BREAKER_DEFER.
 */
enum breaker_verdict circuit_breaker_admit(struct circuit_breaker *b,
    int64_t now_us, enum breaker_class request_class, bool is_retry);
/*
 * Records the end of a request admitted with "verdict".  "answered" is false if
 * no answer came, or if the peer does not own the pool (yet).
 */
void circuit_breaker_complete(struct circuit_breaker *b, int64_t now_us,
    enum breaker_class request_class, enum breaker_verdict verdict,
    bool answered);
/* No request is in flight. */
bool circuit_breaker_idle(const struct circuit_breaker *b);
/* The latest requests were not answered: only probes are sent. */
bool circuit_breaker_is_open(const struct circuit_breaker *b);
/*
 * The breaker has been open for longer than a takeover takes: another owner
 * should have answered by now, so callers should not be kept waiting.
 */
bool circuit_breaker_owner_gone(
    const struct circuit_breaker *b, int64_t now_us);
/*
 * Neither this owner nor a successor is expected to answer soon: refuse the
 * request at once.  "takeover_blocked": no other daemon can take over.  A
 * closed breaker never fails fast: an owner that is only busy is waited for.
 */
bool circuit_breaker_fail_fast(
    const struct circuit_breaker *b, int64_t now_us, bool takeover_blocked);

#endif
