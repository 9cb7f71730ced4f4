/*
 * Load selection: time of one decision, and what callers get of a pool that is
 * asked for more than it has, with and without the selection.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_selection.h"
#include "pressure.h"
#include "slope.h"

#define CANDIDATES 4000
#define ACCOUNTS 370
#define DECISIONS 50
#define DECISION_TARGET_US 5000
#define SEEDS 5
#define HOT_FACTOR 6

static uint64_t state = 20261204;

static double
chance(void)
{
	state ^= state << 13;
	state ^= state >> 7;
	state ^= state << 17;
	return (double)(state >> 11) / (double)(1ULL << 53);
}

static void
fill(struct load_problem *p, double load)
{
	struct load_candidate *c;
	double cpu, work;
	size_t i;

	p->capacity = (struct load_capacity){
	    .total = {{4000000, 16000000, 200}},
	    .incoming = {{500000, 2000000, 0}},
	    .incoming_within_ms = 2000,
	};
	for (i = 0; i < p->account_count; i++)
		p->accounts[i] = (struct load_account){
		    .weight = 0.2 + 5 * chance(), .priority = (int)(i % 3)};
	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		memset(c, 0, sizeof(*c));
		c->class = chance() < 0.1 ? LOAD_STARTED
		    : chance() < 0.2      ? LOAD_LATE
					  : LOAD_ON_TIME;
		c->account = (size_t)(chance() * chance() * ACCOUNTS);
		c->priority = (int)(chance() * 3);
		c->slack_ms = 100 + 3000 * chance();
		c->left_ms = 200 + 2000 * chance();
		c->value = 0.3 + chance() * chance() * 3.7;
		work = load * 2 * chance() * 4000000 * 2000 / CANDIDATES;
		cpu = work / c->left_ms;
		c->work = (struct load_vector){
		    {work, work * 3, chance() < 0.1 ? work / 10000 : 0}};
		c->demand = (struct load_vector){{cpu, cpu * 3, 0}};
	}
}

static void
time_decisions(double load)
{
	struct load_problem p = {
	    .account_count = ACCOUNTS, .candidate_count = CANDIDATES};
	struct load_decision d = {
	    .order = calloc(2 * CANDIDATES, sizeof(size_t))};
	struct load_submission s;
	struct load_admission a;
	double us, total = 0, longest = 0, admit_us;
	int i;

	p.accounts = calloc(ACCOUNTS, sizeof(*p.accounts));
	p.candidates = calloc(CANDIDATES, sizeof(*p.candidates));
	for (i = 0; i < DECISIONS; i++) {
		fill(&p, load);
		us = cpu_us();
		if (load_select(&p, &d) == -1)
			errx(1, "out of memory");
		us = cpu_us() - us;
		total += us;
		longest = us > longest ? us : longest;
	}
	memset(&s, 0, sizeof(s));
	s.job = p.candidates[1];
	s.objective_ms = 3000;
	admit_us = cpu_us();
	for (i = 0; i < DECISIONS; i++)
		load_admit(&p, &d, &s, &a);
	admit_us = cpu_us() - admit_us;
	printf("decision, %d jobs of %d accounts, load %.1f: %6.0f us, longest "
	       "%6.0f us (target %d), deferred %zu; admission %.0f us\n",
	    CANDIDATES, ACCOUNTS, load, total / DECISIONS, longest,
	    DECISION_TARGET_US, d.deferred, admit_us / DECISIONS);
	free(p.accounts);
	free(p.candidates);
	free(d.order);
}

static void
print_class(const char *name, const struct pressure_class *c)
{
	printf("  %-10s value %.3f, jobs %5zu, in time %5zu, refused %4zu, "
	       "unserved %4zu\n",
	    name, pressure_share(c), c->jobs, c->in_time, c->refused,
	    c->unserved);
}

static void
add_class(struct pressure_class *to, const struct pressure_class *c)
{
	to->value += c->value;
	to->owed += c->owed;
	to->jobs += c->jobs;
	to->in_time += c->in_time;
	to->refused += c->refused;
	to->unserved += c->unserved;
}

static void
play(enum pressure_mode mode, const char *name)
{
	struct pressure_opts o = {.mode = mode, .hot_factor = HOT_FACTOR};
	struct pressure_result r, sum;
	size_t i;

	memset(&sum, 0, sizeof(sum));
	for (o.seed = 1; o.seed <= SEEDS; o.seed++) {
		pressure_play(&o, &r);
		if (r.broken[0] != '\0')
			errx(1, "a promise was broken: %s", r.broken);
		add_class(&sum.all, &r.all);
		add_class(&sum.hot, &r.hot);
		add_class(&sum.large, &r.large);
		add_class(&sum.small, &r.small);
		for (i = 0; i < PRESSURE_ACCOUNTS; i++)
			add_class(&sum.accounts[i], &r.accounts[i]);
		sum.worst_tenth += r.worst_tenth / SEEDS;
		sum.step_us += r.step_us;
		if (r.longest_wait_ms > sum.longest_wait_ms)
			sum.longest_wait_ms = r.longest_wait_ms;
	}
	printf("%s, %d plays: worst tenth of accounts %.3f, longest wait "
	       "%lld ms, %.0f us/job\n",
	    name, SEEDS, sum.worst_tenth, (long long)sum.longest_wait_ms,
	    sum.step_us / (double)sum.all.jobs);
	print_class("all", &sum.all);
	print_class("hot", &sum.hot);
	print_class("large", &sum.large);
	print_class("small", &sum.small);
	print_class("largest", &sum.accounts[0]);
	print_class("smallest", &sum.accounts[PRESSURE_ACCOUNTS - 1]);
}

int
main(void)
{
	time_decisions(0.5);
	time_decisions(2);
	time_decisions(10);
	play(PRESSURE_BY_RANK, "without selection");
	play(PRESSURE_BY_COST, "by cost, no accounts");
	play(PRESSURE_BY_ACCOUNT, "with accounts");
	return 0;
}
