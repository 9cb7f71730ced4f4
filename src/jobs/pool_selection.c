#include "pool_selection.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A pool is under pressure until nothing was deferred for so long. */
#define PRESSURE_END_MS 500
#define DEFERRED_LOG_INTERVAL_MS 1000
/* Jobs after which a job's weight in its queue's mean work is least. */
#define MEAN_JOBS_MAX 200
/* Value of a job: a constant, and a part for its work; bounded. */
#define VALUE_BASE 0.3
#define VALUE_MAX 4.0

struct pool_selection *
selection_new(void)
{
	struct pool_selection *sel = calloc(1, sizeof(*sel));

	if (sel != NULL)
		sel->no_account.settings.weight = 1;
	return sel;
}

void
selection_free(struct pool_selection *sel)
{
	struct queue_mean *m, *next;

	if (sel == NULL)
		return;
	HASH_ITER(hh, sel->queue_means, m, next)
	{
		HASH_DEL(sel->queue_means, m);
		free(m);
	}
	free(sel->problem.candidates);
	free(sel->problem.accounts);
	free(sel->decision.order);
	free(sel);
}

bool
selection_active(const struct pool *p)
{
	return p->opts.select_by_cost || p->configured_accounts > 0;
}

/* --- value --- */

void
selection_note_job(struct pool *p, struct job *j)
{
	const struct run_time_model *model =
	    run_time_find(p->run_times, j->queue.name);
	const struct step_spec *s;
	struct queue_mean *m;
	double work = 0;
	size_t i;

	for (i = 0; i < j->spec->step_count; i++) {
		s = &j->spec->steps[i];
		work += (double)s->task_count * (double)s->cpu_milli *
		    run_time_expected_ms(model, s->estimate_ms);
	}
	j->value = 1;
	HASH_FIND_STR(p->selection->queue_means, j->queue.name, m);
	if (m == NULL) {
		m = calloc(1, sizeof(*m));
		if (m == NULL)
			return; /* the job counts as a mean one */
		snprintf(m->queue, sizeof(m->queue), "%s", j->queue.name);
		HASH_ADD_STR(p->selection->queue_means, queue, m);
	}
	if (m->jobs < MEAN_JOBS_MAX)
		m->jobs++;
	m->work += (work - m->work) / m->jobs;
	if (m->work > 0)
		j->value = fmin(
		    VALUE_BASE + (1 - VALUE_BASE) * work / m->work, VALUE_MAX);
}

/* --- a scheduling pass --- */

void
selection_add_step(
    struct load_vector *v, const struct step_spec *s, double count)
{
	v->in[LOAD_CPU] += count * (double)step_spec_reserved_cpu_milli(s);
	v->in[LOAD_MEMORY] += count * (double)s->memory_mb;
	v->in[LOAD_ACCELERATORS] += count * (double)s->accelerators;
}

static int
grow(void **array, size_t *room, size_t count, size_t size)
{
	size_t wanted = *room > 0 ? *room : 64;
	void *larger;

	if (count <= *room)
		return 0;
	while (wanted < count)
		wanted *= 2;
	larger = realloc(*array, wanted * size);
	if (larger == NULL)
		return -1;
	*array = larger;
	*room = wanted;
	return 0;
}

int
selection_reserve(struct pool *p, size_t candidates)
{
	struct pool_selection *sel = p->selection;
	size_t order_room = sel->candidates_max * 2;

	if (grow((void **)&sel->decision.order, &order_room, candidates * 2,
		sizeof(*sel->decision.order)) == -1 ||
	    grow((void **)&sel->problem.candidates, &sel->candidates_max,
		candidates, sizeof(*sel->problem.candidates)) == -1)
		return -1;
	return grow((void **)&sel->problem.accounts, &sel->accounts_max,
	    HASH_COUNT(p->accounts) + 1, sizeof(*sel->problem.accounts));
}

size_t
selection_account_index(const struct pool *p, struct pool_account *a)
{
	struct pool_selection *sel = p->selection;
	struct load_problem *problem = &sel->problem;

	if (a == NULL)
		a = &sel->no_account;
	if (a->load_pass == sel->pass)
		return a->load_index;
	a->load_pass = sel->pass;
	a->load_index = problem->account_count++;
	problem->accounts[a->load_index] = (struct load_account){
	    .weight = a->settings.weight,
	    .priority = a->settings.priority,
	    .last_turn = (double)a->last_turn_us,
	    /* of all pools: an upper bound of what it has in this one */
	    .cap = {{(double)a->settings.cap.cpu_milli,
		(double)a->settings.cap.memory_mb,
		(double)a->settings.cap.accelerators}},
	};
	return a->load_index;
}

