#include "task_world.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "view.h"

#define SECOND US_PER_S
#define REPORT_EVERY_US SECOND
#define REPORT_ROWS 4096
#define LATE_OP_US (5 * SECOND)
#define ENDED_ROWS_US (30 * SECOND) /* ended runs are still reported */

static const char text[] =
    "{\"deployment\": \"tasks\", \"data_centres\": [{\"name\": \"dc1\"},\n"
    "{\"name\": \"dc2\"}, {\"name\": \"dc3\"}],\n"
    "\"pools\": [{\"name\": \"jobs\"}],\n"
    "\"services\": [{\"name\": \"s\", \"path\": \"/s\", \"pool\": \"jobs\",\n"
    "\"availability\": 0.1}],\n"
    "\"members\": [\n"
    "{\"name\": \"m0\", \"quota\": {\"cores\": 1200, \"memory_mb\": "
    "9000000}},\n"
    "{\"name\": \"m1\", \"quota\": {\"cores\": 900, \"memory_mb\": 9000000}},\n"
    "{\"name\": \"m2\", \"quota\": {\"cores\": 600, \"memory_mb\": 9000000}},\n"
    "{\"name\": \"m3\", \"quota\": {\"cores\": 300, \"memory_mb\": "
    "9000000}}],\n"
    "\"tasks\": {\"pool\": \"jobs\", \"lease_s\": 10, \"preempt\": true,\n"
    "\"quarantine_failures\": 3}}";

int64_t
task_world_between(struct world *w, int64_t low, int64_t high)
{
	return low + (int64_t)prng_below(&w->prng, (uint64_t)(high - low + 1));
}

static struct truth *
truth_of(struct world *w, uint64_t id)
{
	struct truth *t;

	HASH_FIND(hh, w->truths, &id, sizeof(id), t);
	return t;
}

static struct run *
run_of(struct world *w, const struct effect *x)
{
	struct run *r, probe;

	memset(&probe, 0, sizeof(probe));
	probe.key.task = x->u.platform.task;
	snprintf(probe.key.vm, NAME_BYTES, "%s", x->u.platform.vm);
	HASH_FIND(hh, w->runs, &probe.key, sizeof(probe.key), r);
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			err(1, "run");
		r->key = probe.key;
		HASH_ADD(hh, w->runs, key, sizeof(r->key), r);
	}
	if (r->incarnation != x->u.platform.incarnation) {
		r->incarnation = x->u.platform.incarnation;
		r->epoch = r->seen = 0;
		r->active = false;
	}
	return r;
}

static void
run_end(struct world *w, struct run *r, enum usage_state state)
{
	if (!r->active)
		return;
	r->active = false;
	r->state = state;
	r->ended_us = sim_now(w->s);
}

static bool
fails_everything(const char *vm)
{
	return strcmp(vm, "dc1-3") == 0 || strcmp(vm, "dc2-7") == 0;
}

/* Ends runs whose work is done or whose lease has lapsed. */
static void
run_advance(struct world *w, struct run *r)
{
	int64_t now = sim_now(w->s);
	struct truth *t;

	if (!r->active)
		return;
	t = truth_of(w, r->key.task);
	if (fails_everything(r->key.vm) && now > r->began_us + SECOND / 5) {
		run_end(w, r, USAGE_FAILED);
	} else if (now >= r->ends_us && r->ends_us <= r->lease_until_us) {
		run_end(w, r, USAGE_DONE);
		t->left_us = 0;
		w->done++;
	} else if (now >= r->lease_until_us) {
		run_end(w, r, USAGE_LAPSED);
	}
}

static void
advance_all(struct world *w)
{
	struct run *r;

	for (r = w->runs; r != NULL; r = r->hh.next)
		run_advance(w, r);
}

static void
count_holders(struct world *w, const struct run *mine)
{
	struct run *r;

	for (r = w->runs; r != NULL; r = r->hh.next) {
		if (r == mine || r->key.task != mine->key.task)
			continue;
		run_advance(w, r);
		if (r->active) {
			w->double_leases++;
			fprintf(stderr,
			    "%.3f two holders of %016llx: %s epoch %llu, "
			    "%s epoch %llu\n",
			    (double)sim_now(w->s) / 1e6,
			    (unsigned long long)r->key.task, r->key.vm,
			    (unsigned long long)r->epoch, mine->key.vm,
			    (unsigned long long)mine->epoch);
		}
	}
}

