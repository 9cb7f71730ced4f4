/* Placement: which VM each waiting task is proposed for. */
#include "tasks_place.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define PASS_WAITING_MAX 4096 /* waiting tasks looked at in one go */

static struct placement_attempt *
get_attempt(struct placement *p, const struct task *t)
{
	struct tasks *k = p->pass->local_state;
	struct placement_attempt *w;

	HASH_FIND(hh, k->attempts, &t->id, sizeof(t->id), w);
	if (w == NULL) {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			err(1, "no memory for a task");
		w->id = t->id;
		HASH_ADD(hh, k->attempts, id, sizeof(w->id), w);
		w->epoch = t->epoch;
		w->waiting_since_us = p->pass->daemon_view->now_us;
	}
	if (w->epoch != t->epoch) {
		w->epoch = t->epoch;
		w->waiting_since_us = p->pass->daemon_view->now_us;
		w->capacity_preempt_until_us = w->quota_preempt_until_us = 0;
		w->proposal_generation = 0;
	}
	return w;
}

/* Entries are judged in order: an end makes room for what follows it. */
static void
release_ended_tasks(struct placement *p)
{
	const struct tasks_pass *l = p->pass;
	const struct text_member *m;
	struct task_size charge;
	struct vm_capacity *s;
	size_t i;

	for (i = 0; i < l->ending_count; i++) {
		charge.cores_milli = -l->endings[i].charge.cores_milli;
		charge.memory_mb = -l->endings[i].charge.memory_mb;
		charge.accelerators = -l->endings[i].charge.accelerators;
		s = capacity_find(p, l->endings[i].task->vm);
		if (s != NULL)
			capacity_take(s, &charge);
		m = text_member(l->fold_view.text, l->endings[i].task->member);
		if (m != NULL)
			task_size_add(&p->planned_by_member[m -
					  l->fold_view.text->members],
			    &charge);
	}
}

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
		err(1, "no memory for placements");
	for (t = fold_tasks_head(p->pass->fold_state); t != NULL;
	     t = t->hh.next) {
		if (t->state == TASK_WAITING)
			p->waiting[p->waiting_count++] = t;
	}
	qsort(
	    p->waiting, p->waiting_count, sizeof(*p->waiting), compare_waiting);
}

/* Each task has a data centre that places it first; others wait a moment. */
static bool
is_our_turn(const struct placement *p, const struct task *t,
    const struct placement_attempt *w)
{
	int64_t wait =
	    t->urgent ? TASKS_OTHER_DC_DELAY_US / 4 : TASKS_OTHER_DC_DELAY_US;
	const struct text *text = p->pass->fold_view.text;
	size_t home = XXH64(&t->id, sizeof(t->id), 0) % text->data_centre_count;

	return strcmp(text->data_centres[home].name,
		   p->pass->daemon_view->data_centre) == 0 ||
	    p->pass->daemon_view->now_us - w->waiting_since_us > wait;
}

/*
 * Quota that the fold and this look's own proposals leave the task's member.
 * False where the text has no such member.
 */
static bool
quota_left(struct placement *p, const struct task *t, struct task_size **plan,
    struct task_size *left)
{
	const struct text *text = p->pass->fold_view.text;
	const struct text_member *m = text_member(text, t->member);
	const struct task_member *used;
	struct task_size room;

	if (m == NULL)
		return false;
	*plan = &p->planned_by_member[m - text->members];
	used = fold_tasks_member(p->pass->fold_state, t->member);
	room.cores_milli =
	    m->quota.cores * MILLICORES_PER_CORE - (*plan)->cores_milli;
	room.memory_mb = m->quota.memory_mb - (*plan)->memory_mb;
	room.accelerators = m->quota.accelerators - (*plan)->accelerators;
	if (used != NULL) {
		room.cores_milli -= used->used.cores_milli;
		room.memory_mb -= used->used.memory_mb;
		room.accelerators -= used->used.accelerators;
	}
	*left = room;
	return true;
}

/* Spares accelerators first, then takes the emptiest VM. */
static bool
is_better(const struct vm_capacity *a, const struct vm_capacity *b)
{
	if (b == NULL)
		return true;
	if (a->free.accelerators != b->free.accelerators)
		return a->free.accelerators < b->free.accelerators;
	return a->free.cores_milli > b->free.cores_milli;
}

/* Room only shrinks in a look: what was too large stays too large. */
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

