/*
 * Order in which waiting occurrences are placed.  For some seconds, a queue's
 * demand may be several times what its pool can serve; work that can still meet
 * its objective comes first.
 */
#include <stdlib.h>

#include "pool_selection.h"

/*
 * Slack that a job needs to rank as on time: a share of its remaining
 * critical path, and a constant for commands, renewals and a scheduling pass.
 */
#define START_SLACK_SHARE 0.1
#define START_SLACK_MS 80

int
pool_compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	return 0;
}

/*
 * Has tasks that are done or placed.  Such occurrences continue first: under
 * overload, progress in many jobs that all end late would serve no caller.
 */
static bool
occurrence_started(const struct occurrence *o)
{
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		if (o->steps[i].done_count + o->steps[i].placed_count > 0)
			return true;
	}
	return false;
}

double
rank_margin_ms(double left_ms)
{
	return left_ms * START_SLACK_SHARE + START_SLACK_MS;
}

void
pool_rank_occurrence(
    const struct pool *p, struct candidate *c, struct occurrence *o)
{
	const struct job *j = o->job;
	double left_ms, span_ms;
	int64_t from_ms;

	c->occurrence = o;
	c->in_turn = false;
	c->priority = j->queue.priority;
	occurrence_expect(o, run_time_find(p->run_times, j->queue.name));
	left_ms = occurrence_critical_path_left_ms(o, p->now_us);
	c->left_ms = left_ms;
	span_ms = (double)occurrence_objective_span_ms(o);
	from_ms = o->due_ms > 0 ? o->due_ms : j->submitted_ms;
	c->slack_ms = (double)(from_ms - p->now_ms) + span_ms - left_ms;
	if (job_spec_long_running(j->spec))
		c->class = RANK_LONG_RUNNING;
	else if (occurrence_started(o) && c->slack_ms >= 0)
		c->class = RANK_STARTED;
	else if (c->slack_ms >= rank_margin_ms(left_ms))
		c->class = RANK_ON_TIME;
	else
		c->class = c->slack_ms >= -(LOAD_LATENESS_MAX - 1) * span_ms
		    ? RANK_LATE
		    : RANK_HOPELESS;
}

bool
step_has_waiting_tasks(const struct job_step *s)
{
	return s->open_dependency_count == 0 &&
	    s->done_count + s->placed_count < s->spec->task_count;
}

static bool
occurrence_has_waiting_tasks(const struct occurrence *o)
{
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		if (step_has_waiting_tasks(&o->steps[i]))
			return true;
	}
	return false;
}

static void
start_due_occurrences(struct pool *p, struct job *j)
{
	int64_t due_ms;

	for (;;) {
		due_ms = job_next_due_ms(j);
		if (due_ms > p->now_ms || job_start_occurrence(j) == NULL)
			break;
		j->progress_stale |= j->spec->repetitions > 0;
		pool_mark_job_changed(p, j);
	}
	if (due_ms < p->next_occurrence_ms)
		p->next_occurrence_ms = due_ms;
}

struct candidate *
pool_gather_candidates(struct pool *p, size_t *count)
{
	struct candidate *list;
	struct occurrence *o;
	struct job *j;
	size_t capacity = 0, n = 0;
	bool reconciled = pool_reconciled(p);

	p->next_occurrence_ms = INT64_MAX;
	TAILQ_FOREACH(j, &p->active, entries) {
		start_due_occurrences(p, j);
		LIST_FOREACH(o, &j->occurrences, entries)
			capacity++;
	}
	/* selection_order() may double the list */
	list = calloc(2 * capacity + 1, sizeof(*list));
	if (list == NULL)
		return NULL;
	TAILQ_FOREACH(j, &p->active, entries) {
		/* a job must be stored and, if inherited, reconciled */
		if (job_final(j) || j->spec_serial > p->stored_serial ||
		    (j->inherited && !reconciled))
			continue;
		LIST_FOREACH(o, &j->occurrences, entries) {
			if (n < capacity && occurrence_has_waiting_tasks(o))
				pool_rank_occurrence(p, &list[n++], o);
		}
	}
	if (!selection_order(p, list, &n))
		qsort(list, n, sizeof(*list), pool_compare_candidates);
	*count = n;
	return list;
}
