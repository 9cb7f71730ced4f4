/*
 * Takes a pool over: reads the newest record of each key, follows the topic
 * to its end, and writes a term of its own there under the condition that it
 * still ends there.  The same way after a cold start, a kill, a rebalance or
 * a freeze.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "order_wire.h"
#include "shard.h"
#include "watch.h"
#include "wire.h"

#define KEY_TERM "term"
#define CALL_TIMEOUT_MS 1500
#define RETRY_MS 150

/* What the store keeps of one job. */
struct stored_job {
	char id[JOB_ID_BYTES];
	struct buf *order;
	struct buf *progress;
	int64_t order_offset, progress_offset;
	UT_hash_handle hh;
};

struct takeover {
	struct shard *shard;
	struct stored_job *jobs;
	struct buf *workers; /* of earlier terms; NULL none */
	int64_t workers_offset;
	int64_t term; /* epoch of the newest term read */
	int64_t term_offset;
	int64_t next; /* offset to read from; -1: newest first */
	int64_t page_end;
	bool first_page;
	char after[STORE_KEY_MAX + 1];
	int64_t claimed; /* epoch of the claim that was sent; 0 none */
	bool done; /* the term is ours */
	struct store_op *op;
	lws_sorted_usec_list_t due;
};

static void takeover_due(lws_sorted_usec_list_t *sul);

