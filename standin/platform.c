#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "http_server.h"
#include "vms.h"
#include "worker_tasks.h"

#define TICK_US (20 * US_PER_MS)
#define BODY_MAX (4 * 1024 * 1024)
#define CONNECTIONS_MAX 512
#define READ_LIMIT_MAX 1000
#define WAIT_MAX_MS 30000

struct faults {
	bool down, log_only_down;
	int slow_ms;
	int lose_answers; /* appends that are written but not answered */
};

/* A long poll of a stream. */
struct waiter {
	struct exchange *exchange;
	struct log_stream *stream;
	uint64_t from;
	size_t limit;
	int64_t deadline_ms;
	LIST_ENTRY(waiter) entries;
};

struct platform {
	struct http_server *server;
	struct log log;
	struct vms vms;
	struct worker_tasks tasks;
	struct faults faults;
	lws_sorted_usec_list_t tick;
	LIST_HEAD(waiter_list, waiter) waiters;
};

static int64_t
now_ms(void)
{
	return lws_now_usecs() / US_PER_MS;
}

static void
answer_error(
    struct platform *p, struct exchange *x, int status, const char *message)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "error", json_object_new_string(message));
	exchange_json(x, status, o, p->faults.slow_ms);
}

static void
waiter_free(struct waiter *w)
{
	if (w == NULL)
		return;
	LIST_REMOVE(w, entries);
	if (w->exchange != NULL)
		w->exchange->user = NULL;
	free(w);
}

static void
waiter_answer(struct platform *p, struct waiter *w)
{
	struct exchange *x = w->exchange;

	exchange_json(
	    x, 200, log_read(w->stream, w->from, w->limit), p->faults.slow_ms);
	waiter_free(w);
}

static void
waiters_wake(struct platform *p, const struct log_stream *s)
{
	struct waiter *w, *next;

	for (w = LIST_FIRST(&p->waiters); w != NULL; w = next) {
		next = LIST_NEXT(w, entries);
		if (w->stream == s && log_tail(s) > w->from)
			waiter_answer(p, w);
	}
}

static void
waiters_tick(struct platform *p)
{
	struct waiter *w, *next;
	int64_t now = now_ms();

	for (w = LIST_FIRST(&p->waiters); w != NULL; w = next) {
		next = LIST_NEXT(w, entries);
		if (p->faults.down || p->faults.log_only_down) {
			answer_error(p, w->exchange, 503, "down");
			waiter_free(w);
		} else if (now >= w->deadline_ms) {
			waiter_answer(p, w);
		}
	}
}

static void
handle_append(struct platform *p, struct exchange *x, struct log_stream *s)
{
	struct json_object *o, *data;
	uint64_t offset = 0;

	if (!log_admit(&p->log, now_ms())) {
		answer_error(p, x, 429, "append rate limit");
		return;
	}
	o = exchange_body_json(x);
	if (json_object_object_get_ex(o, "data", &data) &&
	    json_object_is_type(data, json_type_string))
		offset = log_append(
		    &p->log, s, json_object_get_string(data), now_ms());
	json_object_put(o);
	if (offset == 0) {
		answer_error(p, x, 400, "\"data\" must be base64");
		return;
	}
	waiters_wake(p, s);
	if (p->faults.lose_answers > 0) {
		p->faults.lose_answers--;
		exchange_drop(x);
		return;
	}
	o = json_object_new_object();
	json_object_object_add(
	    o, "offset", json_object_new_int64((int64_t)offset));
	exchange_json(x, 200, o, p->faults.slow_ms);
}

static void
handle_read_gone(
    struct platform *p, struct exchange *x, const struct log_stream *s)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "first", json_object_new_int64((int64_t)log_first(s)));
	json_object_object_add(
	    o, "tail", json_object_new_int64((int64_t)log_tail(s)));
	exchange_json(x, 410, o, p->faults.slow_ms);
}

