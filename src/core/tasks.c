#include "tasks_state.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "appender.h"
#include "metric.h"
#include "peers.h"

/* A longer gap between ticks counts as a pause of the process or the VM. */
#define PAUSE_MIN_US (2 * US_PER_S)
/* Appends that may be pending when a pass starts. */
#define APPENDS_AHEAD_MAX 0
#define DUTY_NAME "tasks"

struct tasks *
tasks_new(void)
{
	struct tasks *tasks = calloc(1, sizeof(*tasks));

	if (tasks == NULL)
		return NULL;
	task_batch_init(&tasks->requests);
	task_batch_init(&tasks->proposals);
	return tasks;
}

void
tasks_free(struct tasks *tasks)
{
	struct early_report *r, *rnext;
	struct placement_attempt *attempt, *next;
	struct task_lease *lease, *tmp;

	if (tasks == NULL)
		return;
	HASH_ITER(hh, tasks->leases, lease, tmp)
	tasks_drop_lease(tasks, lease);
	HASH_ITER(hh, tasks->early_reports, r, rnext)
	tasks_drop_early_report(tasks, r);
	attempt = tasks->attempts;
	HASH_CLEAR(hh, tasks->attempts);
	for (; attempt != NULL; attempt = next) {
		next = attempt->hh.next;
		free(attempt);
	}
	task_batch_uninit(&tasks->requests);
	task_batch_uninit(&tasks->proposals);
	free(tasks);
}

/*
 * Appends the queued requests and this pass's proposals, one record each.
 * Requests wait until no append is pending, so that many share one record.
 */
static void
append_batches(struct tasks *tasks, const struct view *v)
{
	struct proposal_record *p;

	if (tasks->requests.count > 0 &&
	    appender_pending(v->appender, STREAM_CONTROL) == 0)
		appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
		    task_batch_take(&tasks->requests));
	if (tasks->proposals.count == 0)
		return;
	p = &tasks->proposal_records[tasks->generation %
	    TASKS_PROPOSAL_RECORDS_MAX];
	p->offset_bound = 0;
	p->append_seq = appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
	    task_batch_take(&tasks->proposals));
}

bool
tasks_proposal_in_flight(const struct tasks *tasks, uint64_t generation)
{
	return generation > tasks->decided_generation;
}

/*
 * A generation is decided when its record is in the log and has been folded, or
 * when it appended none.
 */
static void
update_decided_generation(struct tasks *tasks, const struct view *v)
{
	struct proposal_record *p;

	while (tasks->decided_generation < tasks->generation) {
		p = &tasks->proposal_records[(tasks->decided_generation + 1) %
		    TASKS_PROPOSAL_RECORDS_MAX];
		if (p->append_seq != 0 && p->offset_bound == 0 &&
		    appender_is_done(
			v->appender, STREAM_CONTROL, p->append_seq))
			p->offset_bound = appender_last_done_offset(
			    v->appender, STREAM_CONTROL);
		if (p->append_seq != 0 &&
		    (p->offset_bound == 0 ||
			fold_next(v->fold) <= p->offset_bound))
			return;
		tasks->decided_generation++;
	}
}

/* Drops leases whose epoch is over, and early reports that no lease took. */
static void
drop_stale_state(struct tasks *tasks, const struct view *v)
{
	const struct fold_tasks *ft = fold_task_state(v->fold);
	struct early_report *r, *rnext;
	const struct task *t;
	struct task_lease *lease, *tmp;

	if (v->now_us - tasks->last_sweep_us < TASKS_SWEEP_INTERVAL_US)
		return;
	tasks->last_sweep_us = v->now_us;
	HASH_ITER(hh, tasks->leases, lease, tmp)
	{
		t = fold_tasks_get(ft, lease->id);
		if (t == NULL || t->epoch != lease->epoch)
			tasks_drop_lease(tasks, lease);
	}
	HASH_ITER(hh, tasks->early_reports, r, rnext)
	{
		t = fold_tasks_get(ft, r->id);
		if (v->now_us - r->received_us > TASKS_EARLY_REPORT_TTL_US ||
		    (t != NULL && t->epoch > r->usage.epoch))
			tasks_drop_early_report(tasks, r);
	}
}

/* Executes the held tasks first, so that their ends free capacity. */
static void
run_pass(struct tasks *tasks, const struct view *v, struct effects *fx)
{
	struct tasks_pass pass = {
	    .local_state = tasks, .daemon_view = v, .effect_list = fx};
	const struct task *t;

	pass.fold_state = fold_task_state(v->fold);
	fold_tasks_view_init(&pass.fold_view, v->fold);
	tasks->generation++;
	tasks->proposal_records[tasks->generation % TASKS_PROPOSAL_RECORDS_MAX]
	    .append_seq = 0;
	if (pass.fold_view.text == NULL ||
	    pass.fold_view.text->tasks.pool[0] == '\0')
		return;
	for (t = fold_tasks_head(pass.fold_state); t != NULL; t = t->hh.next) {
		if (tasks->proposals.count >= TASKS_BATCH_MAX)
			break;
		if ((t->state == TASK_RUNNING || t->state == TASK_STOPPING) &&
		    tasks_holder_is_local(&pass, t))
			tasks_execute(&pass, t);
	}
	if (tasks->proposals.count < TASKS_BATCH_MAX)
		tasks_place(&pass);
}

