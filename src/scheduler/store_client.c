#include "store_client.h"

#include <stdlib.h>
#include <string.h>

#include "append_op.h"

#define STORE_ANSWER_MAX (4 * 1024 * 1024) /* bytes: a page and its base64 */
#define APPEND_GATHER_US (2 * US_PER_MS) /* half of one append's own time */
#define APPEND_RETRY_MS 100
#define APPEND_MAX_BYTES (1024 * 1024) /* of records, in one append */

struct store_op {
	struct scheduler *scheduler;
	struct http_call *call;
	store_end *end;
	void *arg;
};

static void
note_answer(struct scheduler *s, bool heard)
{
	if (heard) {
		s->store_heard_us = sched_now_us();
		if (s->store_lost)
			daemon_log(LOG_LEVEL_INFO, "store",
			    "msg=\"store answers again\"");
		s->store_lost = false;
		return;
	}
	s->counts.store_failed++;
	if (!s->store_lost)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"store does not answer\" heard_ms_ago=%lld",
		    (long long)((sched_now_us() - s->store_heard_us) /
			US_PER_MS));
	s->store_lost = true;
}

/* The store turns a daemon away with 429 or 503 as long as it likes. */
static bool
served(int status)
{
	return status < 500 && status != 429;
}

static void
op_ended(void *arg, enum http_end end, struct answer *answer)
{
	struct store_op *op = arg;
	bool whole = end == HTTP_WHOLE;
	const struct buf *body = whole ? answer->body : NULL;

	note_answer(op->scheduler, whole && served(answer->status));
	op->end(op->arg, whole ? answer->status : 0, end != HTTP_UNSENT,
	    body != NULL ? body->data : NULL, body != NULL ? body->len : 0);
	free(op);
}

struct store_op *
store_send(struct scheduler *s, struct store_call *c, int timeout_ms,
    store_end *end, void *arg)
{
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->conns,
	    .repeatable = true,
	    .addr = s->boot.store.addr,
	    .port = s->boot.store.port,
	    .method = c->method,
	    .path = c->path,
	    .body = c->body,
	    .timeout_ms = timeout_ms,
	    .max_bytes = STORE_ANSWER_MAX,
	    .on_end = op_ended,
	};
	struct store_op *op;

	op = calloc(1, sizeof(*op));
	if (op != NULL) {
		op->scheduler = s;
		op->end = end;
		op->arg = arg;
		o.arg = op;
		s->counts.store_calls++;
		op->call = http_call_start(&o, NULL);
	}
	if (op != NULL && op->call == NULL) {
		free(op);
		op = NULL;
	}
	store_call_uninit(c);
	return op;
}

void
store_op_cancel(struct store_op *op)
{
	if (op == NULL)
		return;
	http_call_cancel(op->call);
	free(op);
}

struct store_writer {
	struct store_writer_opts opts;
	struct buf *gathered; /* records not sent yet; NULL none */
	uint64_t gathered_serial;
	struct buf *sent; /* records of the append under way */
	uint64_t sent_serial;
	int64_t seq;
	struct append_op *op;
	lws_sorted_usec_list_t due;
	bool due_set;
	bool fenced;
	int64_t waits_since_us; /* 0: nothing waits */
};

static void writer_due(lws_sorted_usec_list_t *sul);

static void
writer_schedule(struct store_writer *w, int64_t us)
{
	if (w->due_set || w->fenced)
		return;
	w->due_set = true;
	lws_sul_schedule(
	    w->opts.scheduler->context, 0, &w->due, writer_due, us);
}

static void
append_done(struct store_writer *w)
{
	uint64_t serial = w->sent_serial;

	buf_unref(w->sent);
	w->sent = NULL;
	w->seq++;
	w->waits_since_us = w->gathered != NULL ? sched_now_us() : 0;
	if (w->gathered != NULL)
		writer_schedule(w, 1);
	w->opts.on_written(w->opts.arg, serial);
}

static void
append_ended(
    void *arg, enum store_outcome outcome, const void *body, size_t len)
{
	struct store_writer *w = arg;

	w->op = NULL;
	switch (outcome) {
	case STORE_DONE:
		append_done(w);
		return;
	case STORE_FENCED:
	case STORE_MOVED:
		w->fenced = true;
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"append refused: a later owner writes\" topic=%s "
		    "epoch=%lld seq=%lld answer=%.*s",
		    w->opts.topic, (long long)w->opts.epoch, (long long)w->seq,
		    (int)(len < 100 ? len : 100),
		    body != NULL ? (const char *)body : "");
		w->opts.on_fenced(w->opts.arg);
		return;
	case STORE_FULL:
		daemon_log(LOG_LEVEL_ERROR, "store",
		    "msg=\"store is full\" topic=%s "
		    "remedy=\"trim topics or give the store room\"",
		    w->opts.topic);
		break;
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		break;
	}
	/* the same number again: a repeat is taken once */
	writer_schedule(w, APPEND_RETRY_MS * US_PER_MS);
}

static void
writer_send(struct store_writer *w)
{
	struct append_opts o = {
	    .topic = w->opts.topic,
	    .at = -1,
	    .epoch = w->opts.epoch,
	    .seq = w->seq,
	};

	if (w->sent == NULL) {
		w->sent = w->gathered;
		w->sent_serial = w->gathered_serial;
		w->gathered = NULL;
	}
	o.records = w->sent;
	w->op = append_op_start(w->opts.scheduler, &o, append_ended, w);
	if (w->op == NULL)
		writer_schedule(w, APPEND_RETRY_MS * US_PER_MS);
}

static void
writer_due(lws_sorted_usec_list_t *sul)
{
	struct store_writer *w =
	    lws_container_of(sul, struct store_writer, due);

	w->due_set = false;
	if (w->op == NULL && !w->fenced &&
	    (w->sent != NULL || w->gathered != NULL))
		writer_send(w);
}

struct store_writer *
store_writer_new(const struct store_writer_opts *opts)
{
	struct store_writer *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->opts = *opts;
	w->seq = opts->seq;
	return w;
}

void
store_writer_free(struct store_writer *w)
{
	if (w == NULL)
		return;
	lws_sul_cancel(&w->due);
	append_op_cancel(w->op);
	buf_unref(w->gathered);
	buf_unref(w->sent);
	free(w);
}

void
store_writer_put(struct store_writer *w, const char *key,
    const struct buf *value, uint64_t serial)
{
	if (w->gathered == NULL)
		w->gathered = buf_new(1024);
	if (w->gathered == NULL ||
	    store_record_add(w->gathered, key,
		value != NULL ? value->data : NULL,
		value != NULL ? value->len : 0) == -1)
		abort(); /* a write must not be skipped */
	w->gathered_serial = serial;
	if (w->waits_since_us == 0)
		w->waits_since_us = sched_now_us();
	if (w->op == NULL && w->sent == NULL)
		writer_schedule(w, APPEND_GATHER_US);
	if (w->gathered->len > APPEND_MAX_BYTES)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"writes pile up\" topic=%s bytes=%zu", w->opts.topic,
		    w->gathered->len);
}

bool
store_writer_idle(const struct store_writer *w)
{
	return w->gathered == NULL && w->sent == NULL;
}

int64_t
store_writer_stuck_ms(const struct store_writer *w)
{
	if (w->waits_since_us == 0)
		return 0;
	return (sched_now_us() - w->waits_since_us) / US_PER_MS;
}
