#include <err.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "text_table.h"

#define PATH_BYTES 512

/* Names in an array of structs, at equal distances in memory. */
struct named_list {
	const char *list_key; /* of the list in the text */
	const char *name_field; /* "name", "path", or "" for plain names */
	const char *first_name; /* in the first entry */
	size_t entry_size; /* bytes from one name to the next */
	size_t entry_count;
};

static const char *
entry_name(const struct named_list *l, size_t i)
{
	return l->first_name + i * l->entry_size;
}

struct indexed_name {
	const char *name;
	size_t index;
};

static int
compare_names(const void *a, const void *b)
{
	const struct indexed_name *x = a, *y = b;
	int order = strcmp(x->name, y->name);

	if (order != 0)
		return order;
	return x->index < y->index ? -1 : 1;
}

static void
check_duplicates(struct key_reader *r, const struct named_list *l)
{
	struct indexed_name *sorted;
	char path[PATH_BYTES];
	size_t i;

	if (l->entry_count < 2)
		return;
	sorted = calloc(l->entry_count, sizeof(*sorted));
	if (sorted == NULL)
		err(1, "cannot allocate the names of a text");
	for (i = 0; i < l->entry_count; i++)
		sorted[i] = (struct indexed_name){entry_name(l, i), i};
	qsort(sorted, l->entry_count, sizeof(*sorted), compare_names);
	for (i = 1; i < l->entry_count; i++) {
		if (sorted[i].name[0] == '\0' ||
		    strcmp(sorted[i].name, sorted[i - 1].name) != 0)
			continue;
		snprintf(path, sizeof(path), "/%s/%zu%s%s", l->list_key,
		    sorted[i].index, l->name_field[0] ? "/" : "",
		    l->name_field);
		keys_error(r, ERR_DUPLICATE, path, "give each one of its own",
		    "%s \"%s\" stands twice in \"%s\"",
		    l->name_field[0] ? l->name_field : "name", sorted[i].name,
		    l->list_key);
	}
	free(sorted);
}

static void
check_leaving_duplicates(struct key_reader *r, const struct text *t)
{
	struct named_list l = {
	    "leaving", "", NULL, NAME_BYTES, t->leaving_count};
	char *flat;
	size_t i;

	if (t->leaving_count < 2)
		return;
	flat = calloc(t->leaving_count, NAME_BYTES);
	if (flat == NULL)
		err(1, "cannot allocate the names of a text");
	for (i = 0; i < t->leaving_count; i++)
		memcpy(flat + i * NAME_BYTES, t->leaving[i], NAME_BYTES);
	l.first_name = flat;
	check_duplicates(r, &l);
	free(flat);
}

static void
check_names(struct key_reader *r, const struct text *t)
{
	struct named_list lists[] = {
	    {"data_centres", "name", NULL, sizeof(*t->data_centres),
		t->data_centre_count},
	    {"pools", "name", NULL, sizeof(*t->pools), t->pool_count},
	    {"services", "name", NULL, sizeof(*t->services), t->service_count},
	    {"services", "path", NULL, sizeof(*t->services), t->service_count},
	    {"members", "name", NULL, sizeof(*t->members), t->member_count},
	};
	size_t i;

	if (t->data_centre_count > 0)
		lists[0].first_name = t->data_centres[0].name;
	if (t->pool_count > 0)
		lists[1].first_name = t->pools[0].name;
	if (t->service_count > 0) {
		lists[2].first_name = t->services[0].name;
		lists[3].first_name = t->services[0].path;
	}
	if (t->member_count > 0)
		lists[4].first_name = t->members[0].name;
	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++)
		check_duplicates(r, &lists[i]);
	check_leaving_duplicates(r, t);
}

