#include "front.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "order_wire.h"
#include "membership.h"
#include "peer_client.h"
#include "peer_gate.h"
#include "shards.h"

#define BODY_MAX (256 * 1024) /* bytes of a job */
#define CONNECTIONS_MAX                                      \
	1500 /* of callers; the rest is for calls of our own \
	      */
#define BUDGET_MS 2500 /* for an answer, where a caller does not say */
#define BUDGET_SPARE_MS 250 /* of a caller's time, for the way back */
#define RETRY_MS 60 /* after an owner that had not taken it */
#define TAKEOVER_MS 1500 /* a pool without an owner is waited for so long */
#define TRY_TIMEOUT_MS 700 /* of one try at an owner … */
/* … and where the last ones were all in vain: ten times a healthy answer. */
#define TRY_TIMEOUT_LOST_MS 150
#define RETRY_AFTER_MS 1000 /* told where nobody knows better */
#define PATH_READY "/readiness"
#define LINES_BYTES 128
#define GATES_MAX 512 /* owners that were met; idle ones are forgotten */

/* What may be sent to one owner of one pool. */
struct owner_gate {
	struct endpoint owner;
	char pool[NAME_BYTES];
	struct peer_gate gate;
	LIST_ENTRY(owner_gate) entries;
};

/* One caller's request until its answer. */
struct front_call {
	struct front *front;
	uint64_t id; /* the listener's number */
	struct job_request request;
	int64_t begun_us;
	int64_t until_us; /* the answer is due */
	int tries;
	bool unsure; /* an earlier try may have been taken */
	bool unserved; /* as counted */
	bool local; /* waits for a pool of this daemon */
	bool answered; /* too late for the caller: freed at the reply */
	struct peer_call *peer; /* under way … */
	struct owner_gate *sent_to; /* … as this gate allowed … */
	enum gate_verdict verdict; /* … which said so */
	lws_sorted_usec_list_t retry;
	LIST_ENTRY(front_call) entries;
};

struct front {
	struct scheduler *scheduler;
	struct http_listener *callers;
	struct http_listener *readiness;
	LIST_HEAD(front_calls, front_call) calls;
	LIST_HEAD(owner_gates, owner_gate) gates;
	size_t gate_count;
	size_t busy;
	bool ending; /* the process ends: nothing is waited for */
	bool told_ready; /* what the callers' balancer was told last */
};

static void front_try(struct front_call *c);

static void
call_free(struct front_call *c)
{
	LIST_REMOVE(c, entries);
	c->front->busy--;
	lws_sul_cancel(&c->retry);
	peer_call_cancel(c->peer);
	buf_unref(c->request.body);
	free(c);
}

static enum gate_kind
gate_kind_of(const struct front_call *c)
{
	return c->request.op == JOB_SUBMIT ? GATE_HAND_IN : GATE_ABOUT_JOB;
}

static bool
front_ready(struct scheduler *s)
{
	return !s->stopping && s->config != NULL &&
	    reach_ready(&s->reach, sched_now_us(), s->store.heard_us);
}

static void
answer(struct front *f, uint64_t id, int status, struct buf *body,
    int retry_after_ms)
{
	char lines[LINES_BYTES];
	struct http_reply r = {
	    .status = status,
	    .lines = lines,
	    .body = body,
	    /* a kept connection would bring the caller back here */
	    .close = !front_ready(f->scheduler),
	};
	int n;

	n = snprintf(lines, sizeof(lines), "%s",
	    body != NULL ? "content-type: application/json\r\n" : "");
	if (retry_after_ms > 0)
		snprintf(lines + n, sizeof(lines) - (size_t)n,
		    "retry-after: %d\r\n", (retry_after_ms + 999) / 1000);
	http_listener_answer(f->callers, id, &r);
	buf_unref(body);
}

static void
count_handin(struct front_call *c)
{
	static const int bounds_ms[] = {
	    5, 10, 15, 25, 60, 100, 250, 500, 1000, INT32_MAX};
	struct scheduler_counts *n = &c->front->scheduler->counts;
	int64_t ms = (sched_now_us() - c->begun_us) / US_PER_MS;
	size_t i = 0;

	while (ms > bounds_ms[i])
		i++;
	n->handin_ms_bucket[i]++;
	n->handin_ms_sum += (uint64_t)ms;
	n->handin_count++;
}

