/* Operators' settings and objectives for the jobs of a queue. */
#ifndef JOBS_QUEUE_SETTINGS_H
#define JOBS_QUEUE_SETTINGS_H

#include <stdbool.h>

#include "bounds.h"

struct queue_settings {
	char name[NAME_BYTES];
	int priority; /* 0 comes first */
	/* Failed runs of one task that fail its job; 0: no limit. */
	int max_attempts;
	/*
	 * A job's objective is "stretch" times its critical path plus
	 * target_latency_ms.
	 */
	double stretch;
	int target_latency_ms;
	bool has_policy; /* a policy decides which workers may run a step */
	/*
	 * The policy answers a query in policy_base_ms plus
	 * policy_per_worker_us for each worker in it.
	 */
	int policy_base_ms;
	int policy_per_worker_us;
	int ticket_valid_ms; /* validity of the policy's tickets */
};

#endif