/* Reports a name that is not defined, and suggests the nearest that is. */
static void
report_undefined(struct key_reader *r, const char *path, const char *kind,
    const char *name, const struct named_list *known)
{
	const char **names = calloc(known->entry_count + 1, sizeof(*names));
	char remedy[ERR_REMEDY_BYTES];
	const char *nearest;
	size_t i;

	if (names == NULL)
		err(1, "cannot allocate the names of a text");
	for (i = 0; i < known->entry_count; i++)
		names[i] = entry_name(known, i);
	nearest = keys_find_nearest(name, names, known->entry_count);
	if (nearest != NULL)
		snprintf(remedy, sizeof(remedy), "use \"%s\", or define \"%s\"",
		    nearest, name);
	else
		snprintf(remedy, sizeof(remedy), "define \"%s\" in \"%s\"",
		    name, known->list_key);
	keys_error(r, ERR_REFERENCE, path, remedy, "no %s is named \"%s\"",
	    kind, name);
	free(names);
}

static void
check_pool(struct key_reader *r, const struct text *t, const char *path,
    const char *name)
{
	struct named_list pools = {"pools", "name",
	    t->pool_count > 0 ? t->pools[0].name : NULL, sizeof(*t->pools),
	    t->pool_count};
	const struct text_pool *p;

	if (name[0] == '\0')
		return;
	p = text_pool(t, name);
	if (p == NULL)
		report_undefined(r, path, "pool", name, &pools);
	else if (p->spare)
		keys_error(r, ERR_REFERENCE, path,
		    "name a pool that is not spare",
		    "pool \"%s\" is spare: it runs nothing", name);
}

static void
check_depends(struct key_reader *r, const struct text *t, size_t i)
{
	struct named_list services = {"services", "name", t->services[0].name,
	    sizeof(*t->services), t->service_count};
	const struct text_service *s = &t->services[i];
	char path[PATH_BYTES];
	size_t j;

	for (j = 0; j < s->depends_on_count; j++) {
		snprintf(
		    path, sizeof(path), "/services/%zu/depends_on/%zu", i, j);
		if (text_service(t, s->depends_on[j]) == NULL)
			report_undefined(
			    r, path, "service", s->depends_on[j], &services);
	}
}

static void
check_slots(struct key_reader *r, const struct text_service *s, size_t i)
{
	int reserved = s->classes[CLASS_QUICK].reserved_slots +
	    s->classes[CLASS_BATCH].reserved_slots;
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "/services/%zu/quick/reserved_slots", i);
	if (reserved > s->slots)
		keys_error(r, ERR_RANGE, path, "reserve fewer, or raise slots",
		    "service \"%s\" reserves %d of %d slots", s->name, reserved,
		    s->slots);
	snprintf(path, sizeof(path), "/services/%zu/connections", i);
	if (s->connections < s->slots)
		keys_error(r, ERR_RANGE, path,
		    "allow at least one connection for each slot",
		    "service \"%s\" has %d connections for %d slots", s->name,
		    s->connections, s->slots);
}

static void
check_batch_path(struct key_reader *r, const struct text_service *s, size_t i)
{
	size_t len = strlen(s->path);
	char path[PATH_BYTES];

	if (s->batch_path[0] == '\0' || len <= 1)
		return;
	if (strncmp(s->batch_path, s->path, len) == 0 &&
	    s->batch_path[len] == '/')
		return;
	snprintf(path, sizeof(path), "/services/%zu/batch_path", i);
	keys_error(r, ERR_RANGE, path, "begin it with the service's path",
	    "batch_path \"%s\" is not below \"%s\"", s->batch_path, s->path);
}

enum visit {
	VISIT_NEW,
	VISIT_OPEN, /* on the current path */
	VISIT_DONE
};

/* Depth-first search; reports the first cycle found and returns true. */
static bool
find_cycle(
    struct key_reader *r, const struct text *t, size_t i, enum visit *visits)
{
	const struct text_service *s = &t->services[i], *on;
	char path[PATH_BYTES];
	size_t j, k;

	visits[i] = VISIT_OPEN;
	for (j = 0; j < s->depends_on_count; j++) {
		on = text_service(t, s->depends_on[j]);
		if (on == NULL)
			continue;
		k = (size_t)(on - t->services);
		if (visits[k] == VISIT_OPEN) {
			snprintf(path, sizeof(path),
			    "/services/%zu/depends_on/%zu", i, j);
			keys_error(r, ERR_REFERENCE, path,
			    "remove one dependency of the cycle",
			    "service \"%s\" depends on itself through \"%s\"",
			    on->name, s->name);
			return true;
		}
		if (visits[k] == VISIT_NEW && find_cycle(r, t, k, visits))
			return true;
	}
	visits[i] = VISIT_DONE;
	return false;
}

