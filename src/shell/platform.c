#include "platform.h"

#include <inttypes.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <libwebsockets.h>

#define JSON_DEPTH 8
#define MILLICORES_PER_CORE 1000
#define BASE64_SLACK_BYTES 8 /* the encoder needs more space than it writes */
#define REMEDY_MALFORMED_ANSWER \
	"check the platform: its answer has the wrong format"

static int call_init(struct platform_call *c, const char *method,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

static int
call_init(struct platform_call *c, const char *method, const char *fmt, ...)
{
	va_list ap;
	int n;

	memset(c, 0, sizeof(*c));
	c->method = method;
	va_start(ap, fmt);
	n = vsnprintf(c->path, sizeof(c->path), fmt, ap);
	va_end(ap);
	return n < 0 || (size_t)n >= sizeof(c->path) ? -1 : 0;
}

/* Accepts only characters that need no escape in a path. */
static bool
is_path_safe(const char *s)
{
	return s[0] != '\0' &&
	    strspn(s,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") == strlen(s);
}

void
platform_call_uninit(struct platform_call *c)
{
	buf_unref(c->body);
	c->body = NULL;
}

static int
call_set_body(struct platform_call *c, struct json_object *o)
{
	const char *s;

	s = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	c->body = buf_from(s, strlen(s));
	json_object_put(o);
	return c->body == NULL ? -1 : 0;
}

int
platform_read_call(struct platform_call *c, enum stream s, uint64_t from,
    int limit, int wait_ms)
{
	return call_init(c, "GET",
	    "/log/%s?from=%" PRIu64 "&limit=%d&wait_ms=%d", stream_name(s),
	    from, limit, wait_ms);
}

int
platform_append_call(
    struct platform_call *c, enum stream s, const struct buf *record)
{
	static const char head[] = "{\"data\":\"", tail[] = "\"}";
	size_t size = (record->len + 2) / 3 * 4 + BASE64_SLACK_BYTES;
	int n;

	if (call_init(c, "POST", "/log/%s", stream_name(s)) == -1)
		return -1;
	c->body = buf_new(size + sizeof(head) + sizeof(tail));
	if (c->body == NULL)
		return -1;
	buf_append(c->body, head, sizeof(head) - 1);
	n = lws_b64_encode_string((const char *)record->data, (int)record->len,
	    (char *)c->body->data + c->body->len, (int)size);
	if (n < 0) {
		platform_call_uninit(c);
		return -1;
	}
	c->body->len += (size_t)n;
	return buf_append(c->body, tail, sizeof(tail) - 1);
}

int
platform_vms_call(
    struct platform_call *c, const char *data_centre, uint64_t since)
{
	if (!is_path_safe(data_centre))
		return -1;
	return call_init(
	    c, "GET", "/vms?data_centre=%s&since=%" PRIu64, data_centre, since);
}

int
platform_usage_call(
    struct platform_call *c, const char *data_centre, uint64_t since)
{
	if (!is_path_safe(data_centre))
		return -1;
	return call_init(c, "GET", "/usage?data_centre=%s&since=%" PRIu64,
	    data_centre, since);
}

static const char *
op_path_segment(enum platform_op op)
{
	switch (op) {
	case PLATFORM_DRAIN:
		return "drain";
	case PLATFORM_REBOOT:
		return "reboot";
	case PLATFORM_ASSIGN:
		return "assign";
	case PLATFORM_TASK_START:
		return "start";
	case PLATFORM_TASK_STOP:
		return "stop";
	case PLATFORM_TASK_CHECKPOINT:
		return "checkpoint";
	case PLATFORM_TASK_THROTTLE:
		return "throttle";
	}
	return "";
}

static bool
op_is_task(enum platform_op op)
{
	return op >= PLATFORM_TASK_START;
}

static void
add_u64(struct json_object *o, const char *key, uint64_t value)
{
	json_object_object_add(o, key, json_object_new_uint64(value));
}

/*
 * Adds a task's size. The platform counts whole cores, so a fraction is rounded
 * up.
 */
static void
add_size(struct json_object *o, const struct task_size *size)
{
	add_u64(o, "cores",
	    (uint64_t)((size->cores_milli + MILLICORES_PER_CORE - 1) /
		MILLICORES_PER_CORE));
	add_u64(o, "memory_mb", (uint64_t)size->memory_mb);
	add_u64(o, "accelerators", (uint64_t)size->accelerators);
}

int
platform_operate_call(struct platform_call *c, const struct effect *x,
    const struct task_size *size)
{
	enum platform_op op = x->u.platform.op;
	struct json_object *o;
	int ret;

	if (!is_path_safe(x->u.platform.vm))
		return -1;
	if (op_is_task(op))
		ret = call_init(c, "POST", "/vms/%s/tasks/%" PRIu64 "/%s",
		    x->u.platform.vm, x->u.platform.task, op_path_segment(op));
	else
		ret = call_init(c, "POST", "/vms/%s/%s", x->u.platform.vm,
		    op_path_segment(op));
	if (ret == -1)
		return -1;
	o = json_object_new_object();
	add_u64(o, "key", x->u.platform.key);
	add_u64(o, "incarnation", x->u.platform.incarnation);
	if (op == PLATFORM_ASSIGN)
		json_object_object_add(
		    o, "pool", json_object_new_string(x->u.platform.pool));
	if (op == PLATFORM_TASK_START && size != NULL)
		add_size(o, size);
	if (op_is_task(op)) {
		add_u64(o, "epoch", x->u.platform.epoch);
		json_object_object_add(
		    o, "lease_s", json_object_new_int(x->u.platform.lease_s));
	}
	return call_set_body(c, o);
}

enum platform_status
platform_status(int http_status)
{
	if (http_status == 200)
		return PLATFORM_OK;
	if (http_status == 410)
		return PLATFORM_GAP;
	if (http_status >= 400 && http_status < 500)
		return PLATFORM_NOT_DONE;
	return PLATFORM_OUTCOME_UNKNOWN;
}

static struct json_object *
parse_object(const void *data, size_t len, struct err *e)
{
	struct json_tokener *tok;
	struct json_object *o = NULL;

	if (len == 0 || len > INT_MAX) {
		err_set(e, ERR_PROTOCOL, 0, REMEDY_MALFORMED_ANSWER,
		    "platform: answer is empty or too large: %zu bytes", len);
		return NULL;
	}
	tok = json_tokener_new_ex(JSON_DEPTH);
	if (tok == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the platform's answer");
		return NULL;
	}
	o = json_tokener_parse_ex(tok, data, (int)len);
	if (json_tokener_get_error(tok) != json_tokener_success ||
	    !json_object_is_type(o, json_type_object)) {
		err_set(e, ERR_PROTOCOL, 0, REMEDY_MALFORMED_ANSWER,
		    "platform: answer is not a JSON object: %s",
		    json_tokener_error_desc(json_tokener_get_error(tok)));
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(tok);
	return o;
}

/* Reads an integer that is not negative. */
static bool
get_u64(struct json_object *o, const char *key, uint64_t *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0)
		return false;
	*out = json_object_get_uint64(v);
	return true;
}

/*
 * Reads an id. Ids use all 64 bits, and a platform may write them as signed
 * numbers.
 */
static bool
get_id(struct json_object *o, const char *key, uint64_t *out)
{
	struct json_object *v;
	int64_t n;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_int))
		return false;
	n = json_object_get_int64(v);
	*out = n < 0 ? (uint64_t)n : json_object_get_uint64(v);
	return true;
}

