#include "job_spec_wire.h"

#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "long_name.h"
#include "text_reader.h"

#define TASK_SPEC_MAX_BYTES 4000

static int
step_error(struct err *e, size_t step, const char *what)
{
	return err_set(e, ERR_RANGE, 0,
	    "correct the step and submit the job again", "step %zu: %s", step,
	    what);
}

static int
parse_dependencies(
    struct step_spec *s, struct json_object *o, size_t step, struct err *e)
{
	struct json_object *list = json_get_member(o, "after", json_type_array);
	size_t i, n = list != NULL ? json_object_array_length(list) : 0;
	int64_t earlier;

	if (n == 0)
		return 0;
	s->depends_on = calloc(n, sizeof(*s->depends_on));
	if (s->depends_on == NULL)
		return err_set(e, ERR_MEMORY, 0, "submit the job again later",
		    "no memory for the steps of the job");
	for (i = 0; i < n; i++) {
		earlier =
		    json_object_get_int64(json_object_array_get_idx(list, i));
		if (earlier < 0 || (size_t)earlier >= step)
			return step_error(
			    e, step, "\"after\" does not name an earlier step");
		s->depends_on[s->depends_on_count++] = (unsigned)earlier;
	}
	return 0;
}

static bool
parse_strings(struct step_spec *s, struct json_object *o)
{
	return json_get_name(o, "requires", s->label) &&
	    json_get_name(o, "dataLocality", s->rack) &&
	    json_get_name(o, "image", s->image);
}

static void
parse_flags(struct step_spec *s, struct json_object *o)
{
	s->has_checkpoints = json_get_bool(o, "checkpointing");
	s->gang = json_get_bool(o, "gang");
	s->same_rack = json_get_bool(o, "sameRack");
	s->speculative = json_get_bool(o, "speculative");
	s->long_running = json_get_bool(o, "longRunning");
	s->best_effort = json_get_bool(o, "fills");
}

static int
parse_step(
    struct step_spec *s, struct json_object *o, size_t step, struct err *e)
{
	int64_t count, per_worker, may_miss;

	if (!json_object_is_type(o, json_type_object) || !parse_strings(s, o))
		return step_error(
		    e, step, "not an object, or a string field is invalid");
	count = json_get_int(o, "count", 0);
	per_worker = json_get_int(o, "antiAffinity", 0);
	may_miss = json_get_int(o, "mayMiss", 0);
	s->cpu_milli = json_get_int(o, "cpu", 0);
	s->memory_mb = json_get_int(o, "memMb", 0);
	s->accelerators = json_get_int(o, "gpu", 0);
	s->estimate_ms = json_get_int(o, "estimateMs", 0);
	s->tail_target_ms = json_get_int(o, "targetMs", 0);
	if (count < 1 || count > JOB_TASKS_MAX)
		return step_error(
		    e, step, "\"count\" is not within 1 to 20,000");
	if (s->cpu_milli < 0 || s->memory_mb < 0 || s->accelerators < 0 ||
	    s->estimate_ms < 0 || per_worker < 0 || may_miss < 0)
		return step_error(e, step, "a number is negative");
	s->task_count = (unsigned)count;
	s->max_per_worker = (unsigned)per_worker;
	s->max_unavailable = (unsigned)may_miss;
	parse_flags(s, o);
	return parse_dependencies(s, o, step, e);
}

static int
parse_schedule(struct job_spec *out, struct json_object *root, struct err *e)
{
	int64_t repetitions = json_get_int(root, "repetitions", 0);

	out->first_start_ms = json_get_int(root, "startAtMs", 0);
	out->interval_ms = json_get_int(root, "intervalMs", 0);
	if (repetitions < 0 || repetitions > INT32_MAX || out->interval_ms < 0)
		return err_set(e, ERR_RANGE, 0,
		    "correct the numbers and submit the job again",
		    "\"repetitions\" or \"intervalMs\" is out of range");
	out->repetitions = (unsigned)repetitions;
	return 0;
}

static int
parse_task_spec(struct job_spec *out, struct json_object *root, struct err *e)
{
	char spec[TASK_SPEC_MAX_BYTES + 1];

	if (!json_get_text(root, "taskSpec", spec, sizeof(spec)))
		return err_set(e, ERR_LIMIT, 0,
		    "send a string of at most 4,000 bytes",
		    "\"taskSpec\" is not a string or is too long");
	out->task_spec = strdup(spec);
	return out->task_spec == NULL ? -1 : 0;
}

static struct job_spec *
parse_root(struct json_object *root, struct err *e)
{
	struct json_object *steps =
	    json_get_member(root, "steps", json_type_array);
	size_t i, n = steps != NULL ? json_object_array_length(steps) : 0;
	struct job_spec *out;

	if (n == 0 || n > JOB_STEPS_MAX) {
		err_set(e, ERR_RANGE, 0, "send 1 to 256 steps",
		    "the job has %zu steps", n);
		return NULL;
	}
	out = job_spec_new(n);
	if (out == NULL || parse_task_spec(out, root, e) == -1 ||
	    parse_schedule(out, root, e) == -1)
		goto fail;
	for (i = 0; i < n; i++) {
		if (parse_step(&out->steps[i],
			json_object_array_get_idx(steps, i), i, e) == -1)
			goto fail;
	}
	if (job_spec_task_count(out) <= JOB_TASKS_MAX)
		return out;
	err_set(e, ERR_LIMIT, 0, "split it into jobs of at most 20,000 tasks",
	    "the job has %zu tasks", job_spec_task_count(out));
fail:
	job_spec_unref(out);
	return NULL;
}

struct job_spec *
job_spec_parse(const void *data, size_t len, struct err *e)
{
	struct json_object *root = json_parse_object(data, len);
	struct job_spec *out;

	if (root == NULL) {
		err_set(e, ERR_SYNTAX, 0, "send one JSON object",
		    "the body is not a JSON object");
		return NULL;
	}
	out = parse_root(root, e);
	json_object_put(root);
	return out;
}

struct job_spec *
job_spec_parse_submitted(const void *data, size_t len, struct err *e)
{
	struct job_spec *s = job_spec_parse(data, len, e);

	if (s == NULL || !json_text_altered(data, len, s->task_spec))
		return s;
	job_spec_unref(s);
	err_set(e, ERR_SYNTAX, 0, "send whole characters",
	    "\"taskSpec\" has half of a surrogate pair, which cannot be passed "
	    "on");
	return NULL;
}

struct buf *
job_state_body(enum job_state state)
{
	static const char *const names[] = {
	    [JOB_QUEUED] = "queued",
	    [JOB_RUNNING] = "running",
	    [JOB_COMPLETED] = "completed",
	    [JOB_FAILED] = "failed",
	    [JOB_CANCELLED] = "cancelled",
	};
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "state", json_object_new_string(names[state]));
	return json_to_buf(o);
}

struct buf *
queue_waiting_body(size_t waiting)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "waiting", json_object_new_int64((int64_t)waiting));
	return json_to_buf(o);
}

struct buf *
error_body(const struct err *e)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "error", json_object_new_string(e->message));
	json_object_object_add(o, "remedy", json_object_new_string(e->remedy));
	return json_to_buf(o);
}
