#include "job_spec.h"

#include <stdlib.h>

struct job_spec *
job_spec_new(size_t steps)
{
	struct job_spec *s;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->refs = 1;
	s->step_count = steps;
	s->steps = calloc(steps + 1, sizeof(*s->steps));
	if (s->steps == NULL) {
		free(s);
		return NULL;
	}
	return s;
}

struct job_spec *
job_spec_ref(struct job_spec *s)
{
	s->refs++;
	return s;
}

void
job_spec_unref(struct job_spec *s)
{
	size_t i;

	if (s == NULL || --s->refs > 0)
		return;
	for (i = 0; i < s->step_count; i++)
		free(s->steps[i].depends_on);
	free(s->steps);
	free(s->task_spec);
	free(s);
}

unsigned
job_spec_occurrence_count(const struct job_spec *s)
{
	return s->repetitions > 0 ? s->repetitions : 1;
}

size_t
job_spec_task_count(const struct job_spec *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->step_count; i++)
		n += s->steps[i].task_count;
	return n;
}

int64_t
step_spec_reserved_cpu_milli(const struct step_spec *s)
{
	return s->best_effort ? 0 : s->cpu_milli;
}

unsigned
step_spec_unit_tasks(const struct step_spec *s)
{
	return s->gang ? s->task_count : 1;
}

double
job_spec_longest_path_ms(const struct job_spec *s, const double *step_ms)
{
	double ends[JOB_STEPS_MAX], longest = 0, begin;
	size_t i, j;

	for (i = 0; i < s->step_count && i < JOB_STEPS_MAX; i++) {
		begin = 0;
		for (j = 0; j < s->steps[i].depends_on_count; j++) {
			if (ends[s->steps[i].depends_on[j]] > begin)
				begin = ends[s->steps[i].depends_on[j]];
		}
		ends[i] = begin + step_ms[i];
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

double
job_spec_critical_path_ms(
    const struct job_spec *s, const struct run_time_model *m)
{
	double step_ms[JOB_STEPS_MAX];
	size_t i;

	for (i = 0; i < s->step_count && i < JOB_STEPS_MAX; i++)
		step_ms[i] = run_time_expected_ms(m, s->steps[i].estimate_ms);
	return job_spec_longest_path_ms(s, step_ms);
}

bool
job_spec_long_running(const struct job_spec *s)
{
	size_t i;

	for (i = 0; i < s->step_count; i++) {
		if (s->steps[i].long_running)
			return true;
	}
	return false;
}
