/*
 * Keeps a body of JSON small while it arrives, however long its strings are:
 * a string that is too long, or comes when the body has grown large, is
 * replaced by JSON_DROPPED_STRING.  All else stays as it is.
 */
#ifndef JSON_STRING_LIMIT_H
#define JSON_STRING_LIMIT_H

#include <stdbool.h>
#include <stddef.h>

#include "buf.h"

/* A string of one NUL; the same string in the body counts as dropped, too. */
#define JSON_DROPPED_STRING "\"\\u0000\""

/* Lengths are those of the body, with escapes. */
struct json_string_limit_opts {
	size_t string_max_bytes;
	/* Strings of at most this length are kept in any case. */
	size_t short_bytes;
	/* Longer ones are, until the body has reached this length. */
	size_t body_bytes;
};

struct json_string_limit {
	struct json_string_limit_opts opts;
	bool in_string, escaped, dropping;
	size_t string_offset; /* of its first quote in the output */
};

void json_string_limit_init(
    struct json_string_limit *l, const struct json_string_limit_opts *opts);
/* Appends the next part of the body to "out"; -1 when memory is short. */
int json_string_limit_feed(
    struct json_string_limit *l, struct buf *out, const char *data, size_t len);

#endif
