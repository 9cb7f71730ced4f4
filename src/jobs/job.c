#include "job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct job *
job_new(const struct job_opts *opts)
{
	struct job *j;

	j = calloc(1, sizeof(*j));
	if (j == NULL)
		return NULL;
	snprintf(j->id, sizeof(j->id), "%s", opts->id);
	j->queue = *opts->queue;
	j->spec = job_spec_ref(opts->spec);
	j->submitted_ms = opts->submitted_ms;
	j->checkpoints = opts->checkpoints;
	LIST_INIT(&j->occurrences);
	return j;
}

static void
task_uninit(struct task *t)
{
	struct late_start *l;

	while ((l = LIST_FIRST(&t->late_starts)) != NULL) {
		LIST_REMOVE(l, entries);
		free(l);
	}
	stored_text_free(&t->checkpoint);
	free(t->crashes);
}

static void
step_uninit(struct job_step *s)
{
	struct step_verdict *v, *next;
	unsigned i;

	for (i = 0; s->tasks != NULL && i < s->spec->task_count; i++)
		task_uninit(&s->tasks[i]);
	free(s->tasks);
	free(s->advice.queried);
	HASH_ITER(hh, s->advice.verdicts, v, next)
	{
		HASH_DEL(s->advice.verdicts, v);
		stored_text_free(&v->ticket);
		free(v);
	}
}

static void
occurrence_free(struct occurrence *o)
{
	size_t i;

	LIST_REMOVE(o, entries);
	for (i = 0; i < o->job->spec->step_count; i++)
		step_uninit(&o->steps[i]);
	free(o->steps);
	free(o);
}

void
job_free(struct job *j)
{
	struct occurrence *o;

	while ((o = LIST_FIRST(&j->occurrences)) != NULL)
		occurrence_free(o);
	job_spec_unref(j->spec);
	free(j);
}

int64_t
job_next_due_ms(const struct job *j)
{
	const struct job_spec *spec = j->spec;

	if (job_final(j) ||
	    j->next_occurrence_number >= job_spec_occurrence_count(spec))
		return INT64_MAX;
	if (spec->repetitions == 0)
		return 0;
	return spec->first_start_ms +
	    (int64_t)j->next_occurrence_number * spec->interval_ms;
}

static int
step_init(struct job_step *s, struct occurrence *o, unsigned number)
{
	const struct step_spec *spec = &o->job->spec->steps[number];
	unsigned i;

	s->occurrence = o;
	s->spec = spec;
	s->number = number;
	s->open_dependency_count = (unsigned)spec->depends_on_count;
	s->tasks = calloc(spec->task_count, sizeof(*s->tasks));
	if (s->tasks == NULL)
		return -1;
	for (i = 0; i < spec->task_count; i++) {
		s->tasks[i].step = s;
		s->tasks[i].index = i;
		s->tasks[i].throttle_percent = 100;
	}
	return 0;
}

struct occurrence *
job_start_occurrence(struct job *j)
{
	int64_t due_ms = job_next_due_ms(j);
	struct occurrence *o;
	size_t i;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return NULL;
	o->job = j;
	o->number = j->next_occurrence_number;
	o->due_ms = due_ms;
	LIST_INSERT_HEAD(&j->occurrences, o, entries);
	o->steps = calloc(j->spec->step_count, sizeof(*o->steps));
	if (o->steps == NULL)
		goto fail;
	for (i = 0; i < j->spec->step_count; i++) {
		if (step_init(&o->steps[i], o, (unsigned)i) == -1)
			goto fail;
	}
	j->next_occurrence_number++;
	return o;
fail:
	LIST_REMOVE(o, entries);
	for (i = 0; o->steps != NULL && i < j->spec->step_count; i++)
		free(o->steps[i].tasks);
	free(o->steps);
	free(o);
	return NULL;
}

struct task *
job_find_task(struct job *j, const struct task_name *n)
{
	struct occurrence *o;

	LIST_FOREACH(o, &j->occurrences, entries) {
		if (o->number != n->occurrence)
			continue;
		if (n->step >= j->spec->step_count ||
		    n->index >= j->spec->steps[n->step].task_count)
			return NULL;
		return &o->steps[n->step].tasks[n->index];
	}
	return NULL;
}

void
task_get_name(const struct task *t, struct task_name *n)
{
	const struct occurrence *o = t->step->occurrence;

	memcpy(n->job, o->job->id, sizeof(n->job));
	n->occurrence = o->number;
	n->step = t->step->number;
	n->index = t->index;
}

/* Releases the steps that depend on this one. */
static void
step_done(struct job_step *s)
{
	struct occurrence *o = s->occurrence;
	struct job_step *later;
	size_t i, k;

	o->done_step_count++;
	for (i = s->number + 1; i < o->job->spec->step_count; i++) {
		later = &o->steps[i];
		for (k = 0; k < later->spec->depends_on_count; k++) {
			if (later->spec->depends_on[k] == s->number)
				later->open_dependency_count--;
		}
	}
}

