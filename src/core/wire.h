/*
 * Thin layer over msgpack-c.  Every message is a map with short string keys.
 * Readers look up keys by name and ignore unknown ones, so newer senders can
 * add fields.  Strings are copied into fixed-size buffers.
 */
#ifndef WIRE_H
#define WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "buf.h"
#include "errors.h"

struct wire_writer {
	msgpack_sbuffer buffer;
	msgpack_packer pk;
};

/* wire_map() must be followed by exactly "entries" keys with their values. */
void wire_writer_init(struct wire_writer *w);
void wire_map(struct wire_writer *w, uint32_t entries);
void wire_key(struct wire_writer *w, const char *key);
void wire_array(struct wire_writer *w, const char *key, uint32_t entries);
void wire_u64(struct wire_writer *w, const char *key, uint64_t value);
void wire_i64(struct wire_writer *w, const char *key, int64_t value);
void wire_bool(struct wire_writer *w, const char *key, bool value);
void wire_str(struct wire_writer *w, const char *key, const char *value);
void wire_bin(
    struct wire_writer *w, const char *key, const void *data, size_t len);
/* Frees the writer and returns its bytes; NULL if out of memory. */
struct buf *wire_writer_finish(struct wire_writer *w);

struct wire_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *root; /* always a map after wire_reader_init() */
};

/*
 * Parses "data" as exactly one map; trailing bytes are an error.  "data" must
 * outlive the reader.
 */
int wire_reader_init(
    struct wire_reader *r, const void *data, size_t len, struct err *e);
void wire_reader_uninit(struct wire_reader *r);

/* Getters return false if the key is missing or its value has another type. */
bool wire_get(
    const msgpack_object *map, const char *key, const msgpack_object **out);
bool wire_get_u64(const msgpack_object *map, const char *key, uint64_t *out);
bool wire_get_i64(const msgpack_object *map, const char *key, int64_t *out);
bool wire_get_bool(const msgpack_object *map, const char *key, bool *out);
/*
 * Copies the string with a NUL; false also if it contains a NUL or does not
 * fit into "size" bytes.
 */
bool wire_get_str(
    const msgpack_object *map, const char *key, char *out, size_t size);
/* "*data" is valid until the reader is freed. */
bool wire_get_bin(const msgpack_object *map, const char *key,
    const uint8_t **data, size_t *len);
bool wire_get_array(const msgpack_object *map, const char *key,
    const msgpack_object_array **out);

#endif
