#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct buf *
buf_new(size_t cap)
{
	struct buf *b;

	b = calloc(1, sizeof(*b));
	if (b == NULL)
		return NULL;
	b->ref_count = 1;
	if (cap == 0)
		return b;
	b->data = malloc(cap);
	if (b->data == NULL) {
		free(b);
		return NULL;
	}
	b->cap = cap;
	return b;
}

struct buf *
buf_from(const void *data, size_t len)
{
	struct buf *b;

	b = buf_new(len);
	if (b == NULL)
		return NULL;
	if (len > 0)
		memcpy(b->data, data, len);
	b->len = len;
	return b;
}

struct buf *
buf_ref(struct buf *b)
{
	if (b != NULL)
		b->ref_count++;
	return b;
}

void
buf_unref(struct buf *b)
{
	if (b == NULL || --b->ref_count > 0)
		return;
	free(b->data);
	free(b);
}

static int
buf_reserve(struct buf *b, size_t extra)
{
	uint8_t *data;
	size_t cap;

	if (b->cap - b->len >= extra)
		return 0;
	cap = b->cap ? b->cap : 64;
	while (cap - b->len < extra)
		cap *= 2;
	data = realloc(b->data, cap);
	if (data == NULL)
		return -1;
	b->data = data;
	b->cap = cap;
	return 0;
}

int
buf_append(struct buf *b, const void *data, size_t len)
{
	if (len == 0)
		return 0;
	if (buf_reserve(b, len) == -1)
		return -1;
	memcpy(b->data + b->len, data, len);
	b->len += len;
	return 0;
}

int
buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0 || buf_reserve(b, (size_t)n + 1) == -1)
		return -1;
	va_start(ap, fmt);
	vsnprintf((char *)b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
	return 0;
}
