/* Admission of the entries of a RECORD_TASK, and their effects. */
#include "fold_tasks_state.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fold.h"
#include "wire.h"

/* An entry and the state that it applies to. */
struct entry_context {
	struct fold_tasks *ft;
	struct fold_tasks_view *view;
	const msgpack_object *map;
	uint64_t offset;
};

static void
set_state(const struct entry_context *e, struct task *t, enum task_state state)
{
	if (t->state != TASK_ENDED && state == TASK_ENDED)
		e->ft->live_count--;
	t->state = state;
	t->changed_offset = e->offset;
	t->changed_ms = e->view->log_ms;
}

static void
end_task(const struct entry_context *e, struct task *t, enum task_result result,
    const char *reason)
{
	struct fold_tasks_counters *c = &e->ft->counters;

	set_state(e, t, TASK_ENDED);
	t->result = result;
	snprintf(t->reason, sizeof(t->reason), "%s", reason);
	c->done += result == TASK_RESULT_DONE;
	c->failed += result == TASK_RESULT_FAILED;
	c->cancelled += result == TASK_RESULT_CANCELLED;
	c->refused += result == TASK_RESULT_REFUSED;
}

static struct task *
entry_task(const struct entry_context *e)
{
	const struct task *t;
	uint64_t id;

	if (!wire_get_u64(e->map, "task", &id))
		return NULL;
	t = fold_tasks_get(e->ft, id);
	return (struct task *)t;
}

/* Returns the task only if its VM holds it under the entry's epoch. */
static struct task *
entry_held_task(const struct entry_context *e)
{
	struct task *t = entry_task(e);
	uint64_t epoch;

	if (t == NULL ||
	    (t->state != TASK_RUNNING && t->state != TASK_STOPPING) ||
	    !wire_get_u64(e->map, "epoch", &epoch) || epoch != t->epoch)
		return NULL;
	return t;
}

static bool
entry_size(const struct entry_context *e, struct task_size *s)
{
	memset(s, 0, sizeof(*s));
	return wire_get_i64(e->map, "cores", &s->cores_milli) &&
	    wire_get_i64(e->map, "mem", &s->memory_mb) &&
	    wire_get_i64(e->map, "acc", &s->accelerators);
}

static bool
apply_submit(const struct entry_context *e)
{
	char member[NAME_BYTES] = {0}, name[NAME_BYTES] = {0};
	struct task_size size;
	const char *refusal;
	struct task *t;
	uint64_t yield = TASK_YIELD_CHECKPOINT, id;

	if (!wire_get_str(e->map, "member", member, sizeof(member)) ||
	    !wire_get_str(e->map, "name", name, sizeof(name)) ||
	    !entry_size(e, &size))
		return false;
	id = task_id(member, name);
	if (fold_tasks_get(e->ft, id) != NULL)
		return false;
	t = calloc(1, sizeof(*t));
	if (t == NULL)
		err(1, "cannot allocate a task");
	t->id = id;
	memcpy(t->member, member, sizeof(member));
	memcpy(t->name, name, sizeof(name));
	wire_get_bool(e->map, "urgent", &t->urgent);
	if (wire_get_u64(e->map, "yield", &yield) && yield <= TASK_YIELD_STOP)
		t->yield = (enum task_yield)yield;
	t->declared = t->size = size;
	t->submitted_offset = e->offset;
	HASH_ADD(hh, e->ft->tasks, id, sizeof(t->id), t);
	e->ft->live_count++;
	set_state(e, t, TASK_WAITING);
	refusal = fold_tasks_unrunnable_reason(e->view, member, &size);
	if (refusal == NULL && e->ft->live_count > TASKS_LIVE_MAX)
		refusal = "too many tasks wait already";
	if (refusal != NULL)
		end_task(e, t, TASK_RESULT_REFUSED, refusal);
	return true;
}

static bool
apply_place(const struct entry_context *e)
{
	struct task *t = entry_task(e);
	uint64_t epoch, incarnation;
	char name[NAME_BYTES] = {0};
	const struct vm *vm;
	struct task_vm *old;

	if (t == NULL || !wire_get_u64(e->map, "epoch", &epoch) ||
	    !wire_get_str(e->map, "vm", name, sizeof(name)) ||
	    !wire_get_u64(e->map, "inc", &incarnation) || epoch != t->epoch + 1)
		return false;
	HASH_FIND_STR(e->view->vms, name, vm);
	if (vm == NULL || vm->incarnation != incarnation ||
	    fold_tasks_placement_refusal(e->ft, e->view, t, vm) != NULL)
		return false;
	HASH_FIND_STR(e->ft->vms, name, old);
	if (old != NULL && old->incarnation != incarnation) {
		HASH_DEL(e->ft->vms, old);
		free(old);
	}
	t->epoch = epoch;
	memcpy(t->vm, name, sizeof(name));
	t->incarnation = incarnation;
	fold_tasks_account(e->ft, t, 1);
	set_state(e, t, TASK_RUNNING);
	return true;
}

