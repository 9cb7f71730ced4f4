#include "shards.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "home_registry.h"
#include "machine_list_reader.h"
#include "job_spec_wire.h"
#include "shard.h"
#include "topic_claim.h"
#include "store_watch.h"

/* Delay given to callers whose jobs the store would not take in time. */
#define STORE_STALL_RETRY_MS 1000
/* Upper bound of what a job's record holds besides the caller's text. */
#define JOB_RECORD_OVERHEAD_BYTES 1024

static void shard_release(struct shard *sh, const char *why);

struct shard *
shards_find(const struct shards *all, const char *pool)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries) {
		if (strcmp(sh->pool_name, pool) == 0)
			return sh;
	}
	return NULL;
}

bool
shard_ownership_expired(const struct shard *sh)
{
	return sched_boottime_us() - sh->confirmed_boot_us >
	    OWNERSHIP_TIMEOUT_MS * US_PER_MS;
}

static void
answer_request(struct shard *sh, const struct pool_effect *x)
{
	struct job_reply reply = {
	    .kind = REPLY_ANSWER,
	    .answer = x->u.answer.answer,
	    .state = x->u.answer.state,
	    .waiting_count = x->u.answer.waiting,
	    .retry_after_ms = x->u.answer.retry_ms,
	};
	struct pending_request *req;

	HASH_FIND(hh, sh->requests, &x->u.answer.token, sizeof(uint64_t), req);
	if (req == NULL)
		return;
	HASH_DEL(sh->requests, req);
	req->reply(req->arg, &reply);
	free(req);
}

static void
apply_effect(struct shard *sh, const struct pool_effect *x)
{
	switch (x->kind) {
	case POOL_START:
	case POOL_STOP:
	case POOL_RENEW:
	case POOL_THROTTLE:
	case POOL_QUERY_POLICY:
		if (!sh->term_ended)
			shard_send_command(sh, x);
		break;
	case POOL_WRITE:
		store_writer_put(sh->writer, x->u.write.key, x->u.write.value,
		    x->u.write.serial);
		break;
	case POOL_ANSWER:
		answer_request(sh, x);
		break;
	case POOL_CHECK_LIVENESS:
		if (!sh->term_ended)
			shard_check_liveness(sh);
		break;
	case POOL_LOG:
		daemon_log(x->u.log.level, "pool", "pool=%s %s", sh->pool_name,
		    x->u.log.line);
		break;
	}
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct shard *sh = lws_container_of(sul, struct shard, tick_sul);
	struct pool_event ev = {.kind = POOL_TICK};

	if (sh->term_ended) {
		shard_release(sh, "fenced");
		return;
	}
	shard_handle_event(sh, &ev);
}

static void
schedule_tick(struct shard *sh)
{
	int64_t us =
	    sh->term_ended ? 1 : pool_next_us(sh->pool) - sched_boottime_us();

	if (us < 1)
		us = 1;
	lws_sul_schedule(sh->scheduler->context, 0, &sh->tick_sul, on_tick, us);
}

void
shard_handle_event(struct shard *sh, struct pool_event *ev)
{
	struct pool_effects fx;
	size_t i;

	if (sh->term_ended)
		return;
	/* further events would cause further writes without end */
	if (sh->state == SHARD_RELEASING && ev->kind != POOL_STORED)
		return;
	if (shard_ownership_expired(sh)) {
		sh->term_ended = true;
		schedule_tick(sh);
		return;
	}
	ev->now_us = sched_boottime_us();
	ev->now_ms = sched_unix_ms();
	ev->loop_lag_us = sh->scheduler->loop_lag.lag_us;
	ev->ownership_confirmed_us = sh->confirmed_boot_us;
	ev->entries_read_us =
	    ev->now_us - store_watch_workers_age_us(sh->scheduler->watcher);
	ev->workers_guarded =
	    config_pool_guarded(sh->scheduler->config, sh->pool_name);
	/* Effects may cause nested steps, so each step has its own list. */
	fx = sh->effects;
	memset(&sh->effects, 0, sizeof(sh->effects));
	pool_step(sh->pool, ev, &fx);
	for (i = 0; i < fx.count; i++)
		apply_effect(sh, &fx.list[i]);
	pool_effects_clear(&fx);
	pool_effects_uninit(&sh->effects);
	sh->effects = fx;
	schedule_tick(sh);
}

