/*
 * A job as its caller submitted it: steps of tasks, immutable once parsed.
 * Reference-counted.
 */
#ifndef JOBS_JOB_SPEC_H
#define JOBS_JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "run_time.h"

#define JOB_ID_BYTES 17 /* 16 hexadecimal digits and NUL */
#define JOB_STEPS_MAX 256
#define JOB_TASKS_MAX 20000 /* of one occurrence */
#define LABEL_BYTES NAME_BYTES

/* The resources are those of one task. */
struct step_spec {
	unsigned task_count;
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
	int64_t estimate_ms; /* caller's estimate of the run time; 0: none */
	unsigned *depends_on; /* earlier steps that must be done */
	size_t depends_on_count;
	bool has_checkpoints;
	bool gang; /* tasks run only together */
	bool same_rack; /* slower on more than one rack */
	bool speculative; /* copies may run side by side */
	bool long_running; /* runs until the job is cancelled */
	bool best_effort; /* takes the CPU time that others leave */
	unsigned max_per_worker; /* tasks on one worker; 0: any number */
	/* Long-running tasks that the owner may make unavailable at once. */
	unsigned max_unavailable;
	int64_t tail_target_ms; /* tail latency of a serving task; 0: none */
	char label[LABEL_BYTES]; /* the worker must have it; "": none */
	char rack[LABEL_BYTES]; /* where the step's data is; "": none */
	char image[LABEL_BYTES]; /* tasks of one image behave alike */
};

struct job_spec {
	unsigned refs;
	char *task_spec; /* passed on to workers */
	struct step_spec *steps;
	size_t step_count;
	unsigned repetitions; /* 0: runs once, when accepted */
	int64_t first_start_ms; /* Unix time of occurrence 0 */
	int64_t interval_ms; /* between occurrences */
};

/* Returns one reference, with "steps" zeroed steps; NULL: out of memory. */
struct job_spec *job_spec_new(size_t steps);
struct job_spec *job_spec_ref(struct job_spec *s);
void job_spec_unref(struct job_spec *s);
/* Occurrences of a job: at least 1. */
unsigned job_spec_occurrence_count(const struct job_spec *s);
/* Tasks of one occurrence. */
size_t job_spec_task_count(const struct job_spec *s);
/*
 * Thousandths of a core that one task reserves on its worker: none for a
 * best-effort task.
 */
int64_t step_spec_reserved_cpu_milli(const struct step_spec *s);
/* Tasks that start together or not at all: one, or a whole gang. */
unsigned step_spec_unit_tasks(const struct step_spec *s);
/*
 * Longest sum of times along the steps' dependencies; "step_ms" has the time of
 * each step.
 */
double job_spec_longest_path_ms(
    const struct job_spec *s, const double *step_ms);
/* Expected time of the steps' critical path in ms. */
double job_spec_critical_path_ms(
    const struct job_spec *s, const struct run_time_model *m);
/* Has tasks that run until the job is cancelled. */
bool job_spec_long_running(const struct job_spec *s);

#endif
