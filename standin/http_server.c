#include "http_server.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_HEADERS_BYTES 2048
#define FDS_MAX 1024

struct http_server {
	struct http_server_opts opts;
	struct lws_context *context;
	struct http_server_traffic traffic;
	int connections;
};

struct session {
	struct exchange *exchange;
};

static volatile sig_atomic_t stop_requested;

static void
exchange_free(struct exchange *x)
{
	if (x == NULL)
		return;
	lws_sul_cancel(&x->sul);
	if (x->dispatched && x->server->opts.on_end != NULL)
		x->server->opts.on_end(x->server->opts.arg, x);
	headers_uninit(&x->headers);
	headers_uninit(&x->answer_headers);
	buf_unref(x->body);
	buf_unref(x->answer);
	free(x);
}

static void
exchange_read_query(struct exchange *x)
{
	char part[EXCHANGE_PATH_BYTES];
	size_t used = 0;
	int i, n;

	for (i = 0;; i++) {
		n = lws_hdr_copy_fragment(
		    x->wsi, part, sizeof(part), WSI_TOKEN_HTTP_URI_ARGS, i);
		if (n < 0 || used + (size_t)n + 2 > sizeof(x->query))
			return;
		used += (size_t)snprintf(x->query + used,
		    sizeof(x->query) - used, "%s%s", i ? "&" : "", part);
	}
}

/* Headers that lws has a token for are not among its custom ones. */
static void
exchange_keep_header(struct exchange *x, const char *name)
{
	char key[NAME_BYTES + 2], value[512];
	int n;

	n = snprintf(key, sizeof(key), "%s:", name);
	if (strcmp(name, "content-type") == 0)
		n = lws_hdr_copy(
		    x->wsi, value, sizeof(value), WSI_TOKEN_HTTP_CONTENT_TYPE);
	else
		n = lws_hdr_custom_copy(x->wsi, value, sizeof(value), key, n);
	if (n > 0)
		headers_add(&x->headers, name, value);
}

/* Bytes of a request's head, its known headers written as "Name: value". */
static uint64_t
request_head_bytes(struct lws *wsi, const struct exchange *x)
{
	uint64_t n = strlen(x->method) + strlen("  HTTP/1.1\r\n\r\n");
	const unsigned char *name;
	int i, len;

	n += strlen(x->path) + strlen(x->query) + (x->query[0] != '\0');
	for (i = 0; i < WSI_TOKEN_COUNT; i++) {
		len = lws_hdr_total_length(wsi, (enum lws_token_indexes)i);
		name = lws_token_to_string((enum lws_token_indexes)i);
		if (len <= 0 || name == NULL || name[0] == '\0' ||
		    name[strlen((const char *)name) - 1] != ':')
			continue;
		n += strlen((const char *)name) + 1 + (uint64_t)len + 2;
	}
	return n;
}

static struct exchange *
exchange_new(struct http_server *s, struct lws *wsi)
{
	static const char *const methods[] = {"GET", "POST", "OPTIONS", "PUT",
	    "PATCH", "DELETE", "CONNECT", "HEAD"};
	struct exchange *x;
	char *uri;
	int i, len, method;

	x = calloc(1, sizeof(*x));
	if (x == NULL)
		return NULL;
	x->server = s;
	x->wsi = wsi;
	x->port = lws_get_vhost_port(lws_get_vhost(wsi));
	x->body = buf_new(0);
	method = lws_http_get_uri_and_method(wsi, &uri, &len);
	if (method < 0 || method > LWSHUMETH_HEAD || x->body == NULL) {
		exchange_free(x);
		return NULL;
	}
	snprintf(x->method, sizeof(x->method), "%s", methods[method]);
	snprintf(x->path, sizeof(x->path), "%.*s", len, uri);
	exchange_read_query(x);
	for (i = 0; s->opts.keep_headers && s->opts.keep_headers[i]; i++)
		exchange_keep_header(x, s->opts.keep_headers[i]);
	s->traffic.requests++;
	s->traffic.bytes_in += request_head_bytes(wsi, x);
	return x;
}

static void
exchange_dispatch(struct exchange *x)
{
	if (x->dispatched)
		return;
	x->dispatched = true;
	x->server->traffic.bytes_in += x->body->len;
	if (x->body->len > x->server->opts.body_max) {
		exchange_answer(x, 413, NULL);
		return;
	}
	x->server->opts.on_request(x->server->opts.arg, x);
}

