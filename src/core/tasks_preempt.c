/* Room and quota for urgent tasks, given by lower ones. */
#include "tasks_place.h"

#include <string.h>

#define PREEMPT_RETRY_US (4 * US_PER_S) /* until room is asked for again */

/* What a task that yields gives back on its VM. */
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

/* It has been asked to let go, by the fold or by a proposal on its way. */
static bool
is_vacating(const struct placement *p, const struct task *t)
{
	const struct task_lease *h;

	if (t->state == TASK_STOPPING)
		return true;
	HASH_FIND(hh, p->pass->local_state->leases, &t->id, sizeof(t->id), h);
	return t->state == TASK_RUNNING && h != NULL && h->epoch == t->epoch &&
	    tasks_proposal_in_flight(
		p->pass->local_state, h->proposal_generation);
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
	struct tasks *k = p->pass->local_state;

	tasks_get_lease(k, t, p->pass->daemon_view->now_us)
	    ->proposal_generation = k->generation;
	if (t->yield == TASK_YIELD_THROTTLE)
		task_batch_throttle(&k->proposals, t->id, t->epoch);
	else
		task_batch_stop(&k->proposals, t->id, t->epoch);
	k->counters.preemptions_proposed++;
	p->proposal_count++;
}

/* Tasks that must yield on this VM for "need"; 0 where that isn't enough. */
static unsigned
preempt_on_vm(struct placement *p, const struct vm_capacity *s,
    const struct task_size *need, bool ask)
{
	struct task_size room = s->free, gain;
	const struct task *t;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < s->task_count && !task_size_fits(&room, need); i++) {
		t = s->tasks[i];
		if (!is_preemptible(p, t))
			continue;
		gain = reclaimable_size(t);
		task_size_add(&room, &gain);
		n++;
		if (ask)
			propose_preemption(p, t);
	}
	return task_size_fits(&room, need) ? n : 0;
}

/* Room that lower tasks on the way out are about to leave is counted. */
static bool
capacity_will_fit(const struct placement *p, const struct vm_capacity *s,
    const struct task_size *need)
{
	struct task_size room = s->free, charge;
	size_t i;

	for (i = 0; i < s->task_count; i++) {
		if (!is_vacating(p, s->tasks[i]))
			continue;
		charge = task_charge(s->tasks[i]);
		task_size_add(&room, &charge);
	}
	return task_size_fits(&room, need);
}

void
preempt_for_capacity(
    struct placement *p, const struct task *t, struct placement_attempt *w)
{
	struct task_size need = task_charge(t);
	struct vm_capacity *best = NULL;
	unsigned fewest = 0, n;
	size_t i;

	if (!p->pass->fold_view.text->tasks.preempt)
		return;
	capacity_index_tasks(p);
	if (p->pass->daemon_view->now_us < w->capacity_preempt_until_us) {
		best = capacity_find(p, w->vm);
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
	memcpy(w->vm, best->vm->name, sizeof(w->vm));
	w->capacity_preempt_until_us =
	    p->pass->daemon_view->now_us + PREEMPT_RETRY_US;
}

void
preempt_for_quota(struct placement *p, const struct task *t,
    struct placement_attempt *w, struct task_size *left)
{
	struct task_size need = task_charge(t), gain;
	const struct task *o;

	if (!p->pass->fold_view.text->tasks.preempt ||
	    p->pass->daemon_view->now_us < w->quota_preempt_until_us)
		return;
	for (o = fold_tasks_head(p->pass->fold_state);
	     o != NULL && !task_size_fits(left, &need); o = o->hh.next) {
		if (strcmp(o->member, t->member) != 0)
			continue;
		if (is_vacating(p, o)) {
			gain = task_charge(o);
		} else if (is_preemptible(p, o)) {
			gain = reclaimable_size(o);
			propose_preemption(p, o);
		} else {
			continue;
		}
		task_size_add(left, &gain);
	}
	w->quota_preempt_until_us =
	    p->pass->daemon_view->now_us + PREEMPT_RETRY_US;
}
