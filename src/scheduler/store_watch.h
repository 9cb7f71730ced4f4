/*
 * Follows two topics of the store: the operators' (configuration and
 * maintenance waves) and the workers' (one entry for each worker).  The
 * configuration version never goes backwards, even on stale reads.
 */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "buf.h"
#include "scheduler.h"

struct store_watch;

struct store_watch *store_watch_new(struct scheduler *s);
void store_watch_free(struct store_watch *w);
enum config_take {
	CONFIG_TAKEN,
	CONFIG_NOT_NEWER,
	CONFIG_MALFORMED
};

/* Puts a record of the configuration in force, as one read from the store. */
enum config_take store_watch_take_config(
    struct store_watch *w, const void *data, size_t len);
/* Record of the configuration in force; NULL when there is none. */
struct buf *store_watch_config_record(const struct store_watch *w);
/* When the newest read of the operators' topic that reached its end was sent.
 */
int64_t store_watch_operators_read_us(const struct store_watch *w);
/* Starts or stops following workers' entries; needed while owning a pool. */
void store_watch_follow_workers(struct store_watch *w, bool follow);
/* All entries have been read since following started. */
bool store_watch_workers_loaded(const struct store_watch *w);
/* Time since the last read; undefined until the entries are loaded. */
int64_t store_watch_workers_age_us(const struct store_watch *w);
/* Calls "each" with the entry of every worker of the pool. */
void store_watch_each_worker(const struct store_watch *w, const char *pool,
    void (*each)(void *arg, const struct worker_report *r), void *arg);

#endif
