/*
 * The request path: admission, fairness, slots and credits, routing,
 * retries, idempotency keys, spill.  Every request ends in exactly one
 * EFFECT_ANSWER (or in EVENT_CALLER_GONE).
 */
#ifndef PATH_H
#define PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "effect.h"
#include "event.h"
#include "view.h"

struct path;

/* How the daemons of a data centre share the slots of its workers. */
enum path_policy {
	PATH_POLICY_CREDIT, /* own shares and loans under leases */
	PATH_POLICY_STATIC, /* an equal share each; a baseline for experiments
			     */
	PATH_POLICY_TWO_CHOICES /* all slots to each, power of two choices; a
				   baseline */
};

struct path *path_new(enum path_policy policy);
void path_free(struct path *p);
/* Sees every event after the fold and the peers have taken it in. */
void path_step(struct path *p, const struct view *v, const struct event *ev,
    struct effects *fx);
/* Requests that this daemon has at a VM, or has lent a slot for. */
unsigned path_slots_in_use(
    const struct path *p, const char *vm, uint64_t incarnation);
/* Slots of a VM that this daemon may use now, borrowed ones among them. */
int path_credits(const struct path *p, const char *vm, uint64_t incarnation);
/* Length of the longest queue of any service, class and member. */
size_t path_longest_queue(const struct path *p);
/* Requests that this daemon has not answered yet. */
unsigned path_open_count(const struct path *p);
/*
 * Offered load of a pool in slots (smoothed), for the planner.
 * Returns parts per million of one slot.
 */
int64_t path_demand_ppm(const struct path *p, const char *pool);

struct json_object *path_dump(const struct path *p);
void path_metrics(const struct path *p, struct buf *out);

#endif
