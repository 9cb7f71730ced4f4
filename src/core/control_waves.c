/*
 * Runs maintenance waves: opens a wave for the data centre, proposes its VMs
 * batch by batch, and lets each batch serve for the soak time before the next.
 * This only chooses what to propose; the fold decides what is admitted.
 */
#include <stdio.h>
#include <string.h>

#include "control_state.h"

#define WAVES_INTERVAL_US (500 * US_PER_MS)
#define WAVES_IDLE_INTERVAL_US (10 * US_PER_S) /* no maintenance pending */

static bool
wave_vm_is_pending(const struct view *v, const struct vm *r)
{
	return r->role == VM_WORKER && r->state == VM_SERVING &&
	    strcmp(r->data_centre, v->data_centre) == 0 &&
	    fold_vm_maintenance_due(v->fold, r);
}

static bool
waves_any_pending(const struct view *v)
{
	const struct vm *r;

	for (r = fold_vms(v->fold); r != NULL; r = r->hh.next)
		if (wave_vm_is_pending(v, r))
			return true;
	return false;
}

/*
 * True if no serving VM of the pool is reported as leaving.  The fold's budget
 * does not include losses that are not on record yet, so no VM of a pool with
 * such a loss is proposed.
 */
static bool
pool_losses_recorded(
    const struct control *c, const struct view *v, const char *pool)
{
	const struct leaving_vm *l;
	const struct vm *r;

	for (l = c->leaving_vms; l != NULL; l = l->hh.next) {
		r = fold_vm(v->fold, l->vm);
		if (r != NULL && r->state == VM_SERVING &&
		    strcmp(r->pool, pool) == 0)
			return false;
	}
	return true;
}

static bool
wave_vm_allowed(const struct control *c, const struct view *v,
    const struct vm *r, char *reason, size_t size)
{
	if (!fold_budget_allows(v->fold, r, reason, size))
		return false;
	if (pool_losses_recorded(c, v, r->pool))
		return true;
	snprintf(
	    reason, size, "pool %s: a VM loss is not on record yet", r->pool);
	return false;
}

/*
 * Sets "domain" to the first failure domain, by name, with a VM that may be
 * withdrawn now; "" if there is none.
 */
static void
wave_choose_domain(const struct control *c, const struct view *v, char *domain)
{
	char reason[ERR_MESSAGE_BYTES];
	const struct vm *r;
	bool found = false;

	domain[0] = '\0';
	for (r = fold_vms(v->fold); r != NULL; r = r->hh.next) {
		if (!wave_vm_is_pending(v, r) ||
		    (found && strcmp(r->failure_domain, domain) >= 0) ||
		    !wave_vm_allowed(c, v, r, reason, sizeof(reason)))
			continue;
		memcpy(domain, r->failure_domain, NAME_BYTES);
		found = true;
	}
}

static void
wave_propose_vms(
    struct control *c, const struct view *v, const struct fold_wave *w)
{
	char domain[NAME_BYTES], reason[ERR_MESSAGE_BYTES];
	int64_t remaining = w->batch_size - w->batch_admitted;
	const struct vm *r;
	struct withdrawal_entries e;

	memcpy(domain, w->failure_domain, sizeof(domain));
	if (domain[0] == '\0')
		wave_choose_domain(c, v, domain);
	entries_init(&e);
	for (r = fold_vms(v->fold); r != NULL && e.count < CONTROL_BATCH_MAX &&
	     (int64_t)e.count < remaining;
	     r = r->hh.next) {
		if (!wave_vm_is_pending(v, r) ||
		    strcmp(r->failure_domain, domain) != 0 ||
		    !wave_vm_allowed(c, v, r, reason, sizeof(reason)))
			continue;
		entries_add(&e, 4, WITHDRAWAL_LEAVE, r->name);
		wire_u64(&e.writer, "ep", r->epoch);
		wire_u64(&e.writer, "batch", w->batch);
	}
	if (e.count == 0) {
		msgpack_sbuffer_destroy(&e.writer.buffer);
		return;
	}
	control_propose(c, v, RECORD_DISRUPTION, entries_finish(&e, NULL, 0));
}

static void
wave_propose(struct control *c, const struct view *v, enum wave_op op,
    const struct fold_wave *w)
{
	struct wire_writer out;

	wire_writer_init(&out);
	wire_map(&out, 4);
	wire_u64(&out, "op", op);
	wire_str(&out, "dc", v->data_centre);
	wire_u64(&out, "wave", w != NULL ? w->id : 0);
	wire_u64(&out, "batch", w != NULL ? w->batch : 0);
	control_propose(c, v, RECORD_WAVE, wire_writer_finish(&out));
}

