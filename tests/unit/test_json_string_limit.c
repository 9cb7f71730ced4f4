/* Answers whose strings have any length, of which long ones are dropped. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "drawn_text.h"
#include "json_get.h"
#include "json_string_limit.h"
#include "worker_wire.h"

#define ROWS 500
#define VALUE_BYTES 20000

static const struct json_string_limit_opts limits = {.string_max_bytes = 100,
    .short_bytes = 20,
    .body_bytes = 400};

/* What is kept of a body that arrives in parts of "part" bytes. */
static struct buf *
kept(const struct json_string_limit_opts *o, const char *text, size_t len,
    size_t part)
{
	struct json_string_limit l;
	struct buf *out = buf_new(0);
	size_t i, n;

	json_string_limit_init(&l, o);
	for (i = 0; i < len; i += n) {
		n = len - i < part ? len - i : part;
		cr_assert_eq(json_string_limit_feed(&l, out, text + i, n), 0);
	}
	return out;
}

static void
expect_kept(const char *text, const char *expected)
{
	struct buf *out;
	size_t part;

	for (part = 1; part <= strlen(text); part++) {
		out = kept(&limits, text, strlen(text), part);
		cr_expect_eq(out->len, strlen(expected), "%.*s", (int)out->len,
		    (char *)out->data);
		cr_expect_eq(memcmp(out->data, expected, out->len), 0);
		buf_unref(out);
	}
}

Test(json_string_limit, long_strings_are_dropped_and_all_else_is_kept)
{
	char text[1400], expected[1400], longer[150];

	memset(longer, 'x', sizeof(longer));
	longer[sizeof(longer) - 1] = '\0';
	expect_kept("{\"a\":[1,\"\",\"\\\"\",\"b\\\\\",null]}",
	    "{\"a\":[1,\"\",\"\\\"\",\"b\\\\\",null]}");
	snprintf(text, sizeof(text), "[\"%s\",\"%s\\\"%s\\\\\",\"a\"]", longer,
	    longer, longer);
	snprintf(expected, sizeof(expected), "[%s,%s,\"a\"]",
	    JSON_DROPPED_STRING, JSON_DROPPED_STRING);
	expect_kept(text, expected);
	longer[50] = '\0';
	snprintf(text, sizeof(text),
	    "[\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"ab\"]",
	    longer, longer, longer, longer, longer, longer, longer, longer);
	snprintf(expected, sizeof(expected),
	    "[\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",%s,\"ab\"]",
	    longer, longer, longer, longer, longer, longer, longer,
	    JSON_DROPPED_STRING);
	expect_kept(text, expected);
}

Test(json_string_limit, what_is_kept_can_be_parsed_and_is_unchanged)
{
	struct json_object *in, *out, *a, *b;
	struct buf *body;
	const char *text;
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= 200; seed++) {
		in = json_object_new_object();
		a = json_object_new_array();
		json_object_object_add(in, "list", a);
		for (i = 0; i < 10; i++) {
			body = drawn_text(seed * 10 + i, 200);
			json_object_array_add(a,
			    json_object_new_string_len(
				body->len > 0 ? (char *)body->data : "",
				(int)body->len));
			buf_unref(body);
		}
		text =
		    json_object_to_json_string_ext(in, JSON_C_TO_STRING_PLAIN);
		body = kept(&limits, text, strlen(text), seed % 7 + 1);
		out = json_parse_object(body->data, body->len);
		cr_assert_not_null(out);
		b = json_get_member(out, "list", json_type_array);
		cr_assert_eq(json_object_array_length(b), 10);
		for (i = 0; i < 10; i++) {
			struct json_object *x = json_object_array_get_idx(a, i);
			struct json_object *y = json_object_array_get_idx(b, i);
			int len = json_object_get_string_len(y);

			if (len == 1 && json_object_get_string(y)[0] == '\0')
				continue;
			cr_assert_eq(len, json_object_get_string_len(x));
			cr_expect_eq(
			    memcmp(json_object_get_string(x),
				json_object_get_string(y), (size_t)len),
			    0);
		}
		json_object_put(in);
		json_object_put(out);
		buf_unref(body);
	}
}

/* 500 ends of 20 KB: over each limit of an answer, and all ends are taken. */
Test(json_string_limit, no_end_is_lost_for_the_length_of_values)
{
	static const struct json_string_limit_opts o = {
	    .string_max_bytes = 128 * 1024,
	    .short_bytes = 256,
	    .body_bytes = 256 * 1024};
	struct buf *text = buf_new(0), *body;
	char value[VALUE_BYTES + 1];
	struct renewal_report r;
	size_t i, whole = 0;

	memset(value, 'v', VALUE_BYTES);
	value[VALUE_BYTES] = '\0';
	buf_printf(text, "{\"clockMs\":7,\"ended\":[");
	for (i = 0; i < ROWS; i++) {
		buf_printf(text,
		    "%s[%zu,\"5c0e7a21d94b36f8.0.1.%zu\",1,\"stopped\",\"",
		    i > 0 ? "," : "", i + 1, i);
		buf_append(text, value, VALUE_BYTES);
		buf_append(text, "\"]", 2);
	}
	buf_printf(text, "]}");
	body = kept(&o, (char *)text->data, text->len, 1400);
	cr_expect_lt(body->len, 512 * 1024);
	cr_assert_eq(renewal_report_parse(&r, body->data, body->len), 0);
	cr_expect_eq(r.ended_count, ROWS);
	cr_expect_eq(r.unreadable_count, 0);
	for (i = 0; i < r.ended_count; i++) {
		cr_expect(r.ended[i].checkpoint_left_out ||
		    r.ended[i].checkpoint.len == VALUE_BYTES);
		whole += r.ended[i].checkpoint.len == VALUE_BYTES;
	}
	cr_expect_gt(whole, 5);
	renewal_report_uninit(&r);
	buf_unref(body);
	buf_unref(text);
}
