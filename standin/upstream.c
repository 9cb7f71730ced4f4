#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "bounds.h"
#include "clock.h"
#include "http_server.h"
#include "view.h"

#define BODY_MAX (2 * 1024 * 1024)
#define CONTROL_CONNECTIONS 4 /* for /standin/ requests, above the limit */
#define ID_BYTES 160

/* Runs of one id. */
struct run_count {
	char id[ID_BYTES];
	unsigned runs;
	UT_hash_handle hh;
};

struct faults {
	bool fail_all; /* 500 at once */
	bool refuse; /* 503 and not run */
	bool truncate; /* half of the answer's body */
	bool accept_never_answer;
	int delay_ms; /* added to the service time */
};

struct upstream {
	struct http_server *server;
	char name[NAME_BYTES];
	int slots, service_min_ms, service_max_ms;
	uint64_t prng;
	struct faults faults;
	int running, running_max;
	uint64_t runs, refused;
	int64_t last_new_work_ms; /* wall clock, 0: none yet */
	struct run_count *by_request, *by_key, *by_attempt;
};

/* Marks an exchange that holds a slot. */
static char slot_mark;

static int64_t
wall_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / US_PER_MS;
}

static void
count_run(struct run_count **table, const char *id)
{
	struct run_count *c;

	if (id == NULL || strlen(id) >= ID_BYTES)
		return;
	HASH_FIND_STR(*table, id, c);
	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			return;
		memcpy(c->id, id, strlen(id));
		HASH_ADD_STR(*table, id, c);
	}
	c->runs++;
}

static void
counts_free(struct run_count **table)
{
	struct run_count *c, *next;

	HASH_ITER(hh, *table, c, next)
	{
		HASH_DEL(*table, c);
		free(c);
	}
}

static struct json_object *
counts_json(struct run_count *table)
{
	struct json_object *o = json_object_new_object();
	struct run_count *c, *next;

	HASH_ITER(hh, table, c, next)
	json_object_object_add(o, c->id, json_object_new_int((int)c->runs));
	return o;
}

static void
add_header(struct json_object *o, const struct exchange *x, const char *name)
{
	const char *value = headers_get(&x->headers, name);

	if (value != NULL)
		json_object_object_add(o, name, json_object_new_string(value));
}

static struct json_object *
answer_body(const struct upstream *u, const struct exchange *x)
{
	struct json_object *o = json_object_new_object();
	char hash[20];

	snprintf(hash, sizeof(hash), "%016llx",
	    (unsigned long long)XXH64(x->body->data, x->body->len, 0));
	json_object_object_add(o, "upstream", json_object_new_string(u->name));
	json_object_object_add(o, "path", json_object_new_string(x->path));
	json_object_object_add(o, "body_hash", json_object_new_string(hash));
	json_object_object_add(
	    o, "body_bytes", json_object_new_int64((int64_t)x->body->len));
	add_header(o, x, "x-request-id");
	add_header(o, x, "mimosalead-request");
	add_header(o, x, "idempotency-key");
	return o;
}

static int
service_ms(struct upstream *u)
{
	uint64_t span = (uint64_t)(u->service_max_ms - u->service_min_ms) + 1;

	return u->service_min_ms + (int)prng_below(&u->prng, span) +
	    u->faults.delay_ms;
}

static void
refuse(struct upstream *u, struct exchange *x)
{
	u->refused++;
	exchange_header(x, "Mimosalead-Not-Run", "1");
	exchange_answer(x, 503, NULL);
}

static void
begin_run(struct upstream *u, struct exchange *x)
{
	u->runs++;
	u->running++;
	if (u->running > u->running_max)
		u->running_max = u->running;
	u->last_new_work_ms = wall_ms();
	x->user = &slot_mark;
	count_run(&u->by_request, headers_get(&x->headers, "x-request-id"));
	count_run(&u->by_key, headers_get(&x->headers, "idempotency-key"));
	count_run(
	    &u->by_attempt, headers_get(&x->headers, "mimosalead-request"));
}

