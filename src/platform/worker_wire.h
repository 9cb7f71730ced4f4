/* Orders to workers and their answers. */
#ifndef WORKER_WIRE_H
#define WORKER_WIRE_H

#include <stdint.h>

#include "buf.h"
#include "worker.h"

#define WORKER_PATH_START "/run-start"
#define WORKER_PATH_STOP "/run-stop"
#define WORKER_PATH_RENEW "/hold"
#define WORKER_PATH_THROTTLE "/pace"
/* Header that names the worker's life an order is meant for. */
#define WORKER_HEADER_TARGET_INSTANCE "Mimosalead-Target-Instance"

struct worker_start_command {
	struct task_name task;
	int64_t run;
	const char *task_spec; /* what the job's callers sent to be run */
	int64_t lease_end_ms; /* on the worker's clock */
	int64_t fence;
	const char *checkpoint; /* "" none */
	const char *ticket; /* of the queue's policy; "" none */
};

/* All return a JSON body, or NULL when memory is short. */
struct buf *worker_start_body(const struct worker_start_command *o);
struct buf *worker_stop_body(
    const struct task_name *task, int64_t run, int64_t fence);
/* "lease_end_ms" 0: leaves leases as they are. */
struct buf *worker_renewal_body(
    int64_t fence, int64_t acked_end, int64_t lease_end_ms, int wait_ms);
struct buf *worker_throttle_body(
    const struct task_name *task, int64_t run, int percent, int64_t fence);

/* Why a worker did not do what it was told. */
enum worker_answer {
	WORKER_ANSWER_ACCEPTED,
	WORKER_ANSWER_FENCED, /* it has seen a higher fence */
	WORKER_ANSWER_RUN_ENDED, /* that run or a later one has ended there */
	WORKER_ANSWER_LEASE_EXPIRED, /* its lease end has passed */
	WORKER_ANSWER_NO_CAPACITY,
	WORKER_ANSWER_NO_TICKET,
	WORKER_ANSWER_MALFORMED, /* malformed */
	WORKER_ANSWER_UNAVAILABLE, /* nothing was done */
	WORKER_ANSWER_OTHER_INCARNATION /* another life of the machine answers
					   there */
};

/* "clock_ms" is -1 where the answer does not say. */
enum worker_answer worker_answer_parse(
    int status, const void *body, size_t len, int64_t *clock_ms);
/* -1 where the answer cannot be read. */
int renewal_report_parse(struct hold_report *r, const void *body, size_t len);

#endif
