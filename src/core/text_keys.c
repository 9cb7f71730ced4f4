#include "text_keys.h"

#include <ctype.h>
#include <err.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define PATH_BYTES 512
#define ENTRY_BYTES (PATH_BYTES + 24) /* a path with an index */
#define ERRORS_MAX 200 /* errors reported for one text */
/* Largest edit distance at which a name is suggested. */
#define NEAREST_DISTANCE_MAX 3

void
text_errors_add(struct text_errors *errors, const struct err *e)
{
	struct err *list;

	if (errors == NULL || errors->count >= ERRORS_MAX)
		return;
	list = realloc(errors->list, (errors->count + 1) * sizeof(*list));
	if (list == NULL)
		err(1, "cannot allocate an error of a text");
	errors->list = list;
	errors->list[errors->count++] = *e;
}

void
keys_error(struct key_reader *r, enum err_kind kind, const char *path,
    const char *remedy, const char *fmt, ...)
{
	char message[ERR_MESSAGE_BYTES];
	struct err e = {0};
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	err_set(
	    &e, kind, text_lines_find(r->lines, path), remedy, "%s", message);
	text_errors_add(r->errors, &e);
}

static size_t
min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

/* Levenshtein distance; only the first NAME_BYTES of a name count. */
static size_t
edit_distance(const char *a, const char *b)
{
	size_t row[NAME_BYTES + 1];
	size_t la = min_size(strlen(a), NAME_BYTES);
	size_t lb = min_size(strlen(b), NAME_BYTES);
	size_t i, j, diagonal, above;

	for (j = 0; j <= lb; j++)
		row[j] = j;
	for (i = 1; i <= la; i++) {
		diagonal = row[0];
		row[0] = i;
		for (j = 1; j <= lb; j++) {
			above = row[j];
			row[j] = min_size(min_size(row[j], row[j - 1]) + 1,
			    diagonal + (a[i - 1] != b[j - 1]));
			diagonal = above;
		}
	}
	return row[lb];
}

const char *
keys_find_nearest(const char *name, const char *const *names, size_t count)
{
	size_t best = NEAREST_DISTANCE_MAX + 1, distance, i;
	const char *found = NULL;

	for (i = 0; i < count; i++) {
		distance = edit_distance(name, names[i]);
		if (distance >= best || distance >= strlen(names[i]))
			continue;
		best = distance;
		found = names[i];
	}
	return found;
}

static void
keys_set_default(const struct key *k, void *field)
{
	switch (k->type) {
	case KEY_NAME:
	case KEY_PATH:
		snprintf(field, NAME_BYTES, "%s",
		    k->default_text ? k->default_text : "");
		break;
	case KEY_INT:
	case KEY_SHARE:
	case KEY_CHOICE:
		*(int *)field = (int)k->default_value;
		break;
	case KEY_INT64:
		*(int64_t *)field = k->default_value;
		break;
	case KEY_BOOL:
		*(bool *)field = k->default_value != 0;
		break;
	case KEY_OBJECT:
		keys_set_defaults(k->table, field);
		break;
	case KEY_OBJECTS:
	case KEY_NAMES:
	case KEY_CUSTOM:
		break;
	}
}

void
keys_set_defaults(const struct key_table *t, void *out)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		keys_set_default(&t->keys[i], (char *)out + t->keys[i].offset);
}

static void
keys_error_type(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, const char *wanted)
{
	char remedy[ERR_REMEDY_BYTES];

	snprintf(remedy, sizeof(remedy), "write %s", wanted);
	keys_error(r, ERR_TYPE, path, remedy, "\"%s\" is a JSON %s, not %s",
	    k->name, json_type_to_name(json_object_get_type(v)), wanted);
}

static bool
name_char(char c)
{
	return isalnum((unsigned char)c) || c == '.' || c == '_' || c == '-';
}

/* Accepts letters, digits, '.', '_' and '-', and '/' in paths. */
static bool
keys_read_name(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path, char *out)
{
	const char *s, *p;

	if (!json_object_is_type(v, json_type_string)) {
		keys_error_type(r, k, v, path, "a string");
		return false;
	}
	s = json_object_get_string(v);
	if (strlen(s) >= NAME_BYTES || strlen(s) < (size_t)k->min) {
		keys_error(r, ERR_LIMIT, path,
		    "use a name of 1 to 39 characters",
		    "\"%s\" has %zu characters", k->name, strlen(s));
		return false;
	}
	for (p = s; *p != '\0'; p++) {
		if (name_char(*p) || (k->type == KEY_PATH && *p == '/'))
			continue;
		keys_error(r, ERR_RANGE, path,
		    "use letters, digits, '.', '_' and '-'",
		    "\"%s\" holds a character that names may not hold",
		    k->name);
		return false;
	}
	snprintf(out, NAME_BYTES, "%s", s);
	return true;
}

