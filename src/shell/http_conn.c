#include "http_conn.h"

#include <string.h>

#include "bounds.h"
#include "http_head.h"

/* initial size of the buffer for an answer's head */
#define HEAD_INITIAL_BYTES 512
/* head and body up to this size are written at once */
#define SINGLE_WRITE_MAX_BYTES 65536
/* from the end of the headers to the end of the body */
#define BODY_TIMEOUT_S 30
/* largest body read and discarded after a refusal */
#define DISCARD_MAX_BYTES (8 * 1024 * 1024)

static void
conn_set_state(struct http_conn *c, enum conn_state state)
{
	if (c->state == CONN_IDLE && state != CONN_IDLE)
		c->listener->busy_count++;
	else if (c->state != CONN_IDLE && state == CONN_IDLE)
		c->listener->busy_count--;
	c->state = state;
}

static void
conn_reset(struct http_conn *c)
{
	if (c->state == CONN_AWAITING_ANSWER)
		HASH_DEL(c->listener->awaiting_answer, c);
	request_unref(c->request);
	buf_unref(c->head);
	buf_unref(c->body);
	c->request = NULL;
	c->head = c->body = NULL;
	c->id = 0;
	conn_set_state(c, CONN_IDLE);
}

static bool
status_bodyless(int status)
{
	return status == 204 || status == 304;
}

/* Appends a short body to the head, so that both go out in one write. */
static int
conn_merge_body(struct http_conn *c)
{
	if (c->body == NULL || c->body->len > SINGLE_WRITE_MAX_BYTES)
		return 0;
	if (buf_append(c->head, c->body->data, c->body->len) == -1)
		return -1;
	buf_unref(c->body);
	c->body = NULL;
	return 0;
}

static int
conn_write(struct http_conn *c, const struct buf *b)
{
	return lws_write(c->wsi, b->data, b->len, LWS_WRITE_HTTP) < 0 ? -1 : 0;
}

/*
 * Writes the answer and closes the connection. While reading is paused,
 * libwebsockets never reports the socket as writable, so the answer is written
 * at once. libwebsockets buffers what the socket does not accept and sends it
 * before it closes.
 */
