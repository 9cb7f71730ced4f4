#include "config_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "json_get.h"
#include "long_name.h"

/* An entry with more than this names no worker. */
#define WORKER_CPU_MAX_MILLI 1000000 /* thousandths of a core */
#define WORKER_MEMORY_MAX_MB (16 * 1024 * 1024)
#define WORKER_ACCELERATORS_MAX 256
#define WORKER_DRAIN_MAX_MS (24 * 3600 * 1000)
/* Larger numbers of a configuration mean no more than these. */
#define CONFIG_TIME_MAX_MS (24 * 3600 * 1000)
#define CONFIG_COUNT_MAX 1000000
#define CONFIG_PER_WORKER_MAX_MS 1000000.0
#define WAVE_WITHIN_MAX_S (20 * 24 * 3600) /* a longer one is refused */

static void
queue_uninit(struct config_queue *q)
{
	free(q->host);
	free(q->path_prefix);
	memset(q, 0, sizeof(*q));
}

static void
config_free(struct config *c)
{
	size_t i;

	for (i = 0; i < c->queue_count; i++)
		queue_uninit(&c->queues[i]);
	free(c->queues);
	free(c->pools);
	account_table_unref(c->accounts);
	account_faults_uninit(&c->account_faults);
	free(c);
}

void
config_unref(struct config *c)
{
	if (c != NULL && --c->ref_count == 0)
		config_free(c);
}

/* Returns why the queue cannot be used; NULL: it can. */
static const char *
parse_queue(struct config_queue *q, struct json_object *o)
{
	struct json_object *advice;

	if (!json_get_name(o, "name", q->settings.name))
		return "its name is no text";
	if (!json_get_kept_name(o, "service", q->pool))
		return "its service is no text";
	q->host = json_dup_text(o, "host");
	q->path_prefix = json_dup_text(o, "pathPrefix");
	if (q->host == NULL || q->path_prefix == NULL ||
	    q->path_prefix[0] == '\0')
		return "its host or path prefix is no text";
	q->request_timeout_ms =
	    json_get_int_clamped(o, "timeoutMs", 0, CONFIG_TIME_MAX_MS);
	q->settings.target_latency_ms =
	    json_get_int_clamped(o, "targetLatencyMs", 0, CONFIG_TIME_MAX_MS);
	q->settings.priority =
	    json_get_int_clamped(o, "priority", 0, CONFIG_COUNT_MAX);
	q->settings.max_attempts =
	    json_get_int_clamped(o, "maxAttempts", 0, CONFIG_COUNT_MAX);
	q->settings.stretch =
	    json_get_real_clamped(o, "stretch", 1, CONFIG_COUNT_MAX);
	advice = json_get_member(o, "advice", json_type_object);
	q->public_access = json_get_bool(o, "public");
	q->settings.has_policy = advice != NULL;
	q->settings.policy_base_ms =
	    json_get_int_clamped(advice, "decideMs", 0, CONFIG_TIME_MAX_MS);
	q->settings.policy_per_worker_us =
	    (int)(json_get_real_clamped(
		      advice, "perWorkerMs", 0, CONFIG_PER_WORKER_MAX_MS) *
		(double)US_PER_MS);
	q->settings.ticket_valid_ms = json_get_int_clamped(
	    advice, "validityMs", 1000, CONFIG_TIME_MAX_MS);
	return NULL;
}

static const char *
parse_pool(struct config_pool *p, struct json_object *o)
{
	if (!json_get_kept_name(o, "name", p->name) || p->name[0] == '\0')
		return "its name is no text";
	p->admission_control = json_get_bool(o, "admissionControl");
	p->spare = json_get_bool(o, "spare");
	return NULL;
}

/* Keeps the first of the entries that are left out, for a log line. */
static void
note_left_out(struct config *c, const char *list, size_t index,
    const char *name, const char *why)
{
	struct config_fault *f = &c->first_left_out;

	if (c->left_out_count++ > 0)
		return;
	f->list = list;
	f->index = index;
	snprintf(f->name, sizeof(f->name), "%s", name);
	f->why = why;
}

