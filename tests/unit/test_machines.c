/* Waves of maintenance and moves of machines, from events alone. */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "cordon_wire.h"
#include "roster.h"
#include "wire.h"

#define MACHINES 12
#define MACHINES_MAX 371 /* of the largest deployment */
#define TICK_US (200 * US_PER_MS)
#define MAINTENANCE_MS 2000
#define MOVE_MS 1500

static struct roster *roster;
static int64_t now_us;
static int machine_count;
static struct machine_report machines[MACHINES_MAX];
/* What the owners of the pools blue and green report. */
static int64_t wanted_milli[2]; /* thousandths of a machine */
static int64_t arriving_milli[2]; /* that arriving work uses */
static enum demand_coverage coverage[2];
static int64_t worker_list_age_ms[2];
static size_t long_running_workers[2]; /* that long-running tasks need */
/* Of each machine's worker. */
static size_t tasks[MACHINES_MAX];
static size_t long_running[MACHINES_MAX]; /* tasks among them */
static bool silent[MACHINES_MAX]; /* does not answer its owner */
static bool tasks_end; /* tasks of a cordoned worker end by themselves */
/* Interval in which a pool moves one long-running task; 0: all at once. */
static int long_running_move_ms;
static int64_t long_running_moved_us[2]; /* newest such move */
static bool evacuating[MACHINES_MAX];
static int64_t away_until_us[MACHINES_MAX];
static char back_in[MACHINES_MAX][NAME_BYTES];
static int maintenance_starts, moves, max_down, completed_statuses,
    recorded_wave_requests;
static bool maintenance_started[MACHINES_MAX];

static void event(struct roster_event *ev);

static int
machine_index(const char *name)
{
	return atoi(name + 2);
}

static void
command_result(const char *machine, enum roster_command_result end)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};

	snprintf(ev.u.command_result.machine, NAME_BYTES, "%s", machine);
	ev.u.command_result.result = end;
	event(&ev);
}

static int
count_down(void)
{
	int i, n = 0;

	for (i = 0; i < machine_count; i++)
		n += machines[i].state == MACHINE_MAINTENANCE;
	return n;
}

static void
take_machine_down(int i, enum machine_state state, int ms, const char *pool)
{
	cr_expect_eq(tasks[i], 0, "m-%d runs tasks", i);
	cr_expect_eq(machines[i].state, MACHINE_UP);
	machines[i].state = state;
	machines[i].worker[0] = '\0';
	away_until_us[i] = now_us + ms * US_PER_MS;
	snprintf(back_in[i], sizeof(back_in[i]), "%s", pool);
}

static void
run_effect(const struct roster_effect *x)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};
	int i = machine_index(x->machine);

	switch (x->kind) {
	case ROSTER_EFFECT_LIST_MACHINES:
		ev.u.machine_list.list = machines;
		ev.u.machine_list.count = (size_t)machine_count;
		event(&ev);
		break;
	case ROSTER_EFFECT_MOVE:
		moves++;
		take_machine_down(i, MACHINE_MOVING, MOVE_MS, x->to_pool);
		command_result(x->machine, ROSTER_COMMAND_DONE);
		break;
	case ROSTER_EFFECT_MAINTENANCE:
		maintenance_starts++;
		maintenance_started[i] = true;
		take_machine_down(
		    i, MACHINE_MAINTENANCE, MAINTENANCE_MS, machines[i].pool);
		if (count_down() > max_down)
			max_down = count_down();
		command_result(x->machine, ROSTER_COMMAND_DONE);
		break;
	case ROSTER_EFFECT_WAVE_STATUS:
		completed_statuses += x->completed;
		break;
	case ROSTER_EFFECT_RECORD_WAVE_REQUEST:
		recorded_wave_requests++;
		break;
	case ROSTER_EFFECT_RECORD_MAINTENANCE:
	case ROSTER_EFFECT_LOG:
		break;
	}
}

static void
event(struct roster_event *ev)
{
	struct roster_effects mine;
	size_t i;

	memset(&mine, 0, sizeof(mine));
	ev->now_us = now_us;
	roster_step(roster, ev, &mine);
	for (i = 0; i < mine.count; i++)
		run_effect(&mine.list[i]);
	roster_effects_uninit(&mine);
}

