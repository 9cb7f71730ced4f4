#include "text_store.h"

#include <stdlib.h>
#include <string.h>

void
text_store_init(struct text_store *s, const struct text_store_opts *opts)
{
	size_t i;

	memset(s, 0, sizeof(*s));
	s->opts = *opts;
	for (i = 0; i < TEXT_LENGTH_CLASSES; i++)
		TAILQ_INIT(&s->by_length[i]);
}

static size_t
text_bytes(size_t len)
{
	return sizeof(struct stored_text) + sizeof(struct buf) + len;
}

static struct stored_texts *
class_of(struct text_store *s, size_t len)
{
	size_t i = 0;

	if (s->opts.eviction == EVICT_LONGEST) {
		for (; len > 1; len /= 2)
			i++;
	}
	return &s->by_length[i];
}

void
stored_text_free(struct stored_text **holder)
{
	struct stored_text *t = *holder;

	if (t == NULL)
		return;
	*holder = NULL;
	TAILQ_REMOVE(class_of(t->store, t->len), t, entries);
	t->store->bytes -= text_bytes(t->len);
	buf_unref(t->value);
	free(t);
}

static void
evict(struct text_store *s)
{
	size_t i = TEXT_LENGTH_CLASSES;

	while (s->opts.bytes_max > 0 && s->bytes > s->opts.bytes_max) {
		while (TAILQ_EMPTY(&s->by_length[i - 1]))
			i--;
		stored_text_free(TAILQ_FIRST(&s->by_length[i - 1])->holder);
		s->evicted_count++;
	}
}

static struct stored_text *
stored_text_new(struct text_store *s, const struct text_view *text)
{
	struct stored_text *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->store = s;
	t->len = text->len;
	t->value = buf_from(text->data, text->len);
	if (t->value == NULL) {
		free(t);
		return NULL;
	}
	return t;
}

static bool
too_long(const struct text_store *s, size_t len)
{
	return (s->opts.text_max_bytes > 0 && len > s->opts.text_max_bytes) ||
	    (s->opts.bytes_max > 0 && text_bytes(len) > s->opts.bytes_max);
}

bool
text_store_put(struct text_store *s, struct stored_text **holder,
    const struct text_view *text)
{
	const struct buf *old = stored_text_value(*holder);
	struct stored_text *t;

	if (old != NULL && old->len == text->len &&
	    (old->len == 0 || memcmp(old->data, text->data, old->len) == 0))
		return true;
	if (too_long(s, text->len))
		return false;
	t = stored_text_new(s, text);
	if (t == NULL)
		return false;
	t->holder = &t; /* the older text stays if this one is evicted */
	TAILQ_INSERT_TAIL(class_of(s, text->len), t, entries);
	s->bytes += text_bytes(text->len);
	evict(s);
	if (t == NULL)
		return false;
	stored_text_free(holder);
	t->holder = holder;
	*holder = t;
	return true;
}
