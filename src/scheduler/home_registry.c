#include "home_registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "store_client.h"
#include "store_watch.h"
#include "topic_follower.h"

#define TOPIC_HOMES "keyed.homes"
#define LONG_POLL_MS 5000 /* the store holds a read until a change */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 150
#define APPEND_RECORDS_MAX 64 /* of one append */
/* A registration that has not been read back by then is sent again. */
#define READ_BACK_MAX_MS 1000

/* A home that is to be registered, or whose record has not been read yet. */
struct registration {
	char key[HOME_KEY_BYTES];
	struct queue_home home;
	int64_t sent_us; /* monotonic clock; 0: not sent */
	UT_hash_handle hh; /* by key */
};

struct home_registry {
	struct scheduler *scheduler;
	struct topic_follower follower;
	struct queue_homes *homes;
	struct registration *registrations;
	struct store_op *append; /* in flight, or NULL */
	lws_sorted_usec_list_t append_timer;
};

static void
registration_free(struct home_registry *r, struct registration *g)
{
	HASH_DEL(r->registrations, g);
	free(g);
}

static void
on_home_record(void *arg, const struct store_record *rec)
{
	struct home_registry *r = arg;
	struct home_record record = {
	    .key = rec->key,
	    .data = rec->value,
	    .len = rec->value_len,
	    .offset = rec->offset,
	    .scan = r->follower.scan,
	};
	struct registration *g;
	struct err e;

	if (queue_homes_apply(r->homes, &record, &e) == -1) {
		if (topic_follower_may_log_odd(&r->follower))
			daemon_log(LOG_LEVEL_WARN, "homes",
			    "msg=\"record of a queue's home is ignored\" "
			    "offset=%lld error=\"%s\"",
			    (long long)rec->offset, e.message);
		return;
	}
	HASH_FIND_STR(r->registrations, rec->key, g);
	if (g != NULL && g->sent_us != 0 && rec->value != NULL)
		registration_free(r, g);
}

static void
on_homes_loaded(void *arg)
{
	struct home_registry *r = arg;

	if (!r->follower.scan_incomplete)
		queue_homes_scanned(r->homes, r->follower.scan,
		    r->follower.snapshot_end_offset);
}

static void
schedule_append(struct home_registry *r, int ms)
{
	lws_sul_schedule(r->scheduler->context, 0, &r->append_timer,
	    r->append_timer.cb, ms > 0 ? ms * US_PER_MS : 1);
}

static void
on_registered(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct home_registry *r = arg;
	struct registration *g, *next;

	(void)sent;
	(void)body;
	(void)len;
	r->append = NULL;
	if (status == 200) {
		topic_follower_refresh(&r->follower);
		schedule_append(r, 0);
		return;
	}
	daemon_log(LOG_LEVEL_WARN, "homes",
	    "msg=\"homes of queues are not registered: tries again\" "
	    "status=%d homes=%u",
	    status, HASH_COUNT(r->registrations));
	HASH_ITER(hh, r->registrations, g, next)
	{
		g->sent_us = 0;
	}
	schedule_append(r, APPEND_RETRY_MS);
}

static int
add_record(struct buf *records, const struct registration *g)
{
	struct buf *value = queue_home_encode(&g->home);
	int ret = -1;

	if (value != NULL)
		ret =
		    store_record_add(records, g->key, value->data, value->len);
	buf_unref(value);
	return ret;
}

/* NULL if there is none to send, or memory is short. */
static struct buf *
collect_registrations(struct home_registry *r)
{
	int64_t now = sched_monotonic_us();
	struct buf *records = buf_new(1024);
	struct registration *g;
	size_t n = 0;

	for (g = r->registrations;
	     records != NULL && g != NULL && n < APPEND_RECORDS_MAX;
	     g = g->hh.next) {
		if (g->sent_us != 0 &&
		    now - g->sent_us < READ_BACK_MAX_MS * US_PER_MS)
			continue;
		if (add_record(records, g) == -1)
			break;
		g->sent_us = now;
		n++;
	}
	if (n > 0)
		return records;
	buf_unref(records);
	return NULL;
}

static void
on_append_due(lws_sorted_usec_list_t *sul)
{
	struct home_registry *r =
	    lws_container_of(sul, struct home_registry, append_timer);
	struct store_append_opts o = {
	    .topic = TOPIC_HOMES, .expected_end = -1, .epoch = -1};
	struct store_call c;

	if (r->append != NULL)
		return;
	o.records = collect_registrations(r);
	if (o.records == NULL)
		return;
	store_append_call(&c, &o);
	buf_unref(o.records);
	r->append = store_op_start(
	    r->scheduler, &c, APPEND_TIMEOUT_MS, on_registered, r);
	if (r->append == NULL)
		on_registered(r, 0, false, NULL, 0);
}

