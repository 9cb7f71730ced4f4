#include "step.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "appender.h"
#include "control.h"
#include "path.h"
#include "peers.h"
#include "planner.h"
#include "status.h"
#include "tasks.h"
#include "view.h"

struct core {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint64_t id;
	uint64_t incarnation;
	uint64_t prng;
	int64_t now_us;
	int64_t wall_ms;
	bool stopping;
	bool stopped;
	struct fold *fold;
	struct peers *peers;
	struct appender *appender;
	struct control *control;
	struct planner *planner;
	struct tasks *tasks;
	struct path *path;
};

uint64_t
daemon_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

struct core *
core_new(const struct core_opts *opts)
{
	struct core *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	strncpy(c->name, opts->name, sizeof(c->name) - 1);
	strncpy(c->data_centre, opts->data_centre, sizeof(c->data_centre) - 1);
	c->id = daemon_id(c->name);
	c->incarnation = opts->incarnation;
	c->prng = opts->seed;
	c->fold = fold_new();
	c->peers = peers_new();
	c->appender = appender_new();
	c->control = control_new();
	c->planner = planner_new();
	c->tasks = tasks_new();
	c->path = path_new(opts->policy);
	if (c->fold == NULL || c->peers == NULL || c->appender == NULL ||
	    c->control == NULL || c->planner == NULL || c->tasks == NULL ||
	    c->path == NULL) {
		core_free(c);
		return NULL;
	}
	return c;
}

void
core_free(struct core *c)
{
	if (c == NULL)
		return;
	path_free(c->path);
	tasks_free(c->tasks);
	planner_free(c->planner);
	control_free(c->control);
	appender_free(c->appender);
	peers_free(c->peers);
	fold_free(c->fold);
	free(c);
}

static void
core_view_init(struct core *c, struct view *v)
{
	memset(v, 0, sizeof(*v));
	v->self = c->id;
	v->incarnation = c->incarnation;
	v->name = c->name;
	v->data_centre = c->data_centre;
	v->now_us = c->now_us;
	v->wall_ms = c->wall_ms;
	v->prng = &c->prng;
	v->fold = c->fold;
	v->peers = c->peers;
	v->path = c->path;
	v->control = c->control;
	v->appender = c->appender;
	v->ready = control_ready(c->control);
	v->stopping = c->stopping;
	v->log_down = control_log_down(c->control);
}

/*
 * A planned stop ends when no request is open, all appends are done and this
 * daemon is deregistered.  While the log is down, it does not wait for the
 * appends and the deregistration.
 */
static void
core_check_stopped(struct core *c, struct effects *fx)
{
	size_t pending;

	if (!c->stopping || c->stopped || path_open_count(c->path) > 0)
		return;
	pending = appender_pending(c->appender, STREAM_CONTROL) +
	    appender_pending(c->appender, STREAM_CLAIMS);
	if ((pending > 0 || !control_is_deregistered(c->control)) &&
	    !control_log_down(c->control))
		return;
	c->stopped = true;
	effects_add(fx, EFFECT_STOPPED);
}

void
core_step(struct core *c, const struct event *ev, struct effects *fx)
{
	struct view v;

	if (ev->now_us > c->now_us)
		c->now_us = ev->now_us;
	c->wall_ms = ev->wall_ms;
	if (ev->kind == EVENT_STOP)
		c->stopping = true;
	core_view_init(c, &v);
	peers_step(c->peers, &v, ev, fx);
	control_step(c->control, &c->fold, &v, ev, fx);
	core_view_init(c, &v);
	planner_step(c->planner, c->control, &v, ev);
	tasks_step(c->tasks, &v, ev, fx);
	path_step(c->path, &v, ev, fx);
	appender_step(c->appender, &v, ev, fx);
	core_check_stopped(c, fx);
}

uint64_t
core_id(const struct core *c)
{
	return c->id;
}

bool
core_healthy(const struct core *c)
{
	return !c->stopping && control_ready(c->control);
}

const struct path *
core_path(const struct core *c)
{
	return c->path;
}

const struct fold *
core_fold(const struct core *c)
{
	return c->fold;
}

const struct vm *
core_find_serving_vm(const struct core *c, const char *vm)
{
	const struct vm *r = fold_vm(c->fold, vm);

	if (r == NULL || !fold_vm_serves(c->fold, r) ||
	    control_vm_is_leaving(c->control, r->name, r->incarnation))
		return NULL;
	return r;
}

bool
core_propose_move(struct core *c, const char *vm, const char *pool)
{
	struct move m = {0};
	struct view v;

	core_view_init(c, &v);
	snprintf(m.vm, sizeof(m.vm), "%s", vm);
	snprintf(m.to_pool, sizeof(m.to_pool), "%s", pool);
	return control_propose_moves(c->control, &v, &m, 1);
}

struct json_object *
core_dump(const struct core *c)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "name", json_object_new_string(c->name));
	json_object_object_add(
	    o, "data_centre", json_object_new_string(c->data_centre));
	json_object_object_add(o, "id", json_object_new_uint64(c->id));
	json_object_object_add(
	    o, "incarnation", json_object_new_uint64(c->incarnation));
	json_object_object_add(
	    o, "healthy", json_object_new_boolean(core_healthy(c)));
	json_object_object_add(
	    o, "stopping", json_object_new_boolean(c->stopping));
	json_object_object_add(o, "fold", fold_dump(c->fold));
	json_object_object_add(o, "peers", peers_dump(c->peers));
	json_object_object_add(o, "control", control_dump(c->control));
	json_object_object_add(o, "tasks", tasks_dump(c->tasks));
	json_object_object_add(o, "planner", planner_dump(c->planner));
	json_object_object_add(o, "path", path_dump(c->path));
	json_object_object_add(o, "appender", appender_dump(c->appender));
	return o;
}

struct json_object *
core_status(struct core *c)
{
	struct view v;

	core_view_init(c, &v);
	return status_json(&v);
}

struct json_object *
core_plan(struct core *c)
{
	struct planner_output out;
	struct json_object *o;
	struct view v;

	core_view_init(c, &v);
	o = control_plan(c->control, &v);
	planner_sync(c->planner, c->fold, c->data_centre);
	planner_propose(c->planner, c->now_us, &out);
	json_object_object_add(o, "moves", planner_moves_json(&out));
	return o;
}

struct json_object *
core_tasks_post(struct core *c, const char *body, size_t len, struct err *e)
{
	struct view v;

	core_view_init(c, &v);
	return tasks_post(c->tasks, &v, body, len, e);
}

struct json_object *
core_tasks_delete(struct core *c, const char *body, size_t len, struct err *e)
{
	struct view v;

	core_view_init(c, &v);
	return tasks_delete(c->tasks, &v, body, len, e);
}

struct json_object *
core_task_json(const struct core *c, uint64_t id)
{
	return fold_task_json(fold_task_state(c->fold), id);
}

void
core_metrics(const struct core *c, struct buf *out)
{
	fold_metrics(c->fold, out);
	peers_metrics(c->peers, out);
	control_metrics(c->control, out);
	tasks_metrics(c->tasks, out);
	path_metrics(c->path, out);
	appender_metrics(c->appender, out);
}
