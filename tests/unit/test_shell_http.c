/* Ends of HTTP calls against a scripted server in a child process. */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "http_client.h"
#include "http_context.h"
#include "http_json.h"

#define UPLOAD_BYTES (8 * 1024 * 1024) /* more than sockets buffer */
#define CALL_TIMEOUT_MS 5000
#define STALL_TIMEOUT_MS 300
#define ORDER_BYTES 12000 /* in one write; more than a narrow peer takes */
#define LATE_BYTES 100000 /* several reads of the event loop */
#define NARROW_BYTES 2048 /* receive buffer of a narrow peer */

struct server {
	pid_t pid;
	int port;
};

static int
listen_any(int *port)
{
	int fd = raw_listen(port);

	cr_assert_neq(fd, -1);
	return fd;
}

/* Servers started from now on end their side after the answer. */
static bool half_close;

/* Reads a request's headers, writes "answer" in pieces, closes or stalls. */
static void
serve_one(int fd, const char *answer, size_t len, size_t piece, bool stall)
{
	char in[4096];
	size_t got = 0, at, n;
	ssize_t r;

	memset(in, 0, sizeof(in));
	while (strstr(in, "\r\n\r\n") == NULL && got < sizeof(in) - 1) {
		r = read(fd, in + got, sizeof(in) - 1 - got);
		if (r <= 0)
			_exit(1);
		got += (size_t)r;
	}
	for (at = 0; at < len; at += n) {
		n = len - at < piece ? len - at : piece;
		if (write(fd, answer + at, n) != (ssize_t)n)
			break;
		if (piece < len)
			usleep(1000);
	}
	if (half_close)
		shutdown(fd, SHUT_WR);
	if (stall)
		pause();
	close(fd);
}

static struct server
server_start(const char *answer, size_t len, size_t piece, bool stall)
{
	struct server s;
	int fd = listen_any(&s.port);

	fflush(NULL);
	s.pid = fork();
	cr_assert(s.pid >= 0);
	if (s.pid == 0) {
		for (;;)
			serve_one(
			    accept(fd, NULL, NULL), answer, len, piece, stall);
	}
	close(fd);
	return s;
}

static void
server_end(const struct server *s)
{
	kill(s->pid, SIGKILL);
	waitpid(s->pid, NULL, 0);
}

static enum http_outcome
call(int port, const char *method, int timeout_ms, struct answer **answer)
{
	static const char *const keep[] = {
	    "content-type", "mimosalead-not-run", NULL};
	struct http_call_opts o = {.addr = "127.0.0.1",
	    .port = port,
	    .method = method,
	    .path = "/x?a=b",
	    .keep_headers = keep,
	    .timeout_ms = timeout_ms,
	    .answer_body_max_bytes = 1000};
	enum http_outcome end = HTTP_UNSENT;
	struct err e;

	*answer = NULL;
	http_sync(&o, answer, &end, &e);
	return end;
}

/* One call against one scripted answer. */
static enum http_outcome
call_scripted(const char *text, size_t len, size_t piece, bool stall,
    const char *method, struct answer **answer)
{
	struct server s = server_start(text, len, piece, stall);
	enum http_outcome end;

	end = call(
	    s.port, method, stall ? STALL_TIMEOUT_MS : CALL_TIMEOUT_MS, answer);
	server_end(&s);
	return end;
}

static enum http_outcome
end_of(const char *text, bool stall)
{
	struct answer *a;
	enum http_outcome end;

	end = call_scripted(text, strlen(text), strlen(text), stall, "GET", &a);
	answer_unref(a);
	return end;
}

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define CHUNKED_BODY "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
#define LENGTH_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"

/* Cut after each byte of the body, in one write and byte by byte. */
static void
check_cuts(const char *head, const char *body)
{
	size_t cut, len, whole = strlen(body), piece;
	enum http_outcome end;
	struct answer *a;
	char text[256];

	for (cut = 0; cut <= whole; cut++) {
		len = (size_t)snprintf(
		    text, sizeof(text), "%s%.*s", head, (int)cut, body);
		for (piece = 1; piece <= len; piece += len - 1) {
			end = call_scripted(text, len, piece, false, "GET", &a);
			cr_expect_eq(end,
			    cut < whole ? HTTP_TRUNCATED : HTTP_ANSWERED,
			    "end %d with %zu of %zu bytes, pieces of %zu", end,
			    cut, whole, piece);
			answer_unref(a);
		}
	}
}

Test(shell_http, a_cut_chunked_answer_is_truncated, .timeout = 60)
{
	check_cuts(CHUNKED_HEAD, CHUNKED_BODY);
}

