#include "vms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "view.h"

static const char *const state_names[] = {"live", "leaving", "gone"};
static const char *const role_names[] = {"worker", "entry"};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

void
vms_init(struct vms *v, int lag_ms, int reboot_ms, uint64_t seed)
{
	memset(v, 0, sizeof(*v));
	v->lag_ms = lag_ms;
	v->reboot_ms = reboot_ms;
	v->prng = seed;
	STAILQ_INIT(&v->changes);
}

void
vms_uninit(struct vms *v)
{
	struct vms_operation *o, *next_operation;
	struct vms_entry *x, *next;
	struct vms_change *c;

	while ((c = STAILQ_FIRST(&v->changes)) != NULL) {
		STAILQ_REMOVE_HEAD(&v->changes, entries);
		free(c);
	}
	HASH_ITER(hh, v->operations, o, next_operation)
	{
		HASH_DEL(v->operations, o);
		free(o);
	}
	HASH_ITER(hh, v->list, x, next)
	{
		HASH_DEL(v->list, x);
		free(x);
	}
}

struct vms_entry *
vms_get(struct vms *v, const char *name)
{
	struct vms_entry *x;

	HASH_FIND_STR(v->list, name, x);
	return x;
}

/* Queues the truth to be shown after the lag. */
static void
vms_publish(struct vms *v, const struct vms_entry *x, int64_t now_ms)
{
	struct vms_change *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return;
	c->entry = x->truth;
	c->due_ms = now_ms + v->lag_ms;
	STAILQ_INSERT_TAIL(&v->changes, c, entries);
}

static void
copy_string(struct json_object *o, const char *key, char *out, size_t size)
{
	struct json_object *x;

	if (json_object_object_get_ex(o, key, &x))
		snprintf(out, size, "%s", json_object_get_string(x));
}

static int64_t
get_int(struct json_object *o, const char *key, int64_t missing)
{
	struct json_object *x;

	return json_object_object_get_ex(o, key, &x) ? json_object_get_int64(x)
						     : missing;
}

static void
entry_from_json(struct vm_list_entry *e, struct json_object *o)
{
	struct json_object *x;
	char word[16] = "";
	int i;

	if (json_object_object_get_ex(o, "incarnation", &x))
		e->incarnation = json_object_get_uint64(x);
	copy_string(o, "data_centre", e->data_centre, sizeof(e->data_centre));
	copy_string(
	    o, "failure_domain", e->failure_domain, sizeof(e->failure_domain));
	copy_string(o, "pool", e->pool, sizeof(e->pool));
	copy_string(o, "addr", e->addr, sizeof(e->addr));
	e->port = (int)get_int(o, "port", e->port);
	copy_string(o, "role", word, sizeof(word));
	i = name_find(role_names, COUNT(role_names), word);
	if (i >= 0)
		e->role = (enum vm_role)i;
	copy_string(o, "state", word, sizeof(word));
	i = name_find(state_names, COUNT(state_names), word);
	if (i >= 0)
		e->state = (enum vm_list_state)i;
	e->cores = get_int(o, "cores", e->cores);
	e->memory_mb = get_int(o, "memory_mb", e->memory_mb);
	e->accelerators = get_int(o, "accelerators", e->accelerators);
}

static bool
vms_load_one(struct vms *v, struct json_object *o, int64_t now_ms)
{
	char name[NAME_BYTES] = "";
	struct vms_entry *x;

	if (!json_object_is_type(o, json_type_object))
		return false;
	copy_string(o, "vm", name, sizeof(name));
	if (name[0] == '\0')
		return false;
	x = vms_get(v, name);
	if (x == NULL) {
		x = calloc(1, sizeof(*x));
		if (x == NULL)
			return false;
		memcpy(x->truth.vm, name, sizeof(name));
		x->truth.incarnation = 1;
		HASH_ADD_STR(v->list, truth.vm, x);
	}
	entry_from_json(&x->truth, o);
	vms_publish(v, x, now_ms);
	return true;
}

int
vms_load(struct vms *v, struct json_object *list, int64_t now_ms)
{
	size_t i;
	int n = 0;

	if (!json_object_is_type(list, json_type_array))
		return 0;
	for (i = 0; i < json_object_array_length(list); i++)
		n +=
		    vms_load_one(v, json_object_array_get_idx(list, i), now_ms);
	return n;
}

bool
vms_set_state(
    struct vms *v, const char *name, const char *state, int64_t now_ms)
{
	struct vms_entry *x = vms_get(v, name);
	int i = name_find(state_names, COUNT(state_names), state);

	if (x == NULL || i < 0)
		return false;
	x->truth.state = (enum vm_list_state)i;
	vms_publish(v, x, now_ms);
	return true;
}

/* A reboot or replacement always brings a number never used before. */
static uint64_t
new_incarnation(struct vms *v)
{
	return (prng_next(&v->prng) >> 16) | 1;
}

