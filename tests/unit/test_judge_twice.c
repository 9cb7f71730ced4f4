/* The world's judge counts starts after a run has ended done (TWICE). */
#include <criterion/criterion.h>

#include <string.h>

#include "jobs_world.h"

#define TASK_MS 500

static struct jobs_world *world;
static int first; /* worker on which the run ends done */

/*
 * A run ends done behind a cut.  The owner is told that its worker's machine
 * was removed, which is not so, and starts the task on the other worker.
 */
static void
start_after_unseen_end(bool speculative)
{
	struct jobs_world_opts o = {
	    .seed = 20261204,
	    .workers = 2,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	};
	struct job_spec *spec = jobs_order(1, 1, 500, TASK_MS);

	spec->steps[0].speculative = speculative;
	world = jobs_world_new(&o);
	jobs_world_submit(world, spec, NULL);
	job_spec_unref(spec);
	jobs_world_run(world, TASK_MS / 2);
	first = jobs_world_tasks_on(world, 0) > 0 ? 0 : 1;
	cr_assert_eq(jobs_world_tasks_on(world, first), 1);
	jobs_world_cut_worker(world, first, true);
	jobs_world_run(world, TASK_MS);
	cr_assert_eq(jobs_world_tasks_on(world, first), 0);
	jobs_world_report_removed(world, first, 0);
	jobs_world_run(world, 20);
	cr_assert_eq(jobs_world_starts(world), 2);
	cr_assert_eq(jobs_world_tasks_on(world, !first), 1);
}

/* The worker is reached again, and the owner takes note of its ends. */
static void
reach_again(void)
{
	jobs_world_cut_worker(world, first, false);
	jobs_world_list_worker(world, first, true);
	jobs_world_run(world, 6000);
}

static void
expect_twice(int count)
{
	struct jobs_verdict v;

	jobs_world_judge(world, &v);
	cr_expect_eq(v.ran_twice, count, "%d: %s", v.ran_twice, v.first);
	cr_expect_eq(strstr(v.first, "had ended done") != NULL, count > 0);
	jobs_world_free(world);
}

Test(judge_twice, a_start_after_an_end_that_is_noted_later_is_blamed)
{
	start_after_unseen_end(false);
	reach_again();
	expect_twice(1);
}

/* It is noted for good, though its worker crashes later. */
Test(judge_twice, a_crash_after_the_end_was_noted_excuses_no_start)
{
	start_after_unseen_end(false);
	reach_again();
	jobs_world_crash_worker(world, first);
	jobs_world_run(world, 6000);
	expect_twice(1);
}

/* The worker's lease lapses before the end is noted. */
Test(judge_twice, an_end_that_is_noted_after_its_lease_does_not_count)
{
	start_after_unseen_end(false);
	jobs_world_run(world, 6000);
	reach_again();
	expect_twice(0);
}

/* The worker crashes before the end is noted. */
Test(judge_twice, an_end_that_its_worker_has_forgotten_does_not_count)
{
	start_after_unseen_end(false);
	jobs_world_restart_worker(world, first);
	reach_again();
	expect_twice(0);
}

/* The end stays unnoted. */
Test(judge_twice, an_end_that_is_never_noted_does_not_count)
{
	start_after_unseen_end(false);
	jobs_world_run(world, 6000);
	expect_twice(0);
}

/* A copy may run on after the first has ended. */
Test(judge_twice, a_start_of_a_speculative_step_is_not_blamed)
{
	start_after_unseen_end(true);
	reach_again();
	expect_twice(0);
}
