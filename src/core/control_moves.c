/*
 * Acknowledgements.  When a VM is on record as leaving, each daemon of its
 * data centre tells its peers once it has nothing there and sends nothing
 * more.  The daemon with the duty records that everybody has.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define ACKS_EVERY_US (200 * US_PER_MS) /* repeated until recorded */

void
entries_init(struct entries *e)
{
	wire_writer_init(&e->w);
	e->count = 0;
}

void
entries_add(
    struct entries *e, uint32_t keys, enum withdrawal_op op, const char *vm)
{
	wire_map(&e->w, keys);
	wire_u64(&e->w, "op", op);
	wire_str(&e->w, "vm", vm);
	e->count++;
}

struct buf *
entries_take(struct entries *e, const struct daemon_life *by, unsigned by_count)
{
	struct wire_writer w;
	unsigned i;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_array(&w, "by", by_count * 2);
	for (i = 0; i < by_count; i++) {
		msgpack_pack_uint64(&w.pk, by[i].process);
		msgpack_pack_uint64(&w.pk, by[i].incarnation);
	}
	wire_array(&w, "es", e->count);
	msgpack_sbuffer_write(&w.sbuf, e->w.sbuf.data, e->w.sbuf.size);
	msgpack_sbuffer_destroy(&e->w.sbuf);
	return wire_writer_take(&w);
}

void
control_acks_free(struct control *c)
{
	struct ack_set *a, *at;
	struct sponsored *s, *st;

	HASH_ITER(hh, c->acks, a, at)
	{
		HASH_DEL(c->acks, a);
		free(a);
	}
	HASH_ITER(hh, c->sponsored, s, st)
	{
		HASH_DEL(c->sponsored, s);
		free(s);
	}
}

static bool
ack_has(const struct ack_set *a, uint64_t process, uint64_t incarnation)
{
	unsigned i;

	for (i = 0; a != NULL && i < a->count; i++)
		if (a->by[i].process == process &&
		    a->by[i].incarnation == incarnation)
			return true;
	return false;
}

static struct ack_set *
ack_find(const struct control *c, uint64_t withdrawal)
{
	struct ack_set *a;

	HASH_FIND(hh, c->acks, &withdrawal, sizeof(withdrawal), a);
	return a;
}

static void
ack_add(struct control *c, uint64_t withdrawal, uint64_t process,
    uint64_t incarnation)
{
	struct ack_set *a = ack_find(c, withdrawal);

	if (ack_has(a, process, incarnation))
		return;
	if (a == NULL) {
		a = calloc(1, sizeof(*a));
		if (a == NULL)
			err(1, "control");
		a->withdrawal = withdrawal;
		HASH_ADD(hh, c->acks, withdrawal, sizeof(a->withdrawal), a);
	}
	if (a->count == ACK_DAEMONS)
		return;
	a->by[a->count].process = process;
	a->by[a->count].incarnation = incarnation;
	a->count++;
}

/* Withdrawals that wait for acknowledgements, in this data centre. */
static bool
vm_wants_acks(const struct vm *r, const struct view *v)
{
	return r->withdrawal != 0 && r->state == VM_LEAVING &&
	    strcmp(r->data_centre, v->data_centre) == 0;
}

/* A newcomer that has our state must have acknowledged before we do. */
static bool
sponsored_acked(const struct control *c, uint64_t withdrawal)
{
	const struct ack_set *a = ack_find(c, withdrawal);
	const struct sponsored *s;

	for (s = c->sponsored; s != NULL; s = s->hh.next)
		if (!ack_has(a, s->life.process, s->life.incarnation))
			return false;
	return true;
}

static bool
ack_due(const struct control *c, const struct view *v, const struct vm *r)
{
	return vm_wants_acks(r, v) &&
	    path_slots_in_use(v->path, r->name, r->incarnation) == 0 &&
	    sponsored_acked(c, r->withdrawal);
}

/*
 * Without the log we still hear of a withdrawal from peers, and send nothing
 * there until our fold has caught up.
 */
static bool
ack_due_heard(
    const struct control *c, const struct view *v, const struct leaving_vm *l)
{
	const struct vm *r = fold_vm(v->fold, l->vm);

	if (l->withdrawal == 0 || l->until_epoch == 0 ||
	    !sponsored_acked(c, l->withdrawal))
		return false;
	return path_slots_in_use(v->path, l->vm, l->incarnation) == 0 &&
	    (r == NULL ||
		path_slots_in_use(v->path, l->vm, r->incarnation) == 0);
}

/* Withdrawals that we can acknowledge now. */
static uint32_t
acks_collect(const struct control *c, const struct view *v, uint64_t *list)
{
	const struct leaving_vm *l;
	const struct vm *r;
	uint32_t n = 0;

	for (l = c->leaving; l != NULL && n < CONTROL_BATCH; l = l->hh.next)
		if (ack_due_heard(c, v, l))
			list[n++] = l->withdrawal;
	LIST_FOREACH(r, fold_idle_vms(v->fold), idle)
		if (n < CONTROL_BATCH && ack_due(c, v, r))
			list[n++] = r->withdrawal;
	return n;
}

/* Our own acknowledgements, to every daemon of the data centre. */
static void
acks_send(struct control *c, const struct view *v, struct effects *fx)
{
	uint64_t list[CONTROL_BATCH];
	uint32_t i, n = acks_collect(c, v, list);
	const struct peer *p;
	struct wire_writer w;
	struct buf *payload;

	if (n == 0)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "as", n);
	for (i = 0; i < n; i++) {
		msgpack_pack_uint64(&w.pk, list[i]);
		ack_add(c, list[i], v->self, v->incarnation);
	}
	payload = wire_writer_take(&w);
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (p->linked && strcmp(p->data_centre, v->data_centre) == 0)
			effects_send(
			    fx, p->id, FRAME_LEAVING_ACK, 0, buf_ref(payload));
	buf_unref(payload);
}

