#include "peer_gate.h"

#include "bounds.h"
#include "view.h"

#define UNDER_WAY_MAX 32 /* of a kind; an owner answers within some 25 ms */
#define SILENT_AFTER 3 /* requests in a row without an answer */
#define PROBE_MIN_MS 100 /* between two probes, growing … */
#define PROBE_MAX_MS 1000 /* … to half of the time a take-over takes */
#define DOUBLINGS_MAX 4
/* Tries again are a tenth of the answers at most, and a few at first. */
#define RETRY_SHARE 0.1
#define RETRIES_MAX 20.0
#define RETRIES_PER_S 10.0 /* also where nothing is answered */
#define GONE_MS 2500 /* the group's 2 s, and a take-over */

bool
peer_gate_idle(const struct peer_gate *g)
{
	return g->under_way[GATE_HAND_IN] == 0 &&
	    g->under_way[GATE_ABOUT_JOB] == 0;
}

bool
peer_gate_silent(const struct peer_gate *g)
{
	return g->unanswered >= SILENT_AFTER;
}

bool
peer_gate_gone(const struct peer_gate *g, int64_t now_us)
{
	return peer_gate_silent(g) &&
	    now_us - g->silent_since_us > GONE_MS * US_PER_MS;
}

bool
peer_gate_hopeless(const struct peer_gate *g, int64_t now_us, bool stuck)
{
	return peer_gate_silent(g) && (stuck || peer_gate_gone(g, now_us));
}

static void
refill(struct peer_gate *g, int64_t now_us)
{
	if (g->retries_us == 0)
		g->retries = RETRIES_MAX;
	else
		g->retries += RETRIES_PER_S * (double)(now_us - g->retries_us) /
		    (double)US_PER_S;
	if (g->retries > RETRIES_MAX)
		g->retries = RETRIES_MAX;
	g->retries_us = now_us;
}

enum gate_verdict
peer_gate_ask(
    struct peer_gate *g, int64_t now_us, enum gate_kind kind, bool again)
{
	refill(g, now_us);
	if (peer_gate_silent(g)) {
		if (g->probing || now_us < g->probe_us)
			return GATE_WAIT;
		g->probing = true;
		g->under_way[kind]++;
		return GATE_PROBE;
	}
	if (g->under_way[kind] >= UNDER_WAY_MAX)
		return GATE_WAIT;
	if (again) {
		if (g->retries < 1)
			return GATE_WAIT;
		g->retries -= 1;
	}
	g->under_way[kind]++;
	return GATE_SEND;
}

/* Half to one and a half of a pause that doubles. */
static int64_t
probe_pause_us(struct peer_gate *g)
{
	int doublings = g->unanswered - SILENT_AFTER;
	int64_t ms;

	if (doublings > DOUBLINGS_MAX)
		doublings = DOUBLINGS_MAX;
	ms = PROBE_MIN_MS << (doublings > 0 ? doublings : 0);
	if (ms > PROBE_MAX_MS)
		ms = PROBE_MAX_MS;
	return (ms / 2 + (int64_t)prng_below(&g->prng, (uint64_t)ms)) *
	    US_PER_MS;
}

void
peer_gate_ended(struct peer_gate *g, int64_t now_us, enum gate_kind kind,
    enum gate_verdict sent, bool answered)
{
	g->under_way[kind]--;
	if (sent == GATE_PROBE)
		g->probing = false;
	if (answered) {
		g->unanswered = 0;
		g->retries += RETRY_SHARE;
		return;
	}
	/* of those sent before it fell silent, only the first few count */
	if (sent == GATE_PROBE || !peer_gate_silent(g)) {
		if (++g->unanswered == SILENT_AFTER)
			g->silent_since_us = now_us;
		g->probe_us = now_us + probe_pause_us(g);
	}
}
