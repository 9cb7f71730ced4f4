#include "job_fleet.h"

#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_json.h"

#define START_LIMIT_MS 30000
#define SUBMIT_TRIES 300
#define SUBMIT_PAUSE_MS 50
#define CONFIG_VERSION 3
#define RECORD_BYTES 8192 /* limit of the store, unless a test sets one */

static const char settings_format[] =
    "{\"node\":\"edge-%d\",\"zone\":\"z\",\"ip\":\"127.0.0.%d\","
    "\"listen\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\"},"
    "\"portRange\":[%d,%d],\"heartbeatMs\":1000,"
    "\"bounds\":{\"holdMaxMs\":6000,\"stopTimeoutMs\":200,\"status_s\":60,"
    "\"maintenanceS\":0.2,\"migrateS\":0.2,\"leaseMs\":300},"
    "\"advice\":\"127.0.0.1:%d\","
    "\"platform\":{\"addr\":\"127.0.0.1:%d\",\"parts\":8,"
    "\"ttlMinMs\":500,\"recordBytes\":%d,\"requestBytes\":%d},"
    "\"cloudApi\":{\"addr\":\"127.0.0.1:%d\",\"dutyPerS\":64}}";

static const char config_format[] =
    "{\"configVersion\":%d,\"routes\":["
    "{\"name\":\"r-blue\",\"host\":\"jobs.example\",\"pathPrefix\":\"/blue/\","
    "\"service\":\"blue\",\"maxAttempts\":3,\"stretch\":1.6,"
    "\"targetLatencyMs\":600},"
    "{\"name\":\"r-green\",\"host\":\"jobs.example\","
    "\"pathPrefix\":\"/blue/green/\",\"service\":\"green\","
    "\"maxAttempts\":2,\"stretch\":2,\"targetLatencyMs\":600,"
    "\"advice\":{\"decideMs\":1,\"perWorkerMs\":0.1,\"validityMs\":3000}}%s],"
    "\"services\":[{\"name\":\"blue\",\"admissionControl\":true},"
    "{\"name\":\"green\",\"admissionControl\":true}]%s}";

int
job_fleet_put(const struct job_fleet *f, const char *topic, const char *key,
    const char *value)
{
	char path[128];

	snprintf(path, sizeof(path), "/put?topic=%s&key=%s", topic, key);
	return http_json(f->platform_port, "POST", path, value, NULL);
}

int
job_fleet_configure(const struct job_fleet *f, int version, const char *routes)
{
	const char *members =
	    f->config_members != NULL ? f->config_members : "";
	char text[sizeof(config_format) + JOB_FLEET_ROUTES_BYTES +
	    JOB_FLEET_MEMBERS_BYTES];

	snprintf(text, sizeof(text), config_format, version, routes, members);
	return job_fleet_put(f, "keyed.op", "config", text);
}

int
job_fleet_turn_away(const struct job_fleet *f, int daemon, int status)
{
	char path[64];

	snprintf(path, sizeof(path), "/store-away?port=%d&status=%d",
	    f->store_port[daemon], status);
	return http_json(f->platform_port, "POST", path, "", NULL);
}

static bool
platform_answers(void *arg)
{
	const struct job_fleet *f = arg;

	return http_json(f->platform_port, "GET", "/judge", NULL, NULL) == 200;
}

struct job_fleet *
job_fleet_new(void)
{
	struct job_fleet_opts o = {
	    .daemons = JOB_DAEMONS, .platform_port = free_port()};

	return job_fleet_new_with(&o);
}

struct job_fleet *
job_fleet_new_with(const struct job_fleet_opts *o)
{
	char listen[32], ports[8 * JOB_DAEMONS_MAX] = "", record_bytes[16];
	size_t len = 0;
	const char *argv[PROC_ARGS_MAX] = {
	    "--listen", listen, "--workers", "4", "--task-ms", "60"};
	struct job_fleet *f;
	int i, n = 6;

	for (i = 0; o->platform_args != NULL && o->platform_args[i] != NULL &&
	     n < PROC_ARGS_MAX - 1;
	     i++)
		argv[n++] = o->platform_args[i];

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		err(1, "no memory for the fleet");
	f->procs = o->procs != NULL ? o->procs : procs_new();
	f->own_addresses = o->own_addresses;
	f->daemon_count = o->daemons;
	f->record_bytes = o->record_bytes > 0 ? o->record_bytes : RECORD_BYTES;
	f->config_members = o->config_members;
	f->platform_port = o->platform_port;
	for (i = 0; i < f->daemon_count; i++) {
		f->store_port[i] =
		    f->own_addresses ? free_port() : f->platform_port;
		f->callers_port[i] = free_port();
		f->ready_port[i] = free_port();
		f->peer_port[i] =
		    i > 0 && f->own_addresses ? f->peer_port[0] : free_port();
		len += (size_t)snprintf(
		    ports + len, sizeof(ports) - len, "%d,", f->store_port[i]);
	}
	if (f->own_addresses && n < PROC_ARGS_MAX - 2) {
		argv[n++] = "--store-ports";
		argv[n++] = ports;
	}
	if (n < PROC_ARGS_MAX - 2) {
		argv[n++] = "--record-bytes";
		argv[n++] = record_bytes;
	}
	snprintf(record_bytes, sizeof(record_bytes), "%d", f->record_bytes);
	snprintf(listen, sizeof(listen), "127.0.0.1:%d", f->platform_port);
	if (proc_start(f->procs, "platform", "standin-jobs", argv) == NULL ||
	    !wait_until(platform_answers, f, START_LIMIT_MS))
		errx(1, "the stand-in of the platform does not answer");
	if (job_fleet_configure(f, CONFIG_VERSION, "") != 200)
		errx(1, "the stand-in does not take the configuration");
	return f;
}

