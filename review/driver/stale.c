/*
 * Case 4: the store turns the owner of a pool away.  Another daemon owns the
 * pool after the group's time to live; the one before goes on answering for it
 * until three seconds after its last confirmation.
 */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "driver.h"

#define JOBS_MAX 60 /* clients, each with one job */
#define CLIENT_EVERY_MS 40
#define CUT_MS 3500 /* shorter than the disruptions of the users' sheets */
#define FIRST_STEP_MS 9000 /* as in the job's text */
#define CANCEL_MS 3000 /* of the rule */
#define CALM_MS 3000 /* contactMs */
#define LINE_BYTES 512
#define PATH_BYTES 64
#define ID_BYTES 17

struct cancelled {
	char id[ID_BYTES];
	int status; /* of the DELETE; 0: none */
	int64_t answered_us;
};

static struct fleet fleet;
static struct cancelled jobs[JOBS_MAX];
static int lines[JOBS_MAX]; /* open connections to the owner */
static int other; /* daemon at which jobs are handed in */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* Starts later than CANCEL_MS after the cancelling was acknowledged. */
static int
judge(struct fleet *f)
{
	char line[LINE_BYTES], worker[64], task[64];
	FILE *in = fopen(f->platform_log, "re");
	int64_t us, life, run, fence;
	int i, late = 0;

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		if (sscanf(line,
			"%" SCNd64 " start %63s %" SCNd64 " %63s %" SCNd64
			" %" SCNd64,
			&us, worker, &life, task, &run, &fence) != 6)
			continue;
		for (i = 0; i < JOBS_MAX; i++) {
			if (jobs[i].id[0] == '\0' ||
			    strncmp(task, jobs[i].id, 16) != 0 ||
			    (jobs[i].status != 200 && jobs[i].status != 410) ||
			    us < jobs[i].answered_us + CANCEL_MS * 1000)
				continue;
			late++;
			driver_note(f,
			    "seen: %s starts task %s, run %" PRId64
			    ", fence %" PRId64 ", %.3f s after its DELETE was "
			    "answered with %d",
			    worker, task, run, fence,
			    (double)(us - jobs[i].answered_us) / 1e6,
			    jobs[i].status);
		}
	}
	fclose(in);
	return late;
}

/* A client: hands a job in at one daemon, and cancels it at another. */
static void *
client(void *arg)
{
	static const char job[] =
	    "{\"taskSpec\":\"takes:9000\",\"steps\":[{\"count\":1,"
	    "\"cpu\":500,\"memMb\":64,\"estimateMs\":9000},{\"count\":1,"
	    "\"cpu\":500,\"memMb\":64,\"estimateMs\":9000,\"after\":[0]}]}";
	struct cancelled *c = arg;
	int number = (int)(c - jobs), submitted;
	struct answer_text a;
	char path[PATH_BYTES], id[ID_BYTES];

	snprintf(id, sizeof(id), "%016x", 0xc000U + (unsigned)number);
	snprintf(path, sizeof(path), "/seats/%s", id);
	driver_call(fleet.daemons[other].front, "POST", path, job, 3000, &a);
	submitted = a.status;
	if (submitted == 200) {
		driver_call_on(lines[number], "DELETE", path, NULL, 3000, &a);
		c->status = a.status;
		c->answered_us = driver_now_ms() * 1000;
		memcpy(c->id, id, sizeof(id));
	}
	pthread_mutex_lock(&record_lock);
	driver_note(&fleet,
	    "POST %s at edge-%d: %d; then DELETE on an open connection to the "
	    "owner from before: %d",
	    path, other + 1, submitted, submitted == 200 ? a.status : 0);
	pthread_mutex_unlock(&record_lock);
	return NULL;
}

static void
open_lines(struct fleet *f, int owner)
{
	struct answer_text a;
	int i;

	for (i = 0; i < JOBS_MAX; i++) {
		lines[i] = driver_connect(f->daemons[owner].front);
		driver_call_on(lines[i], "GET", "/seats/", NULL, 2000, &a);
		if (a.status != 200)
			driver_end(f, COULD_NOT_RUN);
	}
}

static void
show_states(struct fleet *f)
{
	struct answer_text a;
	char path[PATH_BYTES];
	int i;

	for (i = 0; i < JOBS_MAX; i++) {
		if (jobs[i].status != 410)
			continue;
		snprintf(path, sizeof(path), "/seats/%.16s", jobs[i].id);
		driver_call(
		    f->daemons[other].front, "GET", path, NULL, 3000, &a);
		driver_note(f, "GET %s at edge-%d: %d %.100s", path, other + 1,
		    a.status, a.body);
	}
}

static int
count_status(int status)
{
	int i, n = 0;

	for (i = 0; i < JOBS_MAX; i++)
		n += jobs[i].status == status;
	return n;
}

/* Cuts the owner from the store until the group names another daemon. */
static void
cut_owner(struct fleet *f, int owner, int64_t until_ms)
{
	driver_note(
	    f, "edge-%d gets no answer of the store any more", owner + 1);
	kill(f->daemons[owner].proxy, SIGUSR1);
	do {
		driver_sleep_ms(10);
		other = driver_owner(f, 0);
	} while ((other == owner || other == -1) && driver_now_ms() < until_ms);
	if (other == owner || other == -1)
		driver_end(f, COULD_NOT_RUN);
	driver_note(f, "the group names edge-%d for the pool", other + 1);
}

int
main(void)
{
	static const char *const args[] = {"--workers", "3", NULL};
	struct fleet *f = &fleet;
	pthread_t clients[JOBS_MAX];
	int owner, late, count = 0, i;
	int64_t until_ms;

	driver_start(f, 3, PROXY_STORE, args);
	driver_sleep_ms(CALM_MS);
	owner = driver_owner(f, 0);
	other = (owner + 1) % 3;
	open_lines(f, owner);
	until_ms = driver_now_ms() + CUT_MS;
	if (f->trouble)
		cut_owner(f, owner, until_ms);
	while (count < JOBS_MAX && driver_now_ms() < until_ms) {
		if (pthread_create(
			&clients[count], NULL, client, &jobs[count]) != 0)
			driver_end(f, COULD_NOT_RUN);
		count++;
		driver_sleep_ms(CLIENT_EVERY_MS);
	}
	while (driver_now_ms() < until_ms)
		driver_sleep_ms(10);
	if (f->trouble) {
		kill(f->daemons[owner].proxy, SIGUSR2);
		pthread_mutex_lock(&record_lock);
		driver_note(f, "the store answers edge-%d again", owner + 1);
		pthread_mutex_unlock(&record_lock);
	}
	for (i = 0; i < count; i++)
		pthread_join(clients[i], NULL);
	driver_sleep_ms(FIRST_STEP_MS / 2);
	show_states(f);
	driver_sleep_ms(FIRST_STEP_MS);
	late = judge(f);
	driver_note(f,
	    "%d clients; DELETE of an accepted job answered with 200: %d, "
	    "410: %d, 503: %d, 504: %d; %d starts later than %d ms after 200 "
	    "or 410",
	    count, count_status(200), count_status(410), count_status(503),
	    count_status(504), late, CANCEL_MS);
	driver_end(f, late > 0 ? RULE_BROKEN : RULE_HELD);
}