void
control_acks_frame(
    struct control *c, const struct view *v, const struct frame *f)
{
	const msgpack_object_array *list;
	struct wire_reader rd;
	uint32_t i;

	(void)v;
	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (wire_get_array(rd.root, "as", &list))
		for (i = 0; i < list->size && i < CONTROL_BATCH; i++)
			if (list->ptr[i].type ==
			    MSGPACK_OBJECT_POSITIVE_INTEGER)
				ack_add(c, list->ptr[i].via.u64, f->source,
				    f->incarnation);
	wire_reader_uninit(&rd);
}

bool
control_acked(const struct control *c, const struct view *v, const struct vm *r)
{
	const struct ack_set *a = ack_find(c, r->withdrawal);
	const struct fold_daemon *d;
	const struct peer *p;

	if (a == NULL || !vm_wants_acks(r, v))
		return false;
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next)
		if (strcmp(d->data_centre, v->data_centre) == 0 &&
		    !ack_has(a, d->process, d->incarnation))
			return false;
	/* Also those that are not on record yet, as far as we see them. */
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (p->linked && p->state != PEER_LEFT &&
		    strcmp(p->data_centre, v->data_centre) == 0 &&
		    !ack_has(a, p->id, p->incarnation))
			return false;
	return true;
}

static unsigned
lives_on_record(const struct view *v, struct daemon_life *by)
{
	const struct fold_daemon *d;
	unsigned n = 0;

	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (strcmp(d->data_centre, v->data_centre) != 0 ||
		    n == ACK_DAEMONS)
			continue;
		by[n].process = d->process;
		by[n].incarnation = d->incarnation;
		n++;
	}
	return n;
}

/* Records who has acknowledged; moves and maintenance alike. */
static void
acks_record(struct control *c, const struct view *v)
{
	struct daemon_life by[ACK_DAEMONS];
	const struct vm *r;
	struct entries e;
	unsigned n;

	entries_init(&e);
	LIST_FOREACH(r, fold_idle_vms(v->fold), idle) {
		if (e.count == CONTROL_BATCH || !control_acked(c, v, r))
			continue;
		entries_add(&e, 3, WITHDRAWAL_ACKED, r->name);
		wire_u64(&e.w, "key", r->withdrawal);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.w.sbuf);
		return;
	}
	n = lives_on_record(v, by);
	control_propose(c, v, RECORD_MOVE, entries_take(&e, by, n));
}

/* It said itself that it stops, so it sends nothing any more. */
static bool
peer_has_left(const struct view *v, const struct daemon_life *life)
{
	const struct peer *p = peers_get(v->peers, life->process);

	return p != NULL && p->incarnation == life->incarnation &&
	    p->state == PEER_LEFT;
}

/* Forgets what the fold has settled, and newcomers that are on record. */
static void
acks_prune(struct control *c, const struct view *v)
{
	const struct fold_daemon *d;
	struct sponsored *s, *st;
	struct ack_set *a, *at;
	const struct vm *r;
	bool wanted;

	HASH_ITER(hh, c->sponsored, s, st)
	{
		d = fold_daemon(v->fold, s->life.process);
		if ((d == NULL || d->joined < s->since) &&
		    !peer_has_left(v, &s->life))
			continue;
		HASH_DEL(c->sponsored, s);
		free(s);
	}
	HASH_ITER(hh, c->acks, a, at)
	{
		wanted = a->withdrawal >= withdrawal_first(fold_next(v->fold));
		LIST_FOREACH(r, fold_idle_vms(v->fold), idle)
			wanted |= r->withdrawal == a->withdrawal;
		if (wanted)
			continue;
		HASH_DEL(c->acks, a);
		free(a);
	}
}

bool
control_propose_moves(struct control *c, const struct view *v,
    const struct move *moves, size_t count)
{
	const struct vm *r;
	struct entries e;
	size_t i;

	if (!control_may_act(c, v) || !control_settled(v))
		return false;
	entries_init(&e);
	for (i = 0; i < count && e.count < CONTROL_BATCH; i++) {
		r = fold_vm(v->fold, moves[i].vm);
		if (r == NULL || strcmp(r->data_centre, v->data_centre) != 0)
			continue;
		entries_add(&e, 4, WITHDRAWAL_LEAVE, r->name);
		wire_str(&e.w, "to", moves[i].to);
		wire_u64(&e.w, "ep", r->epoch);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.w.sbuf);
		return false;
	}
	return control_propose(c, v, RECORD_MOVE, entries_take(&e, NULL, 0));
}

void
control_acks_tick(struct control *c, const struct view *v, struct effects *fx)
{
	if (v->now_us - c->acked_us < ACKS_EVERY_US &&
	    c->acked_revision == fold_revision(v->fold))
		return;
	c->acked_us = v->now_us;
	c->acked_revision = fold_revision(v->fold);
	acks_prune(c, v);
	if (fold_withdrawn(v->fold) == 0 && c->leaving == NULL)
		return;
	acks_send(c, v, fx);
	if (control_may_act(c, v) && control_settled(v) &&
	    peers_is_responsible(v->peers, v, "moves"))
		acks_record(c, v);
}
