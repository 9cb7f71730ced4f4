/*
 * HTTP front end: callers' job requests, which are routed to the owner of the
 * pool, and the load balancer's readiness checks.
 */
#ifndef JOB_FRONTEND_H
#define JOB_FRONTEND_H

#include "scheduler.h"

struct job_frontend;

struct job_frontend *job_frontend_new(struct scheduler *s, struct err *e);
/*
 * Call after lws_context_destroy(), which closes the listeners' connections.
 */
void job_frontend_free(struct job_frontend *f);
/* Drops all pending requests.  Call before lws_context_destroy(). */
void job_frontend_cancel_requests(struct job_frontend *f);
/* From now on each answer closes its connection (planned stop). */
void job_frontend_close_connections(struct job_frontend *f);
void job_frontend_stop_listening(struct job_frontend *f);
/*
 * Answers all pending requests without waiting any longer; later requests are
 * refused.
 */
void job_frontend_answer_all(struct job_frontend *f);
/* Requests without an answer, and connections with partial requests. */
size_t job_frontend_pending_count(const struct job_frontend *f);

#endif