Test(shell_http, a_cut_answer_of_known_length_is_truncated, .timeout = 60)
{
	check_cuts(LENGTH_HEAD, "hello");
}

Test(shell_http, an_answer_of_unknown_length_is_never_whole)
{
	cr_expect_eq(
	    end_of("HTTP/1.1 200 OK\r\n\r\nhello", false), HTTP_TRUNCATED);
}

Test(shell_http, a_larger_answer_than_allowed_is_truncated)
{
	char text[1200];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n%01001d", 1);
	cr_expect_eq(end_of(text, false), HTTP_TRUNCATED);
}

Test(shell_http, sent_without_an_answer_is_lost)
{
	cr_expect_eq(end_of("", false), HTTP_NO_ANSWER);
	cr_expect_eq(
	    end_of("HTTP/1.1 200 OK\r\nContent-Le", false), HTTP_NO_ANSWER);
	cr_expect_eq(
	    end_of("\x01\x02 what is this\r\n\r\n", false), HTTP_NO_ANSWER);
}

Test(shell_http, a_refused_connection_is_unsent)
{
	struct answer *a;
	int port, fd = listen_any(&port);

	close(fd);
	cr_expect_eq(call(port, "GET", CALL_TIMEOUT_MS, &a), HTTP_UNSENT);
}

Test(shell_http, a_stalled_answer_times_out)
{
	cr_expect_eq(end_of("", true), HTTP_TIMED_OUT);
	cr_expect_eq(end_of(LENGTH_HEAD "hel", true), HTTP_TIMED_OUT);
	cr_expect_eq(
	    end_of(CHUNKED_HEAD "5\r\nhello\r\n", true), HTTP_TIMED_OUT);
}

struct late_call {
	struct lws_context *context;
	bool sent;
	bool done;
	enum http_outcome outcome;
};

static void
late_call_sent(void *arg)
{
	((struct late_call *)arg)->sent = true;
}

static void
late_call_done(void *arg, enum http_outcome outcome, struct answer *answer)
{
	struct late_call *c = arg;

	(void)answer;
	c->done = true;
	c->outcome = outcome;
	lws_cancel_service(c->context); /* timers run before the loop polls */
}

/* The outcome where the event loop stands still from the send to the limit. */
static enum http_outcome
outcome_in_late_loop(const char *text, size_t len, bool stall)
{
	static const struct http_context_opts service = {
	    .header_pool_size = 4, .ipv4_only = true};
	struct server s = server_start(text, len, len, stall);
	struct late_call c = {.sent = false};
	struct http_call_opts o = {.addr = "127.0.0.1",
	    .port = s.port,
	    .method = "GET",
	    .path = "/",
	    .timeout_ms = STALL_TIMEOUT_MS,
	    .answer_body_max_bytes = LATE_BYTES,
	    .on_sent = late_call_sent,
	    .on_done = late_call_done,
	    .arg = &c};

	o.context = c.context = http_context_new(&service);
	cr_assert_not_null(o.context);
	cr_assert_eq(http_context_add_client_vhost(o.context, &service), 0);
	cr_assert_not_null(http_call_start(&o, NULL));
	while (!c.sent) {
		lws_service(o.context, -1);
		usleep(1000);
	}
	usleep(2 * STALL_TIMEOUT_MS * 1000);
	while (!c.done)
		lws_service(o.context, 0);
	lws_context_destroy(o.context);
	server_end(&s);
	return c.outcome;
}

Test(shell_http, an_answer_that_a_late_loop_has_not_read_is_no_timeout)
{
	static char text[LATE_BYTES];
	int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LATE_BYTES / 2);

	memset(text + n, 'a', LATE_BYTES / 2);
	cr_expect_eq(
	    outcome_in_late_loop(text, (size_t)(n + LATE_BYTES / 2), true),
	    HTTP_ANSWERED);
	cr_expect_eq(
	    outcome_in_late_loop(text, (size_t)n + 1, true), HTTP_TIMED_OUT);
}

enum arrival {
	ARRIVED, /* all of the request, then an orderly end */
	CUT_SHORT, /* an end before that */
	ARRIVED_RESET /* all of the request, then a reset */
};

/* Sleeps until the call was given up, then reads what is there. */
static enum arrival
read_late(int fd)
{
	char in[4096];
	size_t got = 0;
	ssize_t r;

	usleep(2 * STALL_TIMEOUT_MS * 1000);
	while ((r = read(fd, in, sizeof(in))) > 0)
		got += (size_t)r;
	if (got < ORDER_BYTES)
		return CUT_SHORT;
	return r == 0 ? ARRIVED : ARRIVED_RESET;
}

