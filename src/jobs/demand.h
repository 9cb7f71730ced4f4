/* Workers that a pool could use, as its owner reports to the controller. */
#ifndef JOBS_DEMAND_H
#define JOBS_DEMAND_H

#include <stddef.h>
#include <stdint.h>

/* What the figures of a demand cover; if not complete, they are minimums. */
enum demand_coverage {
	DEMAND_UNKNOWN, /* some workers have not answered to a new owner yet */
	DEMAND_BACKLOG, /* waiting and running work */
	DEMAND_COMPLETE /* also the rate at which more work arrives */
};

struct pool_demand {
	enum demand_coverage coverage;
	/* Thousandths of a worker that the present jobs could use. */
	int64_t wanted_workers_milli;
	/* Thousandths of a worker that arriving work uses at its rate. */
	int64_t arriving_workers_milli;
	/*
	 * Workers that long-running tasks need.  Other pools give up workers
	 * for them, but keep those that their own long-running tasks need.
	 */
	size_t long_running_workers;
	/* Lower limit while waiting work finds no capacity; 0: none. */
	size_t min_workers;
};

#endif
