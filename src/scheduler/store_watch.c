#include "store_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "config_relay.h"
#include "controller.h"
#include "shards.h"
#include "store_client.h"

#define OPERATORS_LONG_POLL_MS 700 /* the store holds a read until a change */
#define WORKERS_POLL_INTERVAL_MS 200 /* of workers' entries */
#define READ_TIMEOUT_MS 900 /* plus the long poll */
#define RETRY_DELAY_MS 250
/* Malformed reads from one offset, until the newest records are read. */
#define MALFORMED_READS_MAX 4
#define ODD_LOG_INTERVAL_MS 1000 /* between two lines about odd records */
#define LOGGED_KEY_BYTES 41

/*
 * Reads the newest record of each key of a topic, page by page, and then reads
 * the records that follow.
 */
struct topic_follower {
	struct store_watch *watcher;
	const char *topic;
	int long_poll_ms;
	int poll_interval_ms;
	bool active;
	bool loaded; /* the newest records of all keys have been read */
	int64_t read_sent_boottime_us; /* of the read in flight */
	/* When the newest read that reached the end was sent. */
	int64_t last_read_boottime_us;
	int64_t next_offset; /* -1: read the newest records first */
	int64_t snapshot_end_offset; /* end of the topic at the first page */
	bool first_page;
	char last_key[STORE_KEY_MAX_BYTES +
	    1]; /* the next page starts after it */
	uint64_t scan; /* number of this scan of the newest records */
	bool scan_incomplete; /* records of this scan could not be read */
	int malformed_answers; /* since the last one that could be read */
	int64_t odd_logged_us; /* last line about an odd record or answer */
	uint64_t odd_unlogged; /* odd ones since then */
	struct store_op *op;
	lws_sorted_usec_list_t timer;
	void (*on_record)(struct store_watch *w, const struct store_record *r);
	void (*on_loaded)(struct store_watch *w); /* a scan is complete */
	/* Of each read's end; NULL: not needed. */
	void (*on_read_end)(struct store_watch *w, enum config_read_end end);
	/* A read was sent that the store holds for so long. */
	void (*on_read_start)(struct store_watch *w, int long_poll_ms);
};

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

static void on_follower_due(lws_sorted_usec_list_t *sul);

static void
follower_schedule(struct topic_follower *f, int ms)
{
	lws_sul_schedule(f->watcher->scheduler->context, 0, &f->timer,
	    on_follower_due, ms > 0 ? ms * US_PER_MS : 1);
}

static void
read_started(struct topic_follower *f, int long_poll_ms)
{
	if (f->on_read_start != NULL)
		f->on_read_start(f->watcher, long_poll_ms);
}

static void
read_ended(struct topic_follower *f, enum config_read_end end)
{
	if (f->on_read_end != NULL)
		f->on_read_end(f->watcher, end);
}

static void
forward_record(void *arg, const struct store_record *r)
{
	struct topic_follower *f = arg;

	f->on_record(f->watcher, r);
}

/* True when a line may be logged about an odd record or answer. */
static bool
odd_line_due(struct topic_follower *f)
{
	int64_t now_us = sched_monotonic_us();

	if (f->odd_logged_us != 0 &&
	    now_us - f->odd_logged_us < ODD_LOG_INTERVAL_MS * US_PER_MS) {
		f->odd_unlogged++;
		return false;
	}
	f->odd_logged_us = now_us;
	return true;
}

/* "records": malformed ones of an answer; -1: the answer is malformed. */
static void
log_malformed(struct topic_follower *f, int records)
{
	if (records == 0 || !odd_line_due(f))
		return;
	if (records > 0)
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"cannot decode records: skipped\" topic=%s "
		    "records=%d unlogged=%llu",
		    f->topic, records, (unsigned long long)f->odd_unlogged);
	else
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"cannot decode the store's answer: reads again\" "
		    "topic=%s from=%lld in_a_row=%d unlogged=%llu",
		    f->topic, (long long)f->next_offset, f->malformed_answers,
		    (unsigned long long)f->odd_unlogged);
	f->odd_unlogged = 0;
}

