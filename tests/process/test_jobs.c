/* The scheduler of jobs as processes: two daemons, a stand-in platform. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "http_json.h"
#include "job_fleet.h"

#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define JOBS_MAX 32
#define PIPELINED_MS 300 /* both requests are read by then */

#define LEASE_MS 4000 /* of tasks */

static struct job_fleet *fleet;
static char paths[JOBS_MAX][64];
static size_t job_count;
static bool paused[JOB_DAEMONS]; /* a call to it would wait for its time-out */

static int
call(int daemon, const char *method, const char *path, const char *body,
    char *out, size_t size)
{
	return job_fleet_call(fleet, daemon, method, path, body, out, size);
}

static void
put(const char *topic, const char *key, const char *value)
{
	cr_assert_eq(job_fleet_put(fleet, topic, key, value), 200);
}

static bool
daemon_ready(void *arg)
{
	return job_fleet_ready(fleet, *(int *)arg);
}

static bool
pools_owned(void *arg)
{
	(void)arg;
	return job_fleet_owned(fleet);
}

/* The stand-in alone. */
static void
setup_platform(void)
{
	fleet = job_fleet_new();
	job_count = 0;
}

static void
setup(void)
{
	int i;

	setup_platform();
	for (i = 0; i < JOB_DAEMONS; i++)
		job_fleet_start(fleet, i);
	for (i = 0; i < JOB_DAEMONS; i++)
		cr_assert(wait_until(daemon_ready, &i, LIMIT_MS));
	cr_assert(wait_until(pools_owned, NULL, LIMIT_MS));
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

/* Hands a job in until it is acknowledged; at any daemon that runs. */
static void
submit(const char *prefix, const char *steps)
{
	char body[2048], *path = paths[job_count];
	int status = -1, tries = 0;

	snprintf(path, sizeof(paths[0]), "%s%016zx", prefix, job_count + 1);
	job_count++;
	snprintf(
	    body, sizeof(body), "{\"taskSpec\":\"work\",\"steps\":%s}", steps);
	while (status != 200 && tries++ < 300) {
		status = call(tries % JOB_DAEMONS, "POST", path, body, NULL, 0);
		if (status != 200)
			sleep_ms(50);
	}
	cr_assert_eq(status, 200, "job %s: %d", path, status);
}

static bool
has_state(const char *path, const char *state)
{
	char text[128], wanted[64];
	int i;

	snprintf(wanted, sizeof(wanted), "\"%s\"", state);
	for (i = 0; i < JOB_DAEMONS; i++) {
		if (proc_running(fleet->daemons[i]) && !paused[i] &&
		    call(i, "GET", path, NULL, text, sizeof(text)) == 200 &&
		    strstr(text, wanted) != NULL)
			return true;
	}
	return false;
}

static bool
all_completed(void *arg)
{
	size_t i;

	(void)arg;
	for (i = 0; i < job_count; i++) {
		if (!has_state(paths[i], "completed"))
			return false;
	}
	return true;
}

static int64_t
judged(const char *what)
{
	return job_fleet_judged(fleet, what);
}

/* One job of each kind of step that the users' pages know. */
static void
submit_every_kind(void)
{
	submit("/blue/", "[{\"count\":3,\"cpu\":500,\"estimateMs\":60}]");
	submit("/blue/",
	    "[{\"count\":2,\"cpu\":500},{\"count\":2,\"cpu\":500,"
	    "\"after\":[0]},{\"count\":1,\"after\":[0,1]}]");
	submit("/blue/", "[{\"count\":4,\"cpu\":900,\"gang\":true}]");
	submit("/blue/",
	    "[{\"count\":3,\"cpu\":100,\"sameRack\":true,"
	    "\"dataLocality\":\"r-1\"}]");
	submit("/blue/",
	    "[{\"count\":2,\"cpu\":100,\"requires\":\"a\","
	    "\"antiAffinity\":1,\"checkpointing\":true}]");
	submit("/blue/", "[{\"count\":1,\"gpu\":1,\"speculative\":true}]");
	submit("/blue/green/", "[{\"count\":5,\"cpu\":300,\"memMb\":10}]");
	submit("/blue/green/",
	    "[{\"count\":2,\"cpu\":300,\"fills\":true,\"image\":\"x\"}]");
}

TestSuite(jobs, .init = setup, .fini = teardown, .timeout = 120);

Test(jobs, every_kind_of_step_is_completed_and_runs_once)
{
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("twice"), 0);
	cr_expect_eq(judged("starts"), 3 + 5 + 4 + 3 + 2 + 1 + 5 + 2);
	cr_expect_gt(judged("advised"), 0);
}

