/* Tells a pool which workers the platform's list of machines names. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "machine_read.h"
#include "shard.h"

static int
compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* A row that cannot be read may be of any worker: then none is missing. */
static bool
list_whole(const struct machine_list *list)
{
	return list != NULL && list->count > 0 && list->malformed_count == 0;
}

static void
on_read(void *arg, const struct machine_list *list)
{
	struct pool_event ev = {.kind = POOL_CENSUS};
	char(*ids)[NAME_BYTES] = NULL;
	struct shard *sh = arg;
	size_t i, n = 0;

	sh->census = NULL;
	if (list_whole(list))
		ids = calloc(list->count, sizeof(*ids));
	for (i = 0; ids != NULL && i < list->count; i++) {
		if (list->machines[i].worker[0] != '\0')
			snprintf(ids[n++], sizeof(*ids), "%s",
			    list->machines[i].worker);
	}
	if (ids != NULL)
		qsort(ids, n, sizeof(*ids), compare_ids);
	ev.u.census.whole = ids != NULL;
	ev.u.census.sorted_ids = (const char(*)[NAME_BYTES])ids;
	ev.u.census.count = n;
	shard_event(sh, &ev);
	free(ids);
}

void
shard_census_ask(struct shard *sh)
{
	struct pool_event ev = {.kind = POOL_CENSUS};

	if (sh->census != NULL)
		return;
	sh->census = machine_read_start(sh->scheduler, on_read, sh);
	if (sh->census == NULL)
		shard_event(sh, &ev); /* not to be had: time decides */
}
