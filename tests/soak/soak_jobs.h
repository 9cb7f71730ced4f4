/* The kinds of jobs that the soak's clients hand in; an ID names its kind. */
#ifndef SOAK_JOBS_H
#define SOAK_JOBS_H

#include <stdbool.h>

#define SOAK_STEPS_MAX 3
#define SOAK_KINDS 8
#define SOAK_LASTING 4 /* the kind whose tasks last */
#define SOAK_ID_LEN 16
/* One job in so many, of one client in so many, has a deadly task. */
#define SOAK_DEADLY_OF 40
#define SOAK_DEADLY_CLIENTS 8
#define SOAK_PROBES 8 /* newest configurations with a route of their own */
/* A queue that each configuration gives to the other pool. */
#define SOAK_MOVED_PREFIX "/moved/"
#define SOAK_DEADLINE_MS 3000 /* how long a client waits */
#define SOAK_KEY_FORMAT "key-of-client-%d"
#define SOAK_KEY_NEVER "key-of-nobody" /* no configuration ever has it */

struct soak_step {
	int count;
	unsigned after; /* bits of earlier steps */
};

struct soak_kind {
	const char *prefix, *body;
	int steps;
	struct soak_step step[SOAK_STEPS_MAX];
	int attempts; /* the queue's maxAttempts */
	bool lasting, hopeless; /* hopeless: every run fails */
};

extern const struct soak_kind soak_kinds[SOAK_KINDS];

/* The client's job of this number has a task that crashes its workers. */
bool soak_job_deadly(unsigned client, unsigned number);
/* The client that handed in the job of an ID. */
int soak_job_client(const char *id);
/* The kind that an ID names. */
const struct soak_kind *soak_kind_of(const char *id);

/* A client process: "soak client N SEED DIR PORTS". */
int soak_client_main(int argc, char **argv);

#endif
