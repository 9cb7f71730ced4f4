/*
 * A writer of a topic against one partition of the store that serves one append
 * at a time, in virtual time.  "paced" is what append_op.c does; without it
 * the writer behaves as before append_pace.c, for comparison.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "append_window.h"
#include "attempt_check.h"
#include "bounds.h"
#include "repeat_timer.h"
#include "view.h"

#define STEP_US US_PER_MS
#define NETWORK_MS 5 /* one way; 14 ms with an append of 4 ms */
#define USUAL_MS 4
#define SLOW_FROM_MS 1000
#define SLOW_UNTIL_MS 5700
#define LEARNT_MS 1500 /* after the store has become slow */
#define WRITES 400
#define WRITE_EVERY_MS 20
#define LIMIT_MS 60000
#define COPIES_MAX 4096
#define SEEDS 30

struct copy {
	int64_t seq, sent_us, arrive_us, answer_us; /* answer_us 0: queued */
	uint64_t serial;
	bool lost, ended;
	enum store_outcome outcome;
};

struct op {
	const struct window_append *append; /* NULL: none */
	struct append_wait wait;
	int64_t due_us, seq;
	uint64_t serial;
	int attempts;
};

struct play {
	struct append_window window;
	struct repeat_timer timer;
	struct op ops[APPENDS_IN_FLIGHT_MAX];
	struct copy copies[COPIES_MAX];
	size_t copy_count;
	int64_t now_us, busy_until_us, store_seq;
	int64_t put_us[WRITES + 1], told_us[WRITES + 1];
	uint64_t stored, told, seed;
	bool paced;
	int lost_percent, held_percent; /* of all appends */
	int slow_ms, max_in_flight, changes;
};

static struct play play;

static void
play_init(bool paced, int slow_ms, uint64_t seed)
{
	struct append_window_opts o = {.epoch_established = true,
	    .record_max_bytes = 1000,
	    .request_max_bytes = 1000000};

	memset(&play, 0, sizeof(play));
	play.paced = paced;
	play.slow_ms = slow_ms;
	play.seed = seed * 0x9e3779b97f4a7c15;
	play.store_seq = -1;
	append_window_init(&play.window, &o);
}

static void
send_copy(struct op *op)
{
	struct copy *c = &play.copies[play.copy_count++];
	/* the same fate for the same attempt, so that plays can be compared */
	uint64_t prng = play.seed + (uint64_t)op->seq * 64 +
	    (uint64_t)op->attempts * 8192 * 64 + 1;
	int drawn;

	prng_below(&prng, 100);
	drawn = (int)prng_below(&prng, 100);

	cr_assert_lt(play.copy_count, COPIES_MAX);
	c->seq = op->seq;
	c->serial = op->serial;
	c->sent_us = op->wait.sent_us = play.now_us;
	c->arrive_us = play.now_us + NETWORK_MS * US_PER_MS;
	c->lost = drawn < play.lost_percent;
	if (!c->lost && drawn < play.lost_percent + play.held_percent)
		c->arrive_us +=
		    US_PER_S + (int64_t)prng_below(&prng, 5000) * US_PER_MS;
	op->attempts++;
	op->wait.timeout_us =
	    repeat_timer_timeout_us(&play.timer, op->attempts);
	op->due_us = play.now_us + op->wait.timeout_us;
}

/* Each copy takes the store an append's time, also one that it knows. */
static void
serve(struct copy *c)
{
	int64_t ms = play.now_us / US_PER_MS;
	bool slow =
	    play.slow_ms > 0 && ms >= SLOW_FROM_MS && ms < SLOW_UNTIL_MS;

	if (play.busy_until_us < play.now_us)
		play.busy_until_us = play.now_us;
	c->outcome =
	    c->seq <= play.store_seq + 1 ? STORE_DONE : STORE_OUT_OF_SEQUENCE;
	if (c->seq == play.store_seq + 1) {
		play.store_seq = c->seq;
		play.stored = c->serial;
	}
	play.busy_until_us += (slow ? play.slow_ms : USUAL_MS) * US_PER_MS;
	c->answer_us = play.busy_until_us + NETWORK_MS * US_PER_MS;
}

