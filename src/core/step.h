/*
 * The one reducer: every event of a daemon goes through core_step(), which
 * changes the state and appends effects.  Pure but for memory: no I/O, no
 * clock, and its randomness is part of the state.
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
	uint64_t incarnation; /* random, never used twice */
	uint64_t seed; /* of the reducer's randomness; not 0 */
	enum path_policy policy; /* 0: PATH_POLICY_CREDIT */
};

struct core *core_new(const struct core_opts *opts);
void core_free(struct core *c);
void core_step(struct core *c, const struct event *ev, struct effects *fx);

uint64_t core_id(const struct core *c);
/* Takes callers' requests: has state and is not stopping. */
bool core_healthy(const struct core *c);
const struct fold *core_fold(const struct core *c);
const struct path *core_path(const struct core *c);
uint64_t daemon_id(const char *name); /* xxhash of a daemon's name */

/* The VM as this daemon knows it, if it would send work there; else NULL. */
const struct vm *core_serving_vm(const struct core *c, const char *vm);
/* Proposes one move of a VM; see control_propose_moves(). */
bool core_propose_move(struct core *c, const char *vm, const char *pool);

struct json_object *core_dump(const struct core *c);
/* Short state for "status": services, budgets, pools, leaving, versions. */
struct json_object *core_status(struct core *c);
struct json_object *core_plan(struct core *c);
/*
 * Submits a task, or cancels tasks; see tasks.h for the JSON.  What is taken
 * goes to the log with the next tick; the fold then decides.  NULL with "e"
 * filled on a refusal.
 */
struct json_object *core_tasks_post(
    struct core *c, const char *body, size_t len, struct err *e);
struct json_object *core_tasks_delete(
    struct core *c, const char *body, size_t len, struct err *e);
/* One task as the fold knows it; NULL where it knows none of this id. */
struct json_object *core_task(const struct core *c, uint64_t id);
void core_metrics(const struct core *c, struct buf *out);

#endif