static bool
get_i64(struct json_object *o, const char *key, int64_t *out)
{
	uint64_t v;

	if (!get_u64(o, key, &v) || v > INT64_MAX)
		return false;
	*out = (int64_t)v;
	return true;
}

static bool
get_str(struct json_object *o, const char *key, char *out, size_t size)
{
	struct json_object *v;
	size_t len;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_string))
		return false;
	len = (size_t)json_object_get_string_len(v);
	if (len >= size || memchr(json_object_get_string(v), '\0', len) != NULL)
		return false;
	memcpy(out, json_object_get_string(v), len + 1);
	return true;
}

static bool
get_array(struct json_object *o, const char *key, struct json_object **out)
{
	return json_object_object_get_ex(o, key, out) &&
	    json_object_is_type(*out, json_type_array);
}

static int
err_missing_key(struct err *e, const char *what)
{
	return err_set(e, ERR_PROTOCOL, 0, REMEDY_MALFORMED_ANSWER,
	    "platform: %s is missing or has the wrong type", what);
}

static int
parse_record(struct record *r, struct json_object *o)
{
	struct json_object *v;
	uint64_t offset;
	char *data;
	int n, len, ret = -1;

	if (!get_u64(o, "offset", &offset) ||
	    !json_object_object_get_ex(o, "data", &v) ||
	    !json_object_is_type(v, json_type_string))
		return -1;
	len = json_object_get_string_len(v);
	data = malloc((size_t)len + 4);
	if (data == NULL)
		return -1;
	n = lws_b64_decode_string_len(
	    json_object_get_string(v), len, data, len + 4);
	if (n >= 0 && record_decode(r, data, (size_t)n, NULL) == 0) {
		r->offset = offset;
		ret = 0;
	}
	free(data);
	return ret;
}

