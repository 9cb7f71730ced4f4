/* The stay of a task at a worker: start, renewals, reports, fence, end. */
#include "tasks_state.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define LEASE_RENEWALS 3 /* renewals in the time of one lease */
#define CORRECT_EVERY_US (10 * US_PER_S)
#define CORRECT_DOWN_US (30 * US_PER_S) /* reports before a size shrinks */
#define GROWTH_PERCENT 110 /* beyond this share of its size it has grown */
#define SHRINK_PERCENT 70
#define PEAK_MARGIN_PERCENT 110

static void
peak(int64_t *most, int64_t value)
{
	if (value > *most)
		*most = value;
}

static bool
report_final(const struct hold *h)
{
	return h->reported &&
	    (h->report == USAGE_DONE || h->report == USAGE_FAILED ||
		h->report == USAGE_LAPSED || h->report == USAGE_CHECKPOINTED);
}

/* Reports lag and may come in any order: a final one stays. */
static void
take_report(struct tasks *k, struct hold *h, const struct usage_entry *u,
    bool throttled, int64_t now_us)
{
	if (!h->reported)
		h->peak_since_us = now_us;
	if (!report_final(h) || u->state == USAGE_DONE)
		h->report = (enum usage_state)u->state;
	h->reported = true;
	k->wake |= !h->fenced && report_final(h);
	if (h->report == USAGE_THROTTLED || throttled)
		return;
	peak(&h->peak.cores_milli, u->cores_milli);
	peak(&h->peak.memory_mb, u->memory_mb);
	peak(&h->peak.accelerators, u->accelerators);
}

void
tasks_early_drop(struct tasks *k, struct early_report *r)
{
	HASH_DEL(k->early, r);
	free(r);
}

/* A fence leaves the last run's state under the epoch that it used. */
static bool
report_epoch(const struct task *t, const struct usage_entry *u)
{
	return u->epoch == t->epoch ||
	    (u->epoch == t->epoch + 1 && u->state != USAGE_RUNNING &&
		u->state != USAGE_THROTTLED);
}

static bool
report_fits(const struct task *t, const struct usage_entry *u)
{
	return report_epoch(t, u) && t->incarnation == u->incarnation &&
	    (t->state == TASK_RUNNING || t->state == TASK_STOPPING) &&
	    strcmp(t->vm, u->vm) == 0;
}

/* Workers report a change once: what came early is taken up now. */
static void
take_early(
    struct tasks *k, struct hold *h, const struct task *t, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, k->early, &t->id, sizeof(t->id), r);
	if (r == NULL)
		return;
	if (report_fits(t, &r->usage))
		take_report(k, h, &r->usage, t->throttled, now_us);
	if (r->usage.epoch <= t->epoch)
		tasks_early_drop(k, r);
}

struct hold *
tasks_hold(struct tasks *k, const struct task *t, int64_t now_us)
{
	struct hold *h;

	HASH_FIND(hh, k->holds, &t->id, sizeof(t->id), h);
	if (h != NULL && h->epoch != t->epoch) {
		tasks_hold_drop(k, h);
		h = NULL;
	}
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		if (h == NULL)
			err(1, "no memory for a task");
		h->id = t->id;
		h->epoch = t->epoch;
		HASH_ADD(hh, k->holds, id, sizeof(h->id), h);
		take_early(k, h, t, now_us);
	}
	return h;
}

static void
forget_key(struct tasks *k, uint64_t key)
{
	struct hold_key *hk;

	HASH_FIND(hh, k->keys, &key, sizeof(key), hk);
	if (hk == NULL)
		return;
	HASH_DEL(k->keys, hk);
	free(hk);
}

void
tasks_hold_drop(struct tasks *k, struct hold *h)
{
	if (h->op != HOLD_NONE)
		forget_key(k, h->key);
	HASH_DEL(k->holds, h);
	free(h);
}

bool
tasks_ours(const struct tasks_look *l, const struct task *t)
{
	const struct vm *vm = fold_vm(l->v->fold, t->vm);

	return vm != NULL && vm->incarnation == t->incarnation &&
	    strcmp(vm->data_centre, l->v->data_centre) == 0;
}

/*
 * Every daemon gives the first start and the fence the same key, so that a
 * repeat does nothing.  A renewal is meant to act each time.
 */
static uint64_t
op_key(const struct tasks_look *l, const struct hold *h, enum hold_op op)
{
	uint64_t parts[5] = {h->id, h->epoch, op, 0, 0};

	if (op == HOLD_RENEW) {
		parts[3] = l->v->incarnation;
		parts[4] = h->renewals;
	}
	return XXH64(parts, sizeof(parts), 0);
}

