/*
 * Thin layer over msgpack-c: every message is a map with short string keys.
 * Readers look keys up by name, so unknown keys are passed over and a newer
 * sender can add fields.  Strings are copied into fixed buffers.
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

/* A map must be given as many entries as it was announced with. */
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
/* Takes the bytes out as a new buffer and frees the writer. */
struct buf *wire_writer_finish(struct wire_writer *w);

struct wire_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *root; /* always a map after wire_reader_init */
};

/* Parses one whole map; trailing bytes are an error. */
int wire_reader_init(
    struct wire_reader *r, const void *data, size_t len, struct err *e);
void wire_reader_uninit(struct wire_reader *r);

/* All getters return false where the key is missing or of another type. */
bool wire_get(
    const msgpack_object *map, const char *key, const msgpack_object **out);
bool wire_get_u64(const msgpack_object *map, const char *key, uint64_t *out);
bool wire_get_i64(const msgpack_object *map, const char *key, int64_t *out);
bool wire_get_bool(const msgpack_object *map, const char *key, bool *out);
/* False also where the string does not fit into "size" with its NUL. */
bool wire_get_str(
    const msgpack_object *map, const char *key, char *out, size_t size);
/* The bytes stay owned by the reader. */
bool wire_get_bin(const msgpack_object *map, const char *key,
    const uint8_t **data, size_t *len);
bool wire_get_array(const msgpack_object *map, const char *key,
    const msgpack_object_array **out);

#endif
