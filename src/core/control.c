#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "control_state.h"
#include "metric.h"

#define CONTROL_READ_BACKOFF_US (300 * US_PER_MS) /* mean, jittered */
/* A longer time between two steps means that the process was paused. */
#define CONTROL_PAUSE_MIN_US (2 * US_PER_S)
#define CONTROL_READS_AFTER_PAUSE 2

struct control *
control_new(void)
{
	return calloc(1, sizeof(struct control));
}

void
control_free(struct control *c)
{
	if (c == NULL)
		return;
	control_vms_free(c);
	control_leaving_free(c);
	control_acks_free(c);
	control_exec_free(c);
	control_recover_free(c);
	free(c);
}

bool
control_appends_folded(const struct view *v)
{
	return appender_pending(v->appender, STREAM_CONTROL) == 0 &&
	    fold_next(v->fold) >
	    appender_last_done_offset(v->appender, STREAM_CONTROL);
}

bool
control_propose(
    struct control *c, const struct view *v, unsigned kind, struct buf *body)
{
	if (appender_push(v->appender, STREAM_CONTROL, kind, body) == 0)
		return false;
	c->proposals++;
	return true;
}

static void
control_start_read(struct control *c, const struct fold *f, struct effects *fx)
{
	struct effect *x;

	c->read_pending = true;
	x = effects_add(fx, EFFECT_READ);
	x->u.read.stream = STREAM_CONTROL;
	x->u.read.from = fold_next(f);
}

static void
control_handle_batch(struct control *c, struct fold *f, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	size_t i;

	c->read_pending = false;
	c->log_down = false;
	c->last_log_read_us = v->now_us;
	if (c->fresh_reads_needed > 0 &&
	    ev->u.log_batch.next >= ev->u.log_batch.tail)
		c->fresh_reads_needed--;
	if (c->discard_read) {
		c->discard_read = false;
		control_start_read(c, f, fx);
		return;
	}
	c->first_retained_offset = ev->u.log_batch.first;
	c->malformed_records += ev->u.log_batch.bad;
	if (!c->catchup_known) {
		c->catchup_known = true;
		c->catchup_offset = ev->u.log_batch.tail;
	}
	for (i = 0; i < ev->u.log_batch.count; i++)
		fold_apply(f, &ev->u.log_batch.records[i]);
	fold_skip_to(f, ev->u.log_batch.next);
	control_start_read(c, f, fx);
}

/*
 * Proposes to put this daemon on record, so that every later move waits for
 * its acknowledgement too.
 */
static void
control_register(struct control *c, const struct view *v)
{
	struct wire_writer w;

	if (c->registration_pending || v->stopping)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 5);
	wire_u64(&w, "p", v->self);
	wire_u64(&w, "inc", v->incarnation);
	wire_str(&w, "name", v->name);
	wire_str(&w, "dc", v->data_centre);
	wire_u64(&w, "st", VM_REPORT_LIVE);
	c->registration_pending =
	    control_propose(c, v, RECORD_VM, wire_writer_finish(&w));
}

static bool
control_is_registered(const struct fold *f, const struct view *v)
{
	const struct fold_daemon *d = fold_daemon(f, v->self);

	return d != NULL && d->incarnation == v->incarnation;
}

/*
 * During a planned stop, once no request is open, proposes to take this
 * daemon off the record so that no withdrawal waits for its acknowledgement.
 */
static void
control_deregister(struct control *c, const struct view *v)
{
	struct wire_writer w;

	if (!v->stopping || c->departure_proposed ||
	    path_open_count(v->path) > 0 ||
	    (!control_is_registered(v->fold, v) && !c->registration_pending))
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 3);
	wire_u64(&w, "p", v->self);
	wire_u64(&w, "inc", v->incarnation);
	wire_u64(&w, "st", VM_REPORT_GONE);
	c->departure_proposed =
	    control_propose(c, v, RECORD_VM, wire_writer_finish(&w));
}

