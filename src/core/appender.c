#include "appender.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "metric.h"

#define APPENDER_QUEUE_MAX 256 /* records per stream */
#define APPENDER_BACKOFF_MIN_US (100 * US_PER_MS)
#define APPENDER_BACKOFF_MAX_US (2 * US_PER_S)
/* After this time without a result, the outcome counts as unknown. */
#define APPENDER_RESULT_TIMEOUT_US (15 * US_PER_S)

struct append {
	uint64_t seq;
	unsigned kind;
	struct buf *body;
	TAILQ_ENTRY(append) entry;
};

struct append_queue {
	TAILQ_HEAD(append_list, append) list;
	size_t count;
	bool in_flight; /* the head was sent and has no result yet */
	uint64_t in_flight_token; /* of the EFFECT_APPEND in flight */
	int64_t sent_us;
	int64_t next_attempt_us; /* earliest time of a retry */
	int64_t backoff_us;
	uint64_t done_seq; /* records up to this one are in the log */
	uint64_t done_offset;
	uint64_t done_count, not_done_count, unknown_count, sent_bytes;
};

struct appender {
	uint64_t last_seq;
	uint64_t last_token;
	struct append_queue queues[STREAM_COUNT];
};

struct appender *
appender_new(void)
{
	struct appender *a;
	size_t i;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	for (i = 0; i < STREAM_COUNT; i++)
		TAILQ_INIT(&a->queues[i].list);
	return a;
}

static void
append_queue_pop(struct append_queue *q)
{
	struct append *p = TAILQ_FIRST(&q->list);

	TAILQ_REMOVE(&q->list, p, entry);
	q->count--;
	buf_unref(p->body);
	free(p);
}

void
appender_free(struct appender *a)
{
	size_t i;

	if (a == NULL)
		return;
	for (i = 0; i < STREAM_COUNT; i++)
		while (!TAILQ_EMPTY(&a->queues[i].list))
			append_queue_pop(&a->queues[i]);
	free(a);
}

uint64_t
appender_push(
    struct appender *a, enum stream s, unsigned kind, struct buf *body)
{
	struct append_queue *q = &a->queues[s];
	struct append *p;

	if (q->count >= APPENDER_QUEUE_MAX || body == NULL) {
		buf_unref(body);
		return 0;
	}
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "appender");
	p->seq = ++a->last_seq;
	p->kind = kind;
	p->body = body;
	TAILQ_INSERT_TAIL(&q->list, p, entry);
	q->count++;
	return p->seq;
}

size_t
appender_pending(const struct appender *a, enum stream s)
{
	return a->queues[s].count;
}

bool
appender_is_done(const struct appender *a, enum stream s, uint64_t seq)
{
	return seq <= a->queues[s].done_seq;
}

uint64_t
appender_last_done_offset(const struct appender *a, enum stream s)
{
	return a->queues[s].done_offset;
}

static void
append_send(
    struct appender *a, enum stream s, const struct view *v, struct effects *fx)
{
	struct append_queue *q = &a->queues[s];
	struct append *p = TAILQ_FIRST(&q->list);
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {v->self, v->incarnation, p->seq},
	    .kind = p->kind,
	    .time_ms = v->wall_ms,
	    .body = p->body};
	struct effect *x;
	struct buf *bytes;

	bytes = record_encode(&r);
	if (bytes == NULL)
		err(1, "appender");
	q->sent_bytes += bytes->len;
	q->in_flight = true;
	q->in_flight_token = ++a->last_token;
	q->sent_us = v->now_us;
	x = effects_add(fx, EFFECT_APPEND);
	x->u.append.token = q->in_flight_token;
	x->u.append.stream = s;
	x->u.append.record = bytes;
}

static void
append_schedule_retry(struct append_queue *q, const struct view *v)
{
	int64_t next = q->backoff_us * 2;

	if (next < APPENDER_BACKOFF_MIN_US)
		next = APPENDER_BACKOFF_MIN_US;
	if (next > APPENDER_BACKOFF_MAX_US)
		next = APPENDER_BACKOFF_MAX_US;
	q->backoff_us = next;
	q->next_attempt_us = v->now_us + next / 2 +
	    (int64_t)prng_below(v->prng, (uint64_t)next / 2 + 1);
}

