#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

#define WEIGHT 0.1 /* of a new measurement in the mean */
/* Limits the effect of one stuck run, which says little about the next. */
#define RATIO_MAX 8.0

double
estimate_correction_ratio(
    const struct estimate_correction *table, const char *queue)
{
	const struct estimate_correction *c;

	HASH_FIND_STR(table, queue, c);
	return c != NULL ? c->ratio : 1;
}

void
estimate_correction_add(struct estimate_correction **table, const char *queue,
    double estimate_ms, double took_ms)
{
	double ratio = took_ms / (estimate_ms > 1 ? estimate_ms : 1);
	struct estimate_correction *c;

	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	HASH_FIND_STR(*table, queue, c);
	if (c != NULL) {
		c->ratio += WEIGHT * (ratio - c->ratio);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return; /* callers' estimates stay uncorrected */
	snprintf(c->queue, sizeof(c->queue), "%s", queue);
	c->ratio = 1 + WEIGHT * (ratio - 1);
	HASH_ADD_STR(*table, queue, c);
}

void
estimate_correction_free(struct estimate_correction *table)
{
	struct estimate_correction *c, *next;

	HASH_ITER(hh, table, c, next)
	{
		HASH_DEL(table, c);
		free(c);
	}
}
