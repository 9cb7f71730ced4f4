/* Orders of a shard to its workers, and questions to the queues' policy. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "advice_wire.h"
#include "shard.h"
#include "worker_wire.h"

#define ORDER_TIMEOUT_MS 400 /* two data centres' round trips and a margin */
#define HOLD_TIMEOUT_MS 600 /* beyond its wait */
#define ADVICE_TIMEOUT_MS 1200 /* one question at a time is answered */
#define LISTS_MAX_BYTES (1024 * 1024) /* of a worker, in one answer */

struct shard_order {
	struct shard *shard;
	enum pool_effect_kind kind;
	char worker[NAME_BYTES];
	struct task_name task;
	int64_t run;
	int64_t asked_us;
	struct http_call *call;
	LIST_ENTRY(shard_order) entries;
};

static enum order_end
refusal_end(enum order_refusal r)
{
	switch (r) {
	case ORDER_TAKEN:
		return ORDER_END_TAKEN;
	case ORDER_FENCED:
		return ORDER_END_FENCED;
	case ORDER_OLD:
		return ORDER_END_OLD;
	case ORDER_NO_ROOM:
		return ORDER_END_NO_ROOM;
	case ORDER_NO_TICKET:
		return ORDER_END_NO_TICKET;
	case ORDER_OTHER_LIFE:
		return ORDER_END_OTHER_LIFE;
	case ORDER_LATE:
	case ORDER_BAD:
	case ORDER_UNHEALTHY:
		break;
	}
	return ORDER_END_REFUSED;
}

static enum order_end
order_end_of(enum http_end end, const struct answer *a)
{
	const struct buf *body;
	int64_t clock_ms;

	switch (end) {
	case HTTP_WHOLE:
		body = a->body;
		return refusal_end(worker_order_answer(a->status,
		    body != NULL ? body->data : NULL,
		    body != NULL ? body->len : 0, &clock_ms));
	case HTTP_UNSENT:
		return ORDER_END_UNSENT;
	case HTTP_LOST:
	case HTTP_TRUNCATED:
	case HTTP_TIMED_OUT:
		break;
	}
	return ORDER_END_LOST;
}

static void
hold_ended(struct shard *sh, const struct shard_order *o, enum order_end end,
    const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_HELD};
	struct hold_report report;
	bool read = false;

	if (end == ORDER_END_TAKEN && a->body != NULL)
		read = hold_report_parse(
			   &report, a->body->data, a->body->len) == 0;
	if (end == ORDER_END_TAKEN && !read) {
		daemon_log(LOG_LEVEL_WARN, "orders",
		    "msg=\"a worker's lists cannot be read\" worker=%s",
		    o->worker);
		end = ORDER_END_REFUSED;
	}
	snprintf(ev.u.held.worker, NAME_BYTES, "%s", o->worker);
	ev.u.held.asked_us = o->asked_us;
	ev.u.held.report = read ? &report : NULL;
	ev.u.held.end = end;
	shard_event(sh, &ev);
	if (read)
		hold_report_uninit(&report);
}

static void
advice_ended(
    struct shard *sh, const struct shard_order *o, const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_ADVISED};
	struct advice advice;

	memset(&advice, 0, sizeof(advice));
	ev.u.advised.step = o->task;
	if (a != NULL && a->status == 200 && a->body != NULL &&
	    advice_parse(&advice, a->body->data, a->body->len) == 0) {
		ev.u.advised.ok = true;
		ev.u.advised.list = advice.list;
		ev.u.advised.count = advice.count;
		ev.u.advised.valid_ms = advice.valid_ms;
	}
	shard_event(sh, &ev);
	advice_uninit(&advice);
}

static void
order_event(struct shard *sh, const struct shard_order *o, enum order_end end)
{
	struct pool_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.kind = o->kind == POOL_START ? POOL_STARTED : POOL_STOPPED;
	snprintf(ev.u.order.worker, NAME_BYTES, "%s", o->worker);
	ev.u.order.task = o->task;
	ev.u.order.run = o->run;
	ev.u.order.end = end;
	shard_event(sh, &ev);
}

static void
order_ended(void *arg, enum http_end http_end, struct answer *a)
{
	struct shard_order *o = arg;
	struct shard *sh = o->shard;
	enum order_end end = order_end_of(http_end, a);

	LIST_REMOVE(o, entries);
	if (http_end != HTTP_WHOLE)
		sh->scheduler->counters.worker_commands_unanswered++;
	switch (o->kind) {
	case POOL_HOLD:
		hold_ended(sh, o, end, a);
		break;
	case POOL_START:
	case POOL_STOP:
		order_event(sh, o, end);
		break;
	case POOL_ADVISE:
		advice_ended(sh, o, http_end == HTTP_WHOLE ? a : NULL);
		break;
	case POOL_PACE: /* the next report of its tail decides again */
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_ASK_CENSUS:
	case POOL_LOG:
		break;
	}
	if (end == ORDER_END_FENCED)
		shard_deposed(sh, "later-owner-at-worker");
	free(o);
}

struct order_send {
	const struct worker_target *worker; /* NULL: the policy's service */
	const char *path;
	struct buf *body; /* taken over */
	int timeout_ms;
	bool repeatable;
};

