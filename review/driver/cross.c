/*
 * Case 5: a start is held up, and arrives when its worker has crashed and is
 * back under the same id.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "driver.h"

#define JOB "00000000000000f1"
#define WORKERS 8
#define LATE_SPAN_MS 5500 /* for_s of the users' applied_late */
#define HELD_MS 4500 /* the users' 2 to 12 s */
#define STARTED_MS 5000
#define CRASH_AFTER_MS 2600 /* since the start was held up */
#define BACK_MS 500
#define WATCH_MS 15000
#define LINE_BYTES 512

/* Runs of the job's task at the same time, on workers that are up. */
static int
judge(struct fleet *f)
{
	char line[LINE_BYTES], what[16], worker[64], rest[LINE_BYTES];
	bool at_work[WORKERS] = {false};
	int64_t us, life;
	int i, k, twice = 0;
	FILE *in = fopen(f->platform_log, "re");

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		rest[0] = '\0';
		if (sscanf(line, "%" SCNd64 " %15s %63s %" SCNd64 " %511[^\n]",
			&us, what, worker, &life, rest) < 4 ||
		    strncmp(worker, "blue-", 5) != 0)
			continue;
		i = atoi(worker + 5) % WORKERS;
		if (strcmp(what, "gone") == 0)
			at_work[i] = false;
		if (strcmp(what, "gone") == 0 ||
		    strcmp(what, "late-start") == 0 ||
		    (strcmp(what, "born") == 0 && life > 1) ||
		    strstr(rest, JOB) != NULL)
			driver_note(f, "seen: %s", line);
		if (strstr(rest, JOB) == NULL)
			continue;
		if (strcmp(what, "end") == 0) {
			at_work[i] = false;
			for (k = 0; k < WORKERS; k++) {
				if (at_work[k])
					driver_note(f,
					    "blue-%d and blue-%d ran the task "
					    "together",
					    i, k);
			}
		}
		if (strcmp(what, "start") != 0)
			continue;
		for (k = 0; k < WORKERS; k++)
			twice += at_work[k];
		at_work[i] = true;
	}
	fclose(in);
	driver_note(
	    f, "starts while another run of the task was at work: %d", twice);
	return twice > 0 ? RULE_BROKEN : RULE_HELD;
}

/* Number of the pool's worker whose start was held up; -1: none. */
static int
held_worker(struct fleet *f)
{
	char line[LINE_BYTES];
	const char *at;
	int id = -1;
	FILE *in = fopen(f->platform_log, "re");

	while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
		at = strstr(line, " held-start blue-");
		if (at != NULL)
			id = atoi(at + strlen(" held-start blue-"));
	}
	if (in != NULL)
		fclose(in);
	return id;
}

static void
worker(struct fleet *f, int id, const char *what)
{
	struct answer_text a;
	char path[64];

	snprintf(path, sizeof(path), "/worker?id=%d&what=%s", id, what);
	driver_call(f->platform_port, "POST", path, "", 2000, &a);
	driver_note(f, "blue-%d: %s", id, what);
}

int
main(void)
{
	static const char *const args[] = {"--workers", "8", NULL};
	static const char job[] =
	    "{\"taskSpec\":\"takes:5000\",\"steps\":[{\"count\":1,"
	    "\"cpu\":500,\"memMb\":64,\"estimateMs\":5000}]}";
	struct answer_text a;
	struct fleet f;
	int64_t until_ms;
	char path[64];
	int64_t from_ms, orders;
	int id = 0;

	driver_start(&f, 3, PROXY_NONE, args);
	driver_sleep_ms(3000);
	from_ms = driver_now_ms();
	orders = driver_judge(&f, "orders");
	if (f.trouble) {
		snprintf(
		    path, sizeof(path), "/starts-late?count=1&ms=%d", HELD_MS);
		driver_call(f.platform_port, "POST", path, "", 2000, &a);
	}
	driver_call(f.daemons[0].front, "POST", "/seats/" JOB, job, 3000, &a);
	driver_note(&f, "POST /seats/" JOB " %s: %d", job, a.status);
	until_ms = driver_now_ms() + STARTED_MS;
	while (f.trouble && (id = held_worker(&f)) == -1) {
		if (driver_now_ms() > until_ms)
			driver_end(&f, COULD_NOT_RUN);
		driver_sleep_ms(5);
	}
	if (f.trouble) {
		driver_note(&f, "the start on blue-%d is held up", id);
		driver_sleep_ms(CRASH_AFTER_MS);
		worker(&f, id, "kill");
		driver_sleep_ms(BACK_MS);
		worker(&f, id, "return");
	}
	while (driver_now_ms() < from_ms + LATE_SPAN_MS)
		driver_sleep_ms(5);
	driver_note(&f, "orders to workers in %d ms: %" PRId64, LATE_SPAN_MS,
	    driver_judge(&f, "orders") - orders);
	driver_sleep_ms(WATCH_MS);
	driver_call(f.daemons[0].front, "GET", "/seats/" JOB, NULL, 3000, &a);
	driver_note(&f, "GET /seats/" JOB ": %d %.100s", a.status, a.body);
	driver_end(&f, judge(&f));
}
