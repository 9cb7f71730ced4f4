#include "shards.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "machine_read.h"
#include "metric.h"
#include "order_wire.h"
#include "shard.h"
#include "topic_claim.h"
#include "store_watch.h"

#define STORE_STUCK_MS \
	400 /* a write that waits so long: new ones are refused */
#define STORE_RETRY_MS 1000 /* told to callers then */
#define LAG_WEIGHT 4 /* a tick's part of the average, one in so many */
#define ORDER_TERMS_BYTES 1024 /* of a job's record besides its text */

struct shards {
	struct scheduler *scheduler;
	LIST_HEAD(shard_list, shard) list;
};

static void shard_drop(struct shard *sh, const char *why);

static struct shard *
find_shard(const struct shards *all, const char *pool)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries) {
		if (strcmp(sh->pool_name, pool) == 0)
			return sh;
	}
	return NULL;
}

/* The group's word is older than a successor counts on. */
static bool
shard_outlived(const struct shard *sh)
{
	return sched_boottime_us() - sh->confirmed_boot_us >
	    OWNER_GIVE_UP_MS * US_PER_MS;
}

static void
answer_token(struct shard *sh, const struct pool_effect *x)
{
	struct job_reply reply = {
	    .kind = REPLY_ANSWER,
	    .answer = x->u.answer.answer,
	    .state = x->u.answer.state,
	    .waiting_count = x->u.answer.waiting,
	    .retry_after_ms = x->u.answer.retry_ms,
	};
	struct shard_token *t;

	HASH_FIND(hh, sh->tokens, &x->u.answer.token, sizeof(uint64_t), t);
	if (t == NULL)
		return;
	HASH_DEL(sh->tokens, t);
	t->reply(t->arg, &reply);
	free(t);
}

