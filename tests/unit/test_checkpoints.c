/* What workers save and policies issue: texts that go back as they came. */
#include <criterion/criterion.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "advice_wire.h"
#include "daemon_log.h"
#include "drawn_text.h"
#include "job_record.h"
#include "job_spec_wire.h"
#include "json_get.h"
#include "worker_wire.h"

#define TASKS 6
#define VALUE_MAX_BYTES 5000
/* A checkpoint of an earlier version has less. */
#define EARLIER_CHECKPOINT_BYTES 64

static struct text_store store;
static struct job_spec *spec;

static void
setup(void)
{
	const struct text_store_opts o = {.eviction = EVICT_LONGEST};

	text_store_init(&store, &o);
	spec = job_spec_new(1);
	spec->steps[0].task_count = TASKS;
	spec->steps[0].has_checkpoints = true;
}

static void
teardown(void)
{
	job_spec_unref(spec);
}

TestSuite(checkpoints, .init = setup, .fini = teardown);

static struct job *
new_job(void)
{
	static const struct queue_settings queue = {.name = "queue"};
	const struct job_opts o = {.id = "00000000000000a1",
	    .queue = &queue,
	    .spec = spec,
	    .submitted_ms = 1,
	    .checkpoints = &store};
	struct job *j = job_new(&o);

	cr_assert_not_null(j);
	return j;
}

static struct task *
task_of(struct job *j, unsigned i)
{
	return &LIST_FIRST(&j->occurrences)->steps[0].tasks[i];
}

static bool
set(struct task *t, const void *data, size_t len)
{
	const struct text_view v = {data, len};

	return task_set_checkpoint(t, &v);
}

static bool
has(const struct task *t, const void *data, size_t len)
{
	const struct buf *b = task_checkpoint(t);

	return b != NULL && b->len == len && memcmp(b->data, data, len) == 0;
}

/* The record's job, as the next owner loads it. */
static struct job *
reload(const struct buf *record)
{
	struct job *j = new_job();
	struct err e;

	cr_assert_eq(job_progress_decode(j, record->data, record->len, &e), 0);
	return j;
}

/* A worker's answer with a value in both lists; the caller frees it. */
static char *
report_of(const struct buf *value, size_t *len)
{
	struct json_object *s = json_object_new_string_len(
	    value->len > 0 ? (const char *)value->data : "", (int)value->len);
	const char *quoted =
	    json_object_to_json_string_ext(s, JSON_C_TO_STRING_PLAIN);
	char *out = NULL;

	*len = (size_t)asprintf(&out,
	    "{\"clockMs\":7,\"running\":[[\"00000000000000a1.0.0.0\",2,%s,41]],"
	    "\"ended\":[[1,\"00000000000000a1.0.0.1\",1,\"stopped\",%s]]}",
	    quoted, quoted);
	json_object_put(s);
	return out;
}

/* The "saved" of a start; the caller frees it. */
static struct buf *
saved_of_start(const struct buf *checkpoint)
{
	const struct worker_start_command c = {
	    .task_spec = "", .checkpoint = checkpoint};
	struct buf *body = worker_start_body(&c), *out;
	struct json_object *o = json_parse_object(body->data, body->len), *v;

	v = json_get_member(o, "saved", json_type_string);
	out = v != NULL ? buf_from(json_object_get_string(v),
			      (size_t)json_object_get_string_len(v))
			: NULL;
	json_object_put(o);
	buf_unref(body);
	return out;
}

/* review/19: no answer with a value of 64 bytes or more was taken. */
Test(checkpoints, a_value_of_any_length_goes_back_whole)
{
	struct renewal_report r;
	struct buf *value, *saved;
	struct job *j = new_job();
	uint64_t seed;
	size_t len;
	char *text;

	job_start_occurrence(j);
	for (seed = 1; seed <= 400; seed++) {
		value = drawn_text(seed, VALUE_MAX_BYTES);
		text = report_of(value, &len);
		cr_assert_eq(renewal_report_parse(&r, text, len), 0);
		cr_assert_eq(r.running_count + r.ended_count, 2);
		cr_expect_eq(r.running[0].checkpoint.len, value->len);
		cr_expect(task_set_checkpoint(
		    task_of(j, 0), &r.running[0].checkpoint));
		cr_expect(
		    task_set_checkpoint(task_of(j, 1), &r.ended[0].checkpoint));
		renewal_report_uninit(&r);
		free(text);
		saved = saved_of_start(task_checkpoint(task_of(j, 0)));
		if (value->len > 0) {
			cr_assert_not_null(saved);
			cr_expect_eq(saved->len, value->len);
			cr_expect_eq(
			    memcmp(saved->data, value->data, value->len), 0);
			cr_expect(has(task_of(j, 1), value->data, value->len));
		}
		buf_unref(saved);
		buf_unref(value);
	}
	job_free(j);
	cr_expect_eq(store.bytes, 0);
}

