#include "circuit_breaker.h"

#include "bounds.h"
#include "view.h"

#define IN_FLIGHT_MAX 32 /* of a kind; an owner answers within some 25 ms */
#define OPEN_AFTER_FAILURES 3 /* requests in a row without an answer */
#define PROBE_MIN_MS 100 /* between two probes, growing … */
#define PROBE_MAX_MS 1000 /* … to half of the time a take-over takes */
#define BACKOFF_DOUBLINGS_MAX 4
/* Tries again are a tenth of the answers at most, and a few at first. */
#define RETRY_TOKENS_PER_ANSWER 0.1
#define RETRY_TOKENS_MAX 20.0
#define RETRY_TOKENS_PER_S 10.0 /* also where nothing is answered */
#define OWNER_GONE_MS 2500 /* the group's 2 s, and a take-over */

bool
circuit_breaker_idle(const struct circuit_breaker *g)
{
	return g->in_flight[BREAKER_SUBMIT] == 0 &&
	    g->in_flight[BREAKER_CONTROL] == 0;
}

bool
circuit_breaker_is_open(const struct circuit_breaker *g)
{
	return g->consecutive_failures >= OPEN_AFTER_FAILURES;
}

bool
circuit_breaker_owner_gone(const struct circuit_breaker *g, int64_t now_us)
{
	return circuit_breaker_is_open(g) &&
	    now_us - g->open_since_us > OWNER_GONE_MS * US_PER_MS;
}

bool
circuit_breaker_fail_fast(
    const struct circuit_breaker *g, int64_t now_us, bool stuck)
{
	return circuit_breaker_is_open(g) &&
	    (stuck || circuit_breaker_owner_gone(g, now_us));
}

static void
refill_retry_tokens(struct circuit_breaker *g, int64_t now_us)
{
	if (g->tokens_refilled_us == 0)
		g->retry_tokens = RETRY_TOKENS_MAX;
	else
		g->retry_tokens += RETRY_TOKENS_PER_S *
		    (double)(now_us - g->tokens_refilled_us) / (double)US_PER_S;
	if (g->retry_tokens > RETRY_TOKENS_MAX)
		g->retry_tokens = RETRY_TOKENS_MAX;
	g->tokens_refilled_us = now_us;
}

enum breaker_verdict
circuit_breaker_admit(struct circuit_breaker *g, int64_t now_us,
    enum breaker_class kind, bool again)
{
	refill_retry_tokens(g, now_us);
	if (circuit_breaker_is_open(g)) {
		if (g->probe_in_flight || now_us < g->next_probe_us)
			return BREAKER_DEFER;
		g->probe_in_flight = true;
		g->in_flight[kind]++;
		return BREAKER_PROBE;
	}
	if (g->in_flight[kind] >= IN_FLIGHT_MAX)
		return BREAKER_DEFER;
	if (again) {
		if (g->retry_tokens < 1)
			return BREAKER_DEFER;
		g->retry_tokens -= 1;
	}
	g->in_flight[kind]++;
	return BREAKER_SEND;
}

/* Half to one and a half of a pause that doubles. */
static int64_t
probe_delay_us(struct circuit_breaker *g)
{
	int doublings = g->consecutive_failures - OPEN_AFTER_FAILURES;
	int64_t ms;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	ms = PROBE_MIN_MS << (doublings > 0 ? doublings : 0);
	if (ms > PROBE_MAX_MS)
		ms = PROBE_MAX_MS;
	return (ms / 2 + (int64_t)prng_below(&g->prng, (uint64_t)ms)) *
	    US_PER_MS;
}

void
circuit_breaker_complete(struct circuit_breaker *g, int64_t now_us,
    enum breaker_class kind, enum breaker_verdict sent, bool answered)
{
	g->in_flight[kind]--;
	if (sent == BREAKER_PROBE)
		g->probe_in_flight = false;
	if (answered) {
		g->consecutive_failures = 0;
		g->retry_tokens += RETRY_TOKENS_PER_ANSWER;
		return;
	}
	/* of those sent before it fell silent, only the first few count */
	if (sent == BREAKER_PROBE || !circuit_breaker_is_open(g)) {
		if (++g->consecutive_failures == OPEN_AFTER_FAILURES)
			g->open_since_us = now_us;
		g->next_probe_us = now_us + probe_delay_us(g);
	}
}
