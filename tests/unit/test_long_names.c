/* Names of the platform that are longer than names inside may be. */
#include <criterion/criterion.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_wire.h"
#include "job_spec_wire.h"
#include "long_name.h"
#include "machine_wire.h"

#define LONG_BYTES 300

static char beginning[LONG_BYTES + 1], other[LONG_BYTES + 1];

static void
setup(void)
{
	memset(beginning, 'a', LONG_BYTES);
	memset(other, 'a', LONG_BYTES);
	other[LONG_BYTES - 1] = 'b';
}

TestSuite(long_names, .init = setup, .fini = long_names_uninit);

static struct config *
parse_route(
    const char *name, const char *host, const char *prefix, const char *service)
{
	static const char format[] =
	    "{\"configVersion\":4,\"routes\":[{\"name\":\"%s\",\"host\":\"%s\","
	    "\"pathPrefix\":\"/%s/\",\"service\":\"%s\"}],"
	    "\"services\":[{\"name\":\"%s\",\"admissionControl\":true}]}";
	char text[8 * LONG_BYTES];
	struct config *c;
	struct err e;

	snprintf(
	    text, sizeof(text), format, name, host, prefix, service, service);
	c = config_parse(text, strlen(text), &e);
	cr_assert_not_null(c);
	return c;
}

/* review/20: a route was left out without a line, and its requests were 404. */
Test(long_names, a_route_works_whatever_the_length_of_its_texts)
{
	char path[LONG_BYTES + 32];
	const struct config_queue *q;
	struct config *c;

	snprintf(path, sizeof(path), "/%s/00000000000000a1", beginning);
	c = parse_route(beginning, beginning, beginning, beginning);
	q = config_find_queue(c, beginning, path);
	cr_assert_not_null(q);
	cr_expect(config_pool_guarded(c, q->pool));
	cr_expect_eq(c->left_out_count, 0);
	cr_expect_null(config_find_queue(c, other, path));
	cr_expect_null(config_find_queue(c, beginning, "/a/"));
	config_unref(c);
	c = parse_route("northern-academy-cosmetology-seat-reservation-checks",
	    "jobs.example", "checks", "blue");
	q = config_find_queue(c, "jobs.example:80", "/checks/00000000000000a1");
	cr_assert_not_null(q);
	cr_expect_str_eq(q->pool, "blue");
	config_unref(c);
}

/* What still cannot be used is counted, and the first one is told. */
Test(long_names, an_entry_that_is_left_out_is_reported)
{
	static const char text[] =
	    "{\"configVersion\":4,\"routes\":[{\"name\":\"good\",\"host\":"
	    "\"h\",\"pathPrefix\":\"/a/\",\"service\":\"s\"},{\"name\":\"odd\","
	    "\"host\":7,\"pathPrefix\":\"/b/\",\"service\":\"s\"}],"
	    "\"services\":[{\"name\":5}]}";
	struct config *c;
	struct err e;

	c = config_parse(text, strlen(text), &e);
	cr_assert_not_null(c);
	cr_expect_eq(c->queue_count, 1);
	cr_expect_eq(c->left_out_count, 2);
	cr_expect_str_eq(c->first_left_out.list, "routes");
	cr_expect_eq(c->first_left_out.index, 1);
	cr_expect_str_eq(c->first_left_out.name, "odd");
	config_unref(c);
}

/* Names are told apart to the end, and the platform's text is kept. */
Test(long_names, long_names_stay_apart_and_have_their_text)
{
	char one[NAME_BYTES], two[NAME_BYTES], again[NAME_BYTES];

	name_keep(one, beginning);
	name_keep(two, other);
	name_shorten(again, beginning);
	cr_expect_str_neq(one, two);
	cr_expect_str_eq(one, again);
	cr_expect_str_eq(name_full(one), beginning);
	cr_expect_str_eq(name_full(two), other);
	name_shorten(one, "blue-0");
	cr_expect_str_eq(one, "blue-0");
	cr_expect_str_eq(name_full(one), "blue-0");
}

/* A daemon that has not read the text does not send another one. */
Test(long_names, a_text_that_was_not_read_is_not_known)
{
	char one[NAME_BYTES];

	name_keep(one, beginning);
	long_names_uninit();
	cr_expect_null(name_full(one));
}

/* A worker of a long id, kind and rack runs the jobs that ask for them. */
Test(long_names, a_worker_and_a_job_with_long_names_meet)
{
	static const char entry_format[] =
	    "{\"service\":\"%s\",\"addr\":\"127.0.0.1:80\",\"zone\":\"%s\","
	    "\"state\":\"ready\",\"capacity\":{\"cpu\":1000},"
	    "\"labels\":[\"%s\",\"%s\"]}";
	static const char job_format[] =
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1,\"requires\":\"%s\","
	    "\"dataLocality\":\"%s\"}]}";
	char text[8 * LONG_BYTES], pool[NAME_BYTES];
	struct worker_report r;
	struct job_spec *spec;
	struct err e;

	snprintf(text, sizeof(text), entry_format, other, beginning, beginning,
	    other);
	cr_assert_eq(worker_entry_parse(&r, beginning, text, strlen(text)), 0);
	name_shorten(pool, other);
	cr_expect_str_eq(r.pool, pool);
	cr_expect_str_eq(name_full(r.id), beginning);
	snprintf(text, sizeof(text), job_format, beginning, other);
	spec = job_spec_parse(text, strlen(text), &e);
	cr_assert_not_null(spec);
	cr_expect_str_eq(spec->steps[0].label, r.labels[0]);
	cr_expect_str_eq(spec->steps[0].rack, r.labels[1]);
	job_spec_unref(spec);
}