Test(jobs, a_killed_daemon_loses_and_repeats_nothing)
{
	int i;

	submit_every_kind();
	proc_signal(fleet->daemons[1], SIGKILL);
	cr_assert_neq(proc_wait(fleet->daemons[1], LIMIT_MS), -1);
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	job_fleet_start(fleet, 1);
	i = 1;
	cr_assert(wait_until(daemon_ready, &i, LIMIT_MS));
	proc_signal(fleet->daemons[0], SIGKILL);
	cr_assert_neq(proc_wait(fleet->daemons[0], LIMIT_MS), -1);
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("twice"), 0);
}

Test(jobs, a_planned_stop_hands_pools_over)
{
	submit_every_kind();
	proc_signal(fleet->daemons[0], SIGTERM);
	submit_every_kind();
	cr_expect_eq(proc_wait(fleet->daemons[0], LIMIT_MS), 0);
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("twice"), 0);
}

/*
 * A request that waits at the end of a stop for an owner that does not answer.
 * It is handed in once the pools have left, long before the end.
 */
Test(jobs, a_planned_stop_answers_what_it_cannot_serve)
{
	int status;

	proc_signal(fleet->daemons[0], SIGTERM);
	sleep_ms(1000);
	proc_signal(fleet->daemons[1], SIGSTOP);
	status = call(0, "POST", "/blue/00000000000000ee",
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}", NULL, 0);
	cr_expect(status == 503 || status == 504, "%d", status);
	cr_expect_eq(proc_wait(fleet->daemons[0], LIMIT_MS), 0);
	proc_signal(fleet->daemons[1], SIGCONT);
}

#define STOP_CALLERS 28
#define STOP_CALLERS_FROM_MS 2200 /* after the signal: it ends when idle */
#define STOP_CALLER_EVERY_MS 70

static int
read_status(int fd)
{
	char text[256];
	ssize_t n = recv(fd, text, sizeof(text) - 1, 0);
	int status = -1;

	if (n > 0) {
		text[n] = '\0';
		sscanf(text, "HTTP/1.1 %d", &status);
	}
	return status;
}

/* A connection that has carried a request, and is kept open. */
static int
open_connection(int port)
{
	static const char request[] =
	    "GET /blue/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
	int fd = raw_connect(port);

	cr_assert_neq(fd, -1);
	cr_assert_eq(send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL),
	    sizeof(request) - 1);
	cr_assert_eq(read_status(fd), 200);
	return fd;
}

