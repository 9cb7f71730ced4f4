/* What other writers may have left where workers and the platform write. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "advice_wire.h"
#include "config_wire.h"
#include "json_get.h"
#include "machine_wire.h"
#include "view.h"
#include "store_wire.h"
#include "worker_wire.h"

#define DEEP 10000 /* levels of nesting */
#define TEXT_BYTES (4 * DEEP)
#define MUTATIONS 4000 /* of each good message */

static const char good_entry[] =
    "{\"service\":\"blue\",\"addr\":\"10.1.2.3:8080\",\"zone\":\"a\","
    "\"configVersion\":\"v1\",\"slots\":8,\"state\":\"ready\","
    "\"coldLeftMs\":0,\"capacity\":{\"cpu\":16000,\"memMb\":32768,"
    "\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113,"
    "\"born\":1764900000000,\"remainingMs\":2000,\"seq\":4}";

static const char good_report[] =
    "{\"clockMs\":482113,\"born\":1764900000000,\"running\":"
    "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,900]],\"ended\":"
    "[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";

/* Replaces one part of a text; the caller frees the result. */
static char *
replaced(const char *text, const char *part, const char *by)
{
	const char *at = strstr(text, part);
	size_t size = strlen(text) + strlen(by) + 1;
	char *out = malloc(size);

	cr_assert_not_null(at, "no %s", part);
	cr_assert_not_null(out);
	snprintf(out, size, "%.*s%s%s", (int)(at - text), text, by,
	    at + strlen(part));
	return out;
}

static char *
nested(const char *before, const char *after)
{
	char *out = malloc(TEXT_BYTES);
	size_t n = (size_t)sprintf(out, "%s", before);

	memset(out + n, '[', DEEP);
	n += DEEP;
	memset(out + n, ']', DEEP);
	n += DEEP;
	sprintf(out + n, "%s", after);
	return out;
}

static int
entry_parse(const char *text)
{
	struct worker_report r;

	return worker_entry_parse(&r, "i-1", text, strlen(text));
}

static int
report_parse(const char *text)
{
	struct renewal_report r;
	int ret = renewal_report_parse(&r, text, strlen(text));

	if (ret == 0)
		renewal_report_uninit(&r);
	return ret;
}

static void
count_record(void *arg, const struct store_record *r)
{
	(void)r;
	++*(size_t *)arg;
}

static int
page_parse(const char *text, struct store_page *page)
{
	size_t count = 0;

	return store_newest_each(
	    text, strlen(text), page, count_record, &count);
}

struct odd {
	const char *part, *by;
};

static const struct odd odd_numbers[] = {
    {"\"cpu\":16000", "\"cpu\":9223372036854775807"},
    {"\"cpu\":16000", "\"cpu\":99999999999999999999999999"},
    {"\"cpu\":16000", "\"cpu\":1e300"},
    {"\"cpu\":16000", "\"cpu\":1e999"},
    {"\"cpu\":16000", "\"cpu\":NaN"},
    {"\"cpu\":16000", "\"cpu\":-Infinity"},
    {"\"cpu\":16000", "\"cpu\":4294967297"},
    {"\"cpu\":16000", "\"cpu\":-1"},
    {"\"cpu\":16000", "\"cpu\":\"16000\""},
    {"\"cpu\":16000", "\"cpu\":[16000]"},
    {"\"cpu\":16000,", ""},
    {"\"memMb\":32768", "\"memMb\":-32768"},
    {"\"memMb\":32768", "\"memMb\":9223372036854775807"},
    {"\"memMb\":32768", "\"memMb\":true"},
    {"\"gpu\":0", "\"gpu\":4294967296"},
    {"\"gpu\":0", "\"gpu\":-1"},
    {"\"clockMs\":482113", "\"clockMs\":-5"},
    {"\"clockMs\":482113", "\"clockMs\":9223372036854775807"},
    {"\"clockMs\":482113", "\"clockMs\":\"now\""},
    {"\"born\":1764900000000", "\"born\":-1"},
    {"\"born\":1764900000000", "\"born\":9223372036854775807"},
    {"\"born\":1764900000000", "\"born\":1e30"},
    {"\"born\":1764900000000", "\"born\":1764900000000.5"},
    {"\"born\":1764900000000", "\"born\":{}"},
    {"\"remainingMs\":2000", "\"remainingMs\":4294967296"},
    {"\"remainingMs\":2000", "\"remainingMs\":-2000"},
    {"\"remainingMs\":2000", "\"remainingMs\":\"2000\""},
    {"\"slots\":8", "\"slots\":1e40"},
    {"\"slots\":8", "\"slots\":[]"},
    {"\"seq\":4", "\"seq\":99999999999999999999"},
    {"\"coldLeftMs\":0", "\"coldLeftMs\":\"no\""},
};