static struct vm_capacity *
choose_vm(struct placement *p, const struct task *t,
    const struct placement_attempt *w)
{
	struct task_size charge = task_charge(t);
	struct vm_capacity *best = NULL, *last = NULL, *s;
	size_t i;

	if (!t->urgent && is_unplaceable(p, &charge))
		return NULL;
	for (i = 0; i < p->vm_count; i++) {
		s = &p->vms[i];
		if (!task_size_fits(&s->free, &charge) ||
		    (s->reserved && strcmp(s->vm->name, w->vm) != 0))
			continue;
		if (strcmp(s->vm->name, t->failed_vm) == 0)
			last = s;
		else if (is_better(s, best))
			best = s;
	}
	if (best == NULL)
		best = last;
	if (best == NULL && p->unplaceable_count < UNPLACEABLE_SIZES_MAX)
		p->unplaceable[p->unplaceable_count++] = charge;
	return best;
}

static void
propose_placement(struct placement *p, const struct task *t,
    struct placement_attempt *w, struct vm_capacity *s)
{
	struct tasks_pass *l = p->pass;
	struct task_size charge = task_charge(t);

	task_batch_place(&l->local_state->proposals, t->id, t->epoch + 1,
	    s->vm->name, s->vm->incarnation);
	w->proposal_generation = l->local_state->generation;
	memcpy(w->vm, s->vm->name, sizeof(w->vm));
	capacity_take(s, &charge);
	p->proposal_count++;
	l->local_state->counters.placements_proposed++;
}

/* A placement on its way keeps its share of the VM and of the quota. */
static bool
reserve_if_in_flight(struct placement *p, const struct task *t,
    const struct placement_attempt *w, struct task_size *plan)
{
	struct task_size charge = task_charge(t);
	struct vm_capacity *s;

	if (!tasks_proposal_in_flight(
		p->pass->local_state, w->proposal_generation))
		return false;
	s = capacity_find(p, w->vm);
	if (s != NULL)
		capacity_take(s, &charge);
	task_size_add(plan, &charge);
	return true;
}

static void
place_task(struct placement *p, const struct task *t)
{
	struct task_size charge = task_charge(t), left, *plan = NULL;
	struct tasks_pass *l = p->pass;
	struct placement_attempt *w = get_attempt(p, t);
	struct vm_capacity *s;

	if (l->fold_view.log_ms < t->not_before_ms ||
	    !quota_left(p, t, &plan, &left) ||
	    reserve_if_in_flight(p, t, w, plan) || !is_our_turn(p, t, w))
		return;
	if (!task_size_fits(&left, &charge)) {
		if (t->urgent)
			preempt_for_quota(p, t, w, &left);
		return;
	}
	s = choose_vm(p, t, w);
	if (s == NULL) {
		if (t->urgent)
			preempt_for_capacity(p, t, w);
		else if (fold_tasks_unrunnable_reason(
			     &l->fold_view, t->member, &t->size) != NULL)
			task_batch_refuse(&l->local_state->proposals, t->id);
		return;
	}
	propose_placement(p, t, w, s);
	task_size_add(plan, &charge);
}

static void
drop_stale_attempts(struct placement *p)
{
	struct tasks *k = p->pass->local_state;
	const struct task *t;
	struct placement_attempt *w, *tmp;

	HASH_ITER(hh, k->attempts, w, tmp)
	{
		t = fold_tasks_get(p->pass->fold_state, w->id);
		if (t != NULL && t->state == TASK_WAITING)
			continue;
		HASH_DEL(k->attempts, w);
		free(w);
	}
}

void
tasks_place(struct tasks_pass *l)
{
	struct placement p = {.pass = l};
	size_t i;

	drop_stale_attempts(&p);
	collect_waiting(&p);
	if (p.waiting_count == 0) {
		free(p.waiting);
		return;
	}
	capacity_collect(&p);
	p.planned_by_member = calloc(
	    l->fold_view.text->member_count + 1, sizeof(*p.planned_by_member));
	if (p.planned_by_member == NULL)
		err(1, "no memory for placements");
	release_ended_tasks(&p);
	for (i = 0; i < p.waiting_count && i < PASS_WAITING_MAX &&
	     p.proposal_count < TASKS_PASS_PLACEMENTS_MAX;
	     i++)
		place_task(&p, p.waiting[i]);
	free(p.planned_by_member);
	capacity_free(&p);
	free(p.waiting);
}
