#include "peer_link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "metric.h"
#include "peer_link_state.h"
#include "wire.h"

#define QUEUE_MAX_BYTES (8 * 1024 * 1024) /* send queue of one link */
#define WRITE_BYTES 65536 /* largest single write to a connection */
#define UNACKED_TIMEOUT_MS 10000 /* sent bytes that stay unacknowledged */
#define HELLO_TIMEOUT_S 5
#define UNIDENTIFIED_MAX 64 /* accepted connections without a HELLO */

struct peer_link *
peer_links_find(struct peer_links *ls, uint64_t peer)
{
	struct peer_link *l;

	TAILQ_FOREACH(l, &ls->links, entries) {
		if (l->state == LINK_UP && l->peer_id == peer)
			return l;
	}
	return NULL;
}

struct peer_link *
peer_link_new(struct peer_links *ls, struct lws *wsi, struct peer_target *t)
{
	struct peer_link *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return NULL;
	l->peer_links = ls;
	l->wsi = wsi;
	l->dial_target = t;
	l->state = LINK_CONNECTING;
	frame_reader_init(&l->reader);
	TAILQ_INSERT_TAIL(&ls->links, l, entries);
	return l;
}

void
peer_link_free(struct peer_link *l)
{
	TAILQ_REMOVE(&l->peer_links->links, l, entries);
	if (l->dial_target != NULL) {
		l->dial_target->dialled_link = NULL;
		peer_target_schedule(
		    l->dial_target, l->dial_target->back_off_ms);
	}
	frame_reader_uninit(&l->reader);
	buf_unref(l->out);
	free(l);
}

static void
link_queue_frame(struct peer_link *l, const struct frame *f)
{
	struct buf *b = frame_encode(f);

	if (b == NULL)
		return;
	if (l->out == NULL)
		l->out = buf_new(b->len);
	if (l->out == NULL || buf_append(l->out, b->data, b->len) == -1 ||
	    l->out->len - l->out_sent_bytes > QUEUE_MAX_BYTES) {
		l->peer_links->overflows++;
		daemon_log(LOG_LEVEL_WARN, "peer",
		    "msg=\"send queue full, closing link\" peer=%s", l->name);
		lws_set_timeout(
		    l->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	} else {
		l->peer_links->frames_out++;
		lws_callback_on_writable(l->wsi);
	}
	buf_unref(b);
}

static void
link_send(
    struct peer_link *l, unsigned kind, uint64_t request, struct buf *payload)
{
	struct frame f = {
	    .protocol = FRAME_PROTOCOL_VERSION,
	    .kind = kind,
	    .source = l->peer_links->shell->daemon_id,
	    .incarnation = l->peer_links->shell->incarnation,
	    .request_id = request,
	    .payload = payload,
	};

	link_queue_frame(l, &f);
}

static void
address_text(char *out, size_t size, const struct settings_addr *a)
{
	snprintf(out, size, strchr(a->addr, ':') ? "[%s]:%d" : "%s:%d", a->addr,
	    a->port);
}

static void
link_send_hello(struct peer_link *l)
{
	const struct settings *s = l->peer_links->shell->settings;
	struct wire_writer w;
	struct buf *b;
	char addr[ADDR_BYTES + 10];

	wire_writer_init(&w);
	wire_map(&w, 5);
	wire_str(&w, "name", s->name);
	wire_str(&w, "data_centre", s->data_centre);
	address_text(addr, sizeof(addr), &s->peer);
	wire_str(&w, "peer", addr);
	address_text(addr, sizeof(addr), &s->admin);
	wire_str(&w, "admin", addr);
	address_text(addr, sizeof(addr), &s->listen);
	wire_str(&w, "callers", addr);
	b = wire_writer_finish(&w);
	if (b != NULL)
		link_send(l, FRAME_HELLO, 0, b);
	buf_unref(b);
}

/*
 * Sets TCP_USER_TIMEOUT. Pings keep unacknowledged data in flight, so a
 * connection across a network partition ends soon and is dialled again, instead
 * of waiting for ever longer retransmission intervals.
 */
static void
link_set_user_timeout(struct lws *wsi)
{
	unsigned ms = UNACKED_TIMEOUT_MS;

	setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
	    sizeof(ms));
}

