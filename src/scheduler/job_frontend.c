#include "job_frontend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller_auth.h"
#include "caller_request.h"
#include "config_relay.h"
#include "job_spec_wire.h"

#define JOB_BODY_MAX_BYTES (256 * 1024)
/* From callers; the other file descriptors are for the daemon's own calls. */
#define CONNECTIONS_MAX 1500
#define ANSWER_BUDGET_MS 2500 /* maximum, and default without a deadline */
/* Part of a caller's deadline reserved for the answer's way back. */
#define BUDGET_MARGIN_MS 250
#define READINESS_PATH "/readiness"

static bool
is_job_id(const char *s)
{
	return strlen(s) == JOB_ID_BYTES - 1 &&
	    strspn(s, "0123456789abcdefABCDEF") == JOB_ID_BYTES - 1;
}

static int
answer_budget_ms(const struct request *r)
{
	const char *text = headers_get(&r->headers, CALLER_HEADER_DEADLINE);
	int ms =
	    text != NULL ? atoi(text) - BUDGET_MARGIN_MS : ANSWER_BUDGET_MS;

	return ms < BUDGET_MARGIN_MS ? BUDGET_MARGIN_MS
	    : ms > ANSWER_BUDGET_MS  ? ANSWER_BUDGET_MS
				     : ms;
}

/* Returns the HTTP status of an invalid request; 0 if it is valid. */
static int
parse_operation(const struct request *r, const char *rest, enum job_op *op)
{
	bool whole_queue = rest[0] == '\0';

	if (strcmp(r->method, "GET") == 0) {
		*op = whole_queue ? JOB_COUNT_WAITING : JOB_QUERY;
		return whole_queue || is_job_id(rest) ? 0 : 404;
	}
	if (strcmp(r->method, "POST") == 0)
		*op = JOB_SUBMIT;
	else if (strcmp(r->method, "DELETE") == 0)
		*op = JOB_CANCEL;
	else
		return 405;
	return is_job_id(rest) ? 0 : 404;
}

/* Finds the caller's account.  False: the request has been refused. */
static bool
authenticate(struct job_frontend *f, uint64_t id, const struct request *r,
    const struct config_queue *q, const struct account_settings **account)
{
	const struct config *config = f->scheduler->config;
	struct caller_key key = {
	    .value = headers_get(&r->headers, CALLER_HEADER_KEY),
	    .fault = r->checked_header_fault,
	};
	struct caller_auth_decision d =
	    caller_auth_decide(q, config->accounts, &key);
	struct err e;

	*account = d.account;
	caller_auth_record(&f->scheduler->caller_auth, &d, &key,
	    q->settings.name, config->version);
	if (d.status == 0)
		return true;
	caller_auth_error(d.outcome, &e);
	frontend_answer(f, id, d.status, error_body(&e), 0);
	return false;
}

