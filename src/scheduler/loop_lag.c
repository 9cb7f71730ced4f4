#include "loop_lag.h"

#include "scheduler.h"

#define PROBE_INTERVAL_MS 50
#define LAG_EWMA_DIVISOR 4 /* the newest probe has a weight of 1/4 */

static void on_probe(lws_sorted_usec_list_t *sul);

static void
schedule_probe(struct loop_lag *l)
{
	l->due_us = sched_monotonic_us() + PROBE_INTERVAL_MS * US_PER_MS;
	lws_sul_schedule(l->context, 0, &l->probe_sul, on_probe,
	    PROBE_INTERVAL_MS * US_PER_MS);
}

static void
on_probe(lws_sorted_usec_list_t *sul)
{
	struct loop_lag *l = lws_container_of(sul, struct loop_lag, probe_sul);
	int64_t late_us = sched_monotonic_us() - l->due_us;

	l->lag_us += (late_us - l->lag_us) / LAG_EWMA_DIVISOR;
	l->peak_us = late_us > l->peak_us / 2 ? late_us : l->peak_us / 2;
	schedule_probe(l);
}

void
loop_lag_start(struct loop_lag *l, struct lws_context *context)
{
	l->context = context;
	schedule_probe(l);
}

void
loop_lag_stop(struct loop_lag *l)
{
	lws_sul_cancel(&l->probe_sul);
}
