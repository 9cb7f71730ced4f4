/*
 * Stand-in of the platform and of its workers for the cases 16 to 20: a store
 * (log, newest records, one group), the list of machines, and workers that run
 * tasks under leases.  It does what PROTOCOL.md says and judges what it sees.
 * Paths under /ctl/ are for the script: they bring disruptions about and show
 * figures.  Everything is on 127.0.0.1, in one poll() loop.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <json-c/json.h>

#define NAME_LEN 96
#define WORKERS_MAX 16
#define CONNS_MAX 1024
#define TOPICS_MAX 64
#define MEMBERS_MAX 8
#define PARTS 8
#define REPEATS 5 /* newest appends whose repeats are answered alike */
#define HEARTBEAT_MS 1000
#define HOLD_MAX_MS 6000 /* longest lease */
#define STOP_MS 50 /* a stop takes that long */
#define SAVE_MS 500 /* of work for each checkpoint */
#define RECORD_HEAD 4
#define SPECS_MAX 32

struct buf {
	char *data;
	size_t len, cap;
};

struct record {
	char *data;
	size_t len;
};

struct topic {
	char name[NAME_LEN];
	struct record *list;
	size_t count;
	int64_t epoch, seq, first_seq;
	int64_t ends[REPEATS]; /* by number modulo REPEATS */
};

struct member {
	char name[NAME_LEN];
	int64_t until_ms, ttl_ms, generation;
};

struct part {
	char holder[NAME_LEN], target[NAME_LEN];
	int64_t since; /* generation that took it from the holder */
};

struct run {
	char task[NAME_LEN];
	int64_t number, begun_ms, resumed_ms, takes_ms, stop_ms;
	bool saves, lasts;
	struct run *next;
};

struct end {
	char task[NAME_LEN], saved[256];
	int64_t number, run;
	const char *how;
	struct end *next;
};

struct bar {
	char task[NAME_LEN];
	int64_t run;
	struct bar *next;
};

struct worker {
	char id[NAME_LEN], service[NAME_LEN], kind[NAME_LEN], rack[NAME_LEN];
	int port, listen_fd;
	int64_t cpu;
	int64_t born_mono_ms, born_ms;
	bool dead;
	int64_t dead_ms, back_ms;
	int64_t beat_ms, seq;
	bool listed;
	int64_t fence, lease_end_ms, ends;
	int64_t life;
	/* A start without an answer, which arrives in the next life. */
	struct json_object *late;
	int64_t late_life, late_after_ms;
	bool lapsed;
	struct run *runs;
	struct end *ended, **ended_tail;
	struct bar *bars;
};

enum wait_kind {
	WAIT_NONE,
	WAIT_READ,
	WAIT_HOLD,
	WAIT_FOR_EVER /* no answer */
};

struct conn {
	int fd;
	struct worker *worker; /* NULL: the platform's port */
	struct buf in, out;
	enum wait_kind wait;
	int64_t until_ms, from;
	struct topic *topic;
	bool close_after;
};

/* What is known of one task, for the judgement. */
struct fate {
	char task[NAME_LEN];
	int starts, done, failed, stopped, lapsed, lost;
	int overlaps; /* starts while another run was on a worker that is up */
	int after_done; /* starts after an end "done" */
	bool done_acked; /* such an end was acknowledged */
	struct fate *next;
};

static struct {
	int port, listen_fd;
	size_t record_bytes, request_bytes;
	struct worker workers[WORKERS_MAX];
	int worker_count;
	struct conn *conns[CONNS_MAX];
	int conn_count;
	struct topic topics[TOPICS_MAX];
	int topic_count;
	struct member members[MEMBERS_MAX];
	int member_count;
	struct part parts[PARTS];
	char topic_name[NAME_LEN];
	int64_t generation;
	int saved_len;
	int64_t hold_up; /* the next start; arrives so long after a birth */
	struct fate *fates[4096];
	struct {
		char text[NAME_LEN];
		int64_t starts;
	} specs[SPECS_MAX]; /* taskSpecs that were started */
	FILE *log;
} world;

static int64_t
clock_now(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
now_ms(void)
{
	return clock_now(CLOCK_MONOTONIC);
}

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
	int64_t t = clock_now(CLOCK_REALTIME);
	va_list ap;

	fprintf(world.log, "%" PRId64 ".%03d ", t / 1000, (int)(t % 1000));
	va_start(ap, format);
	vfprintf(world.log, format, ap);
	va_end(ap);
	fputc('\n', world.log);
	fflush(world.log);
}

