#include "store_wire.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <libwebsockets.h>

#include "json_get.h"
#include "percent_encode.h"

#define JOBS_TOPIC_PREFIX "keyed.jobs."
/* All writers use one name, so that the store compares their epochs. */
#define PRODUCER_NAME "owner"
#define READ_MAX_KB 1024 /* size of a read */
/* Topic's end and first offset, 8 bytes each, in front of the records. */
#define READ_HEADER_BYTES 16
#define PARTITION_MAX 65535 /* highest number of a partition */

void
store_call_uninit(struct store_call *c)
{
	buf_unref(c->body);
	c->body = NULL;
}

void
store_jobs_topic(char *out, size_t size, const char *pool)
{
	snprintf(out, size, "%s%s", JOBS_TOPIC_PREFIX, pool);
}

static void
put_be32(uint8_t *p, uint32_t n)
{
	p[0] = (uint8_t)(n >> 24);
	p[1] = (uint8_t)(n >> 16);
	p[2] = (uint8_t)(n >> 8);
	p[3] = (uint8_t)n;
}

static uint64_t
get_be(const uint8_t *p, size_t bytes)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		n = n << 8 | p[i];
	return n;
}

int
store_record_add(struct buf *b, const char *key, const void *value, size_t len)
{
	size_t key_len = strlen(key);
	uint8_t header[5];

	if (key_len == 0 || key_len > STORE_KEY_MAX_BYTES)
		return -1;
	if (value == NULL)
		len = 0;
	put_be32(header, (uint32_t)(1 + key_len + len));
	header[4] = (uint8_t)key_len;
	if (buf_append(b, header, sizeof(header)) == -1 ||
	    buf_append(b, key, key_len) == -1)
		return -1;
	return len > 0 ? buf_append(b, value, len) : 0;
}

static void
call_init(struct store_call *c, const char *method, const char *topic)
{
	c->method = method;
	c->body = NULL;
	snprintf(c->topic_or_group, sizeof(c->topic_or_group), "%s", topic);
}

void
store_append_call(struct store_call *c, const struct store_append_opts *o)
{
	int n;

	call_init(c, "POST", o->topic);
	n = snprintf(
	    c->path, sizeof(c->path), "/log-append?topic=%s&part=0", o->topic);
	if (o->expected_end >= 0)
		n += snprintf(c->path + n, sizeof(c->path) - (size_t)n,
		    "&at=%" PRId64, o->expected_end);
	if (o->epoch >= 0)
		snprintf(c->path + n, sizeof(c->path) - (size_t)n,
		    "&producer=" PRODUCER_NAME "&epoch=%" PRId64
		    "&seq=%" PRId64,
		    o->epoch, o->seq);
	c->body = buf_ref(o->records);
}

void
store_read_call(
    struct store_call *c, const char *topic, int64_t from, int wait_ms)
{
	call_init(c, "GET", topic);
	snprintf(c->path, sizeof(c->path),
	    "/log-read?topic=%s&part=0&from=%" PRId64 "&maxKb=%d&waitMs=%d",
	    topic, from, READ_MAX_KB, wait_ms);
}

void
store_newest_call(struct store_call *c, const char *topic, const char *after)
{
	char key[3 * STORE_KEY_MAX_BYTES + 1];

	call_init(c, "GET", topic);
	if (after == NULL) {
		snprintf(c->path, sizeof(c->path),
		    "/log-newest?topic=%s&part=0", topic);
		return;
	}
	percent_encode(key, sizeof(key), after);
	snprintf(c->path, sizeof(c->path),
	    "/log-newest?topic=%s&part=0&after=%s", topic, key);
}

