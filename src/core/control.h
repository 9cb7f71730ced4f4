/*
 * The control path: start-up, snapshots, proposals for moves, maintenance
 * and tasks, acknowledgements, and the execution of what was admitted.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

#include "effect.h"
#include "event.h"
#include "fold.h"
#include "view.h"

struct control;

struct control *control_new(void);
void control_free(struct control *c);
/*
 * Sees every event before the request path.  May replace *f (a snapshot or a
 * peer's state) by a newer one and then frees the old one.
 */
void control_step(struct control *c, struct fold **f, const struct view *v,
    const struct event *ev, struct effects *fx);
/* See "ready" in view.h. */
bool control_ready(const struct control *c);
bool control_log_down(const struct control *c);
/* A planned stop may end: the log no longer counts on this daemon. */
bool control_is_deregistered(const struct control *c);
/* VM known here to be leaving, from whichever source told first. */
bool control_vm_is_leaving(
    const struct control *c, const char *vm, uint64_t incarnation);

struct move {
	char vm[NAME_BYTES];
	char to_pool[NAME_BYTES]; /* pool */
};
/*
 * Proposes moves of VMs of this data centre in one record; the fold decides
 * about each.  False where nothing may be proposed now.
 */
bool control_propose_moves(struct control *c, const struct view *v,
    const struct move *moves, size_t count);

/* What this daemon would move or maintain, and why; for "plan". */
struct json_object *control_plan(const struct control *c, const struct view *v);
struct json_object *control_dump(const struct control *c);
void control_metrics(const struct control *c, struct buf *out);

#endif
