#include "sim.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "sim_int.h"
#include "view.h"

#define SIM_WALL_START_MS INT64_C(1800000000000) /* virtual wall clock */

void
sim_opts_default(struct sim_opts *o)
{
	memset(o, 0, sizeof(*o));
	o->seed = 20261204;
	o->data_centres = 3;
	o->daemons = 2;
	o->near_us = 250;
	o->far_us = 1500;
	o->tick_us = 10 * US_PER_MS;
	o->delay_us = 50 * US_PER_MS;
	o->link_loss_us = 3 * US_PER_S;
	o->append_us = 3 * US_PER_MS;
	o->read_us = 3 * US_PER_MS;
	o->poll_us = 500 * US_PER_MS;
	o->platform_timeout_us = 2 * US_PER_S;
	o->reboot_us = 30 * US_PER_S;
}

/* The queue: a binary heap by time, then by order of insertion. */

static bool
item_before(const struct sim_item *a, const struct sim_item *b)
{
	if (a->t_us != b->t_us)
		return a->t_us < b->t_us;
	return a->order < b->order;
}

static void
heap_insert(struct sim *s, struct sim_item *it)
{
	size_t i, up;

	if (s->heap_count == s->heap_cap) {
		s->heap_cap = s->heap_cap ? s->heap_cap * 2 : 1024;
		s->heap = reallocarray(s->heap, s->heap_cap, sizeof(*s->heap));
		if (s->heap == NULL)
			err(1, "sim queue");
	}
	i = s->heap_count++;
	while (i > 0) {
		up = (i - 1) / 2;
		if (!item_before(it, s->heap[up]))
			break;
		s->heap[i] = s->heap[up];
		i = up;
	}
	s->heap[i] = it;
}

static struct sim_item *
heap_take(struct sim *s)
{
	struct sim_item *top = s->heap[0], *last;
	size_t i = 0, down;

	last = s->heap[--s->heap_count];
	for (;;) {
		down = 2 * i + 1;
		if (down >= s->heap_count)
			break;
		if (down + 1 < s->heap_count &&
		    item_before(s->heap[down + 1], s->heap[down]))
			down++;
		if (!item_before(s->heap[down], last))
			break;
		s->heap[i] = s->heap[down];
		i = down;
	}
	s->heap[i] = last;
	return top;
}

struct sim_item *
sim_push(struct sim *s, int64_t t_us, enum sim_item_kind kind, unsigned node)
{
	struct sim_item *it;

	it = calloc(1, sizeof(*it));
	if (it == NULL)
		err(1, "sim item");
	it->t_us = t_us;
	it->order = s->order++;
	it->kind = kind;
	it->node = node;
	it->incarnation = s->nodes[node].incarnation;
	heap_insert(s, it);
	return it;
}

static void
event_uninit(struct event *ev)
{
	if (ev->kind == EVENT_REQUEST)
		request_unref(ev->u.request.request);
	else if (ev->kind == EVENT_ATTEMPT_ANSWERED)
		answer_unref(ev->u.answered.answer);
}

static void
item_free(struct sim_item *it)
{
	switch (it->kind) {
	case ITEM_EVENT:
		event_uninit(it->u.event);
		free(it->u.event);
		break;
	case ITEM_FRAME:
		frame_uninit(&it->u.frame.frame);
		break;
	case ITEM_APPEND:
		buf_unref(it->u.append.record);
		break;
	case ITEM_ARRIVE:
	case ITEM_FINISH:
		sim_attempt_unref(it->u.attempt);
		break;
	default:
		break;
	}
	free(it);
}

struct event *
sim_event_at(struct sim *s, int64_t t_us, unsigned node, enum event_kind kind)
{
	struct sim_item *it;

	it = sim_push(s, t_us, ITEM_EVENT, node);
	it->u.event = calloc(1, sizeof(*it->u.event));
	if (it->u.event == NULL)
		err(1, "sim event");
	it->u.event->kind = kind;
	return it->u.event;
}

/* Peer links. */

static int64_t
link_delay(struct sim *s, unsigned a, unsigned b)
{
	int64_t d;

	d = s->nodes[a].dc == s->nodes[b].dc ? s->opts.near_us : s->opts.far_us;
	return d + (int64_t)prng_below(&s->prng, (uint64_t)(d / 4 + 1));
}

