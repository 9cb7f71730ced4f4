/* A daemon's settings: every key checked, defaults, addresses. */
#include <string.h>

#include <criterion/criterion.h>

#include "settings.h"

#define REQUIRED                                                       \
	"\"name\": \"e1\", \"data_centre\": \"dc1\",\n"                \
	"\"listen\": \"127.0.0.1:8080\", \"admin\": \"[::1]:8081\",\n" \
	"\"peer\": \"127.0.0.1:8082\", \"platform\": \"127.0.0.1:9000\""

static int
parse(struct settings *s, const char *source, struct err *e)
{
	err_clear(e);
	return settings_parse(s, source, strlen(source), e);
}

Test(settings, defaults_and_lists)
{
	struct settings s;
	struct err e;

	cr_assert_eq(parse(&s, "{" REQUIRED "}", &e), 0, "%s", e.message);
	cr_assert_str_eq(s.admin.addr, "::1");
	cr_assert_eq(s.admin.port, 8081);
	cr_assert_str_eq(s.log_level, "info");
	cr_assert_eq(s.forward_header_count, 2);
	cr_assert_eq(s.body_max_bytes, BODY_MAX_BYTES);
	settings_uninit(&s);
	cr_assert_eq(parse(&s,
			 "{" REQUIRED ", // seeds\n\"peers\": "
			 "[\"10.0.0.1:1\", \"10.0.0.2:65535\"],"
			 "\"forward_headers\": [\"x-trace\"]}",
			 &e),
	    0);
	cr_assert_eq(s.peer_count, 2);
	cr_assert_eq(s.peers[1].port, 65535);
	cr_assert_eq(s.forward_header_count, 1);
	cr_assert_str_eq(s.forward_headers[0], "x-trace");
	settings_uninit(&s);
}

struct settings_case {
	const char *extra; /* after the required keys */
	enum err_kind kind;
	const char *remedy;
};

static const struct settings_case cases[] = {
    {",\n\"tick\": 5", ERR_UNKNOWN_KEY, "remove it"},
    {",\n\"tik_ms\": 5", ERR_UNKNOWN_KEY, "\"tick_ms\""},
    {",\n\"tick_ms\": 0", ERR_RANGE, "1 to 100"},
    {",\n\"tick_ms\": \"5\"", ERR_TYPE, "whole number"},
    {",\n\"log_level\": \"loud\"", ERR_RANGE, "\"warn\""},
    {",\n\"log_level\": 3", ERR_RANGE, "\"warn\""},
    {",\n\"peers\": \"10.0.0.1:1\"", ERR_TYPE, "a list"},
    {",\n\"peers\": [\"localhost:1\"]", ERR_RANGE, "numeric IP"},
    {",\n\"peers\": [\"10.0.0.1:0\"]", ERR_RANGE, "1 to 65535"},
    {",\n\"peers\": [\"10.0.0.1:70000\"]", ERR_RANGE, "1 to 65535"},
    {",\n\"peers\": [\"10.0.0.1\"]", ERR_RANGE, "a port"},
    {",\n\"peers\": [7]", ERR_RANGE, "a port"},
    {",\n\"forward_headers\": [\"X-Trace\"]", ERR_RANGE, "lower case"},
    {",\n\"body_max_bytes\": 99999999", ERR_RANGE, "1048576"},
    {",\n\"name\": \"e2\"", ERR_DUPLICATE, "remove one"},
};

Test(settings, every_kind_of_fault_has_its_line_and_remedy)
{
	char source[1024];
	struct settings s;
	struct err e;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(source, sizeof(source), "{" REQUIRED "%s\n}",
		    cases[i].extra);
		cr_assert_eq(parse(&s, source, &e), -1, "%s", cases[i].extra);
		cr_assert_eq(
		    e.kind, cases[i].kind, "%s: %s", cases[i].extra, e.message);
		cr_assert_eq(e.line, 4, "%s", cases[i].extra);
		cr_assert_not_null(strstr(e.remedy, cases[i].remedy), "%s: %s",
		    cases[i].extra, e.remedy);
	}
}

Test(settings, missing_key_and_missing_file_name_the_remedy)
{
	struct settings s;
	struct err e;

	cr_assert_eq(parse(&s, "{\"name\": \"e1\"}", &e), -1);
	cr_assert_eq(e.kind, ERR_REFERENCE);
	cr_assert_eq(settings_load(&s, "no/such/file", &e), -1);
	cr_assert_eq(e.kind, ERR_IO);
	cr_assert_neq(e.remedy[0], '\0');
}

Test(settings, help_names_every_key_with_its_default)
{
	char *out = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&out, &len);

	settings_help(f);
	fclose(f);
	cr_assert_not_null(strstr(out, "vm_list_poll_ms"));
	cr_assert_not_null(strstr(out, "default: 500"));
	cr_assert_not_null(strstr(out, "default: info"));
	free(out);
}