/* A parser replaces half a pair: the value would not be the task's. */
Test(checkpoints, a_value_that_has_not_come_as_it_was_sent_is_left_out)
{
	static const char text[] =
	    "{\"clockMs\":7,\"running\":"
	    "[[\"00000000000000a1.0.0.0\",2,\"a\\ud83cb\",41],"
	    "[\"00000000000000a1.0.0.1\",2,\"\\ud83c\\udf3f\\u0000\",41],"
	    "[\"00000000000000a1.0.0.2\",2,\"\\\\ud83c\",41],"
	    "[\"00000000000000a1.0.0.3\",2,7,41]]}";
	struct renewal_report r;

	cr_assert_eq(renewal_report_parse(&r, text, strlen(text)), 0);
	cr_assert_eq(r.running_count, 4);
	cr_expect(r.running[0].checkpoint_left_out);
	cr_expect_eq(r.running[0].checkpoint.len, 0);
	cr_expect_not(r.running[1].checkpoint_left_out);
	cr_expect_eq(r.running[1].checkpoint.len, 5);
	cr_expect_eq(r.running[2].checkpoint.len, 6);
	cr_expect(r.running[3].checkpoint_left_out);
	renewal_report_uninit(&r);
}

/* A queue whose tickets were longer started no task. */
Test(checkpoints, a_ticket_of_any_length_goes_back_whole)
{
	char text[VALUE_MAX_BYTES], ticket[3000];
	struct advice a;

	memset(ticket, 't', sizeof(ticket) - 1);
	ticket[sizeof(ticket) - 1] = '\0';
	snprintf(text, sizeof(text),
	    "{\"good\":[[\"w-1\",\"%s\"],[\"w-2\",7],[\"w-3\",\"\"],7],"
	    "\"validityMs\":3000}",
	    ticket);
	cr_assert_eq(advice_response_parse(&a, text, strlen(text)), 0);
	cr_assert_eq(a.ticket_count, 3);
	cr_expect(a.tickets[0].usable);
	cr_expect_eq(a.tickets[0].ticket.len, sizeof(ticket) - 1);
	cr_expect_eq(
	    memcmp(a.tickets[0].ticket.data, ticket, sizeof(ticket) - 1), 0);
	cr_expect_not(a.tickets[1].usable);
	cr_expect(a.tickets[2].usable);
	advice_uninit(&a);
}

Test(checkpoints, the_members_of_a_gang_share_one_value)
{
	struct progress_encoding e = {0};
	struct buf *record;
	struct job *j, *next;
	char value[300];
	unsigned i;

	spec->steps[0].gang = true;
	j = new_job();
	job_start_occurrence(j);
	memset(value, 'g', sizeof(value));
	cr_expect(set(task_of(j, 3), value, sizeof(value)));
	record = job_progress_encode(j, &e);
	next = reload(record);
	for (i = 0; i < TASKS; i++) {
		cr_expect(has(task_of(j, i), value, sizeof(value)));
		cr_expect(has(task_of(next, i), value, sizeof(value)));
	}
	cr_expect_lt(record->len, 2 * sizeof(value));
	buf_unref(record);
	job_free(next);
	job_free(j);
}

