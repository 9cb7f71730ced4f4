#include "tasks_state.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "appender.h"
#include "metric.h"
#include "peers.h"

#define PAUSE_US (2 * US_PER_S) /* a gap between ticks that is a pause */
#define PENDING_MAX 0 /* appends ahead of a record of proposals */
#define DUTY "tasks"

struct tasks *
tasks_new(void)
{
	struct tasks *k = calloc(1, sizeof(*k));

	if (k == NULL)
		return NULL;
	task_batch_init(&k->queue);
	task_batch_init(&k->proposals);
	return k;
}

void
tasks_free(struct tasks *k)
{
	struct early_report *r, *rnext;
	struct wish *w, *next;
	struct hold *h, *tmp;

	if (k == NULL)
		return;
	HASH_ITER(hh, k->holds, h, tmp)
	tasks_hold_drop(k, h);
	HASH_ITER(hh, k->early, r, rnext)
	tasks_early_drop(k, r);
	w = k->wishes;
	HASH_CLEAR(hh, k->wishes);
	for (; w != NULL; w = next) {
		next = w->hh.next;
		free(w);
	}
	task_batch_uninit(&k->queue);
	task_batch_uninit(&k->proposals);
	free(k);
}

/* One record at a time: entries that come meanwhile share the next one. */
static void
flush(struct tasks *k, const struct view *v)
{
	struct proposed *p;

	if (k->queue.count > 0 &&
	    appender_pending(v->appender, STREAM_CONTROL) == 0)
		appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
		    task_batch_take(&k->queue));
	if (k->proposals.count == 0)
		return;
	p = &k->records[k->generation % TASKS_RECORDS_MAX];
	p->offset = 0;
	p->seq = appender_push(v->appender, STREAM_CONTROL, RECORD_TASK,
	    task_batch_take(&k->proposals));
}

bool
tasks_in_flight(const struct tasks *k, uint64_t generation)
{
	return generation > k->judged;
}

/* A record is judged once it is in the log and the fold is past it. */
static void
judge(struct tasks *k, const struct view *v)
{
	struct proposed *p;

	while (k->judged < k->generation) {
		p = &k->records[(k->judged + 1) % TASKS_RECORDS_MAX];
		if (p->seq != 0 && p->offset == 0 &&
		    appender_done(v->appender, STREAM_CONTROL, p->seq))
			p->offset =
			    appender_done_offset(v->appender, STREAM_CONTROL);
		if (p->seq != 0 &&
		    (p->offset == 0 || fold_next(v->fold) <= p->offset))
			return;
		k->judged++;
	}
}

/* Stays that the fold has ended, and early reports that fit nothing. */
static void
sweep(struct tasks *k, const struct view *v)
{
	const struct fold_tasks *ft = fold_tasks_of(v->fold);
	struct early_report *r, *rnext;
	const struct task *t;
	struct hold *h, *tmp;

	if (v->now_us - k->swept_us < TASKS_SWEEP_US)
		return;
	k->swept_us = v->now_us;
	HASH_ITER(hh, k->holds, h, tmp)
	{
		t = fold_tasks_get(ft, h->id);
		if (t == NULL || t->epoch != h->epoch)
			tasks_hold_drop(k, h);
	}
	HASH_ITER(hh, k->early, r, rnext)
	{
		t = fold_tasks_get(ft, r->id);
		if (v->now_us - r->at_us > TASKS_EARLY_US ||
		    (t != NULL && t->epoch > r->usage.epoch))
			tasks_early_drop(k, r);
	}
}

static void
look(struct tasks *k, const struct view *v, struct effects *fx)
{
	struct tasks_look l = {.k = k, .v = v, .fx = fx};
	const struct task *t;

	l.ft = fold_tasks_of(v->fold);
	fold_tasks_view_init(&l.view, v->fold);
	k->generation++;
	k->records[k->generation % TASKS_RECORDS_MAX].seq = 0;
	if (l.view.text == NULL || l.view.text->tasks.pool[0] == '\0')
		return;
	for (t = fold_tasks_all(l.ft); t != NULL; t = t->hh.next) {
		if (k->proposals.count >= TASKS_BATCH_MAX)
			break;
		if ((t->state == TASK_RUNNING || t->state == TASK_STOPPING) &&
		    tasks_ours(&l, t))
			tasks_execute(&l, t);
	}
	if (k->proposals.count < TASKS_BATCH_MAX)
		tasks_place(&l);
}

static bool
look_due(struct tasks *k, const struct view *v)
{
	uint64_t revision = fold_tasks_revision(fold_tasks_of(v->fold));

	if (v->now_us - k->scanned_us < TASKS_SCAN_US)
		return false;
	if (v->now_us - k->scanned_us < TASKS_RESCAN_US &&
	    revision == k->scanned_revision &&
	    fold_revision(v->fold) == k->scanned_fold && !k->wake)
		return false;
	k->wake = false;
	k->scanned_us = v->now_us;
	k->scanned_revision = revision;
	k->scanned_fold = fold_revision(v->fold);
	return true;
}

