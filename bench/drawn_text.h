/*
 * Texts that follow from a seed: short and long ones, with quotes, line breaks
 * and what else has a meaning in JSON, in log lines or to C strings.
 */
#ifndef DRAWN_TEXT_H
#define DRAWN_TEXT_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"

/* Around the length that records of earlier versions have room for. */
#define DRAWN_TEXT_SHORT_BYTES 100

static inline uint64_t
drawn_text_hash(uint64_t seed, const char *text)
{
	for (; *text != '\0'; text++)
		seed = (seed ^ (unsigned char)*text) * 0x100000001b3ULL;
	return seed;
}

/* Valid UTF-8 of 0 to "max" bytes; NULL when memory is short. */
static inline struct buf *
drawn_text(uint64_t seed, size_t max)
{
	static const struct {
		const char *bytes;
		size_t len;
	} parts[] = {{"0", 1}, {"a", 1}, {"f3", 2}, {"\"", 1}, {"\\", 1},
	    {"\n", 1}, {"\r", 1}, {"\0", 1}, {"{[", 2}, {"]}", 2}, {",:", 2},
	    {" level=error msg=", 17}, {"\xc3\xa9", 2}, {"\xef\xbf\xbd", 3},
	    {"\xf0\x9f\x8c\xbf", 4}, {"\x7f", 1}};
	struct buf *b;
	size_t i, len;

	seed = (seed ^ 0x9e3779b97f4a7c15ULL) * 0xbf58476d1ce4e5b9ULL;
	seed = (seed ^ seed >> 29) | 1;
	len = (seed >> 20) % (max + 1);
	if ((seed >> 8) % 4 == 0)
		len %= DRAWN_TEXT_SHORT_BYTES;
	if ((seed >> 8) % 16 == 1)
		len = 0;
	b = buf_new(len);
	while (b != NULL && b->len < len) {
		seed ^= seed << 13;
		seed ^= seed >> 7;
		seed ^= seed << 17;
		i = (seed >> 30) % (sizeof(parts) / sizeof(parts[0]));
		if (b->len + parts[i].len > len)
			i = 0;
		buf_append(b, parts[i].bytes, parts[i].len);
	}
	return b;
}

#endif
