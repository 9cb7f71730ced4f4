/* Order of a pool's waiting work; included by pool_state.h. */
#ifndef JOBS_POOL_RANK_H
#define JOBS_POOL_RANK_H

#include "pool_state.h"

/* Classes of work, in the order in which they are placed. */
enum rank_class {
	RANK_LONG_RUNNING,
	RANK_STARTED, /* has started tasks, and can meet its objective */
	RANK_ON_TIME, /* not started, and can meet its objective */
	RANK_LATE, /* misses its objective, but still has some value */
	RANK_HOPELESS /* too late to have any value */
};

/* An occurrence with tasks to place. */
struct candidate {
	struct occurrence *occurrence;
	enum rank_class class;
	int priority; /* of its queue; 0 comes first */
	double slack_ms; /* time that it can wait and meet its objective */
	double left_ms; /* expected time of its critical path */
	bool in_turn; /* goes ahead of others because it is overdue */
};

void pool_rank_occurrence(
    const struct pool *p, struct candidate *c, struct occurrence *o);
bool step_has_waiting_tasks(const struct job_step *s);
/* Slack that a job with this critical path needs to rank as on time. */
double rank_margin_ms(double left_ms);
int pool_compare_candidates(const void *a, const void *b);
/*
 * The occurrences with tasks to place, first to place first; starts those that
 * are due.  Free the list; NULL when out of memory.
 */
struct candidate *pool_gather_candidates(struct pool *p, size_t *count);

#endif
