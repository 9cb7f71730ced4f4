/*
 * The demo: a small deployment of real processes, callers of every kind, and
 * the faults of an ordinary bad day.  Prints what happened and ends with 0
 * only where every promise held.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "demo_jobs.h"
#include "fleet.h"
#include "http_json.h"
#include "judge.h"

#define TEXT_PATH "examples/consorcio.json"
#define START_LIMIT_MS 10000
#define PUBLISH_LIMIT_MS 15000
#define DRAIN_LIMIT_MS 8000
#define CALM_MS 2500
#define FAULT_MS 3000
#define SETTLE_MS 1000
#define PLATFORM_DOWN_MS 3000
#define LOOK_MS 50 /* between two looks for the new version */
#define CALLER_TIMEOUT_MS 10000
/* bounds of the promises */
#define LEAVING_BOUND_MS 3000
#define IN_FORCE_BOUND_MS 7000

/* Moments on the monotonic clock, unless the name says otherwise. */
struct demo {
	struct fleet *fleet;
	struct callers *callers;
	int64_t calm_from, calm_to;
	int64_t late_calm_from, late_calm_to;
	int64_t leave_wall_ms;
	size_t leaving; /* upstream */
	size_t stopped, killed; /* daemons */
	int64_t term_ms, kill_ms;
	int term_code;
	int64_t log_back_ms; /* after the outage, -1: not in time */
	int64_t in_force_ms; /* of the second text, -1: not in time */
	int publish_code[2];
	int failures;
};

static void
say(const char *what)
{
	printf("%s\n", what);
	fflush(stdout);
}

static void
demo_start(struct demo *d)
{
	static const char *const platform_args[] = {"--append-rate", "400",
	    "--vm-list-lag-ms", "500", "--retention", "20000", NULL};
	static const char *const services[] = {
	    "payments", "certificates", NULL};
	struct fleet_opts opts = {.text = TEXT_PATH,
	    .data_centres = 2,
	    .daemons = 2,
	    .services = services,
	    .upstreams = 3,
	    .spares = 1,
	    .service_ms = "5:20",
	    .platform_args = platform_args};
	size_t i;

	d->fleet = fleet_new(&opts);
	d->fleet->procs->keep = getenv("DEMO_KEEP") != NULL;
	if (d->fleet->procs->keep)
		printf("outputs are kept in %s\n", d->fleet->procs->dir);
	for (i = 0; i < d->fleet->daemon_count; i++)
		fleet_start(d->fleet, i);
	printf("%zu daemons in 2 data centres, %zu upstreams, platform on "
	       "port %d\n",
	    d->fleet->daemon_count, d->fleet->upstream_count,
	    d->fleet->platform_port);
	if (!fleet_wait_healthy(d->fleet, START_LIMIT_MS)) {
		say("FAILED: the daemons are not ready");
		d->failures++;
	}
}

static void
print_output(struct demo *d, const char *name)
{
	struct proc *p = proc_find(d->fleet->procs, name);
	char *text = p == NULL ? NULL : proc_output(p);

	if (text != NULL)
		printf("%s", text);
	free(text);
}

static void
print_publish(const struct demo *d, const char *text)
{
	printf("$ mimosalead publish -p 127.0.0.1:%d -d 127.0.0.1:%d %s\n",
	    d->fleet->platform_port, d->fleet->daemons[0].admin, text);
	fflush(stdout);
}

static void
demo_publish_first(struct demo *d)
{
	print_publish(d, TEXT_PATH);
	d->publish_code[0] = fleet_publish(
	    d->fleet, "publish-1", TEXT_PATH, 0, PUBLISH_LIMIT_MS);
	print_output(d, "publish-1");
	if (!fleet_wait_version(d->fleet, 1, PUBLISH_LIMIT_MS) ||
	    !fleet_wait_vms(d->fleet, PUBLISH_LIMIT_MS)) {
		say("FAILED: the daemons do not know the text and the VMs");
		d->failures++;
	}
}

static void
demo_callers(struct demo *d)
{
	struct callers_opts opts = {.fleet = d->fleet,
	    .per_second = {60, 20, 15, 15},
	    .path = {"/certificates/upload", "/certificates/archive/upload",
		"/payments/deposit", "/payments/deposit"},
	    .repeat_every = 2,
	    .timeout_ms = CALLER_TIMEOUT_MS};

	d->callers = callers_new(&opts);
	callers_run(d->callers, 500);
	say("calm: 110 requests a second of four kinds");
	d->calm_from = clock_ms();
	callers_begin(d->callers);
	callers_run(d->callers, CALM_MS);
	d->calm_to = clock_ms();
}

