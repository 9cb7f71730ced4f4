/*
 * Stand-in of the users' platform for jobs: the store, workers that run tasks
 * under leases, machines, the policy.  All workers share the address and are
 * told apart by the header that names them.  It judges what it sees: runs of
 * one task at once or after its end are counted under /judge.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "bounds.h"
#include "clock.h"
#include "job_store.h"
#include "listen.h"

#define WORKERS_MAX 32
#define TICK_MS 2
#define NAME_MAX_BYTES 80
#define BEAT_MS 1000 /* between entries of a worker */

struct run {
	char task[NAME_MAX_BYTES];
	int64_t number, begun_ms, ends_ms, stop_ms;
	LIST_ENTRY(run) entries;
};

struct end {
	int64_t number, run;
	char task[NAME_MAX_BYTES];
	const char *how;
};

struct worker {
	char id[NAME_MAX_BYTES];
	char pool[NAME_MAX_BYTES];
	int64_t fence, lease_end_ms, ends;
	struct end *ended;
	size_t ended_count;
	LIST_HEAD(runs, run) runs;
};

/* A hold that waits for an end. */
struct hold {
	struct exchange *exchange;
	struct worker *worker;
	int64_t until_ms;
	LIST_ENTRY(hold) entries;
};

struct done {
	char task[NAME_MAX_BYTES];
	LIST_ENTRY(done) entries;
};

static struct {
	struct http_server *server;
	struct job_store *store;
	struct listen_addr listen;
	struct worker workers[WORKERS_MAX];
	int worker_count;
	int per_pool;
	int task_ms;
	int64_t began_ms, beat_ms;
	LIST_HEAD(holds, hold) holds;
	LIST_HEAD(dones, done) dones;
	lws_sorted_usec_list_t tick;
	int64_t starts, twice, ended, upkeeps, moves, advised;
} world;

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

static int64_t
clock_ms(void)
{
	return now_ms() - world.began_ms;
}

static struct json_object *
stamped_new(void)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "clockMs", json_object_new_int64(clock_ms()));
	json_object_object_add(
	    o, "born", json_object_new_int64(world.began_ms + 1));
	return o;
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
	struct json_object *o = stamped_new();

	json_object_object_add(o, "reason", json_object_new_string(reason));
	exchange_json(x, 409, o, 0);
}

