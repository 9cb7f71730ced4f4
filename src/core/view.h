/*
 * Context of one step, shared by the modules of the reducer.  Filled in by
 * step.c and valid during the step only.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "bounds.h"

struct appender;
struct control;
struct fold;
struct path;
struct peers;

struct view {
	/* this daemon */
	uint64_t self; /* daemon id: xxhash of its name */
	uint64_t incarnation; /* random for each start of the process */
	const char *name;
	const char *data_centre;
	/* this step */
	int64_t now_us; /* monotonic clock */
	int64_t wall_ms; /* Unix time */
	uint64_t *prng; /* state of prng_next() */
	/* modules */
	const struct fold *fold;
	const struct peers *peers;
	const struct path *path;
	const struct control *control;
	struct appender *appender;
	/*
	 * The fold is current: it was read up to a log tail that was observed
	 * after this daemon's start, or it came from a peer that waits for
	 * this daemon's acknowledgements.
	 */
	bool ready;
	bool stopping; /* a planned stop is in progress */
	bool log_down; /* the last log read or append failed */
};

/* xorshift64*, the reducer's only source of random numbers. */
uint64_t prng_next(uint64_t *state);
/* Uniform in [0, bound); bound > 0. */
uint64_t prng_below(uint64_t *state, uint64_t bound);

#endif
