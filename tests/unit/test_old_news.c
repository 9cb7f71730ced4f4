/* The controller of machines acts on no news that is old, from events alone. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "cordon_wire.h"
#include "roster.h"

#define TICK_US (200 * US_PER_MS)
#define HOLDOFF_MS 4300

static struct roster *roster;
static int64_t now_us;
#define BLUE 4 /* machines of the pool blue */
#define GREEN 1 /* machines of the pool green */

static struct machine_report machines[BLUE + GREEN + 1];
static size_t machine_count;
static int commands; /* sent */
static char commanded[NAME_BYTES]; /* machine of the newest */

static void
event(struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	memset(&fx, 0, sizeof(fx));
	ev->now_us = now_us;
	roster_step(roster, ev, &fx);
	for (i = 0; i < fx.count; i++) {
		if (fx.list[i].kind != ROSTER_EFFECT_MOVE &&
		    fx.list[i].kind != ROSTER_EFFECT_MAINTENANCE)
			continue;
		commands++;
		memcpy(commanded, fx.list[i].machine, NAME_BYTES);
	}
	roster_effects_uninit(&fx);
}

static void
tick(void)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_TICK};

	event(&ev);
}

static void
list_machines(void)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};

	ev.u.machine_list.list = machines;
	ev.u.machine_list.count = machine_count;
	event(&ev);
}

static void
pool(const char *name, bool spare)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_CONFIG};

	snprintf(ev.u.pool_config.name, NAME_BYTES, "%s", name);
	ev.u.pool_config.spare = spare;
	event(&ev);
}

static void
add_machine(int i, const char *in)
{
	memset(&machines[i], 0, sizeof(machines[i]));
	snprintf(machines[i].machine, NAME_BYTES, "m-%d", i);
	snprintf(machines[i].pool, NAME_BYTES, "%s", in);
	if (strcmp(in, "spare") != 0)
		snprintf(machines[i].worker, NAME_BYTES, "w-%d", i);
	machines[i].cpu_milli = 8000;
}

static void
setup(void)
{
	struct roster_opts o = {.now_us = 1,
	    .command_holdoff_ms = HOLDOFF_MS,
	    .maintenance_ms = 2000,
	    .move_ms = 1500};
	int i;

	now_us = US_PER_S;
	roster = roster_new(&o);
	pool("blue", false);
	pool("green", false);
	pool("spare", true);
	for (i = 0; i < BLUE; i++)
		add_machine(i, "blue");
	add_machine(BLUE, "green");
	machine_count = BLUE + GREEN;
	list_machines();
}

static void
teardown(void)
{
	roster_free(roster);
}

TestSuite(old_news, .init = setup, .fini = teardown);

struct worker_state {
	int64_t request_sent_us; /* of the report's request */
	int64_t fence; /* of the owner */
	size_t tasks;
	bool cordoned;
};

/* All workers of a pool are in the same state. */
static void
report(const char *pool_name, const struct worker_state *state)
{
	struct pool_worker_report list[BLUE + GREEN];
	struct pool_report r = {.fence = state->fence,
	    .request_sent_us = state->request_sent_us,
	    .demand = {.coverage = DEMAND_COMPLETE},
	    .workers = list};
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_REPORT};
	int i;

	memset(list, 0, sizeof(list));
	snprintf(r.pool, sizeof(r.pool), "%s", pool_name);
	for (i = 0; i < BLUE + GREEN; i++) {
		if (strcmp(machines[i].pool, pool_name) != 0)
			continue;
		snprintf(list[r.worker_count].worker, NAME_BYTES, "%s",
		    machines[i].worker);
		list[r.worker_count].task_count = state->tasks;
		list[r.worker_count++].cordoned = state->cordoned;
	}
	ev.u.report = &r;
	event(&ev);
}

static void
report_now(const char *pool_name, size_t tasks, bool cordoned)
{
	struct worker_state state = {.request_sent_us = now_us,
	    .fence = 1,
	    .tasks = tasks,
	    .cordoned = cordoned};

	report(pool_name, &state);
}

