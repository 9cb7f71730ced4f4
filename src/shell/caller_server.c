#include "caller_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_listener.h"
#include "metric.h"

#define HEADER_LINES_BYTES 8192

struct caller_server {
	struct shell *shell;
	struct http_listener *listener;
	/* config version that the listener's extra header was taken from */
	uint64_t member_header_version;
	uint64_t requests, refused_stopping, callers_gone;
	uint64_t outcomes[OUTCOME_UNKNOWN + 1];
};

/* Request headers that the reducer reads, in addition to forward_headers. */
static const char *const reducer_headers[] = {
    "host",
    "mimosalead-class",
    "mimosalead-deadline-ms",
    "idempotency-key",
};

#define REDUCER_HEADERS (sizeof(reducer_headers) / sizeof(reducer_headers[0]))

static void
answer_text(struct caller_server *cs, uint64_t id, int status,
    const char *lines, const char *text)
{
	struct http_reply r = {.status = status, .lines = lines};

	r.body = buf_from(text, strlen(text));
	http_listener_answer(cs->listener, id, &r);
	buf_unref(r.body);
}

static void
answer_health(struct caller_server *cs, uint64_t id)
{
	const struct shell *sh = cs->shell;
	bool ok = core_healthy(sh->core) && !sh->stopping;

	answer_text(cs, id, ok ? 200 : 503, "content-type: text/plain\r\n",
	    ok                 ? "ok\n"
		: sh->stopping ? "leaving\n"
			       : "starting\n");
}

/*
 * Called before each request's headers are read. If the text in force takes the
 * member from a header, registers that header with the listener.
 */
static void
update_member_header(void *arg)
{
	struct caller_server *cs = arg;
	const struct fold *f = core_fold(cs->shell->core);
	struct text *t = fold_text(f);
	char name[NAME_BYTES];
	size_t i;

	if (fold_config_version(f) == cs->member_header_version)
		return;
	cs->member_header_version = fold_config_version(f);
	if (t == NULL || t->member_by != MEMBER_BY_HEADER) {
		http_listener_set_extra_header(cs->listener, "");
		return;
	}
	for (i = 0; i < sizeof(name) - 1 && t->member_header[i] != '\0'; i++) {
		name[i] = t->member_header[i];
		if (name[i] >= 'A' && name[i] <= 'Z')
			name[i] += 'a' - 'A';
	}
	name[i] = '\0';
	http_listener_set_extra_header(cs->listener, name);
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct caller_server *cs = arg;
	struct event ev = {.kind = EVENT_REQUEST};

	if (strcmp(r->path, "/healthz") == 0) {
		answer_health(cs, id);
		return;
	}
	cs->requests++;
	if (cs->shell->stopping) {
		cs->refused_stopping++;
		answer_text(cs, id, 503,
		    "Mimosalead-Outcome: not-run\r\n"
		    "Mimosalead-Reason: stopping\r\n"
		    "Retry-After: 1\r\n"
		    "Mimosalead-Retry-After-Ms: 100\r\n",
		    "not run: stopping\n");
		return;
	}
	ev.u.request.id = id;
	ev.u.request.request = r;
	shell_handle_event(cs->shell, &ev);
}

static void
on_gone(void *arg, uint64_t id)
{
	struct caller_server *cs = arg;
	struct event ev = {.kind = EVENT_CALLER_GONE};

	cs->callers_gone++;
	ev.u.caller_gone.id = id;
	shell_handle_event(cs->shell, &ev);
}

struct caller_server *
caller_server_new(struct shell *sh, struct err *e)
{
	const struct settings *s = sh->settings;
	const char *names[REDUCER_HEADERS + SETTINGS_LIST_MAX];
	struct http_listener_opts o;
	struct caller_server *cs;
	size_t i, n = 0;

	cs = calloc(1, sizeof(*cs));
	if (cs == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the callers' server");
		return NULL;
	}
	cs->shell = sh;
	for (i = 0; i < REDUCER_HEADERS; i++)
		names[n++] = reducer_headers[i];
	for (i = 0; i < s->forward_header_count; i++)
		names[n++] = s->forward_headers[i];
	memset(&o, 0, sizeof(o));
	o.context = sh->context;
	o.name = "callers";
	o.addr = s->listen.addr;
	o.port = s->listen.port;
	o.body_max_bytes = (size_t)s->body_max_bytes;
	o.connections_max = sh->callers_max;
	o.headers = names;
	o.header_count = n;
	o.on_head = update_member_header;
	o.on_request = on_request;
	o.on_gone = on_gone;
	o.refusal_lines = "Mimosalead-Outcome: not-run\r\n"
			  "Mimosalead-Reason: limit\r\n";
	o.arg = cs;
	cs->listener = http_listener_new(&o, e);
	if (cs->listener == NULL) {
		free(cs);
		return NULL;
	}
	return cs;
}