static void
put(struct buf *b, const void *data, size_t len)
{
	if (b->len + len + 1 > b->cap) {
		b->cap = (b->len + len + 1) * 2;
		b->data = realloc(b->data, b->cap);
		if (b->data == NULL)
			abort();
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

__attribute__((format(printf, 2, 3))) static void
putf(struct buf *b, const char *format, ...)
{
	char text[4096];
	va_list ap;
	int n;

	va_start(ap, format);
	n = vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	put(b, text, (size_t)n);
}

/* --- answers --- */

static void
answer(struct conn *c, int status, const struct buf *body)
{
	size_t len = body != NULL ? body->len : 0;

	putf(&c->out,
	    "HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
	    "content-length: %zu\r\n\r\n",
	    status, len);
	if (len > 0)
		put(&c->out, body->data, len);
	c->wait = WAIT_NONE;
}

__attribute__((format(printf, 3, 4))) static void
answerf(struct conn *c, int status, const char *format, ...)
{
	struct buf b = {0};
	char text[2048];
	va_list ap;

	va_start(ap, format);
	vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	put(&b, text, strlen(text));
	answer(c, status, &b);
	free(b.data);
}

/* --- queries --- */

static bool
query_text(const char *query, const char *key, char *out, size_t size)
{
	const char *p = query;
	size_t n = strlen(key), i = 0;
	char hex[3] = "";

	while (p != NULL && *p != '\0') {
		if (strncmp(p, key, n) == 0 && p[n] == '=') {
			for (p += n + 1;
			     *p != '\0' && *p != '&' && i + 1 < size; p++) {
				if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
					hex[0] = p[1];
					hex[1] = p[2];
					out[i++] = (char)strtol(hex, NULL, 16);
					p += 2;
				} else {
					out[i++] = *p;
				}
			}
			out[i] = '\0';
			return true;
		}
		p = strchr(p, '&');
		p = p != NULL ? p + 1 : NULL;
	}
	out[0] = '\0';
	return false;
}

static int64_t
query_int(const char *query, const char *key, int64_t missing)
{
	char text[32];

	return query_text(query, key, text, sizeof(text))
	    ? strtoll(text, NULL, 10)
	    : missing;
}

static const char *
json_text(struct json_object *o, const char *key)
{
	struct json_object *v;

	return o != NULL && json_object_object_get_ex(o, key, &v) && v != NULL
	    ? json_object_get_string(v)
	    : "";
}

static int64_t
json_int(struct json_object *o, const char *key)
{
	struct json_object *v;

	return o != NULL && json_object_object_get_ex(o, key, &v)
	    ? json_object_get_int64(v)
	    : 0;
}

/* --- the store --- */

static struct topic *
topic_get(const char *name)
{
	struct topic *t;
	int i;

	for (i = 0; i < world.topic_count; i++) {
		if (strcmp(world.topics[i].name, name) == 0)
			return &world.topics[i];
	}
	if (world.topic_count == TOPICS_MAX)
		abort();
	t = &world.topics[world.topic_count++];
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->epoch = t->seq = -1;
	return t;
}

static void
topic_add(struct topic *t, const void *data, size_t len)
{
	struct record *r;

	t->list = realloc(t->list, (t->count + 1) * sizeof(*t->list));
	if (t->list == NULL)
		abort();
	r = &t->list[t->count++];
	r->data = malloc(len + 1);
	if (r->data == NULL)
		abort();
	memcpy(r->data, data, len);
	r->len = len;
}

static void
store_put(const char *topic, const char *key, const char *value)
{
	struct buf b = {0};
	char n = (char)strlen(key);

	put(&b, &n, 1);
	put(&b, key, strlen(key));
	put(&b, value, strlen(value));
	topic_add(topic_get(topic), b.data, b.len);
	free(b.data);
}

static uint32_t
get_be32(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	    (uint32_t)u[2] << 8 | u[3];
}

static void
put_be(struct buf *b, uint64_t n, int bytes)
{
	char c;

	while (bytes-- > 0) {
		c = (char)(n >> (8 * bytes));
		put(b, &c, 1);
	}
}

/* All records are whole and within the limits. */
static bool
records_sound(const char *body, size_t len)
{
	size_t pos = 0, n;

	if (len > world.request_bytes)
		return false;
	while (pos + RECORD_HEAD <= len) {
		n = get_be32(body + pos);
		if (n > world.record_bytes || n > len - pos - RECORD_HEAD)
			return false;
		pos += RECORD_HEAD + n;
	}
	return pos == len;
}

static void
log_append(struct conn *c, const char *query, const char *body, size_t len)
{
	int64_t epoch = query_int(query, "epoch", -1), offset;
	int64_t seq = query_int(query, "seq", 0), at;
	char name[NAME_LEN];
	struct topic *t;
	size_t pos, n;

	if (!query_text(query, "topic", name, sizeof(name)) ||
	    !records_sound(body, len)) {
		answerf(c, 400, "{}");
		return;
	}
	t = topic_get(name);
	if (epoch >= 0 && epoch < t->epoch) {
		answerf(c, 409, "{\"reason\":\"fenced\"}");
		return;
	}
	if (epoch >= 0 && epoch == t->epoch) {
		if (seq <= t->seq && seq >= t->first_seq &&
		    seq > t->seq - REPEATS) {
			answerf(c, 200,
			    "{\"offset\":%" PRId64 ",\"end\":%" PRId64 "}",
			    t->ends[seq % REPEATS], t->ends[seq % REPEATS]);
			return;
		}
		if (seq != t->seq + 1) {
			answerf(c, 409,
			    "{\"reason\":\"seq\",\"seq\":%" PRId64 "}",
			    t->seq + 1);
			return;
		}
	}
	at = query_int(query, "at", -1);
	if (at >= 0 && (size_t)at != t->count) {
		answerf(c, 412, "{\"end\":%zu}", t->count);
		return;
	}
	offset = (int64_t)t->count;
	for (pos = 0; pos + RECORD_HEAD <= len; pos += RECORD_HEAD + n) {
		n = get_be32(body + pos);
		topic_add(t, body + pos + RECORD_HEAD, n);
	}
	if (epoch >= 0) {
		if (epoch > t->epoch)
			t->first_seq = seq;
		t->epoch = epoch;
		t->seq = seq;
		t->ends[seq % REPEATS] = (int64_t)t->count;
	}
	answerf(
	    c, 200, "{\"offset\":%" PRId64 ",\"end\":%zu}", offset, t->count);
}

static void
answer_records(struct conn *c, const struct topic *t, int64_t from)
{
	struct buf b = {0};
	size_t i;

	put_be(&b, t->count, 8);
	put_be(&b, 0, 8);
	for (i = (size_t)from; i < t->count && b.len < 1000000; i++) {
		put_be(&b, t->list[i].len, 4);
		put(&b, t->list[i].data, t->list[i].len);
	}
	answer(c, 200, &b);
	free(b.data);
}

static void
log_read(struct conn *c, const char *query)
{
	int64_t from = query_int(query, "from", 0);
	int64_t wait = query_int(query, "waitMs", 0);
	char name[NAME_LEN];
	struct topic *t;

	query_text(query, "topic", name, sizeof(name));
	t = topic_get(name);
	if ((size_t)from < t->count || wait == 0) {
		answer_records(c, t, from);
		return;
	}
	c->wait = WAIT_READ;
	c->topic = t;
	c->from = from;
	c->until_ms = now_ms() + wait;
}

static void
put_base64(struct buf *b, const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	const unsigned char *p = (const unsigned char *)data;
	uint32_t n;
	char out[4];
	size_t i;

	for (i = 0; i < len; i += 3) {
		n = (uint32_t)p[i] << 16;
		n |= i + 1 < len ? (uint32_t)p[i + 1] << 8 : 0;
		n |= i + 2 < len ? p[i + 2] : 0;
		out[0] = digits[n >> 18 & 63];
		out[1] = digits[n >> 12 & 63];
		out[2] = i + 1 < len ? digits[n >> 6 & 63] : '=';
		out[3] = i + 2 < len ? digits[n & 63] : '=';
		put(b, out, 4);
	}
}

static int
compare_items(const void *a, const void *b)
{
	const struct record *const *x = a, *const *y = b;
	size_t n = (unsigned char)(*x)->data[0], m;
	int d;

	m = (unsigned char)(*y)->data[0];
	d = memcmp((*x)->data + 1, (*y)->data + 1, n < m ? n : m);
	if (d != 0)
		return d;
	if (n != m)
		return n < m ? -1 : 1;
	return *x < *y ? -1 : 1; /* the older one first */
}

/* One page holds all keys: the cases have fewer than 500. */
static void
log_newest(struct conn *c, const char *query)
{
	const struct record **list;
	char name[NAME_LEN], after[256];
	const struct record *r;
	struct buf b = {0};
	struct topic *t;
	size_t i, n;
	bool first = true, more;

	query_text(query, "topic", name, sizeof(name));
	t = topic_get(name);
	more = query_text(query, "after", after, sizeof(after));
	list = calloc(t->count + 1, sizeof(*list));
	for (i = 0; i < t->count; i++)
		list[i] = &t->list[i];
	qsort(list, t->count, sizeof(*list), compare_items);
	put(&b, "{\"items\":[", 10);
	for (i = 0; i < t->count && !more; i++) {
		r = list[i];
		n = (size_t)(unsigned char)r->data[0];
		if (i + 1 < t->count && list[i + 1]->data[0] == r->data[0] &&
		    memcmp(list[i + 1]->data + 1, r->data + 1, n) == 0)
			continue; /* a newer one follows */
		if (r->len <= n + 1)
			continue; /* dropped */
		putf(&b, "%s{\"key\":\"%.*s\",\"offset\":%zu,\"value\":\"",
		    first ? "" : ",", (int)n, r->data + 1,
		    (size_t)(r - t->list));
		put_base64(&b, r->data + 1 + n, r->len - 1 - n);
		put(&b, "\"}", 2);
		first = false;
	}
	putf(&b, "],\"hasMore\":false,\"end\":%zu}", t->count);
	answer(c, 200, &b);
	free(b.data);
	free(list);
}

/* --- the group: a partition moves on once its holder knows --- */

static struct member *
member_find(const char *name)
{
	int i;

	for (i = 0; i < world.member_count; i++) {
		if (strcmp(world.members[i].name, name) == 0)
			return &world.members[i];
	}
	return NULL;
}

static void
deal(void)
{
	struct part *p;
	int i;

	for (i = 0; i < PARTS; i++) {
		p = &world.parts[i];
		if (member_find(p->holder) == NULL)
			p->holder[0] = '\0';
		snprintf(p->target, sizeof(p->target), "%s",
		    world.member_count > 0
			? world.members[i % world.member_count].name
			: "");
		if (p->holder[0] == '\0')
			memcpy(p->holder, p->target, sizeof(p->holder));
		p->since = world.generation;
	}
}

static void
expire_members(void)
{
	int64_t now = now_ms();
	int i, before = world.member_count;

	for (i = 0; i < world.member_count; i++) {
		if (world.members[i].until_ms < now)
			world.members[i--] =
			    world.members[--world.member_count];
	}
	if (world.member_count == before)
		return;
	world.generation++;
	deal();
}

static void
log_join(struct conn *c, struct json_object *in)
{
	struct json_object *topics = NULL;
	struct member *m;
	struct buf b = {0};
	bool first = true;
	struct part *p;
	int i;

	expire_members();
	json_object_object_get_ex(in, "topics", &topics);
	snprintf(world.topic_name, sizeof(world.topic_name), "%s",
	    json_object_get_string(json_object_array_get_idx(topics, 0)));
	m = member_find(json_text(in, "member"));
	if (m == NULL && world.member_count < MEMBERS_MAX) {
		m = &world.members[world.member_count++];
		memset(m, 0, sizeof(*m));
		snprintf(
		    m->name, sizeof(m->name), "%s", json_text(in, "member"));
		world.generation++;
		deal();
	}
	if (m == NULL) {
		answerf(c, 503, "{}");
		return;
	}
	m->until_ms = now_ms() + json_int(in, "ttlMs");
	m->generation = json_int(in, "generation");
	for (i = 0; i < PARTS; i++) {
		p = &world.parts[i];
		if (strcmp(p->holder, m->name) == 0 &&
		    strcmp(p->target, m->name) != 0 &&
		    m->generation >= p->since)
			memcpy(p->holder, p->target, sizeof(p->holder));
	}
	putf(&b, "{\"generation\":%" PRId64 ",\"parts\":[", world.generation);
	for (i = 0; i < PARTS; i++) {
		p = &world.parts[i];
		if (strcmp(p->holder, m->name) != 0 ||
		    strcmp(p->target, m->name) != 0)
			continue;
		putf(&b, "%s[\"%s\",%d,0]", first ? "" : ",", world.topic_name,
		    i);
		first = false;
	}
	put(&b, "]}", 2);
	answer(c, 200, &b);
	free(b.data);
}

static void
log_leave(struct conn *c, struct json_object *in)
{
	struct member *m = member_find(json_text(in, "member"));

	if (m != NULL)
		m->until_ms = 0;
	expire_members();
	answerf(c, 200, "{}");
}

static void
log_owners(struct conn *c)
{
	struct buf b = {0};
	bool first = true;
	int i;

	expire_members();
	putf(&b, "{\"generation\":%" PRId64 ",\"parts\":[", world.generation);
	for (i = 0; i < PARTS; i++) {
		if (world.parts[i].holder[0] == '\0')
			continue;
		putf(&b, "%s[\"%s\",%d,\"%s\",0]", first ? "" : ",",
		    world.topic_name, i, world.parts[i].holder);
		first = false;
	}
	put(&b, "]}", 2);
	answer(c, 200, &b);
	free(b.data);
}

/* --- workers --- */

static int64_t
worker_clock(const struct worker *w)
{
	return now_ms() - w->born_mono_ms;
}

static struct fate *
fate_get(const char *task)
{
	struct fate *f;
	unsigned h = 5381;
	const char *p;

	for (p = task; *p != '\0'; p++)
		h = h * 33 + (unsigned char)*p;
	h %= 4096;
	for (f = world.fates[h]; f != NULL; f = f->next) {
		if (strcmp(f->task, task) == 0)
			return f;
	}
	f = calloc(1, sizeof(*f));
	snprintf(f->task, sizeof(f->task), "%s", task);
	f->next = world.fates[h];
	world.fates[h] = f;
	return f;
}

static struct run *
run_find(const struct worker *w, const char *task)
{
	struct run *r;

	for (r = w->runs; r != NULL; r = r->next) {
		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static int64_t
run_progress(const struct run *r)
{
	int64_t ms = r->resumed_ms + now_ms() - r->begun_ms;

	return ms > r->takes_ms ? r->takes_ms : ms;
}

/* The work that a checkpoint holds stands at its front. */
static void
run_saved(const struct run *r, bool stopped, char *out, size_t size)
{
	int64_t ms = run_progress(r);
	int i;

	out[0] = '\0';
	if (!stopped)
		ms = ms / SAVE_MS * SAVE_MS;
	if (!r->saves || ms < SAVE_MS)
		return;
	snprintf(out, size, "%08" PRIx64, ms);
	for (i = 8; i < world.saved_len && i + 1 < (int)size; i++)
		out[i] = "0123456789abcdef"[(r->number + i) % 16];
	out[i] = '\0';
}

static int64_t
bar_get(const struct worker *w, const char *task)
{
	const struct bar *b;

	for (b = w->bars; b != NULL; b = b->next) {
		if (strcmp(b->task, task) == 0)
			return b->run;
	}
	return 0;
}

static void
bar_set(struct worker *w, const char *task, int64_t run)
{
	struct bar *b;

	for (b = w->bars; b != NULL; b = b->next) {
		if (strcmp(b->task, task) == 0)
			break;
	}
	if (b == NULL) {
		b = calloc(1, sizeof(*b));
		snprintf(b->task, sizeof(b->task), "%s", task);
		b->next = w->bars;
		w->bars = b;
	}
	if (run > b->run)
		b->run = run;
}

static void
run_unlink(struct worker *w, struct run *r)
{
	struct run **p = &w->runs;

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	free(r);
}

static void
run_end(struct worker *w, struct run *r, const char *how)
{
	struct fate *f = fate_get(r->task);
	struct end *e = calloc(1, sizeof(*e));

	snprintf(e->task, sizeof(e->task), "%s", r->task);
	e->number = ++w->ends;
	e->run = r->number;
	e->how = how;
	if (strcmp(how, "done") != 0)
		run_saved(
		    r, strcmp(how, "stopped") == 0, e->saved, sizeof(e->saved));
	*w->ended_tail = e;
	w->ended_tail = &e->next;
	bar_set(w, r->task, r->number);
	f->done += strcmp(how, "done") == 0;
	f->failed += strcmp(how, "failed") == 0;
	f->stopped += strcmp(how, "stopped") == 0;
	f->lapsed += strcmp(how, "lapsed") == 0;
	note("end worker=%s n=%" PRId64 " task=%s run=%" PRId64 " how=%s",
	    w->id, e->number, e->task, e->run, how);
	run_unlink(w, r);
}

static void
put_stamp(struct buf *b, const struct worker *w)
{
	putf(b, "{\"clockMs\":%" PRId64 ",\"born\":%" PRId64, worker_clock(w),
	    w->born_ms);
}

static void
answer_stamp(struct conn *c, int status, const char *reason)
{
	struct buf b = {0};

	put_stamp(&b, c->worker);
	if (reason != NULL)
		putf(&b, ",\"reason\":\"%s\"", reason);
	put(&b, "}", 1);
	answer(c, status, &b);
	free(b.data);
}

static void
lengthen_lease(struct worker *w, int64_t until_ms)
{
	if (until_ms > worker_clock(w) + HOLD_MAX_MS)
		until_ms = worker_clock(w) + HOLD_MAX_MS;
	if (until_ms > w->lease_end_ms)
		w->lease_end_ms = until_ms;
	if (w->lease_end_ms > worker_clock(w))
		w->lapsed = false;
}

/* The number behind "NAME:" in a taskSpec. */
static int64_t
spec_int(const char *spec, const char *name, int64_t missing)
{
	const char *p = strstr(spec, name);

	return p != NULL ? strtoll(p + strlen(name), NULL, 10) : missing;
}

static void
judge_start(struct json_object *in)
{
	const char *task = json_text(in, "task");
	struct fate *f = fate_get(task);
	int i;

	for (i = 0; i < world.worker_count; i++) {
		if (!world.workers[i].dead &&
		    run_find(&world.workers[i], task) != NULL) {
			f->overlaps++;
			note("judge second run at once task=%s", task);
		}
	}
	if (f->done > 0) {
		f->after_done++;
		note("judge start after an end done task=%s acknowledged=%d",
		    task, f->done_acked);
	}
	f->starts++;
}

static void
note_spec(const char *spec)
{
	int i;

	for (i = 0; i < SPECS_MAX && world.specs[i].text[0] != '\0'; i++) {
		if (strcmp(world.specs[i].text, spec) == 0)
			break;
	}
	if (i == SPECS_MAX)
		return;
	snprintf(world.specs[i].text, NAME_LEN, "%s", spec);
	world.specs[i].starts++;
}

static void
run_start(struct conn *c, struct json_object *in)
{
	const char *task = json_text(in, "task"), *spec, *saved;
	int64_t number = json_int(in, "run");
	struct worker *w = c->worker;
	struct run *r = run_find(w, task);

	if (r != NULL && r->number == number) {
		answer_stamp(c, 200, NULL);
		return;
	}
	if (r != NULL || number <= bar_get(w, task)) {
		lengthen_lease(w, json_int(in, "deadlineMs"));
		answer_stamp(c, 409, "old");
		return;
	}
	if (json_int(in, "deadlineMs") <= worker_clock(w)) {
		answer_stamp(c, 409, "late");
		return;
	}
	judge_start(in);
	lengthen_lease(w, json_int(in, "deadlineMs"));
	spec = json_text(in, "taskSpec");
	saved = json_text(in, "saved");
	r = calloc(1, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = number;
	r->begun_ms = now_ms();
	r->saves = strstr(spec, "saves") != NULL;
	r->takes_ms = spec_int(spec, "ms:", 300);
	r->lasts = strncmp(spec, "lasts", 5) == 0;
	if (saved[0] != '\0')
		r->resumed_ms =
		    strtoll((char[9]){saved[0], saved[1], saved[2], saved[3],
				saved[4], saved[5], saved[6], saved[7], '\0'},
			NULL, 16);
	r->next = w->runs;
	w->runs = r;
	note("start worker=%s task=%s run=%" PRId64 " fence=%" PRId64
	     " saved=%s taskSpec=%s",
	    w->id, task, number, json_int(in, "fence"), saved, spec);
	note_spec(spec);
	answer_stamp(c, 200, NULL);
}

static void
run_stop(struct conn *c, struct json_object *in)
{
	const char *task = json_text(in, "task");
	struct run *r = run_find(c->worker, task);

	note("stop worker=%s task=%s run=%" PRId64, c->worker->id, task,
	    json_int(in, "run"));
	if (r != NULL && r->number <= json_int(in, "run")) {
		if (r->stop_ms == 0)
			r->stop_ms = now_ms() + STOP_MS;
	} else {
		bar_set(c->worker, task, json_int(in, "run"));
	}
	answer_stamp(c, 200, NULL);
}

static void
answer_hold(struct conn *c)
{
	struct worker *w = c->worker;
	const struct run *r;
	const struct end *e;
	struct buf b = {0};
	char saved[256];
	int n = 0;

	put_stamp(&b, w);
	put(&b, ",\"running\":[", 12);
	for (r = w->runs; r != NULL; r = r->next) {
		run_saved(r, false, saved, sizeof(saved));
		putf(&b, "%s[\"%s\",%" PRId64 ",\"%s\",%d,0]",
		    r == w->runs ? "" : ",", r->task, r->number, saved,
		    (int)(run_progress(r) * 100 / r->takes_ms));
	}
	put(&b, "],\"ended\":[", 11);
	for (e = w->ended; e != NULL && n < 500; e = e->next, n++)
		putf(&b, "%s[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"%s\"]",
		    n == 0 ? "" : ",", e->number, e->task, e->run, e->how,
		    e->saved);
	put(&b, "]}", 2);
	answer(c, 200, &b);
	free(b.data);
}

static void
hold(struct conn *c, struct json_object *in)
{
	int64_t acked = json_int(in, "ackCursor");
	struct worker *w = c->worker;
	struct end *e;

	lengthen_lease(w, json_int(in, "deadlineMs"));
	while ((e = w->ended) != NULL && e->number <= acked) {
		if (strcmp(e->how, "done") == 0)
			fate_get(e->task)->done_acked = true;
		w->ended = e->next;
		if (w->ended == NULL)
			w->ended_tail = &w->ended;
		free(e);
	}
	if (w->ended != NULL || json_int(in, "waitMs") == 0) {
		answer_hold(c);
		return;
	}
	c->wait = WAIT_HOLD;
	c->until_ms = now_ms() + json_int(in, "waitMs");
}

static void
worker_request(struct conn *c, const char *path, const char *target,
    struct json_object *in)
{
	struct worker *w = c->worker;
	int64_t fence = json_int(in, "fence");

	if (strcmp(target, w->id) != 0) {
		answer_stamp(c, 421, NULL);
		return;
	}
	if (fence < w->fence) {
		answer_stamp(c, 409, "fence");
		return;
	}
	w->fence = fence;
	if (strcmp(path, "/run-start") == 0 && world.hold_up >= 0) {
		w->late = json_object_get(in);
		w->late_life = w->life;
		w->late_after_ms = world.hold_up;
		world.hold_up = -1;
		c->wait = WAIT_FOR_EVER;
		note("held up: start worker=%s task=%s run=%" PRId64, w->id,
		    json_text(in, "task"), json_int(in, "run"));
		return;
	}
	if (strcmp(path, "/run-start") == 0)
		run_start(c, in);
	else if (strcmp(path, "/run-stop") == 0)
		run_stop(c, in);
	else if (strcmp(path, "/hold") == 0)
		hold(c, in);
	else
		answer_stamp(c, 200, NULL);
}

static void
worker_beat(struct worker *w)
{
	char entry[512];

	snprintf(entry, sizeof(entry),
	    "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z\","
	    "\"configVersion\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"coldLeftMs\":0,\"capacity\":{\"cpu\":%" PRId64
	    ",\"memMb\":262144,\"gpu\":0},\"labels\":[\"%s\",\"%s\"],"
	    "\"clockMs\":%" PRId64 ",\"born\":%" PRId64 ",\"seq\":%" PRId64 "}",
	    w->service, w->port, w->cpu, w->kind, w->rack, worker_clock(w),
	    w->born_ms, ++w->seq);
	store_put("keyed.servers", w->id, entry);
	w->listed = true;
}

static void
worker_born(struct worker *w)
{
	w->dead = false;
	w->life++;
	w->born_mono_ms = now_ms();
	w->born_ms = clock_now(CLOCK_REALTIME);
	w->fence = w->lease_end_ms = w->ends = w->seq = 0;
	w->lapsed = false;
	w->ended_tail = &w->ended;
	w->beat_ms = now_ms();
	note(
	    "born worker=%s kind=%s born=%" PRId64, w->id, w->kind, w->born_ms);
}

static void
conn_free(int i, bool reset)
{
	static const struct linger hard = {1, 0};
	struct conn *c = world.conns[i];

	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(c->fd);
	free(c->in.data);
	free(c->out.data);
	free(c);
	world.conns[i] = world.conns[--world.conn_count];
}

/* All that ran and all that it knew is gone; back_ms 0: it stays away. */
static void
worker_crash(struct worker *w, int64_t back_ms)
{
	struct bar *b;
	struct end *e;
	int i;

	if (w->dead)
		return;
	note("crash worker=%s", w->id);
	while (w->runs != NULL) {
		fate_get(w->runs->task)->lost++;
		run_unlink(w, w->runs);
	}
	while ((e = w->ended) != NULL) {
		w->ended = e->next;
		free(e);
	}
	while ((b = w->bars) != NULL) {
		w->bars = b->next;
		free(b);
	}
	for (i = 0; i < world.conn_count; i++) {
		if (world.conns[i]->worker == w)
			conn_free(i--, true);
	}
	w->dead = true;
	w->dead_ms = now_ms();
	w->back_ms = back_ms > 0 ? now_ms() + back_ms : 0;
}

/* The start that was held up; its sender has long given the answer up. */
static void
late_arrives(struct worker *w)
{
	struct conn nobody = {.fd = -1, .worker = w};

	note("arrives late: start worker=%s task=%s run=%" PRId64
	     " clock=%" PRId64 " fence_known=%" PRId64,
	    w->id, json_text(w->late, "task"), json_int(w->late, "run"),
	    worker_clock(w), w->fence);
	worker_request(&nobody, "/run-start", w->id, w->late);
	free(nobody.out.data);
	json_object_put(w->late);
	w->late = NULL;
}

static void
worker_tick(struct worker *w)
{
	int64_t now = now_ms();
	struct run *r, *next;

	if (w->dead) {
		if (w->back_ms != 0 && now >= w->back_ms)
			worker_born(w);
		else if (w->listed && now - w->dead_ms > 3 * HEARTBEAT_MS) {
			store_put("keyed.servers", w->id, "");
			w->listed = false;
		}
		if (w->dead)
			return;
	}
	if (w->late != NULL && w->life > w->late_life &&
	    worker_clock(w) >= w->late_after_ms)
		late_arrives(w);
	if (now >= w->beat_ms) {
		w->beat_ms = now + HEARTBEAT_MS;
		worker_beat(w);
	}
	if (!w->lapsed && worker_clock(w) > w->lease_end_ms) {
		w->lapsed = true;
		for (r = w->runs; r != NULL; r = next) {
			next = r->next;
			run_end(w, r, "lapsed");
		}
	}
	for (r = w->runs; r != NULL; r = next) {
		next = r->next;
		if (r->stop_ms != 0 && now >= r->stop_ms)
			run_end(w, r, "stopped");
		else if (!r->lasts && run_progress(r) >= r->takes_ms)
			run_end(w, r, "done");
	}
}

/* --- the script's side --- */

static struct worker *
worker_find(const char *id)
{
	int i;

	for (i = 0; i < world.worker_count; i++) {
		if (strcmp(world.workers[i].id, id) == 0)
			return &world.workers[i];
	}
	return NULL;
}

/* Figures of the tasks of a job, or of all. */
static void
ctl_stats(struct conn *c, const char *job)
{
	int tasks = 0, starts = 0, done = 0, failed = 0, lapsed = 0, lost = 0;
	int overlaps = 0, after_done = 0, acked = 0, again = 0, running = 0;
	int i, up = 0, stopped = 0;
	const struct fate *f;
	const struct run *r;

	for (i = 0; i < 4096; i++) {
		for (f = world.fates[i]; f != NULL; f = f->next) {
			if (strncmp(f->task, job, strlen(job)) != 0)
				continue;
			tasks++;
			starts += f->starts;
			done += f->done > 0;
			acked += f->done_acked;
			failed += f->failed;
			lapsed += f->lapsed;
			stopped += f->stopped;
			lost += f->lost;
			overlaps += f->overlaps;
			after_done += f->after_done;
			again += f->done_acked && f->after_done > 0;
		}
	}
	for (i = 0; i < world.worker_count; i++) {
		up += !world.workers[i].dead;
		for (r = world.workers[i].runs; r != NULL; r = r->next)
			running += strncmp(r->task, job, strlen(job)) == 0;
	}
	answerf(c, 200,
	    "tasks=%d starts=%d done=%d acknowledged=%d failed=%d stopped=%d "
	    "lapsed=%d lost=%d running=%d overlaps=%d after_done=%d again=%d "
	    "workers_up=%d",
	    tasks, starts, done, acked, failed, stopped, lapsed, lost, running,
	    overlaps, after_done, again, up);
}

/* Starts of tasks with a taskSpec. */
static void
ctl_spec(struct conn *c, const char *query)
{
	char text[NAME_LEN];
	int i;

	query_text(query, "text", text, sizeof(text));
	for (i = 0; i < SPECS_MAX; i++) {
		if (strcmp(world.specs[i].text, text) == 0)
			break;
	}
	answerf(c, 200, "%" PRId64, i < SPECS_MAX ? world.specs[i].starts : 0);
}

static void
ctl(struct conn *c, const char *path, const char *query, const char *body)
{
	char id[NAME_LEN], text[NAME_LEN];
	struct worker *w;

	query_text(query, "id", id, sizeof(id));
	w = worker_find(id);
	if (strcmp(path, "/ctl/config") == 0) {
		note("config %s", body);
		store_put("keyed.op", "config", body);
	} else if (strcmp(path, "/ctl/stats") == 0) {
		query_text(query, "job", text, sizeof(text));
		ctl_stats(c, text);
		return;
	} else if (strcmp(path, "/ctl/hold-up") == 0) {
		world.hold_up = query_int(query, "after_ms", 20);
	} else if (strcmp(path, "/ctl/held-up") == 0) {
		for (w = world.workers; w < world.workers + world.worker_count;
		     w++) {
			if (w->late != NULL)
				break;
		}
		answerf(c, 200, "%s",
		    w < world.workers + world.worker_count ? w->id : "none");
		return;
	} else if (strcmp(path, "/ctl/spec") == 0) {
		ctl_spec(c, query);
		return;
	} else if (strcmp(path, "/ctl/saved") == 0) {
		world.saved_len = (int)query_int(query, "len", 16);
	} else if (w == NULL) {
		answerf(c, 404, "no such worker or path");
		return;
	} else if (strcmp(path, "/ctl/crash") == 0) {
		worker_crash(w, query_int(query, "back_ms", 0));
	}
	answerf(c, 200, "ok");
}

/*
 * The platform learns of the end of a worker as readers of its entry do: after
 * three heartbeats of silence.  A process that starts again before that never
 * shows as down.
 */
static void
machines(struct conn *c)
{
	const struct worker *w;
	struct buf b = {0};
	int i;

	put(&b, "{\"machines\":[", 13);
	for (i = 0; i < world.worker_count; i++) {
		w = &world.workers[i];
		putf(&b,
		    "%s{\"machine\":\"m-%s\",\"pool\":\"%s\",\"state\":\"%s\","
		    "\"zone\":\"z\",\"labels\":[\"%s\",\"%s\"],\"capacity\":"
		    "{\"cpu\":%" PRId64 ",\"memMb\":262144,\"gpu\":0},",
		    i == 0 ? "" : ",", w->id, w->service,
		    w->listed ? "up" : "down", w->kind, w->rack, w->cpu);
		if (!w->listed)
			putf(&b, "\"id\":null}");
		else
			putf(&b, "\"id\":\"%s\"}", w->id);
	}
	put(&b, "],\"nextToken\":null}", 19);
	answer(c, 200, &b);
	free(b.data);
}

static void
platform_request(struct conn *c, const char *path, const char *query,
    const char *body, size_t len, struct json_object *in)
{
	if (strcmp(path, "/log-append") == 0)
		log_append(c, query, body, len);
	else if (strcmp(path, "/log-read") == 0)
		log_read(c, query);
	else if (strcmp(path, "/log-newest") == 0)
		log_newest(c, query);
	else if (strcmp(path, "/log-join") == 0)
		log_join(c, in);
	else if (strcmp(path, "/log-leave") == 0)
		log_leave(c, in);
	else if (strcmp(path, "/log-owners") == 0)
		log_owners(c);
	else if (strcmp(path, "/machines") == 0)
		machines(c);
	else if (strncmp(path, "/ctl/", 5) == 0)
		ctl(c, path, query, body);
	else /* each pool's machines are of its own kind: none moves */
		answerf(c, 400, "{}");
}

/* --- connections --- */

static const char *
header_find(const char *head, const char *name)
{
	const char *p = head;
	size_t n = strlen(name);

	while ((p = strstr(p, "\r\n")) != NULL) {
		p += 2;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			p += n + 1;
			return p + strspn(p, " ");
		}
	}
	return NULL;
}

/* Handles one request that is in whole; false: there is none yet. */
static bool
conn_request(struct conn *c)
{
	char path[2048], target[NAME_LEN] = "", *end, *query, *body;
	const char *value;
	struct json_object *in;
	size_t head, len = 0;

	if (c->wait != WAIT_NONE || c->in.len == 0)
		return false;
	end = strstr(c->in.data, "\r\n\r\n");
	if (end == NULL)
		return false;
	head = (size_t)(end - c->in.data) + 4;
	*end = '\0';
	value = header_find(c->in.data, "content-length");
	if (value != NULL)
		len = strtoul(value, NULL, 10);
	value = header_find(c->in.data, "mimosalead-target-instance");
	if (value != NULL)
		snprintf(target, sizeof(target), "%.*s",
		    (int)strcspn(value, "\r"), value);
	if (sscanf(c->in.data, "%*s %2047s", path) != 1)
		path[0] = '\0';
	*end = '\r';
	if (c->in.len < head + len)
		return false;
	body = calloc(1, len + 1);
	memcpy(body, c->in.data + head, len);
	memmove(c->in.data, c->in.data + head + len, c->in.len - head - len);
	c->in.len -= head + len;
	c->in.data[c->in.len] = '\0';
	query = strchr(path, '?');
	if (query != NULL)
		*query++ = '\0';
	in = len > 0 && body[0] == '{' ? json_tokener_parse(body) : NULL;
	if (c->worker != NULL)
		worker_request(c, path, target, in);
	else
		platform_request(c, path, query, body, len, in);
	json_object_put(in);
	free(body);
	return true;
}

static void
conn_tick(struct conn *c)
{
	int64_t now = now_ms();

	if (c->wait == WAIT_READ &&
	    ((size_t)c->from < c->topic->count || now >= c->until_ms))
		answer_records(c, c->topic, c->from);
	else if (c->wait == WAIT_HOLD &&
	    (c->worker->ended != NULL || now >= c->until_ms))
		answer_hold(c);
	while (conn_request(c))
		;
}

static int
listen_on(int port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
	    listen(fd, 256) == -1) {
		fprintf(stderr, "world: port %d: %s\n", port, strerror(errno));
		exit(2);
	}
	return fd;
}

static void
accept_one(int listen_fd, struct worker *w)
{
	static const struct linger hard = {1, 0};
	int fd = accept(listen_fd, NULL, NULL);
	struct conn *c;

	if (fd == -1)
		return;
	if ((w != NULL && w->dead) || world.conn_count == CONNS_MAX) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		close(fd);
		return;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	c = calloc(1, sizeof(*c));
	c->fd = fd;
	c->worker = w;
	world.conns[world.conn_count++] = c;
}

/* False: the connection is over. */
static bool
conn_io(struct conn *c, short events)
{
	char data[65536];
	ssize_t n;

	if (events & (POLLIN | POLLHUP | POLLERR)) {
		n = read(c->fd, data, sizeof(data));
		if (n == 0 || (n == -1 && errno != EAGAIN))
			return false;
		if (n > 0)
			put(&c->in, data, (size_t)n);
	}
	conn_tick(c);
	if (c->out.len == 0)
		return true;
	n = write(c->fd, c->out.data, c->out.len);
	if (n == -1)
		return errno == EAGAIN;
	memmove(c->out.data, c->out.data + n, c->out.len - (size_t)n);
	c->out.len -= (size_t)n;
	return true;
}

static void
loop_once(void)
{
	static struct pollfd fds[CONNS_MAX + WORKERS_MAX + 1];
	int i, n = 0, first;
	struct conn *c;

	fds[n++] = (struct pollfd){world.listen_fd, POLLIN, 0};
	for (i = 0; i < world.worker_count; i++)
		fds[n++] =
		    (struct pollfd){world.workers[i].listen_fd, POLLIN, 0};
	first = n;
	for (i = 0; i < world.conn_count; i++) {
		c = world.conns[i];
		fds[n++] = (struct pollfd){
		    c->fd, (short)(POLLIN | (c->out.len > 0 ? POLLOUT : 0)), 0};
	}
	poll(fds, (nfds_t)n, 2);
	for (i = n - first - 1; i >= 0; i--) {
		if (!conn_io(world.conns[i], fds[first + i].revents))
			conn_free(i, false);
	}
	if (fds[0].revents & POLLIN)
		accept_one(world.listen_fd, NULL);
	for (i = 0; i < world.worker_count; i++) {
		if (fds[1 + i].revents & POLLIN)
			accept_one(
			    world.workers[i].listen_fd, &world.workers[i]);
	}
	for (i = 0; i < world.worker_count; i++)
		worker_tick(&world.workers[i]);
	expire_members();
}

/* PORT:ID:SERVICE:KIND:RACK:CPU */
static void
add_worker(char *text)
{
	struct worker *w = &world.workers[world.worker_count++];
	char *save;

	w->port = atoi(strtok_r(text, ":", &save));
	snprintf(w->id, NAME_LEN, "%s", strtok_r(NULL, ":", &save));
	snprintf(w->service, NAME_LEN, "%s", strtok_r(NULL, ":", &save));
	snprintf(w->kind, NAME_LEN, "%s", strtok_r(NULL, ":", &save));
	snprintf(w->rack, NAME_LEN, "%s", strtok_r(NULL, ":", &save));
	w->cpu = strtoll(strtok_r(NULL, ":", &save), NULL, 10);
	w->listen_fd = listen_on(w->port);
	worker_born(w);
}

/* world RECORD PORT RECORD_BYTES REQUEST_BYTES WORKER... */
int
main(int argc, char **argv)
{
	int i;

	if (argc < 6 || argc - 5 > WORKERS_MAX) {
		fprintf(stderr,
		    "usage: world RECORD PORT RECORD_BYTES "
		    "REQUEST_BYTES WORKER...\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	world.log = fopen(argv[1], "a");
	if (world.log == NULL)
		return 2;
	world.port = atoi(argv[2]);
	world.record_bytes = strtoul(argv[3], NULL, 10);
	world.request_bytes = strtoul(argv[4], NULL, 10);
	world.saved_len = 16;
	world.hold_up = -1;
	world.listen_fd = listen_on(world.port);
	for (i = 5; i < argc; i++)
		add_worker(argv[i]);
	for (;;)
		loop_once();
}