static void
run_effect(struct shard *sh, const struct pool_effect *x)
{
	switch (x->kind) {
	case POOL_START:
	case POOL_STOP:
	case POOL_HOLD:
	case POOL_PACE:
	case POOL_ADVISE:
		if (!sh->lost)
			shard_order_send(sh, x);
		break;
	case POOL_WRITE:
		store_writer_put(sh->writer, x->u.write.key, x->u.write.value,
		    x->u.write.serial);
		break;
	case POOL_ANSWER:
		answer_token(sh, x);
		break;
	case POOL_ASK_CENSUS:
		if (!sh->lost)
			shard_census_ask(sh);
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
	struct shard *sh = lws_container_of(sul, struct shard, tick);
	struct pool_event ev = {.kind = POOL_TICK};

	if (sh->lost) {
		shard_drop(sh, "fenced");
		return;
	}
	sh->lag_us +=
	    (sched_monotonic_us() - sh->tick_due_us - sh->lag_us) / LAG_WEIGHT;
	shard_event(sh, &ev);
}

static void
schedule_tick(struct shard *sh)
{
	int64_t us =
	    sh->lost ? 1 : pool_next_us(sh->pool) - sched_monotonic_us();

	if (us < 1)
		us = 1;
	sh->tick_due_us = sched_monotonic_us() + us;
	lws_sul_schedule(sh->scheduler->context, 0, &sh->tick, on_tick, us);
}

void
shard_event(struct shard *sh, struct pool_event *ev)
{
	struct pool_effects fx;
	size_t i;

	if (sh->lost)
		return;
	/* or its writes would never end */
	if (sh->state == SHARD_GIVING_UP && ev->kind != POOL_WRITTEN)
		return;
	if (shard_outlived(sh)) {
		sh->lost = true;
		schedule_tick(sh);
		return;
	}
	ev->now_us = sched_monotonic_us();
	ev->now_ms = sched_unix_ms();
	ev->lag_us = sh->lag_us;
	ev->confirmed_us =
	    ev->now_us - (sched_boottime_us() - sh->confirmed_boot_us);
	/* Effects may bring events of their own: each step has its list. */
	fx = sh->effects;
	memset(&sh->effects, 0, sizeof(sh->effects));
	pool_step(sh->pool, ev, &fx);
	for (i = 0; i < fx.count; i++)
		run_effect(sh, &fx.list[i]);
	pool_effects_clear(&fx);
	pool_effects_uninit(&sh->effects);
	sh->effects = fx;
	schedule_tick(sh);
}

void
shard_deposed(struct shard *sh, const char *why)
{
	if (sh->lost || sh->pool == NULL)
		return;
	daemon_log(LOG_LEVEL_WARN, "shards",
	    "msg=\"the term has ended\" pool=%s fence=%lld why=%s",
	    sh->pool_name, (long long)sh->fence, why);
	sh->lost = true;
	schedule_tick(sh);
}

/* What waits for the reducer gets no answer any more. */
static void
fail_tokens(struct shard *sh)
{
	struct job_reply reply = {.kind = REPLY_UNKNOWN};
	struct shard_token *t, *next;

	HASH_ITER(hh, sh->tokens, t, next)
	{
		HASH_DEL(sh->tokens, t);
		t->reply(t->arg, &reply);
		free(t);
	}
}

static void
shard_drop(struct shard *sh, const char *why)
{
	daemon_log(LOG_LEVEL_INFO, "shards",
	    "msg=\"pool given up\" pool=%s fence=%lld why=%s "
	    "confirmed_ms_ago=%lld",
	    sh->pool_name, (long long)sh->fence, why,
	    (long long)((sched_boottime_us() - sh->confirmed_boot_us) /
		US_PER_MS));
	LIST_REMOVE(sh, entries);
	lws_sul_cancel(&sh->tick);
	takeover_cancel(sh);
	shard_orders_cancel(sh);
	machine_read_cancel(sh->census);
	store_writer_free(sh->writer);
	fail_tokens(sh);
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
	struct pool_event ev = {.kind = POOL_WRITTEN};

	ev.u.written.serial = serial;
	shard_event(arg, &ev);
}

static void
on_fenced(void *arg, const char *why)
{
	shard_deposed(arg, why);
}

static void
feed_worker(void *arg, const struct worker_report *r)
{
	struct pool_event ev = {.kind = POOL_WORKER};

	ev.u.worker.report = r;
	shard_event(arg, &ev);
}

static void
feed_terms(struct shard *sh)
{
	const struct config *c = sh->scheduler->config;
	struct pool_event ev = {.kind = POOL_TERMS};
	size_t i;

	for (i = 0; i < c->queue_count; i++) {
		if (strcmp(c->queues[i].pool, sh->pool_name) != 0)
			continue;
		ev.u.terms.terms = &c->queues[i].terms;
		shard_event(sh, &ev);
	}
}

void
shard_taken(struct shard *sh)
{
	struct pool_event ev = {.kind = POOL_LOADED};
	struct store_writer_opts o = {
	    .scheduler = sh->scheduler,
	    .epoch = sh->fence,
	    .first_seq = sh->next_seq,
	    .epoch_established = true, /* by the claim */
	    .on_stored = on_written,
	    .on_fenced = on_fenced,
	    .arg = sh,
	};

	snprintf(o.topic, sizeof(o.topic), "%s", sh->topic);
	sh->writer = store_writer_new(&o);
	if (sh->writer == NULL)
		abort(); /* a pool without a writer must not run */
	sh->state = SHARD_OWNING;
	sh->scheduler->counters.takeovers++;
	store_watch_each_worker(
	    sh->scheduler->watcher, sh->pool_name, feed_worker, sh);
	feed_terms(sh);
	shard_event(sh, &ev);
}

static void
shard_begin(struct shards *all, const char *pool, int64_t asked_boot_us)
{
	struct shard *sh;

	sh = calloc(1, sizeof(*sh));
	if (sh == NULL)
		return; /* the group's next answer tries again */
	sh->all = all;
	sh->scheduler = all->scheduler;
	snprintf(sh->pool_name, sizeof(sh->pool_name), "%s", pool);
	store_jobs_topic(sh->topic, sizeof(sh->topic), pool);
	sh->confirmed_boot_us = asked_boot_us;
	sh->began_us = sched_monotonic_us();
	LIST_INIT(&sh->orders);
	if (takeover_begin(sh) == -1) {
		free(sh);
		return;
	}
	LIST_INSERT_HEAD(&all->list, sh, entries);
	store_watch_follow_workers(all->scheduler->watcher, true);
	daemon_log(LOG_LEVEL_INFO, "shards",
	    "msg=\"the group deals this pool\" pool=%s", pool);
}

static bool
named(const char (*pools)[NAME_BYTES], size_t count, const char *pool)
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
    int64_t asked_boot_us)
{
	struct shard *sh, *next;
	size_t i;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (!named(pools, count, sh->pool_name))
			shard_drop(sh, "dealt-elsewhere");
		else if (!sh->lost)
			sh->confirmed_boot_us = asked_boot_us;
	}
	for (i = 0; i < count && !all->scheduler->stopping; i++) {
		if (find_shard(all, pools[i]) == NULL)
			shard_begin(all, pools[i], asked_boot_us);
	}
}

void
shards_check(struct shards *all)
{
	struct shard *sh, *next;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (shard_outlived(sh))
			shard_drop(sh, "not-confirmed");
	}
}

