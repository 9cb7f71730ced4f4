/*
 * Sends a shard's commands to workers, and its requests to the advice service,
 * which decides on which workers a step may run.  The answers become events of
 * the pool.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "advice_wire.h"
#include "long_name.h"
#include "shard.h"
#include "worker_wire.h"

/* Round trips between two data centres, and a margin. */
#define COMMAND_TIMEOUT_MS 400
#define RENEWAL_MARGIN_MS 600 /* beyond the time that the worker may wait */
/*
 * An answer that a late loop reads this long after the renewal's timeout is not
 * taken: by the worker's clock in it, the next leases would be too short.
 */
#define RENEWAL_ANSWER_LATE_MAX_MS 500
#define ADVICE_TIMEOUT_MS 1200 /* the service answers one request at a time */
/*
 * Of an answer without the strings that are dropped: two lists of runs, the
 * checkpoint of each not longer than the short ones.
 */
#define WORKER_ANSWER_MAX_BYTES (1024 * 1024)
/* Hundreds of answers may arrive at once. */
static const struct json_string_limit_opts answer_strings = {
    .string_max_bytes = 128 * 1024,
    .short_bytes = 256,
    .body_bytes = 256 * 1024,
};

struct shard_command {
	struct shard *shard;
	enum pool_effect_kind kind;
	char worker[NAME_BYTES];
	struct task_name
	    task; /* POOL_QUERY_POLICY: its step; POOL_RENEW: unused */
	int64_t run;
	int64_t fence;
	int64_t sent_us; /* boot clock */
	int timeout_ms;
	struct http_call *call;
	lws_sorted_usec_list_t unsent_timer; /* ends one that is not sent */
	LIST_ENTRY(shard_command) entries;
};

static enum command_result
result_of_worker_answer(enum worker_answer r)
{
	switch (r) {
	case WORKER_ANSWER_ACCEPTED:
		return COMMAND_ACCEPTED;
	case WORKER_ANSWER_FENCED:
		return COMMAND_FENCED;
	case WORKER_ANSWER_RUN_ENDED:
		return COMMAND_RUN_ENDED;
	case WORKER_ANSWER_NO_CAPACITY:
		return COMMAND_NO_CAPACITY;
	case WORKER_ANSWER_NO_TICKET:
		return COMMAND_NO_TICKET;
	case WORKER_ANSWER_OTHER_INCARNATION:
		return COMMAND_OTHER_INCARNATION;
	case WORKER_ANSWER_MALFORMED: /* it may have been carried out */
		return COMMAND_UNANSWERED;
	case WORKER_ANSWER_LEASE_EXPIRED:
	case WORKER_ANSWER_UNAVAILABLE:
		break;
	}
	return COMMAND_REFUSED;
}

enum command_result
shard_command_result(int status, const struct buf *body, int64_t *clock_ms)
{
	return result_of_worker_answer(
	    worker_answer_parse(status, body != NULL ? body->data : NULL,
		body != NULL ? body->len : 0, clock_ms));
}

/* Sets "clock_ms" to the worker's clock in the answer, or -1. */
static enum command_result
result_of_http_end(
    enum http_outcome end, const struct answer *a, int64_t *clock_ms)
{
	*clock_ms = -1;
	switch (end) {
	case HTTP_ANSWERED:
		return shard_command_result(a->status, a->body, clock_ms);
	case HTTP_UNSENT:
		return COMMAND_UNSENT;
	case HTTP_NO_ANSWER:
	case HTTP_TRUNCATED:
	case HTTP_TIMED_OUT:
		break;
	}
	return COMMAND_UNANSWERED;
}

static bool
renewal_answer_is_old(const struct shard_command *cmd)
{
	return sched_boottime_us() - cmd->sent_us >
	    (cmd->timeout_ms + RENEWAL_ANSWER_LATE_MAX_MS) * US_PER_MS;
}