static void
conn_write_and_close(struct http_conn *c)
{
	if (conn_merge_body(c) == 0 && conn_write(c, c->head) == 0 &&
	    c->body != NULL)
		conn_write(c, c->body);
	conn_reset(c);
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void
http_conn_answer(struct http_conn *c, const struct http_reply *r)
{
	size_t len = r->body != NULL ? r->body->len : 0;
	bool bodyless = c->omit_body || status_bodyless(r->status);
	bool close =
	    r->close || c->reading_paused || c->listener->close_after_answers;

	if (c->state == CONN_AWAITING_ANSWER)
		HASH_DEL(c->listener->awaiting_answer, c);
	conn_set_state(c, CONN_ANSWER_QUEUED);
	c->head = buf_new(HEAD_INITIAL_BYTES);
	if (c->head == NULL) {
		conn_set_state(c, CONN_IDLE);
		lws_set_timeout(
		    c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
		return;
	}
	buf_printf(c->head, "HTTP/1.1 %d %s\r\n%s", r->status,
	    http_status_phrase(r->status), r->lines);
	if (!bodyless)
		buf_printf(c->head, "content-length: %zu\r\n", len);
	buf_printf(c->head, "%s\r\n", close ? "connection: close\r\n" : "");
	c->body = bodyless ? NULL : buf_ref(r->body);
	c->close_after_answer = close;
	if (c->reading_paused)
		conn_write_and_close(c);
	else
		lws_callback_on_writable(c->wsi);
}

/* Answers with an error status without passing the request on. */
static void
conn_refuse(struct http_conn *c, int status)
{
	struct http_reply r = {
	    .status = status,
	    .lines = c->listener->opts.refusal_lines,
	    .close = true,
	};

	http_conn_answer(c, &r);
}

static void
conn_dispatch(struct http_conn *c)
{
	struct http_listener *l = c->listener;
	struct request *r = c->request;

	c->request = NULL;
	conn_set_state(c, CONN_AWAITING_ANSWER);
	c->id = ++l->last_request_id;
	HASH_ADD(hh, l->awaiting_answer, id, sizeof(c->id), c);
	lws_set_timeout(c->wsi, NO_PENDING_TIMEOUT, 0);
	lws_http_headers_detach(c->wsi); /* frees 17 KB of header memory */
	l->opts.on_request(l->opts.arg, c->id, r);
	request_unref(r);
}

static int
conn_read_head(struct http_conn *c, const char *uri)
{
	struct http_listener *l = c->listener;

	c->request = http_head_request(
	    c->wsi, uri, l->headers, l->header_count + l->has_extra_header);
	if (c->request == NULL)
		return -1;
	c->omit_body = strcmp(c->request->method, "HEAD") == 0;
	return 0;
}

static bool
listener_over_limit(const struct http_listener *l)
{
	return l->opts.connections_max > 0 &&
	    l->connection_count > (size_t)l->opts.connections_max;
}

/*
 * Checks the limits that the headers alone can exceed. Returns the status to
 * refuse the request with, 0 if it is within the limits. "len" is the body's
 * length in bytes, -1 if not stated.
 */
static int
conn_check_limits(struct http_conn *c, int64_t len)
{
	if (listener_over_limit(c->listener))
		return 429;
	if (http_head_recognised_bytes(c->wsi) > HEADERS_MAX_BYTES)
		return 431;
	if (len < 0)
		return 411;
	return (uint64_t)len > c->listener->opts.body_max_bytes ? 413 : 0;
}

/* Answers "Expect: 100-continue". */
static int
conn_continue(struct http_conn *c)
{
	static unsigned char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (lws_hdr_total_length(c->wsi, WSI_TOKEN_HTTP_EXPECT) <= 0)
		return 0;
	return lws_write(c->wsi, text, sizeof(text) - 1, LWS_WRITE_HTTP) < 0
	    ? -1
	    : 0;
}

/*
 * Refuses the request after its body. If a caller is still sending when the
 * connection closes, it gets a reset and loses the answer, so a body of up to
 * DISCARD_MAX_BYTES is read and discarded first.
 */
static void
conn_refuse_after_body(struct http_conn *c, int status, int64_t len)
{
	if (len <= 0 || len > DISCARD_MAX_BYTES) {
		conn_refuse(c, status);
		return;
	}
	c->refusal_status = status;
	conn_set_state(c, CONN_DISCARDING_BODY);
}

/* True if libwebsockets will report the end of the body. */
static bool
expects_body_completion(const struct http_conn *c, int64_t len)
{
	if (len > 0)
		return true;
	return strcmp(c->request->method, "POST") == 0 &&
	    lws_hdr_total_length(c->wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0;
}

int
http_conn_request_head(struct http_conn *c, const char *uri)
{
	int64_t len = http_head_content_length(c->wsi);
	int status;

	if (c->listener->opts.on_head != NULL)
		c->listener->opts.on_head(c->listener->opts.arg);
	c->omit_body = false;
	c->body_deadline_us = lws_now_usecs() + BODY_TIMEOUT_S * US_PER_S;
	status = conn_check_limits(c, len);
	if (status == 0 && conn_read_head(c, uri) == -1)
		status = 400;
	if (status != 0) {
		conn_refuse_after_body(c, status, len);
		return 0;
	}
	if (!expects_body_completion(c, len)) {
		conn_dispatch(c);
		return 0;
	}
	if (len > 0) {
		c->request->body = buf_new((size_t)len);
		if (c->request->body == NULL)
			return -1;
	}
	c->body_left_bytes = (size_t)len;
	conn_set_state(c, CONN_READING_BODY);
	return len > 0 ? conn_continue(c) : 0;
}

int
http_conn_body(struct http_conn *c, const void *data, size_t len)
{
	if (lws_now_usecs() > c->body_deadline_us)
		return -1;
	if (c->state != CONN_READING_BODY)
		return 0;
	if (len > c->body_left_bytes)
		len = c->body_left_bytes;
	c->body_left_bytes -= len;
	return buf_append(c->request->body, data, len);
}

/*
 * Stops reading while a request waits for its answer. The answer then closes
 * the connection.
 */
static void
conn_pause_reading(struct http_conn *c)
{
	if (c->reading_paused)
		return;
	c->reading_paused = true;
	c->listener->any_reading_paused = true;
	lws_rx_flow_control(c->wsi, 0);
}

/*
 * Called at the end of the body. libwebsockets calls it again, in a busy loop,
 * while it has buffered bytes of a pipelined request. Those bytes are never
 * read: the answer to the current request closes the connection.
 */
int
http_conn_body_complete(struct http_conn *c)
{
	switch (c->state) {
	case CONN_READING_BODY:
		if (c->body_left_bytes > 0)
			return -1;
		conn_dispatch(c);
		return 0;
	case CONN_DISCARDING_BODY:
		conn_refuse(c, c->refusal_status);
		return 0;
	case CONN_ANSWER_QUEUED:
	case CONN_WRITING_BODY:
		conn_write_and_close(c);
		return 0;
	case CONN_AWAITING_ANSWER:
		conn_pause_reading(c);
		return 0;
	case CONN_IDLE:
		return -1;
	}
	return 0;
}

static int
conn_answer_written(struct http_conn *c)
{
	bool closing = c->close_after_answer;

	conn_reset(c);
	if (lws_http_transaction_completed(c->wsi) || closing)
		return -1;
	return 0;
}

int
http_conn_writable(struct http_conn *c)
{
	if (c->state != CONN_ANSWER_QUEUED && c->state != CONN_WRITING_BODY)
		return 0;
	if (c->state == CONN_WRITING_BODY)
		return conn_write(c, c->body) == -1 ? -1
						    : conn_answer_written(c);
	if (conn_merge_body(c) == -1 || conn_write(c, c->head) == -1)
		return -1;
	if (c->body == NULL)
		return conn_answer_written(c);
	conn_set_state(c, CONN_WRITING_BODY);
	lws_callback_on_writable(c->wsi);
	return 0;
}

void
http_conn_closed(struct http_conn *c)
{
	struct http_listener *l = c->listener;
	uint64_t id = c->state == CONN_AWAITING_ANSWER ? c->id : 0;

	if (l == NULL)
		return;
	conn_reset(c);
	c->listener = NULL;
	if (id != 0)
		l->opts.on_gone(l->opts.arg, id);
}
