#include "fold_tasks_state.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "fold.h"

#define MILLICORES_PER_CORE 1000
/* Ended tasks beyond the limit that start a purge, which has to sort all. */
#define PURGE_SLACK 256

const char *
task_state_name(enum task_state s)
{
	switch (s) {
	case TASK_WAITING:
		return "waiting";
	case TASK_RUNNING:
		return "running";
	case TASK_STOPPING:
		return "stopping";
	case TASK_ENDED:
		return "ended";
	}
	return "none";
}

const char *
task_result_name(enum task_result r)
{
	switch (r) {
	case TASK_RESULT_NONE:
		return "none";
	case TASK_RESULT_DONE:
		return "done";
	case TASK_RESULT_FAILED:
		return "failed";
	case TASK_RESULT_CANCELLED:
		return "cancelled";
	case TASK_RESULT_REFUSED:
		return "refused";
	case TASK_RESULT_CHECKPOINTED:
		return "checkpointed";
	case TASK_RESULT_STOPPED:
		return "stopped";
	case TASK_RESULT_LAPSED:
		return "lapsed";
	}
	return "none";
}

const char *
task_yield_name(enum task_yield y)
{
	switch (y) {
	case TASK_YIELD_CHECKPOINT:
		return "checkpoint";
	case TASK_YIELD_THROTTLE:
		return "throttle";
	case TASK_YIELD_STOP:
		return "stop";
	}
	return "none";
}

void
fold_tasks_view_init(struct fold_tasks_view *v, const struct fold *f)
{
	memset(v, 0, sizeof(*v));
	v->text = fold_text(f);
	v->vms = fold_vms(f);
	v->serves = fold_vm_serves;
	v->fold = f;
	v->log_ms = fold_log_ms(f);
}

struct fold_tasks *
fold_tasks_new(void)
{
	return calloc(1, sizeof(struct fold_tasks));
}

void
fold_tasks_free(struct fold_tasks *ft)
{
	struct task_member *m, *mnext;
	struct task_vm *v, *vnext;
	struct task *t, *tnext;

	if (ft == NULL)
		return;
	t = ft->tasks;
	HASH_CLEAR(hh, ft->tasks);
	for (; t != NULL; t = tnext) {
		tnext = t->hh.next;
		free(t);
	}
	v = ft->vms;
	HASH_CLEAR(hh, ft->vms);
	for (; v != NULL; v = vnext) {
		vnext = v->hh.next;
		free(v);
	}
	m = ft->members;
	HASH_CLEAR(hh, ft->members);
	for (; m != NULL; m = mnext) {
		mnext = m->hh.next;
		free(m);
	}
	free(ft);
}

uint64_t
task_id(const char *member, const char *name)
{
	return XXH64(name, strlen(name), XXH64(member, strlen(member), 0));
}

struct task_size
task_charge(const struct task *t)
{
	struct task_size s = t->size;

	if (t->throttled)
		s.cores_milli = s.cores_milli * TASK_THROTTLE_PPM / TEXT_PPM;
	return s;
}

/* Accounting of held capacity. */

static void
size_add_signed(struct task_size *to, const struct task_size *s, int sign)
{
	to->cores_milli += sign * s->cores_milli;
	to->memory_mb += sign * s->memory_mb;
	to->accelerators += sign * s->accelerators;
}

static struct task_vm *
get_task_vm(struct fold_tasks *ft, const char *name, uint64_t incarnation)
{
	struct task_vm *v;

	HASH_FIND_STR(ft->vms, name, v);
	if (v != NULL)
		return v;
	v = calloc(1, sizeof(*v));
	if (v == NULL)
		err(1, "cannot allocate the accounting of a VM");
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->incarnation = incarnation;
	HASH_ADD_STR(ft->vms, name, v);
	return v;
}

static struct task_member *
get_task_member(struct fold_tasks *ft, const char *name)
{
	struct task_member *m;

	HASH_FIND_STR(ft->members, name, m);
	if (m != NULL)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		err(1, "cannot allocate the accounting of a member");
	snprintf(m->name, sizeof(m->name), "%s", name);
	HASH_ADD_STR(ft->members, name, m);
	return m;
}

void
fold_tasks_account(struct fold_tasks *ft, const struct task *t, int sign)
{
	struct task_size charge = task_charge(t);
	struct task_member *m = get_task_member(ft, t->member);
	struct task_vm *v = get_task_vm(ft, t->vm, t->incarnation);

	size_add_signed(&v->used, &charge, sign);
	v->task_count += (unsigned)sign;
	size_add_signed(&m->used, &charge, sign);
	m->task_count += (unsigned)sign;
	if (m->task_count > 0)
		return;
	HASH_DEL(ft->members, m);
	free(m);
}

/* Admission checks. */

static bool
fits_beside(const struct task_size *used, const struct task_size *add,
    int64_t cores, int64_t memory_mb, int64_t accelerators)
{
	return used->cores_milli + add->cores_milli <=
	    cores * MILLICORES_PER_CORE &&
	    used->memory_mb + add->memory_mb <= memory_mb &&
	    used->accelerators + add->accelerators <= accelerators;
}

static bool
vm_could_run(const struct fold_tasks_view *v, const struct vm *vm,
    const struct task_size *size)
{
	static const struct task_size none = {0};

	return vm->role == VM_WORKER &&
	    strcmp(vm->pool, v->text->tasks.pool) == 0 &&
	    fits_beside(
		&none, size, vm->cores, vm->memory_mb, vm->accelerators);
}

