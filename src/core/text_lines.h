/*
 * Positions in a JSON text with comments.  json-c keeps none, so this scanner
 * walks a text that json-c has accepted and notes the line of every value
 * under its path: "/services/0/name" is the name of the first service, "" the
 * root.
 */
#ifndef TEXT_LINES_H
#define TEXT_LINES_H

#include <stddef.h>

struct text_lines;

/* A key that stands twice in one object, or one that holds an escape. */
struct text_lines_fault {
	char *path;
	int line;
	int first_line; /* of the earlier key; 0: the key holds an escape */
};

/* Returns NULL when memory is short. */
struct text_lines *text_lines_new(const char *source, size_t len);
void text_lines_free(struct text_lines *l);
/* Line from 1; the line of the nearest known parent for an unknown path. */
int text_lines_find(const struct text_lines *l, const char *path);
/* Faults in order of their lines. */
const struct text_lines_fault *text_lines_faults(
    const struct text_lines *l, size_t *count);
/* Line of a byte of the source, from 1. */
int text_line_at_offset(const char *source, size_t len, size_t offset);

#endif