static void
keys_read_path(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path, char *out)
{
	char value[NAME_BYTES];

	if (!keys_read_name(r, k, v, path, value))
		return;
	if (value[0] != '\0' && value[0] != '/') {
		keys_error(r, ERR_RANGE, path, "begin the path with '/'",
		    "\"%s\" is \"%s\", which does not begin with '/'", k->name,
		    value);
		return;
	}
	if (strlen(value) > 1 && value[strlen(value) - 1] == '/') {
		keys_error(r, ERR_RANGE, path, "leave out the last '/'",
		    "\"%s\" is \"%s\", which ends with '/'", k->name, value);
		return;
	}
	snprintf(out, NAME_BYTES, "%s", value);
}

static bool
keys_read_number(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, int64_t *out)
{
	char remedy[ERR_REMEDY_BYTES];
	int64_t n;

	if (!json_object_is_type(v, json_type_int)) {
		keys_error_type(r, k, v, path, "a whole number");
		return false;
	}
	n = json_object_get_int64(v);
	if (n >= k->min && n <= k->max) {
		*out = n;
		return true;
	}
	snprintf(remedy, sizeof(remedy), "use %lld to %lld", (long long)k->min,
	    (long long)k->max);
	keys_error(r, ERR_RANGE, path, remedy, "\"%s\" is %lld, out of range",
	    k->name, (long long)n);
	return false;
}

static void
keys_read_share(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, int *out)
{
	char remedy[ERR_REMEDY_BYTES];
	double x;

	if (!json_object_is_type(v, json_type_double) &&
	    !json_object_is_type(v, json_type_int)) {
		keys_error_type(r, k, v, path, "a number from 0 to 1");
		return;
	}
	x = json_object_get_double(v) * TEXT_PPM;
	if (x >= (double)k->min && x <= (double)k->max) {
		*out = (int)(x + 0.5);
		return;
	}
	snprintf(remedy, sizeof(remedy), "use %g to %g",
	    (double)k->min / TEXT_PPM, (double)k->max / TEXT_PPM);
	keys_error(r, ERR_RANGE, path, remedy, "\"%s\" is %g, out of range",
	    k->name, x / TEXT_PPM);
}

static void
keys_read_choice(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, int *out)
{
	char remedy[ERR_REMEDY_BYTES] = "use one of:";
	const char *s;
	size_t i, n;

	if (!json_object_is_type(v, json_type_string)) {
		keys_error_type(r, k, v, path, "a string");
		return;
	}
	s = json_object_get_string(v);
	for (i = 0; k->choices[i] != NULL; i++) {
		if (strcmp(s, k->choices[i]) == 0) {
			*out = (int)i;
			return;
		}
		n = strlen(remedy);
		snprintf(
		    remedy + n, sizeof(remedy) - n, " \"%s\"", k->choices[i]);
	}
	keys_error(
	    r, ERR_RANGE, path, remedy, "\"%s\" is \"%.40s\"", k->name, s);
}

/* Returns the number of entries, or 0 with an error if out of range. */
static size_t
keys_list_length(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path)
{
	char remedy[ERR_REMEDY_BYTES];
	size_t n;

	if (!json_object_is_type(v, json_type_array)) {
		keys_error_type(r, k, v, path, "a list");
		return 0;
	}
	n = json_object_array_length(v);
	if ((int64_t)n >= k->min && (int64_t)n <= k->max)
		return n;
	snprintf(remedy, sizeof(remedy), "list %lld to %lld entries",
	    (long long)k->min, (long long)k->max);
	keys_error(
	    r, ERR_LIMIT, path, remedy, "\"%s\" has %zu entries", k->name, n);
	return 0;
}

static void *
keys_alloc(size_t count, size_t size)
{
	void *p = calloc(count, size);

	if (p == NULL)
		err(1, "cannot allocate %zu list entries of a text", count);
	return p;
}

static void
keys_read_objects(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, char *out)
{
	size_t n = keys_list_length(r, k, v, path), i;
	char entry[ENTRY_BYTES];
	char *list;

	if (n == 0)
		return;
	list = keys_alloc(n, k->table->size);
	*(void **)(out + k->offset) = list;
	*(size_t *)(out + k->count_offset) = n;
	for (i = 0; i < n; i++) {
		snprintf(entry, sizeof(entry), "%s/%zu", path, i);
		keys_set_defaults(k->table, list + i * k->table->size);
		keys_read(r, k->table, json_object_array_get_idx(v, i), entry,
		    list + i * k->table->size);
	}
}

