/* What a pool's topic keeps of its jobs, gathered for a new owner. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "order_wire.h"
#include "shard.h"
#include "topic_claim.h"
#include "store_watch.h"

/*
 * Once the term is claimed nobody renews leases until the pool is there: it
 * goes on without workers' entries after two reads of them.
 */
#define ENTRIES_WAIT_MS 400

/* What the store keeps of one job. */
struct stored_job {
	char id[JOB_ID_BYTES];
	struct buf *order;
	struct buf *progress;
	int64_t order_offset, progress_offset;
	UT_hash_handle hh;
};

/* … and of one worker. */
struct stored_worker {
	char id[NAME_BYTES];
	struct buf *record;
	int64_t offset;
	UT_hash_handle hh;
};

struct takeover {
	struct shard *shard;
	struct topic_claim *claim;
	struct stored_job *jobs;
	struct stored_worker *workers; /* of earlier terms */
	struct buf *list; /* of an earlier version's workers; NULL none */
	int64_t list_offset;
	bool claimed;
	lws_sorted_usec_list_t entries_due;
};

static void
stored_free(struct stored_job *j)
{
	buf_unref(j->order);
	buf_unref(j->progress);
	free(j);
}

void
takeover_cancel(struct shard *sh)
{
	struct takeover *t = sh->takeover;
	struct stored_worker *w, *next_worker;
	struct stored_job *j, *next;

	if (t == NULL)
		return;
	lws_sul_cancel(&t->entries_due);
	topic_claim_free(t->claim);
	buf_unref(t->list);
	HASH_ITER(hh, t->workers, w, next_worker)
	{
		HASH_DEL(t->workers, w);
		buf_unref(w->record);
		free(w);
	}
	HASH_ITER(hh, t->jobs, j, next)
	{
		HASH_DEL(t->jobs, j);
		stored_free(j);
	}
	free(t);
	sh->takeover = NULL;
}

static struct stored_job *
stored_of(struct takeover *t, const char *id)
{
	struct stored_job *j;

	HASH_FIND_STR(t->jobs, id, j);
	if (j != NULL)
		return j;
	j = calloc(1, sizeof(*j));
	if (j == NULL)
		abort(); /* an accepted job must not be passed over */
	snprintf(j->id, sizeof(j->id), "%s", id);
	j->order_offset = j->progress_offset = -1;
	HASH_ADD_STR(t->jobs, id, j);
	return j;
}

static struct stored_worker *
stored_worker_of(struct takeover *t, const char *id)
{
	struct stored_worker *w;

	HASH_FIND_STR(t->workers, id, w);
	if (w != NULL)
		return w;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort(); /* it may run tasks that would be started again */
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->offset = -1;
	HASH_ADD_STR(t->workers, id, w);
	return w;
}

static void
keep_newest(struct buf **to, int64_t *at, const struct store_record *r)
{
	if (r->offset < *at)
		return;
	*at = r->offset;
	buf_unref(*to);
	*to = r->value != NULL ? buf_from(r->value, r->len) : NULL;
}

static void
take_record(void *arg, const struct store_record *r)
{
	struct takeover *t = arg;
	char id[JOB_ID_BYTES], worker[NAME_BYTES];
	struct stored_worker *w;
	struct stored_job *j;
	bool progress;

	if (strcmp(r->key, KEY_WORKERS) == 0) {
		keep_newest(&t->list, &t->list_offset, r);
		return;
	}
	if (worker_key_id(r->key, worker)) {
		w = stored_worker_of(t, worker);
		keep_newest(&w->record, &w->offset, r);
		return;
	}
	if (!job_key_id(r->key, id, &progress)) {
		daemon_log(LOG_LEVEL_WARN, "takeover",
		    "msg=\"record of no known kind: passed over\" pool=%s "
		    "key=%.40s offset=%lld",
		    t->shard->pool_name, r->key, (long long)r->offset);
		return;
	}
	j = stored_of(t, id);
	if (progress)
		keep_newest(&j->progress, &j->progress_offset, r);
	else
		keep_newest(&j->order, &j->order_offset, r);
}

struct load {
	struct pool *pool;
	struct stored_job *job;
	struct err *error;
	int ret;
};

static void
load_order(void *arg, const struct order_record *r)
{
	struct load *l = arg;
	struct order *order = order_parse(r->text, r->text_len, l->error);

	if (order == NULL)
		return;
	l->ret = pool_load(
	    l->pool, l->job->id, r, order, l->job->progress, l->error);
	order_unref(order);
}

