#include "append_op.h"

#include <stdio.h>
#include <stdlib.h>

#include "store_client.h"

/* Allows for a store about 50 times slower than usual. */
#define ATTEMPT_TIMEOUT_MS 1500
/*
 * A fifth attempt cancels the second: a slow store answers the first attempt
 * first, and copies behind it only after their own time.
 */
#define ATTEMPTS_IN_FLIGHT_MAX 4

struct append_attempt {
	struct append_op *append;
	struct store_op *op; /* NULL once ended */
	int64_t sent_us;
};

struct append_op {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	struct store_append_opts opts;
	struct append_window *window; /* NULL: it is the topic's only append */
	struct append_attempt attempts[ATTEMPTS_IN_FLIGHT_MAX];
	int attempts_sent;
	int64_t started_us;
	int64_t sent_us; /* when the newest attempt was due */
	int64_t timeout_us; /* of the newest attempt */
	lws_sorted_usec_list_t retransmit_timer;
	append_done_fn *done;
	void *arg;
};

static void
append_free(struct append_op *a)
{
	int i;

	lws_sul_cancel(&a->retransmit_timer);
	for (i = 0; i < ATTEMPTS_IN_FLIGHT_MAX; i++)
		store_op_cancel(a->attempts[i].op);
	buf_unref(a->opts.records);
	free(a);
}

static bool
any_in_flight(const struct append_op *a)
{
	int i;

	for (i = 0; i < ATTEMPTS_IN_FLIGHT_MAX; i++) {
		if (a->attempts[i].op != NULL)
			return true;
	}
	return false;
}

/* True if no other attempt of the append can have a different outcome. */
static bool
is_final(enum store_outcome outcome)
{
	switch (outcome) {
	case STORE_DONE:
	case STORE_OUT_OF_SEQUENCE: /* the append window decides whether to
				       resend */
	case STORE_FENCED:
	case STORE_END_MISMATCH:
	case STORE_FULL:
	case STORE_MALFORMED:
		return true;
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		return false;
	}
	return false;
}

static void
log_retransmitted(const struct append_op *a, int64_t now_us)
{
	if (a->attempts_sent > 1)
		daemon_log(LOG_LEVEL_INFO, "store",
		    "msg=\"append answered after retransmission\" topic=%s "
		    "seq=%lld tries=%d took_ms=%lld",
		    a->topic, (long long)a->opts.seq, a->attempts_sent,
		    (long long)((now_us - a->started_us) / US_PER_MS));
}

/* Two lines each time that the store slows down, whatever the load. */
static void
log_pace(const struct append_op *a, enum append_pace_change change,
    int64_t latency_us)
{
	const struct append_pace *p = &a->window->pace;

	if (change == APPEND_PACE_UNCHANGED)
		return;
	daemon_log(change == APPEND_PACE_SLOW ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
	    "store",
	    "msg=\"%s\" topic=%s latency_ms=%lld append_ms=%lld "
	    "base_ms=%lld lag_ms=%lld depth=%d tries=%d",
	    change == APPEND_PACE_SLOW ? "appends have become slow"
				       : "appends are fast again",
	    a->topic, (long long)(latency_us / US_PER_MS),
	    (long long)(p->append_us / US_PER_MS),
	    (long long)(p->base_us / US_PER_MS),
	    (long long)(a->scheduler->loop_lag.peak_us / US_PER_MS),
	    append_pace_depth(p), a->attempts_sent);
}

static void
record_answer(struct append_op *a, const struct append_attempt *t, bool stored)
{
	struct append_answer answer = {
	    .now_us = sched_monotonic_us(),
	    .sent_us = t->sent_us,
	    .retransmitted = t->sent_us > a->started_us && any_in_flight(a),
	    .loop_lag_us = a->scheduler->loop_lag.peak_us,
	    .stored = stored,
	};

	repeat_timer_add_sample(
	    &a->scheduler->append_timer, answer.now_us - t->sent_us);
	if (a->window != NULL)
		log_pace(a, append_pace_add_answer(&a->window->pace, &answer),
		    answer.now_us - t->sent_us);
}

