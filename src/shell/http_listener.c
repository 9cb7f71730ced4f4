#include "http_listener.h"

#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "bounds.h"
#include "http_conn.h"
#include "http_head.h"

#define KEEPALIVE_S 60
#define HEADERS_TIMEOUT_S 10 /* for the headers of a request */
/*
 * Connections accepted above the limit to answer them with a 429: 1/16 of the
 * limit plus 1, at most EXTRA_CONNECTIONS_MAX.
 */
#define EXTRA_CONNECTIONS_MAX 64
#define EXTRA_CONNECTIONS_DIVISOR 16

/*
 * True if the connection timed out in the middle of the headers: a part of them
 * is still stored.
 */
static bool
headers_pending(struct lws *wsi)
{
	static const enum lws_token_indexes uris[] = {WSI_TOKEN_GET_URI,
	    WSI_TOKEN_POST_URI, WSI_TOKEN_OPTIONS_URI, WSI_TOKEN_PATCH_URI,
	    WSI_TOKEN_PUT_URI, WSI_TOKEN_DELETE_URI, WSI_TOKEN_HEAD_URI};
	size_t i;

	for (i = 0; i < sizeof(uris) / sizeof(uris[0]); i++) {
		if (lws_hdr_total_length(wsi, uris[i]) > 0)
			return true;
	}
	return false;
}

/*
 * Writes a refusal directly to the socket. libwebsockets is about to close the
 * connection without an answer; the socket is still open.
 */
