/* Each kind of fault of an operators' text, with its line and remedy. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "settings.h"
#include "tasks.h"
#include "text.h"
#include "text_keys.h"
#include "text_table.h"

static const char good[] =
    /* 1 */
    "{ // a comment\n"
    /* 2 */ "\"deployment\": \"d\",\n"
    /* 3 */ "\"data_centres\": [{\"name\": \"dc1\"}],\n"
    /* 4 */ "\"pools\": [{\"name\": \"front\"}, {\"name\": \"back\"},\n"
    /* 5 */ "{\"name\": \"spare\", \"spare\": true}],\n"
    /* 6 */ "\"services\": [\n"
    /* 7 */ "{\"name\": \"shop\", \"path\": \"/shop\", \"pool\": \"front\",\n"
    /* 8 */ "\"availability\": 0.9, \"depends_on\": [\"stock\"],\n"
    /* 9 */ "\"slots\": 8, \"batch_path\": \"/shop/batch\"},\n"
    /* 10 */ "{\"name\": \"stock\", \"path\": \"/stock\", \"pool\": \"back\",\n"
    /* 11 */ "\"availability\": 0.5, /* two\n"
    /* 12 */ "lines */ \"depends_on\": [],\n"
    /* 13 */ "\"quick\": {\"deadline_ms\": 500, \"reserved_slots\": 2}}],\n"
    /* 14 */ "\"members\": [{\"name\": \"m1\"},\n"
    /* 15 */ "{\"name\": \"m2\", \"weight\": 3}],\n"
    /* 16 */ "\"measures\": {\"buffer_cost\": 2},\n"
    /* 17 */ "\"tasks\": {\"pool\": \"back\"},\n"
    /* 18 */ "\"leaving\": [\"vm-1\", \"vm-2\"]\n"
    /* 19 */ "}\n";

/* The good text with one piece replaced; NULL "from" appends. */
static char *
with(const char *from, const char *to)
{
	const char *at = from ? strstr(good, from) : good + strlen(good);
	size_t head = (size_t)(at - good), skip = from ? strlen(from) : 0;
	char *out = malloc(sizeof(good) + strlen(to) + 1);

	cr_assert_not_null(at, "no such piece: %s", from ? from : "");
	memcpy(out, good, head);
	strcpy(out + head, to);
	strcat(out, at + skip);
	return out;
}

struct fault_case {
	const char *from, *to;
	enum err_kind kind;
	int line;
	const char *remedy; /* a piece of it */
};