static void
handle_renewal_result(struct shard *sh, const struct shard_command *cmd,
    enum command_result result, const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_RENEWAL_DONE};
	struct renewal_report report;
	bool read = false;

	if (result == COMMAND_ACCEPTED && renewal_answer_is_old(cmd))
		result = COMMAND_UNANSWERED;
	if (result == COMMAND_ACCEPTED && a->body != NULL)
		read = renewal_report_parse(
			   &report, a->body->data, a->body->len) == 0;
	if (result == COMMAND_ACCEPTED && !read) {
		daemon_log(LOG_LEVEL_WARN, "orders",
		    "msg=\"a worker's answer to a lease renewal is malformed; "
		    "it counts as refused\" worker=%s",
		    cmd->worker);
		result = COMMAND_REFUSED;
	}
	if (read && report.unreadable_count > 0)
		daemon_log(LOG_LEVEL_WARN, "orders",
		    "msg=\"rows of a worker's answer cannot be read and are "
		    "left out\" worker=%s rows=%zu running=%zu ended=%zu",
		    cmd->worker, report.unreadable_count, report.running_count,
		    report.ended_count);
	snprintf(ev.u.renewal.worker, NAME_BYTES, "%s", cmd->worker);
	ev.u.renewal.sent_us = cmd->sent_us;
	ev.u.renewal.report = read ? &report : NULL;
	ev.u.renewal.result = result;
	shard_handle_event(sh, &ev);
	if (read)
		renewal_report_uninit(&report);
}

static void
handle_advice_answer(
    struct shard *sh, const struct shard_command *cmd, const struct answer *a)
{
	struct pool_event ev = {.kind = POOL_POLICY_ANSWER};
	struct advice advice;

	memset(&advice, 0, sizeof(advice));
	ev.u.policy_answer.step = cmd->task;
	if (a != NULL && a->status == 200 && a->body != NULL &&
	    advice_response_parse(&advice, a->body->data, a->body->len) == 0) {
		ev.u.policy_answer.ok = true;
		ev.u.policy_answer.tickets = advice.tickets;
		ev.u.policy_answer.count = advice.ticket_count;
		ev.u.policy_answer.valid_ms = advice.valid_ms;
	}
	shard_handle_event(sh, &ev);
	advice_uninit(&advice);
}

static void
handle_run_command_result(struct shard *sh, const struct shard_command *cmd,
    enum command_result result, int64_t clock_ms)
{
	struct pool_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.kind = cmd->kind == POOL_START ? POOL_START_DONE : POOL_STOP_DONE;
	snprintf(ev.u.command.worker, NAME_BYTES, "%s", cmd->worker);
	ev.u.command.task = cmd->task;
	ev.u.command.run = cmd->run;
	ev.u.command.result = result;
	ev.u.command.clock_ms = clock_ms;
	shard_handle_event(sh, &ev);
}

/* A worker that rejects the fence of its newest commands has another owner. */
static bool
owner_replaced(const struct shard_command *cmd, enum command_result result)
{
	return result == COMMAND_FENCED &&
	    cmd->fence >= pool_worker_fence(cmd->shard->pool, cmd->worker);
}

static void
on_command_end(void *arg, enum http_outcome http_outcome, struct answer *a)
{
	struct shard_command *cmd = arg;
	struct shard *sh = cmd->shard;
	int64_t clock_ms;
	enum command_result end =
	    result_of_http_end(http_outcome, a, &clock_ms);
	bool replaced = owner_replaced(cmd, end);

	LIST_REMOVE(cmd, entries);
	if (http_outcome != HTTP_ANSWERED)
		sh->scheduler->counters.worker_commands_unanswered++;
	switch (cmd->kind) {
	case POOL_RENEW:
		handle_renewal_result(sh, cmd, end, a);
		break;
	case POOL_START:
	case POOL_STOP:
		handle_run_command_result(sh, cmd, end, clock_ms);
		break;
	case POOL_QUERY_POLICY:
		handle_advice_answer(
		    sh, cmd, http_outcome == HTTP_ANSWERED ? a : NULL);
		break;
	case POOL_THROTTLE: /* not repeated: the next latency report decides */
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_CHECK_LIVENESS:
	case POOL_LOG:
		break;
	}
	if (replaced)
		shard_end_term(sh, "later-owner-at-worker");
	free(cmd);
}

static void
on_unsent(lws_sorted_usec_list_t *sul)
{
	on_command_end(
	    lws_container_of(sul, struct shard_command, unsent_timer),
	    HTTP_UNSENT, NULL);
}

struct command_request {
	const struct worker_target *worker; /* NULL: the advice service */
	const char *path;
	struct buf *body; /* send_command() drops the reference */
	int timeout_ms;
	int connect_timeout_ms; /* 0: timeout_ms */
	bool repeatable;
};

