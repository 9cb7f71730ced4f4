#include "caller_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "attempt_check.h"
#include "job_spec_wire.h"
#include "membership.h"
#include "peer_client.h"
#include "shards.h"

#define RETRY_DELAY_MS 60 /* between attempts of one request */
#define TAKEOVER_WAIT_MS 1500 /* how long to wait for a pool's new owner */
/* Of an attempt while owners are unreachable: ten times the usual time. */
#define ATTEMPT_TIMEOUT_UNREACHABLE_MS 150
#define HEADER_LINES_BYTES 128
#define BREAKERS_MAX 512 /* above, idle breakers are evicted */

static void
cancel_alive_query(struct caller_request *c)
{
	if (c->alive_query == NULL)
		return;
	peer_call_cancel(c->alive_query);
	c->alive_query = NULL;
	c->in_flight_breaker->query_in_flight = false;
}

void
caller_request_free(struct caller_request *c)
{
	LIST_REMOVE(c, entries);
	cancel_alive_query(c);
	c->frontend->pending_count--;
	lws_sul_cancel(&c->timer);
	peer_call_cancel(c->peer_call);
	buf_unref(c->request.body);
	home_search_uninit(&c->search);
	free(c);
}

static enum breaker_class
breaker_class_of(const struct caller_request *c)
{
	return c->request.op == JOB_SUBMIT ? BREAKER_SUBMIT : BREAKER_CONTROL;
}

bool
frontend_ready(struct scheduler *s)
{
	return !s->stopping && s->config != NULL &&
	    reachability_ready(&s->owner_reachability, sched_monotonic_us(),
		s->store_state.last_answer_us);
}

void
frontend_answer(struct job_frontend *f, uint64_t id, int status,
    struct buf *body, int retry_after_ms)
{
	char lines[HEADER_LINES_BYTES];
	struct http_reply r = {
	    .status = status,
	    .lines = lines,
	    .body = body,
	    /* if not ready: the caller's next request is not to arrive here */
	    .close = !frontend_ready(f->scheduler),
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
	frontend_answer(f, c->listener_id, status, body, retry_after_ms);
	caller_request_free(c);
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
		finish(c, 200,
		    queue_waiting_body(
			r->waiting_count + c->search.waiting_count),
		    0, "counted");
		return;
	}
}

void
caller_request_finish_unserved(struct caller_request *c)
{
	/* the pool's owner may carry out an attempt in flight */
	if (c->outcome_unknown || (c->peer_call != NULL && !c->search.active))
		finish(c, 504, NULL, 0, "owner-silent");
	else
		finish(c, 503, NULL, DEFAULT_RETRY_AFTER_MS, "no-owner");
}

static void
on_retry(lws_sorted_usec_list_t *sul)
{
	struct caller_request *c =
	    lws_container_of(sul, struct caller_request, timer);

	caller_request_start(c);
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
		caller_request_finish_unserved(c);
		return;
	}
	if (b != NULL && circuit_breaker_is_open(&b->breaker))
		record_unserved(c);
	lws_sul_schedule(c->frontend->scheduler->context, 0, &c->timer,
	    on_retry, RETRY_DELAY_MS * US_PER_MS);
}

void
caller_request_expire_local(struct caller_request *c)
{
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
	frontend_answer(c->frontend, c->listener_id, 504, NULL, 0);
}

static void
on_local_deadline(lws_sorted_usec_list_t *sul)
{
	caller_request_expire_local(
	    lws_container_of(sul, struct caller_request, timer));
}

