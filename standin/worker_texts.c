#include "worker_texts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "drawn_text.h"

#define TASK_BYTES 80

struct saved_value {
	char task[TASK_BYTES];
	struct json_object *value;
	int64_t work_ms;
	LIST_ENTRY(saved_value) entries;
};

struct worker_texts {
	int max_bytes;
	uint64_t count;
	LIST_HEAD(saved_values, saved_value) values; /* newest first */
};

struct worker_texts *
worker_texts_new(int max_bytes)
{
	struct worker_texts *t = calloc(1, sizeof(*t));

	if (t == NULL)
		abort();
	t->max_bytes = max_bytes;
	return t;
}

void
worker_texts_free(struct worker_texts *t)
{
	struct saved_value *v;

	while ((v = LIST_FIRST(&t->values)) != NULL) {
		LIST_REMOVE(v, entries);
		json_object_put(v->value);
		free(v);
	}
	free(t);
}

static struct json_object *
drawn_string(const struct worker_texts *t, uint64_t seed)
{
	struct buf *b = drawn_text(seed, (size_t)t->max_bytes);
	struct json_object *o;

	if (b == NULL)
		abort();
	o = json_object_new_string_len(
	    b->len > 0 ? (const char *)b->data : "", (int)b->len);
	buf_unref(b);
	return o;
}

const struct saved_value *
worker_texts_save(struct worker_texts *t, const char *task, int64_t work_ms)
{
	struct saved_value *v = calloc(1, sizeof(*v));
	char plain[32];

	if (v == NULL)
		abort();
	t->count++;
	snprintf(v->task, sizeof(v->task), "%s", task);
	snprintf(plain, sizeof(plain), "%016" PRIx64, t->count);
	v->value = t->max_bytes > 0
	    ? drawn_string(t, drawn_text_hash(t->count, task))
	    : json_object_new_string(plain);
	v->work_ms = work_ms;
	LIST_INSERT_HEAD(&t->values, v, entries);
	return v;
}

/* "ID.K.STEP.INDEX": without the index. */
static size_t
step_len(const char *task)
{
	const char *dot = strrchr(task, '.');

	return dot != NULL ? (size_t)(dot - task) : strlen(task);
}

bool
worker_texts_same(struct json_object *a, struct json_object *b)
{
	int len = json_object_get_string_len(a);

	return len == json_object_get_string_len(b) &&
	    memcmp(json_object_get_string(a), json_object_get_string(b),
		(size_t)len) == 0;
}

const struct saved_value *
worker_texts_find(const struct worker_texts *t, const char *task,
    struct json_object *string, bool any_member)
{
	size_t len = any_member ? step_len(task) : strlen(task);
	const struct saved_value *v;

	LIST_FOREACH(v, &t->values, entries) {
		if (strncmp(v->task, task, len) == 0 &&
		    v->task[len] == (any_member ? '.' : '\0') &&
		    worker_texts_same(v->value, string))
			return v;
	}
	return NULL;
}

int64_t
saved_value_work_ms(const struct saved_value *v)
{
	return v->work_ms;
}

struct json_object *
saved_value_json(const struct saved_value *v)
{
	return v != NULL ? json_object_get(v->value)
			 : json_object_new_string("");
}

struct json_object *
worker_texts_ticket(
    const struct worker_texts *t, const char *step, const char *worker)
{
	if (t->max_bytes == 0)
		return json_object_new_string("ticket");
	return drawn_string(
	    t, drawn_text_hash(drawn_text_hash(1, step), worker));
}
