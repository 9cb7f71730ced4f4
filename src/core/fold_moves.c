/*
 * Withdrawals and moves between pools.  Moves and maintenance share the steps
 * of a withdrawal: the VM is taken out of service, all registered daemons of
 * its data centre acknowledge, and the VM returns to service.
 */
#include <string.h>

#include "fold_state.h"

/* A withdrawal id is the record's offset times this, plus the entry's index. */
#define WITHDRAWAL_IDS_PER_RECORD 1024
#define WITHDRAWAL_KEYS_PER_ID 4 /* platform ops of a withdrawal */

uint64_t
withdrawal_key(uint64_t withdrawal_id, enum platform_op op)
{
	return withdrawal_id * WITHDRAWAL_KEYS_PER_ID + (uint64_t)op;
}

uint64_t
withdrawal_first_id(uint64_t offset)
{
	return offset * WITHDRAWAL_IDS_PER_RECORD;
}

bool
fold_author_may_propose(
    const struct fold *f, const struct record *r, const char *data_centre)
{
	const struct fold_daemon *d = fold_daemon(f, r->id.process);

	return d != NULL && d->incarnation == r->id.incarnation &&
	    strcmp(d->data_centre, data_centre) == 0;
}

void
fold_withdraw(struct fold *f, struct vm *v, const struct fold_input *in,
    uint32_t index, const char *target_pool)
{
	fold_vm_change_begin(f, v);
	v->state = VM_LEAVING;
	v->withdrawal_id =
	    in->record->offset * WITHDRAWAL_IDS_PER_RECORD + index;
	memcpy(v->target_pool, target_pool, strlen(target_pool) + 1);
	fold_vm_change_end(f, v, in->record->offset);
}

void
fold_withdrawal_end(
    struct fold *f, struct vm *v, enum vm_state state, uint64_t offset)
{
	fold_vm_change_begin(f, v);
	if (state == VM_SERVING && v->target_pool[0] != '\0')
		memcpy(v->pool, v->target_pool, sizeof(v->pool));
	v->state = state;
	if (state == VM_LOST)
		v->lost_ms = fold_timestamp_ms(f);
	v->target_pool[0] = '\0';
	v->withdrawal_id = 0;
	v->withdrawal_end_offset = offset;
	fold_vm_change_end(f, v, offset);
}

struct vm *
fold_find_withdrawn_vm(const struct fold *f, const msgpack_object *o)
{
	char name[NAME_BYTES];
	struct vm *v;
	uint64_t key;

	if (!wire_get_str(o, "vm", name, sizeof(name)) ||
	    !wire_get_u64(o, "key", &key) || key == 0)
		return NULL;
	v = fold_vm_find(f, name);
	return v != NULL && v->withdrawal_id == key ? v : NULL;
}

/* "by" is an array: process, incarnation, process, incarnation, ... */
static bool
acked_by(const msgpack_object_array *by, const struct fold_daemon *d)
{
	uint32_t i;

	for (i = 0; i + 1 < by->size; i += 2)
		if (by->ptr[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    by->ptr[i + 1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    by->ptr[i].via.u64 == d->process &&
		    by->ptr[i + 1].via.u64 == d->incarnation)
			return true;
	return false;
}

bool
fold_apply_withdrawal_ack(
    struct fold *f, const struct fold_input *in, const msgpack_object *o)
{
	struct vm *v = fold_find_withdrawn_vm(f, o);
	const msgpack_object_array *by;
	const struct fold_daemon *d;

	if (v == NULL || v->state != VM_LEAVING ||
	    !wire_get_array(in->body, "by", &by))
		return false;
	for (d = f->daemons; d != NULL; d = d->hh.next)
		if (strcmp(d->data_centre, v->data_centre) == 0 &&
		    !acked_by(by, d))
			return false;
	fold_vm_change_begin(f, v);
	v->state = VM_OUT;
	fold_vm_change_end(f, v, in->record->offset);
	return true;
}

/* {"op": WITHDRAWAL_LEAVE, "vm", "ep", "to"}: starts a move to pool "to". */
static bool
fold_move_leave(struct fold *f, const struct fold_input *in,
    const msgpack_object *o, uint32_t index)
{
	char name[NAME_BYTES], to[NAME_BYTES], reason[ERR_MESSAGE_BYTES];
	uint64_t epoch;
	struct vm *v;

	if (!wire_get_str(o, "vm", name, sizeof(name)) ||
	    !wire_get_str(o, "to", to, sizeof(to)) ||
	    !wire_get_u64(o, "ep", &epoch))
		return false;
	v = fold_vm_find(f, name);
	if (v == NULL || v->epoch != epoch || v->state != VM_SERVING ||
	    strcmp(v->pool, to) == 0 || f->text == NULL ||
	    text_pool(f->text, to) == NULL ||
	    !fold_author_may_propose(f, in->record, v->data_centre) ||
	    !fold_budget_allows(f, v, reason, sizeof(reason)))
		return false;
	fold_withdraw(f, v, in, index, to);
	return true;
}

static bool
fold_move_ended(
    struct fold *f, const struct fold_input *in, const msgpack_object *o)
{
	struct vm *v = fold_find_withdrawn_vm(f, o);

	if (v == NULL || v->state != VM_OUT || v->target_pool[0] == '\0')
		return false;
	fold_withdrawal_end(f, v, VM_SERVING, in->record->offset);
	return true;
}

/*
 * A move can be cancelled only before it is acknowledged; after that, the
 * platform may already have moved the VM.
 */
static bool
fold_move_cancelled(
    struct fold *f, const struct fold_input *in, const msgpack_object *o)
{
	struct vm *v = fold_find_withdrawn_vm(f, o);

	if (v == NULL || v->state != VM_LEAVING || v->target_pool[0] == '\0')
		return false;
	fold_vm_change_begin(f, v);
	v->state = VM_SERVING;
	v->target_pool[0] = '\0';
	v->withdrawal_id = 0;
	fold_vm_change_end(f, v, in->record->offset);
	return true;
}

static bool
fold_move_entry(struct fold *f, const struct fold_input *in,
    const msgpack_object *o, uint32_t index)
{
	uint64_t op;

	if (!wire_get_u64(o, "op", &op))
		return false;
	switch ((enum withdrawal_op)op) {
	case WITHDRAWAL_LEAVE:
		return fold_move_leave(f, in, o, index);
	case WITHDRAWAL_ACKED:
		return fold_apply_withdrawal_ack(f, in, o);
	case WITHDRAWAL_ENDED:
		return fold_move_ended(f, in, o);
	case WITHDRAWAL_CANCELLED:
		return fold_move_cancelled(f, in, o);
	case WITHDRAWAL_FAILED:
		break;
	}
	return false;
}

/*
 * Applies {"es": [entry, ...], "by": acknowledgements}; each entry is admitted
 * or rejected independently.
 */
bool
fold_entries_apply(struct fold *f, const struct fold_input *in,
    bool (*entry)(struct fold *, const struct fold_input *,
	const msgpack_object *, uint32_t))
{
	const msgpack_object_array *list;
	bool changed = false;
	uint32_t i;

	if (!wire_get_array(in->body, "es", &list))
		return false;
	for (i = 0; i < list->size && i < WITHDRAWAL_IDS_PER_RECORD; i++)
		changed |= entry(f, in, &list->ptr[i], i);
	return changed;
}

bool
fold_moves_apply(struct fold *f, const struct fold_input *in)
{
	return fold_entries_apply(f, in, fold_move_entry);
}
