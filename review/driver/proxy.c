/*
 * A TCP proxy in front of a service of the platform, in a process of its own.
 * SIGUSR1 cuts it: bytes are dropped, in both directions or only those of
 * answers, and in the former case new connections get no answer.  SIGUSR2 heals
 * it: connections from before are closed, as the bytes of the cut are lost.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "driver.h"

#define PAIRS_MAX 200
#define RELAY_BYTES 65536

static volatile sig_atomic_t cut, heal;
static bool answers_only; /* a cut drops these, and not the requests */

static struct pair {
	int a, b; /* the daemon's and the platform's end; -1: none */
} pairs[PAIRS_MAX];

static void
on_signal(int sig)
{
	cut = sig == SIGUSR1;
	heal |= sig == SIGUSR2;
}

static void
close_pair(struct pair *p)
{
	close(p->a);
	close(p->b);
	p->a = p->b = -1;
}

static void
accept_pair(int listener, int to)
{
	int a = accept4(listener, NULL, NULL, SOCK_CLOEXEC), b, i;

	if (a == -1)
		return;
	b = driver_connect(to);
	for (i = 0; i < PAIRS_MAX && pairs[i].a != -1; i++)
		;
	if (b == -1 || i == PAIRS_MAX) {
		close(a);
		close(b);
		return;
	}
	pairs[i].a = a;
	pairs[i].b = b;
}

static void
relay(struct pair *p, int from, int to)
{
	static char bytes[RELAY_BYTES];
	ssize_t n = recv(from, bytes, sizeof(bytes), 0), at = 0, sent;

	if (n <= 0) {
		close_pair(p);
		return;
	}
	if (cut && (!answers_only || from == p->b))
		return;
	while (at < n) {
		sent = send(to, bytes + at, (size_t)(n - at), MSG_NOSIGNAL);
		if (sent <= 0) {
			close_pair(p);
			return;
		}
		at += sent;
	}
}

static void
run(int listener, int to)
{
	struct pollfd list[2 * PAIRS_MAX + 1];
	int i, n;

	for (;;) {
		if (heal) {
			for (i = 0; i < PAIRS_MAX; i++) {
				if (pairs[i].a != -1)
					close_pair(&pairs[i]);
			}
			heal = 0;
		}
		for (i = 0; i < PAIRS_MAX; i++) {
			list[2 * i] = (struct pollfd){pairs[i].a, POLLIN, 0};
			list[2 * i + 1] =
			    (struct pollfd){pairs[i].b, POLLIN, 0};
		}
		list[2 * PAIRS_MAX] = (struct pollfd){
		    cut && !answers_only ? -1 : listener, POLLIN, 0};
		n = poll(list, 2 * PAIRS_MAX + 1, 100);
		if (n <= 0)
			continue;
		for (i = 0; i < PAIRS_MAX; i++) {
			if (pairs[i].a != -1 && list[2 * i].revents != 0)
				relay(&pairs[i], pairs[i].a, pairs[i].b);
			if (pairs[i].a != -1 && list[2 * i + 1].revents != 0)
				relay(&pairs[i], pairs[i].b, pairs[i].a);
		}
		if (list[2 * PAIRS_MAX].revents != 0)
			accept_pair(listener, to);
	}
}

pid_t
driver_proxy(int to, int *port, bool drops_answers_only)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	struct sigaction sa = {.sa_handler = on_signal};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), i;
	pid_t pid;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd == -1 || bind(fd, (struct sockaddr *)&a, sizeof(a)) == -1 ||
	    listen(fd, PAIRS_MAX) == -1 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) == -1)
		exit(COULD_NOT_RUN);
	*port = ntohs(a.sin_port);
	pid = fork();
	if (pid != 0) {
		close(fd);
		return pid;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL); /* it ends with the driver */
	sigaction(SIGUSR1, &sa, NULL);
	sigaction(SIGUSR2, &sa, NULL);
	for (i = 0; i < PAIRS_MAX; i++)
		pairs[i].a = pairs[i].b = -1;
	answers_only = drops_answers_only;
	run(fd, to);
	_exit(0);
}
