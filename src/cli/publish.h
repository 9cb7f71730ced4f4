/* Parts of "publish" that need no command line, so that tests can call them. */
#ifndef PUBLISH_H
#define PUBLISH_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "record.h"
#include "text.h"

/*
 * A change of one range: replaces "del" bytes at offset "at" of the base by
 * "ins".
 */
struct publish_splice {
	size_t at;
	size_t del;
	const char *ins;
	size_t ins_len;
};

/*
 * Returns the one range in which two texts differ, between their common prefix
 * and their common suffix.
 */
struct publish_splice publish_diff(
    const char *base, size_t base_len, const char *text, size_t len);

/*
 * Encodes a RECORD_CONFIG record over version "base". If "base_text" is not
 * NULL and the change is much smaller than the text, the record holds only the
 * change. Returns NULL with "e" filled if the record would be too large or
 * memory is short.
 */
struct buf *publish_encode(const struct record_id *id, uint64_t base,
    const char *base_text, const struct text *t, struct err *e);

#endif