/*
 * True if the soak time has passed since the batch was complete.  The first
 * call for a batch starts the soak time.
 */
static bool
wave_batch_is_soaked(
    struct control *c, const struct view *v, const struct fold_wave *w)
{
	int soak_s = fold_text(v->fold)->maintenance.soak_s;

	if (c->soak_wave != w->id || c->soak_batch != w->batch) {
		c->soak_wave = w->id;
		c->soak_batch = w->batch;
		c->soak_start_us = v->now_us;
	}
	return v->now_us - c->soak_start_us >= soak_s * US_PER_S;
}

static void
wave_advance(struct control *c, const struct view *v, const struct fold_wave *w)
{
	bool full = w->batch_admitted >= w->batch_size;
	uint64_t proposals_before = c->proposals;

	if (!full)
		wave_propose_vms(c, v, w);
	if (c->proposals != proposals_before)
		return;
	if (w->batch_ended < w->batch_admitted)
		return;
	if (w->batch_admitted > 0 && !wave_batch_is_soaked(c, v, w))
		return;
	if (!waves_any_pending(v))
		wave_propose(c, v, WAVE_CLOSE, w);
	else if (w->batch_admitted > 0)
		wave_propose(c, v, WAVE_NEXT, w);
}

void
control_waves_tick(struct control *c, const struct view *v, struct effects *fx)
{
	const struct text *t = fold_text(v->fold);
	const struct fold_wave *w = fold_wave(v->fold, v->data_centre);

	(void)fx;
	if ((v->now_us < c->next_wave_check_us &&
		c->wave_checked_revision == fold_revision(v->fold)) ||
	    t == NULL || !control_may_act(c, v) || !control_appends_folded(v) ||
	    !peers_is_responsible(v->peers, v, "waves"))
		return;
	c->next_wave_check_us = v->now_us + WAVES_INTERVAL_US;
	c->wave_checked_revision = fold_revision(v->fold);
	if (w != NULL && !w->stopped) {
		wave_advance(c, v, w);
		return;
	}
	if (w != NULL || !t->maintenance.enabled)
		return;
	if (waves_any_pending(v))
		wave_propose(c, v, WAVE_OPEN, NULL);
	else
		c->next_wave_check_us = v->now_us + WAVES_IDLE_INTERVAL_US;
}

static struct json_object *
wave_dump(const struct fold_wave *w)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "wave", json_object_new_uint64(w->id));
	json_object_object_add(
	    o, "data_centre", json_object_new_string(w->data_centre));
	json_object_object_add(
	    o, "failure_domain", json_object_new_string(w->failure_domain));
	json_object_object_add(o, "batch", json_object_new_uint64(w->batch));
	json_object_object_add(
	    o, "batch_size", json_object_new_int64(w->batch_size));
	json_object_object_add(
	    o, "batch_admitted", json_object_new_int64(w->batch_admitted));
	json_object_object_add(
	    o, "batch_ended", json_object_new_int64(w->batch_ended));
	json_object_object_add(
	    o, "ended", json_object_new_int64(w->ended_count));
	json_object_object_add(
	    o, "failures", json_object_new_int64(w->failure_count));
	json_object_object_add(
	    o, "stopped", json_object_new_boolean(w->stopped));
	json_object_object_add(
	    o, "reason", json_object_new_string(w->stop_reason));
	return o;
}

struct json_object *
control_waves_plan(const struct control *c, const struct view *v)
{
	struct json_object *o = json_object_new_object(), *vm;
	struct json_object *pending = json_object_new_array();
	const struct fold_wave *w = fold_wave(v->fold, v->data_centre);
	char reason[ERR_MESSAGE_BYTES];
	const struct vm *r;
	unsigned n = 0;

	if (w != NULL)
		json_object_object_add(o, "wave", wave_dump(w));
	for (r = fold_vms(v->fold); r != NULL && n < CONTROL_BATCH_MAX;
	     r = r->hh.next) {
		if (!wave_vm_is_pending(v, r))
			continue;
		n++;
		reason[0] = '\0';
		vm = json_object_new_object();
		json_object_object_add(
		    vm, "vm", json_object_new_string(r->name));
		json_object_object_add(vm, "failure_domain",
		    json_object_new_string(r->failure_domain));
		json_object_object_add(vm, "allowed_now",
		    json_object_new_boolean(
			wave_vm_allowed(c, v, r, reason, sizeof(reason))));
		json_object_object_add(
		    vm, "reason", json_object_new_string(reason));
		json_object_array_add(pending, vm);
	}
	json_object_object_add(o, "due", pending);
	return o;
}
