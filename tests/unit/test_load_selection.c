/* Load selection as a pure function: who is served, deferred or refused. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "load_selection.h"

#define CAPACITY 1000 /* thousandths of a core */
#define MOST 400

static struct load_account accounts[8];
static struct load_candidate jobs[MOST];
static size_t order[2 * MOST];
static struct load_problem problem;
static struct load_decision decision;

/* A pool of one core, and accounts of equal weight. */
static void
begin(size_t account_count)
{
	size_t i;

	memset(&problem, 0, sizeof(problem));
	memset(jobs, 0, sizeof(jobs));
	memset(accounts, 0, sizeof(accounts));
	for (i = 0; i < account_count; i++)
		accounts[i].weight = 1;
	problem.accounts = accounts;
	problem.account_count = account_count;
	problem.candidates = jobs;
	problem.capacity.total.in[LOAD_CPU] = CAPACITY;
	problem.capacity.total.in[LOAD_MEMORY] = CAPACITY;
	decision.order = order;
}

/* A job that keeps the core busy for "ms", and can wait for "slack_ms". */
static struct load_candidate *
add(size_t account, double ms, double slack_ms)
{
	struct load_candidate *c = &jobs[problem.candidate_count++];

	cr_assert_leq(problem.candidate_count, MOST);
	c->class = LOAD_ON_TIME;
	c->account = account;
	c->slack_ms = slack_ms;
	c->left_ms = ms;
	c->value = 1;
	c->work.in[LOAD_CPU] = ms * CAPACITY;
	c->demand.in[LOAD_CPU] = CAPACITY;
	return c;
}

static void
select_all(void)
{
	cr_assert_eq(load_select(&problem, &decision), 0);
}

static size_t
served_of(size_t account)
{
	size_t i, n = 0;

	for (i = 0; i < problem.candidate_count; i++)
		n += jobs[i].account == account &&
		    jobs[i].verdict == LOAD_SERVED;
	return n;
}

/* Position in the order. */
static size_t
position(const struct load_candidate *c)
{
	size_t i;

	for (i = 0; i < decision.order_count; i++) {
		if (order[i] == (size_t)(c - jobs))
			return i;
	}
	cr_assert_fail("a candidate was lost");
	return SIZE_MAX;
}

/* Deferring what fits would make callers wait for nothing. */
Test(load_selection, what_fits_is_served_by_latest_start)
{
	struct load_candidate *late, *soon;

	begin(2);
	late = add(0, 100, 2000);
	soon = add(1, 100, 300);
	select_all();
	cr_expect_eq(decision.deferred, 0);
	cr_expect_lt(position(soon), position(late));
}

/* A large job made several small ones of the same value late. */
Test(load_selection, the_larger_job_is_deferred_first)
{
	struct load_candidate *large, *small[4];
	size_t i;

	begin(2);
	large = add(0, 900, 500);
	for (i = 0; i < 4; i++)
		small[i] = add(i % 2, 200, 500);
	select_all();
	cr_expect_eq(large->verdict, LOAD_DEFERRED);
	for (i = 0; i < 3; i++)
		cr_expect_eq(small[i]->verdict, LOAD_SERVED);
}

/* The same job with more value is not the one to defer. */
Test(load_selection, work_counts_relative_to_value)
{
	struct load_candidate *rich, *poor;

	begin(1);
	rich = add(0, 400, 300);
	rich->value = 4;
	poor = add(0, 350, 300);
	select_all();
	cr_expect_eq(rich->verdict, LOAD_SERVED);
	cr_expect_eq(poor->verdict, LOAD_DEFERRED);
}

Test(load_selection, queue_priority_counts_before_work)
{
	struct load_candidate *first, *second;

	begin(1);
	second = add(0, 350, 300);
	second->priority = 1;
	first = add(0, 600, 300);
	select_all();
	cr_expect_eq(first->verdict, LOAD_SERVED);
	cr_expect_eq(second->verdict, LOAD_DEFERRED);
}

/* Among accounts within their share, priority 0 comes first. */
Test(load_selection, account_priority_counts_before_queue_priority)
{
	struct load_candidate *first, *second;

	begin(2);
	accounts[1].priority = 1;
	second = add(1, 350, 300);
	first = add(0, 600, 300);
	first->priority = 1;
	select_all();
	cr_expect_eq(first->verdict, LOAD_SERVED);
	cr_expect_eq(second->verdict, LOAD_DEFERRED);
}

