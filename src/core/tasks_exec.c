/* The stay of a task at a worker: start, renewals, reports, fence, end. */
#include "tasks_state.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define RENEWALS_PER_LEASE 3 /* renewals in the time of one lease */
#define CORRECTION_INTERVAL_US (10 * US_PER_S)
#define SHRINK_DELAY_US (30 * US_PER_S) /* reports before a size shrinks */
#define GROW_ABOVE_PERCENT                                \
	110 /* beyond this share of its size it has grown \
	     */
#define SHRINK_BELOW_PERCENT 70
#define PEAK_MARGIN_PERCENT 110

static void
raise_to(int64_t *most, int64_t value)
{
	if (value > *most)
		*most = value;
}

static bool
report_is_final(const struct task_lease *h)
{
	return h->reported &&
	    (h->report_state == USAGE_DONE || h->report_state == USAGE_FAILED ||
		h->report_state == USAGE_LAPSED ||
		h->report_state == USAGE_CHECKPOINTED);
}

/* Reports lag and may come in any order: a final one stays. */
static void
record_report(struct tasks *k, struct task_lease *h,
    const struct usage_entry *u, bool throttled, int64_t now_us)
{
	if (!h->reported)
		h->peak_since_us = now_us;
	if (!report_is_final(h) || u->state == USAGE_DONE)
		h->report_state = (enum usage_state)u->state;
	h->reported = true;
	k->pass_requested |= !h->fenced && report_is_final(h);
	if (h->report_state == USAGE_THROTTLED || throttled)
		return;
	raise_to(&h->peak.cores_milli, u->cores_milli);
	raise_to(&h->peak.memory_mb, u->memory_mb);
	raise_to(&h->peak.accelerators, u->accelerators);
}

void
tasks_drop_early_report(struct tasks *k, struct early_report *r)
{
	HASH_DEL(k->early_reports, r);
	free(r);
}

/* A fence leaves the last run's state under the epoch that it used. */
static bool
report_epoch_matches(const struct task *t, const struct usage_entry *u)
{
	return u->epoch == t->epoch ||
	    (u->epoch == t->epoch + 1 && u->state != USAGE_RUNNING &&
		u->state != USAGE_THROTTLED);
}

static bool
report_matches(const struct task *t, const struct usage_entry *u)
{
	return report_epoch_matches(t, u) && t->incarnation == u->incarnation &&
	    (t->state == TASK_RUNNING || t->state == TASK_STOPPING) &&
	    strcmp(t->vm, u->vm) == 0;
}

/* Workers report a change once: what came early is taken up now. */
static void
apply_early_report(
    struct tasks *k, struct task_lease *h, const struct task *t, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, k->early_reports, &t->id, sizeof(t->id), r);
	if (r == NULL)
		return;
	if (report_matches(t, &r->usage))
		record_report(k, h, &r->usage, t->throttled, now_us);
	if (r->usage.epoch <= t->epoch)
		tasks_drop_early_report(k, r);
}

struct task_lease *
tasks_get_lease(struct tasks *k, const struct task *t, int64_t now_us)
{
	struct task_lease *h;

	HASH_FIND(hh, k->leases, &t->id, sizeof(t->id), h);
	if (h != NULL && h->epoch != t->epoch) {
		tasks_drop_lease(k, h);
		h = NULL;
	}
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		if (h == NULL)
			err(1, "no memory for a task");
		h->id = t->id;
		h->epoch = t->epoch;
		HASH_ADD(hh, k->leases, id, sizeof(h->id), h);
		apply_early_report(k, h, t, now_us);
	}
	return h;
}

static void
pending_op_drop(struct tasks *k, uint64_t key)
{
	struct pending_op *hk;

	HASH_FIND(hh, k->pending_ops, &key, sizeof(key), hk);
	if (hk == NULL)
		return;
	HASH_DEL(k->pending_ops, hk);
	free(hk);
}

void
tasks_drop_lease(struct tasks *k, struct task_lease *h)
{
	if (h->op_in_flight != LEASE_OP_NONE)
		pending_op_drop(k, h->op_key);
	HASH_DEL(k->leases, h);
	free(h);
}

bool
tasks_holder_is_local(const struct tasks_pass *l, const struct task *t)
{
	const struct vm *vm = fold_vm(l->daemon_view->fold, t->vm);

	return vm != NULL && vm->incarnation == t->incarnation &&
	    strcmp(vm->data_centre, l->daemon_view->data_centre) == 0;
}

/*
 * Every daemon gives the first start and the fence the same key, so that a
 * repeat does nothing.  A renewal is meant to act each time.
 */
static uint64_t
op_key(const struct tasks_pass *l, const struct task_lease *h, enum lease_op op)
{
	uint64_t parts[5] = {h->id, h->epoch, op, 0, 0};

	if (op == LEASE_OP_RENEW) {
		parts[3] = l->daemon_view->incarnation;
		parts[4] = h->renewal_count;
	}
	return XXH64(parts, sizeof(parts), 0);
}