static const char *
vms_run(struct vms *v, struct vms_entry *x, const char *op, const char *pool,
    int64_t now_ms)
{
	v->operations_run++;
	if (strcmp(op, "reboot") == 0) {
		x->truth.state = VM_LIST_GONE;
		x->back_ms = now_ms + v->reboot_ms;
		x->reboots++;
		vms_publish(v, x, now_ms);
		return "rebooting";
	}
	if (strcmp(op, "assign") == 0) {
		snprintf(x->truth.pool, sizeof(x->truth.pool), "%s", pool);
		vms_publish(v, x, now_ms);
		return "assigned";
	}
	return "drained";
}

enum vms_result
vms_operate(struct vms *v, const char *name, const char *op, uint64_t key,
    uint64_t incarnation, const char *pool, int64_t now_ms,
    const struct vms_operation **answer)
{
	struct vms_entry *x = vms_get(v, name);
	struct vms_operation *o;
	char id[sizeof(o->id)];

	if (x == NULL)
		return VMS_MISSING;
	snprintf(id, sizeof(id), "%s/%llu", name, (unsigned long long)key);
	HASH_FIND_STR(v->operations, id, o);
	*answer = o;
	if (o != NULL)
		return VMS_DONE;
	if (x->truth.incarnation != incarnation)
		return VMS_CONFLICT;
	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return VMS_CONFLICT;
	memcpy(o->id, id, sizeof(id));
	snprintf(
	    o->state, sizeof(o->state), "%s", vms_run(v, x, op, pool, now_ms));
	o->incarnation = incarnation;
	HASH_ADD_STR(v->operations, id, o);
	*answer = o;
	return VMS_DONE;
}

static void
vms_show(struct vms *v, const struct vms_change *c)
{
	struct vms_entry *x = vms_get(v, c->entry.vm);

	if (x == NULL)
		return;
	x->shown = c->entry;
	x->revision = ++v->revision;
}

void
vms_tick(struct vms *v, int64_t now_ms)
{
	struct vms_entry *x, *next;
	struct vms_change *c;

	HASH_ITER(hh, v->list, x, next)
	{
		if (x->back_ms == 0 || now_ms < x->back_ms)
			continue;
		x->back_ms = 0;
		x->truth.state = VM_LIST_LIVE;
		x->truth.incarnation = new_incarnation(v);
		vms_publish(v, x, now_ms);
	}
	while ((c = STAILQ_FIRST(&v->changes)) != NULL && c->due_ms <= now_ms) {
		STAILQ_REMOVE_HEAD(&v->changes, entries);
		vms_show(v, c);
		free(c);
	}
}

static void
add_string(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static void
add_int(struct json_object *o, const char *key, int64_t value)
{
	json_object_object_add(o, key, json_object_new_int64(value));
}

static struct json_object *
entry_json(const struct vm_list_entry *e)
{
	struct json_object *o = json_object_new_object();

	add_string(o, "vm", e->vm);
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(e->incarnation));
	add_string(o, "data_centre", e->data_centre);
	add_string(o, "failure_domain", e->failure_domain);
	add_string(o, "pool", e->pool);
	add_string(o, "addr", e->addr);
	add_int(o, "port", e->port);
	add_string(o, "role", role_names[e->role]);
	add_string(o, "state", state_names[e->state]);
	add_int(o, "cores", e->cores);
	add_int(o, "memory_mb", e->memory_mb);
	add_int(o, "accelerators", e->accelerators);
	return o;
}

struct json_object *
vms_read(const struct vms *v, const char *data_centre, uint64_t since)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct vms_entry *x, *next;
	uint64_t revision = 0;
	bool whole;

	HASH_ITER(hh, v->list, x, next)
	{
		if (data_centre != NULL &&
		    strcmp(data_centre, x->shown.data_centre) != 0)
			continue;
		if (x->revision > revision)
			revision = x->revision;
	}
	whole = since == 0 || since > revision;
	HASH_ITER(hh, v->list, x, next)
	{
		if (x->revision == 0 || (!whole && x->revision <= since))
			continue;
		if (data_centre != NULL &&
		    strcmp(data_centre, x->shown.data_centre) != 0)
			continue;
		json_object_array_add(list, entry_json(&x->shown));
	}
	add_int(o, "revision", (int64_t)revision);
	json_object_object_add(o, "whole", json_object_new_boolean(whole));
	json_object_object_add(o, "vms", list);
	return o;
}

struct json_object *
vms_state(const struct vms *v)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct vms_entry *x, *next;

	HASH_ITER(hh, v->list, x, next)
	{
		struct json_object *e = entry_json(&x->truth);

		add_int(e, "reboots", x->reboots);
		json_object_array_add(list, e);
	}
	add_int(o, "revision", (int64_t)v->revision);
	add_int(o, "operations", (int64_t)v->operations_run);
	json_object_object_add(o, "vms", list);
	return o;
}
