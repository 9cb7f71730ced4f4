/*
 * Parses one HTTP/1.1 answer from the bytes of a connection with http_parser.
 * Separate from http_client.c because http_parser and libwebsockets define
 * constants of the same names.
 */
#ifndef HTTP_ANSWER_H
#define HTTP_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

#include "json_string_limit.h"
#include "request.h"

struct answer_reader;

struct answer_reader_opts {
	/*
	 * Lower-case names of headers to keep, NULL-terminated; may be NULL,
	 * must outlive the reader.
	 */
	const char *const *keep;
	size_t max_bytes; /* of the body as it is kept */
	bool bodyless; /* for answers without a body (to HEAD) */
	/* The body is JSON that may have strings of any length; or NULL. */
	const struct json_string_limit_opts *strings;
};

struct answer_reader *answer_reader_new(const struct answer_reader_opts *opts);
void answer_reader_free(struct answer_reader *r);
/*
 * Discards what was parsed, to read the answer to a retry on a new connection.
 */
void answer_reader_reset(struct answer_reader *r);

enum answer_progress {
	ANSWER_PARTIAL, /* more bytes are needed */
	ANSWER_COMPLETE,
	ANSWER_MALFORMED /* not HTTP, or above a limit */
};

enum answer_progress answer_reader_feed(
    struct answer_reader *r, const void *data, size_t len);
/* True once an answer's status or first header has been parsed. */
bool answer_reader_started(const struct answer_reader *r);
bool answer_reader_headers_complete(const struct answer_reader *r);
/* True if the connection can be reused for another call. */
bool answer_reader_keeps_alive(const struct answer_reader *r);
/* Valid once the headers are complete; owned by the reader. */
struct answer *answer_reader_answer(const struct answer_reader *r);

#endif
