/*
 * Copies strings out of parsed JSON that go back to the platform later: whole,
 * with any length and any byte, or not at all.
 */
#ifndef TEXT_READER_H
#define TEXT_READER_H

#include <stdbool.h>
#include <stddef.h>

#include <json-c/json.h>

#include "buf.h"
#include "text_store.h"

struct text_reader {
	struct buf *texts; /* has room for all strings; never moves */
	/* Half of a pair of UTF-16 units, which is replaced when parsed. */
	bool has_lone_surrogate;
};

/* "json" is the text that was parsed.  -1 when memory is short. */
int text_reader_init(struct text_reader *t, const void *json, size_t len);
/* "parsed" is a string of the text that may differ from what was sent. */
bool json_text_altered(const void *json, size_t len, const char *parsed);
void text_reader_uninit(struct text_reader *t);
/*
 * The copy is in "texts"; a string that is missing is empty.  False when "v" is
 * no string, was left out on the way, or has not come as it was sent.
 */
bool text_reader_copy(
    struct text_reader *t, struct json_object *v, struct text_view *out);

#endif