/* Once for a request, as soon as its owner proves silent. */
static void
note_unserved(struct front_call *c)
{
	if (!c->unserved)
		reach_note(&c->front->scheduler->reach, sched_now_us(),
		    gate_kind_of(c), REACH_UNSERVED);
	c->unserved = true;
}

/* The final answer, and the one log line that says why. */
static void
finish(struct front_call *c, int status, struct buf *body, int retry_after_ms,
    const char *why)
{
	struct front *f = c->front;

	if (c->request.op != JOB_LOOK && c->request.op != JOB_COUNT)
		daemon_log(LOG_LEVEL_INFO, "front",
		    "msg=\"%s answered\" job=%s queue=%s status=%d why=%s "
		    "tries=%d took_ms=%lld config=%lld retry_ms=%d",
		    job_op_name(c->request.op), c->request.id,
		    c->request.terms.name, status, why, c->tries,
		    (long long)((sched_now_us() - c->begun_us) / US_PER_MS),
		    (long long)f->scheduler->config->version, retry_after_ms);
	if (status == 503 || status == 429)
		f->scheduler->counts.refused++;
	else if (status == 504)
		f->scheduler->counts.unknown_outcome++;
	if (status == 503 || status == 504)
		note_unserved(c);
	answer(f, c->id, status, body, retry_after_ms);
	call_free(c);
}

static void
finish_owner(struct front_call *c, const struct job_reply *r)
{
	reach_note(&c->front->scheduler->reach, sched_now_us(), gate_kind_of(c),
	    r->answer != POOL_OVERLOADED ? REACH_SERVED : REACH_REFUSED);
	switch (r->answer) {
	case POOL_ACCEPTED:
		count_handin(c);
		c->front->scheduler->counts.accepted++;
		finish(c, 200, NULL, 0, "stored");
		return;
	case POOL_OVERLOADED:
		/* an earlier try that got no answer may have been taken */
		if (c->unsure)
			finish(c, 504, NULL, 0, "unsure");
		else
			finish(c, 429, NULL, r->retry_ms, "refused-by-owner");
		return;
	case POOL_CANCELLING:
		finish(c, 200, NULL, 0, "stored");
		return;
	case POOL_STATE:
		finish(c, 200, job_state_body(r->state), 0, "known");
		return;
	case POOL_NO_JOB:
		c->front->scheduler->counts.not_found++;
		finish(c, 410, NULL, 0, "no-such-job");
		return;
	case POOL_WAITING:
		finish(c, 200, queue_waiting_body(r->waiting), 0, "counted");
		return;
	}
}

static void
give_up(struct front_call *c)
{
	if (c->unsure)
		finish(c, 504, NULL, 0, "owner-silent");
	else
		finish(c, 503, NULL, RETRY_AFTER_MS, "no-owner");
}

static void
on_retry(lws_sorted_usec_list_t *sul)
{
	struct front_call *c = lws_container_of(sul, struct front_call, retry);

	front_try(c);
}

static bool
no_owner_soon(const struct front_call *c, const struct owner_gate *g)
{
	bool stuck = membership_takeover_blocked(
	    c->front->scheduler->membership, c->request.pool);

	return g != NULL ? peer_gate_hopeless(&g->gate, sched_now_us(), stuck)
			 : stuck;
}

/* "g": of the owner that was tried; NULL: none is known. */
static void
retry_later(struct front_call *c, const struct owner_gate *g)
{
	int64_t now = sched_now_us(), until = c->until_us;

	membership_refresh_owners(c->front->scheduler->membership);
	if (!c->unsure && c->begun_us + TAKEOVER_MS * US_PER_MS < until)
		until = c->begun_us + TAKEOVER_MS * US_PER_MS;
	if (now + RETRY_MS * US_PER_MS >= until ||
	    (!c->unsure && no_owner_soon(c, g))) {
		give_up(c);
		return;
	}
	if (g != NULL && peer_gate_silent(&g->gate))
		note_unserved(c);
	lws_sul_schedule(c->front->scheduler->context, 0, &c->retry, on_retry,
	    RETRY_MS * US_PER_MS);
}