static int
parse_lists(struct config *c, struct json_object *root)
{
	struct json_object *routes, *services;
	struct config_queue *q;
	struct config_pool *p;
	const char *why;
	size_t i, n;

	routes = json_get_member(root, "routes", json_type_array);
	services = json_get_member(root, "services", json_type_array);
	n = routes != NULL ? json_object_array_length(routes) : 0;
	c->queues = calloc(n + 1, sizeof(*c->queues));
	if (c->queues == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		q = &c->queues[c->queue_count];
		why = parse_queue(q, json_object_array_get_idx(routes, i));
		if (why == NULL) {
			c->queue_count++;
			continue;
		}
		note_left_out(c, "routes", i, q->settings.name, why);
		queue_uninit(q);
	}
	n = services != NULL ? json_object_array_length(services) : 0;
	c->pools = calloc(n + 1, sizeof(*c->pools));
	if (c->pools == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		p = &c->pools[c->pool_count];
		why = parse_pool(p, json_object_array_get_idx(services, i));
		if (why == NULL)
			c->pool_count++;
		else
			note_left_out(c, "services", i, p->name, why);
	}
	return accounts_parse(&c->accounts, &c->account_faults,
	    json_get_member(root, "tenants", json_type_array));
}

struct config *
config_parse(const void *data, size_t len, struct err *e)
{
	struct json_object *root = json_parse_object(data, len);
	struct config *c = calloc(1, sizeof(*c));

	if (root == NULL || c == NULL) {
		json_object_put(root);
		free(c);
		err_set(e, ERR_SYNTAX, 0, "publish the configuration again",
		    "the configuration is not a JSON object");
		return NULL;
	}
	c->ref_count = 1;
	if (!json_get_whole_within(
		root, "configVersion", 0, JSON_INT_MAX, &c->version) ||
	    !json_has_type(root, "routes", json_type_array) ||
	    !json_has_type(root, "services", json_type_array) ||
	    /* taken for a missing list, it would let calls without keys in */
	    !json_has_type(root, "tenants", json_type_array)) {
		config_free(c);
		c = NULL;
		err_set(e, ERR_TYPE, 0, "publish the configuration again",
		    "\"configVersion\", \"routes\", \"services\" or "
		    "\"tenants\" is malformed");
	} else if (parse_lists(c, root) == -1) {
		config_free(c);
		c = NULL;
		err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for the configuration");
	}
	json_object_put(root);
	return c;
}

void
config_inherit_accounts(struct config *c, const struct config *before)
{
	if (c->accounts != NULL)
		accounts_inherit(c->accounts, &c->account_faults,
		    before != NULL ? before->accounts : NULL);
}

const struct config_pool *
config_find_pool(const struct config *c, const char *name)
{
	size_t i;

	for (i = 0; c != NULL && i < c->pool_count; i++) {
		if (strcmp(c->pools[i].name, name) == 0)
			return &c->pools[i];
	}
	return NULL;
}

bool
config_pool_guarded(const struct config *c, const char *pool)
{
	const struct config_pool *p = config_find_pool(c, pool);

	return p != NULL && p->admission_control;
}

