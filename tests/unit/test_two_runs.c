/*
 * Outcomes and news that are taken for a change of state: by the name alone,
 * by the time at which they arrive, or by a time of day.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "jobs_world.h"
#include "roster.h"

static struct jobs_world *world;

/* Two workers; the second is down and unlisted. */
static void
one_of_two_workers(void)
{
	struct jobs_world_opts o = {
	    .seed = 20261206,
	    .workers = 2,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	};

	world = jobs_world_new(&o);
	jobs_world_crash_worker(world, 1);
	jobs_world_list_worker(world, 1, false);
}

static void
second_worker_joins(void)
{
	jobs_world_restart_worker(world, 1);
	jobs_world_list_worker(world, 1, true);
}

static void
submit_lasting(void)
{
	struct job_spec *o = jobs_order(1, 1, 500, 0);

	o->steps[0].long_running = true;
	o->steps[0].max_unavailable = 1;
	jobs_world_submit(world, o, NULL);
	job_spec_unref(o);
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
 * A zone is cut off: the first owner and the first worker reach each other
 * only.  The second owner's time of day is 2 s behind.  It records until when
 * runs on that worker may live, as a time of day; the third owner takes that as
 * its own time, and starts the task while its run still has a lease.
 */
Test(two_runs, a_record_of_an_owner_whose_clock_is_behind_ends_no_run)
{
	one_of_two_workers();
	submit_lasting();
	jobs_world_run(world, 2000);
	cr_assert_eq(jobs_world_tasks_on(world, 0), 1);
	second_worker_joins();
	jobs_world_side(world, 0, 1);
	jobs_world_side(world, 1, 2);
	jobs_world_clock_step(world, -2000);
	jobs_world_take_over(world, 1);
	jobs_world_run(world, 1500);
	jobs_world_clock_step(world, 0);
	jobs_world_side(world, 1, 3);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 10000);
	expect_one_run();
}

/*
 * The worker is back under its id, and has answered, when the loop of the owner
 * stands still for 3 s.  A repeated notice of its removal, which was sent at
 * the beginning of that time, is dated by when it is read.
 */
Test(two_runs, a_notice_that_a_late_loop_reads_ends_no_later_incarnation)
{
	one_of_two_workers();
	submit_lasting();
	jobs_world_run(world, 2000);
	cr_assert_eq(jobs_world_tasks_on(world, 0), 1);
	jobs_world_take_worker(world, 0);
	jobs_world_run(world, 2000);
	jobs_world_restart_worker(world, 0);
	jobs_world_run(world, 1000);
	cr_assert_eq(jobs_world_tasks_on(world, 0), 1);
	second_worker_joins();
	jobs_world_run(world, 100);
	jobs_world_stall(world, 3000);
	jobs_world_run(world, 2999);
	jobs_world_report_removed(world, 0, 3100);
	jobs_world_run(world, 3000);
	expect_one_run();
}

/*
 * The worker has answered just before its machine was taken away, and its owner
 * reads the answer after the notice.  There is no room elsewhere at that time,
 * so the answer puts the task back on the removed worker, for good.
 */
Test(two_runs, an_answer_that_is_read_after_the_removal_keeps_no_task)
{
	int ms;

	/* a renewal waits a second: one of these reads delays its answer */
	for (ms = 2000; ms < 3000; ms += 200) {
		one_of_two_workers();
		submit_lasting();
		jobs_world_run(world, ms);
		cr_assert_eq(jobs_world_tasks_on(world, 0), 1);
		jobs_world_answers_wait(world, 300);
		jobs_world_run(world, 250);
		jobs_world_take_worker(world, 0);
		jobs_world_run(world, 500);
		second_worker_joins();
		jobs_world_run(world, 12000);
		cr_expect_eq(jobs_world_tasks_on(world, 1), 1, "%d ms", ms);
		expect_one_run();
	}
}

