#include "append_window.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"

/* About half of an append's service time. */
#define BATCH_DELAY_US (2 * US_PER_MS)
/* Service time of an append: keeps appends from overtaking each other. */
#define APPEND_INTERVAL_US (5 * US_PER_MS)
/* After an append that was not stored. */
#define RETRY_DELAY_US (100 * US_PER_MS)
/*
 * Maximum size of an append with more than one record: takes 26 ms on a link of
 * 20 Mbit/s, so that a retransmission after 50 ms is not queued behind the
 * first attempt.
 */
#define APPEND_MAX_BYTES (64 * 1024)
/* As many bytes as the usual appends in flight; retransmitted later. */
#define APPEND_SLOW_MAX_BYTES (APPENDS_IN_FLIGHT_MAX * APPEND_MAX_BYTES)
#define RECORD_HEADER_BYTES 4 /* length prefix of a record */
/* Without progress for this long, the store is taken to be out of reach. */
#define STALL_LIMIT_US (400 * US_PER_MS)

/* Size of a record as framed by store_record_add(). */
static size_t
framed_bytes(const char *key, const struct buf *value)
{
	return RECORD_HEADER_BYTES + 1 + strlen(key) +
	    (value != NULL ? value->len : 0);
}

void
append_window_init(
    struct append_window *w, const struct append_window_opts *opts)
{
	memset(w, 0, sizeof(*w));
	w->opts = *opts;
	w->next_seq = opts->first_seq;
	w->epoch_established = opts->epoch_established;
	STAILQ_INIT(&w->pending);
}

/* The record must have been removed from "pending" before. */
static void
record_free(struct append_window *w, struct pending_record *r)
{
	HASH_DEL(w->pending_by_key, r); /* NOLINT: the table holds r */
	w->pending_bytes -= framed_bytes(r->key, r->value);
	buf_unref(r->value);
	free(r);
}

void
append_window_uninit(struct append_window *w)
{
	struct pending_record *r;
	int i;

	for (i = 0; i < w->append_count; i++)
		buf_unref(w->appends[i].records);
	while ((r = STAILQ_FIRST(&w->pending)) != NULL) {
		STAILQ_REMOVE_HEAD(&w->pending, entries);
		record_free(w, r);
	}
	memset(w, 0, sizeof(*w));
}

static struct pending_record *
find_or_add_record(struct append_window *w, const char *key, uint64_t serial)
{
	struct pending_record *r;

	HASH_FIND_STR(w->pending_by_key, key, r);
	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	snprintf(r->key, sizeof(r->key), "%s", key);
	r->first_serial = serial;
	HASH_ADD_STR(w->pending_by_key, key, r);
	STAILQ_INSERT_TAIL(&w->pending, r, entries);
	w->pending_bytes += framed_bytes(key, NULL);
	return r;
}

enum window_put_result
append_window_put(struct append_window *w, int64_t now_us, const char *key,
    struct buf *value, uint64_t serial)
{
	size_t bytes = framed_bytes(key, value);
	struct pending_record *r;

	if (bytes - RECORD_HEADER_BYTES > w->opts.record_max_bytes ||
	    bytes > w->opts.request_max_bytes)
		return WINDOW_PUT_TOO_LARGE;
	if (STAILQ_EMPTY(&w->pending))
		w->pending_since_us = now_us;
	r = find_or_add_record(w, key, serial);
	if (r == NULL)
		return WINDOW_PUT_NO_MEMORY;
	w->pending_bytes += bytes - framed_bytes(key, r->value);
	buf_unref(r->value);
	r->value = value != NULL ? buf_ref(value) : NULL;
	w->last_serial = serial;
	if (w->last_progress_us == 0)
		w->last_progress_us = now_us;
	return WINDOW_PUT_QUEUED;
}

/* When the next append may be created; -1: not before an answer or a write. */
static int64_t
pending_due_us(const struct append_window *w)
{
	int64_t due_us = w->pending_since_us + BATCH_DELAY_US;
	int i;

	/* would arrive before an append that is being resent */
	for (i = 0; i < w->append_count; i++) {
		if (w->appends[i].early_count > 0)
			return -1;
	}
	if (STAILQ_EMPTY(&w->pending) ||
	    w->append_count >=
		(w->epoch_established ? append_pace_depth(&w->pace) : 1))
		return -1;
	if (w->append_count > 0 &&
	    due_us < w->last_append_us + APPEND_INTERVAL_US)
		due_us = w->last_append_us + APPEND_INTERVAL_US;
	return due_us;
}

/* Largest append of more than one record. */
static size_t
append_max_bytes(const struct append_window *w)
{
	size_t max = w->pace.slow ? APPEND_SLOW_MAX_BYTES : APPEND_MAX_BYTES;

	return max < w->opts.request_max_bytes ? max
					       : w->opts.request_max_bytes;
}

/*
 * Frames the oldest pending records up to the size limit.  NULL if out of
 * memory.
 */
