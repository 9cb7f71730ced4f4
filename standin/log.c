#include "log.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define READ_MAX_BYTES (1024 * 1024) /* of one answer, at least one record */
#define MILLI 1000

void
log_init(struct log *l, const struct log_opts *opts)
{
	memset(l, 0, sizeof(*l));
	l->opts = *opts;
	l->tokens_milli = (int64_t)opts->append_rate * MILLI;
}

void
log_uninit(struct log *l)
{
	struct log_stream *s, *next;
	size_t i;

	HASH_ITER(hh, l->streams, s, next)
	{
		HASH_DEL(l->streams, s);
		for (i = s->start; i < s->count; i++)
			free(s->list[i].data);
		free(s->list);
		free(s);
	}
}

static bool
name_ok(const char *name)
{
	size_t n = strlen(name);

	if (n == 0 || n >= NAME_BYTES)
		return false;
	for (; *name != '\0'; name++)
		if (!isalnum((unsigned char)*name) && *name != '-')
			return false;
	return true;
}

struct log_stream *
log_stream(struct log *l, const char *name)
{
	struct log_stream *s;

	HASH_FIND_STR(l->streams, name, s);
	if (s != NULL || !name_ok(name))
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	memcpy(s->name, name, strlen(name));
	s->base = 1;
	HASH_ADD_STR(l->streams, name, s);
	return s;
}

bool
log_admit(struct log *l, int64_t now_ms)
{
	int64_t max = (int64_t)l->opts.append_rate * MILLI;

	if (max == 0)
		return true;
	l->tokens_milli += (now_ms - l->refilled_ms) * l->opts.append_rate;
	l->refilled_ms = now_ms;
	if (l->tokens_milli > max)
		l->tokens_milli = max;
	if (l->tokens_milli < MILLI) {
		l->refused++;
		return false;
	}
	l->tokens_milli -= MILLI;
	return true;
}

static bool
base64_ok(const char *data)
{
	size_t n = strlen(data);

	if (n % 4 != 0)
		return false;
	while (n > 0 && data[n - 1] == '=')
		n--;
	for (; n > 0; n--, data++)
		if (!isalnum((unsigned char)*data) && *data != '+' &&
		    *data != '/')
			return false;
	return true;
}

/* Makes room at the end by moving the retained records to the front. */
static int
stream_reserve(struct log_stream *s)
{
	struct log_record *list;
	size_t cap;

	if (s->count < s->cap)
		return 0;
	if (s->start > s->cap / 2) {
		memmove(s->list, s->list + s->start,
		    (s->count - s->start) * sizeof(*s->list));
		s->base += s->start;
		s->count -= s->start;
		s->start = 0;
		return 0;
	}
	cap = s->cap ? s->cap * 2 : 64;
	list = realloc(s->list, cap * sizeof(*list));
	if (list == NULL)
		return -1;
	s->list = list;
	s->cap = cap;
	return 0;
}

uint64_t
log_append(
    struct log *l, struct log_stream *s, const char *data, int64_t now_ms)
{
	struct log_record *r;

	if (!base64_ok(data) || stream_reserve(s) == -1)
		return 0;
	r = &s->list[s->count];
	r->data = strdup(data);
	if (r->data == NULL)
		return 0;
	r->len = strlen(data);
	r->time_ms = now_ms;
	s->count++;
	l->appends++;
	l->bytes += r->len / 4 * 3;
	log_expire(l, s, now_ms);
	return log_tail(s) - 1;
}

void
log_expire(struct log *l, struct log_stream *s, int64_t now_ms)
{
	const struct log_opts *o = &l->opts;

	while (s->start < s->count) {
		if ((o->retention_records == 0 ||
			s->count - s->start <= o->retention_records) &&
		    (o->retention_ms == 0 ||
			now_ms - s->list[s->start].time_ms < o->retention_ms))
			return;
		free(s->list[s->start].data);
		s->list[s->start++].data = NULL;
	}
}

uint64_t
log_first(const struct log_stream *s)
{
	uint64_t first = s->base + s->start;

	return first == 1 ? 0 : first;
}

uint64_t
log_tail(const struct log_stream *s)
{
	return s->base + s->count;
}

static struct json_object *
record_json(const struct log_record *r, uint64_t offset)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "offset", json_object_new_int64((int64_t)offset));
	json_object_object_add(
	    o, "data", json_object_new_string_len(r->data, (int)r->len));
	return o;
}

struct json_object *
log_read(const struct log_stream *s, uint64_t from, size_t limit)
{
	struct json_object *o = json_object_new_object();
	struct json_object *records = json_object_new_array();
	uint64_t offset = from > 0 ? from : 1;
	size_t bytes = 0;

	while (offset >= s->base && offset < log_tail(s) && limit-- > 0) {
		const struct log_record *r = &s->list[offset - s->base];

		bytes += r->len;
		if (bytes > READ_MAX_BYTES && bytes > r->len)
			break;
		json_object_array_add(records, record_json(r, offset));
		offset++;
	}
	json_object_object_add(
	    o, "first", json_object_new_int64((int64_t)log_first(s)));
	json_object_object_add(
	    o, "next", json_object_new_int64((int64_t)offset));
	json_object_object_add(
	    o, "tail", json_object_new_int64((int64_t)log_tail(s)));
	json_object_object_add(o, "records", records);
	return o;
}

struct json_object *
log_state(const struct log *l)
{
	struct json_object *o = json_object_new_object();
	struct json_object *streams = json_object_new_object();
	struct log_stream *s, *next;

	HASH_ITER(hh, l->streams, s, next)
	{
		struct json_object *x = json_object_new_object();

		json_object_object_add(
		    x, "first", json_object_new_int64((int64_t)log_first(s)));
		json_object_object_add(
		    x, "tail", json_object_new_int64((int64_t)log_tail(s)));
		json_object_object_add(streams, s->name, x);
	}
	json_object_object_add(o, "streams", streams);
	json_object_object_add(
	    o, "appends", json_object_new_int64((int64_t)l->appends));
	json_object_object_add(
	    o, "refused", json_object_new_int64((int64_t)l->refused));
	json_object_object_add(
	    o, "bytes", json_object_new_int64((int64_t)l->bytes));
	return o;
}
