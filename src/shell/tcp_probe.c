#include "tcp_probe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bounds.h"

#define LOOK_MS 5 /* between two looks: a round trip takes a few ms */

struct tcp_probe {
	struct tcp_probe_opts opts;
	int fd; /* -1: none */
	int error; /* of connect(), where it failed at once */
	lws_usec_t until;
	lws_sorted_usec_list_t look;
};

static void
probe_free(struct tcp_probe *p)
{
	lws_sul_cancel(&p->look);
	if (p->fd != -1)
		close(p->fd);
	free(p);
}

static enum tcp_probe_end
end_of_error(int error)
{
	switch (error) {
	case 0:
		return TCP_PROBE_OPEN;
	case ECONNREFUSED:
		return TCP_PROBE_REFUSED;
	case EINPROGRESS:
	case ETIMEDOUT:
		return TCP_PROBE_SILENT;
	default:
		return TCP_PROBE_FAILED;
	}
}

/* EINPROGRESS while the connection is being made. */
static int
probe_error(const struct tcp_probe *p)
{
	struct pollfd pfd = {.fd = p->fd, .events = POLLOUT};
	socklen_t len = sizeof(int);
	int error = 0;

	if (p->fd == -1 || p->error != EINPROGRESS)
		return p->error;
	if (poll(&pfd, 1, 0) <= 0)
		return EINPROGRESS;
	if (getsockopt(p->fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1)
		return errno;
	return error;
}

static void on_look(lws_sorted_usec_list_t *sul);

static void
look_later(struct tcp_probe *p)
{
	lws_sul_schedule(
	    p->opts.context, 0, &p->look, on_look, LOOK_MS * US_PER_MS);
}

static void
on_look(lws_sorted_usec_list_t *sul)
{
	struct tcp_probe *p = lws_container_of(sul, struct tcp_probe, look);
	int error = probe_error(p);

	if (error == EINPROGRESS && lws_now_usecs() < p->until) {
		look_later(p);
		return;
	}
	p->opts.on_end(p->opts.arg, end_of_error(error));
	probe_free(p);
}

/* 0, or the error of the first step that failed. */
static int
probe_connect(struct tcp_probe *p)
{
	struct sockaddr_in to;

	memset(&to, 0, sizeof(to));
	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)p->opts.port);
	if (inet_pton(AF_INET, p->opts.addr, &to.sin_addr) != 1)
		return EINVAL;
	p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (p->fd == -1)
		return errno;
	if (connect(p->fd, (struct sockaddr *)&to, sizeof(to)) == -1)
		return errno;
	return 0;
}

struct tcp_probe *
tcp_probe_start(const struct tcp_probe_opts *opts)
{
	struct tcp_probe *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	p->opts = *opts;
	p->until = lws_now_usecs() + opts->timeout_ms * US_PER_MS;
	p->error = probe_connect(p);
	p->opts.addr = NULL; /* the caller's, of no use any more */
	look_later(p);
	return p;
}

void
tcp_probe_cancel(struct tcp_probe *probe)
{
	if (probe != NULL)
		probe_free(probe);
}