static void
handle_read(struct platform *p, struct exchange *x, struct log_stream *s)
{
	uint64_t from = (uint64_t)exchange_int(x, "from", 0);
	int64_t limit = exchange_int(x, "limit", READ_LIMIT_MAX);
	int64_t wait_ms = exchange_int(x, "wait_ms", 0);
	struct waiter *w;

	log_expire(&p->log, s, now_ms());
	if (limit < 1 || limit > READ_LIMIT_MAX)
		limit = READ_LIMIT_MAX;
	if (from < log_first(s)) {
		handle_read_gone(p, x, s);
		return;
	}
	if (from < log_tail(s) && log_tail(s) > 1)
		wait_ms = 0;
	w = wait_ms > 0 ? calloc(1, sizeof(*w)) : NULL;
	if (w == NULL) {
		exchange_json(x, 200, log_read(s, from, (size_t)limit),
		    p->faults.slow_ms);
		return;
	}
	w->exchange = x;
	w->stream = s;
	w->from = from > 0 ? from : 1;
	w->limit = (size_t)limit;
	w->deadline_ms =
	    now_ms() + (wait_ms > WAIT_MAX_MS ? WAIT_MAX_MS : wait_ms);
	x->user = w;
	LIST_INSERT_HEAD(&p->waiters, w, entries);
}

static void
handle_log(struct platform *p, struct exchange *x)
{
	struct log_stream *s = log_stream(&p->log, x->path + strlen("/log/"));

	if (p->faults.log_only_down)
		answer_error(p, x, 503, "down");
	else if (s == NULL)
		answer_error(p, x, 404, "no such stream");
	else if (strcmp(x->method, "POST") == 0)
		handle_append(p, x, s);
	else
		handle_read(p, x, s);
}

static void
handle_list(struct platform *p, struct exchange *x, bool usage)
{
	char name[NAME_BYTES];
	const char *data_centre = NULL;
	uint64_t since = (uint64_t)exchange_int(x, "since", 0);
	struct json_object *o;

	if (exchange_str(x, "data_centre", name, sizeof(name)))
		data_centre = name;
	o = usage ? worker_tasks_read(&p->tasks, data_centre, since, now_ms())
		  : vms_read(&p->vms, data_centre, since);
	exchange_json(x, 200, o, p->faults.slow_ms);
}

static int64_t
get_int(struct json_object *o, const char *key)
{
	struct json_object *x;

	return json_object_object_get_ex(o, key, &x) ? json_object_get_int64(x)
						     : 0;
}

static uint64_t
get_u64(struct json_object *o, const char *key)
{
	struct json_object *x;

	return json_object_object_get_ex(o, key, &x) ? json_object_get_uint64(x)
						     : 0;
}

static const char *
get_string(struct json_object *o, const char *key)
{
	struct json_object *x;

	return json_object_object_get_ex(o, key, &x) ? json_object_get_string(x)
						     : "";
}

static void
handle_vm_op(struct platform *p, struct exchange *x, const char *vm,
    const char *op, struct json_object *body)
{
	const struct vms_operation *answer = NULL;
	struct json_object *o;

	switch (vms_operate(&p->vms, vm, op, get_u64(body, "key"),
	    get_u64(body, "incarnation"), get_string(body, "pool"), now_ms(),
	    &answer)) {
	case VMS_MISSING:
		answer_error(p, x, 404, "no such VM");
		return;
	case VMS_CONFLICT:
		answer_error(p, x, 409, "another incarnation");
		return;
	case VMS_DONE:
		break;
	}
	if (strcmp(op, "reboot") == 0)
		worker_tasks_vm_lost(&p->tasks, vm, now_ms());
	o = json_object_new_object();
	json_object_object_add(
	    o, "state", json_object_new_string(answer->state));
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(answer->incarnation));
	exchange_json(x, 200, o, p->faults.slow_ms);
}

