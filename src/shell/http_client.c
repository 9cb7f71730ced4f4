#include "http_client.h"

#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "bounds.h"
#include "daemon_log.h"
#include "http_answer.h"

#define WRITE_BYTES 16384 /* largest part of a request in one write */

/* One TCP connection, either idle in its pool or in use by one call. */
struct client_conn {
	struct lws *wsi; /* NULL once closed */
	struct http_pool *pool; /* NULL: closed after the call */
	struct http_call *call; /* NULL while idle */
	char addr[ADDR_BYTES];
	int port;
	bool connected;
	bool reused; /* carried an earlier call */
	lws_usec_t idle_since_us;
	LIST_ENTRY(client_conn) entries; /* in the pool while idle */
};

struct http_pool {
	LIST_HEAD(idle_list, client_conn) idle;
	lws_usec_t idle_us;
	uint64_t connect_count;
	unsigned ref_count; /* the owner and each connection */
	bool closed;
};

struct http_call {
	struct client_conn *conn; /* NULL once released */
	struct lws_context *context;
	struct http_pool *pool;
	char addr[ADDR_BYTES];
	int port;
	char method[16];
	struct buf *head; /* request line and headers */
	struct buf *body;
	size_t written_bytes; /* of head and body together */
	bool sent;
	bool idempotent;
	bool reset_on_abort;
	bool retried;
	bool resent; /* retried after part of the request was sent */
	bool done; /* outcome is final; on_done is scheduled */
	bool overdue; /* the time is over; the last pass reads the answer */
	bool received; /* bytes of the answer, since the call is overdue */
	enum http_outcome outcome;
	struct answer_reader *reader;
	int timeout_ms;
	bool connect_limited; /* timeout_timer limits the time until it is sent
			       */
	lws_sorted_usec_list_t timeout_timer;
	lws_sorted_usec_list_t done_timer;
	void (*on_sent)(void *arg);
	void (*on_done)(
	    void *arg, enum http_outcome outcome, struct answer *answer);
	void *arg;
};

static void call_connect(struct http_call *call);

struct http_pool *
http_pool_new(int idle_ms)
{
	struct http_pool *pool;

	pool = calloc(1, sizeof(*pool));
	if (pool == NULL)
		return NULL;
	LIST_INIT(&pool->idle);
	pool->idle_us = idle_ms * US_PER_MS;
	pool->ref_count = 1;
	return pool;
}

static void
pool_unref(struct http_pool *pool)
{
	if (pool != NULL && --pool->ref_count == 0)
		free(pool);
}

uint64_t
http_pool_connect_count(const struct http_pool *pool)
{
	return pool->connect_count;
}

static void
conn_free(struct client_conn *conn)
{
	pool_unref(conn->pool);
	free(conn);
}