static void
start_request(struct job_frontend *f, uint64_t id, const struct request *r,
    const struct config_queue *q, const struct account_settings *account,
    enum job_op op, const char *rest)
{
	struct caller_request *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL) {
		frontend_answer(f, id, 503, NULL, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	c->frontend = f;
	c->listener_id = id;
	c->received_us = sched_monotonic_us();
	c->deadline_us = c->received_us + answer_budget_ms(r) * US_PER_MS;
	c->request.op = op;
	snprintf(c->request.pool, NAME_BYTES, "%s", q->pool);
	snprintf(c->request.id, JOB_ID_BYTES, "%s",
	    op == JOB_COUNT_WAITING ? "" : rest);
	c->request.settings = q->settings;
	c->request.config_version = f->scheduler->config->version;
	if (account != NULL)
		snprintf(c->request.account, NAME_BYTES, "%s", account->name);
	c->request.body = op == JOB_SUBMIT ? buf_ref(r->body) : NULL;
	LIST_INSERT_HEAD(&f->requests, c, entries);
	f->pending_count++;
	caller_request_start(c);
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct job_frontend *f = arg;
	const struct config *config = f->scheduler->config;
	const char *host = headers_get(&r->headers, "host"), *rest;
	const struct account_settings *account;
	const struct config_queue *q;
	enum job_op op;
	char *query;
	int status;

	f->scheduler->counters.requests++;
	if (config == NULL || f->exiting) {
		frontend_answer(f, id, 503, NULL, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	query = strchr(r->path, '?');
	if (query != NULL)
		*query = '\0';
	q = config_find_queue(config, host != NULL ? host : "", r->path);
	/* a newer configuration may have other queues and keys */
	if (!config_relay_trusts(f->scheduler->relay)) {
		f->scheduler->counters.config_unconfirmed++;
		frontend_answer(f, id, 503, NULL, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	if (q == NULL) {
		f->scheduler->counters.not_found++;
		frontend_answer(f, id, 404, NULL, 0);
		return;
	}
	if (!authenticate(f, id, r, q, &account))
		return;
	rest = r->path + strlen(q->path_prefix);
	status = parse_operation(r, rest, &op);
	if (status != 0)
		frontend_answer(f, id, status, NULL, 0);
	else
		start_request(f, id, r, q, account, op, rest);
}

/* The caller has disconnected: its request still runs to completion. */
static void
on_caller_gone(void *arg, uint64_t id)
{
	struct job_frontend *f = arg;
	struct caller_request *c;

	LIST_FOREACH(c, &f->requests, entries) {
		if (c->listener_id == id)
			return; /* the listener drops its answer */
	}
}

static void
on_readiness(void *arg, uint64_t id, struct request *r)
{
	struct job_frontend *f = arg;
	struct scheduler *s = f->scheduler;
	struct http_reply reply = {.lines = ""};
	bool ready = frontend_ready(s);

	if (ready != f->reported_ready)
		daemon_log(LOG_LEVEL_INFO, "front",
		    "msg=\"%s\" store_heard_ms_ago=%lld served=%.1f "
		    "unserved=%.1f",
		    ready ? "ready: callers may connect"
			  : "not ready: callers should use other daemons",
		    (long long)(store_health_answer_age_us(
				    &s->store_state, sched_monotonic_us()) /
			US_PER_MS),
		    s->owner_reachability.stats[BREAKER_SUBMIT].recent_served,
		    s->owner_reachability.stats[BREAKER_SUBMIT]
			.recent_unserved);
	f->reported_ready = ready;
	reply.status =
	    ready && strcmp(r->path, READINESS_PATH) == 0 ? 200 : 503;
	http_listener_answer(f->readiness_listener, id, &reply);
}

static void
on_readiness_gone(void *arg, uint64_t id)
{
	(void)arg;
	(void)id;
}

struct job_frontend *
job_frontend_new(struct scheduler *s, struct err *e)
{
	static const char *const headers[] = {
	    "host", CALLER_HEADER_DEADLINE, CALLER_HEADER_KEY};
	struct http_listener_opts o = {
	    .context = s->context,
	    .name = "callers",
	    .addr = s->settings.caller_endpoint.addr,
	    .port = s->settings.caller_endpoint.port,
	    .body_max_bytes = JOB_BODY_MAX_BYTES,
	    .connections_max = CONNECTIONS_MAX,
	    .headers = headers,
	    .header_count = sizeof(headers) / sizeof(headers[0]),
	    .checked_header = CALLER_HEADER_KEY,
	    .on_request = on_request,
	    .on_gone = on_caller_gone,
	    .refusal_lines = "",
	};
	struct job_frontend *f;

	f = calloc(1, sizeof(*f));
	if (f == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "out of memory for callers' requests");
		return NULL;
	}
	f->scheduler = s;
	LIST_INIT(&f->requests);
	LIST_INIT(&f->breakers);
	o.arg = f;
	f->callers_listener = http_listener_new(&o, e);
	o.name = "readiness";
	o.addr = s->settings.readiness_endpoint.addr;
	o.port = s->settings.readiness_endpoint.port;
	o.on_request = on_readiness;
	o.on_gone = on_readiness_gone;
	if (f->callers_listener != NULL)
		f->readiness_listener = http_listener_new(&o, e);
	if (f->readiness_listener == NULL) {
		job_frontend_free(f);
		return NULL;
	}
	return f;
}

void
job_frontend_answer_all(struct job_frontend *f)
{
	struct caller_request *c, *next;

	f->exiting = true;
	for (c = LIST_FIRST(&f->requests); c != NULL; c = next) {
		next = LIST_NEXT(c, entries);
		if (!c->local)
			caller_request_finish_unserved(c);
		else if (!c->answered) /* else freed at the pool's reply */
			caller_request_expire_local(c);
	}
}

void
job_frontend_cancel_requests(struct job_frontend *f)
{
	struct caller_request *c;

	if (f == NULL)
		return;
	while ((c = LIST_FIRST(&f->requests)) != NULL)
		caller_request_free(c);
}

void
job_frontend_free(struct job_frontend *f)
{
	struct owner_breaker *b;

	if (f == NULL)
		return;
	while ((b = LIST_FIRST(&f->breakers)) != NULL) {
		LIST_REMOVE(b, entries);
		free(b);
	}
	http_listener_free(f->callers_listener);
	http_listener_free(f->readiness_listener);
	free(f);
}

void
job_frontend_close_connections(struct job_frontend *f)
{
	http_listener_close_after_answers(f->callers_listener);
}

void
job_frontend_stop_listening(struct job_frontend *f)
{
	http_listener_stop_listening(f->callers_listener);
}

size_t
job_frontend_pending_count(const struct job_frontend *f)
{
	return f->pending_count + http_listener_busy_count(f->callers_listener);
}
