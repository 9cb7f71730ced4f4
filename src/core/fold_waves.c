/*
 * Maintenance waves.  A wave processes its data centre in batches of one
 * failure domain each.  The first batch is a small canary; later batches grow.
 * A wave stops when max_failures of its VMs have failed, and resumes when
 * operators raise "resume" in the text.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fold_state.h"

static struct fold_wave *
wave_find(const struct fold *f, const char *data_centre)
{
	struct fold_wave *w;

	HASH_FIND_STR(f->waves, data_centre, w);
	return w;
}

const struct fold_wave *
fold_wave(const struct fold *f, const char *data_centre)
{
	return wave_find(f, data_centre);
}

static struct fold_wave *
wave_find_of_vm(const struct fold *f, const struct vm *v)
{
	struct fold_wave *w = wave_find(f, v->data_centre);

	return w != NULL && w->id == v->wave_id ? w : NULL;
}

void
fold_wave_vm_returned(struct fold *f, struct vm *v)
{
	struct fold_wave *w = wave_find_of_vm(f, v);

	v->maintained_ms = fold_timestamp_ms(f);
	if (w == NULL)
		return;
	if (v->wave_batch == w->batch)
		w->batch_ended++;
	w->ended_count++;
}

void
fold_wave_vm_failed(struct fold *f, const struct vm *v, bool outstanding)
{
	struct fold_wave *w = wave_find_of_vm(f, v);

	if (w == NULL || v->wave_batch != w->batch)
		return;
	if (outstanding)
		w->batch_ended++;
	w->failure_count++;
	if (f->text == NULL || w->stopped ||
	    w->failure_count < f->text->maintenance.max_failures)
		return;
	w->stopped = true;
	snprintf(w->stop_reason, sizeof(w->stop_reason),
	    "%lld VMs failed, the last was %s in batch %llu (failure domain "
	    "%s)",
	    (long long)w->failure_count, v->name, (unsigned long long)w->batch,
	    w->failure_domain);
}

void
fold_waves_resume(struct fold *f)
{
	struct fold_wave *w;

	for (w = f->waves; w != NULL; w = w->hh.next) {
		if (!w->stopped ||
		    f->text->maintenance.resume <= w->config_resume)
			continue;
		w->stopped = false;
		w->failure_count = 0;
		w->config_resume = f->text->maintenance.resume;
		w->stop_reason[0] = '\0';
	}
}

static bool
fold_wave_open(struct fold *f, const struct fold_input *in, const char *dc)
{
	struct fold_wave *w;

	if (f->text == NULL || !f->text->maintenance.enabled ||
	    wave_find(f, dc) != NULL)
		return false;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		err(1, "fold");
	w->id = in->record->offset;
	memcpy(w->data_centre, dc, strlen(dc) + 1);
	w->batch = 1;
	w->batch_size = f->text->maintenance.canary;
	w->config_resume = f->text->maintenance.resume;
	HASH_ADD_STR(f->waves, data_centre, w);
	return true;
}

/* Begins the next batch, once all VMs of the current batch have ended. */
static bool
fold_wave_next(struct fold *f, struct fold_wave *w)
{
	const struct text_maintenance *m = &f->text->maintenance;
	if (w->stopped || w->batch_admitted == 0 ||
	    w->batch_ended < w->batch_admitted)
		return false;
	w->batch++;
	w->batch_size *= m->growth;
	if (w->batch_size > m->max_batch)
		w->batch_size = m->max_batch;
	w->batch_admitted = 0;
	w->batch_ended = 0;
	w->failure_domain[0] = '\0';
	return true;
}

static bool
fold_wave_stop(struct fold_wave *w, const msgpack_object *body)
{
	if (w->stopped)
		return false;
	w->stopped = true;
	if (!wire_get_str(body, "why", w->stop_reason, sizeof(w->stop_reason)))
		snprintf(w->stop_reason, sizeof(w->stop_reason),
		    "stopped by a daemon");
	return true;
}

static bool
fold_wave_close(struct fold *f, struct fold_wave *w)
{
	if (w->stopped || w->batch_ended < w->batch_admitted)
		return false;
	HASH_DEL(f->waves, w);
	free(w);
	return true;
}

