#include "job_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "bounds.h"
#include "clock.h"

#define TOPICS_MAX 64
#define PARTS 8
#define REPEATS 5 /* newest appends whose repeats are answered alike */
#define MEMBERS_MAX 64
#define NAME_MAX_BYTES 128
#define RECORD_KEY_BYTES 256
#define RECORD_HEAD 4 /* bytes of a record's length */
/* Larger ones are refused whole; the practice settings name the same. */
#define RECORD_BYTES 8192 /* unless job_store_records() says otherwise */
#define REQUEST_RECORDS 2 /* longest records in one append */
#define PAGE_BYTES (1024 * 1024) /* of newest records */

struct record_bytes {
	uint8_t *data;
	size_t len;
};

/* The newest record of a key. */
struct key_head {
	char key[RECORD_KEY_BYTES];
	size_t at;
	UT_hash_handle hh;
};

struct topic {
	char name[NAME_MAX_BYTES];
	struct record_bytes *list;
	struct key_head *heads; /* of a keyed topic */
	size_t count;
	size_t first; /* reads from before it are told that it is gone */
	int64_t epoch, seq; /* of the newest producer */
	int64_t first_seq; /* of the epoch */
	/* Of its newest appends, by number modulo REPEATS. */
	int64_t seq_end[REPEATS]; /* offset behind it */
	int tries[REPEATS]; /* carried out or repeated */
};

struct member {
	char group[NAME_MAX_BYTES];
	char name[NAME_MAX_BYTES];
	char topic[NAME_MAX_BYTES];
	int64_t until_ms;
};

/* A read that waits for records. */
struct waiting_read {
	struct exchange *exchange;
	struct topic *topic;
	int64_t from, until_ms;
	LIST_ENTRY(waiting_read) entries;
};

/* An append that waits for its time. */
struct slow_append {
	struct exchange *exchange;
	struct topic *topic;
	int64_t due_ms;
	STAILQ_ENTRY(slow_append) entries;
};

/* Calls at this port are turned away. */
struct turned_away {
	int port; /* 0: unused */
	int status; /* 0: no answer */
};

struct job_store {
	struct topic topics[TOPICS_MAX];
	size_t topic_count;
	struct member members[MEMBERS_MAX];
	size_t member_count;
	int64_t generation;
	LIST_HEAD(waiting_reads, waiting_read) reads;
	STAILQ_HEAD(slow_appends, slow_append) appends;
	int append_ms;
	bool all; /* the group deals every partition to every member */
	int refuse; /* status of every answer; 0: calls are served */
	int refuse_of; /* one in so many topics, and which; 0: all */
	int refuse_rest;
	struct turned_away turned_away[MEMBERS_MAX];
	int lose; /* tries of each append that get no answer */
	int unreadable; /* appends refused for good */
	size_t record_bytes; /* a record's limit */
	int page_items; /* of a page of newest records; 0: all */
	int odd_pages, odd_reads; /* so many answers cannot be read */
	int garble; /* so many appends are refused as if they were */
	int mutate_every; /* one in so many appends is not kept; 0: all are */
	int mutate_seen;
};

static int64_t
now_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

static struct topic *
topic_of(struct job_store *s, const char *name)
{
	struct topic *t;
	size_t i;

	for (i = 0; i < s->topic_count; i++) {
		if (strcmp(s->topics[i].name, name) == 0)
			return &s->topics[i];
	}
	if (s->topic_count == TOPICS_MAX)
		return NULL;
	t = &s->topics[s->topic_count++];
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->epoch = t->seq = -1;
	return t;
}

static uint32_t
get_u32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

static void
put_u64(uint8_t *p, uint64_t n)
{
	int i;

	for (i = 7; i >= 0; i--) {
		p[i] = (uint8_t)n;
		n >>= 8;
	}
}

