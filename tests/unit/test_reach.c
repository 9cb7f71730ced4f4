/* Whether callers should come to a daemon, by what it reaches. */
#include <criterion/criterion.h>

#include "bounds.h"
#include "reachability.h"

#define STEP_MS 50

static struct reachability reachability;
static int64_t now_us, store_heard_us;

static void
setup(void)
{
	reachability = (struct reachability){0};
	now_us = store_heard_us = 10 * US_PER_S;
}

/* "ms" of requests, one each 50 ms. */
static void
play(int ms, bool store, bool owners)
{
	int64_t until = now_us + ms * US_PER_MS;

	while (now_us < until) {
		now_us += STEP_MS * US_PER_MS;
		if (store)
			store_heard_us = now_us;
		reachability_record(&reachability, now_us, BREAKER_SUBMIT,
		    owners ? REACHABILITY_SERVED : REACHABILITY_UNSERVED);
	}
}

TestSuite(reach, .init = setup);

/* Callers were kept in a zone that was cut off for five seconds. */
Test(reach, a_daemon_that_is_cut_off_sends_callers_elsewhere_soon)
{
	play(2000, true, true);
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
	play(1500, false, false);
	cr_expect(reachability_owners_lost(&reachability, now_us));
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
	play(500, true, true);
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
}

/* The store turns this daemon away and serves the others. */
Test(reach, a_daemon_that_reaches_owners_serves_without_the_store)
{
	play(2000, true, true);
	play(8000, false, true);
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
}

/* Without callers nothing is known of owners: the store decides. */
Test(reach, a_silent_store_counts_where_no_request_comes)
{
	now_us += 2000 * US_PER_MS;
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
	now_us += 1500 * US_PER_MS;
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
}

/* A pool between two owners is no reason while the store answers. */
Test(reach, a_pool_without_an_owner_keeps_a_daemon_ready)
{
	play(2000, true, false);
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
}

/*
 * An owner behind the same cut answered looks at its jobs, and fronts there
 * stayed ready for 3.7 s while none took a hand-in.
 */
Test(reach, answers_for_known_jobs_do_not_hide_refused_hand_ins)
{
	int ms;

	play(2000, true, true);
	for (ms = 0; ms < 1500; ms += STEP_MS) {
		now_us += STEP_MS * US_PER_MS;
		reachability_record(&reachability, now_us, BREAKER_CONTROL,
		    REACHABILITY_SERVED);
		reachability_record(&reachability, now_us, BREAKER_CONTROL,
		    REACHABILITY_SERVED);
		if (ms % (4 * STEP_MS) == 0)
			reachability_record(&reachability, now_us,
			    BREAKER_SUBMIT, REACHABILITY_UNSERVED);
	}
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
}

/* Daemons with few callers kept a zone in rotation that was cut off. */
Test(reach, one_refused_hand_in_counts_where_none_is_served)
{
	play(2000, true, true);
	now_us += 300 * US_PER_MS;
	reachability_record(
	    &reachability, now_us, BREAKER_SUBMIT, REACHABILITY_UNSERVED);
	now_us += 1000 * US_PER_MS;
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
	now_us += 1000 * US_PER_MS;
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
	play(200, false, true);
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
}

/* The store turns this daemon away, and one of many owners has died. */
Test(reach, a_refused_hand_in_among_served_ones_is_no_cut)
{
	int i;

	play(2000, true, true);
	for (i = 0; i < 40; i++) {
		play(200, false, true);
		reachability_record(&reachability, now_us, BREAKER_SUBMIT,
		    REACHABILITY_UNSERVED);
		cr_expect(
		    reachability_ready(&reachability, now_us, store_heard_us));
	}
}

/*
 * Callers came back to a zone that was cut off, as soon as one daemon there had
 * had none for a second.
 */
Test(reach, a_daemon_that_is_cut_off_is_not_ready_again_for_want_of_callers)
{
	int ms;

	play(2000, true, true);
	play(2000, false, false);
	for (ms = 0; ms < 5000; ms += STEP_MS) {
		now_us += STEP_MS * US_PER_MS;
		reachability_record(&reachability, now_us, BREAKER_CONTROL,
		    REACHABILITY_SERVED);
		/* of a job that an owner behind the same cut knows */
		if (ms == 2500)
			reachability_record(&reachability, now_us,
			    BREAKER_SUBMIT, REACHABILITY_SERVED);
		cr_expect_not(
		    reachability_ready(&reachability, now_us, store_heard_us));
	}
}

/* An owner in the same zone refused for 3 s what others had taken over. */
Test(reach, an_owner_that_refuses_everything_may_be_cut_off_too)
{
	int ms;

	play(2000, true, true);
	for (ms = 0; ms < 1500; ms += STEP_MS) {
		now_us += STEP_MS * US_PER_MS;
		reachability_record(&reachability, now_us, BREAKER_SUBMIT,
		    REACHABILITY_REFUSED);
	}
	cr_expect_not(
	    reachability_ready(&reachability, now_us, store_heard_us));
	store_heard_us = now_us;
	cr_expect(reachability_ready(&reachability, now_us, store_heard_us));
}