/* Every owner may be gone: the next one knows the value from the record. */
Test(checkpoints, a_record_has_each_value_whole_or_not_at_all)
{
	struct buf *values[TASKS], *record;
	struct progress_encoding e;
	struct job *j, *next;
	uint64_t seed;
	unsigned i;
	size_t kept;

	for (seed = 1; seed <= 200; seed++) {
		j = new_job();
		job_start_occurrence(j);
		for (i = 0; i < TASKS; i++) {
			values[i] =
			    drawn_text(seed * TASKS + i, VALUE_MAX_BYTES);
			cr_assert(set(
			    task_of(j, i), values[i]->data, values[i]->len));
			cr_assert(task_count_failure(task_of(j, i), 7));
		}
		e = (struct progress_encoding){
		    .max_bytes = seed % 2 == 0 ? 8192 : 0};
		record = job_progress_encode(j, &e);
		cr_assert_not_null(record);
		if (e.max_bytes > 0)
			cr_expect_leq(record->len, e.max_bytes);
		else
			cr_expect_eq(e.checkpoints_left_out, 0);
		next = reload(record);
		for (i = kept = 0; i < TASKS; i++) {
			cr_expect_eq(task_of(next, i)->failed_attempts, 1);
			if (task_checkpoint(task_of(next, i)) == NULL)
				continue;
			kept++;
			cr_expect(has(
			    task_of(next, i), values[i]->data, values[i]->len));
		}
		for (i = 0; i < TASKS; i++) {
			kept += values[i]->len == 0;
			buf_unref(values[i]);
		}
		cr_expect_eq(kept + e.checkpoints_left_out, TASKS);
		buf_unref(record);
		job_free(next);
		job_free(j);
	}
}

/* Long values take a part of a record, and the shorter ones come first. */
Test(checkpoints, a_long_value_costs_its_own_task_alone)
{
	struct progress_encoding e = {.max_bytes = 8192};
	char text[VALUE_MAX_BYTES];
	struct buf *record;
	struct job *j = new_job(), *next;
	unsigned i;

	job_start_occurrence(j);
	memset(text, 'x', sizeof(text));
	cr_expect(set(task_of(j, 0), text, sizeof(text)));
	for (i = 1; i < TASKS; i++)
		cr_expect(set(task_of(j, i), text, 100 + i));
	record = job_progress_encode(j, &e);
	cr_expect_eq(e.checkpoints_left_out, 1);
	cr_expect_leq(
	    record->len, progress_checkpoints_max_bytes(e.max_bytes) + 100);
	next = reload(record);
	cr_expect_null(task_checkpoint(task_of(next, 0)));
	for (i = 1; i < TASKS; i++)
		cr_expect(has(task_of(next, i), text, 100 + i));
	buf_unref(record);
	job_free(next);
	job_free(j);
}

/* Each end of a task of the job would write the values of all others again. */
Test(checkpoints, a_record_has_no_long_value_of_a_running_task)
{
	struct progress_encoding e = {.max_bytes = 262144};
	struct job *j = new_job(), *next;
	struct buf *record;
	char text[1000];
	unsigned i;

	job_start_occurrence(j);
	memset(text, 'x', sizeof(text));
	for (i = 0; i < TASKS; i++)
		cr_expect(set(task_of(j, i), text, i < 4 ? 1000 : 16));
	task_of(j, 1)->place = task_of(j, 2)->place = PLACE_RUNNING;
	task_of(j, 4)->place = PLACE_RUNNING;
	record = job_progress_encode(j, &e);
	cr_expect_eq(e.checkpoints_left_out, 0);
	next = reload(record);
	cr_expect(has(task_of(next, 0), text, 1000));
	cr_expect_null(task_checkpoint(task_of(next, 1)));
	cr_expect_null(task_checkpoint(task_of(next, 2)));
	cr_expect(has(task_of(next, 3), text, 1000));
	cr_expect(has(task_of(next, 4), text, 16));
	cr_expect(has(task_of(next, 5), text, 16));
	buf_unref(record);
	job_free(next);
	job_free(j);
}

/*
 * A task's state as the version before reads it: a longer checkpoint made it
 * ignore the failed attempts, too, and it took a checkpoint up to a NUL.
 */
static void
read_as_before(const msgpack_object *state, int failed_attempts[TASKS],
    const msgpack_object_str *checkpoint[TASKS])
{
	const msgpack_object *f = state->via.array.ptr;

	if (state->type != MSGPACK_OBJECT_ARRAY || state->via.array.size < 4 ||
	    f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[0].via.u64 >= TASKS || f[2].type != MSGPACK_OBJECT_ARRAY ||
	    f[3].type != MSGPACK_OBJECT_STR ||
	    f[3].via.str.size >= EARLIER_CHECKPOINT_BYTES)
		return;
	failed_attempts[f[0].via.u64] = (int)f[1].via.i64;
	checkpoint[f[0].via.u64] = &f[3].via.str;
}

