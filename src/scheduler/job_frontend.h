/* Callers' requests and the balancer's question whether to send more. */
#ifndef JOB_FRONTEND_H
#define JOB_FRONTEND_H

#include "scheduler.h"

struct job_frontend;

struct job_frontend *job_frontend_new(struct scheduler *s, struct err *e);
/* After the context: it ends the listeners' connections. */
void job_frontend_free(struct job_frontend *f);
/* Before the context: calls under way are dropped. */
void job_frontend_cancel_requests(struct job_frontend *f);
/* Answers close their connections from now on (planned stop). */
void job_frontend_close_connections(struct job_frontend *f);
void job_frontend_stop_listening(struct job_frontend *f);
/* Gives all that wait their final answer, and all that still come. */
void job_frontend_answer_all(struct job_frontend *f);
/* Requests that have no answer yet. */
size_t job_frontend_pending_count(const struct job_frontend *f);

#endif
