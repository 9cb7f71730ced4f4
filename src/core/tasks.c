#include "tasks_state.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "appender.h"
#include "metric.h"
#include "peers.h"

#define PAUSE_MIN_US (2 * US_PER_S) /* a gap between ticks that is a pause */
#define APPENDS_AHEAD_MAX 0 /* appends ahead of a record of proposals */
#define DUTY_NAME "tasks"

struct tasks *
tasks_new(void)
{
	struct tasks *k = calloc(1, sizeof(*k));

	if (k == NULL)
		return NULL;
	task_batch_init(&k->requests);
	task_batch_init(&k->proposals);
	return k;
}

void
tasks_free(struct tasks *k)
{
	struct early_report *r, *rnext;
	struct placement_attempt *w, *next;
	struct task_lease *h, *tmp;

	if (k == NULL)
		return;
	HASH_ITER(hh, k->leases, h, tmp)
	tasks_drop_lease(k, h);
	HASH_ITER(hh, k->early_reports, r, rnext)
	tasks_drop_early_report(k, r);
	w = k->attempts;
	HASH_CLEAR(hh, k->attempts);
	for (; w != NULL; w = next) {
		next = w->hh.next;
		free(w);
	}
	task_batch_uninit(&k->requests);
	task_batch_uninit(&k->proposals);
	free(k);
}

/* One record at a time: entries that come meanwhile share the next one. */
static void
append_batches(struct tasks *k, const struct view *v)
{
	struct proposal_record *p;

	if (k->requests.count > 0 &&
	    appender_pending(v->appender, STREAM_CONTROL) == 0)
		appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
		    task_batch_take(&k->requests));
	if (k->proposals.count == 0)
		return;
	p = &k->proposal_records[k->generation % TASKS_PROPOSAL_RECORDS_MAX];
	p->offset_bound = 0;
	p->append_seq = appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
	    task_batch_take(&k->proposals));
}

bool
tasks_proposal_in_flight(const struct tasks *k, uint64_t generation)
{
	return generation > k->decided_generation;
}

/* A record is judged once it is in the log and the fold is past it. */
static void
update_decided_generation(struct tasks *k, const struct view *v)
{
	struct proposal_record *p;

	while (k->decided_generation < k->generation) {
		p = &k->proposal_records[(k->decided_generation + 1) %
		    TASKS_PROPOSAL_RECORDS_MAX];
		if (p->append_seq != 0 && p->offset_bound == 0 &&
		    appender_done(v->appender, STREAM_CONTROL, p->append_seq))
			p->offset_bound =
			    appender_done_offset(v->appender, STREAM_CONTROL);
		if (p->append_seq != 0 &&
		    (p->offset_bound == 0 ||
			fold_next(v->fold) <= p->offset_bound))
			return;
		k->decided_generation++;
	}
}

/* Stays that the fold has ended, and early reports that fit nothing. */
static void
drop_stale_state(struct tasks *k, const struct view *v)
{
	const struct fold_tasks *ft = fold_tasks_of(v->fold);
	struct early_report *r, *rnext;
	const struct task *t;
	struct task_lease *h, *tmp;

	if (v->now_us - k->last_sweep_us < TASKS_SWEEP_INTERVAL_US)
		return;
	k->last_sweep_us = v->now_us;
	HASH_ITER(hh, k->leases, h, tmp)
	{
		t = fold_tasks_get(ft, h->id);
		if (t == NULL || t->epoch != h->epoch)
			tasks_drop_lease(k, h);
	}
	HASH_ITER(hh, k->early_reports, r, rnext)
	{
		t = fold_tasks_get(ft, r->id);
		if (v->now_us - r->received_us > TASKS_EARLY_REPORT_TTL_US ||
		    (t != NULL && t->epoch > r->usage.epoch))
			tasks_drop_early_report(k, r);
	}
}

static void
run_pass(struct tasks *k, const struct view *v, struct effects *fx)
{
	struct tasks_pass l = {
	    .local_state = k, .daemon_view = v, .effect_list = fx};
	const struct task *t;

	l.fold_state = fold_tasks_of(v->fold);
	fold_tasks_view_init(&l.fold_view, v->fold);
	k->generation++;
	k->proposal_records[k->generation % TASKS_PROPOSAL_RECORDS_MAX]
	    .append_seq = 0;
	if (l.fold_view.text == NULL || l.fold_view.text->tasks.pool[0] == '\0')
		return;
	for (t = fold_tasks_head(l.fold_state); t != NULL; t = t->hh.next) {
		if (k->proposals.count >= TASKS_BATCH_MAX)
			break;
		if ((t->state == TASK_RUNNING || t->state == TASK_STOPPING) &&
		    tasks_holder_is_local(&l, t))
			tasks_execute(&l, t);
	}
	if (k->proposals.count < TASKS_BATCH_MAX)
		tasks_place(&l);
}

static bool
pass_is_due(struct tasks *k, const struct view *v)
{
	uint64_t revision = fold_tasks_revision(fold_tasks_of(v->fold));

	if (v->now_us - k->last_pass_us < TASKS_PASS_INTERVAL_US)
		return false;
	if (v->now_us - k->last_pass_us < TASKS_IDLE_PASS_INTERVAL_US &&
	    revision == k->pass_tasks_revision &&
	    fold_revision(v->fold) == k->pass_fold_revision &&
	    !k->pass_requested)
		return false;
	k->pass_requested = false;
	k->last_pass_us = v->now_us;
	k->pass_tasks_revision = revision;
	k->pass_fold_revision = fold_revision(v->fold);
	return true;
}

