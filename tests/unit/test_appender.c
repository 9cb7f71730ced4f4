/* Three outcomes of an append, and its repeat under the same id. */
#include <criterion/criterion.h>

#include "appender.h"
#include "wire.h"

struct fixture {
	struct appender *a;
	struct effects fx;
	struct view v;
	uint64_t prng;
};

static void
step(struct fixture *t, const struct event *ev)
{
	effects_clear(&t->fx);
	appender_step(t->a, &t->v, ev, &t->fx);
}

static void
tick(struct fixture *t, int64_t us)
{
	struct event ev = {.kind = EVENT_TICK};

	t->v.now_us += us;
	step(t, &ev);
}

static void
begin(struct fixture *t)
{
	struct wire_writer w;

	memset(t, 0, sizeof(*t));
	t->a = appender_new();
	effects_init(&t->fx);
	t->prng = 7;
	t->v.prng = &t->prng;
	t->v.self = 3;
	t->v.incarnation = 4;
	wire_writer_init(&w);
	wire_map(&w, 0);
	cr_assert_eq(appender_push(t->a, STREAM_CONTROL, RECORD_VM,
			 wire_writer_finish(&w)),
	    1);
	tick(t, 1);
	cr_assert_eq(t->fx.count, 1);
}

static void
end(struct fixture *t)
{
	effects_uninit(&t->fx);
	appender_free(t->a);
}

static uint64_t
sent_seq(const struct fixture *t)
{
	const struct buf *b = t->fx.list[0].u.append.record;
	struct record r;
	uint64_t seq;

	cr_assert_eq(record_decode(&r, b->data, b->len, NULL), 0);
	seq = r.id.seq;
	record_uninit(&r);
	return seq;
}

static void
result(struct fixture *t, enum append_outcome outcome, uint64_t offset)
{
	struct event ev = {.kind = EVENT_APPEND_RESULT};

	ev.u.append.token = t->fx.list[0].u.append.token;
	ev.u.append.outcome = outcome;
	ev.u.append.offset = offset;
	step(t, &ev);
}

Test(appender, unknown_is_repeated_under_the_same_id)
{
	struct fixture t;

	begin(&t);
	result(&t, APPEND_UNKNOWN, 0);
	cr_assert_eq(t.fx.count, 0, "repeated without back-off");
	cr_assert_eq(appender_pending(t.a, STREAM_CONTROL), 1);
	tick(&t, US_PER_S);
	cr_assert_eq(t.fx.count, 1);
	cr_assert_eq(sent_seq(&t), 1);
	result(&t, APPEND_DONE, 12);
	cr_assert(appender_is_done(t.a, STREAM_CONTROL, 1));
	cr_assert_eq(appender_last_done_offset(t.a, STREAM_CONTROL), 12);
	end(&t);
}

Test(appender, a_record_that_is_read_back_is_done)
{
	struct record r = {.id = {3, 4, 1}, .offset = 9};
	struct event ev = {.kind = EVENT_LOG_BATCH};
	struct fixture t;

	begin(&t);
	ev.u.log_batch.stream = STREAM_CONTROL;
	ev.u.log_batch.records = &r;
	ev.u.log_batch.count = 1;
	r.id.incarnation = 5; /* an earlier life's */
	step(&t, &ev);
	cr_assert_not(appender_is_done(t.a, STREAM_CONTROL, 1));
	r.id.incarnation = 4;
	step(&t, &ev);
	cr_assert(appender_is_done(t.a, STREAM_CONTROL, 1));
	end(&t);
}

Test(appender, a_late_result_of_an_earlier_attempt_is_passed_over)
{
	struct event late = {.kind = EVENT_APPEND_RESULT};
	struct fixture t;

	begin(&t);
	late.u.append.token = t.fx.list[0].u.append.token;
	late.u.append.outcome = APPEND_DONE;
	result(&t, APPEND_NOT_DONE, 0);
	tick(&t, US_PER_S);
	cr_assert_eq(t.fx.count, 1);
	step(&t, &late);
	cr_assert_not(appender_is_done(t.a, STREAM_CONTROL, 1));
	end(&t);
}

Test(appender, a_full_queue_refuses)
{
	struct wire_writer w;
	struct fixture t;
	uint64_t seq = 1;
	int i;

	begin(&t);
	for (i = 0; i < 1000 && seq != 0; i++) {
		wire_writer_init(&w);
		wire_map(&w, 0);
		seq = appender_push(
		    t.a, STREAM_CONTROL, RECORD_VM, wire_writer_finish(&w));
	}
	cr_assert_eq(seq, 0);
	cr_assert_lt(i, 1000);
	end(&t);
}