static bool cordoned[MACHINES_MAX];
static bool maintenance_pending[MACHINES_MAX]; /* its maintenance is to come */

static void
cordon(void *arg, const struct cordon *c)
{
	int i = atoi(c->worker + 2);

	(void)arg;
	maintenance_pending[i] = c->kind == CORDON_MAINTENANCE_PENDING;
	evacuating[i] = c->kind == CORDON_EVACUATE;
	if (c->kind != CORDON_MACHINE_REMOVED &&
	    c->kind != CORDON_MAINTENANCE_PENDING)
		cordoned[i] = true;
	if (c->kind == CORDON_EVACUATE) /* its owner sends them elsewhere */
		tasks[i] = long_running_move_ms > 0 ? long_running[i] : 0;
	if (c->kind == CORDON_NO_NEW_TASKS && tasks_end)
		tasks[i] = long_running[i];
}

/* Long-running tasks move one after the other, to a machine that stays. */
static void
move_long_running(const char *pool, int k)
{
	int i, to = -1, from = -1;

	if (long_running_move_ms == 0 ||
	    now_us - long_running_moved_us[k] <
		long_running_move_ms * US_PER_MS)
		return;
	for (i = 0; i < machine_count; i++) {
		if (machines[i].worker[0] == '\0' ||
		    strcmp(machines[i].pool, pool) != 0)
			continue;
		if (evacuating[i] && long_running[i] > 0)
			from = i;
		else if (!cordoned[i] && !maintenance_pending[i])
			to = i;
	}
	if (from == -1 || to == -1)
		return;
	tasks[from] = --long_running[from];
	tasks[to]++;
	long_running[to]++;
	long_running_moved_us[k] = now_us;
}

static void
report(const char *pool, int k)
{
	struct pool_worker_report list[MACHINES_MAX];
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_REPORT};
	struct pool_report r = {.request_sent_us = now_us,
	    .demand = {.coverage = coverage[k],
		.wanted_workers_milli = wanted_milli[k],
		.arriving_workers_milli = arriving_milli[k],
		.long_running_workers = long_running_workers[k]},
	    .worker_list_age_ms = worker_list_age_ms[k],
	    .workers = list};
	int i;

	memset(list, 0, sizeof(list));
	memset(cordoned, 0, sizeof(cordoned));
	roster_each_cordon(roster, pool, cordon, NULL);
	move_long_running(pool, k);
	snprintf(r.pool, sizeof(r.pool), "%s", pool);
	for (i = 0; i < machine_count; i++) {
		if (machines[i].worker[0] == '\0' || silent[i] ||
		    strcmp(machines[i].pool, pool) != 0)
			continue;
		snprintf(list[r.worker_count].worker, NAME_BYTES, "%s",
		    machines[i].worker);
		list[r.worker_count].task_count = tasks[i];
		list[r.worker_count].long_running_count = long_running[i];
		list[r.worker_count++].cordoned = cordoned[i];
	}
	ev.u.report = &r;
	event(&ev);
}

static void
bring_back(void)
{
	int i;

	for (i = 0; i < machine_count; i++) {
		if (machines[i].state == MACHINE_UP ||
		    now_us < away_until_us[i])
			continue;
		machines[i].state = MACHINE_UP;
		memcpy(machines[i].pool, back_in[i], NAME_BYTES);
		if (strcmp(machines[i].pool, "spare") != 0)
			snprintf(machines[i].worker, NAME_BYTES, "w-%d", i);
	}
}

static void
run(int ms)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_TICK};
	int64_t until = now_us + ms * US_PER_MS;

	while (now_us < until) {
		now_us += TICK_US;
		bring_back();
		report("blue", 0);
		report("green", 1);
		event(&ev);
	}
}

static void
pool(const char *name, bool spare)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_CONFIG};

	snprintf(ev.u.pool_config.name, NAME_BYTES, "%s", name);
	ev.u.pool_config.spare = spare;
	event(&ev);
}

static size_t
in_pool(const char *name)
{
	size_t n = 0;
	int i;

	for (i = 0; i < machine_count; i++)
		n += strcmp(machines[i].pool, name) == 0;
	return n;
}

