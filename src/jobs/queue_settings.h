/* What the operators promise for a queue's jobs. */
#ifndef JOBS_QUEUE_H
#define JOBS_QUEUE_H

#include <stdbool.h>

#include "bounds.h"

struct queue_settings {
	char name[NAME_BYTES];
	int priority; /* 0 comes first */
	int max_attempts; /* failed runs of a task that fail its job; 0 none */
	double stretch; /* objective: times the longest chain of work … */
	int target_latency_ms; /* … and this much more */
	bool has_policy; /* a policy says which workers may run a step */
	int policy_base_ms; /* answer time of the policy: a constant … */
	int policy_per_worker_us; /* … and for each worker named */
	int ticket_valid_ms; /* of its tickets */
};

#endif
