/* A pool that is asked for more than it has, in virtual time. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "jobs_world.h"
#include "pressure.h"

#define PLAYS 5
/* Bound of docs/design/load-selection.md for one overdue job. */
#define OVERDUE_MS 10000

static struct jobs_world *world;

static void
begin(int workers, bool by_cost)
{
	struct jobs_world_opts o = {
	    .seed = 20261207,
	    .workers = workers,
	    .cpu = 8000,
	    .memory_mb = 64000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	    .select_by_cost = by_cost,
	};

	world = jobs_world_new(&o);
}

static void
account(const char *name, double weight, int priority)
{
	struct account_settings a = {.weight = weight, .priority = priority};

	snprintf(a.name, sizeof(a.name), "%s", name);
	jobs_world_account(world, &a);
}

static void
submit(const char *name, unsigned count, int64_t cpu, int64_t ms, char *id)
{
	struct job_spec *s = jobs_order(1, count, cpu, ms);

	jobs_world_caller(world, name);
	jobs_world_submit(world, s, id);
	job_spec_unref(s);
}

static void
expect_kept(void)
{
	struct jobs_verdict v;

	jobs_world_judge(world, &v);
	cr_expect_str_eq(v.first, "");
	jobs_world_free(world);
}

static struct pool_stats
stats(void)
{
	struct pool_stats s;

	pool_stats(jobs_world_pool(world), &s);
	return s;
}

static void
play(enum pressure_mode mode, double hot_factor, uint64_t seed,
    struct pressure_result *r)
{
	struct pressure_opts o = {
	    .mode = mode, .hot_factor = hot_factor, .seed = seed};

	pressure_play(&o, r);
	cr_expect_str_eq(r->broken, "");
}

/* Value that all accounts but the hot one obtain. */
static double
value_of_others(const struct pressure_result *r)
{
	return r->all.value - r->hot.value;
}

/*
 * An account that sent six times its usual load took capacity from others.  It
 * is entitled to its weighted share, 0.067 of the capacity, during its excess
 * in a surge, 3 s of the 12 s of surges.
 */
Test(pressure, a_hot_account_takes_nothing_beyond_its_share, .timeout = 120)
{
	struct pressure_result usual, hot;
	double before = 0, after = 0;
	uint64_t seed;

	for (seed = 1; seed <= PLAYS; seed++) {
		play(PRESSURE_BY_ACCOUNT, 1, seed, &usual);
		play(PRESSURE_BY_ACCOUNT, 6, seed, &hot);
		before += value_of_others(&usual);
		after += value_of_others(&hot);
	}
	cr_expect_geq(after, before * (1 - 0.067 * 3 / 12),
	    "others obtained %.0f, and %.0f beside the hot account", before,
	    after);
}

/* Overload made most jobs late, and those of small accounts first. */
Test(pressure, selection_serves_callers_at_least_as_well, .timeout = 120)
{
	enum pressure_mode modes[] = {PRESSURE_BY_COST, PRESSURE_BY_ACCOUNT};
	struct pressure_result without, with;
	double value, worst;
	uint64_t seed;
	size_t m;

	for (m = 0; m < 2; m++) {
		value = worst = 0;
		for (seed = 1; seed <= PLAYS; seed++) {
			play(PRESSURE_BY_RANK, 6, seed, &without);
			play(modes[m], 6, seed, &with);
			value += with.all.value - without.all.value;
			worst += with.worst_tenth - without.worst_tenth;
		}
		cr_expect_geq(value, 0);
		cr_expect_geq(worst, 0);
	}
}

/* Keeps the pool busy with small tasks of another account for so long. */
static void
crowd(int ms, int jobs_per_100_ms)
{
	int i, k;

	for (i = 0; i < ms; i += 100) {
		for (k = 0; k < jobs_per_100_ms; k++)
			submit("crowd", 1, 1000, 300 + 50 * (k % 4), NULL);
		jobs_world_run(world, 100);
	}
}

/*
 * A task as large as a worker never found an empty one between small tasks.
 * Its objective is 1.6 x 500 + 600 ms; a worker is empty 450 ms after it is
 * reserved, and commands and passes take some time.
 */
Test(pressure, a_large_job_does_not_starve, .timeout = 120)
{
	char id[JOB_ID_BYTES], gang_id[JOB_ID_BYTES];
	struct job_spec *gang = jobs_order(1, 3, 8000, 500);

	begin(4, false);
	account("crowd", 1000, 0);
	account("large", 1, 2);
	crowd(1000, 12);
	submit("large", 1, 8000, 500, id);
	/* a job of the crowd may be in turn before it */
	crowd(1400 + OVERDUE_MS + 2 * 450 + 500 + 200, 12);
	cr_expect_eq(jobs_world_state(world, id), JOB_COMPLETED);
	gang->steps[0].gang = true;
	jobs_world_caller(world, "large");
	jobs_world_submit(world, gang, gang_id);
	job_spec_unref(gang);
	crowd(1400 + OVERDUE_MS + 2 * 450 + 500 + 200, 12);
	cr_expect_eq(jobs_world_state(world, gang_id), JOB_COMPLETED);
	jobs_world_run(world, 20000);
	expect_kept();
}

/* Deferred jobs of a hot account came never while others kept the pool full. */
Test(pressure, deferred_jobs_do_not_starve, .timeout = 120)
{
	char ids[4][JOB_ID_BYTES];
	size_t i;

	begin(2, false);
	account("crowd", 1000, 0);
	account("other", 0.01, 5);
	crowd(500, 12);
	for (i = 0; i < 4; i++) {
		submit("other", 2, 1000, 400, ids[i]);
		jobs_world_run(world, 10);
	}
	/* in turn with jobs of the crowd, of 0.45 s, and one task at a time */
	crowd(1240 + OVERDUE_MS + 4 * (2 * 400 + 450 + 50), 12);
	for (i = 0; i < 4; i++)
		cr_expect(jobs_world_retry_ms(world, ids[i]) > 0 ||
		    jobs_world_state(world, ids[i]) == JOB_COMPLETED);
	jobs_world_run(world, 60000); /* 29 cores of excess for 17 s, on 16 */
	expect_kept();
}

