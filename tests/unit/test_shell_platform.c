#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform.h"

static struct buf *
record_of(size_t body_len)
{
	struct record r = {
	    .format = RECORD_FORMAT_VERSION, .kind = RECORD_CONFIG};
	char body[300];
	struct buf *b;

	memset(body, 'x', sizeof(body));
	r.body = buf_from(body, body_len);
	b = record_encode(&r);
	buf_unref(r.body);
	return b;
}

/* What an append sends comes back as a record of a read. */
static void
check_round_trip(size_t body_len)
{
	struct buf *record = record_of(body_len), *answer = buf_new(64);
	struct platform_batch b;
	struct platform_call c;
	struct err e;

	cr_assert_eq(platform_append_call(&c, STREAM_CONTROL, record), 0);
	cr_assert_str_eq(c.path, "/log/control");
	cr_assert_eq(c.body->data[c.body->len - 1], '}');
	buf_printf(answer,
	    "{\"first\":0,\"next\":8,\"tail\":9,\"records\":[{\"offset\":7,"
	    "%.*s]}",
	    (int)c.body->len - 1, (const char *)c.body->data + 1);
	cr_assert_eq(
	    platform_parse_batch(&b, answer->data, answer->len, &e), 0);
	cr_assert_eq(b.count, 1, "body of %zu bytes", body_len);
	cr_assert_eq(b.malformed_count, 0);
	cr_assert_eq(b.records[0].offset, 7);
	cr_assert_eq(b.records[0].body->len, body_len);
	platform_batch_uninit(&b);
	platform_call_uninit(&c);
	buf_unref(record);
	buf_unref(answer);
}

Test(shell_platform, appends_of_every_length_are_read_back)
{
	size_t n;

	for (n = 0; n < 300; n++)
		check_round_trip(n);
}

Test(shell_platform, bad_parts_are_passed_over)
{
	static const char answer[] =
	    "{\"revision\":4,\"whole\":true,\"new_key\":1,\"vms\":["
	    "{\"vm\":\"w1\",\"incarnation\":1,\"data_centre\":\"dc1\","
	    "\"addr\":\"127.0.0.1\",\"port\":80,\"role\":\"worker\","
	    "\"state\":\"live\"},"
	    "{\"vm\":\"w2\",\"incarnation\":-1,\"data_centre\":\"dc1\","
	    "\"addr\":\"127.0.0.1\",\"port\":80,\"role\":\"worker\","
	    "\"state\":\"live\"},"
	    "{\"vm\":\"w3\",\"incarnation\":1,\"data_centre\":\"dc1\","
	    "\"addr\":\"127.0.0.1\",\"port\":99999,\"role\":\"worker\","
	    "\"state\":\"live\"},"
	    "17, null]}";
	struct platform_vms v;
	struct err e;

	cr_assert_eq(platform_parse_vms(&v, answer, sizeof(answer) - 1, &e), 0);
	cr_assert_eq(v.count, 1);
	cr_assert_eq(v.malformed_count, 4);
	cr_assert_str_eq(v.list[0].vm, "w1");
	platform_vms_uninit(&v);
}

Test(shell_platform, only_a_refusal_counts_as_not_done)
{
	cr_assert_eq(platform_status(200), PLATFORM_OK);
	cr_assert_eq(platform_status(429), PLATFORM_NOT_DONE);
	cr_assert_eq(platform_status(409), PLATFORM_NOT_DONE);
	cr_assert_eq(platform_status(410), PLATFORM_GAP);
	cr_assert_eq(platform_status(503), PLATFORM_OUTCOME_UNKNOWN);
	cr_assert_eq(platform_status(500), PLATFORM_OUTCOME_UNKNOWN);
	cr_assert_eq(platform_status(302), PLATFORM_OUTCOME_UNKNOWN);
}
