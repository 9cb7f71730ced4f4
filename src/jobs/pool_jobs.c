/* Jobs of a pool: submission, cancellation, status, progress, deletion. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_selection.h"

struct job *
pool_find_job(const struct pool *p, const char *id)
{
	struct job *j;

	HASH_FIND_STR(p->jobs, id, j);
	return j;
}

bool
pool_has_job(const struct pool *p, const char *id)
{
	return pool_find_job(p, id) != NULL;
}

bool
pool_has_queue_jobs(const struct pool *p, const char *queue)
{
	const struct job *j;

	for (j = p->jobs; j != NULL; j = j->hh.next) {
		if (strcmp(j->queue.name, queue) == 0)
			return true;
	}
	return false;
}

struct task *
pool_find_task(const struct pool *p, const struct task_name *n)
{
	struct job *j = pool_find_job(p, n->job);

	return j != NULL ? job_find_task(j, n) : NULL;
}

/*
 * Whether the job exists for the caller.  Callers of a configuration without
 * accounts reach all jobs, also those that an account submitted before.
 */
static bool
job_visible(const struct job *j, const char *account, bool isolated)
{
	if (j->account == NULL || (account[0] == '\0' && !isolated))
		return true;
	return strcmp(job_account_name(j), account) == 0;
}

/* NULL when there is no such job for the caller. */
static struct job *
find_callers_job(const struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.job.id);

	return j != NULL &&
		job_visible(j, ev->u.job.account, ev->u.job.isolated)
	    ? j
	    : NULL;
}

static void
answer_when_stored(
    struct pool *p, uint64_t token, enum pool_answer answer, uint64_t serial)
{
	struct pending_answer *a;

	if (p->stored_serial >= serial) {
		fx_answer(p, token, answer);
		return;
	}
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort(); /* the caller would never get its answer */
	a->effect.kind = POOL_ANSWER;
	a->effect.u.answer.token = token;
	a->effect.u.answer.answer = answer;
	a->serial = serial;
	STAILQ_INSERT_TAIL(&p->pending_answers, a, entries);
}

static void
refuse_job(
    struct pool *p, const struct pool_event *ev, const char *why, int retry_ms)
{
	struct pool_effect *x;

	p->stats.refused++;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job submission refused\" why=%s job=%s queue=%s active=%zu "
	    "lag_ms=%lld retry_ms=%d%s",
	    why, ev->u.submit.id, ev->u.submit.queue->name, p->active_count,
	    (long long)(p->loop_lag_us / US_PER_MS), retry_ms,
	    pool_refusal_figures(p));
	fx_answer(p, ev->u.submit.token, POOL_OVERLOADED);
	x = &p->fx->list[p->fx->count - 1];
	x->u.answer.retry_ms = retry_ms;
}

static void
add_active(struct pool *p, struct job *j)
{
	HASH_ADD_STR(p->jobs, id, j);
	TAILQ_INSERT_TAIL(&p->active, j, entries);
	p->active_count++;
	if (j->account != NULL) {
		j->account->active_jobs++;
		caps_track(p, j->account);
	}
}

static void
write_spec(struct pool *p, struct job *j, const struct buf *text)
{
	struct buf *value = job_spec_encode(j, text);
	char key[JOB_KEY_BYTES];

	if (value == NULL)
		abort(); /* the job must be stored to be accepted */
	job_spec_key(key, j->id);
	fx_write(p, key, value);
	j->spec_serial = p->write_serial;
}

static struct job *
submitted_job_new(struct pool *p, const struct pool_event *ev)
{
	const struct job_opts opts = {
	    .id = ev->u.submit.id,
	    .queue = ev->u.submit.queue,
	    .spec = ev->u.submit.spec,
	    .submitted_ms = pool_remove_refused(p, ev->u.submit.id),
	    .checkpoints = &p->checkpoints,
	};

	return job_new(&opts);
}

