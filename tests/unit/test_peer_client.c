/* Replies to requests that a daemon forwards to the owner of a pool. */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "http_context.h"
#include "http_json.h"
#include "peer_client.h"

#define CALL_TIMEOUT_MS 5000
#define HEAD_BYTES 256

static struct scheduler scheduler;

/* Reads a whole request, whose body follows its head in the same write. */
static void
read_request(int fd)
{
	char in[4096];

	if (read(fd, in, sizeof(in)) <= 0)
		_exit(1);
}

static void
write_reply(int fd, const struct buf *b)
{
	char head[HEAD_BYTES];
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", b->len);

	if (write(fd, head, (size_t)n) != n ||
	    write(fd, b->data, b->len) != (ssize_t)b->len)
		_exit(1);
}

/*
 * An owner in a child process: it answers the first request, reads the second
 * one on the same connection and resets it, and answers the third one, on a new
 * connection, with "last".
 */
static pid_t
owner_start(const struct job_reply *last, int *port)
{
	static const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct job_reply first = {.kind = REPLY_ANSWER};
	int fd = raw_listen(port), conn;
	pid_t pid;

	cr_assert_neq(fd, -1);
	pid = fork();
	cr_assert(pid >= 0);
	if (pid > 0) {
		close(fd);
		return pid;
	}
	conn = accept(fd, NULL, NULL);
	read_request(conn);
	write_reply(conn, job_reply_encode(&first));
	read_request(conn);
	setsockopt(conn, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(conn);
	conn = accept(fd, NULL, NULL);
	read_request(conn);
	write_reply(conn, job_reply_encode(last));
	pause();
	_exit(0);
}

static struct job_reply got;
static int replies;

static void
on_reply(void *arg, const struct job_reply *r)
{
	(void)arg;
	got = *r;
	replies++;
	lws_cancel_service(scheduler.context);
}

static void
call_owner(int port)
{
	struct endpoint to = {.addr = "127.0.0.1", .port = port};
	struct job_request r = {.op = JOB_SUBMIT, .pool = "blue"};
	int before = replies;

	cr_assert_not_null(peer_call_start(
	    &scheduler, &to, &r, CALL_TIMEOUT_MS, on_reply, NULL));
	while (replies == before)
		lws_service(scheduler.context, 0);
}

/* The reply to a request that the owner has read twice. */
static enum job_reply_kind
kind_after_resend(const struct job_reply *last)
{
	static const struct http_context_opts service = {
	    .header_pool_size = 4, .ipv4_only = true};
	int port;
	pid_t pid = owner_start(last, &port);

	scheduler.context = http_context_new(&service);
	cr_assert_not_null(scheduler.context);
	cr_assert_eq(
	    http_context_add_client_vhost(scheduler.context, &service), 0);
	scheduler.http_connections = http_pool_new(CALL_TIMEOUT_MS);
	call_owner(port);
	cr_assert_eq(got.kind, REPLY_ANSWER);
	call_owner(port);
	http_pool_free(scheduler.http_connections);
	lws_context_destroy(scheduler.context);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	return got.kind;
}

/*
 * A connection was reset after the owner had read a job, and the client sent it
 * again: "not done" was true of the second copy alone, and the caller got 503.
 */
Test(peer_client, a_rejection_is_no_outcome_of_a_request_that_was_sent_twice)
{
	const struct job_reply not_done = {.kind = REPLY_NOT_DONE};
	const struct job_reply refused = {
	    .kind = REPLY_ANSWER, .answer = POOL_OVERLOADED};
	const struct job_reply accepted = {
	    .kind = REPLY_ANSWER, .answer = POOL_ACCEPTED};

	cr_expect_eq(kind_after_resend(&not_done), REPLY_UNKNOWN);
	cr_expect_eq(kind_after_resend(&refused), REPLY_UNKNOWN);
	cr_expect_eq(kind_after_resend(&accepted), REPLY_ANSWER);
}