/* Keeps which record of a key is its newest. */
static void
note_key(struct topic *t, const uint8_t *data, size_t len)
{
	char key[RECORD_KEY_BYTES];
	struct key_head *h;

	if (len == 0 || len < (size_t)data[0] + 1)
		return;
	memcpy(key, data + 1, data[0]);
	key[data[0]] = '\0';
	HASH_FIND_STR(t->heads, key, h);
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		snprintf(h->key, sizeof(h->key), "%s", key);
		HASH_ADD_STR(t->heads, key, h);
	}
	h->at = t->count;
}

static void
topic_add(struct topic *t, const uint8_t *data, size_t len)
{
	struct record_bytes *r;

	if (strncmp(t->name, "keyed.", 6) == 0)
		note_key(t, data, len);

	t->list = realloc(t->list, (t->count + 1) * sizeof(*t->list));
	r = &t->list[t->count++];
	r->data = malloc(len + 1);
	if (len > 0)
		memcpy(r->data, data, len);
	r->len = len;
}

static bool
is_workers(const struct topic *t)
{
	return strcmp(t->name, "keyed.servers") == 0;
}

static void
answer_records(struct job_store *s, struct exchange *x, const struct topic *t,
    int64_t from)
{
	struct buf *b = buf_new(4096);
	uint8_t head[16], len[RECORD_HEAD];
	size_t i;

	put_u64(head, t->count);
	put_u64(head + 8, t->first);
	buf_append(b, head, sizeof(head));
	if (s->odd_reads > 0 && is_workers(t)) {
		s->odd_reads--;
		buf_append(b, "\xff\xff\xff\xff\x01z", 6);
		exchange_answer(x, 200, b);
		return;
	}
	for (i = (size_t)from; i < t->count; i++) {
		len[0] = (uint8_t)(t->list[i].len >> 24);
		len[1] = (uint8_t)(t->list[i].len >> 16);
		len[2] = (uint8_t)(t->list[i].len >> 8);
		len[3] = (uint8_t)t->list[i].len;
		buf_append(b, len, sizeof(len));
		buf_append(b, t->list[i].data, t->list[i].len);
	}
	exchange_answer(x, 200, b);
}

static void append(struct job_store *s, struct exchange *x, struct topic *t);

void
job_store_tick(struct job_store *s)
{
	struct waiting_read *r, *next;
	int64_t now = now_ms();
	struct slow_append *a;

	while ((a = STAILQ_FIRST(&s->appends)) != NULL && a->due_ms <= now) {
		STAILQ_REMOVE_HEAD(&s->appends, entries);
		append(s, a->exchange, a->topic);
		free(a);
	}
	for (r = LIST_FIRST(&s->reads); r != NULL; r = next) {
		next = LIST_NEXT(r, entries);
		if ((size_t)r->from >= r->topic->count && now < r->until_ms)
			continue;
		LIST_REMOVE(r, entries);
		answer_records(s, r->exchange, r->topic, r->from);
		free(r);
	}
}

void
job_store_ended(struct job_store *s, struct exchange *x)
{
	struct waiting_read *r, *next;
	struct slow_append *a;

	STAILQ_FOREACH(a, &s->appends, entries) {
		if (a->exchange == x)
			break;
	}
	if (a != NULL) {
		STAILQ_REMOVE(&s->appends, a, slow_append, entries);
		free(a);
	}

	for (r = LIST_FIRST(&s->reads); r != NULL; r = next) {
		next = LIST_NEXT(r, entries);
		if (r->exchange != x)
			continue;
		LIST_REMOVE(r, entries);
		free(r);
	}
}

static void
answer_append(struct exchange *x, int64_t offset, int64_t end)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "offset", json_object_new_int64(offset));
	json_object_object_add(o, "end", json_object_new_int64(end));
	exchange_json(x, 200, o, 2);
}

static void
refuse_append(struct exchange *x, int status, const char *reason, int64_t end)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "reason", json_object_new_string(reason));
	json_object_object_add(o, "end", json_object_new_int64(end));
	exchange_json(x, status, o, 2);
}

/* The answer to one of a producer's newest appends, as often as it is sent. */
static void
answer_known(
    const struct job_store *s, struct exchange *x, struct topic *t, int64_t seq)
{
	if (t->tries[seq % REPEATS]++ >= s->lose)
		answer_append(
		    x, t->seq_end[seq % REPEATS], t->seq_end[seq % REPEATS]);
}

