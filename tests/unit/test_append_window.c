/*
 * Appends of one writer against a store that takes each number once, in order:
 * answers are lost, appends overtake each other or come late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "append_window.h"
#include "bounds.h"
#include "view.h"

#define STEP_US US_PER_MS
#define ANSWER_MS 14 /* of an append from another zone */
#define LATE_MS 8 /* a connection is opened first */
#define UNANSWERED_MS 60 /* then the writer takes it for lost */
#define WRITES 400
#define LIMIT_MS 60000 /* all writes are stored long before */
#define OPS_MAX 64
#define RECORD_BYTES 1000 /* largest that the store takes */
#define REQUEST_BYTES 4000

/* An append on its way, or its answer. */
struct message {
	bool used, arrived, lost;
	int64_t seq, arrive_us, answer_us;
	uint64_t newest; /* writes in it, by the newest */
	enum store_outcome outcome;
};

struct play {
	struct append_window window;
	uint64_t prng;
	struct message messages[OPS_MAX];
	int64_t now_us, store_seq;
	uint64_t stored; /* writes that the store has, by the newest */
	uint64_t told; /* writes that the writer knows to be stored */
	int64_t put_us[WRITES + 1], told_us[WRITES + 1];
	bool fenced;
	int64_t late_seq; /* overtaken by the one behind; 0: none */
	int chaos; /* of a hundred appends: lost, late, or out of order */
};

static void
window_init(struct append_window *w, int64_t seq, bool established)
{
	struct append_window_opts o = {
	    .first_seq = seq,
	    .epoch_established = established,
	    .record_max_bytes = RECORD_BYTES,
	    .request_max_bytes = REQUEST_BYTES,
	};

	append_window_init(w, &o);
}

static void
play_init(struct play *p, uint64_t seed, int chaos, bool established)
{
	memset(p, 0, sizeof(*p));
	p->prng = seed;
	p->now_us = US_PER_S;
	p->store_seq = 6;
	p->chaos = chaos;
	window_init(&p->window, 7, established);
}

static bool
one_in_hundred(struct play *p, int times)
{
	return (int)prng_below(&p->prng, 100) < times;
}

static void
send(struct play *p, const struct window_append *s)
{
	struct message *m = p->messages;
	int64_t way_us = ANSWER_MS * US_PER_MS / 2;

	while (m->used)
		m++;
	cr_assert_lt(m - p->messages, OPS_MAX);
	memset(m, 0, sizeof(*m));
	m->used = true;
	m->seq = s->seq;
	m->newest = s->last_serial;
	if (one_in_hundred(p, p->chaos))
		way_us += (int64_t)prng_below(&p->prng, 300) * US_PER_MS;
	if (m->seq == p->late_seq) {
		way_us += LATE_MS * US_PER_MS;
		p->late_seq = 0;
	}
	m->lost = one_in_hundred(p, p->chaos);
	m->arrive_us = p->now_us + way_us;
	m->answer_us = m->arrive_us + ANSWER_MS * US_PER_MS / 2;
}

static void
arrive(struct play *p, struct message *m)
{
	m->arrived = true;
	if (m->seq == p->store_seq + 1) {
		p->store_seq = m->seq;
		p->stored = m->newest;
		m->outcome = STORE_DONE;
	} else if (m->seq <= p->store_seq && m->seq > p->store_seq - 5) {
		m->outcome = STORE_DONE; /* a repeat */
	} else {
		m->outcome = STORE_OUT_OF_SEQUENCE;
	}
}

static void
end(struct play *p, struct message *m, enum store_outcome outcome)
{
	uint64_t serial = 0;

	m->used = !m->arrived; /* it may still come */
	switch (append_window_complete(
	    &p->window, p->now_us, m->seq, outcome, &serial)) {
	case WINDOW_STORED:
		cr_assert_leq(serial, p->stored, "told before it is stored");
		while (p->told < serial)
			p->told_us[++p->told] = p->now_us;
		return;
	case WINDOW_FENCED:
	case WINDOW_UNREADABLE:
		p->fenced = true;
		return;
	case WINDOW_PENDING:
		return;
	}
}

static void
step(struct play *p)
{
	const struct window_append *s;
	struct message *m;
	int64_t wait_us;

	for (m = p->messages; m < p->messages + OPS_MAX; m++) {
		if (!m->used)
			continue;
		if (!m->arrived && m->arrive_us <= p->now_us) {
			arrive(p, m);
			m->used = m->outcome != STORE_UNKNOWN;
		}
		if (m->arrived && !m->lost && m->answer_us <= p->now_us)
			end(p, m, m->outcome);
		else if (m->answer_us + UNANSWERED_MS * US_PER_MS <= p->now_us)
			end(p, m, STORE_UNKNOWN);
	}
	while (
	    (s = append_window_next(&p->window, p->now_us, &wait_us)) != NULL)
		send(p, s);
	p->now_us += STEP_US;
}