static void
add_running(struct pool *p, const struct occurrence *o)
{
	struct load_problem *problem = &p->selection->problem;
	const struct job_step *s;
	struct load_account *a = NULL;
	double left_ms;
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		if (s->placed_count == 0)
			continue;
		if (a == NULL)
			a = &problem->accounts[selection_account_index(
			    p, o->job->account)];
		if (o->in_turn)
			selection_add_step(
			    &problem->overdue_usage, s->spec, s->placed_count);
		if (s->spec->long_running) {
			selection_add_step(&a->held, s->spec, s->placed_count);
			selection_add_step(
			    &problem->capacity.held, s->spec, s->placed_count);
			continue;
		}
		selection_add_step(
		    &problem->capacity.used, s->spec, s->placed_count);
		/* its tasks have run for half of their time in the mean */
		left_ms = s->expected_ms > 0 ? s->expected_ms / 2
					     : (double)s->spec->estimate_ms / 2;
		selection_add_step(
		    &a->running, s->spec, s->placed_count * left_ms);
	}
}

static void
add_incoming(const struct pool *p, struct load_capacity *c)
{
	double n = (double)p->incoming_workers;

	if (!pool_incoming_known(p))
		return;
	c->incoming.in[LOAD_CPU] = n * p->typical_cpu_milli;
	c->incoming.in[LOAD_MEMORY] = n * p->typical_memory_mb;
	c->incoming.in[LOAD_ACCELERATORS] = n * p->typical_accelerators;
	c->incoming_within_ms = p->incoming_within_ms;
}

/* Fills in the capacity; "free" gets what no task occupies. */
static void
add_capacity(
    const struct pool *p, struct load_capacity *c, struct load_vector *free_now)
{
	const struct pool_worker *w;

	memset(c, 0, sizeof(*c));
	memset(free_now, 0, sizeof(*free_now));
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!worker_usable(p, w))
			continue;
		c->total.in[LOAD_CPU] += (double)w->report.cpu_milli;
		c->total.in[LOAD_MEMORY] += (double)w->report.memory_mb;
		c->total.in[LOAD_ACCELERATORS] +=
		    (double)w->report.accelerators;
		free_now->in[LOAD_CPU] +=
		    (double)(w->report.cpu_milli - w->cpu_milli);
		free_now->in[LOAD_MEMORY] +=
		    (double)(w->report.memory_mb - w->memory_mb);
		free_now->in[LOAD_ACCELERATORS] +=
		    (double)(w->report.accelerators - w->accelerators);
	}
	add_incoming(p, c);
}

static enum load_class
load_class_of(const struct candidate *c)
{
	if (c->slack_ms + c->left_ms <= -LOAD_OVERDUE_MS)
		return LOAD_OVERDUE;
	switch (c->class) {
	case RANK_LONG_RUNNING:
	case RANK_STARTED:
		return LOAD_STARTED;
	case RANK_ON_TIME:
		return LOAD_ON_TIME;
	case RANK_LATE:
		return LOAD_LATE;
	case RANK_HOPELESS:
		break;
	}
	return LOAD_HOPELESS;
}

/* The tasks of the candidate that could start now. */
static void
add_demand(const struct candidate *c, struct load_vector *demand)
{
	const struct occurrence *o = c->occurrence;
	const struct job_step *s;
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		if (step_has_waiting_tasks(s))
			selection_add_step(demand, s->spec,
			    s->spec->task_count - s->done_count -
				s->placed_count);
	}
}