Test(odd_entries, a_worker_entry_with_a_number_out_of_range_names_no_worker)
{
	size_t i;
	char *text;

	cr_expect_eq(entry_parse(good_entry), 0);
	for (i = 0; i < sizeof(odd_numbers) / sizeof(odd_numbers[0]); i++) {
		text = replaced(
		    good_entry, odd_numbers[i].part, odd_numbers[i].by);
		cr_expect_eq(entry_parse(text), -1, "%s", odd_numbers[i].by);
		free(text);
	}
}

Test(odd_entries, a_worker_entry_with_an_odd_address_names_no_worker)
{
	static const char *const addresses[] = {"10.1.2.3:0", "10.1.2.3:65536",
	    "10.1.2.3:70000", "10.1.2.3:-1", "10.1.2.3:+80", "10.1.2.3: 80",
	    "10.1.2.3:80x", "10.1.2.3:80 ", "10.1.2.3:", "10.1.2.3", ":80", "",
	    "10.1.2.3:4294967376", "10.1.2.3:99999999999999999999",
	    "10.1.2.3:000000000000000000000080", "worker.example:80",
	    "10.1.2:80", "10.1.2.3\\r\\nx:80", "10.1.2.3\\u0000:80",
	    "999.1.2.3:80", " 10.1.2.3:80"};
	char by[128], *text;
	size_t i;

	for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		snprintf(by, sizeof(by), "\"%s\"", addresses[i]);
		text = replaced(good_entry, "\"10.1.2.3:8080\"", by);
		cr_expect_eq(entry_parse(text), -1, "%s", addresses[i]);
		free(text);
	}
	text = replaced(good_entry, "\"10.1.2.3:8080\"", "8080");
	cr_expect_eq(entry_parse(text), -1);
	free(text);
}

Test(odd_entries, a_worker_entry_with_an_odd_member_names_no_worker)
{
	static const struct odd odd[] = {
	    {"\"ready\"", "\"resting\""},
	    {"\"ready\"", "7"},
	    {"\"ready\"", "null"},
	    {"\"blue\"", "\"\""},
	    {"\"blue\"", "[\"blue\"]"},
	    {"\"blue\"", "\"a-name\\u0000-with-a-zero-byte\""},
	    {"\"zone\":\"a\"", "\"zone\":4"},
	    {"\"zone\":\"a\",", ""},
	    {"{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "[]"},
	    {"{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "16000"},
	    {"[\"a\",\"r1-3\"]", "\"a\""},
	    {"[\"a\",\"r1-3\"]", "[\"a\",3]"},
	    {"[\"a\",\"r1-3\"]", "[null,\"r1-3\"]"},
	    {"[\"a\",\"r1-3\"]", "[\"a-label\\u0000-with-a-zero-byte\"]"},
	    {"[\"a\",\"r1-3\"]", "[\"a\\u0000b\"]"},
	    {"\"seq\":4}", "\"seq\":4"},
	};
	static const char *const ids[] = {"", "i 1", "i-1\r\nHost: x", "i\xff",
	    "an-id-that-is-longer-than-names-inside-may-be-and-has-\x7f"};
	struct worker_report r;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_entry, odd[i].part, odd[i].by);
		cr_expect_eq(entry_parse(text), -1, "%s", odd[i].by);
		free(text);
	}
	for (i = 0; i < sizeof(ids) / sizeof(ids[0]); i++)
		cr_expect_eq(worker_entry_parse(
				 &r, ids[i], good_entry, strlen(good_entry)),
		    -1, "id %s", ids[i]);
	cr_expect_eq(entry_parse("\xff\xfe{}"), -1);
	cr_expect_eq(entry_parse(""), -1);
	cr_expect_eq(entry_parse("7"), -1);
}

/* The pages set no number: the worker is used by the first ones. */
Test(odd_entries, a_worker_with_thousands_of_labels_is_known_by_the_first)
{
	char *labels = malloc(TEXT_BYTES), *text;
	struct worker_report r;
	size_t i, n = 0;

	n += (size_t)sprintf(labels, "[\"a\"");
	for (i = 0; i < 5000; i++)
		n += (size_t)sprintf(labels + n, ",\"b\"");
	sprintf(labels + n, "]");
	text = replaced(good_entry, "[\"a\",\"r1-3\"]", labels);
	cr_assert_eq(worker_entry_parse(&r, "blue-0", text, strlen(text)), 0);
	cr_expect_eq(r.label_count, WORKER_LABELS_MAX);
	cr_expect_eq(r.labels_left_out, 5001 - WORKER_LABELS_MAX);
	cr_expect_str_eq(r.labels[0], "a");
	cr_expect_str_eq(r.labels[1], "b");
	free(text);
	free(labels);
}

