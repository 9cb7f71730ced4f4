/* What the owned pools show of themselves: metrics, and a dump of their state.
 */
#include <stdio.h>

#include "metric.h"
#include "shard.h"

void
shards_metrics(const struct shards *all, struct buf *out)
{
	const struct shard *sh;
	struct pool_stats st;
	char labels[NAME_BYTES + 16];

	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool == NULL)
			continue;
		pool_stats(sh->pool, &st);
		snprintf(labels, sizeof(labels), "pool=\"%s\"", sh->pool_name);
		metric_gauge(out, "pool_jobs", NULL, labels, (int64_t)st.jobs);
		metric_gauge(out, "pool_jobs_waiting", NULL, labels,
		    (int64_t)st.jobs_waiting);
		metric_gauge(out, "pool_tasks_placed", NULL, labels,
		    (int64_t)st.tasks_placed);
		metric_gauge(out, "pool_append_depth", NULL, labels,
		    store_writer_depth(sh->writer));
		metric_gauge(out, "pool_loop_lag_us", NULL, labels,
		    all->scheduler->loop_lag.lag_us);
		metric_gauge(
		    out, "pool_workers", NULL, labels, (int64_t)st.workers);
		metric_gauge(out, "pool_workers_held", NULL, labels,
		    (int64_t)st.workers_confirmed);
		metric_counter(
		    out, "pool_jobs_accepted_total", NULL, labels, st.accepted);
		metric_counter(out, "pool_jobs_completed_total", NULL, labels,
		    st.completed);
		metric_counter(
		    out, "pool_jobs_failed_total", NULL, labels, st.failed);
		metric_counter(
		    out, "pool_jobs_refused_total", NULL, labels, st.refused);
		metric_counter(out, "pool_refused_account_rate_total", NULL,
		    labels, st.refused_rate);
		metric_counter(out, "pool_refused_account_share_total", NULL,
		    labels, st.refused_share);
		metric_counter(out, "pool_refused_backlog_total", NULL, labels,
		    st.refused_backlog);
		metric_counter(
		    out, "pool_jobs_deferred_total", NULL, labels, st.deferred);
		metric_gauge(out, "pool_under_pressure", NULL, labels,
		    st.under_pressure);
		metric_counter(
		    out, "pool_starts_total", NULL, labels, st.starts);
		metric_counter(
		    out, "pool_looks_total", NULL, labels, st.worker_scans);
		metric_counter(out, "pool_starts_refused_total", NULL, labels,
		    st.starts_refused);
		metric_counter(out, "pool_runs_failed_total", NULL, labels,
		    st.ends_failed);
		metric_counter(
		    out, "pool_worker_crashes_total", NULL, labels, st.crashes);
		metric_counter(
		    out, "pool_trials_total", NULL, labels, st.trials);
		metric_counter(
		    out, "pool_jobs_given_up_total", NULL, labels, st.given_up);
		metric_counter(out, "pool_second_runs_total", NULL, labels,
		    st.second_runs);
		metric_counter(out, "pool_checkpoints_lost_total", NULL, labels,
		    st.checkpoints_lost);
	}
}

void
shards_dump(const struct shards *all, struct buf *out)
{
	const struct shard *sh;
	bool first = true;

	buf_printf(out, "[");
	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool == NULL)
			continue;
		buf_printf(out, "%s", first ? "" : ",");
		pool_dump(sh->pool, out);
		first = false;
	}
	buf_printf(out, "]");
}