void
pool_submit(struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.submit.id);
	const char *why;
	int retry_ms;

	if (j != NULL &&
	    !job_visible(j, ev->u.submit.account, ev->u.submit.isolated)) {
		/* the answer of an overloaded pool tells nothing of the job */
		refuse_job(p, ev, "id-of-another-account", SUBMIT_RETRY_MAX_MS);
		return;
	}
	if (j != NULL) { /* a repeated submission: same job, same answer */
		answer_when_stored(
		    p, ev->u.submit.token, POOL_ACCEPTED, j->spec_serial);
		return;
	}
	why = caps_submit_refusal(p, ev);
	if (why != NULL) {
		refuse_job(p, ev, why, SUBMIT_RETRY_MAX_MS);
		return;
	}
	pool_note_arrival(p, ev->u.submit.spec, ev->u.submit.queue, 0);
	retry_ms = pool_submit_refusal_ms(p, ev, &why);
	j = retry_ms > 0 ? NULL : submitted_job_new(p, ev);
	if (j == NULL) {
		pool_note_refused(p, ev->u.submit.id);
		refuse_job(p, ev, retry_ms > 0 ? why : "memory",
		    retry_ms > 0 ? retry_ms : SUBMIT_RETRY_MAX_MS);
		return;
	}
	j->account = pool_account_get(p, ev->u.submit.account);
	selection_note_job(p, j);
	add_active(p, j);
	write_spec(p, j, ev->u.submit.text);
	answer_when_stored(
	    p, ev->u.submit.token, POOL_ACCEPTED, p->write_serial);
	p->stats.accepted++;
	p->placement_due = true;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job accepted\" job=%s queue=%s tasks=%zu chain_ms=%.0f "
	    "active=%zu came_ms_ago=%lld",
	    j->id, j->queue.name, job_spec_task_count(j->spec),
	    job_spec_critical_path_ms(
		j->spec, run_time_find(p->run_times, j->queue.name)),
	    p->active_count, (long long)(p->now_ms - j->submitted_ms));
}

static void
stop_all_tasks(struct pool *p, struct job *j)
{
	const struct job_spec *spec = j->spec;
	struct occurrence *o;
	unsigned i;
	size_t s;

	LIST_FOREACH(o, &j->occurrences, entries) {
		for (s = 0; s < spec->step_count; s++) {
			for (i = 0; i < spec->steps[s].task_count; i++)
				task_stop(p, &o->steps[s].tasks[i], "job-over");
		}
	}
}

static void
end_job(struct pool *p, struct job *j, enum job_state state)
{
	j->state = state;
	j->ended_ms = p->now_ms;
	j->progress_stale = true;
	pool_mark_job_changed(p, j);
	stop_all_tasks(p, j);
	p->placement_due = true;
}

void
pool_fail_job(struct pool *p, struct job *j, const struct task *t)
{
	if (job_final(j))
		return;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job has failed\" job=%s queue=%s task=%u.%u attempts=%d "
	    "crashes=%d",
	    j->id, j->queue.name, t->step->number, t->index,
	    t->step->spec->gang ? t->step->tasks[0].failed_attempts
				: t->failed_attempts,
	    t->crashes != NULL ? t->crashes->count : 0);
	end_job(p, j, JOB_FAILED);
}

void
pool_cancel(struct pool *p, const struct pool_event *ev)
{
	struct job *j = find_callers_job(p, ev);

	if (j == NULL) {
		fx_answer(p, ev->u.job.token, POOL_NO_JOB);
		return;
	}
	if (!job_final(j)) {
		fx_log(p, LOG_LEVEL_INFO,
		    "msg=\"job is cancelled\" job=%s queue=%s", j->id,
		    j->queue.name);
		p->stats.cancelled++;
		end_job(p, j, JOB_CANCELLED);
	}
	pool_flush_jobs(p);
	answer_when_stored(
	    p, ev->u.job.token, POOL_CANCELLING, p->write_serial);
}

/* State for callers: a final state becomes visible once it is stored. */
static enum job_state
visible_state(const struct pool *p, const struct job *j)
{
	if (!job_final(j) || p->stored_serial >= j->state_serial)
		return j->state;
	return JOB_RUNNING;
}

void
pool_answer_job_query(struct pool *p, const struct pool_event *ev)
{
	const struct job *j = find_callers_job(p, ev);

	if (j == NULL) {
		fx_answer(p, ev->u.job.token, POOL_NO_JOB);
		return;
	}
	fx_answer(p, ev->u.job.token, POOL_JOB_STATE);
	p->fx->list[p->fx->count - 1].u.answer.state = visible_state(p, j);
}

