/*
 * Stand-in of the platform's machine service for the scripts of this review:
 * the machines of the workers of standin-jobs, and machines of a spare pool,
 * which are off.  Upkeep takes MAINTENANCE_MS.  What is carried out is written
 * to a log.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "clock.h"
#include "http_server.h"
#include "listen.h"

#define MACHINES_MAX 64
#define MAINTENANCE_MS 2000
#define TICK_MS 5
#define NAME_LEN 64

struct machine {
	char name[NAME_LEN];
	char pool[NAME_LEN];
	char worker[NAME_LEN]; /* "": it is off */
	int64_t fence; /* highest token of a command for it */
	int64_t upkeep_end_ms; /* 0: it is up */
	int64_t done_wave; /* newest wave whose upkeep has begun; 0: none */
};

struct command {
	char machine[NAME_LEN], holder[NAME_LEN];
	int64_t wave, fence;
};

static struct {
	struct http_server *server;
	struct listen_addr listen;
	struct machine machines[MACHINES_MAX];
	int machine_count;
	int workers, spare;
	FILE *log;
	lws_sorted_usec_list_t tick;
} world;

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / US_PER_MS;
}

static struct machine *
find_machine(const char *name)
{
	int i;

	for (i = 0; i < world.machine_count; i++) {
		if (strcmp(world.machines[i].name, name) == 0)
			return &world.machines[i];
	}
	return NULL;
}

static void
add_machine(const char *name, const char *pool, const char *worker)
{
	struct machine *m = &world.machines[world.machine_count];

	if (world.machine_count == MACHINES_MAX || find_machine(name) != NULL)
		return;
	world.machine_count++;
	snprintf(m->name, sizeof(m->name), "%s", name);
	snprintf(m->pool, sizeof(m->pool), "%s", pool);
	snprintf(m->worker, sizeof(m->worker), "%s", worker);
	fprintf(world.log, "%" PRId64 " listed %s\n", now_ms(), name);
	fflush(world.log);
}

static void
add_text(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static void
list_machines(struct exchange *x)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array(), *o, *room, *labels;
	const struct machine *m;
	int i;

	for (i = 0; i < world.machine_count; i++) {
		m = &world.machines[i];
		o = json_object_new_object();
		add_text(o, "machine", m->name);
		add_text(o, "pool", m->pool);
		add_text(o, "state", m->upkeep_end_ms != 0 ? "upkeep" : "up");
		add_text(o, "zone", "z");
		add_text(o, "id", m->worker);
		labels = json_object_new_array();
		json_object_array_add(labels, json_object_new_string("a"));
		json_object_object_add(o, "labels", labels);
		room = json_object_new_object();
		json_object_object_add(room, "cpu", json_object_new_int(8000));
		json_object_object_add(o, "capacity", room);
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "machines", list);
	fprintf(world.log, "%" PRId64 " list is read\n", now_ms());
	fflush(world.log);
	exchange_json(x, 200, root, 4);
}

static int64_t
number_of(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : 0;
}

/* Machines that are down for their upkeep in the wave. */
static int
count_down(int64_t wave)
{
	int i, n = 0;

	for (i = 0; i < world.machine_count; i++)
		n += world.machines[i].upkeep_end_ms != 0 &&
		    world.machines[i].done_wave == wave;
	return n;
}

/* Returns the status, and the reason of a 409. */
static int
carry_out(const struct command *c, const char **reason)
{
	struct machine *m = find_machine(c->machine);
	int status = 200;

	*reason = "";
	if (m == NULL) {
		status = 400;
	} else if (c->fence < m->fence) {
		status = 409;
		*reason = "fence";
	} else {
		m->fence = c->fence;
		if (m->done_wave == c->wave) {
			*reason = "already done";
		} else if (m->upkeep_end_ms != 0) {
			status = 409;
			*reason = "busy";
		} else {
			fprintf(world.log,
			    "%" PRId64 " begins upkeep of %s wave %" PRId64
			    " down_before %d\n",
			    now_ms(), m->name, c->wave, count_down(c->wave));
			m->done_wave = c->wave;
			m->upkeep_end_ms = now_ms() + MAINTENANCE_MS;
		}
	}
	fprintf(world.log,
	    "%" PRId64 " command of %s token %" PRId64 " for %s: %d %s\n",
	    now_ms(), c->holder, c->fence, c->machine, status, *reason);
	fflush(world.log);
	return status;
}