static void
takeover_schedule(struct takeover *t, int ms)
{
	lws_sul_schedule(t->shard->scheduler->context, 0, &t->due, takeover_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

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
	struct stored_job *j, *next;

	if (t == NULL)
		return;
	lws_sul_cancel(&t->due);
	store_op_cancel(t->op);
	buf_unref(t->workers);
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
take_term(struct takeover *t, const struct store_record *r)
{
	struct wire_reader in;
	uint64_t epoch;

	if (r->offset < t->term_offset || r->value == NULL)
		return;
	if (wire_reader_init(&in, r->value, r->len, NULL) == -1)
		return;
	if (wire_get_u64(in.root, "epoch", &epoch)) {
		t->term = (int64_t)epoch;
		t->term_offset = r->offset;
	}
	wire_reader_uninit(&in);
}

static void
take_record(void *arg, const struct store_record *r)
{
	struct takeover *t = arg;
	char id[JOB_ID_BYTES];
	struct stored_job *j;
	bool progress;

	if (strcmp(r->key, KEY_TERM) == 0) {
		take_term(t, r);
		return;
	}
	if (strcmp(r->key, KEY_WORKERS) == 0) {
		keep_newest(&t->workers, &t->workers_offset, r);
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

static void
newest_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct takeover *t = arg;
	struct store_page page;
	int bad;

	(void)sent;
	t->op = NULL;
	if (status == 404) { /* nothing was ever written there */
		t->next = 0;
		takeover_schedule(t, 0);
		return;
	}
	bad = status == 200
	    ? store_newest_each(body, len, &page, take_record, t)
	    : -1;
	if (bad != 0)
		daemon_log(LOG_LEVEL_WARN, "takeover",
		    "msg=\"newest records cannot be read\" pool=%s status=%d "
		    "bad=%d",
		    t->shard->pool_name, status, bad);
	if (bad < 0) {
		t->first_page = true;
		takeover_schedule(t, RETRY_MS);
		return;
	}
	if (t->first_page)
		t->page_end = page.end;
	t->first_page = false;
	if (page.more)
		snprintf(t->after, sizeof(t->after), "%s", page.last_key);
	else
		t->next = t->page_end;
	takeover_schedule(t, 0);
}

static void
read_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct takeover *t = arg;
	int64_t next;

	(void)sent;
	t->op = NULL;
	if (status == 410) {
		t->next = -1;
		t->first_page = true;
		takeover_schedule(t, 0);
		return;
	}
	if (status != 200 ||
	    store_read_each(body, len, t->next, &next, take_record, t) < 0) {
		takeover_schedule(t, RETRY_MS);
		return;
	}
	t->next = next;
	t->claimed = 0;
	takeover_schedule(t, 0);
}

static void
read_tail(struct takeover *t)
{
	struct store_call c;

	store_read_call(&c, t->shard->topic, t->next, 0);
	t->op =
	    store_send(t->shard->scheduler, &c, CALL_TIMEOUT_MS, read_ended, t);
	if (t->op == NULL)
		takeover_schedule(t, RETRY_MS);
}

static void
claim_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct takeover *t = arg;

	(void)sent;
	t->op = NULL;
	switch (store_append_outcome(status, body, len)) {
	case STORE_DONE:
		t->done = true;
		t->shard->fence = t->claimed;
		takeover_schedule(t, 0);
		return;
	case STORE_FENCED: /* a term that was not read */
		t->term++;
		read_tail(t);
		return;
	case STORE_MOVED: /* somebody wrote meanwhile */
		read_tail(t);
		return;
	case STORE_NOT_DONE:
	case STORE_FULL:
	case STORE_UNKNOWN:
		/* the same claim again: it is taken once */
		takeover_schedule(t, RETRY_MS);
		return;
	}
}

static void
claim(struct takeover *t)
{
	struct append_opts o = {
	    .topic = t->shard->topic,
	    .at = t->next,
	};
	struct wire_writer w;
	struct store_call c;
	struct buf *value;

	if (t->claimed == 0)
		t->claimed = t->term + 1;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "epoch", (uint64_t)t->claimed);
	wire_str(&w, "member", t->shard->scheduler->member);
	value = wire_writer_take(&w);
	o.records = buf_new(128);
	if (value == NULL || o.records == NULL ||
	    store_record_add(o.records, KEY_TERM, value->data, value->len) ==
		-1)
		goto out;
	o.epoch = t->claimed;
	o.seq = 0;
	store_append_call(&c, &o);
	t->op = store_send(
	    t->shard->scheduler, &c, CALL_TIMEOUT_MS, claim_ended, t);
out:
	if (t->op == NULL)
		takeover_schedule(t, RETRY_MS);
	buf_unref(value);
	buf_unref(o.records);
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
make_pool(struct takeover *t)
{
	struct shard *sh = t->shard;
	const struct boot *b = &sh->scheduler->boot;
	struct pool_opts o = {
	    .fence = sh->fence,
	    .now_us = sched_now_us(),
	    .now_ms = sched_now_ms(),
	    .lease_ms = LEASE_MS < b->lease_max_ms ? LEASE_MS : b->lease_max_ms,
	    .settle_ms = sh->fence > 1 ? SETTLE_MS : 0,
	    .status_keep_ms = b->status_keep_ms,
	    .restore_ms = b->restore_ms,
	    .remote_factor = b->remote_factor,
	};
	const struct config_pool *c;

	snprintf(o.name, sizeof(o.name), "%s", sh->pool_name);
	c = config_pool(sh->scheduler->config, sh->pool_name);
	o.guarded = c != NULL && c->guarded;
	return pool_new(&o);
}

/* The term is ours: what was read is all there is. */
static void
finish(struct takeover *t)
{
	struct shard *sh = t->shard;
	struct stored_job *j;
	struct err e;

	if (!watch_workers_known(sh->scheduler->watch))
		return; /* takeover_go_on() follows */
	sh->pool = make_pool(t);
	if (sh->pool == NULL) {
		takeover_schedule(t, RETRY_MS);
		return;
	}
	for (j = t->jobs; j != NULL; j = j->hh.next)
		load_job(t, j, sh->pool);
	if (t->workers != NULL &&
	    pool_load_workers(
		sh->pool, t->workers->data, t->workers->len, &e) == -1)
		daemon_log(LOG_LEVEL_ERROR, "takeover",
		    "msg=\"list of workers cannot be read\" pool=%s "
		    "error=\"%s\"",
		    sh->pool_name, e.message);
	daemon_log(LOG_LEVEL_INFO, "takeover",
	    "msg=\"pool taken over\" pool=%s fence=%lld jobs=%u end=%lld "
	    "took_ms=%lld",
	    sh->pool_name, (long long)sh->fence, HASH_COUNT(t->jobs),
	    (long long)t->next,
	    (long long)((sched_now_us() - sh->began_us) / US_PER_MS));
	takeover_cancel(sh);
	shard_taken(sh);
}

static void
takeover_due(lws_sorted_usec_list_t *sul)
{
	struct takeover *t = lws_container_of(sul, struct takeover, due);
	struct store_call c;

	if (t->op != NULL)
		return;
	if (t->done) {
		finish(t);
		return;
	}
	if (t->next >= 0) {
		claim(t);
		return;
	}
	store_newest_call(&c, t->shard->topic, t->first_page ? NULL : t->after);
	t->op = store_send(
	    t->shard->scheduler, &c, CALL_TIMEOUT_MS, newest_ended, t);
	if (t->op == NULL)
		takeover_schedule(t, RETRY_MS);
}

void
takeover_go_on(struct shard *sh)
{
	if (sh->takeover != NULL && sh->takeover->done)
		takeover_schedule(sh->takeover, 0);
}

int
takeover_begin(struct shard *sh)
{
	struct takeover *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return -1;
	t->shard = sh;
	t->next = -1;
	t->first_page = true;
	t->term_offset = t->workers_offset = -1;
	sh->takeover = t;
	takeover_schedule(t, 0);
	return 0;
}