static bool
apply_stop(const struct entry_context *e)
{
	struct task *t = entry_held_task(e);

	if (t == NULL || t->state != TASK_RUNNING)
		return false;
	set_state(e, t, TASK_STOPPING);
	return true;
}

/*
 * Removes the task from its VM, which was fenced with the next epoch or is
 * lost.
 */
static void
release_vm(const struct entry_context *e, struct task *t)
{
	fold_tasks_account(e->ft, t, -1);
	t->vm[0] = '\0';
	t->incarnation = 0;
	t->throttled = false;
	t->epoch++;
}

/*
 * Quarantines a VM after too many consecutive failed runs: it gets no more
 * tasks until its next incarnation.
 */
static void
record_run_outcome(
    const struct entry_context *e, const struct task *t, bool failed)
{
	int limit = e->view->text != NULL
	    ? e->view->text->tasks.quarantine_failures
	    : 1;
	struct task_vm *v;

	HASH_FIND_STR(e->ft->vms, t->vm, v);
	if (v == NULL)
		return;
	v->consecutive_failures = failed ? v->consecutive_failures + 1 : 0;
	if (v->consecutive_failures >= (unsigned)limit)
		v->quarantined = true;
}

static void
apply_end_failed(const struct entry_context *e, struct task *t)
{
	record_run_outcome(e, t, true);
	memcpy(t->failed_vm, t->vm, sizeof(t->vm));
	release_vm(e, t);
	t->consecutive_failures++;
	t->result = TASK_RESULT_FAILED;
	if (t->cancelled)
		end_task(e, t, TASK_RESULT_CANCELLED, "cancelled");
	else if (t->consecutive_failures >= TASK_ATTEMPTS_MAX)
		end_task(e, t, TASK_RESULT_FAILED, "it failed on several VMs");
	else
		set_state(e, t, TASK_WAITING);
}

static void
apply_end_interrupted(
    const struct entry_context *e, struct task *t, enum task_result result)
{
	release_vm(e, t);
	t->result = result;
	if (t->cancelled)
		end_task(e, t, TASK_RESULT_CANCELLED, "cancelled");
	else
		set_state(e, t, TASK_WAITING);
}

static bool
apply_end(const struct entry_context *e)
{
	struct task *t = entry_held_task(e);
	uint64_t result;

	if (t == NULL || !wire_get_u64(e->map, "result", &result))
		return false;
	switch (result) {
	case TASK_RESULT_DONE:
		record_run_outcome(e, t, false);
		release_vm(e, t);
		end_task(e, t, TASK_RESULT_DONE, "");
		return true;
	case TASK_RESULT_FAILED:
		apply_end_failed(e, t);
		return true;
	case TASK_RESULT_CHECKPOINTED:
	case TASK_RESULT_STOPPED:
	case TASK_RESULT_LAPSED:
		apply_end_interrupted(e, t, (enum task_result)result);
		return true;
	default:
		return false;
	}
}

/* Criteria of a cancellation; a task must meet all that are set. */
struct cancel_filter {
	char member[NAME_BYTES], prefix[NAME_BYTES];
	char from[NAME_BYTES], to[NAME_BYTES];
	const msgpack_object_array *ids;
};

static bool
cancel_matches(const struct cancel_filter *c, const struct task *t)
{
	if (c->member[0] != '\0' && strcmp(c->member, t->member) != 0)
		return false;
	if (strncmp(t->name, c->prefix, strlen(c->prefix)) != 0)
		return false;
	if (c->from[0] != '\0' && strcmp(t->name, c->from) < 0)
		return false;
	return c->to[0] == '\0' || strcmp(t->name, c->to) <= 0;
}

static bool
cancel_task(const struct entry_context *e, struct task *t)
{
	switch (t->state) {
	case TASK_WAITING:
		end_task(e, t, TASK_RESULT_CANCELLED, "cancelled");
		return true;
	case TASK_RUNNING:
		set_state(e, t, TASK_STOPPING);
		t->cancelled = true;
		return true;
	case TASK_STOPPING:
		t->cancelled = true;
		return true;
	case TASK_ENDED:
		return false;
	}
	return false;
}