static const struct fault_case faults[] = {
    /* well-formedness */
    {"\"dc1\"}],", "\"dc1\"}]", ERR_SYNTAX, 4, "commas and quotes"},
    {"\"m1\"}", "\"m1}", ERR_SYNTAX, 15, "commas and quotes"},
    {"vm-2\"]\n}", "vm-2\"]\n", ERR_SYNTAX, 20, "close every"},
    {NULL, "{}", ERR_SYNTAX, 20, "remove what follows"},
    {"two\n", "two */ */\n", ERR_SYNTAX, 11, ""},
    {"\"d\"", "\"\xff\"", ERR_SYNTAX, 2, ""},
    {"\"slots\"", "\"sl\\u006fts\"", ERR_SYNTAX, 9, "without '\\'"},
    {"\"slots\": 8", "\"slots\": 8, \"slots\": 9", ERR_DUPLICATE, 9,
	"remove one"},
    /* keys */
    {"\"weight\"", "\"wieght\"", ERR_UNKNOWN_KEY, 15, "\"weight\""},
    {"\"weight\"", "\"colour\"", ERR_UNKNOWN_KEY, 15, "remove it"},
    {"\"deadline_ms\"", "\"deadline\"", ERR_UNKNOWN_KEY, 13, "\"deadline_ms\""},
    {"\"deployment\": \"d\",", "", ERR_REFERENCE, 1, "add \"deployment\""},
    {"\"availability\": 0.9, ", "", ERR_REFERENCE, 7, "availability"},
    /* types */
    {"\"slots\": 8", "\"slots\": \"8\"", ERR_TYPE, 9, "whole number"},
    {"\"slots\": 8", "\"slots\": 8.5", ERR_TYPE, 9, "whole number"},
    {"[\"stock\"]", "\"stock\"", ERR_TYPE, 8, "a list"},
    {"{\"buffer_cost\": 2}", "3", ERR_TYPE, 16, "an object"},
    {"\"spare\": true", "\"spare\": 1", ERR_TYPE, 5, "true or false"},
    {"\"front\"}", "7}", ERR_TYPE, 4, "a string"},
    /* ranges and limits */
    {"0.9", "1.5", ERR_RANGE, 8, "0 to 1"},
    {"0.9", "NaN", ERR_RANGE, 8, "0 to 1"},
    {"\"weight\": 3", "\"weight\": 0", ERR_RANGE, 15, "1 to 1000"},
    {"\"slots\": 8", "\"slots\": 99999999999999999999", ERR_RANGE, 9,
	"1 to 1024"},
    {"\"m1\"", "\"m 1\"", ERR_RANGE, 14, "letters, digits"},
    {"\"m1\"", "\"\"", ERR_LIMIT, 14, "1 to 39"},
    {"\"m1\"", "\"m123456789012345678901234567890123456789\"", ERR_LIMIT, 14,
	"1 to 39"},
    {"\"/shop\"", "\"shop\"", ERR_RANGE, 7, "begin the path"},
    {"\"/shop\"", "\"/shop/\"", ERR_RANGE, 7, "last '/'"},
    {"[{\"name\": \"dc1\"}]", "[]", ERR_LIMIT, 3, "1 to 256"},
    {"\"buffer_cost\": 2",
	"\"buffer_cost\": 0, \"vm_moves\": 0, "
	"\"rollout_time\": 0",
	ERR_RANGE, 16, "above 0"},
    {"\"reserved_slots\": 2", "\"reserved_slots\": 9", ERR_RANGE, 13, "fewer"},
    {"\"slots\": 8", "\"slots\": 8, \"connections\": 4", ERR_RANGE, 9,
	"one connection"},
    {"\"/shop/batch\"", "\"/shopbatch\"", ERR_RANGE, 9, "service's path"},
    {"\"measures\"", "\"member_header\": \"X-Team\", \"measures\"", ERR_RANGE,
	16, "lower case"},
    {"\"measures\"", "\"member_by\": \"cookie\", \"measures\"", ERR_RANGE, 16,
	"\"header\" \"path\" \"host\""},
    /* names */
    {"\"m2\"", "\"m1\"", ERR_DUPLICATE, 15, "one of its own"},
    {"\"back\"},", "\"front\"}, {\"name\": \"back\"},", ERR_DUPLICATE, 4,
	"one of its own"},
    {"\"/stock\"", "\"/shop\"", ERR_DUPLICATE, 10, "one of its own"},
    {"\"vm-2\"", "\"vm-1\"", ERR_DUPLICATE, 18, "one of its own"},
    {"\"back\"},", "\"back\", \"spare\": true},", ERR_DUPLICATE, 5,
	"one spare"},
    {"\"pool\": \"front\"", "\"pool\": \"frnt\"", ERR_REFERENCE, 7,
	"\"front\""},
    {"\"pool\": \"front\"", "\"pool\": \"spare\"", ERR_REFERENCE, 7,
	"not spare"},
    {"[\"stock\"]", "[\"stokc\"]", ERR_REFERENCE, 8, "\"stock\""},
    {"[\"stock\"]", "[\"shop\"]", ERR_REFERENCE, 8, "cycle"},
    {"\"depends_on\": []", "\"depends_on\": [\"shop\"]", ERR_REFERENCE, 12,
	"cycle"},
    {"{\"pool\": \"back\"}", "{\"pool\": \"bak\"}", ERR_REFERENCE, 17,
	"\"back\""},
};

static void
assert_fault(const struct fault_case *c)
{
	char *source = with(c->from, c->to);
	struct text_errors errors = {0};
	size_t i;
	bool seen = false;

	cr_assert_null(
	    text_parse(source, strlen(source), &errors), "%s", c->to);
	for (i = 0; i < errors.count; i++) {
		cr_assert_neq(errors.list[i].remedy[0], '\0');
		seen |= errors.list[i].kind == c->kind &&
		    errors.list[i].line == c->line &&
		    strstr(errors.list[i].remedy, c->remedy) != NULL;
	}
	cr_assert(seen,
	    "\"%s\" for \"%s\": wanted %s on line %d with \"%s\"; "
	    "got %s on line %d: %s; remedy: %s",
	    c->to, c->from ? c->from : "", err_kind_name(c->kind), c->line,
	    c->remedy, err_kind_name(errors.list[0].kind), errors.list[0].line,
	    errors.list[0].message, errors.list[0].remedy);
	text_errors_uninit(&errors);
	free(source);
}

