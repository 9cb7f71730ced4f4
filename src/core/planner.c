#include "planner.h"

#include <stdio.h>
#include <string.h>

#define HOUR_US (3600 * US_PER_S)
#define MILLI 1000
#define MOVE_COST_MILLI_HOURS 1000 /* one move weighs one idle VM hour */
#define MOVE_TIME_MILLI_HOURS 17 /* a move takes about a minute */
#define SHORTAGE_GAIN_MILLI 1000000 /* availability outweighs all measures */

static int64_t
ceil_div(int64_t a, int64_t b)
{
	return (a + b - 1) / b;
}

static int64_t
max_with(const int64_t *list, size_t count, int64_t max)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i] > max)
			max = list[i];
	}
	return max;
}

static int64_t
window_peak_ppm(const struct planner_pool *p)
{
	return max_with(
	    p->bucket_peaks_ppm, PLANNER_PEAK_BUCKETS, p->demand_ppm);
}

/*
 * Adds a value to a ring that holds the maximum of each bucket, and clears the
 * buckets that were skipped since "newest".
 */
static void
ring_add_sample(int64_t *ring, int64_t count, int64_t *newest, int64_t bucket,
    int64_t value)
{
	if (bucket - *newest >= count)
		memset(ring, 0, (size_t)count * sizeof(*ring));
	for (; *newest < bucket; (*newest)++)
		ring[(*newest + 1) % count] = 0;
	if (value > ring[bucket % count])
		ring[bucket % count] = value;
}

/* VMs for a share of a demand, at least one. */
static int64_t
vms_for_share(
    const struct planner_pool *p, int64_t demand_ppm, int64_t share_ppm)
{
	int64_t milli_slots = demand_ppm / MILLI, vms;

	if (share_ppm > TEXT_PPM)
		share_ppm = TEXT_PPM;
	vms = ceil_div(milli_slots * share_ppm / TEXT_PPM,
	    (int64_t)p->slots_per_vm * MILLI);
	return vms > 0 ? vms : 1;
}

static int64_t
guaranteed_vms(const struct planner_pool *p, int64_t demand_ppm)
{
	return vms_for_share(
	    p, demand_ppm, (int64_t)p->availability_ppm + PLANNER_MARGIN_PPM);
}

/* VMs that the highest demand of the last day needs. */
static int64_t
day_needed_vms(const struct planner_pool *p)
{
	return guaranteed_vms(p,
	    max_with(p->hour_peaks_ppm, PLANNER_HOUR_BUCKETS, p->demand_ppm));
}

int64_t
planner_needed_vms(const struct planner_pool *p)
{
	int64_t need, floor;

	if (p->spare)
		return 0;
	need = guaranteed_vms(p, window_peak_ppm(p));
	floor = ceil_div(day_needed_vms(p), PLANNER_DAY_FLOOR_DIVISOR);
	return need > floor ? need : floor;
}

void
planner_observe(struct planner_pool *p, int64_t demand_ppm, int64_t now_us)
{
	int64_t need;

	ring_add_sample(p->bucket_peaks_ppm, PLANNER_PEAK_BUCKETS,
	    &p->newest_bucket, now_us / PLANNER_PEAK_BUCKET_US, demand_ppm);
	ring_add_sample(p->hour_peaks_ppm, PLANNER_HOUR_BUCKETS,
	    &p->newest_hour, now_us / HOUR_US, demand_ppm);
	p->demand_ppm = demand_ppm;
	need = planner_needed_vms(p);
	if (p->last_fully_used_us == 0 || need >= p->vm_count)
		p->last_fully_used_us = now_us;
	if (p->last_sufficient_us == 0 || need <= p->vm_count)
		p->last_sufficient_us = now_us;
}

/* A plan under construction. */
struct plan {
	const struct planner_input *in;
	struct planner_output *out;
	bool is_source[64]; /* by pool: a VM was taken from it */
};

#define PLAN_POOLS_MAX (sizeof(((struct plan *)0)->is_source) / sizeof(bool))

static int64_t
planned_moves_to(const struct plan *p, const struct planner_pool *to)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < p->out->move_count; i++)
		n += strcmp(p->out->moves[i].to_pool, to->name) == 0;
	return n;
}

/* VMs that a pool should have under the policy. */
static int64_t
target_vm_count(const struct plan *p, const struct planner_pool *pool)
{
	if (pool->spare)
		return 0;
	if (p->in->policy == PLANNER_POLICY_GREEDY)
		return vms_for_share(pool, pool->demand_ppm, TEXT_PPM);
	return planner_needed_vms(pool);
}

static const struct planner_vm *
find_movable_vm(const struct plan *p, size_t pool)
{
	size_t i;

	if (p->is_source[pool])
		return NULL;
	for (i = 0; i < p->in->vm_count; i++) {
		if (p->in->vms[i].pool == pool && p->in->vms[i].movable)
			return &p->in->vms[i];
	}
	return NULL;
}

/*
 * Chooses a VM of the spare pool; failing that, of the pool whose VM count is
 * highest above its need of the last day, as it is least likely to need the VM
 * back within a day.  Only pools with a surplus are considered.
 */
