#include "append_op.h"

#include <stdio.h>
#include <stdlib.h>

#include "store_client.h"

/* Allows for a store about 50 times slower than usual. */
#define ATTEMPT_TIMEOUT_MS 1500
#define ATTEMPTS_IN_FLIGHT_MAX 4 /* a fifth cancels the oldest */

struct append_attempt {
	struct append_op *append;
	struct store_op *op; /* NULL once ended */
	int64_t sent_us;
};

struct append_op {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	struct store_append_opts opts;
	struct append_attempt attempts[ATTEMPTS_IN_FLIGHT_MAX];
	int attempts_sent; /* newest: (attempts_sent - 1) %
			      ATTEMPTS_IN_FLIGHT_MAX */
	int64_t started_us;
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
		repeat_timer_add_sample(&a->scheduler->append_timer,
		    sched_monotonic_us() - t->sent_us);
		log_retransmitted(a, sched_monotonic_us());
	} else if (any_in_flight(a)) {
		return;
	}
	append_free(a);
	done(done_arg, outcome, body, len);
}

static int
send_attempt(struct append_op *a)
{
	struct append_attempt *t =
	    &a->attempts[a->attempts_sent % ATTEMPTS_IN_FLIGHT_MAX];
	struct store_call c;

	/* the oldest attempt's answer is assumed lost */
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

static void schedule_retransmit(struct append_op *a);

static void
on_retransmit_due(lws_sorted_usec_list_t *sul)
{
	struct append_op *a =
	    lws_container_of(sul, struct append_op, retransmit_timer);

	/* if sending fails, the next time-out tries again */
	if (send_attempt(a) == 0)
		a->scheduler->counters.appends_repeated++;
	schedule_retransmit(a);
}

static void
schedule_retransmit(struct append_op *a)
{
	lws_sul_schedule(a->scheduler->context, 0, &a->retransmit_timer,
	    on_retransmit_due,
	    repeat_timer_timeout_us(
		&a->scheduler->append_timer, a->attempts_sent));
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
append_op_cancel(struct append_op *a)
{
	if (a != NULL)
		append_free(a);
}
