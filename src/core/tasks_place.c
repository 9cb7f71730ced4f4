/* Placement: chooses a VM for each waiting task. */
#include "tasks_place.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define PASS_WAITING_MAX 4096 /* waiting tasks considered in one pass */

static struct placement_attempt *
get_attempt(struct placement *p, const struct task *t)
{
	struct tasks *tasks = p->pass->local_state;
	struct placement_attempt *attempt;

	HASH_FIND(hh, tasks->attempts, &t->id, sizeof(t->id), attempt);
	if (attempt == NULL) {
		attempt = calloc(1, sizeof(*attempt));
		if (attempt == NULL)
			err(1, "cannot allocate a placement attempt");
		attempt->id = t->id;
		HASH_ADD(hh, tasks->attempts, id, sizeof(attempt->id), attempt);
		attempt->epoch = t->epoch;
		attempt->waiting_since_us = p->pass->daemon_view->now_us;
	}
	if (attempt->epoch != t->epoch) {
		attempt->epoch = t->epoch;
		attempt->waiting_since_us = p->pass->daemon_view->now_us;
		attempt->capacity_preempt_until_us =
		    attempt->quota_preempt_until_us = 0;
		attempt->proposal_generation = 0;
	}
	return attempt;
}

/*
 * Counts the capacity and quota of tasks whose end this pass has proposed as
 * free.  The fold applies entries in order, so the ends come first there too.
 */
static void
release_ended_tasks(struct placement *p)
{
	const struct tasks_pass *pass = p->pass;
	const struct text_member *m;
	struct task_size charge;
	struct vm_capacity *capacity;
	size_t i;

	for (i = 0; i < pass->ending_count; i++) {
		charge.cores_milli = -pass->endings[i].charge.cores_milli;
		charge.memory_mb = -pass->endings[i].charge.memory_mb;
		charge.accelerators = -pass->endings[i].charge.accelerators;
		capacity = capacity_find(p, pass->endings[i].task->vm);
		if (capacity != NULL)
			capacity_take(capacity, &charge);
		m = text_member(
		    pass->fold_view.text, pass->endings[i].task->member);
		if (m != NULL)
			task_size_add(&p->planned_by_member[m -
					  pass->fold_view.text->members],
			    &charge);
	}
}

/* Urgent tasks first, then in the order of submission. */
static int
compare_waiting(const void *a, const void *b)
{
	const struct task *x = *(const struct task *const *)a;
	const struct task *y = *(const struct task *const *)b;

	if (x->urgent != y->urgent)
		return x->urgent ? -1 : 1;
	if (x->submitted_offset != y->submitted_offset)
		return x->submitted_offset < y->submitted_offset ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

static void
collect_waiting(struct placement *p)
{
	const struct task *t;
	size_t n = 0;

	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next)
		n += t->state == TASK_WAITING;
	p->waiting = calloc(n + 1, sizeof(const struct task *));
	if (p->waiting == NULL)
		err(1, "cannot allocate the placement of tasks");
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		if (t->state == TASK_WAITING)
			p->waiting[p->waiting_count++] = t;
	}
	qsort(
	    p->waiting, p->waiting_count, sizeof(*p->waiting), compare_waiting);
}

/*
 * A hash assigns each task to one data centre, which places it at once.  The
 * others wait before they try, so that proposals rarely collide; for an urgent
 * task they wait a quarter of the time.
 */
static bool
is_our_turn(const struct placement *p, const struct task *t,
    const struct placement_attempt *attempt)
{
	int64_t wait =
	    t->urgent ? TASKS_OTHER_DC_DELAY_US / 4 : TASKS_OTHER_DC_DELAY_US;
	const struct text *text = p->pass->fold_view.text;
	size_t home = XXH64(&t->id, sizeof(t->id), 0) % text->data_centre_count;

	return strcmp(text->data_centres[home].name,
		   p->pass->daemon_view->data_centre) == 0 ||
	    p->pass->daemon_view->now_us - attempt->waiting_since_us > wait;
}

/*
 * Sets *left to the member's quota less what its tasks hold and what this pass
 * has proposed, and *plan to the latter.  Returns false if the text has no such
 * member.
 */
static bool
quota_left(struct placement *p, const struct task *t, struct task_size **plan,
    struct task_size *left)
{
	const struct text *text = p->pass->fold_view.text;
	const struct text_member *m = text_member(text, t->member);
	const struct task_member *used;
	struct task_size free_quota;

	if (m == NULL)
		return false;
	*plan = &p->planned_by_member[m - text->members];
	used = fold_tasks_member(p->pass->fold_state, t->member);
	free_quota.cores_milli =
	    m->quota.cores * MILLICORES_PER_CORE - (*plan)->cores_milli;
	free_quota.memory_mb = m->quota.memory_mb - (*plan)->memory_mb;
	free_quota.accelerators = m->quota.accelerators - (*plan)->accelerators;
	if (used != NULL) {
		free_quota.cores_milli -= used->used.cores_milli;
		free_quota.memory_mb -= used->used.memory_mb;
		free_quota.accelerators -= used->used.accelerators;
	}
	*left = free_quota;
	return true;
}

/* Prefers few free accelerators, to save them, then many free cores. */
static bool
is_better(const struct vm_capacity *a, const struct vm_capacity *b)
{
	if (b == NULL)
		return true;
	if (a->free.accelerators != b->free.accelerators)
		return a->free.accelerators < b->free.accelerators;
	return a->free.cores_milli > b->free.cores_milli;
}

