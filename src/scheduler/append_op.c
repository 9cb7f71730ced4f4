#include "append_op.h"

#include <stdio.h>
#include <stdlib.h>

#include "store_client.h"

#define TIMEOUT_MS 1500 /* of a try; the store may be some 50 times slower */
#define TRIES_MAX 4 /* under way; the oldest is given up for a fifth */

struct append_try {
	struct append_op *append;
	struct store_op *op; /* NULL once it has ended */
	int64_t sent_us;
};

struct append_op {
	struct scheduler *scheduler;
	char topic[TOPIC_BYTES];
	struct store_append_opts opts;
	struct append_try tries[TRIES_MAX];
	int sent; /* tries, the newest at (sent - 1) % TRIES_MAX */
	int64_t begun_us;
	lws_sorted_usec_list_t repeat;
	append_end *end;
	void *arg;
};

static void
append_free(struct append_op *a)
{
	int i;

	lws_sul_cancel(&a->repeat);
	for (i = 0; i < TRIES_MAX; i++)
		store_op_cancel(a->tries[i].op);
	buf_unref(a->opts.records);
	free(a);
}

static bool
any_under_way(const struct append_op *a)
{
	int i;

	for (i = 0; i < TRIES_MAX; i++) {
		if (a->tries[i].op != NULL)
			return true;
	}
	return false;
}

/* No other try can be answered otherwise. */
static bool
settled(enum store_outcome outcome)
{
	switch (outcome) {
	case STORE_DONE:
	case STORE_OUT_OF_SEQUENCE: /* its writer knows what it overtook */
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
note_repeated(const struct append_op *a, int64_t now_us)
{
	if (a->sent > 1)
		daemon_log(LOG_LEVEL_INFO, "store",
		    "msg=\"append answered after repeats\" topic=%s seq=%lld "
		    "tries=%d took_ms=%lld",
		    a->topic, (long long)a->opts.seq, a->sent,
		    (long long)((now_us - a->begun_us) / US_PER_MS));
}

static void
try_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct append_try *t = arg;
	struct append_op *a = t->append;
	enum store_outcome outcome = store_append_outcome(status, body, len);
	append_end *end = a->end;
	void *end_arg = a->arg;

	(void)sent;
	t->op = NULL;
	if (settled(outcome)) {
		repeat_timer_answered(
		    &a->scheduler->append_timer, sched_now_us() - t->sent_us);
		note_repeated(a, sched_now_us());
	} else if (any_under_way(a)) {
		return;
	}
	append_free(a);
	end(end_arg, outcome, body, len);
}

static int
try_send(struct append_op *a)
{
	struct append_try *t = &a->tries[a->sent % TRIES_MAX];
	struct store_call c;

	/* the oldest one's answer is taken for lost */
	store_op_cancel(t->op);
	t->append = a;
	t->sent_us = sched_now_us();
	store_append_call(&c, &a->opts);
	t->op = store_send(a->scheduler, &c, TIMEOUT_MS, try_ended, t);
	if (t->op == NULL)
		return -1;
	a->sent++;
	return 0;
}

static void repeat_schedule(struct append_op *a);

static void
repeat_due(lws_sorted_usec_list_t *sul)
{
	struct append_op *a = lws_container_of(sul, struct append_op, repeat);

	/* one that cannot be sent now may be next time */
	if (try_send(a) == 0)
		a->scheduler->counts.store_repeats++;
	repeat_schedule(a);
}

static void
repeat_schedule(struct append_op *a)
{
	lws_sul_schedule(a->scheduler->context, 0, &a->repeat, repeat_due,
	    repeat_timer_wait(&a->scheduler->append_timer, a->sent));
}

struct append_op *
append_op_start(struct scheduler *s, const struct store_append_opts *opts,
    append_end *end, void *arg)
{
	struct append_op *a;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->scheduler = s;
	a->begun_us = sched_now_us();
	a->opts = *opts;
	snprintf(a->topic, sizeof(a->topic), "%s", opts->topic);
	a->opts.topic = a->topic;
	a->opts.records = buf_ref(opts->records);
	a->end = end;
	a->arg = arg;
	if (try_send(a) == -1) {
		append_free(a);
		return NULL;
	}
	repeat_schedule(a);
	return a;
}

void
append_op_cancel(struct append_op *a)
{
	if (a != NULL)
		append_free(a);
}
