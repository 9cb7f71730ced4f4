/*
 * The pools that this daemon owns: taken over from the store, run by the
 * pool's reducer, given up when the group or a fence says so.
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
 * The group's answer: "pools" are this daemon's, as of "asked_boot_us".  New
 * ones are taken over, those that are missing are given up.
 */
void shards_assign(struct shards *all, const char (*pools)[NAME_BYTES],
    size_t count, int64_t asked_boot_us);
/*
 * Gives all up for a planned stop, each once its writes are stored, or with
 * "at_once" without waiting.  Call it until none is left.
 */
void shards_release_all(struct shards *all, bool at_once);
bool shards_empty(const struct shards *all);

void shards_worker_changed(struct shards *all, const struct worker_report *r);
void shards_worker_removed(
    struct shards *all, const char *pool, const char *id);
void shards_workers_loaded(struct shards *all);
void shards_config_changed(struct shards *all);
/* The steady clock may have stood still: ownership is looked at first. */
void shards_release_expired(struct shards *all);

/*
 * "reply" is called exactly once, possibly before this returns.  The request
 * is not kept.
 */
void shards_handle_request(struct shards *all, const struct job_request *r,
    job_reply_fn *reply, void *arg);
/*
 * Cordons workers of a pool and reports on it; -1 where this daemon does not
 * own it.  Free the report with pool_report_uninit().
 */
int shards_apply_cordons(struct shards *all, const struct cordon_request *r,
    struct pool_report *report);
/* True where this daemon owns the pool and has taken it over. */
bool shards_owns(const struct shards *all, const char *pool);
void shards_metrics(const struct shards *all, struct buf *out);
void shards_dump(const struct shards *all, struct buf *out);

#endif
