#include "fixture.h"

#include <criterion/logging.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct fleet *
fixture_fleet(int data_centres, int daemons, const char *const *platform_args)
{
	static const char *const services[] = {
	    "payments", "certificates", NULL};
	struct fleet_opts opts = {.text = FIXTURE_TEXT,
	    .data_centres = data_centres,
	    .daemons = daemons,
	    .services = services,
	    .upstreams = 3,
	    .spares = 1,
	    .service_ms = "5:20",
	    .platform_args = platform_args};

	return fleet_new(&opts);
}

struct fleet *
fixture_running(int data_centres, int daemons, const char *const *platform_args)
{
	struct fleet *f = fixture_fleet(data_centres, daemons, platform_args);
	size_t i;

	for (i = 0; i < f->daemon_count; i++)
		fleet_start(f, i);
	cr_assert(fleet_wait_healthy(f, FIXTURE_LIMIT_MS),
	    "the daemons did not get ready");
	cr_assert_eq(
	    fleet_publish(f, "publish", f->text_path, 0, FIXTURE_LIMIT_MS), 0,
	    "publish failed");
	cr_assert(fleet_wait_version(f, 1, FIXTURE_LIMIT_MS),
	    "the text did not come into force");
	cr_assert(fleet_wait_vms(f, FIXTURE_LIMIT_MS),
	    "the upstreams did not get on record");
	return f;
}

struct callers *
fixture_callers(struct fleet *f)
{
	struct callers_opts opts = {.fleet = f,
	    .per_second = {30, 10, 15, 15},
	    .path = {"/certificates/upload", "/certificates/archive/upload",
		"/payments/deposit", "/payments/deposit"},
	    .repeat_every = 2,
	    .timeout_ms = 10000};
	struct callers *c = callers_new(&opts);

	callers_run(c, 500);
	callers_begin(c);
	return c;
}

/* For the person who looks at a failed run. */
static void
log_lost(const struct callers *c)
{
	const struct caller_request *r;

	TAILQ_FOREACH(r, &c->list, entries)
		if (r->result == CALL_LOST || r->result == CALL_PENDING)
			cr_log_warn("%s: %s %s at daemon %d, sent at %lld ms, "
				    "given up after %lld ms",
			    call_result_name(r->result),
			    call_kind_name(r->kind), r->id, r->daemon,
			    (long long)(r->start_ms - c->begun_ms),
			    (long long)(r->end_ms - r->start_ms));
}

void
fixture_judge(struct callers *c, struct judgement *j)
{
	callers_stop(c);
	cr_expect(callers_drain(c, FIXTURE_LIMIT_MS),
	    "%u requests have no outcome", c->pending);
	judge(c, j);
	log_lost(c);
	cr_expect_leq(
	    j->max_runs_order, 1, "a request ran %u times", j->max_runs_order);
	cr_expect_leq(
	    j->max_runs_key, 1, "a key ran %u times", j->max_runs_key);
	cr_expect_eq(
	    j->false_not_run, 0, "%u refusals were false", j->false_not_run);
	cr_expect_eq(
	    j->misdelivered, 0, "%u answers went astray", j->misdelivered);
}

int
fixture_post(const struct fleet *f, size_t daemon, const char *path,
    const char *body, char *outcome, size_t size)
{
	struct headers headers = {0};
	struct answer *a;
	const char *value;
	int status;

	headers_add(&headers, "mimosalead-member", f->text->members[0].name);
	headers_add(&headers, "x-request-id", "post");
	status = http_raw(
	    f->daemons[daemon].listen, "POST", path, &headers, body, &a);
	headers_uninit(&headers);
	value = a ? headers_get(&a->headers, "mimosalead-outcome") : NULL;
	snprintf(outcome, size, "%s", value ? value : "");
	value = a ? headers_get(&a->headers, "mimosalead-reason") : NULL;
	if (value != NULL)
		cr_log_warn("POST %s: %d, reason %s", path, status, value);
	answer_unref(a);
	return status;
}

void
fixture_append(const struct fleet *f, struct buf *record)
{
	size_t cap = record->len * 2 + 64;
	char *data = calloc(1, cap), *json = calloc(1, cap + 16);

	lws_b64_encode_string(
	    (const char *)record->data, (int)record->len, data, (int)cap);
	snprintf(json, cap + 16, "{\"data\":\"%s\"}", data);
	cr_assert_eq(
	    http_json(f->platform_port, "POST", "/log/control", json, NULL),
	    200);
	free(data);
	free(json);
	buf_unref(record);
}

size_t
raw_exchange(int port, const void *data, size_t len, char *out, size_t size,
    int limit_ms)
{
	struct pollfd p = {.fd = raw_connect(port), .events = POLLIN};
	size_t used = 0;
	ssize_t n;

	if (p.fd == -1)
		return 0;
	/* The other side may close before everything is sent. */
	while (len > 0 && (n = send(p.fd, data, len, MSG_NOSIGNAL)) > 0) {
		data = (const char *)data + n;
		len -= (size_t)n;
	}
	while (used + 1 < size && poll(&p, 1, limit_ms) == 1 &&
	    (n = recv(p.fd, out + used, size - used - 1, 0)) > 0)
		used += (size_t)n;
	out[used] = '\0';
	close(p.fd);
	return used;
}