/* Begins the next page.  False when the page does not show where it is. */
static bool
next_page(struct topic_follower *f, const struct store_page *page)
{
	if (page->last_key[0] == '\0' ||
	    strcmp(page->last_key, f->last_key) == 0) {
		daemon_log(LOG_LEVEL_ERROR, "watch",
		    "msg=\"no key of a page can be read: leaves out the pages "
		    "behind it\" topic=%s",
		    f->topic);
		f->scan_incomplete = true;
		return false;
	}
	snprintf(f->last_key, sizeof(f->last_key), "%s", page->last_key);
	follower_schedule(f, 0);
	return true;
}

static void
on_newest_done(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_follower *f = arg;
	struct store_page page;
	int malformed;

	(void)sent;
	f->op = NULL;
	if (status != 200) {
		read_ended(f, CONFIG_READ_FAILED);
		f->first_page = true;
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	malformed = store_newest_each(body, len, &page, forward_record, f);
	if (malformed < 0) {
		read_ended(f, CONFIG_READ_FAILED);
		f->malformed_answers++;
		log_malformed(f, malformed);
		f->first_page = true;
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	f->malformed_answers = 0;
	log_malformed(f, malformed);
	if (f->first_page)
		f->snapshot_end_offset = page.end_offset;
	f->first_page = false;
	if (page.has_more && next_page(f, &page)) {
		read_ended(f, CONFIG_READ_PARTIAL);
		return;
	}
	f->next_offset = f->snapshot_end_offset;
	f->first_page = true;
	f->loaded = true;
	f->last_read_boottime_us = f->read_sent_boottime_us;
	f->on_loaded(f->watcher);
	read_ended(
	    f, f->scan_incomplete ? CONFIG_READ_FAILED : CONFIG_READ_COMPLETE);
	follower_schedule(f, f->poll_interval_ms);
}

static void
read_newest(struct topic_follower *f)
{
	struct store_call c;

	if (f->first_page) {
		f->scan++;
		f->scan_incomplete = false;
		f->last_key[0] = '\0';
		f->read_sent_boottime_us = sched_boottime_us();
	}
	store_newest_call(&c, f->topic, f->first_page ? NULL : f->last_key);
	f->op = store_op_start(
	    f->watcher->scheduler, &c, READ_TIMEOUT_MS, on_newest_done, f);
	if (f->op != NULL) {
		read_started(f, 0);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	follower_schedule(f, RETRY_DELAY_MS);
}

static void
on_read_done(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_follower *f = arg;
	int64_t next;
	int malformed;

	(void)sent;
	f->op = NULL;
	if (status == 410 || status == 404 || status == 400) {
		daemon_log(LOG_LEVEL_INFO, "watch",
		    "msg=\"offset is no longer available: reads the newest "
		    "records\" topic=%s from=%lld",
		    f->topic, (long long)f->next_offset);
		f->next_offset = -1;
		read_ended(f,
		    status == 410 ? CONFIG_READ_PARTIAL : CONFIG_READ_FAILED);
		follower_schedule(f, status == 410 ? 0 : RETRY_DELAY_MS);
		return;
	}
	if (status != 200) {
		read_ended(f, CONFIG_READ_FAILED);
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	malformed = store_read_each(
	    body, len, f->next_offset, &next, forward_record, f);
	f->malformed_answers = malformed >= 0 || next > f->next_offset
	    ? 0
	    : f->malformed_answers + 1;
	f->next_offset = next;
	log_malformed(f, malformed);
	if (malformed >= 0) {
		f->last_read_boottime_us = f->read_sent_boottime_us;
		read_ended(f,
		    next >= store_read_end(body, len) ? CONFIG_READ_COMPLETE
						      : CONFIG_READ_PARTIAL);
		follower_schedule(f, f->poll_interval_ms);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	if (f->malformed_answers >= MALFORMED_READS_MAX) {
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"records cannot be decoded: reads the newest of each "
		    "key\" topic=%s from=%lld",
		    f->topic, (long long)f->next_offset);
		f->malformed_answers = 0;
		f->next_offset = -1;
	}
	follower_schedule(f, RETRY_DELAY_MS);
}

static void
on_follower_due(lws_sorted_usec_list_t *sul)
{
	struct topic_follower *f =
	    lws_container_of(sul, struct topic_follower, timer);
	struct store_call c;

	if (!f->active || f->op != NULL)
		return;
	if (f->next_offset < 0) {
		read_newest(f);
		return;
	}
	f->read_sent_boottime_us = sched_boottime_us();
	store_read_call(&c, f->topic, f->next_offset, f->long_poll_ms);
	f->op = store_op_start(f->watcher->scheduler, &c,
	    f->long_poll_ms + READ_TIMEOUT_MS, on_read_done, f);
	if (f->op != NULL) {
		read_started(f, f->long_poll_ms);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	follower_schedule(f, RETRY_DELAY_MS);
}

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
on_operators_record(struct store_watch *w, const struct store_record *r)
{
	if (r->value == NULL)
		return;
	if (strcmp(r->key, KEY_CONFIG) == 0)
		apply_config(w, r->value, r->value_len, r->offset);
	else if (strncmp(r->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) == 0)
		controller_add_wave(w->scheduler->controller, r);
}

static void
on_operators_loaded(struct store_watch *w)
{
	(void)w;
}

static void
on_operators_read_start(struct store_watch *w, int long_poll_ms)
{
	config_relay_read_started(w->scheduler->relay, long_poll_ms);
}

static void
on_operators_read_end(struct store_watch *w, enum config_read_end end)
{
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

	if (!odd_line_due(f))
		return;
	snprintf(key, sizeof(key), "%s", r->key);
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
on_worker_record(struct store_watch *w, const struct store_record *r)
{
	struct worker_entry *e = find_worker(w, r->key);
	struct worker_report report;

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
		snprintf(e->report.id, sizeof(e->report.id), "%s", r->key);
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
on_workers_loaded(struct store_watch *w)
{
	struct worker_entry *e, *next;

	HASH_ITER(hh, w->entries_by_id, e, next)
	{
		if (!w->workers.scan_incomplete && e->scan != w->workers.scan &&
		    e->offset < w->workers.snapshot_end_offset)
			remove_worker(w, e);
	}
	shards_workers_loaded(w->scheduler->shards);
}

static void
follower_init(
    struct topic_follower *f, struct store_watch *w, const char *topic)
{
	f->watcher = w;
	f->topic = topic;
	f->next_offset = -1;
	f->first_page = true;
}

struct store_watch *
store_watch_new(struct scheduler *s)
{
	struct store_watch *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->scheduler = s;
	follower_init(&w->operators, w, TOPIC_OPERATORS);
	w->operators.long_poll_ms = OPERATORS_LONG_POLL_MS;
	w->operators.on_record = on_operators_record;
	w->operators.on_loaded = on_operators_loaded;
	w->operators.on_read_start = on_operators_read_start;
	w->operators.on_read_end = on_operators_read_end;
	w->operators.active = true;
	follower_init(&w->workers, w, TOPIC_WORKERS);
	w->workers.poll_interval_ms = WORKERS_POLL_INTERVAL_MS;
	w->workers.on_record = on_worker_record;
	w->workers.on_loaded = on_workers_loaded;
	follower_schedule(&w->operators, 0);
	return w;
}

void
store_watch_free(struct store_watch *w)
{
	struct worker_entry *e, *next;

	if (w == NULL)
		return;
	lws_sul_cancel(&w->operators.timer);
	lws_sul_cancel(&w->workers.timer);
	store_op_cancel(w->operators.op);
	store_op_cancel(w->workers.op);
	HASH_ITER(hh, w->entries_by_id, e, next)
	{
		HASH_DEL(w->entries_by_id, e);
		free(e);
	}
	buf_unref(w->config_record);
	free(w);
}

void
store_watch_follow_workers(struct store_watch *w, bool follow)
{
	struct topic_follower *f = &w->workers;

	if (follow == f->active)
		return;
	f->active = follow;
	f->loaded = false;
	f->next_offset = -1;
	f->first_page = true;
	if (follow) {
		follower_schedule(f, 0);
		return;
	}
	lws_sul_cancel(&f->timer);
	store_op_cancel(f->op);
	f->op = NULL;
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
