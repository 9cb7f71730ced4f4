/* What callers hand in and read back. */
#ifndef JOB_SPEC_WIRE_H
#define JOB_SPEC_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "errors.h"
#include "job.h"
#include "order.h"

/* Header with which a caller says how long it waits. */
#define CALLER_HEADER_DEADLINE "mimosalead-deadline-ms"

/*
 * Fills "e" with what is wrong and where.  The order keeps its own copy of
 * the bytes.
 */
struct order *job_spec_parse(const void *data, size_t len, struct err *e);
/* {"state": …} */
struct buf *job_state_body(enum job_state state);
/* {"waiting": N} */
struct buf *queue_waiting_body(size_t waiting);
/* An error's message and remedy. */
struct buf *error_body(const struct err *e);

#endif