/* Sends a job of this number on an open connection. */
static void
send_job(int fd, size_t number, const char *body)
{
	char request[2600];
	int n;

	n = snprintf(request, sizeof(request),
	    "POST /blue/%016zx HTTP/1.1\r\nHost: jobs.example\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    number, strlen(body), body);
	cr_assert_eq(send(fd, request, (size_t)n, MSG_NOSIGNAL), n);
}

/*
 * Requests that are with the pool's owner when a stopping daemon gives its last
 * answers. They got 503, and their jobs were stored and ran.
 */
Test(jobs, a_planned_stop_rejects_no_job_that_is_with_its_owner)
{
	const char *slow = "/store-slow?ms=400", *usual = "/store-slow?ms=0";
	const char *job = "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}";
	int fds[STOP_CALLERS], status, unknown = 0, i;
	char path[64];

	for (i = 0; i < STOP_CALLERS; i++)
		fds[i] = open_connection(fleet->callers_port[0]);
	proc_signal(fleet->daemons[0], SIGTERM);
	sleep_ms(STOP_CALLERS_FROM_MS);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", slow, "", NULL), 200);
	for (i = 0; i < STOP_CALLERS; i++) {
		send_job(fds[i], 0xf000 + (size_t)i, job);
		sleep_ms(STOP_CALLER_EVERY_MS);
	}
	cr_expect_eq(proc_wait(fleet->daemons[0], LIMIT_MS), 0);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", usual, "", NULL), 200);
	sleep_ms(1000); /* the owner has stored what it was sent */
	for (i = 0; i < STOP_CALLERS; i++) {
		status = read_status(fds[i]);
		close(fds[i]);
		unknown += status == 504;
		if (status != 503 && status != 429)
			continue;
		snprintf(path, sizeof(path), "/blue/%016x", 0xf000 + i);
		cr_expect_eq(
		    call(1, "GET", path, NULL, NULL, 0), 410, "%s ran", path);
	}
	cr_expect_gt(unknown, 0, "none was under way at the end");
}

/*
 * A paused process goes on where it stopped, with terms that have run out: what
 * its successor has done meanwhile is neither started nor stopped again.
 */
Test(jobs, a_paused_owner_acts_on_no_term_that_has_run_out)
{
	int64_t starts;

	submit_every_kind();
	proc_signal(fleet->daemons[0], SIGSTOP);
	paused[0] = true;
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	starts = judged("starts");
	proc_signal(fleet->daemons[0], SIGCONT);
	paused[0] = false;
	cr_assert(wait_until(pools_owned, NULL, LIMIT_MS));
	sleep_ms(1000); /* orders that it had begun arrive by then */
	cr_expect_eq(judged("starts"), starts);
	cr_expect_eq(judged("twice"), 0);
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("twice"), 0);
}

Test(jobs, malformed_messages_end_no_daemon)
{
	static const char *const requests[] = {"\r\n\r\n",
	    "GET / HTTP/9.9\r\n\r\n", "\xff\xff\xff\xff\x00\x00\x00\x01",
	    "POST /submit HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
	    "\x93\xc1\xff\xdf\xff",
	    "POST /cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
	    "\x84\xa4pool",
	    "POST /blue/x HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"};
	const int *ports[] = {
	    fleet->callers_port, fleet->ready_port, fleet->peer_port};
	char out[1024];
	size_t i, k;
	int d;

	for (d = 0; d < JOB_DAEMONS; d++)
		for (k = 0; k < sizeof(ports) / sizeof(ports[0]); k++)
			for (i = 0; i < sizeof(requests) / sizeof(requests[0]);
			     i++)
				raw_exchange(ports[k][d], requests[i],
				    strlen(requests[i]), out, sizeof(out), 100);
	/* what operators, and workers, may have written */
	put("keyed.op", "wave/nan", "{\"machines\":7,\"cap\":\"x\"}");
	put("keyed.duties", "fence", "[[[");
	put("keyed.servers", "i-odd", "{\"id\":3,\"capacity\":[]}");
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	for (d = 0; d < JOB_DAEMONS; d++)
		cr_expect(proc_running(fleet->daemons[d]), "daemon %d", d);
	cr_expect_eq(judged("twice"), 0);
}

Test(jobs, a_store_that_is_away_refuses_new_jobs_and_loses_none)
{
	int status;

	submit_every_kind();
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", "/store-down", "", NULL),
	    200);
	sleep_ms(1500);
	status = call(0, "POST", "/blue/00000000000000ff",
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}", NULL, 0);
	cr_expect(
	    status == 503 || status == 429 || status == 504, "%d", status);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", "/store-up", "", NULL),
	    200);
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("twice"), 0);
}

static bool
not_ready(void *arg)
{
	return !daemon_ready(arg);
}

/*
 * A store that turns a daemon away says 429 to everything: that is no answer,
 * and callers must not be kept there.
 */
Test(jobs, a_daemon_that_the_store_turns_away_sends_callers_elsewhere)
{
	const char *busy = "/store-down?status=429";
	int i = 0;

	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", busy, "", NULL), 200);
	cr_expect(wait_until(not_ready, &i, LIMIT_MS));
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", "/store-up", "", NULL),
	    200);
	cr_expect(wait_until(daemon_ready, &i, LIMIT_MS));
}

