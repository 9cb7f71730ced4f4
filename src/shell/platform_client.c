#include "platform_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "http_client.h"
#include "metric.h"
#include "peer_link.h"
#include "platform.h"

#define READ_RECORDS_MAX 1000 /* records per read */
/* limit on the platform's answers */
#define PLATFORM_ANSWER_MAX_BYTES (8 * 1024 * 1024)
#define RETRY_DELAY_MIN_MS 100
#define RETRY_DELAY_MAX_MS 500

/* Long-polls one stream of the log. */
struct stream_reader {
	struct platform_client *client;
	enum stream stream;
	uint64_t from_offset;
	struct http_call *call;
	int64_t retry_delay_ms;
	lws_sorted_usec_list_t timer;
};

enum poll_kind {
	POLL_VMS,
	POLL_USAGE,
	POLL_COUNT
};

struct list_poll {
	struct platform_client *client;
	enum poll_kind kind;
	uint64_t revision;
	struct http_call *call;
	lws_sorted_usec_list_t timer;
};

/* An append or an operation in flight. */
struct pending_op {
	struct platform_client *client;
	/* EVENT_APPEND_RESULT or EVENT_PLATFORM_RESULT */
	enum event_kind result_event;
	uint64_t id; /* token of the append, key of the operation */
	struct http_call *call;
	lws_sorted_usec_list_t not_started_timer;
	LIST_ENTRY(pending_op) entries;
};

struct platform_client {
	struct shell *shell;
	struct stream_reader readers[STREAM_COUNT];
	struct list_poll polls[POLL_COUNT];
	LIST_HEAD(op_list, pending_op) ops;
	bool down; /* the last call failed; logged when it changes */
	uint64_t reads, read_errors, gaps, malformed_records, malformed_entries;
	uint64_t appends[APPEND_UNKNOWN + 1];
	uint64_t operations[APPEND_UNKNOWN + 1];
	uint64_t answer_bytes, request_bytes;
};

static struct http_call *
client_call(struct platform_client *pc, const struct platform_call *c,
    int timeout_ms, void (*on_done)(void *, enum http_outcome, struct answer *),
    void *arg)
{
	static const char *const no_headers[] = {NULL};
	const struct settings *s = pc->shell->settings;
	struct http_call_opts o;
	struct headers headers = {.count = 0};
	struct http_call *call;
	struct err e;

	memset(&o, 0, sizeof(o));
	if (c->body != NULL)
		headers_add(&headers, "content-type", "application/json");
	o.context = pc->shell->context;
	o.addr = s->platform.addr;
	o.port = s->platform.port;
	o.method = c->method;
	o.path = c->path;
	o.headers = &headers;
	o.body = c->body;
	o.keep_headers = no_headers;
	o.timeout_ms = timeout_ms;
	o.answer_body_max_bytes = PLATFORM_ANSWER_MAX_BYTES;
	o.on_done = on_done;
	o.arg = arg;
	pc->request_bytes += strlen(c->path) + (c->body ? c->body->len : 0);
	call = http_call_start(&o, &e);
	headers_uninit(&headers);
	return call;
}

/* Logs the first failure, and the first success after a failure. */
static void
client_record_health(struct platform_client *pc, bool ok, const char *what)
{
	if (ok == !pc->down)
		return;
	pc->down = !ok;
	daemon_log(ok ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "platform",
	    "msg=\"%s\" call=%s addr=%s port=%d",
	    ok ? "platform answers again" : "platform does not answer", what,
	    pc->shell->settings->platform.addr,
	    pc->shell->settings->platform.port);
}

static const void *
body_data(const struct answer *a, size_t *len)
{
	*len = a->body != NULL ? a->body->len : 0;
	return a->body != NULL ? a->body->data : NULL;
}

static void
log_malformed_answer(const char *what, const struct err *e)
{
	daemon_log(LOG_LEVEL_WARN, "platform",
	    "msg=\"malformed answer from the platform\" call=%s error=\"%s\" "
	    "remedy=\"%s\"",
	    what, e->message, e->remedy);
}

