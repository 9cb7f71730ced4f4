/*
 * Requests with an Idempotency-Key are admitted, then claimed, then queued for
 * a slot, then sent, so that no slot is held while the log is written. Where a
 * claimed request is not sent after all, a record releases the claim. A
 * duplicate gets the outcome of the original request from this daemon or from
 * the holder of the claim. Where that outcome is not available any more, the
 * result is "unknown".
 */
#include "path_key.h"

#include <stdlib.h>
#include <string.h>

#include "path_admit.h"
#include "path_key_table.h"
#include "path_priv.h"
#include "path_wire.h"
#include "peers.h"

/* Weight of the old value in the moving average, of 8. */
#define EWMA_OLD_WEIGHT 7
#define WAITERS_MAX 64 /* duplicates that wait for one request */
#define QUERY_RETRY_US (250 * US_PER_MS)
#define RELEASED_RETRY_AFTER_MS 200

/* Value of "word" in FRAME_CLAIM_ANSWER. */
enum key_reply {
	KEY_REPLY_ANSWERED,
	KEY_REPLY_NOT_RUN,
	KEY_REPLY_UNKNOWN
};

static const struct path_result result_released = {.outcome = OUTCOME_NOT_RUN,
    .status = 503,
    .reason = "key-released",
    .retry_after_ms = RELEASED_RETRY_AFTER_MS};
static const struct path_result result_unknown = {.outcome = OUTCOME_UNKNOWN,
    .status = 502,
    .reason = "key-unknown"};
static const struct path_result result_holder_gone = {
    .outcome = OUTCOME_UNKNOWN,
    .status = 502,
    .reason = "key-holder-gone"};

/* Notifying duplicates. */

static void
key_send_reply(const struct path_ctx *x, const struct path_origin *to,
    enum key_reply reply, const struct answer *a)
{
	struct wire_writer w;

	if (a != NULL && path_wire_answer_bytes(a) > FRAME_MAX_BYTES / 2) {
		a = NULL;
		reply = KEY_REPLY_UNKNOWN;
	}
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "word", reply);
	path_wire_put_answer(&w, "a", a);
	effects_send(x->fx, to->peer, FRAME_CLAIM_ANSWER, to->id,
	    wire_writer_finish(&w));
}

static enum key_reply
reply_for_outcome(enum outcome o)
{
	switch (o) {
	case OUTCOME_ANSWERED:
		return KEY_REPLY_ANSWERED;
	case OUTCOME_NOT_RUN:
		return KEY_REPLY_NOT_RUN;
	case OUTCOME_UNKNOWN:
		break;
	}
	return KEY_REPLY_UNKNOWN;
}

static void
waiter_notify(const struct path_ctx *x, const struct key_waiter *w,
    const struct path_result *result)
{
	struct path_request *r;

	if (w->remote) {
		key_send_reply(x, &w->origin,
		    reply_for_outcome(result->outcome), result->answer);
		return;
	}
	r = path_find(x->p, &w->origin);
	if (r != NULL && r->state == PATH_AWAITING_ORIGINAL && !r->querying)
		path_finish(x, r, result);
}