static void
control_handle_frame(struct control *c, const struct view *v,
    const struct frame *f, struct effects *fx)
{
	if (f->kind == FRAME_LEAVING)
		control_leaving_handle_frame(c, v, f);
	else if (f->kind == FRAME_LEAVING_ACK)
		control_acks_handle_frame(c, v, f);
	else if (f->kind == FRAME_STATE_REQUEST || f->kind == FRAME_STATE_CHUNK)
		control_recover_handle_frame(c, v, f, fx);
}

static void
control_set_ready(
    struct control *c, const struct fold *f, bool ready, struct effects *fx)
{
	if (ready != c->ready)
		effects_log(fx, LOG_LEVEL_INFO,
		    "event=%s offset=%llu config=%llu",
		    ready ? "ready" : "not-ready",
		    (unsigned long long)fold_next(f),
		    (unsigned long long)fold_config_version(f));
	c->ready = ready;
}

/*
 * The daemon is ready once it is on record and has read the log up to a tail
 * seen after its start.  Until it is on record, it is also ready with the
 * state of a peer that waits for its acknowledgements.
 */
static void
control_update_ready(struct control *c, const struct fold *f,
    const struct view *v, struct effects *fx)
{
	bool caught_up = c->catchup_known &&
	    fold_next(f) >= c->catchup_offset && !c->recovery.gap;

	if (control_is_registered(f, v)) {
		c->registration_pending = false;
		c->counted_by_peer = false;
		if (caught_up)
			control_set_ready(c, f, true, fx);
		return;
	}
	control_set_ready(c, f, c->counted_by_peer, fx);
	if (caught_up)
		control_register(c, v);
}

/* Replaces the fold with a recovered state, if there is a newer one. */
static void
control_adopt_recovered(struct control *c, struct fold **f,
    const struct view *v, struct effects *fx)
{
	struct fold *recovered = control_recover_take_fold(c, *f);

	if (recovered == NULL)
		return;
	effects_log(fx, LOG_LEVEL_INFO,
	    "event=state-adopted offset=%llu before=%llu",
	    (unsigned long long)fold_next(recovered),
	    (unsigned long long)fold_next(*f));
	fold_free(*f);
	*f = recovered;
	c->discard_read = c->read_pending;
	c->next_read_us = v->now_us;
	control_update_ready(c, *f, v, fx);
}

static void
control_handle_log_error(
    struct control *c, const struct view *v, struct effects *fx)
{
	if (!c->log_down)
		effects_log(fx, LOG_LEVEL_WARN,
		    "event=log-down next=%llu remedy=\"check the platform's "
		    "log service; requests go on with what is known\"",
		    (unsigned long long)fold_next(v->fold));
	c->read_pending = false;
	c->discard_read = false;
	c->log_down = true;
	c->log_errors++;
	c->next_read_us = v->now_us + CONTROL_READ_BACKOFF_US / 2 +
	    (int64_t)prng_below(v->prng, CONTROL_READ_BACKOFF_US);
}

static void
control_tick(
    struct control *c, struct fold *f, const struct view *v, struct effects *fx)
{
	if (!c->read_pending && !c->recovery.gap &&
	    v->now_us >= c->next_read_us)
		control_start_read(c, f, fx);
	control_update_ready(c, f, v, fx);
	if (c->pruned_revision != fold_revision(f)) {
		c->pruned_revision = fold_revision(f);
		control_leaving_prune(c, v);
	}
	control_vms_tick(c, v, fx);
	control_leaving_notify(c, v, fx);
	control_acks_tick(c, v, fx);
	control_exec_tick(c, v, fx);
	control_waves_tick(c, v, fx);
	control_snapshot_tick(c, v);
	control_recover_tick(c, v, fx);
}

/*
 * After a pause of the process, nothing is executed until the log has been
 * read to its tail again.  Two reads are needed because the answer to the
 * first may date from before the pause.
 */
static void
control_detect_pause(
    struct control *c, const struct view *v, struct effects *fx)
{
	if (c->last_step_us != 0 &&
	    v->now_us - c->last_step_us > CONTROL_PAUSE_MIN_US) {
		c->fresh_reads_needed = CONTROL_READS_AFTER_PAUSE;
		c->pause_count++;
		effects_log(fx, LOG_LEVEL_WARN, "event=paused ms=%lld",
		    (long long)((v->now_us - c->last_step_us) / US_PER_MS));
	}
	c->last_step_us = v->now_us;
}