static void
handle_task_op(struct platform *p, struct exchange *x, const char *vm,
    const char *task, const char *op, struct json_object *body)
{
	struct vms_entry *entry = vms_get(&p->vms, vm);
	struct worker_task_call call = {.vm = vm,
	    .op = op,
	    .vm_incarnation = get_u64(body, "incarnation"),
	    .task = strtoull(task, NULL, 10),
	    .key = get_u64(body, "key"),
	    .epoch = get_u64(body, "epoch"),
	    .lease_s = get_int(body, "lease_s"),
	    .cores = get_int(body, "cores"),
	    .memory_mb = get_int(body, "memory_mb"),
	    .accelerators = get_int(body, "accelerators")};
	struct json_object *o;
	int state;

	if (entry == NULL) {
		answer_error(p, x, 404, "no such VM");
		return;
	}
	if (entry->truth.incarnation != call.vm_incarnation ||
	    entry->truth.state == VM_LIST_GONE) {
		answer_error(p, x, 409, "another incarnation");
		return;
	}
	call.data_centre = entry->truth.data_centre;
	state = worker_tasks_call(&p->tasks, &call, now_ms());
	if (state < 0) {
		answer_error(p, x, 409, "a newer epoch was seen");
		return;
	}
	o = json_object_new_object();
	json_object_object_add(o, "state", json_object_new_int(state));
	exchange_json(x, 200, o, p->faults.slow_ms);
}

/* POST /vms/VM/OP and POST /vms/VM/tasks/TASK/OP */
static void
handle_vm(struct platform *p, struct exchange *x)
{
	char vm[NAME_BYTES], op[16], task[24];
	struct json_object *body = exchange_body_json(x);

	if (body == NULL)
		answer_error(p, x, 400, "the body must be JSON");
	else if (sscanf(x->path, "/vms/%39[^/]/tasks/%23[0-9]/%15[a-z]", vm,
		     task, op) == 3)
		handle_task_op(p, x, vm, task, op, body);
	else if (sscanf(x->path, "/vms/%39[^/]/%15[a-z]", vm, op) == 2 &&
	    (strcmp(op, "drain") == 0 || strcmp(op, "reboot") == 0 ||
		strcmp(op, "assign") == 0))
		handle_vm_op(p, x, vm, op, body);
	else
		answer_error(p, x, 404, "no such operation");
	json_object_put(body);
}

static void
set_bool(struct json_object *o, const char *key, bool *out)
{
	struct json_object *x;

	if (json_object_object_get_ex(o, key, &x))
		*out = json_object_get_boolean(x);
}

static void
set_int(struct json_object *o, const char *key, int *out)
{
	struct json_object *x;

	if (json_object_object_get_ex(o, key, &x))
		*out = json_object_get_int(x);
}

static void
handle_faults(struct platform *p, struct json_object *body)
{
	struct json_object *x;

	set_bool(body, "down", &p->faults.down);
	set_bool(body, "log_only_down", &p->faults.log_only_down);
	set_int(body, "slow_ms", &p->faults.slow_ms);
	set_int(body, "lose_answers", &p->faults.lose_answers);
	set_int(body, "vm_list_lag_ms", &p->vms.lag_ms);
	if (json_object_object_get_ex(body, "failing_vm", &x))
		snprintf(p->tasks.failing_vm, sizeof(p->tasks.failing_vm), "%s",
		    json_object_get_string(x));
}

static struct json_object *
platform_state(const struct platform *p)
{
	struct json_object *o = vms_state(&p->vms);
	struct json_object *tasks =
	    worker_tasks_read(&p->tasks, NULL, 0, INT64_MAX);

	const struct http_server_traffic *t = http_server_traffic(p->server);

	json_object_object_add(o, "log", log_state(&p->log));
	json_object_object_add(
	    o, "requests", json_object_new_uint64(t->requests));
	json_object_object_add(
	    o, "bytes_in", json_object_new_uint64(t->bytes_in));
	json_object_object_add(
	    o, "bytes_out", json_object_new_uint64(t->bytes_out));
	json_object_object_add(o, "tasks", tasks);
	json_object_object_add(
	    o, "down", json_object_new_boolean(p->faults.down));
	json_object_object_add(
	    o, "lose_answers", json_object_new_int(p->faults.lose_answers));
	return o;
}

/* A VM's state set by a test. */
static bool
handle_standin_vm(struct platform *p, const char *path, struct json_object *o)
{
	char vm[NAME_BYTES];

	if (sscanf(path, "/standin/vms/%39[^/]/state", vm) != 1)
		return false;
	return vms_set_state(&p->vms, vm, get_string(o, "state"), now_ms());
}

