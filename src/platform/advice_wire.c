#include "advice_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_get.h"
#include "long_name.h"
#include "text_reader.h"

#define TICKET_VALID_MAX_MS (24 * 3600 * 1000)

struct buf *
advice_request_body(const struct task_name *step,
    const char (*workers)[NAME_BYTES], size_t count)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char name[TASK_NAME_BYTES];
	const char *id;
	size_t i;

	snprintf(name, sizeof(name), "%s.%u.%u", step->job, step->occurrence,
	    step->step);
	for (i = 0; i < count; i++) {
		id = name_full(workers[i]);
		if (id != NULL) /* else it is asked about once it is known */
			json_object_array_add(list, json_object_new_string(id));
	}
	json_object_object_add(o, "step", json_object_new_string(name));
	json_object_object_add(o, "workers", list);
	return json_to_buf(o);
}

static bool
parse_ticket(
    struct step_ticket *out, struct json_object *row, struct text_reader *t)
{
	struct json_object *id, *ticket;

	if (!json_object_is_type(row, json_type_array))
		return false;
	id = json_object_array_get_idx(row, 0);
	ticket = json_object_array_get_idx(row, 1);
	if (id == NULL || ticket == NULL || !json_copy_name(id, out->worker))
		return false;
	out->usable = text_reader_copy(t, ticket, &out->ticket);
	return true;
}

int
advice_response_parse(struct advice *a, const void *data, size_t len)
{
	struct json_object *root = json_parse_object(data, len), *rows;
	struct text_reader t;
	int64_t valid_ms;
	size_t i, n;

	memset(a, 0, sizeof(*a));
	if (root == NULL || !json_has_type(root, "good", json_type_array) ||
	    !json_get_int_within(
		root, "validityMs", 0, TICKET_VALID_MAX_MS, &valid_ms) ||
	    text_reader_init(&t, data, len) == -1) {
		json_object_put(root);
		return -1;
	}
	rows = json_get_member(root, "good", json_type_array);
	n = rows != NULL ? json_object_array_length(rows) : 0;
	a->valid_ms = (int)valid_ms;
	a->tickets = calloc(n + 1, sizeof(*a->tickets));
	a->texts = buf_ref(t.texts);
	for (i = 0; a->tickets != NULL && i < n; i++) {
		if (parse_ticket(&a->tickets[a->ticket_count],
			json_object_array_get_idx(rows, i), &t))
			a->ticket_count++;
	}
	text_reader_uninit(&t);
	json_object_put(root);
	if (a->tickets != NULL)
		return 0;
	advice_uninit(a);
	return -1;
}

void
advice_uninit(struct advice *a)
{
	free(a->tickets);
	buf_unref(a->texts);
	memset(a, 0, sizeof(*a));
}
