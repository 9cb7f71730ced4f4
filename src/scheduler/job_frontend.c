#include "job_frontend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "circuit_breaker.h"
#include "job_spec_wire.h"
#include "membership.h"
#include "peer_client.h"
#include "shards.h"

#define JOB_BODY_MAX_BYTES (256 * 1024)
/* From callers; the other file descriptors are for the daemon's own calls. */
#define CONNECTIONS_MAX 1500
#define ANSWER_BUDGET_MS 2500 /* maximum, and default without a deadline */
/* Part of a caller's deadline reserved for the answer's way back. */
#define BUDGET_MARGIN_MS 250
#define RETRY_DELAY_MS 60 /* between attempts of one request */
#define TAKEOVER_WAIT_MS 1500 /* how long to wait for a pool's new owner */
#define ATTEMPT_TIMEOUT_MS 700 /* of one forwarded attempt */
/* While owners are unreachable: ten times the usual answer time. */
#define ATTEMPT_TIMEOUT_UNREACHABLE_MS 150
#define DEFAULT_RETRY_AFTER_MS 1000 /* if no owner suggests a delay */
#define READINESS_PATH "/readiness"
#define HEADER_LINES_BYTES 128
#define BREAKERS_MAX 512 /* above, idle breakers are evicted */

/* Limits what is sent to one owner of one pool. */
struct owner_breaker {
	struct endpoint owner;
	char pool[NAME_BYTES];
	struct circuit_breaker breaker;
	LIST_ENTRY(owner_breaker) entries;
};

/* A caller's request that has not been answered yet. */
struct caller_request {
	struct job_frontend *frontend;
	uint64_t listener_id; /* the listener's number of the request */
	struct job_request request;
	int64_t received_us;
	int64_t deadline_us; /* latest time of the answer */
	int attempts;
	bool outcome_unknown; /* an attempt without an answer may have taken
				 effect */
	bool unserved_recorded; /* in owner_reachability */
	bool local; /* in progress at a pool owned by this daemon */
	bool answered; /* with 504 at the deadline; freed at the pool's reply */
	struct peer_call *peer_call; /* attempt in flight, or NULL */
	struct owner_breaker *in_flight_breaker; /* that admitted peer_call */
	enum breaker_verdict verdict; /* of in_flight_breaker */
	lws_sorted_usec_list_t timer; /* next attempt, or local deadline */
	LIST_ENTRY(caller_request) entries;
};

struct job_frontend {
	struct scheduler *scheduler;
	struct http_listener *callers_listener;
	struct http_listener *readiness_listener;
	LIST_HEAD(caller_requests, caller_request) requests;
	LIST_HEAD(owner_breakers, owner_breaker) breakers;
	size_t breaker_count;
	size_t pending_count;
	bool exiting; /* new requests are refused, pending ones answered */
	bool reported_ready; /* last answer to the load balancer */
};

static void start_attempt(struct caller_request *c);

static void
request_free(struct caller_request *c)
{
	LIST_REMOVE(c, entries);
	c->frontend->pending_count--;
	lws_sul_cancel(&c->timer);
	peer_call_cancel(c->peer_call);
	buf_unref(c->request.body);
	free(c);
}

static enum breaker_class
breaker_class_of(const struct caller_request *c)
{
	return c->request.op == JOB_SUBMIT ? BREAKER_SUBMIT : BREAKER_CONTROL;
}

static bool
is_ready(struct scheduler *s)
{
	return !s->stopping && s->config != NULL &&
	    reachability_ready(&s->owner_reachability, sched_monotonic_us(),
		s->store_state.last_answer_us);
}

static void
answer(struct job_frontend *f, uint64_t id, int status, struct buf *body,
    int retry_after_ms)
{
	char lines[HEADER_LINES_BYTES];
	struct http_reply r = {
	    .status = status,
	    .lines = lines,
	    .body = body,
	    /* if not ready: the caller's next request is not to arrive here */
	    .close = !is_ready(f->scheduler),
	};
	int n;

	n = snprintf(lines, sizeof(lines), "%s",
	    body != NULL ? "content-type: application/json\r\n" : "");
	if (retry_after_ms > 0)
		snprintf(lines + n, sizeof(lines) - (size_t)n,
		    "retry-after: %d\r\n", (retry_after_ms + 999) / 1000);
	http_listener_answer(f->callers_listener, id, &r);
	buf_unref(body);
}