static void
listener_send_refusal(
    const struct http_listener *l, struct lws *wsi, int status)
{
	int fd = lws_get_socket_fd(wsi);
	struct buf *b;
	char byte;

	if (fd < 0 || recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
		return;
	b = buf_new(512);
	if (b == NULL)
		return;
	if (buf_printf(b,
		"HTTP/1.1 %d %s\r\n%scontent-length: 0\r\n"
		"connection: close\r\n\r\n",
		status, http_status_phrase(status), l->opts.refusal_lines) == 0)
		send(fd, b->data, b->len, MSG_NOSIGNAL | MSG_DONTWAIT);
	buf_unref(b);
}

/*
 * The connection closes before its first request: headers too slow (408) or too
 * large (431).
 */
static void
listener_closed_early(const struct http_listener *l, struct lws *wsi)
{
	listener_send_refusal(l, wsi, headers_pending(wsi) ? 408 : 431);
}

/* Returns nonzero if a new connection is to be closed without an answer. */
static int
listener_reject_connection(const struct http_listener *l)
{
	size_t max = (size_t)l->opts.connections_max;
	size_t extra = max / EXTRA_CONNECTIONS_DIVISOR + 1;

	if (extra > EXTRA_CONNECTIONS_MAX)
		extra = EXTRA_CONNECTIONS_MAX;
	return max > 0 && l->connection_count >= max + extra;
}

static void
listener_connected(struct http_listener *l, struct lws *wsi)
{
	lws_set_opaque_user_data(wsi, l);
	l->connection_count++;
}

static void
listener_destroyed(struct lws *wsi)
{
	struct http_listener *l = lws_get_opaque_user_data(wsi);

	if (l != NULL)
		l->connection_count--;
	lws_set_opaque_user_data(wsi, NULL);
}

static int
callback_request(struct lws *wsi, enum lws_callback_reasons reason,
    struct http_conn *c, void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_HTTP:
		c->listener = lws_get_protocol(wsi)->user;
		c->wsi = wsi;
		return http_conn_request_head(c, in);
	case LWS_CALLBACK_HTTP_BODY:
		return http_conn_body(c, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		return http_conn_body_complete(c);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return c->listener == NULL ? 0 : http_conn_writable(c);
	default:
		return 0;
	}
}

static int
callback_listener(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	const struct lws_protocols *protocol = lws_get_protocol(wsi);
	struct http_listener *l = protocol != NULL ? protocol->user : NULL;

	if (l == NULL) /* libwebsockets' own events before any connection */
		return 0;
	switch (reason) {
	case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
		l->listen_fd = lws_get_socket_fd(wsi);
		return listener_reject_connection(l);
	case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
		listener_connected(l, wsi);
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		listener_destroyed(wsi);
		return 0;
	case LWS_CALLBACK_HTTP:
	case LWS_CALLBACK_HTTP_BODY:
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return callback_request(wsi, reason, user, in, len);
	case LWS_CALLBACK_CLOSED_HTTP:
		if (user != NULL &&
		    ((struct http_conn *)user)->listener != NULL)
			http_conn_closed(user);
		else
			listener_closed_early(l, wsi);
		return 0;
	case LWS_CALLBACK_RAW_RX: /* not recognised as HTTP by libwebsockets */
	case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE: /* only HTTP/1.1 is supported */
		listener_send_refusal(l, wsi, 400);
		return -1;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static int
listener_open(struct http_listener *l, struct err *e)
{
	const struct http_listener_opts *o = &l->opts;
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	l->protocols[0].name = o->name;
	l->protocols[0].callback = callback_listener;
	l->protocols[0].per_session_data_size = sizeof(struct http_conn);
	l->protocols[0].user = l;
	info.vhost_name = o->name;
	info.iface = o->addr;
	info.port = o->port;
	info.protocols = l->protocols;
	info.keepalive_timeout = KEEPALIVE_S;
	info.timeout_secs_ah_idle = HEADERS_TIMEOUT_S;
	info.listen_accept_role = "raw-skt";
	info.listen_accept_protocol = o->name;
	info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
	    /* bind a numeric IPv4 address to an IPv4 socket */
	    (strchr(o->addr, ':') == NULL ? LWS_SERVER_OPTION_DISABLE_IPV6
					  : 0) |
	    LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
	l->vhost = lws_create_vhost(o->context, &info);
	if (l->vhost == NULL)
		return err_set(e, ERR_IO, 0,
		    "choose a free port and an address of this machine",
		    "cannot listen on %s port %d (%s)", o->addr, o->port,
		    o->name);
	return 0;
}

struct http_listener *
http_listener_new(const struct http_listener_opts *opts, struct err *e)
{
	struct http_listener *l;
	size_t i;

	l = calloc(1, sizeof(*l));
	if (l == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for a listener");
		return NULL;
	}
	l->opts = *opts;
	l->listen_fd = -1;
	for (i = 0; i < opts->header_count; i++) {
		if (l->header_count == LISTENER_HEADERS_MAX ||
		    header_name_init(
			&l->headers[l->header_count], opts->headers[i]) == -1)
			continue;
		l->headers[l->header_count].checked =
		    opts->checked_header != NULL &&
		    strcmp(opts->headers[i], opts->checked_header) == 0;
		l->header_count++;
	}
	if (listener_open(l, e) == -1) {
		free(l);
		return NULL;
	}
	return l;
}

void
http_listener_free(struct http_listener *l)
{
	free(l);
}

void
http_listener_set_extra_header(struct http_listener *l, const char *name)
{
	size_t len = strlen(name);

	if (l->has_extra_header &&
	    (size_t)l->headers[l->header_count].len == len + 1 &&
	    strncmp(l->headers[l->header_count].text, name, len) == 0)
		return;
	l->has_extra_header = len > 0 &&
	    header_name_init(&l->headers[l->header_count], name) == 0;
}

void
http_listener_answer(
    struct http_listener *l, uint64_t id, const struct http_reply *reply)
{
	struct http_conn *c;

	HASH_FIND(hh, l->awaiting_answer, &id, sizeof(id), c);
	if (c == NULL)
		return;
	http_conn_answer(c, reply);
}

bool
http_listener_remote_addr(
    struct http_listener *l, uint64_t id, char *out, size_t size)
{
	struct sockaddr_storage sa;
	socklen_t len = sizeof(sa);
	struct http_conn *c;

	HASH_FIND(hh, l->awaiting_answer, &id, sizeof(id), c);
	return c != NULL &&
	    getpeername(
		lws_get_socket_fd(c->wsi), (struct sockaddr *)&sa, &len) == 0 &&
	    getnameinfo((struct sockaddr *)&sa, len, out, (socklen_t)size, NULL,
		0, NI_NUMERICHOST) == 0;
}

size_t
http_listener_busy_count(const struct http_listener *l)
{
	return l->busy_count;
}

size_t
http_listener_connection_count(const struct http_listener *l)
{
	return l->connection_count;
}

void
http_listener_close_after_answers(struct http_listener *l)
{
	l->close_after_answers = true;
}

void
http_listener_stop_listening(struct http_listener *l)
{
	if (l->listen_fd != -1)
		shutdown(l->listen_fd, SHUT_RD);
}

void
http_listener_check_disconnected(struct http_listener *l, bool all)
{
	struct http_conn *c, *next;
	char byte;

	if (!l->any_reading_paused && !all)
		return;
	l->any_reading_paused = false;
	HASH_ITER(hh, l->awaiting_answer, c, next)
	{
		if (!c->reading_paused && !all)
			continue;
		l->any_reading_paused |= c->reading_paused;
		if (recv(lws_get_socket_fd(c->wsi), &byte, 1,
			MSG_PEEK | MSG_DONTWAIT) == 0)
			lws_set_timeout(
			    c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
}
