/* The controller's cordons and proposals for a pool, and its report. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shard.h"
#include "store_watch.h"

static void
add_worker_report(void *arg, const struct pool_worker_view *v)
{
	struct pool_report *r = arg;
	struct pool_worker_report *w;

	w = realloc(r->workers, (r->worker_count + 1) * sizeof(*w));
	if (w == NULL)
		return; /* the controller does not move unreported workers */
	r->workers = w;
	w = &r->workers[r->worker_count++];
	memset(w, 0, sizeof(*w));
	snprintf(w->worker, sizeof(w->worker), "%s", v->id);
	w->task_count = v->task_count;
	w->long_running_count = v->long_running_count;
	w->cordoned = v->cordoned;
}

static void
report_caps(struct shard *sh, const struct cordon_request *r,
    struct pool_report *report)
{
	struct cap_report *caps = calloc(1, sizeof(*caps));

	if (caps != NULL &&
	    pool_cap_report(
		sh->pool, r->caps.controller > 0 ? &r->caps : NULL, caps)) {
		report->caps = caps;
		return;
	}
	free(caps); /* without memory, the controller asks again */
}

int
shards_apply_cordons(struct shards *all, const struct cordon_request *r,
    struct pool_report *report)
{
	struct shard *sh = shards_find(all, r->pool);
	struct pool_event ev = {.kind = POOL_CORDON};
	size_t i;

	if (sh == NULL || sh->state != SHARD_OWNING || sh->term_ended ||
	    shard_ownership_expired(sh))
		return -1;
	for (i = 0; i < r->count; i++) {
		snprintf(ev.u.cordon.id, NAME_BYTES, "%s", r->list[i].worker);
		ev.u.cordon.evacuate = r->list[i].kind == CORDON_EVACUATE;
		ev.u.cordon.machine_removed =
		    r->list[i].kind == CORDON_MACHINE_REMOVED;
		ev.u.cordon.maintenance_pending =
		    r->list[i].kind == CORDON_MAINTENANCE_PENDING;
		ev.u.cordon.age_ms = r->list[i].age_ms;
		shard_handle_event(sh, &ev);
	}
	if (r->caps.controller > 0) {
		ev.kind = POOL_CAP_REQUEST;
		ev.u.cap_request = &r->caps;
		shard_handle_event(sh, &ev);
	}
	ev.kind = POOL_INCOMING;
	ev.u.incoming.count = (size_t)r->incoming_count;
	ev.u.incoming.within_ms = (int)r->incoming_within_ms;
	shard_handle_event(sh, &ev);
	memset(report, 0, sizeof(*report));
	snprintf(report->pool, sizeof(report->pool), "%s", sh->pool_name);
	report->fence = sh->fence;
	pool_demand(sh->pool, &report->demand);
	report->worker_list_age_ms =
	    store_watch_workers_age_us(sh->scheduler->watcher) / US_PER_MS;
	pool_each_worker(sh->pool, add_worker_report, report);
	report_caps(sh, r, report);
	return 0;
}