static void
upkeep(struct exchange *x)
{
	struct json_object *in = exchange_body_json(x), *out;
	struct command c = {0};
	const char *text, *reason;
	int status;

	if (in == NULL) {
		exchange_answer(x, 400, NULL);
		return;
	}
	snprintf(
	    c.machine, sizeof(c.machine), "%s", exchange_text(in, "machine"));
	c.wave = number_of(in, "wave");
	json_object_put(in);
	text = headers_get(&x->headers, "mimosalead-fencing-token");
	c.fence = text != NULL ? strtoll(text, NULL, 10) : 0;
	text = headers_get(&x->headers, "mimosalead-lease-holder");
	snprintf(c.holder, sizeof(c.holder), "%s", text != NULL ? text : "");
	status = carry_out(&c, &reason);
	out = json_object_new_object();
	if (status == 409)
		add_text(out, "reason", reason);
	exchange_json(x, status, out, 4);
}

static void
on_request(void *arg, struct exchange *x)
{
	char name[NAME_LEN];

	(void)arg;
	if (strcmp(x->path, "/machines") == 0) {
		list_machines(x);
	} else if (strcmp(x->path, "/machine-upkeep") == 0) {
		upkeep(x);
	} else if (strcmp(x->path, "/add") == 0 &&
	    exchange_str(x, "machine", name, sizeof(name))) {
		add_machine(name, "off", "");
		exchange_answer(x, 200, NULL);
	} else {
		exchange_answer(x, 503, NULL); /* no moves at present */
	}
}

static void
on_end(void *arg, struct exchange *x)
{
	(void)arg;
	(void)x;
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	int64_t now = now_ms();
	struct machine *m;
	int i;

	lws_sul_schedule(
	    http_server_context(world.server), 0, sul, on_tick, TICK_MS * 1000);
	for (i = 0; i < world.machine_count; i++) {
		m = &world.machines[i];
		if (m->upkeep_end_ms != 0 && now >= m->upkeep_end_ms)
			m->upkeep_end_ms = 0;
	}
}

static const struct argp_option options[] = {
    LISTEN_OPTION,
    {"workers", 'w', "N", 0, "Workers of each pool of standin-jobs", 0},
    {"spare", 's', "N", 0, "Machines of the spare pool", 0},
    {"log", 'L', "FILE", 0, "Write down what is carried out", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	if (listen_option(&world.listen, key, arg, state))
		return 0;
	switch (key) {
	case 'w':
		world.workers = (int)strtol(arg, NULL, 10);
		break;
	case 's':
		world.spare = (int)strtol(arg, NULL, 10);
		break;
	case 'L':
		world.log = fopen(arg, "ae");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void
make_machines(void)
{
	static const char *const pools[] = {"blue", "green"};
	char name[NAME_LEN], worker[NAME_LEN / 2];
	int i, p;

	for (p = 0; p < 2; p++) {
		for (i = 0; i < world.workers; i++) {
			snprintf(worker, sizeof(worker), "%s-%d", pools[p], i);
			snprintf(name, sizeof(name), "m-%s", worker);
			add_machine(name, pools[p], worker);
		}
	}
	for (i = 1; i <= world.spare; i++) {
		snprintf(name, sizeof(name), "m-off-%d", i);
		add_machine(name, "off", "");
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL,
	    "Stand-in of the platform's machine service.", NULL, NULL, NULL};
	static const char *const keep[] = {
	    "mimosalead-fencing-token", "mimosalead-lease-holder", NULL};
	struct http_server_opts o = {.connections_max = 200,
	    .body_max = 65536,
	    .keep_headers = keep,
	    .on_request = on_request,
	    .on_end = on_end};
	int code;

	world.workers = 2;
	world.log = stderr;
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	make_machines();
	o.addr = world.listen.addr;
	o.port = world.listen.port;
	world.server = http_server_new(&o);
	if (world.server == NULL)
		return 1;
	lws_sul_schedule(
	    http_server_context(world.server), 0, &world.tick, on_tick, 1);
	code = http_server_run(world.server);
	http_server_free(world.server);
	return code;
}