/* What a peer gets that begins to read after the call was given up. */
static enum arrival
arrival_of_given_up(bool narrow)
{
	int port, status = 0, size = NARROW_BYTES, fd = listen_any(&port);
	struct buf *body = buf_new(ORDER_BYTES);
	struct http_call_opts o = {.addr = "127.0.0.1",
	    .port = port,
	    .method = "POST",
	    .path = "/x",
	    .body = body,
	    .reset_on_abort = true,
	    .timeout_ms = STALL_TIMEOUT_MS,
	    .answer_body_max_bytes = 1000};
	enum http_outcome end = HTTP_UNSENT;
	struct answer *a = NULL;
	struct err e;
	pid_t pid;

	if (narrow) /* inherited by the connection */
		cr_assert_eq(
		    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)),
		    0);
	fflush(NULL);
	pid = fork();
	cr_assert(pid >= 0);
	if (pid == 0)
		_exit(read_late(accept(fd, NULL, NULL)));
	close(fd);
	memset(body->data, 'x', ORDER_BYTES);
	body->len = ORDER_BYTES;
	http_sync(&o, &a, &end, &e);
	cr_expect_eq(end, HTTP_TIMED_OUT, "end %d", end);
	waitpid(pid, &status, 0);
	buf_unref(body);
	cr_assert(WIFEXITED(status));
	return (enum arrival)WEXITSTATUS(status);
}

/*
 * An order lay in its socket while the daemon was cut off.  It was given up,
 * and carried out seconds later, after its successor's.
 */
Test(shell_http, what_is_given_up_unsent_does_not_arrive_later)
{
	cr_expect_eq(arrival_of_given_up(true), CUT_SHORT);
}

/* Resetting every given-up order dropped what a slow platform had taken. */
Test(shell_http, a_slow_peer_keeps_what_has_arrived)
{
	cr_expect_eq(arrival_of_given_up(false), ARRIVED);
}

Test(shell_http, answers_without_a_body_need_no_length)
{
	static const char text[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
	struct answer *a;

	cr_expect_eq(
	    end_of("HTTP/1.1 204 No Content\r\n\r\n", true), HTTP_ANSWERED);
	cr_expect_eq(
	    end_of("HTTP/1.1 304 Not Modified\r\n\r\n", true), HTTP_ANSWERED);
	cr_expect_eq(
	    call_scripted(text, strlen(text), strlen(text), true, "HEAD", &a),
	    HTTP_ANSWERED);
	answer_unref(a);
}

Test(shell_http, a_redirect_is_an_answer_and_headers_are_kept)
{
	static const char text[] =
	    "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n"
	    "Content-Type: text/x\r\nMimosalead-Not-Run: 1\r\n"
	    "Content-Length: 2\r\n\r\nno";
	struct answer *a;

	cr_assert_eq(
	    call_scripted(text, strlen(text), strlen(text), false, "GET", &a),
	    HTTP_ANSWERED);
	cr_expect_eq(a->status, 302);
	cr_expect_str_eq(headers_get(&a->headers, "content-type"), "text/x");
	cr_expect_str_eq(headers_get(&a->headers, "mimosalead-not-run"), "1");
	cr_expect_eq(a->body->len, 2);
	answer_unref(a);
}

/* The server answers after the headers and never reads the body. */
static void
expect_early_answer(void)
{
	static const char text[] =
	    "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno";
	struct server s = server_start(text, strlen(text), strlen(text), true);
	struct buf *body = buf_new(UPLOAD_BYTES);
	struct http_call_opts o = {.addr = "127.0.0.1",
	    .port = s.port,
	    .method = "POST",
	    .path = "/x",
	    .body = body,
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .answer_body_max_bytes = 1000};
	enum http_outcome end = HTTP_UNSENT;
	struct answer *a = NULL;
	struct err e;

	memset(body->data, 'x', UPLOAD_BYTES);
	body->len = UPLOAD_BYTES;
	http_sync(&o, &a, &end, &e);
	cr_expect_eq(end, HTTP_ANSWERED);
	cr_expect(a != NULL && a->status == 413);
	answer_unref(a);
	server_end(&s);
	buf_unref(body);
}

Test(shell_http, an_early_answer_to_a_large_upload_is_read, .timeout = 60)
{
	expect_early_answer();
}

Test(shell_http, an_early_answer_and_a_half_close_do_not_stop_the_loop,
    .timeout = 20)
{
	half_close = true;
	expect_early_answer();
}