/*
 * Answers of the store that are lost: each append waited for its time-out, and
 * callers for 2.5 s.  A repeat under the same number is taken once.
 */
Test(jobs, answers_of_the_store_that_are_lost_keep_no_caller_waiting)
{
	static const int lost_tries[] = {2, 8}; /* of each append */
	char path[64];
	size_t i;

	for (i = 0; i < 4; i++) {
		snprintf(path, sizeof(path), "/store-lose?tries=%d",
		    lost_tries[i / 2]);
		cr_assert_eq(
		    http_json(fleet->platform_port, "POST", path, "", NULL),
		    200);
		snprintf(path, sizeof(path), "/blue/%016zx", 700 + i);
		cr_expect_eq(
		    call((int)(i % 2), "POST", path,
			"{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}", NULL,
			0),
		    200);
	}
	cr_expect_eq(judged("twice"), 0);
}

/* Sum of a counter over all daemons. */
static int64_t
counter_sum(const char *name)
{
	struct answer *a = NULL;
	int64_t sum = 0;
	char line[128];
	const char *at;
	int i;

	snprintf(line, sizeof(line), "\nmimosalead_%s ", name);
	for (i = 0; i < JOB_DAEMONS; i++) {
		cr_assert_eq(http_raw(fleet->peer_port[i], "GET", "/metrics",
				 NULL, NULL, &a),
		    200);
		buf_append(a->body, "", 1);
		at = strstr((const char *)a->body->data, line);
		cr_assert_not_null(at, "no %s", name);
		sum += strtoll(at + strlen(line), NULL, 10);
		answer_unref(a);
	}
	return sum;
}

/*
 * An attempt at the owner ended after 700 ms, just before its answer, and began
 * again: a caller waited for the second one.
 */
Test(jobs, a_slow_store_makes_no_second_attempt_at_an_owner_that_is_alive)
{
	const char *slow = "/store-slow?ms=900", *usual = "/store-slow?ms=0";
	int64_t attempts = counter_sum("forwarded_total");
	char path[64];
	int i;

	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", slow, "", NULL), 200);
	for (i = 0; i < JOB_DAEMONS; i++) { /* one of them is not the owner */
		snprintf(path, sizeof(path), "/blue/%016x", 800 + i);
		cr_expect_eq(
		    call(i, "POST", path,
			"{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}", NULL,
			0),
		    200);
	}
	attempts = counter_sum("forwarded_total") - attempts;
	cr_expect_geq(counter_sum("owner_queries_total"), 1);
	cr_expect_eq(attempts, 1 + counter_sum("owner_queries_total"));
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", usual, "", NULL), 200);
	cr_expect_eq(judged("twice"), 0);
}

/* One caller's job with a text of 2,000 bytes; the socket of its answer. */
static int
send_large_job(size_t number)
{
	char body[2300];
	int fd = raw_connect(fleet->callers_port[0]);

	cr_assert_neq(fd, -1);
	snprintf(body, sizeof(body),
	    "{\"taskSpec\":\"%02000zu\",\"steps\":"
	    "[{\"count\":1,\"estimateMs\":60}]}",
	    number);
	send_job(fd, number, body);
	return fd;
}

/*
 * The store refuses an append over its limit whole.  What had gathered while an
 * append was under way went out as one body, was refused, and was sent again
 * for ever: the pool took no job any more.
 */
Test(jobs, jobs_that_come_at_once_are_stored_within_the_stores_limits)
{
	const char *slow = "/store-slow?ms=100";
	int fds[JOBS_MAX], i;
	char out[512];
	ssize_t n;

	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", slow, "", NULL), 200);
	for (i = 0; i < JOBS_MAX; i++)
		fds[i] = send_large_job((size_t)i + 1);
	for (i = 0; i < JOBS_MAX; i++) {
		n = recv(fds[i], out, sizeof(out) - 1, 0);
		cr_assert_gt(n, 0);
		out[n] = '\0';
		cr_expect(strstr(out, " 200 ") != NULL, "%s", out);
		close(fds[i]);
	}
	cr_expect_eq(judged("unreadable"), 0);
}

/*
 * The same bytes were sent for ever. The term ends, and the next one begins
 * from what is stored.
 */
