/*
 * Fronts and one owner of pools in virtual time: what reaches the owner while
 * it is silent, and how soon callers are served once it answers again.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "bounds.h"
#include "circuit_breaker.h"
#include "view.h"

#define FRONTS 47
#define STEP_MS 10
#define RETRY_MS 60 /* a front asks its gate again */
#define TIMEOUT_MS 700 /* of a try */
#define ANSWER_MS 20
#define WAIT_MS 1500 /* a caller is given up after */
#define CALLS_MAX 4000

enum call_place {
	CALL_NONE,
	CALL_WAITS,
	CALL_SENT
};

struct call {
	enum call_place place;
	int front;
	enum breaker_class kind;
	enum breaker_verdict leave;
	bool unsure, answered;
	int64_t begun_ms, due_ms;
};

struct play {
	struct circuit_breaker gates[FRONTS];
	struct call calls[CALLS_MAX];
	uint64_t prng;
	int64_t now_ms;
	bool down;
	int sent, served, given_up; /* … since they were set to 0 */
	int served_kind[BREAKER_CLASSES];
};

static struct play play;

static void
setup(void)
{
	int i;

	memset(&play, 0, sizeof(play));
	play.prng = 7;
	for (i = 0; i < FRONTS; i++)
		play.gates[i].prng = (uint64_t)i + 1;
}

static void
begin(int front, enum breaker_class kind)
{
	struct call *c = play.calls;

	while (c->place != CALL_NONE)
		c++;
	cr_assert_lt(c - play.calls, CALLS_MAX);
	memset(c, 0, sizeof(*c));
	c->place = CALL_WAITS;
	c->front = front;
	c->kind = kind;
	c->begun_ms = c->due_ms = play.now_ms;
}

static void
try_send(struct call *c)
{
	int64_t now_us = play.now_ms * US_PER_MS;
	struct circuit_breaker *g = &play.gates[c->front];

	if (play.now_ms - c->begun_ms > WAIT_MS ||
	    (!c->unsure && circuit_breaker_owner_gone(g, now_us))) {
		play.given_up++;
		c->place = CALL_NONE;
		return;
	}
	c->leave = circuit_breaker_admit(g, now_us, c->kind, c->unsure);
	if (c->leave == BREAKER_DEFER) {
		c->due_ms = play.now_ms + RETRY_MS;
		return;
	}
	play.sent++;
	c->place = CALL_SENT;
	c->answered = !play.down;
	c->due_ms = play.now_ms + (play.down ? TIMEOUT_MS : ANSWER_MS);
}

static void
end_sent(struct call *c)
{
	circuit_breaker_complete(&play.gates[c->front], play.now_ms * US_PER_MS,
	    c->kind, c->leave, c->answered);
	c->place = c->answered ? CALL_NONE : CALL_WAITS;
	if (c->answered) {
		play.served++;
		play.served_kind[c->kind]++;
	}
	c->unsure = true;
	c->due_ms = play.now_ms + RETRY_MS;
}

/* "per_s" requests a second of all fronts, one in three about a job. */
static void
run(int ms, int per_s)
{
	struct call *c;
	int64_t until = play.now_ms + ms;
	double owed = 0;

	for (; play.now_ms < until; play.now_ms += STEP_MS) {
		for (owed += per_s * STEP_MS / 1000.0; owed >= 1; owed--)
			begin((int)prng_below(&play.prng, FRONTS),
			    prng_below(&play.prng, 3) == 0 ? BREAKER_CONTROL
							   : BREAKER_SUBMIT);
		for (c = play.calls; c < play.calls + CALLS_MAX; c++) {
			if (c->place == CALL_NONE || c->due_ms > play.now_ms)
				continue;
			if (c->place == CALL_SENT)
				end_sent(c);
			else
				try_send(c);
		}
	}
}

TestSuite(peer_gate, .init = setup);

/*
 * The load: 250 requests a second from 47 daemons at an owner that is silent
 * for ten seconds.  Each caller's request was tried each 60 ms: 11,550 tries
 * in a minute, which kept the owner down.
 */
