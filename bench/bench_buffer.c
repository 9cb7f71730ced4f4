/*
 * The planner against two baselines on the brief's demand: each queue in turn
 * surges to five times its mean for seconds and falls to a twentieth between,
 * while the means shift over the day.  Prints idle capacity and moves by the
 * weights of both deployments, and whether every hour of every service kept
 * its promised share of answers.  Virtual time, one second a step.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "planner.h"
#include "view.h"

#define SEED 20261204
#define SERVICES 5
#define SPARE SERVICES /* index of the spare pool */
#define POOLS (SERVICES + 1)
#define VMS_PER_POOL 10
#define SPARE_VMS 8
#define VMS (SERVICES * VMS_PER_POOL + SPARE_VMS)
#define SLOTS 8
#define DAY_S 86400
#define DAYS 3
#define TURN_S 8 /* length of one queue's surge */
#define SURGE 5.0
#define BETWEEN 0.05
#define MEAN_SLOTS 16.0 /* of a queue over the day */
#define DAY_SHIFT 0.6 /* share by which the mean swings over the day */
#define DEADLINE_S 2.0 /* longest wait that still counts as answered */
#define MOVE_S 60 /* drain, acknowledge, assign, return */
#define PLAN_EVERY_S 10
#define FAILURES_PER_DAY 0.6
#define REPLACE_S 3600
#define HOUR_S 3600

struct deployment {
	const char *name;
	struct text_measures weights;
	int availability_ppm[SERVICES];
	double phase[SERVICES]; /* of the day at which the mean is highest */
};

/* Quick enrolment by day, reconciliation and ledgers by night. */
static const struct deployment deployments[] = {
    {"consorcio", {6, 2, 1}, {800000, 800000, 800000, 700000, 600000},
	{0.50, 0.55, 0.45, 0.75, 0.0}},
    {"maison", {1, 1, 8}, {800000, 600000, 800000, 700000, 800000},
	{0.50, 0.0, 0.55, 0.75, 0.1}},
};

struct vm_state {
	size_t pool;
	size_t target; /* while it moves */
	int64_t back_s; /* end of its move or replacement; 0: serves */
	bool lost;
};

struct result {
	double held, served, offered;
	unsigned moves;
	double worst; /* smallest hourly share above the promise */
};

struct run {
	const struct deployment *d;
	enum planner_policy policy;
	struct planner_pool pools[POOLS];
	struct vm_state vms[VMS];
	double backlog[SERVICES];
	double hour_offered[SERVICES], hour_served[SERVICES];
	uint64_t prng;
	struct result r;
};

static double
uniform(struct run *r)
{
	return (double)prng_below(&r->prng, 1000000) / 1e6;
}

static double
demand(struct run *r, size_t s, int64_t t)
{
	double day = (double)t / DAY_S - r->d->phase[s];
	double mean = MEAN_SLOTS * (1 + DAY_SHIFT * cos(2 * M_PI * day));
	bool surges = (size_t)(t / TURN_S) % SERVICES == s;

	return mean * (surges ? SURGE : BETWEEN) * (0.9 + 0.2 * uniform(r));
}

static void
run_init(struct run *r, const struct deployment *d, enum planner_policy policy)
{
	size_t i;

	memset(r, 0, sizeof(*r));
	r->d = d;
	r->policy = policy;
	r->prng = SEED;
	r->r.worst = 1;
	for (i = 0; i < POOLS; i++) {
		snprintf(r->pools[i].name, NAME_BYTES, "pool-%zu", i);
		r->pools[i].spare = i == SPARE;
		r->pools[i].slots_per_vm = SLOTS;
		if (i < SERVICES)
			r->pools[i].availability_ppm = d->availability_ppm[i];
	}
	for (i = 0; i < VMS; i++)
		r->vms[i].pool = i / VMS_PER_POOL;
}

/* Moves and replacements that end, and VMs that fail. */
static void
advance_vms(struct run *r, int64_t t)
{
	struct vm_state *v;
	size_t i;

	for (i = 0; i < VMS; i++) {
		v = &r->vms[i];
		if (v->back_s != 0 && t >= v->back_s) {
			if (!v->lost)
				v->pool = v->target;
			v->lost = false;
			v->back_s = 0;
		}
	}
	if (uniform(r) >= FAILURES_PER_DAY / DAY_S)
		return;
	v = &r->vms[prng_below(&r->prng, VMS)];
	v->lost = true;
	v->back_s = t + REPLACE_S;
}

static int64_t
serving(const struct run *r, size_t pool)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < VMS; i++)
		n += r->vms[i].pool == pool && r->vms[i].back_s == 0;
	return n;
}

static int64_t
total(const struct run *r, size_t pool)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < VMS; i++)
		n += r->vms[i].pool == pool;
	return n;
}

/* The same rule as the fold's: the pool's share of VMs that serve. */
static bool
may_leave(const struct run *r, const struct vm_state *v)
{
	return v->back_s == 0 &&
	    (serving(r, v->pool) - 1) * TEXT_PPM >=
	    total(r, v->pool) * r->pools[v->pool].availability_ppm;
}