static struct run *
find_run(struct worker *w, const char *task)
{
	struct run *r;

	LIST_FOREACH(r, &w->runs, entries) {
		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
end_run(struct worker *w, struct run *r, const char *how)
{
	struct done *d;
	struct end *e;

	w->ended = realloc(w->ended, (w->ended_count + 1) * sizeof(*e));
	e = &w->ended[w->ended_count++];
	e->number = ++w->ends;
	e->run = r->number;
	e->how = how;
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	if (strcmp(how, "done") == 0) {
		d = calloc(1, sizeof(*d));
		snprintf(d->task, sizeof(d->task), "%s", r->task);
		LIST_INSERT_HEAD(&world.dones, d, entries);
		world.ended++;
	}
	LIST_REMOVE(r, entries);
	free(r);
}

static void
judge_start(const char *task)
{
	const struct done *d;
	int i;

	for (i = 0; i < world.worker_count; i++) {
		if (find_run(&world.workers[i], task) != NULL)
			world.twice++;
	}
	LIST_FOREACH(d, &world.dones, entries) {
		if (strcmp(d->task, task) == 0)
			world.twice++;
	}
	world.starts++;
}

static void
start(struct exchange *x, struct worker *w, struct json_object *in)
{
	const char *task = exchange_text(in, "task");
	struct run *r = find_run(w, task);
	int64_t number = number_of(in, "run");

	if (r != NULL && r->number == number) {
		exchange_json(x, 200, stamped_new(), 0);
		return;
	}
	if (r != NULL) {
		refuse(x, "old");
		return;
	}
	if (number_of(in, "deadlineMs") <= clock_ms()) {
		refuse(x, "late");
		return;
	}
	judge_start(task);
	if (number_of(in, "deadlineMs") > w->lease_end_ms)
		w->lease_end_ms = number_of(in, "deadlineMs");
	r = calloc(1, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = number;
	r->begun_ms = now_ms();
	r->ends_ms = strstr(exchange_text(in, "taskSpec"), "lasts") != NULL
	    ? INT64_MAX
	    : now_ms() + world.task_ms;
	LIST_INSERT_HEAD(&w->runs, r, entries);
	exchange_json(x, 200, stamped_new(), 0);
}

static void
answer_hold(struct exchange *x, struct worker *w)
{
	struct json_object *o = stamped_new(), *row;
	struct json_object *running = json_object_new_array();
	struct json_object *ended = json_object_new_array();
	struct run *r;
	size_t i;

	LIST_FOREACH(r, &w->runs, entries) {
		row = json_object_new_array();
		json_object_array_add(row, json_object_new_string(r->task));
		json_object_array_add(row, json_object_new_int64(r->number));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(row,
		    json_object_new_int(r->ends_ms == INT64_MAX ? 100 : 50));
		json_object_array_add(running, row);
	}
	for (i = 0; i < w->ended_count; i++) {
		row = json_object_new_array();
		json_object_array_add(
		    row, json_object_new_int64(w->ended[i].number));
		json_object_array_add(
		    row, json_object_new_string(w->ended[i].task));
		json_object_array_add(
		    row, json_object_new_int64(w->ended[i].run));
		json_object_array_add(
		    row, json_object_new_string(w->ended[i].how));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(ended, row);
	}
	json_object_object_add(o, "running", running);
	json_object_object_add(o, "ended", ended);
	exchange_json(x, 200, o, 0);
}

static void
hold(struct exchange *x, struct worker *w, struct json_object *in)
{
	int64_t acked = number_of(in, "ackCursor");
	int64_t wait = number_of(in, "waitMs");
	size_t i, kept = 0;
	struct hold *h;

	if (number_of(in, "deadlineMs") > w->lease_end_ms)
		w->lease_end_ms = number_of(in, "deadlineMs");
	for (i = 0; i < w->ended_count; i++) {
		if (w->ended[i].number > acked)
			w->ended[kept++] = w->ended[i];
	}
	w->ended_count = kept;
	if (kept > 0 || wait == 0) {
		answer_hold(x, w);
		return;
	}
	h = calloc(1, sizeof(*h));
	h->exchange = x;
	h->worker = w;
	h->until_ms = now_ms() + wait;
	LIST_INSERT_HEAD(&world.holds, h, entries);
}

static void
stop(struct exchange *x, struct worker *w, struct json_object *in)
{
	struct run *r = find_run(w, exchange_text(in, "task"));

	if (r != NULL && r->number == number_of(in, "run"))
		r->stop_ms = now_ms();
	exchange_json(x, 200, stamped_new(), 0);
}

static struct worker *
worker_named(const char *id)
{
	int i;

	for (i = 0; id != NULL && i < world.worker_count; i++) {
		if (strcmp(world.workers[i].id, id) == 0)
			return &world.workers[i];
	}
	return NULL;
}

static void
worker_request(struct exchange *x)
{
	struct worker *w = worker_named(
	    headers_get(&x->headers, "mimosalead-target-instance"));
	struct json_object *in = exchange_body_json(x);

	if (w == NULL || in == NULL) {
		exchange_answer(x, w == NULL ? 421 : 400, NULL);
	} else if (number_of(in, "fence") < w->fence) {
		refuse(x, "fence");
	} else {
		w->fence = number_of(in, "fence");
		if (strcmp(x->path, "/run-start") == 0)
			start(x, w, in);
		else if (strcmp(x->path, "/run-stop") == 0)
			stop(x, w, in);
		else if (strcmp(x->path, "/hold") == 0)
			hold(x, w, in);
		else
			exchange_json(x, 200, stamped_new(), 0);
	}
	json_object_put(in);
}

static void
machines(struct exchange *x)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array(), *o, *room;
	char name[NAME_MAX_BYTES + 2];
	int i;

	for (i = 0; i < world.worker_count; i++) {
		o = json_object_new_object();
		snprintf(name, sizeof(name), "m-%s", world.workers[i].id);
		json_object_object_add(
		    o, "machine", json_object_new_string(name));
		json_object_object_add(
		    o, "pool", json_object_new_string(world.workers[i].pool));
		json_object_object_add(
		    o, "state", json_object_new_string("up"));
		json_object_object_add(
		    o, "id", json_object_new_string(world.workers[i].id));
		room = json_object_new_object();
		json_object_object_add(room, "cpu", json_object_new_int(8000));
		json_object_object_add(o, "capacity", room);
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "machines", list);
	exchange_json(x, 200, root, 1);
}

static void
advise(struct exchange *x)
{
	struct json_object *in = exchange_body_json(x), *workers, *row;
	struct json_object *root = json_object_new_object();
	struct json_object *good = json_object_new_array();
	size_t i;

	world.advised++;
	if (in != NULL && json_object_object_get_ex(in, "workers", &workers)) {
		for (i = 0; i < json_object_array_length(workers); i++) {
			row = json_object_new_array();
			json_object_array_add(row,
			    json_object_get(
				json_object_array_get_idx(workers, i)));
			json_object_array_add(
			    row, json_object_new_string("ticket"));
			json_object_array_add(good, row);
		}
	}
	json_object_object_add(root, "good", good);
	json_object_object_add(root, "validityMs", json_object_new_int(3000));
	exchange_json(x, 200, root, 1);
	json_object_put(in);
}

static void
judge(struct exchange *x)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "starts", json_object_new_int64(world.starts));
	json_object_object_add(o, "done", json_object_new_int64(world.ended));
	json_object_object_add(o, "twice", json_object_new_int64(world.twice));
	json_object_object_add(
	    o, "upkeeps", json_object_new_int64(world.upkeeps));
	json_object_object_add(
	    o, "advised", json_object_new_int64(world.advised));
	json_object_object_add(o, "unreadable",
	    json_object_new_int64(job_store_unreadable(world.store)));
	exchange_json(x, 200, o, 0);
}

