/*
 * Requests with an Idempotency-Key: admitted, then claimed, then queued for a
 * slot, then sent; no slot waits for the log.  A claim whose request is not
 * sent after all is released by a record.  A repeat gets the first one's
 * outcome, from this daemon or from the one that holds the claim; where that is
 * not known any more, the truth is "unknown".
 */
#include "path_key.h"

#include <stdlib.h>
#include <string.h>

#include "path_admit.h"
#include "path_key_table.h"
#include "path_priv.h"
#include "path_wire.h"
#include "peers.h"

#define CLAIM_SMOOTH_OLD 7 /* the old value's share of 8 */
#define WAITERS_MAX 64 /* repeats that wait for one request */
#define ASK_AGAIN_US (250 * US_PER_MS)
#define RELEASED_RETRY_MS 200

/* What FRAME_CLAIM_ANSWER tells. */
enum key_word {
	KEY_WORD_ANSWERED,
	KEY_WORD_NOT_RUN,
	KEY_WORD_UNKNOWN
};

static const struct path_end end_released = {.outcome = OUTCOME_NOT_RUN,
    .status = 503,
    .reason = "key-released",
    .retry_after_ms = RELEASED_RETRY_MS};
static const struct path_end end_unknown = {.outcome = OUTCOME_UNKNOWN,
    .status = 502,
    .reason = "key-unknown"};
static const struct path_end end_gone = {.outcome = OUTCOME_UNKNOWN,
    .status = 502,
    .reason = "key-holder-gone"};

/* Telling the waiting repeats. */

static void
key_send_word(const struct path_ctx *x, const struct path_origin *to,
    enum key_word word, const struct answer *a)
{
	struct wire_writer w;

	if (a != NULL && path_wire_answer_bytes(a) > FRAME_MAX_BYTES / 2) {
		a = NULL;
		word = KEY_WORD_UNKNOWN;
	}
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "word", word);
	path_wire_answer(&w, "a", a);
	effects_send(x->fx, to->peer, FRAME_CLAIM_ANSWER, to->id,
	    wire_writer_finish(&w));
}

static enum key_word
word_of(enum outcome o)
{
	switch (o) {
	case OUTCOME_ANSWERED:
		return KEY_WORD_ANSWERED;
	case OUTCOME_NOT_RUN:
		return KEY_WORD_NOT_RUN;
	case OUTCOME_UNKNOWN:
		break;
	}
	return KEY_WORD_UNKNOWN;
}

static void
waiter_tell(const struct path_ctx *x, const struct key_waiter *w,
    const struct path_end *end)
{
	struct path_request *r;

	if (w->remote) {
		key_send_word(
		    x, &w->origin, word_of(end->outcome), end->answer);
		return;
	}
	r = path_find(x->p, &w->origin);
	if (r != NULL && r->state == PATH_ASKING && !r->asked)
		path_finish(x, r, end);
}

static void
key_tell_waiters(
    const struct path_ctx *x, struct path_key *k, const struct path_end *end)
{
	struct key_waiter *w;

	while ((w = TAILQ_FIRST(&k->waiters)) != NULL) {
		TAILQ_REMOVE(&k->waiters, w, link);
		k->waiter_count--;
		waiter_tell(x, w, end);
		free(w);
	}
}

static bool
key_add_waiter(
    struct path_key *k, const struct path_origin *origin, bool remote)
{
	struct key_waiter *w;

	TAILQ_FOREACH(w, &k->waiters, link) {
		if (memcmp(&w->origin, origin, sizeof(*origin)) == 0)
			return true;
	}
	if (k->waiter_count == WAITERS_MAX)
		return false;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return false;
	w->origin = *origin;
	w->remote = remote;
	TAILQ_INSERT_TAIL(&k->waiters, w, link);
	k->waiter_count++;
	return true;
}

/* What is known of a key whose request has ended. */
static const struct path_end *
key_end(const struct path_key *k, struct path_end *out)
{
	switch (k->state) {
	case KEY_ANSWERED:
		memset(out, 0, sizeof(*out));
		out->outcome = OUTCOME_ANSWERED;
		out->status = k->answer->status;
		out->answer = k->answer;
		return out;
	case KEY_ABANDONED:
	case KEY_RELEASED:
		return &end_released;
	case KEY_UNKNOWN:
		return &end_unknown;
	case KEY_OPEN:
	case KEY_PROPOSED:
	case KEY_WON:
		break;
	}
	return NULL;
}

/* A repeat on the daemon that has the first one. */
static void
key_join(const struct path_ctx *x, struct path_key *k, struct path_request *r)
{
	const struct path_end *end;
	struct path_end buf;

	end = key_end(k, &buf);
	if (end != NULL) {
		path_finish(x, r, end);
		return;
	}
	r->state = PATH_ASKING;
	/* What it asks for may run or have run, whatever becomes of it. */
	r->may_have_run = true;
	if (!key_add_waiter(k, &r->origin, false))
		path_finish(x, r, &end_unknown);
}

