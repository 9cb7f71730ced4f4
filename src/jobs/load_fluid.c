#include "load_fluid.h"

#include <math.h>

/*
 * Least part of its fair share that an account has for further work, whatever
 * its long-running tasks hold.
 */
#define SHARE_LEFT_MIN 0.05

/*
 * What waiting work can use until "ms" from now.  Running tasks are taken to
 * end evenly over twice the mean of their time left.
 */
static double
available_until(const struct load_capacity *c, int dimension, double ms)
{
	double used = c->used.in[dimension], work;
	double last_ms = used > 0 ? 2 * c->running.in[dimension] / used : 0;

	if (ms <= 0)
		return 0;
	work = fmax(c->total.in[dimension] - c->held.in[dimension], 0) * ms;
	work -= ms < last_ms ? used * (ms - ms * ms / (2 * last_ms))
			     : c->running.in[dimension];
	if (ms > c->incoming_within_ms)
		work +=
		    c->incoming.in[dimension] * (ms - c->incoming_within_ms);
	return fmax(work, 0);
}

double
load_duration_ms(const struct load_capacity *c, const struct load_vector *work)
{
	double longest = 0, all, rate, ms, within = c->incoming_within_ms;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		all = work->in[i] + c->running.in[i];
		if (work->in[i] <= 0)
			continue;
		rate = fmax(c->total.in[i] - c->held.in[i], 0);
		ms = rate > 0 ? all / rate : INFINITY;
		if (ms > within && c->incoming.in[i] > 0)
			ms = within +
			    (all - rate * within) / (rate + c->incoming.in[i]);
		longest = fmax(longest, ms);
	}
	return longest;
}

double
load_share_ms(const struct load_vector *work, const struct load_vector *rates)
{
	double longest = 0;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		if (work->in[i] > 0)
			longest = fmax(longest, work->in[i] / rates->in[i]);
	}
	return longest;
}

void
load_account_rates(const struct load_capacity *c, const struct load_account *a,
    double weight_sum, struct load_vector *rates)
{
	double fair;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		fair = a->weight / weight_sum *
		    (c->total.in[i] + c->incoming.in[i]);
		if (a->cap.in[i] > 0)
			fair = fmin(fair, a->cap.in[i]);
		rates->in[i] =
		    fmax(fair - a->held.in[i], fair * SHARE_LEFT_MIN);
		if (rates->in[i] <= 0)
			rates->in[i] = 1e-9; /* the pool has none of it */
	}
}

double
load_cap_duration_ms(
    const struct load_account *a, const struct load_vector *own)
{
	double longest = 0;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		if (a->cap.in[i] > 0 && own->in[i] > 0)
			longest = fmax(longest,
			    own->in[i] /
				fmax(a->cap.in[i] - a->held.in[i], 1e-9));
	}
	return longest;
}

double
load_scaled_time(const struct load_capacity *c, double ms)
{
	double longest = 0, all, work;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		all = c->total.in[i] + c->incoming.in[i];
		work = c->total.in[i] * ms +
		    c->incoming.in[i] * fmax(ms - c->incoming_within_ms, 0);
		if (all > 0)
			longest = fmax(longest, work / all);
	}
	return longest;
}

double
load_weight_sum(const struct load_problem *p)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < p->account_count; i++)
		sum += p->accounts[i].weight;
	return sum;
}

double
load_work_density(const struct load_problem *p, const struct load_candidate *c)
{
	struct load_vector all = p->capacity.total;
	int i;

	vector_add(&all, &p->capacity.incoming, 1);
	for (i = 0; i < LOAD_DIMENSIONS; i++)
		all.in[i] = fmax(all.in[i], 1e-9);
	return load_share_ms(&c->work, &all) / fmax(c->value, 1e-9);
}

enum shortage
load_shortage(const struct load_problem *p, const struct load_candidate *c,
    const struct load_vector *before)
{
	enum shortage found = SHORT_OF_NONE;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		if (c->work.in[i] <= 0 ||
		    (before->in[i] <=
			    available_until(&p->capacity, i, c->slack_ms) &&
			before->in[i] + c->work.in[i] <=
			    available_until(
				&p->capacity, i, c->slack_ms + c->left_ms)))
			continue;
		if (i != LOAD_ACCELERATORS)
			return SHORT_OF_OTHERS;
		found = SHORT_OF_ACCELERATORS;
	}
	return found;
}

bool
load_turn_denied(const struct load_capacity *c, const struct load_vector *used,
    const struct load_vector *unit)
{
	bool some = false, beyond = false;
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		some |= used->in[i] > 0;
		beyond |= unit->in[i] > 0 &&
		    used->in[i] + unit->in[i] >
			LOAD_OVERDUE_SHARE * c->total.in[i];
	}
	return some && beyond;
}
