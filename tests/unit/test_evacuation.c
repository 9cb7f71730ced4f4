/*
 * Evacuations for maintenance that cannot succeed, with the controller of the
 * machines and the owner of their pool.
 */
#include <stdlib.h>

#include <criterion/criterion.h>

#include "machines_world.h"

static struct jobs_world *jobs;
static struct machines_world *machines;

/* No machine is spare, and the other pool keeps both of its own. */
static void
begin(uint64_t seed, int workers)
{
	struct jobs_world_opts o = {
	    .seed = seed,
	    .workers = workers,
	    .cpu = 4000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .begin_ms = 200,
	    .guarded = true,
	};
	struct machines_world_opts m = {
	    .seed = seed,
	    .machines = workers,
	    .other_machines = 2,
	    .maintenance_ms = 2000,
	    .move_ms = 1500,
	    .store_ms = 4,
	    .trace = getenv("JOBS_WORLD_LOG") != NULL,
	};

	jobs = jobs_world_new(&o);
	m.jobs = jobs;
	machines = machines_world_new(&m);
	machines_world_other_wants(machines, 2);
	machines_world_run(machines, 4000);
}

static void
submit_lasting(unsigned count, unsigned max_per_worker, unsigned may_miss)
{
	struct job_spec *o = jobs_order(1, count, 1000, 0);

	o->steps[0].long_running = true;
	o->steps[0].max_unavailable = may_miss;
	o->steps[0].max_per_worker = max_per_worker;
	jobs_world_submit(jobs, o, NULL);
	job_spec_unref(o);
}

static void
submit_short(char id[JOB_ID_BYTES])
{
	struct job_spec *o = jobs_order(1, 1, 1000, 500);

	jobs_world_submit(jobs, o, id);
	job_spec_unref(o);
}

static size_t
tasks_running(void)
{
	size_t n = 0;
	int i;

	for (i = 0; i < JOBS_WORLD_WORKERS; i++)
		n += jobs_world_tasks_on(jobs, i);
	return n;
}

/* Each promise holds, and the lasting tasks run. */
static void
expect_kept(size_t lasting)
{
	struct jobs_verdict v;

	cr_expect_eq(tasks_running(), lasting);
	jobs_world_judge(jobs, &v);
	cr_expect_str_eq(v.first, "");
	machines_world_free(machines);
	jobs_world_free(jobs);
}

/*
 * A wave takes both machines of a pool while they are idle.  Before their
 * cordons arrive, tasks that last start on both: neither worker could send its
 * task to the other, both stayed cordoned, and later jobs stayed queued.
 */
Test(evacuation, two_workers_that_cannot_be_emptied_are_not_both_kept_cordoned)
{
	char id[JOB_ID_BYTES];
	int ms;

	for (ms = 0; ms <= 200; ms += 20) {
		begin(1 + (uint64_t)ms, 2);
		machines_world_wave(machines, 3, 30000, 2);
		machines_world_run(machines, 1 + ms);
		submit_lasting(2, 1, 1);
		machines_world_run(machines, 4400);
		submit_short(id);
		machines_world_run(machines, 3000);
		cr_expect_eq(jobs_world_state(jobs, id), JOB_COMPLETED,
		    "after %d ms", ms);
		machines_world_run(machines, 22000);
		cr_expect(!machines_world_wave_is_open(machines));
		cr_expect_eq(machines_world_carried_out(machines), 2);
		expect_kept(2);
	}
}

/* The same with tasks none of which may be missed: the wave stays open. */
Test(evacuation, a_worker_that_cannot_be_emptied_serves_again)
{
	char id[JOB_ID_BYTES];
	int i;

	begin(1, 1);
	submit_lasting(1, 1, 0);
	machines_world_run(machines, 1000);
	machines_world_wave(machines, 1, 30000, 1);
	machines_world_run(machines, 1000);
	for (i = 0; i < 4; i++) {
		submit_short(id);
		machines_world_run(machines, 12000);
		cr_expect_eq(jobs_world_state(jobs, id), JOB_COMPLETED);
	}
	cr_expect_eq(machines_world_carried_out(machines), 0);
	expect_kept(1);
}