static void
link_opened(struct peer_link *l)
{
	l->state = LINK_AWAITING_HELLO;
	link_set_user_timeout(l->wsi);
	if (l->dial_target == NULL)
		l->peer_links->unidentified_count++;
	lws_set_timeout(l->wsi, PENDING_TIMEOUT_USER_OK, HELLO_TIMEOUT_S);
	link_send_hello(l);
}

static void
link_end_identification(struct peer_link *l)
{
	if (l->state == LINK_AWAITING_HELLO && l->dial_target == NULL)
		l->peer_links->unidentified_count--;
}

/* The connection has closed or could not be opened. */
static void
link_closed(struct peer_link *l)
{
	struct event ev = {.kind = EVENT_PEER_DOWN};
	struct shell *sh = l->peer_links->shell;
	bool was_up = l->state == LINK_UP && !l->peer_links->closing;

	link_end_identification(l);
	ev.u.peer_down.peer = l->peer_id;
	ev.u.peer_down.incarnation = l->incarnation;
	if (was_up)
		daemon_log(LOG_LEVEL_INFO, "peer", "msg=\"link down\" peer=%s",
		    l->name);
	if (l->wsi != NULL)
		lws_set_opaque_user_data(l->wsi, NULL);
	peer_link_free(l);
	if (was_up)
		shell_handle_event(sh, &ev);
}

