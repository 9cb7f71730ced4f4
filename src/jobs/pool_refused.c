/*
 * Jobs that were refused and may come again.  Their objective runs from when
 * they came first: after an overload or an outage of the store, what can
 * still be in time must not wait behind what only looks so.
 */
#include <stdio.h>
#include <stdlib.h>

#include "pool_state.h"

#define REFUSED_MAX 4000 /* as many as may be unfinished */
#define REFUSED_KEPT_MS 30000 /* callers have given up by then */

static void
forget(struct pool *p, struct refused_job *r)
{
	HASH_DEL(p->refused, r);
	free(r);
}

/* uthash keeps the order of insertion: the oldest come first. */
static void
forget_old(struct pool *p)
{
	struct refused_job *r;

	while ((r = p->refused) != NULL &&
	    (HASH_COUNT(p->refused) > REFUSED_MAX ||
		p->now_ms - r->first_ms > REFUSED_KEPT_MS))
		forget(p, r);
}

void
pool_note_refused(struct pool *p, const char *id)
{
	struct refused_job *r;

	forget_old(p);
	HASH_FIND_STR(p->refused, id, r);
	if (r != NULL)
		return;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return; /* it counts as new when it comes again */
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
	forget(p, r);
	return first_ms;
}

void
pool_refused_free(struct pool *p)
{
	while (p->refused != NULL)
		forget(p, p->refused);
}
