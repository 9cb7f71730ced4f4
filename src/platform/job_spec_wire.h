/* Bodies of callers' requests and of the responses to them. */
#ifndef JOB_SPEC_WIRE_H
#define JOB_SPEC_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "errors.h"
#include "job.h"
#include "job_spec.h"

/* Header: how long the caller waits for the response, in ms. */
#define CALLER_HEADER_DEADLINE "mimosalead-deadline-ms"
/* Header: key of the caller's account. */
#define CALLER_HEADER_KEY "x-api-key"

/*
 * Parses a job specification.  NULL when it is invalid, with the error and its
 * place in "e".
 */
struct job_spec *job_spec_parse(const void *data, size_t len, struct err *e);
/*
 * The same for a job that is not stored yet: also refuses a text that workers
 * would not get as it was sent.
 */
struct job_spec *job_spec_parse_submitted(
    const void *data, size_t len, struct err *e);
/* {"state": STATE} */
struct buf *job_state_body(enum job_state state);
/* {"waiting": N} */
struct buf *queue_waiting_body(size_t waiting);
/* {"error": MESSAGE, "remedy": REMEDY} */
struct buf *error_body(const struct err *e);

#endif
