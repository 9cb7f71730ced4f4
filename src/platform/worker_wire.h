/* Orders to workers and their answers. */
#ifndef WORKER_WIRE_H
#define WORKER_WIRE_H

#include <stdint.h>

#include "buf.h"
#include "worker.h"

#define WORKER_PATH_START "/run-start"
#define WORKER_PATH_STOP "/run-stop"
#define WORKER_PATH_HOLD "/hold"
#define WORKER_PATH_PACE "/pace"
/* Header that names the worker's life an order is meant for. */
#define WORKER_HEADER_ID "Mimosalead-Target-Instance"

struct start_order {
	struct task_name task;
	int64_t run;
	const char *spec; /* what the job's callers sent to be run */
	int64_t lease_end_ms; /* on the worker's clock */
	int64_t fence;
	const char *saved; /* "" none */
	const char *ticket; /* of the queue's policy; "" none */
};

/* All return a JSON body, or NULL when memory is short. */
struct buf *worker_start_body(const struct start_order *o);
struct buf *worker_stop_body(
    const struct task_name *task, int64_t run, int64_t fence);
/* "lease_end_ms" 0: leaves leases as they are. */
struct buf *worker_hold_body(
    int64_t fence, int64_t acked_end, int64_t lease_end_ms, int wait_ms);
struct buf *worker_pace_body(
    const struct task_name *task, int64_t run, int percent, int64_t fence);

/* Why a worker did not do what it was told. */
enum order_refusal {
	ORDER_TAKEN,
	ORDER_FENCED, /* it has seen a higher fence */
	ORDER_OLD, /* that run or a later one has ended there */
	ORDER_LATE, /* its lease end has passed */
	ORDER_NO_ROOM,
	ORDER_NO_TICKET,
	ORDER_BAD, /* malformed */
	ORDER_UNHEALTHY, /* nothing was done */
	ORDER_OTHER_LIFE /* another life of the machine answers there */
};

/* "clock_ms" is -1 where the answer does not say. */
enum order_refusal worker_order_answer(
    int status, const void *body, size_t len, int64_t *clock_ms);
/* -1 where the answer cannot be read. */
int hold_report_parse(struct renewal_report *r, const void *body, size_t len);

#endif