static void
setup_machines(int count, int blue, int green)
{
	struct roster_opts o = {.now_us = 1,
	    .command_holdoff_ms = 3000,
	    .maintenance_ms = MAINTENANCE_MS,
	    .move_ms = MOVE_MS};
	int i;

	now_us = 1;
	machine_count = count;
	roster = roster_new(&o);
	pool("blue", false);
	pool("green", false);
	pool("spare", true);
	for (i = 0; i < machine_count; i++) {
		snprintf(machines[i].machine, NAME_BYTES, "m-%d", i);
		snprintf(machines[i].pool, NAME_BYTES, "%s",
		    i < blue               ? "blue"
			: i < blue + green ? "green"
					   : "spare");
		if (i < blue + green)
			snprintf(machines[i].worker, NAME_BYTES, "w-%d", i);
		machines[i].cpu_milli = 8000;
	}
	coverage[0] = coverage[1] = DEMAND_COMPLETE;
	wanted_milli[0] = 4400;
	wanted_milli[1] = 3400;
}

static void
setup(void)
{
	setup_machines(MACHINES, 5, 4);
}

static void
setup_large(void)
{
	setup_machines(MACHINES_MAX, 160, 151);
}

static void
teardown(void)
{
	roster_free(roster);
}

TestSuite(machines, .init = setup, .fini = teardown);

/* Of each machine whose number is a multiple of "each". */
static void
ask_wave_of(int each, int cap, int within_ms)
{
	static char names[MACHINES_MAX][NAME_BYTES];
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_REQUEST};
	int i, n = 0;

	for (i = 0; i < machine_count; i += each)
		snprintf(names[n++], NAME_BYTES, "m-%d", i);
	ev.u.wave_request.wave_number = 7;
	ev.u.wave_request.machine_names = (const char(*)[NAME_BYTES])names;
	ev.u.wave_request.count = (size_t)n;
	ev.u.wave_request.within_ms = within_ms;
	ev.u.wave_request.max_down = cap;
	event(&ev);
}

static void
ask_wave(int cap, int within_ms)
{
	ask_wave_of(1, cap, within_ms);
}

Test(machines, a_wave_is_done_in_time_and_never_above_its_cap)
{
	int i;

	for (i = 0; i < machine_count; i++)
		tasks[i] = i < 9 ? 2 : 0;
	run(600);
	ask_wave(3, 27000);
	run(27000);
	for (i = 0; i < machine_count; i++)
		cr_expect(maintenance_started[i], "m-%d", i);
	cr_expect_leq(max_down, 3);
	cr_expect_eq(completed_statuses, 1);
}

Test(machines, a_successor_goes_on_where_a_wave_was_left)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_PROGRESS};
	int i;

	for (i = 0; i < 6; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "m-%d", i);
		ev.u.wave_progress.wave_number = 7;
		ev.u.wave_progress.machine = name;
		event(&ev);
	}
	ask_wave(4, 20000);
	run(20000);
	cr_expect_eq(maintenance_starts, MACHINES - 6);
	cr_expect_eq(completed_statuses, 1);
}

/*
 * Each of three controllers that followed each other took the whole time from
 * its own beginning: the wave did not press, and 11 of 164 machines were left.
 */
Test(machines, a_successor_knows_how_long_a_wave_has_been_asked_for)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_REQUEST_TIME};
	int i;

	for (i = 0; i < machine_count; i++)
		tasks[i] = i < 9;
	ev.u.wave_request_time.wave_number = 7;
	ev.u.wave_request_time.ago_ms = 22000;
	event(&ev);
	ask_wave(12, 24000);
	run(1000);
	/* off, and half of five and of four: not one in four of each */
	cr_expect_geq(maintenance_starts, 3 + 3 + 2);
	cr_expect_eq(recorded_wave_requests, 0, "as the predecessor noted it");
}

/*
 * Lasting tasks were moved to workers whose machines were in the same wave, and
 * moved again: 4 to 7 of 193 machines were left at its end.
 */
Test(machines, owners_are_told_of_machines_that_are_due)
{
	int i, n = 0;

	for (i = 0; i < machine_count; i++)
		tasks[i] = long_running[i] = i < 9;
	ask_wave(1, 60000);
	run(600);
	for (i = 0; i < 9; i++)
		n += maintenance_pending[i];
	cr_expect_geq(n, 8, "%d due", n);
}

