/* The progress of a job as a record of its pool's topic. */
#include <stdlib.h>
#include <string.h>

#include "job_record.h"

#define CRASHES_FIELDS 10 /* of a task's crashes */
#define SEPARATE_CHECKPOINT_FIELDS 2
/* Earlier versions read a checkpoint of less. */
#define SHORT_CHECKPOINT_BYTES 64
/* Checkpoints take this part of a record at most. */
#define CHECKPOINTS_RECORD_PART 4
/* At most; of a checkpoint in a record, with its task's index. */
#define CHECKPOINT_HEADER_BYTES 16

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

/* The checkpoints that a record has: all shorter ones, some of this length. */
struct checkpoint_limit {
	size_t longest, count_of_longest;
};

/*
 * Earlier versions read such a checkpoint with the state of its task.  Any
 * other one would be cut, or make them ignore the whole state.
 */
static bool
checkpoint_is_short(const struct buf *value)
{
	return value->len < SHORT_CHECKPOINT_BYTES &&
	    memchr(value->data, '\0', value->len) == NULL;
}

/*
 * The checkpoint that a record should have.  While a task runs, its worker
 * lists it, so that a long one is not written with each change of the job.
 */
static const struct buf *
checkpoint_to_record(const struct task *t)
{
	const struct buf *value = stored_text_value(t->checkpoint);
	bool placed = t->step->spec->gang ? t->step->placed_count > 0
					  : t->place != PLACE_NONE;

	return value != NULL && (!placed || checkpoint_is_short(value)) ? value
									: NULL;
}

/* Its checkpoint if the record has it, else NULL.  Counts it. */
static const struct buf *
recorded_checkpoint(const struct task *t, struct checkpoint_limit *limit)
{
	const struct buf *value = checkpoint_to_record(t);

	if (value == NULL || value->len > limit->longest ||
	    (value->len == limit->longest && limit->count_of_longest == 0))
		return NULL;
	limit->count_of_longest -= value->len == limit->longest;
	return value;
}

/* Its checkpoint if the record has it with the task's state, else NULL. */
static const struct buf *
short_checkpoint(const struct task *t, struct checkpoint_limit *limit)
{
	const struct buf *value = recorded_checkpoint(t, limit);

	return value != NULL && checkpoint_is_short(value) ? value : NULL;
}

/* Its checkpoint if the record has it on its own, else NULL. */
static const struct buf *
separate_checkpoint(const struct task *t, struct checkpoint_limit *limit)
{
	const struct buf *value = recorded_checkpoint(t, limit);

	return value != NULL && !checkpoint_is_short(value) ? value : NULL;
}

static bool
task_has_state(const struct task *t, const struct buf *checkpoint)
{
	return !t->done &&
	    (t->failed_attempts > 0 || checkpoint != NULL ||
		t->crashes != NULL);
}

/*
 * [index, failed attempts, failed runs, short checkpoint] of each unfinished
 * task that has failed, has such a checkpoint or was under a crash; for the
 * latter, the crashes follow.
 */
static void
write_task_states(struct wire_writer *w, const struct job_step *s,
    struct checkpoint_limit *limit)
{
	struct checkpoint_limit counting = *limit;
	const struct buf *checkpoint;
	const struct task *t;
	size_t n = 0, len;

	for (t = s->tasks; t < s->tasks + s->spec->task_count; t++)
		n += task_has_state(t, short_checkpoint(t, &counting));
	msgpack_pack_array(&w->pk, n);
	for (t = s->tasks; t < s->tasks + s->spec->task_count; t++) {
		checkpoint = short_checkpoint(t, limit);
		if (!task_has_state(t, checkpoint))
			continue;
		len = checkpoint != NULL ? checkpoint->len : 0;
		msgpack_pack_array(&w->pk, t->crashes != NULL ? 5 : 4);
		msgpack_pack_unsigned_int(&w->pk, t->index);
		msgpack_pack_int(&w->pk, t->failed_attempts);
		write_failures(w, t);
		msgpack_pack_str(&w->pk, len);
		if (len > 0)
			msgpack_pack_str_body(&w->pk, checkpoint->data, len);
		if (t->crashes != NULL)
			write_crashes(w, t->crashes);
	}
}

