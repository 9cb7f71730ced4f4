/*
 * Number of workers that a pool's jobs need.  Demand comes in surges: a queue
 * needs five times its mean for some seconds and almost nothing in between.
 */
#include <math.h>
#include <string.h>

#include "pool_state.h"

/* Tasks that wait this long for capacity justify one more machine. */
#define STARVED_MS 250
/* A blocked move of a long-running task counts as demand this long. */
#define MOVE_BLOCKED_MS 1000
/* A surge has begun when the short average is this many times the long one. */
#define SURGE_FACTOR 2.0
#define LATE_WORK_SHARE 0.2 /* of a late job's work that counts */

static void
resources_add(struct resources *r, const struct step_spec *s, double count)
{
	r->cpu_milli += count * (double)step_spec_reserved_cpu_milli(s);
	r->memory_mb += count * (double)s->memory_mb;
	r->accelerators += count * (double)s->accelerators;
}

/*
 * Adds what an occurrence could use now.  Of a late occurrence only a share
 * counts, also of what runs: it uses capacity that other work leaves, in this
 * pool or in another.
 */
static void
add_wanted_resources(
    const struct pool *p, struct occurrence *o, struct resources *r)
{
	const struct job_step *s;
	struct candidate c;
	double share, tasks;
	size_t i;

	pool_rank_occurrence(p, &c, o);
	share = c.class > RANK_ON_TIME ? LATE_WORK_SHARE : 1;
	if (o->job->account != NULL) /* a machine beyond it runs nothing */
		share *= caps_demand_factor(o->job->account);
	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		tasks = s->open_dependency_count > 0
		    ? s->placed_count
		    : (double)s->spec->task_count - (double)s->done_count;
		resources_add(r, s->spec, tasks * share);
	}
}

/*
 * Averaging times of arriving work, in ms.  The medium one separates a surge
 * from a few jobs that arrive together.  While the long average is far below
 * the short one, a surge has just begun, and the short one is the better
 * estimate.
 */
static const double arrival_span_ms[ARRIVAL_SPANS] = {300, 800, 3000};

static double
arrival_decay_factor(const struct pool *p, enum arrival_span k)
{
	double ms = (double)(p->now_us - p->arrivals_decayed_us) / US_PER_MS;

	return p->arrivals_decayed_us > 0 ? exp(-ms / arrival_span_ms[k]) : 0;
}

static void
decay_arrivals(struct pool *p)
{
	struct resources *r;
	double left;
	int k;

	for (k = 0; k < ARRIVAL_SPANS; k++) {
		r = &p->arrivals[k];
		left = arrival_decay_factor(p, k);
		r->cpu_milli *= left;
		r->memory_mb *= left;
		r->accelerators *= left;
	}
	p->arrivals_decayed_us = p->now_us;
}

/*
 * The mean resources that arriving work occupies are its rate of arrival times
 * its run time (Little's law).
 */
void
pool_note_arrival(struct pool *p, const struct job_spec *spec,
    const struct queue_settings *q, int64_t ago_ms)
{
	const struct run_time_model *m = run_time_find(p->run_times, q->name);
	const struct step_spec *s;
	double weight, run_ms; /* of all tasks of a step */
	size_t i;
	int k;

	if (spec->repetitions > 0 || job_spec_long_running(spec) || ago_ms < 0)
		return;
	decay_arrivals(p);
	for (i = 0; i < spec->step_count; i++) {
		s = &spec->steps[i];
		run_ms = (double)s->task_count *
		    run_time_expected_ms(m, s->estimate_ms);
		for (k = 0; k < ARRIVAL_SPANS; k++) {
			weight = exp(-(double)ago_ms / arrival_span_ms[k]);
			resources_add(&p->arrivals[k], s,
			    run_ms * weight / arrival_span_ms[k]);
		}
	}
}

/* Averages the present workers' capacity; without any, the old mean stays. */
static void
update_typical_worker(struct pool *p)
{
	const struct pool_worker *w;
	double n = 0, cpu_milli = 0, memory_mb = 0, accelerators = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_present(p, w) || w->report.cpu_milli == 0)
			continue;
		n++;
		cpu_milli += (double)w->report.cpu_milli;
		memory_mb += (double)w->report.memory_mb;
		accelerators += (double)w->report.accelerators;
	}
	p->typical_worker_count = n;
	if (n == 0)
		return;
	p->typical_cpu_milli = cpu_milli / n;
	p->typical_memory_mb = memory_mb / n;
	p->typical_accelerators = accelerators / n;
}

static double
ratio_of(double wanted, double capacity)
{
	return capacity > 0 ? wanted / capacity : 0;
}