static void
key_ask(const struct path_ctx *x, struct path_request *r)
{
	struct claim_hash hash =
	    claim_hash(r->service->name, r->member, r->key);
	struct wire_writer w;

	r->asked_us = x->v->now_us;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "h", hash.high);
	wire_u64(&w, "l", hash.low);
	effects_send(x->fx, r->spill_peer, FRAME_CLAIM_QUERY, r->ask_number,
	    wire_writer_finish(&w));
}

static void
key_ask_holder(const struct path_ctx *x, const struct claim_holder *h,
    struct path_request *r)
{
	const struct peer *q = peers_get(x->v->peers, h->process);

	r->may_have_run = true;
	if (h->process == x->v->self) {
		path_finish(x, r, &end_unknown);
		return;
	}
	if (q == NULL || q->incarnation != h->incarnation) {
		path_finish(x, r, &end_gone);
		return;
	}
	r->state = PATH_ASKING;
	r->asked = true;
	r->spill_peer = h->process;
	r->ask_number = ++x->p->keys.last_ask;
	TAILQ_INSERT_TAIL(&x->p->keys.asking, r, link);
	key_ask(x, r);
}

bool
key_taken(const struct path_ctx *x, struct path_request *r)
{
	struct claim_hash hash =
	    claim_hash(r->service->name, r->member, r->key);
	struct path_key *k = key_find(&x->p->keys, hash);
	const struct claim_holder *h;

	if (k != NULL) {
		key_join(x, k, r);
		return true;
	}
	h = claims_holder(&x->p->keys.claims, hash);
	if (h == NULL)
		return false;
	key_ask_holder(x, h, r);
	return true;
}

static bool
keys_log_down(const struct path_ctx *x)
{
	return x->v->log_down || x->p->keys.claims.failed;
}

/* True where the text or the state of the log forbids the claim. */
static bool
key_refused(const struct path_ctx *x, struct path_request *r, bool down)
{
	const struct text_service *s = r->service->text;

	if (down && s->when_log_down == LOG_DOWN_REFUSE) {
		path_give_up(x, r, 503, "log-down", 1000);
		return true;
	}
	if (!down && !claims_usable(&x->p->keys.claims, s->key_ttl_s)) {
		path_give_up(x, r, 503, "claims-unavailable", 1000);
		return true;
	}
	return false;
}

/* True where the request has to wait for its claim. */
static bool
key_claim(const struct path_ctx *x, struct path_key *k)
{
	struct path_keys *ks = &x->p->keys;
	struct path_request *r = k->request;

	if (k->unclaimed)
		return false;
	k->number = claims_take(&ks->claims, k->hash, k->ttl_s);
	k->state = KEY_PROPOSED;
	k->proposed_us = x->v->now_us;
	HASH_ADD(hh_number, ks->numbers, number, sizeof(k->number), k);
	r->state = PATH_CLAIMING;
	r->service->claiming[r->class]++;
	return true;
}

bool
key_admit(const struct path_ctx *x, struct path_request *r)
{
	bool down = keys_log_down(x);
	struct path_key *k;

	if (r->key == NULL)
		return false;
	if (key_taken(x, r) || key_refused(x, r, down))
		return true;
	k = calloc(1, sizeof(*k));
	if (k == NULL) {
		path_give_up(x, r, 503, "no-memory", 1000);
		return true;
	}
	k->hash = claim_hash(r->service->name, r->member, r->key);
	k->state = KEY_OPEN;
	k->unclaimed = down;
	k->request = r;
	k->ttl_s = r->service->text->key_ttl_s;
	TAILQ_INIT(&k->waiters);
	HASH_ADD(hh, x->p->keys.table, hash, sizeof(k->hash), k);
	r->claim = k;
	return key_claim(x, k);
}

/* The claim of another came first: its request is the one that counts. */
static void
key_lost(const struct path_ctx *x, struct path_key *k)
{
	struct path_request *r = k->request, *other;
	struct key_waiter_list waiters;
	struct key_waiter *w;

	TAILQ_INIT(&waiters);
	TAILQ_CONCAT(&waiters, &k->waiters, link);
	key_drop(&x->p->keys, k);
	if (r != NULL) {
		r->claim = NULL;
		path_claim_end(r);
		if (!key_taken(x, r))
			path_give_up(x, r, 503, "key-contended", 100);
	}
	while ((w = TAILQ_FIRST(&waiters)) != NULL) {
		TAILQ_REMOVE(&waiters, w, link);
		other = w->remote ? NULL : path_find(x->p, &w->origin);
		if (w->remote)
			waiter_tell(x, w, &end_unknown);
		else if (other != NULL && other->state == PATH_ASKING &&
		    !other->asked && !key_taken(x, other))
			path_finish(x, other, &end_unknown);
		free(w);
	}
}

static void
key_won(const struct path_ctx *x, struct path_key *k)
{
	if (k->state == KEY_ABANDONED) {
		k->state = KEY_RELEASED;
		claims_release(&x->p->keys.claims, k->hash, k->number);
		return;
	}
	k->state = KEY_WON;
	path_claimed(x, k->request);
}