static void
answer(const struct copy *c)
{
	struct op *op = &play.ops[c->seq % APPENDS_IN_FLIGHT_MAX];
	struct append_answer a = {.now_us = play.now_us,
	    .sent_us = c->sent_us,
	    .retransmitted = c->sent_us > op->wait.first_sent_us,
	    .stored = c->outcome == STORE_DONE};
	uint64_t serial = 0;
	int i;

	if (op->append == NULL || op->seq != c->seq)
		return; /* cancelled */
	repeat_timer_add_sample(&play.timer, play.now_us - c->sent_us);
	if (play.paced &&
	    append_pace_add_answer(&play.window.pace, &a) !=
		APPEND_PACE_UNCHANGED)
		play.changes++;
	op->append = NULL;
	switch (append_window_complete(
	    &play.window, play.now_us, c->seq, c->outcome, &serial)) {
	case WINDOW_PENDING:
		return;
	case WINDOW_STORED:
		cr_assert_leq(serial, play.stored, "told before it is stored");
		while (play.told < serial)
			play.told_us[++play.told] = play.now_us;
		for (i = 0; i < APPENDS_IN_FLIGHT_MAX; i++) {
			if (play.ops[i].seq <= c->seq)
				play.ops[i].append = NULL;
		}
		return;
	case WINDOW_FENCED:
	case WINDOW_UNREADABLE:
		cr_assert_fail("fenced");
	}
}

static void
retransmit(struct op *op)
{
	int64_t due_us = op->due_us;

	if (op->append == NULL || due_us > play.now_us)
		return;
	if (play.paced) {
		op->wait.oldest =
		    append_window_is_oldest(&play.window, op->seq);
		due_us = append_pace_retransmit_us(
		    &play.window.pace, &op->wait, play.now_us);
	}
	if (due_us > play.now_us)
		op->due_us = due_us;
	else
		send_copy(op);
}

static void
send_due(void)
{
	const struct window_append *next;
	int64_t wait_us;
	struct op *op;
	int i, n = 0;

	while ((next = append_window_next(
		    &play.window, play.now_us, &wait_us)) != NULL) {
		op = &play.ops[next->seq % APPENDS_IN_FLIGHT_MAX];
		*op = (struct op){.append = next,
		    .seq = next->seq,
		    .serial = next->last_serial,
		    .wait.first_sent_us = play.now_us};
		send_copy(op);
	}
	for (i = 0; i < APPENDS_IN_FLIGHT_MAX; i++)
		n += play.ops[i].append != NULL;
	if (n > play.max_in_flight)
		play.max_in_flight = n;
}

static void
play_step(void)
{
	struct copy *c;
	int i;

	for (c = play.copies; c < play.copies + play.copy_count; c++) {
		if (c->answer_us == 0 && c->arrive_us <= play.now_us)
			serve(c);
		if (c->ended || c->answer_us == 0 || c->lost ||
		    c->answer_us > play.now_us)
			continue;
		c->ended = true;
		answer(c);
	}
	for (i = 0; i < APPENDS_IN_FLIGHT_MAX; i++)
		retransmit(&play.ops[i]);
	send_due();
	play.now_us += STEP_US;
}

static void
run(int every_ms)
{
	uint64_t n = 0;
	char key[32];
	int ms;

	for (ms = 0; ms < LIMIT_MS && play.told < WRITES; ms++) {
		if (n < WRITES && ms % every_ms == 0) {
			snprintf(key, sizeof(key), "j/%d", (int)++n);
			play.put_us[n] = play.now_us;
			append_window_put(
			    &play.window, play.now_us, key, NULL, n);
		}
		play_step();
	}
	cr_assert_eq(play.told, WRITES);
	append_window_uninit(&play.window);
}

struct waits {
	double mean_ms, max_ms;
};

/* Of the writes that were made in the interval. */
static struct waits
waits_between(int from_ms, int until_ms)
{
	struct waits w = {0};
	double ms, n = 0;
	int i;

	for (i = 1; i <= WRITES; i++) {
		if (play.put_us[i] < from_ms * US_PER_MS ||
		    play.put_us[i] >= until_ms * US_PER_MS)
			continue;
		ms = (double)(play.told_us[i] - play.put_us[i]) / US_PER_MS;
		w.mean_ms += ms;
		w.max_ms = ms > w.max_ms ? ms : w.max_ms;
		n++;
	}
	w.mean_ms /= n;
	return w;
}

