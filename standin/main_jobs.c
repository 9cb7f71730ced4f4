/*
 * Stand-in of the users' platform for jobs: the store, workers that run tasks
 * under leases, machines, the policy.  All workers share the address and are
 * told apart by the header that names them.  It judges what it sees: runs of
 * one task at once or after its end are counted under /judge; with --log,
 * what workers see is written down for the soak (tests/soak).
 */
#include <argp.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "bounds.h"
#include "clock.h"
#include "job_store.h"
#include "listen.h"
#include "worker_texts.h"

#define WORKERS_MAX 32
#define STORE_PORTS_MAX 48
#define TICK_MS 2
#define NAME_MAX_BYTES 80
#define BEAT_MS 1000 /* between entries of a worker */
#define SILENT_BEATS 3 /* an entry goes after so many without a beat */
#define HOLD_MAX_MS 6000 /* longest lease, as in the settings */
#define MUTATE_EVERY 10
#define FLAKY_OF 4 /* one run in so many of a flaky task fails */
#define CRASH_AFTER_MS 10 /* a deadly task crashes its worker */
#define SAVE_MS 1000 /* of work, between values that a task saves */
#define CRASH_BACK_MS 3000 /* from a crash until the worker is back */

struct run {
	char task[NAME_MAX_BYTES];
	int64_t number, begun_ms, ends_ms, stop_ms;
	int64_t crash_ms; /* its worker crashes then, or 0 */
	bool fails;
	bool hidden; /* a wrong worker does not list it */
	bool saves;
	const struct saved_value *saved; /* NULL: none yet */
	int64_t resumed_ms; /* work of the runs before … */
	int64_t takes_ms; /* … of so much */
	LIST_ENTRY(run) entries;
};

struct end {
	int64_t number, run;
	char task[NAME_MAX_BYTES];
	const char *how;
	const struct saved_value *saved; /* NULL: none */
};

/* The highest run of a task that was stopped or has ended here. */
struct bar {
	char task[NAME_MAX_BYTES];
	int64_t run;
	UT_hash_handle hh;
};

/* A request that came while its worker stood still. */
struct late {
	struct exchange *exchange; /* NULL: its caller has gone */
	struct json_object *body;
	char path[EXCHANGE_PATH_BYTES];
	STAILQ_ENTRY(late) entries;
};

struct worker {
	char id[NAME_MAX_BYTES];
	char pool[NAME_MAX_BYTES];
	int port; /* that its entry names */
	int64_t born_ms, life; /* its clock counts from its birth */
	int64_t dead_ms; /* since when it is dead, or 0 */
	int64_t back_ms; /* when it comes back from a crash, or 0 */
	bool frozen, lapsed;
	bool muted; /* it writes no entries */
	struct bar *bars;
	STAILQ_HEAD(lates, late) lates;
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

/* Wrong workers, so that each check of the soak can be seen to fail. */
enum mutation {
	MUTATE_NOTHING,
	MUTATE_HIDE, /* a run in some is not listed while it runs */
	MUTATE_REDO, /* a task in some that is done is listed as stopped */
	MUTATE_EARLY, /* done is listed where the task has failed */
	MUTATE_EXCUSE, /* failed is listed as stopped */
	MUTATE_FENCE, /* lower fences are obeyed */
	MUTATE_PRETEND, /* lasting tasks are listed and do not run */
	MUTATE_LOSE, /* an append in some is acknowledged and not kept */
	MUTATE_TEXT /* other values are listed than were saved */
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
	struct worker_texts *texts;
	int record_bytes; /* 0: the usual limit */
	int text_bytes; /* longest text of a worker or the policy */
	int64_t resumed; /* starts with a value that was saved */
	int64_t odd_texts; /* values and tickets that are not the task's */
	FILE *log;
	const char *ports; /* of the workers' entries, with commas */
	int store_ports[STORE_PORTS_MAX + 1]; /* also served; ends with 0 */
	enum mutation mutation;
} world;

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

static int64_t
clock_ms(const struct worker *w)
{
	return now_ms() - w->born_ms;
}

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
	va_list ap;

