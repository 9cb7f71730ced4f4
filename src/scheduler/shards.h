/*
 * The pools that this daemon owns, one shard each.  A shard takes its pool
 * over from the store, runs the pool's reducer, and is released when the group
 * assigns the pool elsewhere or a later owner fences it.
 */
#ifndef SHARDS_H
#define SHARDS_H

#include "cordon_wire.h"
#include "job_call.h"
#include "scheduler.h"

struct shards;

struct shards *shards_new(struct scheduler *s);
void shards_free(struct shards *all);

/*
 * Applies the group's answer to a join that was sent at "join_sent_boot_us":
 * "pools" are all pools assigned to this daemon.  Starts takeovers of new ones
 * and releases those that are missing.
 */
void shards_assign(struct shards *all, const char (*pools)[NAME_BYTES],
    size_t count, int64_t join_sent_boot_us);
/*
 * Releases all pools for a planned stop: each once its writes are stored, or
 * with "at_once" without waiting.  Call it again until shards_empty().
 */
void shards_release_all(struct shards *all, bool at_once);
bool shards_empty(const struct shards *all);

/* A worker's entry in the store is new or has changed. */
void shards_worker_changed(struct shards *all, const struct worker_report *r);
/* A worker's entry was dropped from the store. */
void shards_worker_removed(
    struct shards *all, const char *pool, const char *id);
/* All workers' entries have been read. */
void shards_workers_loaded(struct shards *all);
/* "accounts_before": of the configuration before; NULL: it had none. */
void shards_config_changed(
    struct shards *all, const struct account_table *accounts_before);
/*
 * Releases pools whose ownership has expired.  Called regularly, as shards'
 * own timers stand still while the process is suspended.
 */
void shards_release_expired(struct shards *all);

/*
 * Passes a caller's request to the pool's reducer.  "reply" is called exactly
 * once, possibly before this returns.  The request is not retained.
 */
void shards_handle_request(struct shards *all, const struct job_request *r,
    job_reply_fn *reply, void *arg);
/*
 * Applies the controller's cordons to a pool and fills "report"; -1 where this
 * daemon does not own the pool.  Free the report with pool_report_uninit().
 */
int shards_apply_cordons(struct shards *all, const struct cordon_request *r,
    struct pool_report *report);
/* Registers and drops the owned pools as homes of queues.  Called regularly. */
void shards_check_homes(struct shards *all);
/* Whether this daemon owns the pool and its takeover is complete. */
bool shards_owns(const struct shards *all, const char *pool);
void shards_metrics(const struct shards *all, struct buf *out);
/* Appends the state of all owned pools as a JSON array. */
void shards_dump(const struct shards *all, struct buf *out);

#endif
