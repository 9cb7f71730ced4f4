/*
 * Admission of submitted jobs: what could only be served too late is refused at
 * once, with the time after which a retry can succeed.
 */
#include <stdio.h>

#include "pool_state.h"

/* Unfinished jobs: limits memory and the length of a takeover. */
#define ACTIVE_JOBS_MAX 4000
/* A job that ends after this many times its objective has no value. */
#define LATENESS_MAX 3.0
/*
 * With this lag of the event loop, a submission may not be answered in time: it
 * is refused, so that accepted jobs are served.
 */
#define LAG_REFUSE_MS 300
#define LAG_RETRY_MS 1000 /* retry time after such a refusal */
/* Validity of the controller's report of incoming workers: five reports. */
#define INCOMING_VALID_MS 1000
/* Bounds of the retry time after other refusals. */
#define RETRY_MIN_MS 200

/* CPU capacity of the usable workers. */
static double
usable_cpu_milli(const struct pool *p)
{
	const struct pool_worker *w;
	double cpu_milli = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_usable(p, w))
			cpu_milli += (double)w->report.cpu_milli;
	}
	return cpu_milli;
}

/*
 * Time in ms for "work", in thousandths of a core times ms, with the incoming
 * workers counted from their arrival.  A surge begins in a pool of few workers;
 * most of the workers that will serve it are still on their way.
 */
static double
work_duration_ms(const struct pool *p, double work, double cpu_milli)
{
	double ms = cpu_milli > 0 ? work / cpu_milli : 0;
	double incoming = (double)p->incoming_workers * p->typical_cpu_milli;
	double within_ms = p->incoming_within_ms;

	if (incoming <= 0 || ms <= within_ms ||
	    p->now_us - p->incoming_reported_us > INCOMING_VALID_MS * US_PER_MS)
		return ms;
	return within_ms +
	    (work - cpu_milli * within_ms) / (cpu_milli + incoming);
}

/* Expected time until the accepted work is done. */
static double
backlog_ms(const struct pool *p)
{
	const struct run_time_model *m;
	double work = 0;
	struct occurrence *o;
	const struct job *j;

	TAILQ_FOREACH(j, &p->active, entries) {
		if (job_spec_long_running(j->spec))
			continue;
		m = run_time_find(p->run_times, j->queue.name);
		LIST_FOREACH(o, &j->occurrences, entries) {
			occurrence_expect(o, m);
			work += occurrence_work_left(o);
		}
	}
	return work_duration_ms(p, work, usable_cpu_milli(p));
}

/*
 * A job that could only finish long after its objective is refused at once.
 * Returns the time in ms until the backlog is short enough for it; 0: it is
 * accepted.
 */
static int
backlog_refusal_ms(const struct pool *p, const struct pool_event *ev)
{
	const struct job_spec *spec = ev->u.submit.spec;
	const struct queue_settings *q = ev->u.submit.queue;
	double critical_path_ms, objective_ms, wait_ms;

	if (p->active_count >= ACTIVE_JOBS_MAX)
		return SUBMIT_RETRY_MAX_MS;
	if (spec->repetitions > 0 || job_spec_long_running(spec) ||
	    p->active_count < 8)
		return 0;
	critical_path_ms = job_spec_critical_path_ms(
	    spec, run_time_find(p->run_times, q->name));
	objective_ms = q->stretch * critical_path_ms + q->target_latency_ms;
	wait_ms = backlog_ms(p);
	if (wait_ms + critical_path_ms <= LATENESS_MAX * objective_ms)
		return 0;
	wait_ms -= objective_ms - critical_path_ms;
	return wait_ms > SUBMIT_RETRY_MAX_MS ? SUBMIT_RETRY_MAX_MS
	    : wait_ms < RETRY_MIN_MS         ? RETRY_MIN_MS
					     : (int)wait_ms;
}

int
pool_submit_refusal_ms(
    const struct pool *p, const struct pool_event *ev, const char **why)
{
	if (p->loop_lag_us >= LAG_REFUSE_MS * US_PER_MS) {
		*why = "lag";
		return LAG_RETRY_MS;
	}
	if (ev->u.submit.refuse_ms > 0) {
		*why = "store";
		return ev->u.submit.refuse_ms;
	}
	*why = "backlog";
	return backlog_refusal_ms(p, ev);
}