const struct config_queue *
config_find_queue(const struct config *c, const char *host, const char *path)
{
	const struct config_queue *q, *best = NULL;
	size_t host_len = strcspn(host, ":"), len, best_len = 0, i;

	for (i = 0; i < c->queue_count; i++) {
		q = &c->queues[i];
		len = strlen(q->path_prefix);
		if (len < best_len || strlen(q->host) != host_len ||
		    strncasecmp(q->host, host, host_len) != 0 ||
		    strncmp(q->path_prefix, path, len) != 0)
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

static int
parse_wave(struct wave_request *w, struct json_object *root)
{
	struct json_object *list, *o;
	int64_t within_s, max_down;
	size_t i, n;

	if (!json_object_object_get_ex(root, "wave", &o) || o == NULL ||
	    !json_get_whole_within(
		root, "wave", 0, JSON_INT_MAX, &w->wave_number) ||
	    !json_get_int_within(
		root, "withinS", 0, WAVE_WITHIN_MAX_S, &within_s) ||
	    !json_get_int_within(root, "cap", 0, CONFIG_COUNT_MAX, &max_down) ||
	    !json_has_type(root, "machines", json_type_array))
		return -1;
	list = json_get_member(root, "machines", json_type_array);
	n = list != NULL ? json_object_array_length(list) : 0;
	if (n > WAVE_MACHINES_MAX)
		return -1;
	w->within_ms =
	    (int)(json_get_real(root, "withinS", 0) * (double)MS_PER_S);
	w->max_down = (int)json_get_int(root, "cap", 1);
	w->machine_names = calloc(n + 1, sizeof(*w->machine_names));
	if (w->machine_names == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		o = json_object_array_get_idx(list, i);
		if (o == NULL || !json_copy_kept_name(o, w->machine_names[i]))
			return -1;
	}
	w->machine_count = n;
	return 0;
}

int
wave_request_parse(struct wave_request *w, const void *data, size_t len)
{
	struct json_object *root = json_parse_object(data, len);
	int ret;

	memset(w, 0, sizeof(*w));
	ret = root != NULL ? parse_wave(w, root) : -1;
	json_object_put(root);
	if (ret == -1)
		wave_request_uninit(w);
	return ret;
}

void
wave_request_uninit(struct wave_request *w)
{
	free(w->machine_names);
	memset(w, 0, sizeof(*w));
}

/*
 * False when a label is no string.  Tasks that require one beyond those kept do
 * not start on the worker.
 */
static bool
parse_labels(struct worker_report *r, struct json_object *root)
{
	struct json_object *list, *o;
	size_t i, n;

	if (!json_object_object_get_ex(root, "labels", &list) || list == NULL)
		return true;
	if (!json_object_is_type(list, json_type_array))
		return false;
	n = json_object_array_length(list);
	r->label_count = n < WORKER_LABELS_MAX ? n : WORKER_LABELS_MAX;
	r->labels_left_out = n - r->label_count;
	for (i = 0; i < r->label_count; i++) {
		o = json_object_array_get_idx(list, i);
		if (o == NULL || !json_copy_name(o, r->labels[i]))
			return false;
	}
	return true;
}

/* Also checks the numbers that are not used: they show an odd writer. */
static bool
parse_numbers(struct worker_report *r, struct json_object *root)
{
	static const char *const unused[] = {"slots", "coldLeftMs", "seq"};
	struct json_object *capacity =
	    json_get_member(root, "capacity", json_type_object);
	int64_t ignored, remaining_ms;
	size_t i;

	for (i = 0; i < sizeof(unused) / sizeof(unused[0]); i++) {
		if (!json_get_int_within(
			root, unused[i], -JSON_INT_MAX, JSON_INT_MAX, &ignored))
			return false;
	}
	if (!json_get_int_within(
		capacity, "cpu", 1, WORKER_CPU_MAX_MILLI, &r->cpu_milli) ||
	    !json_get_int_within(
		capacity, "memMb", 0, WORKER_MEMORY_MAX_MB, &r->memory_mb) ||
	    !json_get_int_within(capacity, "gpu", 0, WORKER_ACCELERATORS_MAX,
		&r->accelerators) ||
	    !json_get_whole_within(
		root, "born", 0, UNIX_TIME_MAX_MS, &r->started_ms) ||
	    !json_get_int_within(
		root, "clockMs", 0, UNIX_TIME_MAX_MS, &r->clock_ms) ||
	    !json_get_int_within(
		root, "remainingMs", 0, WORKER_DRAIN_MAX_MS, &remaining_ms))
		return false;
	/* shortest time that a draining worker still serves */
	r->remaining_ms = (int)remaining_ms;
	return true;
}

/* It goes into a header, a URL and log lines. */
static bool
is_worker_id(const char *id)
{
	const char *p;

	for (p = id; *p != '\0'; p++) {
		if (*p <= ' ' || *p > '~')
			return false;
	}
	return p != id;
}

static int
parse_entry(struct worker_report *r, struct json_object *root)
{
	char state[NAME_BYTES];

	if (!json_get_kept_name(root, "service", r->pool) ||
	    r->pool[0] == '\0' ||
	    !json_get_addr(root, "addr", r->addr, sizeof(r->addr), &r->port) ||
	    !json_get_name(root, "zone", r->data_centre) ||
	    r->data_centre[0] == '\0' ||
	    !json_get_text(root, "state", state, sizeof(state)))
		return -1;
	if (strcmp(state, "ready") != 0 && strcmp(state, "draining") != 0)
		return -1;
	r->draining = strcmp(state, "draining") == 0;
	return parse_numbers(r, root) && parse_labels(r, root) ? 0 : -1;
}

int
worker_entry_parse(
    struct worker_report *r, const char *id, const void *data, size_t len)
{
	struct json_object *root = json_parse_object(data, len);
	int ret;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return -1;
	ret = is_worker_id(id) ? parse_entry(r, root) : -1;
	name_keep(r->id, id);
	json_object_put(root);
	return ret;
}
