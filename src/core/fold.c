#include "fold.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "fold_state.h"
#include "metric.h"

const char *
vm_state_name(enum vm_state s)
{
	switch (s) {
	case VM_SERVING:
		return "serving";
	case VM_LEAVING:
		return "leaving";
	case VM_OUT:
		return "out";
	case VM_LOST:
		return "lost";
	}
	return "none";
}

struct fold *
fold_new(void)
{
	struct fold *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->tasks = fold_tasks_new();
	if (f->tasks == NULL) {
		free(f);
		return NULL;
	}
	return f;
}

void
fold_free(struct fold *f)
{
	struct fold_author *a, *at;
	struct fold_daemon *d, *dt;
	struct fold_wave *w, *wt;
	struct fold_pool *p, *pt;
	struct vm *v, *vt;
	size_t i;

	if (f == NULL)
		return;
	HASH_ITER(hh, f->vms, v, vt)
	{
		HASH_DEL(f->vms, v);
		free(v);
	}
	HASH_ITER(hh, f->daemons, d, dt)
	{
		HASH_DEL(f->daemons, d);
		free(d);
	}
	HASH_ITER(hh, f->authors, a, at)
	{
		HASH_DEL(f->authors, a);
		free(a);
	}
	HASH_ITER(hh, f->waves, w, wt)
	{
		HASH_DEL(f->waves, w);
		free(w);
	}
	HASH_ITER(hh, f->pools, p, pt)
	{
		HASH_DEL(f->pools, p);
		free(p);
	}
	for (i = 0; i < FOLD_UNKNOWN_MAX; i++)
		buf_unref(f->unknown_records[i].encoded);
	fold_tasks_free(f->tasks);
	text_unref(f->text);
	free(f);
}

/*
 * True if a record of this author with the same or a higher sequence number
 * was already applied; otherwise stores the sequence number.
 */
static bool
fold_is_duplicate(struct fold *f, const struct record *r)
{
	struct fold_author *a, probe;

	memset(&probe, 0, sizeof(probe));
	probe.key.process = r->id.process;
	probe.key.incarnation = r->id.incarnation;
	HASH_FIND(hh, f->authors, &probe.key, sizeof(probe.key), a);
	if (a == NULL) {
		a = calloc(1, sizeof(*a));
		if (a == NULL)
			err(1, "fold");
		a->key = probe.key;
		HASH_ADD(hh, f->authors, key, sizeof(a->key), a);
	} else if (r->id.seq <= a->last_seq) {
		return true;
	}
	a->last_seq = r->id.seq;
	a->last_offset = r->offset;
	return false;
}

/*
 * Removes authors without recent records.  Runs at fixed offsets, so that all
 * daemons remove the same authors at the same offset.
 */
static void
fold_purge_authors(struct fold *f, uint64_t offset)
{
	struct fold_author *a, *tmp;

	if (offset / FOLD_PURGE_INTERVAL_OFFSETS ==
	    f->next / FOLD_PURGE_INTERVAL_OFFSETS)
		return;
	HASH_ITER(hh, f->authors, a, tmp)
	{
		if (a->last_offset + FOLD_AUTHOR_RETENTION_OFFSETS >= offset)
			continue;
		HASH_DEL(f->authors, a);
		free(a);
	}
}

