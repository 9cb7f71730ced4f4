/*
 * Moore-Hodgson's algorithm over a fluid model of the pool's capacity: in the
 * order of their latest start times, candidates are taken; where one would be
 * late, that candidate is deferred whose delay costs least.  The cost is,
 * first, what an account asks for beyond its weighted share of the capacity
 * (dominant resource fairness), then account priority, queue priority, and work
 * for value.
 */
#include "load_selection.h"

#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "index_heap.h"
#include "load_fluid.h"

/*
 * Candidates of one account that use accelerators, or that use none.  Where
 * only accelerators are short, deferring one of the latter would not help.
 */
enum load_kind {
	KIND_PLAIN,
	KIND_ACCELERATED,
	KINDS
};

struct group {
	struct index_heap candidates; /* cheapest to defer first */
};

struct selection {
	struct load_problem *problem;
	struct load_vector *rates; /* each account's share of the capacity */
	struct load_vector *work; /* running and selected, of each account */
	struct load_vector prefix; /* selected, of all accounts */
	struct group *groups; /* KINDS for each account */
	/* Groups that are not empty, by excess and by cost. */
	struct index_heap by_excess[KINDS], by_cost[KINDS];
	double *excess; /* of each group, see group_excess() */
};

/* Adds, moves or removes a group after it has changed. */
static void
heap_update(const struct selection *s, struct index_heap *h, size_t group,
    index_before_fn before)
{
	bool empty = s->groups[group].candidates.count == 0;
	size_t at = h->positions[group];

	if (at == 0 && !empty)
		index_heap_push(s, h, group, before);
	else if (at != 0 && empty)
		index_heap_remove(s, h, at - 1, before);
	else if (at != 0 && index_heap_up(s, h, at - 1, before) == at - 1)
		index_heap_down(s, h, at - 1, before);
}

/* --- what is cheapest to defer --- */

static bool
cheaper_candidate(const void *arg, size_t a, size_t b)
{
	const struct selection *s = arg;
	const struct load_candidate *x = &s->problem->candidates[a];
	const struct load_candidate *y = &s->problem->candidates[b];

	if (x->priority != y->priority)
		return x->priority > y->priority;
	if (x->cost != y->cost)
		return x->cost > y->cost;
	return a > b;
}

static size_t
group_account(size_t group)
{
	return group / KINDS;
}

static size_t
candidate_group(const struct load_candidate *c)
{
	return c->account * KINDS +
	    (c->work.in[LOAD_ACCELERATORS] > 0 ? KIND_ACCELERATED : KIND_PLAIN);
}

static bool
cheaper_group(const void *arg, size_t a, size_t b)
{
	const struct selection *s = arg;
	const struct load_account *accounts = s->problem->accounts;
	int x = accounts[group_account(a)].priority;
	int y = accounts[group_account(b)].priority;

	if (x != y)
		return x > y;
	return cheaper_candidate(s, s->groups[a].candidates.items[0],
	    s->groups[b].candidates.items[0]);
}

/*
 * Time in which the account's share does its work without the candidate that
 * would be deferred.  Only what is beyond the share as a whole counts as
 * beyond it, so that an account with a single job is not.
 */
static double
group_excess(const struct selection *s, size_t group)
{
	size_t account = group_account(group);
	struct load_vector work = s->work[account];

	if (s->groups[group].candidates.count == 0)
		return 0;
	vector_add(&work,
	    &s->problem->candidates[s->groups[group].candidates.items[0]].work,
	    -1);
	return load_share_ms(&work, &s->rates[account]);
}

static bool
further_beyond(const void *arg, size_t a, size_t b)
{
	const struct selection *s = arg;
	if (s->excess[a] != s->excess[b])
		return s->excess[a] > s->excess[b];
	return cheaper_group(s, a, b);
}

/* The work of the account has changed, and the candidates of the group. */
static void
update_groups(struct selection *s, size_t changed)
{
	size_t first = group_account(changed) * KINDS, k;

	for (k = 0; k < KINDS; k++) {
		s->excess[first + k] = group_excess(s, first + k);
		heap_update(s, &s->by_excess[k], first + k, further_beyond);
	}
	heap_update(s, &s->by_cost[changed % KINDS], changed, cheaper_group);
}