static enum platform_op
platform_op(enum lease_op op)
{
	switch (op) {
	case LEASE_OP_NONE:
	case LEASE_OP_START:
	case LEASE_OP_RENEW:
		return PLATFORM_TASK_START;
	case LEASE_OP_THROTTLE:
		return PLATFORM_TASK_THROTTLE;
	case LEASE_OP_CHECKPOINT:
		return PLATFORM_TASK_CHECKPOINT;
	case LEASE_OP_FENCE:
		return PLATFORM_TASK_STOP;
	}
	return PLATFORM_TASK_STOP;
}

static void
send_op(struct tasks_pass *l, struct task_lease *h, const struct task *t,
    enum lease_op op)
{
	struct pending_op *hk;
	struct effect *x;

	h->op_key = op_key(l, h, op);
	h->op_in_flight = op;
	h->op_time_us = l->daemon_view->now_us;
	x = effects_add(l->effect_list, EFFECT_PLATFORM);
	x->u.platform.op = platform_op(op);
	x->u.platform.key = h->op_key;
	memcpy(x->u.platform.vm, t->vm, sizeof(t->vm));
	x->u.platform.incarnation = t->incarnation;
	x->u.platform.task = t->id;
	x->u.platform.epoch = op == LEASE_OP_FENCE ? h->epoch + 1 : h->epoch;
	x->u.platform.lease_s = l->fold_view.text->tasks.lease_s;
	pending_op_drop(l->local_state, h->op_key);
	hk = calloc(1, sizeof(*hk));
	if (hk == NULL)
		err(1, "no memory for a task");
	hk->key = h->op_key;
	hk->id = h->id;
	HASH_ADD(hh, l->local_state->pending_ops, key, sizeof(hk->key), hk);
	l->local_state->counters.starts_sent += op == LEASE_OP_START;
	l->local_state->counters.renewals_sent += op == LEASE_OP_RENEW;
	l->local_state->counters.fences_sent += op == LEASE_OP_FENCE;
}

static void
record_op_done(struct task_lease *h, enum lease_op op, int64_t now_us)
{
	switch (op) {
	case LEASE_OP_NONE:
		break;
	case LEASE_OP_START:
	case LEASE_OP_RENEW:
		h->started = true;
		h->consecutive_refusals = 0;
		h->last_renewal_us = now_us;
		h->renewal_count++;
		break;
	case LEASE_OP_THROTTLE:
		h->throttled = true;
		break;
	case LEASE_OP_CHECKPOINT:
		h->reported = true;
		h->report_state = USAGE_CHECKPOINTED;
		break;
	case LEASE_OP_FENCE:
		h->fenced = true;
		break;
	}
}

void
tasks_handle_op_result(
    struct tasks *k, const struct view *v, uint64_t key, bool done)
{
	struct pending_op *hk;
	struct task_lease *h;
	enum lease_op op;

	HASH_FIND(hh, k->pending_ops, &key, sizeof(key), hk);
	if (hk == NULL)
		return;
	HASH_FIND(hh, k->leases, &hk->id, sizeof(hk->id), h);
	pending_op_drop(k, key);
	if (h == NULL || h->op_in_flight == LEASE_OP_NONE || h->op_key != key)
		return;
	op = h->op_in_flight;
	h->op_in_flight = LEASE_OP_NONE;
	h->op_time_us = v->now_us + TASKS_OP_RETRY_DELAY_US;
	if (!done) {
		h->consecutive_refusals +=
		    op == LEASE_OP_START || op == LEASE_OP_RENEW;
		return;
	}
	h->op_time_us = v->now_us;
	k->pass_requested |= op != LEASE_OP_START && op != LEASE_OP_RENEW;
	record_op_done(h, op, v->now_us);
}

/* True while an operation is in flight or its retry is not due. */
static bool
op_is_busy(struct tasks_pass *l, struct task_lease *h)
{
	if (h->op_in_flight == LEASE_OP_NONE)
		return l->daemon_view->now_us < h->op_time_us;
	if (l->daemon_view->now_us - h->op_time_us < TASKS_OP_TIMEOUT_US)
		return true;
	pending_op_drop(l->local_state, h->op_key);
	h->op_in_flight = LEASE_OP_NONE;
	return false;
}

