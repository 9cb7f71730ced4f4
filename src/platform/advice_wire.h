/* Questions to the service that knows which workers may run a step. */
#ifndef ADVICE_WIRE_H
#define ADVICE_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "job.h"

#define ADVICE_PATH "/advise"

/* NULL when memory is short. */
struct buf *advice_request_body(const struct task_name *step,
    const char (*workers)[NAME_BYTES], size_t count);

struct advice {
	struct step_ticket *tickets; /* workers that may run it */
	size_t ticket_count;
	int valid_ms; /* of the tickets, from the answer */
};

int advice_response_parse(struct advice *a, const void *data, size_t len);
void advice_uninit(struct advice *a);

#endif
