/* Tasks of the fold: snapshot encoding, JSON dump and metrics. */
#include "fold_tasks_state.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "metric.h"
#include "wire.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const struct codec_field task_fields[] = {
    CODEC_FIELD("id", CODEC_U64, struct task, id),
    CODEC_FIELD("name", CODEC_STR, struct task, name),
    CODEC_FIELD("member", CODEC_STR, struct task, member),
    CODEC_FIELD("urgent", CODEC_BOOL, struct task, urgent),
    CODEC_FIELD("yield", CODEC_INT, struct task, yield),
    CODEC_FIELD("dcores", CODEC_I64, struct task, declared.cores_milli),
    CODEC_FIELD("dmem", CODEC_I64, struct task, declared.memory_mb),
    CODEC_FIELD("dacc", CODEC_I64, struct task, declared.accelerators),
    CODEC_FIELD("cores", CODEC_I64, struct task, size.cores_milli),
    CODEC_FIELD("mem", CODEC_I64, struct task, size.memory_mb),
    CODEC_FIELD("acc", CODEC_I64, struct task, size.accelerators),
    CODEC_FIELD("throttled", CODEC_BOOL, struct task, throttled),
    CODEC_FIELD("state", CODEC_INT, struct task, state),
    CODEC_FIELD("cancelled", CODEC_BOOL, struct task, cancelled),
    CODEC_FIELD("result", CODEC_INT, struct task, result),
    CODEC_FIELD("reason", CODEC_STR, struct task, reason),
    CODEC_FIELD("epoch", CODEC_U64, struct task, epoch),
    CODEC_FIELD("vm", CODEC_STR, struct task, vm),
    CODEC_FIELD("inc", CODEC_U64, struct task, incarnation),
    CODEC_FIELD("failed_vm", CODEC_STR, struct task, failed_vm),
    CODEC_FIELD("failures", CODEC_INT, struct task, consecutive_failures),
    CODEC_FIELD("submitted", CODEC_U64, struct task, submitted_offset),
    CODEC_FIELD("changed", CODEC_U64, struct task, changed_offset),
    CODEC_FIELD("changed_ms", CODEC_I64, struct task, changed_ms),
    CODEC_FIELD("not_before_ms", CODEC_I64, struct task, not_before_ms),
};

/* The used capacity of a VM is not stored; decode_tasks() recomputes it. */
static const struct codec_field vm_fields[] = {
    CODEC_FIELD("vm", CODEC_STR, struct task_vm, name),
    CODEC_FIELD("inc", CODEC_U64, struct task_vm, incarnation),
    CODEC_FIELD("failures", CODEC_INT, struct task_vm, consecutive_failures),
    CODEC_FIELD("quarantined", CODEC_BOOL, struct task_vm, quarantined),
};

static const struct codec_field counter_fields[] = {
    CODEC_FIELD("admitted", CODEC_U64, struct fold_tasks_counters, admitted),
    CODEC_FIELD("voided", CODEC_U64, struct fold_tasks_counters, voided),
    CODEC_FIELD("malformed", CODEC_U64, struct fold_tasks_counters, malformed),
    CODEC_FIELD("done", CODEC_U64, struct fold_tasks_counters, done),
    CODEC_FIELD("failed", CODEC_U64, struct fold_tasks_counters, failed),
    CODEC_FIELD("cancelled", CODEC_U64, struct fold_tasks_counters, cancelled),
    CODEC_FIELD("refused", CODEC_U64, struct fold_tasks_counters, refused),
};

static int
compare_task_ids(const struct task *a, const struct task *b)
{
	if (a->id == b->id)
		return 0;
	return a->id < b->id ? -1 : 1;
}

static int
compare_vm_names(const struct task_vm *a, const struct task_vm *b)
{
	return strcmp(a->name, b->name);
}

/* Sorts for equal bytes; this changes only the order of iteration. */
static void
sort_tables(struct fold_tasks *ft)
{
	HASH_SORT(ft->tasks, compare_task_ids);
	HASH_SORT(ft->vms, compare_vm_names);
}

struct buf *
fold_tasks_encode(const struct fold_tasks *ft)
{
	const struct task_vm *v;
	const struct task *t;
	struct wire_writer w;

	sort_tables((struct fold_tasks *)ft);
	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_u64(&w, "revision", ft->revision);
	wire_array(&w, "counters", 1);
	codec_write(&w, counter_fields, COUNT(counter_fields), &ft->counters);
	wire_array(&w, "tasks", HASH_COUNT(ft->tasks));
	for (t = ft->tasks; t != NULL; t = t->hh.next)
		codec_write(&w, task_fields, COUNT(task_fields), t);
	wire_array(&w, "vms", HASH_COUNT(ft->vms));
	for (v = ft->vms; v != NULL; v = v->hh.next)
		codec_write(&w, vm_fields, COUNT(vm_fields), v);
	return wire_writer_finish(&w);
}

static bool
decode_vms(struct fold_tasks *ft, const msgpack_object_array *list)
{
	struct task_vm *v, *known;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		v = calloc(1, sizeof(*v));
		if (v == NULL)
			err(1, "cannot allocate the accounting of a VM");
		if (!codec_read(
			&list->ptr[i], vm_fields, COUNT(vm_fields), v)) {
			free(v);
			return false;
		}
		HASH_FIND_STR(ft->vms, v->name, known);
		if (known != NULL) {
			free(v);
			return false;
		}
		HASH_ADD_STR(ft->vms, name, v);
	}
	return true;
}

