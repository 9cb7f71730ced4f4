/* Keys of client accounts, with two daemons and the stand-in platform. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "clock.h"
#include "fixture.h"
#include "job_fleet.h"

#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define APPLY_MS 3000 /* bound "configApplyMs" */
#define LONG_KEY_BYTES 10000
#define JOB "/blue/00000000000000a1"
#define SPEC(task) "{\"taskSpec\":\"" task "\",\"steps\":[{\"count\":1}]}"
#define ACME "{\"name\":\"acme\",\"apiKeys\":[\"acme-old\",\"acme-new\"]}"
#define ZETA "{\"name\":\"zeta\",\"apiKeys\":[\"zeta-key\"]}"

static struct job_fleet *fleet;

static void
configure(int version, const char *tenants)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"configVersion\":%d,\"routes\":["
	    "{\"name\":\"r-blue\",\"host\":\"jobs.example\",\"pathPrefix\":"
	    "\"/blue/\",\"service\":\"blue\",\"maxAttempts\":3,"
	    "\"stretch\":1.6,\"targetLatencyMs\":600},"
	    "{\"name\":\"r-open\",\"host\":\"jobs.example\",\"pathPrefix\":"
	    "\"/open/\",\"service\":\"blue\",\"maxAttempts\":3,"
	    "\"stretch\":1.6,\"targetLatencyMs\":600,\"public\":true}],"
	    "\"services\":[{\"name\":\"blue\",\"admissionControl\":true}],"
	    "\"tenants\":[%s]}",
	    version, tenants);
	cr_assert_eq(job_fleet_put(fleet, "keyed.op", "config", text), 200);
}

/* A caller's request with the key, which may be NULL; the status. */
static int
call(int daemon, const char *key, const char *method, const char *path,
    const char *body)
{
	struct headers h = {.count = 0};
	struct answer *a = NULL;
	int status;

	headers_add(&h, "host", "jobs.example");
	if (key != NULL)
		headers_add(&h, "x-api-key", key);
	status =
	    http_raw(fleet->callers_port[daemon], method, path, &h, body, &a);
	answer_unref(a);
	headers_uninit(&h);
	return status;
}

struct wanted {
	const char *key, *path;
	int status;
};

/* At every daemon that runs. */
static bool
answered(void *arg)
{
	const struct wanted *w = arg;
	int i;

	for (i = 0; i < JOB_DAEMONS; i++) {
		if (proc_running(fleet->daemons[i]) &&
		    call(i, w->key, "GET", w->path, NULL) != w->status)
			return false;
	}
	return true;
}

static void
expect_all(const char *key, const char *path, int status)
{
	struct wanted w = {key, path, status};

	cr_assert(wait_until(answered, &w, LIMIT_MS), "%s of %s: not %d", path,
	    key != NULL ? key : "no key", status);
}

static void
setup(void)
{
	int i;

	fleet = job_fleet_new();
	configure(4, ACME "," ZETA);
	for (i = 0; i < JOB_DAEMONS; i++)
		job_fleet_start(fleet, i);
	expect_all("acme-old", "/blue/", 200);
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

TestSuite(keys, .init = setup, .fini = teardown, .timeout = 120);

/* Calls without a valid key must not pass, and odd ones must break nothing. */
Test(keys, the_key_decides_at_every_daemon)
{
	static const char twice[] =
	    "GET /blue/ HTTP/1.1\r\nHost: jobs.example\r\n"
	    "X-Api-Key: acme-old\r\nX-Api-Key: zeta-key\r\n"
	    "Connection: close\r\n\r\n";
	char key[LONG_KEY_BYTES + 1], out[1024] = "";

	memset(key, 'k', LONG_KEY_BYTES);
	key[LONG_KEY_BYTES] = '\0';
	expect_all("zeta-key", "/blue/", 200);
	expect_all(NULL, "/blue/", 401);
	expect_all("acme", "/blue/", 401);
	expect_all(key, "/blue/", 401);
	expect_all(NULL, "/open/", 200);
	expect_all(key, "/open/", 200);
	expect_all(NULL, "/unknown/", 404);
	cr_expect_eq(call(0, NULL, "POST", JOB, SPEC("x")), 401);
	cr_expect_eq(call(0, key, "POST", JOB, SPEC("x")), 401);
	raw_exchange(fleet->callers_port[0], twice, sizeof(twice) - 1, out,
	    sizeof(out), 1000);
	cr_expect_not_null(strstr(out, " 401 "), "%s", out);
	expect_all("acme-new", "/blue/", 200);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 0);
}

static bool
one_is_done(void *arg)
{
	(void)arg;
	return job_fleet_judged(fleet, "done") == 1;
}

/*
 * A removed key must not work on, an added one must work, and the jobs of an
 * account without a key must run on.
 */
Test(keys, a_new_configuration_changes_keys_in_time)
{
	int64_t from_us;
	int i;

	cr_expect_eq(call(0, "acme-old", "POST", JOB, SPEC("takes:1500")), 200);
	configure(5, "{\"name\":\"acme\",\"apiKeys\":[\"acme-3\"]}," ZETA);
	from_us = clock_read_us(CLOCK_MONOTONIC);
	expect_all("acme-old", "/blue/", 401);
	expect_all("acme-3", "/blue/", 200);
	cr_expect_lt(
	    (clock_read_us(CLOCK_MONOTONIC) - from_us) / US_PER_MS, APPLY_MS);
	expect_all("acme-3", JOB, 200);
	configure(6, ZETA);
	expect_all("acme-3", "/blue/", 401);
	configure(5, ACME); /* an older version changes nothing */
	cr_expect(wait_until(one_is_done, NULL, LIMIT_MS));
	for (i = 0; i < JOB_DAEMONS; i++)
		cr_expect_eq(call(i, "acme-old", "GET", "/blue/", NULL), 401);
	expect_all("zeta-key", JOB, 410);
}

static void
expect_isolated(void)
{
	int i;

	expect_all("acme-new", JOB, 200);
	expect_all("zeta-key", JOB, 410);
	expect_all(NULL, "/open/00000000000000a1", 410);
	for (i = 0; i < JOB_DAEMONS; i++) {
		if (!proc_running(fleet->daemons[i]))
			continue;
		cr_expect_eq(call(i, "zeta-key", "DELETE", JOB, NULL), 410);
		cr_expect_eq(
		    call(i, NULL, "DELETE", "/open/00000000000000a1", NULL),
		    410);
		cr_expect_eq(call(i, "zeta-key", "POST", JOB, SPEC("x")), 429);
	}
}

/* The next owner must know whose job it is, which only the record says. */
Test(keys, a_job_stays_its_accounts_when_the_owner_is_killed)
{
	int i;

	cr_expect_eq(call(1, "acme-old", "POST", JOB, SPEC("lasts")), 200);
	expect_isolated();
	for (i = 0; i < JOB_DAEMONS; i++) { /* one of them is the owner */
		proc_signal(fleet->daemons[i], SIGKILL);
		cr_assert_neq(proc_wait(fleet->daemons[i], LIMIT_MS), -1);
		expect_isolated();
		job_fleet_start(fleet, i);
		expect_all("zeta-key", "/blue/", 200);
	}
	expect_isolated();
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 1);
	cr_expect_eq(call(0, "acme-new", "DELETE", JOB, NULL), 200);
}
