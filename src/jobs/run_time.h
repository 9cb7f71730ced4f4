/*
 * Expected run times of a queue's tasks, learned from callers' estimates and
 * measured run times.  Estimates may be wrong by a factor of several in both
 * directions, and then say less about a task than the run times of others.
 * Does no I/O and reads no clock.
 */
#ifndef JOBS_RUN_TIME_H
#define JOBS_RUN_TIME_H

#include <stdint.h>

#include <uthash.h>

#include "bounds.h"

/* Linear regression of log run time on log estimate. */
struct run_time_model {
	char queue[NAME_BYTES];
	/* Weighted sums, newer runs more; x: log estimate, y: log run time. */
	double weight, x, y, xx, xy, yy;
	/*
	 * Expected run time: log_mean_ms for an estimate of log mean_x, with
	 * the slope for others.
	 */
	double mean_x, log_mean_ms, slope;
	UT_hash_handle hh; /* by queue */
};

/* NULL: no task of the queue has ended yet. */
const struct run_time_model *run_time_find(
    const struct run_time_model *table, const char *queue);
/*
 * Mean run time in ms of tasks with this estimate (0: none was given).  The
 * estimate itself if "m" is NULL.
 */
double run_time_expected_ms(
    const struct run_time_model *m, int64_t estimate_ms);
/*
 * Adds a measured run.  The weight of all tasks of a step should be 1 in total:
 * they run for about the same time.
 */
void run_time_add(struct run_time_model **table, const char *queue,
    int64_t estimate_ms, double took_ms, double weight);
void run_time_free(struct run_time_model *table);

#endif
