/* Where jobs of a queue may be, as the owner of one pool decides it. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "queue_homes.h"

static struct queue_homes *homes;
static int64_t end; /* of the topic */
static uint64_t scan;

static void
setup(void)
{
	homes = queue_homes_new();
	cr_assert_not_null(homes);
	end = 0;
	scan = 1;
}

static void
teardown(void)
{
	queue_homes_free(homes);
}

TestSuite(queue_homes, .init = setup, .fini = teardown);

/* A record; version 0 drops the key. */
static void
apply(const char *pool, int64_t version)
{
	struct queue_home home = {.queue = "seats", .config_version = version};
	struct home_record r = {.offset = end++, .scan = scan};
	char key[HOME_KEY_BYTES];
	struct buf *value;
	struct err e;

	snprintf(home.pool, sizeof(home.pool), "%s", pool);
	queue_home_key(key, home.queue, home.pool);
	value = version != 0 ? queue_home_encode(&home) : NULL;
	r.key = key;
	r.data = value != NULL ? value->data : NULL;
	r.len = value != NULL ? value->len : 0;
	cr_assert_eq(queue_homes_apply(homes, &r, &e), 0);
	buf_unref(value);
}

/* The owner of "pool" and the request have these versions. */
static const char *
decide(const char *pool, const char *configured, int64_t version,
    int64_t request_version, bool searched)
{
	static const char *const names[] = {
	    [HOME_HERE] = "here",
	    [HOME_ELSEWHERE] = "elsewhere",
	    [HOME_SEARCH] = "search",
	    [HOME_UNREGISTERED] = "unregistered",
	    [HOME_UNKNOWN] = "unknown",
	};
	static char text[256];
	struct home_query q = {
	    .queue = "seats",
	    .pool = pool,
	    .configured_pool = configured,
	    .config_version = version,
	    .request_version = request_version,
	    .searched = searched,
	};
	struct home_decision d;

	queue_homes_decide(homes, &q, &d);
	snprintf(text, sizeof(text), "%s%s%s", names[d.verdict],
	    d.count > 0 ? " " : "", d.count > 0 ? d.pools[0] : "");
	return text;
}

Test(queue_homes, a_pool_registers_before_it_accepts)
{
	cr_expect_str_eq(decide("blue", "blue", 4, 4, false), "unregistered");
	apply("blue", 4);
	cr_expect_str_eq(decide("blue", "blue", 4, 4, false), "here");
	cr_expect_str_eq(decide("blue", "blue", 9, 9, false), "here");
}

/* A queue that has moved: its new pool asks the earlier one first. */
Test(queue_homes, other_homes_are_searched_first)
{
	apply("blue", 4);
	cr_expect_str_eq(
	    decide("green", "green", 7, 7, false), "unregistered blue");
	apply("green", 7);
	cr_expect_str_eq(decide("green", "green", 7, 7, false), "search blue");
	cr_expect_str_eq(decide("green", "green", 7, 7, true), "here blue");
	apply("blue", 0);
	cr_expect_str_eq(decide("green", "green", 7, 7, false), "here");
}

/* The earlier pool accepts nothing more once it knows, or could know. */
Test(queue_homes, the_earlier_pool_accepts_no_new_jobs)
{
	apply("blue", 4);
	cr_expect_str_eq(
	    decide("blue", "green", 7, 4, false), "elsewhere green");
	apply("green", 7);
	cr_expect_str_eq(decide("blue", "blue", 4, 4, false), "unknown");
}

/* The caller's daemon knows of a version that the owner has not read yet. */
Test(queue_homes, an_owner_with_an_older_configuration_does_not_decide)
{
	apply("blue", 4);
	cr_expect_str_eq(decide("green", "blue", 4, 7, false), "unknown");
	cr_expect_str_eq(decide("green", NULL, 4, 7, false),
	    "unregistered blue"); /* the queue is new to it */
}

/* A caller's daemon has not heard that the route is gone. */
Test(queue_homes, a_route_that_is_gone_takes_no_new_jobs)
{
	apply("blue", 4);
	cr_expect_str_eq(decide("blue", NULL, 7, 4, false), "unknown");
	cr_expect_str_eq(decide("blue", NULL, 7, 0, false), "here");
}

Test(queue_homes, a_queue_that_moves_back_is_registered_anew)
{
	apply("blue", 4);
	apply("green", 7);
	cr_expect_str_eq(
	    decide("blue", "blue", 9, 9, false), "unregistered green");
	apply("blue", 9);
	cr_expect_str_eq(decide("blue", "blue", 9, 9, false), "search green");
	cr_expect_str_eq(decide("green", "green", 7, 7, false), "unknown");
}

/* The drop of a home may be carried out late: only a later record counts. */
Test(queue_homes, a_home_that_is_dropped_registers_before_it_is_used_again)
{
	apply("blue", 4);
	queue_homes_suspend(homes, "seats", "blue", end);
	cr_expect_str_eq(decide("blue", "blue", 9, 9, false), "unregistered");
	cr_expect_str_eq(
	    decide("green", "green", 7, 7, false), "unregistered blue");
	apply("blue", 9);
	cr_expect_str_eq(decide("blue", "blue", 9, 9, false), "here");
}

/* A scan repeats records that were read before, out of order. */
Test(queue_homes, records_that_are_read_again_change_nothing)
{
	apply("blue", 4);
	apply("blue", 0);
	end = 0;
	apply("blue", 4);
	cr_expect_str_eq(decide("blue", "blue", 4, 4, false), "unregistered");
}

/* The store has forgotten the records between, and with them a drop. */
Test(queue_homes, a_home_that_a_scan_lacks_was_dropped)
{
	apply("blue", 4);
	apply("green", 7);
	scan++;
	end = 1;
	apply("green", 7);
	queue_homes_scanned(homes, scan, 5);
	cr_expect_str_eq(decide("green", "green", 7, 7, false), "here");
	cr_expect_str_eq(
	    decide("blue", "blue", 9, 9, false), "unregistered green");
}
