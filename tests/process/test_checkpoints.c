/*
 * Checkpoints and tickets of any length: two daemons, a stand-in platform that
 * draws them and compares what comes back.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "http_json.h"
#include "job_fleet.h"

#define LIMIT_MS 60000 /* generous: every wait ends on its condition */
#define WORKERS 4 /* of each pool */
#define JOB "/blue/00000000000000a1"
#define GANG "/blue/00000000000000a2"
#define TICKETS "/blue/green/00000000000000a3"

static struct job_fleet *fleet;

static void
start_daemons(void)
{
	cr_assert(job_fleet_start_all(fleet, LIMIT_MS));
}

/* Texts of up to so many bytes. */
static void
begin(const char *bytes)
{
	const char *args[] = {"--texts", bytes, NULL};
	struct job_fleet_opts o = {.daemons = JOB_DAEMONS,
	    .platform_port = free_port(),
	    .platform_args = args};

	fleet = job_fleet_new_with(&o);
	start_daemons();
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

TestSuite(checkpoints, .fini = teardown, .timeout = 120);

static void
submit(const char *path, const char *body)
{
	cr_assert_eq(job_fleet_submit(fleet, path, body), 200, "%s", path);
}

static void
expect_completed(char *path)
{
	cr_expect(job_fleet_wait_completed(fleet, path, LIMIT_MS), "%s", path);
}

static bool
resumed(void *arg)
{
	(void)arg;
	return job_fleet_judged(fleet, "resumed") > 0;
}

/*
 * review/19: no answer of a worker with a value of 64 bytes or more was taken,
 * so that all its leases lapsed and its ends were never acknowledged.
 */
Test(checkpoints, long_values_cost_no_lease_and_no_end)
{
	begin("6000");
	submit(JOB,
	    "{\"taskSpec\":\"saves;takes:7000\",\"steps\":[{\"count\":6,"
	    "\"cpu\":3000,\"estimateMs\":7000,\"checkpointing\":true}]}");
	submit(GANG,
	    "{\"taskSpec\":\"saves;gang;takes:3000\",\"steps\":[{\"count\":3,"
	    "\"cpu\":1000,\"estimateMs\":3000,\"checkpointing\":true,"
	    "\"gang\":true}]}");
	submit(TICKETS,
	    "{\"taskSpec\":\"saves;takes:2000\",\"steps\":[{\"count\":6,"
	    "\"cpu\":1000,\"estimateMs\":2000,\"checkpointing\":true}]}");
	expect_completed(TICKETS);
	expect_completed(GANG);
	expect_completed(JOB);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 6 + 3 + 6);
	cr_expect_eq(job_fleet_judged(fleet, "odd_texts"), 0);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}

/* 500 ends of 2 KB, or a few of 100 KB, were more than an answer may have. */
Test(checkpoints, values_over_every_limit_cost_no_lease_and_no_end)
{
	begin("400000");
	submit(JOB,
	    "{\"taskSpec\":\"saves;takes:6000\",\"steps\":[{\"count\":12,"
	    "\"cpu\":1000,\"estimateMs\":6000,\"checkpointing\":true}]}");
	submit(TICKETS,
	    "{\"taskSpec\":\"work\",\"steps\":[{\"count\":6,"
	    "\"cpu\":1000,\"estimateMs\":60}]}");
	expect_completed(TICKETS);
	expect_completed(JOB);
	cr_expect_eq(job_fleet_judged(fleet, "starts"), 12 + 6);
	cr_expect_eq(job_fleet_judged(fleet, "odd_texts"), 0);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}

/* The next owners hear of the values from the workers, which then crash. */
Test(checkpoints, a_value_goes_back_whole_after_all_daemons_were_killed)
{
	char path[64];
	int i;

	begin("2000");
	submit(JOB,
	    "{\"taskSpec\":\"saves;takes:9000\",\"steps\":[{\"count\":4,"
	    "\"cpu\":3000,\"estimateMs\":9000,\"checkpointing\":true}]}");
	sleep_ms(2500);
	for (i = 0; i < JOB_DAEMONS; i++)
		proc_signal(fleet->daemons[i], SIGKILL);
	for (i = 0; i < JOB_DAEMONS; i++)
		proc_wait(fleet->daemons[i], LIMIT_MS);
	start_daemons();
	sleep_ms(500);
	for (i = 0; i < WORKERS - 1; i++) {
		snprintf(path, sizeof(path), "/worker?id=%d&what=kill", i);
		http_json(fleet->platform_port, "GET", path, NULL, NULL);
	}
	cr_expect(wait_until(resumed, NULL, LIMIT_MS));
	for (i = 0; i < WORKERS - 1; i++) {
		snprintf(path, sizeof(path), "/worker?id=%d&what=return", i);
		http_json(fleet->platform_port, "GET", path, NULL, NULL);
	}
	expect_completed(JOB);
	cr_expect_eq(job_fleet_judged(fleet, "odd_texts"), 0);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}
