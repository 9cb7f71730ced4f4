/*
 * HTTP/1.1 server side: collects whole requests within their limits, hands
 * them over under a number, and writes one answer for each.
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

#define LISTENER_HEADERS_MAX 80 /* names of request headers to keep */

struct http_listener;

struct http_listener_opts {
	struct lws_context *context;
	const char *name;
	const char *addr; /* numeric IP */
	int port;
	size_t body_max_bytes; /* bytes; 413 above */
	int connections_max; /* 429 above */
	/* lower-case names of the headers to keep */
	const char *const *headers;
	size_t header_count;
	/*
	 * Called before the headers of each request are read, so that
	 * http_listener_set_extra_header() takes effect for it; may be NULL.
	 */
	void (*on_head)(void *arg);
	/* Numbers of requests are never 0 and never used twice. */
	void (*on_request)(void *arg, uint64_t id, struct request *r);
	/* The connection closed before the answer was given. */
	void (*on_gone)(void *arg, uint64_t id);
	/* Fills header lines for an answer that the listener gives itself. */
	const char *refusal_lines;
	void *arg;
};

struct http_reply {
	int status;
	const char *lines; /* header lines, each with its CRLF; "" none */
	struct buf *body; /* takes a reference; may be NULL */
	bool close; /* close the connection after this answer */
};

struct http_listener *http_listener_new(
    const struct http_listener_opts *opts, struct err *e);
/* Call after lws_context_destroy(), which ends its connections. */
void http_listener_free(struct http_listener *l);
/* One more header to keep ("" for none), e.g. named by the text. */
void http_listener_set_extra_header(struct http_listener *l, const char *name);
/* Ignored where the caller has gone. */
void http_listener_answer(
    struct http_listener *l, uint64_t id, const struct http_reply *reply);
/* Connections with a part of a request or of its answer. */
size_t http_listener_busy_count(const struct http_listener *l);
size_t http_listener_connection_count(const struct http_listener *l);
/* From now on every answer closes its connection. */
void http_listener_close_after_answers(struct http_listener *l);
/*
 * Finds callers that left while the library does not read from them; "all":
 * not only those that are known to be held back.  Call about once a second.
 */
void http_listener_check_disconnected(struct http_listener *l, bool all);
/* New connections are refused; those that are open go on. */
void http_listener_stop_listening(struct http_listener *l);

#endif
