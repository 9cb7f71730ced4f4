/*
 * Stand-in of the platform for the scripts of the second review: the store
 * (the project's stand-in), and the list of machines with their commands.  The
 * control calls below /fleet are for the scripts only.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "clock.h"
#include "job_store.h"
#include "listen.h"

#define MACHINES_MAX 32
#define TEXT_BYTES 80
#define TICK_MS 2

struct machine {
	char name[TEXT_BYTES], pool[TEXT_BYTES], worker[TEXT_BYTES];
	int64_t busy_until_ms; /* moving or in upkeep */
	bool upkeep; /* what it is busy with */
	bool down; /* its worker has crashed */
	int64_t fence, upkept_wave;
};

/* An order for a machine: an upkeep, or a move where "wave" is 0. */
struct order {
	char machine[TEXT_BYTES], holder[TEXT_BYTES], pool[TEXT_BYTES];
	int64_t fence, wave;
};

static struct {
	struct http_server *server;
	struct job_store *store;
	struct listen_addr listen;
	struct machine machines[MACHINES_MAX];
	int machine_count;
	int64_t upkeep_ms, move_ms;
	lws_sorted_usec_list_t tick;
	FILE *record;
} world;

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
	va_list ap;

	fprintf(world.record, "%" PRId64 " platform ", now_ms());
	va_start(ap, format);
	vfprintf(world.record, format, ap);
	va_end(ap);
	fputc('\n', world.record);
	fflush(world.record);
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

static const char *
state_of(const struct machine *m)
{
	if (m->busy_until_ms > now_ms())
		return m->upkeep ? "upkeep" : "moving";
	return m->down ? "down" : "up";
}

static void
list_machines(struct exchange *x)
{
	struct json_object *root = json_object_new_object(), *o, *room, *labels;
	struct json_object *list = json_object_new_array();
	const struct machine *m;
	int i;

	for (i = 0; i < world.machine_count; i++) {
		m = &world.machines[i];
		o = json_object_new_object();
		json_object_object_add(
		    o, "machine", json_object_new_string(m->name));
		json_object_object_add(
		    o, "pool", json_object_new_string(m->pool));
		json_object_object_add(
		    o, "state", json_object_new_string(state_of(m)));
		json_object_object_add(o, "zone", json_object_new_string("z"));
		json_object_object_add(o, "id",
		    json_object_new_string(
			strcmp(state_of(m), "up") == 0 ? m->worker : ""));
		room = json_object_new_object();
		json_object_object_add(room, "cpu", json_object_new_int(8000));
		json_object_object_add(
		    room, "memMb", json_object_new_int(16000));
		json_object_object_add(o, "capacity", room);
		labels = json_object_new_array();
		json_object_array_add(labels, json_object_new_string("plain"));
		json_object_object_add(o, "labels", labels);
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "machines", list);
	json_object_object_add(root, "nextToken", json_object_new_string(""));
	exchange_json(x, 200, root, 1);
}

static int64_t
number_of(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : 0;
}

static void
refuse(struct exchange *x, const char *reason)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "reason", json_object_new_string(reason));
	exchange_json(x, 409, o, 1);
}

static void
carry_out(struct exchange *x, const struct order *order)
{
	struct machine *m = find_machine(order->machine);
	const char *what = order->wave != 0 ? "upkeep" : "move";

	if (m == NULL) {
		exchange_answer(x, 400, NULL);
		return;
	}
	if (order->fence < m->fence) {
		note("refused %s %s holder %s token %" PRId64 " fence", what,
		    m->name, order->holder, order->fence);
		refuse(x, "fence");
		return;
	}
	m->fence = order->fence;
	if ((order->wave != 0 && m->upkept_wave == order->wave) ||
	    (order->wave == 0 && strcmp(m->pool, order->pool) == 0)) {
		note("repeated %s %s holder %s token %" PRId64, what, m->name,
		    order->holder, order->fence);
		exchange_answer(x, 200, NULL);
		return;
	}
	if (m->busy_until_ms > now_ms()) {
		refuse(x, "busy");
		return;
	}
	m->upkeep = order->wave != 0;
	m->busy_until_ms =
	    now_ms() + (m->upkeep ? world.upkeep_ms : world.move_ms);
	if (m->upkeep)
		m->upkept_wave = order->wave;
	else
		snprintf(m->pool, sizeof(m->pool), "%s", order->pool);
	note("begins %s %s holder %s token %" PRId64 " pool %s until %" PRId64,
	    what, m->name, order->holder, order->fence, m->pool,
	    m->busy_until_ms);
	exchange_answer(x, 200, NULL);
}

