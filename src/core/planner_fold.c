/*
 * The planner of a daemon: fills the planner's input from the fold and the
 * request path, and proposes its moves.
 */
#include "planner.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "event.h"
#include "fold.h"
#include "path.h"
#include "peers.h"
#include "view.h"

#define OBSERVE_INTERVAL_US US_PER_S
#define PLAN_INTERVAL_US (10 * US_PER_S)
#define PLANNER_RESPONSIBILITY "planner"

struct planner {
	struct planner_pool *pools;
	size_t pool_count;
	struct planner_vm *vms;
	size_t vm_count;
	struct text_measures weights;
	int64_t last_observe_us, last_plan_us;
	uint64_t proposed_count; /* moves passed to the control path */
};

struct planner *
planner_new(void)
{
	return calloc(1, sizeof(struct planner));
}

void
planner_free(struct planner *p)
{
	if (p == NULL)
		return;
	free(p->pools);
	free(p->vms);
	free(p);
}

static struct planner_pool *
pool_find(struct planner_pool *pools, size_t count, const char *name)
{
	size_t i;

	for (i = 0; pools != NULL && i < count; i++) {
		if (strcmp(pools[i].name, name) == 0)
			return &pools[i];
	}
	return NULL;
}

static int
pool_slots(const struct text *t, const char *pool)
{
	int slots = 1;
	size_t i;

	for (i = 0; i < t->service_count; i++) {
		if (strcmp(t->services[i].pool, pool) == 0 &&
		    t->services[i].slots > slots)
			slots = t->services[i].slots;
	}
	return slots;
}

/* Pools that the text still has keep their observed demand. */
static void
sync_pools(struct planner *p, const struct text *t)
{
	struct planner_pool *pools, *old;
	size_t i;

	pools = calloc(t->pool_count, sizeof(*pools));
	if (pools == NULL)
		err(1, "planner: no memory for pools and VMs");
	for (i = 0; i < t->pool_count; i++) {
		old = pool_find(p->pools, p->pool_count, t->pools[i].name);
		if (old != NULL)
			pools[i] = *old;
		memcpy(pools[i].name, t->pools[i].name, NAME_BYTES);
		pools[i].spare = t->pools[i].spare;
		pools[i].availability_ppm = t->pools[i].availability_ppm;
		pools[i].slots_per_vm = pool_slots(t, t->pools[i].name);
		pools[i].vm_count = 0;
	}
	free(p->pools);
	p->pools = pools;
	p->pool_count = t->pool_count;
}

static void
sync_vm(struct planner *p, const struct fold *f, const struct vm *v)
{
	char reason[ERR_MESSAGE_BYTES];
	struct planner_pool *pool, *target;
	struct planner_vm *vm;

	target = pool_find(p->pools, p->pool_count, v->target_pool);
	if (target != NULL && v->state != VM_LOST)
		target->vm_count++;
	pool = pool_find(p->pools, p->pool_count, v->pool);
	if (pool == NULL || v->target_pool[0] != '\0' || !fold_vm_serves(f, v))
		return;
	pool->vm_count++;
	vm = &p->vms[p->vm_count++];
	memset(vm, 0, sizeof(*vm));
	memcpy(vm->name, v->name, NAME_BYTES);
	vm->pool = (size_t)(pool - p->pools);
	vm->movable = fold_budget_allows(f, v, reason, sizeof(reason));
}

void
planner_sync(struct planner *p, const struct fold *f, const char *data_centre)
{
	const struct text *t = fold_text(f);
	const struct vm *v;
	size_t n = 0;

	p->vm_count = 0;
	if (t == NULL)
		return;
	p->weights = t->measures;
	sync_pools(p, t);
	for (v = fold_vms(f); v != NULL; v = v->hh.next)
		n++;
	free(p->vms);
	p->vms = calloc(n + 1, sizeof(*p->vms));
	if (p->vms == NULL)
		err(1, "planner: no memory for pools and VMs");
	for (v = fold_vms(f); v != NULL; v = v->hh.next) {
		if (v->role == VM_WORKER &&
		    strcmp(v->data_centre, data_centre) == 0)
			sync_vm(p, f, v);
	}
}