/* Decodes records. Offsets must increase from record to record. */
static void
parse_records(struct platform_batch *b, struct json_object *list)
{
	struct record r;
	uint64_t last = 0;
	size_t i, n = json_object_array_length(list);

	for (i = 0; i < n; i++) {
		if (parse_record(&r, json_object_array_get_idx(list, i)) ==
		    -1) {
			b->malformed_count++;
			continue;
		}
		if (b->count > 0 && r.offset <= last) {
			record_uninit(&r);
			b->malformed_count++;
			continue;
		}
		last = r.offset;
		b->records[b->count++] = r;
	}
}

int
platform_parse_batch(
    struct platform_batch *b, const void *data, size_t len, struct err *e)
{
	struct json_object *o, *list;
	size_t n;
	int ret = -1;

	memset(b, 0, sizeof(*b));
	o = parse_object(data, len, e);
	if (o == NULL)
		return -1;
	if (!get_u64(o, "first", &b->first_retained_offset) ||
	    !get_u64(o, "next", &b->next_offset) ||
	    !get_u64(o, "tail", &b->tail_offset) ||
	    !get_array(o, "records", &list)) {
		err_missing_key(e, "first, next, tail or records of a read");
		goto out;
	}
	n = json_object_array_length(list);
	b->records = calloc(n + 1, sizeof(*b->records));
	if (b->records == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for %zu records", n);
		goto out;
	}
	parse_records(b, list);
	ret = 0;
out:
	json_object_put(o);
	return ret;
}

void
platform_batch_uninit(struct platform_batch *b)
{
	size_t i;

	for (i = 0; i < b->count; i++)
		record_uninit(&b->records[i]);
	free(b->records);
	memset(b, 0, sizeof(*b));
}

int
platform_parse_gap(uint64_t *first, uint64_t *tail, const void *data,
    size_t len, struct err *e)
{
	struct json_object *o = parse_object(data, len, e);
	int ret = 0;

	if (o == NULL)
		return -1;
	if (!get_u64(o, "first", first) || !get_u64(o, "tail", tail))
		ret = err_missing_key(e, "first or tail of a gap");
	json_object_put(o);
	return ret;
}

int
platform_parse_append(
    uint64_t *offset, const void *data, size_t len, struct err *e)
{
	struct json_object *o = parse_object(data, len, e);
	int ret = 0;

	if (o == NULL)
		return -1;
	if (!get_u64(o, "offset", offset))
		ret = err_missing_key(e, "offset of an append");
	json_object_put(o);
	return ret;
}

static bool
get_state(struct json_object *o, enum vm_list_state *out)
{
	char s[NAME_BYTES];

	if (!get_str(o, "state", s, sizeof(s)))
		return false;
	if (strcmp(s, "live") == 0)
		*out = VM_LIST_LIVE;
	else if (strcmp(s, "leaving") == 0)
		*out = VM_LIST_LEAVING;
	else if (strcmp(s, "gone") == 0)
		*out = VM_LIST_GONE;
	else
		return false;
	return true;
}

static bool
get_role(struct json_object *o, enum vm_role *out)
{
	char s[NAME_BYTES];

	if (!get_str(o, "role", s, sizeof(s)))
		return false;
	*out = strcmp(s, "entry") == 0 ? VM_ENTRY : VM_WORKER;
	return strcmp(s, "entry") == 0 || strcmp(s, "worker") == 0;
}

