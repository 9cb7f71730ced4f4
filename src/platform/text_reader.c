#include "text_reader.h"

#include <stdlib.h>
#include <string.h>

#define REPLACEMENT "\xef\xbf\xbd" /* U+FFFD, in the place of half a pair */
#define ESCAPE_CHARS 6 /* \uXXXX */
/* UTF-16 units: the first high surrogate, the first low one, the last. */
#define HIGH_SURROGATE 0xd800
#define LOW_SURROGATE 0xdc00
#define SURROGATE_LAST 0xdfff

/* The UTF-16 unit of an escape; -1: the bytes are none. */
static int
escaped_unit(const char *s, const char *end)
{
	char digits[ESCAPE_CHARS - 1] = "";

	if (end - s < ESCAPE_CHARS || s[0] != '\\' || s[1] != 'u')
		return -1;
	memcpy(digits, s + 2, ESCAPE_CHARS - 2);
	return strspn(digits, "0123456789abcdefABCDEF") == ESCAPE_CHARS - 2
	    ? (int)strtol(digits, NULL, 16)
	    : -1;
}

/* A high surrogate stands before a low one, and only there. */
static bool
find_lone_surrogate(const char *s, const char *end)
{
	int unit, next;

	while ((s = memchr(s, '\\', (size_t)(end - s))) != NULL) {
		unit = escaped_unit(s, end);
		if (unit < HIGH_SURROGATE || unit > SURROGATE_LAST) {
			s += end - s > 1 ? 2 : 1;
			continue;
		}
		next = escaped_unit(s + ESCAPE_CHARS, end);
		if (unit >= LOW_SURROGATE || next < LOW_SURROGATE ||
		    next > SURROGATE_LAST)
			return true;
		s += (ptrdiff_t)2 * ESCAPE_CHARS;
	}
	return false;
}

bool
json_text_altered(const void *json, size_t len, const char *parsed)
{
	return strstr(parsed, REPLACEMENT) != NULL &&
	    find_lone_surrogate(json, (const char *)json + len);
}

int
text_reader_init(struct text_reader *t, const void *json, size_t len)
{
	/* escaped characters are longer than what they stand for */
	t->texts = buf_new(len);
	t->has_lone_surrogate =
	    find_lone_surrogate(json, (const char *)json + len);
	return t->texts != NULL ? 0 : -1;
}

void
text_reader_uninit(struct text_reader *t)
{
	buf_unref(t->texts);
	t->texts = NULL;
}

/* It stands for a long one, see json_string_limit.h. */
static bool
string_was_dropped(const char *text, size_t len)
{
	return len == 1 && text[0] == '\0';
}

bool
text_reader_copy(
    struct text_reader *t, struct json_object *v, struct text_view *out)
{
	size_t len, room = t->texts->cap - t->texts->len;
	const char *text;

	memset(out, 0, sizeof(*out));
	if (v == NULL)
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	text = json_object_get_string(v);
	len = (size_t)json_object_get_string_len(v);
	if (len > room || string_was_dropped(text, len) ||
	    (t->has_lone_surrogate &&
		memmem(text, len, REPLACEMENT, strlen(REPLACEMENT)) != NULL))
		return false;
	out->data = (const char *)t->texts->data + t->texts->len;
	out->len = len;
	return buf_append(t->texts, text, len) == 0;
}
