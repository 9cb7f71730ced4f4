#include "worker_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "text_reader.h"

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

/* Adds the text unless it is NULL or empty. */
static void
add_buf(struct json_object *o, const char *key, const struct buf *text)
{
	if (text != NULL && text->len > 0)
		json_object_object_add(o, key,
		    json_object_new_string_len(
			(const char *)text->data, (int)text->len));
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
	add_buf(o, "saved", c->checkpoint);
	add_buf(o, "ticket", c->ticket);
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
parse_running_row(
    struct renewal_report *r, struct json_object *row, struct text_reader *t)
{
	struct run_report *out = &r->running[r->running_count];
	int64_t percent;

	if (!json_object_is_type(row, json_type_array) ||
	    !row_task(row, 0, &out->task) || !row_number(row, 1, &out->run))
		return false;
	out->checkpoint_left_out = !text_reader_copy(
	    t, json_object_array_get_idx(row, 2), &out->checkpoint);
	out->progress_percent = row_int(row, 3, 0, INT32_MAX, &percent)
	    ? (int)percent
	    : RUN_PROGRESS_UNKNOWN;
	if (!row_int(row, 4, -JSON_INT_MAX, JSON_INT_MAX, &out->usage))
		out->usage = 0;
	r->running_count++;
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

/*
 * [number, task, run, outcome, checkpoint].  An outcome that cannot be read is
 * none of those that count: the task starts again.
 */
static bool
parse_ended_row(
    struct renewal_report *r, struct json_object *row, struct text_reader *t)
{
	struct end_report *out = &r->ended[r->ended_count];
	char outcome[NAME_BYTES];

	if (!json_object_is_type(row, json_type_array) ||
	    !row_number(row, 0, &out->number) ||
	    !row_task(row, 1, &out->task) || !row_number(row, 2, &out->run))
		return false;
	if (!row_text(row, 3, outcome, sizeof(outcome)) ||
	    !parse_run_end(outcome, &out->outcome))
		out->outcome = RUN_STOPPED;
	out->checkpoint_left_out = !text_reader_copy(
	    t, json_object_array_get_idx(row, 4), &out->checkpoint);
	r->ended_count++;
	return true;
}

/* Counts the rows of the list that cannot be read. */
static size_t
parse_rows(struct renewal_report *r, struct json_object *list,
    struct text_reader *t,
    bool (*parse_row)(struct renewal_report *r, struct json_object *row,
	struct text_reader *t))
{
	size_t i, n = json_object_array_length(list), unreadable = 0;

	for (i = 0; i < n; i++)
		unreadable +=
		    !parse_row(r, json_object_array_get_idx(list, i), t);
	return unreadable;
}

static size_t
row_count(struct json_object *list)
{
	return list != NULL ? json_object_array_length(list) : 0;
}

static int
parse_report(
    struct renewal_report *r, struct json_object *root, struct text_reader *t)
{
	struct json_object *clock, *running, *ended;

	if (!json_object_object_get_ex(root, "clockMs", &clock) ||
	    clock == NULL ||
	    !json_int_within(clock, 0, UNIX_TIME_MAX_MS, &r->clock_ms) ||
	    !json_get_whole_within(
		root, "born", 0, UNIX_TIME_MAX_MS, &r->started_ms) ||
	    !json_has_type(root, "running", json_type_array) ||
	    !json_has_type(root, "ended", json_type_array))
		return -1;
	running = json_get_member(root, "running", json_type_array);
	ended = json_get_member(root, "ended", json_type_array);
	r->running = calloc(row_count(running) + 1, sizeof(*r->running));
	r->ended = calloc(row_count(ended) + 1, sizeof(*r->ended));
	r->texts = buf_ref(t->texts);
	if (r->running == NULL || r->ended == NULL)
		return -1;
	if (running != NULL)
		r->unreadable_count +=
		    parse_rows(r, running, t, parse_running_row);
	if (ended != NULL)
		r->unreadable_count += parse_rows(r, ended, t, parse_ended_row);
	return 0;
}

int
renewal_report_parse(struct renewal_report *r, const void *body, size_t len)
{
	struct json_object *root = json_parse_object(body, len);
	struct text_reader t;
	int ret = -1;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return -1;
	if (text_reader_init(&t, body, len) == 0) {
		ret = parse_report(r, root, &t);
		text_reader_uninit(&t);
	}
	json_object_put(root);
	if (ret == -1)
		renewal_report_uninit(r);
	return ret;
}