static enum platform_op
platform_op(enum hold_op op)
{
	switch (op) {
	case HOLD_NONE:
	case HOLD_START:
	case HOLD_RENEW:
		return PLATFORM_TASK_START;
	case HOLD_THROTTLE:
		return PLATFORM_TASK_THROTTLE;
	case HOLD_CHECKPOINT:
		return PLATFORM_TASK_CHECKPOINT;
	case HOLD_FENCE:
		return PLATFORM_TASK_STOP;
	}
	return PLATFORM_TASK_STOP;
}

static void
send_op(
    struct tasks_look *l, struct hold *h, const struct task *t, enum hold_op op)
{
	struct hold_key *hk;
	struct effect *x;

	h->key = op_key(l, h, op);
	h->op = op;
	h->op_us = l->v->now_us;
	x = effects_add(l->fx, EFFECT_PLATFORM);
	x->u.platform.op = platform_op(op);
	x->u.platform.key = h->key;
	memcpy(x->u.platform.vm, t->vm, sizeof(t->vm));
	x->u.platform.incarnation = t->incarnation;
	x->u.platform.task = t->id;
	x->u.platform.epoch = op == HOLD_FENCE ? h->epoch + 1 : h->epoch;
	x->u.platform.lease_s = l->view.text->tasks.lease_s;
	forget_key(l->k, h->key);
	hk = calloc(1, sizeof(*hk));
	if (hk == NULL)
		err(1, "no memory for a task");
	hk->key = h->key;
	hk->id = h->id;
	HASH_ADD(hh, l->k->keys, key, sizeof(hk->key), hk);
	l->k->counters.starts += op == HOLD_START;
	l->k->counters.renewals += op == HOLD_RENEW;
	l->k->counters.fences += op == HOLD_FENCE;
}

static void
op_done(struct hold *h, enum hold_op op, int64_t now_us)
{
	switch (op) {
	case HOLD_NONE:
		break;
	case HOLD_START:
	case HOLD_RENEW:
		h->started = true;
		h->refusals = 0;
		h->renewed_us = now_us;
		h->renewals++;
		break;
	case HOLD_THROTTLE:
		h->throttled = true;
		break;
	case HOLD_CHECKPOINT:
		h->reported = true;
		h->report = USAGE_CHECKPOINTED;
		break;
	case HOLD_FENCE:
		h->fenced = true;
		break;
	}
}

void
tasks_op_result(struct tasks *k, const struct view *v, uint64_t key, bool done)
{
	struct hold_key *hk;
	struct hold *h;
	enum hold_op op;

	HASH_FIND(hh, k->keys, &key, sizeof(key), hk);
	if (hk == NULL)
		return;
	HASH_FIND(hh, k->holds, &hk->id, sizeof(hk->id), h);
	forget_key(k, key);
	if (h == NULL || h->op == HOLD_NONE || h->key != key)
		return;
	op = h->op;
	h->op = HOLD_NONE;
	h->op_us = v->now_us + TASKS_RETRY_US;
	if (!done) {
		h->refusals += op == HOLD_START || op == HOLD_RENEW;
		return;
	}
	h->op_us = v->now_us;
	k->wake |= op != HOLD_START && op != HOLD_RENEW;
	op_done(h, op, v->now_us);
}

/* True while an operation is in flight or its retry is not due. */
static bool
op_busy(struct tasks_look *l, struct hold *h)
{
	if (h->op == HOLD_NONE)
		return l->v->now_us < h->op_us;
	if (l->v->now_us - h->op_us < TASKS_RESULT_US)
		return true;
	forget_key(l->k, h->key);
	h->op = HOLD_NONE;
	return false;
}

static enum task_result
end_result(const struct hold *h)
{
	if (!h->reported)
		return TASK_RESULT_STOPPED;
	switch (h->report) {
	case USAGE_DONE:
		return TASK_RESULT_DONE;
	case USAGE_FAILED:
		return TASK_RESULT_FAILED;
	case USAGE_CHECKPOINTED:
		return TASK_RESULT_CHECKPOINTED;
	case USAGE_LAPSED:
		return TASK_RESULT_LAPSED;
	case USAGE_RUNNING:
	case USAGE_THROTTLED:
		break;
	}
	return TASK_RESULT_STOPPED;
}

/* The worker is told that the epoch is over; only then the log is. */
static void
let_go(struct tasks_look *l, struct hold *h, const struct task *t)
{
	if (!h->fenced) {
		send_op(l, h, t, HOLD_FENCE);
		return;
	}
	task_batch_end(&l->k->proposals, t->id, t->epoch, end_result(h));
	h->generation = l->k->generation;
	if (l->ending_count < TASKS_BATCH_MAX) {
		l->endings[l->ending_count].task = t;
		l->endings[l->ending_count++].charge = task_charge(t);
	}
	l->k->counters.ended++;
}