void
job_fleet_free(struct job_fleet *f)
{
	if (f == NULL)
		return;
	procs_free(f->procs);
	free(f);
}

void
job_fleet_settings(const struct job_fleet *f, int i)
{
	char name[32], path[160], text[2048];

	snprintf(text, sizeof(text), settings_format, i,
	    f->own_addresses ? i + 1 : 1, f->callers_port[i], f->ready_port[i],
	    f->peer_port[i], f->peer_port[i], f->store_port[i],
	    f->store_port[i], f->record_bytes, 2 * f->record_bytes,
	    f->store_port[i]);
	snprintf(name, sizeof(name), "boot-%d.json", i);
	procs_write(f->procs, name, text, path, sizeof(path));
}

void
job_fleet_start(struct job_fleet *f, int i)
{
	char name[32], path[160];
	const char *argv[] = {"schedule", "-c", path, NULL};

	job_fleet_settings(f, i);
	snprintf(path, sizeof(path), "%s/boot-%d.json", f->procs->dir, i);
	snprintf(name, sizeof(name), "daemon-%d", i);
	f->daemons[i] = proc_start(f->procs, name, "mimosalead", argv);
	if (f->daemons[i] == NULL)
		err(1, "daemon %d cannot be started", i);
}

bool
job_fleet_ready(const struct job_fleet *f, int i)
{
	return http_json(f->ready_port[i], "GET", "/readiness", NULL, NULL) ==
	    200;
}

bool
job_fleet_owned(const struct job_fleet *f)
{
	return job_fleet_call(f, 0, "GET", "/blue/", NULL, NULL, 0) == 200 &&
	    job_fleet_call(f, 0, "GET", "/blue/green/", NULL, NULL, 0) == 200 &&
	    job_fleet_call(f, 1, "GET", "/blue/", NULL, NULL, 0) == 200;
}

static bool
all_serve(void *arg)
{
	const struct job_fleet *f = arg;
	int i;

	for (i = 0; i < f->daemon_count; i++) {
		if (!job_fleet_ready(f, i))
			return false;
	}
	return job_fleet_owned(f);
}

bool
job_fleet_wait_serving(struct job_fleet *f, int limit_ms)
{
	return wait_until(all_serve, f, limit_ms);
}

bool
job_fleet_start_all(struct job_fleet *f, int limit_ms)
{
	int i;

	for (i = 0; i < f->daemon_count; i++)
		job_fleet_start(f, i);
	return job_fleet_wait_serving(f, limit_ms);
}

struct shown_job {
	const struct job_fleet *fleet;
	const char *path;
};

static bool
shown_completed(void *arg)
{
	const struct shown_job *j = arg;
	char text[128];

	return job_fleet_call(j->fleet, 0, "GET", j->path, NULL, text,
		   sizeof(text)) == 200 &&
	    strstr(text, "completed") != NULL;
}

bool
job_fleet_wait_completed(
    const struct job_fleet *f, const char *path, int limit_ms)
{
	struct shown_job j = {f, path};

	return wait_until(shown_completed, &j, limit_ms);
}

int
job_fleet_submit(const struct job_fleet *f, const char *path, const char *body)
{
	int status = -1, tries = 0;

	while (status != 200 && tries++ < SUBMIT_TRIES) {
		status = job_fleet_call(
		    f, tries % f->daemon_count, "POST", path, body, NULL, 0);
		if (status != 200)
			sleep_ms(SUBMIT_PAUSE_MS);
	}
	return status;
}

int
job_fleet_call(const struct job_fleet *f, int i, const char *method,
    const char *path, const char *body, char *out, size_t size)
{
	struct headers h = {.count = 0};
	struct answer *a = NULL;
	int status;

	headers_add(&h, "host", "jobs.example");
	if (f->caller_key[0] != '\0')
		headers_add(&h, "x-api-key", f->caller_key);
	status = http_raw(f->callers_port[i], method, path, &h, body, &a);
	if (out != NULL)
		snprintf(out, size, "%.*s",
		    a != NULL && a->body != NULL ? (int)a->body->len : 0,
		    a != NULL && a->body != NULL ? (char *)a->body->data : "");
	answer_unref(a);
	headers_uninit(&h);
	return status;
}

int64_t
job_fleet_judged(const struct job_fleet *f, const char *what)
{
	struct json_object *o = NULL;
	int64_t n;

	if (http_json(f->platform_port, "GET", "/judge", NULL, &o) != 200)
		return -1;
	n = json_int(o, what, -1);
	json_object_put(o);
	return n;
}
