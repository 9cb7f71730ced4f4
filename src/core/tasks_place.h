/* Internal state of the placement in one scheduling pass. */
#ifndef TASKS_PLACE_H
#define TASKS_PLACE_H

#include "tasks_state.h"

#define UNPLACEABLE_SIZES_MAX 8
#define MILLICORES_PER_CORE 1000

/* Free capacity of a VM of this data centre, less this pass's placements. */
struct vm_capacity {
	const struct vm *vm;
	struct task_size free;
	bool reserved; /* for an urgent task that waits for preemptions */
	const struct task **tasks; /* held here; see capacity_index_tasks() */
	size_t task_count;
	UT_hash_handle hh; /* by the VM's name */
};

struct placement {
	struct tasks_pass *pass;
	struct vm_capacity *vms;
	struct vm_capacity *vms_by_name; /* head of the table */
	size_t vm_count;
	/* Held tasks, grouped by VM; NULL until the index is built. */
	const struct task **tasks_by_vm;
	const struct task **waiting; /* in placement order */
	size_t waiting_count;
	/* Quota taken by this pass's proposals, by index in the text. */
	struct task_size *planned_by_member;
	/* Sizes for which this pass has found no VM. */
	struct task_size unplaceable[UNPLACEABLE_SIZES_MAX];
	size_t unplaceable_count;
	unsigned proposal_count; /* placements and preemptions */
};

bool task_size_fits(
    const struct task_size *available, const struct task_size *size);
void task_size_add(struct task_size *to, const struct task_size *s);

/* Collects the VMs of this data centre that accept tasks. */
void capacity_collect(struct placement *p);
void capacity_free(struct placement *p);
/* Groups the held tasks by VM; later calls in the same pass do nothing. */
void capacity_index_tasks(struct placement *p);
/* Returns NULL for a VM that accepts no tasks of this data centre. */
struct vm_capacity *capacity_find(const struct placement *p, const char *vm);
void capacity_take(struct vm_capacity *capacity, const struct task_size *size);

/*
 * Proposes preemptions for an urgent task that fits on no VM, on the VM where
 * the fewest tasks must yield, and reserves that VM.
 */
void preempt_for_capacity(struct placement *p, const struct task *t,
    struct placement_attempt *attempt);
/*
 * Proposes preemptions for an urgent task that exceeds its member's quota.
 * Tasks of the same member yield, in any data centre.  Adds to "left" the
 * quota that they will free.
 */
void preempt_for_quota(struct placement *p, const struct task *t,
    struct placement_attempt *attempt, struct task_size *left);

#endif
