/* Membership: silence, what others hear, duties. */
#include <criterion/criterion.h>

#include "fold.h"
#include "peers.h"
#include "wire.h"

struct fixture {
	struct peers *p;
	struct fold *f;
	struct effects fx;
	struct view v;
};

static void
step(struct fixture *t, const struct event *ev)
{
	effects_clear(&t->fx);
	peers_step(t->p, &t->v, ev, &t->fx);
}

static void
up(struct fixture *t, uint64_t id)
{
	struct event ev = {.kind = EVENT_PEER_UP};

	ev.u.peer_up.peer = id;
	ev.u.peer_up.incarnation = 1;
	strcpy(ev.u.peer_up.data_centre, "dc1");
	step(t, &ev);
}

static void
begin(struct fixture *t, uint64_t peers)
{
	uint64_t id;

	memset(t, 0, sizeof(*t));
	t->p = peers_new();
	t->f = fold_new();
	effects_init(&t->fx);
	t->v.self = 100;
	t->v.data_centre = "dc1";
	t->v.fold = t->f;
	t->v.ready = true;
	t->v.now_us = 1000 * US_PER_S;
	for (id = 1; id <= peers; id++)
		up(t, id);
}

static void
end(struct fixture *t)
{
	effects_uninit(&t->fx);
	peers_free(t->p);
	fold_free(t->f);
}

/* A PONG in which the sender says that it hears "heard", and is fit or not. */
static void
pong(struct fixture *t, uint64_t from, uint64_t heard, bool unfit)
{
	struct frame f = {.kind = FRAME_PONG, .source = from, .incarnation = 1};
	struct event ev = {.kind = EVENT_PEER_FRAME};
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_bool(&w, "un", unfit);
	wire_array(&w, "h", 1);
	msgpack_pack_uint64(&w.pk, heard);
	f.payload = wire_writer_finish(&w);
	ev.u.peer_frame.frame = &f;
	step(t, &ev);
	buf_unref(f.payload);
}

/* Peer 1 speaks each second and hears "heard"; peer 2 is silent. */
static void
silence(struct fixture *t, int seconds, uint64_t heard)
{
	struct event ev = {.kind = EVENT_TICK};

	for (; seconds > 0; seconds--) {
		t->v.now_us += US_PER_S;
		pong(t, 1, heard, false);
		step(t, &ev);
	}
}

Test(peers, silent_to_us_but_heard_by_another_is_only_suspect)
{
	struct fixture t;

	begin(&t, 2);
	silence(&t, 30, 2);
	cr_assert_eq(peers_get(t.p, 2)->state, PEER_SUSPECT);
	cr_assert_eq(peers_get(t.p, 1)->state, PEER_ALIVE);
	silence(&t, 12, 1);
	cr_assert_eq(peers_get(t.p, 2)->state, PEER_DEAD);
	end(&t);
}

Test(peers, frozen_and_back_is_alive)
{
	struct fixture t;

	begin(&t, 2);
	silence(&t, 20, 1);
	cr_assert_eq(peers_get(t.p, 2)->state, PEER_DEAD);
	pong(&t, 2, 1, false);
	cr_assert_eq(peers_get(t.p, 2)->state, PEER_ALIVE);
	end(&t);
}

Test(peers, frames_and_ends_of_an_earlier_life_are_passed_over)
{
	struct event ev = {.kind = EVENT_PEER_UP};
	struct fixture t;

	begin(&t, 2);
	ev.u.peer_up.peer = 2;
	ev.u.peer_up.incarnation = 9;
	strcpy(ev.u.peer_up.data_centre, "dc1");
	step(&t, &ev);
	ev.kind = EVENT_PEER_DOWN;
	ev.u.peer_down.peer = 2;
	ev.u.peer_down.incarnation = 1;
	step(&t, &ev);
	cr_assert(peers_get(t.p, 2)->linked);
	t.v.now_us += 10 * US_PER_S;
	pong(&t, 2, 1, false); /* of incarnation 1 */
	cr_assert_lt(peers_get(t.p, 2)->last_frame_us, t.v.now_us);
	end(&t);
}

/* An answer names only those of the asked that are heard. */
Test(peers, answers_are_about_who_was_asked)
{
	struct frame f = {.kind = FRAME_PING, .source = 1, .incarnation = 1};
	struct event ev = {.kind = EVENT_PEER_FRAME};
	const msgpack_object_array *heard;
	struct wire_reader rd;
	struct wire_writer w;
	struct fixture t;

	begin(&t, 4);
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_bool(&w, "an", true);
	wire_array(&w, "q", 2);
	msgpack_pack_uint64(&w.pk, 3);
	msgpack_pack_uint64(&w.pk, 77);
	f.payload = wire_writer_finish(&w);
	ev.u.peer_frame.frame = &f;
	step(&t, &ev);
	cr_assert_eq(t.fx.count, 1);
	cr_assert_eq(t.fx.list[0].u.peer_send.kind, FRAME_PONG);
	cr_assert_eq(
	    wire_reader_init(&rd, t.fx.list[0].u.peer_send.payload->data,
		t.fx.list[0].u.peer_send.payload->len, NULL),
	    0);
	cr_assert(wire_get_array(rd.root, "h", &heard));
	cr_assert_eq(heard->size, 1);
	cr_assert_eq(heard->ptr[0].via.u64, 3);
	wire_reader_uninit(&rd);
	buf_unref(f.payload);
	end(&t);
}

/* One holder among the fit; with all others unfit it is ours. */
Test(peers, duties_pass_over_who_cannot_read_the_log)
{
	struct fixture t;
	char key[16];
	int i, ours = 0;

	begin(&t, 3);
	for (i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		ours += peers_is_responsible(t.p, &t.v, key);
	}
	cr_assert(ours > 5 && ours < 60, "%d of 100", ours);
	for (i = 1; i <= 3; i++)
		pong(&t, (uint64_t)i, 1, true);
	cr_assert(peers_is_responsible(t.p, &t.v, "k1") &&
	    peers_is_responsible(t.p, &t.v, "k2"));
	t.v.log_down = true;
	cr_assert_not(peers_is_responsible(t.p, &t.v, "k1"));
	end(&t);
}
