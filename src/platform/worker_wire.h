/* Commands to workers and lease renewals, with the workers' responses. */
#ifndef WORKER_WIRE_H
#define WORKER_WIRE_H

#include <stdint.h>

#include "buf.h"
#include "worker.h"

#define WORKER_PATH_START "/run-start"
#define WORKER_PATH_STOP "/run-stop"
#define WORKER_PATH_RENEW "/hold"
#define WORKER_PATH_THROTTLE "/pace"
/* Header: id of the worker incarnation that a command is meant for. */
#define WORKER_HEADER_TARGET_INSTANCE "Mimosalead-Target-Instance"

struct worker_start_command {
	struct task_name task;
	int64_t run;
	const char *task_spec; /* as the caller sent it */
	int64_t lease_end_ms; /* on the worker's clock */
	int64_t fence;
	const struct buf *checkpoint; /* to resume from; NULL: none */
	const struct buf *ticket; /* of the policy service; NULL: none */
};

/* These return a JSON body, or NULL when memory is short. */
struct buf *worker_start_body(const struct worker_start_command *c);
struct buf *worker_stop_body(
    const struct task_name *task, int64_t run, int64_t fence);
/*
 * "acked_end": number of the last run end that needs no further report.
 * "lease_end_ms" is on the worker's clock; 0 leaves leases as they are.  The
 * worker delays its response by up to "wait_ms" until it has news.
 */
struct buf *worker_renewal_body(
    int64_t fence, int64_t acked_end, int64_t lease_end_ms, int wait_ms);
/* "percent": share of the task's normal speed. */
struct buf *worker_throttle_body(
    const struct task_name *task, int64_t run, int percent, int64_t fence);

/* A worker's response to a command. */
enum worker_answer {
	WORKER_ANSWER_ACCEPTED,
	WORKER_ANSWER_FENCED, /* it has seen a higher fencing token */
	WORKER_ANSWER_RUN_ENDED, /* this run or a later one has ended */
	WORKER_ANSWER_LEASE_EXPIRED, /* the command's lease end has passed */
	WORKER_ANSWER_NO_CAPACITY,
	WORKER_ANSWER_NO_TICKET,
	WORKER_ANSWER_MALFORMED, /* unknown response */
	WORKER_ANSWER_UNAVAILABLE, /* command not carried out */
	/* another incarnation of the worker answers at its address */
	WORKER_ANSWER_OTHER_INCARNATION
};

/* "clock_ms": the worker's clock; -1 when it is missing. */
enum worker_answer worker_answer_parse(
    int status, const void *body, size_t len, int64_t *clock_ms);
/*
 * Parses the response to a renewal.  A row that cannot be read is counted and
 * left out; of the others, a checkpoint that cannot be used, and a number of
 * progress or usage.  -1 when the rest is malformed or memory is short.
 */
int renewal_report_parse(
    struct renewal_report *r, const void *body, size_t len);

#endif