Test(machines, a_wave_is_noted_for_a_successor)
{
	ask_wave(4, 20000);
	run(1000);
	cr_expect_eq(recorded_wave_requests, 1);
}

Test(machines, a_machine_ordered_of_late_by_another_holder_is_left_alone)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_PAST_COMMAND};
	int i;

	for (i = 0; i < machine_count; i++) {
		snprintf(ev.u.past_command.machine, NAME_BYTES, "m-%d", i);
		ev.u.past_command.ago_ms = 500;
		event(&ev);
	}
	ask_wave(4, 20000);
	run(2200);
	cr_expect_eq(maintenance_starts + moves, 0);
	run(2000);
	cr_expect_gt(maintenance_starts, 0);
}

Test(machines, a_turn_of_demand_is_met_from_the_spare_pool_and_from_others)
{
	run(1000);
	cr_expect_eq(in_pool("spare"), 3);
	wanted_milli[0] = 8000;
	wanted_milli[1] = 800;
	run(4000);
	cr_expect_geq(in_pool("blue"), 9);
	cr_expect_geq(in_pool("green"), 2);
	wanted_milli[0] = 500;
	run(8000);
	cr_expect_eq(in_pool("blue"), 2);
	cr_expect_eq(in_pool("spare"), 8);
}

Test(machines, machines_that_work_are_not_moved)
{
	int i;

	for (i = 0; i < machine_count; i++)
		tasks[i] = i < 9 ? 1 : 0;
	wanted_milli[0] = 400;
	wanted_milli[1] = 9000;
	run(6000);
	cr_expect_eq(in_pool("blue"), 5);
	cr_expect_eq(in_pool("spare"), 0);
}

/* Jobs that arrive in bunches are no growth: nothing is taken for them. */
Test(machines, a_swing_of_demand_is_not_taken_for_a_turn)
{
	int i;

	arriving_milli[0] = 2000;
	for (i = 0; i < 10; i++) {
		wanted_milli[0] = i % 2 == 0 ? 3000 : 4500;
		run(600);
		cr_expect_leq(in_pool("blue"), 5);
	}
	cr_expect_eq(in_pool("spare"), 3);
}

/* Work that arrives faster is followed before it has queued up. */
Test(machines, a_pool_grows_for_what_arrives)
{
	arriving_milli[0] = 6000;
	run(2500);
	cr_expect_geq(in_pool("blue"), 7);
}

/*
 * A pool whose surge held every machine was served first for ten seconds,
 * while a long-running task of another had no room.
 */
Test(machines, a_pool_whose_lasting_tasks_lack_room_gets_a_machine_at_once)
{
	int i;

	for (i = 0; i < 9; i++)
		tasks[i] = 2;
	long_running[0] = long_running[1] = 1;
	tasks_end = true;
	wanted_milli[0] = 30000;
	run(4000);
	cr_expect_eq(in_pool("blue"), 8);
	cr_expect_eq(in_pool("green"), 4);
	for (i = 9; i < machine_count; i++)
		tasks[i] = 2;
	long_running_workers[1] = 5;
	run(4000);
	cr_expect_geq(in_pool("green"), 5);
	/* those that long-running tasks run on stay */
	cr_expect_str_eq(machines[0].pool, "blue");
	cr_expect_str_eq(machines[1].pool, "blue");
}

/*
 * Between two turns the pool whose turn has ended held what it had needed for
 * three more seconds, while the next one's demand rose.
 */
Test(machines, what_one_pool_will_not_need_goes_to_one_that_grows)
{
	arriving_milli[0] = 6000;
	run(2500);
	cr_assert_eq(in_pool("spare"), 0);
	wanted_milli[0] = arriving_milli[0] = 1000;
	arriving_milli[1] = 6000;
	run(2500);
	cr_expect_geq(in_pool("green"), 7);
}

/*
 * The load: blue's turn has ended and left late work on all its machines, which
 * it reports at a share; green's turn begins.  None of blue's machines became
 * idle, so that green's fresh work waited until blue's late work was done.
 */
