/*
 * A configuration gives a queue to another pool: two daemons, a stand-in
 * platform.  Jobs that were accepted before are found where they are.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "job_fleet.h"

#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define APPLY_MS 2000 /* bound of a version from its storing */
#define WORK                                                          \
	"{\"taskSpec\":\"work\",\"steps\":[{\"count\":3,\"cpu\":100," \
	"\"estimateMs\":60}]}"
#define LASTS                                                          \
	"{\"taskSpec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":100," \
	"\"longRunning\":true,\"mayMiss\":1}]}"

static struct job_fleet *fleet;

static int
call(int daemon, const char *method, const char *path, const char *body)
{
	return job_fleet_call(fleet, daemon, method, path, body, NULL, 0);
}

/* The queue /moved/ belongs to the pool; NULL: there is no such route. */
static void
give_queue(int version, const char *pool)
{
	char route[256] = "";

	if (pool != NULL)
		snprintf(route, sizeof(route),
		    ",{\"name\":\"r-moved\",\"host\":\"jobs.example\","
		    "\"pathPrefix\":\"/moved/\",\"service\":\"%s\","
		    "\"maxAttempts\":3,\"stretch\":1.6}",
		    pool);
	cr_assert_eq(job_fleet_configure(fleet, version, route), 200);
}

static void
start_daemons(void)
{
	cr_assert(job_fleet_start_all(fleet, LIMIT_MS));
}

static void
kill_daemons(void)
{
	int i;

	for (i = 0; i < JOB_DAEMONS; i++) {
		proc_signal(fleet->daemons[i], SIGKILL);
		cr_assert_neq(proc_wait(fleet->daemons[i], LIMIT_MS), -1);
	}
}

struct expected {
	int daemon;
	const char *method, *path, *body;
	int status;
};

static bool
answered_so(void *arg)
{
	const struct expected *e = arg;

	return call(e->daemon, e->method, e->path, e->body) == e->status;
}

/* At both daemons, within the bound and without an answer that is wrong. */
static void
expect_answers(
    const char *method, const char *path, const char *body, int status)
{
	struct expected e = {0, method, path, body, status};

	for (; e.daemon < JOB_DAEMONS; e.daemon++)
		cr_expect(wait_until(answered_so, &e, LIMIT_MS),
		    "%s %s at daemon %d is never %d", method, path, e.daemon,
		    status);
}

static void
expect_completed(char *path)
{
	cr_expect(job_fleet_wait_completed(fleet, path, LIMIT_MS), "%s", path);
}

static void
setup(void)
{
	fleet = job_fleet_new();
	give_queue(10, "blue");
	start_daemons();
	expect_answers("GET", "/moved/00000000000000ff", NULL, 410);
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

TestSuite(queue_moves, .init = setup, .fini = teardown, .timeout = 120);

static char job[] = "/moved/00000000000000a1";
static char lasting[] = "/moved/00000000000000a2";
static char newer[] = "/moved/00000000000000a3";

/* review/16: 410 for an accepted job, a second run, a cancel without effect. */
Test(queue_moves, jobs_of_before_are_found_and_not_run_again)
{
	int64_t starts;

	expect_answers("POST", job, WORK, 200);
	expect_answers("POST", lasting, LASTS, 200);
	expect_completed(job);
	give_queue(11, "green");
	sleep_ms(APPLY_MS);
	starts = job_fleet_judged(fleet, "starts");
	expect_completed(job);
	expect_answers("POST", job, WORK, 200);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), starts);
	expect_answers("DELETE", lasting, NULL, 200);
	expect_answers("POST", newer, WORK, 200);
	expect_completed(newer);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), starts + 3);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
	expect_answers("GET", "/moved/00000000000000ff", NULL, 410);
}

/* Nobody who knew the earlier configuration is left, and it moves back. */
Test(queue_moves, jobs_are_found_after_all_daemons_were_killed)
{
	int64_t starts;

	expect_answers("POST", job, WORK, 200);
	expect_completed(job);
	kill_daemons();
	give_queue(11, "green");
	start_daemons();
	expect_completed(job);
	expect_answers("POST", newer, WORK, 200);
	expect_completed(newer);
	kill_daemons();
	give_queue(12, "blue");
	start_daemons();
	starts = job_fleet_judged(fleet, "starts");
	expect_completed(newer);
	expect_answers("POST", newer, WORK, 200);
	expect_answers("POST", job, WORK, 200);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), starts);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}

/* The route is gone for a version, and comes back at another pool. */
Test(queue_moves, jobs_are_found_where_the_route_was_gone_between)
{
	int64_t starts;

	expect_answers("POST", job, WORK, 200);
	expect_completed(job);
	give_queue(11, NULL);
	expect_answers("GET", job, NULL, 404);
	give_queue(12, "green");
	expect_completed(job);
	starts = job_fleet_judged(fleet, "starts");
	expect_answers("POST", job, WORK, 200);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), starts);
}

/* Repeats cross the change, daemons learn of it at different moments. */
Test(queue_moves, repeats_that_cross_moves_run_a_job_once)
{
	char path[64];
	int i, status;

	for (i = 0; i < 60; i++) {
		if (i % 10 == 5)
			give_queue(11 + i, i % 20 == 5 ? "green" : "blue");
		snprintf(path, sizeof(path), "/moved/%016x", 0xb00 + i);
		status = call(i % 2, "POST", path, WORK);
		cr_expect(status == 200 || status == 503 || status == 429 ||
			status == 504,
		    "%d", status);
		call((i + 1) % 2, "POST", path, WORK);
		sleep_ms(20);
	}
	for (i = 0; i < 60; i++) {
		snprintf(path, sizeof(path), "/moved/%016x", 0xb00 + i);
		expect_answers("POST", path, WORK, 200);
		expect_completed(path);
	}
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 60 * 3);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}

/* What cannot be read is not known: never 410, never a second job. */
Test(queue_moves, nothing_is_denied_while_homes_cannot_be_read)
{
	int status;

	expect_answers("POST", job, WORK, 200);
	expect_completed(job);
	kill_daemons();
	give_queue(11, "green");
	cr_assert_eq(http_json(fleet->platform_port, "POST",
			 "/store-part?topic=keyed.homes", "", NULL),
	    200);
	start_daemons();
	status = call(0, "GET", job, NULL);
	cr_expect_eq(status, 503);
	status = call(1, "POST", job, WORK);
	cr_expect_eq(status, 503);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", "/store-up", "", NULL),
	    200);
	expect_completed(job);
	expect_answers("POST", job, WORK, 200);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 3);
}