static void
stop(struct tasks_look *l, struct hold *h, const struct task *t)
{
	bool checkpoint =
	    t->yield == TASK_YIELD_CHECKPOINT && !t->cancelled && h->started;

	if (h->fenced || report_final(h) || !checkpoint) {
		let_go(l, h, t);
		return;
	}
	if (h->checkpoint_us == 0)
		h->checkpoint_us = l->v->now_us;
	if (l->v->now_us - h->checkpoint_us <= TASKS_CHECKPOINT_US)
		send_op(l, h, t, HOLD_CHECKPOINT);
	else
		let_go(l, h, t);
}

static int64_t
lease_us(const struct tasks_look *l)
{
	return l->view.text->tasks.lease_s * US_PER_S;
}

/* Its VM was taken out of service or out of the tasks' pool. */
static bool
must_leave(const struct tasks_look *l, const struct task *t)
{
	const struct vm *vm = fold_vm(l->v->fold, t->vm);

	return !fold_vm_serves(l->v->fold, vm) ||
	    strcmp(vm->pool, l->view.text->tasks.pool) != 0;
}

static bool
beyond(int64_t reported, int64_t size)
{
	return reported * 100 > size * GROWTH_PERCENT;
}

static bool
far_below(int64_t reported, int64_t size)
{
	return reported * 100 < size * SHRINK_PERCENT;
}

/* A size grows by the first report, and shrinks only by the peak of many. */
static void
correct(struct tasks_look *l, struct hold *h, const struct task *t)
{
	struct task_size size = h->peak;
	bool grown, shrunk;

	if (!h->reported ||
	    (h->corrected_us != 0 &&
		l->v->now_us - h->corrected_us < CORRECT_EVERY_US))
		return;
	grown = beyond(size.cores_milli, t->size.cores_milli) ||
	    beyond(size.memory_mb, t->size.memory_mb) ||
	    size.accelerators > t->size.accelerators;
	shrunk = l->v->now_us - h->peak_since_us > CORRECT_DOWN_US &&
	    (far_below(size.cores_milli, t->size.cores_milli) ||
		far_below(size.memory_mb, t->size.memory_mb));
	if (!grown && !shrunk)
		return;
	size.cores_milli = size.cores_milli * PEAK_MARGIN_PERCENT / 100;
	size.memory_mb = size.memory_mb * PEAK_MARGIN_PERCENT / 100;
	if (size.accelerators < t->declared.accelerators)
		size.accelerators = t->declared.accelerators;
	task_batch_usage(&l->k->proposals, t->id, t->epoch, &size);
	h->corrected_us = l->v->now_us;
	l->k->counters.corrected++;
}

static void
run(struct tasks_look *l, struct hold *h, const struct task *t)
{
	/* Refused again and again: another daemon has fenced this stay. */
	if (report_final(h) || h->refusals >= TASKS_REFUSALS) {
		let_go(l, h, t);
		return;
	}
	if (must_leave(l, t)) {
		task_batch_stop(&l->k->proposals, t->id, t->epoch);
		h->generation = l->k->generation;
		l->k->counters.stopped++;
		return;
	}
	if (!h->started)
		send_op(l, h, t, HOLD_START);
	else if (t->throttled && !h->throttled)
		send_op(l, h, t, HOLD_THROTTLE);
	else if (l->v->now_us - h->renewed_us > lease_us(l) / LEASE_RENEWALS)
		send_op(l, h, t, HOLD_RENEW);
	else
		correct(l, h, t);
}

void
tasks_execute(struct tasks_look *l, const struct task *t)
{
	struct hold *h = tasks_hold(l->k, t, l->v->now_us);

	if (op_busy(l, h) || tasks_in_flight(l->k, h->generation))
		return;
	if (t->state == TASK_STOPPING)
		stop(l, h, t);
	else
		run(l, h, t);
}

static void
keep_early(struct tasks *k, const struct usage_entry *u, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, k->early, &u->task, sizeof(u->task), r);
	if (r == NULL) {
		if (HASH_COUNT(k->early) >= TASKS_EARLY_MAX)
			return;
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			err(1, "no memory for a report");
		r->id = u->task;
		HASH_ADD(hh, k->early, id, sizeof(r->id), r);
	}
	r->usage = *u;
	r->at_us = now_us;
}

void
tasks_report(struct tasks *k, const struct view *v, const struct usage_entry *u)
{
	const struct task *t =
	    fold_tasks_get(fold_task_state(v->fold), u->task);

	if (t != NULL && report_fits(t, u))
		take_report(
		    k, tasks_hold(k, t, v->now_us), u, t->throttled, v->now_us);
	else if (u->task != 0 && (t == NULL || u->epoch > t->epoch))
		keep_early(k, u, v->now_us);
}