static void
link_change(struct sim *s, unsigned a, unsigned b, bool up, int64_t delay_us)
{
	struct sim_item *it;

	it = sim_push(s, s->now_us + delay_us, ITEM_LINK, a);
	it->u.link.other = b;
	it->u.link.other_incarnation = s->nodes[b].incarnation;
	it->u.link.up = up;
}

static void
link_item(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];
	struct sim_node *o = &s->nodes[it->u.link.other];
	struct event ev = {0};

	if (it->u.link.up == n->linked[it->u.link.other])
		return;
	if (it->u.link.up &&
	    (o->core == NULL || n->cut_to[it->u.link.other] ||
		o->cut_to[it->node]))
		return;
	n->linked[it->u.link.other] = it->u.link.up;
	ev.kind = it->u.link.up ? EVENT_PEER_UP : EVENT_PEER_DOWN;
	if (it->u.link.up) {
		ev.u.peer_up.peer = daemon_id(o->name);
		ev.u.peer_up.incarnation = o->incarnation;
		memcpy(ev.u.peer_up.name, o->name, NAME_BYTES);
		memcpy(
		    ev.u.peer_up.data_centre, s->dc_names[o->dc], NAME_BYTES);
	} else {
		ev.u.peer_down.peer = daemon_id(o->name);
		ev.u.peer_down.incarnation = it->u.link.other_incarnation;
	}
	sim_step(s, it->node, &ev);
}

static void
cut_item(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];
	unsigned to = it->u.cut.to;

	if (!n->cut_to[to] || n->cut_since_us[to] != it->u.cut.since_us)
		return;
	link_change(s, it->node, to, false, 0);
	link_change(s, to, it->node, false, 0);
}

static unsigned
node_of(const struct sim *s, uint64_t id)
{
	unsigned i;

	for (i = 0; i < s->node_count; i++) {
		if (daemon_id(s->nodes[i].name) == id)
			return i;
	}
	return SIM_NODES_MAX;
}

static void
frame_push(struct sim *s, unsigned from, unsigned to, const struct effect *x,
    int64_t delay_us)
{
	struct sim_item *it;

	it = sim_push(s, s->now_us + delay_us, ITEM_FRAME, to);
	it->u.frame.from = from;
	it->u.frame.from_incarnation = s->nodes[from].incarnation;
	it->u.frame.frame.protocol = FRAME_PROTOCOL_VERSION;
	it->u.frame.frame.kind = x->u.peer_send.kind;
	it->u.frame.frame.source = daemon_id(s->nodes[from].name);
	it->u.frame.frame.incarnation = s->nodes[from].incarnation;
	it->u.frame.frame.request_id = x->u.peer_send.request;
	it->u.frame.frame.payload = buf_ref(x->u.peer_send.payload);
}

static void
send_effect(struct sim *s, unsigned from, const struct effect *x)
{
	unsigned to = node_of(s, x->u.peer_send.peer);
	int64_t delay;

	if (to == SIM_NODES_MAX || !s->nodes[from].linked[to])
		return;
	s->totals.frames++;
	s->totals.frame_bytes +=
	    64 + (x->u.peer_send.payload ? x->u.peer_send.payload->len : 0);
	if (s->nodes[from].cut_to[to] ||
	    prng_below(&s->prng, 1000000) < s->opts.drop_ppm)
		return;
	delay = link_delay(s, from, to);
	if (prng_below(&s->prng, 1000000) < s->opts.delay_ppm)
		delay += (int64_t)prng_below(
		    &s->prng, (uint64_t)s->opts.delay_us + 1);
	frame_push(s, from, to, x, delay);
	if (prng_below(&s->prng, 1000000) < s->opts.repeat_ppm)
		frame_push(s, from, to, x, delay + s->opts.delay_us);
}

static void
frame_item(struct sim *s, struct sim_item *it)
{
	struct event ev = {.kind = EVENT_PEER_FRAME};

	/* A connection that is gone delivers nothing. */
	if (!s->nodes[it->node].linked[it->u.frame.from])
		return;
	ev.u.peer_frame.frame = &it->u.frame.frame;
	sim_step(s, it->node, &ev);
}

