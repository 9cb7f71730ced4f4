/* How many workers a pool could use: told by its owner to the keeper. */
#ifndef JOBS_DEMAND_H
#define JOBS_DEMAND_H

#include <stddef.h>
#include <stdint.h>

/* What the figures of a demand stand for; where less is known, "at least". */
enum demand_coverage {
	DEMAND_UNKNOWN, /* workers have yet to answer to a new owner */
	DEMAND_BACKLOG, /* what waits and runs is known … */
	DEMAND_COMPLETE /* … and how fast more arrives, too */
};

struct pool_demand {
	enum demand_coverage coverage;
	int64_t wanted_workers_milli; /* thousandths of a worker that jobs could
					 use */
	int64_t arriving_workers_milli; /* … and that jobs arriving as of late
					   will */
	size_t long_running_workers; /* workers that lasting tasks need: others
					give way */
	size_t min_workers; /* workers at least, by what fits nowhere now */
};

#endif
