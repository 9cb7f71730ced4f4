/* Callers' keys: the check at the door, the accounts, and whose a job is. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "bounds.h"
#include "caller_auth.h"
#include "long_name.h"
#include "job_call.h"
#include "job_spec_wire.h"
#include "pool.h"

static struct config *
parse(const char *tenants)
{
	char text[4096];
	struct config *c;
	struct err e;

	snprintf(text, sizeof(text),
	    "{\"configVersion\":1,\"routes\":[],\"services\":[]%s}", tenants);
	c = config_parse(text, strlen(text), &e);
	if (c != NULL)
		config_inherit_accounts(c, NULL);
	return c;
}

static const char *
owner_of(const struct config *c, const char *key)
{
	const struct account_settings *a =
	    account_table_find_key(c->accounts, key);

	return a != NULL ? a->name : "";
}

#define TENANTS                                                                \
	",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":["                       \
	"\"acme-1\",\"acme-2\"]},{\"name\":\"zeta\",\"apiKeys\":[\"zeta-1\"]}" \
	"]"

/* A caller without a valid key must not pass, one with a key must. */
Test(caller_auth, outcomes_of_the_check)
{
	char k128[129], k129[130];
	const struct {
		const char *value;
		enum header_fault fault;
		bool public_access;
		enum caller_auth_outcome outcome;
		const char *account;
	} cases[] = {
	    {"acme-1", HEADER_SOUND, false, CALLER_AUTH_ACCEPTED, "acme"},
	    {"acme-2", HEADER_SOUND, false, CALLER_AUTH_ACCEPTED, "acme"},
	    {"zeta-1", HEADER_SOUND, false, CALLER_AUTH_ACCEPTED, "zeta"},
	    {NULL, HEADER_SOUND, false, CALLER_AUTH_MISSING, ""},
	    {"", HEADER_SOUND, false, CALLER_AUTH_MISSING, ""},
	    {"acme-", HEADER_SOUND, false, CALLER_AUTH_UNKNOWN, ""},
	    {"ACME-1", HEADER_SOUND, false, CALLER_AUTH_UNKNOWN, ""},
	    {"acme-1 ", HEADER_SOUND, false, CALLER_AUTH_UNKNOWN, ""},
	    {"acme", HEADER_SOUND, false, CALLER_AUTH_UNKNOWN, ""},
	    {k128, HEADER_SOUND, false, CALLER_AUTH_UNKNOWN, ""},
	    {k129, HEADER_SOUND, false, CALLER_AUTH_TOO_LONG, ""},
	    {NULL, HEADER_TOO_LONG, false, CALLER_AUTH_TOO_LONG, ""},
	    {"acme-1", HEADER_CONFLICTING, false, CALLER_AUTH_CONFLICTING, ""},
	    {NULL, HEADER_SOUND, true, CALLER_AUTH_PUBLIC, ""},
	    {"acme-1", HEADER_SOUND, true, CALLER_AUTH_PUBLIC, ""},
	    {"wrong", HEADER_CONFLICTING, true, CALLER_AUTH_PUBLIC, ""},
	};
	struct config *c = parse(TENANTS);
	struct caller_auth_decision d;
	struct config_queue q = {0};
	struct caller_key key;
	size_t i;

	memset(k128, 'k', 128);
	memset(k129, 'k', 129);
	k128[128] = k129[129] = '\0';
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		key.value = cases[i].value;
		key.fault = cases[i].fault;
		q.public_access = cases[i].public_access;
		d = caller_auth_decide(&q, c->accounts, &key);
		cr_expect_eq(d.outcome, cases[i].outcome, "%zu", i);
		cr_expect_eq(d.status,
		    cases[i].outcome >= CALLER_AUTH_MISSING ? 401 : 0, "%zu",
		    i);
		cr_expect_str_eq(d.account != NULL ? d.account->name : "",
		    cases[i].account, "%zu", i);
		d = caller_auth_decide(&q, NULL, &key);
		cr_expect(d.status == 0 && d.account == NULL, "%zu", i);
	}
	config_unref(c);
}

/* Wrong keys must not flood the log, nor show more than their beginning. */
Test(caller_auth, log_lines_are_bounded_and_show_no_key)
{
	struct caller_auth a = {0};
	char prefix[LOGGED_KEY_CHARS + 1];
	int i, lines = 0;

	for (i = 0; i < 2000; i++)
		lines += caller_auth_count(
		    &a, CALLER_AUTH_UNKNOWN, 5 * US_PER_S + i * US_PER_MS);
	cr_expect(lines >= 2 && lines <= 10, "%d", lines);
	cr_expect_not(caller_auth_count(&a, CALLER_AUTH_ACCEPTED, US_PER_S));
	cr_expect_eq(a.outcomes[CALLER_AUTH_UNKNOWN], 2000);
	cr_expect_eq(a.unlogged, 2000 - lines);
	caller_key_prefix(prefix,
	    "a\n\"\xff"
	    "bcdef");
	cr_expect_str_eq(prefix, "a???");
	caller_key_prefix(prefix, NULL);
	cr_expect_str_eq(prefix, "");
}