Test(jobs, an_append_that_the_store_cannot_read_stops_nothing_behind_it)
{
	const char *garble = "/store-garble?appends=1";

	submit("/blue/", "[{\"count\":2,\"cpu\":500}]");
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", garble, "", NULL), 200);
	submit("/blue/", "[{\"count\":2,\"cpu\":500}]");
	submit("/blue/", "[{\"count\":2,\"cpu\":500}]");
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
	cr_expect_eq(judged("unreadable"), 1);
	cr_expect_eq(judged("twice"), 0);
}

/* It is refused at once: no record of the store would hold it. */
Test(jobs, a_job_that_no_record_holds_is_refused)
{
	char body[9000];

	snprintf(body, sizeof(body),
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}],\"more\":\"%"
	    "08000d\"}",
	    0);
	cr_expect_eq(
	    call(0, "POST", "/blue/00000000000000aa", body, NULL, 0), 400);
	cr_expect_eq(judged("unreadable"), 0);
}

Test(jobs, a_lasting_job_runs_until_it_is_cancelled)
{
	char text[128];
	int tries = 0;

	cr_assert_eq(call(0, "POST", "/blue/00000000000000aa",
			 "{\"taskSpec\":\"lasts\",\"steps\":[{\"count\":2,"
			 "\"cpu\":100,\"longRunning\":true,\"mayMiss\":1}]}",
			 NULL, 0),
	    200);
	while (!has_state("/blue/00000000000000aa", "running") && tries++ < 100)
		sleep_ms(50);
	cr_expect(has_state("/blue/00000000000000aa", "running"));
	cr_expect_eq(
	    call(1, "DELETE", "/blue/00000000000000aa", NULL, NULL, 0), 200);
	cr_expect(has_state("/blue/00000000000000aa", "cancelled"));
	cr_expect_eq(
	    call(0, "GET", "/blue/00000000000000ab", NULL, text, sizeof(text)),
	    410);
	cr_expect_eq(
	    call(0, "DELETE", "/blue/00000000000000ab", NULL, NULL, 0), 410);
}

/* The term was claimed, and nobody renewed leases until entries were read. */
Test(jobs, lasting_tasks_go_on_where_a_new_owner_cannot_read_entries)
{
	const char *away = "/store-part?topic=keyed.servers";
	int64_t starts;
	int i;

	cr_assert_eq(call(0, "POST", "/blue/00000000000000ac",
			 "{\"taskSpec\":\"lasts\",\"steps\":[{\"count\":3,"
			 "\"cpu\":100,\"longRunning\":true,\"mayMiss\":1}]}",
			 NULL, 0),
	    200);
	for (i = 0; judged("starts") < 3 && i < 100; i++)
		sleep_ms(50);
	starts = judged("starts");
	cr_assert_geq(starts, 3);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", away, "", NULL), 200);
	for (i = 0; i < JOB_DAEMONS; i++) {
		proc_signal(fleet->daemons[i], SIGKILL);
		cr_assert_neq(proc_wait(fleet->daemons[i], LIMIT_MS), -1);
		job_fleet_start(fleet, i);
	}
	sleep_ms(LEASE_MS + 2000);
	cr_expect_eq(judged("starts"), starts);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", "/store-up", "", NULL),
	    200);
	sleep_ms(2000);
	cr_expect_eq(judged("starts"), starts);
	cr_expect_eq(judged("twice"), 0);
}

/* It came before the signal was caught, and ended the daemon. */
Test(jobs, a_reload_signal_while_settings_are_read_ends_no_daemon)
{
	char path[256];
	const char *argv[] = {"schedule", "-c", path, NULL};
	struct proc *p;

	snprintf(path, sizeof(path), "%s/slow-settings", fleet->procs->dir);
	cr_assert_eq(mkfifo(path, 0600), 0); /* read when somebody writes */
	p = proc_start(fleet->procs, "early", "mimosalead", argv);
	cr_assert_not_null(p);
	sleep_ms(300);
	proc_signal(p, SIGHUP);
	sleep_ms(300);
	cr_expect(proc_running(p));
	proc_signal(p, SIGKILL);
	cr_expect_neq(proc_wait(p, LIMIT_MS), -1);
}