/* The pool here has not answered in time; its reply still comes. */
static void
on_local_deadline(lws_sorted_usec_list_t *sul)
{
	struct front_call *c = lws_container_of(sul, struct front_call, retry);

	daemon_log(LOG_LEVEL_WARN, "front",
	    "msg=\"%s not stored in time\" job=%s queue=%s status=504 "
	    "store_heard_ms_ago=%lld",
	    job_op_name(c->request.op), c->request.id, c->request.terms.name,
	    (long long)(store_health_silent_us(
			    &c->front->scheduler->store, sched_now_us()) /
		US_PER_MS));
	c->front->scheduler->counts.unknown_outcome++;
	c->answered = true;
	answer(c->front, c->id, 504, NULL, 0);
}

static void
on_reply(void *arg, const struct job_reply *r)
{
	struct front_call *c = arg;
	struct owner_gate *tried = c->sent_to;

	c->peer = NULL;
	if (c->sent_to != NULL)
		peer_gate_ended(&c->sent_to->gate, sched_now_us(),
		    gate_kind_of(c), c->verdict, job_reply_decided(r));
	c->sent_to = NULL;
	if (c->answered) {
		call_free(c);
		return;
	}
	if (c->local)
		lws_sul_cancel(&c->retry);
	c->local = false;
	switch (r->kind) {
	case REPLY_ANSWER:
		finish_owner(c, r);
		return;
	case REPLY_BAD:
		finish(c, 400, error_body(&r->error), 0, "bad-job");
		return;
	case REPLY_UNKNOWN:
		c->unsure = true;
		break;
	case REPLY_NOT_TAKEN:
		break;
	}
	retry_later(c, tried);
}

/* Owners come and go: forgets one that nothing is under way to. */
static void
forget_gate(struct front *f)
{
	struct owner_gate *g;

	LIST_FOREACH(g, &f->gates, entries) {
		if (peer_gate_idle(&g->gate))
			break;
	}
	if (g == NULL)
		return;
	LIST_REMOVE(g, entries);
	f->gate_count--;
	free(g);
}

static struct owner_gate *
gate_of(struct front *f, const struct endpoint *owner, const char *pool)
{
	struct owner_gate *g;

	LIST_FOREACH(g, &f->gates, entries) {
		if (g->owner.port == owner->port &&
		    strcmp(g->owner.addr, owner->addr) == 0 &&
		    strcmp(g->pool, pool) == 0)
			return g;
	}
	if (f->gate_count >= GATES_MAX)
		forget_gate(f);
	g = calloc(1, sizeof(*g));
	if (g == NULL)
		return NULL;
	f->gate_count++;
	g->owner = *owner;
	snprintf(g->pool, sizeof(g->pool), "%s", pool);
	g->gate.prng = (uint64_t)sched_now_us() | 1;
	LIST_INSERT_HEAD(&f->gates, g, entries);
	return g;
}

/* Hands the request to the owner, unless it must wait for the owner's sake. */
static void
send_to_owner(struct front_call *c, const struct endpoint *to, int timeout_ms)
{
	struct scheduler *s = c->front->scheduler;
	struct owner_gate *g = gate_of(c->front, to, c->request.pool);
	int64_t now = sched_now_us();

	if (g == NULL) {
		retry_later(c, NULL);
		return;
	}
	c->verdict = peer_gate_ask(&g->gate, now, gate_kind_of(c), c->unsure);
	if (c->verdict == GATE_WAIT) {
		s->counts.held_back++;
		retry_later(c, g);
		return;
	}
	c->tries++;
	c->sent_to = g;
	c->peer = peer_call_start(s, to, &c->request, timeout_ms, on_reply, c);
	if (c->peer != NULL)
		return;
	c->sent_to = NULL;
	peer_gate_ended(&g->gate, now, gate_kind_of(c), c->verdict, false);
	retry_later(c, g);
}

