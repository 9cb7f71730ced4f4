#include "path_spill.h"

#include <stdlib.h>
#include <string.h>

#include "path_priv.h"
#include "path_wire.h"
#include "peers.h"

#define WINDOW_INITIAL 4
#define WINDOW_MAX 64
/* Mean pause of a channel after a refusal; a random time around it is used. */
#define REFUSED_PAUSE_US (50 * US_PER_MS)
/* Pause of a channel after a missing answer. */
#define LOST_PAUSE_US (1 * US_PER_S)
#define SPILL_ATTEMPTS_MAX 2 /* daemons that are tried for one request */
/*
 * An inbound request is admitted while there are more than this many usable
 * slots for each waiting request.
 */
#define INBOUND_SLOTS_PER_WAITING 2
/* No request goes to a peer that has been silent longer. */
#define PEER_SILENCE_MAX_US (6 * US_PER_S)

void
spill_init(struct spill *sp)
{
	memset(sp, 0, sizeof(*sp));
	TAILQ_INIT(&sp->channels);
	TAILQ_INIT(&sp->sources);
	TAILQ_INIT(&sp->in_flight);
}

void
spill_uninit(struct spill *sp)
{
	struct spill_source *src;
	struct spill_channel *ch;

	while ((ch = TAILQ_FIRST(&sp->channels)) != NULL) {
		TAILQ_REMOVE(&sp->channels, ch, link);
		free(ch);
	}
	while ((src = TAILQ_FIRST(&sp->sources)) != NULL) {
		TAILQ_REMOVE(&sp->sources, src, link);
		free(src);
	}
}

/* Sending. */

static struct spill_channel *
spill_channel(struct spill *sp, uint64_t peer, const char *service)
{
	struct spill_channel *ch;

	TAILQ_FOREACH(ch, &sp->channels, link) {
		if (ch->peer == peer && strcmp(ch->service, service) == 0)
			return ch;
	}
	ch = calloc(1, sizeof(*ch));
	if (ch == NULL)
		return NULL;
	ch->peer = peer;
	memcpy(ch->service, service, strlen(service) + 1);
	ch->window = WINDOW_INITIAL;
	TAILQ_INSERT_TAIL(&sp->channels, ch, link);
	return ch;
}

static bool
peer_accepts_spill(const struct view *v, const struct peer *q)
{
	return q->linked && q->state == PEER_ALIVE &&
	    strcmp(q->data_centre, v->data_centre) != 0 &&
	    v->now_us - q->last_frame_us < PEER_SILENCE_MAX_US;
}

/* The peer whose channel has the most unused window. */
static const struct peer *
spill_choose_peer(const struct path_ctx *x, const char *service,
    struct spill_channel **chosen)
{
	const struct peer *q, *best = NULL;
	struct spill_channel *ch;

	*chosen = NULL;
	for (q = peers_all(x->v->peers); q != NULL; q = q->hh.next) {
		if (!peer_accepts_spill(x->v, q))
			continue;
		ch = spill_channel(&x->p->spill, q->id, service);
		if (ch == NULL || ch->in_flight >= ch->window ||
		    x->v->now_us < ch->closed_until_us)
			continue;
		if (best != NULL &&
		    (*chosen)->window - (*chosen)->in_flight >=
			ch->window - ch->in_flight)
			continue;
		best = q;
		*chosen = ch;
	}
	return best;
}

bool
spill_send(const struct path_ctx *x, struct path_request *r, const char *reason,
    int retry_after_ms)
{
	struct spill_channel *ch;
	const struct peer *q;
	struct wire_writer w;

	if (r->origin.peer != 0 || x->v->stopping ||
	    x->p->credit.policy != PATH_POLICY_CREDIT)
		return false;
	q = spill_choose_peer(x, r->service->name, &ch);
	if (q == NULL)
		return false;
	ch->in_flight++;
	r->spill_count++;
	x->p->spill.sent_count++;
	r->state = PATH_SPILLED;
	/*
	 * From here on only that daemon can report that the request was not
	 * run.
	 */
	r->may_have_run = true;
	r->remote_peer = q->id;
	r->remote_incarnation = q->incarnation;
	r->spill_number = ++x->p->spill.last_number;
	r->fallback_reason = reason;
	r->fallback_retry_after_ms = retry_after_ms;
	TAILQ_INSERT_TAIL(&x->p->spill.in_flight, r, link);
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_i64(&w, "left", (r->deadline_us - x->v->now_us) / US_PER_MS);
	path_wire_put_request(&w, "m", r->message);
	effects_send(
	    x->fx, q->id, FRAME_SPILL, r->spill_number, wire_writer_finish(&w));
	return true;
}