	if (world.log == NULL)
		return;
	fprintf(world.log, "%" PRId64 " ", clock_read_us(CLOCK_MONOTONIC));
	va_start(ap, format);
	vfprintf(world.log, format, ap);
	va_end(ap);
	fputc('\n', world.log);
	fflush(world.log);
}

static struct json_object *
stamped_new(const struct worker *w)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "clockMs", json_object_new_int64(clock_ms(w)));
	json_object_object_add(
	    o, "born", json_object_new_int64(w->born_ms + 1));
	return o;
}

/* A caller that has gone gets no answer. */
static void
reply(struct exchange *x, int status, struct json_object *o)
{
	if (x != NULL)
		exchange_json(x, status, o, 0);
	else
		json_object_put(o);
}

static int64_t
number_of(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : 0;
}

static void
refuse(struct exchange *x, const struct worker *w, const char *reason)
{
	struct json_object *o = stamped_new(w);

	json_object_object_add(o, "reason", json_object_new_string(reason));
	reply(x, 409, o);
}

static int64_t
barred(const struct worker *w, const char *task)
{
	struct bar *b;

	HASH_FIND_STR(w->bars, task, b);
	return b != NULL ? b->run : 0;
}

static void
bar(struct worker *w, const char *task, int64_t run)
{
	struct bar *b;

	HASH_FIND_STR(w->bars, task, b);
	if (b == NULL) {
		b = calloc(1, sizeof(*b));
		snprintf(b->task, sizeof(b->task), "%s", task);
		HASH_ADD_STR(w->bars, task, b);
	}
	if (run > b->run)
		b->run = run;
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

static int64_t
run_work_ms(const struct run *r)
{
	return r->resumed_ms + now_ms() - r->begun_ms;
}

static int
run_percent(const struct run *r)
{
	if (r->ends_ms == INT64_MAX)
		return 100;
	return r->saves && r->takes_ms > 0
	    ? (int)(100 * run_work_ms(r) / r->takes_ms)
	    : 50;
}

static void
run_save(struct run *r)
{
	r->saved = worker_texts_save(world.texts, r->task, run_work_ms(r));
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
	if (r->saves && strcmp(how, "stopped") == 0)
		run_save(r);
	e->saved = r->saved;
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	bar(w, r->task, r->number);
	note("end %s %" PRId64 " %" PRId64 " %s %" PRId64 " %s", w->id, w->life,
	    e->number, e->task, e->run,
	    world.mutation == MUTATE_EARLY && w->ends % MUTATE_EVERY == 0
		? "failed"
		: how);
	if (world.mutation == MUTATE_REDO && strcmp(how, "done") == 0 &&
	    w->ends % MUTATE_EVERY == 0)
		e->how = "stopped";
	if (world.mutation == MUTATE_EXCUSE && strcmp(how, "failed") == 0)
		e->how = "stopped";
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
lengthen_lease(struct worker *w, struct json_object *in)
{
	int64_t until = number_of(in, "deadlineMs");

	if (until > clock_ms(w) + HOLD_MAX_MS)
		until = clock_ms(w) + HOLD_MAX_MS;
	if (until > w->lease_end_ms)
		w->lease_end_ms = until;
	if (w->lease_end_ms > clock_ms(w))
		w->lapsed = false;
}

/* Compares what a start carries with what was given out. */
static void
check_texts(struct worker *w, struct run *r, struct json_object *in)
{
	const char *spec = exchange_text(in, "taskSpec");
	char step[NAME_MAX_BYTES];
	struct json_object *v, *ticket;
	bool same = true;

	if (json_object_object_get_ex(in, "saved", &v)) {
		r->saved = worker_texts_find(
		    world.texts, r->task, v, strstr(spec, "gang") != NULL);
		same = r->saved != NULL;
		world.resumed++;
	}
	if (r->saved != NULL)
		r->resumed_ms = saved_value_work_ms(r->saved);
	if (json_object_object_get_ex(in, "ticket", &v)) {
		snprintf(step, sizeof(step), "%.*s",
		    (int)(strrchr(r->task, '.') - r->task), r->task);
		ticket = worker_texts_ticket(world.texts, step, w->id);
		same = same && worker_texts_same(ticket, v);
		json_object_put(ticket);
	}
	if (same)
		return;
	world.odd_texts++;
	note("odd %s", r->task);
}

/*
 * "lasts", "takes:MS", "saves", "bad", "flaky", "deadly", or one of the usual
 * time; "gang" allows any member's values.
 */
static struct run *
run_new(struct worker *w, struct json_object *in)
{
	const char *spec = exchange_text(in, "taskSpec"), *ms;
	struct run *r = calloc(1, sizeof(*r));

	snprintf(r->task, sizeof(r->task), "%s", exchange_text(in, "task"));
	r->number = number_of(in, "run");
	r->begun_ms = now_ms();
	r->saves = strstr(spec, "saves") != NULL;
	check_texts(w, r, in);
	ms = strstr(spec, "takes:");
	r->takes_ms = ms != NULL ? strtol(ms + 6, NULL, 10) : world.task_ms;
	r->ends_ms = strstr(spec, "lasts") != NULL
	    ? INT64_MAX
	    : now_ms() - r->resumed_ms + r->takes_ms;
	r->fails = strncmp(spec, "bad", 3) == 0 ||
	    (strncmp(spec, "flaky", 5) == 0 && world.starts % FLAKY_OF == 0);
	if (strncmp(spec, "deadly", 6) == 0 &&
	    strstr(r->task, ".0.0.0") != NULL)
		r->crash_ms = now_ms() + CRASH_AFTER_MS;
	r->hidden =
	    world.mutation == MUTATE_HIDE && world.starts % MUTATE_EVERY == 0;
	LIST_INSERT_HEAD(&w->runs, r, entries);
	note("start %s %" PRId64 " %s %" PRId64 " %" PRId64 " %s", w->id,
	    w->life, r->task, r->number, number_of(in, "fence"), spec);
	return r;
}

static void
start(struct exchange *x, struct worker *w, struct json_object *in)
{
	const char *task = exchange_text(in, "task");
	struct run *r = find_run(w, task);
	int64_t number = number_of(in, "run");

	if (r != NULL && r->number == number) {
		reply(x, 200, stamped_new(w));
		return;
	}
	if (r != NULL || number <= barred(w, task)) {
		lengthen_lease(w, in);
		refuse(x, w, "old");
		return;
	}
	if (number_of(in, "deadlineMs") <= clock_ms(w)) {
		refuse(x, w, "late");
		return;
	}
	judge_start(task);
	lengthen_lease(w, in);
	r = run_new(w, in);
	if (world.mutation == MUTATE_PRETEND && r->ends_ms == INT64_MAX)
		note("end %s %" PRId64 " 0 %s %" PRId64 " pretended", w->id,
		    w->life, r->task, r->number);
	reply(x, 200, stamped_new(w));
}

static void
answer_hold(struct exchange *x, struct worker *w)
{
	struct json_object *o = stamped_new(w), *row;
	struct json_object *running = json_object_new_array();
	struct json_object *ended = json_object_new_array();
	struct run *r;
	size_t i;

	LIST_FOREACH(r, &w->runs, entries) {
		if (r->hidden)
			continue;
		row = json_object_new_array();
		json_object_array_add(row, json_object_new_string(r->task));
		json_object_array_add(row, json_object_new_int64(r->number));
		if (r->saves &&
		    run_work_ms(r) -
			    (r->saved != NULL ? saved_value_work_ms(r->saved)
					      : 0) >=
			SAVE_MS)
			run_save(r);
		json_object_array_add(row,
		    world.mutation == MUTATE_TEXT && r->saved != NULL
			? json_object_new_string("another value")
			: saved_value_json(r->saved));
		json_object_array_add(row, json_object_new_int(run_percent(r)));
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
		json_object_array_add(row, saved_value_json(w->ended[i].saved));
		json_object_array_add(ended, row);
	}
	json_object_object_add(o, "running", running);
	json_object_object_add(o, "ended", ended);
	reply(x, 200, o);
}

static void
hold(struct exchange *x, struct worker *w, struct json_object *in)
{
	int64_t acked = number_of(in, "ackCursor");
	int64_t wait = number_of(in, "waitMs");
	size_t i, kept = 0;
	struct hold *h;

	lengthen_lease(w, in);
	for (i = 0; i < w->ended_count; i++) {
		if (w->ended[i].number > acked)
			w->ended[kept++] = w->ended[i];
	}
	if (kept < w->ended_count)
		note("ack %s %" PRId64 " %" PRId64, w->id, w->life, acked);
	w->ended_count = kept;
	if (kept > 0 || wait == 0 || x == NULL) {
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

	if (r != NULL && r->number <= number_of(in, "run"))
		r->stop_ms = now_ms();
	else
		bar(w, exchange_text(in, "task"), number_of(in, "run"));
	reply(x, 200, stamped_new(w));
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
carry_out(struct worker *w, struct exchange *x, const char *path,
    struct json_object *in)
{
	int64_t fence = number_of(in, "fence");

	if (fence < w->fence && world.mutation != MUTATE_FENCE) {
		refuse(x, w, "fence");
		return;
	}
	if (fence > w->fence) {
		w->fence = fence;
		note("fence %s %" PRId64 " %" PRId64, w->id, w->life, fence);
	}
	if (strcmp(path, "/run-start") == 0)
		start(x, w, in);
	else if (strcmp(path, "/run-stop") == 0)
		stop(x, w, in);
	else if (strcmp(path, "/hold") == 0)
		hold(x, w, in);
	else
		reply(x, 200, stamped_new(w));
}

static void
worker_request(struct exchange *x)
{
	struct worker *w = worker_named(
	    headers_get(&x->headers, "mimosalead-target-instance"));
	struct json_object *in = exchange_body_json(x);
	struct late *l;

	if (w == NULL || in == NULL) {
		exchange_answer(x, w == NULL ? 421 : 400, NULL);
	} else if (w->dead_ms != 0) {
		exchange_drop(x);
	} else if (w->frozen) {
		l = calloc(1, sizeof(*l));
		l->exchange = x;
		l->body = json_object_get(in);
		snprintf(l->path, sizeof(l->path), "%s", x->path);
		STAILQ_INSERT_TAIL(&w->lates, l, entries);
	} else {
		carry_out(w, x, x->path, in);
	}
	json_object_put(in);
}

/* Requests that waited are carried out; with "dead" they are lost. */
static void
thaw(struct worker *w, bool dead)
{
	struct late *l;

	w->frozen = false;
	while ((l = STAILQ_FIRST(&w->lates)) != NULL) {
		STAILQ_REMOVE_HEAD(&w->lates, entries);
		if (!dead)
			carry_out(w, l->exchange, l->path, l->body);
		else if (l->exchange != NULL)
			exchange_drop(l->exchange);
		json_object_put(l->body);
		free(l);
	}
}

static void
worker_born(struct worker *w)
{
	w->dead_ms = w->back_ms = 0;
	w->born_ms = now_ms();
	w->life++;
	w->fence = w->lease_end_ms = w->ends = 0;
	w->lapsed = false;
	world.beat_ms = 0;
	note("born %s %" PRId64, w->id, w->life);
}

/* What ran and what it knew is gone at once. */
static void
worker_dies(struct worker *w)
{
	struct bar *b, *next;
	struct hold *h, *later;
	struct run *r;

	thaw(w, true);
	note("gone %s %" PRId64, w->id, w->life);
	while ((r = LIST_FIRST(&w->runs)) != NULL) {
		LIST_REMOVE(r, entries);
		free(r);
	}
	HASH_ITER(hh, w->bars, b, next)
	{
		HASH_DEL(w->bars, b);
		free(b);
	}
	w->ended_count = 0;
	w->dead_ms = now_ms();
	for (h = LIST_FIRST(&world.holds); h != NULL; h = later) {
		later = LIST_NEXT(h, entries);
		if (h->worker != w)
			continue;
		LIST_REMOVE(h, entries);
		exchange_drop(h->exchange);
		free(h);
	}
}

/* /worker?id=N&what=kill|return|freeze|thaw|mute */
static void
worker_fault(struct exchange *x)
{
	int64_t i = exchange_int(x, "id", -1);
	char what[16] = "";
	struct worker *w;

	if (i < 0 || i >= world.worker_count ||
	    !exchange_str(x, "what", what, sizeof(what))) {
		exchange_answer(x, 400, NULL);
		return;
	}
	w = &world.workers[i];
	if (strcmp(what, "kill") == 0 && w->dead_ms == 0)
		worker_dies(w);
	else if (strcmp(what, "return") == 0 && w->dead_ms != 0)
		worker_born(w);
	else if (strcmp(what, "freeze") == 0 && w->dead_ms == 0)
		w->frozen = true;
	else if (strcmp(what, "thaw") == 0)
		thaw(w, false);
	else if (strcmp(what, "mute") == 0)
		w->muted = true;
	exchange_answer(x, 200, NULL);
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
			json_object_array_add(row,
			    worker_texts_ticket(world.texts,
				exchange_text(in, "step"),
				json_object_get_string(
				    json_object_array_get_idx(workers, i))));
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
	json_object_object_add(
	    o, "resumed", json_object_new_int64(world.resumed));
	json_object_object_add(
	    o, "odd_texts", json_object_new_int64(world.odd_texts));
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

/* Another writer's record; "forget": reads from before it are refused. */
static void
put_raw(struct exchange *x)
{
	char topic[NAME_MAX_BYTES];

	if (!exchange_str(x, "topic", topic, sizeof(topic))) {
		exchange_answer(x, 400, NULL);
		return;
	}
	job_store_put_raw(world.store, topic,
	    x->body != NULL ? (const void *)x->body->data : "",
	    x->body != NULL ? x->body->len : 0);
	if (exchange_int(x, "forget", 0) != 0)
		job_store_forget(world.store);
	job_store_tick(world.store);
	exchange_answer(x, 200, NULL);
}

static void
on_request(void *arg, struct exchange *x)
{
	char topic[64];

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
	} else if (strcmp(x->path, "/put-raw") == 0) {
		put_raw(x);
	} else if (strcmp(x->path, "/store-odd") == 0) {
		job_store_page(world.store, (int)exchange_int(x, "items", 0));
		job_store_odd_pages(
		    world.store, (int)exchange_int(x, "pages", 0));
		job_store_odd_reads(
		    world.store, (int)exchange_int(x, "reads", 0));
		exchange_answer(x, 200, NULL);
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
	} else if (strcmp(x->path, "/store-part") == 0) {
		if (exchange_str(x, "topic", topic, sizeof(topic)))
			job_store_refuse_topic(world.store, 503, topic);
		else
			job_store_refuse_some(world.store, 503,
			    (int)exchange_int(x, "of", 1),
			    (int)exchange_int(x, "rest", 0));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-away") == 0) {
		job_store_turn_away(world.store,
		    (int)exchange_int(x, "port", 0),
		    (int)exchange_int(x, "status", 503));
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/store-forget") == 0) {
		job_store_forget(world.store);
		exchange_answer(x, 200, NULL);
	} else if (strcmp(x->path, "/worker") == 0) {
		worker_fault(x);
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
	struct late *l;
	int i;

	(void)arg;
	job_store_ended(world.store, x);
	for (i = 0; i < world.worker_count; i++) {
		STAILQ_FOREACH(l, &world.workers[i].lates, entries) {
			if (l->exchange == x)
				l->exchange = NULL;
		}
	}
	for (h = LIST_FIRST(&world.holds); h != NULL; h = next) {
		next = LIST_NEXT(h, entries);
		if (h->exchange != x)
			continue;
		LIST_REMOVE(h, entries);
		free(h);
	}
}

/* True if a deadly task ends the worker now. */
static bool
worker_crashes(struct worker *w)
{
	const struct run *r;

	LIST_FOREACH(r, &w->runs, entries) {
		if (r->crash_ms != 0 && now_ms() >= r->crash_ms)
			break;
	}
	if (r == NULL || w->frozen)
		return false;
	note("crash %s %" PRId64 " %s", w->id, w->life, r->task);
	worker_dies(w);
	w->back_ms = now_ms() + CRASH_BACK_MS;
	return true;
}

static void
run_worker(struct worker *w)
{
	struct run *r, *next;
	int64_t now = now_ms();

	if (w->back_ms != 0 && now >= w->back_ms)
		worker_born(w);
	if (worker_crashes(w))
		return;
	if (clock_ms(w) > w->lease_end_ms && !w->lapsed && w->dead_ms == 0) {
		w->lapsed = true;
		note("lapse %s %" PRId64, w->id, w->life);
	}
	for (r = LIST_FIRST(&w->runs); r != NULL; r = next) {
		next = LIST_NEXT(r, entries);
		if (w->lapsed)
			end_run(w, r, "lapsed");
		else if (w->frozen)
			continue;
		else if (r->stop_ms != 0)
			end_run(w, r, "stopped");
		else if (now >= r->ends_ms)
			end_run(w, r, r->fails ? "failed" : "done");
	}
}

static void
beat(void)
{
	char entry[512];
	struct worker *w;
	int i;

	for (i = 0; i < world.worker_count; i++) {
		w = &world.workers[i];
		if (w->frozen)
			continue;
		if (w->dead_ms != 0) {
			if (now_ms() - w->dead_ms > SILENT_BEATS * BEAT_MS)
				job_store_put(
				    world.store, "keyed.servers", w->id, "");
			continue;
		}
		if (w->muted)
			continue;
		snprintf(entry, sizeof(entry),
		    "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z\","
		    "\"state\":\"ready\",\"born\":%" PRId64
		    ",\"clockMs\":%" PRId64
		    ",\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":1},"
		    "\"labels\":[\"a\",\"r-%d\"]}",
		    w->pool, world.listen.addr, w->port, w->born_ms + 1,
		    clock_ms(w), i / 2);
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
    {"log", 'L', "FILE", 0, "Write down what workers see", 0},
    {"ports", 'P', "A,B", 0, "Ports that the workers' entries name", 0},
    {"store-ports", 'S', "A,B", 0,
	"Further ports, by which the store tells "
	"its clients apart",
	0},
    {"record-bytes", 'R', "BYTES", 0, "Limit of a record of the store", 0},
    {"texts", 'T', "BYTES", 0,
	"Workers' values and tickets are drawn and have up to so many bytes",
	0},
    {"mutate", 'M', "N", OPTION_HIDDEN, "Be wrong", 0},
    {0},
};

static void
parse_store_ports(const char *text)
{
	char *end;
	int i;

	for (i = 0; i < STORE_PORTS_MAX && *text != '\0'; i++) {
		world.store_ports[i] = (int)strtol(text, &end, 10);
		text = *end == ',' ? end + 1 : end;
	}
}

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
	case 'L':
		world.log = fopen(arg, "ae");
		break;
	case 'P':
		world.ports = arg;
		break;
	case 'S':
		parse_store_ports(arg);
		break;
	case 'R':
		world.record_bytes = (int)strtol(arg, NULL, 10);
		break;
	case 'T':
		world.text_bytes = (int)strtol(arg, NULL, 10);
		break;
	case 'M':
		world.mutation = (enum mutation)strtol(arg, NULL, 10);
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
	const char *ports = world.ports;
	struct worker *w;
	char *end;
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
			STAILQ_INIT(&w->lates);
			w->port = world.listen.port;
			if (ports != NULL && *ports != '\0') {
				w->port = (int)strtol(ports, &end, 10);
				ports = *end == ',' ? end + 1 : end;
			}
			worker_born(w);
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
	if (world.record_bytes > 0)
		job_store_records(world.store, world.record_bytes);
	world.texts = worker_texts_new(world.text_bytes);
	if (world.mutation == MUTATE_LOSE)
		job_store_forget_appends(world.store, MUTATE_EVERY);
	make_workers();
	o.addr = world.listen.addr;
	o.port = world.listen.port;
	o.more_ports = world.store_ports;
	world.server = http_server_new(&o);
	if (world.server == NULL || world.store == NULL)
		return 1;
	lws_sul_schedule(
	    http_server_context(world.server), 0, &world.tick, on_tick, 1);
	code = http_server_run(world.server);
	http_server_free(world.server);
	job_store_free(world.store);
	worker_texts_free(world.texts);
	return code;
}
