#include "admin_server.h"

#include <stdlib.h>
#include <string.h>

#include "caller_server.h"
#include "http_listener.h"
#include "peer_link.h"
#include "platform_client.h"
#include "upstream.h"

#define ADMIN_BODY_MAX_BYTES 65536
#define TASK_PREFIX "/tasks/"
#define ADMIN_CONNECTIONS_MAX 64
#define METRICS_BYTES 16384 /* initial buffer size */

struct admin_server {
	struct shell *shell;
	struct http_listener *listener;
};

static void
send_answer(struct admin_server *as, uint64_t id, int status, const char *type,
    struct buf *body)
{
	struct http_reply r = {.status = status, .lines = type, .body = body};

	http_listener_answer(as->listener, id, &r);
	buf_unref(body);
}

static void
answer_text(struct admin_server *as, uint64_t id, int status, const char *text)
{
	send_answer(as, id, status, "content-type: text/plain\r\n",
	    buf_from(text, strlen(text)));
}

static void
answer_json(struct admin_server *as, uint64_t id, struct json_object *o)
{
	const char *s;

	s = json_object_to_json_string_ext(
	    o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED);
	send_answer(as, id, 200, "content-type: application/json\r\n",
	    buf_from(s, strlen(s)));
	json_object_put(o);
}

static void
answer_metrics(struct admin_server *as, uint64_t id)
{
	struct shell *sh = as->shell;
	struct buf *b = buf_new(METRICS_BYTES);

	if (b == NULL) {
		answer_text(as, id, 500, "no memory\n");
		return;
	}
	core_metrics(sh->core, b);
	caller_server_metrics(sh->callers, b);
	upstreams_metrics(sh->upstreams, b);
	peer_links_metrics(sh->links, b);
	platform_client_metrics(sh->platform, b);
	send_answer(
	    as, id, 200, "content-type: text/plain; version=0.0.4\r\n", b);
}

static void
answer_health(struct admin_server *as, uint64_t id)
{
	if (as->shell->stopping)
		answer_text(as, id, 503, "leaving\n");
	else if (!core_healthy(as->shell->core))
		answer_text(as, id, 503, "starting\n");
	else
		answer_text(as, id, 200, "ok\n");
}

/*
 * Answers GET /text: the text in force and its version. Operators edit it and
 * publish the result.
 */
static void
answer_config(struct admin_server *as, uint64_t id)
{
	const struct fold *f = core_fold(as->shell->core);
	struct text *t = fold_text(f);
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "version",
	    json_object_new_uint64(t != NULL ? fold_config_version(f) : 0));
	json_object_object_add(o, "text",
	    t != NULL
		? json_object_new_string_len(t->source, (int)t->source_len)
		: NULL);
	answer_json(as, id, o);
}

static void
answer_error(
    struct admin_server *as, uint64_t id, int status, const struct err *e)
{
	struct json_object *o = json_object_new_object();
	const char *s;

	json_object_object_add(o, "error", json_object_new_string(e->message));
	json_object_object_add(o, "remedy", json_object_new_string(e->remedy));
	s = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	send_answer(as, id, status, "content-type: application/json\r\n",
	    buf_from(s, strlen(s)));
	json_object_put(o);
}

/* Submits (POST) or cancels (DELETE) tasks. */
static void
change_tasks(struct admin_server *as, uint64_t id, const struct request *r,
    struct json_object *(*change)(
	struct core *, const char *, size_t, struct err *))
{
	const char *body = r->body != NULL ? (const char *)r->body->data : "";
	size_t len = r->body != NULL ? r->body->len : 0;
	struct json_object *o;
	struct err e;

	if (as->shell->stopping) {
		answer_text(as, id, 503, "leaving\n");
		return;
	}
	err_clear(&e);
	o = change(as->shell->core, body, len, &e);
	if (o != NULL)
		answer_json(as, id, o);
	else
		answer_error(as, id, 409, &e);
}

static void
answer_task(struct admin_server *as, uint64_t id, const char *task)
{
	struct json_object *o;

	o = core_task_json(as->shell->core, strtoull(task, NULL, 16));
	if (o != NULL)
		answer_json(as, id, o);
	else
		answer_text(as, id, 404, "no such task on record\n");
}

static void
on_get(struct admin_server *as, uint64_t id, const char *path)
{
	struct core *core = as->shell->core;

	if (strcmp(path, "/healthz") == 0)
		answer_health(as, id);
	else if (strcmp(path, "/metrics") == 0)
		answer_metrics(as, id);
	else if (strcmp(path, "/dump") == 0)
		answer_json(as, id, core_dump(core));
	else if (strcmp(path, "/status") == 0)
		answer_json(as, id, core_status(core));
	else if (strcmp(path, "/plan") == 0)
		answer_json(as, id, core_plan(core));
	else if (strcmp(path, "/text") == 0)
		answer_config(as, id);
	else if (strncmp(path, TASK_PREFIX, strlen(TASK_PREFIX)) == 0)
		answer_task(as, id, path + strlen(TASK_PREFIX));
	else
		answer_text(as, id, 404,
		    "known: /healthz /metrics /dump /status /plan /text "
		    "/tasks/ID\n");
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct admin_server *as = arg;

	if (strcmp(r->method, "GET") == 0)
		on_get(as, id, r->path);
	else if (strcmp(r->path, "/tasks") != 0)
		answer_text(as, id, 404, "known: POST and DELETE /tasks\n");
	else if (strcmp(r->method, "POST") == 0)
		change_tasks(as, id, r, core_tasks_post);
	else if (strcmp(r->method, "DELETE") == 0)
		change_tasks(as, id, r, core_tasks_delete);
	else
		answer_text(as, id, 405, "known: POST and DELETE /tasks\n");
}

static void
on_gone(void *arg, uint64_t id)
{
	(void)arg;
	(void)id;
}

struct admin_server *
admin_server_new(struct shell *sh, struct err *e)
{
	struct http_listener_opts o;
	struct admin_server *as;

	as = calloc(1, sizeof(*as));
	if (as == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the admin server");
		return NULL;
	}
	as->shell = sh;
	memset(&o, 0, sizeof(o));
	o.context = sh->context;
	o.name = "admin";
	o.addr = sh->settings->admin.addr;
	o.port = sh->settings->admin.port;
	o.body_max_bytes = ADMIN_BODY_MAX_BYTES;
	o.connections_max = ADMIN_CONNECTIONS_MAX;
	o.on_request = on_request;
	o.on_gone = on_gone;
	o.refusal_lines = "";
	o.arg = as;
	as->listener = http_listener_new(&o, e);
	if (as->listener == NULL) {
		free(as);
		return NULL;
	}
	return as;
}

void
admin_server_free(struct admin_server *as)
{
	if (as == NULL)
		return;
	http_listener_free(as->listener);
	free(as);
}

size_t
admin_server_busy_count(const struct admin_server *as)
{
	return http_listener_busy_count(as->listener);
}
