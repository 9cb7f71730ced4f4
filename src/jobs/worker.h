/* What a worker says of itself, in its entry and in answers to a hold. */
#ifndef JOBS_WORKER_H
#define JOBS_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"

#define WORKER_LABELS_MAX 8
#define CHECKPOINT_BYTES 64 /* a checkpoint's name, with NUL */
#define TASK_NAME_BYTES 64 /* with NUL */

struct worker_report {
	char id[NAME_BYTES]; /* of this life of the machine */
	int64_t started_ms; /* Unix time; tells two lives under one id */
	char pool[NAME_BYTES];
	char addr[ADDR_BYTES];
	int port;
	char data_centre[NAME_BYTES];
	char labels[WORKER_LABELS_MAX][NAME_BYTES];
	size_t label_count;
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
	bool draining;
	int remaining_ms; /* served at least, while draining */
	int64_t clock_ms; /* its own steady clock */
};

/* Index of a task: where it stands in its job. */
struct task_name {
	char job[17];
	unsigned occurrence;
	unsigned step;
	unsigned index;
};

struct run_report {
	struct task_name task;
	int64_t run;
	char checkpoint[CHECKPOINT_BYTES]; /* newest checkpoint; "" none */
	int progress_percent; /* of its work; 100: a lasting task is at work */
	/* tail in ms of a task that serves, else thousandths of a core used */
	int64_t usage;
};

enum run_end {
	RUN_DONE,
	RUN_FAILED, /* by its own fault or the worker's */
	RUN_STOPPED,
	RUN_LEASE_EXPIRED, /* its lease expired */
	RUN_GANG_BROKEN, /* another member of its gang ended */
	RUN_GANG_INCOMPLETE /* the other members did not come in time */
};

struct end_report {
	int64_t number; /* rises within one life of the worker */
	struct task_name task;
	int64_t run;
	enum run_end outcome;
	char checkpoint[CHECKPOINT_BYTES];
};

/* Answer to a hold. */
struct renewal_report {
	int64_t clock_ms;
	int64_t started_ms; /* 0 where it does not say */
	struct run_report *running;
	size_t running_count;
	struct end_report *ended;
	size_t ended_count;
};

void renewal_report_uninit(struct renewal_report *r);

/* "JOB.OCCURRENCE.STEP.INDEX" */
void task_name_format(const struct task_name *n, char *out, size_t size);
bool task_name_parse(struct task_name *n, const char *text);

#endif