void
planner_observe_demand(
    struct planner *p, const char *pool, int64_t demand_ppm, int64_t now_us)
{
	struct planner_pool *found = pool_find(p->pools, p->pool_count, pool);

	if (found != NULL)
		planner_observe(found, demand_ppm, now_us);
}

void
planner_propose(
    const struct planner *p, int64_t now_us, struct planner_output *out)
{
	struct planner_input in = {.policy = PLANNER_POLICY_SCORED,
	    .weights = p->weights,
	    .now_us = now_us,
	    .pools = p->pools,
	    .pool_count = p->pool_count,
	    .vms = p->vms,
	    .vm_count = p->vm_count};

	planner_plan(&in, out);
}

/*
 * The platform's load balancer spreads callers evenly, so the demand in the
 * data centre is this daemon's demand times the number of daemons.
 */
static void
observe_pools(struct planner *p, const struct view *v)
{
	int64_t daemons = 1 + peers_alive_count(v->peers, v->data_centre);
	size_t i;

	if (p->pools == NULL)
		planner_sync(p, v->fold, v->data_centre);
	for (i = 0; p->pools != NULL && i < p->pool_count; i++) {
		if (!p->pools[i].spare)
			planner_observe(&p->pools[i],
			    path_demand_ppm(v->path, p->pools[i].name) *
				daemons,
			    v->now_us);
	}
}

static void
propose_moves(struct planner *p, struct control *c, const struct view *v)
{
	struct move moves[PLANNER_MOVES_MAX];
	struct planner_output out;
	size_t i;

	planner_sync(p, v->fold, v->data_centre);
	if (v->log_down ||
	    !peers_is_responsible(v->peers, v, PLANNER_RESPONSIBILITY))
		return;
	planner_propose(p, v->now_us, &out);
	for (i = 0; i < out.move_count; i++) {
		memcpy(moves[i].vm, out.moves[i].vm, sizeof(moves[i].vm));
		memcpy(moves[i].to_pool, out.moves[i].to_pool,
		    sizeof(moves[i].to_pool));
	}
	if (out.move_count > 0 &&
	    control_propose_moves(c, v, moves, out.move_count))
		p->proposed_count += out.move_count;
}

void
planner_step(struct planner *p, struct control *c, const struct view *v,
    const struct event *ev)
{
	if (ev->kind != EVENT_TICK || !v->ready || v->stopping)
		return;
	if (v->now_us - p->last_observe_us >= OBSERVE_INTERVAL_US) {
		p->last_observe_us = v->now_us;
		observe_pools(p, v);
	}
	if (v->now_us - p->last_plan_us >= PLAN_INTERVAL_US) {
		p->last_plan_us = v->now_us;
		propose_moves(p, c, v);
	}
}

static void
add_string(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

struct json_object *
planner_moves_json(const struct planner_output *out)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct planner_move *m;

	for (m = out->moves; m < out->moves + out->move_count; m++) {
		o = json_object_new_object();
		add_string(o, "vm", m->vm);
		add_string(o, "from", m->from_pool);
		add_string(o, "to", m->to_pool);
		json_object_object_add(o, "score",
		    json_object_new_double((double)m->score_milli / 1000));
		add_string(o, "reason", m->reason);
		json_object_array_add(list, o);
	}
	return list;
}

struct json_object *
planner_dump(const struct planner *p)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct planner_pool *pool;

	for (pool = p->pools; pool < p->pools + p->pool_count; pool++) {
		o = json_object_new_object();
		add_string(o, "pool", pool->name);
		json_object_object_add(
		    o, "held", json_object_new_int64(pool->vm_count));
		json_object_object_add(o, "needed",
		    json_object_new_int64(planner_needed_vms(pool)));
		json_object_object_add(o, "demand_ppm_slots",
		    json_object_new_int64(pool->demand_ppm));
		json_object_array_add(list, o);
	}
	return list;
}