static void
load_job(struct takeover *t, struct stored_job *j, struct pool *pool)
{
	struct load l = {.pool = pool, .job = j, .ret = -1};
	struct err e;

	err_clear(&e);
	l.error = &e;
	if (j->order == NULL) /* dropped, and its progress is to follow */
		return;
	if (job_order_decode(
		j->order->data, j->order->len, &e, load_order, &l) == -1 ||
	    l.ret == -1)
		daemon_log(LOG_LEVEL_ERROR, "takeover",
		    "msg=\"job cannot be read: left out\" pool=%s job=%s "
		    "offset=%lld error=\"%s\"",
		    t->shard->pool_name, j->id, (long long)j->order_offset,
		    e.message);
}

static struct pool *
make_pool(const struct shard *sh)
{
	const struct boot *b = &sh->scheduler->boot;
	struct pool_opts o = {
	    .fence = sh->fence,
	    .now_us = sched_monotonic_us(),
	    .now_ms = sched_unix_ms(),
	    .lease_ms = LEASE_MS < b->lease_max_ms ? LEASE_MS : b->lease_max_ms,
	    .settle_ms = sh->fence > 1 ? SETTLE_MS : 0,
	    .status_keep_ms = b->status_keep_ms,
	    .stop_ms = b->stop_timeout_ms,
	    .restore_ms = b->restore_ms,
	    .remote_factor = b->remote_factor,
	    .record_bytes = (size_t)b->store_record_bytes,
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
		if (w->record != NULL && /* else it was dropped */
		    pool_load_worker(
			pool, w->id, w->record->data, w->record->len, &e) == -1)
			daemon_log(LOG_LEVEL_ERROR, "takeover",
			    "msg=\"worker cannot be read: left out\" pool=%s "
			    "worker=%s offset=%lld error=\"%s\"",
			    t->shard->pool_name, w->id, (long long)w->offset,
			    e.message);
	}
	if (t->list != NULL &&
	    pool_load_workers(pool, t->list->data, t->list->len, &e) == -1)
		daemon_log(LOG_LEVEL_ERROR, "takeover",
		    "msg=\"list of workers cannot be read\" pool=%s "
		    "error=\"%s\"",
		    t->shard->pool_name, e.message);
}

/* The term is ours and workers are known: what was read is all there is. */
static void
finish(struct takeover *t)
{
	struct shard *sh = t->shard;
	struct stored_job *j;

	sh->pool = make_pool(sh);
	if (sh->pool == NULL)
		abort(); /* the term is taken: nobody else would serve it */
	for (j = t->jobs; j != NULL; j = j->hh.next)
		load_job(t, j, sh->pool);
	load_workers(t, sh->pool);
	daemon_log(LOG_LEVEL_INFO, "takeover",
	    "msg=\"pool taken over\" pool=%s fence=%lld jobs=%u workers=%u "
	    "took_ms=%lld entries_known=%d",
	    sh->pool_name, (long long)sh->fence, HASH_COUNT(t->jobs),
	    HASH_COUNT(t->workers),
	    (long long)((sched_monotonic_us() - sh->began_us) / US_PER_MS),
	    store_watch_workers_loaded(sh->scheduler->watcher));
	takeover_cancel(sh);
	shard_taken(sh);
}

void
takeover_go_on(struct shard *sh)
{
	struct takeover *t = sh->takeover;

	if (t != NULL && t->claimed &&
	    store_watch_workers_loaded(sh->scheduler->watcher))
		finish(t);
}

static void
on_entries_due(lws_sorted_usec_list_t *sul)
{
	finish(lws_container_of(sul, struct takeover, entries_due));
}

static void
on_claimed(void *arg, int64_t epoch, int64_t next_seq)
{
	struct takeover *t = arg;

	t->claimed = true;
	t->shard->fence = epoch;
	t->shard->next_seq = next_seq;
	lws_sul_schedule(t->shard->scheduler->context, 0, &t->entries_due,
	    on_entries_due, ENTRIES_WAIT_MS * US_PER_MS);
	takeover_go_on(t->shard);
}

int
takeover_begin(struct shard *sh)
{
	struct topic_claim_opts o = {
	    .scheduler = sh->scheduler,
	    .on_record = take_record,
	    .on_claimed = on_claimed,
	};
	struct takeover *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return -1;
	t->shard = sh;
	t->list_offset = -1;
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
