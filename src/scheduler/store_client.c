#include "store_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STORE_ANSWER_MAX (4 * 1024 * 1024) /* bytes: a page and its base64 */

struct store_op {
	struct scheduler *scheduler;
	struct http_call *call;
	char topic[TOPIC_BYTES];
	int64_t sent_us;
	store_end *end;
	void *arg;
};

static void
log_change(const char *topic, const struct store_change *c)
{
	long long ms = c->silent_us >= 0 ? c->silent_us / US_PER_MS : -1;

	if (c->kind == STORE_LOST)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"store does not answer\" topic=%s heard_ms_ago=%lld "
		    "failed=%d",
		    topic, ms, c->failed);
	else if (c->kind == STORE_REGAINED)
		daemon_log(LOG_LEVEL_INFO, "store",
		    "msg=\"store answers again\" topic=%s away_ms=%lld "
		    "failed=%d",
		    topic, ms, c->failed);
}

static void
note_end(const struct store_op *op, bool heard)
{
	struct scheduler *s = op->scheduler;
	struct store_call_end end = {
	    .topic = op->topic,
	    .sent_us = op->sent_us,
	    .heard = heard,
	};
	struct store_change topic, all;

	if (!heard)
		s->counts.store_failed++;
	store_health_note(&s->store, sched_now_us(), &end, &topic, &all);
	log_change(op->topic, &topic);
	log_change("any", &all);
}

/* The store turns a daemon away with 429 or 503 as long as it likes. */
static bool
served(int status)
{
	return status < 500 && status != 429;
}

static void
op_ended(void *arg, enum http_end end, struct answer *answer)
{
	struct store_op *op = arg;
	bool whole = end == HTTP_WHOLE;
	const struct buf *body = whole ? answer->body : NULL;

	note_end(op, whole && served(answer->status));
	op->end(op->arg, whole ? answer->status : 0, end != HTTP_UNSENT,
	    body != NULL ? body->data : NULL, body != NULL ? body->len : 0);
	free(op);
}

struct store_op *
store_send(struct scheduler *s, struct store_call *c, int timeout_ms,
    store_end *end, void *arg)
{
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->conns,
	    .repeatable = true,
	    .addr = s->settings.store_endpoint.addr,
	    .port = s->settings.store_endpoint.port,
	    .method = c->method,
	    .path = c->path,
	    .body = c->body,
	    .timeout_ms = timeout_ms,
	    .max_bytes = STORE_ANSWER_MAX,
	    .on_end = op_ended,
	};
	struct store_op *op;

	op = calloc(1, sizeof(*op));
	if (op != NULL) {
		op->scheduler = s;
		op->sent_us = sched_now_us();
		snprintf(op->topic, sizeof(op->topic), "%s", c->topic_or_group);
		op->end = end;
		op->arg = arg;
		o.arg = op;
		s->counts.store_calls++;
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
