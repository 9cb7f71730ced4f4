/* What the fixes for second runs of a task may have brought in. */
#include <criterion/criterion.h>

#include "jobs_world.h"

#define SETTLE_MS 7500 /* the wait for a worker that is silent */

static struct jobs_world *world;

static struct jobs_world *
world_of_three(uint64_t seed)
{
	struct jobs_world_opts o = {
	    .seed = seed,
	    .workers = 3,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	};

	return jobs_world_new(&o);
}

static void
submit_lasting(unsigned count)
{
	struct job_spec *o = jobs_order(1, count, 100, 0);

	o->steps[0].long_running = true;
	o->steps[0].max_unavailable = 1;
	jobs_world_submit(world, o, NULL);
	job_spec_unref(o);
}

/* Three lasting tasks on one of three workers, which is returned. */
static int
run_three_lasting(void)
{
	int i;

	world = world_of_three(20261206);
	submit_lasting(3);
	jobs_world_run(world, 500);
	for (i = 0; i < 3 && jobs_world_tasks_on(world, i) == 0; i++)
		continue;
	cr_assert(i < 3 && jobs_world_tasks_on(world, i) == 3);
	return i;
}

/* ms until the tasks are on other workers than "from", at most "limit". */
static int
wait_until_moved(int from, int limit)
{
	size_t n;
	int i, ms;

	for (ms = 0; ms < limit; ms += 50) {
		for (n = 0, i = 0; i < 3; i++)
			n += i != from ? jobs_world_tasks_on(world, i) : 0;
		if (n == 3)
			return ms;
		jobs_world_run(world, 50);
	}
	return limit;
}

static void
expect_one_run(void)
{
	struct jobs_verdict v;

	jobs_world_judge(world, &v);
	cr_expect_eq(v.ran_twice, 0, "%s", v.first);
	jobs_world_free(world);
}

/*
 * The first renewal to a silent worker is refused before any other worker has
 * answered the new owner: the record of the wait has no other worker's clock,
 * and each owner in a row waits anew.
 */
Test(fixes_review, owners_in_a_row_do_not_each_wait_anew_for_one_that_refuses)
{
	int i, ms, w;

	w = run_three_lasting();
	jobs_world_refuse_worker(world, w, true);
	for (i = 0; i < 5; i++) {
		jobs_world_take_over(world, 0);
		jobs_world_run(world, 1000);
	}
	ms = wait_until_moved(w, 20000);
	cr_expect_leq(ms, SETTLE_MS - 5000 + 1000, "%d ms", ms);
	expect_one_run();
}

/* The worker whose clock is in the record restarts: nobody has that clock. */
Test(fixes_review, owners_in_a_row_do_not_wait_anew_as_another_worker_restarts)
{
	int i, k, ms, w;

	w = run_three_lasting();
	jobs_world_cut_worker(world, w, true);
	jobs_world_list_worker(world, w, false);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 2500);
	for (i = 0; i < 3; i++) {
		if (i != w)
			jobs_world_restart_worker(world, i);
	}
	jobs_world_run(world, 500);
	for (k = 0; k < 2; k++) {
		jobs_world_take_over(world, 0);
		jobs_world_run(world, 1000);
	}
	ms = wait_until_moved(w, 20000);
	cr_expect_leq(ms, SETTLE_MS - 5000 + 1000, "%d ms", ms);
	expect_one_run();
}

/*
 * A run that a worker has listed ends when that restarts.  Where an owner has
 * begun less than 12 s before, its task stays there until the new incarnation
 * answers, and if that is cut off, far longer than a lease lasts.
 */
Test(fixes_review, tasks_of_a_worker_restarted_and_cut_off_start_elsewhere)
{
	int ms, w;

	w = run_three_lasting();
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 3000);
	cr_assert_eq(jobs_world_tasks_on(world, w), 3);
	jobs_world_restart_worker(world, w);
	jobs_world_cut_worker(world, w, true);
	ms = wait_until_moved(w, 30000);
	cr_expect_leq(ms, SETTLE_MS, "%d ms", ms);
	expect_one_run();
}

static void
take_over_across_a_restart(uint64_t seed, int restarted, int cut)
{

	world = world_of_three(seed);
	jobs_world_late_orders_cross_restarts(world);
	jobs_world_crash_worker(world, 2);
	jobs_world_list_worker(world, 2, false);
	jobs_world_run(world, 3000);
	jobs_world_late(world, 1);
	submit_lasting(1);
	jobs_world_run(world, 30);
	jobs_world_late(world, 0);
	jobs_world_cut_worker(world, cut, true);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 500);
	jobs_world_side(world, restarted, 1);
	jobs_world_restart_worker(world, restarted);
	jobs_world_run(world, 1500);
	jobs_world_cut_worker(world, cut, false);
	jobs_world_run(world, 4000);
	jobs_world_side(world, restarted, 0);
	jobs_world_run(world, 10000);
	expect_one_run();
}

/*
 * The start of an earlier owner is held up.  Its worker answers the new owner
 * without the run, and restarts while another worker's answer is awaited: the
 * start may still arrive at the new incarnation, which has not answered.
 */
Test(fixes_review, inherited_jobs_wait_for_a_worker_that_restarts_meanwhile)
{
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++) {
		take_over_across_a_restart(seed, 0, 1);
		take_over_across_a_restart(seed, 1, 0);
	}
}

/*
 * The worker was silent under the owner before.  It answers the new one, which
 * can't store that for 4 s.
 */
Test(fixes_review, a_worker_that_answers_again_keeps_its_tasks_in_an_outage)
{
	int w;

	w = run_three_lasting();
	jobs_world_cut_worker(world, w, true);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 1500);
	jobs_world_cut_worker(world, w, false);
	jobs_world_take_over(world, 0);
	jobs_world_store(world, true);
	jobs_world_run(world, 4000);
	jobs_world_store(world, false);
	jobs_world_run(world, 5000);
	cr_expect_eq(jobs_world_starts(world), 3, "%d starts",
	    (int)jobs_world_starts(world));
	expect_one_run();
}