static void
spill_leave_channel(const struct path_ctx *x, struct path_request *r)
{
	struct spill_channel *ch =
	    spill_channel(&x->p->spill, r->remote_peer, r->service->name);

	TAILQ_REMOVE(&x->p->spill.in_flight, r, link);
	r->state = PATH_QUEUED;
	if (ch != NULL)
		ch->in_flight--;
}

void
spill_cancel(const struct path_ctx *x, struct path_request *r)
{
	struct spill_channel *ch;
	struct wire_writer w;

	if (r->state != PATH_SPILLED)
		return;
	spill_leave_channel(x, r);
	ch = spill_channel(&x->p->spill, r->remote_peer, r->service->name);
	if (ch != NULL && x->v->now_us + PATH_TICK_MAX_US >= r->deadline_us) {
		ch->window = 1;
		ch->closed_until_us = x->v->now_us + LOST_PAUSE_US;
	}
	wire_writer_init(&w);
	wire_map(&w, 0);
	effects_send(x->fx, r->remote_peer, FRAME_SPILL_CANCEL, r->spill_number,
	    wire_writer_finish(&w));
}

void
spill_peer_down(const struct path_ctx *x, uint64_t peer)
{
	struct path_request *r, *next;

	for (r = TAILQ_FIRST(&x->p->spill.in_flight); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (r->remote_peer != peer)
			continue;
		spill_leave_channel(x, r);
		path_fail(x, r, 502, "spill-lost", 0);
	}
}

/* Results from other daemons. */

static void
spill_update_window(
    const struct path_ctx *x, const struct path_request *r, bool has_capacity)
{
	struct spill_channel *ch =
	    spill_channel(&x->p->spill, r->remote_peer, r->service->name);

	if (ch == NULL)
		return;
	if (has_capacity) {
		ch->window += ch->window < WINDOW_MAX;
		return;
	}
	x->p->spill.refused_count++;
	ch->window = ch->window > 1 ? ch->window / 2 : 1;
	ch->closed_until_us = x->v->now_us + REFUSED_PAUSE_US / 2 +
	    (int64_t)prng_below(x->v->prng, REFUSED_PAUSE_US);
}

/* The peer refused the request, so it was not run: try another daemon. */
static bool
spill_retry(const struct path_ctx *x, struct path_request *r)
{
	r->may_have_run = false;
	if (r->spill_count >= SPILL_ATTEMPTS_MAX)
		return false;
	return spill_send(x, r, r->fallback_reason, r->fallback_retry_after_ms);
}

static void
handle_answer(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_result result = {.status = 502, .reason = "spill-unknown"};
	struct path_request *r;
	uint64_t outcome;
	int64_t status;

	TAILQ_FOREACH(r, &x->p->spill.in_flight, link) {
		if (r->spill_number == f->request_id &&
		    r->remote_peer == f->source &&
		    r->remote_incarnation == f->incarnation)
			break;
	}
	if (r == NULL || !wire_get_u64(map, "outcome", &outcome) ||
	    !wire_get_i64(map, "status", &status))
		return;
	spill_update_window(x, r, outcome != OUTCOME_NOT_RUN);
	spill_leave_channel(x, r);
	if (outcome == OUTCOME_NOT_RUN && spill_retry(x, r))
		return;
	result.outcome = OUTCOME_UNKNOWN;
	if (outcome == OUTCOME_ANSWERED)
		result.answer = path_wire_get_answer(map, "a");
	if (result.answer != NULL) {
		result.outcome = OUTCOME_ANSWERED;
		result.status = result.answer->status;
		result.reason = NULL;
	} else if (outcome == OUTCOME_NOT_RUN) {
		result.outcome = OUTCOME_NOT_RUN;
		result.status = 503;
		result.reason = r->fallback_reason;
		result.retry_after_ms = r->fallback_retry_after_ms;
	} else if (status == 504) {
		result.status = 504;
	}
	path_finish(x, r, &result);
	answer_unref(result.answer);
}

/* Requests from other daemons. */

