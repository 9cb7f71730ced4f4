/* VMs and daemons on record (RECORD_VM). */
#include <stdlib.h>
#include <string.h>

#include <err.h>

#include "fold_state.h"

/* A decoded entry of a RECORD_VM. */
struct vm_entry {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	uint64_t epoch; /* of the VM, as the author saw it */
	uint64_t state; /* enum vm_report */
	uint64_t role;
	char data_centre[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	char pool[NAME_BYTES];
	char addr[ADDR_BYTES];
	int64_t port, cores, memory_mb, accelerators;
};

struct vm *
fold_vm_find(const struct fold *f, const char *name)
{
	struct vm *v;

	HASH_FIND_STR(f->vms, name, v);
	return v;
}

static bool
vm_entry_decode(struct vm_entry *e, const msgpack_object *o)
{
	memset(e, 0, sizeof(*e));
	if (o->type != MSGPACK_OBJECT_MAP ||
	    !wire_get_str(o, "vm", e->vm, sizeof(e->vm)) || e->vm[0] == '\0' ||
	    !wire_get_u64(o, "inc", &e->incarnation) ||
	    !wire_get_u64(o, "st", &e->state))
		return false;
	wire_get_u64(o, "ep", &e->epoch);
	wire_get_u64(o, "role", &e->role);
	wire_get_str(o, "dc", e->data_centre, sizeof(e->data_centre));
	wire_get_str(o, "fd", e->failure_domain, sizeof(e->failure_domain));
	wire_get_str(o, "pool", e->pool, sizeof(e->pool));
	wire_get_str(o, "addr", e->addr, sizeof(e->addr));
	wire_get_i64(o, "port", &e->port);
	wire_get_i64(o, "c", &e->cores);
	wire_get_i64(o, "m", &e->memory_mb);
	wire_get_i64(o, "a", &e->accelerators);
	return true;
}

static void
vm_set_attributes(struct vm *v, const struct vm_entry *e)
{
	memcpy(v->data_centre, e->data_centre, sizeof(v->data_centre));
	memcpy(v->failure_domain, e->failure_domain, sizeof(v->failure_domain));
	memcpy(v->addr, e->addr, sizeof(v->addr));
	v->port = (int)e->port;
	v->cores = e->cores;
	v->memory_mb = e->memory_mb;
	v->accelerators = e->accelerators;
}

static bool
fold_vm_add(struct fold *f, const struct vm_entry *e, uint64_t offset)
{
	struct vm *v;

	if (e->state != VM_REPORT_LIVE || e->data_centre[0] == '\0')
		return false;
	v = calloc(1, sizeof(*v));
	if (v == NULL)
		err(1, "fold");
	memcpy(v->name, e->vm, sizeof(v->name));
	memcpy(v->pool, e->pool, sizeof(v->pool));
	v->role = e->role == VM_ENTRY ? VM_ENTRY : VM_WORKER;
	v->incarnation = e->incarnation;
	vm_set_attributes(v, e);
	v->config_leaving = fold_config_lists_leaving(f, v->name);
	HASH_ADD_STR(f->vms, name, v);
	fold_vm_change_end(f, v, offset);
	return true;
}

/* Puts the tasks of the VM's current, gone incarnation back in the queue. */
static void
fold_vm_requeue_tasks(struct fold *f, const struct vm *v, uint64_t offset)
{
	struct fold_tasks_view view;

	fold_tasks_view_init(&view, f);
	fold_tasks_vm_lost(f->tasks, v->name, v->incarnation, offset, &view);
}

bool
vm_had_incarnation(const struct vm *v, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < VM_FORMER_INCARNATIONS_MAX; i++)
		if (v->former_incarnations[i] != 0 &&
		    v->former_incarnations[i] == incarnation)
			return true;
	return false;
}

/*
 * Applies a new incarnation of a VM.  The VM stays in its recorded pool; the
 * pool in the report is ignored.
 */
static bool
fold_vm_replace(
    struct fold *f, struct vm *v, const struct vm_entry *e, uint64_t offset)
{
	if (e->state != VM_REPORT_LIVE || vm_had_incarnation(v, e->incarnation))
		return false;
	fold_vm_requeue_tasks(f, v, offset);
	fold_vm_change_begin(f, v);
	if (v->withdrawal_id != 0 && v->wave_id != 0 &&
	    v->target_pool[0] == '\0')
		fold_wave_vm_returned(f, v);
	memmove(v->former_incarnations + 1, v->former_incarnations,
	    sizeof(v->former_incarnations) - sizeof(v->former_incarnations[0]));
	v->former_incarnations[0] = v->incarnation;
	v->incarnation = e->incarnation;
	v->state = VM_SERVING;
	v->unlisted = false;
	v->withdrawal_id = 0;
	v->withdrawal_end_offset = 0;
	v->target_pool[0] = '\0';
	vm_set_attributes(v, e);
	fold_vm_change_end(f, v, offset);
	return true;
}

/* A VM of a maintenance wave that is lost counts as a failure of the wave. */
static void
fold_vm_mark_lost(struct fold *f, struct vm *v, bool absent)
{
	bool in_wave = v->wave_id != 0 && v->target_pool[0] == '\0';

	if (in_wave)
		fold_wave_vm_failed(f, v, v->withdrawal_id != 0);
	v->state = VM_LOST;
	v->lost_ms = fold_timestamp_ms(f);
	v->unlisted = absent;
	v->withdrawal_id = 0;
	v->target_pool[0] = '\0';
}

