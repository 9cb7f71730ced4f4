#include "append_window.h"

#include <string.h>

#include "bounds.h"

#define GATHER_US (2 * US_PER_MS) /* half of one append's own time */
/* Between two appends: one's own time, so that they do not overtake. */
#define SPACING_US (5 * US_PER_MS)
#define RETRY_US (100 * US_PER_MS) /* after an append that was not taken */

void
append_window_init(struct append_window *w, int64_t seq, bool established)
{
	memset(w, 0, sizeof(*w));
	w->next_seq = seq;
	w->established = established;
}

void
append_window_uninit(struct append_window *w)
{
	int i;

	for (i = 0; i < w->count; i++)
		buf_unref(w->slots[i].records);
	buf_unref(w->gathered);
	memset(w, 0, sizeof(*w));
}

int
append_window_put(struct append_window *w, int64_t now_us, const char *key,
    const struct buf *value, uint64_t serial)
{
	if (w->gathered == NULL) {
		w->gathered = buf_new(1024);
		w->gathered_us = now_us;
	}
	if (w->gathered == NULL ||
	    store_record_add(w->gathered, key,
		value != NULL ? value->data : NULL,
		value != NULL ? value->len : 0) == -1)
		return -1;
	w->gathered_serial = serial;
	if (w->waits_since_us == 0)
		w->waits_since_us = now_us;
	return 0;
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
	if (w->gathered == NULL ||
	    w->count == (w->established ? APPENDS_MAX : 1))
		return -1;
	if (w->count > 0 && due_us < w->newest_us + SPACING_US)
		due_us = w->newest_us + SPACING_US;
	return due_us;
}

static struct append_slot *
slot_new(struct append_window *w, int64_t now_us)
{
	struct append_slot *s = &w->slots[w->count++];

	memset(s, 0, sizeof(*s));
	s->records = w->gathered;
	s->serial = w->gathered_serial;
	s->seq = w->next_seq++;
	w->gathered = NULL;
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
	w->waits_since_us = w->count > 0 || w->gathered != NULL ? now_us : 0;
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
	case STORE_EARLY:
		/* it overtook one that is at the store by now, or is lost */
		if (s->behind) {
			s->retry_us = now_us + s->overtook++ * SPACING_US;
			return WINDOW_WAITS;
		}
		/* FALLTHROUGH */
	case STORE_FENCED:
	case STORE_MOVED:
		w->fenced = true;
		return WINDOW_FENCED;
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
	return w->count == 0 && w->gathered == NULL;
}
