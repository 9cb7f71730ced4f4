/* Inside of placement: one look for VMs for the tasks that wait. */
#ifndef TASKS_PLACE_H
#define TASKS_PLACE_H

#include "tasks_state.h"

#define UNPLACEABLE_SIZES_MAX 8 /* sizes remembered that found no room */
#define MILLICORES_PER_CORE 1000

/* Room of one VM of this data centre, less what this look has given away. */
struct vm_capacity {
	const struct vm *vm;
	struct task_size free;
	bool reserved; /* kept for an urgent task */
	const struct task **tasks; /* see capacity_index_tasks() */
	size_t task_count;
	UT_hash_handle hh; /* by the VM's name */
};

struct placement {
	struct tasks_pass *pass;
	struct vm_capacity *vms;
	struct vm_capacity *vms_by_name;
	size_t vm_count;
	const struct task *
	    *tasks_by_vm; /* by slot; NULL until it is asked for */
	const struct task **waiting;
	size_t waiting_count;
	struct task_size *planned_by_member; /* by member of the text */
	struct task_size
	    unplaceable[UNPLACEABLE_SIZES_MAX]; /* found no VM in this look */
	size_t unplaceable_count;
	unsigned proposal_count;
};

bool task_size_fits(const struct task_size *room, const struct task_size *size);
void task_size_add(struct task_size *to, const struct task_size *s);

/* VMs of this data centre that may take tasks, with their room. */
void capacity_collect(struct placement *p);
void capacity_free(struct placement *p);
/* Sorts the tasks that are held by their slots, once in a look. */
void capacity_index_tasks(struct placement *p);
/* NULL where the VM takes no tasks here. */
struct vm_capacity *capacity_find(const struct placement *p, const char *vm);
void capacity_take(struct vm_capacity *s, const struct task_size *size);

/* Makes room for an urgent task where the fewest others must yield. */
void preempt_for_capacity(
    struct placement *p, const struct task *t, struct placement_attempt *w);
/*
 * An urgent task whose member has used up its quota: the member's own lower
 * tasks yield, in whatever data centre they run.
 */
void preempt_for_quota(struct placement *p, const struct task *t,
    struct placement_attempt *w, struct task_size *left);

#endif