/* A wave for one machine of blue, whose worker is to be cordoned. */
static void
request_maintenance(void)
{
	static const char names[1][NAME_BYTES] = {"m-0"};
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_REQUEST};

	ev.u.wave_request.wave_number = 1;
	ev.u.wave_request.machine_names = names;
	ev.u.wave_request.count = 1;
	ev.u.wave_request.within_ms = 20000;
	ev.u.wave_request.max_down = 1;
	event(&ev);
	report_now("blue", 1, false);
	tick();
	cr_assert_eq(commands, 0);
}

Test(old_news, no_order_on_a_report_whose_request_was_sent_long_ago)
{
	struct worker_state state = {.fence = 1, .cordoned = true};

	request_maintenance();
	state.request_sent_us = now_us;
	now_us += 2900 * US_PER_MS;
	report("blue", &state);
	tick();
	cr_expect_eq(commands, 0);
	report_now("blue", 0, true);
	tick();
	cr_expect_eq(commands, 1);
}

Test(old_news, a_report_that_a_newer_one_overtook_is_ignored)
{
	struct worker_state state = {.fence = 1, .cordoned = true};

	request_maintenance();
	state.request_sent_us = now_us;
	now_us += TICK_US;
	report_now("blue", 1, true);
	report("blue", &state);
	tick();
	cr_expect_eq(commands, 0);
}

Test(old_news, a_report_of_a_replaced_owner_is_ignored)
{
	struct worker_state state = {.fence = 4, .cordoned = true};

	request_maintenance();
	state.request_sent_us = now_us;
	state.fence = 5;
	state.tasks = 1;
	report("blue", &state);
	now_us += TICK_US;
	state.request_sent_us = now_us;
	state.fence = 4;
	state.tasks = 0;
	report("blue", &state);
	tick();
	cr_expect_eq(commands, 0);
}

/* Orders the maintenance of "m-0", whose worker runs nothing. */
static void
send_maintenance(void)
{
	request_maintenance();
	report_now("blue", 0, true);
	tick();
	cr_assert_eq(commands, 1);
	cr_assert_str_eq(commanded, "m-0");
}

/* The order's journal entry is stored seconds later: its news is old then. */
Test(old_news, an_order_that_waited_for_its_journal_entry_is_checked_again)
{
	send_maintenance();
	cr_expect(roster_command_holds(roster, "m-0", now_us));
	now_us += US_PER_S;
	cr_expect_not(roster_command_holds(roster, "m-0", now_us));
	report_now("blue", 1, true);
	cr_expect_not(roster_command_holds(roster, "m-0", now_us));
	report_now("blue", 0, true);
	cr_expect(roster_command_holds(roster, "m-0", now_us));
	cr_expect_not(roster_command_holds(roster, "m-1", now_us));
}

static void
command_result(const char *machine, enum roster_command_result result)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};

	snprintf(ev.u.command_result.machine, NAME_BYTES, "%s", machine);
	ev.u.command_result.result = result;
	event(&ev);
}

struct cordon_count {
	int held; /* get no new tasks */
	int removed;
	char removed_worker[NAME_BYTES]; /* the last of these */
	int64_t age_ms; /* of its removal */
};

static void
count_cordon(void *arg, const struct cordon *c)
{
	struct cordon_count *n = arg;

	n->held += c->kind == CORDON_NO_NEW_TASKS || c->kind == CORDON_EVACUATE;
	if (c->kind != CORDON_MACHINE_REMOVED)
		return;
	n->removed++;
	memcpy(n->removed_worker, c->worker, NAME_BYTES);
	n->age_ms = c->age_ms;
}

static struct cordon_count
blue_cordons(void)
{
	struct cordon_count n = {.held = 0};

	roster_each_cordon(roster, "blue", count_cordon, &n);
	return n;
}