/* A malformed list must neither open the door nor take others' keys along. */
Test(caller_auth, malformed_accounts_are_left_out)
{
	struct config *c =
	    parse(",\"tenants\":[7,null,{\"apiKeys\":[\"k0\"]},"
		  "{\"name\":\"a123456789b123456789c123456789d123456789\","
		  "\"apiKeys\":[\"k1\"]},"
		  "{\"name\":\"a123456789b123456789c123456789d12345678\","
		  "\"apiKeys\":[\"k2\",7,\"\",\"k2\"]},"
		  "{\"name\":\"b\",\"apiKeys\":[\"k2\",\"k3\"]},"
		  "{\"name\":\"b\",\"apiKeys\":[\"k4\"]},"
		  "{\"name\":\"c\",\"apiKeys\":\"k5\"}]");
	char name[NAME_BYTES];

	cr_assert_not_null(c);
	cr_expect_eq(account_table_count(c->accounts), 4);
	cr_expect_eq(account_table_key_count(c->accounts), 3);
	name_shorten(name, "a123456789b123456789c123456789d123456789");
	cr_expect_str_eq(owner_of(c, "k1"), name);
	cr_expect_str_eq(
	    owner_of(c, "k2"), "a123456789b123456789c123456789d12345678");
	cr_expect_str_eq(owner_of(c, "k3"), "b");
	cr_expect_eq(c->account_faults.left_out, 4);
	cr_expect_eq(c->account_faults.first_left_out, 0);
	cr_expect_eq(c->account_faults.keys_left_out, 3);
	cr_expect_eq(c->account_faults.shared_keys, 1);
	cr_expect_str_eq(c->account_faults.first_sharing, "b");
	config_unref(c);
	c = parse("");
	cr_expect_null(c->accounts);
	config_unref(c);
	c = parse(",\"tenants\":[{}]"); /* all left out: no key is known */
	cr_expect_not_null(c->accounts);
	config_unref(c);
	cr_expect_null(parse(",\"tenants\":{\"name\":\"a\"}"));
}

/* A malformed limit must not be taken for none, nor a weight for 0 or less. */
Test(caller_auth, malformed_settings_keep_the_values_of_the_version_before)
{
	struct config *before =
	    parse(",\"tenants\":[{\"name\":\"a\",\"weight\":3,\"priority\":2,"
		  "\"cap\":{\"cpu\":100,\"memMb\":200,\"gpu\":3}}]");
	struct config *c =
	    parse(",\"tenants\":[{\"name\":\"a\",\"weight\":-1,\"priority\":1,"
		  "\"cap\":{\"cpu\":-5,\"memMb\":300,\"gpu\":\"x\"}},"
		  "{\"name\":\"new\",\"weight\":\"2\",\"cap\":[1]},"
		  "{\"name\":\"huge\",\"weight\":1e300,"
		  "\"cap\":{\"cpu\":1e300,\"memMb\":0.25}},"
		  "{\"name\":\"zero\",\"weight\":0},"
		  "{\"name\":\"odd\",\"weight\":NaN,\"cap\":{\"gpu\":1e999}}]");
	const struct account_settings *a;

	cr_assert_not_null(c);
	config_inherit_accounts(c, before);
	a = account_table_find(c->accounts, "a");
	cr_expect_eq(a->weight, 3);
	cr_expect_eq(a->priority, 1);
	cr_expect(a->cap.cpu_milli == 100 && a->cap.memory_mb == 300 &&
	    a->cap.accelerators == 3);
	a = account_table_find(c->accounts, "new");
	cr_expect(a->weight == 1 && !account_capped(a));
	a = account_table_find(c->accounts, "huge");
	cr_expect_eq(a->weight, ACCOUNT_WEIGHT_MAX);
	cr_expect_eq(a->cap.cpu_milli, ACCOUNT_CAP_MAX);
	cr_expect_eq(a->cap.memory_mb, 1);
	cr_expect_eq(account_table_find(c->accounts, "zero")->weight, 1);
	a = account_table_find(c->accounts, "odd");
	cr_expect(a->weight == 1 && !account_capped(a));
	cr_expect_eq(c->account_faults.settings_count, 3);
	config_unref(c);
	config_unref(before);
}

static struct pool_effects effects;
static size_t writes; /* records that the last call wrote */

