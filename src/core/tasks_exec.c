/* Execution of a lease on a worker: start, renewals, reports, fence, end. */
#include "tasks_state.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Renewals sent within the duration of a lease. */
#define RENEWALS_PER_LEASE 3
/* Shortest time between two corrections of a size. */
#define CORRECTION_INTERVAL_US (10 * US_PER_S)
/* Time of reports that must be observed before a size shrinks. */
#define SHRINK_DELAY_US (30 * US_PER_S)
/* Peaks in per cent of the task's size beyond which the size changes. */
#define GROW_ABOVE_PERCENT 110
#define SHRINK_BELOW_PERCENT 70
/* Corrected size in per cent of the peak. */
#define PEAK_MARGIN_PERCENT 110

static void
raise_to(int64_t *max, int64_t value)
{
	if (value > *max)
		*max = value;
}

static bool
report_is_final(const struct task_lease *lease)
{
	return lease->reported &&
	    (lease->report_state == USAGE_DONE ||
		lease->report_state == USAGE_FAILED ||
		lease->report_state == USAGE_LAPSED ||
		lease->report_state == USAGE_CHECKPOINTED);
}

/*
 * Reports are delayed and may arrive in any order: a final state is kept, and
 * only USAGE_DONE replaces it.
 */
static void
record_report(struct tasks *tasks, struct task_lease *lease,
    const struct usage_entry *u, bool throttled, int64_t now_us)
{
	if (!lease->reported)
		lease->peak_since_us = now_us;
	if (!report_is_final(lease) || u->state == USAGE_DONE)
		lease->report_state = (enum usage_state)u->state;
	lease->reported = true;
	tasks->pass_requested |= !lease->fenced && report_is_final(lease);
	if (lease->report_state == USAGE_THROTTLED || throttled)
		return;
	raise_to(&lease->peak.cores_milli, u->cores_milli);
	raise_to(&lease->peak.memory_mb, u->memory_mb);
	raise_to(&lease->peak.accelerators, u->accelerators);
}

void
tasks_drop_early_report(struct tasks *tasks, struct early_report *r)
{
	HASH_DEL(tasks->early_reports, r);
	free(r);
}

/*
 * After a fence, the worker reports the final state of the run under the epoch
 * of the fence, which is the lease's epoch + 1.
 */
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

/* Workers report each change only once, so an early report must be kept. */
static void
apply_early_report(struct tasks *tasks, struct task_lease *lease,
    const struct task *t, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, tasks->early_reports, &t->id, sizeof(t->id), r);
	if (r == NULL)
		return;
	if (report_matches(t, &r->usage))
		record_report(tasks, lease, &r->usage, t->throttled, now_us);
	if (r->usage.epoch <= t->epoch)
		tasks_drop_early_report(tasks, r);
}

struct task_lease *
tasks_get_lease(struct tasks *tasks, const struct task *t, int64_t now_us)
{
	struct task_lease *lease;

	HASH_FIND(hh, tasks->leases, &t->id, sizeof(t->id), lease);
	if (lease != NULL && lease->epoch != t->epoch) {
		tasks_drop_lease(tasks, lease);
		lease = NULL;
	}
	if (lease == NULL) {
		lease = calloc(1, sizeof(*lease));
		if (lease == NULL)
			err(1, "cannot allocate the state of a lease");
		lease->id = t->id;
		lease->epoch = t->epoch;
		HASH_ADD(hh, tasks->leases, id, sizeof(lease->id), lease);
		apply_early_report(tasks, lease, t, now_us);
	}
	return lease;
}

static void
pending_op_drop(struct tasks *tasks, uint64_t key)
{
	struct pending_op *pending;

	HASH_FIND(hh, tasks->pending_ops, &key, sizeof(key), pending);
	if (pending == NULL)
		return;
	HASH_DEL(tasks->pending_ops, pending);
	free(pending);
}

void
tasks_drop_lease(struct tasks *tasks, struct task_lease *lease)
{
	if (lease->op_in_flight != LEASE_OP_NONE)
		pending_op_drop(tasks, lease->op_key);
	HASH_DEL(tasks->leases, lease);
	free(lease);
}

bool
tasks_holder_is_local(const struct tasks_pass *pass, const struct task *t)
{
	const struct vm *vm = fold_vm(pass->daemon_view->fold, t->vm);

	return vm != NULL && vm->incarnation == t->incarnation &&
	    strcmp(vm->data_centre, pass->daemon_view->data_centre) == 0;
}

/*
 * Returns the idempotency key of an operation.  Every daemon derives the same
 * key for the first start and for the fence, so that a repeat has no effect.
 * Each renewal has its own key, because each one must extend the lease.
 */
static uint64_t
op_key(const struct tasks_pass *pass, const struct task_lease *lease,
    enum lease_op op)
{
	uint64_t parts[5] = {lease->id, lease->epoch, op, 0, 0};