/* True where the producer's epoch and number let the append pass. */
static bool
check_producer(struct job_store *s, struct exchange *x, struct topic *t)
{
	int64_t epoch = exchange_int(x, "epoch", -1);
	int64_t seq = exchange_int(x, "seq", -1);

	if (epoch < 0)
		return true;
	if (epoch < t->epoch) {
		refuse_append(x, 409, "fenced", (int64_t)t->count);
		return false;
	}
	if (epoch == t->epoch && seq <= t->seq && seq >= t->first_seq &&
	    seq > t->seq - REPEATS) {
		answer_known(s, x, t, seq);
		return false;
	}
	if (epoch == t->epoch && seq != t->seq + 1) {
		refuse_append(x, 409, "seq", (int64_t)t->count);
		return false;
	}
	return true;
}

/* All of its records are whole, and within the limits. */
static bool
readable(const struct job_store *s, const struct buf *b)
{
	size_t pos = 0;
	uint32_t len;

	if (b->len > REQUEST_RECORDS * s->record_bytes)
		return false;
	while (pos + RECORD_HEAD <= b->len) {
		len = get_u32(b->data + pos);
		if (len > s->record_bytes || len > b->len - pos - RECORD_HEAD)
			return false;
		pos += RECORD_HEAD + len;
	}
	return pos == b->len;
}

/* A wrong store, so that a check of what is lost can be seen to fail. */
static bool
mutates(struct job_store *s, const struct topic *t)
{
	return s->mutate_every != 0 && strncmp(t->name, "keyed.job", 9) == 0 &&
	    ++s->mutate_seen % s->mutate_every == 0;
}

static void
append(struct job_store *s, struct exchange *x, struct topic *t)
{
	int64_t at = exchange_int(x, "at", -1);
	int64_t epoch = exchange_int(x, "epoch", -1);
	int64_t seq = exchange_int(x, "seq", 0);
	size_t offset = t->count, pos = 0;
	bool mutate;
	uint32_t len;

	if (!readable(s, x->body) || (epoch >= 0 && s->garble > 0)) {
		s->garble -= s->garble > 0;
		s->unreadable++;
		refuse_append(x, 400, "unreadable", (int64_t)t->count);
		return;
	}
	if (!check_producer(s, x, t))
		return;
	if (at >= 0 && (size_t)at != t->count) {
		refuse_append(x, 412, "at", (int64_t)t->count);
		return;
	}
	mutate = mutates(s, t);
	while (pos + RECORD_HEAD <= x->body->len) {
		len = get_u32(x->body->data + pos);
		if (!mutate)
			topic_add(t, x->body->data + pos + RECORD_HEAD, len);
		pos += RECORD_HEAD + len;
	}
	if (epoch >= 0) {
		if (epoch > t->epoch)
			t->first_seq = seq;
		t->epoch = epoch;
		t->seq = seq;
		t->seq_end[seq % REPEATS] = (int64_t)t->count;
		t->tries[seq % REPEATS] = 0;
		answer_known(s, x, t, seq);
	} else {
		answer_append(x, (int64_t)offset, (int64_t)t->count);
	}
	job_store_tick(s);
}

static void
take_append(struct job_store *s, struct exchange *x, struct topic *t)
{
	struct slow_append *a;

	if (s->append_ms == 0) {
		append(s, x, t);
		return;
	}
	a = calloc(1, sizeof(*a));
	a->exchange = x;
	a->topic = t;
	a->due_ms = now_ms() + s->append_ms;
	STAILQ_INSERT_TAIL(&s->appends, a, entries);
}

static void
answer_gone(struct exchange *x, const struct topic *t)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "first", json_object_new_int64((int64_t)t->first));
	exchange_json(x, 410, o, 1);
}

