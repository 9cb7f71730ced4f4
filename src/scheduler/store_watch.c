#include "store_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "config_relay.h"
#include "controller.h"
#include "long_name.h"
#include "shards.h"
#include "topic_follower.h"

#define OPERATORS_LONG_POLL_MS 700 /* the store holds a read until a change */
#define WORKERS_POLL_INTERVAL_MS 200 /* of workers' entries */
#define LOGGED_KEY_BYTES 41

struct worker_entry {
	struct worker_report report;
	int64_t offset;
	uint64_t scan; /* last scan that included the entry */
	UT_hash_handle hh;
};

struct store_watch {
	struct scheduler *scheduler;
	struct topic_follower operators;
	struct topic_follower workers;
	struct worker_entry *entries_by_id;
	struct buf *config_record; /* of the configuration in force */
};

/* "offset" -1: from a peer. */
static enum config_take
apply_config(
    struct store_watch *w, const void *data, size_t len, int64_t offset)
{
	struct scheduler *s = w->scheduler;
	int64_t before = s->config != NULL ? s->config->version : -1;
	struct buf *record;
	struct config *c;
	struct err e;

	c = config_parse(data, len, &e);
	if (c == NULL) {
		daemon_log(LOG_LEVEL_ERROR, "watch",
		    "msg=\"configuration is invalid: ignored\" offset=%lld "
		    "error=\"%s\" remedy=\"%s\"",
		    (long long)offset, e.message, e.remedy);
		return CONFIG_MALFORMED;
	}
	if (!config_trust_supersedes(c->version, before)) {
		config_unref(c);
		return CONFIG_NOT_NEWER;
	}
	/* out of memory: peers are given none until the next version */
	record = buf_from(data, len);
	buf_unref(w->config_record);
	w->config_record = record;
	daemon_log(LOG_LEVEL_INFO, "watch",
	    "msg=\"configuration in force\" version=%lld before=%lld "
	    "queues=%zu pools=%zu offset=%lld",
	    (long long)c->version, (long long)before, c->queue_count,
	    c->pool_count, (long long)offset);
	if (c->left_out_count > 0)
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"entries of the configuration cannot be used: left "
		    "out\" version=%lld entries=%zu first=%s[%zu] name=%s "
		    "why=\"%s\"",
		    (long long)c->version, c->left_out_count,
		    c->first_left_out.list, c->first_left_out.index,
		    c->first_left_out.name, c->first_left_out.why);
	scheduler_set_config(s, c);
	return CONFIG_TAKEN;
}

enum config_take
store_watch_take_config(struct store_watch *w, const void *data, size_t len)
{
	return apply_config(w, data, len, -1);
}

struct buf *
store_watch_config_record(const struct store_watch *w)
{
	return w->config_record;
}

static void
on_operators_record(void *arg, const struct store_record *r)
{
	struct store_watch *w = arg;
	if (r->value == NULL)
		return;
	if (strcmp(r->key, KEY_CONFIG) == 0)
		apply_config(w, r->value, r->value_len, r->offset);
	else if (strncmp(r->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) == 0)
		controller_add_wave(w->scheduler->controller, r);
}

static void
on_operators_loaded(void *arg)
{
	(void)arg;
}

static void
on_operators_read_start(void *arg, int long_poll_ms)
{
	struct store_watch *w = arg;
	config_relay_read_started(w->scheduler->relay, long_poll_ms);
}

static void
on_operators_read_end(void *arg, enum config_read_end end)
{
	struct store_watch *w = arg;
	config_relay_read_ended(
	    w->scheduler->relay, end, w->operators.read_sent_boottime_us);
}

static void
remove_worker(struct store_watch *w, struct worker_entry *e)
{
	shards_worker_removed(
	    w->scheduler->shards, e->report.pool, e->report.id);
	HASH_DEL(w->entries_by_id, e);
	free(e);
}

static struct worker_entry *
find_worker(struct store_watch *w, const char *id)
{
	struct worker_entry *e;

	HASH_FIND_STR(w->entries_by_id, id, e);
	return e;
}

/* True for a pool that isn't in the configuration, unlike that of the entry. */
static bool
leaves_for_unknown_pool(const struct store_watch *w,
    const struct worker_entry *e, const struct worker_report *r)
{
	const struct config *c = w->scheduler->config;

	return e != NULL && c != NULL && strcmp(e->report.pool, r->pool) != 0 &&
	    config_find_pool(c, r->pool) == NULL &&
	    config_find_pool(c, e->report.pool) != NULL;
}

