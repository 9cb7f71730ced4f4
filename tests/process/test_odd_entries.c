/* Odd records among the workers' entries: daemons follow the others. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fixture.h"
#include "job_fleet.h"

#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define JOBS 3
#define WORKERS 8 /* of both pools; the first four are blue-0 to blue-3 */
#define VALUE_BYTES 32768
#define DEEP 10000 /* levels of nesting */
#define SETTLE_MS 1500 /* several reads of the workers' entries */

static struct job_fleet *fleet;
static char paths[64][64];
static size_t job_count;

static void
setup(void)
{
	fleet = job_fleet_new();
	job_count = 0;
	cr_assert(job_fleet_start_all(fleet, LIMIT_MS));
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

static void
platform(const char *path)
{
	cr_assert_eq(http_json(fleet->platform_port, "POST", path, NULL, NULL),
	    200, "%s", path);
}

/* A record of the workers' topic, byte by byte. */
static void
put_record(const void *data, size_t len, bool forget)
{
	char *request = malloc(len + 256), answer[256];
	int n = sprintf(request,
	    "POST /put-raw?topic=keyed.servers&forget=%d HTTP/1.1\r\n"
	    "Host: a\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n",
	    forget, len);

	memcpy(request + n, data, len);
	raw_exchange(fleet->platform_port, request, (size_t)n + len, answer,
	    sizeof(answer), 2000);
	cr_assert_not_null(strstr(answer, " 200 "), "answered: %s", answer);
	free(request);
}

static void
put_entry(const char *key, const char *value, bool forget)
{
	char *record = malloc(strlen(key) + strlen(value) + 2);
	size_t n =
	    (size_t)sprintf(record, "%c%s%s", (char)strlen(key), key, value);

	put_record(record, n, forget);
	free(record);
}

static void
submit_jobs(void)
{
	char *path;
	int i, status, tries;

	for (i = 0; i < JOBS; i++) {
		path = paths[job_count];
		snprintf(path, sizeof(paths[0]), "%s%016zx",
		    i % 2 == 0 ? "/blue/" : "/blue/green/", job_count + 1);
		job_count++;
		status = tries = 0;
		while (status != 200 && tries++ < 300) {
			status = job_fleet_call(fleet, tries % JOB_DAEMONS,
			    "POST", path,
			    "{\"taskSpec\":\"work\",\"steps\":[{\"count\":12,"
			    "\"cpu\":900},{\"count\":4,\"after\":[0],"
			    "\"requires\":\"a\"}]}",
			    NULL, 0);
			if (status != 200)
				sleep_ms(50);
		}
		cr_assert_eq(status, 200, "job %s: %d", path, status);
	}
}

static bool
jobs_completed(void *arg)
{
	char text[128] = "";
	size_t i;

	(void)arg;
	for (i = 0; i < job_count; i++) {
		if (job_fleet_call(fleet, i % JOB_DAEMONS, "GET", paths[i],
			NULL, text, sizeof(text)) != 200 ||
		    strstr(text, "\"completed\"") == NULL)
			return false;
	}
	return true;
}

static void
expect_jobs_run_once(void)
{
	int i;

	submit_jobs();
	cr_expect(wait_until(jobs_completed, NULL, LIMIT_MS));
	for (i = 0; i < JOB_DAEMONS; i++)
		cr_expect(proc_running(fleet->daemons[i]), "daemon %d", i);
	cr_expect_eq(job_fleet_judged(fleet, "twice"), 0);
}

/* How many lines of all daemons contain both texts. */
static int
count_lines(const char *what, const char *also)
{
	char *out, *line, *rest;
	int i, n = 0;

	for (i = 0; i < JOB_DAEMONS; i++) {
		out = rest = proc_output(fleet->daemons[i]);
		while ((line = strsep(&rest, "\n")) != NULL)
			n += strstr(line, what) != NULL &&
			    strstr(line, also) != NULL;
		free(out);
	}
	return n;
}

/* Reads of all entries from their beginning, caused by the record. */
static bool
entries_read_again(void *arg)
{
	static const char again[] = "offset is no longer available";
	const char *const *entry = arg;

	put_entry(entry[0], entry[1], true);
	return count_lines(again, "keyed.servers") >= JOB_DAEMONS;
}

TestSuite(odd_entries, .init = setup, .fini = teardown, .timeout = 120);

/* "numbered": each has a key of its own. */
static void
put_odd_entries(const char *name, bool numbered)
{
	static const char format[] =
	    "{\"service\":\"blue\",\"addr\":\"127.0.0.1:%s\",\"zone\":\"z\","
	    "\"state\":\"%s\",\"born\":%s,\"clockMs\":%s,\"remainingMs\":5,"
	    "\"capacity\":{\"cpu\":%s,\"memMb\":%s,\"gpu\":1},"
	    "\"labels\":[\"a\",\"r-0\"]}";
	static const char *const odd[][6] = {
	    {"70000", "ready", "7", "7", "8000", "16000"},
	    {"0", "ready", "7", "7", "8000", "16000"},
	    {"-1", "ready", "7", "7", "8000", "16000"},
	    {"8080", "resting", "7", "7", "8000", "16000"},
	    {"8080", "draining", "99999999999999999999", "7", "8000", "16000"},
	    {"8080", "draining", "7", "1e300", "8000", "16000"},
	    {"8080", "ready", "7", "7", "9223372036854775807", "16000"},
	    {"8080", "ready", "7", "7", "1e300", "16000"},
	    {"8080", "ready", "7", "7", "-8000", "16000"},
	    {"8080", "ready", "7", "7", "\"8000\"", "16000"},
	    {"8080", "ready", "7", "7", "8000", "99999999999999999999999"},
	};
	char *value = malloc(VALUE_BYTES), key[64];
	size_t i;

	snprintf(key, sizeof(key), "%s", name);
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		if (numbered)
			snprintf(key, sizeof(key), "%s-%zu", name, i);
		snprintf(value, VALUE_BYTES, format, odd[i][0], odd[i][1],
		    odd[i][2], odd[i][3], odd[i][4], odd[i][5]);
		put_entry(key, value, false);
	}
	put_entry(key, "\xff\xfe\x01{\"", false);
	memset(value, '[', DEEP);
	memset(value + DEEP, ']', DEEP);
	value[2 * DEEP] = '\0';
	put_entry(key, value, false);
	free(value);
}

