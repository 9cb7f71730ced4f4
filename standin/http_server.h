/*
 * HTTP/1.1 server of the stand-ins on one libwebsockets loop.  A request is
 * handed over whole; its answer may come at once, later, cut short or never.
 */
#ifndef STANDIN_HTTP_SERVER_H
#define STANDIN_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>
#include <libwebsockets.h>

#include "request.h"

#define EXCHANGE_PATH_BYTES 256

/* One request and its answer; freed by the server. */
struct exchange {
	char method[8];
	char path[EXCHANGE_PATH_BYTES]; /* without the query */
	char query[EXCHANGE_PATH_BYTES];
	struct headers headers; /* those named in keep_headers */
	struct buf *body; /* never NULL */
	int port; /* at which the request came in */
	void *user; /* the application's own; it frees it */
	/* Set before the answer: close after half of its body. */
	bool truncate;
	/* internal */
	struct http_server *server;
	struct lws *wsi;
	bool dispatched, answered, drop;
	bool body_ended; /* the library said that the body is in */
	int status;
	struct headers answer_headers;
	struct buf *answer;
	lws_sorted_usec_list_t sul;
};

struct http_server;

struct http_server_opts {
	const char *addr; /* numeric IP */
	int port;
	const int *more_ports; /* served as well; ends with 0, may be NULL */
	int connections_max; /* further ones are closed when accepted */
	size_t body_max; /* bytes; a larger request is answered with 413 */
	const char *const *keep_headers; /* lower case, NULL-terminated */
	void (*on_request)(void *arg, struct exchange *x);
	/*
	 * The exchange ends: answered in full, or the connection closed.  No
	 * call on it is allowed afterwards.
	 */
	void (*on_end)(void *arg, struct exchange *x);
	void *arg;
};

/* What went over the connections, in bytes with all headers. */
struct http_server_traffic {
	uint64_t requests, bytes_in, bytes_out;
};

struct http_server *http_server_new(const struct http_server_opts *opts);
void http_server_free(struct http_server *s);
struct lws_context *http_server_context(struct http_server *s);
const struct http_server_traffic *http_server_traffic(
    const struct http_server *s);
/* Runs until SIGTERM or SIGINT.  Returns the process's exit code. */
int http_server_run(struct http_server *s);

/* Value of an integer query argument, or "missing". */
int64_t exchange_int(
    const struct exchange *x, const char *name, int64_t missing);
/* Copies a query argument; false where it is missing or too long. */
bool exchange_str(
    const struct exchange *x, const char *name, char *out, size_t size);
/* Adds an answer's header; before exchange_answer(). */
void exchange_header(struct exchange *x, const char *name, const char *value);
/* Takes over the reference to "body", which may be NULL. */
void exchange_answer(struct exchange *x, int status, struct buf *body);
/* As exchange_answer() after delay_ms. */
void exchange_answer_later(
    struct exchange *x, int status, struct buf *body, int delay_ms);
/* Answers with JSON and releases "object". */
void exchange_json(
    struct exchange *x, int status, struct json_object *object, int delay_ms);
/* Closes the connection without an answer. */
void exchange_drop(struct exchange *x);
/* The request's body as a JSON object, or NULL.  The caller releases it. */
struct json_object *exchange_body_json(const struct exchange *x);
/* A field's text in such an object; "" where it is missing. */
const char *exchange_text(struct json_object *o, const char *key);

#endif