static bool
pass_is_due(struct tasks *tasks, const struct view *v)
{
	uint64_t revision = fold_tasks_revision(fold_task_state(v->fold));

	if (v->now_us - tasks->last_pass_us < TASKS_PASS_INTERVAL_US)
		return false;
	if (v->now_us - tasks->last_pass_us < TASKS_IDLE_PASS_INTERVAL_US &&
	    revision == tasks->pass_tasks_revision &&
	    fold_revision(v->fold) == tasks->pass_fold_revision &&
	    !tasks->pass_requested)
		return false;
	tasks->pass_requested = false;
	tasks->last_pass_us = v->now_us;
	tasks->pass_tasks_revision = revision;
	tasks->pass_fold_revision = fold_revision(v->fold);
	return true;
}

static void
handle_tick(struct tasks *tasks, const struct view *v, struct effects *fx)
{
	if (tasks->last_tick_us != 0 &&
	    v->now_us - tasks->last_tick_us > PAUSE_MIN_US)
		tasks->catchup_pending = true;
	tasks->last_tick_us = v->now_us;
	if (!v->ready)
		return;
	update_decided_generation(tasks, v);
	drop_stale_state(tasks, v);
	if (!v->stopping && !tasks->catchup_pending && !v->log_down &&
	    tasks->generation - tasks->decided_generation <
		TASKS_PROPOSAL_RECORDS_MAX - 1 &&
	    appender_pending(v->appender, STREAM_CONTROL) <=
		APPENDS_AHEAD_MAX &&
	    peers_is_responsible(v->peers, v, DUTY_NAME) &&
	    pass_is_due(tasks, v))
		run_pass(tasks, v, fx);
	append_batches(tasks, v);
}

void
tasks_step(struct tasks *tasks, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	size_t i;

	switch (ev->kind) {
	case EVENT_TICK:
		handle_tick(tasks, v, fx);
		break;
	case EVENT_STOP:
		append_batches(tasks, v);
		break;
	case EVENT_LOG_BATCH:
		if (ev->u.log_batch.stream == STREAM_CONTROL &&
		    ev->u.log_batch.next >= ev->u.log_batch.tail)
			tasks->catchup_pending = false;
		break;
	case EVENT_USAGE:
		for (i = 0; i < ev->u.usage.count; i++)
			tasks_handle_report(tasks, v, &ev->u.usage.list[i]);
		break;
	case EVENT_PLATFORM_RESULT:
		tasks_handle_op_result(tasks, v, ev->u.platform.key,
		    ev->u.platform.outcome == APPEND_DONE);
		break;
	default:
		break;
	}
}

static int
check_accepting(const struct tasks *tasks, const struct view *v, struct err *e)
{
	if (!v->ready || v->stopping)
		return err_set(e, ERR_IO, 0, "send it to another daemon",
		    "this daemon is %s and takes no requests for tasks",
		    v->ready ? "leaving" : "starting");
	if (tasks->requests.count < TASKS_BATCH_MAX)
		return 0;
	return err_set(e, ERR_LIMIT, 0,
	    "retry later, or send fewer requests at a time",
	    "%u requests for tasks are already waiting for the log",
	    tasks->requests.count);
}

int
tasks_submit(struct tasks *tasks, const struct view *v,
    const struct task_submit *s, uint64_t *id, struct err *e)
{
	struct fold_tasks_view view;
	const char *reason;

	*id = task_id(s->member, s->name);
	if (check_accepting(tasks, v, e) == -1)
		return -1;
	if (s->name[0] == '\0')
		return err_set(e, ERR_REFERENCE, 0,
		    "give the task a name that is unique for the member",
		    "the task has no name");
	fold_tasks_view_init(&view, v->fold);
	reason = fold_tasks_unrunnable_reason(&view, s->member, &s->size);
	if (reason != NULL) {
		tasks->counters.refused++;
		return err_set(e, ERR_RANGE, 0,
		    "change the task, the member's quota or the tasks' pool",
		    "no VM can ever run the task: %s", reason);
	}
	task_batch_submit(&tasks->requests, s);
	tasks->counters.submitted++;
	return 0;
}

int
tasks_cancel(struct tasks *tasks, const struct view *v,
    const struct task_cancel *c, struct err *e)
{
	if (check_accepting(tasks, v, e) == -1)
		return -1;
	if (c->member[0] == '\0' && c->prefix[0] == '\0' &&
	    c->from[0] == '\0' && c->to[0] == '\0' && c->ids == NULL)
		return err_set(e, ERR_REFERENCE, 0,
		    "set at least one of member, prefix, from, to and ids",
		    "the cancellation has no criterion that selects tasks");
	task_batch_cancel(&tasks->requests, c);
	tasks->counters.cancelled++;
	return 0;
}

struct json_object *
tasks_dump(const struct tasks *tasks)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "queued", json_object_new_int((int)tasks->requests.count));
	json_object_object_add(
	    o, "holds", json_object_new_int((int)HASH_COUNT(tasks->leases)));
	json_object_object_add(o, "operations_in_flight",
	    json_object_new_int((int)HASH_COUNT(tasks->pending_ops)));
	json_object_object_add(
	    o, "wishes", json_object_new_int((int)HASH_COUNT(tasks->attempts)));
	json_object_object_add(
	    o, "paused", json_object_new_boolean(tasks->catchup_pending));
	return o;
}

void
tasks_metrics(const struct tasks *tasks, struct buf *out)
{
	const struct tasks_counters *c = &tasks->counters;

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