Test(machines, late_work_does_not_keep_machines_from_fresh_work)
{
	int i;

	wanted_milli[0] = 9000;
	run(4000);
	cr_assert_geq(in_pool("blue"), 8);
	for (i = 0; i < machine_count; i++)
		tasks[i] = strcmp(machines[i].pool, "blue") == 0 ? 3 : 0;
	tasks_end = true;
	wanted_milli[0] = 2000;
	wanted_milli[1] = 1000;
	arriving_milli[1] = 7000; /* arrives, and has not queued up yet */
	run(2500);
	cr_expect_geq(in_pool("green"), 7);
	cr_expect_geq(in_pool("blue"), 3);
}

/*
 * The load: a turn that used nearly all of 311 machines has ended. Twelve at a
 * time went off, 235 were still on after six seconds: as long as a turn.
 */
Test(machines, hundreds_that_are_not_needed_are_soon_off, .init = setup_large)
{
	wanted_milli[0] = wanted_milli[1] = 30000;
	run(3200); /* they were needed until now, as far as is known */
	run(4000);
	cr_expect_geq(in_pool("spare"), 371 - 2 * 34);
}

/*
 * A hand-over in the middle of a turn: the new owner had yet to see most of
 * what its workers run, and they went to another pool.
 */
Test(machines, a_pool_whose_owner_is_new_gives_no_machine_away,
    .init = setup_large)
{
	coverage[0] = DEMAND_UNKNOWN;
	wanted_milli[0] = 0;
	wanted_milli[1] = arriving_milli[1] = 300000;
	run(2000);
	cr_expect_eq(moves, 60, "what is off: %d", moves);
	coverage[0] = DEMAND_COMPLETE;
	run(4000);
	cr_expect_eq(in_pool("blue"), 2);
}

/*
 * An outage of the store has ended: nothing has arrived for its length, which
 * says nothing of what arrives from now on. 306 machines were turned off within
 * a second, and were back after three.
 */
Test(machines, nothing_is_turned_off_until_it_is_known_what_arrives,
    .init = setup_large)
{
	coverage[0] = coverage[1] = DEMAND_BACKLOG;
	wanted_milli[0] = wanted_milli[1] = 20000;
	run(6000);
	cr_expect_eq(moves, 0, "%d", moves);
	coverage[0] = coverage[1] = DEMAND_COMPLETE;
	run(8000);
	cr_expect_geq(in_pool("spare"), 371 - 2 * 23);
}

/* What is known of a pool lasts over a hand-over: a turn elsewhere waits not.
 */
Test(machines, a_pool_that_is_handed_over_gives_what_it_did_not_need_before,
    .init = setup_large)
{
	wanted_milli[0] = 60000;
	run(1000);
	coverage[0] = DEMAND_UNKNOWN;
	wanted_milli[0] = 0;
	wanted_milli[1] = arriving_milli[1] = 300000;
	run(1000);
	cr_expect_eq(moves, 60 + 160 - 66, "%d", moves);
}

/* A new controller knew no need of any pool, and turned 284 machines off. */
Test(machines, a_new_keeper_turns_nothing_off_that_was_needed_of_late,
    .init = setup_large)
{
	wanted_milli[0] = wanted_milli[1] = 30000;
	run(2600);
	cr_expect_eq(in_pool("spare"), 60);
	run(4600);
	cr_expect_geq(in_pool("spare"), 371 - 2 * 34);
}

/* The same where a pool has changed its owner under one controller. */
Test(machines, a_new_owner_turns_nothing_off_that_was_needed_of_late,
    .init = setup_large)
{
	wanted_milli[0] = 140000;
	wanted_milli[1] = 130000;
	run(8000);
	cr_assert_eq(in_pool("spare"), 371 - 154 - 143);
	coverage[0] = DEMAND_UNKNOWN;
	wanted_milli[0] = 0;
	run(4000);
	coverage[0] = DEMAND_COMPLETE;
	run(2000);
	cr_expect_eq(in_pool("blue"), 154);
	run(6000);
	cr_expect_eq(in_pool("blue"), 2);
}

/*
 * The load: a turn of demand while the partition of the store that holds
 * workers' entries is away. Its owner heard of none of 133 machines that were
 * moved there; they were counted as absent after 2.5 s, and more were moved.
 */
Test(machines, machines_that_their_owner_cannot_hear_of_are_coming,
    .init = setup_large)
{
	int i;

	run(600);
	worker_list_age_ms[0] = 6000;
	for (i = 311; i < machine_count; i++)
		silent[i] = true;
	wanted_milli[0] = 180000;
	wanted_milli[1] = 137000;
	run(7000);
	cr_expect_eq(moves, 38, "%d", moves);
	worker_list_age_ms[0] = 200;
	run(1000);
	memset(silent, 0, sizeof(silent));
	run(3000);
	cr_expect_eq(in_pool("blue"), 198);
}