Test(jobs, a_wave_of_upkeep_is_carried_out)
{
	struct json_object *o = NULL;
	int tries = 0;

	put("keyed.op", "wave/7",
	    "{\"wave\":7,\"machines\":[\"m-blue-0\",\"m-green-1\","
	    "\"m-blue-2\"],\"withinS\":20,\"cap\":1}");
	while (judged("upkeeps") < 3 && tries++ < 400)
		sleep_ms(50);
	cr_expect_geq(judged("upkeeps"), 3);
	json_object_put(o);
}

Test(jobs, bad_input_is_refused_at_once_and_stores_nothing)
{
	static const char *const bodies[] = {"", "[]", "{", "{\"steps\":[]}",
	    "{\"steps\":[{\"count\":0}]}", "{\"steps\":[{\"count\":-1}]}",
	    "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
	    "{\"steps\":[{\"count\":1,\"after\":[-1]}]}",
	    "{\"steps\":[{\"count\":1,\"cpu\":-5}]}",
	    "{\"taskSpec\":7,\"steps\":[{\"count\":1}]}",
	    "{\"taskSpec\":\"a\\ud83c\",\"steps\":[{\"count\":1}]}",
	    "{\"steps\":[{\"count\":99999999}]}"};
	char path[64], text[256];
	size_t i;

	for (i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		snprintf(path, sizeof(path), "/blue/%016zx", 500 + i);
		cr_expect_eq(call((int)(i % 2), "POST", path, bodies[i], text,
				 sizeof(text)),
		    400, "body %zu: %s", i, text);
		cr_expect(strstr(text, "error") != NULL, "%s", text);
		cr_expect_eq(call(0, "GET", path, NULL, NULL, 0), 410);
	}
	cr_expect_eq(call(0, "POST", "/blue/xyz", "{}", NULL, 0), 404);
	cr_expect_eq(call(0, "GET", "/nowhere/", NULL, NULL, 0), 404);
	put("keyed.servers", "broken", "{\"service\":7}");
	put("keyed.servers", "worse", "\x01\x02");
	submit_every_kind();
	cr_assert(wait_until(all_completed, NULL, LIMIT_MS));
}

/* "pool=NAME fence=N" of each take-over that a daemon has logged. */
static size_t
taken_fences(struct proc *p, char (*list)[64], size_t room)
{
	char *text = proc_output(p), *line, *end, *save = NULL;
	size_t n = 0;

	for (line = strtok_r(text, "\n", &save); line != NULL && n < room;
	     line = strtok_r(NULL, "\n", &save)) {
		line = strstr(line, "msg=\"pool taken over\" ");
		if (line == NULL)
			continue;
		line += strlen("msg=\"pool taken over\" ");
		end = strstr(line, " jobs=");
		snprintf(list[n++], sizeof(*list), "%.*s",
		    end != NULL ? (int)(end - line) : 0, line);
	}
	free(text);
	return n;
}

static bool
both_took_over(void *arg)
{
	char list[16][64];
	int i;

	(void)arg;
	for (i = 0; i < JOB_DAEMONS; i++) {
		if (taken_fences(fleet->daemons[i], list, 16) == 0)
			return false;
	}
	return true;
}

/* The first daemon owns every pool. */
static bool
first_took_all(void *arg)
{
	char list[16][64];

	(void)arg;
	return taken_fences(fleet->daemons[0], list, 16) >= 2;
}

/* True where "later" follows "first" in what a daemon has said. */
static bool
said_after(struct proc *p, const char *first, const char *later)
{
	char *text = proc_output(p);
	const char *at = strstr(text, first);
	bool ret = at != NULL && strstr(at, later) != NULL;

	free(text);
	return ret;
}

/*
 * A daemon that stops gave its idle pool up and stayed in the group until its
 * busy one had nothing to write any more: the group dealt the idle one back to
 * it, each half second, and nobody owned it.
 */
