/*
 * Takeover of a pool: claims a new term of the pool's topic, collects the
 * newest records of its jobs and workers, and builds the pool from them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_spec_wire.h"
#include "shard.h"
#include "topic_claim.h"
#include "store_watch.h"

/*
 * Nobody renews leases between the claim of the term and the start of the pool.
 * The takeover therefore waits for the workers' entries only as long as two
 * reads of them take, and then continues without.
 */
#define WORKERS_LOAD_TIMEOUT_MS 400
/* Load selection also without client accounts; see pool_opts. */
#define SELECT_BY_COST_WITHOUT_ACCOUNTS false
/* Of one pool; a daemon may own all of them. */
#define CHECKPOINTS_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define TICKETS_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Newest records of one job; offsets are -1 where none was read. */
struct stored_job {
	char id[JOB_ID_BYTES];
	/*
	 * Decoded as it is read: a record may have texts that take many times
	 * what is kept of them.  NULL: none, dropped or damaged.
	 */
	struct job_spec *spec;
	struct job_spec_record spec_record; /* its text is not valid */
	struct buf *progress; /* NULL: none or dropped */
	int64_t spec_offset, progress_offset;
	UT_hash_handle hh;
};

/*
 * Newest record of one worker, or about accounts' caps; the offset is -1 where
 * none was read.
 */
struct stored_worker {
	char id[JOB_KEY_BYTES]; /* or the key of a record about caps */
	struct buf *record; /* NULL: none or dropped */
	int64_t offset;
	UT_hash_handle hh;
};

struct takeover {
	struct shard *shard;
	struct topic_claim *claim;
	struct stored_job *jobs;
	struct stored_worker *workers; /* used by earlier terms */
	struct stored_worker *caps; /* by key */
	/* Record of all workers that an earlier version wrote; NULL none. */
	struct buf *worker_list;
	int64_t worker_list_offset;
	bool claimed;
	lws_sorted_usec_list_t workers_timeout_sul;
};

static void
stored_job_free(struct stored_job *j)
{
	job_spec_unref(j->spec);
	buf_unref(j->progress);
	free(j);
}

static void
stored_workers_free(struct stored_worker **list)
{
	struct stored_worker *w, *next;

	HASH_ITER(hh, *list, w, next)
	{
		HASH_DEL(*list, w);
		buf_unref(w->record);
		free(w);
	}
}

void
takeover_cancel(struct shard *sh)
{
	struct takeover *t = sh->takeover;
	struct stored_job *j, *next;

	if (t == NULL)
		return;
	lws_sul_cancel(&t->workers_timeout_sul);
	topic_claim_free(t->claim);
	buf_unref(t->worker_list);
	stored_workers_free(&t->workers);
	stored_workers_free(&t->caps);
	HASH_ITER(hh, t->jobs, j, next)
	{
		HASH_DEL(t->jobs, j);
		stored_job_free(j);
	}
	free(t);
	sh->takeover = NULL;
}

static struct stored_job *
stored_job_get(struct takeover *t, const char *id)
{
	struct stored_job *j;

	HASH_FIND_STR(t->jobs, id, j);
	if (j != NULL)
		return j;
	j = calloc(1, sizeof(*j));
	if (j == NULL)
		abort(); /* an accepted job must not be lost */
	snprintf(j->id, sizeof(j->id), "%s", id);
	j->spec_offset = j->progress_offset = -1;
	HASH_ADD_STR(t->jobs, id, j);
	return j;
}

static struct stored_worker *
stored_worker_get(struct stored_worker **list, const char *id)
{
	struct stored_worker *w;

	HASH_FIND_STR(*list, id, w);
	if (w != NULL)
		return w;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort(); /* tasks that it may run would be started twice */
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->offset = -1;
	HASH_ADD_STR(*list, id, w);
	return w;
}

/* Replaces the value "to", read at offset "at", by a newer record of its key.
 */
static void
keep_newest(struct buf **to, int64_t *at, const struct store_record *r)
{
	if (r->offset < *at)
		return;
	*at = r->offset;
	buf_unref(*to);
	*to = r->value != NULL ? buf_from(r->value, r->value_len) : NULL;
}

/* Argument of decode_spec(). */
struct spec_decoding {
	struct stored_job *job;
	struct err *error;
};