static enum task_result
end_result(const struct task_lease *h)
{
	if (!h->reported)
		return TASK_RESULT_STOPPED;
	switch (h->report_state) {
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
fence_and_end(struct tasks_pass *l, struct task_lease *h, const struct task *t)
{
	if (!h->fenced) {
		send_op(l, h, t, LEASE_OP_FENCE);
		return;
	}
	task_batch_end(
	    &l->local_state->proposals, t->id, t->epoch, end_result(h));
	h->proposal_generation = l->local_state->generation;
	if (l->ending_count < TASKS_BATCH_MAX) {
		l->endings[l->ending_count].task = t;
		l->endings[l->ending_count++].charge = task_charge(t);
	}
	l->local_state->counters.ends_proposed++;
}

static void
stop_task(struct tasks_pass *l, struct task_lease *h, const struct task *t)
{
	bool checkpoint =
	    t->yield == TASK_YIELD_CHECKPOINT && !t->cancelled && h->started;

	if (h->fenced || report_is_final(h) || !checkpoint) {
		fence_and_end(l, h, t);
		return;
	}
	if (h->checkpoint_start_us == 0)
		h->checkpoint_start_us = l->daemon_view->now_us;
	if (l->daemon_view->now_us - h->checkpoint_start_us <=
	    TASKS_CHECKPOINT_TIMEOUT_US)
		send_op(l, h, t, LEASE_OP_CHECKPOINT);
	else
		fence_and_end(l, h, t);
}

static int64_t
lease_us(const struct tasks_pass *l)
{
	return l->fold_view.text->tasks.lease_s * US_PER_S;
}

/* Its VM was taken out of service or out of the tasks' pool. */
static bool
vm_is_withdrawn(const struct tasks_pass *l, const struct task *t)
{
	const struct vm *vm = fold_vm(l->daemon_view->fold, t->vm);

	return !fold_vm_serves(l->daemon_view->fold, vm) ||
	    strcmp(vm->pool, l->fold_view.text->tasks.pool) != 0;
}

static bool
exceeds(int64_t reported, int64_t size)
{
	return reported * 100 > size * GROW_ABOVE_PERCENT;
}

static bool
is_well_below(int64_t reported, int64_t size)
{
	return reported * 100 < size * SHRINK_BELOW_PERCENT;
}

/* A size grows by the first report, and shrinks only by the peak of many. */
static void
correct_size(struct tasks_pass *l, struct task_lease *h, const struct task *t)
{
	struct task_size size = h->peak;
	bool grown, shrunk;

	if (!h->reported ||
	    (h->last_correction_us != 0 &&
		l->daemon_view->now_us - h->last_correction_us <
		    CORRECTION_INTERVAL_US))
		return;
	grown = exceeds(size.cores_milli, t->size.cores_milli) ||
	    exceeds(size.memory_mb, t->size.memory_mb) ||
	    size.accelerators > t->size.accelerators;
	shrunk = l->daemon_view->now_us - h->peak_since_us > SHRINK_DELAY_US &&
	    (is_well_below(size.cores_milli, t->size.cores_milli) ||
		is_well_below(size.memory_mb, t->size.memory_mb));
	if (!grown && !shrunk)
		return;
	size.cores_milli = size.cores_milli * PEAK_MARGIN_PERCENT / 100;
	size.memory_mb = size.memory_mb * PEAK_MARGIN_PERCENT / 100;
	if (size.accelerators < t->declared.accelerators)
		size.accelerators = t->declared.accelerators;
	task_batch_usage(&l->local_state->proposals, t->id, t->epoch, &size);
	h->last_correction_us = l->daemon_view->now_us;
	l->local_state->counters.corrections_proposed++;
}

static void
run_task(struct tasks_pass *l, struct task_lease *h, const struct task *t)
{
	/* Refused again and again: another daemon has fenced this stay. */
	if (report_is_final(h) ||
	    h->consecutive_refusals >= TASKS_REFUSALS_MAX) {
		fence_and_end(l, h, t);
		return;
	}
	if (vm_is_withdrawn(l, t)) {
		task_batch_stop(&l->local_state->proposals, t->id, t->epoch);
		h->proposal_generation = l->local_state->generation;
		l->local_state->counters.stops_proposed++;
		return;
	}
	if (!h->started)
		send_op(l, h, t, LEASE_OP_START);
	else if (t->throttled && !h->throttled)
		send_op(l, h, t, LEASE_OP_THROTTLE);
	else if (l->daemon_view->now_us - h->last_renewal_us >
	    lease_us(l) / RENEWALS_PER_LEASE)
		send_op(l, h, t, LEASE_OP_RENEW);
	else
		correct_size(l, h, t);
}

void
tasks_execute(struct tasks_pass *l, const struct task *t)
{
	struct task_lease *h =
	    tasks_get_lease(l->local_state, t, l->daemon_view->now_us);

	if (op_is_busy(l, h) ||
	    tasks_proposal_in_flight(l->local_state, h->proposal_generation))
		return;
	if (t->state == TASK_STOPPING)
		stop_task(l, h, t);
	else
		run_task(l, h, t);
}

static void
save_early_report(struct tasks *k, const struct usage_entry *u, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, k->early_reports, &u->task, sizeof(u->task), r);
	if (r == NULL) {
		if (HASH_COUNT(k->early_reports) >= TASKS_EARLY_REPORTS_MAX)
			return;
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			err(1, "no memory for a report");
		r->id = u->task;
		HASH_ADD(hh, k->early_reports, id, sizeof(r->id), r);
	}
	r->usage = *u;
	r->received_us = now_us;
}

void
tasks_handle_report(
    struct tasks *k, const struct view *v, const struct usage_entry *u)
{
	const struct task *t = fold_tasks_get(fold_tasks_of(v->fold), u->task);

	if (t != NULL && report_matches(t, u))
		record_report(k, tasks_get_lease(k, t, v->now_us), u,
		    t->throttled, v->now_us);
	else if (u->task != 0 && (t == NULL || u->epoch > t->epoch))
		save_early_report(k, u, v->now_us);
}