static void
front_try(struct front_call *c)
{
	struct scheduler *s = c->front->scheduler;
	int64_t left_ms = (c->until_us - sched_now_us()) / US_PER_MS;
	int timeout_ms = TRY_TIMEOUT_MS;
	struct endpoint to;
	bool self;

	if (shards_owns(s->shards, c->request.pool) && left_ms > 0) {
		c->tries++;
		c->local = true;
		lws_sul_schedule(s->context, 0, &c->retry, on_local_deadline,
		    left_ms * US_PER_MS);
		shards_handle_request(s->shards, &c->request, on_reply, c);
		return;
	}
	if (!membership_owner_of(s->membership, c->request.pool, &to, &self) ||
	    self || left_ms <= 0) {
		retry_later(c, NULL);
		return;
	}
	if (membership_takeover_blocked(s->membership, c->request.pool) &&
	    reach_lost(&s->reach, sched_now_us()))
		timeout_ms = TRY_TIMEOUT_LOST_MS;
	if (left_ms < timeout_ms)
		timeout_ms = (int)left_ms;
	send_to_owner(c, &to, timeout_ms);
}

static bool
is_id(const char *s)
{
	return strlen(s) == JOB_ID_BYTES - 1 &&
	    strspn(s, "0123456789abcdefABCDEF") == JOB_ID_BYTES - 1;
}

static int
budget_ms(const struct request *r)
{
	const char *text = headers_get(&r->headers, CALLER_HEADER_DEADLINE);
	int ms = text != NULL ? atoi(text) - BUDGET_SPARE_MS : BUDGET_MS;

	return ms < BUDGET_SPARE_MS ? BUDGET_SPARE_MS
	    : ms > BUDGET_MS        ? BUDGET_MS
				    : ms;
}

/* Status of a request that is refused by its form; 0: it goes on. */
static int
request_op(const struct request *r, const char *rest, enum job_op *op)
{
	bool whole_queue = rest[0] == '\0';

	if (strcmp(r->method, "GET") == 0) {
		*op = whole_queue ? JOB_COUNT : JOB_LOOK;
		return whole_queue || is_id(rest) ? 0 : 404;
	}
	if (strcmp(r->method, "POST") == 0)
		*op = JOB_SUBMIT;
	else if (strcmp(r->method, "DELETE") == 0)
		*op = JOB_CANCEL;
	else
		return 405;
	return is_id(rest) ? 0 : 404;
}

static void
begin(struct front *f, uint64_t id, const struct request *r,
    const struct config_queue *q, enum job_op op, const char *rest)
{
	struct front_call *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL) {
		answer(f, id, 503, NULL, RETRY_AFTER_MS);
		return;
	}
	c->front = f;
	c->id = id;
	c->begun_us = sched_now_us();
	c->until_us = c->begun_us + budget_ms(r) * US_PER_MS;
	c->request.op = op;
	snprintf(c->request.pool, NAME_BYTES, "%s", q->pool);
	snprintf(
	    c->request.id, JOB_ID_BYTES, "%s", op == JOB_COUNT ? "" : rest);
	c->request.terms = q->terms;
	c->request.body = op == JOB_SUBMIT ? buf_ref(r->body) : NULL;
	LIST_INSERT_HEAD(&f->calls, c, entries);
	f->busy++;
	front_try(c);
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct front *f = arg;
	const struct config *config = f->scheduler->config;
	const char *host = headers_get(&r->headers, "host"), *rest;
	const struct config_queue *q;
	enum job_op op;
	char *query;
	int status;

	f->scheduler->counts.requests++;
	if (config == NULL || f->ending) {
		answer(f, id, 503, NULL, RETRY_AFTER_MS);
		return;
	}
	query = strchr(r->path, '?');
	if (query != NULL)
		*query = '\0';
	q = config_queue_of(config, host != NULL ? host : "", r->path);
	if (q == NULL) {
		f->scheduler->counts.not_found++;
		answer(f, id, 404, NULL, 0);
		return;
	}
	rest = r->path + strlen(q->prefix);
	status = request_op(r, rest, &op);
	if (status != 0)
		answer(f, id, status, NULL, 0);
	else
		begin(f, id, r, q, op, rest);
}

