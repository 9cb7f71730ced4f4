#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "control_state.h"
#include "metric.h"

#define CONTROL_READ_BACKOFF_US (300 * US_PER_MS)
#define CONTROL_PAUSE_US (2 * US_PER_S) /* without a step: we were paused */
#define CONTROL_STALE_READS 2

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
control_settled(const struct view *v)
{
	return appender_pending(v->appender, STREAM_CONTROL) == 0 &&
	    fold_next(v->fold) >
	    appender_done_offset(v->appender, STREAM_CONTROL);
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
control_read(struct control *c, const struct fold *f, struct effects *fx)
{
	struct effect *x;

	c->reading = true;
	x = effects_add(fx, EFFECT_READ);
	x->u.read.stream = STREAM_CONTROL;
	x->u.read.from = fold_next(f);
}

static void
control_batch(struct control *c, struct fold *f, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	size_t i;

	c->reading = false;
	c->log_down = false;
	c->log_read_us = v->now_us;
	if (c->stale > 0 && ev->u.log_batch.next >= ev->u.log_batch.tail)
		c->stale--;
	if (c->discard) {
		c->discard = false;
		control_read(c, f, fx);
		return;
	}
	c->first_retained = ev->u.log_batch.first;
	c->bad_records += ev->u.log_batch.bad;
	if (!c->goal_known) {
		c->goal_known = true;
		c->goal = ev->u.log_batch.tail;
	}
	for (i = 0; i < ev->u.log_batch.count; i++)
		fold_apply(f, &ev->u.log_batch.records[i]);
	fold_skip_to(f, ev->u.log_batch.next);
	control_read(c, f, fx);
}

/* Registers this daemon, so that every later move waits for it too. */
static void
control_register(struct control *c, const struct view *v)
{
	struct wire_writer w;

	if (c->registering || v->stopping)
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
	c->registering = control_propose(c, v, RECORD_VM, wire_writer_take(&w));
}

static bool
control_on_record(const struct fold *f, const struct view *v)
{
	const struct fold_daemon *d = fold_daemon(f, v->self);

	return d != NULL && d->incarnation == v->incarnation;
}

/* A planned stop takes this daemon off the record, so that nobody waits. */
static void
control_leave(struct control *c, const struct view *v)
{
	struct wire_writer w;

	if (!v->stopping || c->left || path_open_count(v->path) > 0 ||
	    (!control_on_record(v->fold, v) && !c->registering))
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 3);
	wire_u64(&w, "p", v->self);
	wire_u64(&w, "inc", v->incarnation);
	wire_u64(&w, "st", VM_REPORT_GONE);
	c->left = control_propose(c, v, RECORD_VM, wire_writer_take(&w));
}

static void
control_frame(struct control *c, const struct view *v, const struct frame *f,
    struct effects *fx)
{
	if (f->kind == FRAME_LEAVING)
		control_leaving_frame(c, v, f);
	else if (f->kind == FRAME_LEAVING_ACK)
		control_acks_frame(c, v, f);
	else if (f->kind == FRAME_STATE_ASK || f->kind == FRAME_STATE_CHUNK)
		control_recover_frame(c, v, f, fx);
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
 * Ready: read to a tail seen after our start and registered, or with the state
 * of a peer that counts us until we are registered.
 */
static void
control_check_ready(struct control *c, const struct fold *f,
    const struct view *v, struct effects *fx)
{
	bool caught_up =
	    c->goal_known && fold_next(f) >= c->goal && !c->recovery.gap;

	if (control_on_record(f, v)) {
		c->registering = false;
		c->sponsored_by_peer = false;
		if (caught_up)
			control_set_ready(c, f, true, fx);
		return;
	}
	control_set_ready(c, f, c->sponsored_by_peer, fx);
	if (caught_up)
		control_register(c, v);
}

/* Puts a state from elsewhere in place of our own. */
static void
control_adopt(struct control *c, struct fold **f, const struct view *v,
    struct effects *fx)
{
	struct fold *got = control_recover_take(c, *f);

