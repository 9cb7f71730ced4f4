/*
 * Case 1: a worker has more ends than it lists in one answer while the owner of
 * its pool is replaced.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "driver.h"

#define TASKS 1000
#define JOB "00000000000000b1"
#define NAME_BYTES 64
#define LINE_BYTES 512
#define CALM_MS 3000 /* contactMs */
#define STARTED_MS 10000
#define COMPLETED_MS 60000

struct seen_task {
	bool running, done, noted; /* its end "done" is taken note of */
	char worker[NAME_BYTES]; /* of that end */
	int64_t end; /* number of that end */
	int again; /* starts after it */
};

static struct seen_task tasks[TASKS];

static int
index_of(const char *task)
{
	int k, step, index;

	if (strncmp(task, JOB ".", strlen(JOB) + 1) != 0 ||
	    sscanf(task + strlen(JOB) + 1, "%d.%d.%d", &k, &step, &index) != 3)
		return -1;
	return index < TASKS ? index : -1;
}

/* The worker forgets its ends up to this number: they are taken note of. */
static void
note_ends(struct fleet *f, const char *worker, int64_t number)
{
	int i, n = 0;

	for (i = 0; i < TASKS; i++) {
		if (!tasks[i].done || tasks[i].noted || tasks[i].end > number ||
		    strcmp(tasks[i].worker, worker) != 0)
			continue;
		tasks[i].noted = true;
		n++;
	}
	driver_note(f,
	    "seen: %s is told to forget its ends up to %" PRId64
	    ": %d tasks' ends \"done\" are taken note of",
	    worker, number, n);
}

/* Ends that were not taken note of by then do not count. */
static void
lease_lapsed(struct fleet *f, const char *worker)
{
	int i, n = 0;

	for (i = 0; i < TASKS; i++) {
		if (!tasks[i].done || tasks[i].noted ||
		    strcmp(tasks[i].worker, worker) != 0)
			continue;
		tasks[i].done = false;
		tasks[i].again = 0;
		n++;
	}
	if (n > 0)
		driver_note(
		    f, "seen: the lease of %s lapses, %d ends void", worker, n);
}

/* Reads the workers' log: starts and ends of the job's tasks, in order. */
static int
judge(struct fleet *f)
{
	char line[LINE_BYTES], what[16], worker[NAME_BYTES], rest[LINE_BYTES];
	char task[NAME_BYTES], how[16];
	int64_t us, life, number, run, fence;
	int i, starts = 0, done = 0, noted = 0, again = 0, at_once = 0;
	FILE *in = fopen(f->platform_log, "re");

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		if (sscanf(line, "%" SCNd64 " %15s %63s %" SCNd64 " %511[^\n]",
			&us, what, worker, &life, rest) < 4)
			continue;
		if (strcmp(what, "lapse") == 0)
			lease_lapsed(f, worker);
		if (strcmp(what, "ack") == 0 &&
		    sscanf(rest, "%" SCNd64, &number) == 1)
			note_ends(f, worker, number);
		if (strcmp(what, "start") == 0 &&
		    sscanf(rest, "%63s %" SCNd64 " %" SCNd64, task, &run,
			&fence) == 3 &&
		    (i = index_of(task)) >= 0) {
			starts++;
			at_once += tasks[i].running;
			tasks[i].running = true;
			tasks[i].again += tasks[i].done;
			if (tasks[i].done)
				driver_note(f,
				    "seen: %s starts run %" PRId64
				    " of task %s under fence %" PRId64
				    " after end %" PRId64 ", \"done\"",
				    worker, run, task, fence, tasks[i].end);
		}
		if (strcmp(what, "end") == 0 &&
		    sscanf(rest, "%" SCNd64 " %63s %" SCNd64 " %15s", &number,
			task, &run, how) == 4 &&
		    (i = index_of(task)) >= 0) {
			tasks[i].running = false;
			if (strcmp(how, "done") == 0 && !tasks[i].done) {
				tasks[i].done = true;
				tasks[i].noted = false;
				tasks[i].end = number;
				memcpy(tasks[i].worker, worker, NAME_BYTES);
			}
		}
	}
	fclose(in);
	for (i = 0; i < TASKS; i++) {
		done += tasks[i].done;
		noted += tasks[i].noted;
		again += tasks[i].noted ? tasks[i].again : 0;
	}
	driver_note(f,
	    "%d tasks, %d starts, %d ended \"done\", %d of these ends taken "
	    "note of, %d starts after such an end, %d starts beside another "
	    "run",
	    TASKS, starts, done, noted, again, at_once);
	return again + at_once > 0 ? RULE_BROKEN : RULE_HELD;
}

static void
wait_completed(struct fleet *f, int front)
{
	int64_t until_ms = driver_now_ms() + COMPLETED_MS;
	struct answer_text a;

	for (;;) {
		driver_call(front, "GET", "/seats/" JOB, NULL, 2000, &a);
		if (a.status == 200 && strstr(a.body, "completed") != NULL)
			break;
		if (driver_now_ms() > until_ms)
			break;
		driver_sleep_ms(100);
	}
	driver_note(f, "GET /seats/" JOB ": %d %s", a.status, a.body);
}

int
main(void)
{
	static const char *const args[] = {"--workers", "3", NULL};
	static const char job[] =
	    "{\"taskSpec\":\"takes:1500\",\"steps\":[{\"count\":1000,"
	    "\"cpu\":60,\"memMb\":64,\"estimateMs\":1500}]}";
	struct answer_text a;
	struct fleet f;
	int64_t until_ms;
	int owner, other;

	driver_start(&f, 3, PROXY_NONE, args);
	driver_call(f.platform_port, "POST", "/store-slow?ms=4", "", 2000, &a);
	driver_sleep_ms(CALM_MS);
	owner = driver_owner(&f, 0);
	other = owner == 0 ? 1 : 0;
	driver_call(
	    f.daemons[other].front, "POST", "/seats/" JOB, job, 3000, &a);
	driver_note(&f, "POST /seats/" JOB " %s: %d", job, a.status);
	if (a.status != 200)
		driver_end(&f, COULD_NOT_RUN);
	until_ms = driver_now_ms() + STARTED_MS;
	while (driver_judge(&f, "starts") < TASKS) {
		if (driver_now_ms() > until_ms)
			driver_end(&f, COULD_NOT_RUN);
		driver_sleep_ms(5);
	}
	driver_note(&f, "workers have begun %d tasks, %d have ended \"done\"",
	    (int)driver_judge(&f, "starts"), (int)driver_judge(&f, "done"));
	if (f.trouble) {
		driver_note(
		    &f, "SIGKILL to edge-%d, the pool's owner", owner + 1);
		driver_kill(&f, owner, SIGKILL);
	}
	wait_completed(&f, f.daemons[other].front);
	driver_sleep_ms(1000);
	driver_end(&f, judge(&f));
}