/* Jobs that were refused, and what their callers were told. */
Test(pressure, refusals_are_true_and_accepted_jobs_are_kept, .timeout = 120)
{
	enum {
		JOBS = 300
	};
	char ids[JOBS][JOB_ID_BYTES];
	struct job_spec *specs[JOBS];
	uint64_t starts;
	int i, retry_ms[JOBS], refused = 0, later = 0, accepted_again = 0;

	begin(2, false);
	account("hot", 5, 0);
	account("crowd", 1000, 0);
	crowd(500, 10);
	for (i = 0; i < JOBS; i++) {
		jobs_world_caller(world, "hot");
		specs[i] = jobs_order(1, 4, 1000, 500);
		jobs_world_submit(world, specs[i], ids[i]);
		retry_ms[i] = jobs_world_retry_ms(world, ids[i]);
		refused += retry_ms[i] > 0;
		if (i % 10 == 9)
			crowd(100, 2);
	}
	cr_expect_gt(refused, JOBS / 2);
	cr_expect_eq(stats().refused_rate + stats().refused_share +
		stats().refused_backlog,
	    (uint64_t)refused);
	cr_expect_gt(stats().deferred, 0);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 20000);
	starts = jobs_world_starts(world);
	for (i = 0; i < JOBS; i++) {
		if (retry_ms[i] == 0) {
			cr_expect_eq(
			    jobs_world_state(world, ids[i]), JOB_COMPLETED);
			continue;
		}
		cr_expect_geq(retry_ms[i], 1000);
		cr_expect_leq(retry_ms[i], 10000);
		/* the load has ended: the pool knows none of them */
		cr_expect_eq(jobs_world_state(world, ids[i]), -1);
		later++;
		if (later > 20)
			continue;
		jobs_world_submit_again(world, specs[i], ids[i]);
		cr_expect_eq(jobs_world_starts(world), starts);
		jobs_world_run(world, 1000 / 5); /* at the account's rate */
		accepted_again += jobs_world_retry_ms(world, ids[i]) == 0;
		starts = jobs_world_starts(world);
	}
	cr_expect_eq(accepted_again, 20);
	jobs_world_run(world, 30000);
	expect_kept();
	for (i = 0; i < JOBS; i++)
		job_spec_unref(specs[i]);
}

/* A caller who returns when it was told was refused again. */
Test(pressure, a_retry_is_accepted_when_it_was_told, .timeout = 120)
{
	struct job_spec *spec = jobs_order(1, 4, 1000, 500);
	char id[JOB_ID_BYTES] = "";
	int i, retry_ms = 0;

	begin(2, true);
	for (i = 0; i < 500 && retry_ms == 0; i++) {
		jobs_world_submit(world, spec, id);
		retry_ms = jobs_world_retry_ms(world, id);
		if (i % 5 == 4)
			jobs_world_run(world, 10);
	}
	cr_assert_gt(retry_ms, 0);
	jobs_world_run(world, retry_ms);
	jobs_world_submit_again(world, spec, id);
	jobs_world_run(world, 10); /* until it is stored */
	cr_expect_eq(jobs_world_retry_ms(world, id), 0);
	jobs_world_run(world, 40000);
	expect_kept();
	job_spec_unref(spec);
}

/* Long-running tasks and gangs left the account its share once more. */
Test(pressure, what_an_account_holds_counts_against_its_share)
{
	struct job_spec *service = jobs_order(1, 7, 1000, 0);
	struct job_spec *gang = jobs_order(1, 4, 1000, 20000);
	char holder[20][JOB_ID_BYTES], other[20][JOB_ID_BYTES];
	int i, held = 0, free = 0;

	begin(2, false);
	account("holder", 50, 0);
	account("other", 50, 0);
	service->steps[0].long_running = true;
	gang->steps[0].gang = true;
	jobs_world_caller(world, "holder");
	jobs_world_submit(world, service, NULL);
	jobs_world_submit(world, gang, NULL);
	jobs_world_run(world, 200);
	for (i = 0; i < 20; i++) {
		submit("holder", 1, 1000, 400, holder[i]);
		submit("other", 1, 1000, 400, other[i]);
	}
	jobs_world_run(world, 1240);
	for (i = 0; i < 20; i++) {
		held += jobs_world_took_ms(world, holder[i]) >= 0;
		free += jobs_world_took_ms(world, other[i]) >= 0;
	}
	cr_expect_gt(
	    free, 2 * held, "%d of the other, %d of the holder", free, held);
	jobs_world_run(world, 40000);
	expect_kept();
	job_spec_unref(service);
	job_spec_unref(gang);
}

/* Without accounts, and where all fits, nothing is deferred or refused. */
Test(pressure, selection_is_off_without_accounts)
{
	struct pressure_result r;

	play(PRESSURE_BY_RANK, 6, 1, &r);
	begin(2, false);
	crowd(3000, 20);
	cr_expect_eq(stats().deferred, 0);
	cr_expect(!stats().under_pressure);
	jobs_world_run(world, 20000);
	expect_kept();
	begin(2, false);
	account("crowd", 1, 0);
	crowd(3000, 2);
	cr_expect_eq(stats().deferred + stats().refused, 0);
	jobs_world_run(world, 5000);
	expect_kept();
}