static void
tick(struct tasks *k, const struct view *v, struct effects *fx)
{
	if (k->last_tick_us != 0 && v->now_us - k->last_tick_us > PAUSE_US)
		k->paused = true;
	k->last_tick_us = v->now_us;
	if (!v->ready)
		return;
	judge(k, v);
	sweep(k, v);
	if (!v->stopping && !k->paused && !v->log_down &&
	    k->generation - k->judged < TASKS_RECORDS_MAX - 1 &&
	    appender_pending(v->appender, STREAM_CONTROL) <= PENDING_MAX &&
	    peers_is_responsible(v->peers, v, DUTY) && look_due(k, v))
		look(k, v, fx);
	flush(k, v);
}

void
tasks_step(struct tasks *k, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	size_t i;

	switch (ev->kind) {
	case EVENT_TICK:
		tick(k, v, fx);
		break;
	case EVENT_STOP:
		flush(k, v);
		break;
	case EVENT_LOG_BATCH:
		if (ev->u.log_batch.stream == STREAM_CONTROL &&
		    ev->u.log_batch.next >= ev->u.log_batch.tail)
			k->paused = false;
		break;
	case EVENT_USAGE:
		for (i = 0; i < ev->u.usage.count; i++)
			tasks_report(k, v, &ev->u.usage.list[i]);
		break;
	case EVENT_PLATFORM_RESULT:
		tasks_op_result(k, v, ev->u.platform.key,
		    ev->u.platform.outcome == APPEND_DONE);
		break;
	default:
		break;
	}
}

static int
queue_full(const struct tasks *k, const struct view *v, struct err *e)
{
	if (!v->ready || v->stopping)
		return err_set(e, ERR_IO, 0, "ask another daemon",
		    "this daemon is %s", v->ready ? "leaving" : "starting");
	if (k->queue.count < TASKS_BATCH_MAX)
		return 0;
	return err_set(e, ERR_LIMIT, 0,
	    "try again later, or send fewer at a time",
	    "%u submissions wait for the log already", k->queue.count);
}

int
tasks_submit(struct tasks *k, const struct view *v, const struct task_submit *s,
    uint64_t *id, struct err *e)
{
	struct fold_tasks_view view;
	const char *never;

	*id = task_id(s->member, s->name);
	if (queue_full(k, v, e) == -1)
		return -1;
	if (s->name[0] == '\0')
		return err_set(e, ERR_REFERENCE, 0,
		    "give it a name that is unique for the member",
		    "the task has no name");
	fold_tasks_view_init(&view, v->fold);
	never = fold_tasks_never(&view, s->member, &s->size);
	if (never != NULL) {
		k->counters.refused++;
		return err_set(e, ERR_RANGE, 0,
		    "change the task, the member's quota or the tasks' pool",
		    "the task can run nowhere: %s", never);
	}
	task_batch_submit(&k->queue, s);
	k->counters.submitted++;
	return 0;
}

int
tasks_cancel(struct tasks *k, const struct view *v, const struct task_cancel *c,
    struct err *e)
{
	if (queue_full(k, v, e) == -1)
		return -1;
	if (c->member[0] == '\0' && c->prefix[0] == '\0' &&
	    c->from[0] == '\0' && c->to[0] == '\0' && c->ids == NULL)
		return err_set(e, ERR_REFERENCE, 0,
		    "give member, prefix, from, to or ids",
		    "the cancellation names no tasks");
	task_batch_cancel(&k->queue, c);
	k->counters.cancelled++;
	return 0;
}

struct json_object *
tasks_dump(const struct tasks *k)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "queued", json_object_new_int((int)k->queue.count));
	json_object_object_add(
	    o, "holds", json_object_new_int((int)HASH_COUNT(k->holds)));
	json_object_object_add(o, "operations_in_flight",
	    json_object_new_int((int)HASH_COUNT(k->keys)));
	json_object_object_add(
	    o, "wishes", json_object_new_int((int)HASH_COUNT(k->wishes)));
	json_object_object_add(o, "paused", json_object_new_boolean(k->paused));
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
	    "Placements proposed by this daemon.", "", c->placed);
	metric_counter(out, "tasks_preempted_total",
	    "Lower tasks asked to yield to urgent ones.", "", c->preempted);
	metric_counter(out, "tasks_corrections_total",
	    "Sizes corrected by reported usage.", "", c->corrected);
	metric_counter(out, "tasks_operations_total", "Operations at workers.",
	    "op=\"start\"", c->starts);
	metric_counter(
	    out, "tasks_operations_total", NULL, "op=\"renew\"", c->renewals);
	metric_counter(
	    out, "tasks_operations_total", NULL, "op=\"fence\"", c->fences);
}
