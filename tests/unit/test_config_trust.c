/*
 * Daemons whose reads of the operators' topic fail, in virtual time: what they
 * learn from each other, and when they stop taking calls that need a key.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "config_call.h"
#include "config_trust.h"
#include "job_call.h"
#include "wire.h"

#define DAEMONS 12
#define STEP_MS 10
#define LONG_POLL_MS 700
#define RETRY_MS 250
#define LINK_MS 5 /* one way */
#define APPLY_MS 3000
#define STRETCH_MS 6000
#define START_MS 100000

static const struct config_trust_bounds bounds = {.apply_ms = APPLY_MS,
    .max_stretch_ms = STRETCH_MS};

enum store_view {
	SERVED,
	REFUSED,
	SILENT
};

struct daemon {
	struct config_trust trust;
	enum store_view store;
	bool cut_off; /* no peer reaches it */
	int64_t version;
	int64_t read_sent_ms, read_done_ms; /* 0: none in flight */
	int64_t next_read_ms;
	int asks, changes;
	bool current;
};

/* A network of daemons and a store whose newest version is "version". */
static struct {
	struct daemon list[DAEMONS];
	int64_t now_ms, version, published_ms;
} world;

static struct endpoint
address(int i)
{
	struct endpoint at = {.port = i + 1};

	snprintf(at.addr, sizeof(at.addr), "10.0.0.%d", i);
	return at;
}

static void
end_read(struct daemon *d)
{
	enum config_read_end end = CONFIG_READ_FAILED;

	if (d->store == SERVED) {
		end = CONFIG_READ_COMPLETE;
		d->version = world.version;
	}
	config_trust_read_ended(&d->trust, end, d->read_sent_ms * US_PER_MS);
	d->read_sent_ms = 0;
	d->next_read_ms = world.now_ms + (d->store == SERVED ? 0 : RETRY_MS);
}

static void
run_reads(struct daemon *d)
{
	if (d->read_sent_ms != 0 && d->store == SERVED &&
	    d->version < world.version)
		end_read(d);
	if (d->read_sent_ms != 0 && world.now_ms >= d->read_done_ms)
		end_read(d);
	if (d->read_sent_ms != 0 || world.now_ms < d->next_read_ms)
		return;
	d->read_sent_ms = world.now_ms;
	d->read_done_ms = world.now_ms +
	    (d->store == SERVED          ? LONG_POLL_MS
		    : d->store == SILENT ? LONG_POLL_MS + 900
					 : 2 * LINK_MS);
	config_trust_read_started(
	    &d->trust, world.now_ms * US_PER_MS, LONG_POLL_MS);
}

static void
run_asks(struct daemon *d)
{
	int64_t now_us = world.now_ms * US_PER_MS, age_us;
	struct endpoint to;
	struct daemon *peer;

	if (!config_trust_ask(&d->trust, now_us, d->version, &to))
		return;
	d->asks++;
	peer = &world.list[to.port - 1];
	if (peer->cut_off || d->cut_off) {
		config_trust_unanswered(&d->trust, now_us);
		return;
	}
	age_us = config_trust_age_us(&peer->trust, now_us);
	if (config_trust_supersedes(peer->version, d->version))
		d->version = peer->version;
	config_trust_answered(
	    &d->trust, now_us, now_us - 2 * LINK_MS * US_PER_MS, age_us);
}

static void
run(int ms)
{
	int64_t until_ms = world.now_ms + ms;
	struct daemon *d;
	bool current;
	int i;

	for (; world.now_ms < until_ms; world.now_ms += STEP_MS) {
		for (i = 0; i < DAEMONS; i++) {
			d = &world.list[i];
			run_reads(d);
			run_asks(d);
			current = config_trust_current(
			    &d->trust, world.now_ms * US_PER_MS, &bounds);
			d->changes += current != d->current;
			d->current = current;
			/* the bound itself: an old version must not count */
			cr_assert(!current || d->version == world.version ||
				world.now_ms - world.published_ms <= APPLY_MS,
			    "daemon %d is at version %lld, %lld ms after %lld",
			    i, (long long)d->version,
			    (long long)(world.now_ms - world.published_ms),
			    (long long)world.version);
		}
	}
}

static void
publish(void)
{
	world.version++;
	world.published_ms = world.now_ms;
}

