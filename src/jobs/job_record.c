#include "job_record.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "wire.h"

#define PREFIX_SPEC "j/"
#define PREFIX_PROGRESS "p/"
#define PREFIX_WORKER "w/"
#define PREFIX_BYTES 2
#define CRASHES_FIELDS 10 /* of a task's crashes */

void
worker_record_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_WORKER "%s", id);
}

/* The name behind the prefix of a key; false if the key is another one. */
static bool
key_name(const char *key, const char *prefix, char name[NAME_BYTES])
{
	if (strncmp(key, prefix, PREFIX_BYTES) != 0 ||
	    key[PREFIX_BYTES] == '\0' ||
	    strlen(key + PREFIX_BYTES) >= NAME_BYTES)
		return false;
	snprintf(name, NAME_BYTES, "%s", key + PREFIX_BYTES);
	return true;
}

bool
worker_key_id(const char *key, char id[NAME_BYTES])
{
	return key_name(key, PREFIX_WORKER, id);
}

void
job_spec_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_SPEC "%s", id);
}

void
job_progress_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_PROGRESS "%s", id);
}

bool
job_key_id(const char *key, char id[JOB_ID_BYTES], bool *progress)
{
	if (strlen(key) != PREFIX_BYTES + JOB_ID_BYTES - 1)
		return false;
	*progress = strncmp(key, PREFIX_PROGRESS, PREFIX_BYTES) == 0;
	if (!*progress && strncmp(key, PREFIX_SPEC, PREFIX_BYTES) != 0)
		return false;
	memcpy(id, key + PREFIX_BYTES, JOB_ID_BYTES);
	return true;
}

void
share_record_key(char key[JOB_KEY_BYTES], const char *account)
{
	snprintf(key, JOB_KEY_BYTES, KEY_SHARE_PREFIX "%s", account);
}

bool
share_key_account(const char *key, char account[NAME_BYTES])
{
	return key_name(key, KEY_SHARE_PREFIX, account);
}

static const struct codec_field share_fields[] = {
    CODEC_FIELD("c", CODEC_I64, struct cap_share, share.cpu_milli),
    CODEC_FIELD("m", CODEC_I64, struct cap_share, share.memory_mb),
    CODEC_FIELD("g", CODEC_I64, struct cap_share, share.accelerators),
    CODEC_FIELD("rc", CODEC_I64, struct cap_share, cap.cpu_milli),
    CODEC_FIELD("rm", CODEC_I64, struct cap_share, cap.memory_mb),
    CODEC_FIELD("rg", CODEC_I64, struct cap_share, cap.accelerators),
};

#define SHARE_FIELDS (sizeof(share_fields) / sizeof(share_fields[0]))

struct buf *
share_record_encode(const struct cap_share *s)
{
	struct wire_writer w;

	wire_writer_init(&w);
	codec_write(&w, share_fields, SHARE_FIELDS, s);
	return wire_writer_finish(&w);
}

/* The share of each dimension is a part of the cap. */
static bool
share_valid(const struct cap_share *s)
{
	int64_t share, cap;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		share = cap_get(&s->share, d);
		cap = cap_get(&s->cap, d);
		if (share < 0 || share > cap || cap > ACCOUNT_CAP_MAX)
			return false;
	}
	return true;
}

int
share_record_decode(
    struct cap_share *s, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	memset(s, 0, sizeof(*s));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = codec_read(in.root, share_fields, SHARE_FIELDS, s) &&
	    share_valid(s);
	wire_reader_uninit(&in);
	if (ok)
		return 0;
	memset(s, 0, sizeof(*s));
	return err_set(e, ERR_PROTOCOL, 0,
	    "check which processes write to the pool's topic",
	    "the record of an account's share is out of range");
}

struct buf *
cap_controller_encode(int64_t fence)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_i64(&w, "f", fence);
	return wire_writer_finish(&w);
}

int
cap_controller_decode(
    int64_t *fence, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_i64(in.root, "f", fence) && *fence > 0;
	wire_reader_uninit(&in);
	if (ok)
		return 0;
	return err_set(e, ERR_PROTOCOL, 0,
	    "check which processes write to the pool's topic",
	    "the record of the controller that proposed shares is damaged");
}

/* "stretch" is written in thousandths. */
struct queue_settings_record {
	struct queue_settings settings;
	int64_t stretch_milli;
};

