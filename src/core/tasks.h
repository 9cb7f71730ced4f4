/*
 * Members' tasks: appends submissions and cancellations to the log, proposes
 * placements, and executes the admitted ones on the workers of the daemon's
 * own data centre.  One daemon of a data centre is responsible at a time.  Two
 * daemons that act at once do no harm: the fold admits only one placement, and
 * every operation on a worker carries the lease's epoch.
 */
#ifndef TASKS_H
#define TASKS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <json-c/json.h>

#include "effect.h"
#include "event.h"
#include "task_batch.h"
#include "view.h"

/* "state" of a struct usage_entry. */
enum usage_state {
	USAGE_RUNNING = 0,
	USAGE_DONE = 1,
	USAGE_FAILED = 2,
	USAGE_CHECKPOINTED = 3,
	USAGE_LAPSED = 4, /* stopped by the worker: the lease expired */
	USAGE_THROTTLED = 5
};

struct tasks;

struct tasks *tasks_new(void);
void tasks_free(struct tasks *tasks);
/*
 * Handles EVENT_TICK, EVENT_STOP, EVENT_LOG_BATCH, EVENT_USAGE and
 * EVENT_PLATFORM_RESULT.
 */
void tasks_step(struct tasks *tasks, const struct view *v,
    const struct event *ev, struct effects *fx);

/*
 * Queues a submission for the log; the fold admits or refuses it there.
 * Returns -1 and sets "e" if this daemon takes no submissions now or the fold
 * would refuse the task.  Always sets *id, which is derived from the member
 * and the name: a repeated submission names the same task and has no effect.
 */
int tasks_submit(struct tasks *tasks, const struct view *v,
    const struct task_submit *s, uint64_t *id, struct err *e);
/*
 * Queues a cancellation of all tasks that match "c", as one log entry.
 * Returns -1 and sets "e" if it has no criterion or can't be queued now.
 */
int tasks_cancel(struct tasks *tasks, const struct view *v,
    const struct task_cancel *c, struct err *e);
/*
 * tasks_submit() and tasks_cancel() for the admin server, with JSON bodies.
 * POST /tasks:
 * {"member","name","urgent","yield","cores","memory_mb","accelerators"};
 * answers {"id","state"}.  DELETE /tasks: {"member","prefix","from","to",
 * "ids"}; answers {"state"}.  The caller owns the returned object.  Both
 * return NULL and set "e" on a refusal.
 */
struct json_object *tasks_post(struct tasks *tasks, const struct view *v,
    const char *body, size_t len, struct err *e);
struct json_object *tasks_delete(struct tasks *tasks, const struct view *v,
    const char *body, size_t len, struct err *e);

/* Writes the keys of both requests as Markdown. */
void tasks_write_markdown(FILE *out);

struct json_object *tasks_dump(const struct tasks *tasks);
void tasks_metrics(const struct tasks *tasks, struct buf *out);

#endif