void
spill_send_answer(const struct path_ctx *x, const struct path_origin *to,
    const struct path_result *result)
{
	const struct answer *a = result->answer;
	enum outcome outcome = result->outcome;
	struct wire_writer w;

	if (a != NULL && path_wire_answer_bytes(a) > FRAME_MAX_BYTES * 3 / 4) {
		a = NULL;
		outcome = OUTCOME_UNKNOWN;
	}
	wire_writer_init(&w);
	wire_map(&w, 3);
	wire_u64(&w, "outcome", outcome);
	wire_i64(&w, "status", result->status);
	path_wire_put_answer(&w, "a", a);
	effects_send(x->fx, to->peer, FRAME_SPILL_ANSWER, to->id,
	    wire_writer_finish(&w));
}

static struct spill_source *
spill_source(struct spill *sp, uint64_t peer)
{
	struct spill_source *s;

	TAILQ_FOREACH(s, &sp->sources, link) {
		if (s->peer == peer)
			return s;
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->peer = peer;
	TAILQ_INSERT_TAIL(&sp->sources, s, link);
	return s;
}

static bool
source_test_and_set(struct spill_source *s, uint64_t age)
{
	uint64_t *word = &s->seen_bits[age / 64],
		 bit = UINT64_C(1) << (age % 64);
	bool was_set = (*word & bit) != 0;

	*word |= bit;
	return was_set;
}

static void
source_shift(struct spill_source *s, uint64_t by)
{
	int i;

	if (by >= SPILL_REPLAY_WINDOW) {
		memset(s->seen_bits, 0, sizeof(s->seen_bits));
		return;
	}
	for (; by > 0; by--) {
		for (i = SPILL_REPLAY_WINDOW / 64 - 1; i > 0; i--)
			s->seen_bits[i] =
			    s->seen_bits[i] << 1 | s->seen_bits[i - 1] >> 63;
		s->seen_bits[0] <<= 1;
	}
}

/*
 * True where the number is new. Numbers older than the replay window count as
 * used.
 */
static bool
source_is_new(struct spill_source *s, uint64_t incarnation, uint64_t number)
{
	if (s->incarnation != incarnation) {
		memset(s->seen_bits, 0, sizeof(s->seen_bits));
		s->incarnation = incarnation;
		s->newest_number = number;
	}
	if (number > s->newest_number) {
		source_shift(s, number - s->newest_number);
		s->newest_number = number;
	}
	if (s->newest_number - number >= SPILL_REPLAY_WINDOW)
		return false;
	return !source_test_and_set(s, s->newest_number - number);
}

bool
spill_has_capacity(const struct path_ctx *x, const struct path_service *s)
{
	const struct upstream *u;
	size_t waiting, slots = 0;

	(void)x;
	if (s->pool == NULL)
		return false;
	waiting = s->queues[CLASS_QUICK].count + s->queues[CLASS_BATCH].count;
	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (u->serving && u->health == UPSTREAM_HEALTHY &&
		    u->credits > 0)
			slots += (size_t)u->credits;
	}
	return waiting * INBOUND_SLOTS_PER_WAITING < slots;
}

static void
handle_spill(
    const struct path_ctx *x, const struct frame *f, const msgpack_object *map)
{
	struct path_origin origin = {f->source, f->incarnation, f->request_id};
	const struct peer *q = peers_get(x->v->peers, f->source);
	struct spill_source *src = spill_source(&x->p->spill, f->source);
	struct request *m;
	int64_t remaining_ms;

	if (q == NULL || q->incarnation != f->incarnation || src == NULL ||
	    !source_is_new(src, f->incarnation, f->request_id) ||
	    !wire_get_i64(map, "left", &remaining_ms))
		return;
	m = path_wire_get_request(map, "m");
	if (m == NULL)
		return;
	x->p->spill.received_count++;
	path_receive(x, &origin, m, remaining_ms);
	request_unref(m);
}

void
spill_frame(const struct path_ctx *x, const struct frame *f)
{
	struct path_origin origin = {f->source, f->incarnation, f->request_id};
	struct wire_reader rd;

	if (f->kind == FRAME_SPILL_CANCEL) {
		path_caller_gone(x, &origin);
		return;
	}
	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (f->kind == FRAME_SPILL)
		handle_spill(x, f, rd.root);
	else
		handle_answer(x, f, rd.root);
	wire_reader_uninit(&rd);
}