/* A task that lasts would not have run there either. */
Test(machines, none_is_emptied_for_lasting_tasks_that_could_not_go_there)
{
	int i;

	for (i = 0; i < 9; i++)
		tasks[i] = 2;
	tasks_end = true;
	wanted_milli[0] = 30000;
	run(4000);
	for (i = 9; i < machine_count; i++)
		tasks[i] = 2;
	long_running_workers[1] = 5;
	worker_list_age_ms[1] = 6000;
	run(4000);
	cr_expect_eq(in_pool("green"), 4);
	worker_list_age_ms[1] = 200;
	run(4000);
	cr_expect_geq(in_pool("green"), 5);
}

/* One that was heard of before, and is not any more, is absent. */
Test(machines, a_worker_that_is_lost_while_no_list_can_be_read_is_replaced)
{
	long_running_workers[0] = 5;
	run(3000);
	worker_list_age_ms[0] = 6000;
	silent[0] = silent[1] = true;
	run(6000);
	cr_expect_eq(in_pool("blue"), 7);
}

/* What is off could not be had back before its worker is heard of again. */
Test(machines, nothing_is_turned_off_while_no_list_can_be_read,
    .init = setup_large)
{
	wanted_milli[0] = wanted_milli[1] = 140000;
	run(1000);
	worker_list_age_ms[0] = 6000;
	wanted_milli[0] = 0;
	run(8000);
	cr_expect_eq(in_pool("blue"), 160);
	worker_list_age_ms[0] = 200;
	run(8000);
	cr_expect_eq(in_pool("blue"), 2);
}

/* A pool whose owner can use them goes first. */
Test(machines, what_is_off_goes_where_it_is_heard_of)
{
	run(600);
	worker_list_age_ms[0] = 6000;
	wanted_milli[0] = 20000;
	wanted_milli[1] = 6000;
	run(3000);
	cr_expect_eq(in_pool("green"), 7);
}

/*
 * A pool of 326 workers from which 210 had been moved within six seconds: what
 * went beyond 256 was cut off without a word.
 */
Test(machines, cordons_of_hundreds_reach_their_owner)
{
	static struct cordon_request out, in;
	struct buf *b;
	struct err e;
	size_t i;

	snprintf(out.pool, sizeof(out.pool), "blue");
	for (i = 0; i < 600; i++) {
		snprintf(out.list[i].worker, NAME_BYTES, "w-%zu", i);
		out.list[i].kind = CORDON_MACHINE_REMOVED;
		out.list[i].age_ms = (int64_t)i;
	}
	out.count = 600;
	b = cordon_request_encode(&out);
	cr_assert_not_null(b);
	cr_assert_eq(cordon_request_decode(&in, b->data, b->len, &e), 0);
	cr_expect_eq(in.count, 600);
	cr_expect_str_eq(in.list[599].worker, "w-599");
	cr_expect_eq(in.list[599].age_ms, 599);
	buf_unref(b);
}

static struct pool_report
sent_and_read(struct buf *sent)
{
	struct pool_report r;
	struct err e;

	cr_assert_not_null(sent);
	cr_assert_eq(pool_report_decode(&r, sent->data, sent->len, &e), 0);
	buf_unref(sent);
	return r;
}

Test(machines, a_report_says_what_its_owner_does_not_know)
{
	struct pool_report r = {.demand = {.wanted_workers_milli = 1200},
	    .fence = 12,
	    .worker_list_age_ms = 6500};

	r = sent_and_read(pool_report_encode(&r));
	cr_expect_eq(r.demand.coverage, DEMAND_UNKNOWN);
	cr_expect_eq(r.demand.wanted_workers_milli, 1200);
	cr_expect_eq(r.worker_list_age_ms, 6500);
	cr_expect_eq(r.fence, 12);
	pool_report_uninit(&r);
}

