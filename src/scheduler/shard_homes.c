/*
 * Whether the owner of a pool answers a request for a job that the pool does
 * not have: the job may be in another pool, which had its queue before.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "home_registry.h"
#include "shard.h"

static const struct config_queue *
find_queue(const struct config *c, const char *name)
{
	size_t i;

	for (i = 0; c != NULL && i < c->queue_count; i++) {
		if (strcmp(c->queues[i].settings.name, name) == 0)
			return &c->queues[i];
	}
	return NULL;
}

static void
decide(const struct shard *sh, const struct job_request *r,
    struct home_decision *d)
{
	const struct config *c = sh->scheduler->config;
	const struct config_queue *queue = find_queue(c, r->settings.name);
	struct home_query q = {
	    .queue = r->settings.name,
	    .pool = sh->pool_name,
	    .configured_pool = queue != NULL ? queue->pool : NULL,
	    .config_version = c != NULL ? c->version : 0,
	    .request_version = r->config_version,
	    .searched = r->searched,
	};

	home_registry_decide(
	    sh->scheduler->homes, &q, sh->takeover_start_us, d);
}

static void
reply_with_pools(struct job_reply *reply, enum job_reply_kind kind,
    const struct home_decision *d)
{
	reply->kind = kind;
	memcpy(reply->pools, d->pools, sizeof(reply->pools));
	reply->pool_count = d->count;
}

static void
log_decision(const struct shard *sh, const struct job_request *r,
    const struct home_decision *d)
{
	static const char *const names[] = {
	    [HOME_HERE] = "here",
	    [HOME_ELSEWHERE] = "elsewhere",
	    [HOME_SEARCH] = "search",
	    [HOME_UNREGISTERED] = "unregistered",
	    [HOME_UNKNOWN] = "unknown",
	};

	daemon_log(LOG_LEVEL_INFO, "homes",
	    "msg=\"%s request: the pool does not have the job\" pool=%s job=%s "
	    "queue=%s verdict=%s ask=%s of=%zu config=%lld request_config=%lld",
	    job_op_name(r->op), sh->pool_name, r->id, r->settings.name,
	    names[d->verdict], d->count > 0 ? d->pools[0] : "none", d->count,
	    (long long)(sh->scheduler->config != NULL
		    ? sh->scheduler->config->version
		    : 0),
	    (long long)r->config_version);
}

bool
shard_homes_admit(
    struct shard *sh, const struct job_request *r, struct job_reply *reply)
{
	struct home_decision d;

	reply->kind = REPLY_NOT_DONE;
	if (r->probe) /* an older configuration may yet accept the job */
		return sh->scheduler->config != NULL &&
		    sh->scheduler->config->version >= r->config_version;
	if (r->op != JOB_COUNT_WAITING && pool_has_job(sh->pool, r->id))
		return true;
	decide(sh, r, &d);
	if (r->op == JOB_COUNT_WAITING) {
		if (d.verdict != HOME_SEARCH || r->config_version == 0)
			return true;
		reply_with_pools(reply, REPLY_SEARCH, &d);
		return false;
	}
	if (d.verdict == HOME_HERE)
		return true;
	log_decision(sh, r, &d);
	if (r->config_version == 0) /* the daemon does not know the others */
		return false;
	switch (d.verdict) {
	case HOME_ELSEWHERE:
		reply_with_pools(reply, REPLY_ELSEWHERE, &d);
		break;
	case HOME_SEARCH:
		reply_with_pools(reply, REPLY_SEARCH, &d);
		break;
	case HOME_HERE:
	case HOME_UNREGISTERED:
	case HOME_UNKNOWN:
		break;
	}
	return false;
}

void
shard_homes_register(struct shard *sh)
{
	const struct config *c = sh->scheduler->config;
	struct job_request r = {.op = JOB_QUERY, .searched = true};
	struct home_decision d;
	size_t i;

	for (i = 0; c != NULL && i < c->queue_count; i++) {
		if (strcmp(c->queues[i].pool, sh->pool_name) != 0)
			continue;
		r.settings = c->queues[i].settings;
		r.config_version = c->version;
		decide(sh, &r, &d);
	}
}

/* Homes in one pool that are to be dropped. */
struct unused_homes {
	const struct shard *shard;
	struct queue_home *list;
	size_t count, capacity;
};

static void
add_unused(void *arg, const struct queue_home *home)
{
	struct unused_homes *u = arg;
	const struct config_queue *q =
	    find_queue(u->shard->scheduler->config, home->queue);
	struct queue_home *list;

	if (q != NULL && strcmp(q->pool, u->shard->pool_name) == 0)
		return;
	if (pool_has_queue_jobs(u->shard->pool, home->queue))
		return;
	if (u->count == u->capacity) {
		u->capacity = u->capacity > 0 ? u->capacity * 2 : 8;
		list = realloc(u->list, u->capacity * sizeof(*list));
		if (list == NULL)
			return; /* the next check tries again */
		u->list = list;
	}
	u->list[u->count++] = *home;
}

void
shard_homes_check(struct shard *sh)
{
	struct unused_homes u = {.shard = sh};

	if (sh->state != SHARD_OWNING || sh->term_ended ||
	    shard_ownership_expired(sh) || sh->scheduler->config == NULL)
		return;
	shard_homes_register(sh);
	queue_homes_each(home_registry_homes(sh->scheduler->homes),
	    sh->pool_name, add_unused, &u);
	if (u.count > 0)
		home_registry_drop(sh->scheduler->homes, u.list, u.count);
	free(u.list);
}