Test(odd_entries, deep_nesting_is_malformed_everywhere)
{
	struct machine_list list = {0};
	struct store_assignments s;
	struct store_page page;
	struct wave_request w;
	struct advice advice;
	struct err e;
	char *text = nested("{\"labels\":", "}");
	size_t len = strlen(text);
	int64_t clock_ms;

	cr_expect_eq(entry_parse(text), -1);

	cr_expect_eq(report_parse(text), -1);
	cr_expect_eq(machine_list_add_page(&list, text, len), -1);
	cr_expect_null(config_parse(text, len, &e));
	cr_expect_eq(wave_request_parse(&w, text, len), -1);
	cr_expect_eq(store_newest_each(text, len, &page, NULL, NULL), -1);
	cr_expect_eq(store_join_parse(&s, text, len), -1);
	cr_expect_eq(store_owners_parse(&s, text, len), -1);
	cr_expect_eq(advice_response_parse(&advice, text, len), -1);
	cr_expect_eq(worker_answer_parse(409, text, len, &clock_ms),
	    WORKER_ANSWER_MALFORMED);
	free(text);
}

struct odd_row {
	struct odd odd;
	size_t running, ended, unreadable;
};

/*
 * One row would make its worker unusable.  No run counts as ended meanwhile:
 * see pool::a_run_that_may_be_in_an_unreadable_row_stays_placed.
 */
Test(odd_entries, a_row_that_cannot_be_read_is_left_out_of_a_renewal_report)
{
	static const struct odd_row odd[] = {
	    {{"[\"5c0e7a21d94b36f8.0.1.17\",2", "[\"5c0e7a21d94b36f8.0.1\",2"},
		0, 1, 1},
	    {{"[\"5c0e7a21d94b36f8.0.1.17\",2", "[7,2"}, 0, 1, 1},
	    {{"[\"5c0e7a21d94b36f8.0.1.17\",2",
		 "[\"5c0e7a21d94b36f8.0.1.17\\u0000x\",2"},
		0, 1, 1},
	    {{".17\",2,", ".17\",\"2\","}, 0, 1, 1},
	    {{".17\",2,", ".17\",0,"}, 0, 1, 1},
	    {{".17\",2,", ".17\",null,"}, 0, 1, 1},
	    {{".17\",2,", ".17\",1.5,"}, 0, 1, 1},
	    {{".17\",2,", ".17\",99999999999999999999,"}, 0, 1, 1},
	    {{"[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,900]]", "[7]"},
		0, 1, 1},
	    {{"[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,900]]",
		 "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,900],null]"},
		1, 1, 1},
	    {{"[58,", "[\"58\","}, 1, 0, 1},
	    {{"[58,", "[0,"}, 1, 0, 1},
	    {{"[58,", "[58.5,"}, 1, 0, 1},
	    {{"[58,", "[1e300,"}, 1, 0, 1},
	    {{"0.1.9\",1,", "0.1.9\",-1,"}, 1, 0, 1},
	    {{"0.1.9\"", "0.1\""}, 1, 0, 1},
	    {{"[[58,", "[null,[58,"}, 1, 1, 1},
	    /* the rest of these rows is used */
	    {{"\"00000bb8\"", "8"}, 1, 1, 0},
	    {{"41,900", "\"41\",900"}, 1, 1, 0},
	    {{"41,900", "4294967337,900"}, 1, 1, 0},
	    {{"41,900", "-1,900"}, 1, 1, 0},
	    {{"41,900", "41,\"900\""}, 1, 1, 0},
	    {{"41,900", "41,1e300"}, 1, 1, 0},
	    {{"\"done\"", "\"gone\""}, 1, 1, 0},
	    {{"\"done\"", "4"}, 1, 1, 0},
	    {{"\"done\",\"\"", "\"done\",3"}, 1, 1, 0},
	};
	struct renewal_report r;
	size_t i;
	char *text;

	cr_assert_eq(
	    renewal_report_parse(&r, good_report, strlen(good_report)), 0);
	cr_expect_eq(r.running_count, 1);
	cr_expect_eq(r.ended_count, 1);
	cr_expect_eq(r.unreadable_count, 0);
	renewal_report_uninit(&r);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_report, odd[i].odd.part, odd[i].odd.by);
		cr_assert_eq(renewal_report_parse(&r, text, strlen(text)), 0,
		    "%s", odd[i].odd.by);
		cr_expect_eq(
		    r.running_count, odd[i].running, "%s", odd[i].odd.by);
		cr_expect_eq(r.ended_count, odd[i].ended, "%s", odd[i].odd.by);
		cr_expect_eq(
		    r.unreadable_count, odd[i].unreadable, "%s", odd[i].odd.by);
		renewal_report_uninit(&r);
		free(text);
	}
}

