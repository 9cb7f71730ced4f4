#include "owner_exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cap_exchange.h"
#include "cordon_wire.h"
#include "membership.h"
#include "peer_client.h"
#include "shards.h"

#define REPORT_TIMEOUT_MS 400
#define REPORT_MAX_BYTES (2 * 1024 * 1024)

/* A request in flight to the owner of a pool. */
struct owner_call {
	struct owner_exchange *exchange;
	struct http_call *call;
	char pool[NAME_BYTES];
	int64_t sent_us;
	LIST_ENTRY(owner_call) entries;
};

struct owner_exchange {
	struct owner_exchange_opts opts;
	struct cap_exchange *caps;
	LIST_HEAD(owner_calls, owner_call) calls;
};

static void
handle_report(struct owner_exchange *x, const struct pool_report *r)
{
	cap_exchange_report(x->caps, r->pool, r->fence, r->caps);
	x->opts.on_report(x->opts.arg, r);
}

static void
call_free(struct owner_call *c)
{
	LIST_REMOVE(c, entries);
	free(c);
}

static void
on_report_end(void *arg, enum http_outcome end, struct answer *a)
{
	struct owner_call *c = arg;
	struct owner_exchange *x = c->exchange;
	int64_t sent_us = c->sent_us;
	struct pool_report r;
	struct err e;

	call_free(c);
	if (end != HTTP_ANSWERED || a->status != 200 || a->body == NULL) {
		membership_refresh_owners(x->opts.scheduler->membership);
		return;
	}
	if (pool_report_decode(&r, a->body->data, a->body->len, &e) == -1) {
		daemon_log(LOG_LEVEL_WARN, "duty", "msg=\"%s\" remedy=\"%s\"",
		    e.message, e.remedy);
		return;
	}
	r.request_sent_us = sent_us;
	handle_report(x, &r);
	pool_report_uninit(&r);
}

static void
add_cordon(void *arg, const struct cordon *c)
{
	struct cordon_request *r = arg;

	if (r->count == CORDONS_MAX) {
		daemon_log(LOG_LEVEL_WARN, "duty",
		    "msg=\"too many cordons for one request; the worker's is "
		    "not sent\" pool=%s worker=%s",
		    r->pool, c->worker);
		return;
	}
	r->list[r->count++] = *c;
}

static void
send_request(struct owner_exchange *x, const struct endpoint *to,
    const struct cordon_request *r)
{
	struct scheduler *s = x->opts.scheduler;
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->http_connections,
	    .idempotent = true,
	    .answer_body_max_bytes = REPORT_MAX_BYTES,
	    .addr = to->addr,
	    .port = to->port,
	    .method = "POST",
	    .path = PEER_PATH_CORDONS,
	    .timeout_ms = REPORT_TIMEOUT_MS,
	    .on_done = on_report_end,
	};
	struct owner_call *c = calloc(1, sizeof(*c));

	o.body = cordon_request_encode(r);
	if (c == NULL || o.body == NULL) {
		free(c);
		buf_unref(o.body);
		return; /* the next update tries again */
	}
	c->exchange = x;
	snprintf(c->pool, sizeof(c->pool), "%s", r->pool);
	c->sent_us = sched_boottime_us();
	LIST_INSERT_HEAD(&x->calls, c, entries);
	o.arg = c;
	c->call = http_call_start(&o, NULL);
	if (c->call == NULL)
		abort(); /* out of memory */
	buf_unref(o.body);
}

/* Sends what concerns a pool to its owner, here or on a peer. */
static void
update_pool(void *arg, const char *pool)
{
	struct owner_exchange *x = arg;
	struct scheduler *s = x->opts.scheduler;
	struct cordon_request r;
	struct pool_report report;
	struct endpoint to;
	int64_t sent_us = sched_boottime_us();
	int within_ms = 0;
	bool self;

	if (!x->opts.confirmed(x->opts.arg))
		return;
	memset(&r, 0, sizeof(r));
	snprintf(r.pool, sizeof(r.pool), "%s", pool);
	if (x->opts.roster != NULL) {
		r.incoming_count =
		    roster_incoming(x->opts.roster, pool, &within_ms);
		r.incoming_within_ms = (uint64_t)within_ms;
		roster_each_cordon(x->opts.roster, pool, add_cordon, &r);
	}
	cap_exchange_fill(x->caps, pool, &r.caps);
	if (shards_apply_cordons(s->shards, &r, &report) == 0) {
		report.request_sent_us = sent_us;
		handle_report(x, &report);
		pool_report_uninit(&report);
	} else if (membership_owner_of(s->membership, pool, &to, &self) &&
	    !self) {
		send_request(x, &to, &r);
	}
	cordon_request_uninit(&r);
}

void
owner_exchange_tick(struct owner_exchange *x)
{
	const struct config *c = x->opts.scheduler->config;
	size_t i;

	cap_exchange_tick(x->caps);
	for (i = 0; i < c->pool_count; i++) {
		if (!c->pools[i].spare)
			update_pool(x, c->pools[i].name);
	}
}

void
owner_exchange_config_changed(struct owner_exchange *x)
{
	cap_exchange_config_changed(x->caps);
}

void
owner_exchange_metrics(const struct owner_exchange *x, struct buf *out)
{
	if (x != NULL)
		cap_exchange_metrics(x->caps, out);
}

struct owner_exchange *
owner_exchange_new(const struct owner_exchange_opts *opts)
{
	struct owner_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->opts = *opts;
	LIST_INIT(&x->calls);
	x->caps =
	    cap_exchange_new(opts->scheduler, opts->fence, update_pool, x);
	if (x->caps == NULL) {
		free(x);
		return NULL;
	}
	return x;
}

void
owner_exchange_free(struct owner_exchange *x)
{
	struct owner_call *c;

	if (x == NULL)
		return;
	while ((c = LIST_FIRST(&x->calls)) != NULL) {
		http_call_cancel(c->call);
		call_free(c);
	}
	cap_exchange_free(x->caps);
	free(x);
}