/* [index, checkpoint] of each one that is not with its task's state. */
static void
write_separate_checkpoints(struct wire_writer *w, const struct job_step *s,
    struct checkpoint_limit *limit)
{
	struct checkpoint_limit counting = *limit;
	const struct buf *checkpoint;
	const struct task *t;
	size_t n = 0;

	if (limit->longest == 0) { /* most jobs: they save nothing */
		msgpack_pack_array(&w->pk, 0);
		return;
	}
	for (t = s->tasks; t < s->tasks + s->spec->task_count; t++)
		n += separate_checkpoint(t, &counting) != NULL;
	msgpack_pack_array(&w->pk, n);
	for (t = s->tasks; t < s->tasks + s->spec->task_count; t++) {
		checkpoint = separate_checkpoint(t, limit);
		if (checkpoint == NULL)
			continue;
		msgpack_pack_array(&w->pk, SEPARATE_CHECKPOINT_FIELDS);
		msgpack_pack_unsigned_int(&w->pk, t->index);
		msgpack_pack_bin_with_body(
		    &w->pk, checkpoint->data, checkpoint->len);
	}
}

static void
write_occurrence(struct wire_writer *w, const struct occurrence *o,
    struct checkpoint_limit *limit)
{
	struct checkpoint_limit separate = *limit;
	size_t i, steps = o->job->spec->step_count;

	wire_map(w, 4);
	wire_u64(w, "k", o->number);
	wire_array(w, "d", (uint32_t)steps);
	for (i = 0; i < steps; i++)
		write_done_bits(w, &o->steps[i]);
	wire_array(w, "n", (uint32_t)steps);
	for (i = 0; i < steps; i++)
		write_task_states(w, &o->steps[i], limit);
	wire_array(w, "v", (uint32_t)steps);
	for (i = 0; i < steps; i++)
		write_separate_checkpoints(w, &o->steps[i], &separate);
}

static bool
occurrence_in_record(const struct occurrence *o)
{
	return !job_final(o->job) &&
	    o->done_step_count < o->job->spec->step_count;
}

static struct buf *
encode_progress(const struct job *j, struct checkpoint_limit limit)
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
		n += occurrence_in_record(o);
	wire_array(&w, "o", n);
	LIST_FOREACH(o, &j->occurrences, entries) {
		if (occurrence_in_record(o))
			write_occurrence(&w, o, &limit);
	}
	return wire_writer_finish(&w);
}

/* As checkpoint_lengths(), of one step. */
static size_t
step_checkpoint_lengths(const struct job_step *s, size_t *out)
{
	const struct buf *value;
	const struct task *t;
	size_t n = 0;

	for (t = s->tasks; t < s->tasks + s->spec->task_count; t++) {
		value = checkpoint_to_record(t);
		if (value == NULL)
			continue;
		if (out != NULL)
			out[n] = value->len;
		n++;
	}
	return n;
}

/*
 * Lengths of the checkpoints that the record should have, which are written to
 * "out" unless it is NULL.  Returns the number of them.
 */
static size_t
checkpoint_lengths(const struct job *j, size_t *out)
{
	const struct occurrence *o;
	size_t i, n = 0;

	LIST_FOREACH(o, &j->occurrences, entries) {
		for (i = 0; occurrence_in_record(o) && i < j->spec->step_count;
		     i++)
			n += step_checkpoint_lengths(
			    &o->steps[i], out != NULL ? out + n : NULL);
	}
	return n;
}

