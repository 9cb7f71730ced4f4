#include "json_get.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"

#define PORT_DIGITS_MAX 5

struct json_object *
json_parse_object(const void *data, size_t len)
{
	struct json_tokener *t;
	struct json_object *o;

	if (len == 0 || len > INT32_MAX)
		return NULL;
	t = json_tokener_new();
	if (t == NULL)
		return NULL;
	o = json_tokener_parse_ex(t, data, (int)len);
	if (json_tokener_get_error(t) != json_tokener_success ||
	    !json_object_is_type(o, json_type_object)) {
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(t);
	return o;
}

struct json_object *
json_get_member(struct json_object *o, const char *key, enum json_type type)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, type))
		return NULL;
	return v;
}

/* NULL when the member is missing or not a number. */
static struct json_object *
json_get_number(struct json_object *o, const char *key)
{
	struct json_object *v = json_get_member(o, key, json_type_int);

	return v != NULL ? v : json_get_member(o, key, json_type_double);
}

double
json_get_real(struct json_object *o, const char *key, double fallback)
{
	struct json_object *v = json_get_number(o, key);

	return v != NULL && isfinite(json_object_get_double(v))
	    ? json_object_get_double(v)
	    : fallback;
}

int64_t
json_get_int(struct json_object *o, const char *key, int64_t fallback)
{
	struct json_object *v = json_get_member(o, key, json_type_int);
	double real;

	if (v != NULL)
		return json_object_get_int64(v);
	real = json_get_real(o, key, NAN);
	if (isnan(real))
		return fallback;
	if (real >= (double)JSON_INT_MAX)
		return JSON_INT_MAX;
	return real <= -(double)JSON_INT_MAX ? -JSON_INT_MAX : (int64_t)real;
}

bool
json_int_within(struct json_object *v, int64_t min, int64_t max, int64_t *out)
{
	double real;

	*out = 0;
	if (v == NULL)
		return min <= 0;
	if (json_object_is_type(v, json_type_double)) {
		real = json_object_get_double(v);
		if (!(real >= (double)min && real <= (double)max))
			return false;
		*out = (int64_t)real;
		return *out >= min && *out <= max;
	}
	if (!json_object_is_type(v, json_type_int))
		return false;
	*out = json_object_get_int64(v);
	return *out >= min && *out <= max;
}

bool
json_get_int_within(struct json_object *o, const char *key, int64_t min,
    int64_t max, int64_t *out)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return json_int_within(v, min, max, out);
}

bool
json_get_bool(struct json_object *o, const char *key)
{
	struct json_object *v = json_get_member(o, key, json_type_boolean);

	return v != NULL && json_object_get_boolean(v);
}

int
json_get_int_clamped(
    struct json_object *o, const char *key, int fallback, int max)
{
	int64_t n = json_get_int(o, key, fallback);

	return n < 0 ? 0 : n > max ? max : (int)n;
}

double
json_get_real_clamped(
    struct json_object *o, const char *key, double fallback, double max)
{
	double x = json_get_real(o, key, fallback);

	return x < 0 ? fallback : x > max ? max : x;
}

bool
json_has_type(struct json_object *o, const char *key, enum json_type type)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return v == NULL || json_object_is_type(v, type);
}

bool
json_get_whole_within(struct json_object *o, const char *key, int64_t min,
    int64_t max, int64_t *out)
{
	return json_get_int_within(o, key, min, max, out) &&
	    (double)*out == json_get_real(o, key, 0);
}

bool
json_copy_text(struct json_object *v, char *out, size_t size)
{
	size_t len;

	out[0] = '\0';
	if (v == NULL)
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	len = (size_t)json_object_get_string_len(v);
	if (len >= size || strlen(json_object_get_string(v)) != len)
		return false;
	memcpy(out, json_object_get_string(v), len + 1);
	return true;
}

bool
json_get_text(struct json_object *o, const char *key, char *out, size_t size)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return json_copy_text(v, out, size);
}

char *
json_dup_text(struct json_object *o, const char *key)
{
	struct json_object *v = NULL;
	const char *text;

	json_object_object_get_ex(o, key, &v);
	if (v == NULL)
		return strdup("");
	if (!json_object_is_type(v, json_type_string))
		return NULL;
	text = json_object_get_string(v);
	return strlen(text) == (size_t)json_object_get_string_len(v)
	    ? strdup(text)
	    : NULL;
}

bool
addr_split(const char *text, char *addr, size_t size, int *port)
{
	const char *colon = strrchr(text, ':');
	struct in6_addr ip;
	size_t digits;
	long n;

	if (colon == NULL || colon == text || (size_t)(colon - text) >= size)
		return false;
	digits = strspn(colon + 1, "0123456789");
	if (digits == 0 || digits > PORT_DIGITS_MAX ||
	    colon[1 + digits] != '\0')
		return false;
	n = strtol(colon + 1, NULL, 10);
	if (n == 0 || n > UINT16_MAX)
		return false;
	memcpy(addr, text, (size_t)(colon - text));
	addr[colon - text] = '\0';
	*port = (int)n;
	return inet_pton(AF_INET, addr, &ip) == 1 ||
	    inet_pton(AF_INET6, addr, &ip) == 1;
}

bool
json_get_addr(
    struct json_object *o, const char *key, char *addr, size_t size, int *port)
{
	char text[ADDR_BYTES + 8];

	return json_get_text(o, key, text, sizeof(text)) &&
	    addr_split(text, addr, size, port);
}

int
name_find(const char *const *names, size_t count, const char *text)
{
	size_t i;

	for (i = 0; text != NULL && i < count; i++) {
		if (strcmp(names[i], text) == 0)
			return (int)i;
	}
	return -1;
}

struct buf *
json_to_buf(struct json_object *o)
{
	const char *text;
	struct buf *b;

	text = json_object_to_json_string_ext(
	    o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	b = buf_from(text, strlen(text));
	json_object_put(o);
	return b;
}
