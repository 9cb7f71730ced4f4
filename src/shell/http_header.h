/*
 * Reading of HTTP headers by name: libwebsockets keeps the names that it
 * knows as tokens and all others as text.
 */
#ifndef HTTP_HEADER_H
#define HTTP_HEADER_H

#include <stddef.h>

#include <libwebsockets.h>

#define HEADER_NAME_BYTES 64 /* with ':' and NUL */
#define HEADER_VALUE_BYTES 2048 /* longest value that is kept, with NUL */

struct header_name {
	char text[HEADER_NAME_BYTES]; /* lower case, with the colon */
	int len;
	int token; /* -1: kept as text by the library */
};

/* "name" is in lower case, without the colon; -1 where it is too long. */
int header_name_init(struct header_name *n, const char *name);
/* Length of the copied value, or -1 where it is missing or too long. */
int header_name_copy(
    const struct header_name *n, struct lws *wsi, char *value, size_t size);

#endif
