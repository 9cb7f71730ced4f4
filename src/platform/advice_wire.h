/*
 * Requests to the policy service.  It decides which workers may run a step and
 * issues a ticket for each of them.
 */
#ifndef ADVICE_WIRE_H
#define ADVICE_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "job.h"

#define ADVICE_PATH "/advise"

/* Request body; NULL when memory is short. */
struct buf *advice_request_body(const struct task_name *step,
    const char (*workers)[NAME_BYTES], size_t count);

struct advice {
	struct step_ticket
	    *tickets; /* one for each worker that may run the step */
	size_t ticket_count;
	struct buf *texts; /* a reference; what the tickets point to */
	int valid_ms; /* validity of the tickets from the response on */
};

/* -1 when the body is malformed or memory is short. */
int advice_response_parse(struct advice *a, const void *data, size_t len);
void advice_uninit(struct advice *a);

#endif
