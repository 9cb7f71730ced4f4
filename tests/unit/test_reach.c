/* Whether callers should come to a daemon, by what it reaches. */
#include <criterion/criterion.h>

#include "bounds.h"
#include "reach.h"

#define STEP_MS 50

static struct reach reach;
static int64_t now_us, store_heard_us;

static void
setup(void)
{
	reach = (struct reach){0};
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
		reach_note(&reach, now_us, owners);
	}
}

TestSuite(reach, .init = setup);

/* Callers were kept in a zone that was cut off for five seconds. */
Test(reach, a_daemon_that_is_cut_off_sends_callers_elsewhere_soon)
{
	play(2000, true, true);
	cr_expect(reach_ready(&reach, now_us, store_heard_us));
	play(1500, false, false);
	cr_expect(reach_lost(&reach, now_us));
	cr_expect_not(reach_ready(&reach, now_us, store_heard_us));
	play(500, true, true);
	cr_expect(reach_ready(&reach, now_us, store_heard_us));
}

/* The store turns this daemon away and serves the others. */
Test(reach, a_daemon_that_reaches_owners_serves_without_the_store)
{
	play(2000, true, true);
	play(8000, false, true);
	cr_expect(reach_ready(&reach, now_us, store_heard_us));
}

/* Without callers nothing is known of owners: the store decides. */
Test(reach, a_silent_store_counts_where_no_request_comes)
{
	now_us += 2000 * US_PER_MS;
	cr_expect(reach_ready(&reach, now_us, store_heard_us));
	now_us += 1500 * US_PER_MS;
	cr_expect_not(reach_ready(&reach, now_us, store_heard_us));
}

/* A pool between two owners is no reason while the store answers. */
Test(reach, a_pool_without_an_owner_keeps_a_daemon_ready)
{
	play(2000, true, false);
	cr_expect(reach_ready(&reach, now_us, store_heard_us));
}