static void
send_command(struct shard *sh, struct shard_command *cmd,
    const struct command_request *req)
{
	const struct platform_settings *settings = &sh->scheduler->settings;
	struct headers headers = {.count = 0};
	/* unknown: its entry has not been read since this process started */
	const char *instance =
	    req->worker != NULL ? name_full(req->worker->id) : "";
	struct http_call_opts c = {
	    .context = sh->scheduler->context,
	    .pool = sh->scheduler->http_connections,
	    .idempotent = req->repeatable,
	    .addr = req->worker != NULL ? req->worker->addr
					: settings->advice_endpoint.addr,
	    .port = req->worker != NULL ? req->worker->port
					: settings->advice_endpoint.port,
	    .method = "POST",
	    .path = req->path,
	    .headers = &headers,
	    .body = req->body,
	    .timeout_ms = req->timeout_ms,
	    .connect_timeout_ms = req->connect_timeout_ms,
	    .answer_body_max_bytes = WORKER_ANSWER_MAX_BYTES,
	    .answer_strings = &answer_strings,
	    .on_done = on_command_end,
	    .arg = cmd,
	};

	headers_add(&headers, "content-type", "application/json");
	if (req->worker != NULL)
		cmd->fence = req->worker->fence;
	cmd->sent_us = sched_boottime_us();
	cmd->timeout_ms = req->timeout_ms;
	sh->scheduler->counters.worker_commands++;
	LIST_INSERT_HEAD(&sh->commands, cmd, entries);
	if (instance == NULL) {
		lws_sul_schedule(sh->scheduler->context, 0, &cmd->unsent_timer,
		    on_unsent, 1);
		headers_uninit(&headers);
		buf_unref(req->body);
		return;
	}
	if (req->worker != NULL)
		headers_add(&headers, WORKER_HEADER_TARGET_INSTANCE, instance);
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
	struct worker_start_command s = {
	    .task = x->u.start.task,
	    .run = x->u.start.run,
	    .task_spec = x->u.start.spec->task_spec,
	    .lease_end_ms = x->u.start.lease_end_ms,
	    .fence = x->u.start.worker.fence,
	    .checkpoint = x->u.start.checkpoint,
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
	    .worker = &x->u.command.worker,
	    .path = path,
	    .body = body,
	    .timeout_ms = COMMAND_TIMEOUT_MS,
	    .repeatable = true,
	};

	send_command(sh,
	    command_new(sh, x->kind, x->u.command.worker.id, &x->u.command.task,
		x->u.command.run),
	    &req);
}

static void
send_renewal(struct shard *sh, const struct pool_effect *x)
{
	struct command_request req = {
	    .worker = &x->u.renewal.worker,
	    .path = WORKER_PATH_RENEW,
	    .body = worker_renewal_body(x->u.renewal.worker.fence,
		x->u.renewal.acked_end, x->u.renewal.lease_end_ms,
		x->u.renewal.wait_ms),
	    .timeout_ms = x->u.renewal.wait_ms + RENEWAL_MARGIN_MS,
	    .connect_timeout_ms = x->u.renewal.connect_ms,
	    .repeatable = true,
	};

	send_command(sh,
	    command_new(sh, x->kind, x->u.renewal.worker.id, NULL, 0), &req);
}

static void
send_advice_request(struct shard *sh, const struct pool_effect *x)
{
	const struct platform_settings *settings = &sh->scheduler->settings;
	struct command_request req = {
	    .path = ADVICE_PATH,
	    .body = advice_request_body(&x->u.policy_query.step,
		(const char(*)[NAME_BYTES])x->u.policy_query.workers,
		x->u.policy_query.count),
	    .timeout_ms = ADVICE_TIMEOUT_MS,
	    .repeatable = true,
	};

	if (settings->advice_endpoint.addr[0] == '\0') {
		daemon_log(LOG_LEVEL_ERROR, "orders",
		    "msg=\"the job's queue needs advice on placement, but "
		    "the settings name no advice service; the step is not "
		    "placed\" job=%s "
		    "remedy=\"set the address of the advice service\"",
		    x->u.policy_query.step.job);
		buf_unref(req.body);
		return;
	}
	send_command(
	    sh, command_new(sh, x->kind, "", &x->u.policy_query.step, 0), &req);
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
		    worker_stop_body(&x->u.command.task, x->u.command.run,
			x->u.command.worker.fence));
		break;
	case POOL_RENEW:
		send_renewal(sh, x);
		break;
	case POOL_THROTTLE:
		send_run_command(sh, x, WORKER_PATH_THROTTLE,
		    worker_throttle_body(&x->u.command.task, x->u.command.run,
			x->u.command.percent, x->u.command.worker.fence));
		break;
	case POOL_QUERY_POLICY:
		send_advice_request(sh, x);
		break;
	case POOL_WRITE:
	case POOL_ANSWER:
	case POOL_CHECK_LIVENESS:
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
		lws_sul_cancel(&cmd->unsent_timer);
		if (cmd->call != NULL)
			http_call_cancel(cmd->call);
		free(cmd);
	}
}
