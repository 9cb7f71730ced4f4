/* What is known of a store of which some parts are away. */
#include <criterion/criterion.h>

#include "bounds.h"
#include "store_health.h"

#define GROUP "schedulers"
#define JOBS "keyed.jobs.quotes"
#define ENTRIES "keyed.servers"
#define STEP_MS 50
#define ANSWER_MS 10
#define TIMEOUT_MS 900

static struct store_health health;
static int64_t now_us;
static int lines; /* that a log gets */

static void
setup(void)
{
	now_us = 10 * US_PER_S;
	store_health_init(&health, now_us);
	lines = 0;
}

static void
call_ends(const char *topic, int took_ms, bool heard)
{
	struct store_call_result end = {
	    .topic = topic,
	    .sent_us = now_us - took_ms * US_PER_MS,
	    .answered = heard,
	};
	struct store_health_change part, all;

	store_health_record(&health, now_us, &end, &part, &all);
	lines += (part.kind != STORE_HEALTH_UNCHANGED) +
	    (all.kind != STORE_HEALTH_UNCHANGED);
}

/* The group and the jobs' topic answer; workers' entries may be away. */
static void
play(int ms, bool jobs, bool entries)
{
	int64_t until = now_us + ms * US_PER_MS;

	while (now_us < until) {
		now_us += STEP_MS * US_PER_MS;
		call_ends(GROUP, ANSWER_MS, true);
		call_ends(JOBS, ANSWER_MS, jobs);
		call_ends(ENTRIES, ANSWER_MS, entries);
	}
}

TestSuite(store_health, .init = setup);

/* 455 pairs of lines in 6.5 s put out the lines of decisions. */
Test(store_health, a_part_that_is_away_is_logged_once)
{
	play(2000, true, true);
	cr_expect_eq(lines, 0);
	play(6500, true, false);
	cr_expect_eq(lines, 1, "%d", lines);
	play(2000, true, true);
	cr_expect_eq(lines, 2, "%d", lines);
}

/* Hand-ins were refused for want of a store that only workers' entries lost. */
Test(store_health, a_part_that_is_away_says_nothing_of_the_others)
{
	play(2000, true, true);
	play(3000, true, false);
	cr_expect(store_health_topic_unreachable(&health, ENTRIES, now_us));
	cr_expect_not(store_health_topic_unreachable(&health, GROUP, now_us));
	cr_expect_not(store_health_topic_unreachable(&health, JOBS, now_us));
	cr_expect_not(store_health_unreachable(&health, now_us));
}

Test(store_health, one_lost_answer_is_no_outage)
{
	play(2000, true, true);
	now_us += TIMEOUT_MS * US_PER_MS;
	call_ends(JOBS, TIMEOUT_MS, false);
	cr_expect_not(store_health_topic_unreachable(&health, JOBS, now_us));
	cr_expect_eq(lines, 0);
}

/* A third of the answers get lost, and each loss is told by its time-out. */
Test(store_health, lost_answers_between_others_are_no_outage)
{
	int i;

	play(2000, true, true);
	for (i = 0; i < 100; i++) {
		now_us += STEP_MS * US_PER_MS;
		call_ends(JOBS, ANSWER_MS, i % 3 != 0);
		if (i % 3 == 0)
			call_ends(JOBS, TIMEOUT_MS, false);
	}
	cr_expect_not(store_health_topic_unreachable(&health, JOBS, now_us));
	cr_expect_eq(lines, 0, "%d", lines);
}

Test(store_health, a_store_that_is_silent_is_lost_as_a_whole)
{
	int i;

	play(2000, true, true);
	for (i = 0; i < 2; i++) {
		cr_expect_not(store_health_unreachable(&health, now_us));
		now_us += TIMEOUT_MS * US_PER_MS;
		call_ends(GROUP, TIMEOUT_MS, false);
		call_ends(JOBS, TIMEOUT_MS, false);
		call_ends(ENTRIES, TIMEOUT_MS, false);
	}
	cr_expect(store_health_unreachable(&health, now_us));
	cr_expect_eq(store_health_answer_age_us(&health, now_us),
	    2 * TIMEOUT_MS * US_PER_MS);
	call_ends(JOBS, ANSWER_MS, true);
	cr_expect_not(store_health_unreachable(&health, now_us));
	cr_expect(store_health_topic_unreachable(&health, GROUP, now_us));
}

/* A daemon that asks for little else: the store came and went once a second. */
Test(store_health, a_topic_that_is_asked_for_often_is_not_the_store)
{
	int i;

	play(2000, true, true);
	for (i = 0; i < 40; i++) {
		now_us += 250 * US_PER_MS;
		call_ends(ENTRIES, ANSWER_MS, false);
		if (i % 4 == 0)
			call_ends(GROUP, ANSWER_MS, true);
		cr_expect_not(store_health_unreachable(&health, now_us));
	}
	cr_expect_eq(lines, 1, "%d", lines);
}

/* A pool that was given up in an outage is not asked about any more. */
Test(store_health, a_topic_that_is_not_asked_for_is_not_lost_for_good)
{
	play(2000, true, true);
	play(2000, false, true);
	cr_expect(store_health_topic_unreachable(&health, JOBS, now_us));
	now_us += 10 * US_PER_S;
	cr_expect_not(store_health_topic_unreachable(&health, JOBS, now_us));
}
