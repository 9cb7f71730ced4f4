/*
 * Tasks on a daemon: takes submissions and cancellations to the log, proposes
 * placements, and carries out what the fold admitted at the workers of its
 * own data centre.  Work is divided by duty; two daemons that do the same
 * work at once are harmless, because the fold admits one placement and
 * every operation at a worker carries its epoch.
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
	USAGE_LAPSED = 4, /* the worker stopped it: the lease was not renewed */
	USAGE_THROTTLED = 5
};

struct tasks;

struct tasks *tasks_new(void);
void tasks_free(struct tasks *k);
/* Handles EVENT_TICK, EVENT_USAGE and EVENT_PLATFORM_RESULT. */
void tasks_step(struct tasks *k, const struct view *v, const struct event *ev,
    struct effects *fx);

/*
 * Takes a submission; the fold decides once the record is in the log.
 * Returns -1 with "e" filled where it is known now that it would be refused.
 * *id is the task's in any case: the same member and name give the same id,
 * so a repeat is harmless.
 */
int tasks_submit(struct tasks *k, const struct view *v,
    const struct task_submit *s, uint64_t *id, struct err *e);
/* Takes a cancellation of many tasks; one entry of one record. */
int tasks_cancel(struct tasks *k, const struct view *v,
    const struct task_cancel *c, struct err *e);
/*
 * The same from and to JSON, for the admin server.  POST /tasks:
 * {"member","name","urgent","yield","cores","memory_mb","accelerators"};
 * answers {"id","state","reason"}.  DELETE /tasks: {"member","prefix","from",
 * "to","ids"}.  Both return NULL with "e" filled on a refusal.
 */
struct json_object *tasks_post(struct tasks *k, const struct view *v,
    const char *body, size_t len, struct err *e);
struct json_object *tasks_delete(struct tasks *k, const struct view *v,
    const char *body, size_t len, struct err *e);

/* Every key of both requests as Markdown. */
void tasks_write_markdown(FILE *out);

struct json_object *tasks_dump(const struct tasks *k);
void tasks_metrics(const struct tasks *k, struct buf *out);

#endif
