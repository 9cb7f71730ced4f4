/*
 * Where jobs of a queue may be.  A configuration may give a queue to another
 * pool; jobs that were accepted before stay where they are.  A pool registers
 * as a home of the queue before it accepts its first job, in a topic that all
 * owners follow, and ceases to be one when it has no job of the queue left.
 * So an owner knows which other pools to ask before it says that there is no
 * such job, or accepts one.  Does no I/O.
 */
#ifndef JOBS_QUEUE_HOMES_H
#define JOBS_QUEUE_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "buf.h"
#include "errors.h"

#define HOME_KEY_BYTES 40 /* of a record's key, with NUL */
#define HOMES_ASKED_MAX 8 /* other pools that one request is asked at */

struct queue_homes;

/* A pool that may hold jobs of a queue. */
struct queue_home {
	char queue[NAME_BYTES];
	char pool[NAME_BYTES];
	/* Of a configuration that gives the queue to the pool. */
	int64_t config_version;
};

/* NULL when out of memory. */
struct queue_homes *queue_homes_new(void);
void queue_homes_free(struct queue_homes *h);

void queue_home_key(
    char key[HOME_KEY_BYTES], const char *queue, const char *pool);
/* NULL when out of memory. */
struct buf *queue_home_encode(const struct queue_home *home);
/* A record of the topic; "data" NULL: the key was dropped. */
struct home_record {
	const char *key;
	const void *data;
	size_t len;
	int64_t offset;
	uint64_t scan; /* newest scan of all keys when it was read */
};

/*
 * Returns -1 and fills "e" if the record is damaged; the home is then left as
 * it was.
 */
int queue_homes_apply(
    struct queue_homes *h, const struct home_record *r, struct err *e);
/*
 * A scan of all keys is complete.  Homes before "end" that it did not include
 * were dropped, by records that are no longer there to be read.
 */
void queue_homes_scanned(struct queue_homes *h, uint64_t scan, int64_t end);

/* A request for a job that the pool does not have. */
struct home_query {
	const char *queue;
	const char *pool; /* whose owner decides */
	/* Pool of the queue by the owner's configuration; NULL: no queue. */
	const char *configured_pool;
	int64_t config_version; /* of the owner */
	/* Of the daemon that took the request in; 0: not given. */
	int64_t request_version;
	bool searched; /* the other homes do not have the job */
};

enum home_verdict {
	HOME_HERE, /* the pool accepts it, or there is no such job */
	HOME_ELSEWHERE, /* the first of "pools" decides */
	HOME_SEARCH, /* "pools" are asked first */
	HOME_UNREGISTERED, /* the pool registers first */
	/* What is known here, or where the request came in, is too old. */
	HOME_UNKNOWN
};

struct home_decision {
	enum home_verdict verdict;
	char pools[HOMES_ASKED_MAX][NAME_BYTES];
	size_t count;
};

void queue_homes_decide(const struct queue_homes *h, const struct home_query *q,
    struct home_decision *d);

/* No record of the home is relied on until one at "offset" or later is read. */
void queue_homes_suspend(
    struct queue_homes *h, const char *queue, const char *pool, int64_t offset);
/* Calls back for each home in the pool; no home may change meanwhile. */
void queue_homes_each(const struct queue_homes *h, const char *pool,
    void (*each)(void *arg, const struct queue_home *home), void *arg);

#endif