static void
check_cycles(struct key_reader *r, const struct text *t)
{
	enum visit *visits = calloc(t->service_count + 1, sizeof(*visits));
	size_t i;

	if (visits == NULL)
		err(1, "cannot allocate the services of a text");
	for (i = 0; i < t->service_count; i++) {
		if (visits[i] == VISIT_NEW && find_cycle(r, t, i, visits))
			break;
	}
	free(visits);
}

static void
check_services(struct key_reader *r, const struct text *t)
{
	char path[PATH_BYTES];
	size_t i;

	for (i = 0; i < t->service_count; i++) {
		snprintf(path, sizeof(path), "/services/%zu/pool", i);
		check_pool(r, t, path, t->services[i].pool);
		check_depends(r, t, i);
		check_slots(r, &t->services[i], i);
		check_batch_path(r, &t->services[i], i);
	}
	check_cycles(r, t);
}

static void
check_single_spare(struct key_reader *r, const struct text *t)
{
	const struct text_pool *first = NULL;
	char path[PATH_BYTES];
	size_t i;

	for (i = 0; i < t->pool_count; i++) {
		if (!t->pools[i].spare)
			continue;
		snprintf(path, sizeof(path), "/pools/%zu/spare", i);
		if (first != NULL)
			keys_error(r, ERR_DUPLICATE, path,
			    "keep one spare pool",
			    "pools \"%s\" and \"%s\" are both spare",
			    first->name, t->pools[i].name);
		first = &t->pools[i];
	}
}

static void
check_member_header(struct key_reader *r, const struct text *t)
{
	const char *c;

	if (t->member_by != MEMBER_BY_HEADER)
		return;
	if (t->member_header[0] == '\0')
		keys_error(r, ERR_RANGE, "/member_header",
		    "name the header, for instance mimosalead-member",
		    "member_by is \"header\" and member_header is empty");
	for (c = t->member_header; *c != '\0'; c++) {
		if (!isupper((unsigned char)*c))
			continue;
		keys_error(r, ERR_RANGE, "/member_header",
		    "write it in lower case",
		    "member_header \"%s\" holds a capital", t->member_header);
		return;
	}
}

static void
check_measures(struct key_reader *r, const struct text *t)
{
	const struct text_measures *m = &t->measures;

	if (m->buffer_cost + m->rollout_time + m->vm_moves == 0)
		keys_error(r, ERR_RANGE, "/measures", "raise one above 0",
		    "all three measures weigh 0");
}

/* Raises the service and, recursively, what it depends on to "ppm". */
static void
raise_availability(struct text *t, size_t i, int ppm, int *effective)
{
	const struct text_service *on;
	size_t j;

	if (effective[i] >= ppm)
		return;
	effective[i] = ppm;
	for (j = 0; j < t->services[i].depends_on_count; j++) {
		on = text_service(t, t->services[i].depends_on[j]);
		raise_availability(
		    t, (size_t)(on - t->services), ppm, effective);
	}
}

static void
compute_pool_availability(struct text *t)
{
	int *effective = calloc(t->service_count + 1, sizeof(*effective));
	struct text_pool *p;
	size_t i, j;

	if (effective == NULL)
		err(1, "cannot allocate the services of a text");
	for (i = 0; i < t->service_count; i++)
		raise_availability(
		    t, i, t->services[i].availability_ppm, effective);
	for (i = 0; i < t->service_count; i++) {
		for (j = 0; j < t->pool_count; j++) {
			p = &t->pools[j];
			if (strcmp(p->name, t->services[i].pool) == 0 &&
			    p->availability_ppm < effective[i])
				p->availability_ppm = effective[i];
		}
	}
	free(effective);
}

void
text_check(struct key_reader *r, struct text *t)
{
	check_names(r, t);
	check_services(r, t);
	check_single_spare(r, t);
	check_pool(r, t, "/tasks/pool", t->tasks.pool);
	check_member_header(r, t);
	check_measures(r, t);
	if (r->errors->count == 0)
		compute_pool_availability(t);
}