	if (op == LEASE_OP_RENEW) {
		parts[3] = pass->daemon_view->incarnation;
		parts[4] = lease->renewal_count;
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
send_op(struct tasks_pass *pass, struct task_lease *lease, const struct task *t,
    enum lease_op op)
{
	struct pending_op *pending;
	struct effect *x;

	lease->op_key = op_key(pass, lease, op);
	lease->op_in_flight = op;
	lease->op_time_us = pass->daemon_view->now_us;
	x = effects_add(pass->effect_list, EFFECT_PLATFORM);
	x->u.platform.op = platform_op(op);
	x->u.platform.key = lease->op_key;
	memcpy(x->u.platform.vm, t->vm, sizeof(t->vm));
	x->u.platform.incarnation = t->incarnation;
	x->u.platform.task = t->id;
	x->u.platform.epoch =
	    op == LEASE_OP_FENCE ? lease->epoch + 1 : lease->epoch;
	x->u.platform.lease_s = pass->fold_view.text->tasks.lease_s;
	pending_op_drop(pass->local_state, lease->op_key);
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL)
		err(1, "cannot allocate the state of a lease");
	pending->key = lease->op_key;
	pending->id = lease->id;
	HASH_ADD(hh, pass->local_state->pending_ops, key, sizeof(pending->key),
	    pending);
	pass->local_state->counters.starts_sent += op == LEASE_OP_START;
	pass->local_state->counters.renewals_sent += op == LEASE_OP_RENEW;
	pass->local_state->counters.fences_sent += op == LEASE_OP_FENCE;
}

static void
record_op_done(struct task_lease *lease, enum lease_op op, int64_t now_us)
{
	switch (op) {
	case LEASE_OP_NONE:
		break;
	case LEASE_OP_START:
	case LEASE_OP_RENEW:
		lease->started = true;
		lease->consecutive_refusals = 0;
		lease->last_renewal_us = now_us;
		lease->renewal_count++;
		break;
	case LEASE_OP_THROTTLE:
		lease->throttled = true;
		break;
	case LEASE_OP_CHECKPOINT:
		lease->reported = true;
		lease->report_state = USAGE_CHECKPOINTED;
		break;
	case LEASE_OP_FENCE:
		lease->fenced = true;
		break;
	}
}

void
tasks_handle_op_result(
    struct tasks *tasks, const struct view *v, uint64_t key, bool done)
{
	struct pending_op *pending;
	struct task_lease *lease;
	enum lease_op op;

