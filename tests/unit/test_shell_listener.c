/* The callers' side: raw bytes from a child process against a listener. */
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <criterion/criterion.h>

#include "bounds.h"
#include "http_client.h"
#include "http_listener.h"

#define BODY_MAX 1000
#define QUIET_MS 400 /* the child stops reading after so long a silence */
#define WAKE_US 10000
#define REFUSAL "Mimosalead-Outcome: not-run\r\n"

struct rig {
	struct lws_context *context;
	struct http_listener *listener;
	int port;
	int answer_delay_ms;
	size_t requests, gone;
	uint64_t pending; /* number of the request to answer later */
	struct buf *pending_body;
	lws_sorted_usec_list_t wake, later;
};

static struct rig rig;

static void
answer_now(uint64_t id, struct buf *body)
{
	struct http_reply r = {.status = 200, .lines = "", .body = body};

	http_listener_answer(rig.listener, id, &r);
}

static void
on_later(lws_sorted_usec_list_t *sul)
{
	(void)sul;
	answer_now(rig.pending, rig.pending_body);
	buf_unref(rig.pending_body);
	rig.pending_body = NULL;
}

/* Answers with what it got. */
static void
on_request(void *arg, uint64_t id, struct request *r)
{
	const char *member = headers_get(&r->headers, "x-member");
	struct buf *b = buf_new(256);

	(void)arg;
	rig.requests++;
	buf_printf(b, "<%s %s %s %zu>", r->method, r->path,
	    member != NULL ? member : "-", r->body != NULL ? r->body->len : 0);
	buf_printf(b, "fault=%d", r->checked_header_fault);
	if (rig.answer_delay_ms == 0) {
		answer_now(id, b);
		buf_unref(b);
		return;
	}
	rig.pending = id;
	rig.pending_body = b;
	lws_sul_schedule(rig.context, 0, &rig.later, on_later,
	    rig.answer_delay_ms * US_PER_MS);
}

static void
on_gone(void *arg, uint64_t id)
{
	(void)arg;
	(void)id;
	rig.gone++;
}

static void
on_wake(lws_sorted_usec_list_t *sul)
{
	lws_sul_schedule(rig.context, 0, sul, on_wake, WAKE_US);
}

static void
rig_open(int answer_delay_ms)
{
	static const char *const names[] = {"x-member"};
	struct lws_context_creation_info info;
	struct http_listener_opts o;
	struct err e;

	memset(&rig, 0, sizeof(rig));
	rig.answer_delay_ms = answer_delay_ms;
	memset(&info, 0, sizeof(info));
	info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
	info.max_http_header_data2 = 2 * HEADERS_MAX_BYTES;
	info.pt_serv_buf_size = 4 * HEADERS_MAX_BYTES;
	lws_set_log_level(0, NULL);
	rig.context = lws_create_context(&info);
	memset(&o, 0, sizeof(o));
	o.context = rig.context;
	o.name = "test";
	o.addr = "127.0.0.1";
	o.body_max_bytes = BODY_MAX;
	o.connections_max = 4;
	o.headers = names;
	o.header_count = 1;
	o.checked_header = names[0];
	o.on_request = on_request;
	o.on_gone = on_gone;
	o.refusal_lines = REFUSAL;
	for (o.port = 20000 + getpid() % 20000; rig.listener == NULL; o.port++)
		rig.listener = http_listener_new(&o, &e);
	rig.port = o.port - 1;
	on_wake(&rig.wake);
}

static void
rig_close(void)
{
	lws_sul_cancel(&rig.wake);
	lws_sul_cancel(&rig.later);
	buf_unref(rig.pending_body);
	lws_context_destroy(rig.context);
	http_listener_free(rig.listener);
}

static int
client_connect(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)rig.port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1)
		_exit(1);
	return fd;
}

/* In the child: sends, then copies what comes back into the pipe. */
static void
client_run(const char *data, size_t len, bool hang_up, int out)
{
	struct pollfd pfd = {.events = POLLIN};
	char in[8192];
	ssize_t n;

	signal(SIGPIPE, SIG_IGN);
	pfd.fd = client_connect();
	while (len > 0) {
		n = write(pfd.fd, data, len);
		if (n <= 0)
			break;
		data += n;
		len -= (size_t)n;
	}
	if (hang_up)
		_exit(0);
	while (poll(&pfd, 1, QUIET_MS) == 1) {
		n = read(pfd.fd, in, sizeof(in));
		if (n <= 0)
			break;
		if (write(out, in, (size_t)n) != n)
			break;
	}
	_exit(0);
}