static bool
decode_tasks(struct fold_tasks *ft, const msgpack_object_array *list)
{
	struct task *t;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		t = calloc(1, sizeof(*t));
		if (t == NULL)
			err(1, "cannot allocate a task");
		if (!codec_read(
			&list->ptr[i], task_fields, COUNT(task_fields), t) ||
		    fold_tasks_get(ft, t->id) != NULL) {
			free(t);
			return false;
		}
		HASH_ADD(hh, ft->tasks, id, sizeof(t->id), t);
		ft->live_count += t->state != TASK_ENDED;
		if (t->state == TASK_RUNNING || t->state == TASK_STOPPING)
			fold_tasks_account(ft, t, 1);
	}
	return true;
}

struct fold_tasks *
fold_tasks_decode(const void *data, size_t len, struct err *e)
{
	const msgpack_object_array *vms, *tasks, *counters;
	struct fold_tasks *ft;
	struct wire_reader r;
	bool ok;

	if (wire_reader_init(&r, data, len, e) == -1)
		return NULL;
	ft = fold_tasks_new();
	if (ft == NULL)
		err(1, "cannot allocate the table of tasks");
	ok = wire_get_u64(r.root, "revision", &ft->revision) &&
	    wire_get_array(r.root, "counters", &counters) &&
	    counters->size == 1 &&
	    codec_read(counters->ptr, counter_fields, COUNT(counter_fields),
		&ft->counters) &&
	    wire_get_array(r.root, "vms", &vms) && decode_vms(ft, vms) &&
	    wire_get_array(r.root, "tasks", &tasks) && decode_tasks(ft, tasks);
	wire_reader_uninit(&r);
	if (ok)
		return ft;
	fold_tasks_free(ft);
	err_set(e, ERR_PROTOCOL, 0, "read the log from its beginning",
	    "the snapshot's tasks can't be decoded");
	return NULL;
}

static void
add_string(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static struct json_object *
size_json(const struct task_size *s)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "cores_milli", json_object_new_int64(s->cores_milli));
	json_object_object_add(
	    o, "memory_mb", json_object_new_int64(s->memory_mb));
	json_object_object_add(
	    o, "accelerators", json_object_new_int64(s->accelerators));
	return o;
}

static struct json_object *
task_json(const struct task *t)
{
	struct json_object *o = json_object_new_object();
	char id[17];

	snprintf(id, sizeof(id), "%016" PRIx64, t->id);
	add_string(o, "id", id);
	add_string(o, "name", t->name);
	add_string(o, "member", t->member);
	add_string(o, "state", task_state_name(t->state));
	add_string(o, "result", task_result_name(t->result));
	add_string(o, "reason", t->reason);
	add_string(o, "vm", t->vm);
	json_object_object_add(o, "urgent", json_object_new_boolean(t->urgent));
	json_object_object_add(o, "epoch", json_object_new_uint64(t->epoch));
	json_object_object_add(
	    o, "changed", json_object_new_uint64(t->changed_offset));
	json_object_object_add(o, "declared", size_json(&t->declared));
	json_object_object_add(o, "size", size_json(&t->size));
	return o;
}

struct json_object *
fold_task_json(const struct fold_tasks *ft, uint64_t id)
{
	const struct task *t = fold_tasks_get(ft, id);

	return t != NULL ? task_json(t) : NULL;
}

struct json_object *
fold_tasks_dump(const struct fold_tasks *ft)
{
	struct json_object *o = json_object_new_object();
	struct json_object *tasks = json_object_new_array();
	struct json_object *vms = json_object_new_array();
	const struct task_vm *v;
	const struct task *t;

	for (t = ft->tasks; t != NULL; t = t->hh.next)
		json_object_array_add(tasks, task_json(t));
	for (v = ft->vms; v != NULL; v = v->hh.next) {
		struct json_object *vm = json_object_new_object();

		add_string(vm, "vm", v->name);
		json_object_object_add(
		    vm, "quarantined", json_object_new_boolean(v->quarantined));
		json_object_object_add(vm, "failures",
		    json_object_new_int((int)v->consecutive_failures));
		json_object_object_add(
		    vm, "tasks", json_object_new_int((int)v->task_count));
		json_object_object_add(vm, "used", size_json(&v->used));
		json_object_array_add(vms, vm);
	}
	json_object_object_add(
	    o, "live", json_object_new_int((int)ft->live_count));
	json_object_object_add(o, "tasks", tasks);
	json_object_object_add(o, "vms", vms);
	return o;
}

void
fold_tasks_metrics(const struct fold_tasks *ft, struct buf *out)
{
	const struct fold_tasks_counters *c = &ft->counters;
	int64_t quarantined = 0;
	const struct task_vm *v;

	for (v = ft->vms; v != NULL; v = v->hh.next)
		quarantined += v->quarantined;
	metric_gauge(out, "tasks_live", "Tasks that have not ended.", "",
	    (int64_t)ft->live_count);
	metric_gauge(out, "tasks_quarantined_vms",
	    "VMs that get no tasks because they failed several in a row.", "",
	    quarantined);
	metric_counter(out, "tasks_ended_total", "Tasks ended, by result.",
	    "result=\"done\"", c->done);
	metric_counter(
	    out, "tasks_ended_total", NULL, "result=\"failed\"", c->failed);
	metric_counter(out, "tasks_ended_total", NULL, "result=\"cancelled\"",
	    c->cancelled);
	metric_counter(
	    out, "tasks_ended_total", NULL, "result=\"refused\"", c->refused);
	metric_counter(out, "tasks_entries_admitted_total",
	    "Task entries that were admitted.", "", c->admitted);
	metric_counter(out, "tasks_entries_void_total",
	    "Task entries that were not admitted.", "", c->voided);
}