Test(peer_gate, a_silent_owner_is_probed_not_stormed)
{
	run(2000, 250);
	cr_assert_geq(play.served, 450);
	play.down = true;
	run(2000, 250); /* each front finds out */
	play.sent = 0;
	run(8000, 250);
	/* each front's one probe: 0.7 s without an answer and its pause */
	cr_expect_leq(play.sent, FRONTS * 8 * 2, "%d tries", play.sent);
}

/* Those who wait are served as soon as one probe is answered. */
Test(peer_gate, callers_are_served_soon_after_it_is_back)
{
	run(2000, 250);
	play.down = true;
	run(1500, 250);
	play.down = false;
	run(2000, 250);
	play.served = play.given_up = 0;
	run(2000, 250);
	cr_expect_geq(play.served, 450);
	cr_expect_leq(play.given_up, 5, "%d given up", play.given_up);
}

/* A caller is not kept where nobody has been for longer than a take-over. */
Test(peer_gate, callers_are_refused_at_once_when_nobody_is_there)
{
	int waiting = 0, i;

	run(1000, 250);
	play.down = true;
	run(8000, 250);
	for (i = 0; i < CALLS_MAX; i++)
		waiting +=
		    play.calls[i].place == CALL_WAITS && !play.calls[i].unsure;
	/* of 375 that come in the time that each was kept before */
	cr_expect_leq(waiting, 30, "%d wait", waiting);
}

Test(peer_gate, hand_ins_do_not_starve_looks_and_cancels)
{
	struct circuit_breaker *g = &play.gates[0];
	int i;

	for (i = 0; i < 1000; i++)
		circuit_breaker_admit(g, US_PER_S, BREAKER_SUBMIT, false);
	cr_expect_eq(circuit_breaker_admit(g, US_PER_S, BREAKER_SUBMIT, false),
	    BREAKER_DEFER);
	cr_expect_eq(circuit_breaker_admit(g, US_PER_S, BREAKER_CONTROL, false),
	    BREAKER_SEND);
}

/* Of requests that may have been taken already, few are sent again. */
Test(peer_gate, tries_again_have_a_budget)
{
	struct circuit_breaker *g = &play.gates[0];
	int64_t now = US_PER_S;
	int sent = 0, i;

	for (i = 0; i < 1000; i++, now += 10 * US_PER_MS) {
		if (circuit_breaker_admit(g, now, BREAKER_SUBMIT, true) ==
		    BREAKER_DEFER)
			continue;
		sent++;
		circuit_breaker_complete(
		    g, now, BREAKER_SUBMIT, BREAKER_SEND, true);
	}
	/* 20 at first, 10 a second, a tenth of what is answered */
	cr_expect_leq(sent, (20 + 100) * 10 / 9, "%d", sent);
}

/* An owner that was busy was taken for none while the store was away. */
Test(peer_gate, a_busy_owner_is_waited_for_though_none_can_take_over)
{
	struct circuit_breaker g = {.prng = 1};
	int64_t now_us = US_PER_S;
	enum breaker_verdict v;
	int i;

	while ((v = circuit_breaker_admit(&g, now_us, BREAKER_SUBMIT, false)) ==
	    BREAKER_SEND)
		cr_assert_leq(g.in_flight[BREAKER_SUBMIT], CALLS_MAX);
	cr_assert_eq(v, BREAKER_DEFER);
	cr_expect_not(circuit_breaker_fail_fast(&g, now_us, true));
	for (i = 0; i < 3; i++)
		circuit_breaker_complete(
		    &g, now_us, BREAKER_SUBMIT, BREAKER_SEND, false);
	cr_expect(circuit_breaker_fail_fast(&g, now_us, true));
	cr_expect_not(circuit_breaker_fail_fast(&g, now_us, false));
	now_us += 3 * US_PER_S;
	cr_expect(circuit_breaker_fail_fast(&g, now_us, false));
}
