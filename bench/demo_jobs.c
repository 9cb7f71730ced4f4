#include "demo_jobs.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job_fleet.h"

#define JOBS 60
#define CANCEL_EVERY 10 /* one in so many jobs lasts, and is cancelled */
#define KILL_AT 25 /* jobs handed in before a daemon is killed */
#define PAUSE_MS 40 /* between two jobs */
#define RETRY_MS 100
#define LIMIT_MS 30000

static const char ending[] =
    "{\"taskSpec\":\"work\",\"steps\":[{\"count\":3,\"cpu\":500,"
    "\"estimateMs\":60},{\"count\":2,\"cpu\":500,\"estimateMs\":60,"
    "\"after\":[0]}]}";
static const char lasting[] =
    "{\"taskSpec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":100,"
    "\"longRunning\":true,\"mayMiss\":1}]}";

static bool
is_lasting(int job)
{
	return job % CANCEL_EVERY == CANCEL_EVERY - 1;
}

static void
job_path(char path[64], int job)
{
	snprintf(path, 64, "/blue/%016x", job + 1);
}

/* The same request until it is answered with 200, at daemons that run. */
static bool
insist(struct job_fleet *f, const char *method, int job, const char *body)
{
	int64_t end = clock_ms() + LIMIT_MS;
	char path[64];
	int i;

	job_path(path, job);
	for (i = job; clock_ms() < end; i++) {
		if (proc_running(f->daemons[i % JOB_DAEMONS]) &&
		    job_fleet_call(
			f, i % JOB_DAEMONS, method, path, body, NULL, 0) == 200)
			return true;
		sleep_ms(RETRY_MS);
	}
	return false;
}

static bool
has_state(struct job_fleet *f, int job, const char *state)
{
	char path[64], text[128];

	job_path(path, job);
	return job_fleet_call(f, 0, "GET", path, NULL, text, sizeof(text)) ==
	    200 &&
	    strstr(text, state) != NULL;
}

static void
count_states(struct job_fleet *f, struct demo_jobs *d)
{
	int i;

	d->completed = d->cancelled = 0;
	for (i = 0; i < JOBS; i++) {
		d->completed += has_state(f, i, "\"completed\"");
		d->cancelled += has_state(f, i, "\"cancelled\"");
	}
	d->finished = d->completed + d->cancelled == JOBS;
}

static int
compare_ms(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Median of "after_ms" of the daemons' lines on jobs that have begun. */
static int64_t
start_p50_ms(const struct job_fleet *f)
{
	static const char begun[] = "msg=\"job has begun\"",
			  after[] = "after_ms=";
	int64_t ms[JOBS * JOB_DAEMONS];
	char *text, *line, *at;
	size_t n = 0;
	int i;

	for (i = 0; i < JOB_DAEMONS; i++) {
		text = proc_output(f->daemons[i]);
		for (line = text; line != NULL &&
		     (line = strstr(line, begun)) != NULL && n < JOBS;
		     line += strlen(begun)) {
			at = strstr(line, after);
			if (at != NULL)
				ms[n++] = atoll(at + strlen(after));
		}
		free(text);
	}
	qsort(ms, n, sizeof(ms[0]), compare_ms);
	return n > 0 ? ms[n / 2] : -1;
}

static bool
fleet_is_up(void *arg)
{
	struct job_fleet *f = arg;

	return job_fleet_ready(f, 0) && job_fleet_ready(f, 1) &&
	    job_fleet_owned(f);
}

void
demo_jobs_run(struct demo_jobs *d)
{
	struct job_fleet *f = job_fleet_new();
	int64_t end;
	int i;

	memset(d, 0, sizeof(*d));
	for (i = 0; i < JOB_DAEMONS; i++)
		job_fleet_start(f, i);
	if (!wait_until(fleet_is_up, f, LIMIT_MS))
		goto out;
	for (i = 0; i < JOBS; i++) {
		d->handed_in++;
		d->accepted +=
		    insist(f, "POST", i, is_lasting(i) ? lasting : ending);
		if (i == KILL_AT)
			proc_signal(f->daemons[1], SIGKILL);
		sleep_ms(PAUSE_MS);
	}
	for (i = 0; i < JOBS; i++) {
		if (is_lasting(i))
			insist(f, "DELETE", i, NULL);
	}
	end = clock_ms() + LIMIT_MS;
	do {
		sleep_ms(RETRY_MS);
		count_states(f, d);
	} while (!d->finished && clock_ms() < end);
	d->twice = job_fleet_judged(f, "twice");
	d->start_p50_ms = start_p50_ms(f);
out:
	job_fleet_free(f);
}
