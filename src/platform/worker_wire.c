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
	case 400:
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
	return json_copy_text(json_object_array_get_idx(row, i), out, size);
}

static bool
row_int(
    struct json_object *row, size_t i, int64_t min, int64_t max, int64_t *out)
{
	return json_int_within(
	    json_object_array_get_idx(row, i), min, max, out);
}

/* For numbers that identify something: from 1, without a fraction. */
static bool
row_number(struct json_object *row, size_t i, int64_t *out)
{
	struct json_object *o = json_object_array_get_idx(row, i);

	return json_int_within(o, 1, JSON_INT_MAX, out) &&
	    (double)*out == json_object_get_double(o);
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
parse_running_row(void *out, struct json_object *row)
{
	struct run_report *r = out;
	int64_t percent;

	if (!json_object_is_type(row, json_type_array) ||
	    !row_task(row, 0, &r->task) || !row_number(row, 1, &r->run) ||
	    !row_text(row, 2, r->checkpoint, sizeof(r->checkpoint)) ||
	    !row_int(row, 3, 0, INT32_MAX, &percent) ||
	    !row_int(row, 4, -JSON_INT_MAX, JSON_INT_MAX, &r->usage))
		return false;
	r->progress_percent = (int)percent;
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
parse_ended_row(void *out, struct json_object *row)
{
	struct end_report *r = out;
	char outcome[NAME_BYTES];

	return json_object_is_type(row, json_type_array) &&
	    row_number(row, 0, &r->number) && row_task(row, 1, &r->task) &&
	    row_number(row, 2, &r->run) &&
	    row_text(row, 3, outcome, sizeof(outcome)) &&
	    parse_run_end(outcome, &r->outcome) &&
	    row_text(row, 4, r->checkpoint, sizeof(r->checkpoint));
}

/*
 * Returns the rows of a member, each of "size" bytes; the caller frees them.
 * NULL when the member or a row is malformed, or memory is short.
 */
static void *
parse_rows(struct json_object *root, const char *key, size_t size,
    bool (*parse_row)(void *out, struct json_object *row), size_t *count)
{
	struct json_object *list = NULL;
	uint8_t *out;
	size_t i, n;

	json_object_object_get_ex(root, key, &list);
	if (list != NULL && !json_object_is_type(list, json_type_array))
		return NULL;
	n = list != NULL ? json_object_array_length(list) : 0;
	out = calloc(n + 1, size);
	for (i = 0; out != NULL && i < n; i++) {
		if (parse_row(
			out + i * size, json_object_array_get_idx(list, i)))
			continue;
		free(out);
		return NULL;
	}
	*count = n;
	return out;
}

static int
parse_report(struct renewal_report *r, struct json_object *root)
{
	struct json_object *clock;

	if (!json_object_object_get_ex(root, "clockMs", &clock) ||
	    clock == NULL ||
	    !json_int_within(clock, 0, UNIX_TIME_MAX_MS, &r->clock_ms) ||
	    !json_get_whole_within(
		root, "born", 0, UNIX_TIME_MAX_MS, &r->started_ms))
		return -1;
	r->running = parse_rows(root, "running", sizeof(*r->running),
	    parse_running_row, &r->running_count);
	if (r->running == NULL)
		return -1;
	r->ended = parse_rows(
	    root, "ended", sizeof(*r->ended), parse_ended_row, &r->ended_count);
	return r->ended != NULL ? 0 : -1;
}

int
renewal_report_parse(struct renewal_report *r, const void *body, size_t len)
{
	struct json_object *root = json_parse_object(body, len);
	int ret;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return -1;
	ret = parse_report(r, root);
	json_object_put(root);
	if (ret == -1)
		renewal_report_uninit(r);
	return ret;
}
