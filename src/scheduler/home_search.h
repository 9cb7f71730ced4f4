/*
 * A caller's request whose job may be in one of several pools, as its queue has
 * been given to another one.  For caller_request.c only.
 */
#ifndef HOME_SEARCH_H
#define HOME_SEARCH_H

#include "job_call.h"

/* Times that one request follows its queue to another pool. */
#define HOME_HOPS_MAX 4

struct home_search {
	bool active; /* the request is a probe of one of "pools" */
	char pools[HOMES_ASKED_MAX][NAME_BYTES];
	size_t count, next;
	int hops;
	/* The request itself, while it is a probe. */
	enum job_op op;
	char pool[NAME_BYTES];
	struct buf *body;
	size_t waiting_count; /* of the pools that have answered */
};

/* Turns the request into a probe of the first of the reply's pools. */
void home_search_begin(struct home_search *s, struct job_request *r,
    const struct job_reply *reply);
/* Sends the request to the pool that has its queue. */
bool home_search_follow(struct home_search *s, struct job_request *r,
    const struct job_reply *reply);
/*
 * Applies the answer to a probe: the request is the next probe, or itself
 * again, for the pool that has the job or for the one that has its queue.
 */
void home_search_answered(struct home_search *s, struct job_request *r,
    const struct job_reply *reply);
void home_search_uninit(struct home_search *s);

#endif