static void
count_submit(struct caller_request *c)
{
	static const int bounds_ms[] = {
	    5, 10, 15, 25, 60, 100, 250, 500, 1000, INT32_MAX};
	struct scheduler_counters *n = &c->frontend->scheduler->counters;
	int64_t ms = (sched_monotonic_us() - c->received_us) / US_PER_MS;
	size_t i = 0;

	while (ms > bounds_ms[i])
		i++;
	n->submit_ms_buckets[i]++;
	n->submit_ms_sum += (uint64_t)ms;
	n->submit_count++;
}

/* Counts a request once, as soon as its owner is found unresponsive. */
static void
record_unserved(struct caller_request *c)
{
	if (!c->unserved_recorded)
		reachability_record(&c->frontend->scheduler->owner_reachability,
		    sched_monotonic_us(), breaker_class_of(c),
		    REACHABILITY_UNSERVED);
	c->unserved_recorded = true;
}

/* Sends the final answer, logs the reason and frees the request. */
static void
finish(struct caller_request *c, int status, struct buf *body,
    int retry_after_ms, const char *why)
{
	struct job_frontend *f = c->frontend;

	if (c->request.op != JOB_QUERY && c->request.op != JOB_COUNT_WAITING)
		daemon_log(LOG_LEVEL_INFO, "front",
		    "msg=\"%s request answered\" job=%s queue=%s status=%d "
		    "why=%s tries=%d took_ms=%lld config=%lld retry_ms=%d",
		    job_op_name(c->request.op), c->request.id,
		    c->request.settings.name, status, why, c->attempts,
		    (long long)((sched_monotonic_us() - c->received_us) /
			US_PER_MS),
		    (long long)f->scheduler->config->version, retry_after_ms);
	if (status == 503 || status == 429)
		f->scheduler->counters.refused++;
	else if (status == 504)
		f->scheduler->counters.outcome_unknown++;
	if (status == 503 || status == 504)
		record_unserved(c);
	answer(f, c->listener_id, status, body, retry_after_ms);
	request_free(c);
}

static void
finish_decided(struct caller_request *c, const struct job_reply *r)
{
	reachability_record(&c->frontend->scheduler->owner_reachability,
	    sched_monotonic_us(), breaker_class_of(c),
	    r->answer != POOL_OVERLOADED ? REACHABILITY_SERVED
					 : REACHABILITY_REFUSED);
	switch (r->answer) {
	case POOL_ACCEPTED:
		count_submit(c);
		c->frontend->scheduler->counters.accepted++;
		finish(c, 200, NULL, 0, "stored");
		return;
	case POOL_OVERLOADED:
		/* an attempt without an answer may have stored the job */
		if (c->outcome_unknown)
			finish(c, 504, NULL, 0, "unsure");
		else
			finish(c, 429, NULL, r->retry_after_ms,
			    "refused-by-owner");
		return;
	case POOL_CANCELLING:
		finish(c, 200, NULL, 0, "stored");
		return;
	case POOL_JOB_STATE:
		finish(c, 200, job_state_body(r->state), 0, "known");
		return;
	case POOL_NO_JOB:
		c->frontend->scheduler->counters.not_found++;
		finish(c, 410, NULL, 0, "no-such-job");
		return;
	case POOL_WAITING_COUNT:
		finish(
		    c, 200, queue_waiting_body(r->waiting_count), 0, "counted");
		return;
	}
}

static void
finish_unserved(struct caller_request *c)
{
	/* the pool's owner may carry out an attempt in flight */
	if (c->outcome_unknown || c->peer_call != NULL)
		finish(c, 504, NULL, 0, "owner-silent");
	else
		finish(c, 503, NULL, DEFAULT_RETRY_AFTER_MS, "no-owner");
}

static void
on_retry(lws_sorted_usec_list_t *sul)
{
	struct caller_request *c =
	    lws_container_of(sul, struct caller_request, timer);

	start_attempt(c);
}

static bool
owner_unavailable(const struct caller_request *c, const struct owner_breaker *b)
{
	bool takeover_blocked = membership_takeover_blocked(
	    c->frontend->scheduler->membership, c->request.pool);

	return b != NULL ? circuit_breaker_fail_fast(&b->breaker,
			       sched_monotonic_us(), takeover_blocked)
			 : takeover_blocked;
}

