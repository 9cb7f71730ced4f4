/* JSON bodies of task submissions and cancellations. */
#include "tasks_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "text_keys.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define BODY_BYTES_MAX (256 * 1024)
#define CANCEL_IDS_MAX 4096
#define AT(member) .offset = offsetof(struct task_submit, member)

static const char *const yield_names[] = {
    "checkpoint", "throttle", "stop", NULL};

/* "cores" is read in whole cores; tasks_post() converts it to millicores. */
static const struct key submit_keys[] = {
    {"member", KEY_NAME, .required = true, .min = 1, AT(member),
	.help = "member whose quota it uses"},
    {"name", KEY_NAME, .required = true, .min = 1, AT(name),
	.help = "name, unique for the member; a repeat is the same task"},
    {"urgent", KEY_BOOL, AT(urgent), .help = "goes before others"},
    {"yield", KEY_CHOICE, .choices = yield_names, AT(yield),
	.help = "what it does when an urgent one needs its room"},
    {"cores", KEY_INT64, .min = 0, .max = 1000000, AT(size.cores_milli),
	.help = "cores that it needs"},
    {"memory_mb", KEY_INT64, .min = 0, .max = INT64_C(1) << 40,
	AT(size.memory_mb), .help = "memory that it needs, in MB"},
    {"accelerators", KEY_INT64, .min = 0, .max = 1000000, AT(size.accelerators),
	.help = "accelerators that it needs"},
};
static const struct key_table submit_table = {
    "the task", submit_keys, COUNT(submit_keys), sizeof(struct task_submit)};

struct cancel_body {
	struct task_cancel cancel;
	char **ids; /* hexadecimal, as tasks_post() returns them */
	size_t id_count;
};

static const struct key cancel_keys[] = {
    {"member", KEY_NAME, .offset = offsetof(struct cancel_body, cancel.member),
	.help = "of this member"},
    {"prefix", KEY_NAME, .offset = offsetof(struct cancel_body, cancel.prefix),
	.help = "whose names begin with it"},
    {"from", KEY_NAME, .offset = offsetof(struct cancel_body, cancel.from),
	.help = "whose names are not before it"},
    {"to", KEY_NAME, .offset = offsetof(struct cancel_body, cancel.to),
	.help = "whose names are not after it"},
    {"ids", KEY_NAMES, .min = 1, .max = CANCEL_IDS_MAX,
	.offset = offsetof(struct cancel_body, ids),
	.count_offset = offsetof(struct cancel_body, id_count),
	.help = "with one of these ids"},
};
static const struct key_table cancel_table = {"the cancellation", cancel_keys,
    COUNT(cancel_keys), sizeof(struct cancel_body)};

void
tasks_write_markdown(FILE *out)
{
	keys_write_markdown(&submit_table, "POST /tasks", out);
	keys_write_markdown(&cancel_table, "DELETE /tasks", out);
}

static int
read_body(const struct key_table *t, const char *body, size_t len, void *out,
    struct err *e)
{
	struct text_errors errors = {0};
	struct key_reader r = {.errors = &errors};
	struct text_lines *lines = NULL;
	struct json_object *root;
	int ret = 0;

	root = keys_parse(body, len, BODY_BYTES_MAX, &errors, &lines);
	if (root != NULL) {
		r.lines = lines;
		keys_set_defaults(t, out);
		keys_read(&r, t, root, "", out);
	}
	if (errors.count > 0)
		ret = err_set(e, errors.list[0].kind, errors.list[0].line,
		    errors.list[0].remedy, "%s", errors.list[0].message);
	else if (root == NULL)
		ret = err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "cannot allocate the request");
	text_lines_free(lines);
	json_object_put(root);
	text_errors_uninit(&errors);
	return ret;
}

struct json_object *
tasks_post(struct tasks *tasks, const struct view *v, const char *body,
    size_t len, struct err *e)
{
	struct task_submit s = {0};
	struct json_object *o;
	char text[17];
	uint64_t id;

	if (read_body(&submit_table, body, len, &s, e) == -1)
		return NULL;
	s.size.cores_milli *= 1000; /* from whole cores */
	if (tasks_submit(tasks, v, &s, &id, e) == -1)
		return NULL;
	o = json_object_new_object();
	snprintf(text, sizeof(text), "%016" PRIx64, id);
	json_object_object_add(o, "id", json_object_new_string(text));
	json_object_object_add(o, "state", json_object_new_string("taken"));
	return o;
}

static int
parse_cancel_ids(struct cancel_body *b, uint64_t *ids, struct err *e)
{
	char *end;
	size_t i;

	for (i = 0; i < b->id_count; i++) {
		ids[i] = strtoull(b->ids[i], &end, 16);
		if (*end != '\0')
			return err_set(e, ERR_RANGE, 0,
			    "use ids that POST /tasks returned",
			    "\"%s\" is not the id of a task", b->ids[i]);
	}
	b->cancel.ids = b->id_count > 0 ? ids : NULL;
	b->cancel.id_count = b->id_count;
	return 0;
}

struct json_object *
tasks_delete(struct tasks *tasks, const struct view *v, const char *body,
    size_t len, struct err *e)
{
	struct json_object *o = NULL;
	struct cancel_body b = {0};
	uint64_t *ids = NULL;

	if (read_body(&cancel_table, body, len, &b, e) == -1)
		goto out;
	ids = calloc(b.id_count + 1, sizeof(*ids));
	if (ids == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "cannot allocate the ids of the cancellation");
		goto out;
	}
	if (parse_cancel_ids(&b, ids, e) == -1 ||
	    tasks_cancel(tasks, v, &b.cancel, e) == -1)
		goto out;
	o = json_object_new_object();
	json_object_object_add(o, "state", json_object_new_string("taken"));
out:
	free(ids);
	keys_free(&cancel_table, &b);
	return o;
}
