/*
 * Carries out withdrawals that every daemon has acknowledged: operations of
 * the platform, keyed so that a repeat does nothing, until the fold shows the
 * end.  Another daemon can take over at any point.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define EXEC_EVERY_US (100 * US_PER_MS)
#define EXEC_RETRY_US (1 * US_PER_S)
#define EXEC_RESULT_US (30 * US_PER_S) /* an operation without a result */
/* A VM that is not back so long after its reboot has failed. */
#define EXEC_REBOOT_US (300 * US_PER_S)
#define EXEC_READ_US (15 * US_PER_S) /* the log must be read this often */

bool
control_may_act(const struct control *c, const struct view *v)
{
	return v->ready && !v->stopping && !c->log_down && c->stale == 0 &&
	    v->now_us - c->log_read_us <= EXEC_READ_US;
}

void
control_exec_free(struct control *c)
{
	struct exec *x, *tmp;

	HASH_ITER(hh, c->execs, x, tmp)
	{
		HASH_DEL(c->execs, x);
		free(x);
	}
}

static struct exec *
exec_get(struct control *c, const struct vm *r, const struct view *v)
{
	struct exec *x;

	HASH_FIND(hh, c->execs, &r->withdrawal, sizeof(r->withdrawal), x);
	if (x != NULL)
		return x;
	x = calloc(1, sizeof(*x));
	if (x == NULL)
		err(1, "control");
	x->withdrawal = r->withdrawal;
	memcpy(x->vm, r->name, sizeof(x->vm));
	x->stage = r->target_pool[0] != '\0' ? EXEC_ACT : EXEC_DRAIN;
	x->since_us = v->now_us;
	HASH_ADD(hh, c->execs, withdrawal, sizeof(x->withdrawal), x);
	return x;
}

static enum platform_op
exec_op(const struct exec *x, const struct vm *r)
{
	if (x->stage == EXEC_DRAIN)
		return PLATFORM_DRAIN;
	return r->target_pool[0] != '\0' ? PLATFORM_ASSIGN : PLATFORM_REBOOT;
}

/* The list shows the VM as we know it; else its record is about to change. */
static bool
exec_vm_present(const struct control *c, const struct vm *r)
{
	const struct seen_vm *s;

	HASH_FIND_STR(c->seen, r->name, s);
	return s == NULL ||
	    (s->entry.incarnation == r->incarnation && s->missed == 0 &&
		s->entry.state != VM_LIST_GONE);
}

static void
exec_send(struct exec *x, const struct vm *r, const struct view *v,
    struct effects *fx)
{
	struct effect *e;

	e = effects_add(fx, EFFECT_PLATFORM);
	e->u.platform.op = exec_op(x, r);
	e->u.platform.key = withdrawal_key(r->withdrawal, e->u.platform.op);
	memcpy(e->u.platform.vm, r->name, sizeof(e->u.platform.vm));
	e->u.platform.incarnation = r->incarnation;
	memcpy(e->u.platform.pool, r->target_pool, sizeof(e->u.platform.pool));
	x->key = e->u.platform.key;
	x->next_us = v->now_us + EXEC_RESULT_US;
}

static void
exec_run(struct control *c, const struct vm *r, const struct view *v,
    struct effects *fx)
{
	struct exec *x = exec_get(c, r, v);

	if (x->stage == EXEC_WAIT || v->now_us < x->next_us ||
	    !exec_vm_present(c, r))
		return;
	exec_send(x, r, v, fx);
}

void
control_exec_result(
    struct control *c, const struct view *v, const struct event *ev)
{
	struct exec *x;

	for (x = c->execs; x != NULL; x = x->hh.next)
		if (x->key == ev->u.platform.key)
			break;
	if (x == NULL)
		return;
	x->key = 0;
	x->next_us = v->now_us + EXEC_RETRY_US;
	if (ev->u.platform.outcome != APPEND_DONE)
		return;
	x->stage = x->stage == EXEC_DRAIN ? EXEC_ACT : EXEC_WAIT;
	x->since_us = v->now_us;
	x->next_us = v->now_us;
}

/* What an exec that waits has to record now; -1 for nothing. */
static int
exec_outcome(const struct control *c, const struct exec *x, const struct vm *r,
    const struct view *v)
{
	bool move = r->target_pool[0] != '\0';

	if (x->stage != EXEC_WAIT && exec_vm_present(c, r))
		return -1;
	if (move)
		return x->stage == EXEC_WAIT ? WITHDRAWAL_ENDED : -1;
	if (v->now_us - x->since_us > EXEC_REBOOT_US)
		return WITHDRAWAL_FAILED;
	return -1;
}

static void
exec_record(struct control *c, const struct view *v, bool moves)
{
	const struct exec *x;
	const struct vm *r;
	struct entries e;
	int outcome;

	entries_init(&e);
	for (x = c->execs; x != NULL && e.count < CONTROL_BATCH;
	     x = x->hh.next) {
		r = fold_vm(v->fold, x->vm);
		if (r == NULL || r->withdrawal != x->withdrawal ||
		    (r->target_pool[0] != '\0') != moves)
			continue;
		outcome = exec_outcome(c, x, r, v);
		if (outcome == -1)
			continue;
		entries_add(&e, 3, (enum withdrawal_op)outcome, r->name);
		wire_u64(&e.w, "key", r->withdrawal);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.w.sbuf);
		return;
	}
	control_propose(c, v, moves ? RECORD_MOVE : RECORD_DISRUPTION,
	    entries_take(&e, NULL, 0));
}

static void
exec_prune(struct control *c, const struct view *v)
{
	struct exec *x, *tmp;
	const struct vm *r;

	HASH_ITER(hh, c->execs, x, tmp)
	{
		r = fold_vm(v->fold, x->vm);
		if (r != NULL && r->withdrawal == x->withdrawal)
			continue;
		HASH_DEL(c->execs, x);
		free(x);
	}
}

void
control_exec_tick(struct control *c, const struct view *v, struct effects *fx)
{
	const struct vm *r;

	if (v->now_us - c->executed_us < EXEC_EVERY_US)
		return;
	c->executed_us = v->now_us;
	exec_prune(c, v);
	if (fold_withdrawn(v->fold) == 0 || !control_may_act(c, v) ||
	    !peers_is_responsible(v->peers, v, "moves"))
		return;
	LIST_FOREACH(r, fold_idle_vms(v->fold), idle)
		if (r->state == VM_OUT && r->withdrawal != 0 &&
		    strcmp(r->data_centre, v->data_centre) == 0)
			exec_run(c, r, v, fx);
	if (control_settled(v))
		exec_record(c, v, true);
	if (control_settled(v))
		exec_record(c, v, false);
}
