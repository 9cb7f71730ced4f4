/*
 * Records of the workers that tasks may have been started on.  The next owner
 * reads them, and starts no task again that one of these workers may still run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"
#include "wire.h"

/* Fields without labels: started, address, port, idle by, three resources. */
#define RECORD_FIELD_COUNT 7

#define LABEL_KEY_BYTES 32

/* Labels keep their order: "label0" is the kind, "label1" is the rack. */
static const char *
label_key(char key[LABEL_KEY_BYTES], size_t i)
{
	snprintf(key, LABEL_KEY_BYTES, "label%zu", i);
	return key;
}

static void
write_worker_record(struct pool *p, struct pool_worker *w)
{
	char key[JOB_KEY_BYTES], label[LABEL_KEY_BYTES];
	struct wire_writer out;
	size_t i;

	wire_writer_init(&out);
	wire_map(&out, RECORD_FIELD_COUNT + (uint32_t)w->report.label_count);
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
	fx_write(p, key, wire_writer_finish(&out));
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
			write_worker_record(p, w);
	}
	if (p->has_worker_list_record) /* replaced by a record for each */
		fx_write(p, KEY_WORKER_LIST, NULL);
	p->has_worker_list_record = false;
}

/* Records of earlier versions lack the resources, which the entry has. */
static void
load_resources(struct worker_report *r, const msgpack_object *map)
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

/* NULL if a field is missing. */
static struct pool_worker *
load_worker(struct pool *p, const char *id, const msgpack_object *map)
{
	int64_t recorded_ms = 0,
		idle_by_ms = p->opts.now_ms + p->opts.reconcile_max_ms;
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
	load_resources(&r, map);
	if (wire_get_i64(map, "silent", &recorded_ms) && recorded_ms != 0 &&
	    recorded_ms < idle_by_ms)
		idle_by_ms = recorded_ms;
	p->now_us = p->opts.now_us;
	w = pool_find_worker(p, id);
	if (w == NULL)
		w = pool_worker_new(p, &r);
	if (w == NULL)
		abort(); /* tasks that it may run would be started again */
	w->inherited = true;
	w->late_start_until_us =
	    p->opts.now_us + LATE_COMMAND_MAX_MS * US_PER_MS;
	w->unlisted_us = p->now_us; /* until its entry has been read */
	if (idle_by_ms > w->idle_by_ms)
		w->idle_by_ms = idle_by_ms;
	w->recorded_idle_by_ms = recorded_ms;
	/* on the monotonic clock, as the system time may jump */
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
		    "check which processes write to the pool's topic",
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
	uint32_t i, bad_count = 0;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	if (!wire_get_array(in.root, "w", &list))
		list = NULL;
	for (i = 0; list != NULL && i < list->size; i++)
		bad_count +=
		    !wire_get_str(&list->ptr[i], "id", id, sizeof(id)) ||
		    load_worker(p, id, &list->ptr[i]) == NULL;
	p->has_worker_list_record = p->records_stale = true;
	wire_reader_uninit(&in);
	if (bad_count > 0)
		return err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the pool's topic",
		    "%u workers in the pool's worker list lack a field",
		    bad_count);
	return 0;
}
