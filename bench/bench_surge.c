/*
 * One service's queue surges to five times its mean, more than its pool
 * holds.  The balancer is sticky: most of the rush meets few daemons.
 */
#include <stdio.h>
#include <string.h>

#include "bed.h"
#include "bounds.h"

#define SURGE_US (6 * US_PER_S)
#define MEAN_SHARE 0.4 /* of the pool's capacity; 5 times that is 2.0 */

static void
surge_source(
    struct bed *b, const char *service, double rate, int64_t at, int64_t len)
{
	static const unsigned sticky[] = {420, 80, 250, 50, 160, 40};
	struct bed_source src = {.service = service, .member = "m1"};

	memcpy(src.node_share, sticky, sizeof(sticky));
	src.rate = rate;
	src.from_us = at;
	src.to_us = at + len;
	bed_source_add(b, &src);
}

static void
surge_print(
    const char *suffix, const char *what, double value, const char *unit)
{
	char name[64];

	snprintf(name, sizeof(name), "surge.%s%s", what, suffix);
	bed_print(name, value, unit);
}

static void
surge_run(enum path_policy policy, bool refuses_excess, const char *suffix)
{
	struct bed_opts o;
	struct bed *b;
	double capacity, worst;
	int64_t from = BED_START_US + US_PER_S;

	bed_opts_default(&o);
	o.policy = policy;
	o.refuses_excess = refuses_excess;
	b = bed_new(&o);
	capacity = bed_capacity(b);
	bed_window(b, from, from + SURGE_US);
	bed_count_from(b, from);
	surge_source(
	    b, "s1", capacity * MEAN_SHARE / 20, BED_START_US, US_PER_S);
	surge_source(b, "s1", capacity * MEAN_SHARE * 5, from, SURGE_US);
	bed_run(b, from + SURGE_US);
	worst = (double)sim_totals(bed_sim(b))->slot_overcommit_max;
	surge_print(suffix, "goodput_ratio",
	    (double)bed_stats(b, 0)->good_in_window / capacity /
		((double)SURGE_US / 1e6),
	    "ratio");
	surge_print(suffix, "slot_overcommit", (BED_SLOTS + worst) / BED_SLOTS,
	    "ratio");
	surge_print(
	    suffix, "p99_ms", (double)bed_latency(b, 0, 0.99) / 1e3, "ms");
	surge_print(suffix, "refusal_p99_ms",
	    (double)bed_refusal(b, 0, 0.99) / 1e3, "ms");
	surge_print(
	    suffix, "unknown", (double)bed_stats(b, 0)->unknown, "requests");
	surge_print(suffix, "open", (double)bed_stats(b, 0)->open, "requests");
	bed_free(b);
}

int
main(void)
{
	/* Workers that refuse beyond their slots, as their platform does. */
	surge_run(PATH_POLICY_CREDIT, true, "");
	surge_run(PATH_POLICY_STATIC, true, ".static");
	surge_run(PATH_POLICY_TWO_CHOICES, true, ".open");
	/* Workers that let requests wait on their further connections. */
	surge_run(PATH_POLICY_CREDIT, false, ".waiting");
	surge_run(PATH_POLICY_STATIC, false, ".static_waiting");
	surge_run(PATH_POLICY_TWO_CHOICES, false, ".open_waiting");
	return 0;
}
