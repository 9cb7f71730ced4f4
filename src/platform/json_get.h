/*
 * Reading of the platform's JSON: fields whose value is 0, false or empty are
 * left out on the wire, so every getter takes what a missing field means.
 */
#ifndef JSON_GET_H
#define JSON_GET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "buf.h"

/* NULL where the bytes are no JSON object.  Release with json_object_put(). */
struct json_object *json_parse_object(const void *data, size_t len);
/* NULL where the field is missing or of another type. */
struct json_object *json_get_member(
    struct json_object *o, const char *key, enum json_type type);
/* Whole numbers, also where they are written with a fraction. */
int64_t json_get_int(struct json_object *o, const char *key, int64_t missing);
double json_get_real(struct json_object *o, const char *key, double missing);
bool json_get_bool(struct json_object *o, const char *key);
/*
 * Copies a string; "" where it is missing.  False where it is of another
 * type or does not fit into "size" with its NUL.
 */
bool json_get_text(
    struct json_object *o, const char *key, char *out, size_t size);
/* "IP:PORT" into its parts; false where it is anything else. */
bool json_get_addr(
    struct json_object *o, const char *key, char *addr, size_t size, int *port);
bool addr_split(const char *text, char *addr, size_t size, int *port);

/* Index of the text among "count" names; -1 for NULL or another text. */
int name_find(const char *const *names, size_t count, const char *text);

/* The object as text; releases it.  NULL when memory is short. */
struct buf *json_to_buf(struct json_object *o);

#endif
