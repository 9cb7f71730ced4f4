#include "codec.h"

#include <string.h>

static bool
field_is_zero(const struct codec_field *f, const uint8_t *member)
{
	static const uint8_t zero[sizeof(uint64_t)];

	if (f->type == CODEC_STR)
		return member[0] == '\0';
	return memcmp(member, zero, f->size) == 0;
}

static int64_t
field_int(const uint8_t *member)
{
	int value;

	memcpy(&value, member, sizeof(value));
	return value;
}

static void
field_write(
    struct wire_writer *w, const struct codec_field *f, const uint8_t *member)
{
	uint64_t u;
	int64_t i;

	switch (f->type) {
	case CODEC_U64:
		memcpy(&u, member, sizeof(u));
		wire_u64(w, f->key, u);
		break;
	case CODEC_I64:
		memcpy(&i, member, sizeof(i));
		wire_i64(w, f->key, i);
		break;
	case CODEC_INT:
		wire_i64(w, f->key, field_int(member));
		break;
	case CODEC_BOOL:
		wire_bool(w, f->key, true);
		break;
	case CODEC_STR:
		wire_str(w, f->key, (const char *)member);
		break;
	}
}

void
codec_write(struct wire_writer *w, const struct codec_field *fields,
    size_t count, const void *value)
{
	const uint8_t *base = value;
	uint32_t entries = 0;
	size_t i;

	for (i = 0; i < count; i++)
		entries += !field_is_zero(&fields[i], base + fields[i].offset);
	wire_map(w, entries);
	for (i = 0; i < count; i++)
		if (!field_is_zero(&fields[i], base + fields[i].offset))
			field_write(w, &fields[i], base + fields[i].offset);
}

static void
field_read(
    const msgpack_object *map, const struct codec_field *f, uint8_t *member)
{
	uint64_t u;
	int64_t i;
	int value;

	switch (f->type) {
	case CODEC_U64:
		if (wire_get_u64(map, f->key, &u))
			memcpy(member, &u, sizeof(u));
		break;
	case CODEC_I64:
		if (wire_get_i64(map, f->key, &i))
			memcpy(member, &i, sizeof(i));
		break;
	case CODEC_INT:
		if (!wire_get_i64(map, f->key, &i))
			break;
		value = (int)i;
		memcpy(member, &value, sizeof(value));
		break;
	case CODEC_BOOL:
		wire_get_bool(map, f->key, (bool *)member);
		break;
	case CODEC_STR:
		wire_get_str(map, f->key, (char *)member, f->size);
		break;
	}
}

bool
codec_read(const msgpack_object *map, const struct codec_field *fields,
    size_t count, void *value)
{
	uint8_t *base = value;
	size_t i;

	if (map->type != MSGPACK_OBJECT_MAP)
		return false;
	for (i = 0; i < count; i++)
		field_read(map, &fields[i], base + fields[i].offset);
	return true;
}
