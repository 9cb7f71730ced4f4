#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

#define WEIGHT 0.1 /* of a new observation */
#define RATIO_MAX 8.0 /* one stuck run says little about the next */

double
estimate_correction_ratio(const struct learned *table, const char *queue)
{
	const struct learned *l;

	HASH_FIND_STR(table, queue, l);
	return l != NULL ? l->ratio : 1;
}

void
estimate_correction_add(struct learned **table, const char *queue,
    double estimate_ms, double took_ms)
{
	double ratio = took_ms / (estimate_ms > 1 ? estimate_ms : 1);
	struct learned *l;

	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	HASH_FIND_STR(*table, queue, l);
	if (l != NULL) {
		l->ratio += WEIGHT * (ratio - l->ratio);
		return;
	}
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return; /* estimates stay as callers give them */
	snprintf(l->queue, sizeof(l->queue), "%s", queue);
	l->ratio = 1 + WEIGHT * (ratio - 1);
	HASH_ADD_STR(*table, queue, l);
}

void
estimate_correction_free(struct learned *table)
{
	struct learned *l, *next;

	HASH_ITER(hh, table, l, next)
	{
		HASH_DEL(table, l);
		free(l);
	}
}