	HASH_FIND(hh, tasks->pending_ops, &key, sizeof(key), pending);
	if (pending == NULL)
		return;
	HASH_FIND(hh, tasks->leases, &pending->id, sizeof(pending->id), lease);
	pending_op_drop(tasks, key);
	if (lease == NULL || lease->op_in_flight == LEASE_OP_NONE ||
	    lease->op_key != key)
		return;
	op = lease->op_in_flight;
	lease->op_in_flight = LEASE_OP_NONE;
	lease->op_time_us = v->now_us + TASKS_OP_RETRY_DELAY_US;
	if (!done) {
		lease->consecutive_refusals +=
		    op == LEASE_OP_START || op == LEASE_OP_RENEW;
		return;
	}
	lease->op_time_us = v->now_us;
	tasks->pass_requested |= op != LEASE_OP_START && op != LEASE_OP_RENEW;
	record_op_done(lease, op, v->now_us);
}

/* True while an operation is in flight or waits for its retry. */
static bool
op_is_busy(struct tasks_pass *pass, struct task_lease *lease)
{
	if (lease->op_in_flight == LEASE_OP_NONE)
		return pass->daemon_view->now_us < lease->op_time_us;
	if (pass->daemon_view->now_us - lease->op_time_us < TASKS_OP_TIMEOUT_US)
		return true;
	pending_op_drop(pass->local_state, lease->op_key);
	lease->op_in_flight = LEASE_OP_NONE;
	return false;
}

static enum task_result
end_result(const struct task_lease *lease)
{
	if (!lease->reported)
		return TASK_RESULT_STOPPED;
	switch (lease->report_state) {
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

/*
 * Fences the worker with the next epoch first, and proposes the end of the
 * lease only once the worker has confirmed the fence.
 */
static void
fence_and_end(
    struct tasks_pass *pass, struct task_lease *lease, const struct task *t)
{
	if (!lease->fenced) {
		send_op(pass, lease, t, LEASE_OP_FENCE);
		return;
	}
	task_batch_end(
	    &pass->local_state->proposals, t->id, t->epoch, end_result(lease));
	lease->proposal_generation = pass->local_state->generation;
	if (pass->ending_count < TASKS_BATCH_MAX) {
		pass->endings[pass->ending_count].task = t;
		pass->endings[pass->ending_count++].charge = task_charge(t);
	}
	pass->local_state->counters.ends_proposed++;
}

static void
execute_stopping(
    struct tasks_pass *pass, struct task_lease *lease, const struct task *t)
{
	bool checkpoint = t->yield == TASK_YIELD_CHECKPOINT && !t->cancelled &&
	    lease->started;

	if (lease->fenced || report_is_final(lease) || !checkpoint) {
		fence_and_end(pass, lease, t);
		return;
	}
	if (lease->checkpoint_start_us == 0)
		lease->checkpoint_start_us = pass->daemon_view->now_us;
	if (pass->daemon_view->now_us - lease->checkpoint_start_us <=
	    TASKS_CHECKPOINT_TIMEOUT_US)
		send_op(pass, lease, t, LEASE_OP_CHECKPOINT);
	else
		fence_and_end(pass, lease, t);
}

static int64_t
lease_us(const struct tasks_pass *pass)
{
	return pass->fold_view.text->tasks.lease_s * US_PER_S;
}

/* True if the VM has left service or the pool that runs tasks. */
static bool
vm_is_withdrawn(const struct tasks_pass *pass, const struct task *t)
{
	const struct vm *vm = fold_vm(pass->daemon_view->fold, t->vm);

	return !fold_vm_serves(pass->daemon_view->fold, vm) ||
	    strcmp(vm->pool, pass->fold_view.text->tasks.pool) != 0;
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

/*
 * Proposes a corrected size.  A single report is enough to grow; a size shrinks
 * only after the peak has stayed low for SHRINK_DELAY_US.
 */
static void
correct_size(
    struct tasks_pass *pass, struct task_lease *lease, const struct task *t)
{
	struct task_size size = lease->peak;
	bool grown, shrunk;

	if (!lease->reported ||
	    (lease->last_correction_us != 0 &&
		pass->daemon_view->now_us - lease->last_correction_us <
		    CORRECTION_INTERVAL_US))
		return;
	grown = exceeds(size.cores_milli, t->size.cores_milli) ||
	    exceeds(size.memory_mb, t->size.memory_mb) ||
	    size.accelerators > t->size.accelerators;
	shrunk = pass->daemon_view->now_us - lease->peak_since_us >
		SHRINK_DELAY_US &&
	    (is_well_below(size.cores_milli, t->size.cores_milli) ||
		is_well_below(size.memory_mb, t->size.memory_mb));
	if (!grown && !shrunk)
		return;
	size.cores_milli = size.cores_milli * PEAK_MARGIN_PERCENT / 100;
	size.memory_mb = size.memory_mb * PEAK_MARGIN_PERCENT / 100;
	if (size.accelerators < t->declared.accelerators)
		size.accelerators = t->declared.accelerators;
	task_batch_usage(&pass->local_state->proposals, t->id, t->epoch, &size);
	lease->last_correction_us = pass->daemon_view->now_us;
	pass->local_state->counters.corrections_proposed++;
}

static void
execute_running(
    struct tasks_pass *pass, struct task_lease *lease, const struct task *t)
{
	/* Repeated refusals: another daemon has fenced this epoch. */
	if (report_is_final(lease) ||
	    lease->consecutive_refusals >= TASKS_REFUSALS_MAX) {
		fence_and_end(pass, lease, t);
		return;
	}
	if (vm_is_withdrawn(pass, t)) {
		task_batch_stop(&pass->local_state->proposals, t->id, t->epoch);
		lease->proposal_generation = pass->local_state->generation;
		pass->local_state->counters.stops_proposed++;
		return;
	}
	if (!lease->started)
		send_op(pass, lease, t, LEASE_OP_START);
	else if (t->throttled && !lease->throttled)
		send_op(pass, lease, t, LEASE_OP_THROTTLE);
	else if (pass->daemon_view->now_us - lease->last_renewal_us >
	    lease_us(pass) / RENEWALS_PER_LEASE)
		send_op(pass, lease, t, LEASE_OP_RENEW);
	else
		correct_size(pass, lease, t);
}

void
tasks_execute(struct tasks_pass *pass, const struct task *t)
{
	struct task_lease *lease =
	    tasks_get_lease(pass->local_state, t, pass->daemon_view->now_us);

	if (op_is_busy(pass, lease) ||
	    tasks_proposal_in_flight(
		pass->local_state, lease->proposal_generation))
		return;
	if (t->state == TASK_STOPPING)
		execute_stopping(pass, lease, t);
	else
		execute_running(pass, lease, t);
}

static void
save_early_report(
    struct tasks *tasks, const struct usage_entry *u, int64_t now_us)
{
	struct early_report *r;

	HASH_FIND(hh, tasks->early_reports, &u->task, sizeof(u->task), r);
	if (r == NULL) {
		if (HASH_COUNT(tasks->early_reports) >= TASKS_EARLY_REPORTS_MAX)
			return;
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			err(1, "cannot allocate a usage report");
		r->id = u->task;
		HASH_ADD(hh, tasks->early_reports, id, sizeof(r->id), r);
	}
	r->usage = *u;
	r->received_us = now_us;
}

void
tasks_handle_report(
    struct tasks *tasks, const struct view *v, const struct usage_entry *u)
{
	const struct task *t =
	    fold_tasks_get(fold_task_state(v->fold), u->task);

	if (t != NULL && report_matches(t, u))
		record_report(tasks, tasks_get_lease(tasks, t, v->now_us), u,
		    t->throttled, v->now_us);
	else if (u->task != 0 && (t == NULL || u->epoch > t->epoch))
		save_early_report(tasks, u, v->now_us);
}