static void
check_slow_store(int slow_ms)
{
	struct waits before, after;
	size_t copies;

	play_init(false, slow_ms, 1);
	run(WRITE_EVERY_MS);
	before = waits_between(SLOW_FROM_MS, SLOW_UNTIL_MS);
	copies = play.copy_count;
	play_init(true, slow_ms, 1);
	run(WRITE_EVERY_MS);
	after = waits_between(SLOW_FROM_MS, SLOW_UNTIL_MS);
	cr_log_info("%d ms: mean %.0f max %.0f ms, %zu copies; before: mean "
		    "%.0f max %.0f ms, %zu copies\n",
	    slow_ms, after.mean_ms, after.max_ms, play.copy_count,
	    before.mean_ms, before.max_ms, copies);
	cr_expect_lt(after.mean_ms, before.mean_ms / 2);
	after = waits_between(SLOW_FROM_MS + LEARNT_MS, SLOW_UNTIL_MS - 500);
	cr_log_info("from 1.5 s on: mean %.0f max %.0f ms\n", after.mean_ms,
	    after.max_ms);
	cr_expect_leq(after.mean_ms, 1.5 * (slow_ms + 2 * NETWORK_MS) + 10);
	cr_expect_leq(after.max_ms, 2 * (slow_ms + 2 * NETWORK_MS) + 10);
	cr_expect_eq(play.changes, 2, "slow once, and fast once");
}

/*
 * A record waits for the append in flight and its own, no longer for three and
 * their copies.
 */
Test(slow_store, a_record_waits_for_two_appends_at_most)
{
	check_slow_store(110);
	check_slow_store(240);
}

static double
mean_wait_of_seeds(bool paced, int lost_percent, int held_percent, int every_ms)
{
	double sum = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		play_init(paced, 0, seed);
		play.lost_percent = lost_percent;
		play.held_percent = held_percent;
		run(every_ms);
		sum += waits_between(0, LIMIT_MS).mean_ms;
	}
	return sum / SEEDS;
}

/* A store that loses answers must not be taken for a slow one. */
Test(slow_store, lost_answers_are_repeated_as_soon_as_before)
{
	static const int held[] = {0, 33}, every[] = {5, 20, 100};
	double before, after;
	int i, k;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < 3; k++) {
			before = mean_wait_of_seeds(
			    false, 33 - held[i], held[i], every[k]);
			after = mean_wait_of_seeds(
			    true, 33 - held[i], held[i], every[k]);
			cr_log_info("held %d, every %d ms: before %.1f, after "
				    "%.1f ms\n",
			    held[i], every[k], before, after);
			cr_expect_leq(after, before + 1);
		}
	}
}

/* With a store of 4 ms the same appends are sent at the same times. */
Test(slow_store, a_fast_store_gets_the_same_calls)
{
	static struct copy before[COPIES_MAX];
	size_t count, i;

	play_init(false, 0, 1);
	run(3);
	count = play.copy_count;
	memcpy(before, play.copies, sizeof(before));
	play_init(true, 0, 1);
	run(3);
	cr_assert_eq(play.copy_count, count);
	for (i = 0; i < count; i++) {
		cr_expect_eq(play.copies[i].seq, before[i].seq);
		cr_expect_eq(play.copies[i].sent_us, before[i].sent_us);
		cr_expect_eq(play.copies[i].serial, before[i].serial);
	}
	cr_expect_eq(play.max_in_flight, APPENDS_IN_FLIGHT_MAX);
	cr_expect_eq(append_pace_depth(&play.window.pace), 3);
	cr_expect_eq(play.changes, 0);
}