void
shards_give_up_all(struct shards *all, bool at_once)
{
	struct shard *sh, *next;

	for (sh = LIST_FIRST(&all->list); sh != NULL; sh = next) {
		next = LIST_NEXT(sh, entries);
		if (at_once || sh->writer == NULL ||
		    store_writer_idle(sh->writer))
			shard_drop(sh, "planned-stop");
		else
			sh->state = SHARD_GIVING_UP;
	}
}

bool
shards_none(const struct shards *all)
{
	return LIST_EMPTY(&all->list);
}

void
shards_worker(struct shards *all, const struct worker_report *r)
{
	struct shard *sh = find_shard(all, r->pool);

	if (sh != NULL && sh->pool != NULL)
		feed_worker(sh, r);
}

void
shards_worker_gone(struct shards *all, const char *pool, const char *id)
{
	struct pool_event ev = {.kind = POOL_WORKER_GONE};
	struct shard *sh = find_shard(all, pool);

	if (sh == NULL || sh->pool == NULL)
		return;
	snprintf(ev.u.gone.id, sizeof(ev.u.gone.id), "%s", id);
	shard_event(sh, &ev);
}

void
shards_workers_known(struct shards *all)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries)
		takeover_go_on(sh);
}

void
shards_config_changed(struct shards *all)
{
	struct shard *sh;

	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool != NULL)
			feed_terms(sh);
	}
}

static void
reply_kind(job_reply_fn *reply, void *arg, enum job_reply_kind kind)
{
	struct job_reply r = {.kind = kind};

	reply(arg, &r);
}

/* Bytes of a job that one record of the store holds. */
static size_t
body_max(const struct shard *sh)
{
	int64_t most = sh->scheduler->boot.store_record_bytes;

	return most > ORDER_TERMS_BYTES ? (size_t)most - ORDER_TERMS_BYTES : 0;
}

static void
submit(struct shard *sh, const struct job_request *r, uint64_t token)
{
	struct pool_event ev = {.kind = POOL_SUBMIT};
	struct job_reply bad = {.kind = REPLY_INVALID};
	struct order *order = NULL;
	struct shard_token *t;

	if (r->body == NULL || r->body->len > body_max(sh))
		err_set(&bad.error, ERR_LIMIT, 0, "split the job",
		    "a job of %zu bytes cannot be stored",
		    r->body != NULL ? r->body->len : 0);
	else
		order = order_parse(r->body->data, r->body->len, &bad.error);
	if (order == NULL) {
		HASH_FIND(hh, sh->tokens, &token, sizeof(token), t);
		if (t == NULL)
			return;
		HASH_DEL(sh->tokens, t);
		t->reply(t->arg, &bad);
		free(t);
		return;
	}
	ev.u.submit.token = token;
	snprintf(ev.u.submit.id, JOB_ID_BYTES, "%s", r->id);
	ev.u.submit.terms = &r->terms;
	ev.u.submit.order = order;
	if (store_writer_stalled_ms(sh->writer) >= STORE_STUCK_MS)
		ev.u.submit.refuse_ms = STORE_RETRY_MS;
	shard_event(sh, &ev);
	order_unref(order);
}

static void
dispatch(struct shard *sh, const struct job_request *r, uint64_t token)
{
	struct pool_event ev;

	memset(&ev, 0, sizeof(ev));
	switch (r->op) {
	case JOB_SUBMIT:
		submit(sh, r, token);
		return;
	case JOB_CANCEL:
	case JOB_QUERY:
		ev.kind = r->op == JOB_CANCEL ? POOL_CANCEL : POOL_LOOK;
		ev.u.job.token = token;
		snprintf(ev.u.job.id, JOB_ID_BYTES, "%s", r->id);
		break;
	case JOB_COUNT_WAITING:
		ev.kind = POOL_COUNT;
		ev.u.count.token = token;
		snprintf(ev.u.count.queue, NAME_BYTES, "%s", r->terms.name);
		break;
	}
	shard_event(sh, &ev);
}

void
shards_request(struct shards *all, const struct job_request *r,
    job_reply_fn *reply, void *arg)
{
	struct shard *sh = find_shard(all, r->pool);
	struct shard_token *t;

	if (sh == NULL || sh->state != SHARD_OWNING || sh->lost ||
	    shard_outlived(sh)) {
		reply_kind(reply, arg, REPLY_NOT_DONE);
		return;
	}
	t = calloc(1, sizeof(*t));
	if (t == NULL) {
		reply_kind(reply, arg, REPLY_NOT_DONE);
		return;
	}
	t->token = ++sh->next_token;
	t->reply = reply;
	t->arg = arg;
	HASH_ADD(hh, sh->tokens, token, sizeof(t->token), t);
	dispatch(sh, r, t->token);
}