static bool
parse_vm(struct vm_list_entry *v, struct json_object *o)
{
	uint64_t port = 0;

	memset(v, 0, sizeof(*v));
	if (!get_str(o, "vm", v->vm, sizeof(v->vm)) || v->vm[0] == '\0' ||
	    !get_u64(o, "incarnation", &v->incarnation) ||
	    !get_str(
		o, "data_centre", v->data_centre, sizeof(v->data_centre)) ||
	    !get_state(o, &v->state) || !get_role(o, &v->role))
		return false;
	if (!get_str(o, "addr", v->addr, sizeof(v->addr)) ||
	    !get_u64(o, "port", &port) || port > UINT16_MAX)
		return false;
	v->port = (int)port;
	get_str(
	    o, "failure_domain", v->failure_domain, sizeof(v->failure_domain));
	get_str(o, "pool", v->pool, sizeof(v->pool));
	get_i64(o, "cores", &v->cores);
	get_i64(o, "memory_mb", &v->memory_mb);
	get_i64(o, "accelerators", &v->accelerators);
	return true;
}

int
platform_parse_vms(
    struct platform_vms *v, const void *data, size_t len, struct err *e)
{
	struct json_object *o, *list, *whole;
	size_t i, n;
	int ret = -1;

	memset(v, 0, sizeof(*v));
	o = parse_object(data, len, e);
	if (o == NULL)
		return -1;
	if (!get_u64(o, "revision", &v->revision) ||
	    !get_array(o, "vms", &list) ||
	    !json_object_object_get_ex(o, "whole", &whole)) {
		err_missing_key(e, "revision, whole or vms of the VM list");
		goto out;
	}
	v->full_list = json_object_get_boolean(whole);
	n = json_object_array_length(list);
	v->list = calloc(n + 1, sizeof(*v->list));
	if (v->list == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for %zu VMs", n);
		goto out;
	}
	for (i = 0; i < n; i++) {
		if (parse_vm(
			&v->list[v->count], json_object_array_get_idx(list, i)))
			v->count++;
		else
			v->malformed_count++;
	}
	ret = 0;
out:
	json_object_put(o);
	return ret;
}

void
platform_vms_uninit(struct platform_vms *v)
{
	free(v->list);
	memset(v, 0, sizeof(*v));
}

static bool
parse_usage(struct usage_entry *u, struct json_object *o)
{
	int64_t state = 0;

	memset(u, 0, sizeof(*u));
	if (!get_str(o, "vm", u->vm, sizeof(u->vm)) ||
	    !get_u64(o, "incarnation", &u->incarnation))
		return false;
	if (get_i64(o, "state", &state) && state > INT_MAX)
		return false;
	u->state = (int)state;
	get_id(o, "task", &u->task);
	get_u64(o, "epoch", &u->epoch);
	get_i64(o, "cores_milli", &u->cores_milli);
	get_i64(o, "memory_mb", &u->memory_mb);
	get_i64(o, "accelerators", &u->accelerators);
	return true;
}

int
platform_parse_usage(
    struct platform_usage *u, const void *data, size_t len, struct err *e)
{
	struct json_object *o, *list;
	size_t i, n;
	int ret = -1;

	memset(u, 0, sizeof(*u));
	o = parse_object(data, len, e);
	if (o == NULL)
		return -1;
	if (!get_u64(o, "revision", &u->revision) ||
	    !get_array(o, "usage", &list)) {
		err_missing_key(e, "revision or usage of the usage list");
		goto out;
	}
	n = json_object_array_length(list);
	u->list = calloc(n + 1, sizeof(*u->list));
	if (u->list == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for %zu usage reports", n);
		goto out;
	}
	for (i = 0; i < n; i++) {
		if (parse_usage(
			&u->list[u->count], json_object_array_get_idx(list, i)))
			u->count++;
		else
			u->malformed_count++;
	}
	ret = 0;
out:
	json_object_put(o);
	return ret;
}

void
platform_usage_uninit(struct platform_usage *u)
{
	free(u->list);
	memset(u, 0, sizeof(*u));
}
