/*
 * Executes withdrawals that every daemon has acknowledged.  Platform
 * operations are retried until the fold shows the end of the withdrawal; their
 * idempotency key makes repeats harmless.  Another daemon can therefore take
 * over at any point.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define EXEC_INTERVAL_US (100 * US_PER_MS)
#define EXEC_RETRY_DELAY_US (1 * US_PER_S)
#define EXEC_RESULT_TIMEOUT_US (30 * US_PER_S) /* platform operation */
/* Maintenance fails if the VM is not back this long after its reboot. */
#define EXEC_REBOOT_TIMEOUT_US (300 * US_PER_S)
/* Nothing is executed if the last log read is older than this. */
#define LOG_READ_MAX_AGE_US (15 * US_PER_S)

bool
control_may_act(const struct control *c, const struct view *v)
{
	return v->ready && !v->stopping && !c->log_down &&
	    c->fresh_reads_needed == 0 &&
	    v->now_us - c->last_log_read_us <= LOG_READ_MAX_AGE_US;
}

void
control_exec_free(struct control *c)
{
	struct execution *x, *tmp;

	HASH_ITER(hh, c->executions, x, tmp)
	{
		HASH_DEL(c->executions, x);
		free(x);
	}
}

static struct execution *
exec_get(struct control *c, const struct vm *r, const struct view *v)
{
	struct execution *x;

	HASH_FIND(
	    hh, c->executions, &r->withdrawal_id, sizeof(r->withdrawal_id), x);
	if (x != NULL)
		return x;
	x = calloc(1, sizeof(*x));
	if (x == NULL)
		err(1, "control");
	x->withdrawal = r->withdrawal_id;
	memcpy(x->vm, r->name, sizeof(x->vm));
	x->stage = r->target_pool[0] != '\0' ? EXEC_APPLY : EXEC_DRAIN;
	x->stage_since_us = v->now_us;
	HASH_ADD(hh, c->executions, withdrawal, sizeof(x->withdrawal), x);
	return x;
}

static enum platform_op
exec_platform_op(const struct execution *x, const struct vm *r)
{
	if (x->stage == EXEC_DRAIN)
		return PLATFORM_DRAIN;
	return r->target_pool[0] != '\0' ? PLATFORM_ASSIGN : PLATFORM_REBOOT;
}

/*
 * False if the VM list shows the VM as missing, gone or in another
 * incarnation; its record is then about to change.
 */
static bool
exec_vm_present(const struct control *c, const struct vm *r)
{
	const struct listed_vm *lv;

	HASH_FIND_STR(c->listed_vms, r->name, lv);
	return lv == NULL ||
	    (lv->entry.incarnation == r->incarnation && lv->missed_lists == 0 &&
		lv->entry.state != VM_LIST_GONE);
}

static void
exec_send_operation(struct execution *x, const struct vm *r,
    const struct view *v, struct effects *fx)
{
	struct effect *e;

	e = effects_add(fx, EFFECT_PLATFORM);
	e->u.platform.op = exec_platform_op(x, r);
	e->u.platform.key = withdrawal_key(r->withdrawal_id, e->u.platform.op);
	memcpy(e->u.platform.vm, r->name, sizeof(e->u.platform.vm));
	e->u.platform.incarnation = r->incarnation;
	memcpy(e->u.platform.pool, r->target_pool, sizeof(e->u.platform.pool));
	x->pending_key = e->u.platform.key;
	x->next_attempt_us = v->now_us + EXEC_RESULT_TIMEOUT_US;
}

static void
exec_start_operation(struct control *c, const struct vm *r,
    const struct view *v, struct effects *fx)
{
	struct execution *x = exec_get(c, r, v);

	if (x->stage == EXEC_CONFIRM || v->now_us < x->next_attempt_us ||
	    !exec_vm_present(c, r))
		return;
	exec_send_operation(x, r, v, fx);
}

void
control_exec_handle_result(
    struct control *c, const struct view *v, const struct event *ev)
{
	struct execution *x;

	for (x = c->executions; x != NULL; x = x->hh.next)
		if (x->pending_key == ev->u.platform.key)
			break;
	if (x == NULL)
		return;
	x->pending_key = 0;
	x->next_attempt_us = v->now_us + EXEC_RETRY_DELAY_US;
	if (ev->u.platform.outcome != APPEND_DONE)
		return;
	x->stage = x->stage == EXEC_DRAIN ? EXEC_APPLY : EXEC_CONFIRM;
	x->stage_since_us = v->now_us;
	x->next_attempt_us = v->now_us;
}

/* Operation to record for this withdrawal now, -1: none. */
static int
exec_final_op(const struct control *c, const struct execution *x,
    const struct vm *r, const struct view *v)
{
	bool move = r->target_pool[0] != '\0';

	if (x->stage != EXEC_CONFIRM && exec_vm_present(c, r))
		return -1;
	if (move)
		return x->stage == EXEC_CONFIRM ? WITHDRAWAL_ENDED : -1;
	if (v->now_us - x->stage_since_us > EXEC_REBOOT_TIMEOUT_US)
		return WITHDRAWAL_FAILED;
	return -1;
}

static void
exec_propose_outcomes(struct control *c, const struct view *v, bool moves)
{
	const struct execution *x;
	const struct vm *r;
	struct withdrawal_entries e;
	int outcome;

	entries_init(&e);
	for (x = c->executions; x != NULL && e.count < CONTROL_BATCH_MAX;
	     x = x->hh.next) {
		r = fold_vm(v->fold, x->vm);
		if (r == NULL || r->withdrawal_id != x->withdrawal ||
		    (r->target_pool[0] != '\0') != moves)
			continue;
		outcome = exec_final_op(c, x, r, v);
		if (outcome == -1)
			continue;
		entries_add(&e, 3, (enum withdrawal_op)outcome, r->name);
		wire_u64(&e.writer, "key", r->withdrawal_id);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.writer.buffer);
		return;
	}
	control_propose(c, v, moves ? RECORD_MOVE : RECORD_DISRUPTION,
	    entries_finish(&e, NULL, 0));
}

static void
exec_prune(struct control *c, const struct view *v)
{
	struct execution *x, *tmp;
	const struct vm *r;

	HASH_ITER(hh, c->executions, x, tmp)
	{
		r = fold_vm(v->fold, x->vm);
		if (r != NULL && r->withdrawal_id == x->withdrawal)
			continue;
		HASH_DEL(c->executions, x);
		free(x);
	}
}

void
control_exec_tick(struct control *c, const struct view *v, struct effects *fx)
{
	const struct vm *r;

	if (v->now_us - c->last_exec_us < EXEC_INTERVAL_US)
		return;
	c->last_exec_us = v->now_us;
	exec_prune(c, v);
	if (fold_withdrawn_count(v->fold) == 0 || !control_may_act(c, v) ||
	    !peers_is_responsible(v->peers, v, "moves"))
		return;
	LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable)
		if (r->state == VM_OUT && r->withdrawal_id != 0 &&
		    strcmp(r->data_centre, v->data_centre) == 0)
			exec_start_operation(c, r, v, fx);
	if (control_appends_folded(v))
		exec_propose_outcomes(c, v, true);
	if (control_appends_folded(v))
		exec_propose_outcomes(c, v, false);
}
