/*
 * Not among the cases: an order for an upkeep is held up, and the controller
 * that gave it is killed.
 */
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "driver.h"

#define CONTROLLER_PARTITION 2 /* behind those of the two pools */
#define CAP 1 /* of the wave */
#define LATE_BY_MS 3600 /* the users' 2 to 12 s */
#define ORDERED_MS 10000
#define WAVE_MS 25000
#define LINE_BYTES 512

/* Upkeeps that began while CAP machines of the wave were down for theirs. */
static int
judge(struct fleet *f)
{
	char line[LINE_BYTES], worker[64], machine[64];
	int64_t us, life, token;
	int down, upkeeps = 0, beyond = 0;
	FILE *in = fopen(f->platform_log, "re");

	if (in == NULL)
		driver_end(f, COULD_NOT_RUN);
	while (fgets(line, sizeof(line), in) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		if (strstr(line, " order ") != NULL ||
		    strstr(line, " held-up ") != NULL ||
		    strstr(line, " late ") != NULL ||
		    strstr(line, " upkeep ") != NULL)
			driver_note(f, "seen: %s", line);
		if (sscanf(line,
			"%" SCNd64 " upkeep %63s %" SCNd64 " %63s %" SCNd64
			" %d",
			&us, worker, &life, machine, &token, &down) != 6)
			continue;
		upkeeps++;
		beyond += down >= CAP;
	}
	fclose(in);
	driver_note(f, "%d upkeeps, %d began while %d machine was down",
	    upkeeps, beyond, CAP);
	return beyond > 0 ? RULE_BROKEN : RULE_HELD;
}

int
main(void)
{
	static const char *const args[] = {"--workers", "2", NULL};
	static const char wave[] =
	    "{\"wave\":1,\"machines\":[\"m-green-0\",\"m-blue-0\"],"
	    "\"withinS\":26,\"cap\":1}";
	/* keeps both machines of the other pool busy for a while */
	static const char job[] =
	    "{\"taskSpec\":\"takes:1800\",\"steps\":[{\"count\":2,"
	    "\"cpu\":40000,\"memMb\":64,\"estimateMs\":1800}]}";
	struct answer_text a;
	char path[64];
	int64_t until_ms;
	struct fleet f;
	int controller, other;

	driver_start(&f, 2, PROXY_NONE, args);
	driver_sleep_ms(3000);
	controller = driver_owner(&f, CONTROLLER_PARTITION);
	if (controller == -1)
		driver_end(&f, COULD_NOT_RUN);
	other = (controller + 1) % f.daemon_count;
	if (f.trouble) {
		snprintf(path, sizeof(path), "/orders-late?count=1&ms=%d",
		    LATE_BY_MS);
		driver_call(f.platform_port, "POST", path, "", 3000, &a);
	}
	driver_call(f.daemons[other].front, "POST", "/crates/00000000000000e1",
	    job, 3000, &a);
	driver_note(&f, "POST /crates/00000000000000e1 %s: %d", job, a.status);
	driver_sleep_ms(200);
	driver_call(f.platform_port, "POST", "/put?topic=keyed.op&key=wave/1",
	    wave, 3000, &a);
	driver_note(&f, "op/wave/1 %s: %d", wave, a.status);
	until_ms = driver_now_ms() + ORDERED_MS;
	while (f.trouble && driver_judge(&f, "lateOrders") > 0) {
		if (driver_now_ms() > until_ms)
			driver_end(&f, COULD_NOT_RUN);
		driver_sleep_ms(5);
	}
	if (f.trouble) {
		driver_note(&f,
		    "an order is held up; SIGKILL to edge-%d, which gave it",
		    controller + 1);
		driver_kill(&f, controller, SIGKILL);
	}
	driver_sleep_ms(WAVE_MS);
	driver_end(&f, judge(&f));
}
