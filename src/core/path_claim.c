#include "path_claim.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "appender.h"
#include "wire.h"

#define BATCH_MAX 2000 /* changes in one record */
/* All daemons together may append several hundred records a second. */
#define FLUSH_EVERY_US (10 * US_PER_MS)
#define READ_AGAIN_US (300 * US_PER_MS)
#define SWEEP_MAX 256 /* expired keys dropped in one tick */

void
claims_init(struct claims *c)
{
	memset(c, 0, sizeof(*c));
	TAILQ_INIT(&c->list);
}

static void
holder_drop(struct claims *c, struct claim_holder *h)
{
	HASH_DEL(c->table, h); /* NOLINT: it is in the table */
	TAILQ_REMOVE(&c->list, h, link);
	free(h);
}

void
claims_uninit(struct claims *c)
{
	struct claim_holder *h;

	HASH_CLEAR(hh, c->table);
	while ((h = TAILQ_FIRST(&c->list)) != NULL) {
		TAILQ_REMOVE(&c->list, h, link);
		free(h);
	}
	free(c->batch);
}

struct claim_hash
claim_hash(const char *service, const char *member, const char *key)
{
	char text[2 * NAME_BYTES + KEY_MAX_BYTES];
	struct claim_hash out;
	XXH128_hash_t h;
	int n;

	/* No name has a line feed in it, so the three can't run together. */
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

	HASH_FIND(hh, c->table, &hash, sizeof(hash), h);
	return h;
}

const struct claim_holder *
claims_holder(const struct claims *c, struct claim_hash hash)
{
	const struct claim_holder *h = holder_find(c, hash);

	return h == NULL || h->expires_ms <= c->log_ms ? NULL : h;
}

bool
claims_usable(const struct claims *c, int64_t ttl_s)
{
	if (!c->started || HASH_COUNT(c->table) >= CLAIMS_MAX)
		return false;
	return !c->history_cut || c->log_ms - c->history_ms >= ttl_s * MS_PER_S;
}

/* Log time: the second-highest of the authors' clocks. */

static struct claim_author *
author_get(struct claims *c, uint64_t process)
{
	struct claim_author *oldest = &c->authors[0];
	unsigned i;

	for (i = 0; i < c->author_count; i++) {
		if (c->authors[i].process == process)
			return &c->authors[i];
		if (c->authors[i].time_ms < oldest->time_ms)
			oldest = &c->authors[i];
	}
	if (c->author_count < CLAIM_AUTHORS_MAX)
		oldest = &c->authors[c->author_count++];
	memset(oldest, 0, sizeof(*oldest));
	oldest->process = process;
	oldest->time_ms = INT64_MIN;
	return oldest;
}

/* True where a lost append was repeated and this is the second copy. */
static bool
claims_repeated(struct claims *c, const struct record *r)
{
	struct claim_author *a = author_get(c, r->id.process);

	if (r->time_ms > a->time_ms)
		a->time_ms = r->time_ms;
	if (a->incarnation == r->id.incarnation && r->id.seq <= a->seq)
		return true;
	a->incarnation = r->id.incarnation;
	a->seq = r->id.seq;
	return false;
}

static void
claims_time(struct claims *c)
{
	int64_t first = INT64_MIN, second = INT64_MIN, t;
	unsigned i;

	for (i = 0; i < c->author_count; i++) {
		t = c->authors[i].time_ms;
		if (t > first) {
			second = first;
			first = t;
		} else if (t > second) {
			second = t;
		}
	}
	if (second > c->log_ms)
		c->log_ms = second;
}

/* Folding. */

/* Where the log's time is not known yet a key is kept for good. */
static int64_t
fold_expiry(const struct claims *c, const struct record *r, int64_t ttl_s)
{
	if (c->log_ms == 0)
		return INT64_MAX;
	return (r->time_ms > c->log_ms ? r->time_ms : c->log_ms) +
	    ttl_s * MS_PER_S;
}

static bool
fold_take(
    struct claims *c, const struct record *r, const struct claim_change *ch)
{
	struct claim_holder *h = holder_find(c, ch->hash);

