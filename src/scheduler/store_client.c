#include "store_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Holds a page of records, base64-encoded. */
#define STORE_ANSWER_MAX_BYTES (4 * 1024 * 1024)

struct store_op {
	struct scheduler *scheduler;
	struct http_call *call;
	char topic[TOPIC_BYTES];
	int64_t sent_us;
	store_done_fn *done;
	void *arg;
};

static void
log_change(const char *topic, const struct store_health_change *c)
{
	long long ms =
	    c->since_answer_us >= 0 ? c->since_answer_us / US_PER_MS : -1;

	if (c->kind == STORE_HEALTH_LOST)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"store does not answer\" topic=%s heard_ms_ago=%lld "
		    "failed=%d",
		    topic, ms, c->failure_count);
	else if (c->kind == STORE_HEALTH_RESTORED)
		daemon_log(LOG_LEVEL_INFO, "store",
		    "msg=\"store answers again\" topic=%s away_ms=%lld "
		    "failed=%d",
		    topic, ms, c->failure_count);
}

static void
record_result(const struct store_op *op, bool answered)
{
	struct scheduler *s = op->scheduler;
	struct store_call_result result = {
	    .topic = op->topic,
	    .sent_us = op->sent_us,
	    .answered = answered,
	};
	struct store_health_change topic, all;

	if (!answered)
		s->counters.store_calls_failed++;
	store_health_record(
	    &s->store_state, sched_monotonic_us(), &result, &topic, &all);
	log_change(op->topic, &topic);
	log_change("any", &all);
}

/*
 * 429 and 5xx count as no answer: the store may refuse one daemon with 429 or
 * 503 for any length of time.
 */
static bool
is_usable(int status)
{
	return status < 500 && status != 429;
}

static void
on_http_done(void *arg, enum http_outcome end, struct answer *answer)
{
	struct store_op *op = arg;
	bool whole = end == HTTP_ANSWERED;
	const struct buf *body = whole ? answer->body : NULL;

	record_result(op, whole && is_usable(answer->status));
	op->done(op->arg, whole ? answer->status : 0, end != HTTP_UNSENT,
	    body != NULL ? body->data : NULL, body != NULL ? body->len : 0);
	free(op);
}

struct store_op *
store_op_start(struct scheduler *s, struct store_call *c, int timeout_ms,
    store_done_fn *done, void *arg)
{
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->http_connections,
	    .idempotent = true,
	    .addr = s->settings.store_endpoint.addr,
	    .port = s->settings.store_endpoint.port,
	    .method = c->method,
	    .path = c->path,
	    .body = c->body,
	    .timeout_ms = timeout_ms,
	    .answer_body_max_bytes = STORE_ANSWER_MAX_BYTES,
	    .on_done = on_http_done,
	};
	struct store_op *op;

	op = calloc(1, sizeof(*op));
	if (op != NULL) {
		op->scheduler = s;
		op->sent_us = sched_monotonic_us();
		snprintf(op->topic, sizeof(op->topic), "%s", c->topic_or_group);
		op->done = done;
		op->arg = arg;
		o.arg = op;
		s->counters.store_calls++;
		op->call = http_call_start(&o, NULL);
	}
	if (op != NULL && op->call == NULL) {
		free(op);
		op = NULL;
	}
	store_call_uninit(c);
	return op;
}

void
store_op_cancel(struct store_op *op)
{
	if (op == NULL)
		return;
	http_call_cancel(op->call);
	free(op);
}
