#include "json_string_limit.h"

#include <string.h>

void
json_string_limit_init(
    struct json_string_limit *l, const struct json_string_limit_opts *opts)
{
	memset(l, 0, sizeof(*l));
	l->opts = *opts;
}

/* Bytes from "data" on that have the same meaning as the first one. */
static size_t
plain_run(const struct json_string_limit *l, const char *data, size_t len)
{
	size_t n = 0;

	while (n < len && data[n] != '"' && !(l->in_string && data[n] == '\\'))
		n++;
	return n;
}

/* Drops the string that is being read if it has become too long. */
static int
check_length(struct json_string_limit *l, struct buf *out)
{
	size_t len = out->len - l->string_offset;

	if (l->dropping || !l->in_string ||
	    (len <= l->opts.string_max_bytes &&
		(len <= l->opts.short_bytes || out->len <= l->opts.body_bytes)))
		return 0;
	l->dropping = true;
	out->len = l->string_offset;
	return buf_append(
	    out, JSON_DROPPED_STRING, strlen(JSON_DROPPED_STRING));
}

/* A quote, a backslash in a string, or the byte after that. */
static int
feed_special(struct json_string_limit *l, struct buf *out, char c)
{
	bool ends = l->in_string && !l->escaped && c == '"';
	bool keep = !l->dropping;

	if (!l->in_string) {
		l->string_offset = out->len;
		l->in_string = true;
	} else if (ends) {
		l->in_string = l->dropping = false;
	}
	l->escaped = l->in_string && !l->escaped && c == '\\';
	return keep ? buf_append(out, &c, 1) : 0;
}

int
json_string_limit_feed(
    struct json_string_limit *l, struct buf *out, const char *data, size_t len)
{
	size_t n, chunk_max = l->opts.short_bytes + 1;

	while (len > 0) {
		n = l->escaped ? 0 : plain_run(l, data, len);
		/* a long string is noticed before all of it is kept */
		if (l->in_string && n > chunk_max)
			n = chunk_max;
		if (n == 0) {
			n = 1;
			if (feed_special(l, out, *data) == -1)
				return -1;
		} else if (!l->dropping && buf_append(out, data, n) == -1) {
			return -1;
		}
		if (check_length(l, out) == -1)
			return -1;
		data += n;
		len -= n;
	}
	return 0;
}