/* The caller has left: what was handed on goes its way all the same. */
static void
on_gone(void *arg, uint64_t id)
{
	struct front *f = arg;
	struct front_call *c;

	LIST_FOREACH(c, &f->calls, entries) {
		if (c->id == id)
			return; /* its answer is dropped by the listener */
	}
}

static void
on_readiness(void *arg, uint64_t id, struct request *r)
{
	struct front *f = arg;
	struct scheduler *s = f->scheduler;
	struct http_reply reply = {.lines = ""};
	bool ready = front_ready(s);

	if (ready != f->told_ready)
		daemon_log(LOG_LEVEL_INFO, "front",
		    "msg=\"%s\" store_heard_ms_ago=%lld served=%.1f "
		    "unserved=%.1f",
		    ready ? "callers may come" : "callers should go elsewhere",
		    (long long)(store_health_silent_us(
				    &s->store, sched_now_us()) /
			US_PER_MS),
		    s->reach.shares[GATE_HAND_IN].served,
		    s->reach.shares[GATE_HAND_IN].unserved);
	f->told_ready = ready;
	reply.status = ready && strcmp(r->path, PATH_READY) == 0 ? 200 : 503;
	http_listener_answer(f->readiness, id, &reply);
}

static void
on_readiness_gone(void *arg, uint64_t id)
{
	(void)arg;
	(void)id;
}

struct front *
front_new(struct scheduler *s, struct err *e)
{
	static const char *const headers[] = {"host", CALLER_HEADER_DEADLINE};
	struct http_listener_opts o = {
	    .context = s->context,
	    .name = "callers",
	    .addr = s->boot.callers.addr,
	    .port = s->boot.callers.port,
	    .body_max = BODY_MAX,
	    .connections_max = CONNECTIONS_MAX,
	    .headers = headers,
	    .header_count = sizeof(headers) / sizeof(headers[0]),
	    .on_request = on_request,
	    .on_gone = on_gone,
	    .refusal_lines = "",
	};
	struct front *f;

	f = calloc(1, sizeof(*f));
	if (f == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for callers' requests");
		return NULL;
	}
	f->scheduler = s;
	LIST_INIT(&f->calls);
	LIST_INIT(&f->gates);
	o.arg = f;
	f->callers = http_listener_new(&o, e);
	o.name = "readiness";
	o.addr = s->boot.readiness.addr;
	o.port = s->boot.readiness.port;
	o.on_request = on_readiness;
	o.on_gone = on_readiness_gone;
	if (f->callers != NULL)
		f->readiness = http_listener_new(&o, e);
	if (f->readiness == NULL) {
		front_free(f);
		return NULL;
	}
	return f;
}

void
front_answer_all(struct front *f)
{
	struct front_call *c, *next;

	f->ending = true;
	for (c = LIST_FIRST(&f->calls); c != NULL; c = next) {
		next = LIST_NEXT(c, entries);
		if (!c->local)
			give_up(c);
		else if (!c->answered) /* freed at the pool's reply */
			on_local_deadline(&c->retry);
	}
}

void
front_close(struct front *f)
{
	struct front_call *c;

	if (f == NULL)
		return;
	while ((c = LIST_FIRST(&f->calls)) != NULL)
		call_free(c);
}

void
front_free(struct front *f)
{
	struct owner_gate *g;

	if (f == NULL)
		return;
	while ((g = LIST_FIRST(&f->gates)) != NULL) {
		LIST_REMOVE(g, entries);
		free(g);
	}
	http_listener_free(f->callers);
	http_listener_free(f->readiness);
	free(f);
}

void
front_leave(struct front *f)
{
	http_listener_close_after_answers(f->callers);
}

void
front_stop_listening(struct front *f)
{
	http_listener_stop_listening(f->callers);
}

size_t
front_busy(const struct front *f)
{
	return f->busy + http_listener_busy(f->callers);
}