static void
fill_candidate(struct pool *p, struct load_candidate *to, struct candidate *c)
{
	const struct occurrence *o = c->occurrence;
	const struct job_step *s;
	double count;
	size_t i;

	memset(to, 0, sizeof(*to));
	to->class = load_class_of(c);
	to->account = selection_account_index(p, o->job->account);
	to->priority = c->priority;
	/* as for RANK_ON_TIME, so that those served stay in it for a while */
	to->slack_ms = c->slack_ms - rank_margin_ms(c->left_ms);
	if (to->slack_ms < 0 && to->class == LOAD_ON_TIME)
		to->slack_ms = 0;
	to->left_ms = c->left_ms + rank_margin_ms(c->left_ms);
	to->value = o->job->value;
	for (s = o->steps; !step_has_waiting_tasks(s);)
		s++;
	selection_add_step(&to->unit, s->spec, step_spec_unit_tasks(s->spec));
	/* else it would use up the turns of other accounts' overdue jobs */
	if (to->class == LOAD_OVERDUE &&
	    !caps_allow_starts(s, step_spec_unit_tasks(s->spec)))
		to->class = LOAD_HOPELESS;
	for (i = 0; i < o->job->spec->step_count; i++) {
		s = &o->steps[i];
		count = (double)s->spec->task_count - s->done_count -
		    s->placed_count;
		selection_add_step(&to->work, s->spec, count * s->expected_ms);
	}
	add_demand(c, &to->demand);
}

static bool
vector_fits(const struct load_vector *v, const struct load_vector *room)
{
	int i;

	for (i = 0; i < LOAD_DIMENSIONS; i++) {
		if (v->in[i] > room->in[i])
			return false;
	}
	return true;
}

/* All that could start has capacity, and nothing is overdue. */
static bool
everything_fits(const struct candidate *list, size_t count,
    const struct load_vector *free_now)
{
	struct load_vector demand = {{0}};
	size_t i;

	for (i = 0; i < count; i++) {
		if (load_class_of(&list[i]) == LOAD_OVERDUE)
			return false;
		add_demand(&list[i], &demand);
		if (!vector_fits(&demand, free_now))
			return false;
	}
	return true;
}

static void
log_deferred(struct pool *p, const struct candidate *list, size_t first)
{
	struct pool_selection *sel = p->selection;
	const struct load_decision *d = &sel->decision;
	const struct load_candidate *lc;
	const struct job *j;

	if (d->deferred_on_time == 0 ||
	    p->now_us - sel->deferred_logged_us <
		DEFERRED_LOG_INTERVAL_MS * US_PER_MS)
		return;
	sel->deferred_logged_us = p->now_us;
	lc = &sel->problem.candidates[d->order[d->served + d->in_turn]];
	j = list[first + d->order[d->served + d->in_turn]].occurrence->job;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"jobs deferred\" deferred=%zu late=%zu served=%zu next=%s "
	    "account=%s share_ms=%.0f cost=%.1f slack_ms=%.0f value=%.2f",
	    d->deferred_on_time, d->deferred_late, d->served, j->id,
	    job_account_name(j), lc->share_ms, lc->cost, lc->slack_ms,
	    lc->value);
}

/* Logs when the pool comes under pressure, and when that is over. */
static void
note_pressure(struct pool *p)
{
	struct pool_selection *sel = p->selection;
	const struct load_decision *d = &sel->decision;
	const struct load_capacity *c = &sel->problem.capacity;
	bool now = selection_defers(sel);

	if (now)
		sel->deferred_us = p->now_us;
	if (now && d->deferred > sel->deferred_max)
		sel->deferred_max = d->deferred;
	if (now && !sel->pressure) {
		sel->pressure = true;
		sel->pressure_since_us = p->now_us;
		sel->deferred_max = d->deferred;
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"pool is under pressure\" cpu=%.0f memory_mb=%.0f "
		    "accelerators=%.0f incoming_cpu=%.0f drain_ms=%.0f "
		    "accounts=%zu waiting=%zu served=%zu deferred=%zu late=%zu",
		    c->total.in[LOAD_CPU], c->total.in[LOAD_MEMORY],
		    c->total.in[LOAD_ACCELERATORS], c->incoming.in[LOAD_CPU],
		    load_duration_ms(c, &d->waiting),
		    sel->problem.account_count, sel->problem.candidate_count,
		    d->served, d->deferred, d->deferred_late);
	}
	if (!sel->pressure ||
	    p->now_us - sel->deferred_us < PRESSURE_END_MS * US_PER_MS)
		return;
	sel->pressure = false;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"pool is no longer under pressure\" cpu=%.0f waiting=%zu "
	    "took_ms=%lld deferred_max=%zu deferred=%llu refused_rate=%llu "
	    "refused_share=%llu refused_backlog=%llu",
	    c->total.in[LOAD_CPU], sel->problem.candidate_count,
	    (long long)((p->now_us - sel->pressure_since_us) / US_PER_MS),
	    sel->deferred_max, (unsigned long long)p->stats.deferred,
	    (unsigned long long)p->stats.refused_rate,
	    (unsigned long long)p->stats.refused_share,
	    (unsigned long long)p->stats.refused_backlog);
}

