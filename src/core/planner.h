/*
 * Plans moves of VMs between pools.  planner_plan() is a pure function of the
 * pools with what their demand has shown, the VMs and the weights that the
 * text gives the three measures: buffer cost, roll-out time, VM moves.
 *
 * A pool needs enough VMs for its promised share of the largest surge of the
 * last half hour; a surge of seconds never makes it need more twice.  What is
 * short of that is filled first.  What is beyond is handed to the spare pool
 * only where the idle time saved outweighs the moves there and back: a surplus
 * that has lasted for some time is expected to last as long again.
 */
#ifndef PLANNER_H
#define PLANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "bounds.h"
#include "text.h"

#define PLANNER_MOVES_MAX 8 /* of one plan; one from each pool at most */
#define PLANNER_PEAK_BUCKETS \
	6 /* buckets of the window that peaks are taken from */
#define PLANNER_HOUR_BUCKETS 24 /* hours that sources are chosen by */
#define PLANNER_PEAK_BUCKET_US (300 * US_PER_S) /* length of one bucket */
#define PLANNER_DAY_FLOOR_DIVISOR 4 /* of the day's need that always stays */
#define PLANNER_SHORTAGE_DELAY_US \
	(120 * US_PER_S) /* shortage until VMs are moved */
#define PLANNER_MARGIN_PPM 50000 /* above the promised availability */
#define PLANNER_REASON_BYTES 160

struct control;
struct event;
struct fold;
struct view;

enum planner_policy {
	PLANNER_POLICY_SCORED,
	PLANNER_POLICY_GREEDY, /* baseline: follows the demand of the moment */
	PLANNER_POLICY_NONE /* baseline: moves nothing */
};

/* One pool in one data centre, with what was observed of it. */
struct planner_pool {
	char name[NAME_BYTES];
	bool spare;
	int availability_ppm;
	int slots_per_vm; /* of one VM */
	int64_t vm_count; /* VMs that serve it, or are on their way to it */
	int64_t demand_ppm; /* in slots, as last observed */
	int64_t
	    bucket_peaks_ppm[PLANNER_PEAK_BUCKETS]; /* largest of each bucket */
	int64_t newest_bucket; /* number of the newest bucket */
	int64_t hour_peaks_ppm[PLANNER_HOUR_BUCKETS]; /* largest of each hour */
	int64_t newest_hour; /* number of the newest hour */
	int64_t
	    last_fully_used_us; /* last time that it needed all VMs it held */
	int64_t last_sufficient_us; /* last time that it held what it needed */
};

struct planner_vm {
	char name[NAME_BYTES];
	size_t pool; /* index of its pool */
	bool movable; /* the fold would admit that it leaves its pool now */
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
	int64_t score_milli; /* gain less cost, in weighted VM hours */
	char reason[PLANNER_REASON_BYTES];
};

struct planner_output {
	struct planner_move moves[PLANNER_MOVES_MAX];
	size_t move_count;
};

void planner_plan(const struct planner_input *in, struct planner_output *out);
/* Takes in the demand of a moment, in parts per million of one slot. */
void planner_observe(
    struct planner_pool *p, int64_t demand_ppm, int64_t now_us);
/* VMs that the pool needs by the surges of the window. */
int64_t planner_needed_vms(const struct planner_pool *p);

/* Pools and VMs of one data centre, kept over time by a daemon. */
struct planner;

struct planner *planner_new(void);
void planner_free(struct planner *p);
/*
 * On ticks: takes in the demand, and with the duty of the data centre hands
 * the plan's moves to the control path.
 */
void planner_step(struct planner *p, struct control *c, const struct view *v,
    const struct event *ev);
/* Takes over pools and VMs of a data centre as they stand in the fold. */
void planner_sync(
    struct planner *p, const struct fold *f, const char *data_centre);
/* Demand of a pool in the data centre; call about once a second. */
void planner_observe_demand(
    struct planner *p, const char *pool, int64_t demand_ppm, int64_t now_us);
/* The plan of now; moves that the fold would admit, each on its own. */
void planner_propose(
    const struct planner *p, int64_t now_us, struct planner_output *out);
/* The plan with its reasons: [{"vm","from","to","score","reason"}]. */
struct json_object *planner_moves_json(const struct planner_output *out);
/* What was observed of each pool, for a dump. */
struct json_object *planner_dump(const struct planner *p);

#endif
