/*
 * Follows the homes of all queues, and registers the pools that this daemon
 * owns as homes of their queues: see queue_homes.h.
 */
#ifndef HOME_REGISTRY_H
#define HOME_REGISTRY_H

#include "queue_homes.h"
#include "scheduler.h"

struct home_registry;

struct home_registry *home_registry_new(struct scheduler *s);
void home_registry_free(struct home_registry *r);
/* A pool is being taken over: reads what its earlier owners have registered. */
void home_registry_refresh(struct home_registry *r);
/*
 * Decides on a request for a job that the pool does not have.  The homes, or
 * the configuration, must have been read after "since_us" (boot clock), when
 * the takeover of the pool began: an earlier owner may have known more.  A pool
 * that is not registered is being registered afterwards.
 */
void home_registry_decide(struct home_registry *r, const struct home_query *q,
    int64_t since_us, struct home_decision *d);
/*
 * Drops pools as homes of queues of which they have no jobs.  The owner must
 * accept no jobs of these queues, by its configuration.
 */
void home_registry_drop(
    struct home_registry *r, const struct queue_home *homes, size_t count);
const struct queue_homes *home_registry_homes(const struct home_registry *r);

#endif
