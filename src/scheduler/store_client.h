/* HTTP calls to the platform's store. */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include "scheduler.h"

struct store_op;

/*
 * "status" is 0 if no complete answer came.  "sent" is false if no byte of the
 * request was sent, so that it cannot have taken effect.
 */
typedef void store_done_fn(
    void *arg, int status, bool sent, const void *body, size_t len);

/*
 * Takes ownership of the call's body.  NULL if the call could not be started;
 * "done" is not called then.
 */
struct store_op *store_op_start(struct scheduler *s, struct store_call *c,
    int timeout_ms, store_done_fn *done, void *arg);
/* "done" is not called afterwards.  Accepts NULL. */
void store_op_cancel(struct store_op *op);

#endif