static void
take(struct selection *s, size_t candidate)
{
	struct load_candidate *c = &s->problem->candidates[candidate];
	size_t group = candidate_group(c);

	c->verdict = LOAD_SERVED;
	vector_add(&s->prefix, &c->work, 1);
	vector_add(&s->work[c->account], &c->work, 1);
	index_heap_push(
	    s, &s->groups[group].candidates, candidate, cheaper_candidate);
	update_groups(s, group);
}

/* Defers the first candidate of the group, and returns it. */
static size_t
defer_first(struct selection *s, size_t group)
{
	size_t candidate = s->groups[group].candidates.items[0];
	struct load_candidate *c = &s->problem->candidates[candidate];

	c->verdict = LOAD_DEFERRED;
	index_heap_remove(
	    s, &s->groups[group].candidates, 0, cheaper_candidate);
	vector_add(&s->prefix, &c->work, -1);
	vector_add(&s->work[c->account], &c->work, -1);
	update_groups(s, group);
	return candidate;
}

/* First group of the heaps; with "accelerated", only of those that use them. */
static size_t
first_group(const struct selection *s, const struct index_heap *heaps,
    bool accelerated, index_before_fn before)
{
	const struct index_heap *plain = &heaps[KIND_PLAIN];
	const struct index_heap *other = &heaps[KIND_ACCELERATED];

	if (plain->count == 0 || accelerated)
		return other->count > 0 ? other->items[0] : SIZE_MAX;
	if (other->count == 0 || before(s, plain->items[0], other->items[0]))
		return plain->items[0];
	return other->items[0];
}

/* Takes a candidate, and defers the cheapest ones until it is on time. */
static void
select_one(
    struct selection *s, size_t candidate, const struct load_vector *started)
{
	struct load_problem *p = s->problem;
	const struct load_candidate *c = &p->candidates[candidate];
	struct load_vector before;
	enum shortage lack;
	double ms;
	size_t group;

	if (load_shortage(p, c, started) != SHORT_OF_NONE)
		return; /* late even if all others were deferred */
	take(s, candidate);
	for (;;) {
		before = s->prefix;
		vector_add(&before, &c->work, -1);
		lack = load_shortage(p, c, &before);
		if (lack == SHORT_OF_NONE)
			return;
		group = first_group(s, s->by_excess,
		    lack == SHORT_OF_ACCELERATORS, further_beyond);
		if (group == SIZE_MAX)
			return;
		/* by then, half of what is in progress is done */
		ms = c->slack_ms + c->left_ms / 2;
		if (s->excess[group] <= load_scaled_time(&p->capacity, ms))
			group = first_group(s, s->by_cost,
			    lack == SHORT_OF_ACCELERATORS, cheaper_group);
		if (defer_first(s, group) == candidate)
			return;
	}
}

/* --- orders --- */

static int
compare_doubles(double x, double y)
{
	return (x > y) - (x < y);
}

static int
compare_slack(const void *a, const void *b, void *arg)
{
	const struct load_candidate *list = arg;
	size_t x = *(const size_t *)a, y = *(const size_t *)b;
	int diff = compare_doubles(list[x].slack_ms, list[y].slack_ms);

	if (diff == 0)
		diff = list[x].priority - list[y].priority;
	return diff != 0 ? diff : (x > y) - (x < y);
}

/* Order among the deferred candidates of one account. */
static int
compare_deferred(const void *a, const void *b, void *arg)
{
	const struct selection *s = arg;
	const struct load_candidate *list = s->problem->candidates;
	const struct load_candidate *x = &list[*(const size_t *)a];
	const struct load_candidate *y = &list[*(const size_t *)b];
	bool x_last = x->class >= LOAD_HOPELESS,
	     y_last = y->class >= LOAD_HOPELESS;
	int diff;

	if (x_last != y_last)
		return x_last ? 1 : -1;
	if (x->account != y->account)
		return x->account < y->account ? -1 : 1;
	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	diff = compare_doubles(x->cost, y->cost);
	return diff != 0 ? diff : compare_slack(a, b, s->problem->candidates);
}

/* Next deferred candidate of each account, while they are put in order. */
struct turn {
	size_t *next, *end; /* in the account's part of the list */
};

/* "excess" is indexed by accounts here. */
static bool
lower_share(const void *arg, size_t a, size_t b)
{
	const struct selection *s = arg;
	const struct load_account *accounts = s->problem->accounts;

	if (s->excess[a] != s->excess[b])
		return s->excess[a] < s->excess[b];
	if (accounts[a].priority != accounts[b].priority)
		return accounts[a].priority < accounts[b].priority;
	return a < b;
}