/* True where no body follows the request's headers. */
static bool
exchange_bodyless(struct lws *wsi)
{
	char length[32];

	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
		return false;
	if (lws_hdr_copy(wsi, length, sizeof(length),
		WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
		return true;
	return strtoll(length, NULL, 10) == 0;
}

/* Writes an answer's head to "*p"; it ends there. */
static int
exchange_head(struct exchange *x, unsigned char **p, unsigned char *end)
{
	char name[NAME_BYTES + 2];
	size_t i;

	if (lws_add_http_header_status(x->wsi,
		(unsigned)x->status | LWSAHH_FLAG_NO_SERVER_NAME, p, end))
		return -1;
	for (i = 0; i < x->answer_headers.count; i++) {
		snprintf(
		    name, sizeof(name), "%s:", x->answer_headers.list[i].name);
		if (lws_add_http_header_by_name(x->wsi,
			(const unsigned char *)name,
			(const unsigned char *)x->answer_headers.list[i].value,
			(int)strlen(x->answer_headers.list[i].value), p, end))
			return -1;
	}
	if (lws_add_http_header_content_length(
		x->wsi, x->answer->len, p, end) ||
	    lws_finalize_http_header(x->wsi, p, end))
		return -1;
	return 0;
}

/*
 * Returns 1 when the whole answer is written, 0 when more is to come.  Head and
 * body go in one write: a client that has the whole answer may ask again, and
 * the library serves nobody else while that waits behind an unfinished answer.
 */
static int
exchange_write(struct exchange *x)
{
	unsigned char *start, *p;
	struct buf *area;
	size_t len;
	int n;

	if (x->drop)
		return -1;
	if (!x->answered)
		return 0;
	len = x->truncate ? x->answer->len / 2 : x->answer->len;
	area = buf_new(LWS_PRE + ANSWER_HEADERS_BYTES + len);
	if (area == NULL)
		return -1;
	start = p = area->data + LWS_PRE;
	n = exchange_head(x, &p, start + ANSWER_HEADERS_BYTES);
	if (n == 0) {
		x->server->traffic.bytes_out +=
		    (uint64_t)lws_ptr_diff(p, start) + x->answer->len;
		if (len > 0)
			memcpy(p, x->answer->data, len);
		n = lws_write(x->wsi, start,
		    (size_t)lws_ptr_diff(p, start) + len, LWS_WRITE_HTTP);
	}
	buf_unref(area);
	if (n < 0)
		return -1;
	if (!x->truncate)
		return 1;
	x->drop = true;
	lws_callback_on_writable(x->wsi);
	return 0;
}

static int
server_writable(struct session *session, struct lws *wsi)
{
	struct exchange *x = session->exchange;
	int n;

	if (x == NULL)
		return 0;
	n = exchange_write(x);
	if (n <= 0)
		return n;
	session->exchange = NULL;
	exchange_free(x);
	return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int
server_request(struct http_server *s, struct session *session, struct lws *wsi)
{
	exchange_free(session->exchange);
	session->exchange = exchange_new(s, wsi);
	if (session->exchange == NULL)
		return -1;
	if (exchange_bodyless(wsi))
		exchange_dispatch(session->exchange);
	return 0;
}

static int
server_body(struct exchange *x, const void *data, size_t len)
{
	if (x == NULL || x->body->len > x->server->opts.body_max)
		return 0;
	return buf_append(x->body, data, len);
}

/*
 * The library says so again, without a pause, when bytes of a next request wait
 * behind one that is not answered: such a connection is closed.
 */
static int
server_body_end(struct exchange *x)
{
	if (x == NULL)
		return 0;
	if (x->body_ended)
		return -1;
	x->body_ended = true;
	exchange_dispatch(x);
	return 0;
}

static int
server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	struct http_server *s = lws_context_user(lws_get_context(wsi));
	struct session *session = user;

	switch (reason) {
	case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
		return s->connections >= s->opts.connections_max;
	case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
		s->connections++;
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		s->connections--;
		return 0;
	case LWS_CALLBACK_HTTP:
		return server_request(s, session, wsi);
	case LWS_CALLBACK_HTTP_BODY:
		return server_body(session->exchange, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		return server_body_end(session->exchange);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return server_writable(session, wsi);
	case LWS_CALLBACK_CLOSED_HTTP:
		if (session != NULL) {
			exchange_free(session->exchange);
			session->exchange = NULL;
		}
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static const struct lws_protocols protocols[] = {
    {"http", server_callback, sizeof(struct session), 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

static void
on_signal(int number)
{
	(void)number;
	stop_requested = 1;
}

struct http_server *
http_server_new(const struct http_server_opts *opts)
{
	struct lws_context_creation_info info;
	struct http_server *s;
	const int *port;
	char name[16];

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->opts = *opts;
	lws_set_log_level(LLL_ERR, NULL);
	memset(&info, 0, sizeof(info));
	info.iface = opts->addr;
	info.port = opts->port;
	info.protocols = protocols;
	info.user = s;
	info.fd_limit_per_thread = FDS_MAX;
	info.max_http_header_data2 = HEADERS_MAX_BYTES;
	info.keepalive_timeout = 60;
	info.timeout_secs = 60;
	info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
	s->context = lws_create_context(&info);
	if (s->context == NULL) {
		free(s);
		return NULL;
	}
	for (port = opts->more_ports; port != NULL && *port != 0; port++) {
		snprintf(name, sizeof(name), "port-%d", *port);
		info.vhost_name = name;
		info.port = *port;
		if (lws_create_vhost(s->context, &info) == NULL) {
			http_server_free(s);
			return NULL;
		}
	}
	return s;
}

void
http_server_free(struct http_server *s)
{
	if (s == NULL)
		return;
	lws_context_destroy(s->context);
	free(s);
}

const struct http_server_traffic *
http_server_traffic(const struct http_server *s)
{
	return &s->traffic;
}

struct lws_context *
http_server_context(struct http_server *s)
{
	return s->context;
}

int
http_server_run(struct http_server *s)
{
	struct sigaction action;
	int n = 0;

	memset(&action, 0, sizeof(action));
	action.sa_handler = on_signal;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	while (n >= 0 && !stop_requested)
		n = lws_service(s->context, 0);
	return n < 0 && !stop_requested;
}

static const char *
exchange_arg(const struct exchange *x, const char *name, size_t *len)
{
	const char *p = x->query;
	size_t n = strlen(name);

	while (*p != '\0') {
		*len = strcspn(p, "&");
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			*len -= n + 1;
			return p + n + 1;
		}
		p += *len;
		p += *p == '&';
	}
	return NULL;
}

int64_t
exchange_int(const struct exchange *x, const char *name, int64_t missing)
{
	const char *p;
	size_t len;

	p = exchange_arg(x, name, &len);
	return p == NULL || len == 0 ? missing : strtoll(p, NULL, 10);
}

bool
exchange_str(const struct exchange *x, const char *name, char *out, size_t size)
{
	const char *p;
	size_t len;

	p = exchange_arg(x, name, &len);
	if (p == NULL || len >= size)
		return false;
	memcpy(out, p, len);
	out[len] = '\0';
	return true;
}

void
exchange_header(struct exchange *x, const char *name, const char *value)
{
	headers_add(&x->answer_headers, name, value);
}

void
exchange_answer(struct exchange *x, int status, struct buf *body)
{
	if (x->answered || x->drop) {
		buf_unref(body);
		return;
	}
	x->answered = true;
	x->status = status;
	x->answer = body != NULL ? body : buf_new(0);
	lws_callback_on_writable(x->wsi);
}

static void
exchange_due(lws_sorted_usec_list_t *sul)
{
	struct exchange *x = lws_container_of(sul, struct exchange, sul);

	x->answered = true;
	lws_callback_on_writable(x->wsi);
}

void
exchange_answer_later(
    struct exchange *x, int status, struct buf *body, int delay_ms)
{
	if (delay_ms <= 0) {
		exchange_answer(x, status, body);
		return;
	}
	x->status = status;
	x->answer = body != NULL ? body : buf_new(0);
	lws_sul_schedule(x->server->context, 0, &x->sul, exchange_due,
	    (lws_usec_t)delay_ms * US_PER_MS);
}

void
exchange_json(
    struct exchange *x, int status, struct json_object *object, int delay_ms)
{
	const char *s;

	s = json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
	exchange_header(x, "content-type", "application/json");
	exchange_answer_later(x, status, buf_from(s, strlen(s)), delay_ms);
	json_object_put(object);
}

void
exchange_drop(struct exchange *x)
{
	x->drop = true;
	lws_callback_on_writable(x->wsi);
}

struct json_object *
exchange_body_json(const struct exchange *x)
{
	struct json_tokener *tok;
	struct json_object *object;

	tok = json_tokener_new();
	if (tok == NULL)
		return NULL;
	object = json_tokener_parse_ex(
	    tok, (const char *)x->body->data, (int)x->body->len);
	if (json_tokener_get_error(tok) != json_tokener_success) {
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tok);
	return object;
}

const char *
exchange_text(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v)
						     : "";
}