Test(text, every_kind_of_fault_has_its_line_and_remedy)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		assert_fault(&faults[i]);
}

Test(text, all_faults_are_reported_in_order_of_lines)
{
	char *source = with("\"deployment\": \"d\"", "\"deploymnt\": \"d\"");
	char *weight = strstr(source, "\"weight\": 3");
	struct text_errors errors = {0};

	memcpy(weight, "\"weight\": 0", strlen("\"weight\": 0"));
	cr_assert_null(text_parse(source, strlen(source), &errors));
	cr_assert_eq(errors.count, 3);
	cr_assert_eq(errors.list[0].line, 1);
	cr_assert_eq(errors.list[1].line, 2);
	cr_assert_eq(errors.list[2].line, 15);
	text_errors_uninit(&errors);
	free(source);
}

Test(text, nul_and_excess_bytes_are_refused)
{
	struct text_errors errors = {0};
	char *big;

	cr_assert_null(text_parse(good, sizeof(good), &errors));
	cr_assert_eq(errors.list[0].kind, ERR_SYNTAX);
	text_errors_uninit(&errors);
	big = calloc(1, TEXT_MAX_BYTES + 1);
	memset(big, ' ', TEXT_MAX_BYTES + 1);
	cr_assert_null(text_parse(big, TEXT_MAX_BYTES + 1, &errors));
	cr_assert_eq(errors.list[0].kind, ERR_LIMIT);
	text_errors_uninit(&errors);
	free(big);
}

Test(text, good_text_has_defaults_and_values)
{
	struct text_errors errors = {0};
	struct text *t = text_parse(good, strlen(good), &errors);

	cr_assert_not_null(t);
	cr_assert_eq(errors.count, 0);
	cr_assert_str_eq(t->source, good);
	cr_assert_eq(t->service_count, 2);
	cr_assert_eq(t->services[0].availability_ppm, 900000);
	cr_assert_eq(t->services[0].connections, 64);
	cr_assert_eq(t->services[1].classes[CLASS_QUICK].deadline_ms, 500);
	cr_assert_eq(t->members[0].weight, 1);
	cr_assert_eq(t->members[1].weight, 3);
	cr_assert_eq(t->measures.buffer_cost, 2);
	cr_assert_eq(t->measures.vm_moves, 1);
	cr_assert_str_eq(t->leaving[1], "vm-2");
	cr_assert_str_eq(t->member_header, "mimosalead-member");
	text_unref(t);
}

/* "stock" may drop to 0.5 on its own, but "shop" needs it at 0.9. */
Test(text, pool_takes_the_strictest_availability_of_its_dependents)
{
	struct text *t = text_parse(good, strlen(good), NULL);

	cr_assert_eq(text_pool(t, "front")->availability_ppm, 900000);
	cr_assert_eq(text_pool(t, "back")->availability_ppm, 900000);
	cr_assert_eq(text_pool(t, "spare")->availability_ppm, 0);
	text_unref(t);
}

Test(text, longest_path_prefix_wins_at_a_boundary)
{
	char *source = with("\"/stock\"", "\"/shop/stock\"");
	struct text *t = text_parse(source, strlen(source), NULL);

	cr_assert_str_eq(text_service_for_path(t, "/shop")->name, "shop");
	cr_assert_str_eq(
	    text_service_for_path(t, "/shop/stock/1")->name, "stock");
	cr_assert_str_eq(
	    text_service_for_path(t, "/shop?q=/shop/stock")->name, "shop");
	cr_assert_null(text_service_for_path(t, "/shopping"));
	cr_assert_null(text_service_for_path(t, "/"));
	text_unref(t);
	free(source);
}

/* docs/CONFIG.md is written from the tables; it must not fall behind. */
Test(text, reference_page_holds_every_table)
{
	FILE *page = fopen("docs/CONFIG.md", "r");
	static char have[256 * 1024];
	char *want = NULL;
	size_t len = 0;
	FILE *f;

	cr_assert_not_null(page);
	cr_assert_gt(fread(have, 1, sizeof(have) - 1, page), 0);
	fclose(page);
	f = open_memstream(&want, &len);
	keys_write_markdown(&text_root_table, "text", f);
	settings_document(f);
	tasks_write_markdown(f);
	fclose(f);
	want[len - 1] = '\0'; /* the page ends with one newline */
	cr_assert_not_null(strstr(have, want),
	    "write docs/CONFIG.md again from \"mimosalead check --keys\"");
	free(want);
}