/* The operators' side: a record under a key, as text. */
static void
put(struct exchange *x)
{
	char topic[NAME_MAX_BYTES], key[NAME_MAX_BYTES], *value;

	value = strndup((const char *)x->body->data, x->body->len);
	if (value != NULL && exchange_str(x, "topic", topic, sizeof(topic)) &&
	    exchange_str(x, "key", key, sizeof(key))) {
		job_store_put(world.store, topic, key, value);
		job_store_tick(world.store);
		exchange_answer(x, 200, NULL);
	} else {
		exchange_answer(x, 400, NULL);
	}
	free(value);
}

static void
on_request(void *arg, struct exchange *x)
{
	(void)arg;
	if (job_store_request(world.store, x))
		return;
	if (strcmp(x->path, "/machines") == 0) {
		machines(x);
	} else if (strcmp(x->path, "/machine-upkeep") == 0) {
		world.upkeeps++;
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/machine-move") == 0) {
		world.moves++;
		exchange_answer(x, 400, NULL);
	} else if (strcmp(x->path, "/advise") == 0) {
		advise(x);
	} else if (strcmp(x->path, "/judge") == 0) {
		judge(x);
	} else if (strcmp(x->path, "/put") == 0) {
		put(x);
	} else if (strcmp(x->path, "/store-down") == 0) {
		job_store_refuse(
		    world.store, (int)exchange_int(x, "status", 503));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/group-all") == 0) {
		job_store_deal_all(world.store);
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-slow") == 0) {
		job_store_slow(world.store, (int)exchange_int(x, "ms", 0));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-lose") == 0) {
		job_store_lose(world.store, (int)exchange_int(x, "tries", 0));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-garble") == 0) {
		job_store_garble(
		    world.store, (int)exchange_int(x, "appends", 0));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-up") == 0) {
		job_store_refuse(world.store, 0);
		exchange_answer(x, 200, NULL);
	} else {
		worker_request(x);
	}
}

static void
on_end(void *arg, struct exchange *x)
{
	struct hold *h, *next;

	(void)arg;
	job_store_ended(world.store, x);
	for (h = LIST_FIRST(&world.holds); h != NULL; h = next) {
		next = LIST_NEXT(h, entries);
		if (h->exchange != x)
			continue;
		LIST_REMOVE(h, entries);
		free(h);
	}
}