/* A daemon whose loop was paused took the store for slow. */
Test(slow_store, a_late_loop_is_no_slow_store)
{
	struct append_answer a = {.now_us = US_PER_S,
	    .sent_us = US_PER_S - 250 * US_PER_MS,
	    .loop_lag_us = 200 * US_PER_MS,
	    .stored = true};
	struct append_pace p = {.base_us = 14 * US_PER_MS};

	cr_expect_eq(append_pace_add_answer(&p, &a), APPEND_PACE_UNCHANGED);
	a.sent_us = a.now_us;
	a.now_us += 250 * US_PER_MS;
	a.loop_lag_us = 20 * US_PER_MS;
	cr_expect_eq(append_pace_add_answer(&p, &a), APPEND_PACE_SLOW);
}

/* When an attempt ends; its owner answers others until it is gone. */
static int64_t
attempt_ends_ms(int answers_every_ms, int gone_ms, bool is_owner, int *queries)
{
	struct attempt a = {.sent_us = US_PER_S,
	    .deadline_us = US_PER_S + 2500 * US_PER_MS,
	    .is_owner = is_owner};
	struct attempt_check c = {.end_us = a.deadline_us};
	int64_t now_us = a.sent_us + ATTEMPT_QUERY_AFTER_MS * US_PER_MS;
	int64_t gone_us = a.sent_us + gone_ms * US_PER_MS, heard_us;

	for (*queries = 0;; now_us = c.check_us) {
		heard_us = now_us < gone_us ? now_us : gone_us;
		if (answers_every_ms > 0)
			a.heard_us = heard_us -
			    heard_us % (answers_every_ms * US_PER_MS);
		c = attempt_check(&a, now_us);
		if (c.end_us <= now_us)
			return (c.end_us - a.sent_us) / US_PER_MS;
		if (!c.query)
			continue;
		++*queries;
		if (now_us < gone_us)
			a.heard_us = now_us + 15 * US_PER_MS;
	}
}

/* Attempts ended at 700 ms, just before their answers, and began again. */
Test(slow_store, an_attempt_lasts_while_its_owner_answers_anything)
{
	int queries;

	cr_expect_eq(attempt_ends_ms(250, 9000, true, &queries), 2500);
	cr_expect_eq(queries, 0);
	cr_expect_eq(attempt_ends_ms(0, 9000, true, &queries), 2500);
	cr_expect_leq(queries, 8);
	cr_expect_eq(attempt_ends_ms(250, 9000, false, &queries), 700);
}

/* An owner that is gone is noticed 700 ms later at most, as before. */
Test(slow_store, an_owner_that_is_gone_is_noticed_as_soon_as_before)
{
	int gone_ms, queries;

	cr_expect_eq(attempt_ends_ms(0, 0, true, &queries), 700);
	cr_expect_eq(queries, 1);
	for (gone_ms = 0; gone_ms < 1800; gone_ms += 50) {
		cr_expect_leq(attempt_ends_ms(250, gone_ms, true, &queries),
		    gone_ms + 700);
		cr_expect_leq(attempt_ends_ms(0, gone_ms, true, &queries),
		    gone_ms + 700 + 15);
	}
}

/* Of one pool's submissions some were refused, and others stored. */
Test(slow_store, a_submission_is_refused_if_its_deadline_cannot_be_met)
{
	struct append_window *w = &play.window;
	struct append_answer slow = {.now_us = US_PER_S,
	    .sent_us = US_PER_S - 250 * US_PER_MS,
	    .stored = true};
	int64_t wait_us, now_us = US_PER_S;

	play_init(true, 0, 1);
	w->pace.base_us = 10 * US_PER_MS;
	append_window_put(w, now_us, "a", NULL, 1);
	now_us += 450 * US_PER_MS;
	cr_assert_not_null(append_window_next(w, now_us, &wait_us));
	cr_expect(append_window_overdue(w, now_us, 2500 * US_PER_MS),
	    "the store is out of reach");
	append_pace_add_answer(&w->pace, &slow);
	cr_expect_not(append_window_overdue(w, now_us, 2500 * US_PER_MS));
	cr_expect(append_window_overdue(w, now_us, 0), "unknown deadline");
	cr_expect(append_window_overdue(w, now_us, 200 * US_PER_MS));
	cr_expect(append_window_overdue(w, now_us + US_PER_S, 2500 * US_PER_MS),
	    "it no longer answers");
	append_window_uninit(w);
}
