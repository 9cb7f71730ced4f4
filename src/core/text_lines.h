/*
 * Line numbers of the values in a JSON text with comments.  json-c doesn't
 * provide them, so this scanner walks a text that json-c has accepted and
 * records the line of every value under its path: "/services/0/name" is the
 * name of the first service, "" the root.
 */
#ifndef TEXT_LINES_H
#define TEXT_LINES_H

#include <stddef.h>

struct text_lines;

/* A duplicate key in an object, or a key with an escape sequence. */
struct text_lines_fault {
	char *path;
	int line;
	int first_line; /* of the earlier key; 0: escape sequence */
};

/* Returns NULL if memory is short. */
struct text_lines *text_lines_new(const char *source, size_t len);
void text_lines_free(struct text_lines *l);
/* Returns the 1-based line of "path", or of its nearest known ancestor. */
int text_lines_find(const struct text_lines *l, const char *path);
/* Returns the faults in the order of their lines. */
const struct text_lines_fault *text_lines_faults(
    const struct text_lines *l, size_t *count);
/* Returns the 1-based line of the byte at "offset". */
int text_line_at_offset(const char *source, size_t len, size_t offset);

#endif