static const struct codec_field queue_settings_fields[] = {
    CODEC_FIELD("q", CODEC_STR, struct queue_settings_record, settings.name),
    CODEC_FIELD(
	"pr", CODEC_INT, struct queue_settings_record, settings.priority),
    CODEC_FIELD(
	"at", CODEC_INT, struct queue_settings_record, settings.max_attempts),
    CODEC_FIELD("tl", CODEC_INT, struct queue_settings_record,
	settings.target_latency_ms),
    CODEC_FIELD("st", CODEC_I64, struct queue_settings_record, stretch_milli),
    CODEC_FIELD(
	"ad", CODEC_BOOL, struct queue_settings_record, settings.has_policy),
    CODEC_FIELD(
	"dm", CODEC_INT, struct queue_settings_record, settings.policy_base_ms),
    CODEC_FIELD("wu", CODEC_INT, struct queue_settings_record,
	settings.policy_per_worker_us),
    CODEC_FIELD("vm", CODEC_INT, struct queue_settings_record,
	settings.ticket_valid_ms),
};

#define QUEUE_SETTINGS_FIELDS \
	(sizeof(queue_settings_fields) / sizeof(queue_settings_fields[0]))

void
queue_settings_write(struct wire_writer *w, const struct queue_settings *q)
{
	struct queue_settings_record r = {.settings = *q};

	r.stretch_milli = (int64_t)(q->stretch * 1000);
	codec_write(w, queue_settings_fields, QUEUE_SETTINGS_FIELDS, &r);
}

bool
queue_settings_read(const msgpack_object *map, struct queue_settings *q)
{
	struct queue_settings_record r;

	memset(&r, 0, sizeof(r));
	if (!codec_read(map, queue_settings_fields, QUEUE_SETTINGS_FIELDS, &r))
		return false;
	*q = r.settings;
	q->stretch = (double)r.stretch_milli / 1000;
	return true;
}

struct buf *
job_spec_encode(const struct job *j)
{
	const char *account = job_account_name(j);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, account[0] != '\0' ? 4 : 3);
	wire_i64(&w, "a", j->submitted_ms);
	wire_key(&w, "t");
	queue_settings_write(&w, &j->queue);
	wire_bin(&w, "b", j->spec->text->data, j->spec->text->len);
	if (account[0] != '\0')
		wire_str(&w, "ac", account);
	return wire_writer_finish(&w);
}

