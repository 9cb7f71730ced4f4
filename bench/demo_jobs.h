/* The demo's part on jobs: two daemons, one of them killed. */
#ifndef DEMO_JOBS_H
#define DEMO_JOBS_H

#include <stdbool.h>
#include <stdint.h>

struct demo_jobs {
	int handed_in, accepted, completed, cancelled;
	int64_t twice; /* runs of a task at once, or after its end */
	int64_t start_p50_ms; /* handed in to first start */
	bool finished; /* every job has ended in time */
};

void demo_jobs_run(struct demo_jobs *d);

#endif