void
shard_end_term(struct shard *sh, const char *why)
{
	if (sh->term_ended || sh->pool == NULL)
		return;
	daemon_log(LOG_LEVEL_WARN, "shards",
	    "msg=\"the term has ended; the pool will be released\" pool=%s "
	    "fence=%lld why=%s",
	    sh->pool_name, (long long)sh->fence, why);
	sh->term_ended = true;
	schedule_tick(sh);
}

/* Tells callers of unanswered requests that the outcome is unknown. */
static void
fail_pending_requests(struct shard *sh)
{
	struct job_reply reply = {.kind = REPLY_UNKNOWN};
	struct pending_request *req, *next;

	HASH_ITER(hh, sh->requests, req, next)
	{
		HASH_DEL(sh->requests, req);
		req->reply(req->arg, &reply);
		free(req);
	}
}

static void
shard_release(struct shard *sh, const char *why)
{
	daemon_log(LOG_LEVEL_INFO, "shards",
	    "msg=\"pool released\" pool=%s fence=%lld why=%s "
	    "confirmed_ms_ago=%lld",
	    sh->pool_name, (long long)sh->fence, why,
	    (long long)((sched_boottime_us() - sh->confirmed_boot_us) /
		US_PER_MS));
	LIST_REMOVE(sh, entries);
	lws_sul_cancel(&sh->tick_sul);
	takeover_cancel(sh);
	shard_cancel_commands(sh);
	machine_list_reader_cancel(sh->liveness_check);
	store_writer_free(sh->writer);
	fail_pending_requests(sh);
	pool_free(sh->pool);
	pool_effects_uninit(&sh->effects);
	sh->scheduler->counters.pools_released++;
	if (LIST_EMPTY(&sh->all->list))
		store_watch_follow_workers(sh->scheduler->watcher, false);
	free(sh);
}

static void
on_written(void *arg, uint64_t serial)
{
	struct pool_event ev = {.kind = POOL_STORED};

	ev.u.stored.serial = serial;
	shard_handle_event(arg, &ev);
}

static void
on_fenced(void *arg, const char *why)
{
	shard_end_term(arg, why);
}

static void
handle_worker_report(void *arg, const struct worker_report *r)
{
	struct pool_event ev = {.kind = POOL_WORKER_ENTRY};

	ev.u.worker.report = r;
	shard_handle_event(arg, &ev);
}

static void
apply_queue_settings(struct shard *sh)
{
	const struct config *c = sh->scheduler->config;
	struct pool_event ev = {.kind = POOL_QUEUE_CHANGE};
	size_t i;

	for (i = 0; i < c->queue_count; i++) {
		if (strcmp(c->queues[i].pool, sh->pool_name) != 0)
			continue;
		ev.u.queue_change.settings = &c->queues[i].settings;
		shard_handle_event(sh, &ev);
	}
}

/* A change of the configuration's accounts, for one pool. */
struct accounts_change {
	struct shard *shard;
	/* NULL: no accounts */
	const struct account_table *before, *now;
};

static const struct account_settings *
find_account(const struct account_table *t, const char *name)
{
	return t != NULL ? account_table_find(t, name) : NULL;
}

static void
apply_account(void *arg, const struct account_settings *a)
{
	const struct accounts_change *c = arg;
	const struct account_settings *before =
	    find_account(c->before, a->name);
	struct pool_event ev = {.kind = POOL_ACCOUNT_CHANGE};

	if (before != NULL && account_settings_equal(a, before))
		return;
	ev.u.account_change.settings = a;
	shard_handle_event(c->shard, &ev);
}

static void
apply_removed_account(void *arg, const struct account_settings *a)
{
	const struct accounts_change *c = arg;
	struct pool_event ev = {.kind = POOL_ACCOUNT_CHANGE};

	if (find_account(c->now, a->name) != NULL)
		return;
	ev.u.account_change.settings = a;
	ev.u.account_change.removed = true;
	shard_handle_event(c->shard, &ev);
}

static void
apply_accounts(struct shard *sh, const struct account_table *before)
{
	struct accounts_change c = {
	    .shard = sh,
	    .before = before,
	    .now = sh->scheduler->config->accounts,
	};

	account_table_each(c.now, apply_account, &c);
	account_table_each(c.before, apply_removed_account, &c);
}

