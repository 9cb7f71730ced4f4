#include "callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "http_json.h"

#define LIBRARY_TIMEOUT_S 600
#define PACE_US 5000
#define PROBE_US 200000
#define PROBE_TIMEOUT_MS 500
#define TRIES_MAX 4 /* daemons that a balancer tries for one request */
#define REPEAT_DELAYS 3

const char *
call_result_name(enum call_result r)
{
	static const char *const names[] = {
	    "pending", "answered", "not-run", "unknown", "lost", "nowhere"};

	return names[r];
}

const char *
call_kind_name(enum call_kind k)
{
	static const char *const names[] = {
	    "quick", "batch", "order", "order with key"};

	return names[k];
}

static const char *const kept[] = {
    "mimosalead-outcome", "mimosalead-reason", NULL};

static int
pick_daemon(struct callers *c, int avoid)
{
	int i, n, count = (int)c->opts.fleet->daemon_count;

	for (i = 0; i < count; i++) {
		n = c->next_daemon;
		c->next_daemon = (c->next_daemon + 1) % count;
		if (c->healthy[n] && n != avoid)
			return n;
	}
	return -1;
}

/* The answer must repeat this request's id and its body's hash. */
static bool
is_own_answer(const struct caller_request *r, const struct answer *a)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o;
	char hash[20];
	bool own;

	snprintf(hash, sizeof(hash), "%016llx",
	    (unsigned long long)XXH64(r->body, strlen(r->body), 0));
	o = a->body == NULL
	    ? NULL
	    : json_tokener_parse_ex(
		  tok, (const char *)a->body->data, (int)a->body->len);
	own = strcmp(json_string(o, "body_hash"), hash) == 0;
	/* A repeat gets the answer of the first request with its key. */
	if (r->key[0] == '\0')
		own = own && strcmp(json_string(o, "x-request-id"), r->id) == 0;
	else
		own = own &&
		    strcmp(json_string(o, "idempotency-key"), r->key) == 0;
	json_object_put(o);
	json_tokener_free(tok);
	return own;
}

static void
request_judge(struct caller_request *r, const struct answer *a)
{
	const char *outcome = headers_get(&a->headers, "mimosalead-outcome");
	const char *reason = headers_get(&a->headers, "mimosalead-reason");

	r->status = a->status;
	if (reason != NULL)
		snprintf(r->reason, sizeof(r->reason), "%s", reason);
	if (outcome != NULL && strcmp(outcome, "answered") == 0) {
		r->result = CALL_ANSWERED;
		r->misdelivered = !is_own_answer(r, a);
	} else if (outcome != NULL && strcmp(outcome, "not-run") == 0) {
		r->result = CALL_NOT_RUN;
	} else {
		r->result = CALL_UNKNOWN;
	}
}

static void request_start(struct caller_request *r);

static void
request_end(void *arg, enum http_outcome end, struct answer *answer)
{
	struct caller_request *r = arg;

	r->call = NULL;
	if (end == HTTP_UNSENT && r->tries < TRIES_MAX) {
		r->callers->healthy[r->daemon] = false;
		r->tries++;
		request_start(r);
		return;
	}
	r->callers->pending--;
	r->end_ms = clock_ms();
	if (end == HTTP_ANSWERED)
		request_judge(r, answer);
	else
		r->result = end == HTTP_UNSENT ? CALL_NOWHERE : CALL_LOST;
}

static int
request_headers(const struct caller_request *r, struct headers *h)
{
	const struct text *t = r->callers->opts.fleet->text;

	memset(h, 0, sizeof(*h));
	headers_add(h, "x-request-id", r->id);
	headers_add(h, "content-type", "text/plain");
	if (r->key[0] != '\0')
		headers_add(h, "idempotency-key", r->key);
	if (r->kind == CALL_BATCH)
		headers_add(h, "mimosalead-class", "batch");
	if (t->member_by == MEMBER_BY_HEADER)
		headers_add(h, t->member_header, r->member);
	return 0;
}