Test(claims, a_daemon_that_stops_is_dealt_no_pool_again, .init = setup_platform,
    .fini = teardown, .timeout = 60)
{
	const char *slow = "/store-slow?ms=1500";
	int i = 0;

	job_fleet_start(fleet, 0);
	cr_assert(wait_until(daemon_ready, &i, LIMIT_MS));
	cr_assert(wait_until(first_took_all, NULL, LIMIT_MS));
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", slow, "", NULL), 200);
	call(0, "POST", "/blue/00000000000000cc",
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}", NULL, 0);
	proc_signal(fleet->daemons[0], SIGTERM);
	cr_expect_eq(proc_wait(fleet->daemons[0], LIMIT_MS), 0);
	cr_expect(said_after(fleet->daemons[0], "msg=\"planned stop begins\"",
	    "why=planned-stop"));
	cr_expect_not(
	    said_after(fleet->daemons[0], "msg=\"planned stop begins\"",
		"msg=\"the group deals this pool\""));
}

/*
 * Two daemons claimed a new pool at the same time under the same epoch and
 * number: the store took the second for a repeat of the first and told both
 * that they owned it.  Here the group deals everything to everyone.
 */
Test(claims, a_term_has_one_owner_however_claims_meet, .init = setup_platform,
    .fini = teardown, .timeout = 60)
{
	char fences[JOB_DAEMONS][16][64];
	size_t n[JOB_DAEMONS], i, k;
	const char *slow = "/store-slow?ms=100", *all = "/group-all";

	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", slow, "", NULL), 200);
	cr_assert_eq(
	    http_json(fleet->platform_port, "POST", all, "", NULL), 200);
	for (i = 0; i < JOB_DAEMONS; i++)
		job_fleet_start(fleet, (int)i);
	cr_assert(wait_until(both_took_over, NULL, LIMIT_MS));
	for (i = 0; i < JOB_DAEMONS; i++)
		n[i] = taken_fences(fleet->daemons[i], fences[i], 16);
	for (i = 0; i < n[0]; i++) {
		for (k = 0; k < n[1]; k++)
			cr_expect_str_neq(fences[0][i], fences[1][k]);
	}
}

/*
 * Bytes behind a request whose answer is on its way: the library says that its
 * body is in again and again, and served nobody else.
 */
Test(standin, a_second_request_behind_the_first_stops_nobody_else,
    .init = setup_platform, .fini = teardown)
{
	static const char request[] = "POST /store-up HTTP/1.1\r\nHost: a\r\n"
				      "Content-Length: 1\r\n\r\n1";
	char two[2 * sizeof(request)], out[512];

	snprintf(two, sizeof(two), "%s%s", request, request);
	raw_exchange(fleet->platform_port, two, strlen(two), out, sizeof(out),
	    PIPELINED_MS);
	cr_expect_eq(
	    http_json(fleet->platform_port, "GET", "/judge", NULL, NULL), 200);
}

/* A route was left out for its long name, and its requests answered 404. */
Test(jobs, a_route_with_long_texts_serves_at_every_daemon)
{
	char prefix[400], path[440], routes[1024];
	const char *body =
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":2,\"cpu\":100}]}";
	int i, status = -1, tries;

	memset(prefix, 'p', 300);
	prefix[300] = '\0';
	snprintf(routes, sizeof(routes),
	    ",{\"name\":\"northern-academy-cosmetology-seat-reservation-checks"
	    "\",\"host\":\"jobs.example\",\"pathPrefix\":\"/%s/\","
	    "\"service\":\"blue\",\"maxAttempts\":3,\"stretch\":1.6}",
	    prefix);
	cr_assert_eq(job_fleet_configure(fleet, 20, routes), 200);
	for (i = 0; i < JOB_DAEMONS; i++) {
		snprintf(path, sizeof(path), "/%s/%016x", prefix, 0xa1 + i);
		for (tries = 0; status != 200 && tries < 100; tries++) {
			status = call(i, "POST", path, body, NULL, 0);
			sleep_ms(50);
		}
		cr_expect_eq(status, 200, "daemon %d: %d", i, status);
		tries = 0;
		while (!has_state(path, "completed") && tries++ < 100)
			sleep_ms(50);
		cr_expect(has_state(path, "completed"));
		status = -1;
	}
}
