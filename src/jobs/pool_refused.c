/*
 * Refused jobs, whose callers may submit them again.  Their objective counts
 * from the first submission: otherwise, after an overload or an outage of the
 * store, late jobs would look as if they were on time and would delay jobs that
 * can still meet their objective.
 */
#include <stdio.h>
#include <stdlib.h>

#include "pool_state.h"

#define REFUSED_MAX 4000 /* same as the limit of unfinished jobs */
#define REFUSED_RETENTION_MS 30000 /* callers have given up by then */

static void
drop_refused(struct pool *p, struct refused_job *r)
{
	HASH_DEL(p->refused, r);
	free(r);
}

/* uthash keeps the order of insertion: the oldest entry is the first. */
static void
drop_old_refused(struct pool *p)
{
	struct refused_job *r;

	while ((r = p->refused) != NULL &&
	    (HASH_COUNT(p->refused) > REFUSED_MAX ||
		p->now_ms - r->first_ms > REFUSED_RETENTION_MS))
		drop_refused(p, r);
}

void
pool_note_refused(struct pool *p, const char *id)
{
	struct refused_job *r;

	drop_old_refused(p);
	HASH_FIND_STR(p->refused, id, r);
	if (r != NULL)
		return;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return; /* a repeated submission counts as the first */
	snprintf(r->id, sizeof(r->id), "%s", id);
	r->first_ms = p->now_ms;
	HASH_ADD_STR(p->refused, id, r);
}

int64_t
pool_remove_refused(struct pool *p, const char *id)
{
	struct refused_job *r;
	int64_t first_ms;

	HASH_FIND_STR(p->refused, id, r);
	if (r == NULL)
		return p->now_ms;
	first_ms = r->first_ms;
	drop_refused(p, r);
	return first_ms;
}

void
pool_refused_free(struct pool *p)
{
	while (p->refused != NULL)
		drop_refused(p, p->refused);
}
