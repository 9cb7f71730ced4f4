/* A request handed on to the daemon that owns its pool. */
#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include "job_call.h"
#include "scheduler.h"

#define PEER_PATH_JOBS "/jobs"
#define PEER_PATH_CORDONS "/cordons"

struct peer_call;

/* "reply" is called once, never from inside; NULL where it cannot start. */
struct peer_call *peer_call_start(struct scheduler *s,
    const struct endpoint *to, const struct job_request *r, int timeout_ms,
    job_reply_fn *reply, void *arg);
/* "reply" is not called any more.  Accepts NULL. */
void peer_call_cancel(struct peer_call *c);

#endif
