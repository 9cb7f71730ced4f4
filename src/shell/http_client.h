/*
 * HTTP/1.1 client calls: libwebsockets carries the bytes, http_parser reads
 * the answers.  A call takes a fresh connection, or an idle one of its pool;
 * never two calls at a time on one connection, no redirects followed.  "sent"
 * is this module's own record of the first byte handed to the connection.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "errors.h"
#include "request.h"

enum http_outcome {
	HTTP_ANSWERED, /* the whole answer */
	HTTP_UNSENT, /* no byte was handed to a connection */
	HTTP_NO_ANSWER, /* sent; no answer */
	HTTP_TRUNCATED, /* the answer was cut short or too large */
	HTTP_TIMED_OUT /* sent; no whole answer in time */
};

struct http_call;

/*
 * Idle connections for later calls to the same address and port.  Free it
 * before its context.
 */
struct http_pool;

struct http_pool *http_pool_new(int idle_ms);
/* Closes idle connections; calls under way close theirs when they end. */
void http_pool_free(struct http_pool *pool);
/* Closes connections that were idle too long.  Call about once a second. */
void http_pool_expire(struct http_pool *pool);
/* Connections made since the start. */
uint64_t http_pool_connect_count(const struct http_pool *pool);

struct http_call_opts {
	struct lws_context *context;
	struct http_pool *pool; /* NULL: a connection for this call alone */
	/*
	 * A kept connection that turns out to be closed is replaced once by a
	 * fresh one, though the request may have been sent on it.
	 */
	bool idempotent;
	/*
	 * Given up while its peer has not got all of it, it is dropped, so
	 * that nothing of it arrives later.
	 */
	bool reset_on_abort;
	const char *addr; /* numeric IP */
	int port;
	const char *method;
	const char *path;
	const struct headers *headers; /* sent as they are; may be NULL */
	struct buf *body; /* takes a reference; may be NULL */
	/* Lower-case names of answer headers to keep, NULL-terminated. */
	const char *const *keep_headers;
	int timeout_ms;
	size_t answer_body_max_bytes; /* of the answer's body */
	/* Called at most once, before on_end; may be NULL. */
	void (*on_sent)(void *arg);
	/*
	 * Called exactly once unless cancelled, never from inside
	 * http_call_start().  "answer" is NULL unless HTTP_ANSWERED; take a
	 * reference to keep it.  The call is freed after it returns.
	 */
	void (*on_done)(
	    void *arg, enum http_outcome end, struct answer *answer);
	void *arg;
};

/* Protocol that must be in the context's list. */
extern const struct lws_protocols http_client_protocol;

struct http_call *http_call_start(
    const struct http_call_opts *opts, struct err *e);
/* Closes the connection; on_end is not called any more. */
void http_call_cancel(struct http_call *call);

/*
 * Blocking form for the command line and for tests: makes a context of its
 * own, ignores the callbacks and context in "opts".  Returns -1 with "e"
 * filled unless HTTP_ANSWERED; *end (may be NULL) tells which.
 */
int http_sync(const struct http_call_opts *opts, struct answer **answer,
    enum http_outcome *end, struct err *e);

#endif