void
shard_takeover_done(struct shard *sh)
{
	struct pool_event ev = {.kind = POOL_LOADED};
	struct store_writer_opts o = {
	    .scheduler = sh->scheduler,
	    .epoch = sh->fence,
	    .first_seq = sh->next_seq,
	    .epoch_established =
		true, /* the claim was stored under this epoch */
	    .on_stored = on_written,
	    .on_fenced = on_fenced,
	    .arg = sh,
	};

	snprintf(o.topic, sizeof(o.topic), "%s", sh->topic);
	sh->writer = store_writer_new(&o);
	if (sh->writer == NULL)
		abort(); /* a pool must not run without a writer */
	sh->state = SHARD_OWNING;
	sh->scheduler->counters.takeovers++;
	store_watch_each_worker(
	    sh->scheduler->watcher, sh->pool_name, handle_worker_report, sh);
	apply_queue_settings(sh);
	apply_accounts(sh, NULL);
	shard_handle_event(sh, &ev);
	shard_homes_register(sh);
}

static void
shard_start_takeover(
    struct shards *all, const char *pool, int64_t join_sent_boot_us)
{
	struct shard *sh;

	sh = calloc(1, sizeof(*sh));
	if (sh == NULL)
		return; /* the next answer to a join tries again */
	sh->all = all;
	sh->scheduler = all->scheduler;
	snprintf(sh->pool_name, sizeof(sh->pool_name), "%s", pool);
	store_jobs_topic(sh->topic, sizeof(sh->topic), pool);
	sh->confirmed_boot_us = join_sent_boot_us;
	sh->takeover_start_us = sched_boottime_us();
	LIST_INIT(&sh->commands);
	if (takeover_start(sh) == -1) {
		free(sh);
		return;
	}
	LIST_INSERT_HEAD(&all->list, sh, entries);
	store_watch_follow_workers(all->scheduler->watcher, true);
	home_registry_refresh(all->scheduler->homes);
	daemon_log(LOG_LEVEL_INFO, "shards",
	    "msg=\"the group deals this pool\" pool=%s", pool);
}

static bool
contains_pool(const char (*pools)[NAME_BYTES], size_t count, const char *pool)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(pools[i], pool) == 0)
			return true;
	}
	return false;
}

void
shards_assign(struct shards *all, const char (*pools)[NAME_BYTES], size_t count,
    int64_t join_sent_boot_us)
{
	struct shard *sh, *next;
	size_t i;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (!contains_pool(pools, count, sh->pool_name))
			shard_release(sh, "dealt-elsewhere");
		else if (!sh->term_ended)
			sh->confirmed_boot_us = join_sent_boot_us;
	}
	for (i = 0; i < count && !all->scheduler->stopping; i++) {
		if (shards_find(all, pools[i]) == NULL)
			shard_start_takeover(all, pools[i], join_sent_boot_us);
	}
}

void
shards_release_expired(struct shards *all)
{
	struct shard *sh, *next;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (shard_ownership_expired(sh))
			shard_release(sh, "not-confirmed");
	}
}

void
shards_release_all(struct shards *all, bool at_once)
{
	struct shard *sh, *next;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (at_once || sh->writer == NULL ||
		    store_writer_idle(sh->writer))
			shard_release(sh, "planned-stop");
		else
			sh->state = SHARD_RELEASING;
	}
}

bool
shards_empty(const struct shards *all)
{
	return LIST_EMPTY(&all->list);
}

void
shards_worker_changed(struct shards *all, const struct worker_report *r)
{
	struct shard *sh = shards_find(all, r->pool);

	if (sh != NULL && sh->pool != NULL)
		handle_worker_report(sh, r);
}

void
shards_worker_removed(struct shards *all, const char *pool, const char *id)
{
	struct pool_event ev = {.kind = POOL_WORKER_UNLISTED};
	struct shard *sh = shards_find(all, pool);

	if (sh == NULL || sh->pool == NULL)
		return;
	snprintf(ev.u.unlisted.id, sizeof(ev.u.unlisted.id), "%s", id);
	shard_handle_event(sh, &ev);
}

void
shards_workers_loaded(struct shards *all)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries)
		takeover_workers_loaded(sh);
}

void
shards_config_changed(
    struct shards *all, const struct account_table *accounts_before)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool == NULL)
			continue;
		apply_queue_settings(sh);
		apply_accounts(sh, accounts_before);
		shard_homes_register(sh);
	}
}

static void
send_reply(job_reply_fn *reply, void *arg, enum job_reply_kind kind)
{
	struct job_reply r = {.kind = kind};

	reply(arg, &r);
}

/* Longest text of a job that fits into one record of the store. */
static size_t
job_body_max_bytes(const struct shard *sh)
{
	int64_t record_bytes = sh->scheduler->settings.store_record_max_bytes;

	return record_bytes > JOB_RECORD_OVERHEAD_BYTES
	    ? (size_t)record_bytes - JOB_RECORD_OVERHEAD_BYTES
	    : 0;
}