static bool
odd_entry_logged(void *arg)
{
	(void)arg;
	return count_lines("invalid worker entry", "") > 0;
}

Test(odd_entries, odd_records_beside_live_workers_end_no_daemon)
{
	char key[257];

	put_odd_entries("odd", true);
	put_odd_entries("zz odd\r\nkey", false);
	memset(key + 1, 0xe9, 255);
	key[0] = '\xff';
	put_record(key, 256, false);
	put_record(key, 1, false);
	put_record("\x03"
		   "o\0x{}",
	    6, false);
	put_record("\0{}", 3, false);
	put_record("", 0, false);
	put_record("\x05"
		   "long",
	    5, false);
	cr_assert(wait_until(odd_entry_logged, NULL, LIMIT_MS));
	expect_jobs_run_once();
	proc_signal(fleet->daemons[0], SIGKILL);
	cr_assert_neq(proc_wait(fleet->daemons[0], LIMIT_MS), -1);
	job_fleet_start(fleet, 0);
	cr_assert(job_fleet_wait_serving(fleet, LIMIT_MS));
	expect_jobs_run_once();
	cr_expect_eq(count_lines("worker listed", "odd"), 0);
}

Test(odd_entries, an_odd_record_over_a_live_workers_entry_leaves_it_listed)
{
	static const char *odd[] = {"blue-3",
	    "{\"service\":\"nowhere\","
	    "\"addr\":\"127.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
	    "\"capacity\":{\"cpu\":8000}}"};
	char path[64], key[16];
	int i;

	for (i = 0; i < WORKERS; i++) {
		snprintf(path, sizeof(path), "/worker?id=%d&what=mute", i);
		platform(path);
	}
	for (i = 0; i < 3; i++) {
		snprintf(key, sizeof(key), "blue-%d", i);
		put_odd_entries(key, false);
	}
	cr_assert(wait_until(entries_read_again, odd, LIMIT_MS));
	sleep_ms(SETTLE_MS);
	cr_expect_eq(count_lines("worker's entry is dropped", ""), 0);
	expect_jobs_run_once();
}

Test(odd_entries, a_page_that_cannot_be_read_drops_no_worker)
{
	static const char *odd[] = {"odd-0", "{}"};

	platform("/store-odd?items=2&pages=4");
	cr_assert(wait_until(entries_read_again, odd, LIMIT_MS));
	sleep_ms(SETTLE_MS);
	cr_expect_eq(count_lines("worker's entry is dropped", ""), 0);
	expect_jobs_run_once();
}

static bool
entry_dropped(void *arg)
{
	return count_lines("worker's entry is dropped", arg) > 0;
}

Test(odd_entries, reads_that_cannot_be_decoded_do_not_end_the_following)
{
	char worker[] = "worker=blue-0";

	platform("/store-odd?reads=1000000");
	platform("/worker?id=0&what=kill");
	cr_expect(wait_until(entry_dropped, worker, LIMIT_MS));
	expect_jobs_run_once();
}

/* Its runs would count as ended, and their tasks be started again. */
Test(odd_entries, a_start_in_the_future_is_no_new_incarnation)
{
	static const char format[] =
	    "{\"service\":\"blue\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z\","
	    "\"state\":\"ready\",\"born\":4000000000000,\"clockMs\":7,"
	    "\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":1},"
	    "\"labels\":[\"a\",\"r-0\"]}";
	char value[512], key[16];
	int i;

	submit_jobs();
	snprintf(value, sizeof(value), format, fleet->platform_port);
	for (i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "blue-%d", i);
		put_entry(key, value, false);
	}
	sleep_ms(SETTLE_MS);
	expect_jobs_run_once();
	cr_expect_eq(count_lines("worker restarted", ""), 0);
}