/* The author's clock slot, else a free one, else the least recently used. */
static struct fold_clock *
fold_clock_get(struct fold *f, uint64_t process)
{
	struct fold_clock *c, *oldest = &f->clocks[0];
	size_t i;

	for (i = 0; i < FOLD_CLOCKS_MAX; i++) {
		c = &f->clocks[i];
		if (c->next_offset != 0 && c->process == process)
			return c;
		if (c->next_offset < oldest->next_offset)
			oldest = c;
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->process = process;
	return oldest;
}

int64_t
fold_timestamp_ms(const struct fold *f)
{
	return f->log_ms > 0 ? f->log_ms : 1;
}

/*
 * Once daemons are registered, only their clocks are used: operators are not
 * permanent authors.
 */
static bool
fold_clock_is_eligible(const struct fold *f, const struct fold_clock *c)
{
	return c->next_offset != 0 &&
	    (f->daemons == NULL || fold_daemon(f, c->process) != NULL);
}

/*
 * Sets the log time to the second-highest eligible clock, or to the only one.
 * With three or more clocks the log time never decreases.
 */
static void
fold_update_log_time(struct fold *f, const struct record *r)
{
	struct fold_clock *c = fold_clock_get(f, r->id.process);
	int64_t first = 0, second = 0;
	size_t i, authors = 0;

	if (r->time_ms > c->latest_ms)
		c->latest_ms = r->time_ms;
	c->next_offset = r->offset + 1;
	for (i = 0; i < FOLD_CLOCKS_MAX; i++) {
		if (!fold_clock_is_eligible(f, &f->clocks[i]))
			continue;
		authors++;
		if (f->clocks[i].latest_ms > first) {
			second = first;
			first = f->clocks[i].latest_ms;
		} else if (f->clocks[i].latest_ms > second) {
			second = f->clocks[i].latest_ms;
		}
	}
	if (authors == 1)
		f->log_ms = first;
	else if (authors == 2 || second > f->log_ms)
		f->log_ms = second;
}

static void
fold_store_unknown(struct fold *f, const struct record *r)
{
	struct fold_unknown *u;

	u = &f->unknown_records[f->unknown_count++ % FOLD_UNKNOWN_MAX];
	buf_unref(u->encoded);
	u->offset = r->offset;
	u->encoded = record_encode(r);
}

bool
fold_snapshot_read(struct fold_snapshot *s, const struct record *r)
{
	struct wire_reader rd;
	bool ok;

	memset(s, 0, sizeof(*s));
	if (wire_reader_init(&rd, r->body->data, r->body->len, NULL) == -1)
		return false;
	ok = wire_get_u64(rd.root, "nx", &s->next) &&
	    wire_get_u64(rd.root, "at", &s->parts_offset) &&
	    wire_get_u64(rd.root, "len", &s->len) &&
	    wire_get_u64(rd.root, "h", &s->hash);
	s->process = r->id.process;
	s->incarnation = r->id.incarnation;
	s->record_offset = r->offset;
	wire_reader_uninit(&rd);
	return ok && s->next > 0 && s->next <= r->offset;
}

static bool
fold_snapshot_apply(struct fold *f, const struct record *r)
{
	struct fold_snapshot s;

	if (!fold_snapshot_read(&s, r) || s.next <= f->snapshot.next)
		return false;
	f->snapshot = s;
	return true;
}

const struct fold_snapshot *
fold_snapshot(const struct fold *f)
{
	return &f->snapshot;
}

static bool
fold_apply_task_record(struct fold *f, const struct record *r)
{
	struct fold_tasks_view view;

	fold_tasks_view_init(&view, f);
	return fold_tasks_apply(f->tasks, r, &view);
}

static bool
fold_dispatch(struct fold *f, const struct fold_input *in)
{
	switch ((enum record_kind)in->record->kind) {
	case RECORD_CONFIG:
		return fold_config_apply(f, in);
	case RECORD_VM:
		return fold_vms_apply(f, in);
	case RECORD_MOVE:
		return fold_moves_apply(f, in);
	case RECORD_DISRUPTION:
		return fold_disruptions_apply(f, in);
	case RECORD_WAVE:
		return fold_waves_apply(f, in);
	case RECORD_TASK:
		return fold_apply_task_record(f, in->record);
	case RECORD_SNAPSHOT:
		return fold_snapshot_apply(f, in->record);
	case RECORD_CLAIM:
		return false;
	}
	fold_store_unknown(f, in->record);
	return true;
}

void
fold_apply(struct fold *f, const struct record *r)
{
	struct fold_input in = {.record = r};
	struct wire_reader rd;

	if (r->offset < f->next)
		return;
	fold_purge_authors(f, r->offset);
	f->next = r->offset + 1;
	if (fold_is_duplicate(f, r)) {
		f->counters.duplicates++;
		return;
	}
	fold_update_log_time(f, r);
	if (wire_reader_init(&rd, r->body->data, r->body->len, NULL) == -1) {
		f->counters.malformed++;
		return;
	}
	in.body = rd.root;
	if (fold_dispatch(f, &in)) {
		f->counters.applied++;
		f->revision += r->kind != RECORD_TASK;
	} else {
		f->counters.voided++;
	}
	wire_reader_uninit(&rd);
}

void
fold_skip_to(struct fold *f, uint64_t offset)
{
	if (offset > f->next)
		f->next = offset;
}

uint64_t
fold_next(const struct fold *f)
{
	return f->next;
}

uint64_t
fold_revision(const struct fold *f)
{
	return f->revision;
}

struct text *
fold_text(const struct fold *f)
{
	return f->text;
}

uint64_t
fold_config_version(const struct fold *f)
{
	return f->config_version;
}

const struct vm *
fold_vms(const struct fold *f)
{
	return f->vms;
}

const struct vm *
fold_vm(const struct fold *f, const char *name)
{
	return fold_vm_find(f, name);
}

bool
fold_vm_serves(const struct fold *f, const struct vm *v)
{
	(void)f;
	return v->state == VM_SERVING && !v->config_leaving;
}

const struct fold_daemon *
fold_daemons(const struct fold *f)
{
	return f->daemons;
}

const struct fold_daemon *
fold_daemon(const struct fold *f, uint64_t process)
{
	struct fold_daemon *d;

	HASH_FIND(hh, f->daemons, &process, sizeof(process), d);
	return d;
}

int64_t
fold_log_ms(const struct fold *f)
{
	return f->log_ms;
}

const struct fold_verdict *
fold_verdict(const struct fold *f, unsigned back)
{
	if (back >= FOLD_VERDICTS_MAX || back >= f->verdict_count)
		return NULL;
	return &f->verdicts[(f->verdict_count - 1 - back) % FOLD_VERDICTS_MAX];
}

const struct fold_tasks *
fold_task_state(const struct fold *f)
{
	return f->tasks;
}

uint64_t
fold_unknown_count(const struct fold *f)
{
	return f->unknown_count;
}