static void
demo_leave(struct demo *d)
{
	const struct fleet_upstream *u;
	char path[128];

	d->leaving = 0;
	u = &d->fleet->upstreams[d->leaving];
	printf("the VM list says: upstream %s is leaving\n", u->name);
	fflush(stdout);
	snprintf(path, sizeof(path), "/standin/vms/%s/state", u->name);
	d->leave_wall_ms = wall_clock_ms();
	fleet_fault(d->fleet->platform_port, path, "{\"state\":\"leaving\"}");
	callers_run(d->callers, FAULT_MS);
}

static void
demo_stop_daemons(struct demo *d)
{
	struct fleet_daemon *one, *two;

	d->stopped = 1;
	d->killed = 3;
	one = &d->fleet->daemons[d->stopped];
	two = &d->fleet->daemons[d->killed];
	printf("SIGTERM to daemon %s\n", one->name);
	fflush(stdout);
	d->term_ms = clock_ms();
	proc_signal(one->proc, SIGTERM);
	callers_run(d->callers, FAULT_MS);
	d->term_code = proc_wait(one->proc, START_LIMIT_MS);
	printf("SIGKILL to daemon %s\n", two->name);
	fflush(stdout);
	d->kill_ms = clock_ms();
	proc_signal(two->proc, SIGKILL);
	callers_run(d->callers, FAULT_MS);
}

/* True once no running daemon takes the log for down. */
static bool
log_in_use_everywhere(struct demo *d)
{
	struct json_object *o;
	bool up = true;
	size_t i;

	for (i = 0; i < d->fleet->daemon_count; i++) {
		if (!proc_running(d->fleet->daemons[i].proc))
			continue;
		http_json(
		    d->fleet->daemons[i].admin, "GET", "/status", NULL, &o);
		up &= o != NULL && json_int(o, "log_down", 1) == 0;
		json_object_put(o);
	}
	return up;
}

static void
demo_platform_down(struct demo *d)
{
	int64_t back, end;

	printf("the platform is down for %d s\n", PLATFORM_DOWN_MS / 1000);
	fflush(stdout);
	fleet_fault(
	    d->fleet->platform_port, "/standin/faults", "{\"down\":true}");
	callers_run(d->callers, PLATFORM_DOWN_MS);
	fleet_fault(
	    d->fleet->platform_port, "/standin/faults", "{\"down\":false}");
	back = clock_ms();
	end = back + PUBLISH_LIMIT_MS;
	d->log_back_ms = -1;
	while (d->log_back_ms < 0 && clock_ms() < end) {
		callers_run(d->callers, LOOK_MS);
		if (log_in_use_everywhere(d))
			d->log_back_ms = clock_ms() - back;
	}
	callers_run(d->callers, SETTLE_MS);
}

/* True once each running daemon has a version above "first". */
static bool
in_force_everywhere(struct demo *d, int64_t first)
{
	size_t i;

	for (i = 0; i < d->fleet->daemon_count; i++)
		if (proc_running(d->fleet->daemons[i].proc) &&
		    fleet_version(d->fleet, i) <= first)
			return false;
	return true;
}

/* Serves the callers while publish runs, and looks for the new version. */
static void
demo_publish_second(struct demo *d)
{
	int64_t first = fleet_version(d->fleet, 0), begun, end;
	struct proc *p;
	char path[192];

	fleet_text_copy(d->fleet, "second.json",
	    (const char *const[]){
		"\"deadline_ms\"", "/* second text */ \"deadline_ms\"", NULL},
	    path, sizeof(path));
	print_publish(d, "second.json");
	d->late_calm_from = begun = clock_ms();
	end = begun + PUBLISH_LIMIT_MS;
	d->in_force_ms = -1;
	p = fleet_publish_start(d->fleet, "publish-2", path, 0);
	while (clock_ms() < end && (d->in_force_ms < 0 || proc_running(p))) {
		callers_run(d->callers, LOOK_MS);
		if (d->in_force_ms < 0 && in_force_everywhere(d, first))
			d->in_force_ms = clock_ms() - begun;
	}
	d->publish_code[1] = proc_wait(p, 1);
	print_output(d, "publish-2");
	callers_run(d->callers, CALM_MS);
	d->late_calm_to = clock_ms();
}

static void
row(struct demo *d, const char *what, int64_t value, const char *unit,
    bool holds, const char *promise)
{
	printf("%-52s %8lld %-4s %-6s %s\n", what, (long long)value, unit,
	    promise[0] == '\0' ? ""
		: holds        ? "holds"
			       : "BROKEN",
	    promise);
	if (promise[0] != '\0' && !holds)
		d->failures++;
}

static void
table_reasons(const struct judgement *j)
{
	char what[80];
	size_t i;

	for (i = 0; i < j->reason_count; i++) {
		snprintf(what, sizeof(what), "  of these: %s, %s",
		    call_kind_name(j->reasons[i].kind), j->reasons[i].reason);
		printf("%-52s %8u\n", what, j->reasons[i].count);
	}
}

