/* Forwards a request to the daemon that owns the pool. */
#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include "job_call.h"
#include "scheduler.h"

#define PEER_PATH_JOBS "/jobs"
#define PEER_PATH_CORDONS "/cordons"

struct peer_call;

/*
 * "reply" is called exactly once unless the call is cancelled, never from
 * within this function.  NULL if the call could not be started.
 */
struct peer_call *peer_call_start(struct scheduler *s,
    const struct endpoint *to, const struct job_request *r, int timeout_ms,
    job_reply_fn *reply, void *arg);
/* The call may last "timeout_ms" from now on. */
void peer_call_set_timeout(struct peer_call *c, int timeout_ms);
/* "reply" is not called afterwards.  Accepts NULL. */
void peer_call_cancel(struct peer_call *c);

#endif
