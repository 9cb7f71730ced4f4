/*
 * Stand-in of one worker for the scripts of the second review: one process, so
 * that a crash is a SIGKILL, and a return under the same id a new process.
 * Behaves as the pages say: leases, fences, ends until they are acknowledged.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uthash.h>

#include "bounds.h"
#include "clock.h"
#include "http_server.h"
#include "listen.h"

#define TEXT_BYTES 96
#define TICK_MS 2
#define HEARTBEAT_MS 1500
#define LEASE_MAX_MS 6000

struct run {
	char task[TEXT_BYTES];
	int64_t number, begun_ms, ends_ms, stop_ms, cpu;
	LIST_ENTRY(run) entries;
};

struct end {
	char task[TEXT_BYTES];
	int64_t number, run;
	const char *how;
};

/* The highest run of a task that was stopped or has ended here. */
struct bar {
	char task[TEXT_BYTES];
	int64_t run;
	UT_hash_handle hh;
};

struct hold {
	struct exchange *exchange;
	int64_t until_ms;
	LIST_ENTRY(hold) entries;
};

static struct {
	struct http_server *server;
	struct listen_addr listen, store;
	const char *id, *pool, *kind, *rack;
	int entry_port; /* that its entry names */
	int64_t cpu, started_ms, born_ms, beat_ms;
	int64_t fence, lease_end_ms, end_count;
	struct end *ended;
	size_t ended_count;
	struct bar *bars;
	LIST_HEAD(runs, run) runs;
	LIST_HEAD(holds, hold) holds;
	lws_sorted_usec_list_t tick;
	FILE *record;
} me;

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

static int64_t
clock_ms(void)
{
	return now_ms() - me.started_ms;
}

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
	va_list ap;

	fprintf(
	    me.record, "%" PRId64 " worker %s (%s) ", now_ms(), me.id, me.kind);
	va_start(ap, format);
	vfprintf(me.record, format, ap);
	va_end(ap);
	fputc('\n', me.record);
	fflush(me.record);
}

static struct json_object *
stamped_new(void)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "clockMs", json_object_new_int64(clock_ms()));
	json_object_object_add(o, "born", json_object_new_int64(me.born_ms));
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

static int64_t
barred(const char *task)
{
	struct bar *b;

	HASH_FIND_STR(me.bars, task, b);
	return b != NULL ? b->run : 0;
}

static void
bar(const char *task, int64_t run)
{
	struct bar *b;

	HASH_FIND_STR(me.bars, task, b);
	if (b == NULL) {
		b = calloc(1, sizeof(*b));
		snprintf(b->task, sizeof(b->task), "%s", task);
		HASH_ADD_STR(me.bars, task, b);
	}
	if (run > b->run)
		b->run = run;
}

