/* Jobs whose texts are as long as a record allows, and what they cost. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "http_json.h"
#include "job_fleet.h"

#define LIMIT_MS 60000 /* generous: every wait ends on its condition */
#define RECORD_BYTES 262144 /* as the users' store has it */
#define JOBS 120
#define TEXT_BYTES 80000 /* of each of a job's three texts */
/* What is kept of such a job is a small part of its texts. */
#define KEPT_MAX_BYTES ((int64_t)JOBS * 3 * TEXT_BYTES / 4)

static struct job_fleet *fleet;

static void
start_daemons(void)
{
	cr_assert(job_fleet_start_all(fleet, LIMIT_MS));
}

static void
setup(void)
{
	struct job_fleet_opts o = {.daemons = JOB_DAEMONS,
	    .platform_port = free_port(),
	    .record_bytes = RECORD_BYTES};

	fleet = job_fleet_new_with(&o);
	start_daemons();
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

TestSuite(long_texts, .init = setup, .fini = teardown, .timeout = 120);

/* Most memory that either daemon has used so far. */
static int64_t
peak_bytes(void)
{
	char path[64], line[256];
	int64_t kb, peak = 0;
	FILE *in;
	int i;

	for (i = 0; i < JOB_DAEMONS; i++) {
		snprintf(path, sizeof(path), "/proc/%d/status",
		    (int)fleet->daemons[i]->pid);
		in = fopen(path, "r");
		cr_assert_not_null(in);
		while (fgets(line, sizeof(line), in) != NULL) {
			if (strncmp(line, "VmHWM:", 6) != 0)
				continue;
			kb = strtol(line + 6, NULL, 10);
			peak = kb * 1024 > peak ? kb * 1024 : peak;
		}
		fclose(in);
	}
	return peak;
}

/* A job that no worker may run, with texts of its own. */
static void
submit(int number)
{
	static char body[4 * TEXT_BYTES], text[TEXT_BYTES + 1];
	char path[64];

	memset(text, 't', TEXT_BYTES);
	snprintf(body, sizeof(body),
	    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,"
	    "\"requires\":\"a%d%s\",\"dataLocality\":\"b%d%s\","
	    "\"image\":\"c%d%s\"}]}",
	    number, text, number, text, number, text);
	snprintf(path, sizeof(path), "/blue/%016x", number);
	cr_assert_eq(
	    job_fleet_submit(fleet, path, body), 200, "job %d", number);
}

static bool
job_known(void *arg)
{
	char path[64];

	snprintf(path, sizeof(path), "/blue/%016x", *(int *)arg);
	return job_fleet_call(fleet, 0, "GET", path, NULL, NULL, 0) == 200;
}

/*
 * 1,500 such jobs took their owner to 731 MB of 260, and the next one to 1,064
 * MB while it took the pool over.
 */
Test(long_texts, jobs_cost_neither_their_owner_nor_the_next_one_their_texts)
{
	int64_t before = peak_bytes();
	int i;

	for (i = 1; i <= JOBS; i++)
		submit(i);
	cr_expect_lt(peak_bytes(), before + KEPT_MAX_BYTES, "%lld bytes",
	    (long long)(peak_bytes() - before));
	for (i = 0; i < JOB_DAEMONS; i++)
		proc_signal(fleet->daemons[i], SIGKILL);
	for (i = 0; i < JOB_DAEMONS; i++)
		proc_wait(fleet->daemons[i], LIMIT_MS);
	start_daemons();
	for (i = 1; i <= JOBS; i++)
		cr_expect(wait_until(job_known, &i, LIMIT_MS), "job %d", i);
	cr_expect_lt(peak_bytes(), before + KEPT_MAX_BYTES, "%lld bytes",
	    (long long)(peak_bytes() - before));
}
