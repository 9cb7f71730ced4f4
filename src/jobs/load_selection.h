/*
 * Which waiting jobs a pool serves while more work waits than it can do in
 * time, and whether it takes in another one.  Pure functions over arrays:
 * without I/O, and without reading a clock.
 */
#ifndef JOBS_LOAD_SELECTION_H
#define JOBS_LOAD_SELECTION_H

#include <stdbool.h>
#include <stddef.h>

enum load_dimension {
	LOAD_CPU, /* thousandths of a core */
	LOAD_MEMORY, /* MB */
	LOAD_ACCELERATORS,
	LOAD_DIMENSIONS
};

/* Resources, or work: resources times ms. */
struct load_vector {
	double in[LOAD_DIMENSIONS];
};

/* Classes of candidates, in the order in which they are served. */
enum load_class {
	LOAD_STARTED, /* has started, and can be on time: never deferred */
	LOAD_ON_TIME, /* can be on time */
	LOAD_LATE, /* misses its objective, and still has some value */
	LOAD_HOPELESS, /* too late to have any value */
	LOAD_OVERDUE /* has waited for LOAD_OVERDUE_MS beyond its objective */
};

#define LOAD_OVERDUE_MS 10000
/* Share of the capacity that overdue jobs get ahead of those on time. */
#define LOAD_OVERDUE_SHARE 0.1
/* A job that ends after this many times its objective has no value. */
#define LOAD_LATENESS_MAX 3.0

enum load_verdict {
	LOAD_SERVED,
	LOAD_IN_TURN, /* overdue, and within the share for such jobs */
	LOAD_DEFERRED, /* takes the capacity that the others leave */
	LOAD_REFUSED /* only of a job that is being submitted */
};

/* Capacity that work can use, and that which joins it. */
struct load_capacity {
	struct load_vector total; /* of the workers in use */
	struct load_vector held; /* of it, by long-running tasks … */
	struct load_vector used; /* … and by other running tasks */
	struct load_vector
	    running; /* work left of the latter, by load_select() */
	struct load_vector incoming; /* of workers that join the pool … */
	double incoming_within_ms; /* … after this time */
};

/* An account with work in the pool. */
struct load_account {
	double weight; /* above 0 */
	int priority; /* 0 comes first */
	struct load_vector cap; /* most that it may occupy; 0: no limit */
	struct load_vector held; /* by its long-running tasks */
	struct load_vector running; /* work left of its other running tasks */
	/* When an overdue job of it was in turn, on any clock; 0: never. */
	double last_turn;
};

/* A job, or an occurrence of one, with tasks that wait. */
struct load_candidate {
	enum load_class class;
	size_t account; /* its index */
	int priority; /* of its queue; 0 comes first */
	double slack_ms; /* its start can wait so long */
	double left_ms; /* expected time of its critical path */
	double value;
	struct load_vector work; /* of its tasks that are not placed */
	struct load_vector demand; /* of those that could start now */
	struct load_vector unit; /* of one of them, or of one gang */
	/* Set by load_select(). */
	enum load_verdict verdict;
	double cost; /* work for value */
	/*
	 * Of a deferred candidate: the time in which its account's share of
	 * the capacity does the account's work up to and with it.
	 */
	double share_ms;
};

struct load_problem {
	struct load_capacity capacity;
	struct load_account *accounts;
	size_t account_count;
	struct load_candidate *candidates;
	size_t candidate_count;
	struct load_vector overdue_usage; /* of tasks that were in turn */
};

struct load_decision {
	/*
	 * Indices of candidates, first to serve first.  Those in turn appear
	 * again among the deferred ones.
	 */
	size_t *order; /* twice candidate_count, by the caller */
	size_t order_count;
	size_t served, in_turn, deferred; /* candidates */
	/* Deferred candidates of the classes LOAD_ON_TIME and LOAD_LATE. */
	size_t deferred_on_time, deferred_late;
	struct load_vector started; /* work of candidates that have started */
	struct load_vector waiting; /* work of all candidates */
};

/*
 * Decides on the candidates in O(n log n).  Returns -1, and decides nothing,
 * when out of memory.
 */
int load_select(struct load_problem *p, struct load_decision *d);

/*
 * Overdue jobs that go ahead of others use "used": another task, or gang, would
 * exceed their share.  A single one may.
 */
bool load_turn_denied(const struct load_capacity *c,
    const struct load_vector *used, const struct load_vector *unit);

/* A job that is being submitted. */
struct load_submission {
	struct load_candidate job; /* account: an index, or account_count … */
	struct load_account new_account; /* … for this one */
	double objective_ms;
};

struct load_admission {
	enum load_verdict verdict;
	bool beyond_share; /* its account has more than its share of work */
	/* Time in which the account's share does the account's work. */
	double own_ms;
	double wait_ms; /* until the work that is served before it is done */
	double retry_ms; /* of LOAD_REFUSED: until it could be on time */
};

/*
 * Decides on a submission by the result of load_select() for the candidates, in
 * O(n).  A job is refused if it could only end after LOAD_LATENESS_MAX times
 * its objective.
 */
void load_admit(const struct load_problem *p, const struct load_decision *d,
    const struct load_submission *s, struct load_admission *a);

/* Time in which the capacity does what runs and the work, in ms. */
double load_duration_ms(
    const struct load_capacity *c, const struct load_vector *work);

#endif
