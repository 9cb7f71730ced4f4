#include "append_window.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"

#define GATHER_US (2 * US_PER_MS) /* half of one append's own time */
/* Between two appends: one's own time, so that they do not overtake. */
#define SPACING_US (5 * US_PER_MS)
#define RETRY_US (100 * US_PER_MS) /* after an append that was not taken */
/*
 * Of one append, where its records are smaller: 26 ms on a link of 20 Mbit/s,
 * so that a repeat after 50 ms is not behind the first try.
 */
#define APPEND_BYTES (64 * 1024)
#define RECORD_HEAD_BYTES 4 /* of a record's length */

/* As framed by store_record_add(). */
static size_t
record_bytes(const char *key, const struct buf *value)
{
	return RECORD_HEAD_BYTES + 1 + strlen(key) +
	    (value != NULL ? value->len : 0);
}

void
append_window_init(
    struct append_window *w, const struct append_window_opts *opts)
{
	memset(w, 0, sizeof(*w));
	w->opts = *opts;
	w->next_seq = opts->seq;
	w->established = opts->established;
	STAILQ_INIT(&w->gathered);
}

/* Of a record that was taken out of "gathered". */
static void
record_free(struct append_window *w, struct append_record *r)
{
	HASH_DEL(w->by_key, r); /* NOLINT: it is in the table */
	w->gathered_bytes -= record_bytes(r->key, r->value);
	buf_unref(r->value);
	free(r);
}

void
append_window_uninit(struct append_window *w)
{
	struct append_record *r;
	int i;

	for (i = 0; i < w->count; i++)
		buf_unref(w->slots[i].records);
	while ((r = STAILQ_FIRST(&w->gathered)) != NULL) {
		STAILQ_REMOVE_HEAD(&w->gathered, entries);
		record_free(w, r);
	}
	memset(w, 0, sizeof(*w));
}

static struct append_record *
record_of(struct append_window *w, const char *key, uint64_t serial)
{
	struct append_record *r;

	HASH_FIND_STR(w->by_key, key, r);
	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	snprintf(r->key, sizeof(r->key), "%s", key);
	r->first_serial = serial;
	HASH_ADD_STR(w->by_key, key, r);
	STAILQ_INSERT_TAIL(&w->gathered, r, entries);
	w->gathered_bytes += record_bytes(key, NULL);
	return r;
}

enum window_put
append_window_put(struct append_window *w, int64_t now_us, const char *key,
    struct buf *value, uint64_t serial)
{
	size_t bytes = record_bytes(key, value);
	struct append_record *r;

	if (bytes - RECORD_HEAD_BYTES > w->opts.record_bytes ||
	    bytes > w->opts.request_bytes)
		return PUT_TOO_LARGE;
	if (STAILQ_EMPTY(&w->gathered))
		w->gathered_us = now_us;
	r = record_of(w, key, serial);
	if (r == NULL)
		return PUT_NO_MEMORY;
	w->gathered_bytes += bytes - record_bytes(key, r->value);
	buf_unref(r->value);
	r->value = value != NULL ? buf_ref(value) : NULL;
	w->newest_serial = serial;
	if (w->waits_since_us == 0)
		w->waits_since_us = now_us;
	return PUT_GATHERED;
}

/* When what has gathered may get a number; -1: not before an answer. */
static int64_t
gathered_due(const struct append_window *w)
{
	int64_t due_us = w->gathered_us + GATHER_US;
	int i;

	/* behind one that is sent again, each would come too early */
	for (i = 0; i < w->count; i++) {
		if (w->slots[i].overtook > 0)
			return -1;
	}
	if (STAILQ_EMPTY(&w->gathered) ||
	    w->count == (w->established ? APPENDS_MAX : 1))
		return -1;
	if (w->count > 0 && due_us < w->newest_us + SPACING_US)
		due_us = w->newest_us + SPACING_US;
	return due_us;
}

/* The oldest records, cut between two of them; NULL when memory is short. */
static struct buf *
take_records(struct append_window *w)
{
	size_t most = APPEND_BYTES < w->opts.request_bytes
	    ? APPEND_BYTES
	    : w->opts.request_bytes;
	struct append_record *r;
	struct buf *b = buf_new(1024);

	while (b != NULL && (r = STAILQ_FIRST(&w->gathered)) != NULL) {
		if (b->len > 0 &&
		    b->len + record_bytes(r->key, r->value) > most)
			break;
		if (store_record_add(b, r->key,
			r->value != NULL ? r->value->data : NULL,
			r->value != NULL ? r->value->len : 0) == -1)
			abort(); /* a write must not be skipped */
		STAILQ_REMOVE_HEAD(&w->gathered, entries);
		record_free(w, r);
	}
	return b;
}

/* NULL when memory is short. */
static struct append_slot *
slot_new(struct append_window *w, int64_t now_us)
{
	struct append_slot *s = &w->slots[w->count];
	const struct append_record *next;

	memset(s, 0, sizeof(*s));
	s->records = take_records(w);
	if (s->records == NULL)
		return NULL;
	/* all writes before the oldest one that still waits */
	next = STAILQ_FIRST(&w->gathered);
	s->serial = next == NULL ? w->newest_serial : next->first_serial - 1;
	s->seq = w->next_seq++;
	w->count++;
	w->newest_us = now_us;
	return s;
}

const struct append_slot *
append_window_next(struct append_window *w, int64_t now_us, int64_t *wait_us)
{
	struct append_slot *s;
	int64_t due_us;
	int i = 0;

	*wait_us = -1;
	if (w->fenced)
		return NULL;
	while (i < w->count && w->slots[i].under_way)
		i++;
	/* in the order of their numbers: others would come too early */
	due_us = i < w->count ? w->slots[i].retry_us : gathered_due(w);
	if (due_us == -1)
		return NULL;
	if (due_us > now_us) {
		*wait_us = due_us - now_us;
		return NULL;
	}
	s = i < w->count ? &w->slots[i] : slot_new(w, now_us);
	if (s == NULL) {
		*wait_us = RETRY_US;
		return NULL;
	}
	s->under_way = true;
	s->behind = i > 0;
	return s;
}

/* The first "n" are stored: numbers follow each other. */
static void
slots_written(struct append_window *w, int n, int64_t now_us)
{
	int i;

	for (i = 0; i < n; i++)
		buf_unref(w->slots[i].records);
	w->count -= n;
	memmove(w->slots, w->slots + n, sizeof(w->slots[0]) * (size_t)w->count);
	w->established = true;
	w->waits_since_us = append_window_idle(w) ? 0 : now_us;
}

enum window_result
append_window_ended(struct append_window *w, int64_t now_us, int64_t seq,
    enum store_outcome outcome, uint64_t *serial)
{
	struct append_slot *s;
	int i = 0;

	while (i < w->count && w->slots[i].seq != seq)
		i++;
	if (i == w->count || w->fenced)
		return WINDOW_WAITS;
	s = &w->slots[i];
	s->under_way = false;
	s->retry_us = now_us + RETRY_US;
	switch (outcome) {
	case STORE_DONE:
		*serial = s->serial;
		slots_written(w, i + 1, now_us);
		return WINDOW_WRITTEN;
	case STORE_OUT_OF_SEQUENCE:
		/* it overtook one that is at the store by now, or is lost */
		if (s->behind) {
			s->retry_us = now_us + s->overtook++ * SPACING_US;
			return WINDOW_WAITS;
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
		return WINDOW_WAITS;
	}
	return WINDOW_WAITS;
}

bool
append_window_idle(const struct append_window *w)
{
	return w->count == 0 && STAILQ_EMPTY(&w->gathered);
}