static void reader_start(struct stream_reader *r);

static void
reader_on_timer(lws_sorted_usec_list_t *sul)
{
	struct stream_reader *r =
	    lws_container_of(sul, struct stream_reader, timer);

	if (r->call == NULL)
		reader_start(r);
}

/* Reports a failed read to the reducer and retries after a delay. */
static void
reader_handle_failure(struct stream_reader *r)
{
	struct event ev = {.kind = EVENT_LOG_ERROR};
	struct platform_client *pc = r->client;

	pc->read_errors++;
	client_record_health(pc, false, "read");
	lws_sul_schedule(pc->shell->context, 0, &r->timer, reader_on_timer,
	    shell_jitter_us(r->retry_delay_ms));
	r->retry_delay_ms = r->retry_delay_ms * 2 > RETRY_DELAY_MAX_MS
	    ? RETRY_DELAY_MAX_MS
	    : r->retry_delay_ms * 2;
	ev.u.log_error.stream = r->stream;
	shell_handle_event(pc->shell, &ev);
}

static void
reader_handle_gap(struct stream_reader *r, const struct answer *a)
{
	struct event ev = {.kind = EVENT_LOG_GAP};
	const void *data;
	struct err e;
	size_t len;

	data = body_data(a, &len);
	if (platform_parse_gap(
		&ev.u.log_gap.first, &ev.u.log_gap.tail, data, len, &e) == -1) {
		log_malformed_answer("read", &e);
		reader_handle_failure(r);
		return;
	}
	r->client->gaps++;
	daemon_log(LOG_LEVEL_WARN, "platform",
	    "msg=\"log was truncated past the next offset to read, "
	    "retrying\" stream=%s from=%llu "
	    "first=%llu",
	    stream_name(r->stream), (unsigned long long)r->from_offset,
	    (unsigned long long)ev.u.log_gap.first);
	lws_sul_schedule(r->client->shell->context, 0, &r->timer,
	    reader_on_timer, shell_jitter_us(RETRY_DELAY_MAX_MS));
	ev.u.log_gap.stream = r->stream;
	shell_handle_event(r->client->shell, &ev);
}

static void
reader_handle_batch(struct stream_reader *r, const struct answer *a)
{
	struct event ev = {.kind = EVENT_LOG_BATCH};
	struct platform_client *pc = r->client;
	struct platform_batch b;
	const void *data;
	struct err e;
	size_t len;

	data = body_data(a, &len);
	if (platform_parse_batch(&b, data, len, &e) == -1) {
		log_malformed_answer("read", &e);
		reader_handle_failure(r);
		return;
	}
	client_record_health(pc, true, "read");
	r->retry_delay_ms = RETRY_DELAY_MIN_MS;
	pc->reads++;
	pc->malformed_records += b.malformed_count;
	ev.u.log_batch.stream = r->stream;
	ev.u.log_batch.records = b.records;
	ev.u.log_batch.count = b.count;
	ev.u.log_batch.next = b.next_offset;
	ev.u.log_batch.tail = b.tail_offset;
	ev.u.log_batch.first = b.first_retained_offset;
	ev.u.log_batch.bad = b.malformed_count;
	shell_handle_event(pc->shell, &ev);
	platform_batch_uninit(&b);
}

static void
reader_on_done(void *arg, enum http_outcome outcome, struct answer *a)
{
	struct stream_reader *r = arg;
	size_t len;

	r->call = NULL;
	if (outcome != HTTP_ANSWERED) {
		reader_handle_failure(r);
		return;
	}
	body_data(a, &len);
	r->client->answer_bytes += len;
	switch (platform_status(a->status)) {
	case PLATFORM_OK:
		reader_handle_batch(r, a);
		break;
	case PLATFORM_GAP:
		reader_handle_gap(r, a);
		break;
	case PLATFORM_NOT_DONE:
	case PLATFORM_OUTCOME_UNKNOWN:
		reader_handle_failure(r);
		break;
	}
}