/* Each daemon knows all of the first "known" as peers. */
static void
start(int known)
{
	struct endpoint at;
	struct daemon *d;
	int i, k;

	memset(&world, 0, sizeof(world));
	world.now_ms = START_MS;
	for (i = 0; i < DAEMONS; i++) {
		d = &world.list[i];
		config_trust_init(&d->trust, (START_MS + 77 * i) * US_PER_MS);
		for (k = 0; k < known; k++) {
			at = address(k);
			if (k != i)
				config_trust_add_peer(
				    &d->trust, START_MS * US_PER_MS, &at);
		}
	}
	publish();
	run(2000);
	for (i = 0; i < DAEMONS; i++) {
		cr_assert(world.list[i].current);
		cr_assert_eq(world.list[i].asks, 0); /* the store answers */
		world.list[i].changes = 0;
	}
}

static void
turn_away(int from, int to, enum store_view how)
{
	int i;

	for (i = from; i < to; i++)
		world.list[i].store = how;
}

static int
current_count(int from, int to)
{
	int i, n = 0;

	for (i = from; i < to; i++)
		n += world.list[i].current;
	return n;
}

/* A third is turned away for 9 s: each change reaches it, nothing is refused.
 */
static void
third_turned_away(enum store_view how)
{
	int i;

	start(6);
	turn_away(2, 6, how);
	for (i = 0; i < 9; i++) {
		publish();
		run(1000);
		cr_expect_eq(current_count(0, DAEMONS), DAEMONS);
	}
	for (i = 0; i < DAEMONS; i++) {
		cr_expect_eq(world.list[i].changes, 0);
		cr_expect(i >= 2 && i < 6 ? world.list[i].asks >= 20
					  : world.list[i].asks == 0);
		/* one ask every 250 ms */
		cr_expect_leq(world.list[i].asks, 9000 / 250 + 1);
	}
}

Test(config_trust, a_third_refused_by_the_store_keeps_up)
{
	third_turned_away(REFUSED);
}

Test(config_trust, a_third_that_the_store_does_not_answer_keeps_up)
{
	third_turned_away(SILENT);
}

Test(config_trust, an_outage_of_the_whole_store_stretches_the_bound_once)
{
	start(6);
	turn_away(0, DAEMONS, REFUSED);
	/* the last complete read was sent up to 1.4 s before */
	run(APPLY_MS + STRETCH_MS - 1800);
	cr_expect_eq(current_count(0, DAEMONS), DAEMONS);
	run(1800);
	cr_expect_eq(current_count(0, DAEMONS), 0);
	turn_away(0, DAEMONS, SERVED);
	run(1000);
	cr_expect_eq(current_count(0, DAEMONS), DAEMONS);
}

Test(config_trust, an_isolated_daemon_stops_before_the_bound)
{
	start(6);
	world.list[3].cut_off = true;
	turn_away(3, 4, SILENT);
	publish();
	run(APPLY_MS - 200);
	cr_expect_not(world.list[3].current);
	cr_expect_eq(current_count(0, DAEMONS), DAEMONS - 1);
	world.list[3].cut_off = false;
	run(500);
	cr_expect(world.list[3].current);
	cr_expect_eq(world.list[3].version, world.version);
	cr_expect_eq(world.list[3].changes, 2);
}

/* One or two turned-away peers must not pass for an outage of the whole store.
 */
Test(config_trust, three_answers_without_a_recent_read_stretch_the_bound)
{
	struct config_trust t;
	struct endpoint at = address(1), to;
	int64_t now = START_MS * US_PER_MS;
	int i;

	config_trust_init(&t, now);
	config_trust_add_peer(&t, now, &at);
	config_trust_read_ended(&t, CONFIG_READ_COMPLETE, now);
	config_trust_read_ended(&t, CONFIG_READ_FAILED, now);
	for (i = 0; i < 2; i++) {
		now += 1300 * US_PER_MS;
		cr_assert(config_trust_ask(&t, now, 1, &to));
		config_trust_answered(&t, now, now, 2600 * US_PER_MS);
	}
	now += 200 * US_PER_MS;
	/* two peers without a recent read are too few to conclude from */
	cr_expect_not(config_trust_current(&t, now, &bounds));
	now += 100 * US_PER_MS;
	cr_assert(config_trust_ask(&t, now, 1, &to));
	config_trust_answered(&t, now, now, 2900 * US_PER_MS);
	cr_expect(config_trust_current(&t, now, &bounds));
	cr_expect_not(
	    config_trust_current(&t, now + 1001 * US_PER_MS, &bounds));
}

