#include "store_client.h"

#include <stdlib.h>
#include <string.h>

#define STORE_ANSWER_MAX (4 * 1024 * 1024) /* bytes: a page and its base64 */

struct store_op {
	struct scheduler *scheduler;
	struct http_call *call;
	store_end *end;
	void *arg;
};

static void
note_answer(struct scheduler *s, bool heard)
{
	if (heard) {
		s->store_heard_us = sched_now_us();
		if (s->store_lost)
			daemon_log(LOG_LEVEL_INFO, "store",
			    "msg=\"store answers again\"");
		s->store_lost = false;
		return;
	}
	s->counts.store_failed++;
	if (!s->store_lost)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"store does not answer\" heard_ms_ago=%lld",
		    (long long)((sched_now_us() - s->store_heard_us) /
			US_PER_MS));
	s->store_lost = true;
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

	note_answer(op->scheduler, whole && served(answer->status));
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
	    .addr = s->boot.store.addr,
	    .port = s->boot.store.port,
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
