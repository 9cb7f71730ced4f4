/*
 * Which of a pool's waiting jobs are served first and which submissions are
 * refused, while more work waits than the pool can do in time.  In effect where
 * the configuration has client accounts.  Only pool*.c include this file.
 */
#ifndef JOBS_POOL_SELECTION_H
#define JOBS_POOL_SELECTION_H

#include "load_selection.h"
#include "pool_state.h"

/* Mean work of a queue's jobs, in thousandths of a core times ms. */
struct queue_mean {
	char queue[NAME_BYTES];
	double work;
	unsigned jobs;
	UT_hash_handle hh; /* by queue */
};

struct pool_selection {
	struct load_problem problem; /* of the newest pass, and its … */
	struct load_decision decision; /* … result */
	/* The result is valid: not all that could start had capacity. */
	bool decided;
	size_t candidates_max, accounts_max; /* room in the arrays */
	uint64_t pass; /* number of the newest pass */
	struct pool_account no_account; /* of jobs that belong to none */
	struct queue_mean *queue_means;
	struct load_vector overdue_usage; /* of tasks that were in turn */
	bool turn_denied; /* some had to wait for their share in this pass */
	bool pressure;
	int64_t pressure_since_us, deferred_us; /* newest deferral */
	size_t deferred_max, served_max; /* since then */
	int64_t deferred_logged_us;
	/* It has workers reserved until this time. */
	char reserved_job[JOB_ID_BYTES];
	int64_t reserved_until_us;
	char figures[POOL_LOG_BYTES];
};

/* NULL when out of memory. */
struct pool_selection *selection_new(void);
void selection_free(struct pool_selection *sel); /* accepts NULL */
bool selection_active(const struct pool *p);
/*
 * Puts the candidates of a scheduling pass in order, unless there is capacity
 * for all that could start.  The list has room for twice "count"; overdue
 * candidates may be in it twice.  False: the order is left to the caller.
 */
bool selection_order(struct pool *p, struct candidate *list, size_t *count);
/*
 * "count" tasks of an occurrence may start: false if it goes ahead of others
 * because it is overdue, and such jobs have their share of the capacity.
 */
bool selection_allows_start(
    struct pool *p, const struct job_step *s, unsigned count);
/*
 * The occurrence, which goes ahead of others, has been tried.  Reserves workers
 * for its tasks if they found none, as smaller tasks would take what becomes
 * free.  One job at a time has them.
 */
void selection_turn_taken(struct pool *p, struct occurrence *o);
/* The worker is reserved for another job. */
bool worker_reserved(
    const struct pool *p, const struct pool_worker *w, const struct job *j);
/* A job was accepted, or loaded from the store. */
void selection_note_job(struct pool *p, struct job *j);
/* Index of the account among those with work; adds it. */
size_t selection_account_index(const struct pool *p, struct pool_account *a);
/* Room for so many candidates, and all accounts; -1: out of memory. */
int selection_reserve(struct pool *p, size_t candidates);
/* Adds the resources of "count" tasks. */
void selection_add_step(
    struct load_vector *v, const struct step_spec *s, double count);
/* Something that still has some value was deferred in the newest pass. */
static inline bool
selection_defers(const struct pool_selection *sel)
{
	return sel->decided &&
	    sel->decision.deferred_on_time + sel->decision.deferred_late > 0;
}

#endif
