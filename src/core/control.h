/*
 * The control path: start-up, reading the log, snapshots, proposals for moves
 * and maintenance, acknowledgements, and execution of admitted withdrawals.
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
 * Handles every event before the request path does.  May free *f and replace
 * it with a newer state from a snapshot or a peer.
 */
void control_step(struct control *c, struct fold **f, const struct view *v,
    const struct event *ev, struct effects *fx);
/* See struct view.ready. */
bool control_ready(const struct control *c);
bool control_log_down(const struct control *c);
/*
 * True if a planned stop may complete: the daemon has proposed its removal
 * from the record, or is not ready and has no registration pending.
 */
bool control_is_deregistered(const struct control *c);
/*
 * True if a peer or the VM list reports this VM as leaving and the local fold
 * cannot decide about it yet.  "incarnation" is ignored.
 */
bool control_vm_is_leaving(
    const struct control *c, const char *vm, uint64_t incarnation);

struct move {
	char vm[NAME_BYTES];
	char to_pool[NAME_BYTES];
};
/*
 * Proposes moves of VMs of this data centre in one record; the fold admits or
 * rejects each.  Returns false if nothing was proposed.
 */
bool control_propose_moves(struct control *c, const struct view *v,
    const struct move *moves, size_t count);

/*
 * Maintenance that this daemon would propose, with reasons, for the "plan"
 * output.  The caller owns the object.
 */
struct json_object *control_plan(const struct control *c, const struct view *v);
struct json_object *control_dump(const struct control *c);
void control_metrics(const struct control *c, struct buf *out);

#endif
