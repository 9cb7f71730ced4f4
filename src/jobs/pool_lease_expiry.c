/* When the runs of a worker that does not answer have surely ended. */
#include "pool_state.h"

/*
 * For a worker that has not answered in this incarnation.  An unanswered start
 * may arrive late at a new incarnation, whose clock may be behind; the worker
 * limits its lease to lease_max_ms from then on.
 */
static bool
unconfirmed_lease_expired(const struct pool *p, const struct pool_worker *w)
{
	return p->ownership_confirmed_us - w->clock_read_us >
	    (LATE_COMMAND_MAX_MS + p->opts.lease_max_ms) * US_PER_MS;
}

/*
 * The worker may have restarted since its last answer and then accepted starts.
 * Its clock may be behind that of before: it shortens leases to lease_max_ms.
 */
static bool
unconfirmed_run_lease_expired(const struct pool *p, const struct pool_worker *w)
{
	double lease_max_ms = p->opts.lease_max_ms / CLOCK_RATE_MIN;

	return p->ownership_confirmed_us - w->lease_sent_us >
	    (int64_t)((lease_max_ms + LEASE_MARGIN_MS) * US_PER_MS);
}

static bool
has_task_of_known_lease(const struct pool_worker *w)
{
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		if (t->lease_known)
			return true;
	}
	return false;
}

void
worker_check_lease(struct pool *p, struct pool_worker *w)
{
	enum detach_scope scope = DETACH_ALL;

	if (w->missed_renewals == 0 || w->task_count == 0)
		return;
	if (w->fence_confirmed
		? !worker_lease_expired(w, p->ownership_confirmed_us)
		: !unconfirmed_lease_expired(p, w))
		return;
	if (w->fence_confirmed && !unconfirmed_run_lease_expired(p, w)) {
		if (!has_task_of_known_lease(w))
			return;
		scope = DETACH_LEASE_KNOWN;
	}
	worker_suspect_tasks(p, w, scope);
	worker_detach_tasks(p, w, scope, "lease-over");
	if (w->task_count == 0) {
		w->idle_by_us = p->now_us;
		worker_mark_record_stale(p, w);
	}
	p->placement_due = true;
}
