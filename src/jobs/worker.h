/* What a worker reports in its entry and in answers to lease renewals. */
#ifndef JOBS_WORKER_H
#define JOBS_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "text_store.h"

#define WORKER_LABELS_MAX 8
#define TASK_NAME_BYTES 64 /* with NUL */

struct worker_report {
	char id[NAME_BYTES];
	/* Unix time at which this incarnation of the worker started. */
	int64_t started_ms;
	char pool[NAME_BYTES];
	char addr[ADDR_BYTES];
	int port;
	char data_centre[NAME_BYTES];
	char labels[WORKER_LABELS_MAX][NAME_BYTES];
	size_t label_count;
	size_t labels_left_out; /* beyond WORKER_LABELS_MAX */
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
	bool draining;
	int remaining_ms; /* a draining worker serves at least this long */
	int64_t clock_ms; /* the worker's monotonic clock */
};

/*
 * The report names a start that is further ahead of Unix time "now_ms" than
 * clocks differ: another writer's.
 */
bool worker_report_from_future(const struct worker_report *r, int64_t now_ms);

/* Identifies a task by its position in its job. */
struct task_name {
	char job[17];
	unsigned occurrence;
	unsigned step;
	unsigned index;
};

#define RUN_PROGRESS_UNKNOWN (-1) /* it cannot be read */

struct run_report {
	struct task_name task;
	int64_t run;
	struct text_view checkpoint; /* newest, in the report's texts */
	bool checkpoint_left_out; /* it cannot be read, or is too long */
	/* 100: a long-running task is at work; or RUN_PROGRESS_UNKNOWN */
	int progress_percent;
	/*
	 * Tail latency in ms of a task that serves requests, otherwise used
	 * thousandths of a core.
	 */
	int64_t usage;
};

/* How a run ended. */
enum run_end {
	RUN_DONE,
	RUN_FAILED, /* by its own fault or the worker's */
	RUN_STOPPED,
	RUN_LEASE_EXPIRED,
	RUN_GANG_BROKEN, /* another member of its gang ended */
	RUN_GANG_INCOMPLETE /* the other members did not start in time */
};

struct end_report {
	int64_t number; /* rises within one incarnation of the worker */
	struct task_name task;
	int64_t run;
	enum run_end outcome;
	struct text_view checkpoint; /* as in struct run_report */
	bool checkpoint_left_out;
};

/* Answer to a lease renewal. */
struct renewal_report {
	int64_t clock_ms; /* the worker's monotonic clock */
	int64_t started_ms; /* of the incarnation; 0: not reported */
	struct run_report *running;
	size_t running_count;
	struct end_report *ended;
	size_t ended_count;
	/*
	 * Rows of both lists that cannot be read.  A run in neither list may be
	 * the one of such a row.
	 */
	size_t unreadable_count;
	struct buf *texts; /* a reference; what the rows point to */
};

void renewal_report_uninit(struct renewal_report *r);

/* Formats as "JOB.OCCURRENCE.STEP.INDEX". */
void task_name_format(const struct task_name *n, char *out, size_t size);
bool task_name_parse(struct task_name *n, const char *text);

#endif
