#include "path_claim.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "appender.h"
#include "wire.h"

#define RECORD_CHANGES_MAX 2000 /* in one record */
/*
 * Limits the load on the log: all daemons together may append several hundred
 * records a second.
 */
#define APPEND_INTERVAL_US (10 * US_PER_MS)
#define READ_RETRY_US (300 * US_PER_MS)
/* Entries checked for expiry in one tick. */
#define SWEEP_ENTRIES_PER_TICK 256

void
claims_init(struct claims *c)
{
	memset(c, 0, sizeof(*c));
	TAILQ_INIT(&c->sweep_list);
}

static void
holder_remove(struct claims *c, struct claim_holder *h)
{
	HASH_DEL(c->holders, h); /* NOLINT: it is in the table */
	TAILQ_REMOVE(&c->sweep_list, h, link);
	free(h);
}

void
claims_uninit(struct claims *c)
{
	struct claim_holder *h;

	HASH_CLEAR(hh, c->holders);
	while ((h = TAILQ_FIRST(&c->sweep_list)) != NULL) {
		TAILQ_REMOVE(&c->sweep_list, h, link);
		free(h);
	}
	free(c->pending);
}

struct claim_hash
claim_hash(const char *service, const char *member, const char *key)
{
	char text[2 * NAME_BYTES + KEY_MAX_BYTES];
	struct claim_hash out;
	XXH128_hash_t h;
	int n;

	/*
	 * Names contain no line feed, so different triples give different
	 * texts.
	 */
	n = snprintf(text, sizeof(text), "%s\n%s\n%s", service, member, key);
	h = XXH3_128bits(text, (size_t)n);
	out.high = h.high64;
	out.low = h.low64;
	return out;
}

static struct claim_holder *
holder_find(const struct claims *c, struct claim_hash hash)
{
	struct claim_holder *h;

	HASH_FIND(hh, c->holders, &hash, sizeof(hash), h);
	return h;
}

const struct claim_holder *
claims_holder(const struct claims *c, struct claim_hash hash)
{
	const struct claim_holder *h = holder_find(c, hash);

	return h == NULL || h->expires_ms <= c->log_time_ms ? NULL : h;
}

bool
claims_available(const struct claims *c, int64_t ttl_s)
{
	if (!c->has_read || HASH_COUNT(c->holders) >= CLAIMS_MAX)
		return false;
	return !c->history_truncated ||
	    c->log_time_ms - c->history_start_ms >= ttl_s * MS_PER_S;
}

/* Log time is the second-highest of the authors' clocks. */

static struct claim_author *
author_get(struct claims *c, uint64_t process)
{
	struct claim_author *oldest = &c->authors[0];
	unsigned i;

	for (i = 0; i < c->author_count; i++) {
		if (c->authors[i].process == process)
			return &c->authors[i];
		if (c->authors[i].latest_ms < oldest->latest_ms)
			oldest = &c->authors[i];
	}
	if (c->author_count < CLAIM_AUTHORS_MAX)
		oldest = &c->authors[c->author_count++];
	memset(oldest, 0, sizeof(*oldest));
	oldest->process = process;
	oldest->latest_ms = INT64_MIN;
	return oldest;
}

/*
 * True for the second copy of a record whose append was repeated. Records the
 * author's time and sequence number.
 */
static bool
claims_is_duplicate(struct claims *c, const struct record *r)
{
	struct claim_author *a = author_get(c, r->id.process);

	if (r->time_ms > a->latest_ms)
		a->latest_ms = r->time_ms;
	if (a->incarnation == r->id.incarnation && r->id.seq <= a->last_seq)
		return true;
	a->incarnation = r->id.incarnation;
	a->last_seq = r->id.seq;
	return false;
}

static void
claims_advance_time(struct claims *c)
{
	int64_t first = INT64_MIN, second = INT64_MIN, t;
	unsigned i;

	for (i = 0; i < c->author_count; i++) {
		t = c->authors[i].latest_ms;
		if (t > first) {
			second = first;
			first = t;
		} else if (t > second) {
			second = t;
		}
	}
	if (second > c->log_time_ms)
		c->log_time_ms = second;
}

/* Folding. */

/* A key claimed before the log time is known never expires. */
static int64_t
fold_expiry(const struct claims *c, const struct record *r, int64_t ttl_s)
{
	if (c->log_time_ms == 0)
		return INT64_MAX;
	return (r->time_ms > c->log_time_ms ? r->time_ms : c->log_time_ms) +
	    ttl_s * MS_PER_S;
}

