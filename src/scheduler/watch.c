#include "watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "controller.h"
#include "shards.h"
#include "store_client.h"

#define CONFIG_WAIT_MS 700 /* a read waits so long for a change */
#define WORKERS_PAUSE_MS 200 /* between two looks at workers' entries */
#define READ_TIMEOUT_MS 900 /* beyond the wait */
#define RETRY_MS 250

/* A topic of newest records by key, read and then followed. */
struct follower {
	struct watch *watch;
	const char *topic;
	int wait_ms;
	int pause_ms;
	bool active;
	bool known; /* all newest records have been read */
	int64_t read_boot_us; /* when the topic was read to its end last */
	int64_t next; /* offset to read from; -1: newest first */
	int64_t page_end; /* of the first page of newest records */
	bool first_page;
	char after[STORE_KEY_MAX + 1]; /* key to go on after */
	uint64_t round; /* of reading newest records */
	struct store_op *op;
	lws_sorted_usec_list_t due;
	void (*take)(struct watch *w, const struct store_record *r);
	void (*whole)(struct watch *w); /* newest records are in */
};

struct entry {
	struct worker_report report;
	int64_t offset;
	uint64_t round; /* seen in this round of newest records */
	UT_hash_handle hh;
};

struct watch {
	struct scheduler *scheduler;
	struct follower config;
	struct follower workers;
	struct entry *entries; /* by id */
};

static void follower_due(lws_sorted_usec_list_t *sul);

static void
follower_schedule(struct follower *f, int ms)
{
	lws_sul_schedule(f->watch->scheduler->context, 0, &f->due, follower_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

static void
each_record(void *arg, const struct store_record *r)
{
	struct follower *f = arg;

	f->take(f->watch, r);
}

static void
newest_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct follower *f = arg;
	struct store_page page;
	int bad;

	(void)sent;
	f->op = NULL;
	if (status != 200) {
		f->first_page = true;
		follower_schedule(f, RETRY_MS);
		return;
	}
	bad = store_newest_each(body, len, &page, each_record, f);
	if (bad != 0)
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"records cannot be read: passed over\" topic=%s "
		    "records=%d",
		    f->topic, bad);
	if (f->first_page)
		f->page_end = page.end;
	f->first_page = false;
	if (bad >= 0 && page.more) {
		snprintf(f->after, sizeof(f->after), "%s", page.last_key);
		follower_schedule(f, 0);
		return;
	}
	f->next = f->page_end;
	f->first_page = true;
	f->known = true;
	f->read_boot_us = sched_boot_us();
	f->whole(f->watch);
	follower_schedule(f, f->pause_ms);
}

static void
read_newest(struct follower *f)
{
	struct store_call c;

	if (f->first_page)
		f->round++;
	store_newest_call(&c, f->topic, f->first_page ? NULL : f->after);
	f->op = store_send(
	    f->watch->scheduler, &c, READ_TIMEOUT_MS, newest_ended, f);
	if (f->op == NULL)
		follower_schedule(f, RETRY_MS);
}

static void
read_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct follower *f = arg;
	int64_t next;
	int bad;

	(void)sent;
	f->op = NULL;
	if (status == 410 || status == 404 || status == 400) {
		daemon_log(LOG_LEVEL_INFO, "watch",
		    "msg=\"history is gone: reads newest records\" topic=%s "
		    "from=%lld",
		    f->topic, (long long)f->next);
		f->next = -1;
		follower_schedule(f, status == 410 ? 0 : RETRY_MS);
		return;
	}
	if (status != 200) {
		follower_schedule(f, RETRY_MS);
		return;
	}
	bad = store_read_each(body, len, f->next, &next, each_record, f);
	if (bad >= 0) {
		f->next = next;
		f->read_boot_us = sched_boot_us();
	}
	if (bad != 0)
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"records cannot be read: passed over\" topic=%s "
		    "records=%d",
		    f->topic, bad);
	follower_schedule(f, bad < 0 ? RETRY_MS : f->pause_ms);
}

static void
follower_due(lws_sorted_usec_list_t *sul)
{
	struct follower *f = lws_container_of(sul, struct follower, due);
	struct store_call c;

	if (!f->active || f->op != NULL)
		return;
	if (f->next < 0) {
		read_newest(f);
		return;
	}
	store_read_call(&c, f->topic, f->next, f->wait_ms);
	f->op = store_send(f->watch->scheduler, &c,
	    f->wait_ms + READ_TIMEOUT_MS, read_ended, f);
	if (f->op == NULL)
		follower_schedule(f, RETRY_MS);
}

