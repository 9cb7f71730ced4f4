/* Callers' requests and the balancer's question whether to send more. */
#ifndef FRONT_H
#define FRONT_H

#include "scheduler.h"

struct front;

struct front *front_new(struct scheduler *s, struct err *e);
/* After the context: it ends the listeners' connections. */
void front_free(struct front *f);
/* Before the context: calls under way are dropped. */
void front_close(struct front *f);
/* Answers close their connections from now on (planned stop). */
void front_leave(struct front *f);
void front_stop_listening(struct front *f);
/* Gives all that wait their final answer, and all that still come. */
void front_answer_all(struct front *f);
/* Requests that have no answer yet. */
size_t front_busy(const struct front *f);

#endif