static void
decode_spec(void *arg, const struct job_spec_record *r)
{
	struct spec_decoding *d = arg;

	d->job->spec_record = *r;
	d->job->spec_record.text = NULL;
	d->job->spec = job_spec_parse(r->text, r->text_len, d->error);
}

static void
keep_newest_spec(
    struct takeover *t, struct stored_job *j, const struct store_record *r)
{
	struct err e;
	struct spec_decoding d = {j, &e};

	if (r->offset < j->spec_offset)
		return;
	j->spec_offset = r->offset;
	job_spec_unref(j->spec);
	j->spec = NULL;
	if (r->value == NULL)
		return;
	err_clear(&e);
	if (job_spec_decode(r->value, r->value_len, &e, decode_spec, &d) == 0 &&
	    j->spec != NULL)
		return;
	daemon_log(LOG_LEVEL_ERROR, "takeover",
	    "msg=\"stored job cannot be decoded; it is left out\" pool=%s "
	    "job=%s offset=%lld error=\"%s\"",
	    t->shard->pool_name, j->id, (long long)r->offset, e.message);
}

static void
collect_record(void *arg, const struct store_record *r)
{
	struct takeover *t = arg;
	char id[JOB_ID_BYTES], worker[NAME_BYTES];
	struct stored_worker *w;
	struct stored_job *j;
	bool progress;

	if (strcmp(r->key, KEY_WORKER_LIST) == 0) {
		keep_newest(&t->worker_list, &t->worker_list_offset, r);
		return;
	}
	if (worker_key_id(r->key, worker)) {
		w = stored_worker_get(&t->workers, worker);
		keep_newest(&w->record, &w->offset, r);
		return;
	}
	if (strcmp(r->key, KEY_CAP_CONTROLLER) == 0 ||
	    share_key_account(r->key, worker)) {
		w = stored_worker_get(&t->caps, r->key);
		keep_newest(&w->record, &w->offset, r);
		return;
	}
	if (!job_key_id(r->key, id, &progress)) {
		daemon_log(LOG_LEVEL_WARN, "takeover",
		    "msg=\"record with an unknown kind of key is ignored\" "
		    "pool=%s key=%.40s offset=%lld",
		    t->shard->pool_name, r->key, (long long)r->offset);
		return;
	}
	j = stored_job_get(t, id);
	if (progress)
		keep_newest(&j->progress, &j->progress_offset, r);
	else
		keep_newest_spec(t, j, r);
}

static void
load_job(struct takeover *t, struct stored_job *j, struct pool *pool)
{
	struct err e;

	if (j->spec == NULL) /* dropped; a drop of its progress follows */
		return;
	if (pool_load_job(
		pool, j->id, &j->spec_record, j->spec, j->progress, &e) == -1)
		daemon_log(LOG_LEVEL_ERROR, "takeover",
		    "msg=\"stored job cannot be loaded; it is left out\" "
		    "pool=%s job=%s offset=%lld error=\"%s\"",
		    t->shard->pool_name, j->id, (long long)j->spec_offset,
		    e.message);
}

static struct pool *
takeover_pool_new(const struct shard *sh)
{
	const struct platform_settings *settings = &sh->scheduler->settings;
	struct pool_opts o = {
	    .fence = sh->fence,
	    .now_us = sched_boottime_us(),
	    .now_ms = sched_unix_ms(),
	    .lease_ms = TASK_LEASE_MS < settings->lease_max_ms
		? TASK_LEASE_MS
		: settings->lease_max_ms,
	    .lease_max_ms = settings->lease_max_ms,
	    .reconcile_max_ms = sh->fence > 1 ? RECONCILE_MAX_MS : 0,
	    .status_retention_ms = settings->job_status_retention_ms,
	    .stop_max_ms = settings->task_stop_timeout_ms,
	    .capacity_valid_ms = settings->calm_ms,
	    .restore_ms = settings->checkpoint_restore_ms,
	    .remote_factor = settings->remote_data_factor,
	    .record_max_bytes = (size_t)settings->store_record_max_bytes,
	    .checkpoints_max_bytes = CHECKPOINTS_MAX_BYTES,
	    .tickets_max_bytes = TICKETS_MAX_BYTES,
	    .select_by_cost = SELECT_BY_COST_WITHOUT_ACCOUNTS,
	};

	snprintf(o.name, sizeof(o.name), "%s", sh->pool_name);
	return pool_new(&o);
}

