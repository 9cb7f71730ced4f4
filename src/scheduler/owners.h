/*
 * Who owns which pool, as the store's group deals it.  A hint only: epochs
 * in the store and fences at workers make it safe where two believe they own
 * a pool.
 */
#ifndef OWNERS_H
#define OWNERS_H

#include "scheduler.h"

struct owners;

struct owners *owners_new(struct scheduler *s);
void owners_free(struct owners *o);
/*
 * Daemon that owns a pool, as last heard; false where none is known.  "self":
 * it is this one.
 */
bool owners_of(
    const struct owners *o, const char *pool, struct endpoint *to, bool *self);
/*
 * Nobody can be dealt the pool or take it over now, as far as is known here:
 * the group or the pool's topic is away.
 */
bool owners_stuck(const struct owners *o, const char *pool);
/* The owner did not answer, or is none: asks the store again soon. */
void owners_refresh(struct owners *o);
/* A new configuration may have other pools. */
void owners_config_changed(struct owners *o);
/* Leaves the group (planned stop); the pools must have been given up. */
void owners_leave(struct owners *o);

/* Pool's place among the partitions that the group deals. */
int owners_part(const struct config *c, const char *pool, int parts);

#endif