/* Effects and steps. */

static void
carry_out(struct sim *s, unsigned node, const struct effect *x)
{
	if (s->on_effect != NULL)
		s->on_effect(s, node, x, s->on_effect_arg);
	switch (x->kind) {
	case EFFECT_ATTEMPT:
		sim_attempt_effect(s, node, x);
		break;
	case EFFECT_ATTEMPT_CANCEL:
		sim_cancel_effect(s, node, x->u.cancel.id);
		break;
	case EFFECT_ANSWER:
		sim_answer_effect(s, node, x);
		break;
	case EFFECT_PEER_SEND:
		send_effect(s, node, x);
		break;
	case EFFECT_READ:
		sim_read_effect(s, node, x);
		break;
	case EFFECT_APPEND:
		sim_append_effect(s, node, x);
		break;
	case EFFECT_PLATFORM:
		sim_platform_effect(s, node, x);
		break;
	case EFFECT_LOG:
		if (getenv("SIM_LOG") != NULL)
			fprintf(stderr, "%10.6f %s %s\n",
			    (double)s->now_us / 1e6, s->nodes[node].name,
			    x->u.log.line);
		break;
	case EFFECT_STOPPED:
		s->nodes[node].stopped = true;
		break;
	}
}

void
sim_step(struct sim *s, unsigned node, struct event *ev)
{
	struct effects fx;
	size_t i;

	if (s->nodes[node].core == NULL)
		return;
	ev->now_us = s->now_us;
	ev->wall_ms = SIM_WALL_START_MS + s->now_us / US_PER_MS;
	effects_init(&fx);
	core_step(s->nodes[node].core, ev, &fx);
	for (i = 0; i < fx.count; i++)
		carry_out(s, node, &fx.list[i]);
	effects_uninit(&fx);
	if (s->nodes[node].stopped)
		sim_kill(s, node);
}

static void
tick_item(struct sim *s, struct sim_item *it)
{
	struct event ev = {.kind = EVENT_TICK};

	sim_push(s, s->now_us + s->opts.tick_us, ITEM_TICK, it->node);
	sim_step(s, it->node, &ev);
}

/* Items that happen outside the node, whatever its state. */
static bool
item_outside(const struct sim_item *it)
{
	return it->kind == ITEM_CALL || it->kind == ITEM_APPEND ||
	    it->kind == ITEM_ARRIVE || it->kind == ITEM_FINISH ||
	    it->kind == ITEM_PLATFORM || it->kind == ITEM_CUT ||
	    it->kind == ITEM_TIMEOUT;
}

/* True where the item may not be carried out now; a freeze keeps it. */
static bool
item_held(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];

	if (!n->frozen || item_outside(it))
		return false;
	if (n->held_count == n->held_cap) {
		n->held_cap = n->held_cap ? n->held_cap * 2 : 64;
		n->held = reallocarray(n->held, n->held_cap, sizeof(*n->held));
		if (n->held == NULL)
			err(1, "sim held");
	}
	n->held[n->held_count++] = it;
	return true;
}

static bool
item_stale(const struct sim *s, const struct sim_item *it)
{
	if (item_outside(it))
		return false;
	return s->nodes[it->node].core == NULL ||
	    s->nodes[it->node].incarnation != it->incarnation;
}

static void
item_run(struct sim *s, struct sim_item *it)
{
	switch (it->kind) {
	case ITEM_CALL:
		it->u.call.fn(s, it->u.call.arg);
		break;
	case ITEM_EVENT:
		sim_step(s, it->node, it->u.event);
		break;
	case ITEM_FRAME:
		frame_item(s, it);
		break;
	case ITEM_TICK:
		tick_item(s, it);
		break;
	case ITEM_POLL:
		sim_poll_item(s, it);
		break;
	case ITEM_READ:
		sim_read_item(s, it);
		break;
	case ITEM_APPEND:
		sim_append_item(s, it);
		break;
	case ITEM_ARRIVE:
		sim_arrive_item(s, it);
		break;
	case ITEM_FINISH:
		sim_finish_item(s, it);
		break;
	case ITEM_TIMEOUT:
		sim_timeout_item(s, it);
		break;
	case ITEM_PLATFORM:
		sim_platform_item(s, it);
		break;
	case ITEM_LINK:
		link_item(s, it);
		break;
	case ITEM_CUT:
		cut_item(s, it);
		break;
	}
}