/* An account with six times its usual load took the capacity of others. */
Test(load_selection, excess_load_of_an_account_is_deferred_first)
{
	size_t i, k;

	begin(3);
	for (i = 0; i < 60; i++) {
		add(0, 20, 900 + (double)i);
		for (k = 1; k < 3 && i < 10; k++)
			add(k, 25, 900 + 2 * (double)i);
	}
	select_all();
	cr_expect_eq(served_of(1), 10);
	cr_expect_eq(served_of(2), 10);
	cr_expect_geq(served_of(0), 16); /* a third of 0.96 s, at least */
	cr_expect_lt(served_of(0), 60);
}

/* Shares go by weight. */
Test(load_selection, overload_is_shared_by_weight)
{
	size_t i;

	begin(2);
	accounts[0].weight = 3;
	for (i = 0; i < 100; i++) {
		add(0, 20, 980);
		add(1, 20, 980);
	}
	select_all();
	cr_expect_eq(served_of(0) + served_of(1), 50);
	cr_expect_geq(served_of(0), 36);
	cr_expect_leq(served_of(0), 39);
}

/* Long-running tasks and gangs count with what they hold. */
Test(load_selection, what_an_account_holds_counts)
{
	size_t i;

	begin(2);
	accounts[0].held.in[LOAD_CPU] = 450;
	problem.capacity.held.in[LOAD_CPU] = 450;
	for (i = 0; i < 20; i++) {
		add(0, 20, 400);
		add(1, 20, 400);
	}
	select_all();
	cr_expect_geq(served_of(1), 9);
	cr_expect_leq(served_of(0), 3);
	begin(2);
	accounts[0].running.in[LOAD_CPU] = 400 * 400;
	problem.capacity.used.in[LOAD_CPU] = 800;
	for (i = 0; i < 20; i++) {
		add(0, 20, 400);
		add(1, 20, 400);
	}
	select_all();
	cr_expect_gt(served_of(1), served_of(0));
}

/* Where accelerators are short, jobs without them were deferred. */
Test(load_selection, a_shortage_of_accelerators_concerns_those_who_use_them)
{
	size_t i, accelerated = 0;
	struct load_candidate *c;

	begin(2);
	problem.capacity.total.in[LOAD_ACCELERATORS] = 1;
	for (i = 0; i < 10; i++) {
		add(0, 20, 500);
		c = add(1, 100, 500);
		c->work.in[LOAD_CPU] = 10;
		c->work.in[LOAD_ACCELERATORS] = 100;
	}
	select_all();
	cr_expect_eq(served_of(0), 10);
	accelerated = served_of(1);
	cr_expect_geq(accelerated, 5);
	cr_expect_leq(accelerated, 6);
}

/* The first jobs of a surge come before the workers that will serve it. */
Test(load_selection, incoming_workers_count_from_their_arrival)
{
	size_t i;

	begin(1);
	for (i = 0; i < 20; i++)
		add(0, 100, 1000);
	select_all();
	cr_expect_leq(served_of(0), 11);
	problem.capacity.incoming.in[LOAD_CPU] = 4 * CAPACITY;
	problem.capacity.incoming_within_ms = 500;
	select_all();
	cr_expect_eq(served_of(0), 20);
}

/* Free capacity is there at once, whatever runs beside it. */
Test(load_selection, running_work_does_not_delay_free_capacity)
{
	struct load_candidate *c;

	begin(2);
	accounts[1].running.in[LOAD_CPU] = 500 * 2000;
	problem.capacity.used.in[LOAD_CPU] = 500;
	c = add(0, 200, 50);
	c->work.in[LOAD_CPU] = 100 * 200;
	select_all();
	cr_expect_eq(c->verdict, LOAD_SERVED);
}

/* No job waits for ever, and overdue jobs do not take the pool. */
Test(load_selection, overdue_jobs_go_first_within_their_share)
{
	struct load_candidate *on_time, *overdue[5];
	size_t i;

	begin(2);
	on_time = add(0, 100, 500);
	for (i = 0; i < 5; i++) {
		overdue[i] = add(1, 100, -20000 + 100 * (double)i);
		overdue[i]->class = LOAD_OVERDUE;
		overdue[i]->demand.in[LOAD_CPU] = 50;
		overdue[i]->unit.in[LOAD_CPU] = 50;
	}
	select_all();
	cr_expect_eq(decision.in_turn, 2);
	cr_expect_eq(overdue[1]->verdict, LOAD_IN_TURN);
	cr_expect_eq(overdue[2]->verdict, LOAD_DEFERRED);
	cr_expect_lt(position(overdue[0]), position(overdue[1]));
	cr_expect_lt(position(overdue[1]), position(on_time));
	cr_expect_eq(order[decision.order_count - 1], 5);
	problem.overdue_usage.in[LOAD_CPU] = 100;
	select_all();
	cr_expect_eq(decision.in_turn, 0);
}