static void
on_attempt_done(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct append_attempt *t = arg;
	struct append_op *a = t->append;
	enum store_outcome outcome = store_append_outcome(status, body, len);
	append_done_fn *done = a->done;
	void *done_arg = a->arg;

	(void)sent;
	t->op = NULL;
	if (is_final(outcome)) {
		record_answer(a, t, outcome == STORE_DONE);
		log_retransmitted(a, sched_monotonic_us());
	} else if (any_in_flight(a)) {
		return;
	}
	append_free(a);
	done(done_arg, outcome, body, len);
}

/* The first attempt keeps its place; the others share the rest. */
static struct append_attempt *
next_attempt(struct append_op *a)
{
	int n = a->attempts_sent;

	return &a->attempts[n < ATTEMPTS_IN_FLIGHT_MAX
		? n
		: 1 + (n - 1) % (ATTEMPTS_IN_FLIGHT_MAX - 1)];
}

static int
send_attempt(struct append_op *a)
{
	struct append_attempt *t = next_attempt(a);
	struct store_call c;

	/* the answer of the attempt that had this place is assumed lost */
	store_op_cancel(t->op);
	t->append = a;
	t->sent_us = sched_monotonic_us();
	store_append_call(&c, &a->opts);
	t->op = store_op_start(
	    a->scheduler, &c, ATTEMPT_TIMEOUT_MS, on_attempt_done, t);
	if (t->op == NULL)
		return -1;
	a->attempts_sent++;
	return 0;
}

/* When to retransmit, or to decide on it again. */
static int64_t
retransmit_us(const struct append_op *a, int64_t now_us)
{
	struct append_wait w = {
	    .first_sent_us = a->started_us,
	    .sent_us = a->sent_us,
	    .timeout_us = a->timeout_us,
	};

	if (a->window == NULL)
		return a->sent_us + a->timeout_us;
	w.oldest = append_window_is_oldest(a->window, a->opts.seq);
	return append_pace_retransmit_us(&a->window->pace, &w, now_us);
}

static void schedule_retransmit(struct append_op *a);

static void
on_retransmit_due(lws_sorted_usec_list_t *sul)
{
	struct append_op *a =
	    lws_container_of(sul, struct append_op, retransmit_timer);
	int64_t now_us = sched_monotonic_us();
	int64_t due_us = retransmit_us(a, now_us);

	if (due_us > now_us) {
		lws_sul_schedule(a->scheduler->context, 0, &a->retransmit_timer,
		    on_retransmit_due, due_us - now_us);
		return;
	}
	/* if sending fails, the next time-out tries again */
	if (send_attempt(a) == 0)
		a->scheduler->counters.appends_repeated++;
	schedule_retransmit(a);
}

static void
schedule_retransmit(struct append_op *a)
{
	a->sent_us = sched_monotonic_us();
	a->timeout_us = repeat_timer_timeout_us(
	    &a->scheduler->append_timer, a->attempts_sent);
	lws_sul_schedule(a->scheduler->context, 0, &a->retransmit_timer,
	    on_retransmit_due, a->timeout_us);
}

struct append_op *
append_op_start(struct scheduler *s, const struct store_append_opts *opts,
    append_done_fn *done, void *arg)
{
	struct append_op *a;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->scheduler = s;
	a->started_us = sched_monotonic_us();
	a->opts = *opts;
	snprintf(a->topic, sizeof(a->topic), "%s", opts->topic);
	a->opts.topic = a->topic;
	a->opts.records = buf_ref(opts->records);
	a->done = done;
	a->arg = arg;
	if (send_attempt(a) == -1) {
		append_free(a);
		return NULL;
	}
	schedule_retransmit(a);
	return a;
}

void
append_op_set_window(struct append_op *a, struct append_window *w)
{
	a->window = w;
}

void
append_op_cancel(struct append_op *a)
{
	if (a != NULL)
		append_free(a);
}