/* Sends the move of one machine from blue to green; returns its number. */
static int
send_move(void)
{
	int i;

	report_now("blue", 0, false);
	report_now("green", 1, false);
	tick();
	now_us += TICK_US;
	report_now("blue", 0, true);
	tick();
	cr_assert_eq(commands, 1);
	for (i = 0; i < BLUE && strcmp(commanded, machines[i].machine) != 0;)
		i++;
	cr_assert_lt(i, BLUE);
	return i;
}

Test(old_news, a_move_without_an_answer_keeps_its_cordon)
{
	int i;

	send_move();
	now_us += US_PER_S; /* timeout of the call; the owner is out of reach */
	command_result(commanded, ROSTER_COMMAND_UNKNOWN);
	for (i = 0; i < 25; i++) {
		now_us += TICK_US;
		tick();
		cr_expect_eq(blue_cordons().held, 1, "after %d ms",
		    (i + 1) * (int)(TICK_US / US_PER_MS));
	}
	now_us += 4 * US_PER_S;
	tick();
	cr_expect_eq(blue_cordons().held, 0);
}

Test(old_news, a_move_without_an_answer_is_known_once_its_machine_moves)
{
	int i = send_move();

	command_result(commanded, ROSTER_COMMAND_UNKNOWN);
	machines[i].state = MACHINE_MOVING;
	machines[i].worker[0] = '\0';
	now_us += TICK_US;
	list_machines();
	tick();
	cr_expect_eq(blue_cordons().held, 0);
	cr_expect_eq(blue_cordons().removed, 1);
}

static void
list_after(int ms)
{
	now_us += ms * US_PER_MS;
	tick();
	list_machines();
}

/*
 * The upkeep's answer was lost. It was over when the order was repeated, and
 * the worker from after it was taken for gone: its pool lost it for good.
 */
Test(old_news, a_repeated_order_does_not_end_the_worker_from_after_it)
{
	struct cordon_count n;

	send_maintenance();
	command_result("m-0", ROSTER_COMMAND_UNKNOWN);
	snprintf(machines[0].worker, NAME_BYTES, "w-0b");
	list_after(5000);
	n = blue_cordons();
	cr_expect_eq(n.removed, 1);
	cr_expect_str_eq(n.removed_worker, "w-0");
	report_now("blue", 0, true);
	now_us += TICK_US;
	tick();
	cr_assert_eq(commands, 2);
	command_result("m-0", ROSTER_COMMAND_DONE);
	list_after(600);
	list_after(3000);
	n = blue_cordons();
	cr_expect_eq(n.removed, 1);
	cr_expect_str_eq(n.removed_worker, "w-0");
	cr_expect_eq(n.held, 0);
	list_after(6000);
	cr_expect_eq(blue_cordons().removed, 0);
}

/*
 * The controller before this one had ordered the upkeep, and died. The worker
 * from after it was taken for gone, and its tasks were run elsewhere, too.
 */
Test(old_news, an_order_that_another_has_given_before_ends_no_worker)
{
	send_maintenance();
	command_result("m-0", ROSTER_COMMAND_DONE);
	cr_expect_eq(blue_cordons().removed, 0);
	cr_expect_eq(blue_cordons().held, 1, "until a list shows its state");
	list_after(600);
	cr_expect_eq(blue_cordons().removed, 0);
	cr_expect_eq(blue_cordons().held, 0);
	list_after(3000);
	cr_expect_eq(blue_cordons().removed, 0);
}

/* The same for a move: the new worker is in another pool. */
Test(old_news, a_move_without_an_answer_ends_the_worker_from_before_it)
{
	struct cordon_count n = {.held = 0};
	int i = send_move();

	command_result(commanded, ROSTER_COMMAND_UNKNOWN);
	snprintf(machines[i].pool, NAME_BYTES, "green");
	snprintf(machines[i].worker, NAME_BYTES, "w-b");
	list_after(5000);
	roster_each_cordon(roster, "green", count_cordon, &n);
	cr_expect_eq(n.removed, 0);
	n = blue_cordons();
	cr_expect_eq(n.removed, 1);
	cr_expect_eq(atoi(n.removed_worker + 2), i);
}