static int
compare_lengths(const void *a, const void *b)
{
	const size_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * The shortest checkpoints that take "room" bytes together, of "count" sorted
 * lengths.  Returns the number of them.
 */
static size_t
fit_checkpoints(const size_t *lengths, size_t count, size_t room,
    struct checkpoint_limit *limit)
{
	size_t i;

	memset(limit, 0, sizeof(*limit));
	for (i = 0; i < count; i++) {
		if (lengths[i] + CHECKPOINT_HEADER_BYTES > room)
			break;
		room -= lengths[i] + CHECKPOINT_HEADER_BYTES;
		if (lengths[i] != limit->longest)
			limit->count_of_longest = 0;
		limit->longest = lengths[i];
		limit->count_of_longest++;
	}
	return i;
}

size_t
progress_checkpoints_max_bytes(size_t record_max_bytes)
{
	return record_max_bytes / CHECKPOINTS_RECORD_PART;
}

struct buf *
job_progress_encode(const struct job *j, struct progress_encoding *e)
{
	size_t room = e->max_bytes > 0
	    ? progress_checkpoints_max_bytes(e->max_bytes)
	    : SIZE_MAX;
	size_t count = checkpoint_lengths(j, NULL), fitting;
	size_t *lengths = malloc((count + 1) * sizeof(*lengths));
	struct checkpoint_limit limit;
	struct buf *out;

	if (lengths == NULL)
		return NULL;
	if (count > 0)
		checkpoint_lengths(j, lengths);
	qsort(lengths, count, sizeof(*lengths), compare_lengths);
	fitting = fit_checkpoints(lengths, count, room, &limit);
	out = encode_progress(j, limit);
	while (out != NULL && e->max_bytes > 0 && out->len > e->max_bytes &&
	    fitting > 0) {
		buf_unref(out);
		room /= 2;
		fitting = fit_checkpoints(lengths, count, room, &limit);
		out = encode_progress(j, limit);
	}
	free(lengths);
	e->checkpoints_left_out = count - fitting;
	return out;
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
	const msgpack_object *f;
	struct text_view checkpoint;
	struct task *t;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 4)
		return;
	f = o->via.array.ptr;
	if (f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[0].via.u64 >= s->spec->task_count ||
	    f[2].type != MSGPACK_OBJECT_ARRAY)
		return;
	t = &s->tasks[f[0].via.u64];
	for (i = 0; i < f[2].via.array.size && i < FAILED_RUNS_KEPT; i++) {
		t->failed_runs[i] = f[2].via.array.ptr[i].via.i64;
		if (t->failed_runs[i] > t->run)
			t->run = t->failed_runs[i];
	}
	t->failed_attempts = (int)f[1].via.i64;
	if (f[3].type == MSGPACK_OBJECT_STR) {
		checkpoint.data = f[3].via.str.ptr;
		checkpoint.len = f[3].via.str.size;
		(void)task_set_checkpoint(t, &checkpoint);
	}
	if (o->via.array.size > 4)
		read_crashes(t, &f[4]);
}

static void
read_separate_checkpoint(struct job_step *s, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct text_view checkpoint;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < SEPARATE_CHECKPOINT_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[0].via.u64 >= s->spec->task_count ||
	    f[1].type != MSGPACK_OBJECT_BIN)
		return;
	checkpoint.data = f[1].via.bin.ptr;
	checkpoint.len = f[1].via.bin.size;
	(void)task_set_checkpoint(&s->tasks[f[0].via.u64], &checkpoint);
}

/* "separate" is NULL in the record of an earlier version. */
static void
read_step(struct job_step *s, const msgpack_object *done,
    const msgpack_object *notes, const msgpack_object *separate)
{
	uint32_t i;

	if (separate != NULL && separate->type == MSGPACK_OBJECT_ARRAY) {
		for (i = 0; i < separate->via.array.size; i++)
			read_separate_checkpoint(
			    s, &separate->via.array.ptr[i]);
	}
	if (notes->type == MSGPACK_OBJECT_ARRAY) {
		for (i = 0; i < notes->via.array.size; i++)
			read_task_state(s, &notes->via.array.ptr[i]);
	}
	read_done_bits(s, done);
}

static int
read_occurrence(struct job *j, const msgpack_object *map)
{
	const msgpack_object_array *done, *notes, *separate;
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
	if (!wire_get_array(map, "v", &separate) ||
	    separate->size != j->spec->step_count)
		separate = NULL;
	for (i = 0; i < done->size; i++)
		read_step(&o->steps[i], &done->ptr[i], &notes->ptr[i],
		    separate != NULL ? &separate->ptr[i] : NULL);
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
