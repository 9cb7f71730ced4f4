#include "worker_tasks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MILLICORES_PER_CORE 1000

void
worker_tasks_init(struct worker_tasks *w, int lag_ms, int run_ms)
{
	memset(w, 0, sizeof(*w));
	w->lag_ms = lag_ms;
	w->run_ms = run_ms;
}

void
worker_tasks_uninit(struct worker_tasks *w)
{
	struct worker_task *t, *next;

	HASH_ITER(hh, w->list, t, next)
	{
		HASH_DEL(w->list, t);
		free(t);
	}
}

static void
task_change(struct worker_tasks *w, struct worker_task *t,
    enum worker_task_state state, int64_t now_ms)
{
	t->usage.state = state;
	t->revision = ++w->revision;
	t->shown_ms = now_ms + w->lag_ms;
}

static struct worker_task *
task_find(struct worker_tasks *w, const struct worker_task_call *call)
{
	struct worker_task *t;
	char id[sizeof(t->id)];

	snprintf(id, sizeof(id), "%s/%llu", call->vm,
	    (unsigned long long)call->task);
	HASH_FIND_STR(w->list, id, t);
	if (t != NULL)
		return t;
	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	memcpy(t->id, id, sizeof(id));
	snprintf(t->usage.vm, sizeof(t->usage.vm), "%s", call->vm);
	snprintf(
	    t->data_centre, sizeof(t->data_centre), "%s", call->data_centre);
	t->usage.task = call->task;
	t->usage.state = WORKER_TASK_LAPSED;
	HASH_ADD_STR(w->list, id, t);
	return t;
}

/* A start of the running epoch renews its lease. */
static void
task_start(struct worker_tasks *w, struct worker_task *t,
    const struct worker_task_call *call, int64_t now_ms)
{
	bool renewal = call->epoch == t->usage.epoch && t->starts > 0;

	t->lease_end_ms = now_ms + call->lease_s * MS_PER_S;
	if (renewal && t->usage.state != WORKER_TASK_THROTTLED)
		return;
	t->usage.incarnation = call->vm_incarnation;
	t->usage.epoch = call->epoch;
	t->usage.cores_milli = call->cores * MILLICORES_PER_CORE;
	t->usage.memory_mb = call->memory_mb;
	t->usage.accelerators = call->accelerators;
	t->starts += !renewal;
	t->run_end_ms = w->run_ms > 0 ? now_ms + w->run_ms : 0;
	task_change(w, t,
	    strcmp(w->failing_vm, call->vm) == 0 ? WORKER_TASK_FAILED
						 : WORKER_TASK_RUNNING,
	    now_ms);
}

static bool
task_runs(const struct worker_task *t)
{
	return t->usage.state == WORKER_TASK_RUNNING ||
	    t->usage.state == WORKER_TASK_THROTTLED;
}

int
worker_tasks_call(
    struct worker_tasks *w, const struct worker_task_call *call, int64_t now)
{
	struct worker_task *t = task_find(w, call);

	if (t == NULL || call->epoch < t->usage.epoch)
		return -1;
	if (call->key == t->last_key)
		return t->usage.state;
	t->last_key = call->key;
	/* A stop fences: a late start of an older epoch finds the newer one. */
	if (strcmp(call->op, "stop") == 0)
		t->usage.epoch = call->epoch;
	if (strcmp(call->op, "start") == 0)
		task_start(w, t, call, now);
	else if (!task_runs(t))
		return t->usage.state;
	else if (strcmp(call->op, "checkpoint") == 0)
		task_change(w, t, WORKER_TASK_CHECKPOINTED, now);
	else if (strcmp(call->op, "throttle") == 0)
		task_change(w, t, WORKER_TASK_THROTTLED, now);
	else
		task_change(w, t, WORKER_TASK_LAPSED, now);
	return t->usage.state;
}

void
worker_tasks_vm_lost(struct worker_tasks *w, const char *vm, int64_t now_ms)
{
	struct worker_task *t, *next;

	HASH_ITER(hh, w->list, t, next)
	if (task_runs(t) && strcmp(t->usage.vm, vm) == 0)
		task_change(w, t, WORKER_TASK_FAILED, now_ms);
}

void
worker_tasks_tick(struct worker_tasks *w, int64_t now_ms)
{
	struct worker_task *t, *next;

	HASH_ITER(hh, w->list, t, next)
	{
		if (!task_runs(t))
			continue;
		if (t->run_end_ms != 0 && now_ms >= t->run_end_ms)
			task_change(w, t, WORKER_TASK_DONE, now_ms);
		else if (now_ms >= t->lease_end_ms)
			task_change(w, t, WORKER_TASK_LAPSED, now_ms);
	}
}

static struct json_object *
task_json(const struct worker_task *t)
{
	const struct usage_entry *u = &t->usage;
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "vm", json_object_new_string(u->vm));
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(u->incarnation));
	json_object_object_add(o, "task", json_object_new_uint64(u->task));
	json_object_object_add(o, "epoch", json_object_new_uint64(u->epoch));
	json_object_object_add(
	    o, "cores_milli", json_object_new_int64(u->cores_milli));
	json_object_object_add(
	    o, "memory_mb", json_object_new_int64(u->memory_mb));
	json_object_object_add(
	    o, "accelerators", json_object_new_int64(u->accelerators));
	json_object_object_add(o, "state", json_object_new_int(u->state));
	json_object_object_add(
	    o, "starts", json_object_new_int((int)t->starts));
	return o;
}

/* A change that is not shown yet holds the revision back below itself. */
static uint64_t
shown_revision(const struct worker_tasks *w, int64_t now_ms)
{
	struct worker_task *t, *next;
	uint64_t revision = w->revision;

	HASH_ITER(hh, w->list, t, next)
	if (t->shown_ms > now_ms && t->revision <= revision)
		revision = t->revision - 1;
	return revision;
}

struct json_object *
worker_tasks_read(const struct worker_tasks *w, const char *data_centre,
    uint64_t since, int64_t now_ms)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint64_t revision = shown_revision(w, now_ms);
	struct worker_task *t, *next;

	if (since > w->revision)
		since = 0;
	HASH_ITER(hh, w->list, t, next)
	{
		if (t->revision <= since || t->revision > revision)
			continue;
		if (data_centre != NULL &&
		    strcmp(data_centre, t->data_centre) != 0)
			continue;
		json_object_array_add(list, task_json(t));
	}
	json_object_object_add(
	    o, "revision", json_object_new_int64((int64_t)revision));
	json_object_object_add(o, "usage", list);
	return o;
}
