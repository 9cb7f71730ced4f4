/*
 * Follows the operators' configuration and the workers' entries in the
 * store.  Versions never go back, whatever a stale answer says.
 */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "scheduler.h"

struct store_watch;

struct store_watch *store_watch_new(struct scheduler *s);
void store_watch_free(struct store_watch *w);
/* Entries are followed only while somebody needs them. */
void store_watch_follow_workers(struct store_watch *w, bool need);
/* All entries have been read since they are needed. */
bool store_watch_workers_loaded(const struct store_watch *w);
/* Since entries were read last; of no meaning before they are known. */
int64_t store_watch_workers_age_us(const struct store_watch *w);
/* Calls back with each entry of a pool's workers. */
void store_watch_each_worker(const struct store_watch *w, const char *pool,
    void (*each)(void *arg, const struct worker_report *r), void *arg);

#endif