/* "done" would end a task for good, "failed" count against it. */
Test(odd_entries, an_end_whose_outcome_cannot_be_read_is_no_end_of_its_task)
{
	char *text = replaced(good_report, "\"done\"", "\"gone\"");
	struct renewal_report r;

	cr_assert_eq(renewal_report_parse(&r, text, strlen(text)), 0);
	cr_assert_eq(r.ended_count, 1);
	cr_expect_eq(r.ended[0].number, 58);
	cr_expect_eq(r.ended[0].outcome, RUN_STOPPED);
	renewal_report_uninit(&r);
	free(text);
}

Test(odd_entries, a_renewal_report_whose_frame_is_odd_is_refused_whole)
{
	static const struct odd odd[] = {
	    {"[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,900]]", "{}"},
	    {"[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]", "\"none\""},
	    {"\"clockMs\":482113", "\"clockMs\":\"482113\""},
	    {"\"clockMs\":482113", "\"clockMs\":9223372036854775807"},
	    {"\"clockMs\":482113,", ""},
	    {"\"born\":1764900000000", "\"born\":9223372036854775807"},
	    {"\"born\":1764900000000", "\"born\":\"now\""},
	};
	size_t i;
	char *text;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_report, odd[i].part, odd[i].by);
		cr_expect_eq(report_parse(text), -1, "%s", odd[i].by);
		free(text);
	}
}

Test(odd_entries, a_renewal_report_may_leave_out_what_is_empty)
{
	cr_expect_eq(report_parse("{\"clockMs\":0}"), 0);
	cr_expect_eq(report_parse("{\"clockMs\":7,\"running\":null,\"running\":"
				  "[[\"5c0e7a21d94b36f8.0.1.17\",1]],"
				  "\"ended\":[]}"),
	    0);
	cr_expect_eq(
	    report_parse("{\"clockMs\":7,\"running\":[[\"5c0e7a21d94b36f8.0.1."
			 "17\",1,null,null,null]]}"),
	    0);
}

/* It would be taken for the last page, and all workers for gone. */
Test(odd_entries, a_page_of_newest_records_that_cannot_be_read_is_no_last_page)
{
	static const char *const odd[] = {"", "null", "[]", "{\"items\":[",
	    "{\"items\":{},\"end\":7}", "{\"items\":7,\"end\":7}",
	    "{\"items\":[],\"end\":\"7\"}", "{\"items\":[],\"end\":-1}",
	    "{\"items\":[],\"end\":1e300}",
	    "{\"items\":[],\"end\":99999999999999999999}",
	    "{\"items\":[],\"end\":7,\"hasMore\":\"no\"}",
	    "{\"items\":[],\"end\":7,\"hasMore\":1}"};
	struct store_page page;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		cr_expect_eq(page_parse(odd[i], &page), -1, "%s", odd[i]);
	cr_expect_eq(page_parse("{\"end\":7}", &page), 0);
	cr_expect_eq(page.end_offset, 7);
}

Test(odd_entries, odd_newest_records_leave_the_others_of_their_page)
{
	static const char text[] =
	    "{\"items\":[{\"key\":\"a\",\"value\":\"e30=\",\"offset\":1},"
	    "{\"key\":\"\",\"value\":\"e30=\",\"offset\":2},"
	    "{\"key\":\"b\\u0000c\",\"value\":\"e30=\",\"offset\":2},"
	    "{\"key\":7,\"value\":\"e30=\",\"offset\":3},7,null,[],"
	    "{\"key\":\"c\",\"value\":\"e30=\",\"offset\":\"4\"},"
	    "{\"key\":\"d\",\"value\":\"e30=\",\"offset\":-4},"
	    "{\"key\":\"e\",\"value\":{},\"offset\":4},"
	    "{\"key\":\"f\",\"value\":\"e30=\",\"offset\":5}],"
	    "\"hasMore\":true,\"end\":9}";
	struct store_page page;
	size_t count = 0;

	cr_expect_eq(
	    store_newest_each(text, strlen(text), &page, count_record, &count),
	    9);
	cr_expect_eq(count, 2);
	cr_expect_str_eq(page.last_key, "f");
	cr_expect(page.has_more);
}

Test(odd_entries, a_long_key_is_sent_whole_to_begin_the_next_page)
{
	char key[STORE_KEY_MAX_BYTES + 1], wanted[16];
	struct store_call c;
	size_t i, len;

	memset(key, 0xe9, STORE_KEY_MAX_BYTES);
	key[STORE_KEY_MAX_BYTES] = '\0';
	store_newest_call(&c, "keyed.servers", key);
	len = strlen(c.path);
	for (i = 0; i < STORE_KEY_MAX_BYTES; i++) {
		snprintf(
		    wanted, sizeof(wanted), "%.3s", c.path + len - 3 * (i + 1));
		cr_assert_str_eq(wanted, "%E9", "byte %zu from the end", i);
	}
	store_call_uninit(&c);
}

static size_t
add_be(uint8_t *p, uint64_t n, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		p[i] = (uint8_t)(n >> 8 * (bytes - 1 - i));
	return bytes;
}

