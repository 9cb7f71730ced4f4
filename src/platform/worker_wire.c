#include "worker_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"

static void
add_text(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static void
add_int(struct json_object *o, const char *key, int64_t value)
{
	json_object_object_add(o, key, json_object_new_int64(value));
}

static struct json_object *
command_new(const struct task_name *task, int64_t run, int64_t fence)
{
	struct json_object *o = json_object_new_object();
	char name[TASK_NAME_BYTES];

	task_name_format(task, name, sizeof(name));
	add_text(o, "task", name);
	add_int(o, "run", run);
	add_int(o, "fence", fence);
	return o;
}

struct buf *
worker_start_body(const struct worker_start_command *c)
{
	struct json_object *o = command_new(&c->task, c->run, c->fence);

	add_text(o, "taskSpec", c->task_spec);
	add_int(o, "deadlineMs", c->lease_end_ms);
	if (c->checkpoint[0] != '\0')
		add_text(o, "saved", c->checkpoint);
	if (c->ticket[0] != '\0')
		add_text(o, "ticket", c->ticket);
	return json_to_buf(o);
}

struct buf *
worker_stop_body(const struct task_name *task, int64_t run, int64_t fence)
{
	return json_to_buf(command_new(task, run, fence));
}

struct buf *
worker_throttle_body(
    const struct task_name *task, int64_t run, int percent, int64_t fence)
{
	struct json_object *o = command_new(task, run, fence);

	add_int(o, "percent", percent);
	return json_to_buf(o);
}

struct buf *
worker_renewal_body(
    int64_t fence, int64_t acked_end, int64_t lease_end_ms, int wait_ms)
{
	struct json_object *o = json_object_new_object();

	add_int(o, "fence", fence);
	add_int(o, "ackCursor", acked_end);
	if (lease_end_ms > 0)
		add_int(o, "deadlineMs", lease_end_ms);
	if (wait_ms > 0)
		add_int(o, "waitMs", wait_ms);
	return json_to_buf(o);
}

static enum worker_answer
answer_for_reason(const char *reason)
{
	static const struct {
		const char *name;
		enum worker_answer answer;
	} names[] = {
	    {"fence", WORKER_ANSWER_FENCED},
	    {"old", WORKER_ANSWER_RUN_ENDED},
	    {"late", WORKER_ANSWER_LEASE_EXPIRED},
	    {"room", WORKER_ANSWER_NO_CAPACITY},
	    {"ticket", WORKER_ANSWER_NO_TICKET},
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(names[i].name, reason) == 0)
			return names[i].answer;
	}
	return WORKER_ANSWER_MALFORMED;
}

enum worker_answer
worker_answer_parse(int status, const void *body, size_t len, int64_t *clock_ms)
{
	struct json_object *root = json_parse_object(body, len);
	char reason[NAME_BYTES];
	bool has_reason;

	*clock_ms = json_get_int(root, "clockMs", -1);
	has_reason = json_get_text(root, "reason", reason, sizeof(reason));
	json_object_put(root);
	switch (status) {
	case 200:
		return WORKER_ANSWER_ACCEPTED;
	case 409:
		return has_reason ? answer_for_reason(reason)
				  : WORKER_ANSWER_MALFORMED;
	case 421:
		return WORKER_ANSWER_OTHER_INCARNATION;
	case 429:
	case 503:
		return WORKER_ANSWER_UNAVAILABLE;
	default:
		return WORKER_ANSWER_MALFORMED;
	}
}

static bool
row_text(struct json_object *row, size_t i, char *out, size_t size)
{
	struct json_object *o = json_object_array_get_idx(row, i);

	if (o != NULL && !json_object_is_type(o, json_type_string))
		return false;
	snprintf(out, size, "%s", o != NULL ? json_object_get_string(o) : "");
	return o == NULL || (size_t)json_object_get_string_len(o) < size;
}

static int64_t
row_int(struct json_object *row, size_t i)
{
	struct json_object *o = json_object_array_get_idx(row, i);

	return o != NULL ? json_object_get_int64(o) : 0;
}

static bool
row_task(struct json_object *row, size_t i, struct task_name *task)
{
	char name[TASK_NAME_BYTES];

	return row_text(row, i, name, sizeof(name)) &&
	    task_name_parse(task, name);
}

/* [task, run, checkpoint, percent, usage] */
static bool
parse_running_row(struct run_report *r, struct json_object *row)
{
	if (!json_object_is_type(row, json_type_array) ||
	    !row_task(row, 0, &r->task) ||
	    !row_text(row, 2, r->checkpoint, sizeof(r->checkpoint)))
		return false;
	r->run = row_int(row, 1);
	r->progress_percent = (int)row_int(row, 3);
	r->usage = row_int(row, 4);
	return true;
}

static bool
parse_run_end(const char *text, enum run_end *outcome)
{
	static const char *const names[] = {
	    [RUN_DONE] = "done",
	    [RUN_FAILED] = "failed",
	    [RUN_STOPPED] = "stopped",
	    [RUN_LEASE_EXPIRED] = "lapsed",
	    [RUN_GANG_BROKEN] = "broken",
	    [RUN_GANG_INCOMPLETE] = "alone",
	};
	int i = name_find(names, sizeof(names) / sizeof(names[0]), text);

	if (i >= 0)
		*outcome = (enum run_end)i;
	return i >= 0;
}

/* [number, task, run, outcome, checkpoint] */
static bool
parse_ended_row(struct end_report *r, struct json_object *row)
{
	char outcome[NAME_BYTES];

	if (!json_object_is_type(row, json_type_array) ||
	    !row_task(row, 1, &r->task) ||
	    !row_text(row, 3, outcome, sizeof(outcome)) ||
	    !parse_run_end(outcome, &r->outcome) ||
	    !row_text(row, 4, r->checkpoint, sizeof(r->checkpoint)))
		return false;
	r->number = row_int(row, 0);
	r->run = row_int(row, 2);
	return true;
}

static int
parse_lists(struct renewal_report *r, struct json_object *root)
{
	struct json_object *list;
	size_t i, n;

	list = json_get_member(root, "running", json_type_array);
	n = list != NULL ? json_object_array_length(list) : 0;
	r->running = calloc(n + 1, sizeof(*r->running));
	if (r->running == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		if (parse_running_row(&r->running[r->running_count],
			json_object_array_get_idx(list, i)))
			r->running_count++;
	}
	list = json_get_member(root, "ended", json_type_array);
	n = list != NULL ? json_object_array_length(list) : 0;
	r->ended = calloc(n + 1, sizeof(*r->ended));
	if (r->ended == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		if (parse_ended_row(&r->ended[r->ended_count],
			json_object_array_get_idx(list, i)))
			r->ended_count++;
	}
	return 0;
}

int
renewal_report_parse(struct renewal_report *r, const void *body, size_t len)
{
	struct json_object *root = json_parse_object(body, len);
	int ret;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return -1;
	r->clock_ms = json_get_int(root, "clockMs", -1);
	r->started_ms = json_get_int(root, "born", 0);
	ret = r->clock_ms < 0 ? -1 : parse_lists(r, root);
	json_object_put(root);
	if (ret == -1)
		renewal_report_uninit(r);
	return ret;
}
