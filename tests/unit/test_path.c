/* Parts of the request path: turns, claims, retries, routes, spilled numbers.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "bounds.h"
#include "path_claim.h"
#include "path_queue.h"
#include "path_retry.h"
#include "path_route.h"
#include "text.h"
#include "wire.h"

/* Queues. */

static struct path_request *
waiting(struct class_queue *q, const char *member, int weight, size_t limit)
{
	struct path_request *r = calloc(1, sizeof(*r));

	strcpy(r->member, member);
	if (queue_push(q, r, weight, limit) == 0)
		return r;
	free(r);
	return NULL;
}

static void
drain(struct class_queue *q)
{
	struct path_request *r;

	while (q->count > 0) {
		r = queue_peek(q, 1);
		queue_pop(q, r);
		free(r);
	}
	queue_uninit(q);
}

Test(path_queue, weights_give_the_turns)
{
	struct class_queue q;
	struct path_request *r;
	int heavy = 0, light = 0, i;

	queue_init(&q);
	for (i = 0; i < 90; i++) {
		waiting(&q, "heavy", 3, 100);
		waiting(&q, "light", 1, 100);
	}
	for (i = 0; i < 80; i++) {
		r = queue_peek(&q, 3);
		heavy += strcmp(r->member, "heavy") == 0;
		light += strcmp(r->member, "light") == 0;
		queue_pop(&q, r);
		free(r);
	}
	cr_expect_eq(heavy, 60);
	cr_expect_eq(light, 20);
	drain(&q);
}

Test(path_queue, a_full_member_leaves_room_for_others)
{
	struct class_queue q;

	queue_init(&q);
	cr_expect_not_null(waiting(&q, "a", 1, 2));
	cr_expect_not_null(waiting(&q, "a", 1, 2));
	cr_expect_null(waiting(&q, "a", 1, 2));
	cr_expect_not_null(waiting(&q, "b", 1, 2));
	cr_expect_null(waiting(&q, "c", 1, 0));
	cr_expect_eq(q.count, 3);
	cr_expect_eq(q.member_count, 2);
	drain(&q);
}

/* Claims. */

struct claim_bed {
	struct claims claims;
	struct view view;
	uint64_t prng, offset;
	struct effects fx;
	unsigned won, lost;
};

static void
claim_seen(void *arg, uint64_t number, enum claim_op op, bool won)
{
	struct claim_bed *b = arg;

	(void)number;
	if (op == CLAIM_ACQUIRE && won)
		b->won++;
	else if (op == CLAIM_ACQUIRE)
		b->lost++;
}

static void
claim_bed_init(struct claim_bed *b)
{
	memset(b, 0, sizeof(*b));
	claims_init(&b->claims);
	effects_init(&b->fx);
	b->prng = 1;
	b->view.self = 1;
	b->view.incarnation = 1;
	b->view.prng = &b->prng;
}

static void
claim_bed_uninit(struct claim_bed *b)
{
	claims_uninit(&b->claims);
	effects_uninit(&b->fx);
}

static struct buf *
claim_body(enum claim_op op, const char *key, uint64_t number)
{
	struct claim_hash h = claim_hash("s", "m", key);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "c", 1);
	wire_map(&w, 5);
	wire_u64(&w, "op", op);
	wire_u64(&w, "h", h.high);
	wire_u64(&w, "l", h.low);
	wire_u64(&w, "n", number);
	wire_i64(&w, "ttl", 60);
	return wire_writer_finish(&w);
}

/* One record of an author's sequence "seq", by its clock "ms". */
static void
claim_record(struct claim_bed *b, uint64_t author, uint64_t seq, int64_t ms,
    enum claim_op op, const char *key)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {author, 1, seq},
	    .kind = RECORD_CLAIM,
	    .time_ms = ms,
	    .offset = b->offset++,
	    .body = claim_body(op, key, seq)};
	struct event ev = {.kind = EVENT_LOG_BATCH};

	ev.u.log_batch.stream = STREAM_CLAIMS;
	ev.u.log_batch.records = &r;
	ev.u.log_batch.count = 1;
	ev.u.log_batch.next = ev.u.log_batch.tail = b->offset;
	claims_step(&b->claims, &b->view, &ev, claim_seen, b, &b->fx);
	buf_unref(r.body);
}

static uint64_t
claim_owner(const struct claim_bed *b, const char *key)
{
	const struct claim_holder *h =
	    claims_holder(&b->claims, claim_hash("s", "m", key));

	return h == NULL ? 0 : h->process;
}

Test(path_claim, the_first_in_the_log_wins)
{
	struct claim_bed b;

	claim_bed_init(&b);
	claim_record(&b, 2, 1, 1000, CLAIM_ACQUIRE, "k");
	claim_record(&b, 1, 1, 1000, CLAIM_ACQUIRE, "k");
	cr_expect_eq(claim_owner(&b, "k"), 2);
	cr_expect_eq(b.lost, 1);
	cr_expect_eq(b.won, 0);
	claim_bed_uninit(&b);
}

Test(path_claim, a_repeated_append_takes_nothing_again)
{
	struct claim_bed b;

	claim_bed_init(&b);
	claim_record(&b, 1, 1, 1000, CLAIM_ACQUIRE, "k");
	claim_record(&b, 1, 2, 1000, CLAIM_RELEASE, "other");
	claim_record(&b, 1, 1, 1000, CLAIM_ACQUIRE, "k"); /* its second copy */
	cr_expect_eq(b.won, 1);
	cr_expect_eq(b.lost, 0);
	claim_bed_uninit(&b);
}