static struct roster *roster;
static int64_t now_us;
static struct machine_report machines[2];
static int commands; /* sent */

static void
event(struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	memset(&fx, 0, sizeof(fx));
	ev->now_us = now_us;
	roster_step(roster, ev, &fx);
	for (i = 0; i < fx.count; i++)
		commands += fx.list[i].kind == ROSTER_EFFECT_MAINTENANCE;
	roster_effects_uninit(&fx);
}

static void
list_machines(const struct machine_report *list, size_t count)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};

	ev.u.machine_list.list = list;
	ev.u.machine_list.count = count;
	event(&ev);
}

/* The workers that are up run nothing, and are cordoned. */
static void
report_and_tick(void)
{
	struct pool_worker_report list[2];
	struct pool_report r = {.pool = "blue",
	    .fence = 1,
	    .request_sent_us = now_us,
	    .demand = {.coverage = DEMAND_COMPLETE},
	    .workers = list};
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_REPORT};
	struct roster_event tick = {.kind = ROSTER_EVENT_TICK};
	int i;

	memset(list, 0, sizeof(list));
	for (i = 0; i < 2; i++) {
		if (machines[i].state != MACHINE_UP)
			continue;
		snprintf(list[r.worker_count].worker, NAME_BYTES, "%s",
		    machines[i].worker);
		list[r.worker_count++].cordoned = true;
	}
	ev.u.report = &r;
	event(&ev);
	event(&tick);
}

/* The pool blue has two machines, and a wave of both, one at a time. */
static void
wave_of_two(void)
{
	static const char names[2][NAME_BYTES] = {"m-0", "m-1"};
	struct roster_opts o = {.now_us = 1,
	    .command_holdoff_ms = 4300,
	    .maintenance_ms = 2000,
	    .move_ms = 1500};
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_CONFIG};
	int i;

	now_us = US_PER_S;
	commands = 0;
	roster = roster_new(&o);
	snprintf(ev.u.pool_config.name, NAME_BYTES, "blue");
	event(&ev);
	memset(machines, 0, sizeof(machines));
	for (i = 0; i < 2; i++) {
		snprintf(machines[i].machine, NAME_BYTES, "m-%d", i);
		snprintf(machines[i].pool, NAME_BYTES, "blue");
		snprintf(machines[i].worker, NAME_BYTES, "w-%d", i);
		machines[i].cpu_milli = 8000;
	}
	list_machines(machines, 2);
	memset(&ev, 0, sizeof(ev));
	ev.kind = ROSTER_EVENT_WAVE_REQUEST;
	ev.u.wave_request.wave_number = 1;
	ev.u.wave_request.machine_names = names;
	ev.u.wave_request.count = 2;
	ev.u.wave_request.within_ms = 20000;
	ev.u.wave_request.max_down = 1;
	event(&ev);
	for (i = 0; i < 5; i++) {
		now_us += 200 * US_PER_MS;
		report_and_tick();
	}
}

/*
 * The pages of a list are no snapshot: one list lacks the machine whose upkeep
 * is under way.  The controller forgets it, and exceeds the cap of the wave.
 */
Test(two_runs, a_machine_that_one_list_lacks_counts_for_the_cap_of_its_wave)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};
	int i;

	wave_of_two();
	cr_assert_eq(commands, 1);
	snprintf(ev.u.command_result.machine, NAME_BYTES, "m-0");
	ev.u.command_result.result = ROSTER_COMMAND_DONE;
	event(&ev);
	machines[0].state = MACHINE_MAINTENANCE;
	machines[0].worker[0] = '\0';
	now_us += 600 * US_PER_MS;
	report_and_tick(); /* requests the list */
	list_machines(machines + 1, 1);
	for (i = 0; i < 5; i++) {
		now_us += 200 * US_PER_MS;
		report_and_tick();
	}
	cr_expect_eq(commands, 1, "m-1 is ordered while m-0 is down");
	roster_free(roster);
}