void
store_join_call(struct store_call *c, const struct store_join_opts *o)
{
	struct json_object *root = json_object_new_object();
	struct json_object *topics = json_object_new_array();
	size_t i;

	for (i = 0; i < o->topic_count; i++)
		json_object_array_add(
		    topics, json_object_new_string(o->topics[i]));
	json_object_object_add(root, "group", json_object_new_string(o->group));
	json_object_object_add(
	    root, "member", json_object_new_string(o->member));
	json_object_object_add(root, "topics", topics);
	json_object_object_add(root, "ttlMs", json_object_new_int(o->ttl_ms));
	json_object_object_add(
	    root, "generation", json_object_new_int64(o->generation));
	call_init(c, "POST", o->group);
	snprintf(c->path, sizeof(c->path), "/log-join");
	c->body = json_to_buf(root);
}

void
store_leave_call(struct store_call *c, const char *group, const char *member)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(root, "group", json_object_new_string(group));
	json_object_object_add(root, "member", json_object_new_string(member));
	call_init(c, "POST", group);
	snprintf(c->path, sizeof(c->path), "/log-leave");
	c->body = json_to_buf(root);
}

void
store_owners_call(struct store_call *c, const char *group)
{
	call_init(c, "GET", group);
	snprintf(c->path, sizeof(c->path), "/log-owners?group=%s", group);
}

/* The epoch is the newest, but "seq" does not follow the last one. */
static bool
is_sequence_error(const void *body, size_t len)
{
	struct json_object *root = json_parse_object(body, len);
	char reason[16];
	bool ret;

	ret = root != NULL &&
	    json_get_text(root, "reason", reason, sizeof(reason)) &&
	    strcmp(reason, "seq") == 0;
	json_object_put(root);
	return ret;
}

enum store_outcome
store_append_outcome(int status, const void *body, size_t len)
{
	switch (status) {
	case 200:
		return STORE_DONE;
	case 409:
		return is_sequence_error(body, len) ? STORE_OUT_OF_SEQUENCE
						    : STORE_FENCED;
	case 412:
		return STORE_END_MISMATCH;
	case 400:
	case 413:
		return STORE_MALFORMED;
	case 429:
	case 503:
		return STORE_NOT_DONE;
	case 507:
		return STORE_FULL;
	default:
		return STORE_UNKNOWN;
	}
}

/* Record: key length (1 byte), key, value.  False when it is malformed. */
static bool
record_decode(struct store_record *r, const uint8_t *p, size_t len)
{
	size_t key_len;

	if (len < 1 || p[0] == 0 || (size_t)p[0] + 1 > len)
		return false;
	key_len = p[0];
	memcpy(r->key, p + 1, key_len);
	r->key[key_len] = '\0';
	r->value_len = len - 1 - key_len;
	r->value = r->value_len > 0 ? p + 1 + key_len : NULL;
	return strlen(r->key) == key_len;
}

int
store_read_each(const void *body, size_t len, int64_t from, int64_t *next,
    void (*each)(void *arg, const struct store_record *r), void *arg)
{
	const uint8_t *p = body, *end = p + len;
	struct store_record r;
	size_t size;
	int malformed = 0;

	*next = from;
	if (len < READ_HEADER_BYTES || get_be(p, 8) < (uint64_t)from)
		return -1;
	p += READ_HEADER_BYTES;
	while ((size_t)(end - p) >= 4) {
		size = (size_t)get_be(p, 4);
		if (size > (size_t)(end - p) - 4)
			return -1;
		r.offset = (*next)++;
		if (record_decode(&r, p + 4, size))
			each(arg, &r);
		else
			malformed++;
		p += 4 + size;
	}
	return p == end ? malformed : -1;
}

int64_t
store_read_end(const void *body, size_t len)
{
	return len < READ_HEADER_BYTES ? -1 : (int64_t)get_be(body, 8);
}

/* Decodes the base64 value of a newest record; the caller frees it. */
static uint8_t *
value_decode(const char *text, size_t *len)
{
	size_t capacity = strlen(text) + 1;
	uint8_t *out = malloc(capacity);
	int n;

	if (out == NULL)
		return NULL;
	n = lws_b64_decode_string_len(
	    text, (int)strlen(text), (char *)out, (int)capacity);
	if (n < 0) {
		free(out);
		return NULL;
	}
	*len = (size_t)n;
	return out;
}

