#include "soak_proxy.h"

#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proc.h"

#define TICK_MS 2
#define PIECE_BYTES 16384
#define HELD_MAX_BYTES 1048576 /* more is left in the sender's socket */
#define DRIP_BYTES 40 /* each tick */
#define FDS_MAX 4096

struct piece {
	int64_t due_ms;
	size_t len, sent;
	STAILQ_ENTRY(piece) entries;
	char data[];
};

/* One direction: read from "in", written to the other side's socket. */
struct way {
	int in, out;
	bool read_ended, write_ended;
	size_t held;
	STAILQ_HEAD(pieces, piece) pieces;
};

struct pair {
	struct link *link;
	struct way there, back;
	bool gone;
	LIST_ENTRY(pair) entries;
};

struct link {
	int listener, target_port;
	atomic_int fault, delay_ms;
};

struct soak_proxy {
	struct link links[SOAK_LINKS_MAX];
	int link_count;
	LIST_HEAD(pairs, pair) pairs;
	pthread_t thread;
	atomic_bool stop;
};

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	return sin;
}

int
soak_proxy_link(struct soak_proxy *p, int target_port)
{
	struct link *l = &p->links[p->link_count];
	int port = free_port(), on = 1;
	struct sockaddr_in sin = loopback(port);

	if (p->link_count == SOAK_LINKS_MAX)
		errx(1, "too many links");
	l->target_port = target_port;
	l->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(l->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->listener, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(l->listener, 128) == -1)
		err(1, "the proxy cannot listen on port %d", port);
	p->link_count++;
	return port;
}

static void
way_init(struct way *w, int in, int out)
{
	w->in = in;
	w->out = out;
	STAILQ_INIT(&w->pieces);
}

static void
way_clear(struct way *w)
{
	struct piece *c;

	while ((c = STAILQ_FIRST(&w->pieces)) != NULL) {
		STAILQ_REMOVE_HEAD(&w->pieces, entries);
		free(c);
	}
	w->held = 0;
}

