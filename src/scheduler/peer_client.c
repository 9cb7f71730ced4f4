#include "peer_client.h"

#include <stdlib.h>

#include "config_relay.h"

#define REPLY_MAX_BYTES 65536

struct peer_call {
	struct scheduler *scheduler;
	struct http_call *call;
	job_reply_fn *reply;
	void *arg;
	struct endpoint to;
};

/* Says that the request has not been carried out, or never will be. */
static bool
reply_rejects(const struct job_reply *r)
{
	return r->kind == REPLY_NOT_DONE ||
	    (r->kind == REPLY_ANSWER && r->answer == POOL_OVERLOADED);
}

static void
on_http_done(void *arg, enum http_outcome end, struct answer *a)
{
	struct peer_call *c = arg;
	struct job_reply r;
	struct err e;

	if (end != HTTP_ANSWERED || a->status != 200 || a->body == NULL ||
	    job_reply_decode(&r, a->body->data, a->body->len, &e) == -1) {
		r.kind = end == HTTP_UNSENT ? REPLY_NOT_DONE : REPLY_UNKNOWN;
		r.config_version = 0;
		c->scheduler->counters.forwards_failed++;
		daemon_log(LOG_LEVEL_INFO, "peers",
		    "msg=\"no usable answer from the pool's owner\" "
		    "peer=%s:%d end=%d status=%d",
		    c->to.addr, c->to.port, end,
		    end == HTTP_ANSWERED ? a->status : 0);
	} else if (a->resent && reply_rejects(&r)) {
		/* true of the second copy; the first may have been stored */
		daemon_log(LOG_LEVEL_INFO, "peers",
		    "msg=\"the pool's owner rejects a request that was sent "
		    "twice: its outcome is unknown\" peer=%s:%d kind=%d",
		    c->to.addr, c->to.port, r.kind);
		r.kind = REPLY_UNKNOWN;
	}
	if (r.config_version != 0)
		config_relay_version_seen(
		    c->scheduler->relay, &c->to, r.config_version);
	c->reply(c->arg, &r);
	free(c);
}

struct peer_call *
peer_call_start(struct scheduler *s, const struct endpoint *to,
    const struct job_request *r, int timeout_ms, job_reply_fn *reply, void *arg)
{
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->http_connections,
	    .idempotent = true, /* idempotent: identified by the job's id */
	    .addr = to->addr,
	    .port = to->port,
	    .method = "POST",
	    .path = PEER_PATH_JOBS,
	    .timeout_ms = timeout_ms,
	    .answer_body_max_bytes = REPLY_MAX_BYTES,
	    .on_done = on_http_done,
	};
	struct peer_call *c;

	c = calloc(1, sizeof(*c));
	o.body = job_request_encode(r);
	if (c == NULL || o.body == NULL)
		goto fail;
	c->scheduler = s;
	c->reply = reply;
	c->arg = arg;
	c->to = *to;
	o.arg = c;
	s->counters.requests_forwarded++;
	c->call = http_call_start(&o, NULL);
	if (c->call == NULL)
		goto fail;
	buf_unref(o.body);
	return c;
fail:
	buf_unref(o.body);
	free(c);
	return NULL;
}

void
peer_call_set_timeout(struct peer_call *c, int timeout_ms)
{
	http_call_set_timeout(c->call, timeout_ms);
}

void
peer_call_cancel(struct peer_call *c)
{
	if (c == NULL)
		return;
	http_call_cancel(c->call);
	free(c);
}
