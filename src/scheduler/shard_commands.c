/*
 * Sends a shard's commands to workers, and its requests to the advice service,
 * which decides on which workers a step may run.  The answers become events of
 * the pool.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "advice_wire.h"
#include "shard.h"
#include "worker_wire.h"

/* Round trips between two data centres, and a margin. */
#define COMMAND_TIMEOUT_MS 400
#define RENEWAL_MARGIN_MS 600 /* beyond the time that the worker may wait */
#define ADVICE_TIMEOUT_MS 1200 /* the service answers one request at a time */
#define WORKER_ANSWER_MAX_BYTES (1024 * 1024)

struct shard_command {
	struct shard *shard;
	enum pool_effect_kind kind;
	char worker[NAME_BYTES];
	struct task_name task; /* POOL_ADVISE: its step; POOL_HOLD: unused */
	int64_t run;
	int64_t sent_us; /* monotonic */
	struct http_call *call;
	LIST_ENTRY(shard_command) entries;
};

static enum order_end
result_of_worker_answer(enum order_refusal r)
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
result_of_http_end(enum http_end end, const struct answer *a)
{
	const struct buf *body;
	int64_t clock_ms;

	switch (end) {
	case HTTP_WHOLE:
		body = a->body;
		return result_of_worker_answer(worker_order_answer(a->status,
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
handle_renewal_result(struct shard *sh, const struct shard_command *cmd,
    enum order_end end, const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_HELD};
	struct hold_report report;
	bool read = false;

	if (end == ORDER_END_TAKEN && a->body != NULL)
		read = hold_report_parse(
			   &report, a->body->data, a->body->len) == 0;
	if (end == ORDER_END_TAKEN && !read) {
		daemon_log(LOG_LEVEL_WARN, "orders",
		    "msg=\"a worker's answer to a lease renewal is malformed; "
		    "it counts as refused\" worker=%s",
		    cmd->worker);
		end = ORDER_END_REFUSED;
	}
	snprintf(ev.u.held.worker, NAME_BYTES, "%s", cmd->worker);
	ev.u.held.asked_us = cmd->sent_us;
	ev.u.held.report = read ? &report : NULL;
	ev.u.held.end = end;
	shard_handle_event(sh, &ev);
	if (read)
		hold_report_uninit(&report);
}

static void
handle_advice_answer(
    struct shard *sh, const struct shard_command *cmd, const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_ADVISED};
	struct advice advice;

	memset(&advice, 0, sizeof(advice));
	ev.u.advised.step = cmd->task;
	if (a != NULL && a->status == 200 && a->body != NULL &&
	    advice_parse(&advice, a->body->data, a->body->len) == 0) {
		ev.u.advised.ok = true;
		ev.u.advised.list = advice.list;
		ev.u.advised.count = advice.count;
		ev.u.advised.valid_ms = advice.valid_ms;
	}
	shard_handle_event(sh, &ev);
	advice_uninit(&advice);
}

static void
handle_run_command_result(
    struct shard *sh, const struct shard_command *cmd, enum order_end end)
{
	struct pool_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.kind = cmd->kind == POOL_START ? POOL_STARTED : POOL_STOPPED;
	snprintf(ev.u.order.worker, NAME_BYTES, "%s", cmd->worker);
	ev.u.order.task = cmd->task;
	ev.u.order.run = cmd->run;
	ev.u.order.end = end;
	shard_handle_event(sh, &ev);
}

static void
on_command_end(void *arg, enum http_end http_end, struct answer *a)
{
	struct shard_command *cmd = arg;
	struct shard *sh = cmd->shard;
	enum order_end end = result_of_http_end(http_end, a);

	LIST_REMOVE(cmd, entries);
	if (http_end != HTTP_WHOLE)
		sh->scheduler->counts.worker_unanswered++;
	switch (cmd->kind) {
	case POOL_HOLD:
		handle_renewal_result(sh, cmd, end, a);
		break;
	case POOL_START:
	case POOL_STOP:
		handle_run_command_result(sh, cmd, end);
		break;
	case POOL_ADVISE:
		handle_advice_answer(
		    sh, cmd, http_end == HTTP_WHOLE ? a : NULL);
		break;
	case POOL_PACE: /* not repeated: the next latency report decides */
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_ASK_CENSUS:
	case POOL_LOG:
		break;
	}
	if (end == ORDER_END_FENCED)
		shard_end_term(sh, "later-owner-at-worker");
	free(cmd);
}

struct command_request {
	const struct worker_target *worker; /* NULL: the advice service */
	const char *path;
	struct buf *body; /* send_command() drops the reference */
	int timeout_ms;
	bool repeatable;
};

static void
send_command(struct shard *sh, struct shard_command *cmd,
    const struct command_request *req)
{
	const struct boot *b = &sh->scheduler->boot;
	struct headers headers = {.count = 0};
	struct http_call_opts c = {
	    .context = sh->scheduler->context,
	    .pool = sh->scheduler->conns,
	    .repeatable = req->repeatable,
	    .addr = req->worker != NULL ? req->worker->addr : b->advice.addr,
	    .port = req->worker != NULL ? req->worker->port : b->advice.port,
	    .method = "POST",
	    .path = req->path,
	    .headers = &headers,
	    .body = req->body,
	    .timeout_ms = req->timeout_ms,
	    .max_bytes = WORKER_ANSWER_MAX_BYTES,
	    .on_end = on_command_end,
	    .arg = cmd,
	};

	headers_add(&headers, "content-type", "application/json");
	if (req->worker != NULL)
		headers_add(&headers, WORKER_HEADER_ID, req->worker->id);
	cmd->sent_us = sched_now_us();
	sh->scheduler->counts.worker_orders++;
	LIST_INSERT_HEAD(&sh->commands, cmd, entries);
	cmd->call = req->body != NULL ? http_call_start(&c, NULL) : NULL;
	if (cmd->call == NULL)
		abort(); /* out of memory; the reducer waits for the answer */
	headers_uninit(&headers);
	buf_unref(req->body);
}

static struct shard_command *
command_new(struct shard *sh, enum pool_effect_kind kind, const char *worker,
    const struct task_name *task, int64_t run)
{
	struct shard_command *cmd;

	cmd = calloc(1, sizeof(*cmd));
	if (cmd == NULL)
		abort(); /* out of memory; the reducer waits for the answer */
	cmd->shard = sh;
	cmd->kind = kind;
	snprintf(cmd->worker, sizeof(cmd->worker), "%s", worker);
	if (task != NULL)
		cmd->task = *task;
	cmd->run = run;
	return cmd;
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
	struct command_request req = {
	    .worker = &x->u.start.worker,
	    .path = WORKER_PATH_START,
	    .body = worker_start_body(&s),
	    .timeout_ms = COMMAND_TIMEOUT_MS,
	};

	send_command(sh,
	    command_new(sh, x->kind, x->u.start.worker.id, &x->u.start.task,
		x->u.start.run),
	    &req);
}

/* Sends a command about a run that was started on the worker earlier. */
static void
send_run_command(struct shard *sh, const struct pool_effect *x,
    const char *path, struct buf *body)
{
	struct command_request req = {
	    .worker = &x->u.order.worker,
	    .path = path,
	    .body = body,
	    .timeout_ms = COMMAND_TIMEOUT_MS,
	    .repeatable = true,
	};

	send_command(sh,
	    command_new(sh, x->kind, x->u.order.worker.id, &x->u.order.task,
		x->u.order.run),
	    &req);
}

static void
send_renewal(struct shard *sh, const struct pool_effect *x)
{
	struct command_request req = {
	    .worker = &x->u.hold.worker,
	    .path = WORKER_PATH_HOLD,
	    .body = worker_hold_body(sh->fence, x->u.hold.acked_end,
		x->u.hold.lease_end_ms, x->u.hold.wait_ms),
	    .timeout_ms = x->u.hold.wait_ms + RENEWAL_MARGIN_MS,
	    .repeatable = true,
	};

	send_command(
	    sh, command_new(sh, x->kind, x->u.hold.worker.id, NULL, 0), &req);
}

static void
send_advice_request(struct shard *sh, const struct pool_effect *x)
{
	const struct boot *b = &sh->scheduler->boot;
	struct command_request req = {
	    .path = ADVICE_PATH,
	    .body = advice_body(&x->u.advise.step,
		(const char(*)[NAME_BYTES])x->u.advise.workers,
		x->u.advise.count),
	    .timeout_ms = ADVICE_TIMEOUT_MS,
	    .repeatable = true,
	};

	if (b->advice.addr[0] == '\0') {
		daemon_log(LOG_LEVEL_ERROR, "orders",
		    "msg=\"the job's queue needs advice on placement, but "
		    "the settings name no advice service; the step is not "
		    "placed\" job=%s "
		    "remedy=\"set the address of the advice service\"",
		    x->u.advise.step.job);
		buf_unref(req.body);
		return;
	}
	send_command(
	    sh, command_new(sh, x->kind, "", &x->u.advise.step, 0), &req);
}

void
shard_send_command(struct shard *sh, const struct pool_effect *x)
{
	switch (x->kind) {
	case POOL_START:
		send_start(sh, x);
		break;
	case POOL_STOP:
		send_run_command(sh, x, WORKER_PATH_STOP,
		    worker_stop_body(
			&x->u.order.task, x->u.order.run, sh->fence));
		break;
	case POOL_HOLD:
		send_renewal(sh, x);
		break;
	case POOL_PACE:
		send_run_command(sh, x, WORKER_PATH_PACE,
		    worker_pace_body(&x->u.order.task, x->u.order.run,
			x->u.order.percent, sh->fence));
		break;
	case POOL_ADVISE:
		send_advice_request(sh, x);
		break;
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_ASK_CENSUS:
	case POOL_LOG:
		break;
	}
}

void
shard_cancel_commands(struct shard *sh)
{
	struct shard_command *cmd;

	while ((cmd = LIST_FIRST(&sh->commands)) != NULL) {
		LIST_REMOVE(cmd, entries);
		http_call_cancel(cmd->call);
		free(cmd);
	}
}
