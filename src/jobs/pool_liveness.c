/*
 * Liveness checks of silent workers against the platform's list, needed after
 * takeovers and crashes: a worker that does not answer may be cut off and still
 * run tasks, or may have ended with its machine, and only the platform can tell
 * the two apart.
 */
#include <stdlib.h>

#include "pool_state.h"

/* Time between checks: the list shows the end of a worker within it. */
#define CHECK_INTERVAL_MS 500
/*
 * A worker has ended if this many lists in a row lack it.  One list is not
 * enough: its pages are not a consistent snapshot.
 */
#define MISSING_LISTS_MIN 2

/* The worker does not answer, and tasks wait until its runs are over. */
static bool
worker_needs_check(const struct pool *p, const struct pool_worker *w)
{
	if (w->missed_renewals == 0 || w->machine_removed)
		return false;
	return !worker_reconciled(p, w) || (w->fate_awaited && !w->is_gone) ||
	    (w->missed_renewals >= SILENT_MISSED_RENEWALS && w->task_count > 0);
}

void
pool_check_liveness(struct pool *p)
{
	const struct pool_worker *w;

	if (p->liveness_check_in_flight ||
	    p->now_us - p->liveness_check_sent_us <
		CHECK_INTERVAL_MS * US_PER_MS)
		return;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_needs_check(p, w))
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
	size_t ended = 0, missing = 0;

	p->liveness_check_in_flight = false;
	if (!ev->u.liveness.complete)
		return;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		/* a worker that answered or appeared since the query exists */
		if (!worker_needs_check(p, w) ||
		    w->clock_read_us >= p->liveness_check_sent_us ||
		    bsearch(w->report.id, ev->u.liveness.sorted_ids,
			ev->u.liveness.count, NAME_BYTES,
			compare_ids) != NULL) {
			w->missing_from_lists = 0;
			w->named_us = p->now_us;
			continue;
		}
		missing++;
		if (++w->missing_from_lists < MISSING_LISTS_MIN)
			continue;
		worker_ended(p, w, "platform-names-it-no-more");
		ended++;
	}
	if (missing > 0)
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"platform's list lacks silent workers\" "
		    "workers=%zu ended=%zu named=%zu age_ms=%lld",
		    missing, ended, ev->u.liveness.count,
		    (long long)((p->now_us - p->liveness_check_sent_us) /
			US_PER_MS));
}
