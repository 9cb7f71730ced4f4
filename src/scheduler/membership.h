/*
 * Who owns which pool, as the store's group deals it.  A hint only: epochs
 * in the store and fences at workers make it safe where two believe they own
 * a pool.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "scheduler.h"

struct membership;

struct membership *membership_new(struct scheduler *s);
void membership_free(struct membership *o);
/*
 * Daemon that owns a pool, as last heard; false where none is known.  "self":
 * it is this one.
 */
bool membership_owner_of(const struct membership *o, const char *pool,
    struct endpoint *to, bool *self);
/*
 * Nobody can be dealt the pool or take it over now, as far as is known here:
 * the group or the pool's topic is away.
 */
bool membership_takeover_blocked(const struct membership *o, const char *pool);
/* The owner did not answer, or is none: asks the store again soon. */
void membership_refresh_owners(struct membership *o);
/* A new configuration may have other pools. */
void membership_config_changed(struct membership *o);
/* Leaves the group (planned stop); the pools must have been given up. */
void membership_leave(struct membership *o);

/* Pool's place among the partitions that the group deals. */
int membership_pool_partition(
    const struct config *c, const char *pool, int parts);

#endif
