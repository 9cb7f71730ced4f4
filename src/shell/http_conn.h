/* A caller's connection. Private to http_listener.c and http_conn.c. */
#ifndef HTTP_CONN_H
#define HTTP_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>
#include <uthash.h>

#include "http_listener.h"

enum conn_state {
	CONN_IDLE,
	CONN_READING_BODY, /* reading a request's body */
	CONN_DISCARDING_BODY, /* refused; discarding the body first */
	CONN_AWAITING_ANSWER, /* request passed on */
	CONN_ANSWER_QUEUED, /* answer not written yet */
	CONN_WRITING_BODY /* head written, body not yet */
};

struct http_conn {
	struct http_listener *listener;
	struct lws *wsi;
	enum conn_state state;
	uint64_t id; /* id of the request; 0: none */
	struct request *request;
	size_t body_left_bytes;
	int refusal_status; /* while CONN_DISCARDING_BODY */
	lws_usec_t body_deadline_us; /* the body must be complete by then */
	struct buf *head;
	struct buf *body;
	bool omit_body; /* answer to HEAD */
	bool close_after_answer;
	bool reading_paused; /* the caller pipelines */
	UT_hash_handle hh; /* by id, while CONN_AWAITING_ANSWER */
};

struct http_listener {
	struct http_listener_opts opts;
	struct lws_vhost *vhost;
	struct lws_protocols protocols[2];
	struct header_name headers[LISTENER_HEADERS_MAX + 1];
	size_t header_count; /* without the extra header, which follows them */
	bool has_extra_header;
	struct http_conn *awaiting_answer; /* by id */
	uint64_t last_request_id;
	int listen_fd; /* set at the first accept; -1 before */
	bool close_after_answers; /* each answer closes its connection */
	/* set if reading may be paused on a connection that awaits an answer */
	bool any_reading_paused;
	size_t connection_count;
	size_t busy_count; /* connections that are not CONN_IDLE */
};

/* Handlers of libwebsockets' callbacks. Nonzero closes the connection. */
int http_conn_request_head(struct http_conn *c, const char *uri);
int http_conn_body(struct http_conn *c, const void *data, size_t len);
int http_conn_body_complete(struct http_conn *c);
int http_conn_writable(struct http_conn *c);
void http_conn_closed(struct http_conn *c);
/* Queues the answer to a request that was passed on, or a refusal. */
void http_conn_answer(struct http_conn *c, const struct http_reply *r);

#endif