static void
send_order(struct shard *sh, struct shard_order *o, const struct order_send *m)
{
	const struct boot *b = &sh->scheduler->boot;
	struct headers headers = {.count = 0};
	struct http_call_opts c = {
	    .context = sh->scheduler->context,
	    .pool = sh->scheduler->http_connections,
	    .repeatable = m->repeatable,
	    .addr = m->worker != NULL ? m->worker->addr : b->advice.addr,
	    .port = m->worker != NULL ? m->worker->port : b->advice.port,
	    .method = "POST",
	    .path = m->path,
	    .headers = &headers,
	    .body = m->body,
	    .timeout_ms = m->timeout_ms,
	    .max_bytes = LISTS_MAX_BYTES,
	    .on_end = order_ended,
	    .arg = o,
	};

	headers_add(&headers, "content-type", "application/json");
	if (m->worker != NULL)
		headers_add(&headers, WORKER_HEADER_ID, m->worker->id);
	o->asked_us = sched_monotonic_us();
	sh->scheduler->counters.worker_commands++;
	LIST_INSERT_HEAD(&sh->orders, o, entries);
	o->call = m->body != NULL ? http_call_start(&c, NULL) : NULL;
	if (o->call == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	headers_uninit(&headers);
	buf_unref(m->body);
}

static struct shard_order *
order_new_call(struct shard *sh, enum pool_effect_kind kind, const char *worker,
    const struct task_name *task, int64_t run)
{
	struct shard_order *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		abort(); /* the reducer waits for its end */
	o->shard = sh;
	o->kind = kind;
	snprintf(o->worker, sizeof(o->worker), "%s", worker);
	if (task != NULL)
		o->task = *task;
	o->run = run;
	return o;
}

static void
send_start(struct shard *sh, const struct pool_effect *x)
{
	struct start_order s = {
	    .task = x->u.start.task,
	    .run = x->u.start.run,
	    .spec = x->u.start.order->spec,
	    .lease_end_ms = x->u.start.lease_end_ms,
	    .fence = sh->fence,
	    .saved = x->u.start.saved,
	    .ticket = x->u.start.ticket,
	};
	struct order_send m = {
	    .worker = &x->u.start.worker,
	    .path = WORKER_PATH_START,
	    .body = worker_start_body(&s),
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	send_order(sh,
	    order_new_call(sh, x->kind, x->u.start.worker.id, &x->u.start.task,
		x->u.start.run),
	    &m);
}

/* An order about a run that the worker has already. */
static void
send_about_run(struct shard *sh, const struct pool_effect *x, const char *path,
    struct buf *body)
{
	struct order_send m = {
	    .worker = &x->u.order.worker,
	    .path = path,
	    .body = body,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	    .repeatable = true,
	};

	send_order(sh,
	    order_new_call(sh, x->kind, x->u.order.worker.id, &x->u.order.task,
		x->u.order.run),
	    &m);
}

static void
send_hold(struct shard *sh, const struct pool_effect *x)
{
	struct order_send m = {
	    .worker = &x->u.hold.worker,
	    .path = WORKER_PATH_HOLD,
	    .body = worker_hold_body(sh->fence, x->u.hold.acked_end,
		x->u.hold.lease_end_ms, x->u.hold.wait_ms),
	    .timeout_ms = x->u.hold.wait_ms + HOLD_TIMEOUT_MS,
	    .repeatable = true,
	};

	send_order(
	    sh, order_new_call(sh, x->kind, x->u.hold.worker.id, NULL, 0), &m);
}

static void
send_advise(struct shard *sh, const struct pool_effect *x)
{
	const struct boot *b = &sh->scheduler->boot;
	struct order_send m = {
	    .path = ADVICE_PATH,
	    .body = advice_body(&x->u.advise.step,
		(const char(*)[NAME_BYTES])x->u.advise.workers,
		x->u.advise.count),
	    .timeout_ms = ADVICE_TIMEOUT_MS,
	    .repeatable = true,
	};

	if (b->advice.addr[0] == '\0') {
		daemon_log(LOG_LEVEL_ERROR, "orders",
		    "msg=\"a queue has a policy, and no service says it\" "
		    "job=%s remedy=\"give the policy's address\"",
		    x->u.advise.step.job);
		buf_unref(m.body);
		return;
	}
	send_order(
	    sh, order_new_call(sh, x->kind, "", &x->u.advise.step, 0), &m);
}

void
shard_order_send(struct shard *sh, const struct pool_effect *x)
{
	switch (x->kind) {
	case POOL_START:
		send_start(sh, x);
		break;
	case POOL_STOP:
		send_about_run(sh, x, WORKER_PATH_STOP,
		    worker_stop_body(
			&x->u.order.task, x->u.order.run, sh->fence));
		break;
	case POOL_HOLD:
		send_hold(sh, x);
		break;
	case POOL_PACE:
		send_about_run(sh, x, WORKER_PATH_PACE,
		    worker_pace_body(&x->u.order.task, x->u.order.run,
			x->u.order.percent, sh->fence));
		break;
	case POOL_ADVISE:
		send_advise(sh, x);
		break;
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_ASK_CENSUS:
	case POOL_LOG:
		break;
	}
}

void
shard_orders_cancel(struct shard *sh)
{
	struct shard_order *o;

	while ((o = LIST_FIRST(&sh->orders)) != NULL) {
		LIST_REMOVE(o, entries);
		http_call_cancel(o->call);
		free(o);
	}
}