static size_t
step_min_workers(const struct step_spec *s)
{
	if (!s->long_running)
		return 0;
	return s->max_per_worker > 0
	    ? (s->task_count + s->max_per_worker - 1) / s->max_per_worker
	    : 1;
}

static struct resources
resources_sum(const struct resources *a, const struct resources *b)
{
	struct resources r = {
	    .cpu_milli = a->cpu_milli + b->cpu_milli,
	    .memory_mb = a->memory_mb + b->memory_mb,
	    .accelerators = a->accelerators + b->accelerators,
	};

	return r;
}

/* Typical workers that have these resources; the scarcest one decides. */
static double
workers_for(const struct pool *p, const struct resources *r)
{
	double n = ratio_of(r->cpu_milli, p->typical_cpu_milli);

	n = fmax(n, ratio_of(r->memory_mb, p->typical_memory_mb));
	return fmax(n, ratio_of(r->accelerators, p->typical_accelerators));
}

static struct resources
current_arrivals(const struct pool *p)
{
	const struct resources *o = p->arrivals;
	double now = workers_for(p, &o[ARRIVAL_SHORT]);

	if (now > SURGE_FACTOR * workers_for(p, &o[ARRIVAL_LONG]) &&
	    now > workers_for(p, &o[ARRIVAL_MEDIUM]))
		return o[ARRIVAL_SHORT];
	return o[ARRIVAL_MEDIUM];
}

static bool
lasts_longer_than(const struct pool *p, int64_t since_us, int ms)
{
	return since_us != 0 && p->now_us - since_us > ms * US_PER_MS;
}

/* All workers with runs of earlier owners have answered or are silent. */
static bool
workers_answered(const struct pool *p)
{
	const struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_present(p, w) && w->inherited &&
		    !w->fence_confirmed && w->missed_renewals == 0)
			return false;
	}
	return p->loaded;
}

void
pool_note_workers_answered(struct pool *p)
{
	if (p->workers_answered_us == 0 && workers_answered(p))
		p->workers_answered_us = p->now_us;
}

static enum demand_coverage
demand_coverage(const struct pool *p)
{
	/* demand is counted in workers, whose size must be known */
	if (p->workers_answered_us == 0 ||
	    (p->typical_cpu_milli <= 0 && p->active_count > 0))
		return DEMAND_UNKNOWN;
	return lasts_longer_than(p, p->workers_answered_us,
		   (int)arrival_span_ms[ARRIVAL_MEDIUM])
	    ? DEMAND_COMPLETE
	    : DEMAND_BACKLOG;
}

void
pool_demand(struct pool *p, struct pool_demand *d)
{
	struct resources batch = {0}, long_running = {0}, arriving;
	struct occurrence *o;
	const struct job *j;
	size_t i, min_workers, one_more, tasks = 0;

	memset(d, 0, sizeof(*d));
	update_typical_worker(p);
	caps_count_needs(p);
	d->coverage = demand_coverage(p);
	TAILQ_FOREACH(j, &p->active, entries) {
		if (job_final(j))
			continue;
		LIST_FOREACH(o, &j->occurrences, entries)
			add_wanted_resources(p, o,
			    job_spec_long_running(j->spec) ? &long_running
							   : &batch);
		for (i = 0; i < j->spec->step_count; i++) {
			min_workers = step_min_workers(&j->spec->steps[i]);
			d->long_running_workers =
			    min_workers > d->long_running_workers
			    ? min_workers
			    : d->long_running_workers;
			if (j->spec->steps[i].long_running)
				tasks += j->spec->steps[i].task_count;
		}
	}
	/* starved: tasks fit no single worker, though the total may suffice */
	one_more = (size_t)p->typical_worker_count + 1;
	if (lasts_longer_than(p, p->starved_since_us, STARVED_MS))
		d->min_workers = one_more;
	if ((lasts_longer_than(
		 p, p->long_running_starved_since_us, STARVED_MS) ||
		(p->move_blocked_us != 0 &&
		    p->now_us - p->move_blocked_us <
			MOVE_BLOCKED_MS * US_PER_MS)) &&
	    d->long_running_workers < one_more)
		/* at most one worker for each task, and one more to move to */
		d->long_running_workers =
		    one_more < tasks + 1 ? one_more : tasks + 1;
	decay_arrivals(p);
	arriving = current_arrivals(p);
	arriving = resources_sum(&arriving, &long_running);
	batch = resources_sum(&batch, &long_running);
	d->wanted_workers_milli = (int64_t)(workers_for(p, &batch) * 1000);
	d->arriving_workers_milli = (int64_t)(workers_for(p, &arriving) * 1000);
}