static void
handle_tick(struct tasks *k, const struct view *v, struct effects *fx)
{
	if (k->last_tick_us != 0 && v->now_us - k->last_tick_us > PAUSE_MIN_US)
		k->catchup_pending = true;
	k->last_tick_us = v->now_us;
	if (!v->ready)
		return;
	update_decided_generation(k, v);
	drop_stale_state(k, v);
	if (!v->stopping && !k->catchup_pending && !v->log_down &&
	    k->generation - k->decided_generation <
		TASKS_PROPOSAL_RECORDS_MAX - 1 &&
	    appender_pending(v->appender, STREAM_CONTROL) <=
		APPENDS_AHEAD_MAX &&
	    peers_duty(v->peers, v, DUTY_NAME) && pass_is_due(k, v))
		run_pass(k, v, fx);
	append_batches(k, v);
}

void
tasks_step(struct tasks *k, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	size_t i;

	switch (ev->kind) {
	case EVENT_TICK:
		handle_tick(k, v, fx);
		break;
	case EVENT_STOP:
		append_batches(k, v);
		break;
	case EVENT_LOG_BATCH:
		if (ev->u.log_batch.stream == STREAM_CONTROL &&
		    ev->u.log_batch.next >= ev->u.log_batch.tail)
			k->catchup_pending = false;
		break;
	case EVENT_USAGE:
		for (i = 0; i < ev->u.usage.count; i++)
			tasks_handle_report(k, v, &ev->u.usage.list[i]);
		break;
	case EVENT_PLATFORM_RESULT:
		tasks_handle_op_result(k, v, ev->u.platform.key,
		    ev->u.platform.outcome == APPEND_DONE);
		break;
	default:
		break;
	}
}

static int
check_accepting(const struct tasks *k, const struct view *v, struct err *e)
{
	if (!v->ready || v->stopping)
		return err_set(e, ERR_IO, 0, "ask another daemon",
		    "this daemon is %s", v->ready ? "leaving" : "starting");
	if (k->requests.count < TASKS_BATCH_MAX)
		return 0;
	return err_set(e, ERR_LIMIT, 0,
	    "try again later, or send fewer at a time",
	    "%u submissions wait for the log already", k->requests.count);
}

int
tasks_submit(struct tasks *k, const struct view *v, const struct task_submit *s,
    uint64_t *id, struct err *e)
{
	struct fold_tasks_view view;
	const char *never;

	*id = task_id(s->member, s->name);
	if (check_accepting(k, v, e) == -1)
		return -1;
	if (s->name[0] == '\0')
		return err_set(e, ERR_REFERENCE, 0,
		    "give it a name that is unique for the member",
		    "the task has no name");
	fold_tasks_view_init(&view, v->fold);
	never = fold_tasks_unrunnable_reason(&view, s->member, &s->size);
	if (never != NULL) {
		k->counters.refused++;
		return err_set(e, ERR_RANGE, 0,
		    "change the task, the member's quota or the tasks' pool",
		    "the task can run nowhere: %s", never);
	}
	task_batch_submit(&k->requests, s);
	k->counters.submitted++;
	return 0;
}

int
tasks_cancel(struct tasks *k, const struct view *v, const struct task_cancel *c,
    struct err *e)
{
	if (check_accepting(k, v, e) == -1)
		return -1;
	if (c->member[0] == '\0' && c->prefix[0] == '\0' &&
	    c->from[0] == '\0' && c->to[0] == '\0' && c->ids == NULL)
		return err_set(e, ERR_REFERENCE, 0,
		    "give member, prefix, from, to or ids",
		    "the cancellation names no tasks");
	task_batch_cancel(&k->requests, c);
	k->counters.cancelled++;
	return 0;
}

struct json_object *
tasks_dump(const struct tasks *k)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "queued", json_object_new_int((int)k->requests.count));
	json_object_object_add(
	    o, "holds", json_object_new_int((int)HASH_COUNT(k->leases)));
	json_object_object_add(o, "operations_in_flight",
	    json_object_new_int((int)HASH_COUNT(k->pending_ops)));
	json_object_object_add(
	    o, "wishes", json_object_new_int((int)HASH_COUNT(k->attempts)));
	json_object_object_add(
	    o, "paused", json_object_new_boolean(k->catchup_pending));
	return o;
}

void
tasks_metrics(const struct tasks *k, struct buf *out)
{
	const struct tasks_counters *c = &k->counters;

	metric_counter(out, "tasks_submitted_total",
	    "Tasks taken for the log by this daemon.", "", c->submitted);
	metric_counter(out, "tasks_refused_total",
	    "Tasks refused on arrival: they can run nowhere.", "", c->refused);
	metric_counter(out, "tasks_placements_proposed_total",
	    "Placements proposed by this daemon.", "", c->placements_proposed);
	metric_counter(out, "tasks_preempted_total",
	    "Lower tasks asked to yield to urgent ones.", "",
	    c->preemptions_proposed);
	metric_counter(out, "tasks_corrections_total",
	    "Sizes corrected by reported usage.", "", c->corrections_proposed);
	metric_counter(out, "tasks_operations_total", "Operations at workers.",
	    "op=\"start\"", c->starts_sent);
	metric_counter(out, "tasks_operations_total", NULL, "op=\"renew\"",
	    c->renewals_sent);
	metric_counter(out, "tasks_operations_total", NULL, "op=\"fence\"",
	    c->fences_sent);
}
