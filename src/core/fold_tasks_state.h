/* Internal state of the fold's tasks, shared by fold_tasks*.c only. */
#ifndef FOLD_TASKS_STATE_H
#define FOLD_TASKS_STATE_H

#include "fold_tasks.h"

struct fold_tasks_counters {
	uint64_t admitted, voided, malformed;
	uint64_t done, failed, cancelled, refused;
};

struct fold_tasks {
	struct task *tasks; /* by id */
	struct task_vm *vms; /* by name */
	struct task_member *members; /* by name */
	uint64_t revision;
	unsigned live_count; /* tasks that have not ended */
	struct fold_tasks_counters counters;
};

/*
 * Adds (sign 1) or subtracts (sign -1) what a task holds to the use of its VM
 * and its member.
 */
void fold_tasks_account(struct fold_tasks *ft, const struct task *t, int sign);
/* Drops the oldest ended tasks beyond TASKS_ENDED_RETAINED_MAX. */
void fold_tasks_purge_ended(struct fold_tasks *ft);

#endif