/* Ignores the current load: true if an empty VM of the pool would do. */
static bool
any_vm_could_run(struct fold_tasks_view *v, const struct task_size *size)
{
	const struct vm *vm;

	if (v->last_fit != NULL && vm_could_run(v, v->last_fit, size))
		return true;
	for (vm = v->vms; vm != NULL; vm = vm->hh.next) {
		if (!vm_could_run(v, vm, size))
			continue;
		v->last_fit = vm;
		return true;
	}
	return false;
}

static bool
size_valid(const struct task_size *s)
{
	return s->cores_milli >= 0 && s->memory_mb >= 0 &&
	    s->accelerators >= 0 && s->cores_milli <= INT32_MAX &&
	    s->memory_mb <= INT64_C(1) << 40 && s->accelerators <= INT32_MAX &&
	    s->cores_milli + s->memory_mb + s->accelerators > 0;
}

const char *
fold_tasks_unrunnable_reason(
    struct fold_tasks_view *v, const char *member, const struct task_size *size)
{
	static const struct task_size none = {0};
	const struct text_member *m;

	if (v->text == NULL)
		return "no text is in force";
	if (v->text->tasks.pool[0] == '\0')
		return "the text gives tasks no pool";
	m = text_member(v->text, member);
	if (m == NULL)
		return "the text has no such member";
	if (!size_valid(size))
		return "its size is no size";
	if (!fits_beside(&none, size, m->quota.cores, m->quota.memory_mb,
		m->quota.accelerators))
		return "it is larger than the member's quota";
	if (!any_vm_could_run(v, size))
		return "it is larger than every VM of the tasks' pool";
	return NULL;
}

static bool
quota_allows(const struct fold_tasks *ft, const struct fold_tasks_view *v,
    const char *member, const struct task_size *add)
{
	static const struct task_size none = {0};
	const struct text_member *m = text_member(v->text, member);
	const struct task_member *used = fold_tasks_member(ft, member);

	return m != NULL &&
	    fits_beside(used ? &used->used : &none, add, m->quota.cores,
		m->quota.memory_mb, m->quota.accelerators);
}

const char *
fold_tasks_placement_refusal(const struct fold_tasks *ft,
    const struct fold_tasks_view *v, const struct task *t, const struct vm *vm)
{
	static const struct task_size none = {0};
	struct task_size charge = task_charge(t);
	const struct task_vm *used = fold_tasks_vm(ft, vm->name);

	if (t->state != TASK_WAITING)
		return "the task is not waiting";
	if (v->log_ms < t->not_before_ms)
		return "the lease on its lost VM may not have expired";
	if (v->text == NULL || strcmp(vm->pool, v->text->tasks.pool) != 0 ||
	    vm->role != VM_WORKER)
		return "the VM is not in the tasks' pool";
	if (!v->serves(v->fold, vm))
		return "the VM is not in service";
	if (used != NULL && used->incarnation != vm->incarnation) {
		if (used->task_count > 0)
			return "the VM's last incarnation still holds tasks";
		used = NULL;
	}
	if (used != NULL && used->quarantined)
		return "the VM is quarantined";
	if (!fits_beside(used ? &used->used : &none, &charge, vm->cores,
		vm->memory_mb, vm->accelerators))
		return "the VM has too little free capacity";
	if (!quota_allows(ft, v, t->member, &charge))
		return "the member's quota is exceeded";
	return NULL;
}

/* Lookups. */

const struct task *
fold_tasks_head(const struct fold_tasks *ft)
{
	return ft->tasks;
}

static struct task *
find_task(const struct fold_tasks *ft, uint64_t id)
{
	struct task *t;

	HASH_FIND(hh, ft->tasks, &id, sizeof(id), t);
	return t;
}

const struct task *
fold_tasks_get(const struct fold_tasks *ft, uint64_t id)
{
	return find_task(ft, id);
}

const struct task_vm *
fold_tasks_vm(const struct fold_tasks *ft, const char *vm)
{
	struct task_vm *v;

	HASH_FIND_STR(ft->vms, vm, v);
	return v;
}

const struct task_member *
fold_tasks_member(const struct fold_tasks *ft, const char *member)
{
	struct task_member *m;

	HASH_FIND_STR(ft->members, member, m);
	return m;
}

uint64_t
fold_tasks_revision(const struct fold_tasks *ft)
{
	return ft->revision;
}

/* Retention of ended tasks. */

static int
compare_changed(const struct task *a, const struct task *b)
{
	if (a->changed_offset != b->changed_offset)
		return a->changed_offset < b->changed_offset ? -1 : 1;
	if (a->id == b->id)
		return 0;
	return a->id < b->id ? -1 : 1;
}

void
fold_tasks_purge_ended(struct fold_tasks *ft)
{
	unsigned ended = HASH_COUNT(ft->tasks) - ft->live_count;
	struct task *t, *next;

	if (ended < TASKS_ENDED_RETAINED_MAX + PURGE_SLACK)
		return;
	HASH_SORT(ft->tasks, compare_changed);
	for (t = ft->tasks; t != NULL && ended > TASKS_ENDED_RETAINED_MAX;
	     t = next) {
		next = t->hh.next;
		if (t->state != TASK_ENDED)
			continue;
		HASH_DEL(ft->tasks, t);
		free(t);
		ended--;
	}
}
