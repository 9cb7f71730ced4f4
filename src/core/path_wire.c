#include "path_wire.h"

#include <string.h>

static void
wire_headers(struct wire_writer *w, const struct headers *h)
{
	size_t i;

	wire_array(w, "h", (uint32_t)(2 * h->count));
	for (i = 0; i < h->count; i++) {
		msgpack_pack_str_with_body(
		    &w->pk, h->list[i].name, strlen(h->list[i].name));
		msgpack_pack_str_with_body(
		    &w->pk, h->list[i].value, strlen(h->list[i].value));
	}
}

static void
wire_body(struct wire_writer *w, const struct buf *b)
{
	wire_bin(w, "b", b ? b->data : NULL, b ? b->len : 0);
}

static void
wire_map_entry(struct wire_writer *w, const char *key, uint32_t entries)
{
	wire_key(w, key);
	msgpack_pack_map(&w->pk, entries);
}

static bool
get_string(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static int
get_headers(const msgpack_object *map, struct headers *h)
{
	char name[HEADERS_MAX_BYTES], value[HEADERS_MAX_BYTES];
	const msgpack_object_array *list;
	uint32_t i;

	if (!wire_get_array(map, "h", &list) ||
	    list->size > 2 * REQUEST_HEADERS_MAX || list->size % 2 != 0)
		return -1;
	for (i = 0; i < list->size; i += 2) {
		if (!get_string(&list->ptr[i], name, sizeof(name)) ||
		    !get_string(&list->ptr[i + 1], value, sizeof(value)) ||
		    headers_add(h, name, value) == -1)
			return -1;
	}
	return 0;
}

static int
get_body(const msgpack_object *map, struct buf **out)
{
	const uint8_t *data;
	size_t len;

	*out = NULL;
	if (!wire_get_bin(map, "b", &data, &len))
		return -1;
	if (len == 0)
		return 0;
	*out = buf_from(data, len);
	return *out == NULL ? -1 : 0;
}

static const msgpack_object *
get_map(const msgpack_object *map, const char *key)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) || o->type != MSGPACK_OBJECT_MAP)
		return NULL;
	return o;
}

size_t
path_wire_answer_bytes(const struct answer *a)
{
	size_t i, n = 256;

	for (i = 0; i < a->headers.count; i++)
		n += strlen(a->headers.list[i].name) +
		    strlen(a->headers.list[i].value) + 8;
	return n + (a->body ? a->body->len : 0);
}

void
path_wire_put_answer(
    struct wire_writer *w, const char *key, const struct answer *a)
{
	if (a == NULL) {
		wire_map_entry(w, key, 0);
		return;
	}
	wire_map_entry(w, key, 3);
	wire_i64(w, "s", a->status);
	wire_headers(w, &a->headers);
	wire_body(w, a->body);
}

struct answer *
path_wire_get_answer(const msgpack_object *map, const char *key)
{
	const msgpack_object *o = get_map(map, key);
	struct answer *a;
	int64_t status;

	if (o == NULL || !wire_get_i64(o, "s", &status) || status < 100 ||
	    status > 599)
		return NULL;
	a = answer_new((int)status);
	if (a == NULL)
		return NULL;
	if (get_headers(o, &a->headers) == -1 || get_body(o, &a->body) == -1) {
		answer_unref(a);
		return NULL;
	}
	return a;
}

void
path_wire_put_request(
    struct wire_writer *w, const char *key, const struct request *r)
{
	wire_map_entry(w, key, 4);
	wire_str(w, "m", r->method);
	wire_str(w, "p", r->path);
	wire_headers(w, &r->headers);
	wire_body(w, r->body);
}

struct request *
path_wire_get_request(const msgpack_object *map, const char *key)
{
	const msgpack_object *o = get_map(map, key);
	char method[16], path[HEADERS_MAX_BYTES];
	struct request *r;

	if (o == NULL || !wire_get_str(o, "m", method, sizeof(method)) ||
	    !wire_get_str(o, "p", path, sizeof(path)))
		return NULL;
	r = request_new(method, path);
	if (r == NULL)
		return NULL;
	if (get_headers(o, &r->headers) == -1 || get_body(o, &r->body) == -1) {
		request_unref(r);
		return NULL;
	}
	return r;
}
