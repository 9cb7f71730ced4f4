/* JSON dumps and metrics of the fold. */
#include <stdio.h>
#include <string.h>

#include "fold_state.h"
#include "metric.h"

static struct json_object *
vm_dump(const struct vm *v)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "vm", json_object_new_string(v->name));
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(v->incarnation));
	json_object_object_add(o, "epoch", json_object_new_uint64(v->epoch));
	json_object_object_add(
	    o, "data_centre", json_object_new_string(v->data_centre));
	json_object_object_add(
	    o, "failure_domain", json_object_new_string(v->failure_domain));
	json_object_object_add(o, "pool", json_object_new_string(v->pool));
	json_object_object_add(
	    o, "target_pool", json_object_new_string(v->target_pool));
	json_object_object_add(o, "addr", json_object_new_string(v->addr));
	json_object_object_add(o, "port", json_object_new_int(v->port));
	json_object_object_add(o, "role",
	    json_object_new_string(v->role == VM_ENTRY ? "entry" : "worker"));
	json_object_object_add(
	    o, "state", json_object_new_string(vm_state_name(v->state)));
	json_object_object_add(
	    o, "withdrawal", json_object_new_uint64(v->withdrawal_id));
	json_object_object_add(
	    o, "maintained_ms", json_object_new_int64(v->maintained_ms));
	return o;
}

static int
vm_by_name(const struct vm *a, const struct vm *b)
{
	return strcmp(a->name, b->name);
}

/* Adds ids as strings: many JSON readers round 64-bit numbers. */
static void
add_id(struct json_object *o, const char *key, uint64_t value)
{
	char s[24];

	snprintf(s, sizeof(s), "%llu", (unsigned long long)value);
	json_object_object_add(o, key, json_object_new_string(s));
}

static struct json_object *
verdict_dump(const struct fold_verdict *d)
{
	struct json_object *o = json_object_new_object();

	add_id(o, "process", d->id.process);
	add_id(o, "incarnation", d->id.incarnation);
	add_id(o, "seq", d->id.seq);
	json_object_object_add(o, "offset", json_object_new_uint64(d->offset));
	json_object_object_add(
	    o, "admitted", json_object_new_boolean(d->admitted));
	json_object_object_add(o, "reason", json_object_new_string(d->reason));
	return o;
}

static struct json_object *
daemon_dump(const struct fold_daemon *d)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "name", json_object_new_string(d->name));
	json_object_object_add(o, "id", json_object_new_uint64(d->process));
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(d->incarnation));
	json_object_object_add(
	    o, "data_centre", json_object_new_string(d->data_centre));
	json_object_object_add(
	    o, "joined", json_object_new_uint64(d->registered_offset));
	return o;
}

struct json_object *
fold_verdicts_json(const struct fold *f)
{
	struct json_object *list = json_object_new_array();
	unsigned i;

	for (i = 0; fold_verdict(f, i) != NULL; i++)
		json_object_array_add(list, verdict_dump(fold_verdict(f, i)));
	return list;
}

static uint32_t
unknown_kind(const struct fold_unknown *u)
{
	struct record r;
	uint32_t kind;

	if (record_decode(&r, u->encoded->data, u->encoded->len, NULL) == -1)
		return 0;
	kind = r.kind;
	record_uninit(&r);
	return kind;
}

struct json_object *
fold_unknown_records_json(const struct fold *f)
{
	struct json_object *o = json_object_new_object();
	struct json_object *n;
	uint64_t i;
	char kind[16];

	for (i = 0; i < f->unknown_count && i < FOLD_UNKNOWN_MAX; i++) {
		snprintf(kind, sizeof(kind), "%u",
		    unknown_kind(&f->unknown_records[i]));
		if (json_object_object_get_ex(o, kind, &n))
			json_object_set_int64(n, json_object_get_int64(n) + 1);
		else
			json_object_object_add(
			    o, kind, json_object_new_int64(1));
	}
	return o;
}

struct json_object *
fold_dump(const struct fold *f)
{
	struct json_object *o = json_object_new_object();
	struct json_object *vms = json_object_new_array();
	struct json_object *daemons = json_object_new_array();
	struct fold *sorted = (struct fold *)f;
	const struct fold_daemon *d;
	const struct vm *v;

	/* The cast is safe: sorting changes only the order of iteration. */
	HASH_SORT(sorted->vms, vm_by_name);
	for (v = f->vms; v != NULL; v = v->hh.next)
		json_object_array_add(vms, vm_dump(v));
	for (d = f->daemons; d != NULL; d = d->hh.next)
		json_object_array_add(daemons, daemon_dump(d));
	json_object_object_add(o, "next", json_object_new_uint64(f->next));
	json_object_object_add(
	    o, "config_version", json_object_new_uint64(f->config_version));
	json_object_object_add(o, "log_ms", json_object_new_int64(f->log_ms));
	json_object_object_add(
	    o, "unknown_records", json_object_new_uint64(f->unknown_count));
	json_object_object_add(o, "vms", vms);
	json_object_object_add(o, "daemons", daemons);
	json_object_object_add(o, "verdicts", fold_verdicts_json(f));
	json_object_object_add(o, "tasks", fold_tasks_dump(f->tasks));
	return o;
}

void
fold_metrics(const struct fold *f, struct buf *out)
{
	metric_gauge(out, "fold_next", "Offset after the last folded record.",
	    "", (int64_t)f->next);
	metric_gauge(out, "config_version", "Version of the text in force.", "",
	    (int64_t)f->config_version);
	metric_gauge(
	    out, "fold_vms", "VMs on record.", "", (int64_t)HASH_COUNT(f->vms));
	metric_counter(out, "fold_applied_total",
	    "Records that changed the state.", "", f->counters.applied);
	metric_counter(out, "fold_voided_total",
	    "Records that were not admitted.", "", f->counters.voided);
	metric_counter(out, "fold_repeats_total",
	    "Records dropped as repeats of an append.", "",
	    f->counters.duplicates);
	metric_counter(out, "fold_malformed_total",
	    "Records whose body could not be read.", "", f->counters.malformed);
	metric_counter(out, "fold_unknown_total",
	    "Records of kinds that this binary does not know.", "",
	    f->unknown_count);
	fold_tasks_metrics(f->tasks, out);
}