static void
note_start(struct world *w, struct truth *t)
{
	int64_t now = sim_now(w->s);

	if (t->started_us != 0)
		return;
	t->started_us = now;
	if (!t->urgent)
		return;
	/* Nothing starts while the log is down: counted from its return. */
	if (w->down_to_us != 0 && t->submitted_us < w->down_to_us &&
	    now > w->down_from_us) {
		if (w->outage_count < TASK_WORLD_URGENT_MAX)
			w->outage_s[w->outage_count++] =
			    (double)(now - w->down_to_us) / 1e6;
		return;
	}
	if (getenv("TASKS_LATE") != NULL && now - t->submitted_us > 2 * SECOND)
		fprintf(stderr, "%.3f late %s %s %.3f\n",
		    (double)t->submitted_us / 1e6, t->member, t->name,
		    (double)(now - t->submitted_us) / 1e6);
	if (w->urgent_count < TASK_WORLD_URGENT_MAX)
		w->urgent_s[w->urgent_count++] =
		    (double)(now - t->submitted_us) / 1e6;
}

static bool
op_start(struct world *w, struct run *r, const struct effect *x)
{
	int64_t now = sim_now(w->s);
	struct truth *t = truth_of(w, r->key.task);

	if (x->u.platform.epoch < r->seen)
		return false;
	run_advance(w, r);
	/* A lapsed run is taken up again; what was done or failed is not. */
	if (r->epoch == x->u.platform.epoch &&
	    (r->active || r->state != USAGE_LAPSED)) {
		if (r->active)
			r->lease_until_us =
			    now + x->u.platform.lease_s * SECOND;
		return true;
	}
	r->epoch = r->seen = x->u.platform.epoch;
	r->state = USAGE_RUNNING;
	r->active = true;
	r->began_us = now;
	r->ends_us = now + t->left_us;
	r->lease_until_us = now + x->u.platform.lease_s * SECOND;
	w->starts++;
	count_holders(w, r);
	note_start(w, t);
	return true;
}

static bool
op_checkpoint(struct world *w, struct run *r, const struct effect *x)
{
	struct truth *t = truth_of(w, r->key.task);

	if (x->u.platform.epoch < r->seen)
		return false;
	if (!r->active)
		return true;
	t->left_us -= sim_now(w->s) - r->began_us;
	if (t->left_us < SECOND / 10)
		t->left_us = SECOND / 10;
	run_end(w, r, USAGE_CHECKPOINTED);
	return true;
}

static bool
op_apply(struct world *w, const struct effect *x)
{
	struct run *r = run_of(w, x);
	bool ok = true;

	run_advance(w, r);
	switch (x->u.platform.op) {
	case PLATFORM_TASK_START:
		ok = op_start(w, r, x);
		break;
	case PLATFORM_TASK_STOP:
		ok = x->u.platform.epoch >= r->seen;
		if (ok) {
			r->seen = x->u.platform.epoch;
			run_end(w, r, USAGE_LAPSED);
			r->epoch = 0; /* only the epoch seen is remembered */
		}
		break;
	case PLATFORM_TASK_CHECKPOINT:
		ok = op_checkpoint(w, r, x);
		break;
	default:
		ok = x->u.platform.epoch >= r->seen;
		break;
	}
	return ok;
}

static void
late_begin(struct world *w, struct task_late *l)
{
	l->w = w;
	LIST_INSERT_HEAD(&w->late, l, entry);
}

static void
late_end(struct task_late *l)
{
	LIST_REMOVE(l, entry);
	free(l);
}

struct late_op {
	struct task_late late;
	struct effect effect;
};

static void
late_op(struct sim *s, void *arg)
{
	struct late_op *o = arg;
	const struct sim_worker *vm = sim_worker(s, o->effect.u.platform.vm);

	if (vm->entry.incarnation == o->effect.u.platform.incarnation &&
	    vm->fault != SIM_FAULT_DEAD)
		op_apply(o->late.w, &o->effect);
	late_end(&o->late);
}