/* Appends a sorted list: next is always the account with the lowest share. */
static void
order_by_share(struct selection *s, struct load_decision *d, size_t *list,
    size_t count, struct turn *turns, size_t *items)
{
	struct load_problem *p = s->problem;
	struct index_heap heap = {.items = items};
	struct load_candidate *c;
	size_t i, account;

	memset(turns, 0, p->account_count * sizeof(*turns));
	for (i = 0; i < count; i++) {
		account = p->candidates[list[i]].account;
		if (turns[account].next == NULL)
			turns[account].next = &list[i];
		turns[account].end = &list[i + 1];
	}
	for (account = 0; account < p->account_count; account++) {
		if (turns[account].next == NULL)
			continue;
		s->excess[account] =
		    load_share_ms(&s->work[account], &s->rates[account]);
		index_heap_push(s, &heap, account, lower_share);
	}
	while (heap.count > 0) {
		account = heap.items[0];
		i = *turns[account].next++;
		c = &p->candidates[i];
		d->order[d->order_count++] = i;
		vector_add(&s->work[account], &c->work, 1);
		c->share_ms = s->excess[account] =
		    load_share_ms(&s->work[account], &s->rates[account]);
		if (turns[account].next == turns[account].end)
			index_heap_remove(s, &heap, 0, lower_share);
		else
			index_heap_down(s, &heap, 0, lower_share);
	}
}

/* Overdue candidates: "share_ms" is their number within their accounts. */
static int
compare_turns(const void *a, const void *b, void *arg)
{
	const struct load_problem *p = arg;
	const struct load_candidate *x = &p->candidates[*(const size_t *)a];
	const struct load_candidate *y = &p->candidates[*(const size_t *)b];
	int diff = compare_doubles(x->share_ms, y->share_ms);

	if (diff == 0)
		diff = compare_doubles(p->accounts[x->account].last_turn,
		    p->accounts[y->account].last_turn);
	return diff != 0 ? diff : compare_slack(a, b, p->candidates);
}

/*
 * Overdue candidates within their share: the longest overdue one of each
 * account, in turn.  None goes ahead of one that does not fit, so that a large
 * job gets its turn.
 */
static void
select_in_turn(struct load_problem *p, struct load_decision *d, size_t *list,
    size_t count, size_t *numbers)
{
	struct load_vector used = p->overdue_usage;
	struct load_candidate *c;
	size_t i;

	qsort_r(list, count, sizeof(*list), compare_slack, p->candidates);
	memset(numbers, 0, p->account_count * sizeof(*numbers));
	for (i = 0; i < count; i++) {
		c = &p->candidates[list[i]];
		c->share_ms = (double)numbers[c->account]++;
	}
	qsort_r(list, count, sizeof(*list), compare_turns, p);
	for (i = 0; i < count; i++) {
		c = &p->candidates[list[i]];
		if (load_turn_denied(&p->capacity, &used, &c->unit))
			return;
		c->verdict = LOAD_IN_TURN;
		vector_add(&used, &c->demand, 1);
		d->order[d->order_count++] = list[i];
		d->in_turn++;
	}
}

static void
decide(struct selection *s, struct load_decision *d, size_t *list,
    struct turn *turns, size_t *heap)
{
	struct load_problem *p = s->problem;
	struct load_capacity *cap = &p->capacity;
	struct load_candidate *c;
	struct load_vector started;
	size_t i, n, hopeless;
	int k;

