/*
 * A job as its caller handed it in: steps of tasks, immutable once parsed.
 * Reference-counted.
 */
#ifndef JOBS_ORDER_H
#define JOBS_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "buf.h"

#define JOB_ID_BYTES 17 /* 16 hexadecimal digits and NUL */
#define JOB_STEPS_MAX 256
#define JOB_TASKS_MAX 20000 /* of one occurrence */
#define LABEL_BYTES NAME_BYTES

struct step_spec {
	unsigned task_count; /* of tasks */
	int64_t cpu_milli; /* thousandths of a core, of one task */
	int64_t memory_mb;
	int64_t accelerators;
	int64_t estimate_ms; /* the caller's rough guess; 0 none */
	unsigned *depends_on; /* earlier steps that must be done */
	size_t depends_on_count;
	bool has_checkpoints;
	bool gang; /* tasks run only together */
	bool same_rack; /* slower on more than one rack */
	bool speculative; /* copies may run side by side */
	bool long_running; /* runs until the job is cancelled */
	bool best_effort; /* takes the cpu that others leave */
	unsigned max_per_worker; /* tasks on one worker, at most; 0 any */
	unsigned max_unavailable; /* lasting tasks away at once by our orders */
	int64_t tail_target_ms; /* of a serving task's tail; 0 none */
	char label[LABEL_BYTES]; /* that the worker must have; "" none */
	char rack[LABEL_BYTES]; /* where its data is; "" none */
	char image[LABEL_BYTES]; /* tasks of one image behave alike */
};

struct job_spec {
	unsigned refs;
	char *task_spec; /* passed on to workers */
	struct step_spec *steps;
	size_t step_count;
	unsigned repetitions; /* 0: runs once, now */
	int64_t first_start_ms; /* Unix time of occurrence 0 */
	int64_t interval_ms; /* between occurrences */
	struct buf *text; /* as it came, for the store */
};

/* One reference, with room for "steps" zeroed steps. */
struct job_spec *job_spec_new(size_t steps);
struct job_spec *job_spec_ref(struct job_spec *o);
void job_spec_unref(struct job_spec *o);
/* Occurrences of a job: at least 1. */
unsigned job_spec_occurrence_count(const struct job_spec *o);
/* Tasks of one occurrence. */
size_t job_spec_task_count(const struct job_spec *o);
/* Thousandths of a core that one task counts against its worker. */
int64_t step_spec_reserved_cpu_milli(const struct step_spec *s);
/* ms of the longest chain of steps by the caller's estimates. */
double job_spec_critical_path_ms(const struct job_spec *o);
/* Has tasks that run until it is cancelled. */
bool job_spec_long_running(const struct job_spec *o);

#endif
