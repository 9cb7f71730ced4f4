#include "run_time.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define MEMORY_STEPS 60.0 /* steps after which a run's weight is 1/e */
/*
 * Confidence in callers' estimates before runs are measured, as a weight: that
 * their mean is right, and that run times are proportional to them.
 */
#define PRIOR_MEAN_WEIGHT 1.0
#define PRIOR_SLOPE_WEIGHT 3.0
#define VARIANCE_MAX 1.0 /* limits the effect of a few stuck runs */

const struct run_time_model *
run_time_find(const struct run_time_model *table, const char *queue)
{
	const struct run_time_model *m;

	HASH_FIND_STR(table, queue, m);
	return m;
}

double
run_time_expected_ms(const struct run_time_model *m, int64_t estimate_ms)
{
	if (m == NULL)
		return (double)estimate_ms;
	if (estimate_ms <= 0)
		return exp(m->log_mean_ms);
	return exp(
	    m->log_mean_ms + m->slope * (log((double)estimate_ms) - m->mean_x));
}

static void
fit(struct run_time_model *m)
{
	double xx, xy, yy, slope, mean_y, variance;

	m->mean_x = m->x / m->weight;
	mean_y = (m->y + PRIOR_MEAN_WEIGHT * m->mean_x) /
	    (m->weight + PRIOR_MEAN_WEIGHT);
	xx = m->xx - m->x * m->mean_x;
	xy = m->xy - m->y * m->mean_x;
	yy = m->yy - m->y * m->y / m->weight;
	slope = (xy + PRIOR_SLOPE_WEIGHT) / (xx + PRIOR_SLOPE_WEIGHT);
	slope = fmin(fmax(slope, 0), 1);
	variance = fmax(yy - 2 * slope * xy + slope * slope * xx, 0) /
	    (m->weight + PRIOR_MEAN_WEIGHT);
	m->slope = slope;
	/* mean of a log-normal distribution */
	m->log_mean_ms = mean_y + fmin(variance, VARIANCE_MAX) / 2;
}

static struct run_time_model *
find_or_add(struct run_time_model **table, const char *queue)
{
	struct run_time_model *m;

	HASH_FIND_STR(*table, queue, m);
	if (m != NULL)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		return NULL;
	snprintf(m->queue, sizeof(m->queue), "%s", queue);
	HASH_ADD_STR(*table, queue, m);
	return m;
}

void
run_time_add(struct run_time_model **table, const char *queue,
    int64_t estimate_ms, double took_ms, double weight)
{
	double x, y, kept = exp(-weight / MEMORY_STEPS);
	struct run_time_model *m;

	if (estimate_ms <= 0)
		return;
	m = find_or_add(table, queue);
	if (m == NULL)
		return; /* out of memory: callers' estimates stay in use */
	x = log((double)estimate_ms);
	y = log(fmax(took_ms, 1));
	m->weight = m->weight * kept + weight;
	m->x = m->x * kept + weight * x;
	m->y = m->y * kept + weight * y;
	m->xx = m->xx * kept + weight * x * x;
	m->xy = m->xy * kept + weight * x * y;
	m->yy = m->yy * kept + weight * y * y;
	fit(m);
}

void
run_time_free(struct run_time_model *table)
{
	struct run_time_model *m, *next;

	HASH_ITER(hh, table, m, next)
	{
		HASH_DEL(table, m);
		free(m);
	}
}