/* "b" belongs to the owner that was tried; NULL if no owner is known. */
static void
schedule_retry(struct caller_request *c, const struct owner_breaker *b)
{
	int64_t now = sched_monotonic_us(), until = c->deadline_us;

	membership_refresh_owners(c->frontend->scheduler->membership);
	if (!c->outcome_unknown &&
	    c->received_us + TAKEOVER_WAIT_MS * US_PER_MS < until)
		until = c->received_us + TAKEOVER_WAIT_MS * US_PER_MS;
	if (now + RETRY_DELAY_MS * US_PER_MS >= until ||
	    (!c->outcome_unknown && owner_unavailable(c, b))) {
		finish_unserved(c);
		return;
	}
	if (b != NULL && circuit_breaker_is_open(&b->breaker))
		record_unserved(c);
	lws_sul_schedule(c->frontend->scheduler->context, 0, &c->timer,
	    on_retry, RETRY_DELAY_MS * US_PER_MS);
}

/*
 * This daemon's pool has not answered by the deadline.  The request is freed
 * when the pool's reply arrives.
 */
static void
on_local_deadline(lws_sorted_usec_list_t *sul)
{
	struct caller_request *c =
	    lws_container_of(sul, struct caller_request, timer);

	daemon_log(LOG_LEVEL_WARN, "front",
	    "msg=\"%s request not stored by its deadline: outcome unknown\" "
	    "job=%s queue=%s status=504 store_heard_ms_ago=%lld",
	    job_op_name(c->request.op), c->request.id, c->request.settings.name,
	    (long long)(store_health_answer_age_us(
			    &c->frontend->scheduler->store_state,
			    sched_monotonic_us()) /
		US_PER_MS));
	c->frontend->scheduler->counters.outcome_unknown++;
	c->answered = true;
	answer(c->frontend, c->listener_id, 504, NULL, 0);
}

static void
on_reply(void *arg, const struct job_reply *r)
{
	struct caller_request *c = arg;
	struct owner_breaker *tried = c->in_flight_breaker;

	c->peer_call = NULL;
	if (c->in_flight_breaker != NULL)
		circuit_breaker_complete(&c->in_flight_breaker->breaker,
		    sched_monotonic_us(), breaker_class_of(c), c->verdict,
		    job_reply_decided(r));
	c->in_flight_breaker = NULL;
	if (c->answered) {
		request_free(c);
		return;
	}
	if (c->local)
		lws_sul_cancel(&c->timer);
	c->local = false;
	switch (r->kind) {
	case REPLY_ANSWER:
		finish_decided(c, r);
		return;
	case REPLY_INVALID:
		finish(c, 400, error_body(&r->error), 0, "bad-job");
		return;
	case REPLY_UNKNOWN:
		c->outcome_unknown = true;
		break;
	case REPLY_NOT_DONE:
		break;
	}
	schedule_retry(c, tried);
}

/* Frees one breaker without requests in flight: owners change over time. */
static void
evict_idle_breaker(struct job_frontend *f)
{
	struct owner_breaker *b;

	LIST_FOREACH(b, &f->breakers, entries) {
		if (circuit_breaker_idle(&b->breaker))
			break;
	}
	if (b == NULL)
		return;
	LIST_REMOVE(b, entries);
	f->breaker_count--;
	free(b);
}

static struct owner_breaker *
breaker_of(
    struct job_frontend *f, const struct endpoint *owner, const char *pool)
{
	struct owner_breaker *b;

	LIST_FOREACH(b, &f->breakers, entries) {
		if (b->owner.port == owner->port &&
		    strcmp(b->owner.addr, owner->addr) == 0 &&
		    strcmp(b->pool, pool) == 0)
			return b;
	}
	if (f->breaker_count >= BREAKERS_MAX)
		evict_idle_breaker(f);
	b = calloc(1, sizeof(*b));
	if (b == NULL)
		return NULL;
	f->breaker_count++;
	b->owner = *owner;
	snprintf(b->pool, sizeof(b->pool), "%s", pool);
	b->breaker.prng = (uint64_t)sched_monotonic_us() | 1;
	LIST_INSERT_HEAD(&f->breakers, b, entries);
	return b;
}

/* Forwards the request to the owner, or retries later if deferred. */
static void
send_to_owner(
    struct caller_request *c, const struct endpoint *to, int timeout_ms)
{
	struct scheduler *s = c->frontend->scheduler;
	struct owner_breaker *b = breaker_of(c->frontend, to, c->request.pool);
	int64_t now = sched_monotonic_us();