static struct buf *
frame_pending_records(struct append_window *w)
{
	size_t max_bytes = append_max_bytes(w);
	struct pending_record *r;
	struct buf *b = buf_new(1024);

	while (b != NULL && (r = STAILQ_FIRST(&w->pending)) != NULL) {
		if (b->len > 0 &&
		    b->len + framed_bytes(r->key, r->value) > max_bytes)
			break;
		if (store_record_add(b, r->key,
			r->value != NULL ? r->value->data : NULL,
			r->value != NULL ? r->value->len : 0) == -1)
			abort(); /* writes must not be lost */
		STAILQ_REMOVE_HEAD(&w->pending, entries);
		record_free(w, r);
	}
	return b;
}

/* NULL if out of memory. */
static struct window_append *
new_append(struct append_window *w, int64_t now_us)
{
	struct window_append *a = &w->appends[w->append_count];
	const struct pending_record *next;

	memset(a, 0, sizeof(*a));
	a->records = frame_pending_records(w);
	if (a->records == NULL)
		return NULL;
	/* every write before the oldest pending one is in an append */
	next = STAILQ_FIRST(&w->pending);
	a->last_serial = next == NULL ? w->last_serial : next->first_serial - 1;
	a->seq = w->next_seq++;
	w->append_count++;
	w->last_append_us = now_us;
	return a;
}

const struct window_append *
append_window_next(struct append_window *w, int64_t now_us, int64_t *wait_us)
{
	struct window_append *a;
	int64_t due_us;
	int i = 0;

	*wait_us = -1;
	if (w->fenced)
		return NULL;
	while (i < w->append_count && w->appends[i].in_flight)
		i++;
	/* in sequence order: the store rejects gaps in the numbers */
	due_us = i < w->append_count ? w->appends[i].not_before_us
				     : pending_due_us(w);
	if (due_us == -1)
		return NULL;
	if (due_us > now_us) {
		*wait_us = due_us - now_us;
		return NULL;
	}
	a = i < w->append_count ? &w->appends[i] : new_append(w, now_us);
	if (a == NULL) {
		*wait_us = RETRY_DELAY_US;
		return NULL;
	}
	a->in_flight = true;
	a->pipelined = i > 0;
	return a;
}

/* The first "n" appends are stored: the store accepts them in order only. */
static void
remove_stored(struct append_window *w, int n, int64_t now_us)
{
	int i;

	for (i = 0; i < n; i++)
		buf_unref(w->appends[i].records);
	w->append_count -= n;
	memmove(w->appends, w->appends + n,
	    sizeof(w->appends[0]) * (size_t)w->append_count);
	w->epoch_established = true;
	w->last_progress_us = append_window_idle(w) ? 0 : now_us;
}

enum append_window_result
append_window_complete(struct append_window *w, int64_t now_us, int64_t seq,
    enum store_outcome outcome, uint64_t *serial)
{
	struct window_append *a;
	int i = 0;

	while (i < w->append_count && w->appends[i].seq != seq)
		i++;
	if (i == w->append_count || w->fenced)
		return WINDOW_PENDING;
	a = &w->appends[i];
	a->in_flight = false;
	a->not_before_us = now_us + RETRY_DELAY_US;
	switch (outcome) {
	case STORE_DONE:
		*serial = a->last_serial;
		if (i > 0 && w->appends[0].in_flight)
			append_pace_add_overtaken(&w->pace, now_us);
		remove_stored(w, i + 1, now_us);
		return WINDOW_STORED;
	case STORE_OUT_OF_SEQUENCE:
		/* it overtook an append that has arrived by now or got lost */
		if (a->pipelined) {
			a->not_before_us =
			    now_us + a->early_count++ * APPEND_INTERVAL_US;
			return WINDOW_PENDING;
		}
		/* FALLTHROUGH */
	case STORE_FENCED:
	case STORE_END_MISMATCH:
		w->fenced = true;
		return WINDOW_FENCED;
	case STORE_MALFORMED:
		w->fenced = true;
		return WINDOW_UNREADABLE;
	case STORE_FULL:
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		return WINDOW_PENDING;
	}
	return WINDOW_PENDING;
}

bool
append_window_is_oldest(const struct append_window *w, int64_t seq)
{
	return w->append_count == 0 || seq <= w->appends[0].seq;
}

/* Time until a write that is made now is stored. */
static int64_t
expected_wait_us(const struct append_window *w, int64_t stalled_us)
{
	int64_t left_us = w->append_count * w->pace.append_us - stalled_us;
	int64_t appends = 1 + (int64_t)(w->pending_bytes / append_max_bytes(w));

	if (left_us < 0)
		left_us = 0;
	return left_us + w->pace.base_us + appends * w->pace.append_us;
}

bool
append_window_overdue(
    const struct append_window *w, int64_t now_us, int64_t left_us)
{
	int64_t stalled_us =
	    w->last_progress_us != 0 ? now_us - w->last_progress_us : 0;
	int64_t limit_us = STALL_LIMIT_US;

	if (left_us <= 0 || !w->pace.slow)
		return stalled_us >= limit_us;
	if (limit_us < append_pace_timeout_us(&w->pace))
		limit_us = append_pace_timeout_us(&w->pace);
	return stalled_us >= limit_us ||
	    expected_wait_us(w, stalled_us) > left_us;
}

bool
append_window_idle(const struct append_window *w)
{
	return w->append_count == 0 && STAILQ_EMPTY(&w->pending);
}