/* Applies {"op", "dc", "wave", "batch", "why"}. */
bool
fold_waves_apply(struct fold *f, const struct fold_input *in)
{
	char dc[NAME_BYTES];
	struct fold_wave *w;
	uint64_t op, id, batch;

	if (!wire_get_u64(in->body, "op", &op) ||
	    !wire_get_str(in->body, "dc", dc, sizeof(dc)) || dc[0] == '\0' ||
	    !fold_author_may_propose(f, in->record, dc))
		return false;
	if (op == WAVE_OPEN)
		return fold_wave_open(f, in, dc);
	w = wave_find(f, dc);
	if (w == NULL || !wire_get_u64(in->body, "wave", &id) || id != w->id)
		return false;
	switch ((enum wave_op)op) {
	case WAVE_NEXT:
		return wire_get_u64(in->body, "batch", &batch) &&
		    batch == w->batch && fold_wave_next(f, w);
	case WAVE_STOP:
		return fold_wave_stop(w, in->body);
	case WAVE_CLOSE:
		return fold_wave_close(f, w);
	case WAVE_OPEN:
		break;
	}
	return false;
}

static bool
wave_admits(const struct fold *f, const struct fold_wave *w, const struct vm *v,
    uint64_t batch)
{
	if (w == NULL || w->stopped || w->batch != batch ||
	    w->batch_admitted >= w->batch_size)
		return false;
	if (w->failure_domain[0] != '\0' &&
	    strcmp(w->failure_domain, v->failure_domain) != 0)
		return false;
	return fold_vm_maintenance_due(f, v);
}

/*
 * {"op": WITHDRAWAL_LEAVE, "vm", "ep", "batch"}: takes a VM out of service for
 * maintenance.
 */
static bool
fold_disruption_leave(struct fold *f, const struct fold_input *in,
    const msgpack_object *o, uint32_t index)
{
	char name[NAME_BYTES], reason[ERR_MESSAGE_BYTES];
	struct fold_wave *w;
	uint64_t epoch, batch;
	struct vm *v;

	if (!wire_get_str(o, "vm", name, sizeof(name)) ||
	    !wire_get_u64(o, "ep", &epoch) || !wire_get_u64(o, "batch", &batch))
		return false;
	v = fold_vm_find(f, name);
	if (v == NULL || v->epoch != epoch || v->state != VM_SERVING)
		return false;
	w = wave_find(f, v->data_centre);
	if (!wave_admits(f, w, v, batch) ||
	    !fold_author_may_propose(f, in->record, v->data_centre) ||
	    !fold_budget_allows(f, v, reason, sizeof(reason)))
		return false;
	w->batch_admitted++;
	memcpy(w->failure_domain, v->failure_domain, sizeof(w->failure_domain));
	v->wave_id = w->id;
	v->wave_batch = w->batch;
	fold_withdraw(f, v, in, index, "");
	return true;
}

static bool
fold_disruption_ended(struct fold *f, const struct fold_input *in,
    const msgpack_object *o, bool ok)
{
	struct vm *v = fold_find_withdrawn_vm(f, o);

	if (v == NULL || v->target_pool[0] != '\0')
		return false;
	if (ok && v->state != VM_OUT)
		return false;
	if (ok)
		fold_wave_vm_returned(f, v);
	else
		fold_wave_vm_failed(f, v, true);
	fold_withdrawal_end(
	    f, v, ok ? VM_SERVING : VM_LOST, in->record->offset);
	return true;
}

static bool
fold_disruption_entry(struct fold *f, const struct fold_input *in,
    const msgpack_object *o, uint32_t index)
{
	uint64_t op;

	if (!wire_get_u64(o, "op", &op))
		return false;
	switch ((enum withdrawal_op)op) {
	case WITHDRAWAL_LEAVE:
		return fold_disruption_leave(f, in, o, index);
	case WITHDRAWAL_ACKED:
		return fold_apply_withdrawal_ack(f, in, o);
	case WITHDRAWAL_ENDED:
		return fold_disruption_ended(f, in, o, true);
	case WITHDRAWAL_FAILED:
		return fold_disruption_ended(f, in, o, false);
	case WITHDRAWAL_CANCELLED:
		break;
	}
	return false;
}

bool
fold_disruptions_apply(struct fold *f, const struct fold_input *in)
{
	return fold_entries_apply(f, in, fold_disruption_entry);
}