static void
key_notify_waiters(const struct path_ctx *x, struct path_key *k,
    const struct path_result *result)
{
	struct key_waiter *w;

	while ((w = TAILQ_FIRST(&k->waiters)) != NULL) {
		TAILQ_REMOVE(&k->waiters, w, link);
		k->waiter_count--;
		waiter_notify(x, w, result);
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

/* Result of a key whose request has ended, or NULL. */
static const struct path_result *
key_result_get(const struct path_key *k, struct path_result *out)
{
	switch (k->state) {
	case KEY_ANSWERED:
		memset(out, 0, sizeof(*out));
		out->outcome = OUTCOME_ANSWERED;
		out->status = k->answer->status;
		out->answer = k->answer;
		return out;
	case KEY_ABANDONED:
	case KEY_RELEASING:
		return &result_released;
	case KEY_UNKNOWN:
		return &result_unknown;
	case KEY_NO_CLAIM:
	case KEY_CLAIMING:
	case KEY_CLAIMED:
		break;
	}
	return NULL;
}

/* Handles a duplicate where the original request is or was at this daemon. */
static void
key_wait_local(
    const struct path_ctx *x, struct path_key *k, struct path_request *r)
{
	const struct path_result *result;
	struct path_result buf;

	result = key_result_get(k, &buf);
	if (result != NULL) {
		path_finish(x, r, result);
		return;
	}
	r->state = PATH_AWAITING_ORIGINAL;
	/*
	 * The original request may run or have run, whatever happens to this
	 * one.
	 */
	r->may_have_run = true;
	if (!key_add_waiter(k, &r->origin, false))
		path_finish(x, r, &result_unknown);
}

static void
key_send_query(const struct path_ctx *x, struct path_request *r)
{
	struct claim_hash hash =
	    claim_hash(r->service->name, r->member, r->idempotency_key);
	struct wire_writer w;

	r->query_sent_us = x->v->now_us;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "h", hash.high);
	wire_u64(&w, "l", hash.low);
	effects_send(x->fx, r->remote_peer, FRAME_CLAIM_QUERY, r->query_number,
	    wire_writer_finish(&w));
}

static void
key_query_holder(const struct path_ctx *x, const struct claim_holder *h,
    struct path_request *r)
{
	const struct peer *q = peers_get(x->v->peers, h->process);

	r->may_have_run = true;
	if (h->process == x->v->self) {
		path_finish(x, r, &result_unknown);
		return;
	}
	if (q == NULL || q->incarnation != h->incarnation) {
		path_finish(x, r, &result_holder_gone);
		return;
	}
	r->state = PATH_AWAITING_ORIGINAL;
	r->querying = true;
	r->remote_peer = h->process;
	r->query_number = ++x->p->keys.last_query_number;
	TAILQ_INSERT_TAIL(&x->p->keys.queries, r, link);
	key_send_query(x, r);
}

bool
key_handle_duplicate(const struct path_ctx *x, struct path_request *r)
{
	struct claim_hash hash =
	    claim_hash(r->service->name, r->member, r->idempotency_key);
	struct path_key *k = key_find(&x->p->keys, hash);
	const struct claim_holder *h;

	if (k != NULL) {
		key_wait_local(x, k, r);
		return true;
	}
	h = claims_holder(&x->p->keys.claims, hash);
	if (h == NULL)
		return false;
	key_query_holder(x, h, r);
	return true;
}

static bool
keys_log_down(const struct path_ctx *x)
{
	return x->v->log_down || x->p->keys.claims.read_failed;
}

/*
 * Refuses the request where the text or the state of the log does not allow a
 * claim.
 */
static bool
key_refuse_unavailable(
    const struct path_ctx *x, struct path_request *r, bool log_down)
{
	const struct text_service *s = r->service->text;

	if (log_down && s->when_log_down == LOG_DOWN_REFUSE) {
		path_fail(x, r, 503, "log-down", 1000);
		return true;
	}
	if (!log_down && !claims_available(&x->p->keys.claims, s->key_ttl_s)) {
		path_fail(x, r, 503, "claims-unavailable", 1000);
		return true;
	}
	return false;
}

/* Claims the key. True where the request has to wait for the result. */
static bool
key_claim(const struct path_ctx *x, struct path_key *k)
{
	struct path_keys *ks = &x->p->keys;
	struct path_request *r = k->request;

	if (k->unclaimed)
		return false;
	k->claim_number = claims_acquire(&ks->claims, k->hash, k->ttl_s);
	k->state = KEY_CLAIMING;
	k->claim_sent_us = x->v->now_us;
	HASH_ADD(hh_number, ks->by_claim_number, claim_number,
	    sizeof(k->claim_number), k);
	r->state = PATH_CLAIMING;
	r->service->claiming_count[r->class]++;
	return true;
}

bool
key_admit(const struct path_ctx *x, struct path_request *r)
{
	bool log_down = keys_log_down(x);
	struct path_key *k;

	if (r->idempotency_key == NULL)
		return false;
	if (key_handle_duplicate(x, r) ||
	    key_refuse_unavailable(x, r, log_down))
		return true;
	k = calloc(1, sizeof(*k));
	if (k == NULL) {
		path_fail(x, r, 503, "no-memory", 1000);
		return true;
	}
	k->hash = claim_hash(r->service->name, r->member, r->idempotency_key);
	k->state = KEY_NO_CLAIM;
	k->unclaimed = log_down;
	k->request = r;
	k->ttl_s = r->service->text->key_ttl_s;
	TAILQ_INIT(&k->waiters);
	HASH_ADD(hh, x->p->keys.by_hash, hash, sizeof(k->hash), k);
	r->owned_key = k;
	return key_claim(x, k);
}

/* Another daemon's claim came first, so its request is the original. */
static void
key_claim_lost(const struct path_ctx *x, struct path_key *k)
{
	struct path_request *r = k->request, *other;
	struct key_waiter_list waiters;
	struct key_waiter *w;

	TAILQ_INIT(&waiters);
	TAILQ_CONCAT(&waiters, &k->waiters, link);
	key_remove(&x->p->keys, k);
	if (r != NULL) {
		r->owned_key = NULL;
		path_leave_claiming(r);
		if (!key_handle_duplicate(x, r))
			path_fail(x, r, 503, "key-contended", 100);
	}
	while ((w = TAILQ_FIRST(&waiters)) != NULL) {
		TAILQ_REMOVE(&waiters, w, link);
		other = w->remote ? NULL : path_find(x->p, &w->origin);
		if (w->remote)
			waiter_notify(x, w, &result_unknown);
		else if (other != NULL &&
		    other->state == PATH_AWAITING_ORIGINAL &&
		    !other->querying && !key_handle_duplicate(x, other))
			path_finish(x, other, &result_unknown);
		free(w);
	}
}

static void
key_claim_won(const struct path_ctx *x, struct path_key *k)
{
	if (k->state == KEY_ABANDONED) {
		k->state = KEY_RELEASING;
		claims_release(&x->p->keys.claims, k->hash, k->claim_number);
		return;
	}
	k->state = KEY_CLAIMED;
	path_claim_won(x, k->request);
}

/* Updates the moving average of the time from a claim to its result. */
static void
key_sample_latency(const struct path_ctx *x, const struct path_key *k)
{
	int64_t elapsed_us = x->v->now_us - k->claim_sent_us;
	int64_t *average_us = &x->p->keys.claim_latency_us;

	*average_us = *average_us == 0
	    ? elapsed_us
	    : (*average_us * EWMA_OLD_WEIGHT + elapsed_us) /
		(EWMA_OLD_WEIGHT + 1);
}

static void
key_claim_decided(void *arg, uint64_t number, enum claim_op op, bool won)
{
	const struct path_ctx *x = arg;
	struct path_key *k = key_find_by_claim(&x->p->keys, number);

	if (k == NULL)
		return;
	if (op == CLAIM_RELEASE) {
		if (k->state == KEY_RELEASING)
			key_remove(&x->p->keys, k);
		return;
	}
	if (k->state != KEY_CLAIMING && k->state != KEY_ABANDONED)
		return;
	key_sample_latency(x, k);
	if (won)
		key_claim_won(x, k);
	else
		key_claim_lost(x, k);
}

static void
key_release_claim(const struct path_ctx *x, struct path_key *k)
{
	switch (k->state) {
	case KEY_CLAIMING:
		k->state = KEY_ABANDONED;
		return;
	case KEY_CLAIMED:
		k->state = KEY_RELEASING;
		claims_release(&x->p->keys.claims, k->hash, k->claim_number);
		return;
	case KEY_NO_CLAIM:
		key_remove(&x->p->keys, k);
		return;
	case KEY_ABANDONED:
	case KEY_RELEASING:
	case KEY_ANSWERED:
	case KEY_UNKNOWN:
		return;
	}
}

void
key_settle(const struct path_ctx *x, struct path_request *r,
    const struct path_result *result)
{
	struct path_key *k = r->owned_key;
	int64_t until_us;

	if (k == NULL)
		return;
	r->owned_key = NULL;
	k->request = NULL;
	until_us = x->v->now_us + k->ttl_s * US_PER_S;
	key_notify_waiters(x, k, result);
	switch (result->outcome) {
	case OUTCOME_ANSWERED:
		k->state = KEY_ANSWERED;
		k->answer = answer_ref(result->answer);
		key_cache_result(&x->p->keys, k, until_us);
		return;
	case OUTCOME_UNKNOWN:
		k->state = KEY_UNKNOWN;
		key_cache_result(&x->p->keys, k, until_us);
		return;
	case OUTCOME_NOT_RUN:
		key_release_claim(x, k);
		return;
	}
}

/* Frames. */

static void
key_handle_query(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_origin from = {f->source, f->incarnation, f->request_id};
	const struct path_result *result = &result_unknown;
	struct claim_hash hash;
	struct path_result buf;
	struct path_key *k;

	if (!wire_get_u64(map, "h", &hash.high) ||
	    !wire_get_u64(map, "l", &hash.low))
		return;
	k = key_find(&x->p->keys, hash);
	if (k != NULL) {
		result = key_result_get(k, &buf);
		if (result == NULL && key_add_waiter(k, &from, true))
			return;
		if (result == NULL)
			result = &result_unknown;
	}
	key_send_reply(
	    x, &from, reply_for_outcome(result->outcome), result->answer);
}

static void
key_handle_reply(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_result result = {.outcome = OUTCOME_ANSWERED};
	struct path_request *r;
	uint64_t reply;

	TAILQ_FOREACH(r, &x->p->keys.queries, link) {
		if (r->query_number == f->request_id &&
		    r->remote_peer == f->source)
			break;
	}
	if (r == NULL || !wire_get_u64(map, "word", &reply))
		return;
	if (reply == KEY_REPLY_NOT_RUN) {
		path_finish(x, r, &result_released);
		return;
	}
	result.answer = path_wire_get_answer(map, "a");
	if (reply != KEY_REPLY_ANSWERED || result.answer == NULL) {
		path_finish(x, r, &result_unknown);
		answer_unref(result.answer);
		return;
	}
	result.status = result.answer->status;
	path_finish(x, r, &result);
	answer_unref(result.answer);
}

void
key_frame(const struct path_ctx *x, const struct frame *f)
{
	struct wire_reader rd;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_CLAIM_QUERY)
		key_handle_query(x, f, rd.root);
	else
		key_handle_reply(x, f, rd.root);
	wire_reader_uninit(&rd);
}

void
key_cancel_query(const struct path_ctx *x, struct path_request *r)
{
	if (!r->querying)
		return;
	r->querying = false;
	TAILQ_REMOVE(&x->p->keys.queries, r, link);
}

static void
keys_tick(const struct path_ctx *x)
{
	struct path_keys *ks = &x->p->keys;
	struct path_request *r;
	struct path_key *k;

	TAILQ_FOREACH(r, &ks->queries, link) {
		if (x->v->now_us - r->query_sent_us >= QUERY_RETRY_US)
			key_send_query(x, r);
	}
	while ((k = TAILQ_FIRST(&ks->cached)) != NULL &&
	    k->cache_expiry_us <= x->v->now_us)
		key_remove(ks, k);
}

void
keys_step(const struct path_ctx *x, const struct event *ev)
{
	claims_step(
	    &x->p->keys.claims, x->v, ev, key_claim_decided, (void *)x, x->fx);
	if (ev->kind == EVENT_TICK)
		keys_tick(x);
}
