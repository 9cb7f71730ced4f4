#include "soak_plan.h"

#include <string.h>

#include "view.h"

#define WARM_MS 3000 /* before the first fault */
#define PLANNED_FROM_MS 4000 /* after contactMs without a disruption */
#define PLANNED_MS 6000 /* only what is planned happens */
#define PLANNED_GAP_MS 900 /* mean, between two actions */
#define PLANNED_LEAST_MS 25000 /* shorter soaks have no such time */
#define GAP_SUM_MS 3000 /* mean time between faults of one daemon */
#define GAP_MIN_MS 150
#define GAP_MAX_MS 800
#define SERIES_OF 4 /* one fault in so many comes in a series */
#define SERIES_MOST 4 /* further ones */
#define SERIES_GAP_MS 250 /* mean */
#define ODD_GAP_MS 1500 /* mean, between two odd entries */

enum target {
	TARGET_DAEMON,
	TARGET_WORKER,
	TARGET_STORE
};

static const struct {
	const char *name;
	enum target target;
	unsigned weight;
	int least_ms, most_ms;
	int least, most; /* amount */
} acts[SOAK_ACTS] = {
    [ACT_KILL] = {"kill", TARGET_DAEMON, 6, 100, 3000, 0, 1},
    [ACT_TERM] = {"term", TARGET_DAEMON, 6, 500, 4000, 0, 1},
    [ACT_STOP] = {"stop", TARGET_DAEMON, 6, 200, 5000, 0, 1},
    [ACT_HUP] = {"hup", TARGET_DAEMON, 3, 1, 2, 0, 1},
    [ACT_SETTINGS] = {"settings", TARGET_DAEMON, 2, 1, 2, 0, 1},
    [ACT_DAMAGE] = {"damage", TARGET_DAEMON, 3, 500, 3000, 0, 1},
    [ACT_CONFIGS] = {"configs", TARGET_STORE, 4, 1, 2, 2, 9},
    [ACT_LINK_STORE] = {"link-store", TARGET_DAEMON, 16, 200, 5000, 10, 800},
    [ACT_LINK_FRONT] = {"link-front", TARGET_DAEMON, 10, 200, 4000, 10, 800},
    [ACT_LINK_WORKER] = {"link-worker", TARGET_WORKER, 14, 200, 6000, 10, 800},
    [ACT_WORKER_KILL] = {"worker-kill", TARGET_WORKER, 6, 10, 5000, 0, 1},
    [ACT_WORKER_FREEZE] = {"worker-freeze", TARGET_WORKER, 6, 200, 6000, 0, 1},
    [ACT_STORE_SLOW] = {"store-slow", TARGET_STORE, 3, 500, 3000, 20, 600},
    [ACT_STORE_DOWN] = {"store-down", TARGET_STORE, 3, 200, 3000, 0, 1},
    [ACT_STORE_BUSY] = {"store-busy", TARGET_STORE, 2, 200, 3000, 0, 1},
    [ACT_STORE_PART] = {"store-part", TARGET_STORE, 3, 200, 4000, 0, 3},
    [ACT_STORE_FORGET] = {"store-forget", TARGET_STORE, 2, 1, 2, 0, 1},
    [ACT_STORE_LOSE] = {"store-lose", TARGET_STORE, 3, 500, 3000, 1, 4},
    /* draw_odd_entries() draws it, so that the other faults stay as they are */
    [ACT_ODD_ENTRY] = {"odd-entry", TARGET_WORKER, 0, 1, 2, 0,
	SOAK_ODD_ENTRIES},
};

static const char *const fault_names[LINK_FAULTS] = {
    [LINK_SOUND] = "sound",
    [LINK_DELAY] = "delay",
    [LINK_RESET] = "reset",
    [LINK_CUT_THERE] = "cut-there",
    [LINK_CUT_BACK] = "cut-back",
    [LINK_SILENT] = "silent",
    [LINK_DRIP] = "drip",
    [LINK_DROP] = "drop-answers",
    [LINK_REJECT] = "reject",
};

const char *
soak_act_name(enum soak_act act)
{
	return acts[act].name;
}

static enum soak_act
draw_act(uint64_t *r)
{
	unsigned sum = 0, n;
	int i;

	for (i = 0; i < SOAK_ACTS; i++)
		sum += acts[i].weight;
	n = prng_below(r, sum);
	for (i = 0; n >= acts[i].weight; i++)
		n -= acts[i].weight;
	return (enum soak_act)i;
}

static void
add(struct soak_plan *p, const struct soak_plan_opts *o, uint64_t *r,
    enum soak_act act, int at_ms, int until_ms)
{
	struct soak_action *a = &p->list[p->count];
	uint32_t targets = acts[act].target == TARGET_DAEMON
	    ? (uint32_t)o->daemons
	    : (uint32_t)o->workers;

