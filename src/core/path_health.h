/*
 * Health of upstreams as this daemon measures it. Failures count against an
 * upstream, so that one that fails every request quickly attracts no load by
 * looking idle. The pool's availability budget limits the number of ejected
 * upstreams; beyond that limit bad upstreams stay in use, ranked behind better
 * ones.
 */
#ifndef PATH_HEALTH_H
#define PATH_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "path_upstream.h"

/* Records a complete answer; "good" is false for a server error (5xx). */
void health_record_answer(
    struct upstream *u, int64_t now_us, int64_t elapsed_us, bool good);
/* Records an attempt that failed without a complete answer. */
void health_record_failure(struct upstream *u, int64_t now_us);
/*
 * Ends a probe whose attempt had no result (caller gone or attempt cancelled).
 */
void health_release_probe(struct upstream *u);
/* True where the recent failures justify an ejection. */
bool health_is_bad(const struct upstream *u);
/*
 * Ejects bad upstreams within the pool's budget. Where more upstreams are bad
 * than the budget allows, "confirm" must agree to each ejection.
 */
void health_update_ejections(struct upstream_pool *p, int64_t now_us,
    bool (*confirm)(const struct upstream *u, const void *arg),
    const void *arg);
/* True where an ejected upstream may get a probe now; one probe at a time. */
bool health_probe_due(const struct upstream *u, int64_t now_us);
/*
 * For upstreams without a recent successful answer: moves the latency towards
 * the pool's mean and the failure ratio towards 0.
 */
void health_decay(struct upstream_pool *p, int64_t now_us);
/* Expected time of one more request at this upstream. */
int64_t health_expected_time_us(const struct upstream *u);
/*
 * 0 for a good upstream; upstreams of a larger rank are used only when no
 * upstream of a smaller rank has a free slot.
 */
int health_rank(const struct upstream *u);

#endif
