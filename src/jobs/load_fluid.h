/*
 * Fluid model of a pool's capacity, which load_selection.c and load_admission.c
 * share.
 */
#ifndef JOBS_LOAD_FLUID_H
#define JOBS_LOAD_FLUID_H

#include "load_selection.h"

static inline void
vector_add(struct load_vector *v, const struct load_vector *o, double factor)
{
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++)
		v->in[i] += factor * o->in[i];
}

enum shortage {
	SHORT_OF_NONE,
	SHORT_OF_ACCELERATORS, /* alone */
	SHORT_OF_OTHERS
};

/* Time in which the rates do the work, in the dimension that takes longest. */
double load_share_ms(
    const struct load_vector *work, const struct load_vector *rates);
double load_weight_sum(const struct load_problem *p);
/* Capacity that an account's share leaves for work that ends. */
void load_account_rates(const struct load_capacity *c,
    const struct load_account *a, double weight_sum, struct load_vector *rates);
/* Time in which the account's cap lets it do its own work. */
double load_cap_duration_ms(
    const struct load_account *a, const struct load_vector *own);
/* Time in which all workers, present and incoming, do what can be done by "ms".
 */
double load_scaled_time(const struct load_capacity *c, double ms);
/* Work for value: of the dimension that the candidate needs most of, in ms. */
double load_work_density(
    const struct load_problem *p, const struct load_candidate *c);
/* What the candidate lacks to start and to end in time after this work. */
enum shortage load_shortage(const struct load_problem *p,
    const struct load_candidate *c, const struct load_vector *before);

#endif
