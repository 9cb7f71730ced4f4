#include "queue_homes.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "wire.h"

struct home_entry {
	char key[HOME_KEY_BYTES];
	struct queue_home home;
	bool dropped;
	int64_t offset; /* of its newest record */
	uint64_t scan; /* when it was read */
	int64_t valid_from; /* records before this offset do not count */
	UT_hash_handle hh; /* by key */
};

struct queue_homes {
	struct home_entry *entries;
};

struct queue_homes *
queue_homes_new(void)
{
	return calloc(1, sizeof(struct queue_homes));
}

void
queue_homes_free(struct queue_homes *h)
{
	struct home_entry *e, *next;

	if (h == NULL)
		return;
	HASH_ITER(hh, h->entries, e, next)
	{
		HASH_DEL(h->entries, e);
		free(e);
	}
	free(h);
}

void
queue_home_key(char key[HOME_KEY_BYTES], const char *queue, const char *pool)
{
	snprintf(key, HOME_KEY_BYTES, "%016" PRIx64 ".%016" PRIx64,
	    (uint64_t)XXH64(queue, strlen(queue), 0),
	    (uint64_t)XXH64(pool, strlen(pool), 0));
}

struct buf *
queue_home_encode(const struct queue_home *home)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 3);
	wire_str(&w, "queue", home->queue);
	wire_str(&w, "pool", home->pool);
	wire_i64(&w, "config", home->config_version);
	return wire_writer_finish(&w);
}

static int
home_decode(
    struct queue_home *home, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	memset(home, 0, sizeof(*home));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_str(in.root, "queue", home->queue, sizeof(home->queue)) &&
	    wire_get_str(in.root, "pool", home->pool, sizeof(home->pool)) &&
	    wire_get_i64(in.root, "config", &home->config_version);
	wire_reader_uninit(&in);
	if (ok)
		return 0;
	return err_set(e, ERR_PROTOCOL, 0,
	    "check which processes write to the topic of queues' homes",
	    "the record of a queue's home lacks a field");
}

static struct home_entry *
find_entry(const struct queue_homes *h, const char *key)
{
	struct home_entry *e;

	HASH_FIND_STR(h->entries, key, e);
	return e;
}

static struct home_entry *
get_entry(struct queue_homes *h, const char *key)
{
	struct home_entry *e = find_entry(h, key);

	if (e != NULL)
		return e;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort(); /* a job could be accepted twice */
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->offset = -1;
	e->dropped = true;
	HASH_ADD_STR(h->entries, key, e);
	return e;
}

int
queue_homes_apply(
    struct queue_homes *h, const struct home_record *r, struct err *e)
{
	struct home_entry *entry;
	struct queue_home home;

	if (strlen(r->key) >= HOME_KEY_BYTES)
		return err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the topic of queues' homes",
		    "the record of a queue's home has a long key");
	entry = get_entry(h, r->key);
	entry->scan = r->scan;
	if (r->data != NULL && home_decode(&home, r->data, r->len, e) == -1)
		return -1;
	if (r->offset < entry->offset) /* a scan repeats what was read before */
		return 0;
	entry->offset = r->offset;
	entry->dropped = r->data == NULL;
	if (r->data != NULL)
		entry->home = home;
	return 0;
}

void
queue_homes_scanned(struct queue_homes *h, uint64_t scan, int64_t end)
{
	struct home_entry *e;

	for (e = h->entries; e != NULL; e = e->hh.next) {
		if (e->scan != scan && e->offset < end)
			e->dropped = true;
	}
}

static bool
entry_valid(const struct home_entry *e)
{
	return e != NULL && !e->dropped && e->offset >= e->valid_from;
}

/* Adds the queue's other homes; returns the newest version of any of them. */
static int64_t
add_other_homes(const struct queue_homes *h, const struct home_query *q,
    struct home_decision *d)
{
	const struct home_entry *e;
	int64_t newest = 0;

	for (e = h->entries; e != NULL; e = e->hh.next) {
		/* one that is being dropped may still hold jobs */
		if (e->dropped || strcmp(e->home.queue, q->queue) != 0 ||
		    strcmp(e->home.pool, q->pool) == 0)
			continue;
		if (e->home.config_version > newest)
			newest = e->home.config_version;
		if (d->count < HOMES_ASKED_MAX)
			memcpy(d->pools[d->count], e->home.pool, NAME_BYTES);
		d->count++;
	}
	return newest;
}

/* Whether the owner's configuration and the request's agree on the pool. */
static enum home_verdict
configured_verdict(const struct home_query *q)
{
	if (q->configured_pool == NULL)
		/* a route that is gone; the caller's daemon does not know */
		return q->request_version != 0 &&
			q->config_version > q->request_version
		    ? HOME_UNKNOWN
		    : HOME_HERE;
	if (strcmp(q->configured_pool, q->pool) == 0)
		return HOME_HERE;
	return q->request_version > q->config_version ? HOME_UNKNOWN
						      : HOME_ELSEWHERE;
}

void
queue_homes_decide(const struct queue_homes *h, const struct home_query *q,
    struct home_decision *d)
{
	int64_t known = q->config_version > q->request_version
	    ? q->config_version
	    : q->request_version;
	const struct home_entry *own;
	char key[HOME_KEY_BYTES];
	int64_t newest;

	memset(d, 0, sizeof(*d));
	d->verdict = configured_verdict(q);
	if (d->verdict == HOME_ELSEWHERE) {
		snprintf(
		    d->pools[d->count++], NAME_BYTES, "%s", q->configured_pool);
		return;
	}
	if (d->verdict == HOME_UNKNOWN)
		return;
	queue_home_key(key, q->queue, q->pool);
	own = find_entry(h, key);
	newest = add_other_homes(h, q, d);
	if (newest > known || d->count > HOMES_ASKED_MAX) {
		d->verdict = HOME_UNKNOWN;
		d->count = 0;
	} else if (!entry_valid(own) || own->home.config_version < newest) {
		d->verdict = HOME_UNREGISTERED;
	} else if (d->count > 0 && !q->searched) {
		d->verdict = HOME_SEARCH;
	}
}

void
queue_homes_suspend(
    struct queue_homes *h, const char *queue, const char *pool, int64_t offset)
{
	char key[HOME_KEY_BYTES];

	queue_home_key(key, queue, pool);
	get_entry(h, key)->valid_from = offset;
}

void
queue_homes_each(const struct queue_homes *h, const char *pool,
    void (*each)(void *arg, const struct queue_home *home), void *arg)
{
	const struct home_entry *e;

	for (e = h->entries; e != NULL; e = e->hh.next) {
		if (!e->dropped && strcmp(e->home.pool, pool) == 0)
			each(arg, &e->home);
	}
}