static void
report_worker(void *arg, const struct pool_worker_view *v)
{
	struct pool_report *r = arg;
	struct pool_worker_report *w;

	w = realloc(r->workers, (r->worker_count + 1) * sizeof(*w));
	if (w == NULL)
		return; /* a worker that is not named is not moved */
	r->workers = w;
	w = &r->workers[r->worker_count++];
	memset(w, 0, sizeof(*w));
	snprintf(w->worker, sizeof(w->worker), "%s", v->id);
	w->tasks = v->tasks;
	w->lasting = v->lasting;
	w->cordoned = v->cordoned;
}

int
shards_cordon(struct shards *all, const struct cordon_request *r,
    struct pool_report *report)
{
	struct shard *sh = find_shard(all, r->pool);
	struct pool_event ev = {.kind = POOL_CORDON};
	size_t i;

	if (sh == NULL || sh->state != SHARD_OWNING || sh->lost ||
	    shard_outlived(sh))
		return -1;
	for (i = 0; i < r->count; i++) {
		snprintf(ev.u.cordon.id, NAME_BYTES, "%s", r->list[i].worker);
		ev.u.cordon.empty = r->list[i].kind == CORDON_EMPTY;
		ev.u.cordon.gone = r->list[i].kind == CORDON_GONE;
		ev.u.cordon.due = r->list[i].kind == CORDON_DUE;
		shard_event(sh, &ev);
	}
	ev.kind = POOL_COMING;
	ev.u.coming.count = (size_t)r->coming;
	ev.u.coming.within_ms = (int)r->within_ms;
	shard_event(sh, &ev);
	memset(report, 0, sizeof(*report));
	snprintf(report->pool, sizeof(report->pool), "%s", sh->pool_name);
	pool_demand(sh->pool, &report->demand);
	report->view_age_ms =
	    store_watch_workers_age_us(sh->scheduler->watcher) / US_PER_MS;
	pool_each_worker(sh->pool, report_worker, report);
	return 0;
}

bool
shards_owns(const struct shards *all, const char *pool)
{
	const struct shard *sh = find_shard(all, pool);

	return sh != NULL && sh->state == SHARD_OWNING && !sh->lost;
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
		shard_drop(sh, "end");
	free(all);
}

void
shards_metrics(const struct shards *all, struct buf *out)
{
	const struct shard *sh;
	struct pool_stats st;
	char labels[NAME_BYTES + 16];

	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool == NULL)
			continue;
		pool_stats(sh->pool, &st);
		snprintf(labels, sizeof(labels), "pool=\"%s\"", sh->pool_name);
		metric_gauge(out, "pool_jobs", NULL, labels, (int64_t)st.jobs);
		metric_gauge(out, "pool_jobs_waiting", NULL, labels,
		    (int64_t)st.jobs_waiting);
		metric_gauge(out, "pool_tasks_placed", NULL, labels,
		    (int64_t)st.tasks_placed);
		metric_gauge(out, "pool_loop_lag_us", NULL, labels, sh->lag_us);
		metric_gauge(
		    out, "pool_workers", NULL, labels, (int64_t)st.workers);
		metric_gauge(out, "pool_workers_held", NULL, labels,
		    (int64_t)st.workers_held);
		metric_counter(
		    out, "pool_jobs_accepted_total", NULL, labels, st.accepted);
		metric_counter(out, "pool_jobs_completed_total", NULL, labels,
		    st.completed);
		metric_counter(
		    out, "pool_jobs_failed_total", NULL, labels, st.failed);
		metric_counter(
		    out, "pool_jobs_refused_total", NULL, labels, st.refused);
		metric_counter(
		    out, "pool_starts_total", NULL, labels, st.starts);
		metric_counter(out, "pool_looks_total", NULL, labels, st.looks);
		metric_counter(out, "pool_starts_refused_total", NULL, labels,
		    st.starts_refused);
		metric_counter(out, "pool_runs_failed_total", NULL, labels,
		    st.ends_failed);
	}
}

void
shards_dump(const struct shards *all, struct buf *out)
{
	const struct shard *sh;
	bool first = true;

	buf_printf(out, "[");
	LIST_FOREACH(sh, &all->list, entries) {
		if (sh->pool == NULL)
			continue;
		buf_printf(out, "%s", first ? "" : ",");
		pool_dump(sh->pool, out);
		first = false;
	}
	buf_printf(out, "]");
}
