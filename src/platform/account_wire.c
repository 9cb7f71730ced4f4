#include "account_wire.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "long_name.h"

#define PRIORITY_MAX 1000000

/*
 * Reads a number of at least 0; larger ones mean no more than "max".  0 when it
 * is missing.  False when it is malformed.
 */
static bool
get_amount(struct json_object *o, const char *key, double max, double *out)
{
	struct json_object *v = NULL;
	double real;

	*out = 0;
	json_object_object_get_ex(o, key, &v);
	if (v == NULL)
		return true;
	if (!json_object_is_type(v, json_type_int) &&
	    !json_object_is_type(v, json_type_double))
		return false;
	real = json_object_get_double(v);
	if (!isfinite(real) || real < 0)
		return false;
	*out = real > max ? max : real;
	return true;
}

/* A fraction is rounded up: rounded down to 0, it would lift the limit. */
static bool
get_limit(struct json_object *cap, const char *key, int64_t *out)
{
	double real;
	bool ok = get_amount(cap, key, (double)ACCOUNT_CAP_MAX, &real);

	*out = (int64_t)ceil(real);
	return ok;
}

/* Returns the fields that are malformed. */
static unsigned
parse_cap(struct account_cap *c, struct json_object *o)
{
	struct json_object *cap = json_get_member(o, "cap", json_type_object);
	unsigned fields = 0;

	if (!json_has_type(o, "cap", json_type_object))
		return ACCOUNT_CAP_CPU | ACCOUNT_CAP_MEMORY |
		    ACCOUNT_CAP_ACCELERATORS;
	if (!get_limit(cap, "cpu", &c->cpu_milli))
		fields |= ACCOUNT_CAP_CPU;
	if (!get_limit(cap, "memMb", &c->memory_mb))
		fields |= ACCOUNT_CAP_MEMORY;
	if (!get_limit(cap, "gpu", &c->accelerators))
		fields |= ACCOUNT_CAP_ACCELERATORS;
	return fields;
}

static unsigned
parse_settings(struct account_settings *a, struct json_object *o)
{
	unsigned fields = parse_cap(&a->cap, o);

	a->priority = json_get_int_clamped(o, "priority", 0, PRIORITY_MAX);
	if (!get_amount(o, "weight", ACCOUNT_WEIGHT_MAX, &a->weight))
		fields |= ACCOUNT_WEIGHT;
	if (a->weight == 0) /* also a missing one: the wire leaves 0 out */
		a->weight = 1;
	return fields;
}

static void
note_bad_key(struct account_faults *f, const char *account)
{
	if (f->keys_left_out++ == 0)
		snprintf(f->first_keys_left_out, NAME_BYTES, "%s", account);
}

/* A key that the same account lists twice is no fault. */
static void
note_repeated_key(struct account_faults *f, const struct account_table *t,
    const char *account, const char *key)
{
	const struct account_settings *first = account_table_find_key(t, key);

	if (strcmp(first->name, account) == 0)
		return;
	if (f->shared_keys++ > 0)
		return;
	snprintf(f->first_shared, NAME_BYTES, "%s", first->name);
	snprintf(f->first_sharing, NAME_BYTES, "%s", account);
}

static int
parse_keys(struct account_table *t, struct account_faults *f,
    const char *account, struct json_object *keys)
{
	char key[ACCOUNT_KEY_MAX_BYTES + 1];
	size_t i, n = keys != NULL ? json_object_array_length(keys) : 0;
	struct json_object *o;

	for (i = 0; i < n; i++) {
		o = json_object_array_get_idx(keys, i);
		if (!json_copy_text(o, key, sizeof(key))) {
			note_bad_key(f, account);
			continue;
		}
		switch (account_table_add_key(t, account, key)) {
		case ACCOUNT_ADDED:
			break;
		case ACCOUNT_DUPLICATE:
			note_repeated_key(f, t, account, key);
			break;
		case ACCOUNT_INVALID:
			note_bad_key(f, account);
			break;
		case ACCOUNT_NO_MEMORY:
			return -1;
		}
	}
	return 0;
}

static int
note_settings(struct account_faults *f, const char *account, unsigned fields)
{
	struct malformed_account *list;

	if (fields == 0)
		return 0;
	list = realloc(f->settings, (f->settings_count + 1) * sizeof(*list));
	if (list == NULL)
		return -1;
	f->settings = list;
	list += f->settings_count++;
	snprintf(list->name, sizeof(list->name), "%s", account);
	list->fields = fields;
	return 0;
}

static int
parse_account(struct account_table *t, struct account_faults *f,
    struct json_object *o, size_t index)
{
	struct account_settings a;
	unsigned fields;

	memset(&a, 0, sizeof(a));
	if (!json_get_name(o, "name", a.name))
		a.name[0] = '\0'; /* invalid */
	fields = parse_settings(&a, o);
	switch (account_table_add(t, &a)) {
	case ACCOUNT_ADDED:
		break;
	case ACCOUNT_DUPLICATE:
	case ACCOUNT_INVALID:
		if (f->left_out++ == 0)
			f->first_left_out = index;
		return 0;
	case ACCOUNT_NO_MEMORY:
		return -1;
	}
	if (note_settings(f, a.name, fields) == -1)
		return -1;
	if (!json_has_type(o, "apiKeys", json_type_array))
		note_bad_key(f, a.name);
	return parse_keys(
	    t, f, a.name, json_get_member(o, "apiKeys", json_type_array));
}

int
accounts_parse(struct account_table **out, struct account_faults *f,
    struct json_object *list)
{
	size_t i, n = list != NULL ? json_object_array_length(list) : 0;

	*out = NULL;
	if (n == 0)
		return 0;
	*out = account_table_new();
	if (*out == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		if (parse_account(
			*out, f, json_object_array_get_idx(list, i), i) == -1)
			return -1;
	}
	return 0;
}

void
accounts_inherit(struct account_table *t, const struct account_faults *f,
    const struct account_table *before)
{
	const struct account_settings *old;
	const struct malformed_account *m;
	struct account_settings a;
	size_t i;

	for (i = 0; before != NULL && i < f->settings_count; i++) {
		m = &f->settings[i];
		old = account_table_find(before, m->name);
		if (old == NULL)
			continue;
		a = *account_table_find(t, m->name);
		if (m->fields & ACCOUNT_WEIGHT)
			a.weight = old->weight;
		if (m->fields & ACCOUNT_CAP_CPU)
			a.cap.cpu_milli = old->cap.cpu_milli;
		if (m->fields & ACCOUNT_CAP_MEMORY)
			a.cap.memory_mb = old->cap.memory_mb;
		if (m->fields & ACCOUNT_CAP_ACCELERATORS)
			a.cap.accelerators = old->cap.accelerators;
		account_table_update(t, &a);
	}
}

void
account_faults_uninit(struct account_faults *f)
{
	free(f->settings);
	memset(f, 0, sizeof(*f));
}