/* Daemons of two versions run beside each other while one is replaced. */
Test(machines, a_report_of_the_version_before_is_taken_as_known)
{
	struct pool_report r;
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 6);
	wire_str(&w, "pool", "blue");
	wire_i64(&w, "wanted", 1200);
	wire_i64(&w, "offered", 800);
	wire_u64(&w, "floor", 2);
	wire_u64(&w, "least", 3);
	wire_array(&w, "workers", 0);
	r = sent_and_read(wire_writer_finish(&w));
	cr_expect_eq(r.demand.coverage, DEMAND_COMPLETE);
	cr_expect_eq(r.demand.long_running_workers, 2);
	cr_expect_eq(r.worker_list_age_ms, 0);
	pool_report_uninit(&r);
}

static void
setup_idle(void)
{
	setup_machines(MACHINES_MAX, 21, 21);
}

/*
 * The load: every other machine of a large deployment, whose pools have small
 * turns of demand. The tasks that last leave one after the other, which takes
 * most of the time that the wave has: they were begun with last, and not at all
 * while a pool gave machines back.
 */
Test(machines, a_wave_begins_where_lasting_tasks_have_to_move,
    .init = setup_idle)
{
	int i;

	for (i = 0; i < 42; i++)
		tasks[i] = long_running[i] = 1;
	long_running_move_ms = 2000;
	long_running_workers[0] = long_running_workers[1] = 21;
	wanted_milli[0] = wanted_milli[1] = 19000;
	run(600);
	ask_wave_of(2, 62, 24000);
	for (i = 0; i < 24; i++) {
		wanted_milli[0] = i % 9 < 3 ? 70000 : 19000;
		wanted_milli[1] = i % 9 == 5 ? 70000 : 19000;
		run(1000);
	}
	for (i = 0; i < machine_count; i += 2)
		cr_expect(maintenance_started[i], "m-%d in %s, %zu last", i,
		    machines[i].pool, long_running[i]);
	cr_expect_leq(max_down, 62);
	cr_expect_eq(completed_statuses, 1);
}

/*
 * A rack went dark: its machines were still listed as up, so that the pool had
 * all that its long-running tasks need, and one had no worker for ten seconds.
 */
Test(machines, a_machine_whose_worker_is_gone_is_replaced)
{
	long_running_workers[0] = 5;
	run(3000);
	cr_assert_eq(in_pool("blue"), 5);
	silent[0] = silent[1] = true;
	run(6000);
	cr_expect_eq(in_pool("blue"), 7);
	silent[0] = silent[1] = false;
	run(12000);
	cr_expect_eq(in_pool("blue"), 5);
}

/* A new owner hears its workers one by one: no machine is to come for that. */
Test(machines, a_new_owner_of_a_pool_wants_no_other_machines)
{
	int i;

	long_running_workers[0] = 5;
	run(3000);
	for (i = 0; i < 5; i++)
		silent[i] = true;
	run(1000);
	memset(silent, 0, sizeof(silent));
	run(2000);
	cr_expect_eq(in_pool("blue"), 5);
	cr_expect_eq(moves, 0);
}

/*
 * Lasting tasks need as many workers as before while some are evacuated: one
 * more came each time that a task had found no room, and the wave was late.
 */
Test(machines, machines_in_upkeep_are_replaced_where_lasting_tasks_need_them)
{
	long_running_workers[0] = 5;
	long_running_move_ms =
	    60000; /* they do not leave before there is room */
	tasks[0] = long_running[0] = tasks[1] = long_running[1] = 1;
	run(600);
	ask_wave_of(1, 2, 27000);
	run(3000);
	cr_expect_eq(in_pool("blue"), 7);
}

/*
 * They leave one after the other anyway: a pool in its turn of demand had
 * twelve machines that took no new tasks for up to ten seconds.
 */
Test(
    machines, few_machines_at_a_time_wait_for_lasting_tasks, .init = setup_idle)
{
	int i, k, n;

	for (i = 0; i < 21; i++)
		tasks[i] = long_running[i] = 1;
	long_running_move_ms = 2000;
	long_running_workers[0] = 21;
	wanted_milli[0] = 180000;
	run(4000);
	ask_wave_of(2, 62, 27000);
	for (k = 0; k < 5; k++) {
		run(1000);
		for (n = 0, i = 0; i < machine_count; i++)
			n += evacuating[i] && long_running[i] > 0;
		cr_expect_leq(n, 4, "%d", n);
	}
}
