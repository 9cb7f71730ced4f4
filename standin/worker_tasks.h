/*
 * Tasks on the platform's workers: leases with epochs, run times, and usage
 * reports that readers see with a lag.
 */
#ifndef STANDIN_WORKER_TASKS_H
#define STANDIN_WORKER_TASKS_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>
#include <uthash.h>

#include "event.h"

/* The numbers of PROTOCOLS.md. */
enum worker_task_state {
	WORKER_TASK_RUNNING,
	WORKER_TASK_DONE,
	WORKER_TASK_FAILED,
	WORKER_TASK_CHECKPOINTED,
	WORKER_TASK_LAPSED,
	WORKER_TASK_THROTTLED
};

struct worker_task {
	char id[NAME_BYTES + 24]; /* VM and task */
	struct usage_entry usage;
	char data_centre[NAME_BYTES];
	uint64_t last_key;
	int64_t lease_end_ms;
	int64_t run_end_ms; /* 0: runs until it is stopped */
	int64_t shown_ms; /* when readers see this state */
	uint64_t revision;
	unsigned starts;
	UT_hash_handle hh; /* by id */
};

struct worker_tasks {
	int lag_ms;
	int run_ms; /* of each task; 0: until it is stopped */
	char failing_vm[NAME_BYTES]; /* fails every task that it starts */
	uint64_t revision;
	struct worker_task *list;
};

struct worker_task_call {
	const char *vm, *data_centre, *op;
	uint64_t vm_incarnation;
	uint64_t task, key, epoch;
	int64_t lease_s, cores, memory_mb, accelerators;
};

void worker_tasks_init(struct worker_tasks *w, int lag_ms, int run_ms);
void worker_tasks_uninit(struct worker_tasks *w);
/*
 * Carries out start, stop, checkpoint or throttle.  Returns the task's state
 * or -1 where a newer epoch was seen.  A call for a task that the worker
 * doesn't have is remembered by its epoch.
 */
int worker_tasks_call(
    struct worker_tasks *w, const struct worker_task_call *call, int64_t now);
/* A reboot ends all tasks of a VM. */
void worker_tasks_vm_lost(
    struct worker_tasks *w, const char *vm, int64_t now_ms);
void worker_tasks_tick(struct worker_tasks *w, int64_t now_ms);
struct json_object *worker_tasks_read(const struct worker_tasks *w,
    const char *data_centre, uint64_t since, int64_t now_ms);

#endif