static bool
cancel_by_ids(const struct entry_context *e, const struct cancel_filter *c)
{
	const struct task *t;
	bool changed = false;
	uint32_t i;

	for (i = 0; i < c->ids->size; i++) {
		if (c->ids->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			continue;
		t = fold_tasks_get(e->ft, c->ids->ptr[i].via.u64);
		if (t != NULL && cancel_matches(c, t))
			changed |= cancel_task(e, (struct task *)t);
	}
	return changed;
}

static bool
apply_cancel(const struct entry_context *e)
{
	struct cancel_filter c = {0};
	bool changed = false;
	struct task *t;

	wire_get_str(e->map, "member", c.member, sizeof(c.member));
	wire_get_str(e->map, "prefix", c.prefix, sizeof(c.prefix));
	wire_get_str(e->map, "from", c.from, sizeof(c.from));
	wire_get_str(e->map, "to", c.to, sizeof(c.to));
	if (wire_get_array(e->map, "tasks", &c.ids))
		return cancel_by_ids(e, &c);
	if (c.member[0] == '\0' && c.prefix[0] == '\0' && c.from[0] == '\0' &&
	    c.to[0] == '\0')
		return false;
	for (t = e->ft->tasks; t != NULL; t = t->hh.next) {
		if (cancel_matches(&c, t))
			changed |= cancel_task(e, t);
	}
	return changed;
}

static int64_t
min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Limits a reported size to the VM that holds the task. */
static bool
apply_usage(const struct entry_context *e)
{
	struct task *t = entry_held_task(e);
	struct task_size size;
	const struct vm *vm;

	if (t == NULL || !entry_size(e, &size) || size.cores_milli < 0 ||
	    size.memory_mb < 0 || size.accelerators < 0)
		return false;
	HASH_FIND_STR(e->view->vms, t->vm, vm);
	if (vm == NULL)
		return false;
	fold_tasks_account(e->ft, t, -1);
	t->size.cores_milli = min_i64(size.cores_milli, vm->cores * 1000);
	t->size.memory_mb = min_i64(size.memory_mb, vm->memory_mb);
	t->size.accelerators = min_i64(size.accelerators, vm->accelerators);
	fold_tasks_account(e->ft, t, 1);
	return true;
}

/*
 * Admits only the start of a throttle.  Its end would need free capacity that
 * other tasks may hold by then.
 */
static bool
apply_throttle(const struct entry_context *e)
{
	struct task *t = entry_held_task(e);
	bool on;

	if (t == NULL || t->state != TASK_RUNNING || t->urgent ||
	    t->yield != TASK_YIELD_THROTTLE ||
	    !wire_get_bool(e->map, "on", &on) || on == t->throttled || !on)
		return false;
	fold_tasks_account(e->ft, t, -1);
	t->throttled = true;
	fold_tasks_account(e->ft, t, 1);
	t->changed_offset = e->offset;
	return true;
}

static bool
apply_refuse(const struct entry_context *e)
{
	struct task *t = entry_task(e);
	const char *refusal;

	if (t == NULL || t->state != TASK_WAITING)
		return false;
	refusal = fold_tasks_unrunnable_reason(e->view, t->member, &t->size);
	if (refusal == NULL)
		return false;
	end_task(e, t, TASK_RESULT_REFUSED, refusal);
	return true;
}

static bool
apply_entry(const struct entry_context *e)
{
	uint64_t op;

	if (!wire_get_u64(e->map, "op", &op))
		return false;
	switch (op) {
	case TASK_OP_SUBMIT:
		return apply_submit(e);
	case TASK_OP_PLACE:
		return apply_place(e);
	case TASK_OP_STOP:
		return apply_stop(e);
	case TASK_OP_END:
		return apply_end(e);
	case TASK_OP_CANCEL:
		return apply_cancel(e);
	case TASK_OP_USAGE:
		return apply_usage(e);
	case TASK_OP_THROTTLE:
		return apply_throttle(e);
	case TASK_OP_REFUSE:
		return apply_refuse(e);
	default:
		return false;
	}
}

bool
fold_tasks_apply(
    struct fold_tasks *ft, const struct record *r, struct fold_tasks_view *v)
{
	struct entry_context e = {.ft = ft, .view = v, .offset = r->offset};
	const msgpack_object_array *list;
	struct wire_reader reader;
	uint64_t before = ft->counters.admitted;
	uint32_t i;

	if (wire_reader_init(&reader, r->body->data, r->body->len, NULL) ==
	    -1) {
		ft->counters.malformed++;
		return false;
	}
	if (!wire_get_array(reader.root, "e", &list) ||
	    list->size > TASK_ENTRIES_MAX) {
		ft->counters.malformed++;
		wire_reader_uninit(&reader);
		return false;
	}
	for (i = 0; i < list->size; i++) {
		e.map = &list->ptr[i];
		if (apply_entry(&e))
			ft->counters.admitted++;
		else
			ft->counters.voided++;
	}
	wire_reader_uninit(&reader);
	ft->revision += ft->counters.admitted - before;
	fold_tasks_purge_ended(ft);
	return ft->counters.admitted > before;
}

void
fold_tasks_vm_lost(struct fold_tasks *ft, const char *vm, uint64_t incarnation,
    uint64_t offset, const struct fold_tasks_view *v)
{
	struct fold_tasks_view view = *v;
	struct entry_context e = {.ft = ft, .view = &view, .offset = offset};
	int64_t lease_ms =
	    v->text != NULL ? v->text->tasks.lease_s * MS_PER_S : 0;
	struct task_vm *held;
	struct task *t;

	HASH_FIND_STR(ft->vms, vm, held);
	if (held == NULL || held->incarnation != incarnation)
		return;
	for (t = ft->tasks; t != NULL && held->task_count > 0; t = t->hh.next) {
		if (strcmp(t->vm, vm) != 0 || t->incarnation != incarnation)
			continue;
		apply_end_interrupted(&e, t, TASK_RESULT_LAPSED);
		t->not_before_ms = v->log_ms + lease_ms;
	}
	HASH_DEL(ft->vms, held);
	free(held);
	ft->revision++;
}
