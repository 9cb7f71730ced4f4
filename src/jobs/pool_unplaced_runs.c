/*
 * Runs that are not placed tasks and count for an account's cap: starts that
 * may still be carried out, runs that are being stopped, and what workers of
 * an earlier owner may be running before they have answered this one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

struct unplaced_run {
	char worker[NAME_BYTES];
	struct task_name task;
	int64_t run;
	struct account_cap size;
	int64_t until_us; /* a late start arrives by then; 0: it is listed */
	/* Report of the worker that listed it, and when. */
	uint64_t listed_in;
	int64_t listed_us;
	LIST_ENTRY(unplaced_run) entries;
};

static bool
same_task(const struct task_name *a, const struct task_name *b)
{
	return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
	    a->step == b->step && a->index == b->index;
}

static struct unplaced_run *
find_run(const struct pool_account *a, const char *worker,
    const struct task_name *task, int64_t run)
{
	struct unplaced_run *u;

	LIST_FOREACH(u, &a->share.unplaced_runs, entries) {
		if (u->run == run && strcmp(u->worker, worker) == 0 &&
		    same_task(&u->task, task))
			return u;
	}
	return NULL;
}

static void
run_free(struct unplaced_run *u)
{
	LIST_REMOVE(u, entries);
	free(u);
}

static struct unplaced_run *
get_run(struct pool_account *a, const char *worker,
    const struct task_name *task, int64_t run, const struct step_spec *s)
{
	struct unplaced_run *u = find_run(a, worker, task, run);

	if (u != NULL)
		return u;
	u = calloc(1, sizeof(*u));
	if (u == NULL)
		abort(); /* the account could run more than its cap */
	snprintf(u->worker, sizeof(u->worker), "%s", worker);
	u->task = *task;
	u->run = run;
	u->size = step_spec_cap_size(s);
	LIST_INSERT_HEAD(&a->share.unplaced_runs, u, entries);
	return u;
}

void
account_note_late_start(struct task *t)
{
	struct pool_account *a = t->step->occurrence->job->account;
	struct task_name name;

	if (a == NULL || !a->share.tracked)
		return;
	task_get_name(t, &name);
	get_run(a, t->worker->report.id, &name, t->run, t->step->spec)
	    ->until_us = t->placed_us + LATE_COMMAND_MAX_MS * US_PER_MS;
}

void
account_start_arrived(const struct task *t, const char *worker, int64_t run)
{
	struct pool_account *a = t->step->occurrence->job->account;
	struct unplaced_run *u;
	struct task_name name;

	if (a == NULL || LIST_EMPTY(&a->share.unplaced_runs))
		return;
	task_get_name(t, &name);
	u = find_run(a, worker, &name, run);
	if (u != NULL)
		run_free(u);
}

void
account_note_unwanted_run(
    struct pool *p, struct pool_worker *w, const struct run_report *r)
{
	struct job *j = pool_find_job(p, r->task.job);
	struct unplaced_run *u;

	if (j == NULL || j->account == NULL || !j->account->share.tracked ||
	    r->task.step >= j->spec->step_count)
		return;
	u = get_run(j->account, w->report.id, &r->task, r->run,
	    &j->spec->steps[r->task.step]);
	u->until_us = 0;
	u->listed_in = w->report_count;
	u->listed_us = p->now_us;
}

/* The run counts as placed: it is in the usage of its account. */
static bool
run_placed(const struct pool *p, const struct unplaced_run *u)
{
	const struct task *t = pool_find_task(p, &u->task);

	return t != NULL && t->worker != NULL && t->run == u->run &&
	    strcmp(t->worker->report.id, u->worker) == 0;
}

/* A listed run has ended: with its worker, or as a later list shows. */
static bool
listed_run_over(const struct pool *p, const struct pool_worker *w,
    const struct unplaced_run *u)
{
	if (w == NULL || w->is_gone || w->machine_removed ||
	    w->report_count > u->listed_in || w->restarted_us > u->listed_us)
		return true;
	return w->missed_renewals > 0 &&
	    worker_lease_expired(w, p->ownership_confirmed_us);
}

/* The worker does not carry out a start that arrives now. */
static bool
keeps_starts_out(const struct pool_worker *w)
{
	return w != NULL &&
	    (w->machine_removed ||
		(w->fence_confirmed && w->missed_renewals == 0));
}

static void
count_runs(struct pool *p, struct pool_account *a)
{
	struct unplaced_run *u, *next;
	const struct pool_worker *w;

	for (u = LIST_FIRST(&a->share.unplaced_runs); u != NULL; u = next) {
		next = LIST_NEXT(u, entries);
		w = pool_find_worker(p, u->worker);
		if (u->until_us != 0 ? p->now_us >= u->until_us
				     : listed_run_over(p, w, u)) {
			run_free(u);
			continue;
		}
		if ((u->until_us != 0 && keeps_starts_out(w)) ||
		    run_placed(p, u))
			continue;
		cap_add(&a->share.unplaced, &u->size, 1);
	}
}

/*
 * An earlier owner's runs may be on the worker, or begin there: it has not
 * answered under this owner's fence since it may have restarted.
 */
static bool
worker_unheard(const struct pool *p, const struct pool_worker *w)
{
	if (!w->inherited || w->fence_confirmed || w->machine_removed)
		return false;
	if (w->restarted_us != 0 &&
	    p->now_us - p->opts.now_us < LATE_COMMAND_MAX_MS * US_PER_MS)
		return true;
	return p->now_us <= w->reconciled_by_us &&
	    p->now_us < p->reconcile_end_us;
}

/* Capacity of such workers; an unknown one is not limited. */
static struct account_cap
unheard_capacity(const struct pool *p)
{
	struct account_cap sum = {0};
	const struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_unheard(p, w))
			continue;
		if (w->report.cpu_milli == 0)
			return (struct account_cap){
			    ACCOUNT_CAP_MAX, ACCOUNT_CAP_MAX, ACCOUNT_CAP_MAX};
		sum.cpu_milli += w->report.cpu_milli;
		sum.memory_mb += w->report.memory_mb;
		sum.accelerators += w->report.accelerators;
	}
	return sum;
}

void
caps_count_unplaced(struct pool *p)
{
	struct account_cap unheard = unheard_capacity(p), before;
	struct pool_account *a;
	int64_t left, known;
	int d;

	LIST_FOREACH(a, &p->caps.accounts, share.entries) {
		before = a->share.unplaced;
		memset(&a->share.unplaced, 0, sizeof(a->share.unplaced));
		count_runs(p, a);
		for (d = 0; d < CAP_DIMENSIONS; d++) {
			left = cap_get(&a->share.stored.share, d) -
			    cap_get(&a->usage, d);
			known = cap_get(&unheard, d);
			if (left < known)
				known = left;
			if (known > 0)
				*cap_at(&a->share.unplaced, d) += known;
			if (cap_get(&a->share.unplaced, d) <
			    cap_get(&before, d))
				p->placement_due = true;
		}
	}
}

void
account_unplaced_free(struct pool_account *a)
{
	struct unplaced_run *u;

	while ((u = LIST_FIRST(&a->share.unplaced_runs)) != NULL)
		run_free(u);
}