/* Moves long-running candidates to the front, and returns their number. */
static size_t
move_long_running(struct candidate *list, size_t count)
{
	struct candidate c;
	size_t i, n = 0;

	for (i = 0; i < count; i++) {
		if (list[i].class != RANK_LONG_RUNNING)
			continue;
		c = list[i];
		list[i] = list[n];
		list[n++] = c;
	}
	return n;
}

/* Fills in the problem; -1: there is nothing to decide on. */
static int
fill_problem(struct pool *p, struct candidate *list, size_t count)
{
	struct pool_selection *sel = p->selection;
	struct load_problem *problem = &sel->problem;
	struct load_vector free_now;
	struct occurrence *o;
	struct job *j;
	size_t i;

	sel->pass++;
	problem->account_count = problem->candidate_count = 0;
	memset(&problem->overdue_usage, 0, sizeof(problem->overdue_usage));
	add_capacity(p, &problem->capacity, &free_now);
	/* a new owner does not know its workers yet */
	if (p->workers_answered_us == 0 ||
	    problem->capacity.total.in[LOAD_CPU] <= 0 ||
	    everything_fits(list, count, &free_now) ||
	    selection_reserve(p, count) == -1)
		return -1;
	TAILQ_FOREACH(j, &p->active, entries) {
		LIST_FOREACH(o, &j->occurrences, entries)
			add_running(p, o);
	}
	for (i = 0; i < count; i++)
		fill_candidate(p, &problem->candidates[i], &list[i]);
	problem->candidate_count = count;
	return 0;
}

bool
selection_order(struct pool *p, struct candidate *list, size_t *count)
{
	struct pool_selection *sel = p->selection;
	struct load_decision *d = &sel->decision;
	struct candidate *copy;
	size_t first, i, n, in_turn;

	sel->decided = false;
	if (!selection_active(p))
		return false;
	first = move_long_running(list, *count);
	n = *count - first;
	copy = NULL;
	if (fill_problem(p, list + first, n) == 0 &&
	    (copy = malloc((n + 1) * sizeof(*copy))) != NULL &&
	    load_select(&sel->problem, d) == 0)
		sel->decided = true;
	note_pressure(p);
	if (!sel->decided) {
		free(copy);
		return false;
	}
	sel->overdue_usage = sel->problem.overdue_usage;
	sel->turn_denied = false;
	log_deferred(p, list, first);
	memcpy(copy, list + first, n * sizeof(*copy));
	in_turn = d->in_turn;
	for (i = 0; i < d->order_count; i++) {
		list[first + i] = copy[d->order[i]];
		if (sel->problem.candidates[d->order[i]].verdict ==
			LOAD_IN_TURN &&
		    in_turn > 0) {
			list[first + i].in_turn = true;
			list[first + i].occurrence->in_turn = true;
			in_turn--;
		}
		if (sel->problem.candidates[d->order[i]].verdict ==
			LOAD_DEFERRED &&
		    !list[first + i].occurrence->deferred) {
			list[first + i].occurrence->deferred = true;
			p->stats.deferred++;
		}
	}
	free(copy);
	qsort(list, first, sizeof(*list), pool_compare_candidates);
	*count = first + d->order_count;
	return true;
}

bool
selection_allows_start(struct pool *p, const struct job_step *s, unsigned count)
{
	struct pool_selection *sel = p->selection;
	struct load_vector unit = {{0}};

	if (!p->placing_in_turn)
		return true;
	selection_add_step(&unit, s->spec, count);
	if (load_turn_denied(
		&sel->problem.capacity, &sel->overdue_usage, &unit)) {
		sel->turn_denied = true;
		return false;
	}
	selection_add_step(&sel->overdue_usage, s->spec, count);
	return true;
}
