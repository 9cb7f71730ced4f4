#include "http_answer.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define FIELD_BYTES 64 /* header name with NUL; longer names are truncated */
/* header value with NUL; longer values are truncated */
#define VALUE_BYTES 2048
#define BODY_INITIAL_BYTES 1024 /* of a body whose length is not known yet */

struct answer_reader {
	struct http_parser parser;
	const char *const *keep_headers;
	size_t max_bytes;
	bool bodyless;
	bool limits_strings;
	struct json_string_limit strings;
	char field[FIELD_BYTES]; /* name of the current header, lower case */
	char value[VALUE_BYTES];
	bool reading_value;
	bool headers_complete;
	bool complete;
	bool keep_alive;
	struct answer *answer; /* NULL until the status line has been parsed */
};

static void
reader_store_header(struct answer_reader *r)
{
	const char *const *n = r->keep_headers;

	for (; n != NULL && *n != NULL; n++) {
		if (strcmp(*n, r->field) == 0)
			headers_add(&r->answer->headers, *n, r->value);
	}
	r->field[0] = r->value[0] = '\0';
	r->reading_value = false;
}

static void
append_text(char *to, size_t size, const char *at, size_t len)
{
	size_t have = strlen(to);

	if (have + len >= size)
		len = size - have - 1;
	memcpy(to + have, at, len);
	to[have + len] = '\0';
}

static int
parse_status(struct http_parser *p, const char *at, size_t len)
{
	struct answer_reader *r = p->data;

	(void)at;
	(void)len;
	if (r->answer == NULL)
		r->answer = answer_new(p->status_code);
	return r->answer == NULL;
}

static int
parse_field(struct http_parser *p, const char *at, size_t len)
{
	struct answer_reader *r = p->data;
	char *s;

	if (parse_status(p, at, len) != 0)
		return 1;
	if (r->reading_value)
		reader_store_header(r);
	append_text(r->field, sizeof(r->field), at, len);
	for (s = r->field; *s != '\0'; s++) {
		if (*s >= 'A' && *s <= 'Z')
			*s += 'a' - 'A';
	}
	return 0;
}

static int
parse_value(struct http_parser *p, const char *at, size_t len)
{
	struct answer_reader *r = p->data;

	r->reading_value = true;
	append_text(r->value, sizeof(r->value), at, len);
	return 0;
}

/*
 * Called at the end of the headers. Returns 1 to tell http_parser that there is
 * no body, -1 to stop with an error.
 */
static int
parse_headers_end(struct http_parser *p)
{
	struct answer_reader *r = p->data;
	uint64_t len = p->content_length;

	if (parse_status(p, NULL, 0) != 0)
		return -1;
	if (r->reading_value)
		reader_store_header(r);
	if (p->status_code < 200) /* interim status; the final answer follows */
		return 0;
	r->headers_complete = true;
	r->keep_alive = http_should_keep_alive(p) != 0;
	if (r->bodyless)
		return 1;
	if (len == UINT64_MAX || r->limits_strings)
		len = 0;
	if (len > r->max_bytes)
		return -1;
	r->answer->body = buf_new(len > 0 ? len : BODY_INITIAL_BYTES);
	return r->answer->body == NULL ? -1 : 0;
}

static int
parse_body(struct http_parser *p, const char *at, size_t len)
{
	struct answer_reader *r = p->data;
	struct buf *body = r->answer->body;

	if (r->limits_strings)
		return json_string_limit_feed(&r->strings, body, at, len) ==
		    -1 ||
		    body->len > r->max_bytes;
	if (body->len + len > r->max_bytes)
		return 1;
	return buf_append(body, at, len) == -1;
}

static int
parse_end(struct http_parser *p)
{
	struct answer_reader *r = p->data;

	if (p->status_code < 200) {
		answer_unref(r->answer);
		r->answer = NULL;
		return 0;
	}
	r->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const struct http_parser_settings parser_settings = {
    .on_status = parse_status,
    .on_header_field = parse_field,
    .on_header_value = parse_value,
    .on_headers_complete = parse_headers_end,
    .on_body = parse_body,
    .on_message_complete = parse_end,
};

struct answer_reader *
answer_reader_new(const struct answer_reader_opts *opts)
{
	struct answer_reader *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->keep_headers = opts->keep;
	r->max_bytes = opts->max_bytes;
	r->bodyless = opts->bodyless;
	r->limits_strings = opts->strings != NULL;
	if (r->limits_strings)
		json_string_limit_init(&r->strings, opts->strings);
	answer_reader_reset(r);
	return r;
}

void
answer_reader_free(struct answer_reader *r)
{
	if (r == NULL)
		return;
	answer_unref(r->answer);
	free(r);
}

void
answer_reader_reset(struct answer_reader *r)
{
	answer_unref(r->answer);
	r->answer = NULL;
	r->field[0] = r->value[0] = '\0';
	r->reading_value = r->headers_complete = r->complete = r->keep_alive =
	    false;
	if (r->limits_strings) {
		struct json_string_limit_opts opts = r->strings.opts;

		json_string_limit_init(&r->strings, &opts);
	}
	http_parser_init(&r->parser, HTTP_RESPONSE);
	r->parser.data = r;
}

enum answer_progress
answer_reader_feed(struct answer_reader *r, const void *data, size_t len)
{
	size_t n;

	n = http_parser_execute(&r->parser, &parser_settings, data, len);
	if (r->complete) {
		if (n < len) /* bytes after the end of the answer */
			r->keep_alive = false;
		return ANSWER_COMPLETE;
	}
	if (n != len || HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		return ANSWER_MALFORMED;
	return ANSWER_PARTIAL;
}

bool
answer_reader_started(const struct answer_reader *r)
{
	return r->answer != NULL;
}

bool
answer_reader_headers_complete(const struct answer_reader *r)
{
	return r->headers_complete;
}

bool
answer_reader_keeps_alive(const struct answer_reader *r)
{
	return r->keep_alive;
}

struct answer *
answer_reader_answer(const struct answer_reader *r)
{
	return r->answer;
}