Test(config_trust, late_and_reordered_answers_count_from_their_requests)
{
	struct config_trust t;
	int64_t now = START_MS * US_PER_MS;

	config_trust_init(&t, now);
	config_trust_answered(&t, now, now - 100 * US_PER_MS, 0);
	cr_expect_eq(config_trust_age_us(&t, now), 100 * US_PER_MS);
	/* sent before it: confirms less */
	config_trust_answered(&t, now, now - 4000 * US_PER_MS, 0);
	cr_expect_eq(config_trust_age_us(&t, now), 100 * US_PER_MS);
	config_trust_answered(&t, now, now - 50 * US_PER_MS, 80 * US_PER_MS);
	cr_expect_eq(config_trust_age_us(&t, now), 100 * US_PER_MS);
	/* an age beyond all time, and none */
	config_trust_answered(&t, now, now, INT64_MAX);
	config_trust_answered(&t, now, now, -1);
	cr_expect_eq(config_trust_age_us(&t, now), 100 * US_PER_MS);
	cr_expect(config_trust_supersedes(1, -1));
	cr_expect(config_trust_supersedes(8, 7));
	cr_expect_not(config_trust_supersedes(7, 7));
	cr_expect_not(config_trust_supersedes(6, 7));
}

/* A process that is stopped for 4 s finds its configuration old at once. */
Test(config_trust, a_suspended_process_takes_no_calls_until_it_has_asked)
{
	struct config_trust t;
	struct endpoint at = address(1), to;
	int64_t now = START_MS * US_PER_MS;

	config_trust_init(&t, now);
	config_trust_add_peer(&t, now, &at);
	config_trust_read_ended(&t, CONFIG_READ_COMPLETE, now);
	config_trust_read_started(&t, now, LONG_POLL_MS);
	cr_expect_not(config_trust_ask(&t, now, 1, &to));
	now += 4000 * US_PER_MS;
	cr_expect_not(config_trust_current(&t, now, &bounds));
	cr_expect_leq(config_trust_wake_us(&t, now), now);
	cr_assert(config_trust_ask(&t, now, 1, &to));
	/* the answer to the read that was in flight is as old as the read */
	config_trust_read_ended(
	    &t, CONFIG_READ_COMPLETE, now - 4000 * US_PER_MS);
	cr_expect_not(config_trust_current(&t, now, &bounds));
	config_trust_answered(&t, now + 10000, now, 700 * US_PER_MS);
	cr_expect(config_trust_current(&t, now + 10000, &bounds));
}

Test(config_trust, a_version_seen_at_a_peer_is_asked_for)
{
	struct config_trust t;
	struct endpoint at = address(4), to;
	int64_t now = START_MS * US_PER_MS;

	config_trust_init(&t, now);
	config_trust_read_ended(&t, CONFIG_READ_COMPLETE, now);
	config_trust_read_started(&t, now, LONG_POLL_MS);
	config_trust_newer_seen(&t, now, &at, 9);
	/* the store may deliver it in this moment */
	cr_expect_not(config_trust_ask(&t, now, 8, &to));
	cr_expect_eq(config_trust_wake_us(&t, now), now + 100 * US_PER_MS);
	now += 100 * US_PER_MS;
	cr_assert(config_trust_ask(&t, now, 8, &to));
	cr_expect_eq(to.port, at.port);
	config_trust_answered(&t, now, now, -1);
	/* a peer that goes on claiming it is asked at the usual rate */
	config_trust_newer_seen(&t, now, &at, 10);
	cr_expect_not(config_trust_ask(&t, now + 249 * US_PER_MS, 8, &to));
	/* delivered meanwhile */
	cr_expect_not(config_trust_ask(&t, now + 250 * US_PER_MS, 10, &to));
	/* at once where reads fail */
	now += 500 * US_PER_MS;
	config_trust_read_ended(&t, CONFIG_READ_FAILED, now);
	config_trust_newer_seen(&t, now, &at, 11);
	cr_expect(config_trust_ask(&t, now, 10, &to));
}