static void
append_handle_result(struct append_queue *q, enum append_outcome outcome,
    uint64_t offset, const struct view *v)
{
	q->in_flight = false;
	switch (outcome) {
	case APPEND_DONE:
		q->done_seq = TAILQ_FIRST(&q->list)->seq;
		q->done_offset = offset;
		q->backoff_us = 0;
		q->next_attempt_us = 0;
		q->done_count++;
		append_queue_pop(q);
		return;
	case APPEND_NOT_DONE:
		q->not_done_count++;
		break;
	case APPEND_UNKNOWN:
		q->unknown_count++;
		break;
	}
	append_schedule_retry(q, v);
}

/*
 * Completes the append at the head of the queue if its record was read back
 * from the log, even if its result was lost or a failure.
 */
static void
append_confirm_read_back(struct append_queue *q, enum stream s,
    const struct view *v, const struct event *ev)
{
	const struct record *r;
	size_t i;

	if (ev->u.log_batch.stream != s)
		return;
	for (i = 0; i < ev->u.log_batch.count && q->count > 0; i++) {
		r = &ev->u.log_batch.records[i];
		if (r->id.process == v->self &&
		    r->id.incarnation == v->incarnation &&
		    r->id.seq == TAILQ_FIRST(&q->list)->seq)
			append_handle_result(q, APPEND_DONE, r->offset, v);
	}
}

void
appender_step(struct appender *a, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	struct append_queue *q;
	size_t i;

	for (i = 0; i < STREAM_COUNT; i++) {
		q = &a->queues[i];
		if (q->in_flight && ev->kind == EVENT_APPEND_RESULT &&
		    ev->u.append.token == q->in_flight_token)
			append_handle_result(
			    q, ev->u.append.outcome, ev->u.append.offset, v);
		if (ev->kind == EVENT_LOG_BATCH)
			append_confirm_read_back(q, (enum stream)i, v, ev);
		if (q->in_flight &&
		    v->now_us - q->sent_us > APPENDER_RESULT_TIMEOUT_US)
			append_handle_result(q, APPEND_UNKNOWN, 0, v);
		if (!q->in_flight && q->count > 0 &&
		    v->now_us >= q->next_attempt_us)
			append_send(a, (enum stream)i, v, fx);
	}
}

struct json_object *
appender_dump(const struct appender *a)
{
	struct json_object *o = json_object_new_object(), *s;
	const struct append_queue *q;
	size_t i;

	for (i = 0; i < STREAM_COUNT; i++) {
		q = &a->queues[i];
		s = json_object_new_object();
		json_object_object_add(
		    s, "pending", json_object_new_uint64(q->count));
		json_object_object_add(
		    s, "in_flight", json_object_new_boolean(q->in_flight));
		json_object_object_add(
		    s, "done_seq", json_object_new_uint64(q->done_seq));
		json_object_object_add(
		    s, "unknown", json_object_new_uint64(q->unknown_count));
		json_object_object_add(o, stream_name((enum stream)i), s);
	}
	return o;
}

static void
append_metric(struct buf *out, enum stream s, const char *outcome,
    const char *help, uint64_t value)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "stream=\"%s\",outcome=\"%s\"",
	    stream_name(s), outcome);
	metric_counter(out, "appends_total", help, labels, value);
}

void
appender_metrics(const struct appender *a, struct buf *out)
{
	const char *help = "Append attempts by stream and outcome.";
	const struct append_queue *q;
	size_t i;

	for (i = 0; i < STREAM_COUNT; i++) {
		q = &a->queues[i];
		append_metric(out, (enum stream)i, "done", help, q->done_count);
		append_metric(
		    out, (enum stream)i, "not-done", NULL, q->not_done_count);
		append_metric(
		    out, (enum stream)i, "unknown", NULL, q->unknown_count);
		help = NULL;
	}
}