static void
on_reply(void *arg, const struct job_reply *r)
{
	struct caller_request *c = arg;
	struct owner_breaker *tried = c->in_flight_breaker;

	c->peer_call = NULL;
	lws_sul_cancel(&c->timer);
	cancel_alive_query(c);
	if (tried != NULL && job_reply_decided(r))
		tried->heard_us = sched_monotonic_us();
	if (c->in_flight_breaker != NULL)
		circuit_breaker_complete(&c->in_flight_breaker->breaker,
		    sched_monotonic_us(), breaker_class_of(c), c->verdict,
		    job_reply_decided(r));
	c->in_flight_breaker = NULL;
	if (c->answered) {
		caller_request_free(c);
		return;
	}
	c->local = false;
	switch (r->kind) {
	case REPLY_ANSWER:
		if (!c->search.active) {
			finish_decided(c, r);
			return;
		}
		home_search_answered(&c->search, &c->request, r);
		caller_request_start(c);
		return;
	case REPLY_ELSEWHERE:
		if (!home_search_follow(&c->search, &c->request, r))
			break;
		caller_request_start(c);
		return;
	case REPLY_SEARCH:
		home_search_begin(&c->search, &c->request, r);
		caller_request_start(c);
		return;
	case REPLY_INVALID:
		finish(c, 400, error_body(&r->error), 0, "bad-job");
		return;
	case REPLY_UNKNOWN:
		c->outcome_unknown |= !c->search.active;
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

static void
on_alive_reply(void *arg, const struct job_reply *r)
{
	struct caller_request *c = arg;
	struct owner_breaker *b = c->in_flight_breaker;

	c->alive_query = NULL;
	b->query_in_flight = false;
	if (job_reply_decided(r))
		b->heard_us = sched_monotonic_us();
}

/*
 * Asks the owner something that it answers without the store.  One query at a
 * time is enough for all requests that wait for the owner.
 */
static void
query_owner(struct caller_request *c, int timeout_ms)
{
	struct scheduler *s = c->frontend->scheduler;
	struct owner_breaker *b = c->in_flight_breaker;
	struct job_request r = c->request;

	if (b->query_in_flight || circuit_breaker_is_open(&b->breaker))
		return;
	r.op = JOB_COUNT_WAITING;
	r.searched = true; /* the count of this pool alone */
	r.id[0] = '\0';
	r.body = NULL;
	c->alive_query =
	    peer_call_start(s, &b->owner, &r, timeout_ms, on_alive_reply, c);
	b->query_in_flight = c->alive_query != NULL;
	s->counters.owner_queries += b->query_in_flight;
}

/* False if the group names another owner; it may name none for a while. */
static bool
is_still_owner(const struct caller_request *c)
{
	const struct endpoint *tried = &c->in_flight_breaker->owner;
	struct endpoint to;
	bool self;

	if (!membership_owner_of(c->frontend->scheduler->membership,
		c->request.pool, &to, &self))
		return true;
	return !self && to.port == tried->port &&
	    strcmp(to.addr, tried->addr) == 0;
}

static void on_attempt_check(lws_sorted_usec_list_t *sul);

static void
schedule_check(struct caller_request *c, int64_t now_us, int64_t check_us)
{
	lws_sul_schedule(c->frontend->scheduler->context, 0, &c->timer,
	    on_attempt_check, check_us > now_us ? check_us - now_us : 1);
}

static void
on_attempt_check(lws_sorted_usec_list_t *sul)
{
	struct caller_request *c =
	    lws_container_of(sul, struct caller_request, timer);
	struct attempt a = {
	    .sent_us = c->sent_us,
	    .deadline_us = c->deadline_us,
	    .heard_us = c->in_flight_breaker->heard_us,
	    .is_owner = is_still_owner(c),
	};
	int64_t now = sched_monotonic_us();
	struct attempt_check check = attempt_check(&a, now);
	/* not before the check at the end, which may extend the attempt */
	int left_ms = (int)((check.end_us - now) / US_PER_MS) + 1;

	if (left_ms < 1)
		left_ms = 1;
	if (now >= c->sent_us + ATTEMPT_SILENCE_MAX_MS * US_PER_MS)
		membership_refresh_owners(c->frontend->scheduler->membership);
	peer_call_set_timeout(c->peer_call, left_ms);
	if (check.query)
		query_owner(c, left_ms);
	if (check.end_us > now)
		schedule_check(c, now, check.check_us);
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
	c->sent_us = now;
	c->peer_call =
	    peer_call_start(s, to, &c->request, timeout_ms, on_reply, c);
	if (c->peer_call != NULL) {
		if (timeout_ms > ATTEMPT_QUERY_AFTER_MS)
			schedule_check(
			    c, now, now + ATTEMPT_QUERY_AFTER_MS * US_PER_MS);
		return;
	}
	c->in_flight_breaker = NULL;
	circuit_breaker_complete(
	    &b->breaker, now, breaker_class_of(c), c->verdict, false);
	schedule_retry(c, b);
}

void
caller_request_start(struct caller_request *c)
{
	struct scheduler *s = c->frontend->scheduler;
	int64_t left_ms = (c->deadline_us - sched_monotonic_us()) / US_PER_MS;
	int timeout_ms = ATTEMPT_SILENCE_MAX_MS;
	struct endpoint to;
	bool self;

	c->request.left_ms = left_ms > 0 ? (int)left_ms : 0;
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
