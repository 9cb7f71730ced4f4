/* Calls to the platform's store. */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include "scheduler.h"

struct store_op;

/* "status" is 0 where no whole answer came; "sent": it may be carried out. */
typedef void store_done_fn(
    void *arg, int status, bool sent, const void *body, size_t len);

/*
 * Takes over the call's body.  NULL where it could not be started; "end" is
 * not called then.
 */
struct store_op *store_op_start(struct scheduler *s, struct store_call *c,
    int timeout_ms, store_done_fn *end, void *arg);
/* "end" is not called any more.  Accepts NULL. */
void store_op_cancel(struct store_op *op);

#endif
