/* When an append that got no answer is sent again. */
#include <criterion/criterion.h>

#include "bounds.h"
#include "repeat_timer.h"

#define APPEND_MS 4 /* the store's own */
#define TIMEOUT_MS 1500 /* of one try */

static struct repeat_timer timer;

static void
setup(void)
{
	timer = (struct repeat_timer){0};
}

static void
answered(int times, int ms)
{
	while (times-- > 0)
		repeat_timer_add_sample(&timer, ms * US_PER_MS);
}

/* Tries that are sent before an answer comes so long after the first. */
static int
tries_until(int ms)
{
	int64_t us = 0;
	int tries = 1;

	while ((us += repeat_timer_timeout_us(&timer, tries)) < ms * US_PER_MS)
		tries++;
	return tries;
}

TestSuite(repeat_timer, .init = setup);

/* A lost answer held callers up until the try's time-out. */
Test(repeat_timer, a_lost_answer_costs_a_fraction_of_the_time_out)
{
	answered(20, APPEND_MS);
	cr_expect_leq(
	    repeat_timer_timeout_us(&timer, 1), TIMEOUT_MS * US_PER_MS / 20);
	cr_expect_geq(tries_until(TIMEOUT_MS), 4);
}

/* The store's own time is waited for, and some appends in turn before. */
Test(repeat_timer, answers_in_time_are_not_repeated)
{
	cr_expect_gt(
	    repeat_timer_timeout_us(&timer, 1), 3 * APPEND_MS * US_PER_MS);
	answered(20, APPEND_MS);
	cr_expect_gt(
	    repeat_timer_timeout_us(&timer, 1), 3 * APPEND_MS * US_PER_MS);
}

/* A store that is 60 times slower is not asked for everything twice. */
Test(repeat_timer, a_slow_store_is_asked_once)
{
	int slow_ms = 60 * APPEND_MS;

	answered(20, APPEND_MS);
	cr_expect_leq(tries_until(slow_ms), 3);
	answered(4, slow_ms);
	cr_expect_eq(tries_until(slow_ms), 1);
}

/*
 * Four tries and then their time-out: two in five answers lost held a pool up
 * for 1.5 s each 40 appends.
 */
Test(repeat_timer, tries_go_on_while_answers_are_lost)
{
	answered(20, APPEND_MS);
	cr_expect_geq(tries_until(TIMEOUT_MS), 8);
}

Test(repeat_timer, waits_grow_and_stay_below_the_time_out)
{
	int i;

	answered(20, APPEND_MS);
	for (i = 1; i < 10; i++)
		cr_expect_geq(repeat_timer_timeout_us(&timer, i + 1),
		    repeat_timer_timeout_us(&timer, i));
	cr_expect_gt(repeat_timer_timeout_us(&timer, 2),
	    repeat_timer_timeout_us(&timer, 1));
	answered(20, TIMEOUT_MS);
	for (i = 1; i < 10; i++)
		cr_expect_eq(
		    repeat_timer_timeout_us(&timer, i), TIMEOUT_MS * US_PER_MS);
}