static void
read_records(struct job_store *s, struct exchange *x, struct topic *t)
{
	int64_t from = exchange_int(x, "from", 0);
	int64_t wait = exchange_int(x, "waitMs", 0);
	struct waiting_read *r;

	if ((size_t)from < t->first) {
		answer_gone(x, t);
		return;
	}
	if ((size_t)from < t->count || wait == 0) {
		answer_records(s, x, t, from);
		return;
	}
	r = calloc(1, sizeof(*r));
	r->exchange = x;
	r->topic = t;
	r->from = from;
	r->until_ms = now_ms() + wait;
	LIST_INSERT_HEAD(&s->reads, r, entries);
}

static struct json_object *
item_new(const struct topic *t, const struct key_head *h)
{
	const struct record_bytes *r = &t->list[h->at];
	size_t value = (size_t)r->data[0] + 1;
	struct json_object *o;
	char *text;

	if (r->len <= value)
		return NULL;
	text = malloc((r->len - value) * 4 / 3 + 8);
	lws_b64_encode_string((const char *)r->data + value,
	    (int)(r->len - value), text, (int)((r->len - value) * 4 / 3 + 8));
	o = json_object_new_object();
	json_object_object_add(o, "key", json_object_new_string(h->key));
	json_object_object_add(o, "value", json_object_new_string(text));
	json_object_object_add(
	    o, "offset", json_object_new_int64((int64_t)h->at));
	free(text);
	return o;
}

static int
compare_keys(const struct key_head *a, const struct key_head *b)
{
	return strcmp(a->key, b->key);
}

/* The key that the page begins after; false for the first page. */
static bool
page_after(struct exchange *x, char *out, size_t size)
{
	char text[3 * RECORD_KEY_BYTES], hex[3] = "";
	size_t n = 0;
	char *p;

	if (!exchange_str(x, "after", text, sizeof(text)))
		return false;
	for (p = text; *p != '\0' && n + 1 < size; p++) {
		if (p[0] != '%' || p[1] == '\0' || p[2] == '\0') {
			out[n++] = *p;
			continue;
		}
		hex[0] = p[1];
		hex[1] = p[2];
		out[n++] = (char)strtol(hex, NULL, 16);
		p += 2;
	}
	out[n] = '\0';
	return true;
}

static void
newest(struct job_store *s, struct exchange *x, struct topic *t)
{
	struct json_object *root, *items, *o;
	char after[RECORD_KEY_BYTES] = "";
	bool first = !page_after(x, after, sizeof(after)), more = false;
	size_t bytes = 0;
	const struct key_head *h;

	if (!first && s->odd_pages > 0 && is_workers(t)) {
		s->odd_pages--;
		exchange_answer(x, 200, buf_from("{\"items\":[", 10));
		return;
	}
	root = json_object_new_object();
	items = json_object_new_array();
	HASH_SORT(t->heads, compare_keys);
	for (h = t->heads; h != NULL; h = h->hh.next) {
		if (!first && strcmp(h->key, after) <= 0)
			continue;
		more = bytes > PAGE_BYTES ||
		    (s->page_items > 0 &&
			json_object_array_length(items) ==
			    (size_t)s->page_items);
		if (more)
			break;
		o = item_new(t, h);
		if (o != NULL) {
			json_object_array_add(items, o);
			bytes += t->list[h->at].len;
		}
	}
	json_object_object_add(root, "items", items);
	json_object_object_add(root, "hasMore", json_object_new_boolean(more));
	json_object_object_add(
	    root, "end", json_object_new_int64((int64_t)t->count));
	exchange_json(x, 200, root, 1);
}

static void
expire_members(struct job_store *s)
{
	int64_t now = now_ms();
	size_t i;

	for (i = 0; i < s->member_count; i++) {
		if (s->members[i].until_ms >= now)
			continue;
		s->members[i--] = s->members[--s->member_count];
		s->generation++;
	}
}

static struct member *
find_member(struct job_store *s, const char *group, const char *name)
{
	size_t i;

	for (i = 0; i < s->member_count; i++) {
		if (strcmp(s->members[i].group, group) == 0 &&
		    strcmp(s->members[i].name, name) == 0)
			return &s->members[i];
	}
	return NULL;
}