static void
pair_close(struct pair *a, bool reset)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (a->gone)
		return;
	if (reset) {
		setsockopt(
		    a->there.in, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		setsockopt(
		    a->back.in, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}
	close(a->there.in);
	close(a->back.in);
	way_clear(&a->there);
	way_clear(&a->back);
	a->gone = true;
}

static void
accept_all(struct soak_proxy *p, struct link *l)
{
	struct sockaddr_in sin = loopback(l->target_port);
	struct pair *a;
	int in, out;

	while ((in = accept4(l->listener, NULL, NULL,
		    SOCK_CLOEXEC | SOCK_NONBLOCK)) != -1) {
		out = socket(
		    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		if (out == -1 ||
		    (connect(out, (struct sockaddr *)&sin, sizeof(sin)) == -1 &&
			errno != EINPROGRESS)) {
			close(in);
			if (out != -1)
				close(out);
			continue;
		}
		a = calloc(1, sizeof(*a));
		a->link = l;
		way_init(&a->there, in, out);
		way_init(&a->back, out, in);
		LIST_INSERT_HEAD(&p->pairs, a, entries);
	}
}

static void
way_keep(struct way *w, const char *data, size_t len, int64_t due_ms)
{
	struct piece *c = malloc(sizeof(*c) + len);

	c->due_ms = due_ms;
	c->len = len;
	c->sent = 0;
	memcpy(c->data, data, len);
	w->held += len;
	STAILQ_INSERT_TAIL(&w->pieces, c, entries);
}

static bool
begins_request(const char *data, size_t len)
{
	return (len > 4 && memcmp(data, "GET ", 4) == 0) ||
	    (len > 5 && memcmp(data, "POST ", 5) == 0);
}

static void
pair_read(struct pair *a, bool there)
{
	static const char busy[] =
	    "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n";
	struct way *w = there ? &a->there : &a->back;
	int fault = a->link->fault;
	char data[PIECE_BYTES];
	int64_t due;
	ssize_t n;

	while (!w->read_ended && w->held < HELD_MAX_BYTES) {
		n = recv(w->in, data, sizeof(data), 0);
		if (n == -1 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			w->read_ended = true;
			return;
		}
		due =
		    clock_ms() + (fault == LINK_DELAY ? a->link->delay_ms : 0);
		if (fault == LINK_REJECT && there) {
			if (begins_request(data, (size_t)n))
				way_keep(&a->back, busy, sizeof(busy) - 1, due);
		} else if (fault == LINK_DROP && !there) {
			pair_close(a, true);
			return;
		} else
			way_keep(w, data, (size_t)n, due);
	}
}

static bool
is_cut(int fault, bool there)
{
	return fault == LINK_SILENT ||
	    fault == (there ? LINK_CUT_THERE : LINK_CUT_BACK);
}

static void
pair_write(struct pair *a, bool there)
{
	struct way *w = there ? &a->there : &a->back;
	int fault = a->link->fault;
	struct piece *c;
	size_t len;
	ssize_t n;

	if (is_cut(fault, there))
		return;
	while (
	    (c = STAILQ_FIRST(&w->pieces)) != NULL && c->due_ms <= clock_ms()) {
		len = c->len - c->sent;
		if (fault == LINK_DRIP && len > DRIP_BYTES)
			len = DRIP_BYTES;
		n = send(w->out, c->data + c->sent, len, MSG_NOSIGNAL);
		if (n == -1 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n == -1) { /* nobody reads it any more */
			w->read_ended = true;
			way_clear(w);
			break;
		}
		c->sent += (size_t)n;
		w->held -= (size_t)n;
		if (c->sent == c->len) {
			STAILQ_REMOVE_HEAD(&w->pieces, entries);
			free(c);
		}
		if (fault == LINK_DRIP)
			return;
	}
	if (w->read_ended && !w->write_ended && STAILQ_EMPTY(&w->pieces)) {
		shutdown(w->out, SHUT_WR);
		w->write_ended = true;
	}
}

/*
 * A side that has closed reads nothing more: what it sent still arrives, late
 * where the link is cut.
 */
static void
pair_tick(struct pair *a)
{
	if (a->link->fault == LINK_RESET)
		pair_close(a, true);
	if (!a->gone)
		pair_write(a, true);
	if (!a->gone)
		pair_write(a, false);
	if (!a->gone &&
	    ((a->there.write_ended && a->back.write_ended) ||
		a->back.write_ended))
		pair_close(a, false);
}

static size_t
poll_list(const struct soak_proxy *p, struct pollfd *fds)
{
	struct pair *a;
	size_t n = 0;
	int i;

	for (i = 0; i < p->link_count; i++)
		fds[n++] = (struct pollfd){
		    .fd = p->links[i].listener, .events = POLLIN};
	LIST_FOREACH(a, &p->pairs, entries) {
		if (n + 2 > FDS_MAX)
			break;
		fds[n++] = (struct pollfd){
		    .fd = a->there.read_ended ? -1 : a->there.in,
		    .events = POLLIN};
		fds[n++] =
		    (struct pollfd){.fd = a->back.read_ended ? -1 : a->back.in,
			.events = POLLIN};
	}
	return n;
}

static void *
proxy_main(void *arg)
{
	static struct pollfd fds[FDS_MAX];
	struct soak_proxy *p = arg;
	struct pair *a, *next;
	size_t count, n;
	int i;

	while (!p->stop) {
		count = poll_list(p, fds);
		poll(fds, count, TICK_MS);
		n = (size_t)p->link_count;
		LIST_FOREACH(a, &p->pairs, entries) {
			if (n + 2 > count)
				break;
			if (fds[n].revents != 0)
				pair_read(a, true);
			if (!a->gone && fds[n + 1].revents != 0)
				pair_read(a, false);
			n += 2;
		}
		for (a = LIST_FIRST(&p->pairs); a != NULL; a = next) {
			next = LIST_NEXT(a, entries);
			pair_tick(a);
			if (a->gone) {
				LIST_REMOVE(a, entries);
				free(a);
			}
		}
		for (i = 0; i < p->link_count; i++) {
			if (fds[i].revents != 0)
				accept_all(p, &p->links[i]);
		}
	}
	return NULL;
}

struct soak_proxy *
soak_proxy_new(void)
{
	struct soak_proxy *p = calloc(1, sizeof(*p));

	if (p == NULL)
		err(1, "no memory for the proxy");
	LIST_INIT(&p->pairs);
	return p;
}

void
soak_proxy_run(struct soak_proxy *p)
{
	if (pthread_create(&p->thread, NULL, proxy_main, p) != 0)
		errx(1, "the proxy cannot be started");
}

void
soak_proxy_free(struct soak_proxy *p)
{
	struct pair *a;
	int i;

	p->stop = true;
	pthread_join(p->thread, NULL);
	while ((a = LIST_FIRST(&p->pairs)) != NULL) {
		pair_close(a, false);
		LIST_REMOVE(a, entries);
		free(a);
	}
	for (i = 0; i < p->link_count; i++)
		close(p->links[i].listener);
	free(p);
}

void
soak_proxy_fault(
    struct soak_proxy *p, int link, enum link_fault fault, int delay_ms)
{
	p->links[link].delay_ms = delay_ms;
	p->links[link].fault = fault;
}
