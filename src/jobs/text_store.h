/*
 * Texts of workers and of queues' policies, which go back as they came: they
 * have any length and contain any byte.  The texts of a store take a limited
 * number of bytes in all.
 */
#ifndef JOBS_TEXT_STORE_H
#define JOBS_TEXT_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "buf.h"

/* Bytes that somebody else owns; "len" 0: there are none. */
struct text_view {
	const char *data;
	size_t len;
};

/* Which texts go first where they take too much together. */
enum text_eviction {
	EVICT_LONGEST, /* so that long texts cost short ones nothing */
	EVICT_OLDEST
};

#define TEXT_LENGTH_CLASSES 64 /* powers of two */

struct text_store_opts {
	size_t text_max_bytes; /* of one text; 0: bytes_max */
	size_t bytes_max; /* of all; 0: unlimited */
	enum text_eviction eviction;
};

struct text_store {
	struct text_store_opts opts;
	size_t bytes; /* of the texts and their administration */
	uint64_t evicted_count;
	/* Oldest first; class 0 has all texts unless EVICT_LONGEST. */
	TAILQ_HEAD(stored_texts, stored_text) by_length[TEXT_LENGTH_CLASSES];
};

struct stored_text {
	struct text_store *store;
	struct stored_text **holder; /* set to NULL when the text is evicted */
	struct buf *value; /* immutable; references outlive the eviction */
	size_t len; /* of the value */
	TAILQ_ENTRY(stored_text) entries;
};

void text_store_init(struct text_store *s, const struct text_store_opts *opts);
/*
 * Puts the text in the place of *holder, which must not move.  False if it is
 * not kept: it is too long, or memory is short; *holder stays, unless it was
 * evicted.
 */
bool text_store_put(struct text_store *s, struct stored_text **holder,
    const struct text_view *text);
/* Accepts a holder of NULL. */
void stored_text_free(struct stored_text **holder);
/* NULL for a holder of NULL. */
static inline struct buf *
stored_text_value(const struct stored_text *t)
{
	return t != NULL ? t->value : NULL;
}

#endif