static void
load_workers(struct takeover *t, struct pool *pool)
{
	const struct stored_worker *w;
	struct err e;

	for (w = t->workers; w != NULL; w = w->hh.next) {
		if (w->record != NULL && /* NULL: dropped */
		    pool_load_worker(
			pool, w->id, w->record->data, w->record->len, &e) == -1)
			daemon_log(LOG_LEVEL_ERROR, "takeover",
			    "msg=\"stored worker cannot be decoded; it is left "
			    "out\" pool=%s worker=%s offset=%lld error=\"%s\"",
			    t->shard->pool_name, w->id, (long long)w->offset,
			    e.message);
	}
	if (t->worker_list != NULL &&
	    pool_load_worker_list(
		pool, t->worker_list->data, t->worker_list->len, &e) == -1)
		daemon_log(LOG_LEVEL_ERROR, "takeover",
		    "msg=\"stored list of workers cannot be decoded; it is "
		    "left out\" pool=%s error=\"%s\"",
		    t->shard->pool_name, e.message);
}

/*
 * Without its record, a share counts as none: the account starts nothing until
 * the allocator proposes one.
 */
static void
load_caps(struct takeover *t, struct pool *pool)
{
	const struct stored_worker *w;
	struct err e;

	for (w = t->caps; w != NULL; w = w->hh.next) {
		if (w->record != NULL &&
		    pool_load_cap_record(
			pool, w->id, w->record->data, w->record->len, &e) == -1)
			daemon_log(LOG_LEVEL_ERROR, "takeover",
			    "msg=\"stored share of a cap cannot be decoded; "
			    "it is left out\" pool=%s key=%s offset=%lld "
			    "error=\"%s\"",
			    t->shard->pool_name, w->id, (long long)w->offset,
			    e.message);
	}
}

/*
 * Builds the pool and starts it.  The term is claimed, so that no earlier owner
 * can write further records.
 */
static void
takeover_finish(struct takeover *t)
{
	struct shard *sh = t->shard;
	struct stored_job *j;

	sh->pool = takeover_pool_new(sh);
	if (sh->pool == NULL)
		abort(); /* no other daemon acts while this one has the term */
	for (j = t->jobs; j != NULL; j = j->hh.next)
		load_job(t, j, sh->pool);
	load_workers(t, sh->pool);
	load_caps(t, sh->pool);
	daemon_log(LOG_LEVEL_INFO, "takeover",
	    "msg=\"pool taken over\" pool=%s fence=%lld jobs=%u workers=%u "
	    "took_ms=%lld entries_known=%d",
	    sh->pool_name, (long long)sh->fence, HASH_COUNT(t->jobs),
	    HASH_COUNT(t->workers),
	    (long long)((sched_boottime_us() - sh->takeover_start_us) /
		US_PER_MS),
	    store_watch_workers_loaded(sh->scheduler->watcher));
	takeover_cancel(sh);
	shard_takeover_done(sh);
}

void
takeover_workers_loaded(struct shard *sh)
{
	struct takeover *t = sh->takeover;

	if (t != NULL && t->claimed &&
	    store_watch_workers_loaded(sh->scheduler->watcher))
		takeover_finish(t);
}

static void
on_workers_timeout(lws_sorted_usec_list_t *sul)
{
	takeover_finish(
	    lws_container_of(sul, struct takeover, workers_timeout_sul));
}

static void
on_claimed(void *arg, int64_t epoch, int64_t next_seq)
{
	struct takeover *t = arg;

	t->claimed = true;
	t->shard->fence = epoch;
	t->shard->next_seq = next_seq;
	lws_sul_schedule(t->shard->scheduler->context, 0,
	    &t->workers_timeout_sul, on_workers_timeout,
	    WORKERS_LOAD_TIMEOUT_MS * US_PER_MS);
	takeover_workers_loaded(t->shard);
}

int
takeover_start(struct shard *sh)
{
	struct topic_claim_opts o = {
	    .scheduler = sh->scheduler,
	    .on_record = collect_record,
	    .on_claimed = on_claimed,
	};
	struct takeover *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return -1;
	t->shard = sh;
	t->worker_list_offset = -1;
	snprintf(o.topic, sizeof(o.topic), "%s", sh->topic);
	o.arg = t;
	t->claim = topic_claim_new(&o);
	if (t->claim == NULL) {
		free(t);
		return -1;
	}
	sh->takeover = t;
	return 0;
}