static struct run *
find_run(const char *task)
{
	struct run *r;

	LIST_FOREACH(r, &me.runs, entries) {
		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
end_run(struct run *r, const char *how)
{
	struct end *e;

	me.ended = realloc(me.ended, (me.ended_count + 1) * sizeof(*e));
	e = &me.ended[me.ended_count++];
	snprintf(e->task, sizeof(e->task), "%s", r->task);
	e->number = ++me.end_count;
	e->run = r->number;
	e->how = how;
	bar(r->task, r->number);
	note("end %s run %" PRId64 " %s after %" PRId64 " ms", r->task,
	    r->number, how, now_ms() - r->begun_ms);
	LIST_REMOVE(r, entries);
	free(r);
}

static void
lengthen_lease(struct json_object *in)
{
	int64_t until = number_of(in, "deadlineMs");

	if (until > clock_ms() + LEASE_MAX_MS)
		until = clock_ms() + LEASE_MAX_MS;
	if (until > me.lease_end_ms)
		me.lease_end_ms = until;
}

/* "takes:MS", "lasts" in the task's text. */
static void
start(struct exchange *x, struct json_object *in)
{
	const char *task = exchange_text(in, "task"), *ms;
	const char *spec = exchange_text(in, "taskSpec");
	int64_t number = number_of(in, "run");
	struct run *r = find_run(task);

	if (r != NULL && r->number == number) {
		exchange_json(x, 200, stamped_new(), 0);
		return;
	}
	if (r != NULL || number <= barred(task)) {
		lengthen_lease(in);
		refuse(x, "old");
		return;
	}
	if (number_of(in, "deadlineMs") <= clock_ms()) {
		refuse(x, "late");
		return;
	}
	lengthen_lease(in);
	r = calloc(1, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = number;
	r->begun_ms = now_ms();
	ms = strstr(spec, "takes:");
	r->ends_ms = strstr(spec, "lasts") != NULL
	    ? INT64_MAX
	    : now_ms() + (ms != NULL ? strtol(ms + 6, NULL, 10) : 300);
	LIST_INSERT_HEAD(&me.runs, r, entries);
	note("start %s run %" PRId64 " spec %s", task, number, spec);
	exchange_json(x, 200, stamped_new(), 0);
}

static int
percent(const struct run *r)
{
	int64_t ran_ms = now_ms() - r->begun_ms;

	if (r->ends_ms == INT64_MAX)
		return ran_ms > 200 ? 100 : (int)(ran_ms / 2);
	return (int)(ran_ms * 100 / (r->ends_ms - r->begun_ms + 1));
}

static void
answer_hold(struct exchange *x)
{
	struct json_object *o = stamped_new(), *row;
	struct json_object *running = json_object_new_array();
	struct json_object *ended = json_object_new_array();
	struct run *r;
	size_t i;

	LIST_FOREACH(r, &me.runs, entries) {
		row = json_object_new_array();
		json_object_array_add(row, json_object_new_string(r->task));
		json_object_array_add(row, json_object_new_int64(r->number));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(row, json_object_new_int(percent(r)));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(running, row);
	}
	for (i = 0; i < me.ended_count; i++) {
		row = json_object_new_array();
		json_object_array_add(
		    row, json_object_new_int64(me.ended[i].number));
		json_object_array_add(
		    row, json_object_new_string(me.ended[i].task));
		json_object_array_add(
		    row, json_object_new_int64(me.ended[i].run));
		json_object_array_add(
		    row, json_object_new_string(me.ended[i].how));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(ended, row);
	}
	json_object_object_add(o, "running", running);
	json_object_object_add(o, "ended", ended);
	exchange_json(x, 200, o, 0);
}

static void
hold(struct exchange *x, struct json_object *in)
{
	int64_t acked = number_of(in, "ackCursor");
	int64_t wait = number_of(in, "waitMs");
	size_t i, kept = 0;
	struct hold *h;

	lengthen_lease(in);
	for (i = 0; i < me.ended_count; i++) {
		if (me.ended[i].number > acked)
			me.ended[kept++] = me.ended[i];
	}
	me.ended_count = kept;
	if (kept > 0 || wait == 0) {
		answer_hold(x);
		return;
	}
	h = calloc(1, sizeof(*h));
	h->exchange = x;
	h->until_ms = now_ms() + wait;
	LIST_INSERT_HEAD(&me.holds, h, entries);
}

static void
stop(struct exchange *x, struct json_object *in)
{
	const char *task = exchange_text(in, "task");
	struct run *r = find_run(task);

	note("stop %s run %" PRId64, task, number_of(in, "run"));
	if (r != NULL && r->number <= number_of(in, "run"))
		r->stop_ms = now_ms();
	else
		bar(task, number_of(in, "run"));
	exchange_json(x, 200, stamped_new(), 0);
}

static void
on_request(void *arg, struct exchange *x)
{
	const char *to = headers_get(&x->headers, "mimosalead-target-instance");
	struct json_object *in = exchange_body_json(x);
	int64_t fence = number_of(in, "fence");

	(void)arg;
	if (to != NULL && strcmp(to, me.id) != 0) {
		exchange_answer(x, 421, NULL);
	} else if (in == NULL) {
		exchange_answer(x, 400, NULL);
	} else if (fence < me.fence) {
		refuse(x, "fence");
	} else {
		me.fence = fence;
		if (strcmp(x->path, "/run-start") == 0)
			start(x, in);
		else if (strcmp(x->path, "/run-stop") == 0)
			stop(x, in);
		else if (strcmp(x->path, "/hold") == 0)
			hold(x, in);
		else
			exchange_json(x, 200, stamped_new(), 0);
	}
	json_object_put(in);
}

static void
on_end(void *arg, struct exchange *x)
{
	struct hold *h;

	(void)arg;
	LIST_FOREACH(h, &me.holds, entries) {
		if (h->exchange == x)
			break;
	}
	if (h == NULL)
		return;
	LIST_REMOVE(h, entries);
	free(h);
}

/* Writes the worker's entry into the store. */
static void
beat(void)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct timeval limit = {.tv_usec = 200000};
	char body[512], text[1024], answer[256];
	int s = socket(AF_INET, SOCK_STREAM, 0), n;

	n = snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z\","
	    "\"state\":\"ready\",\"born\":%" PRId64 ",\"clockMs\":%" PRId64
	    ",\"capacity\":{\"cpu\":%" PRId64 ",\"memMb\":16000},"
	    "\"labels\":[\"%s\",\"%s\"]}",
	    me.pool, me.listen.addr, me.entry_port, me.born_ms, clock_ms(),
	    me.cpu, me.kind, me.rack);
	n = snprintf(text, sizeof(text),
	    "POST /fleet/put?topic=keyed.servers&key=%s HTTP/1.1\r\n"
	    "Host: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
	    me.id, n, body);
	to.sin_port = htons((uint16_t)me.store.port);
	inet_pton(AF_INET, me.store.addr, &to.sin_addr);
	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(s, (struct sockaddr *)&to, sizeof(to)) == 0 &&
	    write(s, text, (size_t)n) == n)
		(void)!read(s, answer, sizeof(answer));
	close(s);
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct hold *h, *next_hold;
	struct run *r, *next;

	lws_sul_schedule(http_server_context(me.server), 0, sul, on_tick,
	    TICK_MS * US_PER_MS);
	for (r = LIST_FIRST(&me.runs); r != NULL; r = next) {
		next = LIST_NEXT(r, entries);
		if (clock_ms() > me.lease_end_ms)
			end_run(r, "lapsed");
		else if (r->stop_ms != 0)
			end_run(r, "stopped");
		else if (now_ms() >= r->ends_ms)
			end_run(r, "done");
	}
	for (h = LIST_FIRST(&me.holds); h != NULL; h = next_hold) {
		next_hold = LIST_NEXT(h, entries);
		if (me.ended_count == 0 && now_ms() < h->until_ms)
			continue;
		LIST_REMOVE(h, entries);
		answer_hold(h->exchange);
		free(h);
	}
	if (me.beat_ms == 0 || now_ms() - me.beat_ms >= HEARTBEAT_MS) {
		me.beat_ms = now_ms();
		beat();
	}
}

