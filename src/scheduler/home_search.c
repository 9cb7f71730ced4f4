#include "home_search.h"

#include <stdio.h>
#include <string.h>

static void
probe_next(struct home_search *s, struct job_request *r)
{
	snprintf(r->pool, NAME_BYTES, "%s", s->pools[s->next++]);
}

void
home_search_begin(
    struct home_search *s, struct job_request *r, const struct job_reply *reply)
{
	memcpy(s->pools, reply->pools, sizeof(s->pools));
	s->count = reply->pool_count;
	s->next = 0;
	s->active = true;
	s->op = r->op;
	memcpy(s->pool, r->pool, NAME_BYTES);
	s->body = r->body;
	s->waiting_count = 0;
	r->body = NULL;
	r->probe = true;
	if (r->op != JOB_COUNT_WAITING)
		r->op = JOB_QUERY;
	probe_next(s, r);
}

bool
home_search_follow(
    struct home_search *s, struct job_request *r, const struct job_reply *reply)
{
	if (s->hops++ >= HOME_HOPS_MAX)
		return false;
	r->searched = false;
	snprintf(r->pool, NAME_BYTES, "%s", reply->pools[0]);
	return true;
}

/* The request is itself again, and goes to "pool". */
static void
end_search(struct home_search *s, struct job_request *r, const char *pool)
{
	s->active = false;
	r->op = s->op;
	r->body = s->body;
	s->body = NULL;
	r->probe = false;
	r->searched = true;
	snprintf(r->pool, NAME_BYTES, "%s", pool);
}

void
home_search_answered(
    struct home_search *s, struct job_request *r, const struct job_reply *reply)
{
	char found[NAME_BYTES];

	if (reply->answer == POOL_JOB_STATE) {
		memcpy(found, r->pool, NAME_BYTES);
		end_search(s, r, found);
		return;
	}
	s->waiting_count += reply->waiting_count;
	if (s->next < s->count)
		probe_next(s, r);
	else
		end_search(s, r, s->pool);
}

void
home_search_uninit(struct home_search *s)
{
	buf_unref(s->body);
}
