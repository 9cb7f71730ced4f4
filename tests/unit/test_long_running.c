/* A pool's reducer: long-running tasks stay available. */
#include <criterion/criterion.h>

#include "jobs_world.h"

#define BEGIN_MS 600 /* until a task is at work */
#define TASK_MB 9000 /* a worker has memory for one */

static struct jobs_world *world;
static int on[JOBS_WORLD_WORKERS]; /* workers of the step's tasks, and then … */
static int spare[JOBS_WORLD_WORKERS]; /* … the others */

static bool answers_first; /* see struct jobs_world_opts */

static struct jobs_world *
world_of(int workers, int begin_ms)
{
	struct jobs_world_opts o = {
	    .seed = 20261205,
	    .workers = workers,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .begin_ms = begin_ms,
	    .said_guarded = true,
	    .answers_first = answers_first,
	};

	return jobs_world_new(&o);
}

/* Starts a step with one task on each of "count" workers. */
static void
run_step(int workers, unsigned count, unsigned may_miss)
{
	struct job_spec *o = jobs_order(1, count, 500, 0);
	unsigned n = 0;
	int i, spares = 0;

	o->steps[0].long_running = true;
	o->steps[0].max_unavailable = may_miss;
	o->steps[0].memory_mb = TASK_MB;
	jobs_world_submit(world, o, NULL);
	job_spec_unref(o);
	jobs_world_run(world, 3000);
	for (i = 0; i < workers; i++) {
		if (jobs_world_tasks_on(world, i) == 1)
			on[n++] = i;
		else
			spare[spares++] = i;
	}
	cr_assert_eq(n, count);
}

static void
expect_kept(void)
{
	struct jobs_verdict v;

	jobs_world_judge(world, &v);
	cr_expect_str_eq(v.first, "");
	cr_expect_eq(v.over_unavailable, 0);
	jobs_world_free(world);
}

Test(long_running, answers_from_before_a_pause_of_the_loop_allow_no_move)
{
	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	jobs_world_stall(world, 2500);
	jobs_world_crash_worker(world, on[0]);
	jobs_world_crash_worker(world, on[1]);
	jobs_world_run(world, 2499);
	jobs_world_stall(world, 0);
	jobs_world_cordon_worker(world, on[2]);
	jobs_world_run(world, 300);
	cr_expect_eq(jobs_world_tasks_on(world, on[2]), 1);
	jobs_world_free(world);
}

static void
crash_two_in_a_pause_and_evacuate_the_third(void)
{
	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	jobs_world_run(world, 500);
	jobs_world_stall(world, 2500);
	jobs_world_run(world, 700); /* the workers have answered by now */
	jobs_world_crash_worker(world, on[0]);
	jobs_world_crash_worker(world, on[1]);
	jobs_world_run(world, 1800);
	jobs_world_cordon_worker(world, on[2]);
	jobs_world_run(world, 300);
	cr_expect_eq(jobs_world_tasks_on(world, on[2]), 1);
	jobs_world_free(world);
}

Test(long_running, time_outs_that_run_after_a_pause_allow_no_move)
{
	crash_two_in_a_pause_and_evacuate_the_third();
}

Test(long_running, an_answer_read_after_a_pause_counts_from_its_renewal)
{
	answers_first = true;
	crash_two_in_a_pause_and_evacuate_the_third();
}

static void
run_step_in_a_late_loop(int round_ms)
{
	int i;

	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	jobs_world_stall(world, 1800);
	jobs_world_run(world, 1802);
	for (i = 0; i < 20; i++) {
		jobs_world_stall(world, round_ms);
		jobs_world_run(world, round_ms + 2);
	}
	for (i = 0; i < 3; i++)
		cr_expect_eq(jobs_world_tasks_on(world, on[i]), 1);
	expect_kept();
}

Test(long_running, no_lease_expires_while_the_loop_is_late)
{
	run_step_in_a_late_loop(650);
}

Test(long_running, no_lease_expires_while_the_loop_is_later_than_a_margin)
{
	run_step_in_a_late_loop(850);
}

Test(long_running, a_start_answered_late_is_not_stopped_once_it_is_listed)
{
	world = world_of(4, 100);
	run_step(4, 3, 1);
	jobs_world_crash_worker(world, on[0]);
	jobs_world_crash_worker(world, on[1]);
	jobs_world_list_worker(world, spare[0], false);
	jobs_world_run(world, 6000); /* both are away */
	jobs_world_list_worker(world, spare[0], true);
	jobs_world_lose(world, 1);
	jobs_world_run(world, 20);
	cr_expect_eq(jobs_world_tasks_on(world, spare[0]), 1);
	jobs_world_lose(world, 0);
	jobs_world_run(world, 3000);
	cr_expect_eq(jobs_world_tasks_on(world, spare[0]), 1);
	expect_kept();
}

Test(long_running, renewals_that_grant_no_lease_do_not_follow_at_once)
{
	uint64_t before;

	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	jobs_world_crash_worker(world, spare[2]);
	jobs_world_run(world, 3000);
	jobs_world_store(world, true);
	jobs_world_restart_worker(world, spare[2]);
	before = jobs_world_renewals(world);
	jobs_world_run(world, 3000);
	/* four workers, some renewals a second each */
	cr_expect_leq(jobs_world_renewals(world) - before, 4 * 3 * 8, "%llu",
	    (unsigned long long)(jobs_world_renewals(world) - before));
	jobs_world_store(world, false);
	jobs_world_run(world, 1000);
	expect_kept();
}

Test(long_running, no_lease_expires_as_a_store_outage_delays_records)
{
	int i;

	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	for (i = 0; i < 3; i++)
		jobs_world_cut_worker(world, on[i], true);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 900); /* each has missed a renewal */
	jobs_world_store(world, true);
	for (i = 0; i < 3; i++)
		jobs_world_cut_worker(world, on[i], false);
	jobs_world_run(world, 3500);
	for (i = 0; i < 3; i++)
		cr_expect_eq(jobs_world_tasks_on(world, on[i]), 1, "%d", i);
	jobs_world_store(world, false);
	jobs_world_run(world, 6000);
	expect_kept();
}

Test(long_running, no_lease_expires_as_the_loop_of_a_new_owner_is_late)
{
	int i;

	world = world_of(6, BEGIN_MS);
	run_step(6, 3, 1);
	jobs_world_take_over(world, 0);
	for (i = 0; i < 12; i++) {
		jobs_world_stall(world, 650);
		jobs_world_run(world, 652);
	}
	for (i = 0; i < 3; i++)
		cr_expect_eq(jobs_world_tasks_on(world, on[i]), 1);
	jobs_world_run(world, 3000);
	expect_kept();
}

Test(long_running, starts_that_fill_the_link_let_no_lease_expire)
{
	struct jobs_world_opts o = {
	    .seed = 20261205,
	    .workers = 24,
	    .cpu = 16000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .link_bytes_per_ms = 250,
	    .store_ms = 4,
	    .begin_ms = BEGIN_MS,
	    .said_guarded = true,
	};
	struct job_spec *spec;
	int i;

	world = jobs_world_new(&o);
	run_step(24, 6, 1);
	for (i = 0; i < 80; i++) {
		spec = jobs_order(1, 8, 1000, 500);
		jobs_world_submit(world, spec, NULL);
		jobs_world_submit(world, spec, NULL);
		job_spec_unref(spec);
		jobs_world_run(world, 100);
	}
	jobs_world_run(world, 30000);
	expect_kept();
}
