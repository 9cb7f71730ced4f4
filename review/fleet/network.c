/*
 * A link to one worker for the scripts of the second review: takes requests at
 * its own address and hands them on to the worker's.  It can hold one start up:
 * that gets no answer and arrives later.
 */
#include <inttypes.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>

#define LINKS_MAX 200
#define REQUEST_BYTES 16384

struct link {
	int caller, worker; /* -1: closed */
};

static struct link links[LINKS_MAX];
static char held[REQUEST_BYTES];
static size_t held_len;
static int64_t held_until_ms;
static FILE *record;

static int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
note(const char *what)
{
	fprintf(record, "%" PRId64 " network %s\n", now_ms(), what);
	fflush(record);
}

static int
open_socket(int port, int listens)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int s = socket(AF_INET, SOCK_STREAM, 0), one = 1, ret;

	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ret = listens ? bind(s, (struct sockaddr *)&a, sizeof(a))
		      : connect(s, (struct sockaddr *)&a, sizeof(a));
	if (ret == -1 || (listens && listen(s, 64) == -1)) {
		close(s);
		return -1;
	}
	return s;
}

/* A closed connection to the worker resets its caller's. */
static void
close_link(struct link *l)
{
	static const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (l->worker != -1)
		close(l->worker);
	setsockopt(l->caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(l->caller);
	l->caller = l->worker = -1;
}

static void
accept_caller(int listener, int worker_port)
{
	int s = accept(listener, NULL, NULL), i;

	for (i = 0; i < LINKS_MAX && links[i].caller != -1; i++)
		;
	if (s == -1 || i == LINKS_MAX) {
		close(s);
		return;
	}
	links[i].caller = s;
	links[i].worker = open_socket(worker_port, 0);
	if (links[i].worker == -1)
		close_link(&links[i]);
}

/* Hands on what has come; holds a start up while "hold" names a file. */
static void
from_caller(struct link *l, const char *hold, int64_t hold_ms)
{
	char b[REQUEST_BYTES];
	ssize_t n = read(l->caller, b, sizeof(b));

	if (n <= 0) {
		close_link(l);
		return;
	}
	if (held_len == 0 && n > 16 &&
	    strncmp(b, "POST /run-start ", 16) == 0 &&
	    access(hold, F_OK) == 0) {
		memcpy(held, b, (size_t)n);
		held_len = (size_t)n;
		held_until_ms = now_ms() + hold_ms;
		note("holds a start up");
		return;
	}
	if (write(l->worker, b, (size_t)n) != n)
		close_link(l);
}

static void
from_worker(struct link *l)
{
	char b[REQUEST_BYTES];
	ssize_t n = read(l->worker, b, sizeof(b));

	if (n <= 0 || write(l->caller, b, (size_t)n) != n)
		close_link(l);
}

static void
deliver_held(int worker_port)
{
	int s = open_socket(worker_port, 0);
	char b[REQUEST_BYTES];

	held_until_ms = 0;
	if (s == -1) {
		note("cannot deliver the start: nobody listens");
		return;
	}
	note("delivers the start that was held up");
	(void)!write(s, held, held_len);
	(void)!read(s, b, sizeof(b));
	close(s);
}

/* network PORT WORKER-PORT HOLD-FILE HOLD-MS RECORD */
int
main(int argc, char **argv)
{
	struct pollfd fds[1 + 2 * LINKS_MAX];
	int listener, worker_port, i;

	if (argc != 6)
		return 2;
	for (i = 0; i < LINKS_MAX; i++)
		links[i].caller = links[i].worker = -1;
	worker_port = (int)strtol(argv[2], NULL, 10);
	listener = open_socket((int)strtol(argv[1], NULL, 10), 1);
	record = fopen(argv[5], "ae");
	if (listener == -1 || record == NULL)
		return 2;
	for (;;) {
		fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
		for (i = 0; i < LINKS_MAX; i++) {
			fds[1 + 2 * i] = (struct pollfd){
			    .fd = links[i].caller, .events = POLLIN};
			fds[2 + 2 * i] = (struct pollfd){
			    .fd = links[i].worker, .events = POLLIN};
		}
		poll(fds, 1 + 2 * LINKS_MAX, 5);
		if (fds[0].revents != 0)
			accept_caller(listener, worker_port);
		for (i = 0; i < LINKS_MAX; i++) {
			if (links[i].caller != -1 && fds[1 + 2 * i].revents &&
			    fds[1 + 2 * i].fd == links[i].caller)
				from_caller(&links[i], argv[3],
				    strtoll(argv[4], NULL, 10));
			if (links[i].worker != -1 && fds[2 + 2 * i].revents &&
			    fds[2 + 2 * i].fd == links[i].worker)
				from_worker(&links[i]);
		}
		if (held_until_ms != 0 && now_ms() >= held_until_ms)
			deliver_held(worker_port);
	}
}