/* Partition i belongs to the i-th member, round and round. */
static void
add_parts(
    struct job_store *s, struct json_object *rows, const char *only, bool all)
{
	struct json_object *row;
	const struct member *m;
	int part;

	for (part = 0; part < PARTS && s->member_count > 0; part++) {
		m = &s->members[(size_t)part % s->member_count];
		if (only != NULL && !all && strcmp(m->name, only) != 0)
			continue;
		row = json_object_new_array();
		json_object_array_add(row, json_object_new_string(m->topic));
		json_object_array_add(row, json_object_new_int(part));
		if (only == NULL)
			json_object_array_add(
			    row, json_object_new_string(m->name));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(rows, row);
	}
}

static void
join(struct job_store *s, struct exchange *x)
{
	struct json_object *in = exchange_body_json(x), *topics, *root, *rows;
	struct json_object *ttl;
	struct member *m;

	if (in == NULL || !json_object_object_get_ex(in, "topics", &topics) ||
	    !json_object_object_get_ex(in, "ttlMs", &ttl)) {
		exchange_answer(x, 400, NULL);
		json_object_put(in);
		return;
	}
	expire_members(s);
	m = find_member(
	    s, exchange_text(in, "group"), exchange_text(in, "member"));
	if (m == NULL && s->member_count == MEMBERS_MAX) {
		exchange_answer(x, 429, NULL);
		json_object_put(in);
		return;
	}
	if (m == NULL) {
		m = &s->members[s->member_count++];
		snprintf(m->group, sizeof(m->group), "%s",
		    exchange_text(in, "group"));
		snprintf(m->name, sizeof(m->name), "%s",
		    exchange_text(in, "member"));
		snprintf(m->topic, sizeof(m->topic), "%s",
		    json_object_get_string(
			json_object_array_get_idx(topics, 0)));
		s->generation++;
	}
	m->until_ms = now_ms() + json_object_get_int64(ttl);
	root = json_object_new_object();
	rows = json_object_new_array();
	add_parts(s, rows, m->name, s->all);
	json_object_object_add(
	    root, "generation", json_object_new_int64(s->generation));
	json_object_object_add(root, "parts", rows);
	exchange_json(x, 200, root, 1);
	json_object_put(in);
}

static void
leave(struct job_store *s, struct exchange *x)
{
	struct json_object *in = exchange_body_json(x);
	struct member *m = find_member(
	    s, exchange_text(in, "group"), exchange_text(in, "member"));

	if (m != NULL) {
		*m = s->members[--s->member_count];
		s->generation++;
	}
	json_object_put(in);
	exchange_answer(x, 200, NULL);
}

static void
owners(struct job_store *s, struct exchange *x)
{
	struct json_object *root = json_object_new_object();
	struct json_object *rows = json_object_new_array();

	expire_members(s);
	add_parts(s, rows, NULL, false);
	json_object_object_add(root, "parts", rows);
	exchange_json(x, 200, root, 1);
}

static bool
is_refused(const struct job_store *s, const struct topic *t)
{
	if (s->refuse == 0 || s->refuse_of == 0)
		return s->refuse != 0;
	return t != NULL &&
	    (int)(t - s->topics) % s->refuse_of == s->refuse_rest;
}

/* NULL where calls at the port are served. */
static struct turned_away *
turned_away_at(struct job_store *s, int port)
{
	size_t i;

	for (i = 0; i < MEMBERS_MAX; i++) {
		if (s->turned_away[i].port == port)
			return &s->turned_away[i];
	}
	return NULL;
}

