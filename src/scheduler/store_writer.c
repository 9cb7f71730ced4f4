#include "store_writer.h"

#include <stdlib.h>

#include "append_op.h"
#include "append_window.h"

#define PILE_BYTES (1024 * 1024) /* of records that wait: worth a log line */

/* One append under way; its place is its number modulo APPENDS_MAX. */
struct writer_op {
	struct store_writer *writer;
	struct append_op *append; /* NULL: none */
	int64_t seq;
};

struct store_writer {
	struct store_writer_opts opts;
	struct append_window window;
	struct writer_op ops[APPENDS_MAX];
	bool piled; /* more waits than is usual, as logged */
	lws_sorted_usec_list_t due;
};

static void writer_send(struct store_writer *w);

/* Appends up to "seq" are stored, whether their own answers come or not. */
static void
cancel_up_to(struct store_writer *w, int64_t seq)
{
	int i;

	for (i = 0; i < APPENDS_MAX; i++) {
		if (w->ops[i].append == NULL || w->ops[i].seq > seq)
			continue;
		append_op_cancel(w->ops[i].append);
		w->ops[i].append = NULL;
	}
}

static void
log_refusal(const struct store_writer *w, const char *why, int64_t seq,
    const void *body, size_t len)
{
	daemon_log(LOG_LEVEL_WARN, "store",
	    "msg=\"append refused: %s\" topic=%s epoch=%lld "
	    "seq=%lld answer=%.*s",
	    why, w->opts.topic, (long long)w->opts.epoch, (long long)seq,
	    (int)(len < 100 ? len : 100),
	    body != NULL ? (const char *)body : "");
}

static void
append_ended(
    void *arg, enum store_outcome outcome, const void *body, size_t len)
{
	struct writer_op *op = arg;
	struct store_writer *w = op->writer;
	uint64_t serial = 0;

	op->append = NULL;
	if (outcome == STORE_FULL)
		daemon_log(LOG_LEVEL_ERROR, "store",
		    "msg=\"store is full\" topic=%s "
		    "remedy=\"trim topics or give the store room\"",
		    w->opts.topic);
	switch (append_window_ended(
	    &w->window, sched_now_us(), op->seq, outcome, &serial)) {
	case WINDOW_WAITS:
		writer_send(w);
		return;
	case WINDOW_WRITTEN:
		cancel_up_to(w, op->seq);
		writer_send(w);
		w->opts.on_written(w->opts.arg, serial);
		return;
	case WINDOW_FENCED:
		log_refusal(w, "a later owner writes", op->seq, body, len);
		w->opts.on_fenced(w->opts.arg, "later-owner-at-store");
		return;
	case WINDOW_UNREADABLE:
		w->opts.scheduler->counts.appends_unreadable++;
		log_refusal(w, "the store cannot read it", op->seq, body, len);
		w->opts.on_fenced(w->opts.arg, "append-unreadable");
		return;
	}
}

static void
writer_due(lws_sorted_usec_list_t *sul)
{
	writer_send(lws_container_of(sul, struct store_writer, due));
}

/* Sends what is due, and comes back when more is. */
static void
writer_send(struct store_writer *w)
{
	const struct append_slot *slot;
	struct store_append_opts o = {
	    .topic = w->opts.topic, .expected_end = -1, .epoch = w->opts.epoch};
	int64_t now_us = sched_now_us(), wait_us;
	struct writer_op *op;
	uint64_t serial;

	while (
	    (slot = append_window_next(&w->window, now_us, &wait_us)) != NULL) {
		op = &w->ops[slot->seq % APPENDS_MAX];
		op->writer = w;
		op->seq = o.seq = slot->seq;
		o.records = slot->records;
		op->append =
		    append_op_start(w->opts.scheduler, &o, append_ended, op);
		if (op->append == NULL)
			append_window_ended(&w->window, now_us, op->seq,
			    STORE_NOT_DONE, &serial);
	}
	lws_sul_cancel(&w->due);
	if (wait_us >= 0)
		lws_sul_schedule(w->opts.scheduler->context, 0, &w->due,
		    writer_due, wait_us > 0 ? wait_us : 1);
}

struct store_writer *
store_writer_new(const struct store_writer_opts *opts)
{
	struct append_window_opts window;
	struct store_writer *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->opts = *opts;
	window.seq = opts->seq;
	window.established = opts->epoch_known;
	window.record_bytes =
	    (size_t)opts->scheduler->settings.store_record_max_bytes;
	window.request_bytes =
	    (size_t)opts->scheduler->settings.store_append_max_bytes;
	append_window_init(&w->window, &window);
	return w;
}

void
store_writer_free(struct store_writer *w)
{
	if (w == NULL)
		return;
	lws_sul_cancel(&w->due);
	cancel_up_to(w, INT64_MAX);
	append_window_uninit(&w->window);
	free(w);
}

/* Once for each pile: it is told again when it has been written. */
static void
note_pile(struct store_writer *w)
{
	bool piled = w->window.gathered_bytes > PILE_BYTES;

	if (piled && !w->piled)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"writes pile up\" topic=%s bytes=%zu "
		    "waits_ms=%lld",
		    w->opts.topic, w->window.gathered_bytes,
		    (long long)store_writer_stuck_ms(w));
	w->piled = piled;
}

void
store_writer_put(
    struct store_writer *w, const char *key, struct buf *value, uint64_t serial)
{
	switch (
	    append_window_put(&w->window, sched_now_us(), key, value, serial)) {
	case PUT_GATHERED:
		break;
	case PUT_TOO_LARGE:
		w->opts.scheduler->counts.records_too_large++;
		daemon_log(LOG_LEVEL_ERROR, "store",
		    "msg=\"record is too large: left out\" topic=%s key=%s "
		    "bytes=%zu most=%zu remedy=\"report it\"",
		    w->opts.topic, key, value != NULL ? value->len : 0,
		    w->window.opts.record_bytes);
		return;
	case PUT_NO_MEMORY:
		abort(); /* a write must not be skipped */
	}
	note_pile(w);
	writer_send(w);
}

bool
store_writer_idle(const struct store_writer *w)
{
	return append_window_idle(&w->window);
}

int64_t
store_writer_stuck_ms(const struct store_writer *w)
{
	if (w->window.waits_since_us == 0)
		return 0;
	return (sched_now_us() - w->window.waits_since_us) / US_PER_MS;
}
