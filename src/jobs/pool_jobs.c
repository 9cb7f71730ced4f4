/* Jobs of a pool: handed in, cancelled, asked for, written, forgotten. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

#define ACTIVE_MAX 4000 /* unfinished jobs: bounds memory and the take-over */
#define LATE_LIMIT 3.0 /* times its objective: nothing is left to gain */
/*
 * The daemon's loop is so far behind that a hand-in may not be answered in
 * time: it is refused, so that jobs that were accepted are served.
 */
#define LAG_REFUSE_MS 300
#define LAG_RETRY_MS 1000 /* told to callers then */
#define COMING_FRESH_MS 1000 /* five looks of the keeper */
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 10000

struct job *
pool_find_job(const struct pool *p, const char *id)
{
	struct job *j;

	HASH_FIND_STR(p->jobs, id, j);
	return j;
}

static void
answer_when_written(
    struct pool *p, uint64_t token, enum pool_answer answer, uint64_t serial)
{
	struct pending_answer *a;

	if (p->stored_serial >= serial) {
		fx_answer(p, token, answer);
		return;
	}
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort(); /* an accepted job would never be told so */
	a->effect.kind = POOL_ANSWER;
	a->effect.u.answer.token = token;
	a->effect.u.answer.answer = answer;
	a->serial = serial;
	STAILQ_INSERT_TAIL(&p->pending_answers, a, entries);
}

/* Thousandths of a core that usable workers have. */
static double
pool_cpu(const struct pool *p)
{
	const struct pool_worker *w;
	double cpu = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_usable(p, w))
			cpu += (double)w->report.cpu_milli;
	}
	return cpu;
}

/*
 * A turn of demand begins in a pool of few workers, and most that will serve it
 * are on their way: the backlog waits for these, not for the few.
 */
static double
work_ms(const struct pool *p, double work, double cpu)
{
	double ms = cpu > 0 ? work / cpu : 0;
	double coming = (double)p->incoming_workers * p->typical_cpu_milli;
	double within_ms = p->incoming_within_ms;

	if (coming <= 0 || ms <= within_ms ||
	    p->now_us - p->incoming_reported_us > COMING_FRESH_MS * US_PER_MS)
		return ms;
	return within_ms + (work - cpu * within_ms) / (cpu + coming);
}

/* ms until the work that is accepted has been done, by learned times. */
static double
backlog_ms(const struct pool *p)
{
	double work = 0;
	const struct occurrence *o;
	const struct job *j;

	TAILQ_FOREACH(j, &p->active, entries) {
		if (job_spec_long_running(j->spec))
			continue;
		LIST_FOREACH(o, &j->occurrences, entries)
			work += occurrence_work_left(o) *
			    estimate_correction_ratio(
				p->corrections, j->queue.name);
	}
	return work_ms(p, work, pool_cpu(p));
}

/*
 * A job that could only be finished long after its objective is refused at
 * once; the time it is told is when the backlog leaves room for it.
 * 0: accepted.
 */
static int
refusal_ms(const struct pool *p, const struct pool_event *ev)
{
	const struct job_spec *o = ev->u.submit.spec;
	const struct queue_settings *t = ev->u.submit.queue;
	double chain_ms, objective_ms, wait_ms;

	if (p->active_count >= ACTIVE_MAX)
		return RETRY_MAX_MS;
	if (o->repetitions > 0 || job_spec_long_running(o) ||
	    p->active_count < 8)
		return 0;
	chain_ms = job_spec_critical_path_ms(o);
	objective_ms = t->stretch * chain_ms + t->target_latency_ms;
	wait_ms = backlog_ms(p);
	if (wait_ms + chain_ms <= LATE_LIMIT * objective_ms)
		return 0;
	wait_ms -= objective_ms - chain_ms;
	return wait_ms > RETRY_MAX_MS ? RETRY_MAX_MS
	    : wait_ms < RETRY_MIN_MS  ? RETRY_MIN_MS
				      : (int)wait_ms;
}

/* Why a job is not taken in, and when it may come again; 0: it is taken. */
static int
hand_in_refusal_ms(
    const struct pool *p, const struct pool_event *ev, const char **why)
{
	if (p->loop_lag_us >= LAG_REFUSE_MS * US_PER_MS) {
		*why = "lag";
		return LAG_RETRY_MS;
	}
	if (ev->u.submit.refuse_ms > 0) {
		*why = "store";
		return ev->u.submit.refuse_ms;
	}
	*why = "backlog";
	return refusal_ms(p, ev);
}

static void
refuse(
    struct pool *p, const struct pool_event *ev, const char *why, int retry_ms)
{
	struct pool_effect *x;

	p->stats.refused++;
	pool_note_refused(p, ev->u.submit.id);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job refused\" why=%s job=%s queue=%s active=%zu "
	    "lag_ms=%lld retry_ms=%d",
	    why, ev->u.submit.id, ev->u.submit.queue->name, p->active_count,
	    (long long)(p->loop_lag_us / US_PER_MS), retry_ms);
	fx_answer(p, ev->u.submit.token, POOL_OVERLOADED);
	x = &p->fx->list[p->fx->count - 1];
	x->u.answer.retry_ms = retry_ms;
}

static void
file_active(struct pool *p, struct job *j)
{
	HASH_ADD_STR(p->jobs, id, j);
	TAILQ_INSERT_TAIL(&p->active, j, entries);
	p->active_count++;
}

static void
write_order(struct pool *p, struct job *j)
{
	struct buf *value = job_spec_encode(j);
	char key[JOB_KEY_BYTES];

	if (value == NULL)
		abort(); /* it is about to be acknowledged */
	job_spec_key(key, j->id);
	fx_write(p, key, value);
	j->spec_serial = p->write_serial;
}

