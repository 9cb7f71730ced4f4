/*
 * Case 2: the answers of the machines' service are lost while two machines have
 * their upkeep.
 */
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "driver.h"

#define JOB "00000000000000d1"
#define LOST_MS 5000 /* for_s of the users' cloud_down */
#define WAVE_MS 14000 /* until the wave is over by far */
#define FINISH_MS 14000 /* finish_s of the rule */
#define OWED_MS 3000 /* of the rule */
#define LINE_BYTES 512

/* What the workers of the pool saw; returns the job's starts. */
static int
judge(struct fleet *f)
{
	char line[LINE_BYTES];
	int starts = 0;
	FILE *in = fopen(f->platform_log, "re");

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		if (strstr(line, " order ") != NULL ||
		    strstr(line, " upkeep ") != NULL ||
		    (strstr(line, " born ") != NULL &&
			strstr(line, "m-blue") != NULL))
			driver_note(f, "seen: %s", line);
		if (strstr(line, " start ") != NULL &&
		    strstr(line, " " JOB ".") != NULL) {
			driver_note(f, "seen: %s", line);
			starts++;
		}
	}
	fclose(in);
	return starts;
}

static void
look(struct fleet *f, struct answer_text *a)
{
	driver_call(f->daemons[0].front, "GET", "/seats/" JOB, NULL, 3000, a);
	driver_note(f, "GET /seats/" JOB ": %d %.100s", a->status, a->body);
}

int
main(void)
{
	static const char *const args[] = {"--workers", "2", NULL};
	static const char wave[] =
	    "{\"wave\":1,\"machines\":[\"m-blue-0\",\"m-blue-1\"],"
	    "\"withinS\":20,\"cap\":2}";
	static const char job[] =
	    "{\"taskSpec\":\"takes:300\",\"steps\":[{\"count\":2,"
	    "\"cpu\":500,\"memMb\":64,\"estimateMs\":300}]}";
	struct answer_text a;
	int64_t from_ms, until_ms;
	struct fleet f;
	int starts;

	driver_start(&f, 3, PROXY_MACHINES, args);
	driver_sleep_ms(3000);
	from_ms = driver_now_ms();
	if (f.trouble) {
		driver_note(&f, "answers of the machines' service are lost");
		kill(f.machines_proxy, SIGUSR1);
	}
	driver_call(f.platform_port, "POST", "/put?topic=keyed.op&key=wave/1",
	    wave, 3000, &a);
	driver_note(&f, "op/wave/1 %s: %d", wave, a.status);
	while (driver_now_ms() < from_ms + LOST_MS)
		driver_sleep_ms(10);
	if (f.trouble) {
		driver_note(&f, "the machines' service answers again");
		kill(f.machines_proxy, SIGUSR2);
	}
	while (driver_now_ms() < from_ms + WAVE_MS)
		driver_sleep_ms(10);
	driver_call(f.daemons[0].front, "POST", "/seats/" JOB, job, 3000, &a);
	driver_note(&f, "POST /seats/" JOB " %s: %d", job, a.status);
	if (a.status != 200)
		driver_end(&f, COULD_NOT_RUN);
	until_ms = driver_now_ms() + FINISH_MS + OWED_MS;
	do {
		driver_sleep_ms(1000);
		look(&f, &a);
	} while (
	    strstr(a.body, "completed") == NULL && driver_now_ms() < until_ms);
	starts = judge(&f);
	driver_note(&f,
	    "the job's 2 tasks were started %d times within %d ms; machines "
	    "of its pool are up and run nothing",
	    starts, FINISH_MS + OWED_MS);
	driver_end(&f, starts == 0 ? RULE_BROKEN : RULE_HELD);
}