static void
take_config(struct watch *w, const struct store_record *r)
{
	struct scheduler *s = w->scheduler;
	struct config *c;
	struct err e;

	c = config_parse(r->value, r->len, &e);
	if (c == NULL) {
		daemon_log(LOG_LEVEL_ERROR, "watch",
		    "msg=\"configuration is left out\" offset=%lld "
		    "error=\"%s\" remedy=\"%s\"",
		    (long long)r->offset, e.message, e.remedy);
		return;
	}
	if (s->config != NULL && c->version <= s->config->version) {
		config_unref(c);
		return;
	}
	daemon_log(LOG_LEVEL_INFO, "watch",
	    "msg=\"configuration in force\" version=%lld before=%lld "
	    "queues=%zu pools=%zu offset=%lld",
	    (long long)c->version,
	    (long long)(s->config != NULL ? s->config->version : -1),
	    c->queue_count, c->pool_count, (long long)r->offset);
	config_unref(s->config);
	s->config = c;
	scheduler_config_changed(s);
}

static void
take_operators(struct watch *w, const struct store_record *r)
{
	if (r->value == NULL)
		return;
	if (strcmp(r->key, KEY_CONFIG) == 0)
		take_config(w, r);
	else if (strncmp(r->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) == 0)
		controller_add_wave(w->scheduler->controller, r);
}

static void
whole_operators(struct watch *w)
{
	(void)w;
}

static void
drop_entry(struct watch *w, struct entry *n)
{
	shards_worker_removed(
	    w->scheduler->shards, n->report.pool, n->report.id);
	HASH_DEL(w->entries, n);
	free(n);
}

static struct entry *
entry_of(struct watch *w, const char *id)
{
	struct entry *n;

	HASH_FIND_STR(w->entries, id, n);
	return n;
}

static void
take_worker(struct watch *w, const struct store_record *r)
{
	struct entry *n = entry_of(w, r->key);
	struct worker_report report;

	if (n != NULL && r->offset < n->offset)
		return; /* a stale answer */
	if (r->value == NULL) {
		if (n != NULL)
			drop_entry(w, n);
		return;
	}
	if (worker_entry_parse(&report, r->key, r->value, r->len) == -1) {
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"entry names no worker to use\" key=%.40s "
		    "offset=%lld bytes=%zu",
		    r->key, (long long)r->offset, r->len);
		return;
	}
	if (n == NULL) {
		n = calloc(1, sizeof(*n));
		if (n == NULL)
			return; /* its next entry is tried again */
		snprintf(n->report.id, sizeof(n->report.id), "%s", r->key);
		HASH_ADD(hh, w->entries, report.id, strlen(n->report.id), n);
	}
	n->report = report;
	n->offset = r->offset;
	n->round = w->workers.round;
	shards_worker_changed(w->scheduler->shards, &n->report);
}

/* Entries that are not among the newest any more are gone. */
static void
whole_workers(struct watch *w)
{
	struct entry *n, *next;

	HASH_ITER(hh, w->entries, n, next)
	{
		if (n->round != w->workers.round &&
		    n->offset < w->workers.page_end)
			drop_entry(w, n);
	}
	shards_workers_loaded(w->scheduler->shards);
}

static void
follower_init(struct follower *f, struct watch *w, const char *topic)
{
	f->watch = w;
	f->topic = topic;
	f->next = -1;
	f->first_page = true;
}

struct watch *
watch_new(struct scheduler *s)
{
	struct watch *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->scheduler = s;
	follower_init(&w->config, w, TOPIC_OPERATORS);
	w->config.wait_ms = CONFIG_WAIT_MS;
	w->config.take = take_operators;
	w->config.whole = whole_operators;
	w->config.active = true;
	follower_init(&w->workers, w, TOPIC_WORKERS);
	w->workers.pause_ms = WORKERS_PAUSE_MS;
	w->workers.take = take_worker;
	w->workers.whole = whole_workers;
	follower_schedule(&w->config, 0);
	return w;
}

void
watch_free(struct watch *w)
{
	struct entry *n, *next;

	if (w == NULL)
		return;
	lws_sul_cancel(&w->config.due);
	lws_sul_cancel(&w->workers.due);
	store_op_cancel(w->config.op);
	store_op_cancel(w->workers.op);
	HASH_ITER(hh, w->entries, n, next)
	{
		HASH_DEL(w->entries, n);
		free(n);
	}
	free(w);
}

void
watch_need_workers(struct watch *w, bool need)
{
	struct follower *f = &w->workers;

	if (need == f->active)
		return;
	f->active = need;
	f->known = false;
	f->next = -1;
	f->first_page = true;
	if (need) {
		follower_schedule(f, 0);
		return;
	}
	lws_sul_cancel(&f->due);
	store_op_cancel(f->op);
	f->op = NULL;
}

bool
watch_workers_known(const struct watch *w)
{
	return w->workers.known;
}

int64_t
watch_workers_age_us(const struct watch *w)
{
	return sched_boot_us() - w->workers.read_boot_us;
}

void
watch_each_worker(const struct watch *w, const char *pool,
    void (*each)(void *arg, const struct worker_report *r), void *arg)
{
	const struct entry *n;

	for (n = w->entries; n != NULL; n = n->hh.next) {
		if (strcmp(n->report.pool, pool) == 0)
			each(arg, &n->report);
	}
}
