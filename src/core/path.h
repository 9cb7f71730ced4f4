/*
 * The request path: admission, per-member queues, slots and credits, routing,
 * retries, idempotency keys and spilling to other data centres. Every request
 * ends in exactly one EFFECT_ANSWER, or in EVENT_CALLER_GONE.
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
	/* A base share for each daemon, and loans under leases. */
	PATH_POLICY_CREDIT,
	/* Equal shares, no loans; a baseline for experiments. */
	PATH_POLICY_STATIC,
	/*
	 * Every daemon uses all slots and takes the less busy of two random
	 * upstreams; a baseline for experiments.
	 */
	PATH_POLICY_TWO_CHOICES
};

struct path *path_new(enum path_policy policy);
void path_free(struct path *p);
/* Handles one event. The fold and the peers must have handled it before. */
void path_step(struct path *p, const struct view *v, const struct event *ev,
    struct effects *fx);
/*
 * Slots of a VM that this daemon's requests use or that it has lent to peers.
 */
unsigned path_slots_in_use(
    const struct path *p, const char *vm, uint64_t incarnation);
/* Slots of a VM that this daemon may use now, borrowed slots included. */
int path_credits(const struct path *p, const char *vm, uint64_t incarnation);
/* Length of the longest queue over all services, classes and members. */
size_t path_longest_queue(const struct path *p);
/* Requests that have no answer yet. */
unsigned path_open_count(const struct path *p);
/*
 * Offered load of a pool as a moving average, in parts per million of one slot.
 * Read by the planner.
 */
int64_t path_demand_ppm(const struct path *p, const char *pool);

struct json_object *path_dump(const struct path *p);
void path_metrics(const struct path *p, struct buf *out);

#endif