static void
plan(struct run *r, int64_t t)
{
	struct planner_vm vms[VMS];
	struct planner_input in = {.policy = r->policy,
	    .weights = r->d->weights,
	    .now_us = t * US_PER_S,
	    .pools = r->pools,
	    .pool_count = POOLS,
	    .vms = vms,
	    .vm_count = VMS};
	struct planner_output out;
	struct vm_state *v;
	size_t i, to;

	memset(vms, 0, sizeof(vms));
	for (i = 0; i < VMS; i++) {
		snprintf(vms[i].name, NAME_BYTES, "%zu", i);
		vms[i].pool = r->vms[i].pool;
		vms[i].movable = may_leave(r, &r->vms[i]);
	}
	planner_plan(&in, &out);
	for (i = 0; i < out.move_count; i++) {
		v = &r->vms[strtoul(out.moves[i].vm, NULL, 10)];
		for (to = 0;
		     strcmp(r->pools[to].name, out.moves[i].to_pool) != 0;)
			to++;
		if (!may_leave(r, v))
			continue;
		v->target = to;
		v->back_s = t + MOVE_S;
		r->r.moves += t >= HOUR_S;
	}
}

static void
count_held(struct run *r)
{
	const struct vm_state *v;
	size_t i;

	for (i = 0; i < POOLS; i++)
		r->pools[i].vm_count = 0;
	for (v = r->vms; v < r->vms + VMS; v++) {
		if (v->lost)
			continue;
		r->pools[v->back_s != 0 ? v->target : v->pool].vm_count++;
	}
}

/* What would wait longer than the deadline is refused. */
static void
serve(struct run *r, size_t s, int64_t t)
{
	double capacity = (double)(serving(r, s) * SLOTS);
	double offered = demand(r, s, t), work, served;

	planner_observe(
	    &r->pools[s], (int64_t)(offered * TEXT_PPM), t * US_PER_S);
	work = r->backlog[s] + offered;
	served = work < capacity ? work : capacity;
	r->backlog[s] = work - served;
	if (r->backlog[s] > capacity * DEADLINE_S)
		r->backlog[s] = capacity * DEADLINE_S;
	r->hour_offered[s] += offered;
	r->hour_served[s] += served;
	if (t < HOUR_S)
		return;
	r->r.offered += offered;
	r->r.served += served;
}

static void
close_hour(struct run *r, int64_t t)
{
	double above;
	size_t s;

	for (s = 0; s < SERVICES; s++) {
		above = r->hour_served[s] / r->hour_offered[s] -
		    r->d->availability_ppm[s] / 1e6;
		if (t > HOUR_S && above < r->r.worst)
			r->r.worst = above;
		r->hour_served[s] = r->hour_offered[s] = 0;
	}
}

static void
step(struct run *r, int64_t t)
{
	const struct vm_state *v;
	size_t s;

	advance_vms(r, t);
	count_held(r);
	for (s = 0; s < SERVICES; s++)
		serve(r, s, t);
	for (v = r->vms; v < r->vms + VMS; v++) {
		/* Held for a service, or on its way: nobody else can use it. */
		if (t >= HOUR_S && !v->lost &&
		    (v->pool != SPARE || v->back_s != 0))
			r->r.held += SLOTS;
	}
	if (t % PLAN_EVERY_S == 0)
		plan(r, t);
	if (t > 0 && t % HOUR_S == 0)
		close_hour(r, t);
}

static void
run_policy(
    const struct deployment *d, enum planner_policy policy, const char *suffix)
{
	double days = DAYS - (double)HOUR_S / DAY_S;
	struct run *r = calloc(1, sizeof(*r));
	int64_t t;

	if (r == NULL)
		exit(1);
	run_init(r, d, policy);
	for (t = 0; t < (int64_t)DAYS * DAY_S; t++)
		step(r, t);
	printf("buffer.idle_ratio.%s%s %.4f ratio\n", d->name, suffix,
	    1 - r->r.served / r->r.held);
	printf("moves.per_day.%s%s %.2f moves\n", d->name, suffix,
	    r->r.moves / days);
	printf("buffer.held_vms.%s%s %.2f VMs\n", d->name, suffix,
	    r->r.held / SLOTS / (days * DAY_S));
	printf("buffer.answered_ratio.%s%s %.4f ratio\n", d->name, suffix,
	    r->r.served / r->r.offered);
	printf("buffer.worst_hour_above_promise.%s%s %.4f ratio\n", d->name,
	    suffix, r->r.worst);
	printf("buffer.budgets_kept.%s%s %d bool\n", d->name, suffix,
	    r->r.worst >= 0);
	free(r);
}

int
main(void)
{
	size_t i;

	for (i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
		run_policy(&deployments[i], PLANNER_POLICY_SCORED, "");
		run_policy(&deployments[i], PLANNER_POLICY_GREEDY, ".greedy");
		run_policy(&deployments[i], PLANNER_POLICY_NONE, ".never");
	}
	return 0;
}