static bool
fold_acquire(
    struct claims *c, const struct record *r, const struct claim_change *ch)
{
	struct claim_holder *h = holder_find(c, ch->hash);

	if (h != NULL && h->expires_ms > c->log_time_ms)
		return false;
	if (h != NULL)
		holder_remove(c, h);
	h = calloc(1, sizeof(*h));
	if (h == NULL)
		err(1, "cannot add a claim of an idempotency key");
	h->hash = ch->hash;
	h->process = r->id.process;
	h->incarnation = r->id.incarnation;
	h->claim_number = ch->claim_number;
	h->expires_ms = fold_expiry(c, r, ch->ttl_s);
	HASH_ADD(hh, c->holders, hash, sizeof(h->hash), h);
	TAILQ_INSERT_TAIL(&c->sweep_list, h, link);
	return true;
}

static bool
fold_release(
    struct claims *c, const struct record *r, const struct claim_change *ch)
{
	struct claim_holder *h = holder_find(c, ch->hash);

	if (h == NULL || h->process != r->id.process ||
	    h->incarnation != r->id.incarnation ||
	    h->claim_number != ch->claim_number)
		return false;
	holder_remove(c, h);
	return true;
}

static bool
change_decode(const msgpack_object *map, struct claim_change *ch)
{
	uint64_t op;

	if (!wire_get_u64(map, "op", &op) || op > CLAIM_RELEASE ||
	    !wire_get_u64(map, "h", &ch->hash.high) ||
	    !wire_get_u64(map, "l", &ch->hash.low) ||
	    !wire_get_u64(map, "n", &ch->claim_number) ||
	    !wire_get_i64(map, "ttl", &ch->ttl_s))
		return false;
	ch->op = (enum claim_op)op;
	return true;
}

static void
fold_change(struct claims *c, const struct view *v, const struct record *r,
    const struct claim_change *ch, claim_result_fn result, void *arg)
{
	bool won;

	won = ch->op == CLAIM_ACQUIRE ? fold_acquire(c, r, ch)
				      : fold_release(c, r, ch);
	if (ch->op == CLAIM_RELEASE)
		c->released_count += won;
	else if (won)
		c->won_count++;
	else
		c->lost_count++;
	if (r->id.process == v->self && r->id.incarnation == v->incarnation)
		result(arg, ch->claim_number, ch->op, won);
}

static void
claims_fold_record(struct claims *c, const struct view *v,
    const struct record *r, claim_result_fn result, void *arg)
{
	const msgpack_object_array *list;
	struct claim_change ch;
	struct wire_reader rd;
	uint32_t i;

	if (r->offset < c->next_offset || r->kind != RECORD_CLAIM)
		return;
	if (claims_is_duplicate(c, r))
		return;
	claims_advance_time(c);
	if (wire_reader_init(&rd, r->body->data, r->body->len, NULL) == -1) {
		c->malformed_count++;
		return;
	}
	if (wire_get_array(rd.root, "c", &list)) {
		for (i = 0; i < list->size; i++) {
			if (list->ptr[i].type == MSGPACK_OBJECT_MAP &&
			    change_decode(&list->ptr[i], &ch))
				fold_change(c, v, r, &ch, result, arg);
			else
				c->malformed_count++;
		}
	}
	wire_reader_uninit(&rd);
}

/* Reading. */

static void
claims_request_read(struct claims *c, struct effects *fx)
{
	struct effect *e;

	c->read_pending = true;
	e = effects_add(fx, EFFECT_READ);
	e->u.read.stream = STREAM_CLAIMS;
	e->u.read.from = c->next_offset;
}

static void
claims_handle_batch(struct claims *c, const struct view *v,
    const struct event *ev, claim_result_fn result, void *arg,
    struct effects *fx)
{
	size_t i;

	if (!c->has_read && ev->u.log_batch.first > 0)
		c->history_truncated = true;
	for (i = 0; i < ev->u.log_batch.count; i++) {
		claims_fold_record(
		    c, v, &ev->u.log_batch.records[i], result, arg);
		if (c->history_start_ms == 0)
			c->history_start_ms = c->log_time_ms;
	}
	c->has_read = true;
	c->read_failed = false;
	if (ev->u.log_batch.next > c->next_offset)
		c->next_offset = ev->u.log_batch.next;
	claims_request_read(c, fx);
}