	if (got == NULL)
		return;
	effects_log(fx, LOG_LEVEL_INFO,
	    "event=state-adopted offset=%llu before=%llu",
	    (unsigned long long)fold_next(got),
	    (unsigned long long)fold_next(*f));
	fold_free(*f);
	*f = got;
	c->discard = c->reading;
	c->next_read_us = v->now_us;
	control_check_ready(c, *f, v, fx);
}

static void
control_log_failed(struct control *c, const struct view *v, struct effects *fx)
{
	if (!c->log_down)
		effects_log(fx, LOG_LEVEL_WARN,
		    "event=log-down next=%llu remedy=\"check the platform's "
		    "log service; requests go on with what is known\"",
		    (unsigned long long)fold_next(v->fold));
	c->reading = false;
	c->discard = false;
	c->log_down = true;
	c->log_errors++;
	c->next_read_us = v->now_us + CONTROL_READ_BACKOFF_US / 2 +
	    (int64_t)prng_below(v->prng, CONTROL_READ_BACKOFF_US);
}

static void
control_tick(
    struct control *c, struct fold *f, const struct view *v, struct effects *fx)
{
	if (!c->reading && !c->recovery.gap && v->now_us >= c->next_read_us)
		control_read(c, f, fx);
	control_check_ready(c, f, v, fx);
	if (c->pruned_revision != fold_revision(f)) {
		c->pruned_revision = fold_revision(f);
		control_leaving_prune(c, v);
	}
	control_vms_tick(c, v, fx);
	control_leaving_tell(c, v, fx);
	control_acks_tick(c, v, fx);
	control_exec_tick(c, v, fx);
	control_waves_tick(c, v, fx);
	control_snapshot_tick(c, v);
	control_recover_tick(c, v, fx);
}

/*
 * After a pause the log must be read again before anything is carried out:
 * twice, since the first answer may be from before the pause.
 */
static void
control_notice_pause(
    struct control *c, const struct view *v, struct effects *fx)
{
	if (c->stepped_us != 0 &&
	    v->now_us - c->stepped_us > CONTROL_PAUSE_US) {
		c->stale = CONTROL_STALE_READS;
		c->pauses++;
		effects_log(fx, LOG_LEVEL_WARN, "event=paused ms=%lld",
		    (long long)((v->now_us - c->stepped_us) / US_PER_MS));
	}
	c->stepped_us = v->now_us;
}

void
control_step(struct control *c, struct fold **f, const struct view *v,
    const struct event *ev, struct effects *fx)
{
	if (!c->started) {
		/* The shell begins to read by itself, at offset 0. */
		c->started = true;
		c->reading = true;
		c->start_us = v->now_us;
	}
	control_notice_pause(c, v, fx);
	switch (ev->kind) {
	case EVENT_LOG_BATCH:
		if (control_recover_batch(c, v, ev, fx) ||
		    ev->u.log_batch.stream != STREAM_CONTROL)
			break;
		control_batch(c, *f, v, ev, fx);
		control_check_ready(c, *f, v, fx);
		control_leaving_prune(c, v);
		control_leaving_tell(c, v, fx);
		break;
	case EVENT_LOG_GAP:
		if (ev->u.log_gap.stream == STREAM_CONTROL) {
			c->reading = false;
			c->discard = false;
		}
		control_recover_gap(c, v, ev, fx);
		break;
	case EVENT_LOG_ERROR:
		control_recover_error(c, v, ev);
		if (ev->u.log_error.stream == STREAM_CONTROL)
			control_log_failed(c, v, fx);
		break;
	case EVENT_VM_LIST:
		control_vms_list(c, v, ev);
		c->propose_us = 0;
		control_vms_tick(c, v, fx);
		control_leaving_tell(c, v, fx);
		break;
	case EVENT_PEER_UP:
		c->told_revision = 0;
		break;
	case EVENT_PEER_FRAME:
		control_frame(c, v, ev->u.peer_frame.frame, fx);
		break;
	case EVENT_PLATFORM_RESULT:
		control_exec_result(c, v, ev);
		break;
	case EVENT_TICK:
		control_tick(c, *f, v, fx);
		break;
	default:
		break;
	}
	control_leave(c, v);
	control_snapshot_step(c, v);
	control_adopt(c, f, v, fx);
}

bool
control_handed_back(const struct control *c)
{
	return c->left || (!c->ready && !c->registering);
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
	json_object_object_add(o, "goal", json_object_new_uint64(c->goal));
	json_object_object_add(
	    o, "seen_vms", json_object_new_int64(HASH_COUNT(c->seen)));
	for (l = c->leaving; l != NULL; l = l->hh.next)
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
	    "Log records that could not be decoded.", "", c->bad_records);
	metric_counter(
	    out, "proposals_total", "Proposals appended.", "", c->proposals);
}
