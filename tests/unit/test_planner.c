/* The planner: what moves, what stays, and by whose weights. */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "planner.h"

#define SLOTS 8
#define HOUR_US (3600 * US_PER_S)

static struct planner_pool pools[3]; /* front, back, spare */
static struct planner_vm vms[24];
static struct planner_input in;
static struct planner_output out;

static void
add_vms(size_t pool, int64_t count)
{
	int64_t i;

	for (i = 0; i < count; i++) {
		vms[in.vm_count].pool = pool;
		vms[in.vm_count].movable = true;
		snprintf(
		    vms[in.vm_count].name, NAME_BYTES, "vm-%zu", in.vm_count);
		in.vm_count++;
	}
	pools[pool].vm_count = count;
}

static void
setup(void)
{
	const char *const names[] = {"front", "back", "spare"};
	size_t i;

	for (i = 0; i < 3; i++) {
		strcpy(pools[i].name, names[i]);
		pools[i].slots_per_vm = SLOTS;
		pools[i].availability_ppm = 750000;
	}
	pools[2].spare = true;
	in.weights = (struct text_measures){6, 2, 1};
	in.pools = pools;
	in.pool_count = 3;
	in.vms = vms;
	add_vms(0, 4);
	add_vms(1, 4);
	add_vms(2, 2);
}

/* Demand of both pools, in slots, for some time; a look each second. */
static void
observe(int64_t front, int64_t back, int64_t seconds)
{
	int64_t i;

	for (i = 0; i < seconds; i++) {
		in.now_us += US_PER_S;
		planner_observe(&pools[0], front * TEXT_PPM, in.now_us);
		planner_observe(&pools[1], back * TEXT_PPM, in.now_us);
	}
}

Test(planner, need_is_the_promised_share_of_the_surge, .init = setup)
{
	observe(40, 1, 1);
	cr_assert_eq(planner_needed_vms(&pools[0]), 4, "0.8 of 40 slots");
	observe(41, 1, 1);
	cr_assert_eq(planner_needed_vms(&pools[0]), 5);
	cr_assert_eq(planner_needed_vms(&pools[1]), 1);
	observe(1, 1, 3 * 3600);
	cr_assert_eq(
	    planner_needed_vms(&pools[0]), 2, "a quarter of the day's 5");
	observe(1, 1, 25 * 3600);
	cr_assert_eq(
	    planner_needed_vms(&pools[0]), 1, "the surge is long past");
}

Test(planner, surge_of_seconds_moves_nothing, .init = setup)
{
	int i;

	for (i = 0; i < 60; i++) {
		observe(i % 5 == 0 ? 40 : 1, i % 5 == 1 ? 40 : 1, 8);
		planner_plan(&in, &out);
		cr_assert_eq(out.move_count, 0, "%s", out.moves[0].reason);
	}
	observe(90, 1, 20);
	planner_plan(&in, &out);
	cr_assert_eq(
	    out.move_count, 0, "larger than the pool, but for seconds");
}

Test(planner, shortage_is_filled_from_the_spare_first, .init = setup)
{
	observe(64, 1, 200);
	planner_plan(&in, &out);
	cr_assert_geq(out.move_count, 1);
	cr_assert_str_eq(out.moves[0].from_pool, "spare");
	cr_assert_str_eq(out.moves[0].to_pool, "front");
	cr_assert_not_null(strstr(out.moves[0].reason, "needs 7 VMs"));
}

Test(planner, shortage_without_spare_takes_the_surplus, .init = setup)
{
	in.vm_count = 8;
	pools[2].vm_count = 0;
	observe(64, 1, 200);
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 1);
	cr_assert_str_eq(out.moves[0].from_pool, "back");
}

Test(planner, what_the_fold_would_refuse_is_not_planned, .init = setup)
{
	size_t i;

	for (i = 0; i < in.vm_count; i++)
		vms[i].movable = false;
	observe(64, 1, 200);
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 0);
}

/* Idle time of an hour is worth two moves to the one and not to the other. */
Test(planner, weights_decide_what_is_handed_over, .init = setup)
{
	observe(40, 40, 10);
	observe(1, 40, 2 * 3600);
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 1);
	cr_assert_str_eq(out.moves[0].from_pool, "front");
	cr_assert_str_eq(out.moves[0].to_pool, "spare");
	cr_assert_gt(out.moves[0].score_milli, 0);
	in.weights = (struct text_measures){1, 1, 8};
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 0);
}

Test(planner, last_vm_of_a_pool_stays, .init = setup)
{
	pools[0].vm_count = 1;
	observe(1, 40, 10 * 3600);
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 0);
}

Test(planner, baselines, .init = setup)
{
	observe(1, 40, 3 * 3600);
	in.policy = PLANNER_POLICY_NONE;
	planner_plan(&in, &out);
	cr_assert_eq(out.move_count, 0);
	in.policy = PLANNER_POLICY_GREEDY;
	observe(40, 1, 1);
	planner_plan(&in, &out);
	cr_assert_gt(out.move_count, 0, "a second is enough");
}
