/*
 * Plans moves of VMs between pools.  planner_plan() is a pure function of the
 * pools with their observed demand, the VMs, and the operator's weights of the
 * three measures: buffer cost, roll-out time and VM moves.
 *
 * A pool needs enough VMs to serve its guaranteed share of the highest demand
 * of the last half hour.  A short surge stays in that window, so another one
 * within it does not raise the need again.  Shortages are filled first.  A
 * surplus goes to the spare pool only if the idle time saved outweighs a move
 * there and back: a surplus that has lasted for some time is expected to last
 * as long again.
 */
#ifndef PLANNER_H
#define PLANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "bounds.h"
#include "text.h"

#define PLANNER_MOVES_MAX 8 /* per plan; at most one from each pool */
#define PLANNER_PEAK_BUCKETS 6 /* window of peak demand: half an hour */
#define PLANNER_HOUR_BUCKETS 24 /* for the floor and the choice of sources */
#define PLANNER_PEAK_BUCKET_US (300 * US_PER_S) /* length of one bucket */
/* A pool keeps at least this fraction (1/n) of the day's need. */
#define PLANNER_DAY_FLOOR_DIVISOR 4
/* A shortage must last this long before VMs are moved. */
#define PLANNER_SHORTAGE_DELAY_US (120 * US_PER_S)
#define PLANNER_MARGIN_PPM 50000 /* above the guaranteed availability */
#define PLANNER_REASON_BYTES 160

struct control;
struct event;
struct fold;
struct view;

enum planner_policy {
	PLANNER_POLICY_SCORED,
	PLANNER_POLICY_GREEDY, /* baseline: follows the current demand */
	PLANNER_POLICY_NONE /* baseline: moves nothing */
};

/* A pool in one data centre with its observed demand. */
struct planner_pool {
	char name[NAME_BYTES];
	bool spare;
	int availability_ppm;
	int slots_per_vm;
	int64_t vm_count; /* VMs that serve it or are moving to it */
	int64_t demand_ppm; /* millionths of a slot, last observed */
	int64_t bucket_peaks_ppm[PLANNER_PEAK_BUCKETS]; /* ring */
	int64_t newest_bucket; /* time / PLANNER_PEAK_BUCKET_US */
	int64_t hour_peaks_ppm[PLANNER_HOUR_BUCKETS]; /* ring */
	int64_t newest_hour; /* time in hours */
	int64_t last_fully_used_us; /* last time it needed all its VMs */
	int64_t last_sufficient_us; /* last time it had enough VMs */
};

struct planner_vm {
	char name[NAME_BYTES];
	size_t pool; /* index into planner_input.pools */
	bool movable; /* the fold would admit a withdrawal now */
};

struct planner_input {
	enum planner_policy policy;
	struct text_measures weights;
	int64_t now_us;
	const struct planner_pool *pools;
	size_t pool_count;
	const struct planner_vm *vms;
	size_t vm_count;
};

struct planner_move {
	char vm[NAME_BYTES];
	char from_pool[NAME_BYTES], to_pool[NAME_BYTES];
	int64_t score_milli; /* gain less cost, 1/1000 weighted VM hour */
	char reason[PLANNER_REASON_BYTES];
};

struct planner_output {
	struct planner_move moves[PLANNER_MOVES_MAX];
	size_t move_count;
};

void planner_plan(const struct planner_input *in, struct planner_output *out);
/* Records the pool's current demand, in millionths of a slot. */
void planner_observe(
    struct planner_pool *p, int64_t demand_ppm, int64_t now_us);
/* VMs that the pool needs for the peak demand of the window. */
int64_t planner_needed_vms(const struct planner_pool *p);

/* Pools and VMs of one data centre, as one daemon observes them. */
struct planner;

struct planner *planner_new(void);
void planner_free(struct planner *p);
/*
 * On ticks: records the demand and, if this daemon is responsible for planning
 * in its data centre, proposes the moves of a new plan.
 */
void planner_step(struct planner *p, struct control *c, const struct view *v,
    const struct event *ev);
/*
 * Updates the pools and VMs of a data centre from the fold.  Pools that the
 * text in force still has keep their observed demand.
 */
void planner_sync(
    struct planner *p, const struct fold *f, const char *data_centre);
/*
 * Records the current demand of a pool, in millionths of a slot; to be called
 * about once a second.  Unknown pools are ignored.
 */
void planner_observe_demand(
    struct planner *p, const char *pool, int64_t demand_ppm, int64_t now_us);
/* Plans now.  The fold would admit each of the moves by itself. */
void planner_propose(
    const struct planner *p, int64_t now_us, struct planner_output *out);
/*
 * The plan with its reasons: [{"vm","from","to","score","reason"}].  The
 * caller owns the object.
 */
struct json_object *planner_moves_json(const struct planner_output *out);
/* Observed state of each pool, for the dump; owned by the caller. */
struct json_object *planner_dump(const struct planner *p);

#endif