Test(odd_entries, odd_records_of_a_read_leave_the_others)
{
	static const char *const bodies[] = {"\x01"
					     "a{}",
	    "",
	    "\x00"
	    "",
	    "\xff"
	    "abc",
	    "\x01"
	    "b{}"};
	static const size_t lens[] = {4, 0, 3, 4, 4};
	uint8_t body[256];
	size_t n = 0, i, count = 0;
	int64_t next = -1;

	n += add_be(body, 12, 8);
	n += add_be(body + n, 0, 8);
	for (i = 0; i < sizeof(lens) / sizeof(lens[0]); i++) {
		n += add_be(body + n, lens[i], 4);
		if (lens[i] == 3) /* a NUL in the key */
			memcpy(body + n, "\x02\x00z", 3);
		else
			memcpy(body + n, bodies[i], lens[i]);
		n += lens[i];
	}
	cr_expect_eq(
	    store_read_each(body, n, 7, &next, count_record, &count), 3);
	cr_expect_eq(next, 12);
	cr_expect_eq(count, 2);
	/* the last one is longer than what is left */
	count = 0;
	cr_expect_eq(
	    store_read_each(body, n - 1, 7, &next, count_record, &count), -1);
	cr_expect_eq(next, 11);
	cr_expect_eq(count, 1);
	cr_expect_eq(
	    store_read_each(body, n - 6, 7, &next, count_record, &count), -1);
	/* a length of 4 GB, and no header */
	add_be(body + 16, UINT32_MAX, 4);
	cr_expect_eq(
	    store_read_each(body, n, 7, &next, count_record, &count), -1);
	cr_expect_eq(next, 7);
	next = -1;
	cr_expect_eq(
	    store_read_each(body, 15, 7, &next, count_record, &count), -1);
	cr_expect_eq(next, 7);
}

/* The store would never answer a read from there with a record. */
Test(odd_entries, a_read_from_beyond_the_end_is_malformed)
{
	uint8_t body[16];
	size_t count = 0;
	int64_t next;

	add_be(body, 7, 8);
	add_be(body + 8, 0, 8);
	cr_expect_eq(
	    store_read_each(body, sizeof(body), 7, &next, count_record, &count),
	    0);
	cr_expect_eq(
	    store_read_each(body, sizeof(body), 8, &next, count_record, &count),
	    -1);
}

Test(odd_entries, odd_assignments_are_left_out)
{
	static const char text[] =
	    "{\"generation\":7,\"parts\":[[\"jobs\",3,\"m\"],[\"jobs\"],"
	    "[\"jobs\",\"0\",\"m\"],[\"jobs\",4294967297,\"m\"],"
	    "[\"jobs\",-1,\"m\"],[\"jobs\",1e300,\"m\"],[\"jobs\",null,\"m\"],"
	    "7,null,{},[7,3,\"m\"],[\"jobs\",2,8]]}";
	struct store_assignments s;

	cr_assert_eq(store_owners_parse(&s, text, strlen(text)), 0);
	cr_expect_eq(s.count, 1);
	cr_expect_eq(s.list[0].partition, 3);
	cr_expect_eq(s.generation, 7);
	store_assignments_uninit(&s);
}

static const char good_machines[] =
    "{\"machines\":[{\"machine\":\"m-1\",\"pool\":\"blue\",\"state\":\"up\","
    "\"zone\":\"a\",\"labels\":[\"a\",\"r1-2\"],\"capacity\":"
    "{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},\"id\":\"i-1\"}],"
    "\"nextToken\":null}";

/* Rows counted as malformed; -1: the page. */
static int
machines_parse(const char *text)
{
	struct machine_list list = {0};
	int ret = machine_list_add_page(&list, text, strlen(text));

	if (ret == 0) {
		ret = (int)list.malformed_count;
		cr_expect_eq(list.count + list.malformed_count, 1, "%s", text);
	}
	machine_list_uninit(&list);
	return ret;
}

Test(odd_entries, odd_machines_are_counted_as_malformed)
{
	static const struct odd odd[] = {
	    {"\"cpu\":16000", "\"cpu\":1e300"},
	    {"\"cpu\":16000", "\"cpu\":-1"},
	    {"\"cpu\":16000", "\"cpu\":99999999999999999999"},
	    {"\"cpu\":16000", "\"cpu\":\"16000\""},
	    {"{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "[]"},
	    {"[\"a\",\"r1-2\"]", "[7]"},
	    {"[\"a\",\"r1-2\"]", "7"},
	    {"[\"a\",\"r1-2\"]", "[\"a-label\\u0000-with-a-zero-byte\"]"},
	    {"\"up\"", "\"resting\""},
	    {"\"m-1\"", "\"\""},
	    {"\"m-1\"", "7"},
	    {"\"i-1\"", "[]"},
	    {"\"blue\"", "\"a-name\\u0000-with-a-zero-byte\""},
	};
	char *text;
	size_t i;

	cr_expect_eq(machines_parse(good_machines), 0);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_machines, odd[i].part, odd[i].by);
		cr_expect_eq(machines_parse(text), 1, "%s", odd[i].by);
		free(text);
	}
}