int
job_spec_decode(const void *data, size_t len, struct err *e,
    void (*found)(void *arg, const struct job_spec_record *r), void *arg)
{
	struct job_spec_record r;
	const msgpack_object *map;
	struct wire_reader in;
	int ret = -1;

	memset(&r, 0, sizeof(r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	if (wire_get_i64(in.root, "a", &r.submitted_ms) &&
	    wire_get(in.root, "t", &map) &&
	    queue_settings_read(map, &r.queue) &&
	    wire_get_bin(in.root, "b", &r.text, &r.text_len)) {
		/* missing: no account */
		wire_get_str(in.root, "ac", r.account, sizeof(r.account));
		found(arg, &r);
		ret = 0;
	} else {
		err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the pool's topic",
		    "a job specification's record lacks a field");
	}
	wire_reader_uninit(&in);
	return ret;
}

/* Bit set of the tasks that are done: bit i is task i. */
static void
write_done_bits(struct wire_writer *w, const struct job_step *s)
{
	uint8_t bits[JOB_TASKS_MAX / 8 + 1];
	size_t bytes = (s->spec->task_count + 7) / 8;
	unsigned i;

	memset(bits, 0, bytes);
	for (i = 0; i < s->spec->task_count; i++) {
		if (s->tasks[i].done)
			bits[i / 8] |= (uint8_t)(1U << i % 8);
	}
	msgpack_pack_bin(&w->pk, bytes);
	msgpack_pack_bin_body(&w->pk, bits, bytes);
}

static bool
task_has_state(const struct task *t)
{
	return !t->done &&
	    (t->failed_attempts > 0 || t->checkpoint != NULL ||
		t->crashes != NULL);
}

static void
write_failures(struct wire_writer *w, const struct task *t)
{
	size_t i, n = 0;

	for (i = 0; i < FAILED_RUNS_KEPT; i++)
		n += t->failed_runs[i] != 0;
	msgpack_pack_array(&w->pk, n);
	for (i = 0; i < FAILED_RUNS_KEPT; i++) {
		if (t->failed_runs[i] != 0)
			msgpack_pack_int64(&w->pk, t->failed_runs[i]);
	}
}

/*
 * [total, count, of begun runs, plain, survived_ms, crash_max_ms, suspect,
 * trial_ms, worker, its start]
 */
static void
write_crashes(struct wire_writer *w, const struct task_crashes *c)
{
	msgpack_pack_array(&w->pk, CRASHES_FIELDS);
	msgpack_pack_int(&w->pk, c->total);
	msgpack_pack_int(&w->pk, c->count);
	msgpack_pack_int(&w->pk, c->begun_count);
	msgpack_pack_int(&w->pk, c->plain_count);
	msgpack_pack_int64(&w->pk, c->survived_ms);
	msgpack_pack_int64(&w->pk, c->crash_max_ms);
	msgpack_pack_int(&w->pk, c->suspect);
	msgpack_pack_int64(&w->pk, c->trial_ms);
	msgpack_pack_str(&w->pk, strlen(c->worker));
	msgpack_pack_str_body(&w->pk, c->worker, strlen(c->worker));
	msgpack_pack_int64(&w->pk, c->worker_started_ms);
}

/*
 * [index, failed attempts, failed runs, checkpoint] of each unfinished task
 * that has failed, has a checkpoint or was under a crash; for the latter, the
 * crashes follow.
 */
static void
write_task_states(struct wire_writer *w, const struct job_step *s,
    enum progress_detail detail)
{
	const char *checkpoint;
	size_t n = 0;
	unsigned i;

	for (i = 0; i < s->spec->task_count; i++)
		n += task_has_state(&s->tasks[i]);
	msgpack_pack_array(&w->pk, n);
	for (i = 0; i < s->spec->task_count; i++) {
		if (!task_has_state(&s->tasks[i]))
			continue;
		checkpoint =
		    s->tasks[i].checkpoint != NULL && detail == PROGRESS_FULL
		    ? s->tasks[i].checkpoint
		    : "";
		msgpack_pack_array(&w->pk, s->tasks[i].crashes != NULL ? 5 : 4);
		msgpack_pack_unsigned_int(&w->pk, i);
		msgpack_pack_int(&w->pk, s->tasks[i].failed_attempts);
		write_failures(w, &s->tasks[i]);
		msgpack_pack_str(&w->pk, strlen(checkpoint));
		msgpack_pack_str_body(&w->pk, checkpoint, strlen(checkpoint));
		if (s->tasks[i].crashes != NULL)
			write_crashes(w, s->tasks[i].crashes);
	}
}

static void
write_occurrence(struct wire_writer *w, const struct occurrence *o,
    enum progress_detail detail)
{
	size_t i, steps = o->job->spec->step_count;

	wire_map(w, 3);
	wire_u64(w, "k", o->number);
	wire_array(w, "d", (uint32_t)steps);
	for (i = 0; i < steps; i++)
		write_done_bits(w, &o->steps[i]);
	wire_array(w, "n", (uint32_t)steps);
	for (i = 0; i < steps; i++)
		write_task_states(w, &o->steps[i], detail);
}

static bool
occurrence_unfinished(const struct occurrence *o)
{
	return o->done_step_count < o->job->spec->step_count;
}

struct buf *
job_progress_encode(const struct job *j, enum progress_detail detail)
{
	const struct occurrence *o;
	struct wire_writer w;
	uint32_t n = 0;

	wire_writer_init(&w);
	wire_map(&w, 5);
	wire_u64(&w, "s", j->state);
	wire_i64(&w, "e", j->ended_ms);
	wire_u64(&w, "x", j->next_occurrence_number);
	wire_u64(&w, "c", j->done_occurrence_count);
	LIST_FOREACH(o, &j->occurrences, entries)
		n += !job_final(j) && occurrence_unfinished(o);
	wire_array(&w, "o", n);
	LIST_FOREACH(o, &j->occurrences, entries) {
		if (!job_final(j) && occurrence_unfinished(o))
			write_occurrence(&w, o, detail);
	}
	return wire_writer_finish(&w);
}

static void
read_done_bits(struct job_step *s, const msgpack_object *o)
{
	unsigned i;

	if (o->type != MSGPACK_OBJECT_BIN)
		return;
	for (i = 0; i < s->spec->task_count && i / 8 < o->via.bin.size; i++) {
		if ((uint8_t)o->via.bin.ptr[i / 8] >> i % 8 & 1)
			task_mark_done(&s->tasks[i], 0);
	}
}

static void
read_crashes(struct task *t, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct task_crashes *c;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < CRASHES_FIELDS ||
	    f[8].type != MSGPACK_OBJECT_STR || f[8].via.str.size >= NAME_BYTES)
		return;
	c = task_get_crashes(t);
	c->total = (int)f[0].via.i64;
	c->count = (int)f[1].via.i64;
	c->begun_count = (int)f[2].via.i64;
	c->plain_count = (int)f[3].via.i64;
	c->survived_ms = f[4].via.i64;
	c->crash_max_ms = f[5].via.i64;
	c->suspect = f[6].via.i64 != 0;
	c->trial_ms = f[7].via.i64;
	memcpy(c->worker, f[8].via.str.ptr, f[8].via.str.size);
	c->worker[f[8].via.str.size] = '\0';
	c->worker_started_ms = f[9].via.i64;
	c->fate_open_us = c->worker[0] != '\0'; /* since long ago */
}