	if (h != NULL && h->expires_ms > c->log_ms)
		return false;
	if (h != NULL)
		holder_drop(c, h);
	h = calloc(1, sizeof(*h));
	if (h == NULL)
		err(1, "claims");
	h->hash = ch->hash;
	h->process = r->id.process;
	h->incarnation = r->id.incarnation;
	h->number = ch->number;
	h->expires_ms = fold_expiry(c, r, ch->ttl_s);
	HASH_ADD(hh, c->table, hash, sizeof(h->hash), h);
	TAILQ_INSERT_TAIL(&c->list, h, link);
	return true;
}

static bool
fold_release(
    struct claims *c, const struct record *r, const struct claim_change *ch)
{
	struct claim_holder *h = holder_find(c, ch->hash);

	if (h == NULL || h->process != r->id.process ||
	    h->incarnation != r->id.incarnation || h->number != ch->number)
		return false;
	holder_drop(c, h);
	return true;
}

static bool
change_read(const msgpack_object *map, struct claim_change *ch)
{
	uint64_t op;

	if (!wire_get_u64(map, "op", &op) || op > CLAIM_RELEASE ||
	    !wire_get_u64(map, "h", &ch->hash.high) ||
	    !wire_get_u64(map, "l", &ch->hash.low) ||
	    !wire_get_u64(map, "n", &ch->number) ||
	    !wire_get_i64(map, "ttl", &ch->ttl_s))
		return false;
	ch->op = (enum claim_op)op;
	return true;
}

static void
fold_change(struct claims *c, const struct view *v, const struct record *r,
    const struct claim_change *ch, claim_result result, void *arg)
{
	bool won;

	won =
	    ch->op == CLAIM_TAKE ? fold_take(c, r, ch) : fold_release(c, r, ch);
	if (ch->op == CLAIM_RELEASE)
		c->released += won;
	else if (won)
		c->taken++;
	else
		c->lost++;
	if (r->id.process == v->self && r->id.incarnation == v->incarnation)
		result(arg, ch->number, ch->op, won);
}

static void
claims_fold(struct claims *c, const struct view *v, const struct record *r,
    claim_result result, void *arg)
{
	const msgpack_object_array *list;
	struct claim_change ch;
	struct wire_reader rd;
	uint32_t i;

	if (r->offset < c->next || r->kind != RECORD_CLAIM)
		return;
	if (claims_repeated(c, r))
		return;
	claims_time(c);
	if (wire_reader_init(&rd, r->body->data, r->body->len, NULL) == -1) {
		c->bad++;
		return;
	}
	if (wire_get_array(rd.root, "c", &list)) {
		for (i = 0; i < list->size; i++) {
			if (list->ptr[i].type == MSGPACK_OBJECT_MAP &&
			    change_read(&list->ptr[i], &ch))
				fold_change(c, v, r, &ch, result, arg);
			else
				c->bad++;
		}
	}
	wire_reader_uninit(&rd);
}

/* Reading. */

static void
claims_read(struct claims *c, struct effects *fx)
{
	struct effect *e;

	c->reading = true;
	e = effects_add(fx, EFFECT_READ);
	e->u.read.stream = STREAM_CLAIMS;
	e->u.read.from = c->next;
}

static void
claims_batch(struct claims *c, const struct view *v, const struct event *ev,
    claim_result result, void *arg, struct effects *fx)
{
	size_t i;

	if (!c->started && ev->u.log_batch.first > 0)
		c->history_cut = true;
	for (i = 0; i < ev->u.log_batch.count; i++) {
		claims_fold(c, v, &ev->u.log_batch.records[i], result, arg);
		if (c->history_ms == 0)
			c->history_ms = c->log_ms;
	}
	c->started = true;
	c->failed = false;
	if (ev->u.log_batch.next > c->next)
		c->next = ev->u.log_batch.next;
	claims_read(c, fx);
}