void
caller_server_free(struct caller_server *cs)
{
	if (cs == NULL)
		return;
	http_listener_free(cs->listener);
	free(cs);
}

static size_t
append_header_line(
    char *lines, size_t used, const char *name, const char *value)
{
	size_t free_bytes = HEADER_LINES_BYTES - used;
	int n;

	n = snprintf(lines + used, free_bytes, "%s: %s\r\n", name, value);
	if (n < 0 || (size_t)n >= free_bytes) {
		lines[used] = '\0';
		return used;
	}
	return used + (size_t)n;
}

static void
fill_header_lines(char *lines, const struct effect *x)
{
	const struct answer *a = x->u.answer.answer;
	int wait_ms = x->u.answer.retry_after_ms;
	char number[32];
	size_t used = 0, i;

	used = append_header_line(lines, used, "Mimosalead-Outcome",
	    outcome_name(x->u.answer.outcome));
	if (wait_ms > 0) {
		snprintf(number, sizeof(number), "%lld",
		    (wait_ms + MS_PER_S - 1) / MS_PER_S + 0LL);
		used = append_header_line(lines, used, "Retry-After", number);
		snprintf(number, sizeof(number), "%d", wait_ms);
		used = append_header_line(
		    lines, used, "Mimosalead-Retry-After-Ms", number);
	}
	if (x->u.answer.reason != NULL)
		used = append_header_line(
		    lines, used, "Mimosalead-Reason", x->u.answer.reason);
	for (i = 0; a != NULL && i < a->headers.count; i++)
		used = append_header_line(lines, used, a->headers.list[i].name,
		    a->headers.list[i].value);
}

static struct buf *
refusal_body(const struct effect *x)
{
	struct buf *b = buf_new(96);

	if (b != NULL)
		buf_printf(b, "%s: %s\n", outcome_name(x->u.answer.outcome),
		    x->u.answer.reason != NULL ? x->u.answer.reason : "none");
	return b;
}

void
caller_server_answer(struct caller_server *cs, const struct effect *x)
{
	const struct answer *a = x->u.answer.answer;
	struct http_reply r = {.status = x->u.answer.status};
	char lines[HEADER_LINES_BYTES];

	cs->outcomes[x->u.answer.outcome]++;
	fill_header_lines(lines, x);
	r.lines = lines;
	r.body = a != NULL ? buf_ref(a->body) : refusal_body(x);
	if (r.status == 0 && a != NULL)
		r.status = a->status;
	http_listener_answer(cs->listener, x->u.answer.request, &r);
	buf_unref(r.body);
}

void
caller_server_close_after_answers(struct caller_server *cs)
{
	http_listener_close_after_answers(cs->listener);
}

void
caller_server_stop_listening(struct caller_server *cs)
{
	http_listener_stop_listening(cs->listener);
}

void
caller_server_check_disconnected(struct caller_server *cs, bool all)
{
	http_listener_check_disconnected(cs->listener, all);
}

size_t
caller_server_busy_count(const struct caller_server *cs)
{
	return http_listener_busy_count(cs->listener);
}

void
caller_server_metrics(const struct caller_server *cs, struct buf *out)
{
	char labels[48];
	int i;

	metric_counter(out, "caller_requests_total",
	    "Whole requests received from callers", "", cs->requests);
	metric_counter(out, "caller_gone_total",
	    "Callers that closed before their answer", "", cs->callers_gone);
	metric_counter(out, "caller_refused_stopping_total",
	    "Requests refused because of a planned stop", "",
	    cs->refused_stopping);
	for (i = OUTCOME_ANSWERED; i <= OUTCOME_UNKNOWN; i++) {
		snprintf(labels, sizeof(labels), "outcome=\"%s\"",
		    outcome_name((enum outcome)i));
		metric_counter(out, "caller_answers_total",
		    i == OUTCOME_ANSWERED ? "Answers given to callers" : NULL,
		    labels, cs->outcomes[i]);
	}
	metric_gauge(out, "caller_connections", "Open connections of callers",
	    "", (int64_t)http_listener_connection_count(cs->listener));
}