static void
request_start(struct caller_request *r)
{
	struct callers *c = r->callers;
	struct headers headers;
	struct http_call_opts opts = {.context = c->context,
	    .addr = "127.0.0.1",
	    .method = "POST",
	    .path = r->path,
	    .headers = &headers,
	    .keep_headers = kept,
	    .timeout_ms = c->opts.timeout_ms,
	    .answer_body_max_bytes = ANSWER_MAX_BYTES,
	    .on_done = request_end,
	    .arg = r};

	if (r->daemon < 0 || r->tries > 0)
		r->daemon = pick_daemon(c, r->avoid);
	if (r->daemon < 0) {
		r->result = CALL_NOWHERE;
		r->end_ms = clock_ms();
		c->pending--;
		return;
	}
	opts.port = c->opts.fleet->daemons[r->daemon].listen;
	opts.body = buf_from(r->body, strlen(r->body));
	request_headers(r, &headers);
	r->call = http_call_start(&opts, NULL);
	if (r->call == NULL) {
		r->result = CALL_NOWHERE;
		c->pending--;
	}
	headers_uninit(&headers);
	buf_unref(opts.body);
}

struct caller_request *
callers_send(struct callers *c, enum call_kind kind, const char *key,
    int daemon, int avoid)
{
	const struct text *t = c->opts.fleet->text;
	struct caller_request *r = calloc(1, sizeof(*r));

	if (r == NULL)
		exit(1);
	r->callers = c;
	r->kind = kind;
	r->daemon = daemon;
	r->avoid = avoid;
	r->path = c->opts.path[kind];
	/* A key belongs to one member: its repeat must come from the same. */
	r->member = t->members[(key ? XXH64(key, strlen(key), 0) : c->count) %
			 t->member_count]
			.name;
	r->start_ms = clock_ms();
	snprintf(r->id, sizeof(r->id), "r%06u", c->count++);
	snprintf(r->key, sizeof(r->key), "%s", key ? key : "");
	/* A repeat must send the same bytes as the first. */
	snprintf(r->body, sizeof(r->body), "body of %s", key ? key : r->id);
	TAILQ_INSERT_TAIL(&c->list, r, entries);
	c->pending++;
	request_start(r);
	return r;
}

/* Sends the second request with a key, to another daemon. */
struct repeat {
	struct callers *callers;
	char key[CALLERS_ID_BYTES];
	int avoid;
	lws_sorted_usec_list_t sul;
};

static void
repeat_due(lws_sorted_usec_list_t *sul)
{
	struct repeat *p = lws_container_of(sul, struct repeat, sul);

	callers_send(p->callers, CALL_KEYED, p->key, -1, p->avoid);
	p->callers->pending--;
	free(p);
}

static void
send_keyed(struct callers *c)
{
	static const int delays_ms[REPEAT_DELAYS] = {1, 20, 300};
	struct caller_request *r;
	struct repeat *p;
	char key[CALLERS_ID_BYTES];
	unsigned n = c->sent[CALL_KEYED];

	snprintf(key, sizeof(key), "key%06u", n);
	r = callers_send(c, CALL_KEYED, key, -1, -1);
	if (c->opts.repeat_every == 0 ||
	    n % (unsigned)c->opts.repeat_every != 0)
		return;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		exit(1);
	p->callers = c;
	memcpy(p->key, key, sizeof(key));
	p->avoid = r->daemon;
	c->pending++;
	lws_sul_schedule(c->context, 0, &p->sul, repeat_due,
	    delays_ms[n / (unsigned)c->opts.repeat_every % REPEAT_DELAYS] *
		US_PER_MS);
}

