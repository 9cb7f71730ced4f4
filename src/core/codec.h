/*
 * Table-driven serialisation of flat structs as msgpack maps.  Fields that are
 * zero or empty are omitted, so equal structs give equal bytes.  Unknown keys
 * are ignored.
 */
#ifndef CODEC_H
#define CODEC_H

#include <stddef.h>

#include "wire.h"

enum codec_type {
	CODEC_U64,
	CODEC_I64,
	CODEC_INT, /* int or enum */
	CODEC_BOOL,
	CODEC_STR /* char array with a NUL */
};

struct codec_field {
	const char *key;
	enum codec_type type;
	size_t offset; /* of the member in the struct */
	size_t size; /* of the member, in bytes */
};

#define CODEC_FIELD(key, type, strct, member)       \
	{                                           \
		key, type, offsetof(strct, member), \
		    sizeof(((strct *)0)->member)    \
	}

/* Writes a map without a key, e.g. as the next element of an array. */
void codec_write(struct wire_writer *w, const struct codec_field *fields,
    size_t count, const void *value);
/* Members whose keys are missing stay as they are; false if not a map. */
bool codec_read(const msgpack_object *map, const struct codec_field *fields,
    size_t count, void *value);

#endif
