/*
 * Case 3: a daemon is stopped as planned while the store is slow.  Requests
 * that it has handed on to the owner of their pool are with the owner when it
 * gives its last answers.
 */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "driver.h"

#define CLIENTS 60
#define FIRST_CLIENT_MS 2300 /* after the SIGTERM */
#define CLIENT_EVERY_MS 30
#define STORE_ANSWER_MS 240 /* 60 times the 4 ms of the users' sheet */
#define SLOW_MS 4500
#define GRACE_MS 6000
#define LINE_BYTES 512
#define ID_BYTES 17

struct client {
	char id[ID_BYTES];
	int line; /* a connection that is open from before */
	int status; /* of its only attempt; 0: no answer */
	int64_t begin_ms, sent_ms, answered_ms;
	int starts;
};

static struct client clients[CLIENTS];

static void *
run_client(void *arg)
{
	static const char job[] =
	    "{\"taskSpec\":\"takes:300\",\"steps\":[{\"count\":1,"
	    "\"cpu\":500,\"memMb\":64,\"estimateMs\":300}]}";
	struct client *c = arg;
	struct answer_text a;
	char path[64];

	while (driver_now_ms() < c->begin_ms)
		driver_sleep_ms(5);
	snprintf(path, sizeof(path), "/seats/%s", c->id);
	c->sent_ms = driver_now_ms();
	driver_call_on(c->line, "POST", path, job, 3000, &a);
	c->answered_ms = driver_now_ms();
	c->status = a.status;
	return NULL;
}

static void
count_starts(struct fleet *f)
{
	char line[LINE_BYTES], worker[64], task[64];
	FILE *in = fopen(f->platform_log, "re");
	int64_t us, life, run;
	int i;

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		if (sscanf(line,
			"%" SCNd64 " start %63s %" SCNd64 " %63s %" SCNd64, &us,
			worker, &life, task, &run) != 5)
			continue;
		for (i = 0; i < CLIENTS; i++)
			clients[i].starts +=
			    strncmp(task, clients[i].id, ID_BYTES - 1) == 0;
	}
	fclose(in);
}

/* Jobs that ran though their only attempt was rejected. */
static int
judge(struct fleet *f, int64_t from_ms)
{
	int i, rejected = 0, ran = 0;
	const struct client *c;
	bool reject;

	count_starts(f);
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		reject = c->status == 429 || c->status == 503;
		rejected += reject;
		ran += reject && c->starts > 0;
		driver_note(f,
		    "POST /seats/%s at %.3f s, answered with %d at %.3f s; its "
		    "task was started %d times",
		    c->id, (double)(c->sent_ms - from_ms) / 1000, c->status,
		    (double)(c->answered_ms - from_ms) / 1000, c->starts);
	}
	driver_note(f, "%d jobs, %d rejected with 429 or 503, %d of them ran",
	    CLIENTS, rejected, ran);
	return ran;
}

static void
open_lines(struct fleet *f, int daemon)
{
	struct answer_text a;
	int i;

	for (i = 0; i < CLIENTS; i++) {
		clients[i].line = driver_connect(f->daemons[daemon].front);
		driver_call_on(
		    clients[i].line, "GET", "/seats/", NULL, 2000, &a);
		if (a.status != 200)
			driver_end(f, COULD_NOT_RUN);
	}
}

int
main(void)
{
	static const char *const args[] = {"--workers", "3", NULL};
	pthread_t threads[CLIENTS];
	struct answer_text a;
	struct fleet f;
	int64_t from_ms;
	int owner, stopped, i;
	char path[64];

	driver_start(&f, 3, PROXY_NONE, args);
	driver_sleep_ms(2000);
	owner = driver_owner(&f, 0);
	stopped = (owner + 1) % 3;
	open_lines(&f, stopped);
	from_ms = driver_now_ms();
	if (f.trouble) {
		snprintf(
		    path, sizeof(path), "/store-slow?ms=%d", STORE_ANSWER_MS);
		driver_call(f.platform_port, "POST", path, "", 2000, &a);
		driver_note(&f,
		    "the store takes %d ms for an append; SIGTERM to edge-%d, "
		    "which does not own the pool",
		    STORE_ANSWER_MS, stopped + 1);
		driver_kill(&f, stopped, SIGTERM);
	}
	for (i = 0; i < CLIENTS; i++) {
		snprintf(
		    clients[i].id, ID_BYTES, "%016x", 0xf000U + (unsigned)i);
		clients[i].begin_ms =
		    from_ms + FIRST_CLIENT_MS + i * CLIENT_EVERY_MS;
		if (pthread_create(
			&threads[i], NULL, run_client, &clients[i]) != 0)
			driver_end(&f, COULD_NOT_RUN);
	}
	while (driver_now_ms() < from_ms + SLOW_MS)
		driver_sleep_ms(10);
	if (f.trouble)
		driver_call(
		    f.platform_port, "POST", "/store-slow?ms=0", "", 2000, &a);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(threads[i], NULL);
	while (driver_now_ms() < from_ms + GRACE_MS)
		driver_sleep_ms(10);
	driver_sleep_ms(4000);
	driver_end(&f, judge(&f, from_ms) > 0 ? RULE_BROKEN : RULE_HELD);
}