/* Records were cut off before we read them: what they claimed is unknown. */
static void
claims_gap(struct claims *c, const struct event *ev, struct effects *fx)
{
	effects_log(fx, LOG_LEVEL_WARN,
	    "event=claims-gap next=%llu first=%llu remedy=\"keep the claims "
	    "stream for longer than the services' key_ttl_s\"",
	    (unsigned long long)c->next,
	    (unsigned long long)ev->u.log_gap.first);
	c->history_cut = true;
	c->history_ms = c->log_ms;
	c->started = true;
	c->next = ev->u.log_gap.first;
	claims_read(c, fx);
}

static void
claims_sweep(struct claims *c)
{
	struct claim_holder *h;
	int i;

	for (i = 0; i < SWEEP_MAX; i++) {
		h = TAILQ_FIRST(&c->list);
		if (h == NULL)
			return;
		if (h->expires_ms <= c->log_ms) {
			holder_drop(c, h);
			continue;
		}
		TAILQ_REMOVE(&c->list, h, link);
		TAILQ_INSERT_TAIL(&c->list, h, link);
	}
}

void
claims_step(struct claims *c, const struct view *v, const struct event *ev,
    claim_result result, void *arg, struct effects *fx)
{
	if (ev->kind == EVENT_LOG_BATCH &&
	    ev->u.log_batch.stream == STREAM_CLAIMS) {
		claims_batch(c, v, ev, result, arg, fx);
	} else if (ev->kind == EVENT_LOG_GAP &&
	    ev->u.log_gap.stream == STREAM_CLAIMS) {
		claims_gap(c, ev, fx);
	} else if (ev->kind == EVENT_LOG_ERROR &&
	    ev->u.log_error.stream == STREAM_CLAIMS) {
		c->reading = false;
		c->failed = true;
		c->read_at_us = v->now_us + READ_AGAIN_US / 2 +
		    (int64_t)prng_below(v->prng, READ_AGAIN_US);
	} else if (ev->kind == EVENT_TICK) {
		if (c->failed && !c->reading && v->now_us >= c->read_at_us)
			claims_read(c, fx);
		claims_sweep(c);
	}
}

/* This daemon's own changes. */

static void
batch_add(struct claims *c, const struct claim_change *ch)
{
	if (c->batch_count == c->batch_cap) {
		c->batch_cap = c->batch_cap ? c->batch_cap * 2 : 64;
		c->batch =
		    reallocarray(c->batch, c->batch_cap, sizeof(*c->batch));
		if (c->batch == NULL)
			err(1, "claims");
	}
	c->batch[c->batch_count++] = *ch;
}

uint64_t
claims_take(struct claims *c, struct claim_hash hash, int64_t ttl_s)
{
	struct claim_change ch = {CLAIM_TAKE, hash, ++c->last_number, ttl_s};

	batch_add(c, &ch);
	return ch.number;
}

void
claims_release(struct claims *c, struct claim_hash hash, uint64_t number)
{
	struct claim_change ch = {CLAIM_RELEASE, hash, number, 0};

	batch_add(c, &ch);
}

void
claims_flush(struct claims *c, const struct view *v)
{
	size_t i, n = c->batch_count < BATCH_MAX ? c->batch_count : BATCH_MAX;
	struct wire_writer w;

	if (n == 0 || v->now_us - c->flushed_us < FLUSH_EVERY_US ||
	    appender_pending(v->appender, STREAM_CLAIMS) > 0)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "c", (uint32_t)n);
	for (i = 0; i < n; i++) {
		wire_map(&w, 5);
		wire_u64(&w, "op", c->batch[i].op);
		wire_u64(&w, "h", c->batch[i].hash.high);
		wire_u64(&w, "l", c->batch[i].hash.low);
		wire_u64(&w, "n", c->batch[i].number);
		wire_i64(&w, "ttl", c->batch[i].ttl_s);
	}
	if (appender_push(v->appender, STREAM_CLAIMS, RECORD_CLAIM,
		wire_writer_finish(&w)) == 0)
		return;
	c->flushed_us = v->now_us;
	memmove(
	    c->batch, c->batch + n, (c->batch_count - n) * sizeof(*c->batch));
	c->batch_count -= n;
}
