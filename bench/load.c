#include "load.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"

#define ANSWER_BYTES (4 * 1024 * 1024)
#define SERVICE_BYTES 32768
#define WAKE_MS 10 /* the loop looks at its time limit so often */

struct slot {
	struct load *load;
	struct http_call *call;
	int64_t start_us;
};

struct load {
	struct load_opts opts;
	struct lws_context *context;
	struct lws_protocols protocols[2];
	struct buf *body;
	struct slot *slots;
	size_t started, ended;
	int64_t begin_us, end_us;
	int64_t *latencies; /* of whole answers */
	size_t whole;
	struct load_result result;
	lws_sorted_usec_list_t wake;
};

static void slot_start(struct slot *s);

static void
load_note(struct load *l, const struct answer *a)
{
	const char *outcome = headers_get(&a->headers, "mimosalead-outcome");

	if (a->status >= 0 && a->status < 600)
		l->result.statuses[a->status]++;
	if (outcome == NULL)
		return;
	l->result.answered += strcmp(outcome, "answered") == 0;
	l->result.not_run += strcmp(outcome, "not-run") == 0;
	l->result.unknown += strcmp(outcome, "unknown") == 0;
}

static void
on_end(void *arg, enum http_outcome end, struct answer *answer)
{
	struct slot *s = arg;
	struct load *l = s->load;

	s->call = NULL;
	l->result.ends[end]++;
	if (end == HTTP_ANSWERED) {
		l->latencies[l->whole++] = lws_now_usecs() - s->start_us;
		load_note(l, answer);
	}
	l->ended++;
	if (l->started < l->opts.count)
		slot_start(s);
	else if (l->ended == l->opts.count)
		l->end_us = lws_now_usecs();
}

static void
slot_start(struct slot *s)
{
	static const char *const keep[] = {"mimosalead-outcome", NULL};
	const struct load_opts *o = &s->load->opts;
	struct http_call_opts c;
	struct err e;

	memset(&c, 0, sizeof(c));
	c.context = s->load->context;
	c.addr = "127.0.0.1";
	c.port = o->port;
	c.method = o->method;
	c.path = o->path;
	c.headers = o->headers;
	c.body = s->load->body;
	c.keep_headers = keep;
	c.timeout_ms = o->timeout_ms;
	c.answer_body_max_bytes = ANSWER_BYTES;
	c.on_done = on_end;
	c.arg = s;
	s->load->started++;
	s->start_us = lws_now_usecs();
	s->call = http_call_start(&c, &e);
	if (s->call == NULL)
		errx(1, "load: %s", e.message);
}

static void
on_wake(lws_sorted_usec_list_t *sul)
{
	struct load *l = lws_container_of(sul, struct load, wake);

	lws_sul_schedule(l->context, 0, sul, on_wake, WAKE_MS * US_PER_MS);
}

static struct lws_context *
load_context(struct load *l)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	l->protocols[0] = http_client_protocol;
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = l->protocols;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	info.max_http_header_data2 = HEADERS_MAX_BYTES;
	info.max_http_header_pool2 = UINT16_MAX;
	info.pt_serv_buf_size = SERVICE_BYTES;
	info.timeout_secs = 600;
	info.connect_timeout_secs = 600;
	lws_set_log_level(0, NULL);
	return lws_create_context(&info);
}

struct load *
load_new(const struct load_opts *opts)
{
	struct load *l;
	size_t i, n;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		err(1, "load");
	l->opts = *opts;
	l->context = load_context(l);
	n = opts->concurrency < opts->count ? opts->concurrency : opts->count;
	l->slots = calloc(n, sizeof(*l->slots));
	l->latencies = calloc(opts->count, sizeof(*l->latencies));
	if (l->context == NULL || l->slots == NULL || l->latencies == NULL)
		err(1, "load");
	if (opts->body != NULL)
		l->body = buf_from(opts->body, strlen(opts->body));
	l->begin_us = lws_now_usecs();
	on_wake(&l->wake);
	for (i = 0; i < n; i++) {
		l->slots[i].load = l;
		slot_start(&l->slots[i]);
	}
	return l;
}

bool
load_run(struct load *l, int limit_ms)
{
	int64_t until = lws_now_usecs() + limit_ms * US_PER_MS;

	while (l->ended < l->opts.count && lws_now_usecs() < until) {
		if (lws_service(l->context, 0) < 0)
			break;
	}
	return l->ended == l->opts.count;
}

static int
compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

void
load_result(struct load *l, struct load_result *r)
{
	*r = l->result;
	r->done = l->ended;
	r->elapsed_us = (l->end_us ? l->end_us : lws_now_usecs()) - l->begin_us;
	if (l->whole == 0)
		return;
	qsort(l->latencies, l->whole, sizeof(*l->latencies), compare);
	r->p50_us = l->latencies[l->whole / 2];
	r->p99_us = l->latencies[l->whole * 99 / 100];
	r->max_us = l->latencies[l->whole - 1];
}

void
load_free(struct load *l)
{
	size_t i;

	for (i = 0; i < l->opts.concurrency && i < l->opts.count; i++) {
		if (l->slots[i].call != NULL)
			http_call_cancel(l->slots[i].call);
	}
	lws_sul_cancel(&l->wake);
	lws_context_destroy(l->context);
	buf_unref(l->body);
	free(l->slots);
	free(l->latencies);
	free(l);
}