/* Commands to the platform carry its own names. */
Test(long_names, a_machine_moves_under_its_own_name)
{
	char page[4 * LONG_BYTES], *text;
	struct machine_list list = {0};
	struct buf *body;

	snprintf(page, sizeof(page),
	    "{\"machines\":[{\"machine\":\"%s\",\"pool\":\"%s\","
	    "\"state\":\"up\"}]}",
	    beginning, other);
	cr_assert_eq(machine_list_add_page(&list, page, strlen(page)), 0);
	body =
	    machine_move_body(list.machines[0].machine, list.machines[0].pool);
	machine_list_uninit(&list);
	cr_assert_not_null(body);
	text = strndup((const char *)body->data, body->len);
	cr_expect_not_null(strstr(text, beginning));
	cr_expect_not_null(strstr(text, other));
	free(text);
	buf_unref(body);
}

/* The list of machines ended with the page whose token was longer than 127. */
Test(long_names, a_page_token_of_any_length_is_sent_back)
{
	struct machine_list list = {0};
	char text[2 * LONG_BYTES], expected[2 * LONG_BYTES];
	char *path;

	snprintf(text, sizeof(text),
	    "{\"machines\":[{\"machine\":\"m\",\"state\":\"up\"}],"
	    "\"nextToken\":\"a b&%s\\\"\"}",
	    beginning);
	cr_assert_eq(machine_list_add_page(&list, text, strlen(text)), 0);
	cr_assert_not_null(list.next_page_token);
	path = machine_list_path(list.next_page_token);
	snprintf(expected, sizeof(expected),
	    "/machines?pageToken=a%%20b%%26%s%%22", beginning);
	cr_expect_str_eq(path, expected);
	free(path);
	snprintf(text, sizeof(text), "{\"machines\":[]}");
	cr_assert_eq(machine_list_add_page(&list, text, strlen(text)), 0);
	cr_expect_null(list.next_page_token);
	cr_expect_eq(list.count, 1);
	machine_list_uninit(&list);
	path = machine_list_path(NULL);
	cr_expect_str_eq(path, "/machines");
	free(path);
}

#define JOBS 200
#define JOB_TEXT_BYTES 80000
#define KEPT_MAX_BYTES ((size_t)4 * 1024 * 1024)

static struct job_spec *
parse_job_with_texts(unsigned number)
{
	size_t size = 4 * JOB_TEXT_BYTES, n;
	char *text = malloc(size), *label = malloc(JOB_TEXT_BYTES + 1);
	struct job_spec *spec;
	struct err e;

	memset(label, 'l', JOB_TEXT_BYTES);
	label[JOB_TEXT_BYTES] = '\0';
	n = (size_t)snprintf(text, size,
	    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"requires\":\"a%u%"
	    "s\","
	    "\"dataLocality\":\"b%u%s\",\"image\":\"c%u%s\"}]}",
	    number, label, number, label, number, label);
	spec = job_spec_parse(text, n, &e);
	cr_assert_not_null(spec);
	free(label);
	free(text);
	return spec;
}

/* 1,500 such jobs took their owner to 696 MB of 260: no text was given up. */
Test(long_names, texts_of_jobs_are_not_kept)
{
	struct job_spec *specs[JOBS];
	struct mallinfo2 before = mallinfo2();
	unsigned i;

	for (i = 0; i < JOBS; i++)
		specs[i] = parse_job_with_texts(i);
	cr_expect_lt(mallinfo2().uordblks, before.uordblks + KEPT_MAX_BYTES,
	    "%zu bytes for %d jobs", mallinfo2().uordblks - before.uordblks,
	    JOBS);
	for (i = 0; i < JOBS; i++)
		job_spec_unref(specs[i]);
}

/* A label is compared by what stands for it, with whatever text it is. */
Test(long_names, a_long_label_of_a_job_is_that_of_its_worker)
{
	struct job_spec *spec = parse_job_with_texts(7);
	char *label = malloc(JOB_TEXT_BYTES + 3), name[NAME_BYTES];

	memset(label, 'l', JOB_TEXT_BYTES + 2);
	memcpy(label, "a7", 2);
	label[JOB_TEXT_BYTES + 2] = '\0';
	name_shorten(name, label);
	cr_expect_str_eq(name, spec->steps[0].label);
	free(label);
	job_spec_unref(spec);
}

/* Names of workers and machines are kept up to a bound, the newest ones. */
Test(long_names, kept_names_have_a_bound_in_bytes)
{
	char text[LONG_BYTES * 100], name[NAME_BYTES];
	struct mallinfo2 before = mallinfo2();
	unsigned i;

	memset(text, 'n', sizeof(text));
	text[sizeof(text) - 1] = '\0';
	for (i = 0; i < 2000; i++) {
		text[snprintf(text, sizeof(text), "%u", i)] = 'n';
		name_keep(name, text);
		cr_assert_str_eq(name_full(name), text);
	}
	cr_expect_lt(mallinfo2().uordblks,
	    before.uordblks + LONG_NAMES_MAX_BYTES + 100000);
}