/* Deferred jobs take turns by their accounts' shares. */
Test(load_selection, deferred_jobs_are_ordered_by_share)
{
	struct load_candidate *last = NULL, *other;
	size_t i;

	begin(2);
	for (i = 0; i < 10; i++) {
		last = add(0, 100, -50);
		last->class = LOAD_LATE;
	}
	other = add(1, 100, -400);
	other->class = LOAD_LATE;
	select_all();
	cr_expect_leq(position(other), 1);
	cr_expect_eq(position(last), 10);
}

static struct load_submission
submission(size_t account, double ms, double objective_ms)
{
	struct load_submission s = {.objective_ms = objective_ms};

	s.job.class = LOAD_ON_TIME;
	s.job.account = account;
	s.job.left_ms = ms;
	s.job.slack_ms = objective_ms - ms;
	s.job.value = 1;
	s.job.work.in[LOAD_CPU] = ms * CAPACITY;
	s.new_account.weight = 1;
	return s;
}

/* The whole backlog counted, also what would be served after the job. */
Test(load_selection, only_the_work_before_a_job_counts_against_it)
{
	struct load_submission small = submission(1, 50, 600);
	struct load_submission hot = submission(0, 50, 600);
	struct load_submission unknown = submission(2, 50, 600);
	struct load_admission a;
	size_t i;

	begin(2);
	for (i = 0; i < 100; i++)
		add(0, 50, 550);
	select_all();
	load_admit(&problem, &decision, &small, &a);
	cr_expect_neq(a.verdict, LOAD_REFUSED);
	load_admit(&problem, &decision, &unknown, &a);
	cr_expect_neq(a.verdict, LOAD_REFUSED);
	load_admit(&problem, &decision, &hot, &a);
	cr_expect_eq(a.verdict, LOAD_REFUSED);
	cr_expect(a.beyond_share);
}

/* An account's cap is what it waits for, though the pool has capacity. */
Test(load_selection, work_of_an_account_waits_for_its_cap)
{
	struct load_submission s = submission(0, 50, 600);
	struct load_admission a;
	size_t i;

	begin(2);
	for (i = 0; i < 12; i++)
		add(0, 50, 1500);
	select_all();
	load_admit(&problem, &decision, &s, &a);
	cr_expect_neq(a.verdict, LOAD_REFUSED);
	accounts[0].cap.in[LOAD_CPU] = CAPACITY / 5;
	select_all();
	load_admit(&problem, &decision, &s, &a);
	cr_expect_eq(a.verdict, LOAD_REFUSED);
	cr_expect_float_eq(a.wait_ms, 12 * 50 * 5, 1);
}

/* A retry at the time that was named was refused again. */
Test(load_selection, a_retry_succeeds_at_the_time_named_if_the_load_ends)
{
	struct load_submission s = submission(0, 50, 600);
	struct load_admission a;
	size_t i, left;
	double retry_ms;

	begin(1);
	for (i = 0; i < 200; i++)
		add(0, 50, 550);
	select_all();
	load_admit(&problem, &decision, &s, &a);
	cr_assert_eq(a.verdict, LOAD_REFUSED);
	retry_ms = a.retry_ms;
	left = 200 - (size_t)(retry_ms / 50);
	begin(1);
	for (i = 0; i < left; i++)
		add(0, 50, 550 - retry_ms)->class = LOAD_LATE;
	select_all();
	load_admit(&problem, &decision, &s, &a);
	cr_expect_neq(a.verdict, LOAD_REFUSED);
}

/* Every candidate is in the order once, whatever the load is. */
Test(load_selection, nothing_is_lost_and_what_is_served_fits)
{
	uint64_t random = 20261204;
	size_t i, round, seen[MOST];
	double work;

	for (round = 0; round < 200; round++) {
		begin(5);
		for (i = 0; i < 50 + round; i++) {
			random = random * 6364136223846793005ULL + 1;
			add((random >> 40) % 5,
			    10 + (double)((random >> 45) % 90),
			    (double)((random >> 33) % 1500))
			    ->priority = (int)((random >> 60) % 3);
			jobs[i].class = (enum load_class)((random >> 20) % 5);
		}
		select_all();
		memset(seen, 0, sizeof(seen));
		for (i = 0; i < decision.order_count; i++)
			seen[order[i]]++;
		for (i = 0, work = 0; i < problem.candidate_count; i++) {
			cr_expect_eq(
			    seen[i], jobs[i].verdict == LOAD_IN_TURN ? 2 : 1);
			if (jobs[i].class == LOAD_ON_TIME &&
			    jobs[i].verdict == LOAD_SERVED)
				work += jobs[i].work.in[LOAD_CPU];
		}
		cr_expect_leq(work, CAPACITY * (1500 + 100));
	}
}
