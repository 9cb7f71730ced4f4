/*
 * Asks whether anybody listens at an address: a connection is opened and
 * closed again, no byte is sent.  The HTTP client's library tells a refused
 * connection from one that could not be made for another reason to nobody.
 */
#ifndef TCP_PROBE_H
#define TCP_PROBE_H

#include <libwebsockets.h>

enum tcp_probe_end {
	TCP_PROBE_OPEN, /* somebody listens */
	TCP_PROBE_REFUSED, /* the host answers: nobody does */
	TCP_PROBE_SILENT, /* no answer in time */
	TCP_PROBE_FAILED /* no route, no descriptor: says nothing */
};

struct tcp_probe;

struct tcp_probe_opts {
	struct lws_context *context;
	const char *addr; /* numeric IPv4 */
	int port;
	int timeout_ms;
	/* Called once unless cancelled, never from within tcp_probe_start(). */
	void (*on_end)(void *arg, enum tcp_probe_end end);
	void *arg;
};

/* NULL when memory is short. */
struct tcp_probe *tcp_probe_start(const struct tcp_probe_opts *opts);
void tcp_probe_cancel(struct tcp_probe *probe);

#endif
