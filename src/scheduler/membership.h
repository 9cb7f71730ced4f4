/*
 * Membership of this daemon in the store's group of schedulers, and the
 * member that owns each pool according to the group.  The answers are hints:
 * two members may both take themselves for the owner of a pool.  Epochs in
 * the store and fences at workers make that safe.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "config_call.h"
#include "scheduler.h"

struct membership;

struct membership *membership_new(struct scheduler *s);
void membership_free(struct membership *m);
/*
 * Stores the address of the pool's owner, as last read from the group, in
 * "to".  Returns false where no owner is known.  "self" is set where the owner
 * is this daemon.
 */
bool membership_owner_of(const struct membership *m, const char *pool,
    struct endpoint *to, bool *self);
/*
 * True where no member can be assigned the pool or take it over at present:
 * the store does not answer for the group or for the pool's topic.
 */
bool membership_takeover_blocked(const struct membership *m, const char *pool);
/*
 * Reads the owners of all pools from the store again, soon.  For callers that
 * found no owner or got no answer from it.
 */
void membership_refresh_owners(struct membership *m);
/* Owners as last known, for a peer; "age_ms" is -1 where none is known. */
void membership_known_owners(
    const struct membership *m, struct group_owners *out);
/*
 * Takes a peer's word for the owners if it read them, at "read_boot_us", later
 * than this daemon did.
 */
void membership_adopt_owners(
    struct membership *m, const struct group_owners *o, int64_t read_boot_us);
/* Sends a join at once, as the new configuration may have other pools. */
void membership_config_changed(struct membership *m);
/* Leaves the group before a planned stop.  All pools must be released. */
void membership_leave(struct membership *m);

/*
 * Partition of the group's topic that stands for the pool.  Pools are numbered
 * in the order of their names, and wrap around at "parts" partitions.
 */
int membership_pool_partition(
    const struct config *c, const char *pool, int parts);

#endif