static void
put(struct play *p, uint64_t serial)
{
	char key[32];

	p->put_us[serial] = p->now_us;
	snprintf(key, sizeof(key), "key/%llu", (unsigned long long)serial);
	cr_assert_eq(
	    append_window_put(&p->window, p->now_us, key, NULL, serial),
	    WINDOW_PUT_QUEUED);
}

/* A write each few ms until all are known to be stored. */
static void
play_all(struct play *p, int every_ms)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < LIMIT_MS && p->told < WRITES; i++) {
		if (n < WRITES && i % every_ms == 0)
			put(p, ++n);
		step(p);
	}
	cr_expect_eq(p->told, WRITES);
	cr_expect_eq(p->stored, WRITES);
	cr_expect_not(p->fenced);
	cr_expect(append_window_idle(&p->window));
	append_window_uninit(&p->window);
}

static double
mean_wait_ms(const struct play *p)
{
	double sum = 0;
	int i;

	for (i = 1; i <= WRITES; i++)
		sum += (double)(p->told_us[i] - p->put_us[i]);
	return sum / WRITES / (double)US_PER_MS;
}

/*
 * The load: jobs one after the other, some 200 a second.  With one append under
 * way a job waited for the answer to the one before: 25 ms to its first start
 * were out of reach.
 */
Test(append_window, a_write_does_not_wait_for_the_answer_to_the_one_before)
{
	struct play p;

	play_init(&p, 1, 0, true);
	play_all(&p, 5);
	cr_expect_leq(
	    mean_wait_ms(&p), ANSWER_MS + 5.0, "%f ms", mean_wait_ms(&p));
}

Test(append_window, each_write_is_stored_once_and_told_after)
{
	struct play p;
	uint64_t seed;

	for (seed = 1; seed <= 200; seed++) {
		play_init(&p, seed, (int)(seed % 40), seed % 2 == 0);
		play_all(&p, 1 + (int)(seed % 9));
	}
}

/*
 * After one append had overtaken another, each of those behind waited for the
 * one before: 45 ms instead of 14, for as long as the load went on.
 */
Test(append_window, one_that_overtakes_does_not_slow_down_those_behind)
{
	struct play p;

	play_init(&p, 1, 0, true);
	p.late_seq = 10;
	play_all(&p, 5);
	cr_expect_leq(
	    mean_wait_ms(&p), ANSWER_MS + 5.0, "%f ms", mean_wait_ms(&p));
}

/* A store that does not know the epoch takes any number as its first. */
Test(append_window, a_new_epoch_begins_with_one_append)
{
	const struct window_append *s;
	struct append_window w;
	uint64_t serial;
	int64_t wait_us;

	window_init(&w, 0, false);
	append_window_put(&w, 0, "a", NULL, 1);
	s = append_window_next(&w, 10 * US_PER_MS, &wait_us);
	cr_assert_not_null(s);
	append_window_put(&w, 10 * US_PER_MS, "b", NULL, 2);
	cr_expect_null(append_window_next(&w, 50 * US_PER_MS, &wait_us));
	cr_expect_eq(
	    append_window_complete(&w, 51 * US_PER_MS, 0, STORE_DONE, &serial),
	    WINDOW_STORED);
	cr_expect_not_null(append_window_next(&w, 51 * US_PER_MS, &wait_us));
	append_window_uninit(&w);
}

/* An append that overtook the one before is sent again; a fence ends all. */
Test(append_window, overtaking_is_no_fence)
{
	struct append_window w;
	uint64_t serial;
	int64_t wait_us;

	window_init(&w, 3, true);
	append_window_put(&w, 0, "a", NULL, 1);
	cr_assert_not_null(append_window_next(&w, 3 * US_PER_MS, &wait_us));
	append_window_put(&w, 4 * US_PER_MS, "b", NULL, 2);
	cr_assert_not_null(append_window_next(&w, 9 * US_PER_MS, &wait_us));
	cr_expect_eq(append_window_complete(
			 &w, 15 * US_PER_MS, 4, STORE_OUT_OF_SEQUENCE, &serial),
	    WINDOW_PENDING);
	cr_expect_eq(
	    append_window_complete(&w, 16 * US_PER_MS, 3, STORE_DONE, &serial),
	    WINDOW_STORED);
	cr_expect_eq(serial, 1);
	cr_expect_not_null(append_window_next(&w, 16 * US_PER_MS, &wait_us));
	cr_expect_eq(append_window_complete(
			 &w, 30 * US_PER_MS, 4, STORE_OUT_OF_SEQUENCE, &serial),
	    WINDOW_FENCED);
	append_window_put(&w, 31 * US_PER_MS, "c", NULL, 3);
	cr_expect_null(append_window_next(&w, 90 * US_PER_MS, &wait_us));
	append_window_uninit(&w);
}