	for (i = 0, n = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		vector_add(&d->waiting, &c->work, 1);
		if (c->class != LOAD_STARTED)
			continue;
		c->verdict = LOAD_SERVED;
		vector_add(&s->work[c->account], &c->work, 1);
		vector_add(&s->prefix, &c->work, 1);
		list[n++] = i;
	}
	qsort_r(list, n, sizeof(*list), compare_slack, p->candidates);
	for (i = 0; i < n; i++)
		d->order[d->order_count++] = list[i];
	d->served = n;
	started = s->prefix;
	d->started = started;
	for (i = 0, n = 0; i < p->candidate_count; i++) {
		if (p->candidates[i].class == LOAD_OVERDUE)
			list[n++] = i;
	}
	select_in_turn(p, d, list, n, heap);
	/* what overdue jobs take is not there for others */
	for (k = 0; d->in_turn > 0 && k < LOAD_DIMENSIONS; k++)
		cap->held.in[k] += LOAD_OVERDUE_SHARE *
		    fmax(cap->total.in[k] - cap->held.in[k], 0);
	for (i = 0, n = 0; i < p->candidate_count; i++) {
		if (p->candidates[i].class == LOAD_ON_TIME)
			list[n++] = i;
	}
	qsort_r(list, n, sizeof(*list), compare_slack, p->candidates);
	for (i = 0; i < n; i++)
		select_one(s, list[i], &started);
	for (i = 0; i < n; i++) {
		c = &p->candidates[list[i]];
		if (c->verdict == LOAD_SERVED) {
			d->order[d->order_count++] = list[i];
			d->served++;
		} else
			d->deferred_on_time++;
	}
	for (i = 0, n = 0, hopeless = 0; i < p->candidate_count; i++) {
		c = &p->candidates[i];
		if (c->verdict == LOAD_SERVED)
			continue;
		d->deferred += c->verdict == LOAD_DEFERRED;
		d->deferred_late += c->class == LOAD_LATE;
		hopeless += c->class >= LOAD_HOPELESS;
		list[n++] = i;
	}
	qsort_r(list, n, sizeof(*list), compare_deferred, s);
	order_by_share(s, d, list, n - hopeless, turns, heap);
	order_by_share(s, d, list + n - hopeless, hopeless, turns, heap);
}

/* Cuts the next array of "count" items from a block of memory. */
static void *
cut(char **block, size_t count, size_t size)
{
	void *array = *block;

	*block += (count * size + 15) / 16 * 16;
	return array;
}

int
load_select(struct load_problem *p, struct load_decision *d)
{
	size_t n = p->candidate_count, accounts = p->account_count;
	size_t groups = accounts * KINDS, i, k, *offsets, *list, *heap;
	struct selection s = {.problem = p};
	struct load_vector held = p->capacity.held;
	struct turn *turns;
	double weights = load_weight_sum(p);
	char *block, *next;

	next = block = calloc(1,
	    (n + 1) * 2 * sizeof(size_t) +
		(accounts + 1) *
		    (2 * sizeof(struct load_vector) + sizeof(struct turn) +
			sizeof(size_t)) +
		(groups + 1) *
		    (sizeof(struct group) + sizeof(double) +
			9 * sizeof(size_t)) +
		32 * 16);
	if (block == NULL)
		return -1;
	s.rates = cut(&next, accounts, sizeof(struct load_vector));
	s.work = cut(&next, accounts, sizeof(struct load_vector));
	s.groups = cut(&next, groups, sizeof(struct group));
	s.excess = cut(&next, groups, sizeof(double));
	turns = cut(&next, accounts, sizeof(struct turn));
	heap = cut(&next, accounts, sizeof(size_t));
	list = cut(&next, n, sizeof(size_t));
	for (k = 0; k < KINDS; k++) {
		s.by_excess[k].items = cut(&next, groups, sizeof(size_t));
		s.by_excess[k].positions = cut(&next, groups, sizeof(size_t));
		s.by_cost[k].items = cut(&next, groups, sizeof(size_t));
		s.by_cost[k].positions = cut(&next, groups, sizeof(size_t));
	}
	offsets = cut(&next, n, sizeof(size_t));

	d->order_count = d->served = d->in_turn = 0;
	d->deferred = d->deferred_on_time = d->deferred_late = 0;
	memset(&d->waiting, 0, sizeof(d->waiting));
	memset(&p->capacity.running, 0, sizeof(p->capacity.running));
	for (i = 0; i < accounts; i++) {
		load_account_rates(
		    &p->capacity, &p->accounts[i], weights, &s.rates[i]);
		s.work[i] = p->accounts[i].running;
		vector_add(&p->capacity.running, &s.work[i], 1);
	}
	for (i = 0; i < n; i++) {
		p->candidates[i].verdict = LOAD_DEFERRED;
		p->candidates[i].share_ms = 0;
		p->candidates[i].cost = load_work_density(p, &p->candidates[i]);
		s.groups[candidate_group(&p->candidates[i])].candidates.count++;
	}
	for (i = 0; i < groups; i++) {
		s.groups[i].candidates.items = offsets;
		offsets += s.groups[i].candidates.count;
		s.groups[i].candidates.count = 0;
	}
	decide(&s, d, list, turns, heap);
	p->capacity.held = held;
	free(block);
	return 0;
}
