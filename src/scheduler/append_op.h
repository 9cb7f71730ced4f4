/*
 * One append to the store, identified by epoch and sequence number.  Its answer
 * may get lost, so the append is retransmitted under the same number, which the
 * store applies only once; the first final answer ends the operation.
 */
#ifndef APPEND_OP_H
#define APPEND_OP_H

#include "append_window.h"
#include "scheduler.h"

struct append_op;

/* "body" is the answer's body; NULL if no answer came. */
typedef void append_done_fn(
    void *arg, enum store_outcome outcome, const void *body, size_t len);

/*
 * "opts" must have an epoch and a sequence number; a reference to the records
 * is taken.  "done" is called once, never from within this function.  NULL if
 * the append could not be started; "done" is not called then.
 */
struct append_op *append_op_start(struct scheduler *s,
    const struct store_append_opts *opts, append_done_fn *done, void *arg);
/*
 * The append belongs to the window: its answers count towards the window's
 * pace, which delays retransmissions while the store is slow.  The window must
 * outlive the append.
 */
void append_op_set_window(struct append_op *a, struct append_window *w);
/* "done" is not called afterwards.  Accepts NULL. */
void append_op_cancel(struct append_op *a);

#endif
