#include "machine_wire.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "long_name.h"
#include "percent_encode.h"

#define MACHINE_CPU_MAX_MILLI 1000000 /* a row with more is malformed */

char *
machine_list_path(const char *page_token)
{
	static const char first[] = "/machines", next[] = "?pageToken=";
	/* an encoded byte takes three */
	size_t encoded_bytes =
	    page_token != NULL ? 3 * strlen(page_token) + 1 : 1;
	size_t size = sizeof(first) + sizeof(next) + encoded_bytes;
	char *out = malloc(size);
	int n;

	if (out == NULL)
		return NULL;
	n = snprintf(out, size, "%s%s", first, page_token != NULL ? next : "");
	if (page_token != NULL)
		percent_encode(out + n, size - (size_t)n, page_token);
	return out;
}

/* False when the token is no text, or memory is short. */
static bool
read_next_token(struct machine_list *l, struct json_object *root)
{
	free(l->next_page_token);
	l->next_page_token = json_dup_text(root, "nextToken");
	if (l->next_page_token == NULL)
		return false;
	if (l->next_page_token[0] == '\0') {
		free(l->next_page_token);
		l->next_page_token = NULL;
	}
	return true;
}

static bool
parse_state(const char *text, enum machine_state *state)
{
	static const char *const names[] = {
	    [MACHINE_UP] = "up",
	    [MACHINE_MOVING] = "moving",
	    [MACHINE_MAINTENANCE] = "upkeep",
	    [MACHINE_DOWN] = "down",
	};
	int i = name_find(names, sizeof(names) / sizeof(names[0]), text);

	if (i >= 0)
		*state = (enum machine_state)i;
	return i >= 0;
}

static bool
parse_machine(struct machine_report *m, struct json_object *o)
{
	struct json_object *labels;
	char state[NAME_BYTES];

	memset(m, 0, sizeof(*m));
	if (!json_get_kept_name(o, "machine", m->machine) ||
	    !json_get_kept_name(o, "pool", m->pool) ||
	    !json_get_kept_name(o, "id", m->worker) ||
	    !json_get_text(o, "state", state, sizeof(state)) ||
	    m->machine[0] == '\0' || !parse_state(state, &m->state))
		return false;
	if (!json_has_type(o, "capacity", json_type_object) ||
	    !json_get_int_within(
		json_get_member(o, "capacity", json_type_object), "cpu", 0,
		MACHINE_CPU_MAX_MILLI, &m->cpu_milli) ||
	    !json_has_type(o, "labels", json_type_array))
		return false;
	labels = json_get_member(o, "labels", json_type_array);
	/* the first label is the hardware kind */
	return labels == NULL ||
	    json_copy_name(json_object_array_get_idx(labels, 0), m->label);
}

int
machine_list_add_page(struct machine_list *l, const void *data, size_t len)
{
	struct json_object *root = json_parse_object(data, len), *rows;
	struct machine_report *list;
	size_t i, n;

	rows = json_get_member(root, "machines", json_type_array);
	/* without its token, the list would seem to end with this page */
	if (rows == NULL || !read_next_token(l, root)) {
		json_object_put(root);
		return -1;
	}
	n = json_object_array_length(rows);
	list = realloc(l->machines, (l->count + n + 1) * sizeof(*list));
	if (list == NULL) {
		json_object_put(root);
		return -1;
	}
	l->machines = list;
	for (i = 0; i < n; i++) {
		if (parse_machine(
			&list[l->count], json_object_array_get_idx(rows, i)))
			l->count++;
		else
			l->malformed_count++;
	}
	json_object_put(root);
	return 0;
}

void
machine_list_uninit(struct machine_list *l)
{
	free(l->machines);
	free(l->next_page_token);
	memset(l, 0, sizeof(*l));
}

/* One that is not known any more is refused by the platform. */
static void
add_name(struct json_object *o, const char *key, const char *name)
{
	const char *text = name_full(name);

	json_object_object_add(
	    o, key, json_object_new_string(text != NULL ? text : name));
}

struct buf *
machine_move_body(const char *machine, const char *pool)
{
	struct json_object *o = json_object_new_object();

	add_name(o, "machine", machine);
	add_name(o, "pool", pool);
	return json_to_buf(o);
}

struct buf *
machine_maintenance_body(const char *machine, int64_t wave_number)
{
	struct json_object *o = json_object_new_object();

	add_name(o, "machine", machine);
	json_object_object_add(o, "wave", json_object_new_int64(wave_number));
	return json_to_buf(o);
}

enum roster_command_result
machine_command_result(int status, const void *body, size_t len)
{
	struct json_object *root = json_parse_object(body, len);
	char reason[NAME_BYTES];

	if (!json_get_text(root, "reason", reason, sizeof(reason)))
		reason[0] = '\0';
	json_object_put(root);
	switch (status) {
	case 200:
		return ROSTER_COMMAND_DONE;
	case 400: /* unknown machine, or a pool with other machines */
		return ROSTER_COMMAND_REJECTED;
	case 409:
		return strcmp(reason, "fence") == 0 ? ROSTER_COMMAND_FENCED
		    : strcmp(reason, "wave") == 0   ? ROSTER_COMMAND_REJECTED
						    : ROSTER_COMMAND_BUSY;
	case 429:
	case 503:
		return ROSTER_COMMAND_BUSY;
	default:
		return ROSTER_COMMAND_UNKNOWN;
	}
}

void
wave_status_key(char *out, size_t size, int64_t wave_number)
{
	snprintf(out, size, "wave/%" PRId64, wave_number);
}

struct buf *
wave_status_body(bool completed)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "state",
	    json_object_new_string(completed ? "completed" : "running"));
	return json_to_buf(o);
}
