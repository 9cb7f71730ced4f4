/*
 * Health of upstreams as this daemon sees it.  Failures count against an
 * upstream, so that one that fails everything fast draws no work by looking
 * idle.  Ejection is capped by the pool's availability budget; beyond the cap
 * bad upstreams only stand back behind better ones.
 */
#ifndef PATH_HEALTH_H
#define PATH_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "path_upstream.h"

/* A whole answer; "good" is false for a server error (5xx). */
void health_record_answer(
    struct upstream *u, int64_t now_us, int64_t took_us, bool good);
/* An attempt that failed without a whole answer. */
void health_record_failure(struct upstream *u, int64_t now_us);
/* The attempt ended without telling anything (caller gone, cancelled). */
void health_release_probe(struct upstream *u);
/* Looks bad enough to be ejected. */
bool health_is_bad(const struct upstream *u);
/* Ejects within the budget; "confirm" tells whether a peer agrees. */
void health_update_ejections(struct upstream_pool *p, int64_t now_us,
    bool (*confirm)(const struct upstream *u, const void *arg),
    const void *arg);
/* True where an ejected upstream may get its one probe now. */
bool health_probe_due(const struct upstream *u, int64_t now_us);
/* Lets the latency of an idle upstream drift back to its pool's. */
void health_decay(struct upstream_pool *p, int64_t now_us);
/* Expected time of one more request there; the lower the better. */
int64_t health_expected_time_us(const struct upstream *u);
/* 0: good; larger: stands back behind all of a lower rank. */
int health_rank(const struct upstream *u);

#endif
