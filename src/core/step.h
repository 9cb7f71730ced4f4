/*
 * The reducer of a daemon: core_step() applies one event to the state and
 * appends the resulting effects.  It does no I/O and reads no clock, and the
 * random generator is part of the state, so a run can be replayed.
 */
#ifndef STEP_H
#define STEP_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

#include "effect.h"
#include "event.h"
#include "fold.h"
#include "path.h"

struct core;

struct core_opts {
	const char *name; /* unique among all daemons */
	const char *data_centre;
	uint64_t incarnation; /* random, never reused */
	uint64_t seed; /* of the reducer's random generator; not 0 */
	enum path_policy policy; /* 0: PATH_POLICY_CREDIT */
};

/* NULL if out of memory. */
struct core *core_new(const struct core_opts *opts);
void core_free(struct core *c);
/* Applies one event and appends its effects to "fx". */
void core_step(struct core *c, const struct event *ev, struct effects *fx);

uint64_t core_id(const struct core *c);
/* True if the daemon accepts requests: it is ready and not stopping. */
bool core_healthy(const struct core *c);
const struct fold *core_fold(const struct core *c);
const struct path *core_path(const struct core *c);
uint64_t daemon_id(const char *name); /* xxhash of the name */

/*
 * The VM's state in the fold; NULL if it is unknown or this daemon would send
 * it no requests.
 */
const struct vm *core_find_serving_vm(const struct core *c, const char *vm);
/* Proposes a move of a VM to a pool; see control_propose_moves(). */
bool core_propose_move(struct core *c, const char *vm, const char *pool);

/* Complete state, for debugging. */
struct json_object *core_dump(const struct core *c);
/* Summary for "status", see status.h. */
struct json_object *core_status(struct core *c);
/* Moves and maintenance that this daemon would propose, for "plan". */
struct json_object *core_plan(struct core *c);
/*
 * Submit a task, or cancel tasks; see tasks.h for the JSON.  An accepted
 * request is appended to the log on the next tick, and the fold then admits or
 * rejects it.  On refusal, NULL with "e" set.
 */
struct json_object *core_tasks_post(
    struct core *c, const char *body, size_t len, struct err *e);
struct json_object *core_tasks_delete(
    struct core *c, const char *body, size_t len, struct err *e);
/* State of a task in the fold; NULL if no task has this id. */
struct json_object *core_task_json(const struct core *c, uint64_t id);
void core_metrics(const struct core *c, struct buf *out);

#endif