/* Asks the pool; the kind of its answer, or -1 where none came yet. */
static int
ask(struct pool *p, enum pool_event_kind kind, const char *account,
    bool isolated, struct job_spec *spec)
{
	static const struct queue_settings queue = {.name = "q", .stretch = 2};
	static const char id[] = "00000000000000a1";
	struct pool_event ev = {.kind = kind, .now_us = 1, .now_ms = 1};
	struct buf *text = buf_from("{}", 2);
	int answer = -1;
	size_t i;

	if (kind == POOL_SUBMIT) {
		snprintf(ev.u.submit.id, JOB_ID_BYTES, "%s", id);
		snprintf(ev.u.submit.account, NAME_BYTES, "%s", account);
		ev.u.submit.isolated = isolated;
		ev.u.submit.queue = &queue;
		ev.u.submit.spec = spec;
		ev.u.submit.text = text;
	} else {
		snprintf(ev.u.job.id, JOB_ID_BYTES, "%s", id);
		snprintf(ev.u.job.account, NAME_BYTES, "%s", account);
		ev.u.job.isolated = isolated;
	}
	writes = 0;
	pool_effects_clear(&effects);
	pool_step(p, &ev, &effects);
	buf_unref(text);
	for (i = 0; i < effects.count; i++) {
		writes += effects.list[i].kind == POOL_WRITE;
		if (effects.list[i].kind == POOL_ANSWER)
			answer = (int)effects.list[i].u.answer.answer;
	}
	return answer;
}

/* An account must neither see nor change another's job, by any call. */
Test(caller_auth, a_job_answers_to_its_own_account_only)
{
	static const char body[] =
	    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1}]}";
	struct pool_opts opts = {.name = "p", .fence = 1, .now_ms = 1};
	struct pool_event stored = {.kind = POOL_STORED, .u.stored.serial = 99};
	struct job_spec *spec;
	struct pool *p = pool_new(&opts);
	struct err e;

	spec = job_spec_parse(body, sizeof(body) - 1, &e);
	cr_assert_not_null(spec);
	cr_expect_eq(ask(p, POOL_SUBMIT, "acme", true, spec), -1);
	cr_expect_gt(writes, 0);
	pool_step(p, &stored, &effects);
	cr_expect_eq(
	    ask(p, POOL_JOB_QUERY, "acme", true, NULL), POOL_JOB_STATE);
	cr_expect_eq(ask(p, POOL_SUBMIT, "acme", true, spec), POOL_ACCEPTED);
	cr_expect_eq(ask(p, POOL_JOB_QUERY, "zeta", true, NULL), POOL_NO_JOB);
	cr_expect_eq(ask(p, POOL_JOB_QUERY, "", true, NULL), POOL_NO_JOB);
	cr_expect_eq(ask(p, POOL_CANCEL, "zeta", true, NULL), POOL_NO_JOB);
	cr_expect_eq(ask(p, POOL_CANCEL, "", true, NULL), POOL_NO_JOB);
	cr_expect_eq(ask(p, POOL_SUBMIT, "zeta", true, spec), POOL_OVERLOADED);
	cr_expect_eq(writes, 0);
	cr_expect_eq(ask(p, POOL_SUBMIT, "", true, spec), POOL_OVERLOADED);
	/* the owner's configuration has no accounts any more */
	cr_expect_eq(ask(p, POOL_JOB_QUERY, "", false, NULL), POOL_JOB_STATE);
	cr_expect_eq(ask(p, POOL_JOB_QUERY, "zeta", false, NULL), POOL_NO_JOB);
	cr_expect_eq(ask(p, POOL_CANCEL, "acme", true, NULL), POOL_CANCELLING);
	cr_expect_gt(writes, 0);
	pool_free(p);

	p = pool_new(&opts); /* a job without an account answers to all */
	ask(p, POOL_SUBMIT, "", true, spec);
	cr_expect_eq(
	    ask(p, POOL_JOB_QUERY, "zeta", true, NULL), POOL_JOB_STATE);
	cr_expect_eq(ask(p, POOL_SUBMIT, "zeta", true, spec), -1);
	cr_expect_eq(ask(p, POOL_CANCEL, "", true, NULL), -1);
	job_spec_unref(spec);
	pool_free(p);
	pool_effects_uninit(&effects);
}

/* A name that is cut or left out would be another account, or none. */
Test(caller_auth, a_peers_request_with_a_malformed_account_is_refused)
{
	static const char name[] = "a123456789b123456789c123456789d12345678";
	struct job_request r = {.op = JOB_QUERY}, out;
	struct buf *b;
	struct err e;

	memcpy(r.account, name, sizeof(name));
	b = job_request_encode(&r);
	cr_assert_eq(job_request_decode(&out, b->data, b->len, &e), 0);
	cr_expect_str_eq(out.account, name);
	buf_unref(out.body);
	/* the name is the last of the message: of 39 bytes, then of 40 */
	b->data[b->len - sizeof(name)]++;
	buf_append(b, "9", 1);
	cr_expect_eq(job_request_decode(&out, b->data, b->len, &e), -1);
	buf_unref(b);
}