/*
 * worker ID POOL ADDR:PORT STORE KIND RACK CPU RECORD [BORN-OFFSET-MS
 *     [PORT-OF-ITS-ENTRY]]
 */
int
main(int argc, char **argv)
{
	static const char *const keep[] = {"mimosalead-target-instance", NULL};
	struct http_server_opts o = {.connections_max = 200,
	    .body_max = 65536,
	    .keep_headers = keep,
	    .on_request = on_request,
	    .on_end = on_end};

	if (argc < 9 || listen_parse(&me.listen, argv[3]) == -1 ||
	    listen_parse(&me.store, argv[4]) == -1)
		return 2;
	me.id = argv[1];
	me.pool = argv[2];
	me.kind = argv[5];
	me.rack = argv[6];
	me.cpu = strtoll(argv[7], NULL, 10);
	me.record = fopen(argv[8], "ae");
	me.started_ms = now_ms();
	me.born_ms = clock_read_us(CLOCK_REALTIME) / US_PER_MS +
	    (argc > 9 ? strtoll(argv[9], NULL, 10) : 0);
	me.entry_port =
	    argc > 10 ? (int)strtol(argv[10], NULL, 10) : me.listen.port;
	LIST_INIT(&me.runs);
	LIST_INIT(&me.holds);
	o.addr = me.listen.addr;
	o.port = me.listen.port;
	me.server = http_server_new(&o);
	if (me.record == NULL || me.server == NULL)
		return 2;
	note("born %" PRId64, me.born_ms);
	lws_sul_schedule(
	    http_server_context(me.server), 0, &me.tick, on_tick, 1);
	return http_server_run(me.server);
}
