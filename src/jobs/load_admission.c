/* Decision on a job that is being submitted, see load_selection.h. */
#include <math.h>

#include "load_fluid.h"

/* Beyond its share: by more than the rounding of sums. */
#define BEYOND_SHARE_MIN 1.01

/* Of one account: the deferred candidate comes before the job. */
static bool
deferred_before(
    const struct load_candidate *c, const struct load_candidate *job)
{
	if (c->class != job->class)
		return c->class < job->class;
	if (c->priority != job->priority)
		return c->priority < job->priority;
	return c->cost <= job->cost;
}

/* Work of candidates that still have some value, and that may be deferred. */
static bool
admission_counts(const struct load_candidate *c)
{
	return c->class == LOAD_ON_TIME || c->class == LOAD_LATE;
}

/* The job would be on time, behind what is served and can wait less. */
static bool
fits_in_time(const struct load_problem *p, const struct load_decision *d,
    const struct load_candidate *job, struct load_admission *a)
{
	struct load_vector before = d->started;
	const struct load_candidate *c;
	size_t i;

	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (admission_counts(c) && c->verdict == LOAD_SERVED &&
		    c->slack_ms <= job->slack_ms)
			vector_add(&before, &c->work, 1);
	}
	a->wait_ms = load_duration_ms(&p->capacity, &before);
	return load_shortage(p, job, &before) == SHORT_OF_NONE;
}

/* Time until what is served before the job is done, if it is deferred. */
static double
deferred_wait_ms(const struct load_problem *p, const struct load_decision *d,
    const struct load_candidate *job, const struct load_account *account,
    struct load_vector own, const struct load_vector *rates)
{
	struct load_vector before = d->started;
	const struct load_candidate *c;
	double own_ms, capped_ms;
	size_t i;

	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (c->account == job->account && admission_counts(c) &&
		    (c->verdict == LOAD_SERVED || deferred_before(c, job)))
			vector_add(&own, &c->work, 1);
	}
	capped_ms = load_cap_duration_ms(account, &own);
	vector_add(&own, &job->work, 1);
	own_ms = load_share_ms(&own, rates);
	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (admission_counts(c) &&
		    (c->verdict == LOAD_SERVED ||
			(c->account == job->account ? deferred_before(c, job)
						    : c->share_ms <= own_ms)))
			vector_add(&before, &c->work, 1);
	}
	return fmax(load_duration_ms(&p->capacity, &before), capped_ms);
}

void
load_admit(const struct load_problem *p, const struct load_decision *d,
    const struct load_submission *sub, struct load_admission *a)
{
	struct load_candidate job = sub->job;
	const struct load_candidate *c;
	const struct load_account *account = job.account < p->account_count
	    ? &p->accounts[job.account]
	    : &sub->new_account;
	struct load_vector rates, all, own = account->running;
	double weights = load_weight_sum(p), all_ms, capped_ms;
	size_t i;

	job.cost = load_work_density(p, &job);
	if (job.account >= p->account_count)
		weights += account->weight;
	load_account_rates(&p->capacity, account, weights, &rates);
	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (c->account == job.account && c->class == LOAD_STARTED)
			vector_add(&own, &c->work, 1);
	}
	all = own;
	for (i = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (c->account == job.account && admission_counts(c))
			vector_add(&all, &c->work, 1);
	}
	a->own_ms = load_share_ms(&all, &rates);
	capped_ms = load_cap_duration_ms(account, &all);
	all = d->started;
	for (i = 0; i < p->candidate_count; i++) {
		if (admission_counts(&p->candidates[i]))
			vector_add(&all, &p->candidates[i].work, 1);
	}
	all_ms = load_duration_ms(&p->capacity, &all);
	a->beyond_share = a->own_ms >
	    BEYOND_SHARE_MIN * load_scaled_time(&p->capacity, all_ms);
	a->retry_ms = 0;
	a->verdict = LOAD_SERVED;
	if (!a->beyond_share && capped_ms <= job.slack_ms &&
	    fits_in_time(p, d, &job, a))
		return;
	a->verdict = LOAD_DEFERRED;
	a->wait_ms = deferred_wait_ms(p, d, &job, account, own, &rates);
	if (a->wait_ms + job.left_ms <= LOAD_LATENESS_MAX * sub->objective_ms)
		return;
	a->verdict = LOAD_REFUSED;
	a->retry_ms = a->wait_ms - (sub->objective_ms - job.left_ms);
}
