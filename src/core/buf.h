/*
 * Reference-counted byte buffers.  The reducer and the shell pass bodies,
 * frames and records as "struct buf *" without copying them.  Not thread-safe:
 * all users run in one event loop.
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

/* Constructors return one reference, or NULL if out of memory. */
struct buf *buf_new(size_t cap);
struct buf *buf_from(const void *data, size_t len);
/* Both accept NULL.  buf_ref() returns its argument. */
struct buf *buf_ref(struct buf *b);
void buf_unref(struct buf *b);
/* Append to "b"; on failure, return -1 and leave its contents unchanged. */
int buf_append(struct buf *b, const void *data, size_t len);
int buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
