#include "upstream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "http_client.h"
#include "metric.h"

#define NOT_RUN_HEADER "mimosalead-not-run"

struct attempt {
	uint64_t id;
	struct upstreams *upstreams;
	struct http_call *call; /* NULL if it could not be started */
	/* reports from the event loop that the call could not be started */
	lws_sorted_usec_list_t not_started_timer;
	UT_hash_handle hh;
};

struct upstreams {
	struct shell *shell;
	struct attempt *attempts; /* by id */
	uint64_t started, sent;
	uint64_t answered;
	uint64_t failures[ATTEMPT_TIMEOUT + 1];
};

/* Headers kept from an upstream's answer; all are passed on to the caller. */
static const char *const answer_headers[] = {
    "content-type",
    "content-encoding",
    "content-language",
    "content-disposition",
    "cache-control",
    "etag",
    "last-modified",
    "expires",
    "location",
    "retry-after",
    "set-cookie",
    "vary",
    "www-authenticate",
    NOT_RUN_HEADER,
    NULL,
};

static const char *const failure_names[] = {
    [ATTEMPT_UNSENT] = "unsent",
    [ATTEMPT_REFUSED] = "refused",
    [ATTEMPT_LOST] = "lost",
    [ATTEMPT_TRUNCATED] = "truncated",
    [ATTEMPT_TIMEOUT] = "timeout",
};

static void
attempt_free(struct attempt *a)
{
	lws_sul_cancel(&a->not_started_timer);
	HASH_DEL(a->upstreams->attempts, a);
	free(a);
}

static void
on_sent(void *arg)
{
	struct attempt *a = arg;
	struct event ev = {.kind = EVENT_ATTEMPT_SENT};

	a->upstreams->sent++;
	ev.u.sent.id = a->id;
	shell_handle_event(a->upstreams->shell, &ev);
}

static void
attempt_fail(struct attempt *a, enum attempt_failure failure)
{
	struct event ev = {.kind = EVENT_ATTEMPT_FAILED};
	struct shell *sh = a->upstreams->shell;

	a->upstreams->failures[failure]++;
	ev.u.failed.id = a->id;
	ev.u.failed.failure = failure;
	attempt_free(a);
	shell_handle_event(sh, &ev);
}

static enum attempt_failure
outcome_failure(enum http_outcome outcome)
{
	switch (outcome) {
	case HTTP_UNSENT:
		return ATTEMPT_UNSENT;
	case HTTP_NO_ANSWER:
		return ATTEMPT_LOST;
	case HTTP_TRUNCATED:
		return ATTEMPT_TRUNCATED;
	case HTTP_TIMED_OUT:
		return ATTEMPT_TIMEOUT;
	case HTTP_ANSWERED:
		break;
	}
	return ATTEMPT_REFUSED;
}

static bool
answer_refuses(const struct answer *answer)
{
	const char *v = headers_get(&answer->headers, NOT_RUN_HEADER);

	return answer->status == 503 && v != NULL && strcmp(v, "1") == 0;
}

static void
on_done(void *arg, enum http_outcome outcome, struct answer *answer)
{
	struct attempt *a = arg;
	struct event ev = {.kind = EVENT_ATTEMPT_ANSWERED};
	struct shell *sh = a->upstreams->shell;

	if (outcome != HTTP_ANSWERED || answer_refuses(answer)) {
		attempt_fail(a, outcome_failure(outcome));
		return;
	}
	a->upstreams->answered++;
	ev.u.answered.id = a->id;
	ev.u.answered.answer = answer;
	attempt_free(a);
	shell_handle_event(sh, &ev);
}

static void
on_not_started(lws_sorted_usec_list_t *sul)
{
	attempt_fail(lws_container_of(sul, struct attempt, not_started_timer),
	    ATTEMPT_UNSENT);
}

static void
fill_headers(
    struct upstreams *us, const struct effect *x, struct headers *headers)
{
	const struct settings *s = us->shell->settings;
	const struct request *r = x->u.attempt.message;
	const char *value;
	char id[80];
	size_t i;

	snprintf(id, sizeof(id), "%" PRIx64 "-%" PRIx64 "-%" PRIx64,
	    us->shell->daemon_id, us->shell->incarnation, x->u.attempt.request);
	headers_add(headers, "mimosalead-request", id);
	for (i = 0; i < s->forward_header_count; i++) {
		value = headers_get(&r->headers, s->forward_headers[i]);
		if (value != NULL)
			headers_add(headers, s->forward_headers[i], value);
	}
}

void
upstreams_attempt(struct upstreams *us, const struct effect *x)
{
	struct http_call_opts o;
	struct headers headers = {.count = 0};
	struct attempt *a;
	struct err e;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort(); /* the reducer waits for an event of this attempt */
	a->id = x->u.attempt.id;
	a->upstreams = us;
	HASH_ADD(hh, us->attempts, id, sizeof(a->id), a);
	us->started++;
	fill_headers(us, x, &headers);
	memset(&o, 0, sizeof(o));
	o.context = us->shell->context;
	o.addr = x->u.attempt.addr;
	o.port = x->u.attempt.port;
	o.method = x->u.attempt.message->method;
	o.path = x->u.attempt.message->path;
	o.headers = &headers;
	o.body = x->u.attempt.message->body;
	o.keep_headers = answer_headers;
	o.timeout_ms = x->u.attempt.timeout_ms;
	o.answer_body_max_bytes = ANSWER_MAX_BYTES;
	o.on_sent = on_sent;
	o.on_done = on_done;
	o.arg = a;
	a->call = http_call_start(&o, &e);
	headers_uninit(&headers);
	if (a->call == NULL)
		lws_sul_schedule(us->shell->context, 0, &a->not_started_timer,
		    on_not_started, 1);
}

void
upstreams_cancel(struct upstreams *us, uint64_t id)
{
	struct attempt *a;

	HASH_FIND(hh, us->attempts, &id, sizeof(id), a);
	if (a == NULL)
		return;
	if (a->call != NULL)
		http_call_cancel(a->call);
	attempt_free(a);
}

struct upstreams *
upstreams_new(struct shell *sh, struct err *e)
{
	struct upstreams *us;

	us = calloc(1, sizeof(*us));
	if (us == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the upstreams' client");
		return NULL;
	}
	us->shell = sh;
	return us;
}

void
upstreams_free(struct upstreams *us)
{
	struct attempt *a, *next;

	if (us == NULL)
		return;
	HASH_ITER(hh, us->attempts, a, next)
	{
		if (a->call != NULL)
			http_call_cancel(a->call);
		attempt_free(a);
	}
	free(us);
}

void
upstreams_metrics(const struct upstreams *us, struct buf *out)
{
	char labels[48];
	int i;

	metric_counter(out, "attempts_started_total",
	    "Connections opened to upstreams", "", us->started);
	metric_counter(out, "attempts_sent_total",
	    "Attempts of which a byte was sent", "", us->sent);
	metric_counter(out, "attempts_answered_total",
	    "Attempts answered in full", "", us->answered);
	for (i = ATTEMPT_UNSENT; i <= ATTEMPT_TIMEOUT; i++) {
		snprintf(
		    labels, sizeof(labels), "failure=\"%s\"", failure_names[i]);
		metric_counter(out, "attempts_failed_total",
		    i == ATTEMPT_UNSENT ? "Attempts without an answer" : NULL,
		    labels, us->failures[i]);
	}
}
