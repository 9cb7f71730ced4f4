/*
 * Follows the operators' configuration and the workers' entries in the
 * store.  Versions never go back, whatever a stale answer says.
 */
#ifndef WATCH_H
#define WATCH_H

#include "scheduler.h"

struct watch;

struct watch *watch_new(struct scheduler *s);
void watch_free(struct watch *w);
/* Entries are followed only while somebody needs them. */
void watch_need_workers(struct watch *w, bool need);
/* All entries have been read since they are needed. */
bool watch_workers_known(const struct watch *w);
/* Since entries were read last; of no meaning before they are known. */
int64_t watch_workers_age_us(const struct watch *w);
/* Calls back with each entry of a pool's workers. */
void watch_each_worker(const struct watch *w, const char *pool,
    void (*each)(void *arg, const struct worker_report *r), void *arg);

#endif