	if (b == NULL) {
		schedule_retry(c, NULL);
		return;
	}
	c->verdict = circuit_breaker_admit(
	    &b->breaker, now, breaker_class_of(c), c->outcome_unknown);
	if (c->verdict == BREAKER_DEFER) {
		s->counters.forwards_deferred++;
		schedule_retry(c, b);
		return;
	}
	c->attempts++;
	c->in_flight_breaker = b;
	c->peer_call =
	    peer_call_start(s, to, &c->request, timeout_ms, on_reply, c);
	if (c->peer_call != NULL)
		return;
	c->in_flight_breaker = NULL;
	circuit_breaker_complete(
	    &b->breaker, now, breaker_class_of(c), c->verdict, false);
	schedule_retry(c, b);
}

static void
start_attempt(struct caller_request *c)
{
	struct scheduler *s = c->frontend->scheduler;
	int64_t left_ms = (c->deadline_us - sched_monotonic_us()) / US_PER_MS;
	int timeout_ms = ATTEMPT_TIMEOUT_MS;
	struct endpoint to;
	bool self;

	if (shards_owns(s->shards, c->request.pool) && left_ms > 0) {
		c->attempts++;
		c->local = true;
		lws_sul_schedule(s->context, 0, &c->timer, on_local_deadline,
		    left_ms * US_PER_MS);
		shards_handle_request(s->shards, &c->request, on_reply, c);
		return;
	}
	if (!membership_owner_of(s->membership, c->request.pool, &to, &self) ||
	    self || left_ms <= 0) {
		schedule_retry(c, NULL);
		return;
	}
	if (membership_takeover_blocked(s->membership, c->request.pool) &&
	    reachability_owners_lost(
		&s->owner_reachability, sched_monotonic_us()))
		timeout_ms = ATTEMPT_TIMEOUT_UNREACHABLE_MS;
	if (left_ms < timeout_ms)
		timeout_ms = (int)left_ms;
	send_to_owner(c, &to, timeout_ms);
}

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

static void
start_request(struct job_frontend *f, uint64_t id, const struct request *r,
    const struct config_queue *q, enum job_op op, const char *rest)
{
	struct caller_request *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL) {
		answer(f, id, 503, NULL, DEFAULT_RETRY_AFTER_MS);
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
	c->request.body = op == JOB_SUBMIT ? buf_ref(r->body) : NULL;
	LIST_INSERT_HEAD(&f->requests, c, entries);
	f->pending_count++;
	start_attempt(c);
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct job_frontend *f = arg;
	const struct config *config = f->scheduler->config;
	const char *host = headers_get(&r->headers, "host"), *rest;
	const struct config_queue *q;
	enum job_op op;
	char *query;
	int status;

	f->scheduler->counters.requests++;
	if (config == NULL || f->exiting) {
		answer(f, id, 503, NULL, DEFAULT_RETRY_AFTER_MS);
		return;
	}
	query = strchr(r->path, '?');
	if (query != NULL)
		*query = '\0';
	q = config_find_queue(config, host != NULL ? host : "", r->path);
	if (q == NULL) {
		f->scheduler->counters.not_found++;
		answer(f, id, 404, NULL, 0);
		return;
	}
	rest = r->path + strlen(q->path_prefix);
	status = parse_operation(r, rest, &op);
	if (status != 0)
		answer(f, id, status, NULL, 0);
	else
		start_request(f, id, r, q, op, rest);
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
	bool ready = is_ready(s);

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
	static const char *const headers[] = {"host", CALLER_HEADER_DEADLINE};
	struct http_listener_opts o = {
	    .context = s->context,
	    .name = "callers",
	    .addr = s->settings.caller_endpoint.addr,
	    .port = s->settings.caller_endpoint.port,
	    .body_max_bytes = JOB_BODY_MAX_BYTES,
	    .connections_max = CONNECTIONS_MAX,
	    .headers = headers,
	    .header_count = sizeof(headers) / sizeof(headers[0]),
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
			finish_unserved(c);
		else if (!c->answered) /* else freed at the pool's reply */
			on_local_deadline(&c->timer);
	}
}

void
job_frontend_cancel_requests(struct job_frontend *f)
{
	struct caller_request *c;

	if (f == NULL)
		return;
	while ((c = LIST_FIRST(&f->requests)) != NULL)
		request_free(c);
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