void
peer_link_close(struct peer_link *l)
{
	struct lws *wsi = l->wsi;

	link_end_identification(l);
	l->state = LINK_CLOSED;
	if (wsi != NULL) {
		lws_set_opaque_user_data(wsi, NULL);
		lws_set_timeout(
		    wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
	peer_link_free(l);
}

static uint64_t
link_dialler(const struct peer_link *l)
{
	return l->dial_target != NULL ? l->peer_links->shell->daemon_id
				      : l->peer_id;
}

/*
 * Decides which of two links to a peer stays: the newer one if the peer has
 * restarted or one side dialled both, else the one dialled by the daemon with
 * the lower id. Both ends come to the same decision.
 */
static bool
link_supersedes(const struct peer_link *l, const struct peer_link *old)
{
	if (l->incarnation != old->incarnation)
		return true;
	return link_dialler(l) <= link_dialler(old);
}

/* Adds the peer's listening address; no seed or VM list may have it. */
static void
link_learn_address(struct peer_link *l, const msgpack_object *map)
{
	struct settings_addr a;
	char text[ADDR_BYTES + 10];

	if (wire_get_str(map, "peer", text, sizeof(text)) &&
	    settings_addr_parse(&a, text) == 0)
		peer_links_add_address(l->peer_links, a.addr, a.port);
}

/* Reads name and data centre. Returns -1 if the HELLO is not valid. */
static int
hello_read(struct peer_link *l, const struct frame *f, struct event *ev)
{
	struct wire_reader r;
	int ret = -1;

	if (wire_reader_init(&r, f->payload->data, f->payload->len, NULL) == -1)
		return -1;
	if (wire_get_str(r.root, "name", l->name, sizeof(l->name)) &&
	    wire_get_str(r.root, "data_centre", ev->u.peer_up.data_centre,
		sizeof(ev->u.peer_up.data_centre)) &&
	    daemon_id(l->name) == f->source) {
		link_learn_address(l, r.root);
		ret = 0;
	}
	wire_reader_uninit(&r);
	return ret;
}

/*
 * Closes the older link to a peer. Returns true if the peer's process is the
 * same, so that the reducer needs no event.
 */
static bool
link_replace(struct peer_link *old, uint64_t incarnation)
{
	struct event down = {.kind = EVENT_PEER_DOWN};
	struct shell *sh = old->peer_links->shell;

	down.u.peer_down.peer = old->peer_id;
	down.u.peer_down.incarnation = old->incarnation;
	peer_link_close(old);
	if (down.u.peer_down.incarnation == incarnation)
		return true;
	shell_handle_event(sh, &down);
	return false;
}

/* Returns nonzero if this link must be closed. */
static int
link_hello(struct peer_link *l, const struct frame *f)
{
	struct event ev = {.kind = EVENT_PEER_UP};
	struct peer_link *old;

	if (f->kind != FRAME_HELLO || hello_read(l, f, &ev) == -1) {
		daemon_log(LOG_LEVEL_WARN, "peer",
		    "msg=\"first frame is not a valid HELLO, closing "
		    "connection\" frame=%s",
		    frame_kind_name(f->kind));
		return -1;
	}
	l->peer_id = f->source;
	l->incarnation = f->incarnation;
	peer_target_identified(l);
	if (l->peer_id == l->peer_links->shell->daemon_id)
		return -1;
	old = peer_links_find(l->peer_links, l->peer_id);
	if (old != NULL && !link_supersedes(l, old))
		return -1;
	link_end_identification(l);
	l->state = LINK_UP;
	lws_set_timeout(l->wsi, NO_PENDING_TIMEOUT, 0);
	if (old != NULL && link_replace(old, l->incarnation))
		return 0;
	daemon_log(LOG_LEVEL_INFO, "peer",
	    "msg=\"link up\" peer=%s data_centre=%s dialled=%d", l->name,
	    ev.u.peer_up.data_centre, l->dial_target != NULL);
	ev.u.peer_up.peer = l->peer_id;
	ev.u.peer_up.incarnation = l->incarnation;
	memcpy(ev.u.peer_up.name, l->name, sizeof(ev.u.peer_up.name));
	shell_handle_event(l->peer_links->shell, &ev);
	return 0;
}

static int
on_frame(void *arg, const struct frame *f)
{
	struct peer_link *l = arg;
	struct event ev = {.kind = EVENT_PEER_FRAME};

	l->peer_links->frames_in++;
	if (l->state == LINK_AWAITING_HELLO)
		return link_hello(l, f);
	if (f->source != l->peer_id || f->incarnation != l->incarnation) {
		daemon_log(LOG_LEVEL_WARN, "peer",
		    "msg=\"frame from another sender, closing link\" peer=%s",
		    l->name);
		return -1;
	}
	if (f->kind == FRAME_HELLO)
		return 0;
	ev.u.peer_frame.frame = f;
	shell_handle_event(l->peer_links->shell, &ev);
	return 0;
}

static int
link_receive(struct peer_link *l, const void *data, size_t len)
{
	struct peer_links *ls = l->peer_links;
	struct err e;

	ls->bytes_in += len;
	err_clear(&e);
	if (frame_reader_feed(&l->reader, data, len, on_frame, l, &e) == 0)
		return 0;
	if (e.kind != ERR_NONE) {
		ls->malformed++;
		daemon_log(LOG_LEVEL_WARN, "peer",
		    "msg=\"cannot read frame, closing link\" peer=%s "
		    "error=\"%s\" remedy=\"%s\"",
		    l->name[0] != '\0' ? l->name : "unknown", e.message,
		    e.remedy);
	}
	return -1;
}

static int
link_write(struct peer_link *l)
{
	size_t n;

	if (l->out == NULL || l->out_sent_bytes == l->out->len)
		return 0;
	n = l->out->len - l->out_sent_bytes;
	if (n > WRITE_BYTES)
		n = WRITE_BYTES;
	if (lws_write(
		l->wsi, l->out->data + l->out_sent_bytes, n, LWS_WRITE_RAW) < 0)
		return -1;
	l->peer_links->bytes_out += n;
	l->out_sent_bytes += n;
	if (l->out_sent_bytes == l->out->len) {
		buf_unref(l->out);
		l->out = NULL;
		l->out_sent_bytes = 0;
		return 0;
	}
	lws_callback_on_writable(l->wsi);
	return 0;
}

static int
links_accept(struct peer_links *ls, struct lws *wsi)
{
	struct peer_link *l;

	if (ls->closing || ls->unidentified_count >= UNIDENTIFIED_MAX)
		return -1;
	l = peer_link_new(ls, wsi, NULL);
	if (l == NULL)
		return -1;
	lws_set_opaque_user_data(wsi, l);
	link_opened(l);
	return 0;
}

static int
callback_peer(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	struct peer_link *l = lws_get_opaque_user_data(wsi);

	switch (reason) {
	case LWS_CALLBACK_RAW_ADOPT:
		return links_accept(lws_get_protocol(wsi)->user, wsi);
	case LWS_CALLBACK_RAW_CONNECTED:
		if (l == NULL)
			return -1;
		link_opened(l);
		return 0;
	case LWS_CALLBACK_RAW_RX:
		return l == NULL ? -1 : link_receive(l, in, len);
	case LWS_CALLBACK_RAW_WRITEABLE:
		return l == NULL ? -1 : link_write(l);
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
		if (l != NULL)
			link_closed(l);
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static int
links_listen(struct peer_links *ls, struct err *e)
{
	const struct settings_addr *a = &ls->shell->settings->peer;
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	ls->protocols[0].name = "peer";
	ls->protocols[0].callback = callback_peer;
	ls->protocols[0].user = ls;
	info.vhost_name = "peer";
	info.iface = a->addr;
	info.port = a->port;
	info.protocols = ls->protocols;
	info.listen_accept_role = "raw-skt";
	info.listen_accept_protocol = "peer";
	info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
	    LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
	ls->vhost = lws_create_vhost(ls->shell->context, &info);
	if (ls->vhost == NULL)
		return err_set(e, ERR_IO, 0,
		    "choose a free port and an address of this machine",
		    "cannot listen on %s port %d (peer)", a->addr, a->port);
	return 0;
}

struct peer_links *
peer_links_new(struct shell *sh, struct err *e)
{
	struct peer_links *ls;
	size_t i;

	ls = calloc(1, sizeof(*ls));
	if (ls == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the peer links");
		return NULL;
	}
	ls->shell = sh;
	TAILQ_INIT(&ls->links);
	TAILQ_INIT(&ls->targets);
	if (links_listen(ls, e) == -1) {
		free(ls);
		return NULL;
	}
	for (i = 0; i < sh->settings->peer_count; i++)
		peer_links_add_seed(ls, &sh->settings->peers[i]);
	return ls;
}

void
peer_links_close(struct peer_links *ls)
{
	struct peer_link *l, *next;

	if (ls == NULL)
		return;
	ls->closing = true;
	for (l = TAILQ_FIRST(&ls->links); l != NULL; l = next) {
		next = TAILQ_NEXT(l, entries);
		if (l->wsi != NULL)
			lws_set_opaque_user_data(l->wsi, NULL);
		peer_link_free(l);
	}
}

void
peer_links_free(struct peer_links *ls)
{
	if (ls == NULL)
		return;
	peer_targets_free(ls);
	free(ls);
}

void
peer_links_send(struct peer_links *ls, const struct effect *x)
{
	struct peer_link *l = peer_links_find(ls, x->u.peer_send.peer);

	if (l == NULL) {
		ls->frames_dropped++;
		return;
	}
	link_send(l, x->u.peer_send.kind, x->u.peer_send.request,
	    x->u.peer_send.payload);
}

size_t
peer_links_unsent_bytes(const struct peer_links *ls)
{
	const struct peer_link *l;
	size_t n = 0;

	TAILQ_FOREACH(l, &ls->links, entries) {
		if (l->state == LINK_UP && l->out != NULL)
			n += l->out->len - l->out_sent_bytes;
	}
	return n;
}

void
peer_links_metrics(const struct peer_links *ls, struct buf *out)
{
	const struct peer_link *l;
	int64_t up = 0;

	TAILQ_FOREACH(l, &ls->links, entries)
		up += l->state == LINK_UP;
	metric_gauge(out, "peer_links_up", "Links to other daemons", "", up);
	metric_counter(out, "peer_frames_received_total", "Frames from peers",
	    "", ls->frames_in);
	metric_counter(out, "peer_frames_sent_total", "Frames to peers", "",
	    ls->frames_out);
	metric_counter(out, "peer_bytes_received_total", "Bytes from peers", "",
	    ls->bytes_in);
	metric_counter(
	    out, "peer_bytes_sent_total", "Bytes to peers", "", ls->bytes_out);
	metric_counter(out, "peer_frames_dropped_total",
	    "Frames for peers without a link", "", ls->frames_dropped);
	metric_counter(out, "peer_bad_connections_total",
	    "Connections ended for a broken frame", "", ls->malformed);
	metric_counter(out, "peer_queue_overflows_total",
	    "Links ended because their send queue was full", "", ls->overflows);
}