static void
reader_start(struct stream_reader *r)
{
	const struct settings *s = r->client->shell->settings;
	struct platform_call c;

	lws_sul_cancel(&r->timer);
	if (platform_read_call(&c, r->stream, r->from_offset, READ_RECORDS_MAX,
		s->log_wait_ms) == 0)
		r->call = client_call(r->client, &c,
		    s->log_wait_ms + s->platform_timeout_ms, reader_on_done, r);
	if (r->call == NULL)
		lws_sul_schedule(r->client->shell->context, 0, &r->timer,
		    reader_on_timer, shell_jitter_us(RETRY_DELAY_MAX_MS));
}

void
platform_client_read(struct platform_client *pc, enum stream s, uint64_t from)
{
	struct stream_reader *r = &pc->readers[s];
	bool backing_off = r->retry_delay_ms > RETRY_DELAY_MIN_MS;

	if (r->call != NULL && r->from_offset == from)
		return;
	r->from_offset = from;
	if (r->call != NULL) {
		http_call_cancel(r->call);
		r->call = NULL;
	}
	/* After a failure the retry timer starts the read. */
	if (!backing_off)
		reader_start(r);
}

static void poll_start(struct list_poll *p);

static void
poll_on_timer(lws_sorted_usec_list_t *sul)
{
	poll_start(lws_container_of(sul, struct list_poll, timer));
}

static void
poll_schedule(struct list_poll *p)
{
	lws_sul_schedule(p->client->shell->context, 0, &p->timer, poll_on_timer,
	    shell_jitter_us(p->client->shell->settings->vm_list_poll_ms));
}

static int
poll_handle_vms(
    struct list_poll *p, const void *data, size_t len, struct err *e)
{
	struct event ev = {.kind = EVENT_VM_LIST};
	struct platform_client *pc = p->client;
	struct platform_vms v;
	size_t i;

	if (platform_parse_vms(&v, data, len, e) == -1)
		return -1;
	p->revision = v.revision;
	pc->malformed_entries += v.malformed_count;
	for (i = 0; i < v.count; i++) {
		if (v.list[i].role == VM_ENTRY &&
		    v.list[i].state != VM_LIST_GONE && v.list[i].port > 0)
			peer_links_add_address(
			    pc->shell->links, v.list[i].addr, v.list[i].port);
	}
	ev.u.vm_list.whole = v.full_list;
	ev.u.vm_list.list = v.list;
	ev.u.vm_list.count = v.count;
	shell_handle_event(pc->shell, &ev);
	platform_vms_uninit(&v);
	return 0;
}

static int
poll_handle_usage(
    struct list_poll *p, const void *data, size_t len, struct err *e)
{
	struct event ev = {.kind = EVENT_USAGE};
	struct platform_usage u;

	if (platform_parse_usage(&u, data, len, e) == -1)
		return -1;
	p->revision = u.revision;
	p->client->malformed_entries += u.malformed_count;
	ev.u.usage.list = u.list;
	ev.u.usage.count = u.count;
	if (u.count > 0)
		shell_handle_event(p->client->shell, &ev);
	platform_usage_uninit(&u);
	return 0;
}

static void
poll_on_done(void *arg, enum http_outcome outcome, struct answer *a)
{
	struct list_poll *p = arg;
	const void *data;
	struct err e;
	size_t len;
	int ret;

	p->call = NULL;
	poll_schedule(p);
	if (outcome != HTTP_ANSWERED ||
	    platform_status(a->status) != PLATFORM_OK) {
		client_record_health(p->client, false, "poll");
		return;
	}
	data = body_data(a, &len);
	p->client->answer_bytes += len;
	ret = p->kind == POLL_VMS ? poll_handle_vms(p, data, len, &e)
				  : poll_handle_usage(p, data, len, &e);
	if (ret == -1)
		log_malformed_answer("poll", &e);
}