/* The list would end there, and the machines behind it count as gone. */
Test(odd_entries, a_page_of_machines_with_an_odd_token_is_malformed)
{
	static const char *const odd[] = {
	    "7", "[\"a\"]", "{}", "true", "\"a\\u0000b\""};
	char *text;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_machines, "null", odd[i]);
		cr_expect_eq(machines_parse(text), -1, "%s", odd[i]);
		free(text);
	}
}

static const char good_config[] =
    "{\"configVersion\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
    "\"pathPrefix\":\"/a/\",\"timeoutMs\":3000,\"targetLatencyMs\":600,"
    "\"priority\":1,\"service\":\"blue\",\"maxAttempts\":2,\"stretch\":1.6,"
    "\"advice\":{\"decideMs\":1,\"perWorkerMs\":0.5,\"validityMs\":3000}}],"
    "\"services\":[{\"name\":\"blue\"}]}";

/* No later version would come into force after one of 2^63 - 1. */
Test(odd_entries, a_configuration_that_is_none_is_refused)
{
	static const struct odd odd[] = {
	    {"\"configVersion\":7", "\"configVersion\":9223372036854775807"},
	    {"\"configVersion\":7", "\"configVersion\":1e300"},
	    {"\"configVersion\":7", "\"configVersion\":-1"},
	    {"\"configVersion\":7", "\"configVersion\":\"7\""},
	    {"\"configVersion\":7", "\"configVersion\":7.5"},
	    {"\"routes\":[", "\"routes\":{\"a\":["},
	    {"\"services\":[{\"name\":\"blue\"}]", "\"services\":\"blue\""},
	};
	struct config *c = config_parse(
	    good_config, strlen(good_config), &(struct err){.line = 0});
	struct err e;
	char *text;
	size_t i;

	cr_assert_not_null(c);
	cr_expect_eq(c->queue_count, 1);
	cr_expect_eq(c->queues[0].settings.policy_per_worker_us, 500);
	config_unref(c);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_config, odd[i].part, odd[i].by);
		if (strstr(odd[i].by, "{\"a\":[") != NULL)
			strcpy(strstr(text, "],\"services"), "]}}");
		c = config_parse(text, strlen(text), &e);
		cr_expect_null(c, "%s", odd[i].by);
		config_unref(c);
		free(text);
	}
}

Test(odd_entries, numbers_of_the_configuration_are_bounded)
{
	static const struct odd odd[] = {
	    {"\"timeoutMs\":3000", "\"timeoutMs\":4294967297"},
	    {"\"timeoutMs\":3000", "\"timeoutMs\":1e300"},
	    {"\"targetLatencyMs\":600", "\"targetLatencyMs\":4294967297"},
	    {"\"priority\":1", "\"priority\":4294967297"},
	    {"\"maxAttempts\":2", "\"maxAttempts\":4294967297"},
	    {"\"stretch\":1.6", "\"stretch\":NaN"},
	    {"\"stretch\":1.6", "\"stretch\":1e999"},
	    {"\"stretch\":1.6", "\"stretch\":-3"},
	    {"\"perWorkerMs\":0.5", "\"perWorkerMs\":1e300"},
	    {"\"perWorkerMs\":0.5", "\"perWorkerMs\":NaN"},
	    {"\"decideMs\":1", "\"decideMs\":4294967297"},
	    {"\"validityMs\":3000", "\"validityMs\":4294967297"},
	};
	const struct queue_settings *q;
	struct config *c;
	struct err e;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		text = replaced(good_config, odd[i].part, odd[i].by);
		c = config_parse(text, strlen(text), &e);
		cr_assert_not_null(c, "%s", odd[i].by);
		cr_assert_eq(c->queue_count, 1);
		q = &c->queues[0].settings;
		/* neither cut to 32 bits nor beyond what can be added up */
		cr_expect(c->queues[0].request_timeout_ms >= 3000 &&
			c->queues[0].request_timeout_ms <= 24 * 3600 * 1000,
		    "%s: %d", odd[i].by, c->queues[0].request_timeout_ms);
		cr_expect(q->target_latency_ms >= 600 &&
			q->target_latency_ms <= 24 * 3600 * 1000,
		    "%s: %d", odd[i].by, q->target_latency_ms);
		cr_expect(q->max_attempts >= 2 && q->max_attempts <= 1000000,
		    "%s: %d", odd[i].by, q->max_attempts);
		cr_expect(strstr(odd[i].by, "priority") == NULL ||
			q->priority == 1000000,
		    "%s: %d", odd[i].by, q->priority);
		cr_expect(q->stretch >= 0 && q->stretch <= 1000000, "%s: %f",
		    odd[i].by, q->stretch);
		cr_expect(q->policy_base_ms >= 1 &&
			q->policy_base_ms <= 24 * 3600 * 1000,
		    "%s: %d", odd[i].by, q->policy_base_ms);
		cr_expect(q->policy_per_worker_us >= 0 &&
			q->policy_per_worker_us <= 1000000000,
		    "%s: %d", odd[i].by, q->policy_per_worker_us);
		cr_expect(q->ticket_valid_ms >= 3000 &&
			q->ticket_valid_ms <= 24 * 3600 * 1000,
		    "%s: %d", odd[i].by, q->ticket_valid_ms);
		config_unref(c);
		free(text);
	}
}