static bool
occurrence_placed(const struct occurrence *o)
{
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		if (o->steps[i].placed_count > 0)
			return true;
	}
	return false;
}

void
task_mark_done(struct task *t, int64_t now_ms)
{
	struct job_step *s = t->step;
	struct occurrence *o = s->occurrence;
	struct job *j = o->job;

	if (t->done)
		return;
	t->done = true;
	stored_text_free(&t->checkpoint);
	j->progress_stale = true;
	if (++s->done_count < s->spec->task_count)
		return;
	step_done(s);
	if (o->done_step_count < j->spec->step_count)
		return;
	j->done_occurrence_count++;
	if (j->done_occurrence_count == job_spec_occurrence_count(j->spec)) {
		j->state = JOB_COMPLETED;
		j->ended_ms = now_ms;
	}
}

void
job_drop_finished(struct job *j)
{
	struct occurrence *o, *next;

	for (o = LIST_FIRST(&j->occurrences); o != NULL; o = next) {
		next = LIST_NEXT(o, entries);
		if ((job_final(j) ||
			o->done_step_count == j->spec->step_count) &&
		    !occurrence_placed(o))
			occurrence_free(o);
	}
}

bool
task_count_failure(struct task *t, int64_t run)
{
	size_t i;

	for (i = 0; i < FAILED_RUNS_KEPT; i++) {
		if (t->failed_runs[i] == run)
			return false;
	}
	t->failed_runs[t->failed_attempts++ % FAILED_RUNS_KEPT] = run;
	return true;
}

/* Any member's checkpoint is valid for its gang, which starts from one. */
static struct task *
checkpoint_holder(const struct task *t)
{
	return &t->step->tasks[t->step->spec->gang ? 0 : t->index];
}

bool
task_set_checkpoint(struct task *t, const struct text_view *checkpoint)
{
	struct task *holder = checkpoint_holder(t);

	if (checkpoint->len == 0 || holder->done)
		return true;
	return text_store_put(t->step->occurrence->job->checkpoints,
	    &holder->checkpoint, checkpoint);
}

struct buf *
task_checkpoint(const struct task *t)
{
	return stored_text_value(checkpoint_holder(t)->checkpoint);
}

struct task_crashes *
task_get_crashes(struct task *t)
{
	if (t->crashes == NULL)
		t->crashes = calloc(1, sizeof(*t->crashes));
	if (t->crashes == NULL)
		abort(); /* the task might crash workers without a limit */
	return t->crashes;
}

void
occurrence_expect(struct occurrence *o, const struct run_time_model *m)
{
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++)
		o->steps[i].expected_ms =
		    run_time_expected_ms(m, o->steps[i].spec->estimate_ms);
}

/*
 * Time that a step still takes.  Once all its tasks are placed, the time since
 * the newest start is subtracted.
 */
static double
step_left_ms(const struct job_step *s, int64_t now_us)
{
	double left_ms = s->expected_ms, ran_ms;
	double since_start_ms = left_ms;
	unsigned i;

	if (s->done_count == s->spec->task_count)
		return 0;
	if (s->done_count + s->placed_count < s->spec->task_count)
		return left_ms;
	for (i = 0; i < s->spec->task_count; i++) {
		if (s->tasks[i].done)
			continue;
		ran_ms = (double)(now_us - s->tasks[i].placed_us) /
		    (double)US_PER_MS;
		if (ran_ms < since_start_ms)
			since_start_ms = ran_ms;
	}
	return left_ms - since_start_ms;
}

double
occurrence_critical_path_left_ms(const struct occurrence *o, int64_t now_us)
{
	const struct job_spec *spec = o->job->spec;
	double step_ms[JOB_STEPS_MAX];
	size_t i;

	for (i = 0; i < spec->step_count && i < JOB_STEPS_MAX; i++)
		step_ms[i] = step_left_ms(&o->steps[i], now_us);
	return job_spec_longest_path_ms(spec, step_ms);
}

double
occurrence_work_left(const struct occurrence *o)
{
	const struct step_spec *s;
	double work = 0;
	size_t i;

	for (i = 0; i < o->job->spec->step_count; i++) {
		s = o->steps[i].spec;
		work += (double)(s->task_count - o->steps[i].done_count) *
		    (double)s->cpu_milli * o->steps[i].expected_ms;
	}
	return work;
}

int64_t
occurrence_objective_span_ms(const struct occurrence *o)
{
	const struct queue_settings *q = &o->job->queue;
	const struct job_spec *spec = o->job->spec;
	double step_ms[JOB_STEPS_MAX];
	size_t i;

	for (i = 0; i < spec->step_count && i < JOB_STEPS_MAX; i++)
		step_ms[i] = o->steps[i].expected_ms;
	return (int64_t)(q->stretch * job_spec_longest_path_ms(spec, step_ms)) +
	    q->target_latency_ms;
}
