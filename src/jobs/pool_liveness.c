/*
 * Which workers there still are, as the platform says.  Answers hand-overs and
 * crashes: a worker that does not answer may be cut off and work on, or may
 * have ended with its machine, and only the platform can tell.
 */
#include <stdlib.h>

#include "pool_state.h"

#define CENSUS_EVERY_MS \
	500 /* the platform's list shows an end within so long */
/* In a row without the worker: the pages of one list are no snapshot. */
#define CENSUS_MISSING 2

/* It does not answer, and tasks wait for what it may run. */
static bool
worker_in_doubt(const struct pool *p, const struct pool_worker *w)
{
	if (w->missed_renewals == 0 || w->machine_removed)
		return false;
	return !worker_reconciled(p, w) ||
	    (w->missed_renewals >= SILENT_MISSED_RENEWALS && w->task_count > 0);
}

void
pool_check_liveness(struct pool *p)
{
	const struct pool_worker *w;

	if (p->liveness_check_in_flight ||
	    p->now_us - p->liveness_check_sent_us < CENSUS_EVERY_MS * US_PER_MS)
		return;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_in_doubt(p, w))
			break;
	}
	if (w == NULL)
		return;
	p->liveness_check_in_flight = true;
	p->liveness_check_sent_us = p->now_us;
	fx_add(p, POOL_CHECK_LIVENESS);
}

static int
compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

void
pool_apply_liveness_list(struct pool *p, const struct pool_event *ev)
{
	struct pool_worker *w;
	size_t ended = 0, doubted = 0;

	p->liveness_check_in_flight = false;
	if (!ev->u.liveness.complete)
		return;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		/* heard of, or anew, since the list was asked for */
		if (!worker_in_doubt(p, w) ||
		    w->clock_read_us >= p->liveness_check_sent_us ||
		    bsearch(w->report.id, ev->u.liveness.sorted_ids,
			ev->u.liveness.count, NAME_BYTES,
			compare_ids) != NULL) {
			w->missing_from_lists = 0;
			continue;
		}
		doubted++;
		if (++w->missing_from_lists < CENSUS_MISSING)
			continue;
		worker_ended(p, w, "platform-names-it-no-more");
		ended++;
	}
	if (doubted > 0)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"silent workers that the platform does not name\" "
		    "workers=%zu ended=%zu named=%zu age_ms=%lld",
		    doubted, ended, ev->u.liveness.count,
		    (long long)((p->now_us - p->liveness_check_sent_us) /
			US_PER_MS));
}