static struct buf *
value_of(size_t len, char fill)
{
	struct buf *b = buf_new(len);
	size_t i;

	for (i = 0; i < len; i++)
		buf_append(b, &fill, 1);
	return b;
}

static enum window_put_result
put_value(struct append_window *w, const char *key, size_t len, char fill,
    uint64_t serial)
{
	struct buf *b = value_of(len, fill);
	enum window_put_result put =
	    append_window_put(w, US_PER_MS, key, b, serial);

	buf_unref(b);
	return put;
}

/*
 * The store refuses an append over its limit whole: one body of all that had
 * gathered, 4.2 MB, was sent again for ever, and the pool was dead.
 */
Test(append_window, an_append_is_cut_between_records)
{
	const struct window_append *s;
	struct append_window w;
	uint64_t serial = 0, i;
	int64_t wait_us;
	char key[16];

	window_init(&w, 0, true);
	for (i = 1; i <= 20; i++) {
		snprintf(key, sizeof(key), "k%llu", (unsigned long long)i);
		cr_expect_eq(
		    put_value(&w, key, 900, 'v', i), WINDOW_PUT_QUEUED);
	}
	for (i = 1; i <= 5; i++) {
		s = append_window_next(&w, (int64_t)i * US_PER_S, &wait_us);
		cr_assert_not_null(s);
		cr_expect_leq(s->records->len, REQUEST_BYTES);
		cr_expect_eq(append_window_complete(&w, (int64_t)i * US_PER_S,
				 s->seq, STORE_DONE, &serial),
		    WINDOW_STORED);
		cr_expect_eq(serial, i * 4);
	}
	cr_expect(append_window_idle(&w));
	append_window_uninit(&w);
}

/* It is found where it is made, and what is behind it goes on. */
Test(append_window, a_record_over_the_limit_is_not_taken)
{
	struct append_window w;

	window_init(&w, 0, true);
	cr_expect_eq(
	    put_value(&w, "large", RECORD_BYTES, 'v', 1), WINDOW_PUT_TOO_LARGE);
	cr_expect(append_window_idle(&w));
	cr_expect_eq(put_value(&w, "fits", 10, 'v', 2), WINDOW_PUT_QUEUED);
	cr_expect_not(append_window_idle(&w));
	append_window_uninit(&w);
}

/*
 * Only the newest value of a key that waits is sent, in its first place; the
 * later write counts as stored only with all before it.
 */
Test(append_window, a_later_value_replaces_one_that_waits)
{
	const struct window_append *s;
	struct append_window w;
	uint64_t serial = 0;
	int64_t wait_us;

	window_init(&w, 0, true);
	put_value(&w, "a", 900, 'x', 1);
	put_value(&w, "b", 900, 'x', 2);
	put_value(&w, "c", 900, 'x', 3);
	put_value(&w, "a", 900, 'y', 4);
	put_value(&w, "d", 900, 'x', 5);
	put_value(&w, "e", 900, 'x', 6);
	s = append_window_next(&w, US_PER_S, &wait_us);
	cr_assert_not_null(s);
	cr_expect_eq(s->records->len, 4 * (4 + 1 + 1 + 900));
	cr_expect_eq(s->records->data[4 + 1 + 1], 'y');
	cr_expect_eq(
	    append_window_complete(&w, US_PER_S, 0, STORE_DONE, &serial),
	    WINDOW_STORED);
	cr_expect_eq(serial, 5);
	append_window_uninit(&w);

	window_init(&w, 0, true);
	put_value(&w, "a", 900, 'x', 1);
	put_value(&w, "b", 900, 'x', 2);
	put_value(&w, "c", 900, 'x', 3);
	put_value(&w, "d", 900, 'x', 4);
	put_value(&w, "e", 900, 'x', 5);
	put_value(&w, "a", 900, 'y', 6);
	cr_assert_not_null(append_window_next(&w, US_PER_S, &wait_us));
	append_window_complete(&w, US_PER_S, 0, STORE_DONE, &serial);
	cr_expect_eq(serial, 4, "the write of a is behind that of e");
	append_window_uninit(&w);
}

/* The same bytes are not sent again; a new term begins from what is stored. */
Test(append_window, bytes_that_the_store_cannot_read_end_the_term)
{
	struct append_window w;
	uint64_t serial;
	int64_t wait_us;

	window_init(&w, 0, true);
	put_value(&w, "a", 10, 'x', 1);
	cr_assert_not_null(append_window_next(&w, US_PER_S, &wait_us));
	cr_expect_eq(
	    append_window_complete(&w, US_PER_S, 0, STORE_MALFORMED, &serial),
	    WINDOW_UNREADABLE);
	cr_expect_null(append_window_next(&w, 2 * US_PER_S, &wait_us));
	append_window_uninit(&w);
}