static void
poll_start(struct list_poll *p)
{
	const struct settings *s = p->client->shell->settings;
	struct platform_call c;
	int ret;

	ret = p->kind == POLL_VMS
	    ? platform_vms_call(&c, s->data_centre, p->revision)
	    : platform_usage_call(&c, s->data_centre, p->revision);
	if (ret == 0)
		p->call = client_call(
		    p->client, &c, s->platform_timeout_ms, poll_on_done, p);
	if (p->call == NULL)
		poll_schedule(p);
}

static void
op_free(struct pending_op *o)
{
	LIST_REMOVE(o, entries);
	lws_sul_cancel(&o->not_started_timer);
	free(o);
}

static void
op_result(struct pending_op *o, enum append_outcome outcome, uint64_t offset)
{
	struct event ev = {.kind = o->result_event};
	struct platform_client *pc = o->client;

	if (o->result_event == EVENT_APPEND_RESULT) {
		pc->appends[outcome]++;
		ev.u.append.token = o->id;
		ev.u.append.outcome = outcome;
		ev.u.append.offset = offset;
	} else {
		pc->operations[outcome]++;
		ev.u.platform.key = o->id;
		ev.u.platform.outcome = outcome;
	}
	op_free(o);
	shell_handle_event(pc->shell, &ev);
}

static void
op_not_started(lws_sorted_usec_list_t *sul)
{
	op_result(lws_container_of(sul, struct pending_op, not_started_timer),
	    APPEND_NOT_DONE, 0);
}

static void
op_handle_answer(struct pending_op *o, const struct answer *a)
{
	enum append_outcome outcome = APPEND_UNKNOWN;
	uint64_t offset = 0;
	const void *data;
	struct err e;
	size_t len;

	data = body_data(a, &len);
	o->client->answer_bytes += len;
	switch (platform_status(a->status)) {
	case PLATFORM_OK:
		outcome = APPEND_DONE;
		if (o->result_event == EVENT_APPEND_RESULT &&
		    platform_parse_append(&offset, data, len, &e) == -1) {
			log_malformed_answer("append", &e);
			outcome = APPEND_UNKNOWN;
		}
		break;
	case PLATFORM_NOT_DONE:
	case PLATFORM_GAP:
		outcome = APPEND_NOT_DONE;
		break;
	case PLATFORM_OUTCOME_UNKNOWN:
		break;
	}
	op_result(o, outcome, offset);
}

static void
op_on_done(void *arg, enum http_outcome outcome, struct answer *a)
{
	struct pending_op *o = arg;

	o->call = NULL;
	if (outcome == HTTP_ANSWERED)
		op_handle_answer(o, a);
	else
		op_result(o,
		    outcome == HTTP_UNSENT ? APPEND_NOT_DONE : APPEND_UNKNOWN,
		    0);
}

/*
 * Sends a request and takes ownership of the contents of "c". "built" is false
 * if the request could not be built; the outcome is then "not done".
 */
static void
op_start(struct platform_client *pc, enum event_kind result, uint64_t id,
    struct platform_call *c, bool built)
{
	struct pending_op *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		abort(); /* the reducer waits for the outcome */
	o->client = pc;
	o->result_event = result;
	o->id = id;
	LIST_INSERT_HEAD(&pc->ops, o, entries);
	if (built)
		o->call = client_call(pc, c,
		    pc->shell->settings->platform_timeout_ms, op_on_done, o);
	platform_call_uninit(c);
	if (o->call == NULL)
		lws_sul_schedule(pc->shell->context, 0, &o->not_started_timer,
		    op_not_started, 1);
}

void
platform_client_append(struct platform_client *pc, const struct effect *x)
{
	struct platform_call c;
	bool built;

	built = platform_append_call(
		    &c, x->u.append.stream, x->u.append.record) == 0;
	op_start(pc, EVENT_APPEND_RESULT, x->u.append.token, &c, built);
}