Test(odd_entries, a_wave_with_odd_numbers_is_refused)
{
	static const char *const odd[] = {
	    "{\"wave\":9223372036854775807,\"machines\":[]}",
	    "{\"wave\":1.5,\"machines\":[]}",
	    "{\"wave\":\"1\",\"machines\":[]}",
	    "{\"wave\":1,\"machines\":[],\"withinS\":1e300}",
	    "{\"wave\":1,\"machines\":[],\"withinS\":-1}",
	    "{\"wave\":1,\"machines\":[],\"withinS\":\"x\"}",
	    "{\"wave\":1,\"machines\":[],\"cap\":4294967297}",
	    "{\"wave\":1,\"machines\":[],\"cap\":\"x\"}",
	    "{\"wave\":1,\"machines\":{}}",
	    "{\"wave\":1,\"machines\":[\"m\",7]}",
	    "{\"wave\":1,\"machines\":["
	    "\"a-name\\u0000-with-a-zero-byte\"]}"};
	static const char good[] =
	    "{\"wave\":1,\"machines\":[\"m-1\"],\"withinS\":20,\"cap\":3}";
	struct wave_request w;
	size_t i;
	int ret;

	cr_assert_eq(wave_request_parse(&w, good, strlen(good)), 0);
	cr_expect_eq(w.within_ms, 20000);
	cr_expect_eq(w.max_down, 3);
	cr_expect_eq(w.machine_count, 1);
	wave_request_uninit(&w);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		ret = wave_request_parse(&w, odd[i], strlen(odd[i]));
		cr_expect_eq(ret, -1, "%s", odd[i]);
		if (ret == 0)
			wave_request_uninit(&w);
	}
}

Test(odd_entries, odd_advice_is_refused_or_left_out)
{
	static const char some[] =
	    "{\"good\":[[\"i-1\",\"t\"],7,null,[],[\"i-2\"],[7,\"t\"],"
	    "[\"i-3\",\"a\\u0000b\"]],\"validityMs\":4294967297}";
	static const char good[] = "{\"good\":[[\"i-1\",\"t\"],7,[\"i-2\"]]}";
	struct advice a;

	cr_assert_eq(advice_response_parse(&a, some, strlen(some)), -1);
	cr_assert_eq(advice_response_parse(&a, "{\"good\":7}", 10), -1);
	cr_assert_eq(
	    advice_response_parse(&a, "{\"validityMs\":\"3\"}", 18), -1);
	cr_assert_eq(advice_response_parse(&a, good, strlen(good)), 0);
	cr_expect_eq(a.ticket_count, 1);
	advice_uninit(&a);
}

static void
touch_record(void *arg, const struct store_record *r)
{
	struct worker_report w;

	*(size_t *)arg += strlen(r->key) + r->value_len;
	if (r->value != NULL)
		worker_entry_parse(&w, r->key, r->value, r->value_len);
}

/* What the checks promise of each entry that names a worker. */
static void
fuzz_entry(const void *data, size_t len)
{
	struct worker_report r;

	if (worker_entry_parse(&r, "i-1", data, len) == -1)
		return;
	cr_assert(r.cpu_milli > 0 && r.cpu_milli <= 1000000);
	cr_assert(r.memory_mb >= 0 && r.memory_mb <= 16 * 1024 * 1024);
	cr_assert(r.accelerators >= 0 && r.accelerators <= 256);
	cr_assert(r.started_ms >= 0 && r.started_ms <= UNIX_TIME_MAX_MS);
	cr_assert(r.clock_ms >= 0 && r.clock_ms <= UNIX_TIME_MAX_MS);
	cr_assert(r.port > 0 && r.port <= UINT16_MAX);
	cr_assert(r.label_count <= WORKER_LABELS_MAX);
}