static void
handle_standin(struct platform *p, struct exchange *x)
{
	struct json_object *body = exchange_body_json(x);
	int status = 200;

	if (strcmp(x->path, "/standin/state") == 0) {
		exchange_json(x, 200, platform_state(p), 0);
		json_object_put(body);
		return;
	}
	if (body == NULL)
		status = 400;
	else if (strcmp(x->path, "/standin/faults") == 0)
		handle_faults(p, body);
	else if (strcmp(x->path, "/standin/vms") == 0)
		vms_load(&p->vms, body, now_ms());
	else if (!handle_standin_vm(p, x->path, body))
		status = 404;
	json_object_put(body);
	exchange_answer(x, status, NULL);
}

static void
on_request(void *arg, struct exchange *x)
{
	struct platform *p = arg;

	if (strncmp(x->path, "/standin/", strlen("/standin/")) == 0)
		handle_standin(p, x);
	else if (p->faults.down)
		answer_error(p, x, 503, "down");
	else if (strncmp(x->path, "/log/", strlen("/log/")) == 0)
		handle_log(p, x);
	else if (strcmp(x->path, "/vms") == 0)
		handle_list(p, x, false);
	else if (strcmp(x->path, "/usage") == 0)
		handle_list(p, x, true);
	else if (strncmp(x->path, "/vms/", strlen("/vms/")) == 0)
		handle_vm(p, x);
	else
		answer_error(p, x, 404, "no such path");
}

static void
on_end(void *arg, struct exchange *x)
{
	(void)arg;
	waiter_free(x->user);
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct platform *p = lws_container_of(sul, struct platform, tick);

	vms_tick(&p->vms, now_ms());
	worker_tasks_tick(&p->tasks, now_ms());
	waiters_tick(p);
	lws_sul_schedule(
	    http_server_context(p->server), 0, &p->tick, on_tick, TICK_US);
}

/* The first list is seen at once, without the lag. */
static int
platform_load(struct platform *p, const char *file, struct err *e)
{
	struct json_object *list;
	int lag_ms = p->vms.lag_ms;
	int n;

	if (file == NULL)
		return 0;
	list = json_object_from_file(file);
	p->vms.lag_ms = 0;
	n = vms_load(&p->vms, list, now_ms());
	p->vms.lag_ms = lag_ms;
	json_object_put(list);
	if (n == 0)
		return err_set(e, ERR_SYNTAX, 0, "give a JSON list of VMs",
		    "%s holds no VMs", file);
	vms_tick(&p->vms, now_ms());
	return 0;
}

struct platform *
platform_new(const struct platform_opts *opts, struct err *e)
{
	struct http_server_opts server = {.addr = opts->addr,
	    .port = opts->port,
	    .connections_max = CONNECTIONS_MAX,
	    .body_max = BODY_MAX,
	    .on_request = on_request,
	    .on_end = on_end};
	struct platform *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	LIST_INIT(&p->waiters);
	log_init(&p->log, &opts->log);
	vms_init(&p->vms, opts->vm_list_lag_ms, opts->reboot_ms, opts->seed);
	worker_tasks_init(&p->tasks, opts->usage_lag_ms, opts->task_ms);
	if (platform_load(p, opts->vms_file, e) == -1)
		goto fail;
	server.arg = p;
	p->server = http_server_new(&server);
	if (p->server == NULL) {
		err_set(e, ERR_IO, 0, "choose another --listen",
		    "cannot listen on %s:%d", opts->addr, opts->port);
		goto fail;
	}
	return p;
fail:
	platform_free(p);
	return NULL;
}

void
platform_free(struct platform *p)
{
	if (p == NULL)
		return;
	lws_sul_cancel(&p->tick);
	http_server_free(p->server);
	log_uninit(&p->log);
	vms_uninit(&p->vms);
	worker_tasks_uninit(&p->tasks);
	free(p);
}

int
platform_run(struct platform *p)
{
	lws_sul_schedule(
	    http_server_context(p->server), 0, &p->tick, on_tick, TICK_US);
	return http_server_run(p->server);
}