void
platform_client_operate(struct platform_client *pc, const struct effect *x)
{
	const struct fold_tasks *tasks;
	const struct task *task = NULL;
	struct platform_call c;
	bool built;

	memset(&c, 0, sizeof(c));
	tasks = fold_task_state(core_fold(pc->shell->core));
	if (x->u.platform.op == PLATFORM_TASK_START && tasks != NULL)
		task = fold_tasks_get(tasks, x->u.platform.task);
	built = platform_operate_call(
		    &c, x, task != NULL ? &task->size : NULL) == 0;
	op_start(pc, EVENT_PLATFORM_RESULT, x->u.platform.key, &c, built);
}

struct platform_client *
platform_client_new(struct shell *sh, struct err *e)
{
	struct platform_client *pc;
	int i;

	pc = calloc(1, sizeof(*pc));
	if (pc == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the platform's client");
		return NULL;
	}
	pc->shell = sh;
	LIST_INIT(&pc->ops);
	for (i = 0; i < STREAM_COUNT; i++) {
		pc->readers[i].client = pc;
		pc->readers[i].stream = (enum stream)i;
		pc->readers[i].retry_delay_ms = RETRY_DELAY_MIN_MS;
	}
	reader_start(&pc->readers[STREAM_CONTROL]);
	reader_start(&pc->readers[STREAM_CLAIMS]);
	for (i = 0; i < POLL_COUNT; i++) {
		pc->polls[i].client = pc;
		pc->polls[i].kind = (enum poll_kind)i;
		poll_start(&pc->polls[i]);
	}
	return pc;
}

void
platform_client_free(struct platform_client *pc)
{
	struct pending_op *o;
	int i;

	if (pc == NULL)
		return;
	for (i = 0; i < STREAM_COUNT; i++) {
		lws_sul_cancel(&pc->readers[i].timer);
		if (pc->readers[i].call != NULL)
			http_call_cancel(pc->readers[i].call);
	}
	for (i = 0; i < POLL_COUNT; i++) {
		lws_sul_cancel(&pc->polls[i].timer);
		if (pc->polls[i].call != NULL)
			http_call_cancel(pc->polls[i].call);
	}
	while ((o = LIST_FIRST(&pc->ops)) != NULL) {
		if (o->call != NULL)
			http_call_cancel(o->call);
		op_free(o);
	}
	free(pc);
}

static void
outcome_metrics(
    struct buf *out, const char *name, const char *help, const uint64_t *counts)
{
	static const char *const labels[] = {
	    [APPEND_DONE] = "outcome=\"done\"",
	    [APPEND_NOT_DONE] = "outcome=\"not-done\"",
	    [APPEND_UNKNOWN] = "outcome=\"unknown\"",
	};
	int i;

	for (i = APPEND_DONE; i <= APPEND_UNKNOWN; i++)
		metric_counter(out, name, i == APPEND_DONE ? help : NULL,
		    labels[i], counts[i]);
}

void
platform_client_metrics(const struct platform_client *pc, struct buf *out)
{
	metric_counter(
	    out, "platform_reads_total", "Reads of the log", "", pc->reads);
	metric_counter(out, "platform_read_errors_total",
	    "Reads of the log that failed", "", pc->read_errors);
	metric_counter(out, "platform_gaps_total",
	    "Reads below the first retained offset", "", pc->gaps);
	metric_counter(out, "platform_bad_records_total",
	    "Log records that could not be decoded", "", pc->malformed_records);
	metric_counter(out, "platform_bad_entries_total",
	    "Entries of lists that were passed over", "",
	    pc->malformed_entries);
	outcome_metrics(
	    out, "platform_appends_total", "Appends by outcome", pc->appends);
	outcome_metrics(out, "platform_operations_total",
	    "Operations on VMs and tasks by outcome", pc->operations);
	metric_counter(out, "platform_bytes_received_total",
	    "Bytes of the platform's answers", "", pc->answer_bytes);
	metric_counter(out, "platform_bytes_sent_total",
	    "Bytes of paths and bodies sent to the platform", "",
	    pc->request_bytes);
	metric_gauge(out, "platform_down",
	    "1 while the last call of the platform failed", "", pc->down);
}