/* How long a claim takes there and back. */
static void
key_sample(const struct path_ctx *x, const struct path_key *k)
{
	int64_t took = x->v->now_us - k->proposed_us;
	int64_t *old = &x->p->keys.claim_us;

	*old = *old == 0
	    ? took
	    : (*old * CLAIM_SMOOTH_OLD + took) / (CLAIM_SMOOTH_OLD + 1);
}

static void
key_result(void *arg, uint64_t number, enum claim_op op, bool won)
{
	const struct path_ctx *x = arg;
	struct path_key *k = key_by_number(&x->p->keys, number);

	if (k == NULL)
		return;
	if (op == CLAIM_RELEASE) {
		if (k->state == KEY_RELEASED)
			key_drop(&x->p->keys, k);
		return;
	}
	if (k->state != KEY_PROPOSED && k->state != KEY_ABANDONED)
		return;
	key_sample(x, k);
	if (won)
		key_won(x, k);
	else
		key_lost(x, k);
}

static void
key_not_run(const struct path_ctx *x, struct path_key *k)
{
	switch (k->state) {
	case KEY_PROPOSED:
		k->state = KEY_ABANDONED;
		return;
	case KEY_WON:
		k->state = KEY_RELEASED;
		claims_release(&x->p->keys.claims, k->hash, k->number);
		return;
	case KEY_OPEN:
		key_drop(&x->p->keys, k);
		return;
	case KEY_ABANDONED:
	case KEY_RELEASED:
	case KEY_ANSWERED:
	case KEY_UNKNOWN:
		return;
	}
}

void
key_settle(const struct path_ctx *x, struct path_request *r,
    const struct path_end *end)
{
	struct path_key *k = r->claim;
	int64_t until_us;

	if (k == NULL)
		return;
	r->claim = NULL;
	k->request = NULL;
	until_us = x->v->now_us + k->ttl_s * US_PER_S;
	key_tell_waiters(x, k, end);
	switch (end->outcome) {
	case OUTCOME_ANSWERED:
		k->state = KEY_ANSWERED;
		k->answer = answer_ref(end->answer);
		key_keep(&x->p->keys, k, until_us);
		return;
	case OUTCOME_UNKNOWN:
		k->state = KEY_UNKNOWN;
		key_keep(&x->p->keys, k, until_us);
		return;
	case OUTCOME_NOT_RUN:
		key_not_run(x, k);
		return;
	}
}

/* Frames. */

static void
key_frame_ask(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_origin from = {f->source, f->incarnation, f->request_id};
	const struct path_end *end = &end_unknown;
	struct claim_hash hash;
	struct path_end buf;
	struct path_key *k;

	if (!wire_get_u64(map, "h", &hash.high) ||
	    !wire_get_u64(map, "l", &hash.low))
		return;
	k = key_find(&x->p->keys, hash);
	if (k != NULL) {
		end = key_end(k, &buf);
		if (end == NULL && key_add_waiter(k, &from, true))
			return;
		if (end == NULL)
			end = &end_unknown;
	}
	key_send_word(x, &from, word_of(end->outcome), end->answer);
}

static void
key_frame_answer(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_end end = {.outcome = OUTCOME_ANSWERED};
	struct path_request *r;
	uint64_t word;

	TAILQ_FOREACH(r, &x->p->keys.asking, link) {
		if (r->ask_number == f->request_id &&
		    r->spill_peer == f->source)
			break;
	}
	if (r == NULL || !wire_get_u64(map, "word", &word))
		return;
	if (word == KEY_WORD_NOT_RUN) {
		path_finish(x, r, &end_released);
		return;
	}
	end.answer = path_wire_get_answer(map, "a");
	if (word != KEY_WORD_ANSWERED || end.answer == NULL) {
		path_finish(x, r, &end_unknown);
		answer_unref(end.answer);
		return;
	}
	end.status = end.answer->status;
	path_finish(x, r, &end);
	answer_unref(end.answer);
}

void
key_frame(const struct path_ctx *x, const struct frame *f)
{
	struct wire_reader rd;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_CLAIM_QUERY)
		key_frame_ask(x, f, rd.root);
	else
		key_frame_answer(x, f, rd.root);
	wire_reader_uninit(&rd);
}

void
key_stop_asking(const struct path_ctx *x, struct path_request *r)
{
	if (!r->asked)
		return;
	r->asked = false;
	TAILQ_REMOVE(&x->p->keys.asking, r, link);
}

static void
keys_tick(const struct path_ctx *x)
{
	struct path_keys *ks = &x->p->keys;
	struct path_request *r;
	struct path_key *k;

	TAILQ_FOREACH(r, &ks->asking, link) {
		if (x->v->now_us - r->asked_us >= ASK_AGAIN_US)
			key_ask(x, r);
	}
	while ((k = TAILQ_FIRST(&ks->kept)) != NULL &&
	    k->kept_until_us <= x->v->now_us)
		key_drop(ks, k);
}

void
keys_step(const struct path_ctx *x, const struct event *ev)
{
	claims_step(&x->p->keys.claims, x->v, ev, key_result, (void *)x, x->fx);
	if (ev->kind == EVENT_TICK)
		keys_tick(x);
}