/* A daemon of the version before takes over: work may be lost, nothing else. */
Test(checkpoints, the_version_before_reads_failures_and_whole_values)
{
	const msgpack_object_str *checkpoint[TASKS];
	const msgpack_object_array *list, *states;
	struct progress_encoding e;
	int failed_attempts[TASKS];
	struct wire_reader in;
	struct buf *value, *record;
	struct job *j;
	struct err err;
	uint64_t seed;
	unsigned i;

	for (seed = 1; seed <= 300; seed++) {
		j = new_job();
		job_start_occurrence(j);
		for (i = 0; i < TASKS; i++) {
			value = drawn_text(seed * TASKS + i, 300);
			cr_assert(set(task_of(j, i), value->data, value->len));
			cr_assert(task_count_failure(task_of(j, i), 7));
			buf_unref(value);
		}
		memset(&e, 0, sizeof(e));
		record = job_progress_encode(j, &e);
		cr_assert_eq(
		    wire_reader_init(&in, record->data, record->len, &err), 0);
		cr_assert(wire_get_array(in.root, "o", &list));
		cr_assert(wire_get_array(&list->ptr[0], "n", &states));
		memset(failed_attempts, 0, sizeof(failed_attempts));
		memset(checkpoint, 0, sizeof(checkpoint));
		for (i = 0; i < states->ptr[0].via.array.size; i++)
			read_as_before(&states->ptr[0].via.array.ptr[i],
			    failed_attempts, checkpoint);
		for (i = 0; i < TASKS; i++) {
			cr_assert_not_null(checkpoint[i], "seed %llu task %u",
			    (unsigned long long)seed, i);
			cr_expect_eq(failed_attempts[i], 1);
			if (checkpoint[i]->size > 0)
				cr_expect(has(task_of(j, i), checkpoint[i]->ptr,
				    strnlen(checkpoint[i]->ptr,
					checkpoint[i]->size)));
		}
		wire_reader_uninit(&in);
		buf_unref(record);
		job_free(j);
	}
}

/* The other direction: a record that the version before has written. */
Test(checkpoints, a_record_of_the_version_before_is_read)
{
	static const char checkpoint[] = "00000bb87a21d94b";
	struct wire_writer w;
	struct buf *record;
	struct job *j;
	unsigned i;

	wire_writer_init(&w);
	wire_map(&w, 5);
	wire_u64(&w, "s", JOB_RUNNING);
	wire_i64(&w, "e", 0);
	wire_u64(&w, "x", 1);
	wire_u64(&w, "c", 0);
	wire_array(&w, "o", 1);
	wire_map(&w, 3);
	wire_u64(&w, "k", 0);
	wire_array(&w, "d", 1);
	msgpack_pack_bin_with_body(&w.pk, "\x02", 1);
	wire_array(&w, "n", 1);
	msgpack_pack_array(&w.pk, 2);
	for (i = 0; i < 2; i++) {
		msgpack_pack_array(&w.pk, 4);
		msgpack_pack_unsigned_int(&w.pk, 3 + i);
		msgpack_pack_int(&w.pk, 2);
		msgpack_pack_array(&w.pk, 2);
		msgpack_pack_int64(&w.pk, 11);
		msgpack_pack_int64(&w.pk, 1001);
		msgpack_pack_str_with_body(
		    &w.pk, checkpoint, i == 0 ? strlen(checkpoint) : 0);
	}
	record = wire_writer_finish(&w);
	j = reload(record);
	cr_expect(task_of(j, 1)->done);
	cr_expect(has(task_of(j, 3), checkpoint, strlen(checkpoint)));
	cr_expect_null(task_checkpoint(task_of(j, 4)));
	cr_expect_eq(task_of(j, 3)->failed_attempts, 2);
	cr_expect_eq(task_of(j, 4)->failed_attempts, 2);
	cr_expect_eq(task_of(j, 4)->run, 1001);
	buf_unref(record);
	job_free(j);
}

