/*
 * Liveness check: reports to a pool which of its workers appear in the
 * platform's list of machines.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "machine_list_reader.h"
#include "shard.h"

static int
compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

/*
 * A malformed row may belong to any worker, so a list with one does not show
 * that a worker is missing.
 */
static bool
list_complete(const struct machine_list *list)
{
	return list != NULL && list->count > 0 && list->malformed_count == 0;
}

static void
on_machine_list(void *arg, const struct machine_list *list)
{
	struct pool_event ev = {.kind = POOL_LIVENESS_LIST};
	char(*ids)[NAME_BYTES] = NULL;
	struct shard *sh = arg;
	size_t i, n = 0;

	sh->liveness_check = NULL;
	if (list_complete(list))
		ids = calloc(list->count, sizeof(*ids));
	for (i = 0; ids != NULL && i < list->count; i++) {
		if (list->machines[i].worker[0] != '\0')
			snprintf(ids[n++], sizeof(*ids), "%s",
			    list->machines[i].worker);
	}
	if (ids != NULL)
		qsort(ids, n, sizeof(*ids), compare_ids);
	ev.u.liveness.complete = ids != NULL;
	ev.u.liveness.sorted_ids = (const char(*)[NAME_BYTES])ids;
	ev.u.liveness.count = n;
	shard_handle_event(sh, &ev);
	free(ids);
}

void
shard_check_liveness(struct shard *sh)
{
	struct pool_event ev = {.kind = POOL_LIVENESS_LIST};

	if (sh->liveness_check != NULL)
		return;
	sh->liveness_check =
	    machine_list_reader_start(sh->scheduler, on_machine_list, sh);
	if (sh->liveness_check == NULL)
		/* no list: the pool waits until leases have expired */
		shard_handle_event(sh, &ev);
}