/* Its owner would take an end that is long past for one of now. */
Test(old_news, a_worker_that_has_ended_is_told_with_the_age_of_that_news)
{
	struct cordon_count n;

	send_maintenance();
	command_result("m-0", ROSTER_COMMAND_DONE);
	machines[0].state = MACHINE_MAINTENANCE;
	list_after(600);
	now_us += 1400 * US_PER_MS;
	tick();
	n = blue_cordons();
	cr_expect_eq(n.removed, 1);
	cr_expect_eq(n.age_ms, 1400);
}

/*
 * A row that could not be read was left out of the list, and the controller
 * forgot its machine, with the order that was under way there.
 */
Test(old_news, a_list_with_a_malformed_row_drops_no_machine)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};

	send_maintenance();
	command_result("m-0", ROSTER_COMMAND_DONE);
	now_us += 600 * US_PER_MS;
	tick();
	ev.u.machine_list.list = machines + 1;
	ev.u.machine_list.count = machine_count - 1;
	ev.u.machine_list.malformed_count = 1;
	event(&ev);
	cr_expect_eq(blue_cordons().held, 1);
	machines[0].state = MACHINE_MAINTENANCE;
	list_after(600);
	cr_expect_eq(blue_cordons().removed, 1);
}

/* It has crashed and is back under its id; the order was never carried out. */
Test(old_news, a_worker_that_is_named_again_has_not_ended)
{
	send_maintenance();
	command_result("m-0", ROSTER_COMMAND_UNKNOWN);
	machines[0].state = MACHINE_DOWN;
	list_after(600);
	cr_expect_eq(blue_cordons().removed, 0);
	machines[0].state = MACHINE_MAINTENANCE;
	list_after(600);
	cr_expect_eq(blue_cordons().removed, 1);
	machines[0].state = MACHINE_UP;
	list_after(600);
	cr_expect_eq(blue_cordons().removed, 0);
}

/* Another controller sent an order for "m-5", which is off. */
static void
add_ordered_spare_machine(int64_t ago_ms)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_PAST_COMMAND};

	snprintf(ev.u.past_command.machine, NAME_BYTES, "m-%d", BLUE + GREEN);
	ev.u.past_command.ago_ms = ago_ms;
	event(&ev);
	add_machine(BLUE + GREEN, "spare");
	machine_count = BLUE + GREEN + 1;
	list_machines();
}

static void
tick_green(int ms)
{
	int64_t until_us = now_us + ms * US_PER_MS;

	while (now_us < until_us) {
		now_us += TICK_US;
		report_now("green", 1, false);
		tick();
	}
}

/* The other controller's order may have been carried out since the list. */
Test(old_news, a_machine_ordered_by_another_is_listed_again_before_an_order)
{
	add_ordered_spare_machine(500);
	tick_green(HOLDOFF_MS + 1000);
	cr_expect_eq(commands, 0);
	list_machines();
	tick_green(400);
	cr_expect_eq(commands, 1);
	cr_expect_str_eq(commanded, "m-5");
}

/* The other controller's time of day was five seconds behind. */
Test(old_news, clocks_that_differ_do_not_shorten_the_hold_off)
{
	add_ordered_spare_machine(HOLDOFF_MS + 900);
	tick_green(HOLDOFF_MS - 400);
	list_machines();
	tick_green(200);
	cr_expect_eq(commands, 0);
	tick_green(400);
	list_machines();
	tick_green(200);
	cr_expect_eq(commands, 1);
}

/* The other controller's time of day was an hour ahead. */
Test(old_news, clocks_that_differ_do_not_prolong_the_hold_off)
{
	add_ordered_spare_machine(-3600 * 1000);
	tick_green(HOLDOFF_MS + 200);
	list_machines();
	tick_green(200);
	cr_expect_eq(commands, 1);
}
