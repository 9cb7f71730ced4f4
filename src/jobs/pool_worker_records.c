/*
 * Records of workers that may have been ordered to, for the next owner: it
 * starts nothing again that one of them may still run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"
#include "wire.h"

#define WORKER_FIELDS 7 /* birth, address, port, silent until, its room */

#define LABEL_KEY_BYTES 32

/* Labels keep their order: "label0" is the kind, "label1" the rack. */
static const char *
label_key(char key[LABEL_KEY_BYTES], size_t i)
{
	snprintf(key, LABEL_KEY_BYTES, "label%zu", i);
	return key;
}

static void
record_worker(struct pool *p, struct pool_worker *w)
{
	char key[JOB_KEY_BYTES], label[LABEL_KEY_BYTES];
	struct wire_writer out;
	size_t i;

	wire_writer_init(&out);
	wire_map(&out, WORKER_FIELDS + (uint32_t)w->report.label_count);
	wire_i64(&out, "born", w->report.started_ms);
	wire_str(&out, "addr", w->report.addr);
	wire_u64(&out, "port", (uint64_t)w->report.port);
	wire_i64(&out, "silent", w->idle_by_ms);
	wire_i64(&out, "cpu", w->report.cpu_milli);
	wire_i64(&out, "memory", w->report.memory_mb);
	wire_i64(&out, "accelerators", w->report.accelerators);
	for (i = 0; i < w->report.label_count; i++)
		wire_str(&out, label_key(label, i), w->report.labels[i]);
	worker_record_key(key, w->report.id);
	fx_write(p, key, wire_writer_take(&out));
	w->record_serial = p->write_serial;
	w->recorded_idle_by_ms = w->idle_by_ms;
	w->record_current = w->has_record = true;
}

void
pool_write_worker_records(struct pool *p)
{
	struct pool_worker *w;

	if (!p->records_stale)
		return;
	p->records_stale = false;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!w->record_current)
			record_worker(p, w);
	}
	if (p->has_worker_list_record) /* each has a record of its own by now */
		fx_write(p, KEY_WORKER_LIST, NULL);
	p->has_worker_list_record = false;
}

/* A record of an earlier version has no room: its entry tells it. */
static void
load_room(struct worker_report *r, const msgpack_object *map)
{
	char key[LABEL_KEY_BYTES];
	size_t i;

	if (!wire_get_i64(map, "cpu", &r->cpu_milli) ||
	    !wire_get_i64(map, "memory", &r->memory_mb) ||
	    !wire_get_i64(map, "accelerators", &r->accelerators))
		return;
	for (i = 0; i < WORKER_LABELS_MAX &&
	     wire_get_str(map, label_key(key, i), r->labels[i], NAME_BYTES);
	     i++)
		r->label_count++;
}

/* NULL where a field is missing. */
static struct pool_worker *
load_worker(struct pool *p, const char *id, const msgpack_object *map)
{
	int64_t silent_ms = 0,
		until_ms = p->opts.now_ms + p->opts.reconcile_max_ms;
	struct worker_report r;
	struct pool_worker *w;
	uint64_t port;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", id);
	if (!wire_get_i64(map, "born", &r.started_ms) ||
	    !wire_get_str(map, "addr", r.addr, sizeof(r.addr)) ||
	    !wire_get_u64(map, "port", &port))
		return NULL;
	r.port = (int)port;
	load_room(&r, map);
	if (wire_get_i64(map, "silent", &silent_ms) && silent_ms != 0 &&
	    silent_ms < until_ms)
		until_ms = silent_ms;
	p->now_us = p->opts.now_us;
	w = pool_find_worker(p, id);
	if (w == NULL)
		w = pool_worker_new(p, &r);
	if (w == NULL)
		abort(); /* it may run tasks that would be started again */
	w->inherited = true;
	w->unlisted_us = p->now_us; /* until its entry has been read */
	if (until_ms > w->idle_by_ms)
		w->idle_by_ms = until_ms;
	w->recorded_idle_by_ms = silent_ms;
	/* on the steady clock: the time of day may jump */
	w->reconciled_by_us = p->opts.now_us +
	    (w->idle_by_ms - p->opts.now_ms + CLOCK_OFFSET_MAX_MS) * US_PER_MS;
	return w;
}

int
pool_load_worker(
    struct pool *p, const char *id, const void *data, size_t len, struct err *e)
{
	struct pool_worker *w;
	struct wire_reader in;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	w = load_worker(p, id, in.root);
	if (w != NULL)
		w->record_current = w->has_record = true;
	wire_reader_uninit(&in);
	if (w == NULL)
		return err_set(e, ERR_PROTOCOL, 0,
		    "look at who writes to the topic",
		    "record of worker %s lacks a field", id);
	return 0;
}

int
pool_load_worker_list(
    struct pool *p, const void *data, size_t len, struct err *e)
{
	const msgpack_object_array *list;
	struct wire_reader in;
	char id[NAME_BYTES];
	uint32_t i, bad = 0;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	if (!wire_get_array(in.root, "w", &list))
		list = NULL;
	for (i = 0; list != NULL && i < list->size; i++)
		bad += !wire_get_str(&list->ptr[i], "id", id, sizeof(id)) ||
		    load_worker(p, id, &list->ptr[i]) == NULL;
	p->has_worker_list_record = p->records_stale = true;
	wire_reader_uninit(&in);
	if (bad > 0)
		return err_set(e, ERR_PROTOCOL, 0,
		    "look at who writes to the topic",
		    "%u workers of the list lack a field", bad);
	return 0;
}