/* A lost answer: the operation took effect, or will in a while. */
static enum append_outcome
lost_op(struct world *w, const struct effect *x)
{
	struct late_op *o;

	if (prng_below(&w->prng, 2) == 0) {
		op_apply(w, x);
		return APPEND_UNKNOWN;
	}
	o = calloc(1, sizeof(*o));
	if (o == NULL)
		err(1, "late operation");
	late_begin(w, &o->late);
	o->effect = *x;
	sim_at(w->s, sim_now(w->s) + task_world_between(w, 1, LATE_OP_US),
	    late_op, o);
	return APPEND_UNKNOWN;
}

static enum append_outcome
on_task(struct sim *s, const struct effect *x, void *arg)
{
	struct world *w = arg;
	bool ok;

	/* The list may still show a VM that died; nothing starts there. */
	if (sim_worker(s, x->u.platform.vm)->fault == SIM_FAULT_DEAD)
		return APPEND_NOT_DONE;
	if (prng_below(&w->prng, 1000000) < w->lose_op_ppm)
		return lost_op(w, x);
	ok = op_apply(w, x);
	w->refused_ops += !ok;
	return ok ? APPEND_DONE : APPEND_NOT_DONE;
}

/* Reports: rows as of now, delivered after the lag. */
struct report {
	struct task_late late;
	size_t count;
	struct usage_entry rows[REPORT_ROWS];
	bool changed[REPORT_ROWS];
};

static void
report_deliver(struct sim *s, void *arg)
{
	struct report *rep = arg;
	struct world *w = rep->late.w;
	struct usage_entry *mine;
	unsigned node;
	size_t i, n;

	mine = calloc(rep->count + 1, sizeof(*mine));
	if (mine == NULL)
		err(1, "report");
	for (node = 0; node < sim_nodes(s); node++) {
		n = 0;
		for (i = 0; i < rep->count; i++) {
			if (strncmp(rep->rows[i].vm, sim_dc(s, node), 3) == 0 &&
			    (rep->changed[i] || w->missed[node]))
				mine[n++] = rep->rows[i];
		}
		w->missed[node] = !sim_usage(s, node, mine, n);
	}
	free(mine);
	late_end(&rep->late);
}

static void
report(struct sim *s, void *arg)
{
	struct world *w = arg;
	struct report *rep = calloc(1, sizeof(*rep));
	struct usage_entry *u;
	uint64_t epoch;
	struct run *r;

	if (rep == NULL)
		err(1, "report");
	late_begin(w, &rep->late);
	advance_all(w);
	for (r = w->runs; r != NULL && rep->count < REPORT_ROWS;
	     r = r->hh.next) {
		epoch = r->epoch != 0 ? r->epoch : r->seen;
		if (epoch == 0 ||
		    (!r->active && sim_now(s) - r->ended_us > ENDED_ROWS_US))
			continue;
		rep->changed[rep->count] =
		    r->state != r->shown_state || epoch != r->shown_epoch;
		r->shown_state = r->state;
		r->shown_epoch = epoch;
		u = &rep->rows[rep->count++];
		memcpy(u->vm, r->key.vm, NAME_BYTES);
		u->incarnation = r->incarnation;
		u->task = r->key.task;
		u->epoch = epoch;
		u->state = r->state;
		u->cores_milli = truth_of(w, r->key.task)->cores_milli;
		u->memory_mb = 1000;
	}
	sim_at(s, sim_now(s) + w->report_lag_us, report_deliver, rep);
	sim_at(s, sim_now(s) + REPORT_EVERY_US, report, w);
}

/* Submissions; a client repeats until its task is on record. */

static struct core *
some_core(struct world *w)
{
	unsigned n = sim_nodes(w->s), i;
	unsigned first = (unsigned)prng_below(&w->prng, n);

	for (i = 0; i < n; i++) {
		if (sim_running(w->s, (first + i) % n))
			return sim_core(w->s, (first + i) % n);
	}
	return NULL;
}

static bool
on_record(struct world *w, uint64_t id)
{
	unsigned i;

	for (i = 0; i < sim_nodes(w->s); i++) {
		if (sim_core(w->s, i) != NULL &&
		    fold_tasks_get(
			fold_task_state(core_fold(sim_core(w->s, i))), id))
			return true;
	}
	return false;
}