static void
keys_read_names(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, char *out)
{
	size_t n = keys_list_length(r, k, v, path), i, filled = 0;
	struct key item = {.name = k->name, .type = KEY_NAME, .min = 1};
	char entry[ENTRY_BYTES], name[NAME_BYTES];
	char **list;

	if (n == 0)
		return;
	list = keys_alloc(n, sizeof(*list));
	for (i = 0; i < n; i++) {
		snprintf(entry, sizeof(entry), "%s/%zu", path, i);
		if (!keys_read_name(
			r, &item, json_object_array_get_idx(v, i), entry, name))
			continue;
		list[filled] = keys_alloc(1, NAME_BYTES);
		memcpy(list[filled++], name, NAME_BYTES);
	}
	*(char ***)(out + k->offset) = list;
	*(size_t *)(out + k->count_offset) = filled;
}

static void
keys_read_value(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, char *out)
{
	void *field = out + k->offset;
	int64_t n;

	switch (k->type) {
	case KEY_NAME:
		keys_read_name(r, k, v, path, field);
		break;
	case KEY_PATH:
		keys_read_path(r, k, v, path, field);
		break;
	case KEY_INT:
		if (keys_read_number(r, k, v, path, &n))
			*(int *)field = (int)n;
		break;
	case KEY_INT64:
		keys_read_number(r, k, v, path, field);
		break;
	case KEY_SHARE:
		keys_read_share(r, k, v, path, field);
		break;
	case KEY_BOOL:
		if (json_object_is_type(v, json_type_boolean))
			*(bool *)field = json_object_get_boolean(v);
		else
			keys_error_type(r, k, v, path, "true or false");
		break;
	case KEY_CHOICE:
		keys_read_choice(r, k, v, path, field);
		break;
	case KEY_OBJECT:
		keys_read(r, k->table, v, path, field);
		break;
	case KEY_OBJECTS:
		keys_read_objects(r, k, v, path, out);
		break;
	case KEY_NAMES:
		keys_read_names(r, k, v, path, out);
		break;
	case KEY_CUSTOM:
		k->read(r, k, v, path, field);
		break;
	}
}

static void
keys_error_unknown(struct key_reader *r, const struct key_table *t,
    const char *name, const char *path)
{
	const char *names[64], *nearest;
	char remedy[ERR_REMEDY_BYTES];
	size_t i;

	for (i = 0; i < t->count; i++)
		names[i] = t->keys[i].name;
	nearest = keys_find_nearest(name, names, t->count);
	if (nearest != NULL)
		snprintf(remedy, sizeof(remedy), "use \"%s\", or remove it",
		    nearest);
	else
		snprintf(remedy, sizeof(remedy),
		    "remove it; docs/CONFIG.md lists every key");
	keys_error(r, ERR_UNKNOWN_KEY, path, remedy,
	    "unknown key \"%.60s\" in %s", name, t->description);
}

static const struct key *
keys_find(const struct key_table *t, const char *name)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (strcmp(t->keys[i].name, name) == 0)
			return &t->keys[i];
	}
	return NULL;
}

static void
keys_check_required(struct key_reader *r, const struct key_table *t,
    struct json_object *o, const char *path)
{
	char remedy[ERR_REMEDY_BYTES];
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (!t->keys[i].required ||
		    json_object_object_get_ex(o, t->keys[i].name, NULL))
			continue;
		snprintf(remedy, sizeof(remedy), "add \"%s\": %s",
		    t->keys[i].name, t->keys[i].help);
		keys_error(r, ERR_REFERENCE, path, remedy, "%s has no \"%s\"",
		    t->description, t->keys[i].name);
	}
}

void
keys_read(struct key_reader *r, const struct key_table *t,
    struct json_object *o, const char *path, void *out)
{
	char below[PATH_BYTES];
	const struct key *k;

	if (!json_object_is_type(o, json_type_object)) {
		keys_error(r, ERR_TYPE, path, "write an object: { … }",
		    "%s is a JSON %s, not an object", t->description,
		    json_type_to_name(json_object_get_type(o)));
		return;
	}
	keys_check_required(r, t, o, path);
	json_object_object_foreach(o, name, value)
	{
		snprintf(below, sizeof(below), "%s/%s", path, name);
		k = keys_find(t, name);
		if (k == NULL)
			keys_error_unknown(r, t, name, below);
		else
			keys_read_value(r, k, value, below, out);
	}
}

static void
keys_free_list(const struct key *k, char *out)
{
	size_t n = *(size_t *)(out + k->count_offset), i;
	void *list = *(void **)(out + k->offset);

	for (i = 0; i < n; i++) {
		if (k->type == KEY_NAMES)
			free(((char **)list)[i]);
		else
			keys_free(k->table, (char *)list + i * k->table->size);
	}
	free(list);
}

void
keys_free(const struct key_table *t, void *out)
{
	const struct key *k;

	for (k = t->keys; k < t->keys + t->count; k++) {
		if (k->type == KEY_OBJECTS || k->type == KEY_NAMES)
			keys_free_list(k, out);
		else if (k->type == KEY_OBJECT)
			keys_free(k->table, (char *)out + k->offset);
	}
}