static void
table_outcomes(struct demo *d, const struct judgement *j)
{
	unsigned killed = judge_cut(d->callers, (int)d->killed, d->kill_ms);

	row(d, "requests", j->total, "", true, "");
	row(d, "answered", j->answered, "", j->answered * 10 >= j->total * 9,
	    "at least 9 in 10");
	row(d, "refused, not run", j->not_run, "", true, "");
	row(d, "unknown, said by a daemon", j->unknown, "", true, "");
	table_reasons(j);
	row(d, "lost with the killed daemon", killed, "", true, "");
	row(d, "lost with any other daemon", j->lost - killed, "",
	    j->lost == killed, "0");
	row(d, "not answered at all", j->pending, "", j->pending == 0, "0");
	row(d, "slowest outcome", j->slowest_ms, "ms", true, "");
}

static void
table_promises(struct demo *d, const struct judgement *j)
{
	const struct callers *c = d->callers;
	unsigned calm = judge_unanswered(c, d->calm_from, d->calm_to);
	unsigned late = judge_unanswered(c, d->late_calm_from, d->late_calm_to);
	unsigned cut = judge_cut(c, (int)d->stopped, d->term_ms);

	row(d, "calm requests not answered, before the faults", calm, "",
	    calm == 0, "0");
	row(d, "calm requests not answered, after the faults", late, "",
	    late == 0, "0");
	row(d, "runs of one request without a key, most", j->max_runs_order, "",
	    j->max_runs_order <= 1, "at most 1");
	row(d, "runs of one Idempotency-Key, most", j->max_runs_key, "",
	    j->max_runs_key <= 1, "at most 1");
	row(d, "refused as not run, but it ran", j->false_not_run, "",
	    j->false_not_run == 0, "0");
	row(d, "answers to another request", j->misdelivered, "",
	    j->misdelivered == 0, "0");
	row(d, "in-flight requests cut by SIGTERM", cut, "", cut == 0, "0");
	row(d, "exit code of the daemon after SIGTERM", d->term_code, "",
	    d->term_code == 0, "0");
}

/* Work that reached the leaving upstream after it was told to leave. */
static int64_t
leaving_ms(const struct demo *d)
{
	struct json_object *o;
	int64_t last;

	http_json(d->fleet->upstreams[d->leaving].port, "GET", "/standin/state",
	    NULL, &o);
	last = json_int(o, "last_new_work_ms", 0);
	json_object_put(o);
	return last > d->leave_wall_ms ? last - d->leave_wall_ms : 0;
}

static void
demo_table(struct demo *d)
{
	struct judgement j;
	int64_t leave = leaving_ms(d);

	callers_stop(d->callers);
	callers_drain(d->callers, DRAIN_LIMIT_MS);
	judge(d->callers, &j);
	printf("\n");
	table_outcomes(d, &j);
	table_promises(d, &j);
	row(d, "last new work on the leaving upstream, after", leave, "ms",
	    leave <= LEAVING_BOUND_MS, "at most 3000");
	row(d, "log in use again after the outage, after", d->log_back_ms, "ms",
	    d->log_back_ms >= 0 && d->log_back_ms <= IN_FORCE_BOUND_MS,
	    "at most 7000");
	row(d, "second text in force on every daemon, after", d->in_force_ms,
	    "ms", d->in_force_ms >= 0 && d->in_force_ms <= IN_FORCE_BOUND_MS,
	    "at most 7000");
	row(d, "exit codes of publish", d->publish_code[0] + d->publish_code[1],
	    "", d->publish_code[0] == 0 && d->publish_code[1] == 0, "0");
}

static void
demo_jobs(struct demo *d)
{
	struct demo_jobs j;

	printf("\njobs: two daemons of the scheduler, one of them killed\n");
	fflush(stdout);
	demo_jobs_run(&j);
	row(d, "jobs handed in", j.handed_in, "", true, "");
	row(d, "jobs accepted", j.accepted, "", j.accepted == j.handed_in,
	    "all, with retries");
	row(d, "jobs completed", j.completed, "", true, "");
	row(d, "jobs cancelled", j.cancelled, "", true, "");
	row(d, "jobs that were accepted and have not ended",
	    j.accepted - j.completed - j.cancelled, "", j.finished, "0");
	row(d, "tasks run twice", j.twice, "", j.twice == 0, "0");
	row(d, "handed in to first start, median", j.start_p50_ms, "ms", true,
	    "");
}

int
main(void)
{
	struct demo d = {0};
	int64_t begun = clock_ms();

	demo_start(&d);
	demo_publish_first(&d);
	demo_callers(&d);
	demo_leave(&d);
	demo_stop_daemons(&d);
	demo_platform_down(&d);
	demo_publish_second(&d);
	demo_table(&d);
	callers_free(d.callers);
	fleet_free(d.fleet);
	demo_jobs(&d);
	printf("%s after %lld s\n",
	    d.failures == 0 ? "every promise held" : "PROMISES BROKEN",
	    (long long)((clock_ms() - begun) / 1000));
	return d.failures == 0 ? 0 : 1;
}
