#include "job_spec.h"

#include <stdlib.h>

struct job_spec *
job_spec_new(size_t steps)
{
	struct job_spec *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return NULL;
	o->refs = 1;
	o->step_count = steps;
	o->steps = calloc(steps + 1, sizeof(*o->steps));
	if (o->steps == NULL) {
		free(o);
		return NULL;
	}
	return o;
}

struct job_spec *
job_spec_ref(struct job_spec *o)
{
	o->refs++;
	return o;
}

void
job_spec_unref(struct job_spec *o)
{
	size_t i;

	if (o == NULL || --o->refs > 0)
		return;
	for (i = 0; i < o->step_count; i++)
		free(o->steps[i].depends_on);
	free(o->steps);
	free(o->task_spec);
	buf_unref(o->text);
	free(o);
}

unsigned
job_spec_occurrence_count(const struct job_spec *o)
{
	return o->repetitions > 0 ? o->repetitions : 1;
}

size_t
job_spec_task_count(const struct job_spec *o)
{
	size_t i, n = 0;

	for (i = 0; i < o->step_count; i++)
		n += o->steps[i].task_count;
	return n;
}

int64_t
step_spec_reserved_cpu_milli(const struct step_spec *s)
{
	return s->best_effort ? 0 : s->cpu_milli;
}

double
job_spec_critical_path_ms(const struct job_spec *o)
{
	double ends[JOB_STEPS_MAX], longest = 0, begin;
	size_t i, j;

	for (i = 0; i < o->step_count && i < JOB_STEPS_MAX; i++) {
		begin = 0;
		for (j = 0; j < o->steps[i].depends_on_count; j++) {
			if (ends[o->steps[i].depends_on[j]] > begin)
				begin = ends[o->steps[i].depends_on[j]];
		}
		ends[i] = begin + (double)o->steps[i].estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

bool
job_spec_long_running(const struct job_spec *o)
{
	size_t i;

	for (i = 0; i < o->step_count; i++) {
		if (o->steps[i].long_running)
			return true;
	}
	return false;
}