Test(config_trust, peers_are_asked_in_turn_and_the_silent_passed_over)
{
	struct config_trust t;
	struct endpoint at, to;
	int64_t now = START_MS * US_PER_MS;
	int i, asked[CONFIG_PEERS_MAX + 8] = {0};

	config_trust_init(&t, now);
	for (i = 0; i < CONFIG_PEERS_MAX + 4; i++) {
		at = address(i);
		config_trust_add_peer(&t, now + i, &at);
	}
	cr_assert_eq(t.peer_count, CONFIG_PEERS_MAX);
	config_trust_read_ended(&t, CONFIG_READ_FAILED, now);
	for (i = 0; i < CONFIG_PEERS_MAX; i++) {
		cr_assert(config_trust_ask(&t, now, 1, &to));
		asked[to.port - 1]++;
		cr_expect_not(config_trust_ask(&t, now, 1, &to));
		now += CONFIG_ASK_TIMEOUT_MS * US_PER_MS;
		config_trust_unanswered(&t, now);
	}
	for (i = 0; i < CONFIG_PEERS_MAX + 4; i++)
		cr_expect_eq(asked[i], i >= 4, "peer %d", i);
}

static int
decode(const void *data, size_t len)
{
	struct config_answer a;
	struct err e;
	int ret = config_answer_decode(&a, data, len, &e);

	if (ret == 0)
		config_answer_uninit(&a);
	return ret;
}

Test(config_trust, answers_of_peers_survive_the_wire)
{
	struct config_answer a = {.age_ms = 17}, b;
	struct err e;
	struct buf *out;
	int64_t have;
	size_t i;

	a.value = buf_from("{}", 2);
	a.owners.generation = 5;
	a.owners.count = 2;
	snprintf(a.owners.members[1], MEMBER_BYTES, "10.0.0.7:900/s");
	out = config_answer_encode(&a);
	cr_assert_eq(config_answer_decode(&b, out->data, out->len, &e), 0);
	cr_expect_eq(b.age_ms, 17);
	cr_expect_eq(b.value->len, 2);
	cr_expect_eq(b.owners.count, 2);
	cr_expect_eq(b.owners.generation, 5);
	cr_expect_str_eq(b.owners.members[1], "10.0.0.7:900/s");
	config_answer_uninit(&b);
	for (i = 0; i < out->len; i++)
		cr_expect_eq(decode(out->data, i), -1);
	buf_unref(out);
	out = config_request_encode(-1);
	cr_assert_eq(config_request_decode(&have, out->data, out->len, &e), 0);
	cr_expect_eq(have, -1);
	buf_unref(out);
	config_answer_uninit(&a);
}

/* One field of an answer, whose age is not "age_ms". */
static int
decode_age(int64_t age_ms, int64_t *got)
{
	struct config_answer a;
	struct wire_writer w;
	struct buf *out;
	struct err e;
	int ret;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_i64(&w, "age", age_ms);
	out = wire_writer_finish(&w);
	ret = config_answer_decode(&a, out->data, out->len, &e);
	*got = a.age_ms;
	buf_unref(out);
	return ret;
}

Test(config_trust, odd_answers_of_peers_confirm_nothing)
{
	static const char *const members[] = {
	    "nobody", "10.0.0.1", ":1", "x:y"};
	struct config_answer a = {.age_ms = 1};
	struct buf *out;
	int64_t age;
	size_t i;

	cr_expect_eq(decode_age(-1, &age), -1);
	cr_expect_eq(decode_age(INT64_MIN, &age), -1);
	cr_expect_eq(decode_age(INT64_MAX, &age), 0);
	cr_expect_eq(age, -1);
	cr_expect_eq(decode("", 0), -1);
	cr_expect_eq(decode("\xc1", 1), -1);
	for (i = 0; i < sizeof(members) / sizeof(members[0]); i++) {
		a.owners.count = 1;
		snprintf(a.owners.members[0], MEMBER_BYTES, "%s", members[i]);
		out = config_answer_encode(&a);
		cr_expect_eq(decode(out->data, out->len), -1, "%s", members[i]);
		buf_unref(out);
	}
}

/* Without accounts the reply is as it was before it could show a version. */
Test(config_trust, replies_show_a_version_only_where_there_are_accounts)
{
	struct job_reply r = {.kind = REPLY_NOT_DONE}, got;
	struct buf *out = job_reply_encode(&r);
	struct err e;

	cr_expect_eq(out->data[0], 0x87); /* a map of seven fields */
	cr_assert_eq(job_reply_decode(&got, out->data, out->len, &e), 0);
	cr_expect_eq(got.config_version, 0);
	buf_unref(out);
	r.config_version = 12;
	out = job_reply_encode(&r);
	cr_assert_eq(job_reply_decode(&got, out->data, out->len, &e), 0);
	cr_expect_eq(got.config_version, 12);
	buf_unref(out);
}
