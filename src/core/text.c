#include "text.h"

#include <stdlib.h>
#include <string.h>

#include "text_table.h"

const char *
text_class_name(enum text_class_id id)
{
	switch (id) {
	case CLASS_QUICK:
		return "quick";
	case CLASS_BATCH:
		return "batch";
	case CLASS_COUNT:
		break;
	}
	return "none";
}

static int
compare_errors(const void *a, const void *b)
{
	const struct err *x = a, *y = b;

	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	return strcmp(x->message, y->message);
}

static struct text *
text_build(const char *source, size_t len, struct text_errors *errors)
{
	struct key_reader r = {.errors = errors};
	struct text_lines *lines = NULL;
	struct json_object *root;
	struct text *t;

	root = keys_parse(source, len, TEXT_MAX_BYTES, errors, &lines);
	if (root == NULL)
		return NULL;
	t = calloc(1, sizeof(*t));
	if (t != NULL) {
		t->ref_count = 1;
		r.lines = lines;
		keys_set_defaults(&text_root_table, t);
		keys_read(&r, &text_root_table, root, "", t);
		text_check(&r, t);
	}
	text_lines_free(lines);
	json_object_put(root);
	return t;
}

struct text *
text_parse(const char *source, size_t len, struct text_errors *errors)
{
	struct text_errors discarded = {0};
	struct text_errors *all = errors != NULL ? errors : &discarded;
	struct err no_memory = {0};
	struct text *t;

	t = text_build(source, len, all);
	if (t != NULL && all->count == 0) {
		t->source = malloc(len + 1);
		if (t->source != NULL) {
			memcpy(t->source, source, len);
			t->source[len] = '\0';
			t->source_len = len;
			return t;
		}
	}
	text_unref(t);
	if (all->count == 0) {
		err_set(&no_memory, ERR_MEMORY, 0,
		    "give the process more memory", "no memory for the text");
		text_errors_add(all, &no_memory);
	}
	qsort(all->list, all->count, sizeof(*all->list), compare_errors);
	text_errors_uninit(&discarded);
	return NULL;
}

void
text_errors_uninit(struct text_errors *errors)
{
	free(errors->list);
	memset(errors, 0, sizeof(*errors));
}

struct text *
text_ref(struct text *t)
{
	if (t != NULL)
		t->ref_count++;
	return t;
}

void
text_unref(struct text *t)
{
	if (t == NULL || --t->ref_count > 0)
		return;
	keys_free(&text_root_table, t);
	free(t->source);
	free(t);
}

const struct text_service *
text_service(const struct text *t, const char *name)
{
	size_t i;

	for (i = 0; i < t->service_count; i++) {
		if (strcmp(t->services[i].name, name) == 0)
			return &t->services[i];
	}
	return NULL;
}

const struct text_pool *
text_pool(const struct text *t, const char *name)
{
	size_t i;

	for (i = 0; i < t->pool_count; i++) {
		if (strcmp(t->pools[i].name, name) == 0)
			return &t->pools[i];
	}
	return NULL;
}

const struct text_member *
text_member(const struct text *t, const char *name)
{
	size_t i;

	for (i = 0; i < t->member_count; i++) {
		if (strcmp(t->members[i].name, name) == 0)
			return &t->members[i];
	}
	return NULL;
}

/* True if "prefix", of "len" bytes, ends at a segment boundary of "path". */
static bool
path_has_prefix(const char *path, const char *prefix, size_t len)
{
	if (len == 1)
		return path[0] == '/';
	return strncmp(path, prefix, len) == 0 &&
	    (path[len] == '\0' || path[len] == '/' || path[len] == '?');
}

const struct text_service *
text_service_for_path(const struct text *t, const char *path)
{
	const struct text_service *best = NULL;
	size_t best_len = 0, len, i;

	for (i = 0; i < t->service_count; i++) {
		len = strlen(t->services[i].path);
		if (len <= best_len ||
		    !path_has_prefix(path, t->services[i].path, len))
			continue;
		best = &t->services[i];
		best_len = len;
	}
	return best;
}