static void
take_order(struct exchange *x)
{
	struct json_object *in = exchange_body_json(x);
	struct order order = {0};
	const char *holder, *token;

	holder = headers_get(&x->headers, "mimosalead-lease-holder");
	token = headers_get(&x->headers, "mimosalead-fencing-token");
	snprintf(order.machine, sizeof(order.machine), "%s",
	    exchange_text(in, "machine"));
	snprintf(
	    order.pool, sizeof(order.pool), "%s", exchange_text(in, "pool"));
	snprintf(order.holder, sizeof(order.holder), "%s",
	    holder != NULL ? holder : "none");
	order.fence = token != NULL ? strtoll(token, NULL, 10) : 0;
	order.wave = number_of(in, "wave");
	json_object_put(in);
	note("order %s %s holder %s token %" PRId64,
	    order.wave != 0 ? "upkeep" : "move", order.machine, order.holder,
	    order.fence);
	carry_out(x, &order);
}

static void
put(struct exchange *x)
{
	char topic[TEXT_BYTES], key[TEXT_BYTES], *value;

	value = strndup((const char *)x->body->data, x->body->len);
	if (exchange_str(x, "topic", topic, sizeof(topic)) &&
	    exchange_str(x, "key", key, sizeof(key))) {
		job_store_put(world.store, topic, key, value);
		job_store_tick(world.store);
		exchange_answer(x, 200, NULL);
	} else {
		exchange_answer(x, 400, NULL);
	}
	free(value);
}

/*
 * /fleet/machine?name=M&pool=P&worker=W adds a machine; with down=1 and down=0
 * its worker has crashed or is back.
 */
static void
set_machine(struct exchange *x)
{
	char name[TEXT_BYTES] = "";
	struct machine *m;

	exchange_str(x, "name", name, sizeof(name));
	m = find_machine(name);
	if (m == NULL && world.machine_count < MACHINES_MAX) {
		m = &world.machines[world.machine_count++];
		snprintf(m->name, sizeof(m->name), "%s", name);
		exchange_str(x, "pool", m->pool, sizeof(m->pool));
	}
	if (m != NULL) {
		exchange_str(x, "worker", m->worker, sizeof(m->worker));
		m->down = exchange_int(x, "down", 0) != 0;
	}
	exchange_answer(x, 200, NULL);
}

static void
on_request(void *arg, struct exchange *x)
{
	(void)arg;
	if (job_store_request(world.store, x))
		return;
	if (strcmp(x->path, "/machines") == 0) {
		list_machines(x);
	} else if (strcmp(x->path, "/machine-upkeep") == 0 ||
	    strcmp(x->path, "/machine-move") == 0) {
		take_order(x);
	} else if (strcmp(x->path, "/fleet/put") == 0) {
		put(x);
	} else if (strcmp(x->path, "/fleet/machine") == 0) {
		set_machine(x);
	} else {
		exchange_answer(x, 404, NULL);
	}
}

static void
on_end(void *arg, struct exchange *x)
{
	(void)arg;
	job_store_ended(world.store, x);
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	lws_sul_schedule(http_server_context(world.server), 0, sul, on_tick,
	    TICK_MS * US_PER_MS);
	job_store_tick(world.store);
}

/* platform ADDR:PORT RECORD */
int
main(int argc, char **argv)
{
	static const char *const keep[] = {
	    "mimosalead-lease-holder", "mimosalead-fencing-token", NULL};
	struct http_server_opts o = {.connections_max = 1000,
	    .body_max = 4 * 1024 * 1024,
	    .keep_headers = keep,
	    .on_request = on_request,
	    .on_end = on_end};

	if (argc != 3 || listen_parse(&world.listen, argv[1]) == -1)
		return 2;
	world.record = fopen(argv[2], "ae");
	world.store = job_store_new();
	world.upkeep_ms = 2000;
	world.move_ms = 1500;
	o.addr = world.listen.addr;
	o.port = world.listen.port;
	world.server = http_server_new(&o);
	if (world.record == NULL || world.store == NULL || world.server == NULL)
		return 2;
	lws_sul_schedule(
	    http_server_context(world.server), 0, &world.tick, on_tick, 1);
	return http_server_run(world.server);
}