/* Closes the connection. May be called outside libwebsockets' callbacks. */
static void
conn_close(struct client_conn *conn)
{
	if (conn->wsi != NULL) {
		lws_set_opaque_user_data(conn->wsi, NULL);
		lws_set_timeout(
		    conn->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
	conn_free(conn);
}

/* True unless the peer's kernel has acknowledged all bytes written. */
static bool
conn_has_unacked_data(const struct client_conn *conn)
{
	int bytes;

	if (ioctl(lws_get_socket_fd(conn->wsi), SIOCOUTQ, &bytes) == -1)
		return true;
	return bytes > 0;
}

/*
 * Makes the close reset the connection and discard unsent bytes. Otherwise the
 * kernel keeps retransmitting, and an abandoned request can still arrive after
 * a network partition ends.
 */
static void
conn_reset_on_close(struct client_conn *conn)
{
	static const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (conn->wsi == NULL || !conn_has_unacked_data(conn))
		return;
	if (setsockopt(lws_get_socket_fd(conn->wsi), SOL_SOCKET, SO_LINGER,
		&reset, sizeof(reset)) == -1)
		daemon_log(LOG_LEVEL_WARN, "http",
		    "msg=\"cannot reset the connection of an "
		    "abandoned request, which may still arrive\" "
		    "errno=%d",
		    errno);
}

static void
pool_close_idle(struct http_pool *pool, lws_usec_t before)
{
	struct client_conn *conn, *next;

	for (conn = LIST_FIRST(&pool->idle); conn != NULL; conn = next) {
		next = LIST_NEXT(conn, entries);
		if (conn->idle_since_us >= before)
			continue;
		LIST_REMOVE(conn, entries);
		conn_close(conn);
	}
}

void
http_pool_expire(struct http_pool *pool)
{
	pool_close_idle(pool, lws_now_usecs() - pool->idle_us);
}

void
http_pool_free(struct http_pool *pool)
{
	if (pool == NULL)
		return;
	pool->closed = true;
	pool_close_idle(pool, lws_now_usecs() + US_PER_S);
	pool_unref(pool);
}

static struct client_conn *
pool_take(struct http_pool *pool, const char *addr, int port)
{
	struct client_conn *conn;

	LIST_FOREACH(conn, &pool->idle, entries) {
		if (conn->port == port && strcmp(conn->addr, addr) == 0) {
			LIST_REMOVE(conn, entries);
			return conn;
		}
	}
	return NULL;
}

static void
call_free(struct http_call *call)
{
	lws_sul_cancel(&call->timeout_timer);
	lws_sul_cancel(&call->done_timer);
	answer_reader_free(call->reader);
	buf_unref(call->head);
	buf_unref(call->body);
	free(call);
}

static void
call_run_on_done(lws_sorted_usec_list_t *sul)
{
	struct http_call *call =
	    lws_container_of(sul, struct http_call, done_timer);
	struct answer *a = NULL;

	if (call->outcome == HTTP_ANSWERED) {
		a = answer_reader_answer(call->reader);
		a->resent = call->resent;
	}
	call->on_done(call->arg, call->outcome, a);
	call_free(call);
}

static size_t
call_bytes(const struct http_call *call)
{
	return call->head->len + (call->body != NULL ? call->body->len : 0);
}

/* Returns the connection to its pool, or closes it. */
static void
call_release_conn(struct http_call *call)
{
	struct client_conn *conn = call->conn;

	call->conn = NULL;
	if (conn == NULL)
		return;
	conn->call = NULL;
	conn->reused = true;
	if (conn->wsi != NULL && conn->pool != NULL && !conn->pool->closed &&
	    call->done && call->outcome == HTTP_ANSWERED &&
	    answer_reader_keeps_alive(call->reader) &&
	    call->written_bytes == call_bytes(call)) {
		conn->idle_since_us = lws_now_usecs();
		LIST_INSERT_HEAD(&conn->pool->idle, conn, entries);
		return;
	}
	if (call->reset_on_abort && call->sent &&
	    !(call->done && call->outcome == HTTP_ANSWERED))
		conn_reset_on_close(conn);
	conn_close(conn);
}

/*
 * Sets the outcome. on_done runs from the event loop, so that it may start
 * other calls and is never entered from within http_call_start().
 */
static void
call_complete(struct http_call *call, enum http_outcome outcome)
{
	if (call->done)
		return;
	call->done = true;
	call->outcome = outcome;
	lws_sul_cancel(&call->timeout_timer);
	call_release_conn(call);
	lws_sul_schedule(
	    call->context, 0, &call->done_timer, call_run_on_done, 1);
}

/* Outcome if the connection closes now without a complete answer. */
static enum http_outcome
call_outcome_if_closed(const struct http_call *call)
{
	if (!call->sent)
		return HTTP_UNSENT;
	return answer_reader_headers_complete(call->reader) ? HTTP_TRUNCATED
							    : HTTP_NO_ANSWER;
}

static void
call_timed_out(lws_sorted_usec_list_t *sul)
{
	struct http_call *call =
	    lws_container_of(sul, struct http_call, timeout_timer);

	/*
	 * Timers run before sockets are read: in a loop that runs late, the
	 * answer may have arrived in time.  The loop reads what there is first.
	 */
	if (call->written_bytes == call_bytes(call) &&
	    (!call->overdue || call->received)) {
		call->overdue = true;
		call->received = false;
		lws_sul_schedule(
		    call->context, 0, &call->timeout_timer, call_timed_out, 1);
		return;
	}
	call_complete(call, call->sent ? HTTP_TIMED_OUT : HTTP_UNSENT);
}

static void
conn_received(struct client_conn *conn, const void *data, size_t len)
{
	struct http_call *call = conn->call;

	if (call == NULL) /* bytes that belong to no request */
		return;
	call->received = true;
	switch (answer_reader_feed(call->reader, data, len)) {
	case ANSWER_PARTIAL:
		break;
	case ANSWER_COMPLETE:
		call_complete(call, HTTP_ANSWERED);
		break;
	case ANSWER_MALFORMED:
		call_complete(call, call_outcome_if_closed(call));
		break;
	}
}

static int
conn_writable(struct client_conn *conn)
{
	struct http_call *call = conn->call;
	size_t head, n, at;
	struct buf *b;

	if (call == NULL)
		return 0;
	head = call->head->len;
	b = call->written_bytes < head ? call->head : call->body;
	at = call->written_bytes < head ? call->written_bytes
					: call->written_bytes - head;
	if (b == NULL || at >= b->len)
		return 0;
	if (!call->sent) {
		call->sent = true;
		if (call->connect_limited)
			http_call_set_timeout(call, call->timeout_ms);
		if (call->on_sent != NULL)
			call->on_sent(call->arg);
		if (conn->call != call) /* cancelled by on_sent */
			return 0;
	}
	n = b->len - at < WRITE_BYTES ? b->len - at : WRITE_BYTES;
	/* raw writes need no headroom in front of the data */
	if (lws_write(conn->wsi, b->data + at, n, LWS_WRITE_RAW) < 0)
		return -1;
	call->written_bytes += n;
	if (call->written_bytes < call_bytes(call))
		lws_callback_on_writable(conn->wsi);
	return 0;
}

/*
 * The connection has closed. An idempotent call on a reused connection is
 * retried once on a new one, unless part of its answer was received.
 */
static void
conn_closed(struct client_conn *conn)
{
	struct http_call *call = conn->call;

	conn->wsi = NULL;
	if (call == NULL) {
		LIST_REMOVE(conn, entries);
		conn_free(conn);
		return;
	}
	if (conn->reused && call->idempotent && !call->retried &&
	    !answer_reader_started(call->reader)) {
		call->retried = true;
		call->resent = call->sent;
		call->written_bytes = 0;
		answer_reader_reset(call->reader);
		call->conn = NULL;
		conn_free(conn);
		call_connect(call);
		return;
	}
	call_complete(call, call_outcome_if_closed(call));
}

static int
callback_http_client(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	struct client_conn *conn = lws_get_opaque_user_data(wsi);

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_RAW_CONNECTED:
		if (conn == NULL)
			return -1;
		conn->connected = true;
		conn->wsi = wsi;
		lws_callback_on_writable(wsi);
		return 0;
	case LWS_CALLBACK_RAW_RX:
		if (conn == NULL)
			return -1;
		conn_received(conn, in, len);
		return lws_get_opaque_user_data(wsi) == NULL ? -1 : 0;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return conn == NULL ? -1 : conn_writable(conn);
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
	case LWS_CALLBACK_WSI_DESTROY:
		lws_set_opaque_user_data(wsi, NULL);
		if (conn != NULL)
			conn_closed(conn);
		return 0;
	default:
		return 0;
	}
}

const struct lws_protocols http_client_protocol = {
    .name = "http-client",
    .callback = callback_http_client,
};

static bool
header_text_ok(const char *s)
{
	return strpbrk(s, "\r\n") == NULL;
}

static bool
has_host(const struct headers *h)
{
	return h != NULL && headers_get(h, "host") != NULL;
}

static int
call_serialise_head(struct http_call *call, const struct http_call_opts *opts)
{
	const struct headers *h = opts->headers;
	struct buf *b;
	size_t i;
	int ret = 0;

	b = call->head = buf_new(512);
	if (b == NULL)
		return -1;
	ret |= buf_printf(b, "%s %s HTTP/1.1\r\n", opts->method, opts->path);
	if (!has_host(h))
		ret |= buf_printf(b, "host: %s:%d\r\n", opts->addr, opts->port);
	for (i = 0; h != NULL && i < h->count; i++) {
		if (header_text_ok(h->list[i].value))
			ret |= buf_printf(
			    b, "%s: %s\r\n", h->list[i].name, h->list[i].value);
	}
	if (opts->pool == NULL)
		ret |= buf_printf(b, "connection: close\r\n");
	if (call->body != NULL)
		ret |=
		    buf_printf(b, "content-length: %zu\r\n", call->body->len);
	else if (strcmp(call->method, "GET") != 0 &&
	    strcmp(call->method, "HEAD") != 0)
		ret |= buf_printf(b, "content-length: 0\r\n");
	ret |= buf_printf(b, "\r\n");
	/* one write and one wake-up on either side, if both fit */
	if (call->body != NULL && b->len + call->body->len <= WRITE_BYTES) {
		ret |= buf_append(b, call->body->data, call->body->len);
		buf_unref(call->body);
		call->body = NULL;
	}
	return ret;
}

static struct http_call *
call_new(const struct http_call_opts *opts)
{
	const struct answer_reader_opts reader = {
	    .keep = opts->keep_headers,
	    .max_bytes = opts->answer_body_max_bytes,
	    .bodyless = strcmp(opts->method, "HEAD") == 0,
	    .strings = opts->answer_strings,
	};
	struct http_call *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return NULL;
	call->context = opts->context;
	call->pool = opts->pool;
	call->idempotent = opts->idempotent;
	call->reset_on_abort = opts->reset_on_abort;
	snprintf(call->addr, sizeof(call->addr), "%s", opts->addr);
	call->port = opts->port;
	snprintf(call->method, sizeof(call->method), "%s", opts->method);
	if (opts->body != NULL && opts->body->len > 0)
		call->body = buf_ref(opts->body);
	call->timeout_ms = opts->timeout_ms;
	call->connect_limited = opts->connect_timeout_ms > 0 &&
	    opts->connect_timeout_ms < opts->timeout_ms;
	call->on_sent = opts->on_sent;
	call->on_done = opts->on_done;
	call->arg = opts->arg;
	call->reader = answer_reader_new(&reader);
	if (call->reader == NULL || call_serialise_head(call, opts) != 0) {
		call_free(call);
		return NULL;
	}
	return call;
}

static struct client_conn *
conn_new(struct http_call *call)
{
	struct client_conn *conn;

	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return NULL;
	snprintf(conn->addr, sizeof(conn->addr), "%s", call->addr);
	conn->port = call->port;
	conn->pool = call->pool;
	if (conn->pool != NULL) {
		conn->pool->ref_count++;
		conn->pool->connect_count++;
	}
	return conn;
}

/* Opens a new connection for the call. */
static void
call_connect(struct http_call *call)
{
	struct lws_client_connect_info ci;
	struct client_conn *conn;

	conn = conn_new(call);
	if (conn == NULL) {
		call_complete(call, call_outcome_if_closed(call));
		return;
	}
	conn->call = call;
	call->conn = conn;
	memset(&ci, 0, sizeof(ci));
	ci.context = call->context;
	ci.address = call->addr;
	ci.port = call->port;
	ci.path = "/";
	ci.host = call->addr;
	ci.method = "RAW";
	ci.local_protocol_name = http_client_protocol.name;
	ci.opaque_user_data = conn;
	ci.pwsi = &conn->wsi;
	/*
	 * If the connect fails at once, conn_closed() may or may not have been
	 * called.
	 */
	if (lws_client_connect_via_info(&ci) == NULL && call->conn == conn &&
	    !call->done) {
		conn->wsi = NULL;
		call_complete(call, call_outcome_if_closed(call));
	}
}

static void
call_start(struct http_call *call)
{
	struct client_conn *conn = NULL;

	if (call->pool != NULL)
		conn = pool_take(call->pool, call->addr, call->port);
	if (conn == NULL) {
		call_connect(call);
		return;
	}
	conn->call = call;
	call->conn = conn;
	lws_callback_on_writable(conn->wsi);
}

struct http_call *
http_call_start(const struct http_call_opts *opts, struct err *e)
{
	struct http_call *call;

	if (strlen(opts->path) > HEADERS_MAX_BYTES ||
	    !header_text_ok(opts->path)) {
		err_set(e, ERR_LIMIT, 0, "use a shorter path",
		    "request path longer than %d bytes", HEADERS_MAX_BYTES);
		return NULL;
	}
	call = call_new(opts);
	if (call == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for an HTTP call");
		return NULL;
	}
	http_call_set_timeout(call,
	    call->connect_limited ? opts->connect_timeout_ms
				  : opts->timeout_ms);
	call_start(call);
	return call;
}

void
http_call_set_timeout(struct http_call *call, int timeout_ms)
{
	if (!call->done)
		lws_sul_schedule(call->context, 0, &call->timeout_timer,
		    call_timed_out, timeout_ms * US_PER_MS);
}

void
http_call_cancel(struct http_call *call)
{
	call_release_conn(call);
	call_free(call);
}
