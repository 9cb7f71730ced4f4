/* Preemption: lower tasks yield capacity and quota to urgent ones. */
#include "tasks_place.h"

#include <string.h>

/* Delay before tasks are preempted for the same urgent task again. */
#define PREEMPT_RETRY_US (4 * US_PER_S)

/* Returns what a task frees when it yields; a throttled one frees cores. */
static struct task_size
reclaimable_size(const struct task *t)
{
	struct task_size s = task_charge(t);

	if (t->yield != TASK_YIELD_THROTTLE)
		return s;
	s.cores_milli -= s.cores_milli * TASK_THROTTLE_PPM / TEXT_PPM;
	s.memory_mb = s.accelerators = 0;
	return s;
}

/* True if the task is stopping, or a proposal about it is in flight. */
static bool
is_vacating(const struct placement *p, const struct task *t)
{
	const struct task_lease *lease;

	if (t->state == TASK_STOPPING)
		return true;
	HASH_FIND(
	    hh, p->pass->local_state->leases, &t->id, sizeof(t->id), lease);
	return t->state == TASK_RUNNING && lease != NULL &&
	    lease->epoch == t->epoch &&
	    tasks_proposal_in_flight(
		p->pass->local_state, lease->proposal_generation);
}

static bool
is_preemptible(const struct placement *p, const struct task *t)
{
	return t->state == TASK_RUNNING && !t->urgent && !t->throttled &&
	    !is_vacating(p, t);
}

static void
propose_preemption(struct placement *p, const struct task *t)
{
	struct tasks *tasks = p->pass->local_state;

	tasks_get_lease(tasks, t, p->pass->daemon_view->now_us)
	    ->proposal_generation = tasks->generation;
	if (t->yield == TASK_YIELD_THROTTLE)
		task_batch_throttle(&tasks->proposals, t->id, t->epoch);
	else
		task_batch_stop(&tasks->proposals, t->id, t->epoch);
	tasks->counters.preemptions_proposed++;
	p->proposal_count++;
}

/*
 * Returns how many tasks on this VM must yield to make "need" fit, or 0 if that
 * is not possible.  With "commit", proposes their preemption.
 */
static unsigned
preempt_on_vm(struct placement *p, const struct vm_capacity *capacity,
    const struct task_size *need, bool commit)
{
	struct task_size free_size = capacity->free, gain;
	const struct task *t;
	unsigned n = 0;
	size_t i;

	for (i = 0;
	     i < capacity->task_count && !task_size_fits(&free_size, need);
	     i++) {
		t = capacity->tasks[i];
		if (!is_preemptible(p, t))
			continue;
		gain = reclaimable_size(t);
		task_size_add(&free_size, &gain);
		n++;
		if (commit)
			propose_preemption(p, t);
	}
	return task_size_fits(&free_size, need) ? n : 0;
}

/* True if "need" fits once the tasks that are leaving the VM have left. */
static bool
capacity_will_fit(const struct placement *p, const struct vm_capacity *capacity,
    const struct task_size *need)
{
	struct task_size free_size = capacity->free, charge;
	size_t i;

	for (i = 0; i < capacity->task_count; i++) {
		if (!is_vacating(p, capacity->tasks[i]))
			continue;
		charge = task_charge(capacity->tasks[i]);
		task_size_add(&free_size, &charge);
	}
	return task_size_fits(&free_size, need);
}

void
preempt_for_capacity(struct placement *p, const struct task *t,
    struct placement_attempt *attempt)
{
	struct task_size need = task_charge(t);
	struct vm_capacity *best = NULL;
	unsigned fewest = 0, n;
	size_t i;

	if (!p->pass->fold_view.text->tasks.preempt)
		return;
	capacity_index_tasks(p);
	if (p->pass->daemon_view->now_us < attempt->capacity_preempt_until_us) {
		best = capacity_find(p, attempt->vm);
		if (best != NULL && capacity_will_fit(p, best, &need)) {
			best->reserved = true;
			capacity_take(best, &need);
			return;
		}
	}
	best = NULL;
	for (i = 0; i < p->vm_count; i++) {
		if (p->vms[i].reserved)
			continue;
		n = preempt_on_vm(p, &p->vms[i], &need, false);
		if (n == 0 || (best != NULL && n >= fewest))
			continue;
		fewest = n;
		best = &p->vms[i];
	}
	if (best == NULL)
		return;
	preempt_on_vm(p, best, &need, true);
	best->reserved = true;
	memcpy(attempt->vm, best->vm->name, sizeof(attempt->vm));
	attempt->capacity_preempt_until_us =
	    p->pass->daemon_view->now_us + PREEMPT_RETRY_US;
}

void
preempt_for_quota(struct placement *p, const struct task *t,
    struct placement_attempt *attempt, struct task_size *left)
{
	struct task_size need = task_charge(t), gain;
	const struct task *other;

	if (!p->pass->fold_view.text->tasks.preempt ||
	    p->pass->daemon_view->now_us < attempt->quota_preempt_until_us)
		return;
	for (other = fold_tasks_head(p->pass->fold_state);
	     other != NULL && !task_size_fits(left, &need);
	     other = other->hh.next) {
		if (strcmp(other->member, t->member) != 0)
			continue;
		if (is_vacating(p, other)) {
			gain = task_charge(other);
		} else if (is_preemptible(p, other)) {
			gain = reclaimable_size(other);
			propose_preemption(p, other);
		} else {
			continue;
		}
		task_size_add(left, &gain);
	}
	attempt->quota_preempt_until_us =
	    p->pass->daemon_view->now_us + PREEMPT_RETRY_US;
}
