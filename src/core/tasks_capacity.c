/* The VMs that may take tasks, and the tasks that they hold. */
#include "tasks_place.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

void
capacity_take(struct vm_capacity *s, const struct task_size *size)
{
	s->free.cores_milli -= size->cores_milli;
	s->free.memory_mb -= size->memory_mb;
	s->free.accelerators -= size->accelerators;
}

bool
task_size_fits(const struct task_size *room, const struct task_size *size)
{
	return size->cores_milli <= room->cores_milli &&
	    size->memory_mb <= room->memory_mb &&
	    size->accelerators <= room->accelerators;
}

void
task_size_add(struct task_size *to, const struct task_size *s)
{
	to->cores_milli += s->cores_milli;
	to->memory_mb += s->memory_mb;
	to->accelerators += s->accelerators;
}

static bool
vm_accepts_tasks(const struct tasks_pass *l, const struct vm *vm)
{
	const struct task_vm *used = fold_tasks_vm(l->fold_state, vm->name);

	return vm->role == VM_WORKER &&
	    strcmp(vm->data_centre, l->daemon_view->data_centre) == 0 &&
	    strcmp(vm->pool, l->fold_view.text->tasks.pool) == 0 &&
	    fold_vm_serves(l->daemon_view->fold, vm) &&
	    (used == NULL || !used->quarantined ||
		used->incarnation != vm->incarnation);
}

void
capacity_collect(struct placement *p)
{
	const struct tasks_pass *l = p->pass;
	const struct task_vm *used;
	const struct vm *vm;
	struct vm_capacity *s;

	p->vms = calloc(HASH_COUNT(l->fold_view.vms) + 1, sizeof(*p->vms));
	if (p->vms == NULL)
		err(1, "no memory for placements");
	for (vm = l->fold_view.vms; vm != NULL; vm = vm->hh.next) {
		if (!vm_accepts_tasks(l, vm))
			continue;
		s = &p->vms[p->vm_count++];
		s->vm = vm;
		s->free.cores_milli = vm->cores * MILLICORES_PER_CORE;
		s->free.memory_mb = vm->memory_mb;
		s->free.accelerators = vm->accelerators;
		used = fold_tasks_vm(l->fold_state, vm->name);
		if (used != NULL && used->incarnation == vm->incarnation)
			capacity_take(s, &used->used);
		HASH_ADD_KEYPTR(
		    hh, p->vms_by_name, vm->name, strlen(vm->name), s);
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
	struct vm_capacity *s;

	HASH_FIND_STR(p->vms_by_name, vm, s);
	return s;
}

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
	struct vm_capacity *s;
	size_t i, n = 0;

	if (p->tasks_by_vm != NULL)
		return;
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		s = capacity_of_holder(p, t);
		if (s != NULL)
			s->task_count++;
	}
	for (i = 0; i < p->vm_count; i++)
		n += p->vms[i].task_count;
	p->tasks_by_vm = calloc(n + 1, sizeof(const struct task *));
	if (p->tasks_by_vm == NULL)
		err(1, "no memory for placements");
	for (i = 0, n = 0; i < p->vm_count; i++) {
		p->vms[i].tasks = p->tasks_by_vm + n;
		n += p->vms[i].task_count;
		p->vms[i].task_count = 0;
	}
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		s = capacity_of_holder(p, t);
		if (s != NULL)
			s->tasks[s->task_count++] = t;
	}
}