void
sim_run_until(struct sim *s, int64_t t_us)
{
	struct sim_item *it;

	while (s->heap_count > 0 && s->heap[0]->t_us <= t_us) {
		it = heap_take(s);
		if (it->t_us > s->now_us)
			s->now_us = it->t_us;
		if (item_stale(s, it)) {
			item_free(it);
			continue;
		}
		if (item_held(s, it))
			continue;
		item_run(s, it);
		item_free(it);
	}
	s->now_us = t_us;
}

void
sim_at(struct sim *s, int64_t t_us, void (*fn)(struct sim *, void *), void *arg)
{
	struct sim_item *it;

	it = sim_push(s, t_us, ITEM_CALL, 0);
	it->u.call.fn = fn;
	it->u.call.arg = arg;
}

/* Daemons. */

void
sim_start(struct sim *s, unsigned node)
{
	struct sim_node *n = &s->nodes[node];
	struct core_opts o = {.name = n->name,
	    .data_centre = s->dc_names[n->dc],
	    .seed = prng_next(&s->prng) | 1,
	    .policy = s->opts.policy};
	unsigned i;

	if (n->core != NULL)
		return;
	n->incarnation = o.incarnation = ++s->incarnations * 7919;
	n->core = core_new(&o);
	n->frozen = n->stopped = false;
	n->vm_polled = false;
	memset(n->linked, 0, sizeof(n->linked));
	memset(n->read_waiting, 0, sizeof(n->read_waiting));
	sim_push(s, s->now_us + 1, ITEM_TICK, node);
	sim_push(s, s->now_us + 2, ITEM_POLL, node);
	/* Other streams are read only when the core asks for them. */
	for (i = 0; i < STREAM_SNAPSHOT; i++) {
		struct effect x = {.kind = EFFECT_READ};

		x.u.read.stream = (enum stream)i;
		sim_read_effect(s, node, &x);
	}
	for (i = 0; i < s->node_count; i++) {
		if (i == node || s->nodes[i].core == NULL)
			continue;
		link_change(s, node, i, true, 5 * US_PER_MS);
		link_change(s, i, node, true, 5 * US_PER_MS);
	}
}

void
sim_kill(struct sim *s, unsigned node)
{
	struct sim_node *n = &s->nodes[node];
	struct sim_request *r, *tmp;
	unsigned i;

	if (n->core == NULL)
		return;
	for (i = 0; i < s->node_count; i++) {
		if (i != node && s->nodes[i].linked[node])
			link_change(s, i, node, false,
			    s->nodes[i].cut_to[node] || n->cut_to[i]
				? s->opts.link_loss_us
				: link_delay(s, node, i));
	}
	sim_attempts_close(s, node);
	HASH_ITER(hh, s->requests, r, tmp)
	{
		if (r->node == node && r->end_us == -1)
			r->node_died = true;
	}
	core_free(n->core);
	n->core = NULL;
	for (i = 0; i < n->held_count; i++)
		item_free(n->held[i]);
	n->held_count = 0;
	n->frozen = false;
}

void
sim_freeze(struct sim *s, unsigned node)
{
	if (s->nodes[node].core != NULL)
		s->nodes[node].frozen = true;
}

void
sim_resume(struct sim *s, unsigned node)
{
	struct sim_node *n = &s->nodes[node];
	size_t i;

	if (!n->frozen)
		return;
	n->frozen = false;
	for (i = 0; i < n->held_count; i++) {
		n->held[i]->t_us = s->now_us;
		heap_insert(s, n->held[i]);
	}
	n->held_count = 0;
}

void
sim_stop(struct sim *s, unsigned node)
{
	struct event ev = {.kind = EVENT_STOP};

	sim_step(s, node, &ev);
}

