/* Expected run times from estimates and measurements. */
#include <math.h>

#include <criterion/criterion.h>

#include "run_time.h"
#include "view.h"

#define STEPS 400
#define SEED 20261204

static struct run_time_model *table;

/* Sum of a few uniform values: nearly normal, mean 0, deviation 1. */
static double
deviate(uint64_t *g)
{
	double sum = 0;
	int i;

	for (i = 0; i < 12; i++)
		sum += (double)(prng_next(g) >> 11) / (double)(1ULL << 53);
	return sum - 6;
}

/*
 * Steps whose run times vary by a factor of e^0.5 about 1,000 ms, estimated
 * with an error of a factor of e^"error".  Returns the ratio of the expected
 * to the true run time of all steps after the first 100.
 */
static double
learn(double error, double *mean_error)
{
	double took_ms, expected_ms, expected = 0, took = 0;
	uint64_t g = SEED;
	int64_t estimate_ms;
	int i;

	*mean_error = 0;
	for (i = 0; i < STEPS; i++) {
		took_ms = 1000 * exp(0.5 * deviate(&g));
		estimate_ms = (int64_t)(took_ms * exp(error * deviate(&g)));
		expected_ms = run_time_expected_ms(
		    run_time_find(table, "queue"), estimate_ms);
		if (i >= 100) {
			expected += expected_ms;
			took += took_ms;
			*mean_error +=
			    fabs(log(expected_ms / took_ms)) / (STEPS - 100);
		}
		run_time_add(&table, "queue", estimate_ms, took_ms, 1);
	}
	run_time_free(table);
	table = NULL;
	return expected / took;
}

Test(run_time, the_estimate_holds_until_a_run_is_measured)
{
	cr_expect_eq(run_time_expected_ms(NULL, 700), 700);
	cr_expect_null(run_time_find(NULL, "queue"));
	run_time_add(&table, "queue", 0, 300, 1); /* no estimate: no pair */
	cr_expect_null(run_time_find(table, "queue"));
}

/* A caller that is always off by the same factor is corrected by it. */
Test(run_time, a_constant_factor_is_learned)
{
	int64_t estimate_ms;
	int i;

	for (i = 0; i < 100; i++) {
		estimate_ms = 200 + 100 * (i % 8);
		run_time_add(
		    &table, "queue", estimate_ms, 3.0 * (double)estimate_ms, 1);
	}
	cr_expect_float_eq(
	    run_time_expected_ms(run_time_find(table, "queue"), 400), 1200, 60);
	cr_expect_float_eq(
	    run_time_expected_ms(run_time_find(table, "queue"), 900), 2700,
	    135);
	cr_expect_null(run_time_find(table, "other"));
	run_time_free(table);
	table = NULL;
}

/*
 * Estimates that are off by a factor of e^0.9 in both directions: their mean is
 * 1.5 times the mean run time, and the mean ratio of run time to estimate is
 * 1.5, too.  The expected total stays within a tenth of the true one, and a
 * single step is off by less than half of what its estimate is off by.
 */
Test(run_time, noisy_estimates_do_not_add_up_to_too_much)
{
	double ratio, mean_error;

	ratio = learn(0.9, &mean_error);
	cr_expect_float_eq(ratio, 1, 0.1, "ratio %.3f", ratio);
	cr_expect_lt(mean_error, 0.5 * 0.9, "error %.3f", mean_error);
}

/* Good estimates are followed: they say more than the queue's mean. */
Test(run_time, good_estimates_are_followed)
{
	double ratio, mean_error;

	ratio = learn(0.1, &mean_error);
	cr_expect_float_eq(ratio, 1, 0.05, "ratio %.3f", ratio);
	cr_expect_lt(mean_error, 0.12, "error %.3f", mean_error);
}

/* A queue whose tasks begin to run twice as long is followed within 90 steps.
 */
Test(run_time, a_change_is_followed)
{
	int i;

	for (i = 0; i < 200; i++)
		run_time_add(&table, "queue", 500, 500, 1);
	for (i = 0; i < 90; i++)
		run_time_add(&table, "queue", 500, 1000, 1);
	cr_expect_geq(
	    run_time_expected_ms(run_time_find(table, "queue"), 500), 800);
	run_time_free(table);
	table = NULL;
}
