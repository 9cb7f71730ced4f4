/*
 * Reference-counted byte buffers.  Bodies, frames and records travel between
 * the reducer and the shell as "struct buf *" without being copied.  Not
 * thread-safe: everything runs on one loop on one thread.
 */
#ifndef BUF_H
#define BUF_H

#include <stddef.h>
#include <stdint.h>

struct buf {
	unsigned ref_count;
	size_t len; /* bytes in use */
	size_t cap; /* bytes allocated */
	uint8_t *data;
};

/* All constructors return one reference, or NULL when memory is short. */
struct buf *buf_new(size_t cap);
struct buf *buf_from(const void *data, size_t len);
/* Both accept NULL.  buf_ref returns its argument. */
struct buf *buf_ref(struct buf *b);
void buf_unref(struct buf *b);
/* Appends; returns -1 when memory is short and leaves "b" as it was. */
int buf_append(struct buf *b, const void *data, size_t len);
int buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