/* Serves until the child has ended; its output goes to "out". */
static void
exchange(const char *data, size_t len, bool hang_up, char *out, size_t size)
{
	int fds[2];
	ssize_t n;
	pid_t pid;

	cr_assert_eq(pipe(fds), 0);
	fflush(NULL);
	pid = fork();
	cr_assert(pid >= 0);
	if (pid == 0)
		client_run(data, len, hang_up, fds[1]);
	close(fds[1]);
	while (waitpid(pid, NULL, WNOHANG) == 0)
		lws_service(rig.context, 0);
	n = read(fds[0], out, size - 1);
	out[n > 0 ? n : 0] = '\0';
	close(fds[0]);
}

static void
say(const char *text, char *out, size_t size)
{
	exchange(text, strlen(text), false, out, size);
}

#define POST "POST /a HTTP/1.1\r\nx-member: m\r\nContent-Length: 3\r\n\r\nabc"

Test(shell_listener, pipelined_posts_cannot_make_it_spin, .timeout = 20)
{
	char out[4096];
	int delay;

	for (delay = 0; delay <= 50; delay += 50) {
		rig_open(delay);
		say(POST POST, out, sizeof(out));
		cr_expect_not_null(strstr(out, "<POST /a m 3>"), "%s", out);
		say(POST, out, sizeof(out));
		cr_expect_not_null(strstr(out, "<POST /a m 3>"), "%s", out);
		rig_close();
	}
}

Test(shell_listener, requests_without_a_body_are_handed_over, .timeout = 20)
{
	static const char *const heads[] = {
	    "POST /a HTTP/1.1\r\nx-member: m\r\nContent-Length: 0\r\n\r\n",
	    "POST /a HTTP/1.1\r\nx-member: m\r\n\r\n",
	    "GET /a HTTP/1.1\r\nx-member: m\r\nContent-Length: 0\r\n\r\n",
	    "PUT /a HTTP/1.1\r\nx-member: m\r\nContent-Length: 0\r\n\r\n",
	    "GET /a HTTP/1.0\r\nx-member: m\r\n\r\n",
	    "DELETE /a HTTP/1.1\r\nx-member: m\r\n\r\n"};
	char out[4096];
	size_t i;

	rig_open(0);
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		say(heads[i], out, sizeof(out));
		cr_expect_not_null(strstr(out, " /a m 0>"), "%s", out);
	}
	rig_close();
}

/*
 * libwebsockets shows the first header of a name only: a second key would not
 * be seen.  The text of the header in another's value is none.
 */
Test(shell_listener, a_repeated_header_is_compared, .timeout = 20)
{
	static const struct {
		const char *headers;
		enum header_fault fault;
		const char *value;
	} cases[] = {
	    {"x-member: m\r\n", HEADER_SOUND, " m "},
	    {"X-Member:  m \t\r\n", HEADER_SOUND, " m "},
	    {"x-member: m\r\nHost: a\r\nX-MEMBER: m\r\n", HEADER_SOUND, " m "},
	    {"x-member: m\r\nx-member: m\r\nx-member: n\r\n",
		HEADER_CONFLICTING, " m "},
	    {"x-member: m\r\nx-b: c\r\nx-member: mm\r\nAccept: d\r\n",
		HEADER_CONFLICTING, " m "},
	    {"x-member: mm\r\nx-member: m\r\n", HEADER_CONFLICTING, " mm "},
	    {"x-member: m\r\nx-member:\r\n", HEADER_CONFLICTING, " m "},
	    {"x-b: x-member:n\r\nx-member: m\r\nx-b: x-member:n\r\n",
		HEADER_SOUND, " m "},
	    {"x-b: x-member:m\r\nx-member: m\r\nx-member: n\r\n",
		HEADER_CONFLICTING, " m "},
	};
	char text[3 * HEADER_VALUE_BYTES], out[4096], fault[16];
	size_t i;

	rig_open(0);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text), "GET /a HTTP/1.1\r\n%s\r\n",
		    cases[i].headers);
		say(text, out, sizeof(out));
		snprintf(fault, sizeof(fault), "fault=%d", cases[i].fault);
		cr_expect_not_null(strstr(out, fault), "%zu: %s", i, out);
		cr_expect_not_null(
		    strstr(out, cases[i].value), "%zu: %s", i, out);
	}
	i = (size_t)sprintf(text, "GET /a HTTP/1.1\r\nx-member: ");
	memset(text + i, 'm', HEADER_VALUE_BYTES);
	strcpy(text + i + HEADER_VALUE_BYTES, "\r\n\r\n");
	say(text, out, sizeof(out));
	snprintf(fault, sizeof(fault), "fault=%d", HEADER_TOO_LONG);
	cr_expect_not_null(strstr(out, fault), "%s", out);
	rig_close();
}