static bool
decode_newest_item(struct store_page *page, struct json_object *o,
    void (*each)(void *arg, const struct store_record *r), void *arg)
{
	struct json_object *value =
	    json_get_member(o, "value", json_type_string);
	struct store_record r;
	uint8_t *bytes;

	if (!json_get_text(o, "key", r.key, sizeof(r.key)) || r.key[0] == '\0')
		return false;
	memcpy(page->last_key, r.key, sizeof(r.key));
	if (value == NULL ||
	    !json_get_int_within(o, "offset", 0, JSON_INT_MAX, &r.offset))
		return false;
	bytes = value_decode(json_object_get_string(value), &r.value_len);
	if (bytes == NULL)
		return false;
	r.value = bytes;
	each(arg, &r);
	free(bytes);
	return true;
}

int
store_newest_each(const void *body, size_t len, struct store_page *page,
    void (*each)(void *arg, const struct store_record *r), void *arg)
{
	struct json_object *root = json_parse_object(body, len), *items;
	size_t i, n;
	int malformed = 0;

	memset(page, 0, sizeof(*page));
	if (root == NULL || !json_has_type(root, "items", json_type_array) ||
	    !json_has_type(root, "hasMore", json_type_boolean) ||
	    !json_get_int_within(
		root, "end", 0, JSON_INT_MAX, &page->end_offset)) {
		json_object_put(root);
		return -1;
	}
	items = json_get_member(root, "items", json_type_array);
	page->has_more = json_get_bool(root, "hasMore");
	n = items != NULL ? json_object_array_length(items) : 0;
	for (i = 0; i < n; i++) {
		if (!decode_newest_item(
			page, json_object_array_get_idx(items, i), each, arg))
			malformed++;
	}
	json_object_put(root);
	return malformed;
}

static bool
add_assignment(
    struct store_assignments *s, struct json_object *row, bool with_member)
{
	struct store_assignment *a = &s->list[s->count];
	struct json_object *o;
	int64_t partition;

	if (!json_object_is_type(row, json_type_array) ||
	    !json_copy_text(
		json_object_array_get_idx(row, 0), a->topic, sizeof(a->topic)))
		return false;
	o = json_object_array_get_idx(row, 1);
	if (o == NULL || !json_int_within(o, 0, PARTITION_MAX, &partition))
		return false;
	a->partition = (int)partition;
	if (with_member &&
	    !json_copy_text(json_object_array_get_idx(row, 2), a->member,
		sizeof(a->member)))
		return false;
	s->count++;
	return true;
}

/* Rows are [topic, partition, member, ...]. */
static int
parse_assignments(struct store_assignments *s, const void *body, size_t len,
    const char *key, bool with_member)
{
	struct json_object *root = json_parse_object(body, len), *rows;
	size_t i, n;

	memset(s, 0, sizeof(*s));
	if (root == NULL)
		return -1;
	s->generation = json_get_int(root, "generation", 0);
	rows = json_get_member(root, key, json_type_array);
	n = rows != NULL ? json_object_array_length(rows) : 0;
	s->list = calloc(n + 1, sizeof(*s->list));
	for (i = 0; s->list != NULL && i < n; i++)
		add_assignment(
		    s, json_object_array_get_idx(rows, i), with_member);
	json_object_put(root);
	return s->list == NULL ? -1 : 0;
}

int
store_join_parse(struct store_assignments *s, const void *body, size_t len)
{
	return parse_assignments(s, body, len, "parts", false);
}

int
store_owners_parse(struct store_assignments *s, const void *body, size_t len)
{
	return parse_assignments(s, body, len, "parts", true);
}

void
store_assignments_uninit(struct store_assignments *s)
{
	free(s->list);
	memset(s, 0, sizeof(*s));
}