static void
read_task_state(struct job_step *s, const msgpack_object *o)
{
	char checkpoint[CHECKPOINT_BYTES];
	const msgpack_object *f;
	struct task *t;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 4)
		return;
	f = o->via.array.ptr;
	if (f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[0].via.u64 >= s->spec->task_count ||
	    f[2].type != MSGPACK_OBJECT_ARRAY ||
	    f[3].type != MSGPACK_OBJECT_STR ||
	    f[3].via.str.size >= CHECKPOINT_BYTES)
		return;
	t = &s->tasks[f[0].via.u64];
	for (i = 0; i < f[2].via.array.size && i < FAILED_RUNS_KEPT; i++) {
		t->failed_runs[i] = f[2].via.array.ptr[i].via.i64;
		if (t->failed_runs[i] > t->run)
			t->run = t->failed_runs[i];
	}
	t->failed_attempts = (int)f[1].via.i64;
	memcpy(checkpoint, f[3].via.str.ptr, f[3].via.str.size);
	checkpoint[f[3].via.str.size] = '\0';
	task_set_checkpoint(t, checkpoint);
	if (o->via.array.size > 4)
		read_crashes(t, &f[4]);
}

static void
read_step(
    struct job_step *s, const msgpack_object *done, const msgpack_object *notes)
{
	uint32_t i;

	if (notes->type == MSGPACK_OBJECT_ARRAY) {
		for (i = 0; i < notes->via.array.size; i++)
			read_task_state(s, &notes->via.array.ptr[i]);
	}
	read_done_bits(s, done);
}

static int
read_occurrence(struct job *j, const msgpack_object *map)
{
	const msgpack_object_array *done, *notes;
	struct occurrence *o;
	uint64_t number;
	uint32_t i;

	if (!wire_get_u64(map, "k", &number) ||
	    !wire_get_array(map, "d", &done) ||
	    !wire_get_array(map, "n", &notes) ||
	    done->size != j->spec->step_count ||
	    notes->size != j->spec->step_count ||
	    number >= job_spec_occurrence_count(j->spec))
		return -1;
	j->next_occurrence_number = (unsigned)number;
	o = job_start_occurrence(j);
	if (o == NULL)
		return -1;
	for (i = 0; i < done->size; i++)
		read_step(&o->steps[i], &done->ptr[i], &notes->ptr[i]);
	return 0;
}

static int
read_progress(struct job *j, const msgpack_object *root)
{
	const msgpack_object_array *list;
	uint64_t state, next, finished;
	uint32_t i;

	if (!wire_get_u64(root, "s", &state) ||
	    !wire_get_u64(root, "x", &next) ||
	    !wire_get_u64(root, "c", &finished) ||
	    !wire_get_array(root, "o", &list) || state > JOB_CANCELLED ||
	    next > job_spec_occurrence_count(j->spec))
		return -1;
	wire_get_i64(root, "e", &j->ended_ms);
	for (i = 0; state < JOB_COMPLETED && i < list->size; i++) {
		if (read_occurrence(j, &list->ptr[i]) == -1)
			return -1;
	}
	j->next_occurrence_number = (unsigned)next;
	j->done_occurrence_count = (unsigned)finished;
	j->state = (enum job_state)state;
	j->progress_stale = false;
	return 0;
}

int
job_progress_decode(struct job *j, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	int ret;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ret = read_progress(j, in.root);
	wire_reader_uninit(&in);
	if (ret == -1)
		return err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the pool's topic",
		    "progress record of job %s is damaged", j->id);
	return 0;
}