static bool
accounts_configured(const struct shard *sh)
{
	const struct config *c = sh->scheduler->config;

	return c != NULL && c->accounts != NULL;
}

static void
submit_job(struct shard *sh, const struct job_request *r, uint64_t token)
{
	struct pool_event ev = {.kind = POOL_SUBMIT};
	struct job_reply invalid = {.kind = REPLY_INVALID};
	struct job_spec *job_spec = NULL;
	struct pending_request *req;

	if (r->body == NULL || r->body->len > job_body_max_bytes(sh))
		err_set(&invalid.error, ERR_LIMIT, 0,
		    "split the job into smaller jobs",
		    "a job of %zu bytes does not fit into a record of the "
		    "store",
		    r->body != NULL ? r->body->len : 0);
	else
		job_spec = job_spec_parse_submitted(
		    r->body->data, r->body->len, &invalid.error);
	if (job_spec == NULL) {
		HASH_FIND(hh, sh->requests, &token, sizeof(token), req);
		if (req == NULL)
			return;
		HASH_DEL(sh->requests, req);
		req->reply(req->arg, &invalid);
		free(req);
		return;
	}
	ev.u.submit.token = token;
	snprintf(ev.u.submit.id, JOB_ID_BYTES, "%s", r->id);
	ev.u.submit.queue = &r->settings;
	snprintf(ev.u.submit.account, NAME_BYTES, "%s", r->account);
	ev.u.submit.isolated = accounts_configured(sh);
	ev.u.submit.spec = job_spec;
	ev.u.submit.text = r->body;
	if (store_writer_overdue(sh->writer, r->left_ms))
		ev.u.submit.refuse_ms = STORE_STALL_RETRY_MS;
	shard_handle_event(sh, &ev);
	job_spec_unref(job_spec);
}

static void
dispatch_request(struct shard *sh, const struct job_request *r, uint64_t token)
{
	struct pool_event ev;

	memset(&ev, 0, sizeof(ev));
	switch (r->op) {
	case JOB_SUBMIT:
		submit_job(sh, r, token);
		return;
	case JOB_CANCEL:
	case JOB_QUERY:
		ev.kind = r->op == JOB_CANCEL ? POOL_CANCEL : POOL_JOB_QUERY;
		ev.u.job.token = token;
		snprintf(ev.u.job.id, JOB_ID_BYTES, "%s", r->id);
		snprintf(ev.u.job.account, NAME_BYTES, "%s", r->account);
		ev.u.job.isolated = accounts_configured(sh);
		break;
	case JOB_COUNT_WAITING:
		ev.kind = POOL_COUNT_WAITING;
		ev.u.count.token = token;
		snprintf(ev.u.count.queue, NAME_BYTES, "%s", r->settings.name);
		break;
	}
	shard_handle_event(sh, &ev);
}

void
shards_handle_request(struct shards *all, const struct job_request *r,
    job_reply_fn *reply, void *arg)
{
	struct job_reply elsewhere = {.kind = REPLY_NOT_DONE};
	struct shard *sh = shards_find(all, r->pool);
	struct pending_request *req;

	if (sh == NULL || sh->state != SHARD_OWNING || sh->term_ended ||
	    shard_ownership_expired(sh)) {
		send_reply(reply, arg, REPLY_NOT_DONE);
		return;
	}
	if (!shard_homes_admit(sh, r, &elsewhere)) {
		reply(arg, &elsewhere);
		return;
	}
	req = calloc(1, sizeof(*req));
	if (req == NULL) {
		send_reply(reply, arg, REPLY_NOT_DONE);
		return;
	}
	req->id = ++sh->last_request_id;
	req->reply = reply;
	req->arg = arg;
	HASH_ADD(hh, sh->requests, id, sizeof(req->id), req);
	dispatch_request(sh, r, req->id);
}

void
shards_check_homes(struct shards *all)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries)
		shard_homes_check(sh);
}

bool
shards_owns(const struct shards *all, const char *pool)
{
	const struct shard *sh = shards_find(all, pool);

	return sh != NULL && sh->state == SHARD_OWNING && !sh->term_ended;
}

struct shards *
shards_new(struct scheduler *s)
{
	struct shards *all;

	all = calloc(1, sizeof(*all));
	if (all == NULL)
		return NULL;
	all->scheduler = s;
	LIST_INIT(&all->list);
	return all;
}

void
shards_free(struct shards *all)
{
	struct shard *sh;

	if (all == NULL)
		return;
	while ((sh = LIST_FIRST(&all->list)) != NULL)
		shard_release(sh, "end");
	free(all);
}
