#include "pressure.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobs_world.h"

#define WORKERS 12
#define WORKER_CPU 8000 /* thousandths of a core */
#define PLAY_MS 30000
#define DRAIN_MS 60000 /* for accepted jobs to end */
#define MEAN_LOAD 0.35 /* of the capacity */
#define SURGE_FACTOR 5.0 /* of the mean */
#define QUIET_FACTOR 0.05
#define SURGE_MS 4000
#define SURGE_PERIOD_MS 12000
#define HOT_BEGIN_MS 13000
#define HOT_MS 5500
#define BURST_FACTOR 2.0
#define BURST_PERIOD_MS 5000
#define BURST_MS 600
#define HOT 4 /* the account of excess load */
#define STRETCH 1.6
#define LATENCY_MS 600
#define LATE_VALUE 0.07
#define LATENESS_MAX 3.0
#define RETRIES_MAX 6
#define WORST_ACCOUNTS 2 /* a tenth of them */
/* Sizes of jobs: tasks, and time of one in ms. */
#define TASK_CPU 1000

struct played_job {
	char id[JOB_ID_BYTES];
	struct job_spec *spec;
	size_t account;
	int64_t first_ms, retry_at_ms; /* 0: no retry is due */
	int64_t objective_ms;
	double work, value;
	int tries;
	bool accepted, owed;
};

struct play {
	const struct pressure_opts *opts;
	struct jobs_world *world;
	struct played_job *jobs;
	size_t count, room;
	uint64_t
	    random[PRESSURE_ACCOUNTS]; /* so that one does not change another */
	double due[PRESSURE_ACCOUNTS]; /* fractions of jobs to submit */
	double owed[PRESSURE_ACCOUNTS]; /* jobs that are owed by now */
	double mean_work;
};

static double
chance(uint64_t *random)
{
	*random ^= *random << 13;
	*random ^= *random >> 7;
	*random ^= *random << 17;
	return (double)(*random >> 11) / (double)(1ULL << 53);
}

/* The largest account sends a third of all jobs. */
static double
account_part(size_t account)
{
	double sum = 0, part = 0, each = 1;
	size_t i;

	for (i = 0; i < PRESSURE_ACCOUNTS; i++) {
		sum += each;
		if (i == account)
			part = each;
		each *= 0.67;
	}
	return part / sum;
}

/* Mean jobs a second of all accounts. */
static double
mean_rate(double mean_work)
{
	return MEAN_LOAD * WORKERS * WORKER_CPU * 1000.0 / mean_work;
}

static const struct size {
	unsigned tasks;
	int64_t ms;
	double part; /* of the jobs */
} sizes[] = {{1, 250, 0.55}, {3, 500, 0.3}, {8, 900, 0.12}, {24, 1500, 0.03}};

#define SIZES (sizeof(sizes) / sizeof(sizes[0]))

static double
size_work(const struct size *s)
{
	return (double)s->tasks * TASK_CPU * (double)s->ms;
}

static double
load_factor(const struct play *p, size_t account, int64_t ms)
{
	double factor =
	    ms % SURGE_PERIOD_MS < SURGE_MS ? SURGE_FACTOR : QUIET_FACTOR;

	if (account == HOT && ms >= HOT_BEGIN_MS && ms < HOT_BEGIN_MS + HOT_MS)
		factor *= p->opts->hot_factor;
	if (ms % BURST_PERIOD_MS < BURST_MS)
		factor *= BURST_FACTOR;
	return factor;
}

static void
submit_new(struct play *p, size_t account)
{
	struct played_job *j;
	double draw = chance(&p->random[account]);
	size_t size = 0;

	while (size + 1 < SIZES && draw >= sizes[size].part)
		draw -= sizes[size++].part;
	if (p->count == p->room) {
		p->room = p->room * 2 + 64;
		p->jobs = realloc(p->jobs, p->room * sizeof(*p->jobs));
	}
	j = &p->jobs[p->count++];
	memset(j, 0, sizeof(*j));
	j->account = account;
	j->spec = jobs_order(1, sizes[size].tasks, TASK_CPU, sizes[size].ms);
	j->first_ms = jobs_world_ms(p->world);
	j->work = size_work(&sizes[size]);
	j->objective_ms =
	    (int64_t)(STRETCH * (double)sizes[size].ms) + LATENCY_MS;
	j->value = 0.3 + 0.7 * j->work / p->mean_work;
	if (j->value > 4)
		j->value = 4;
	j->owed = p->opts->judge_all || p->owed[account] >= 1;
	if (p->owed[account] >= 1)
		p->owed[account]--;
	j->tries = 1;
	jobs_world_submit(p->world, j->spec, j->id);
}

static void
note_answer(struct play *p, struct played_job *j)
{
	int retry_ms = jobs_world_retry_ms(p->world, j->id);

	j->accepted = retry_ms == 0;
	j->retry_at_ms = retry_ms > 0 && j->tries < RETRIES_MAX
	    ? jobs_world_ms(p->world) + retry_ms
	    : 0;
}