static void
fuzz_report(const void *data, size_t len)
{
	struct renewal_report r;
	size_t i;

	if (renewal_report_parse(&r, data, len) == -1)
		return;
	for (i = 0; i < r.running_count; i++)
		cr_assert(r.running[i].run > 0 &&
		    r.running[i].progress_percent >= RUN_PROGRESS_UNKNOWN);
	for (i = 0; i < r.ended_count; i++)
		cr_assert(r.ended[i].run > 0 && r.ended[i].number > 0);
	renewal_report_uninit(&r);
}

static void
fuzz_machines(const void *data, size_t len)
{
	struct machine_list list = {0};

	machine_list_add_page(&list, data, len);
	machine_list_uninit(&list);
}

static void
fuzz_config(const void *data, size_t len)
{
	struct wave_request w;
	struct advice a;
	struct err e;

	config_unref(config_parse(data, len, &e));
	if (wave_request_parse(&w, data, len) == 0)
		wave_request_uninit(&w);
	if (advice_response_parse(&a, data, len) == 0)
		advice_uninit(&a);
}

static void
fuzz_page(const void *data, size_t len)
{
	struct store_assignments s;
	struct store_page page;
	size_t count = 0;

	if (store_newest_each(data, len, &page, touch_record, &count) >= 0)
		cr_assert_geq(page.end_offset, 0);
	if (store_owners_parse(&s, data, len) == 0)
		store_assignments_uninit(&s);
}

static void
fuzz_read(const void *data, size_t len)
{
	size_t count = 0;
	int64_t next;

	store_read_each(data, len, 7, &next, touch_record, &count);
	cr_assert_geq(next, 7);
}

/* Some bits, a cut, a part doubled, or a number or nesting put in. */
static size_t
mutate(uint64_t *r, const uint8_t *from, size_t len, uint8_t *to)
{
	static const char *const put[] = {"9223372036854775807", "1e300", "-1",
	    "NaN", "null", "{}", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
	    "\\u0000", "\"\"", "4294967297", "-Infinity", "\xff"};
	size_t at = prng_below(r, len), n = 1 + prng_below(r, 4), i;
	const char *text = put[prng_below(r, sizeof(put) / sizeof(put[0]))];

	memcpy(to, from, len);
	switch (prng_below(r, 4)) {
	case 0:
		for (i = 0; i < n; i++)
			to[prng_below(r, len)] ^=
			    (uint8_t)(1 << prng_below(r, 8));
		return len;
	case 1:
		return at;
	case 2: /* in the place of a number */
		while (at < len && (to[at] < '0' || to[at] > '9'))
			at++;
		n = at;
		while (n < len && to[n] >= '0' && to[n] <= '9')
			n++;
		break;
	default:
		n = at;
	}
	i = strlen(text);
	memcpy(to + at, text, i);
	memcpy(to + at + i, from + n, len - n);
	return at + i + len - n;
}

static void
fuzz(const void *good, size_t len, void (*parse)(const void *data, size_t len))
{
	uint8_t *text = malloc(2 * len + 64), *exact;
	uint64_t r = 7;
	size_t n;
	int i;

	for (i = 0; i < MUTATIONS; i++) {
		n = mutate(&r, good, len, text);
		if (prng_below(&r, 3) == 0 && n > 0 && n <= len) {
			exact = malloc(n);
			memcpy(exact, text, n);
			n = mutate(&r, exact, n, text);
			free(exact);
		}
		exact = malloc(n > 0 ? n : 1); /* reads behind it are seen */
		memcpy(exact, text, n);
		parse(exact, n);
		free(exact);
	}
	free(text);
}

Test(
    odd_entries, mutated_messages_are_malformed_or_within_bounds, .timeout = 60)
{
	static const char page[] =
	    "{\"items\":[{\"key\":\"a\",\"value\":\"e30=\",\"offset\":1},"
	    "{\"key\":\"f\",\"value\":\"eyJhIjoxfQ==\",\"offset\":5}],"
	    "\"hasMore\":true,\"end\":9,\"generation\":3,"
	    "\"parts\":[[\"jobs\",3,\"m\"],[\"jobs\",4,\"m\"]]}";
	uint8_t read[1024];
	size_t n;

	fuzz(good_entry, strlen(good_entry), fuzz_entry);
	fuzz(good_report, strlen(good_report), fuzz_report);
	fuzz(good_machines, strlen(good_machines), fuzz_machines);
	fuzz(good_config, strlen(good_config), fuzz_config);
	fuzz(page, strlen(page), fuzz_page);
	n = add_be(read, 9, 8);
	n += add_be(read + n, 0, 8);
	n += add_be(read + n, 4 + strlen(good_entry), 4);
	memcpy(read + n, "\x03i-1", 4);
	memcpy(read + n + 4, good_entry, strlen(good_entry));
	n += 4 + strlen(good_entry);
	n += add_be(read + n, 6, 4);
	memcpy(read + n, "\x03i-2{}", 6);
	fuzz(read, n + 6, fuzz_read);
}