void
sim_cut(struct sim *s, unsigned from, unsigned to, bool cut)
{
	struct sim_node *n = &s->nodes[from];
	struct sim_item *it;

	if (from == to || n->cut_to[to] == cut)
		return;
	n->cut_to[to] = cut;
	if (!cut) {
		link_change(s, from, to, true, 100 * US_PER_MS);
		link_change(s, to, from, true, 100 * US_PER_MS);
		return;
	}
	n->cut_since_us[to] = s->now_us;
	it = sim_push(s, s->now_us + s->opts.link_loss_us, ITEM_CUT, from);
	it->u.cut.to = to;
	it->u.cut.since_us = s->now_us;
}

void
sim_cut_platform(struct sim *s, unsigned node, bool cut)
{
	s->nodes[node].platform_cut = cut;
}

void
sim_frames(
    struct sim *s, unsigned drop_ppm, unsigned repeat_ppm, unsigned delay_ppm)
{
	s->opts.drop_ppm = drop_ppm;
	s->opts.repeat_ppm = repeat_ppm;
	s->opts.delay_ppm = delay_ppm;
}

void
sim_calm(struct sim *s)
{
	unsigned i, j;

	s->down = false;
	s->slow_us = 0;
	s->lose_answers = 0;
	s->opts.drop_ppm = s->opts.repeat_ppm = s->opts.delay_ppm = 0;
	for (i = 0; i < s->node_count; i++) {
		s->nodes[i].platform_cut = false;
		sim_resume(s, i);
		for (j = 0; j < s->node_count; j++)
			sim_cut(s, i, j, false);
	}
}

struct sim *
sim_new(const struct sim_opts *o)
{
	struct sim *s;
	unsigned i;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		err(1, "sim");
	s->opts = *o;
	s->prng = o->seed | 1;
	s->node_count = o->data_centres * o->daemons;
	if (s->node_count > SIM_NODES_MAX || o->data_centres > 8)
		errx(1, "sim: at most %d nodes", SIM_NODES_MAX);
	for (i = 0; i < o->data_centres; i++) {
		if (o->dc_names != NULL)
			snprintf(
			    s->dc_names[i], NAME_BYTES, "%s", o->dc_names[i]);
		else
			snprintf(s->dc_names[i], NAME_BYTES, "dc%u", i + 1);
	}
	for (i = 0; i < s->node_count; i++) {
		s->nodes[i].dc = i / o->daemons;
		snprintf(s->nodes[i].name, NAME_BYTES, "entry-%u-%u",
		    i / o->daemons + 1, i % o->daemons + 1);
	}
	/* Offset 0 is never used, as on the platform. */
	for (i = 0; i < STREAM_COUNT; i++)
		sim_platform_init(s, (enum stream)i);
	for (i = 0; i < s->node_count; i++)
		sim_start(s, i);
	return s;
}

void
sim_free(struct sim *s)
{
	unsigned i;

	for (i = 0; i < s->node_count; i++)
		sim_kill(s, i);
	while (s->heap_count > 0)
		item_free(heap_take(s));
	for (i = 0; i < s->node_count; i++)
		free(s->nodes[i].held);
	sim_worker_uninit(s);
	sim_platform_uninit(s);
	free(s->heap);
	free(s);
}

/* Accessors. */

int64_t
sim_now(const struct sim *s)
{
	return s->now_us;
}

uint64_t *
sim_prng(struct sim *s)
{
	return &s->prng;
}

unsigned
sim_nodes(const struct sim *s)
{
	return s->node_count;
}

struct core *
sim_core(struct sim *s, unsigned node)
{
	return s->nodes[node].core;
}

const char *
sim_dc(const struct sim *s, unsigned node)
{
	return s->dc_names[s->nodes[node].dc];
}

bool
sim_running(const struct sim *s, unsigned node)
{
	return s->nodes[node].core != NULL && !s->nodes[node].frozen;
}

bool
sim_stopped(const struct sim *s, unsigned node)
{
	return s->nodes[node].stopped;
}

const struct sim_totals *
sim_totals(const struct sim *s)
{
	return &s->totals;
}

void
sim_on_answer(struct sim *s,
    void (*fn)(struct sim *, struct sim_request *, void *), void *arg)
{
	s->on_answer = fn;
	s->on_answer_arg = arg;
}

void
sim_on_effect(struct sim *s,
    void (*fn)(struct sim *, unsigned node, const struct effect *, void *),
    void *arg)
{
	s->on_effect = fn;
	s->on_effect_arg = arg;
}