static void
use_caller(struct play *p, size_t account)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "account-%zu", account);
	jobs_world_caller(
	    p->world, p->opts->mode == PRESSURE_BY_ACCOUNT ? name : "");
}

static void
submit_due(struct play *p, int64_t ms, double rate)
{
	struct played_job *j;
	double weight;
	size_t i;

	for (i = 0; i < PRESSURE_ACCOUNTS; i++) {
		/* owed: SURGE_FACTOR times its mean, as its weight says */
		weight = SURGE_FACTOR * account_part(i) * rate;
		p->owed[i] = fmin(p->owed[i] + weight / 1000, fmax(weight, 1));
		p->due[i] +=
		    load_factor(p, i, ms) * account_part(i) * rate / 1000;
		while (p->due[i] >= 1) {
			p->due[i]--;
			use_caller(p, i);
			submit_new(p, i);
			note_answer(p, &p->jobs[p->count - 1]);
		}
	}
	for (i = 0; i < p->count; i++) {
		j = &p->jobs[i];
		if (j->retry_at_ms == 0 ||
		    jobs_world_ms(p->world) < j->retry_at_ms)
			continue;
		j->tries++;
		jobs_world_submit_again(p->world, j->spec, j->id);
		note_answer(p, j);
	}
}

static void
judge_job(struct play *p, const struct played_job *j, struct pressure_class *c)
{
	int64_t took_ms = jobs_world_took_ms(p->world, j->id);

	c->jobs++;
	c->refused += !j->accepted;
	if (j->owed)
		c->owed += j->value;
	if (took_ms < 0 || took_ms > LATENESS_MAX * j->objective_ms) {
		c->unserved++;
		return;
	}
	c->in_time += took_ms <= j->objective_ms;
	if (j->owed)
		c->value +=
		    j->value * (took_ms <= j->objective_ms ? 1 : LATE_VALUE);
}

double
pressure_share(const struct pressure_class *c)
{
	return c->owed > 0 ? c->value / c->owed : 1;
}

static int
compare_shares(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void
judge(struct play *p, struct pressure_result *r)
{
	double shares[PRESSURE_ACCOUNTS];
	struct jobs_verdict v;
	struct played_job *j;
	int64_t took_ms;
	size_t i;

	for (i = 0; i < p->count; i++) {
		j = &p->jobs[i];
		judge_job(p, j, &r->all);
		judge_job(p, j, &r->accounts[j->account]);
		if (j->account == HOT)
			judge_job(p, j, &r->hot);
		judge_job(p, j, j->work > p->mean_work ? &r->large : &r->small);
		took_ms = jobs_world_took_ms(p->world, j->id);
		if (j->accepted && took_ms > r->longest_wait_ms)
			r->longest_wait_ms = took_ms;
		job_spec_unref(j->spec);
	}
	for (i = 0; i < PRESSURE_ACCOUNTS; i++)
		shares[i] = pressure_share(&r->accounts[i]);
	qsort(shares, PRESSURE_ACCOUNTS, sizeof(shares[0]), compare_shares);
	for (i = 0; i < WORST_ACCOUNTS; i++)
		r->worst_tenth += shares[i] / WORST_ACCOUNTS;
	jobs_world_judge(p->world, &v);
	snprintf(r->broken, sizeof(r->broken), "%s", v.first);
}

void
pressure_play(const struct pressure_opts *opts, struct pressure_result *r)
{
	struct jobs_world_opts world_opts = {
	    .seed = opts->seed,
	    .workers = WORKERS,
	    .cpu = WORKER_CPU,
	    .memory_mb = 64000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .estimate_spread = 0.3,
	    .said_guarded = true,
	    .select_by_cost = opts->mode == PRESSURE_BY_COST,
	    .timed = true,
	};
	struct account_settings a;
	struct play p = {.opts = opts};
	double rate;
	size_t i;
	int ms;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < SIZES; i++)
		p.mean_work += sizes[i].part * size_work(&sizes[i]);
	rate = mean_rate(p.mean_work);
	for (i = 0; i < PRESSURE_ACCOUNTS; i++) {
		p.owed[i] = 1;
		p.random[i] =
		    (opts->seed * PRESSURE_ACCOUNTS + i) * 2654435761u +
		    88172645463325252u;
	}
	p.world = jobs_world_new(&world_opts);
	for (i = 0; opts->mode == PRESSURE_BY_ACCOUNT && i < PRESSURE_ACCOUNTS;
	     i++) {
		memset(&a, 0, sizeof(a));
		snprintf(a.name, sizeof(a.name), "account-%zu", i);
		a.weight = SURGE_FACTOR * account_part(i) * rate;
		jobs_world_account(p.world, &a);
	}
	for (ms = 0; ms < PLAY_MS; ms++) {
		submit_due(&p, ms, rate);
		jobs_world_run(p.world, 1);
	}
	r->step_us = jobs_world_step_us(p.world);
	jobs_world_run(p.world, DRAIN_MS);
	judge(&p, r);
	jobs_world_free(p.world);
	free(p.jobs);
}