Test(path_claim, only_the_holder_releases)
{
	struct claim_bed b;

	claim_bed_init(&b);
	claim_record(&b, 2, 7, 1000, CLAIM_ACQUIRE, "k");
	claim_record(&b, 3, 7, 1000, CLAIM_RELEASE, "k");
	cr_expect_eq(claim_owner(&b, "k"), 2);
	claim_record(&b, 2, 8, 1000, CLAIM_RELEASE, "k"); /* another number */
	cr_expect_eq(claim_owner(&b, "k"), 2);
	claim_bed_uninit(&b);
}

Test(path_claim, one_wild_clock_expires_nothing)
{
	const int64_t now = INT64_C(1800000000000), wild = now * 2;
	struct claim_bed b;

	claim_bed_init(&b);
	claim_record(&b, 2, 1, now, CLAIM_ACQUIRE, "a");
	claim_record(&b, 3, 1, now, CLAIM_ACQUIRE, "b");
	claim_record(&b, 2, 2, now, CLAIM_ACQUIRE, "k");
	claim_record(&b, 4, 1, wild, CLAIM_ACQUIRE, "c");
	claim_record(&b, 3, 2, now + 1000, CLAIM_ACQUIRE, "k");
	cr_expect_eq(claim_owner(&b, "k"), 2);
	/* Two honest clocks past the time to live do expire it. */
	claim_record(&b, 2, 3, now + 100000, CLAIM_ACQUIRE, "d");
	claim_record(&b, 3, 3, now + 100000, CLAIM_ACQUIRE, "k");
	cr_expect_eq(claim_owner(&b, "k"), 3);
	claim_bed_uninit(&b);
}

Test(path_claim, after_a_gap_young_history_is_not_judged)
{
	struct claim_bed b;
	struct event ev = {.kind = EVENT_LOG_GAP};

	claim_bed_init(&b);
	claim_record(&b, 2, 1, 1000000, CLAIM_ACQUIRE, "a");
	claim_record(&b, 3, 1, 1000000, CLAIM_ACQUIRE, "b");
	cr_expect(claims_available(&b.claims, 60));
	ev.u.log_gap.stream = STREAM_CLAIMS;
	ev.u.log_gap.first = b.offset = 50;
	claims_step(&b.claims, &b.view, &ev, claim_seen, &b, &b.fx);
	cr_expect_not(claims_available(&b.claims, 60));
	claim_record(&b, 2, 9, 1070000, CLAIM_ACQUIRE, "c");
	claim_record(&b, 3, 9, 1070000, CLAIM_ACQUIRE, "d");
	cr_expect(claims_available(&b.claims, 60));
	claim_bed_uninit(&b);
}

/* Retries. */

Test(path_retry, the_budget_is_a_share_of_fresh_requests)
{
	struct retry_budget b;
	int i, retries = 0;

	retry_init(&b);
	while (retry_withdraw(&b))
		retries++;
	cr_expect_leq(retries, 10, "a quiet start saves up %d", retries);
	retries = 0;
	for (i = 0; i < 1000; i++) {
		retry_deposit(&b, 100000);
		retries += retry_withdraw(&b);
	}
	cr_expect_leq(retries, 100);
	cr_expect_geq(retries, 95);
}

/* Routes. */

static const char route_text[] =
    "{\"deployment\":\"t\",\"data_centres\":[{\"name\":\"dc1\","
    "\"region\":\"r\"}],\"pools\":[{\"name\":\"p\"},{\"name\":\"spare\","
    "\"spare\":true}],\"services\":[{\"name\":\"s\",\"path\":\"/s\","
    "\"pool\":\"p\",\"availability\":0.5,\"batch_path\":\"/s/batch\"}],"
    "\"members\":[{\"name\":\"m1\"}],\"member_by\":\"header\","
    "\"member_header\":\"x-member\"}";

static struct route
route_of(const char *path, const char *name, const char *value)
{
	struct text *t = text_parse(route_text, strlen(route_text), NULL);
	struct request *m = request_new("POST", path);
	struct route rt;

	cr_assert_not_null(t);
	headers_add(&m->headers, "x-member", "m1");
	if (name != NULL)
		headers_add(&m->headers, name, value);
	route_request(&rt, t, m);
	/* Only numbers of the route are looked at. */
	request_unref(m);
	text_unref(t);
	return rt;
}

Test(path_route, nothing_is_guessed)
{
	cr_expect_eq(route_of("/s/x", NULL, NULL).status, 0);
	cr_expect_eq(route_of("/sx", NULL, NULL).status, 404);
	cr_expect_eq(route_of("/s", "mimosalead-class", "urgent").status, 400);
	cr_expect_eq(
	    route_of("/s", "mimosalead-deadline-ms", "12x").status, 400);
	cr_expect_eq(route_of("/s", "idempotency-key", "").status, 400);
	cr_expect_eq(route_of("/s/batch/7", NULL, NULL).class, CLASS_BATCH);
	cr_expect_eq(route_of("/s/batches", NULL, NULL).class, CLASS_QUICK);
	cr_expect_eq(
	    route_of("/s", "mimosalead-deadline-ms", "7").deadline_ms, 7);
}