Test(checkpoints, the_longest_texts_go_first_from_a_store)
{
	const struct text_store_opts o = {.text_max_bytes = 4000,
	    .bytes_max = 6000,
	    .eviction = EVICT_LONGEST};
	char text[VALUE_MAX_BYTES];
	const struct text_view huge = {text, 4001}, longer = {text, 3000},
			       shorter = {text, 200};
	struct stored_text *first = NULL, *second = NULL, *small[20] = {NULL};
	size_t i;

	memset(text, 'x', sizeof(text));
	text_store_init(&store, &o);
	cr_expect_not(text_store_put(&store, &first, &huge));
	cr_expect(text_store_put(&store, &first, &longer));
	cr_expect(text_store_put(&store, &second, &longer) ||
	    store.evicted_count == 1);
	for (i = 0; i < 20; i++) {
		cr_expect(text_store_put(&store, &small[i], &shorter));
		cr_expect_leq(store.bytes, o.bytes_max);
	}
	cr_expect_null(first);
	cr_expect_null(second);
	for (i = 0; i < 20; i++) {
		cr_expect_not_null(small[i]);
		stored_text_free(&small[i]);
	}
	cr_expect_eq(store.bytes, 0);
}

/* A longer text that finds no room leaves the one that it would replace. */
Test(checkpoints, an_older_text_stays_where_a_newer_one_finds_no_room)
{
	const struct text_store_opts o = {
	    .bytes_max = 1000, .eviction = EVICT_LONGEST};
	char text[VALUE_MAX_BYTES];
	const struct text_view longer = {text, 700}, shorter = {text, 200};
	struct stored_text *first = NULL, *second = NULL;

	memset(text, 'x', sizeof(text));
	text_store_init(&store, &o);
	cr_expect(text_store_put(&store, &first, &shorter));
	cr_expect(text_store_put(&store, &second, &shorter));
	cr_expect_not(text_store_put(&store, &first, &longer));
	cr_assert_not_null(first);
	cr_expect_eq(first->value->len, shorter.len);
	cr_assert_not_null(second);
	stored_text_free(&first);
	stored_text_free(&second);
	cr_expect_eq(store.bytes, 0);
}

Test(checkpoints, the_oldest_tickets_go_first)
{
	const struct text_store_opts o = {
	    .bytes_max = 1000, .eviction = EVICT_OLDEST};
	char text[VALUE_MAX_BYTES];
	const struct text_view shorter = {text, 100}, longer = {text, 600};
	struct stored_text *first = NULL, *second = NULL;

	memset(text, 'x', sizeof(text));
	text_store_init(&store, &o);
	cr_expect(text_store_put(&store, &first, &shorter));
	cr_expect(text_store_put(&store, &second, &longer));
	cr_expect(text_store_put(&store, &second, &shorter));
	cr_expect(text_store_put(&store, &second, &longer));
	cr_expect_null(first);
	cr_assert_not_null(second);
	stored_text_free(&second);
	cr_expect_eq(store.bytes, 0);
}

/* A worker would be told to start what nobody sent. */
Test(checkpoints, a_job_whose_text_cannot_be_passed_on_is_refused)
{
	static const char lone[] =
	    "{\"taskSpec\":\"a\\udf3f\",\"steps\":[{\"count\":1}]}";
	static const char *const whole[] = {
	    "{\"taskSpec\":\"\\ud83c\\udf3f\",\"steps\":[{\"count\":1}]}",
	    "{\"taskSpec\":\"\xef\xbf\xbd\",\"steps\":[{\"count\":1}]}"};
	struct job_spec *s;
	struct err e;
	size_t i;

	cr_expect_null(job_spec_parse_submitted(lone, strlen(lone), &e));
	/* one that an earlier version has accepted is not lost */
	s = job_spec_parse(lone, strlen(lone), &e);
	cr_expect_not_null(s);
	job_spec_unref(s);
	for (i = 0; i < sizeof(whole) / sizeof(whole[0]); i++) {
		s = job_spec_parse_submitted(whole[i], strlen(whole[i]), &e);
		cr_expect_not_null(s, "%s", whole[i]);
		job_spec_unref(s);
	}
}

/* Values are not logged, and a name from outside begins no line. */
Test(checkpoints, a_line_of_the_log_stays_one_line)
{
	char line[] = "worker=a\nts=0 level=error\r\x7f\t msg=\"\xc3\xa9\"";

	log_line_clean(line);
	cr_expect_str_eq(line, "worker=a?ts=0 level=error??? msg=\"\xc3\xa9\"");
}