/* The log was truncated past the next offset, so earlier claims are unknown. */
static void
claims_handle_gap(struct claims *c, const struct event *ev, struct effects *fx)
{
	effects_log(fx, LOG_LEVEL_WARN,
	    "event=claims-gap next=%llu first=%llu remedy=\"keep the claims "
	    "stream for longer than the services' key_ttl_s\"",
	    (unsigned long long)c->next_offset,
	    (unsigned long long)ev->u.log_gap.first);
	c->history_truncated = true;
	c->history_start_ms = c->log_time_ms;
	c->has_read = true;
	c->next_offset = ev->u.log_gap.first;
	claims_request_read(c, fx);
}

static void
claims_sweep_expired(struct claims *c)
{
	struct claim_holder *h;
	int i;

	for (i = 0; i < SWEEP_ENTRIES_PER_TICK; i++) {
		h = TAILQ_FIRST(&c->sweep_list);
		if (h == NULL)
			return;
		if (h->expires_ms <= c->log_time_ms) {
			holder_remove(c, h);
			continue;
		}
		TAILQ_REMOVE(&c->sweep_list, h, link);
		TAILQ_INSERT_TAIL(&c->sweep_list, h, link);
	}
}

void
claims_step(struct claims *c, const struct view *v, const struct event *ev,
    claim_result_fn result, void *arg, struct effects *fx)
{
	if (ev->kind == EVENT_LOG_BATCH &&
	    ev->u.log_batch.stream == STREAM_CLAIMS) {
		claims_handle_batch(c, v, ev, result, arg, fx);
	} else if (ev->kind == EVENT_LOG_GAP &&
	    ev->u.log_gap.stream == STREAM_CLAIMS) {
		claims_handle_gap(c, ev, fx);
	} else if (ev->kind == EVENT_LOG_ERROR &&
	    ev->u.log_error.stream == STREAM_CLAIMS) {
		c->read_pending = false;
		c->read_failed = true;
		c->next_read_us = v->now_us + READ_RETRY_US / 2 +
		    (int64_t)prng_below(v->prng, READ_RETRY_US);
	} else if (ev->kind == EVENT_TICK) {
		if (c->read_failed && !c->read_pending &&
		    v->now_us >= c->next_read_us)
			claims_request_read(c, fx);
		claims_sweep_expired(c);
	}
}

/* Changes of this daemon. */

static void
pending_add(struct claims *c, const struct claim_change *ch)
{
	if (c->pending_count == c->pending_cap) {
		c->pending_cap = c->pending_cap ? c->pending_cap * 2 : 64;
		c->pending = reallocarray(
		    c->pending, c->pending_cap, sizeof(*c->pending));
		if (c->pending == NULL)
			err(1, "cannot add a claim of an idempotency key");
	}
	c->pending[c->pending_count++] = *ch;
}

uint64_t
claims_acquire(struct claims *c, struct claim_hash hash, int64_t ttl_s)
{
	struct claim_change ch = {
	    CLAIM_ACQUIRE, hash, ++c->last_claim_number, ttl_s};

	pending_add(c, &ch);
	return ch.claim_number;
}

void
claims_release(struct claims *c, struct claim_hash hash, uint64_t number)
{
	struct claim_change ch = {CLAIM_RELEASE, hash, number, 0};

	pending_add(c, &ch);
}

void
claims_flush(struct claims *c, const struct view *v)
{
	size_t i,
	    n = c->pending_count < RECORD_CHANGES_MAX ? c->pending_count
						      : RECORD_CHANGES_MAX;
	struct wire_writer w;

	if (n == 0 || v->now_us - c->last_append_us < APPEND_INTERVAL_US ||
	    appender_pending(v->appender, STREAM_CLAIMS) > 0)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "c", (uint32_t)n);
	for (i = 0; i < n; i++) {
		wire_map(&w, 5);
		wire_u64(&w, "op", c->pending[i].op);
		wire_u64(&w, "h", c->pending[i].hash.high);
		wire_u64(&w, "l", c->pending[i].hash.low);
		wire_u64(&w, "n", c->pending[i].claim_number);
		wire_i64(&w, "ttl", c->pending[i].ttl_s);
	}
	if (appender_push(v->appender, STREAM_CLAIMS, RECORD_CLAIM,
		wire_writer_finish(&w)) == 0)
		return;
	c->last_append_us = v->now_us;
	memmove(c->pending, c->pending + n,
	    (c->pending_count - n) * sizeof(*c->pending));
	c->pending_count -= n;
}