void
control_step(struct control *c, struct fold **f, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	if (!c->started) {
		/* The shell starts the first read, at offset 0. */
		c->started = true;
		c->read_pending = true;
		c->start_us = v->now_us;
	}
	control_detect_pause(c, v, fx);
	switch (ev->kind) {
	case EVENT_LOG_BATCH:
		if (control_recover_handle_batch(c, v, ev, fx) ||
		    ev->u.log_batch.stream != STREAM_CONTROL)
			break;
		control_handle_batch(c, *f, v, ev, fx);
		control_update_ready(c, *f, v, fx);
		control_leaving_prune(c, v);
		control_leaving_notify(c, v, fx);
		break;
	case EVENT_LOG_GAP:
		if (ev->u.log_gap.stream == STREAM_CONTROL) {
			c->read_pending = false;
			c->discard_read = false;
		}
		control_recover_handle_gap(c, v, ev, fx);
		break;
	case EVENT_LOG_ERROR:
		control_recover_handle_error(c, v, ev);
		if (ev->u.log_error.stream == STREAM_CONTROL)
			control_handle_log_error(c, v, fx);
		break;
	case EVENT_VM_LIST:
		control_vms_handle_list(c, v, ev);
		c->next_propose_us = 0;
		control_vms_tick(c, v, fx);
		control_leaving_notify(c, v, fx);
		break;
	case EVENT_PEER_UP:
		c->notified_revision = 0;
		break;
	case EVENT_PEER_FRAME:
		control_handle_frame(c, v, ev->u.peer_frame.frame, fx);
		break;
	case EVENT_PLATFORM_RESULT:
		control_exec_handle_result(c, v, ev);
		break;
	case EVENT_TICK:
		control_tick(c, *f, v, fx);
		break;
	default:
		break;
	}
	control_deregister(c, v);
	control_snapshot_step(c, v);
	control_adopt_recovered(c, f, v, fx);
}

bool
control_is_deregistered(const struct control *c)
{
	return c->departure_proposed || (!c->ready && !c->registration_pending);
}

bool
control_ready(const struct control *c)
{
	return c->ready;
}

bool
control_log_down(const struct control *c)
{
	return c->log_down;
}

struct json_object *
control_plan(const struct control *c, const struct view *v)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "maintenance", control_waves_plan(c, v));
	return o;
}

struct json_object *
control_dump(const struct control *c)
{
	struct json_object *o = json_object_new_object();
	struct json_object *leaving = json_object_new_array();
	const struct leaving_vm *l;

	json_object_object_add(o, "ready", json_object_new_boolean(c->ready));
	json_object_object_add(
	    o, "log_down", json_object_new_boolean(c->log_down));
	json_object_object_add(
	    o, "goal", json_object_new_uint64(c->catchup_offset));
	json_object_object_add(
	    o, "seen_vms", json_object_new_int64(HASH_COUNT(c->listed_vms)));
	for (l = c->leaving_vms; l != NULL; l = l->hh.next)
		json_object_array_add(leaving, json_object_new_string(l->vm));
	json_object_object_add(o, "leaving", leaving);
	return o;
}

void
control_metrics(const struct control *c, struct buf *out)
{
	metric_gauge(out, "ready", "1 where requests are taken.", "", c->ready);
	metric_gauge(out, "log_down", "1 where the log cannot be read.", "",
	    c->log_down);
	metric_counter(out, "log_errors_total", "Failed reads of the log.", "",
	    c->log_errors);
	metric_counter(out, "log_gaps_total",
	    "Times that the log was cut past this daemon's offset.", "",
	    c->log_gaps);
	metric_counter(out, "log_bad_records_total",
	    "Log records that could not be decoded.", "", c->malformed_records);
	metric_counter(
	    out, "proposals_total", "Proposals appended.", "", c->proposals);
}