static void
run_worker(struct worker *w)
{
	struct run *r, *next;
	int64_t now = now_ms();

	for (r = LIST_FIRST(&w->runs); r != NULL; r = next) {
		next = LIST_NEXT(r, entries);
		if (clock_ms() > w->lease_end_ms)
			end_run(w, r, "lapsed");
		else if (r->stop_ms != 0)
			end_run(w, r, "stopped");
		else if (now >= r->ends_ms)
			end_run(w, r, "done");
	}
}

static void
beat(void)
{
	char entry[512];
	int i;

	for (i = 0; i < world.worker_count; i++) {
		snprintf(entry, sizeof(entry),
		    "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z\","
		    "\"state\":\"ready\",\"born\":%" PRId64
		    ",\"clockMs\":%" PRId64
		    ",\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":1},"
		    "\"labels\":[\"a\",\"r-%d\"]}",
		    world.workers[i].pool, world.listen.addr, world.listen.port,
		    world.began_ms + 1, clock_ms(), i / 2);
		job_store_put(
		    world.store, "keyed.servers", world.workers[i].id, entry);
	}
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct hold *h, *next;
	int i;

	lws_sul_schedule(
	    http_server_context(world.server), 0, sul, on_tick, TICK_MS * 1000);
	for (i = 0; i < world.worker_count; i++)
		run_worker(&world.workers[i]);
	for (h = LIST_FIRST(&world.holds); h != NULL; h = next) {
		next = LIST_NEXT(h, entries);
		if (h->worker->ended_count == 0 && now_ms() < h->until_ms)
			continue;
		LIST_REMOVE(h, entries);
		answer_hold(h->exchange, h->worker);
		free(h);
	}
	if (now_ms() - world.beat_ms > BEAT_MS) {
		world.beat_ms = now_ms();
		beat();
	}
	job_store_tick(world.store);
}

static const struct argp_option options[] = {
    LISTEN_OPTION,
    {"workers", 'w', "N", 0, "Workers of each pool", 0},
    {"task-ms", 't', "MS", 0, "Time of one task", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	if (listen_option(&world.listen, key, arg, state))
		return 0;
	switch (key) {
	case 'w':
		world.per_pool = (int)strtol(arg, NULL, 10);
		break;
	case 't':
		world.task_ms = (int)strtol(arg, NULL, 10);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void
make_workers(void)
{
	static const char *const pools[] = {"blue", "green"};
	struct worker *w;
	size_t p;
	int i;

	for (p = 0; p < sizeof(pools) / sizeof(pools[0]); p++) {
		for (i = 0;
		     i < world.per_pool && world.worker_count < WORKERS_MAX;
		     i++) {
			w = &world.workers[world.worker_count++];
			snprintf(w->id, sizeof(w->id), "%s-%d", pools[p], i);
			snprintf(w->pool, sizeof(w->pool), "%s", pools[p]);
			LIST_INIT(&w->runs);
		}
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL,
	    "Stand-in of the users' platform for jobs.", NULL, NULL, NULL};
	static const char *const keep[] = {"mimosalead-target-instance", NULL};
	struct http_server_opts o = {.connections_max = 1000,
	    .body_max = 4 * 1024 * 1024,
	    .keep_headers = keep,
	    .on_request = on_request,
	    .on_end = on_end};
	int code;

	world.per_pool = 3;
	world.task_ms = 50;
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	LIST_INIT(&world.holds);
	LIST_INIT(&world.dones);
	world.began_ms = now_ms();
	world.store = job_store_new();
	make_workers();
	o.addr = world.listen.addr;
	o.port = world.listen.port;
	world.server = http_server_new(&o);
	if (world.server == NULL || world.store == NULL)
		return 1;
	lws_sul_schedule(
	    http_server_context(world.server), 0, &world.tick, on_tick, 1);
	code = http_server_run(world.server);
	http_server_free(world.server);
	job_store_free(world.store);
	return code;
}
