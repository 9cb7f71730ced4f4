/*
 * One append to the store under a writer's number.  Its answer may be lost on
 * the way: it is repeated under the same number, which the store takes once,
 * and the first answer that settles it counts.
 */
#ifndef APPEND_OP_H
#define APPEND_OP_H

#include "scheduler.h"

struct append_op;

/* "body" is the answer's; NULL where none came. */
typedef void append_done_fn(
    void *arg, enum store_outcome outcome, const void *body, size_t len);

/*
 * "opts" needs an epoch and a number; the records are referred to.  NULL where
 * it could not be started; "end" is not called then, nor from within.
 */
struct append_op *append_op_start(struct scheduler *s,
    const struct append_opts *opts, append_done_fn *end, void *arg);
/* "end" is not called any more.  Accepts NULL. */
void append_op_cancel(struct append_op *a);

#endif
