/*
 * The configuration of daemons that the store does not serve: three processes
 * with addresses of their own, and the stand-in, which turns single ones away.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "http_json.h"
#include "job_fleet.h"

#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define APPLY_MS 3000 /* bound of a version from its storing */
#define DAEMONS 3
#define KEY "abcdefghij0123456789"

static struct job_fleet *fleet;

/* Version 3 has the queues a and b, later ones a and the named one. */
static void
configure(int version, const char *second)
{
	static const char format[] =
	    "{\"configVersion\":%d,\"routes\":["
	    "{\"name\":\"r-a\",\"host\":\"jobs.example\","
	    "\"pathPrefix\":\"/a/\",\"service\":\"blue\"},"
	    "{\"name\":\"r-%s\",\"host\":\"jobs.example\","
	    "\"pathPrefix\":\"/%s/\",\"service\":\"green\"}],"
	    "\"services\":[{\"name\":\"blue\"},{\"name\":\"green\"}],"
	    "\"tenants\":[{\"name\":\"seats\",\"apiKeys\":[\"" KEY "\"]}]}";
	char text[1024];

	snprintf(text, sizeof(text), format, version, second, second);
	cr_assert_eq(job_fleet_put(fleet, "keyed.op", "config", text), 200);
}

static int
call(int daemon, const char *path)
{
	struct headers h = {.count = 0};
	struct answer *a = NULL;
	int status;

	headers_add(&h, "host", "jobs.example");
	headers_add(&h, "x-api-key", KEY);
	status =
	    http_raw(fleet->callers_port[daemon], "GET", path, &h, NULL, &a);
	answer_unref(a);
	headers_uninit(&h);
	return status;
}

struct expected {
	int daemon;
	const char *path;
	int status;
};

static bool
answers_so(void *arg)
{
	const struct expected *e = arg;

	return call(e->daemon, e->path) == e->status;
}

static bool
comes_to(int daemon, const char *path, int status, int limit_ms)
{
	struct expected e = {daemon, path, status};

	return wait_until(answers_so, &e, limit_ms);
}

static bool
said(int daemon, const char *text)
{
	char *out = proc_output(fleet->daemons[daemon]);
	bool ret = strstr(out, text) != NULL;

	free(out);
	return ret;
}

/* A daemon's counter of this name; -1 where there is none. */
static long
metric(int daemon, const char *name)
{
	char line[96], addr[16];
	struct http_call_opts o = {.addr = addr,
	    .port = fleet->peer_port[daemon],
	    .method = "GET",
	    .path = "/metrics",
	    .timeout_ms = HTTP_JSON_TIMEOUT_MS,
	    .answer_body_max_bytes = 1 << 20};
	struct answer *a = NULL;
	const char *at = NULL;
	struct err e;
	long n;

	snprintf(addr, sizeof(addr), "127.0.0.%d", daemon + 1);
	if (http_sync(&o, &a, NULL, &e) == -1)
		return -1;
	buf_append(a->body, "", 1);
	snprintf(line, sizeof(line), "\nmimosalead_%s ", name);
	at = strstr((const char *)a->body->data, line);
	n = at != NULL ? strtol(at + strlen(line), NULL, 10) : -1;
	answer_unref(a);
	return n;
}

static void
setup(void)
{
	struct job_fleet_opts o = {.daemons = DAEMONS,
	    .platform_port = free_port(),
	    .own_addresses = true};
	int i;

	fleet = job_fleet_new_with(&o);
	configure(4, "b");
	/* one after the other: the first one owns the first partition */
	for (i = 0; i < DAEMONS; i++) {
		job_fleet_start(fleet, i);
		cr_assert(comes_to(i, "/a/", 200, LIMIT_MS));
		cr_assert(comes_to(i, "/b/", 200, LIMIT_MS));
	}
	/* ownership has settled among the three */
	for (i = 0; i < DAEMONS; i++) {
		cr_assert(comes_to(i, "/a/", 200, LIMIT_MS));
		cr_assert(comes_to(i, "/b/", 200, LIMIT_MS));
	}
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

TestSuite(config_relay, .init = setup, .fini = teardown, .timeout = 120);

/* Versions that are stored while one daemon is turned away reach it in time. */
static void
turned_away_follows(int status)
{
	int i;

	/* nothing is sent while the store answers */
	for (i = 0; i < DAEMONS; i++)
		cr_expect_eq(metric(i, "config_asks_total"), 0);
	cr_assert_eq(job_fleet_turn_away(fleet, 2, status), 200);
	configure(5, "c");
	cr_expect(comes_to(2, "/b/", 404, APPLY_MS));
	cr_expect(comes_to(2, "/c/", 200, APPLY_MS));
	configure(6, "d");
	cr_expect(comes_to(2, "/c/", 404, APPLY_MS));
	cr_expect(comes_to(2, "/d/", 200, APPLY_MS));
	cr_expect(said(2, "msg=\"configuration came from a peer\" version=6"));
	cr_expect_not(said(2, "msg=\"configuration is not confirmed"));
	cr_expect_gt(metric(2, "config_asks_total"), 0);
	cr_expect_eq(metric(0, "config_asks_total"), 0);
	cr_assert_eq(job_fleet_turn_away(fleet, 2, 200), 200);
	configure(7, "e");
	cr_expect(comes_to(2, "/e/", 200, APPLY_MS));
}

Test(config_relay, a_daemon_that_the_store_refuses_follows_the_configuration)
{
	turned_away_follows(503);
}

Test(config_relay, a_daemon_that_the_store_does_not_answer_follows_it)
{
	turned_away_follows(0);
}

/* No store and no peer: it can't know, and says so before the bound. */
Test(config_relay, an_isolated_daemon_refuses_calls_that_need_a_key)
{
	cr_assert_eq(job_fleet_turn_away(fleet, 2, 503), 200);
	proc_signal(fleet->daemons[0], SIGSTOP);
	proc_signal(fleet->daemons[1], SIGSTOP);
	configure(5, "c");
	sleep_ms(APPLY_MS);
	/* neither the removed queue's calls nor a 404 of the added one */
	cr_expect_eq(call(2, "/b/"), 503);
	cr_expect_eq(call(2, "/c/"), 503);
	cr_expect(said(2, "msg=\"configuration is not confirmed"));
	proc_signal(fleet->daemons[0], SIGCONT);
	proc_signal(fleet->daemons[1], SIGCONT);
	cr_expect(comes_to(2, "/b/", 404, LIMIT_MS));
	cr_expect(said(2, "msg=\"configuration is confirmed"));
}

/* A daemon that owned a pool is called by others, and asks them in turn. */
Test(config_relay, a_daemon_that_restarts_gets_its_configuration_from_a_peer)
{
	int i;

	/* whichever of the two owns a pool or not: the other calls it */
	proc_signal(fleet->daemons[1], SIGKILL);
	cr_assert_neq(proc_wait(fleet->daemons[1], LIMIT_MS), -1);
	cr_assert_eq(job_fleet_turn_away(fleet, 1, 503), 200);
	job_fleet_start(fleet, 1);
	/* the group lists the old process for 2 s: calls are forwarded to it */
	for (i = 0; i < 20; i++) {
		call(0, "/a/");
		call(0, "/b/");
		sleep_ms(50);
	}
	cr_expect(comes_to(1, "/b/", 200, APPLY_MS));
	cr_expect(comes_to(1, "/a/", 200, APPLY_MS));
	cr_expect(said(1, "msg=\"configuration came from a peer\" version=4"));
}
