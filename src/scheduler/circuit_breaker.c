#include "circuit_breaker.h"

#include "bounds.h"
#include "view.h"

#define IN_FLIGHT_MAX 32 /* per class; an owner answers within about 25 ms */
#define OPEN_AFTER_FAILURES 3
/* Probe interval: backs off to half of the time that a takeover takes. */
#define PROBE_MIN_MS 100
#define PROBE_MAX_MS 1000
#define BACKOFF_DOUBLINGS_MAX 4
/* Retries are limited to a tenth of the answers, after an initial burst. */
#define RETRY_TOKENS_PER_ANSWER 0.1
#define RETRY_TOKENS_MAX 20.0
#define RETRY_TOKENS_PER_S 10.0 /* minimum rate, even without answers */
/* The group's member time-out of 2 s, and a takeover. */
#define OWNER_GONE_MS 2500

bool
circuit_breaker_idle(const struct circuit_breaker *b)
{
	return b->in_flight[BREAKER_SUBMIT] == 0 &&
	    b->in_flight[BREAKER_CONTROL] == 0;
}

bool
circuit_breaker_is_open(const struct circuit_breaker *b)
{
	return b->consecutive_failures >= OPEN_AFTER_FAILURES;
}

bool
circuit_breaker_owner_gone(const struct circuit_breaker *b, int64_t now_us)
{
	return circuit_breaker_is_open(b) &&
	    now_us - b->open_since_us > OWNER_GONE_MS * US_PER_MS;
}

bool
circuit_breaker_fail_fast(
    const struct circuit_breaker *b, int64_t now_us, bool takeover_blocked)
{
	return circuit_breaker_is_open(b) &&
	    (takeover_blocked || circuit_breaker_owner_gone(b, now_us));
}

static void
refill_retry_tokens(struct circuit_breaker *b, int64_t now_us)
{
	if (b->tokens_refilled_us == 0)
		b->retry_tokens = RETRY_TOKENS_MAX;
	else
		b->retry_tokens += RETRY_TOKENS_PER_S *
		    (double)(now_us - b->tokens_refilled_us) / (double)US_PER_S;
	if (b->retry_tokens > RETRY_TOKENS_MAX)
		b->retry_tokens = RETRY_TOKENS_MAX;
	b->tokens_refilled_us = now_us;
}

enum breaker_verdict
circuit_breaker_admit(struct circuit_breaker *b, int64_t now_us,
    enum breaker_class request_class, bool is_retry)
{
	refill_retry_tokens(b, now_us);
	if (circuit_breaker_is_open(b)) {
		if (b->probe_in_flight || now_us < b->next_probe_us)
			return BREAKER_DEFER;
		b->probe_in_flight = true;
		b->in_flight[request_class]++;
		return BREAKER_PROBE;
	}
	if (b->in_flight[request_class] >= IN_FLIGHT_MAX)
		return BREAKER_DEFER;
	if (is_retry) {
		if (b->retry_tokens < 1)
			return BREAKER_DEFER;
		b->retry_tokens -= 1;
	}
	b->in_flight[request_class]++;
	return BREAKER_SEND;
}

/* Exponential backoff with jitter of 0.5 to 1.5 times the interval. */
static int64_t
probe_delay_us(struct circuit_breaker *b)
{
	int doublings = b->consecutive_failures - OPEN_AFTER_FAILURES;
	int64_t ms;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	ms = PROBE_MIN_MS << (doublings > 0 ? doublings : 0);
	if (ms > PROBE_MAX_MS)
		ms = PROBE_MAX_MS;
	return (ms / 2 + (int64_t)prng_below(&b->prng, (uint64_t)ms)) *
	    US_PER_MS;
}

void
circuit_breaker_complete(struct circuit_breaker *b, int64_t now_us,
    enum breaker_class request_class, enum breaker_verdict verdict,
    bool answered)
{
	b->in_flight[request_class]--;
	if (verdict == BREAKER_PROBE)
		b->probe_in_flight = false;
	if (answered) {
		b->consecutive_failures = 0;
		b->retry_tokens += RETRY_TOKENS_PER_ANSWER;
		return;
	}
	/* requests sent before the breaker opened do not extend the backoff */
	if (verdict == BREAKER_PROBE || !circuit_breaker_is_open(b)) {
		if (++b->consecutive_failures == OPEN_AFTER_FAILURES)
			b->open_since_us = now_us;
		b->next_probe_us = now_us + probe_delay_us(b);
	}
}
