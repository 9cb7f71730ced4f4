/*
 * Reads the platform's JSON.  Members whose value is 0, false or empty are left
 * out on the wire, so the getters accept missing members.
 */
#ifndef JSON_GET_H
#define JSON_GET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "buf.h"

/*
 * NULL when the bytes are not a JSON object or memory is short.  Release with
 * json_object_put().
 */
struct json_object *json_parse_object(const void *data, size_t len);
/* NULL when the member is missing or has another type. */
struct json_object *json_get_member(
    struct json_object *o, const char *key, enum json_type type);
/*
 * "fallback" when the member is missing or not a number.  json_get_int()
 * truncates fractions.
 */
int64_t json_get_int(struct json_object *o, const char *key, int64_t fallback);
double json_get_real(struct json_object *o, const char *key, double fallback);
/* False when the member is missing or not a boolean. */
bool json_get_bool(struct json_object *o, const char *key);
/*
 * Copies a string; "" when the member is missing.  False when it has another
 * type, contains a NUL or does not fit into "size" bytes with its terminator.
 */
bool json_get_text(
    struct json_object *o, const char *key, char *out, size_t size);
/*
 * Splits "IP:PORT" into "addr", of "size" bytes, and "port".  False when the
 * text is anything else or the address is too long.
 */
bool json_get_addr(
    struct json_object *o, const char *key, char *addr, size_t size, int *port);
bool addr_split(const char *text, char *addr, size_t size, int *port);

/* Index of the text in "names"; -1 when it is NULL or not found. */
int name_find(const char *const *names, size_t count, const char *text);

/* Serialises and releases the object.  NULL when memory is short. */
struct buf *json_to_buf(struct json_object *o);

#endif