/*
 * Free capacity only shrinks during placement, so a size that found no VM rules
 * out every size that is at least as large.
 */
static bool
is_unplaceable(const struct placement *p, const struct task_size *size)
{
	size_t i;

	for (i = 0; i < p->unplaceable_count; i++) {
		if (task_size_fits(size, &p->unplaceable[i]))
			return true;
	}
	return false;
}

/* Uses the VM where the task's last run failed only if no other one fits. */
static struct vm_capacity *
choose_vm(struct placement *p, const struct task *t,
    const struct placement_attempt *attempt)
{
	struct task_size charge = task_charge(t);
	struct vm_capacity *best = NULL, *fallback = NULL, *capacity;
	size_t i;

	if (!t->urgent && is_unplaceable(p, &charge))
		return NULL;
	for (i = 0; i < p->vm_count; i++) {
		capacity = &p->vms[i];
		if (!task_size_fits(&capacity->free, &charge) ||
		    (capacity->reserved &&
			strcmp(capacity->vm->name, attempt->vm) != 0))
			continue;
		if (strcmp(capacity->vm->name, t->failed_vm) == 0)
			fallback = capacity;
		else if (is_better(capacity, best))
			best = capacity;
	}
	if (best == NULL)
		best = fallback;
	if (best == NULL && p->unplaceable_count < UNPLACEABLE_SIZES_MAX)
		p->unplaceable[p->unplaceable_count++] = charge;
	return best;
}

static void
propose_placement(struct placement *p, const struct task *t,
    struct placement_attempt *attempt, struct vm_capacity *capacity)
{
	struct tasks_pass *pass = p->pass;
	struct task_size charge = task_charge(t);

	task_batch_place(&pass->local_state->proposals, t->id, t->epoch + 1,
	    capacity->vm->name, capacity->vm->incarnation);
	attempt->proposal_generation = pass->local_state->generation;
	memcpy(attempt->vm, capacity->vm->name, sizeof(attempt->vm));
	capacity_take(capacity, &charge);
	p->proposal_count++;
	pass->local_state->counters.placements_proposed++;
}

/*
 * If a placement of the task is in flight, counts its share of the VM and of
 * the quota as taken and returns true.
 */
static bool
reserve_if_in_flight(struct placement *p, const struct task *t,
    const struct placement_attempt *attempt, struct task_size *plan)
{
	struct task_size charge = task_charge(t);
	struct vm_capacity *capacity;

	if (!tasks_proposal_in_flight(
		p->pass->local_state, attempt->proposal_generation))
		return false;
	capacity = capacity_find(p, attempt->vm);
	if (capacity != NULL)
		capacity_take(capacity, &charge);
	task_size_add(plan, &charge);
	return true;
}

static void
place_task(struct placement *p, const struct task *t)
{
	struct task_size charge = task_charge(t), left, *plan = NULL;
	struct tasks_pass *pass = p->pass;
	struct placement_attempt *attempt = get_attempt(p, t);
	struct vm_capacity *capacity;

	if (pass->fold_view.log_ms < t->not_before_ms ||
	    !quota_left(p, t, &plan, &left) ||
	    reserve_if_in_flight(p, t, attempt, plan) ||
	    !is_our_turn(p, t, attempt))
		return;
	if (!task_size_fits(&left, &charge)) {
		if (t->urgent)
			preempt_for_quota(p, t, attempt, &left);
		return;
	}
	capacity = choose_vm(p, t, attempt);
	if (capacity == NULL) {
		if (t->urgent)
			preempt_for_capacity(p, t, attempt);
		else if (fold_tasks_unrunnable_reason(
			     &pass->fold_view, t->member, &t->size) != NULL)
			task_batch_refuse(&pass->local_state->proposals, t->id);
		return;
	}
	propose_placement(p, t, attempt, capacity);
	task_size_add(plan, &charge);
}

static void
drop_stale_attempts(struct placement *p)
{
	struct tasks *tasks = p->pass->local_state;
	const struct task *t;
	struct placement_attempt *attempt, *tmp;

	HASH_ITER(hh, tasks->attempts, attempt, tmp)
	{
		t = fold_tasks_get(p->pass->fold_state, attempt->id);
		if (t != NULL && t->state == TASK_WAITING)
			continue;
		HASH_DEL(tasks->attempts, attempt);
		free(attempt);
	}
}

void
tasks_place(struct tasks_pass *pass)
{
	struct placement p = {.pass = pass};
	size_t i;

	drop_stale_attempts(&p);
	collect_waiting(&p);
	if (p.waiting_count == 0) {
		free(p.waiting);
		return;
	}
	capacity_collect(&p);
	p.planned_by_member = calloc(pass->fold_view.text->member_count + 1,
	    sizeof(*p.planned_by_member));
	if (p.planned_by_member == NULL)
		err(1, "cannot allocate the placement of tasks");
	release_ended_tasks(&p);
	for (i = 0; i < p.waiting_count && i < PASS_WAITING_MAX &&
	     p.proposal_count < TASKS_PASS_PLACEMENTS_MAX;
	     i++)
		place_task(&p, p.waiting[i]);
	free(p.planned_by_member);
	capacity_free(&p);
	free(p.waiting);
}
