/*
 * Acknowledgements of withdrawals.  When a VM is on record as leaving, each
 * daemon of its data centre sends an acknowledgement to its peers once it has
 * no request in flight on the VM and sends no more.  The daemon responsible
 * for moves then proposes the record that every daemon has acknowledged.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define ACKS_INTERVAL_US                                    \
	(200 * US_PER_MS) /* acks are resent until recorded \
			   */

void
entries_init(struct withdrawal_entries *e)
{
	wire_writer_init(&e->writer);
	e->count = 0;
}

void
entries_add(struct withdrawal_entries *e, uint32_t keys, enum withdrawal_op op,
    const char *vm)
{
	wire_map(&e->writer, keys);
	wire_u64(&e->writer, "op", op);
	wire_str(&e->writer, "vm", vm);
	e->count++;
}

struct buf *
entries_finish(struct withdrawal_entries *e, const struct daemon_instance *by,
    unsigned by_count)
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
	msgpack_sbuffer_write(
	    &w.buffer, e->writer.buffer.data, e->writer.buffer.size);
	msgpack_sbuffer_destroy(&e->writer.buffer);
	return wire_writer_finish(&w);
}

void
control_acks_free(struct control *c)
{
	struct ack_set *a, *at;
	struct joining_daemon *j, *jt;

	HASH_ITER(hh, c->ack_sets, a, at)
	{
		HASH_DEL(c->ack_sets, a);
		free(a);
	}
	HASH_ITER(hh, c->joining_daemons, j, jt)
	{
		HASH_DEL(c->joining_daemons, j);
		free(j);
	}
}

static bool
ack_set_has(const struct ack_set *a, uint64_t process, uint64_t incarnation)
{
	unsigned i;

	for (i = 0; a != NULL && i < a->daemon_count; i++)
		if (a->daemons[i].process == process &&
		    a->daemons[i].incarnation == incarnation)
			return true;
	return false;
}

static struct ack_set *
ack_set_find(const struct control *c, uint64_t withdrawal)
{
	struct ack_set *a;

	HASH_FIND(hh, c->ack_sets, &withdrawal, sizeof(withdrawal), a);
	return a;
}

static void
ack_set_add(struct control *c, uint64_t withdrawal, uint64_t process,
    uint64_t incarnation)
{
	struct ack_set *a = ack_set_find(c, withdrawal);

	if (ack_set_has(a, process, incarnation))
		return;
	if (a == NULL) {
		a = calloc(1, sizeof(*a));
		if (a == NULL)
			err(1, "control");
		a->withdrawal = withdrawal;
		HASH_ADD(hh, c->ack_sets, withdrawal, sizeof(a->withdrawal), a);
	}
	if (a->daemon_count == ACK_DAEMONS_MAX)
		return;
	a->daemons[a->daemon_count].process = process;
	a->daemons[a->daemon_count].incarnation = incarnation;
	a->daemon_count++;
}

/* True if a withdrawal of this data centre awaits acknowledgements. */
static bool
vm_needs_acks(const struct vm *r, const struct view *v)
{
	return r->withdrawal_id != 0 && r->state == VM_LEAVING &&
	    strcmp(r->data_centre, v->data_centre) == 0;
}

/*
 * True if every joining daemon that this daemon sent its state to has
 * acknowledged; this daemon acknowledges only after them.
 */
static bool
joining_daemons_acked(const struct control *c, uint64_t withdrawal)
{
	const struct ack_set *a = ack_set_find(c, withdrawal);
	const struct joining_daemon *j;

	for (j = c->joining_daemons; j != NULL; j = j->hh.next)
		if (!ack_set_has(
			a, j->instance.process, j->instance.incarnation))
			return false;
	return true;
}

static bool
ack_due(const struct control *c, const struct view *v, const struct vm *r)
{
	return vm_needs_acks(r, v) &&
	    path_slots_in_use(v->path, r->name, r->incarnation) == 0 &&
	    joining_daemons_acked(c, r->withdrawal_id);
}

/*
 * True if a withdrawal that only a peer has reported can be acknowledged, as
 * happens while the log cannot be read.  Nothing is sent to the VM until the
 * local fold has caught up, so it is enough that nothing is in flight.
 */
static bool
ack_due_reported(
    const struct control *c, const struct view *v, const struct leaving_vm *l)
{
	const struct vm *r = fold_vm(v->fold, l->vm);

	if (l->withdrawal == 0 || l->until_epoch == 0 ||
	    !joining_daemons_acked(c, l->withdrawal))
		return false;
	return path_slots_in_use(v->path, l->vm, l->incarnation) == 0 &&
	    (r == NULL ||
		path_slots_in_use(v->path, l->vm, r->incarnation) == 0);
}

/*
 * Fills "list" with up to CONTROL_BATCH_MAX withdrawals that this daemon can
 * acknowledge now; returns their number.
 */
static uint32_t
acks_collect(const struct control *c, const struct view *v, uint64_t *list)
{
	const struct leaving_vm *l;
	const struct vm *r;
	uint32_t n = 0;

	for (l = c->leaving_vms; l != NULL && n < CONTROL_BATCH_MAX;
	     l = l->hh.next)
		if (ack_due_reported(c, v, l))
			list[n++] = l->withdrawal;
	LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable)
		if (n < CONTROL_BATCH_MAX && ack_due(c, v, r))
			list[n++] = r->withdrawal_id;
	return n;
}

