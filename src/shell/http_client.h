/*
 * HTTP/1.1 client: libwebsockets does the I/O, http_parser parses the answers.
 * A call uses a new connection or an idle one of its pool. There is no
 * pipelining, and redirects are not followed. A call counts as sent as soon as
 * its first byte is passed to the connection.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "errors.h"
#include "json_string_limit.h"
#include "request.h"

enum http_outcome {
	HTTP_ANSWERED, /* complete answer received */
	HTTP_UNSENT, /* no byte was passed to a connection */
	HTTP_NO_ANSWER, /* sent; closed without an answer */
	HTTP_TRUNCATED, /* answer incomplete or too large */
	HTTP_TIMED_OUT /* sent; no complete answer in time */
};

struct http_call;

/*
 * Keeps idle connections for later calls to the same address and port. Must be
 * freed before its libwebsockets context.
 */
struct http_pool;

struct http_pool *http_pool_new(int idle_ms);
/* Closes idle connections. Calls in flight close theirs when they end. */
void http_pool_free(struct http_pool *pool);
/* Closes connections idle for longer than idle_ms. Call about once a second. */
void http_pool_expire(struct http_pool *pool);
/* Number of connections opened so far. */
uint64_t http_pool_connect_count(const struct http_pool *pool);

struct http_call_opts {
	struct lws_context *context;
	struct http_pool *pool; /* NULL: use a connection for this call only */
	/*
	 * The request may be sent twice: if a reused connection turns out to be
	 * closed, the call is retried once on a new one.
	 */
	bool idempotent;
	/*
	 * If the call ends without an answer while sent bytes are
	 * unacknowledged, reset the connection, so that the request does not
	 * arrive later.
	 */
	bool reset_on_abort;
	const char *addr; /* numeric IP */
	int port;
	const char *method;
	const char *path;
	const struct headers *headers; /* sent unchanged; may be NULL */
	struct buf *body; /* takes a reference; may be NULL */
	/* Lower-case names of answer headers to keep, NULL-terminated. */
	const char *const *keep_headers;
	int timeout_ms;
	/* Ends the call as HTTP_UNSENT if it is not sent by then; 0: no. */
	int connect_timeout_ms;
	size_t answer_body_max_bytes;
	/* Long strings in the answer's JSON are dropped; NULL: none. */
	const struct json_string_limit_opts *answer_strings;
	/* Called at most once, before on_done; may be NULL. */
	void (*on_sent)(void *arg);
	/*
	 * Called exactly once unless cancelled, never from inside
	 * http_call_start(). "answer" is NULL unless the outcome is
	 * HTTP_ANSWERED; take a reference to keep it. The call is freed after
	 * this returns.
	 */
	void (*on_done)(
	    void *arg, enum http_outcome outcome, struct answer *answer);
	void *arg;
};

/* Must be in the context's list of protocols. */
extern const struct lws_protocols http_client_protocol;

struct http_call *http_call_start(
    const struct http_call_opts *opts, struct err *e);
/* The call may last "timeout_ms" from now on, whatever it was given before. */
void http_call_set_timeout(struct http_call *call, int timeout_ms);
/* Closes the connection and frees the call; on_done is not called. */
void http_call_cancel(struct http_call *call);

/*
 * Blocking call for the command line and for tests. Creates its own context and
 * ignores the callbacks and the context in "opts". Returns -1 with "e" filled
 * unless the outcome is HTTP_ANSWERED, else passes a reference in *answer.
 * Stores the outcome in *outcome, which may be NULL.
 */
int http_sync(const struct http_call_opts *opts, struct answer **answer,
    enum http_outcome *outcome, struct err *e);

#endif