static const struct planner_vm *
choose_source_vm(const struct plan *p, size_t to)
{
	const struct planner_vm *best = NULL, *vm;
	const struct planner_pool *pool;
	int64_t max_surplus = INT64_MIN, surplus;
	size_t i;

	for (i = 0; i < p->in->pool_count; i++) {
		pool = &p->in->pools[i];
		vm = i != to ? find_movable_vm(p, i) : NULL;
		if (vm == NULL)
			continue;
		if (pool->spare)
			return vm;
		if (pool->vm_count <= target_vm_count(p, pool))
			continue;
		surplus = pool->vm_count - day_needed_vms(pool);
		if (surplus <= max_surplus)
			continue;
		max_surplus = surplus;
		best = vm;
	}
	return best;
}

static struct planner_move *
add_move(struct plan *p, const struct planner_vm *vm, size_t to)
{
	struct planner_move *m = &p->out->moves[p->out->move_count++];

	memset(m, 0, sizeof(*m));
	memcpy(m->vm, vm->name, sizeof(m->vm));
	memcpy(m->from_pool, p->in->pools[vm->pool].name, sizeof(m->from_pool));
	memcpy(m->to_pool, p->in->pools[to].name, sizeof(m->to_pool));
	p->is_source[vm->pool] = true;
	return m;
}

static int64_t
move_cost(const struct planner_input *in)
{
	return (int64_t)in->weights.vm_moves * MOVE_COST_MILLI_HOURS +
	    (int64_t)in->weights.rollout_time * MOVE_TIME_MILLI_HOURS;
}

static bool
pool_is_short(const struct plan *p, const struct planner_pool *pool)
{
	if (pool->spare ||
	    target_vm_count(p, pool) <=
		pool->vm_count + planned_moves_to(p, pool))
		return false;
	return p->in->policy == PLANNER_POLICY_GREEDY ||
	    p->in->now_us - pool->last_sufficient_us >=
	    PLANNER_SHORTAGE_DELAY_US;
}

/* Plans moves to pools that are short of VMs, largest shortage first. */
static void
plan_shortages(struct plan *p)
{
	const struct planner_pool *pool;
	const struct planner_vm *vm;
	struct planner_move *m;
	int64_t shortage, max_shortage;
	size_t i, neediest;

	while (p->out->move_count < PLANNER_MOVES_MAX) {
		max_shortage = 0;
		neediest = p->in->pool_count;
		for (i = 0; i < p->in->pool_count; i++) {
			pool = &p->in->pools[i];
			shortage = target_vm_count(p, pool) - pool->vm_count -
			    planned_moves_to(p, pool);
			if (!pool_is_short(p, pool) || shortage <= max_shortage)
				continue;
			max_shortage = shortage;
			neediest = i;
		}
		if (neediest == p->in->pool_count)
			return;
		vm = choose_source_vm(p, neediest);
		if (vm == NULL)
			return;
		pool = &p->in->pools[neediest];
		m = add_move(p, vm, neediest);
		m->score_milli =
		    SHORTAGE_GAIN_MILLI * max_shortage - move_cost(p->in);
		snprintf(m->reason, sizeof(m->reason),
		    "%s needs %lld VMs for its guaranteed share of a peak of "
		    "%lld slots and has %lld",
		    pool->name, (long long)target_vm_count(p, pool),
		    (long long)(window_peak_ppm(pool) / TEXT_PPM),
		    (long long)pool->vm_count);
	}
}

/* Gain of releasing one VM now, less a move there and one back. */
static int64_t
release_score(const struct planner_input *in, const struct planner_pool *pool)
{
	int64_t idle_milli =
	    (in->now_us - pool->last_fully_used_us) / (HOUR_US / MILLI);

	return in->weights.buffer_cost * idle_milli - 2 * move_cost(in);
}

static bool
pool_may_release(const struct plan *p, const struct planner_pool *pool)
{
	if (pool->spare || pool->vm_count <= target_vm_count(p, pool) ||
	    pool->vm_count <= 1)
		return false;
	return p->in->policy == PLANNER_POLICY_GREEDY ||
	    release_score(p->in, pool) > 0;
}

static void
plan_releases(struct plan *p, size_t spare)
{
	const struct planner_pool *pool;
	const struct planner_vm *vm;
	struct planner_move *m;
	size_t i;

	for (i = 0; i < p->in->pool_count; i++) {
		pool = &p->in->pools[i];
		if (p->out->move_count == PLANNER_MOVES_MAX)
			return;
		vm = pool_may_release(p, pool) ? find_movable_vm(p, i) : NULL;
		if (vm == NULL)
			continue;
		m = add_move(p, vm, spare);
		m->score_milli = release_score(p->in, pool);
		snprintf(m->reason, sizeof(m->reason),
		    "%s has %lld VMs, needs %lld and has had a surplus for "
		    "%lld minutes",
		    pool->name, (long long)pool->vm_count,
		    (long long)target_vm_count(p, pool),
		    (long long)((p->in->now_us - pool->last_fully_used_us) /
			(60 * US_PER_S)));
	}
}

void
planner_plan(const struct planner_input *in, struct planner_output *out)
{
	struct plan p = {.in = in, .out = out};
	size_t i;

	memset(out, 0, sizeof(*out));
	if (in->policy == PLANNER_POLICY_NONE ||
	    in->pool_count > PLAN_POOLS_MAX)
		return;
	plan_shortages(&p);
	for (i = 0; i < in->pool_count; i++) {
		if (in->pools[i].spare)
			plan_releases(&p, i);
	}
}