Test(shell_listener, what_is_refused_is_told_and_never_handed_over,
    .timeout = 20)
{
	static const struct {
		const char *text, *status;
	} cases[] = {
	    {"POST /a HTTP/1.1\r\nContent-Length: -4\r\n\r\n", " 411 "},
	    {"POST /a HTTP/1.1\r\nContent-Length: zz\r\n\r\nabc", " 411 "},
	    {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "3\r\nabc\r\n0\r\n\r\n",
		" 411 "},
	    {"BREW /a HTTP/1.1\r\n\r\n", " 400 "},
	    {"CONNECT a:80 HTTP/1.1\r\n\r\n", " 400 "},
	    {"\x16\x03\x01\x02\r\n\r\n", " 400 "},
	    {"GET /a HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\n"
	     "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ\r\n\r\n",
		" 400 "},
	    {"GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
	     "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
	     "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
		" 400 "}};
	char out[4096];
	size_t i;

	rig_open(0);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		say(cases[i].text, out, sizeof(out));
		cr_expect_not_null(
		    strstr(out, cases[i].status), "%zu: %s", i, out);
		cr_expect_not_null(strstr(out, "not-run"), "%zu: %s", i, out);
	}
	cr_expect_eq(rig.requests, 0);
	rig_close();
}

Test(shell_listener, a_large_body_is_read_away_and_refused, .timeout = 20)
{
	size_t len = 2 * 1024 * 1024, head;
	char *text = calloc(1, len + 256), out[4096];

	head = (size_t)sprintf(text,
	    "POST /a HTTP/1.1\r\nx-member: m\r\nContent-Length: %zu\r\n\r\n",
	    len);
	memset(text + head, 'a', len);
	rig_open(0);
	exchange(text, head + len, false, out, sizeof(out));
	cr_expect_not_null(strstr(out, " 413 "), "%s", out);
	cr_expect_eq(rig.requests, 0);
	rig_close();
	free(text);
}

Test(shell_listener, known_headers_above_the_limit_get_431, .timeout = 20)
{
	char *text = calloc(1, HEADERS_MAX_BYTES + 256), out[4096];

	strcpy(text, "GET /a HTTP/1.1\r\nCookie: ");
	memset(text + strlen(text), 'c', HEADERS_MAX_BYTES);
	strcat(text, "\r\n\r\n");
	rig_open(0);
	say(text, out, sizeof(out));
	cr_expect_not_null(strstr(out, " 431 "), "%s", out);
	cr_expect_eq(rig.requests, 0);
	rig_close();
	free(text);
}

Test(shell_listener, a_caller_that_asks_first_is_told_to_go_on, .timeout = 20)
{
	char out[4096];

	rig_open(0);
	say("POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 3\r\n\r\n",
	    out, sizeof(out));
	cr_expect_eq(strncmp(out, "HTTP/1.1 100 ", 13), 0, "%s", out);
	cr_expect_eq(rig.requests, 0);
	rig_close();
}

Test(shell_listener, a_caller_that_leaves_is_told_of, .timeout = 20)
{
	char out[4096];

	rig_open(5000);
	exchange(POST, strlen(POST), true, out, sizeof(out));
	while (rig.gone == 0)
		lws_service(rig.context, 0);
	cr_expect_eq(rig.requests, 1);
	cr_expect_eq(rig.gone, 1);
	cr_expect_eq(http_listener_busy_count(rig.listener), 0);
	rig_close();
}

/* Idle connections in this process; the request comes from the child. */
Test(shell_listener, callers_beyond_the_limit_get_429, .timeout = 20)
{
	char out[4096];
	int fds[4], i;

	rig_open(0);
	for (i = 0; i < 4; i++)
		fds[i] = client_connect();
	say(POST, out, sizeof(out));
	cr_expect_not_null(strstr(out, " 429 "), "%s", out);
	cr_expect_not_null(strstr(out, "not-run"), "%s", out);
	cr_expect_eq(rig.requests, 0);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	while (http_listener_connection_count(rig.listener) > 0)
		lws_service(rig.context, 0);
	say(POST, out, sizeof(out));
	cr_expect_not_null(strstr(out, "<POST /a m 3>"), "%s", out);
	rig_close();
}

Test(shell_listener, paths_are_handed_on_with_their_escapes, .timeout = 20)
{
	char out[4096];

	rig_open(0);
	say("GET /a%20b/c%3Fd%25?x=1%26y&z=a%20b HTTP/1.1\r\n"
	    "x-member: m\r\n\r\n",
	    out, sizeof(out));
	cr_expect_not_null(
	    strstr(out, "<GET /a%20b/c%3Fd%25?x=1%26y&z=a%20b m 0>"), "%s",
	    out);
	rig_close();
}