static void
send_task(struct sim *s, void *arg)
{
	struct truth *t = arg;
	struct core *c = some_core(t->w);
	struct json_object *o;
	struct err e = {0};
	char body[512];

	if (on_record(t->w, t->id))
		return;
	snprintf(body, sizeof(body),
	    "{\"member\": \"%s\", \"name\": \"%s\", \"urgent\": %s,"
	    "\"yield\": \"%s\", \"cores\": %lld, \"memory_mb\": 1000}",
	    t->member, t->name, t->urgent ? "true" : "false",
	    task_yield_name(t->yield),
	    (long long)(t->declared.cores_milli / 1000));
	if (c != NULL) {
		o = core_tasks_post(c, body, strlen(body), &e);
		/* A task that can run nowhere is not sent again. */
		if (o == NULL && e.kind == ERR_RANGE)
			return;
		json_object_put(o);
	}
	sim_at(s, sim_now(s) + SECOND, send_task, t);
}

void
task_world_submit(struct world *w, bool urgent)
{
	struct truth *t = calloc(1, sizeof(*t));
	int64_t cores = task_world_between(w, 1, urgent ? 8 : 16);

	if (t == NULL)
		err(1, "task");
	t->w = w;
	t->urgent = urgent;
	snprintf(t->member, sizeof(t->member), "m%u",
	    (unsigned)prng_below(&w->prng, 4));
	snprintf(t->name, sizeof(t->name), "%s-%u", urgent ? "urgent" : "job",
	    w->number++);
	t->id = task_id(t->member, t->name);
	t->declared.cores_milli = cores * 1000;
	t->cores_milli = cores * task_world_between(w, 300, 2500);
	if (!urgent && prng_below(&w->prng, 50) == 0)
		t->declared.cores_milli = 70 * 1000; /* no VM has these */
	t->left_us = urgent ? task_world_between(w, SECOND, 4 * SECOND)
			    : task_world_between(w, 5 * SECOND, 60 * SECOND);
	t->yield = (enum task_yield)prng_below(&w->prng, 3);
	t->submitted_us = sim_now(w->s);
	HASH_ADD(hh, w->truths, id, sizeof(t->id), t);
	send_task(w->s, t);
}

void
task_world_cancel(struct world *w, const char *member)
{
	struct core *c = some_core(w);
	struct json_object *o;
	struct err e = {0};
	char body[128];

	snprintf(body, sizeof(body),
	    "{\"member\": \"%s\", \"prefix\": \"job-\"}", member);
	o = c != NULL ? core_tasks_delete(c, body, strlen(body), &e) : NULL;
	w->waves += o != NULL;
	json_object_put(o);
}

void
task_world_vm_dies(struct world *w, const char *vm)
{
	struct run *r;

	for (r = w->runs; r != NULL; r = r->hh.next) {
		if (strcmp(r->key.vm, vm) == 0)
			r->active = false;
	}
	sim_vm_die(w->s, vm);
}

void
task_world_uninit(struct world *w)
{
	struct truth *t, *tnext;
	struct run *r, *rnext;

	while (!LIST_EMPTY(&w->late))
		late_end(LIST_FIRST(&w->late));
	r = w->runs;
	HASH_CLEAR(hh, w->runs);
	for (; r != NULL; r = rnext) {
		rnext = r->hh.next;
		free(r);
	}
	t = w->truths;
	HASH_CLEAR(hh, w->truths);
	for (; t != NULL; t = tnext) {
		tnext = t->hh.next;
		free(t);
	}
}

static void
add_workers(struct world *w, const char *dc, unsigned count)
{
	char vm[NAME_BYTES], rack[NAME_BYTES];
	unsigned i;

	for (i = 0; i < count; i++) {
		snprintf(vm, sizeof(vm), "%.20s-%u", dc, i);
		snprintf(rack, sizeof(rack), "rack-%.20s-%u", dc, i / 4);
		sim_worker_add(w->s, vm, dc, rack, "jobs");
	}
}

void
task_world_report(struct world *w)
{
	report(w->s, w);
}

void
task_world_init(
    struct world *w, struct sim *s, uint64_t seed, unsigned vms_per_dc)
{
	unsigned i;

	memset(w, 0, sizeof(*w));
	LIST_INIT(&w->late);
	w->s = s;
	w->prng = seed | 1;
	w->report_lag_us = SECOND;
	sim_on_task(s, on_task, w);
	for (i = 0; i < sim_nodes(s); i++) {
		if (i == 0 || strcmp(sim_dc(s, i), sim_dc(s, i - 1)) != 0)
			add_workers(w, sim_dc(s, i), vms_per_dc);
	}
	sim_publish(s, text, 0);
}
