#include "wire.h"

#include <string.h>

void
wire_writer_init(struct wire_writer *w)
{
	msgpack_sbuffer_init(&w->buffer);
	msgpack_packer_init(&w->pk, &w->buffer, msgpack_sbuffer_write);
}

void
wire_map(struct wire_writer *w, uint32_t entries)
{
	msgpack_pack_map(&w->pk, entries);
}

void
wire_key(struct wire_writer *w, const char *key)
{
	msgpack_pack_str_with_body(&w->pk, key, strlen(key));
}

void
wire_array(struct wire_writer *w, const char *key, uint32_t entries)
{
	wire_key(w, key);
	msgpack_pack_array(&w->pk, entries);
}

void
wire_u64(struct wire_writer *w, const char *key, uint64_t value)
{
	wire_key(w, key);
	msgpack_pack_uint64(&w->pk, value);
}

void
wire_i64(struct wire_writer *w, const char *key, int64_t value)
{
	wire_key(w, key);
	msgpack_pack_int64(&w->pk, value);
}

void
wire_bool(struct wire_writer *w, const char *key, bool value)
{
	wire_key(w, key);
	if (value)
		msgpack_pack_true(&w->pk);
	else
		msgpack_pack_false(&w->pk);
}

void
wire_str(struct wire_writer *w, const char *key, const char *value)
{
	wire_key(w, key);
	msgpack_pack_str_with_body(&w->pk, value, strlen(value));
}

void
wire_bin(struct wire_writer *w, const char *key, const void *data, size_t len)
{
	wire_key(w, key);
	msgpack_pack_bin_with_body(&w->pk, data, len);
}

struct buf *
wire_writer_finish(struct wire_writer *w)
{
	struct buf *b;

	b = buf_from(w->buffer.data, w->buffer.size);
	msgpack_sbuffer_destroy(&w->buffer);
	return b;
}

int
wire_reader_init(
    struct wire_reader *r, const void *data, size_t len, struct err *e)
{
	size_t off = 0;
	msgpack_unpack_return ret;

	msgpack_unpacked_init(&r->unpacked);
	ret = msgpack_unpack_next(&r->unpacked, data, len, &off);
	if (ret == MSGPACK_UNPACK_SUCCESS && off == len &&
	    r->unpacked.data.type == MSGPACK_OBJECT_MAP) {
		r->root = &r->unpacked.data;
		return 0;
	}
	msgpack_unpacked_destroy(&r->unpacked);
	return err_set(e, ERR_PROTOCOL, 0,
	    "check that the sender uses the mimosalead protocol",
	    "message of %zu bytes is not exactly one msgpack map", len);
}

void
wire_reader_uninit(struct wire_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}

bool
wire_get(const msgpack_object *map, const char *key, const msgpack_object **out)
{
	const msgpack_object_kv *kv;
	size_t len = strlen(key);
	uint32_t i;

	if (map->type != MSGPACK_OBJECT_MAP)
		return false;
	for (i = 0; i < map->via.map.size; i++) {
		kv = &map->via.map.ptr[i];
		if (kv->key.type != MSGPACK_OBJECT_STR ||
		    kv->key.via.str.size != len ||
		    memcmp(kv->key.via.str.ptr, key, len) != 0)
			continue;
		*out = &kv->val;
		return true;
	}
	return false;
}

bool
wire_get_u64(const msgpack_object *map, const char *key, uint64_t *out)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) ||
	    o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

bool
wire_get_i64(const msgpack_object *map, const char *key, int64_t *out)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o))
		return false;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*out = o->via.i64;
		return true;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)o->via.u64;
	return true;
}

bool
wire_get_bool(const msgpack_object *map, const char *key, bool *out)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) || o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = o->via.boolean;
	return true;
}

bool
wire_get_str(const msgpack_object *map, const char *key, char *out, size_t size)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) || o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

bool
wire_get_bin(const msgpack_object *map, const char *key, const uint8_t **data,
    size_t *len)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) || o->type != MSGPACK_OBJECT_BIN)
		return false;
	*data = (const uint8_t *)o->via.bin.ptr;
	*len = o->via.bin.size;
	return true;
}

bool
wire_get_array(const msgpack_object *map, const char *key,
    const msgpack_object_array **out)
{
	const msgpack_object *o;

	if (!wire_get(map, key, &o) || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	*out = &o->via.array;
	return true;
}
