/*
 * What the pool's reducer costs, in virtual time: starts that one core can
 * decide a second under a load of nearly all the room, and processor time and
 * memory of each job that is kept.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>

#include "bounds.h"
#include "jobs_world.h"
#include "pool.h"
#include "slope.h"

#define SEED 20261204
#define WORKER_CPU 64000 /* thousandths of a core */
#define WORKER_MEMORY_MB 262144
#define TASK_CPU 3500
#define TASK_MS 1000
#define JOB_STEPS 2
#define JOB_TASKS 6 /* of a step */
#define LOAD 0.8 /* of the workers' cores */
/* A turn of the largest queue: letter "Hundreds of machines". */
#define SURGE_WORKERS 90
#define SURGE_LOAD 2.0 /* of the workers' cores: most of it waits */
#define SURGE_TASKS 8
#define SURGE_CPU 9100
#define SURGE_MS 800
#define WARM_MS 2000
#define RUN_MS 6000
#define DRAIN_MS 30000 /* until all that was accepted has ended */
#define STARTS_TARGET 5000 /* a second of one core: issue 9 */

static const size_t kept_jobs[] = {500, 1000, 2000, 4000};

static const struct jobs_load {
	int workers;
	double load; /* of the workers' cores */
	unsigned tasks; /* of a step */
	int64_t cpu, ms; /* of a task */
} loads[] = {
    {49, LOAD, JOB_TASKS, TASK_CPU, TASK_MS},
    {350, LOAD, JOB_TASKS, TASK_CPU, TASK_MS},
    {SURGE_WORKERS, LOAD, SURGE_TASKS, SURGE_CPU, SURGE_MS},
    {SURGE_WORKERS, SURGE_LOAD, SURGE_TASKS, SURGE_CPU, SURGE_MS},
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Jobs arrive evenly, so many in each ms. */
static void
play(struct jobs_world *w, struct job_spec *o, double jobs_per_ms, int ms)
{
	int i, due, submitted = 0;

	for (i = 1; i <= ms; i++) {
		due = (int)(jobs_per_ms * i);
		while (submitted < due) {
			jobs_world_submit(w, o, NULL);
			submitted++;
		}
		jobs_world_run(w, 1);
	}
}

static void
starts_of(const struct jobs_load *l)
{
	struct jobs_world_opts opts = {
	    .seed = SEED,
	    .workers = l->workers,
	    .cpu = WORKER_CPU,
	    .memory_mb = WORKER_MEMORY_MB,
	    .link_ms = 2,
	    .store_ms = 4,
	    .estimate_spread = 0.3,
	    .timed = true,
	};
	double job_work = JOB_STEPS * l->tasks * (double)l->cpu * (double)l->ms;
	double per_ms = l->load * l->workers * (double)WORKER_CPU / job_work;
	struct job_spec *o = jobs_order(JOB_STEPS, l->tasks, l->cpu, l->ms);
	struct jobs_world *w = jobs_world_new(&opts);
	struct jobs_verdict v;
	uint64_t starts;
	double us;
	int accepted;

	play(w, o, per_ms, WARM_MS);
	starts = jobs_world_starts(w);
	accepted = jobs_world_accepted(w);
	us = jobs_world_step_us(w);
	play(w, o, per_ms, RUN_MS);
	starts = jobs_world_starts(w) - starts;
	accepted = jobs_world_accepted(w) - accepted;
	us = jobs_world_step_us(w) - us;
	jobs_world_run(w, DRAIN_MS);
	jobs_world_judge(w, &v);
	if (v.first[0] != '\0')
		errx(1, "a promise was broken: %s", v.first);
	printf("%3d workers, load %.1f: %8.0f starts/s of a core (target %d), "
	       "%6.1f us/start, %7.1f us/job, load %.0f starts/s, "
	       "%.3f of a core\n",
	    l->workers, l->load, (double)starts * US_PER_S / us, STARTS_TARGET,
	    us / (double)starts, us / accepted,
	    (double)starts * MS_PER_S / RUN_MS, us / US_PER_MS / RUN_MS);
	jobs_world_free(w);
	job_spec_unref(o);
}

/* A take-over's part in the reducer: jobs that the store keeps are loaded. */
static void
load_jobs(size_t n, struct slope *bytes, struct slope *us)
{
	struct pool_opts opts = {.name = "pool",
	    .fence = 1,
	    .now_us = US_PER_S,
	    .now_ms = MS_PER_S,
	    .lease_ms = 4000,
	    .lease_max_ms = 6000,
	    .status_retention_ms = 120000};
	struct job_spec_record r = {.submitted_ms = MS_PER_S};
	struct pool *p = pool_new(&opts);
	double heap = heap_bytes(), cpu = cpu_us();
	char id[JOB_ID_BYTES];
	struct job_spec *o;
	struct err e;
	size_t i;

	snprintf(r.queue.name, sizeof(r.queue.name), "queue");
	r.queue.max_attempts = 3;
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%016zx", i);
		o = jobs_order(JOB_STEPS, JOB_TASKS, TASK_CPU, TASK_MS);
		if (pool_load_job(p, id, &r, o, NULL, &e) == -1)
			errx(1, "%s", e.message);
		job_spec_unref(o);
	}
	slope_add(bytes, (double)n, heap_bytes() - heap);
	slope_add(us, (double)n, cpu_us() - cpu);
	pool_free(p);
}

int
main(void)
{
	struct slope bytes = {
	    .name = "jobs.heap_bytes", .x_unit = "jobs", .y_unit = "B"};
	struct slope us = {
	    .name = "jobs.load_us", .x_unit = "jobs", .y_unit = "us"};
	size_t i;

	for (i = 0; i < COUNT(loads); i++)
		starts_of(&loads[i]);
	for (i = 0; i < COUNT(kept_jobs); i++)
		load_jobs(kept_jobs[i], &bytes, &us);
	slope_report(&bytes, NULL);
	slope_report(&us, NULL);
	return 0;
}
