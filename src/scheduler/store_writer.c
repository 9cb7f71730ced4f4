#include "store_writer.h"

#include <stdlib.h>

#include "append_op.h"
#include "append_window.h"

#define BACKLOG_WARN_BYTES (1024 * 1024) /* a larger backlog is logged */

/* An append in flight, at index seq % APPENDS_IN_FLIGHT_MAX. */
struct writer_append {
	struct store_writer *writer;
	struct append_op *op; /* NULL if none */
	int64_t seq;
};

struct store_writer {
	struct store_writer_opts opts;
	struct append_window window;
	struct writer_append appends[APPENDS_IN_FLIGHT_MAX];
	bool backlog_logged; /* until the backlog is below the limit again */
	lws_sorted_usec_list_t send_timer;
};

static void send_due_appends(struct store_writer *w);

/* Cancels appends known to be stored, although their answers are missing. */
static void
cancel_appends_up_to(struct store_writer *w, int64_t seq)
{
	int i;

	for (i = 0; i < APPENDS_IN_FLIGHT_MAX; i++) {
		if (w->appends[i].op == NULL || w->appends[i].seq > seq)
			continue;
		append_op_cancel(w->appends[i].op);
		w->appends[i].op = NULL;
	}
}

static void
log_rejected(const struct store_writer *w, const char *why, int64_t seq,
    const void *body, size_t len)
{
	daemon_log(LOG_LEVEL_WARN, "store",
	    "msg=\"append refused, writer stops: %s\" topic=%s epoch=%lld "
	    "seq=%lld answer=%.*s",
	    why, w->opts.topic, (long long)w->opts.epoch, (long long)seq,
	    (int)(len < 100 ? len : 100),
	    body != NULL ? (const char *)body : "");
}

static void
on_append_done(
    void *arg, enum store_outcome outcome, const void *body, size_t len)
{
	struct writer_append *a = arg;
	struct store_writer *w = a->writer;
	uint64_t serial = 0;

	a->op = NULL;
	if (outcome == STORE_FULL)
		daemon_log(LOG_LEVEL_ERROR, "store",
		    "msg=\"store is full: append is retried\" topic=%s "
		    "remedy=\"trim topics or add storage\"",
		    w->opts.topic);
	switch (append_window_complete(
	    &w->window, sched_monotonic_us(), a->seq, outcome, &serial)) {
	case WINDOW_PENDING:
		send_due_appends(w);
		return;
	case WINDOW_STORED:
		cancel_appends_up_to(w, a->seq);
		send_due_appends(w);
		w->opts.on_stored(w->opts.arg, serial);
		return;
	case WINDOW_FENCED:
		log_rejected(
		    w, "a later owner writes the topic", a->seq, body, len);
		w->opts.on_fenced(w->opts.arg, "later-owner-at-store");
		return;
	case WINDOW_UNREADABLE:
		w->opts.scheduler->counters.appends_unreadable++;
		log_rejected(
		    w, "the store cannot read its bytes", a->seq, body, len);
		w->opts.on_fenced(w->opts.arg, "append-unreadable");
		return;
	}
}

static void
on_send_due(lws_sorted_usec_list_t *sul)
{
	send_due_appends(
	    lws_container_of(sul, struct store_writer, send_timer));
}

/* Sends the appends that are due and schedules the next call. */
static void
send_due_appends(struct store_writer *w)
{
	const struct window_append *next;
	struct store_append_opts o = {
	    .topic = w->opts.topic, .expected_end = -1, .epoch = w->opts.epoch};
	int64_t now_us = sched_monotonic_us(), wait_us;
	struct writer_append *a;
	uint64_t serial;

	while (
	    (next = append_window_next(&w->window, now_us, &wait_us)) != NULL) {
		a = &w->appends[next->seq % APPENDS_IN_FLIGHT_MAX];
		a->writer = w;
		a->seq = o.seq = next->seq;
		o.records = next->records;
		a->op =
		    append_op_start(w->opts.scheduler, &o, on_append_done, a);
		if (a->op != NULL)
			append_op_set_window(a->op, &w->window);
		else
			append_window_complete(&w->window, now_us, a->seq,
			    STORE_NOT_DONE, &serial);
	}
	lws_sul_cancel(&w->send_timer);
	if (wait_us >= 0)
		lws_sul_schedule(w->opts.scheduler->context, 0, &w->send_timer,
		    on_send_due, wait_us > 0 ? wait_us : 1);
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
	window.first_seq = opts->first_seq;
	window.epoch_established = opts->epoch_established;
	window.record_max_bytes =
	    (size_t)opts->scheduler->settings.store_record_max_bytes;
	window.request_max_bytes =
	    (size_t)opts->scheduler->settings.store_append_max_bytes;
	append_window_init(&w->window, &window);
	return w;
}

void
store_writer_free(struct store_writer *w)
{
	if (w == NULL)
		return;
	lws_sul_cancel(&w->send_timer);
	cancel_appends_up_to(w, INT64_MAX);
	append_window_uninit(&w->window);
	free(w);
}

/* Logs a backlog once, and again only after it has shrunk below the limit. */
static void
log_backlog(struct store_writer *w)
{
	bool over_limit = w->window.pending_bytes > BACKLOG_WARN_BYTES;

	if (over_limit && !w->backlog_logged)
		daemon_log(LOG_LEVEL_WARN, "store",
		    "msg=\"backlog of unsent writes exceeds 1 MiB\" "
		    "topic=%s bytes=%zu waits_ms=%lld",
		    w->opts.topic, w->window.pending_bytes,
		    (long long)store_writer_stalled_ms(w));
	w->backlog_logged = over_limit;
}

void
store_writer_put(
    struct store_writer *w, const char *key, struct buf *value, uint64_t serial)
{
	switch (append_window_put(
	    &w->window, sched_monotonic_us(), key, value, serial)) {
	case WINDOW_PUT_QUEUED:
		break;
	case WINDOW_PUT_TOO_LARGE:
		w->opts.scheduler->counters.records_too_large++;
		daemon_log(LOG_LEVEL_ERROR, "store",
		    "msg=\"record over the store's size limit: dropped\" "
		    "topic=%s key=%s bytes=%zu most=%zu remedy=\"report this "
		    "bug\"",
		    w->opts.topic, key, value != NULL ? value->len : 0,
		    w->window.opts.record_max_bytes);
		return;
	case WINDOW_PUT_NO_MEMORY:
		abort(); /* writes must not be lost */
	}
	log_backlog(w);
	send_due_appends(w);
}

bool
store_writer_idle(const struct store_writer *w)
{
	return append_window_idle(&w->window);
}

int64_t
store_writer_stalled_ms(const struct store_writer *w)
{
	if (w->window.last_progress_us == 0)
		return 0;
	return (sched_monotonic_us() - w->window.last_progress_us) / US_PER_MS;
}

bool
store_writer_overdue(const struct store_writer *w, int64_t left_ms)
{
	return append_window_overdue(
	    &w->window, sched_monotonic_us(), left_ms * US_PER_MS);
}

int
store_writer_depth(const struct store_writer *w)
{
	return append_pace_depth(&w->window.pace);
}