void
pool_answer_waiting_count(struct pool *p, const struct pool_event *ev)
{
	const struct job *j;
	size_t n = 0;

	TAILQ_FOREACH(j, &p->active, entries) {
		if (!j->started &&
		    strcmp(j->queue.name, ev->u.count.queue) == 0)
			n++;
	}
	fx_answer(p, ev->u.count.token, POOL_WAITING_COUNT);
	p->fx->list[p->fx->count - 1].u.answer.waiting = n;
}

void
pool_write_progress(struct pool *p, struct job *j)
{
	struct progress_encoding e = {.max_bytes = p->opts.record_max_bytes};
	struct buf *value;
	char key[JOB_KEY_BYTES];

	if (e.max_bytes > JOB_KEY_BYTES)
		e.max_bytes -= JOB_KEY_BYTES;
	value = job_progress_encode(j, &e);
	if (value == NULL)
		abort(); /* ends are acknowledged once progress is stored */
	if (e.checkpoints_left_out > j->checkpoints_left_out) {
		j->checkpoints_left_out = e.checkpoints_left_out;
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"job progress too large: saved without the longest "
		    "checkpoints\" job=%s left_out=%zu bytes=%zu most=%zu",
		    j->id, e.checkpoints_left_out, value->len,
		    p->opts.record_max_bytes);
	}
	job_progress_key(key, j->id);
	fx_write(p, key, value);
	j->progress_stale = false;
	if (job_final(j))
		j->state_serial = p->write_serial;
}

static void
move_to_finished(struct pool *p, struct job *j)
{
	TAILQ_REMOVE(&p->active, j, entries);
	TAILQ_INSERT_TAIL(&p->finished, j, entries);
	p->active_count--;
	if (j->account != NULL)
		j->account->active_jobs--;
	p->finished_count++;
	if (j->state == JOB_COMPLETED)
		p->stats.completed++;
	else if (j->state == JOB_FAILED)
		p->stats.failed++;
}

void
pool_mark_job_changed(struct pool *p, struct job *j)
{
	if (j->in_changed_list)
		return;
	j->in_changed_list = true;
	TAILQ_INSERT_TAIL(&p->changed_jobs, j, changed_entries);
}

void
pool_flush_jobs(struct pool *p)
{
	struct job *j;

	while ((j = TAILQ_FIRST(&p->changed_jobs)) != NULL) {
		TAILQ_REMOVE(&p->changed_jobs, j, changed_entries);
		j->in_changed_list = false;
		if (j->progress_stale)
			pool_write_progress(p, j);
		if (!job_final(j))
			continue;
		job_drop_finished(j);
		if (LIST_EMPTY(&j->occurrences))
			move_to_finished(p, j);
	}
}

void
pool_drop_old_jobs(struct pool *p)
{
	int64_t before_ms = p->now_ms - p->opts.status_retention_ms;
	char key[JOB_KEY_BYTES];
	struct job *j;

	while ((j = TAILQ_FIRST(&p->finished)) != NULL &&
	    j->ended_ms < before_ms) {
		job_spec_key(key, j->id);
		fx_write(p, key, NULL);
		job_progress_key(key, j->id);
		fx_write(p, key, NULL);
		TAILQ_REMOVE(&p->finished, j, entries);
		p->finished_count--;
		HASH_DEL(p->jobs, j);
		job_free(j);
	}
}

int
pool_load_job(struct pool *p, const char *id, const struct job_spec_record *r,
    struct job_spec *spec, const struct buf *progress, struct err *e)
{
	const struct job_opts opts = {
	    .id = id,
	    .queue = &r->queue,
	    .spec = spec,
	    .submitted_ms = r->submitted_ms,
	    .checkpoints = &p->checkpoints,
	};
	struct job *j = job_new(&opts);

	if (j == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "out of memory while job %s was loaded", id);
	if (progress != NULL &&
	    job_progress_decode(j, progress->data, progress->len, e) == -1) {
		job_free(j);
		return -1;
	}
	pool_note_arrival(p, spec, &r->queue, p->now_ms - r->submitted_ms);
	j->account = pool_account_get(p, r->account);
	selection_note_job(p, j);
	j->inherited = true;
	j->started = j->state != JOB_QUEUED;
	if (!job_final(j)) {
		add_active(p, j);
		return 0;
	}
	HASH_ADD_STR(p->jobs, id, j);
	TAILQ_INSERT_TAIL(&p->finished, j, entries);
	p->finished_count++;
	return 0;
}
