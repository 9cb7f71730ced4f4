/* Free capacity of the VMs that accept tasks, and the tasks they hold. */
#include "tasks_place.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

void
capacity_take(struct vm_capacity *capacity, const struct task_size *size)
{
	capacity->free.cores_milli -= size->cores_milli;
	capacity->free.memory_mb -= size->memory_mb;
	capacity->free.accelerators -= size->accelerators;
}

bool
task_size_fits(const struct task_size *available, const struct task_size *size)
{
	return size->cores_milli <= available->cores_milli &&
	    size->memory_mb <= available->memory_mb &&
	    size->accelerators <= available->accelerators;
}

void
task_size_add(struct task_size *to, const struct task_size *s)
{
	to->cores_milli += s->cores_milli;
	to->memory_mb += s->memory_mb;
	to->accelerators += s->accelerators;
}

/* A quarantine applies only to the incarnation in which the runs failed. */
static bool
vm_accepts_tasks(const struct tasks_pass *pass, const struct vm *vm)
{
	const struct task_vm *used = fold_tasks_vm(pass->fold_state, vm->name);

	return vm->role == VM_WORKER &&
	    strcmp(vm->data_centre, pass->daemon_view->data_centre) == 0 &&
	    strcmp(vm->pool, pass->fold_view.text->tasks.pool) == 0 &&
	    fold_vm_serves(pass->daemon_view->fold, vm) &&
	    (used == NULL || !used->quarantined ||
		used->incarnation != vm->incarnation);
}

void
capacity_collect(struct placement *p)
{
	const struct tasks_pass *pass = p->pass;
	const struct task_vm *used;
	const struct vm *vm;
	struct vm_capacity *capacity;

	p->vms = calloc(HASH_COUNT(pass->fold_view.vms) + 1, sizeof(*p->vms));
	if (p->vms == NULL)
		err(1, "cannot allocate the placement of tasks");
	for (vm = pass->fold_view.vms; vm != NULL; vm = vm->hh.next) {
		if (!vm_accepts_tasks(pass, vm))
			continue;
		capacity = &p->vms[p->vm_count++];
		capacity->vm = vm;
		capacity->free.cores_milli = vm->cores * MILLICORES_PER_CORE;
		capacity->free.memory_mb = vm->memory_mb;
		capacity->free.accelerators = vm->accelerators;
		used = fold_tasks_vm(pass->fold_state, vm->name);
		if (used != NULL && used->incarnation == vm->incarnation)
			capacity_take(capacity, &used->used);
		HASH_ADD_KEYPTR(
		    hh, p->vms_by_name, vm->name, strlen(vm->name), capacity);
	}
}

void
capacity_free(struct placement *p)
{
	HASH_CLEAR(hh, p->vms_by_name);
	free(p->vms);
	free(p->tasks_by_vm);
}

struct vm_capacity *
capacity_find(const struct placement *p, const char *vm)
{
	struct vm_capacity *capacity;

	HASH_FIND_STR(p->vms_by_name, vm, capacity);
	return capacity;
}

/* Returns NULL if the task is not held, or held by a VM not collected here. */
static struct vm_capacity *
capacity_of_holder(const struct placement *p, const struct task *t)
{
	if (t->state != TASK_RUNNING && t->state != TASK_STOPPING)
		return NULL;
	return capacity_find(p, t->vm);
}

void
capacity_index_tasks(struct placement *p)
{
	const struct task *t;
	struct vm_capacity *capacity;
	size_t i, n = 0;

	if (p->tasks_by_vm != NULL)
		return;
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		capacity = capacity_of_holder(p, t);
		if (capacity != NULL)
			capacity->task_count++;
	}
	for (i = 0; i < p->vm_count; i++)
		n += p->vms[i].task_count;
	p->tasks_by_vm = calloc(n + 1, sizeof(const struct task *));
	if (p->tasks_by_vm == NULL)
		err(1, "cannot allocate the placement of tasks");
	for (i = 0, n = 0; i < p->vm_count; i++) {
		p->vms[i].tasks = p->tasks_by_vm + n;
		n += p->vms[i].task_count;
		p->vms[i].task_count = 0;
	}
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		capacity = capacity_of_holder(p, t);
		if (capacity != NULL)
			capacity->tasks[capacity->task_count++] = t;
	}
}
