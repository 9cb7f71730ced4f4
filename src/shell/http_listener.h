/*
 * HTTP/1.1 server: reads whole requests within their limits, passes them on
 * under an id, and writes one answer to each.
 */
#ifndef HTTP_LISTENER_H
#define HTTP_LISTENER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "errors.h"
#include "http_header.h"
#include "request.h"

#define LISTENER_HEADERS_MAX 80 /* request headers to keep */

struct http_listener;

struct http_listener_opts {
	struct lws_context *context;
	const char *name;
	const char *addr; /* numeric IP */
	int port;
	size_t body_max_bytes; /* larger bodies get a 413 */
	int connections_max; /* further connections get a 429 */
	/* lower-case names of the request headers to keep */
	const char *const *headers;
	size_t header_count;
	/*
	 * One of them, which libwebsockets does not know, whose faults are
	 * noted in the request; NULL: none.
	 */
	const char *checked_header;
	/*
	 * Called before the headers of each request are read, so that
	 * http_listener_set_extra_header() applies to that request; may be
	 * NULL.
	 */
	void (*on_head)(void *arg);
	/* Request ids are never 0 and never reused. */
	void (*on_request)(void *arg, uint64_t id, struct request *r);
	/* The caller disconnected before the answer was given. */
	void (*on_gone)(void *arg, uint64_t id);
	/* Header lines of answers that the listener gives itself. */
	const char *refusal_lines;
	void *arg;
};

struct http_reply {
	int status;
	const char *lines; /* header lines, each with its CRLF; may be "" */
	struct buf *body; /* takes a reference; may be NULL */
	bool close; /* close the connection after this answer */
};

struct http_listener *http_listener_new(
    const struct http_listener_opts *opts, struct err *e);
/* Call after lws_context_destroy(), which closes the connections. */
void http_listener_free(struct http_listener *l);
/*
 * Sets one more request header to keep, e.g. one named by the text; "" for
 * none.
 */
void http_listener_set_extra_header(struct http_listener *l, const char *name);
/* Does nothing if the caller has disconnected. */
void http_listener_answer(
    struct http_listener *l, uint64_t id, const struct http_reply *reply);
/*
 * Address of the peer whose request awaits an answer.  False when it has
 * disconnected or its address does not fit.
 */
bool http_listener_remote_addr(
    struct http_listener *l, uint64_t id, char *out, size_t size);
/* Number of connections with a request or an answer in progress. */
size_t http_listener_busy_count(const struct http_listener *l);
size_t http_listener_connection_count(const struct http_listener *l);
/* From now on every answer closes its connection. */
void http_listener_close_after_answers(struct http_listener *l);
/*
 * Closes connections of callers that disconnected while reading was paused,
 * which libwebsockets does not detect. "all" checks every connection that
 * awaits an answer. Call about once a second.
 */
void http_listener_check_disconnected(struct http_listener *l, bool all);
/* Refuses new connections; open connections stay. */
void http_listener_stop_listening(struct http_listener *l);

#endif
