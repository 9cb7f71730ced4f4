/* Inside of the task part of the fold, shared by fold_tasks*.c only. */
#ifndef FOLD_TASKS_STATE_H
#define FOLD_TASKS_STATE_H

#include "fold_tasks.h"

struct fold_tasks_counters {
	uint64_t admitted, voided, malformed;
	uint64_t done, failed, cancelled, refused;
};

struct fold_tasks {
	struct task *tasks;
	struct task_vm *vms;
	struct task_member *members;
	uint64_t revision;
	unsigned live_count; /* tasks that have not ended */
	struct fold_tasks_counters counters;
};

/* Books what a task holds onto its VM and its member (sign 1 or -1). */
void fold_tasks_account(struct fold_tasks *ft, const struct task *t, int sign);
/* Forgets the oldest ended tasks beyond TASKS_ENDED_RETAINED_MAX. */
void fold_tasks_purge_ended(struct fold_tasks *ft);

#endif
