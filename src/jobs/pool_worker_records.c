/*
 * Records of the workers that tasks may have been started on.  The next owner
 * reads them, and starts no task again that one of these workers may still run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"
#include "wire.h"

/* Fields without labels: started, address, port, wait, three resources. */
#define RECORD_FIELD_COUNT 7
#define REFERENCE_FIELD_COUNT 4

#define LABEL_KEY_BYTES 32

/* Labels keep their order: "label0" is the kind, "label1" is the rack. */
static const char *
label_key(char key[LABEL_KEY_BYTES], size_t i)
{
	snprintf(key, LABEL_KEY_BYTES, "label%zu", i);
	return key;
}

/*
 * Time that a next owner has to wait for a silent worker; 0: the worker
 * answers.  Not a time of day: daemons' clocks may differ by seconds.
 */
static int64_t
successor_wait_ms(const struct pool *p, const struct pool_worker *w)
{
	if (w->idle_by_us == 0)
		return 0;
	if (w->idle_by_us <= p->now_us)
		return RUNS_ENDED_WAIT_MS;
	return (w->idle_by_us - p->now_us) / US_PER_MS + RUNS_ENDED_WAIT_MS;
}

/* A worker that answers; NULL: there is none. */
static const struct pool_worker *
find_reference(const struct pool *p)
{
	const struct pool_worker *w;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (w->fence_confirmed && w->missed_renewals == 0 &&
		    !w->machine_removed && w->report.started_ms != 0)
			return w;
	}
	return NULL;
}

/* Without a clock by which its age shows, a record is written again. */
bool
worker_wait_unrecorded(const struct pool *p, const struct pool_worker *w)
{
	if (w->idle_by_us <= p->now_us)
		return false;
	return w->recorded_wait_ms == 0 ||
	    (w->recorded_at.worker[0] == '\0' && find_reference(p) != NULL);
}

/* "at" has answered. */
static void
set_reference(const struct pool *p, struct clock_reference *r,
    const struct pool_worker *at)
{
	snprintf(r->worker, sizeof(r->worker), "%s", at->report.id);
	r->worker_started_ms = at->report.started_ms;
	r->min_ms = at->report.clock_ms +
	    (int64_t)((double)(p->now_us - at->clock_read_us) /
		(double)US_PER_MS * CLOCK_RATE_MIN);
	r->max_ms = at->report.clock_ms +
	    (p->now_us - at->clock_since_us) / US_PER_MS + 1;
}

static void
write_reference(struct wire_writer *out, const struct clock_reference *r)
{
	wire_str(out, "at_worker", r->worker);
	wire_i64(out, "at_born", r->worker_started_ms);
	wire_i64(out, "at_min", r->min_ms);
	wire_i64(out, "at_max", r->max_ms);
}

static void
write_worker_record(
    struct pool *p, struct pool_worker *w, const struct pool_worker *at)
{
	char key[JOB_KEY_BYTES], label[LABEL_KEY_BYTES];
	int64_t wait_ms = successor_wait_ms(p, w);
	bool has_reference = wait_ms > RUNS_ENDED_WAIT_MS && at != NULL;
	struct wire_writer out;
	size_t i;

	if (wait_ms > 0) {
		w->recorded_wait_ms = wait_ms;
		w->recorded_at.worker[0] = '\0';
	}
	if (has_reference)
		set_reference(p, &w->recorded_at, at);
	wire_writer_init(&out);
	wire_map(&out,
	    RECORD_FIELD_COUNT + (uint32_t)w->report.label_count +
		(has_reference ? REFERENCE_FIELD_COUNT : 0));
	wire_i64(&out, "born", w->report.started_ms);
	wire_str(&out, "addr", w->report.addr);
	wire_u64(&out, "port", (uint64_t)w->report.port);
	wire_i64(&out, "wait", wait_ms);
	if (has_reference)
		write_reference(&out, &w->recorded_at);
	wire_i64(&out, "cpu", w->report.cpu_milli);
	wire_i64(&out, "memory", w->report.memory_mb);
	wire_i64(&out, "accelerators", w->report.accelerators);
	for (i = 0; i < w->report.label_count; i++)
		wire_str(&out, label_key(label, i), w->report.labels[i]);
	worker_record_key(key, w->report.id);
	fx_write(p, key, wire_writer_finish(&out));
	w->record_serial = p->write_serial;
	w->recorded_idle_by_us = w->idle_by_us;
	w->record_current = w->has_record = true;
}