/*
 * An incarnation goes only from serving to leaving to lost, except that an
 * unlisted VM may be listed again.
 */
static bool
vm_transition_allowed(const struct vm *v, enum vm_report report)
{
	switch (report) {
	case VM_REPORT_LIVE:
		/*
		 * The budgets depend on the failure domain of a withdrawn VM,
		 * so it must not change.
		 */
		return v->withdrawal_id == 0 &&
		    (v->state != VM_LOST || v->unlisted);
	case VM_REPORT_LEAVING:
		return v->state == VM_SERVING;
	case VM_REPORT_GONE:
	case VM_REPORT_UNLISTED:
		return v->state != VM_LOST;
	case VM_REPORT_EXPIRED:
		break;
	}
	return false;
}

bool
fold_vm_is_expired(const struct fold *f, const struct vm *v)
{
	return v->state == VM_LOST &&
	    f->log_ms - v->lost_ms >= VM_LOST_RETENTION_MS;
}

/* Removes an expired VM, so that it no longer counts in its pool's size. */
static bool
fold_vm_remove_expired(struct fold *f, struct vm *v)
{
	if (!fold_vm_is_expired(f, v))
		return false;
	fold_vm_change_begin(f, v);
	HASH_DEL(f->vms, v);
	free(v);
	f->revision++;
	return true;
}

static bool
fold_vm_apply_report(
    struct fold *f, struct vm *v, const struct vm_entry *e, uint64_t offset)
{
	enum vm_report report = (enum vm_report)e->state;

	if (!vm_transition_allowed(v, report))
		return false;
	fold_vm_change_begin(f, v);
	switch (report) {
	case VM_REPORT_LIVE:
		if (v->state == VM_LOST)
			v->state = VM_SERVING;
		v->unlisted = false;
		vm_set_attributes(v, e);
		break;
	case VM_REPORT_LEAVING:
		v->state = VM_LEAVING;
		break;
	case VM_REPORT_GONE:
	case VM_REPORT_UNLISTED:
		fold_vm_mark_lost(f, v, report == VM_REPORT_UNLISTED);
		break;
	case VM_REPORT_EXPIRED:
		break;
	}
	/* An unlisted VM may still run its tasks, so these must be fenced. */
	if (report == VM_REPORT_GONE)
		fold_vm_requeue_tasks(f, v, offset);
	fold_vm_change_end(f, v, offset);
	return true;
}

static bool
fold_vm_entry(struct fold *f, const struct vm_entry *e, uint64_t offset)
{
	struct vm *v = fold_vm_find(f, e->vm);

	if (v == NULL)
		return fold_vm_add(f, e, offset);
	if (e->epoch != v->epoch)
		return false;
	if (e->state == VM_REPORT_EXPIRED)
		return fold_vm_remove_expired(f, v);
	if (e->incarnation != v->incarnation)
		return fold_vm_replace(f, v, e, offset);
	return fold_vm_apply_report(f, v, e, offset);
}

static bool
fold_daemon_register(struct fold *f, const msgpack_object *o, uint64_t process,
    uint64_t incarnation, uint64_t offset)
{
	struct fold_daemon *d;

	HASH_FIND(hh, f->daemons, &process, sizeof(process), d);
	if (d == NULL) {
		d = calloc(1, sizeof(*d));
		if (d == NULL)
			err(1, "fold");
		d->process = process;
		HASH_ADD(hh, f->daemons, process, sizeof(d->process), d);
	}
	d->incarnation = incarnation;
	d->registered_offset = offset;
	wire_get_str(o, "name", d->name, sizeof(d->name));
	wire_get_str(o, "dc", d->data_centre, sizeof(d->data_centre));
	return true;
}

/* {"p","inc","name","dc","st"}: registers or removes a daemon. */
static bool
fold_daemon_entry(struct fold *f, const msgpack_object *o, uint64_t offset)
{
	struct fold_daemon *d;
	uint64_t process, incarnation, state;

	if (!wire_get_u64(o, "p", &process) ||
	    !wire_get_u64(o, "inc", &incarnation) ||
	    !wire_get_u64(o, "st", &state))
		return false;
	if (state == VM_REPORT_LIVE)
		return fold_daemon_register(f, o, process, incarnation, offset);
	HASH_FIND(hh, f->daemons, &process, sizeof(process), d);
	if (d == NULL || d->incarnation != incarnation)
		return false;
	HASH_DEL(f->daemons, d);
	free(d);
	return true;
}

/*
 * Applies {"vms": [entry, ...], "ds": [daemon, ...]}; each entry is admitted or
 * rejected independently.
 */
bool
fold_vms_apply(struct fold *f, const struct fold_input *in)
{
	const msgpack_object_array *list;
	struct vm_entry e;
	bool changed = false;
	uint32_t i;

	if (wire_get_array(in->body, "vms", &list))
		for (i = 0; i < list->size; i++)
			if (vm_entry_decode(&e, &list->ptr[i]))
				changed |=
				    fold_vm_entry(f, &e, in->record->offset);
	if (wire_get_array(in->body, "ds", &list))
		for (i = 0; i < list->size; i++)
			changed |= fold_daemon_entry(
			    f, &list->ptr[i], in->record->offset);
	return changed;
}
