#include "config_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "json_get.h"

static void
config_free(struct config *c)
{
	free(c->queues);
	free(c->pools);
	free(c);
}

void
config_unref(struct config *c)
{
	if (c != NULL && --c->refs == 0)
		config_free(c);
}

static bool
parse_queue(struct config_queue *q, struct json_object *o)
{
	struct json_object *advice;

	if (!field_text(o, "name", q->terms.name, sizeof(q->terms.name)) ||
	    !field_text(o, "host", q->host, sizeof(q->host)) ||
	    !field_text(o, "pathPrefix", q->prefix, sizeof(q->prefix)) ||
	    !field_text(o, "service", q->pool, sizeof(q->pool)) ||
	    q->prefix[0] == '\0')
		return false;
	q->timeout_ms = (int)field_int(o, "timeoutMs", 0);
	q->terms.target_latency_ms = (int)field_int(o, "targetLatencyMs", 0);
	q->terms.priority = (int)field_int(o, "priority", 0);
	q->terms.max_attempts = (int)field_int(o, "maxAttempts", 0);
	q->terms.stretch = field_real(o, "stretch", 1);
	advice = field_member(o, "advice", json_type_object);
	q->terms.has_policy = advice != NULL;
	q->terms.policy_base_ms = (int)field_int(advice, "decideMs", 0);
	q->terms.policy_per_worker_us =
	    (int)(field_real(advice, "perWorkerMs", 0) * (double)US_PER_MS);
	q->terms.ticket_valid_ms = (int)field_int(advice, "validityMs", 1000);
	return true;
}

static bool
parse_pool(struct config_pool *p, struct json_object *o)
{
	if (!field_text(o, "name", p->name, sizeof(p->name)))
		return false;
	p->guarded = field_flag(o, "admissionControl");
	p->spare = field_flag(o, "spare");
	return true;
}

static int
parse_lists(struct config *c, struct json_object *root)
{
	struct json_object *routes, *services;
	size_t i, n;

	routes = field_member(root, "routes", json_type_array);
	services = field_member(root, "services", json_type_array);
	n = routes != NULL ? json_object_array_length(routes) : 0;
	c->queues = calloc(n + 1, sizeof(*c->queues));
	if (c->queues == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		if (parse_queue(&c->queues[c->queue_count],
			json_object_array_get_idx(routes, i)))
			c->queue_count++;
	}
	n = services != NULL ? json_object_array_length(services) : 0;
	c->pools = calloc(n + 1, sizeof(*c->pools));
	if (c->pools == NULL)
		return -1;
	for (i = 0; i < n; i++) {
		if (parse_pool(&c->pools[c->pool_count],
			json_object_array_get_idx(services, i)))
			c->pool_count++;
	}
	return 0;
}

struct config *
config_parse(const void *data, size_t len, struct err *e)
{
	struct json_object *root = json_parse(data, len);
	struct config *c = calloc(1, sizeof(*c));

	if (root == NULL || c == NULL) {
		json_object_put(root);
		free(c);
		err_set(e, ERR_SYNTAX, 0, "publish the configuration again",
		    "configuration is no JSON object");
		return NULL;
	}
	c->refs = 1;
	c->version = field_int(root, "configVersion", 0);
	if (parse_lists(c, root) == -1) {
		config_free(c);
		c = NULL;
		err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for the configuration");
	}
	json_object_put(root);
	return c;
}

const struct config_queue *
config_queue_of(const struct config *c, const char *host, const char *path)
{
	const struct config_queue *q, *best = NULL;
	size_t host_len = strcspn(host, ":"), len, best_len = 0, i;

	for (i = 0; i < c->queue_count; i++) {
		q = &c->queues[i];
		len = strlen(q->prefix);
		if (len < best_len || strlen(q->host) != host_len ||
		    strncasecmp(q->host, host, host_len) != 0 ||
		    strncmp(q->prefix, path, len) != 0)
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

int
wave_parse(struct wave_order *w, const void *data, size_t len)
{
	struct json_object *root = json_parse(data, len), *list, *o;
	size_t i, n;

	memset(w, 0, sizeof(*w));
	list = field_member(root, "machines", json_type_array);
	w->wave = field_int(root, "wave", -1);
	n = list != NULL ? json_object_array_length(list) : 0;
	if (w->wave < 0 || n > WAVE_MACHINES_MAX) {
		json_object_put(root);
		return -1;
	}
	w->within_ms = (int)(field_real(root, "withinS", 0) * (double)MS_PER_S);
	w->cap = (int)field_int(root, "cap", 1);
	w->machines = calloc(n + 1, sizeof(*w->machines));
	for (i = 0; w->machines != NULL && i < n; i++) {
		o = json_object_array_get_idx(list, i);
		if (!json_object_is_type(o, json_type_string))
			continue;
		snprintf(w->machines[w->machine_count++], NAME_BYTES, "%s",
		    json_object_get_string(o));
	}
	json_object_put(root);
	return w->machines == NULL ? -1 : 0;
}

void
wave_uninit(struct wave_order *w)
{
	free(w->machines);
	memset(w, 0, sizeof(*w));
}

static void
parse_labels(struct worker_report *r, struct json_object *root)
{
	struct json_object *list =
	    field_member(root, "labels", json_type_array);
	struct json_object *o;
	size_t i, n = list != NULL ? json_object_array_length(list) : 0;

	for (i = 0; i < n && r->label_count < WORKER_LABELS_MAX; i++) {
		o = json_object_array_get_idx(list, i);
		if (!json_object_is_type(o, json_type_string))
			continue;
		snprintf(r->labels[r->label_count++], NAME_BYTES, "%s",
		    json_object_get_string(o));
	}
}

static int
parse_entry(struct worker_report *r, struct json_object *root)
{
	struct json_object *room;
	char state[NAME_BYTES];

	if (!field_text(root, "service", r->pool, sizeof(r->pool)) ||
	    r->pool[0] == '\0' ||
	    !field_addr(root, "addr", r->addr, sizeof(r->addr), &r->port) ||
	    !field_text(root, "zone", r->data_centre, sizeof(r->data_centre)) ||
	    !field_text(root, "state", state, sizeof(state)))
		return -1;
	if (strcmp(state, "ready") != 0 && strcmp(state, "draining") != 0)
		return -1;
	r->draining = strcmp(state, "draining") == 0;
	room = field_member(root, "capacity", json_type_object);
	if (room == NULL)
		return -1;
	r->cpu_milli = field_int(room, "cpu", 0);
	r->memory_mb = field_int(room, "memMb", 0);
	r->accelerators = field_int(room, "gpu", 0);
	r->started_ms = field_int(root, "born", 0);
	r->clock_ms = field_int(root, "clockMs", 0);
	/* how much longer a draining worker serves, at least */
	r->remaining_ms = (int)field_int(root, "remainingMs", 0);
	parse_labels(r, root);
	return 0;
}

int
worker_entry_parse(
    struct worker_report *r, const char *id, const void *data, size_t len)
{
	struct json_object *root = json_parse(data, len);
	int ret;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return -1;
	ret = strlen(id) < sizeof(r->id) ? parse_entry(r, root) : -1;
	snprintf(r->id, sizeof(r->id), "%s", id);
	json_object_put(root);
	return ret;
}