static void
pace_due(lws_sorted_usec_list_t *sul)
{
	struct callers *c = lws_container_of(sul, struct callers, pace);
	int64_t ms = clock_ms() - c->begun_ms;
	int k;

	if (!c->sending)
		return;
	for (k = 0; k < CALL_KIND_COUNT; k++) {
		while (c->sent[k] < ms * c->opts.per_second[k] / MS_PER_S) {
			c->sent[k]++;
			if (k == CALL_KEYED)
				send_keyed(c);
			else
				callers_send(
				    c, (enum call_kind)k, NULL, -1, -1);
		}
	}
	lws_sul_schedule(c->context, 0, &c->pace, pace_due, PACE_US);
}

static void
probe_end(void *arg, enum http_outcome end, struct answer *answer)
{
	struct probe *p = arg;

	p->call = NULL;
	p->callers->healthy[p->daemon] =
	    end == HTTP_ANSWERED && answer->status == 200;
}

static void
probe_start(struct callers *c, int daemon)
{
	struct probe *p = &c->probes[daemon];
	struct http_call_opts opts = {.context = c->context,
	    .addr = "127.0.0.1",
	    .port = c->opts.fleet->daemons[daemon].listen,
	    .method = "GET",
	    .path = "/healthz",
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .answer_body_max_bytes = ANSWER_MAX_BYTES,
	    .on_done = probe_end,
	    .arg = p};

	p->callers = c;
	p->daemon = daemon;
	p->call = http_call_start(&opts, NULL);
}

static void
probe_due(lws_sorted_usec_list_t *sul)
{
	struct callers *c = lws_container_of(sul, struct callers, probe);
	int i;

	for (i = 0; i < (int)c->opts.fleet->daemon_count; i++)
		if (c->probes[i].call == NULL)
			probe_start(c, i);
	lws_sul_schedule(c->context, 0, &c->probe, probe_due, PROBE_US);
}

struct callers *
callers_new(const struct callers_opts *opts)
{
	static struct lws_protocols protocols[2];
	struct lws_context_creation_info info;
	struct callers *c = calloc(1, sizeof(*c));

	if (c == NULL)
		exit(1);
	c->opts = *opts;
	TAILQ_INIT(&c->list);
	protocols[0] = http_client_protocol;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = protocols;
	info.fd_limit_per_thread = 2048;
	info.max_http_header_data = HEADERS_MAX_BYTES;
	/* Calls have a time-out of their own; the library's is shorter. */
	info.timeout_secs = LIBRARY_TIMEOUT_S;
	info.connect_timeout_secs = LIBRARY_TIMEOUT_S;
	lws_set_log_level(LLL_ERR, NULL);
	c->context = lws_create_context(&info);
	if (c->context == NULL)
		exit(1);
	lws_sul_schedule(c->context, 0, &c->probe, probe_due, 1);
	return c;
}

void
callers_free(struct callers *c)
{
	struct caller_request *r;
	size_t i;

	if (c == NULL)
		return;
	lws_sul_cancel(&c->pace);
	lws_sul_cancel(&c->probe);
	for (i = 0; i < FLEET_DAEMONS_MAX; i++)
		if (c->probes[i].call != NULL)
			http_call_cancel(c->probes[i].call);
	TAILQ_FOREACH(r, &c->list, entries)
		if (r->call != NULL)
			http_call_cancel(r->call);
	lws_context_destroy(c->context);
	while ((r = TAILQ_FIRST(&c->list)) != NULL) {
		TAILQ_REMOVE(&c->list, r, entries);
		free(r);
	}
	free(c);
}

void
callers_begin(struct callers *c)
{
	c->sending = true;
	c->begun_ms = clock_ms();
	memset(c->sent, 0, sizeof(c->sent));
	pace_due(&c->pace);
}

void
callers_stop(struct callers *c)
{
	c->sending = false;
	lws_sul_cancel(&c->pace);
}

void
callers_run(struct callers *c, int ms)
{
	int64_t end = clock_ms() + ms;

	while (clock_ms() < end)
		lws_service(c->context, 0);
}

bool
callers_drain(struct callers *c, int limit_ms)
{
	int64_t end = clock_ms() + limit_ms;

	while (c->pending > 0 && clock_ms() < end)
		lws_service(c->context, 0);
	return c->pending == 0;
}