static void
log_odd_entry(struct store_watch *w, const struct store_record *r, bool listed)
{
	struct topic_follower *f = &w->workers;
	char key[LOGGED_KEY_BYTES];
	size_t i;

	if (!topic_follower_may_log_odd(f))
		return;
	snprintf(key, sizeof(key), "%.*s", (int)sizeof(key) - 1, r->key);
	for (i = 0; key[i] != '\0'; i++) {
		if (key[i] <= ' ' || key[i] > '~')
			key[i] = '?';
	}
	daemon_log(LOG_LEVEL_WARN, "watch",
	    "msg=\"invalid worker entry: ignored\" key=%s offset=%lld "
	    "bytes=%zu earlier_entry_kept=%d unlogged=%llu",
	    key, (long long)r->offset, r->value_len, listed,
	    (unsigned long long)f->odd_unlogged);
	f->odd_unlogged = 0;
}

static void
on_worker_record(void *arg, const struct store_record *r)
{
	struct store_watch *w = arg;
	struct worker_entry *e;
	struct worker_report report;
	char id[NAME_BYTES];

	name_keep(id, r->key);
	e = find_worker(w, id);
	/* an odd record leaves the last good entry as it is */
	if (e != NULL)
		e->scan = w->workers.scan;
	/* a scan returns records again that were read before */
	if (e != NULL && r->offset <= e->offset)
		return;
	if (r->value == NULL) {
		if (e != NULL)
			remove_worker(w, e);
		return;
	}
	if (worker_entry_parse(&report, r->key, r->value, r->value_len) == -1 ||
	    worker_report_from_future(&report, sched_unix_ms()) ||
	    leaves_for_unknown_pool(w, e, &report)) {
		log_odd_entry(w, r, e != NULL);
		return;
	}
	if (e == NULL) {
		e = calloc(1, sizeof(*e));
		if (e == NULL)
			return; /* out of memory: the worker's next record tries
				   again */
		memcpy(e->report.id, id, sizeof(e->report.id));
		e->scan = w->workers.scan;
		HASH_ADD(
		    hh, w->entries_by_id, report.id, strlen(e->report.id), e);
	}
	e->report = report;
	e->offset = r->offset;
	shards_worker_changed(w->scheduler->shards, &e->report);
}

/* Removes entries that a complete scan did not include. */
static void
on_workers_loaded(void *arg)
{
	struct store_watch *w = arg;
	struct worker_entry *e, *next;

	HASH_ITER(hh, w->entries_by_id, e, next)
	{
		if (!w->workers.scan_incomplete && e->scan != w->workers.scan &&
		    e->offset < w->workers.snapshot_end_offset)
			remove_worker(w, e);
	}
	shards_workers_loaded(w->scheduler->shards);
}

struct store_watch *
store_watch_new(struct scheduler *s)
{
	struct store_watch *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->scheduler = s;
	topic_follower_init(&w->operators, s, TOPIC_OPERATORS, w);
	w->operators.long_poll_ms = OPERATORS_LONG_POLL_MS;
	w->operators.on_record = on_operators_record;
	w->operators.on_loaded = on_operators_loaded;
	w->operators.on_read_start = on_operators_read_start;
	w->operators.on_read_end = on_operators_read_end;
	topic_follower_init(&w->workers, s, TOPIC_WORKERS, w);
	w->workers.poll_interval_ms = WORKERS_POLL_INTERVAL_MS;
	w->workers.on_record = on_worker_record;
	w->workers.on_loaded = on_workers_loaded;
	topic_follower_set(&w->operators, true);
	return w;
}

void
store_watch_free(struct store_watch *w)
{
	struct worker_entry *e, *next;

	if (w == NULL)
		return;
	topic_follower_uninit(&w->operators);
	topic_follower_uninit(&w->workers);
	HASH_ITER(hh, w->entries_by_id, e, next)
	{
		HASH_DEL(w->entries_by_id, e);
		free(e);
	}
	buf_unref(w->config_record);
	free(w);
}

int64_t
store_watch_operators_read_us(const struct store_watch *w)
{
	return w->operators.last_read_boottime_us;
}

void
store_watch_follow_workers(struct store_watch *w, bool follow)
{
	topic_follower_set(&w->workers, follow);
}

bool
store_watch_workers_loaded(const struct store_watch *w)
{
	return w->workers.loaded;
}

int64_t
store_watch_workers_age_us(const struct store_watch *w)
{
	return sched_boottime_us() - w->workers.last_read_boottime_us;
}

void
store_watch_each_worker(const struct store_watch *w, const char *pool,
    void (*each)(void *arg, const struct worker_report *r), void *arg)
{
	const struct worker_entry *e;

	for (e = w->entries_by_id; e != NULL; e = e->hh.next) {
		if (strcmp(e->report.pool, pool) == 0)
			each(arg, &e->report);
	}
}