	if (p->count == SOAK_ACTIONS_MAX)
		return;
	p->count++;
	a->at_ms = at_ms;
	a->act = act;
	a->ms = acts[act].least_ms +
	    (int)prng_below(
		r, (uint32_t)(acts[act].most_ms - acts[act].least_ms));
	if (at_ms + a->ms > until_ms)
		a->ms = until_ms - at_ms;
	a->amount = acts[act].least +
	    (int)prng_below(r, (uint32_t)(acts[act].most - acts[act].least));
	a->target =
	    acts[act].target == TARGET_STORE ? -1 : (int)prng_below(r, targets);
	if (act == ACT_LINK_STORE || act == ACT_LINK_FRONT ||
	    act == ACT_LINK_WORKER)
		a->fault = (enum link_fault)(1 +
		    prng_below(r,
			act == ACT_LINK_STORE ? LINK_FAULTS - 1
					      : LINK_FAULTS - 2));
}

/* The same again, at other targets or the same one, while the first lasts. */
static void
draw_series(struct soak_plan *p, const struct soak_plan_opts *o, uint64_t *r,
    enum soak_act act, int at, int until_ms)
{
	int n = 1;

	if (prng_below(r, SERIES_OF) == 0)
		n += 1 + (int)prng_below(r, SERIES_MOST);
	for (; n > 0 && at < until_ms; n--) {
		add(p, o, r, act, at, until_ms);
		at += 1 + (int)prng_below(r, 2 * SERIES_GAP_MS);
	}
}

static void
draw_faults(struct soak_plan *p, const struct soak_plan_opts *o, uint64_t *r,
    int from_ms, int until_ms)
{
	int gap = GAP_SUM_MS / o->daemons, at = from_ms;

	gap = gap < GAP_MIN_MS ? GAP_MIN_MS : gap;
	gap = gap > GAP_MAX_MS ? GAP_MAX_MS : gap;
	while ((at += (int)prng_below(r, 2 * (uint32_t)gap)) < until_ms)
		draw_series(p, o, r, draw_act(r), at, until_ms);
}

static void
draw_planned(struct soak_plan *p, const struct soak_plan_opts *o, uint64_t *r,
    int from_ms)
{
	static const enum soak_act planned[] = {
	    ACT_TERM, ACT_HUP, ACT_CONFIGS, ACT_TERM};
	int at = from_ms;

	while (at < from_ms + PLANNED_MS) {
		add(p, o, r, planned[prng_below(r, 4)], at,
		    from_ms + PLANNED_MS + 1000);
		at += 1 + (int)prng_below(r, 2 * PLANNED_GAP_MS);
	}
}

/* From a seed of their own, at all times: they disturb nothing. */
static void
draw_odd_entries(struct soak_plan *p, const struct soak_plan_opts *o)
{
	uint64_t r = ~(o->seed + 1) * SOAK_SEED_SPREAD;
	int at = WARM_MS;

	while ((at += 1 + (int)prng_below(&r, 2 * ODD_GAP_MS)) < p->end_ms)
		add(p, o, &r, ACT_ODD_ENTRY, at, p->end_ms);
}

static int
count_kinds(const struct soak_plan *p)
{
	bool seen[SOAK_ACTS][LINK_FAULTS];
	int i, n = 0;

	memset(seen, 0, sizeof(seen));
	for (i = 0; i < p->count; i++) {
		n += !seen[p->list[i].act][p->list[i].fault];
		seen[p->list[i].act][p->list[i].fault] = true;
	}
	return n;
}

void
soak_plan_draw(struct soak_plan *p, const struct soak_plan_opts *o)
{
	uint64_t r;
	int half;

	memset(p, 0, sizeof(*p));
	r = (o->seed + 1) * SOAK_SEED_SPREAD;
	p->end_ms = o->seconds * 1000;
	if (p->end_ms < PLANNED_LEAST_MS) {
		draw_faults(p, o, &r, WARM_MS, p->end_ms);
	} else {
		half = (p->end_ms - PLANNED_FROM_MS - PLANNED_MS) / 2 +
		    WARM_MS / 2;
		draw_faults(p, o, &r, WARM_MS, half);
		draw_planned(p, o, &r, half + PLANNED_FROM_MS);
		draw_faults(p, o, &r,
		    half + PLANNED_FROM_MS + PLANNED_MS + 1000, p->end_ms);
	}
	draw_odd_entries(p, o);
	p->kinds = count_kinds(p);
}

void
soak_plan_print(const struct soak_plan *p, FILE *out)
{
	const struct soak_action *a;
	int i;

	for (i = 0; i < p->count; i++) {
		a = &p->list[i];
		fprintf(out, "plan %6d ms: %s", a->at_ms, acts[a->act].name);
		if (a->fault != LINK_SOUND)
			fprintf(out, " %s", fault_names[a->fault]);
		if (a->target >= 0)
			fprintf(out, " %d", a->target);
		fprintf(out, " for %d ms, %d\n", a->ms, a->amount);
	}
}
