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

#define JSON_INT_MAX (INT64_C(1) << 53) /* whole numbers that JSON can hold */
#define UNIX_TIME_MAX_MS INT64_C(4102444800000) /* the year 2100 */

/*
 * NULL when the bytes are not a JSON object or memory is short.  Release with
 * json_object_put().
 */
struct json_object *json_parse_object(const void *data, size_t len);
/* NULL when the member is missing or has another type. */
struct json_object *json_get_member(
    struct json_object *o, const char *key, enum json_type type);
/*
 * "fallback" when the member is missing or not a finite number.  json_get_int()
 * truncates fractions and saturates.
 */
int64_t json_get_int(struct json_object *o, const char *key, int64_t fallback);
double json_get_real(struct json_object *o, const char *key, double fallback);
/*
 * As above, for settings whose larger values mean no more than "max".  Negative
 * numbers become 0 and "fallback" respectively.
 */
int json_get_int_clamped(
    struct json_object *o, const char *key, int fallback, int max);
double json_get_real_clamped(
    struct json_object *o, const char *key, double fallback, double max);
/* True when the member has the type, is missing or is null. */
bool json_has_type(struct json_object *o, const char *key, enum json_type type);
/*
 * Reads a number; 0 when "v" is NULL.  Fractions are truncated.  False when it
 * has another type, or is not within "min" to "max".
 */
bool json_int_within(
    struct json_object *v, int64_t min, int64_t max, int64_t *out);
/* As json_int_within(), for a member; 0 when it is missing. */
bool json_get_int_within(struct json_object *o, const char *key, int64_t min,
    int64_t max, int64_t *out);
/* As json_get_int_within(), and false when it has a fraction. */
bool json_get_whole_within(struct json_object *o, const char *key, int64_t min,
    int64_t max, int64_t *out);
/* False when the member is missing or not a boolean. */
bool json_get_bool(struct json_object *o, const char *key);
/*
 * Copies a string; "" when "v" is NULL.  False when it has another type,
 * contains a NUL or does not fit into "size" bytes with its terminator.
 */
bool json_copy_text(struct json_object *v, char *out, size_t size);
/* As json_copy_text(), for a member; "" when it is missing. */
bool json_get_text(
    struct json_object *o, const char *key, char *out, size_t size);
/*
 * As json_get_text(), for a text of any length, which the caller frees.  NULL
 * also when memory is short.
 */
char *json_dup_text(struct json_object *o, const char *key);
/*
 * Splits "IP:PORT" into "addr", of "size" bytes, and "port".  False when the
 * text is anything else or the address is too long.  IP is numeric: resolving a
 * name would block the daemon's only thread.
 */
bool json_get_addr(
    struct json_object *o, const char *key, char *addr, size_t size, int *port);
bool addr_split(const char *text, char *addr, size_t size, int *port);

/* Index of the text in "names"; -1 when it is NULL or not found. */
int name_find(const char *const *names, size_t count, const char *text);

/* Serialises and releases the object.  NULL when memory is short. */
struct buf *json_to_buf(struct json_object *o);

#endif