void
pool_write_worker_records(struct pool *p)
{
	const struct pool_worker *at;
	struct pool_worker *w;

	if (!p->records_stale)
		return;
	at = find_reference(p);
	p->records_stale = false;
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (!w->record_current)
			write_worker_record(p, w, at);
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
	int64_t wait_ms = p->opts.reconcile_max_ms, recorded_ms = 0;
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
	if (wire_get_i64(map, "wait", &recorded_ms) && recorded_ms > 0 &&
	    recorded_ms < wait_ms)
		wait_ms = recorded_ms;
	p->now_us = p->opts.now_us;
	w = pool_find_worker(p, id);
	if (w == NULL)
		w = pool_worker_new(p, &r);
	if (w == NULL)
		abort(); /* tasks that it may run would be started again */
	w->inherited = true;
	w->earlier_starts_until_us =
	    p->now_us + LATE_COMMAND_MAX_MS * US_PER_MS;
	w->unlisted_us = p->now_us; /* until its entry has been read */
	if (p->now_us + wait_ms * US_PER_MS > w->idle_by_us)
		w->idle_by_us = p->now_us + wait_ms * US_PER_MS;
	/* the record may be old: a next owner may wait no longer than this */
	if (recorded_ms > 0)
		w->recorded_idle_by_us = p->now_us;
	w->reconciled_by_us = w->idle_by_us;
	w->recorded_wait_ms = recorded_ms;
	if (!wire_get_str(map, "at_worker", w->recorded_at.worker,
		sizeof(w->recorded_at.worker)) ||
	    !wire_get_i64(map, "at_born", &w->recorded_at.worker_started_ms) ||
	    !wire_get_i64(map, "at_min", &w->recorded_at.min_ms) ||
	    !wire_get_i64(map, "at_max", &w->recorded_at.max_ms))
		w->recorded_at.worker[0] = '\0';
	return w;
}

/*
 * The clock of worker "at" shows between which bounds the age of the record
 * lies: this owner waits by the lowest, and expects a next one to wait by the
 * highest.
 */
static void
use_record_age(
    struct pool *p, struct pool_worker *silent, const struct pool_worker *at)
{
	int64_t left_ms = silent->recorded_wait_ms -
	    (at->report.clock_ms - silent->recorded_at.max_ms);
	int64_t clock_max_ms = at->report.clock_ms +
	    (p->now_us - at->clock_since_us) / US_PER_MS + 1;
	int64_t left_min_ms = silent->recorded_wait_ms -
	    (int64_t)((double)(clock_max_ms - silent->recorded_at.min_ms) /
		CLOCK_RATE_MIN);
	int64_t idle_by_us = p->now_us + left_ms * US_PER_MS;
	int64_t successor_us = p->now_us + left_min_ms * US_PER_MS;

	if (silent->idle_by_us == 0) { /* it has answered */
		if (successor_us > silent->successor_wait_end_us)
			silent->successor_wait_end_us = successor_us;
		return;
	}
	if (idle_by_us < silent->idle_by_us)
		silent->idle_by_us = idle_by_us;
	if (idle_by_us < silent->reconciled_by_us)
		silent->reconciled_by_us = idle_by_us;
	if (successor_us > silent->recorded_idle_by_us)
		silent->recorded_idle_by_us = successor_us;
}

/* The store may still have the record that says that the worker is silent. */
static bool
silent_by_record(const struct pool *p, const struct pool_worker *w)
{
	return w->idle_by_us != 0
	    ? w->idle_by_us > p->now_us
	    : !w->record_current || w->record_serial > p->stored_serial;
}

void
pool_use_clock_reference(struct pool *p, const struct pool_worker *w)
{
	struct pool_worker *silent;

	for (silent = p->workers; silent != NULL; silent = silent->hh.next) {
		if (!silent_by_record(p, silent) ||
		    strcmp(silent->recorded_at.worker, w->report.id) != 0)
			continue;
		if (silent->recorded_at.worker_started_ms ==
		    w->report.started_ms) {
			use_record_age(p, silent, w);
			continue;
		}
		/* the clock is gone with its incarnation */
		silent->recorded_at.worker[0] = '\0';
		if (silent->idle_by_us != 0)
			worker_mark_record_stale(p, silent);
	}
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
