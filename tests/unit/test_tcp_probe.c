/* What a probe of an address says of who listens there. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <criterion/criterion.h>

#include "service.h"
#include "tcp_probe.h"

#define TIMEOUT_MS 200
#define QUEUE_MAX 8 /* connections that fill a queue of one */

static int
listen_with_queue(int queue, int *port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert(fd >= 0 &&
	    bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    listen(fd, queue) == 0 &&
	    getsockname(fd, (struct sockaddr *)&sin, &len) == 0);
	*port = ntohs(sin.sin_port);
	return fd;
}

static void
fill_queue(int port, int fds[QUEUE_MAX])
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
	int i;

	for (i = 0; i < QUEUE_MAX; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (struct sockaddr *)&sin, sizeof(sin));
	}
}

struct outcome {
	bool ended;
	enum tcp_probe_end end;
};

static void
on_end(void *arg, enum tcp_probe_end end)
{
	struct outcome *o = arg;

	cr_assert_not(o->ended);
	o->ended = true;
	o->end = end;
}

static enum tcp_probe_end
probe(const char *addr, int port)
{
	static const struct service_opts service = {
	    .header_pool = 1, .ipv4_only = true};
	struct outcome o = {.ended = false};
	struct tcp_probe_opts opts = {
	    .context = service_context_new(&service),
	    .addr = addr,
	    .port = port,
	    .timeout_ms = TIMEOUT_MS,
	    .on_end = on_end,
	    .arg = &o,
	};

	cr_assert_not_null(opts.context);
	cr_assert_eq(service_client_vhost(opts.context, &service), 0);
	cr_assert_not_null(tcp_probe_start(&opts));
	cr_expect_not(o.ended);
	while (!o.ended)
		lws_service(opts.context, 0);
	lws_context_destroy(opts.context);
	return o.end;
}

Test(tcp_probe, a_listener_is_open)
{
	int port, fd = listen_with_queue(16, &port);

	cr_expect_eq(probe("127.0.0.1", port), TCP_PROBE_OPEN);
	close(fd);
}

Test(tcp_probe, a_port_without_a_listener_is_refused)
{
	int port, fd = listen_with_queue(16, &port);

	close(fd);
	cr_expect_eq(probe("127.0.0.1", port), TCP_PROBE_REFUSED);
}

Test(tcp_probe, a_listener_that_takes_no_connection_is_silent_not_refused)
{
	int fds[QUEUE_MAX], i, port, fd = listen_with_queue(0, &port);

	fill_queue(port, fds);
	cr_expect_eq(probe("127.0.0.1", port), TCP_PROBE_SILENT);
	for (i = 0; i < QUEUE_MAX; i++)
		close(fds[i]);
	close(fd);
}

Test(tcp_probe, an_address_that_is_none_says_nothing_of_a_listener)
{
	cr_expect_eq(probe("nowhere", 80), TCP_PROBE_FAILED);
}
