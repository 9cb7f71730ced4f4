/*
 * How many workers a pool's jobs need.  Answers demand that comes by turns: a
 * queue asks five times its mean for some seconds and next to nothing between.
 */
#include <math.h>
#include <string.h>

#include "pool_state.h"

#define STARVED_MS 250 /* tasks that wait so long for room get a machine */
#define CRAMPED_MS 1000 /* so long after a move was seen to find no room */
#define TURN_BEGINS 2.0 /* times the long average */
#define LATE_SHARE 0.2 /* of a late job's work that asks for machines */

static void
room_add(struct room *r, const struct step_spec *s, double count)
{
	r->cpu += count * (double)step_spec_reserved_cpu_milli(s);
	r->memory_mb += count * (double)s->memory_mb;
	r->accelerators += count * (double)s->accelerators;
}

/*
 * What jobs could use now.  What is late by now asks for a share only: it is
 * served by what others leave.
 */
static void
add_wanted(const struct pool *p, struct occurrence *o, struct room *r)
{
	const struct job_step *s;
	struct candidate c;
	double waiting;
	size_t i;

	pool_rank_occurrence(p, &c, o);
	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		room_add(r, s->spec, s->placed_count);
		if (s->open_dependency_count > 0)
			continue;
		waiting = (double)s->spec->task_count - (double)s->done_count -
		    (double)s->placed_count;
		if (waiting > 0)
			room_add(r, s->spec,
			    c.class > RANK_ON_TIME ? waiting * LATE_SHARE
						   : waiting);
	}
}

/*
 * Arriving work is averaged over these.  The middle one tells a turn of
 * demand from a bunch of jobs; while the long one is far below the short one,
 * a turn has just begun, and the short one is the better guess.
 */
static const double offered_ms[ARRIVAL_SPANS] = {300, 800, 3000};

static double
offered_left(const struct pool *p, enum arrival_span k)
{
	double ms = (double)(p->now_us - p->arrivals_decayed_us) / US_PER_MS;

	return p->arrivals_decayed_us > 0 ? exp(-ms / offered_ms[k]) : 0;
}

static void
offered_decay(struct pool *p)
{
	struct room *r;
	double left;
	int k;

	for (k = 0; k < ARRIVAL_SPANS; k++) {
		r = &p->arrivals[k];
		left = offered_left(p, k);
		r->cpu *= left;
		r->memory_mb *= left;
		r->accelerators *= left;
	}
	p->arrivals_decayed_us = p->now_us;
}

/*
 * A job that arrives "ago_ms" before now.  The room that work takes up in the
 * long run is its rate of arrival times how long it runs.
 */
void
pool_note_arrival(struct pool *p, const struct job_spec *o,
    const struct queue_settings *t, int64_t ago_ms)
{
	double weight,
	    ratio = estimate_correction_ratio(p->corrections, t->name);
	const struct step_spec *s;
	size_t i;
	int k;

	if (o->repetitions > 0 || job_spec_long_running(o) || ago_ms < 0)
		return;
	offered_decay(p);
	for (i = 0; i < o->step_count; i++) {
		s = &o->steps[i];
		for (k = 0; k < ARRIVAL_SPANS; k++) {
			weight = exp(-(double)ago_ms / offered_ms[k]);
			room_add(&p->arrivals[k], s,
			    (double)s->task_count * (double)s->estimate_ms *
				ratio * weight / offered_ms[k]);
		}
	}
}

/* Room of a typical worker; what it was when there is none now. */
static void
typical_room(struct pool *p)
{
	const struct pool_worker *w;
	double n = 0, cpu = 0, memory_mb = 0, accelerators = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_present(p, w) || w->report.cpu_milli == 0)
			continue;
		n++;
		cpu += (double)w->report.cpu_milli;
		memory_mb += (double)w->report.memory_mb;
		accelerators += (double)w->report.accelerators;
	}
	p->typical_worker_count = n;
	if (n == 0)
		return;
	p->typical_cpu_milli = cpu / n;
	p->typical_memory_mb = memory_mb / n;
	p->typical_accelerators = accelerators / n;
}