/* Sends our acknowledgements to the peers of this data centre. */
static void
acks_send(struct control *c, const struct view *v, struct effects *fx)
{
	uint64_t list[CONTROL_BATCH_MAX];
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
		ack_set_add(c, list[i], v->self, v->incarnation);
	}
	payload = wire_writer_finish(&w);
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (p->linked && strcmp(p->data_centre, v->data_centre) == 0)
			effects_send(
			    fx, p->id, FRAME_LEAVING_ACK, 0, buf_ref(payload));
	buf_unref(payload);
}

void
control_acks_handle_frame(
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
		for (i = 0; i < list->size && i < CONTROL_BATCH_MAX; i++)
			if (list->ptr[i].type ==
			    MSGPACK_OBJECT_POSITIVE_INTEGER)
				ack_set_add(c, list->ptr[i].via.u64, f->source,
				    f->incarnation);
	wire_reader_uninit(&rd);
}

bool
control_all_acked(
    const struct control *c, const struct view *v, const struct vm *r)
{
	const struct ack_set *a = ack_set_find(c, r->withdrawal_id);
	const struct fold_daemon *d;
	const struct peer *p;

	if (a == NULL || !vm_needs_acks(r, v))
		return false;
	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next)
		if (strcmp(d->data_centre, v->data_centre) == 0 &&
		    !ack_set_has(a, d->process, d->incarnation))
			return false;
	/* Daemons that are linked but not on record yet must ack too. */
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (p->linked && p->state != PEER_LEFT &&
		    strcmp(p->data_centre, v->data_centre) == 0 &&
		    !ack_set_has(a, p->id, p->incarnation))
			return false;
	return true;
}

static unsigned
registered_instances(const struct view *v, struct daemon_instance *by)
{
	const struct fold_daemon *d;
	unsigned n = 0;

	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (strcmp(d->data_centre, v->data_centre) != 0 ||
		    n == ACK_DAEMONS_MAX)
			continue;
		by[n].process = d->process;
		by[n].incarnation = d->incarnation;
		n++;
	}
	return n;
}

/* Proposes WITHDRAWAL_ACKED for moves and for maintenance. */
static void
acks_propose(struct control *c, const struct view *v)
{
	struct daemon_instance by[ACK_DAEMONS_MAX];
	const struct vm *r;
	struct withdrawal_entries e;
	unsigned n;

	entries_init(&e);
	LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable) {
		if (e.count == CONTROL_BATCH_MAX || !control_all_acked(c, v, r))
			continue;
		entries_add(&e, 3, WITHDRAWAL_ACKED, r->name);
		wire_u64(&e.writer, "key", r->withdrawal_id);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.writer.buffer);
		return;
	}
	n = registered_instances(v, by);
	control_propose(c, v, RECORD_MOVE, entries_finish(&e, by, n));
}

/* True if this instance announced its stop; it sends nothing more. */
static bool
peer_has_left(const struct view *v, const struct daemon_instance *life)
{
	const struct peer *p = peers_get(v->peers, life->process);

	return p != NULL && p->incarnation == life->incarnation &&
	    p->state == PEER_LEFT;
}

/*
 * Drops joining daemons that are on record or have stopped, and the
 * acknowledgements of withdrawals that are no longer in progress.
 */
static void
acks_prune(struct control *c, const struct view *v)
{
	const struct fold_daemon *d;
	struct joining_daemon *j, *jt;
	struct ack_set *a, *at;
	const struct vm *r;
	bool keep;

	HASH_ITER(hh, c->joining_daemons, j, jt)
	{
		d = fold_daemon(v->fold, j->instance.process);
		if ((d == NULL || d->registered_offset < j->state_offset) &&
		    !peer_has_left(v, &j->instance))
			continue;
		HASH_DEL(c->joining_daemons, j);
		free(j);
	}
	HASH_ITER(hh, c->ack_sets, a, at)
	{
		keep = a->withdrawal >= withdrawal_first_id(fold_next(v->fold));
		LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable)
			keep |= r->withdrawal_id == a->withdrawal;
		if (keep)
			continue;
		HASH_DEL(c->ack_sets, a);
		free(a);
	}
}

bool
control_propose_moves(struct control *c, const struct view *v,
    const struct move *moves, size_t count)
{
	const struct vm *r;
	struct withdrawal_entries e;
	size_t i;

	if (!control_may_act(c, v) || !control_appends_folded(v))
		return false;
	entries_init(&e);
	for (i = 0; i < count && e.count < CONTROL_BATCH_MAX; i++) {
		r = fold_vm(v->fold, moves[i].vm);
		if (r == NULL || strcmp(r->data_centre, v->data_centre) != 0)
			continue;
		entries_add(&e, 4, WITHDRAWAL_LEAVE, r->name);
		wire_str(&e.writer, "to", moves[i].to_pool);
		wire_u64(&e.writer, "ep", r->epoch);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.writer.buffer);
		return false;
	}
	return control_propose(c, v, RECORD_MOVE, entries_finish(&e, NULL, 0));
}

void
control_acks_tick(struct control *c, const struct view *v, struct effects *fx)
{
	if (v->now_us - c->last_ack_us < ACKS_INTERVAL_US &&
	    c->ack_checked_revision == fold_revision(v->fold))
		return;
	c->last_ack_us = v->now_us;
	c->ack_checked_revision = fold_revision(v->fold);
	acks_prune(c, v);
	if (fold_withdrawn_count(v->fold) == 0 && c->leaving_vms == NULL)
		return;
	acks_send(c, v, fx);
	if (control_may_act(c, v) && control_appends_folded(v) &&
	    peers_is_responsible(v->peers, v, "moves"))
		acks_propose(c, v);
}