void
pool_submit(struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.submit.id);
	const char *why;
	int retry_ms;

	if (j != NULL) { /* handed in again: it stays one job */
		answer_when_written(
		    p, ev->u.submit.token, POOL_ACCEPTED, j->spec_serial);
		return;
	}
	pool_note_arrival(p, ev->u.submit.spec, ev->u.submit.queue, 0);
	retry_ms = hand_in_refusal_ms(p, ev, &why);
	j = retry_ms > 0
	    ? NULL
	    : job_new(ev->u.submit.id, ev->u.submit.queue, ev->u.submit.spec,
		  pool_remove_refused(p, ev->u.submit.id));
	if (j == NULL) {
		refuse(p, ev, retry_ms > 0 ? why : "memory",
		    retry_ms > 0 ? retry_ms : RETRY_MAX_MS);
		return;
	}
	file_active(p, j);
	write_order(p, j);
	answer_when_written(
	    p, ev->u.submit.token, POOL_ACCEPTED, p->write_serial);
	p->stats.accepted++;
	p->placement_due = true;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job taken in\" job=%s queue=%s tasks=%zu chain_ms=%.0f "
	    "active=%zu came_ms_ago=%lld",
	    j->id, j->queue.name, job_spec_task_count(j->spec),
	    job_spec_critical_path_ms(j->spec), p->active_count,
	    (long long)(p->now_ms - j->submitted_ms));
}

static void
stop_all(struct pool *p, struct job *j)
{
	const struct job_spec *job_spec = j->spec;
	struct occurrence *o;
	unsigned i;
	size_t s;

	LIST_FOREACH(o, &j->occurrences, entries) {
		for (s = 0; s < job_spec->step_count; s++) {
			for (i = 0; i < job_spec->steps[s].task_count; i++)
				task_stop(p, &o->steps[s].tasks[i]);
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
	stop_all(p, j);
	p->placement_due = true;
}

void
pool_fail_job(struct pool *p, struct job *j, const struct task *t)
{
	if (job_final(j))
		return;
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"job has failed\" job=%s queue=%s task=%u.%u attempts=%d",
	    j->id, j->queue.name, t->step->number, t->index,
	    t->step->spec->gang ? t->step->tasks[0].failed_attempts
				: t->failed_attempts);
	end_job(p, j, JOB_FAILED);
}

void
pool_cancel(struct pool *p, const struct pool_event *ev)
{
	struct job *j = pool_find_job(p, ev->u.job.id);

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
	answer_when_written(
	    p, ev->u.job.token, POOL_CANCELLING, p->write_serial);
}

/* What may be shown: a final state only once it is stored. */
static enum job_state
shown_state(const struct pool *p, const struct job *j)
{
	if (!job_final(j) || p->stored_serial >= j->state_serial)
		return j->state;
	return JOB_RUNNING;
}

void
pool_answer_job_query(struct pool *p, const struct pool_event *ev)
{
	const struct job *j = pool_find_job(p, ev->u.job.id);

	if (j == NULL) {
		fx_answer(p, ev->u.job.token, POOL_NO_JOB);
		return;
	}
	fx_answer(p, ev->u.job.token, POOL_JOB_STATE);
	p->fx->list[p->fx->count - 1].u.answer.state = shown_state(p, j);
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

static void
write_progress(struct pool *p, struct job *j)
{
	struct buf *value = job_progress_encode(j, PROGRESS_FULL);
	char key[JOB_KEY_BYTES];

	if (value != NULL && p->opts.record_max_bytes > 0 &&
	    value->len + JOB_KEY_BYTES > p->opts.record_max_bytes) {
		fx_log(p, LOG_LEVEL_WARN,
		    "msg=\"progress is too large: without checkpoints\" "
		    "job=%s bytes=%zu most=%zu",
		    j->id, value->len, p->opts.record_max_bytes);
		buf_unref(value);
		value = job_progress_encode(j, PROGRESS_NO_CHECKPOINTS);
	}
	if (value == NULL)
		abort(); /* ends are acknowledged on the strength of it */
	job_progress_key(key, j->id);
	fx_write(p, key, value);
	j->progress_stale = false;
	if (job_final(j))
		j->state_serial = p->write_serial;
}

static void
file_finished(struct pool *p, struct job *j)
{
	TAILQ_REMOVE(&p->active, j, entries);
	TAILQ_INSERT_TAIL(&p->finished, j, entries);
	p->active_count--;
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
			write_progress(p, j);
		if (!job_final(j))
			continue;
		job_drop_finished(j);
		if (LIST_EMPTY(&j->occurrences))
			file_finished(p, j);
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
    struct job_spec *job_spec, const struct buf *progress, struct err *e)
{
	struct job *j = job_new(id, &r->queue, job_spec, r->submitted_ms);

	if (j == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for job %s", id);
	if (progress != NULL &&
	    job_progress_decode(j, progress->data, progress->len, e) == -1) {
		job_free(j);
		return -1;
	}
	pool_note_arrival(p, job_spec, &r->queue, p->now_ms - r->submitted_ms);
	j->inherited = true;
	j->started = j->state != JOB_QUEUED;
	HASH_ADD_STR(p->jobs, id, j);
	if (job_final(j)) {
		TAILQ_INSERT_TAIL(&p->finished, j, entries);
		p->finished_count++;
	} else {
		TAILQ_INSERT_TAIL(&p->active, j, entries);
		p->active_count++;
	}
	return 0;
}