bool
job_store_request(struct job_store *s, struct exchange *x)
{
	char name[NAME_MAX_BYTES];
	const struct turned_away *away;
	struct topic *t = NULL;

	if (strncmp(x->path, "/log-", 5) != 0)
		return false;
	away = turned_away_at(s, x->port);
	if (away != NULL) {
		if (away->status != 0)
			exchange_answer(x, away->status, NULL);
		return true;
	}
	if (exchange_str(x, "topic", name, sizeof(name)))
		t = topic_of(s, name);
	if (is_refused(s, t)) {
		exchange_answer(x, s->refuse, NULL);
		return true;
	}
	if (strcmp(x->path, "/log-join") == 0)
		join(s, x);
	else if (strcmp(x->path, "/log-leave") == 0)
		leave(s, x);
	else if (strcmp(x->path, "/log-owners") == 0)
		owners(s, x);
	else if (t == NULL)
		exchange_answer(x, 400, NULL);
	else if (strcmp(x->path, "/log-append") == 0)
		take_append(s, x, t);
	else if (strcmp(x->path, "/log-read") == 0)
		read_records(s, x, t);
	else if (strcmp(x->path, "/log-newest") == 0)
		newest(s, x, t);
	else
		exchange_answer(x, 404, NULL);
	return true;
}

void
job_store_put(
    struct job_store *s, const char *topic, const char *key, const char *value)
{
	uint8_t key_len = (uint8_t)strlen(key);
	struct buf *b = buf_new(256);

	buf_append(b, &key_len, 1);
	buf_append(b, key, key_len);
	buf_append(b, value, strlen(value));
	topic_add(topic_of(s, topic), b->data, b->len);
	buf_unref(b);
}

void
job_store_put_raw(
    struct job_store *s, const char *topic, const void *data, size_t len)
{
	topic_add(topic_of(s, topic), data, len);
}

void
job_store_records(struct job_store *s, int record_bytes)
{
	s->record_bytes = (size_t)record_bytes;
}

void
job_store_page(struct job_store *s, int items)
{
	s->page_items = items;
}

void
job_store_odd_pages(struct job_store *s, int pages)
{
	s->odd_pages = pages;
}

void
job_store_odd_reads(struct job_store *s, int reads)
{
	s->odd_reads = reads;
}

void
job_store_refuse(struct job_store *s, int status)
{
	s->refuse = status;
	s->refuse_of = 0;
}

void
job_store_refuse_some(struct job_store *s, int status, int of, int rest)
{
	s->refuse = status;
	s->refuse_of = of;
	s->refuse_rest = rest;
}

void
job_store_refuse_topic(struct job_store *s, int status, const char *name)
{
	job_store_refuse_some(
	    s, status, TOPICS_MAX, (int)(topic_of(s, name) - s->topics));
}

void
job_store_turn_away(struct job_store *s, int port, int status)
{
	struct turned_away *away = turned_away_at(s, port);

	if (away == NULL)
		away = turned_away_at(s, 0);
	if (away == NULL)
		return;
	away->port = status == 200 ? 0 : port;
	away->status = status;
}

void
job_store_forget(struct job_store *s)
{
	size_t i;

	for (i = 0; i < s->topic_count; i++)
		s->topics[i].first = s->topics[i].count;
}

void
job_store_forget_appends(struct job_store *s, int every)
{
	s->mutate_every = every;
}

void
job_store_deal_all(struct job_store *s)
{
	s->all = true;
}

void
job_store_lose(struct job_store *s, int tries)
{
	s->lose = tries;
}

void
job_store_slow(struct job_store *s, int append_ms)
{
	s->append_ms = append_ms;
}

void
job_store_garble(struct job_store *s, int appends)
{
	s->garble = appends;
}

int
job_store_unreadable(const struct job_store *s)
{
	return s->unreadable;
}

struct job_store *
job_store_new(void)
{
	struct job_store *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->record_bytes = RECORD_BYTES;
	LIST_INIT(&s->reads);
	STAILQ_INIT(&s->appends);
	return s;
}

void
job_store_free(struct job_store *s)
{
	struct key_head *h, *next;
	size_t i, k;

	for (i = 0; i < s->topic_count; i++) {
		HASH_ITER(hh, s->topics[i].heads, h, next)
		{
			HASH_DEL(s->topics[i].heads, h);
			free(h);
		}
		for (k = 0; k < s->topics[i].count; k++)
			free(s->topics[i].list[k].data);
		free(s->topics[i].list);
	}
	free(s);
}