static void
handle_work(struct upstream *u, struct exchange *x)
{
	if (u->faults.refuse || u->running >= u->slots) {
		refuse(u, x);
		return;
	}
	begin_run(u, x);
	if (u->faults.accept_never_answer)
		return;
	if (u->faults.fail_all) {
		exchange_answer(x, 500, NULL);
		return;
	}
	x->truncate = u->faults.truncate;
	exchange_header(x, "X-Upstream", u->name);
	exchange_json(x, 200, answer_body(u, x), service_ms(u));
}

static struct json_object *
upstream_state(const struct upstream *u)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "name", json_object_new_string(u->name));
	json_object_object_add(
	    o, "runs", json_object_new_int64((int64_t)u->runs));
	json_object_object_add(
	    o, "refused", json_object_new_int64((int64_t)u->refused));
	json_object_object_add(o, "running", json_object_new_int(u->running));
	json_object_object_add(
	    o, "running_max", json_object_new_int(u->running_max));
	json_object_object_add(
	    o, "last_new_work_ms", json_object_new_int64(u->last_new_work_ms));
	json_object_object_add(o, "by_request", counts_json(u->by_request));
	json_object_object_add(o, "by_key", counts_json(u->by_key));
	json_object_object_add(o, "by_attempt", counts_json(u->by_attempt));
	return o;
}

static void
set_bool(struct json_object *o, const char *key, bool *out)
{
	struct json_object *x;

	if (json_object_object_get_ex(o, key, &x))
		*out = json_object_get_boolean(x);
}

static void
handle_faults(struct upstream *u, struct exchange *x)
{
	struct json_object *o = exchange_body_json(x), *delay;

	if (o == NULL) {
		exchange_answer(x, 400, NULL);
		return;
	}
	set_bool(o, "fail_all", &u->faults.fail_all);
	set_bool(o, "refuse", &u->faults.refuse);
	set_bool(o, "truncate", &u->faults.truncate);
	set_bool(o, "accept_never_answer", &u->faults.accept_never_answer);
	if (json_object_object_get_ex(o, "delay_ms", &delay))
		u->faults.delay_ms = json_object_get_int(delay);
	json_object_put(o);
	exchange_answer(x, 200, NULL);
}

static void
on_request(void *arg, struct exchange *x)
{
	struct upstream *u = arg;

	if (strcmp(x->path, "/standin/state") == 0)
		exchange_json(x, 200, upstream_state(u), 0);
	else if (strcmp(x->path, "/standin/faults") == 0)
		handle_faults(u, x);
	else
		handle_work(u, x);
}

static void
on_end(void *arg, struct exchange *x)
{
	struct upstream *u = arg;

	if (x->user == &slot_mark)
		u->running--;
}

struct upstream *
upstream_new(const struct upstream_opts *opts, struct err *e)
{
	static const char *const keep[] = {
	    "x-request-id", "mimosalead-request", "idempotency-key", NULL};
	struct http_server_opts server = {.addr = opts->addr,
	    .port = opts->port,
	    .connections_max = opts->connections + CONTROL_CONNECTIONS,
	    .body_max = BODY_MAX,
	    .keep_headers = keep,
	    .on_request = on_request,
	    .on_end = on_end};
	struct upstream *u;

	u = calloc(1, sizeof(*u));
	if (u == NULL)
		return NULL;
	snprintf(u->name, sizeof(u->name), "%s", opts->name);
	u->slots = opts->slots;
	u->service_min_ms = opts->service_min_ms;
	u->service_max_ms = opts->service_max_ms;
	u->prng = opts->seed;
	server.arg = u;
	u->server = http_server_new(&server);
	if (u->server == NULL) {
		err_set(e, ERR_IO, 0, "choose another --listen",
		    "cannot listen on %s:%d", opts->addr, opts->port);
		free(u);
		return NULL;
	}
	return u;
}

void
upstream_free(struct upstream *u)
{
	if (u == NULL)
		return;
	http_server_free(u->server);
	counts_free(&u->by_request);
	counts_free(&u->by_key);
	counts_free(&u->by_attempt);
	free(u);
}

int
upstream_run(struct upstream *u)
{
	return http_server_run(u->server);
}
