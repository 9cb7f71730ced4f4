/*
 * Plays one script against a pool of jobs in virtual time and prints what
 * workers, callers and the policy see.  "job_script FILE" prints what
 * tests/run.sh compares with the .expected file.  See tests/jobs/README.md for
 * the commands.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobs_world.h"
#include "job_spec_wire.h"

#define LINE_BYTES 2048
#define JOBS_MAX 32

struct script {
	struct jobs_world *world;
	struct queue_settings terms;
	char ids[JOBS_MAX][JOB_ID_BYTES];
	size_t job_count;
	int64_t first_ms; /* times are printed from here on */
};

static void
print_trace(void *arg, int64_t ms, const char *line)
{
	const struct script *s = arg;

	printf("  %5lld %s\n", (long long)(ms - s->first_ms), line);
}

/* Value of "key=" among the words of a command, or "missing". */
static int64_t
number(const char *line, const char *key, int64_t missing)
{
	char text[64];
	const char *at;

	snprintf(text, sizeof(text), " %s=", key);
	at = strstr(line, text);
	return at == NULL ? missing : atoll(at + strlen(text));
}

static void
do_workers(struct script *s, const char *line)
{
	struct jobs_world_opts o = {
	    .seed = 1,
	    .workers = (int)number(line, "count", 4),
	    .cpu = number(line, "cpu", 4000),
	    .memory_mb = number(line, "memory", 4000),
	    .accelerators = number(line, "accelerators", 0),
	    .link_ms = 2,
	    .store_ms = 4,
	    .fail = (double)number(line, "fail", 0) / 100,
	    .guarded = number(line, "guarded", 1) != 0,
	    .crash_after_ms = 10,
	    .revive_ms = 3000,
	    .allowed_from = (int)number(line, "allowed_from", 0),
	    .policy_ms = (int)number(line, "policy", 0),
	    .trace = print_trace,
	    .trace_arg = s,
	};

	s->world = jobs_world_new(&o);
	s->first_ms = jobs_world_ms(s->world);
}

static void
do_queue(struct script *s, const char *line)
{
	struct queue_settings *t = &s->terms;

	memset(t, 0, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "queue-%d",
	    (int)number(line, "priority", 0));
	t->priority = (int)number(line, "priority", 0);
	t->max_attempts = (int)number(line, "attempts", 3);
	t->stretch = 1.6;
	t->target_latency_ms = (int)number(line, "latency", 600);
	jobs_world_terms(s->world, t);
}

static void
do_job(struct script *s, const char *steps)
{
	char text[LINE_BYTES + 64];
	struct job_spec *o;
	struct err e;

	snprintf(text, sizeof(text), "{\"taskSpec\":\"spec\",%s}", steps);
	o = job_spec_parse(text, strlen(text), &e);
	if (o == NULL) {
		printf("  refused: %s\n", e.message);
		return;
	}
	if (s->job_count == JOBS_MAX)
		errx(1, "more than %d jobs", JOBS_MAX);
	jobs_world_submit(s->world, o, s->ids[s->job_count++]);
	job_spec_unref(o);
}

static const char *
job_id(const struct script *s, int n)
{
	if (n < 1 || (size_t)n > s->job_count)
		errx(1, "no job %d", n);
	return s->ids[n - 1];
}

static void
do_judge(struct script *s)
{
	struct jobs_verdict v;

	jobs_world_judge(s->world, &v);
	printf("  %s\n", v.first[0] != '\0' ? v.first : "every promise kept");
}

/* False where there is no such command. */
static bool
do_fault(struct script *s, const char *word, int n)
{
	if (strcmp(word, "crash") == 0)
		jobs_world_crash_worker(s->world, n);
	else if (strcmp(word, "restart") == 0)
		jobs_world_restart_worker(s->world, n);
	else if (strcmp(word, "cut") == 0)
		jobs_world_cut_worker(s->world, n, true);
	else if (strcmp(word, "mend") == 0)
		jobs_world_cut_worker(s->world, n, false);
	else if (strcmp(word, "take") == 0)
		jobs_world_take_worker(s->world, n);
	else if (strcmp(word, "drain") == 0)
		jobs_world_drain_worker(s->world, n, 0);
	else if (strcmp(word, "empty") == 0)
		jobs_world_cordon_worker(s->world, n);
	else if (strcmp(word, "store") == 0)
		jobs_world_store(s->world, n == 0);
	else if (strcmp(word, "take-over") == 0)
		jobs_world_take_over(s->world, n);
	else
		return false;
	return true;
}

static void
do_line(struct script *s, const char *line)
{
	static const char *const states[] = {
	    "queued", "running", "completed", "failed", "cancelled"};
	char word[32];
	int n = 0, state;

	if (sscanf(line, "%31s %d", word, &n) < 1)
		return;
	if (strcmp(word, "workers") == 0) {
		do_workers(s, line);
	} else if (s->world == NULL) {
		errx(1, "\"workers\" comes first: %s", line);
	} else if (strcmp(word, "queue") == 0) {
		do_queue(s, line);
	} else if (strcmp(word, "job") == 0) {
		do_job(s, line + strlen("job "));
	} else if (strcmp(word, "run") == 0) {
		jobs_world_run(s->world, n);
	} else if (strcmp(word, "deadly") == 0) {
		jobs_world_deadly(s->world, job_id(s, n), 0, 0);
	} else if (strcmp(word, "cancel") == 0) {
		jobs_world_cancel(s->world, job_id(s, n));
	} else if (strcmp(word, "state") == 0) {
		state = jobs_world_state(s->world, job_id(s, n));
		printf("  %s\n", state < 0 ? "unknown" : states[state]);
	} else if (strcmp(word, "judge") == 0) {
		do_judge(s);
	} else if (!do_fault(s, word, n)) {
		errx(1, "no such command: %s", line);
	}
}

int
main(int argc, char **argv)
{
	struct script s = {0};
	char line[LINE_BYTES];
	FILE *in;

	if (argc != 2)
		errx(1, "usage: job_script FILE");
	in = fopen(argv[1], "r");
	if (in == NULL)
		err(1, "%s", argv[1]);
	while (fgets(line, sizeof(line), in) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		printf("%s\n", line);
		if (line[0] != '\0' && line[0] != '#')
			do_line(&s, line);
	}
	fclose(in);
	if (s.world != NULL)
		jobs_world_free(s.world);
	return 0;
}
