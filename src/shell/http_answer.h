/*
 * Reads one HTTP/1.1 answer from the bytes of a connection, by http_parser.
 * Kept apart from http_client.c because that library and libwebsockets name
 * the same constants.
 */
#ifndef HTTP_ANSWER_H
#define HTTP_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

#include "request.h"

struct answer_reader;

/*
 * "keep": lower-case names of headers to keep, NULL-terminated, or NULL; it
 * must outlive the reader.  "max_bytes" limits the body.  "bodyless": answers
 * have no body (HEAD).
 */
struct answer_reader *answer_reader_new(
    const char *const *keep, size_t max_bytes, bool bodyless);
void answer_reader_free(struct answer_reader *r);
/* Forgets what was read, for the same request on another connection. */
void answer_reader_reset(struct answer_reader *r);

enum answer_progress {
	ANSWER_PARTIAL, /* more bytes are needed */
	ANSWER_COMPLETE,
	ANSWER_MALFORMED /* no HTTP, or larger than allowed */
};

enum answer_progress answer_reader_feed(
    struct answer_reader *r, const void *data, size_t len);
/* Any byte of an answer was understood. */
bool answer_reader_started(const struct answer_reader *r);
bool answer_reader_headers_complete(const struct answer_reader *r);
/* The connection may carry another call. */
bool answer_reader_keeps_alive(const struct answer_reader *r);
/* Valid once the headers are in; owned by the reader. */
struct answer *answer_reader_answer(const struct answer_reader *r);

#endif
