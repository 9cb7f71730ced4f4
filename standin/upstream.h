/*
 * An upstream worker: slots, connections and a service time.  Its answers
 * repeat the request's ids and a hash of its body, so that an answer to
 * another request can be told; runs are counted by id.
 */
#ifndef STANDIN_UPSTREAM_H
#define STANDIN_UPSTREAM_H

#include <stdint.h>

#include "errors.h"

struct upstream;

struct upstream_opts {
	const char *addr;
	int port;
	const char *name;
	int slots; /* concurrent requests; further ones are refused */
	int connections; /* open at once; further ones are closed */
	int service_min_ms, service_max_ms;
	uint64_t seed; /* of service times */
};

struct upstream *upstream_new(const struct upstream_opts *opts, struct err *e);
void upstream_free(struct upstream *u);
/* Runs until SIGTERM.  Returns the process's exit code. */
int upstream_run(struct upstream *u);

#endif