static double
part(double wanted, double room)
{
	return room > 0 ? wanted / room : 0;
}

static size_t
step_floor(const struct step_spec *s)
{
	if (!s->long_running)
		return 0;
	return s->max_per_worker > 0
	    ? (s->task_count + s->max_per_worker - 1) / s->max_per_worker
	    : 1;
}

static struct room
room_sum(const struct room *a, const struct room *b)
{
	struct room r = {
	    .cpu = a->cpu + b->cpu,
	    .memory_mb = a->memory_mb + b->memory_mb,
	    .accelerators = a->accelerators + b->accelerators,
	};

	return r;
}

/* Workers that so much room makes up: of what is scarcest. */
static double
workers_for(const struct pool *p, const struct room *r)
{
	double n = part(r->cpu, p->typical_cpu_milli);

	n = fmax(n, part(r->memory_mb, p->typical_memory_mb));
	return fmax(n, part(r->accelerators, p->typical_accelerators));
}

static struct room
offered_now(const struct pool *p)
{
	const struct room *o = p->arrivals;
	double now = workers_for(p, &o[ARRIVAL_SHORT]);

	if (now > TURN_BEGINS * workers_for(p, &o[ARRIVAL_LONG]) &&
	    now > workers_for(p, &o[ARRIVAL_MEDIUM]))
		return o[ARRIVAL_SHORT];
	return o[ARRIVAL_MEDIUM];
}

static bool
goes_on_for(const struct pool *p, int64_t since_us, int ms)
{
	return since_us != 0 && p->now_us - since_us > ms * US_PER_MS;
}

/* Those that earlier owners commanded have answered, or are silent. */
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
	/* jobs are counted in workers: it takes one to know their size */
	if (p->workers_answered_us == 0 ||
	    (p->typical_cpu_milli <= 0 && p->active_count > 0))
		return DEMAND_UNKNOWN;
	return goes_on_for(
		   p, p->workers_answered_us, (int)offered_ms[ARRIVAL_MEDIUM])
	    ? DEMAND_COMPLETE
	    : DEMAND_BACKLOG;
}

void
pool_demand(struct pool *p, struct pool_demand *d)
{
	struct room once = {0}, lasting = {0}, offered;
	struct occurrence *o;
	const struct job *j;
	size_t i, floor, one_more, tasks = 0;

	memset(d, 0, sizeof(*d));
	typical_room(p);
	d->coverage = demand_coverage(p);
	TAILQ_FOREACH(j, &p->active, entries) {
		if (job_final(j))
			continue;
		LIST_FOREACH(o, &j->occurrences, entries)
			add_wanted(p, o,
			    job_spec_long_running(j->spec) ? &lasting : &once);
		for (i = 0; i < j->spec->step_count; i++) {
			floor = step_floor(&j->spec->steps[i]);
			d->long_running_workers =
			    floor > d->long_running_workers
			    ? floor
			    : d->long_running_workers;
			if (j->spec->steps[i].long_running)
				tasks += j->spec->steps[i].task_count;
		}
	}
	/* tasks that fit nowhere though the sum of the room would do */
	one_more = (size_t)p->typical_worker_count + 1;
	if (goes_on_for(p, p->starved_since_us, STARVED_MS))
		d->min_workers = one_more;
	if ((goes_on_for(p, p->long_running_starved_since_us, STARVED_MS) ||
		(p->move_blocked_us != 0 &&
		    p->now_us - p->move_blocked_us < CRAMPED_MS * US_PER_MS)) &&
	    d->long_running_workers < one_more)
		/* no more than one for each, and one to move to */
		d->long_running_workers =
		    one_more < tasks + 1 ? one_more : tasks + 1;
	offered_decay(p);
	offered = offered_now(p);
	offered = room_sum(&offered, &lasting);
	once = room_sum(&once, &lasting);
	d->wanted_workers_milli = (int64_t)(workers_for(p, &once) * 1000);
	d->arriving_workers_milli = (int64_t)(workers_for(p, &offered) * 1000);
}