struct home_registry *
home_registry_new(struct scheduler *s)
{
	struct home_registry *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->scheduler = s;
	r->append_timer.cb = on_append_due;
	r->homes = queue_homes_new();
	if (r->homes == NULL) {
		free(r);
		return NULL;
	}
	topic_follower_init(&r->follower, s, TOPIC_HOMES, r);
	r->follower.long_poll_ms = LONG_POLL_MS;
	r->follower.may_be_missing = true;
	r->follower.on_record = on_home_record;
	r->follower.on_loaded = on_homes_loaded;
	topic_follower_set(&r->follower, true);
	return r;
}

void
home_registry_free(struct home_registry *r)
{
	struct registration *g, *next;

	if (r == NULL)
		return;
	topic_follower_uninit(&r->follower);
	lws_sul_cancel(&r->append_timer);
	store_op_cancel(r->append);
	HASH_ITER(hh, r->registrations, g, next)
	{
		registration_free(r, g);
	}
	queue_homes_free(r->homes);
	free(r);
}

void
home_registry_refresh(struct home_registry *r)
{
	topic_follower_refresh(&r->follower);
}

/* Adds the home to the next append. */
static void
register_home(struct home_registry *r, const struct home_query *q)
{
	struct registration *g;
	char key[HOME_KEY_BYTES];

	queue_home_key(key, q->queue, q->pool);
	HASH_FIND_STR(r->registrations, key, g);
	if (g == NULL) {
		g = calloc(1, sizeof(*g));
		if (g == NULL)
			return; /* the next request for the queue tries again */
		memcpy(g->key, key, sizeof(g->key));
		snprintf(g->home.queue, NAME_BYTES, "%s", q->queue);
		snprintf(g->home.pool, NAME_BYTES, "%s", q->pool);
		HASH_ADD_STR(r->registrations, key, g);
	}
	g->home.config_version = q->config_version > q->request_version
	    ? q->config_version
	    : q->request_version;
	if (r->append == NULL)
		schedule_append(r, 0);
}

void
home_registry_decide(struct home_registry *r, const struct home_query *q,
    int64_t since_us, struct home_decision *d)
{
	int64_t config_read_us =
	    store_watch_operators_read_us(r->scheduler->watcher);

	if (!r->follower.loaded ||
	    (r->follower.last_read_boottime_us < since_us &&
		config_read_us < since_us)) {
		memset(d, 0, sizeof(*d));
		d->verdict = HOME_UNKNOWN;
		return;
	}
	queue_homes_decide(r->homes, q, d);
	if (d->verdict == HOME_UNREGISTERED)
		register_home(r, q);
}

static void
on_dropped(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct home_registry *r = arg;

	(void)sent;
	(void)body;
	(void)len;
	r->append = NULL;
	daemon_log(LOG_LEVEL_INFO, "homes",
	    "msg=\"homes without jobs of their queues were dropped\" status=%d",
	    status);
	topic_follower_refresh(&r->follower);
	schedule_append(r, 0);
}

void
home_registry_drop(
    struct home_registry *r, const struct queue_home *homes, size_t count)
{
	/* a drop that is carried out late must not undo a registration */
	struct store_append_opts o = {
	    .topic = TOPIC_HOMES,
	    .expected_end = r->follower.next_offset,
	    .epoch = -1,
	    .records = buf_new(256),
	};
	char key[HOME_KEY_BYTES];
	struct store_call c;
	size_t i;

	if (r->append != NULL || r->registrations != NULL ||
	    !r->follower.loaded || o.expected_end < 0 || o.records == NULL) {
		buf_unref(o.records);
		return; /* the next check tries again */
	}
	for (i = 0; i < count && i < APPEND_RECORDS_MAX; i++) {
		queue_home_key(key, homes[i].queue, homes[i].pool);
		if (store_record_add(o.records, key, NULL, 0) == -1)
			break;
		queue_homes_suspend(
		    r->homes, homes[i].queue, homes[i].pool, o.expected_end);
	}
	store_append_call(&c, &o);
	buf_unref(o.records);
	r->append =
	    store_op_start(r->scheduler, &c, APPEND_TIMEOUT_MS, on_dropped, r);
}

const struct queue_homes *
home_registry_homes(const struct home_registry *r)
{
	return r->homes;
}
