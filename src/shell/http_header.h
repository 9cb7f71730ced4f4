/*
 * Looks up HTTP headers by name. libwebsockets stores headers that it
 * recognises by token and all others as text.
 */
#ifndef HTTP_HEADER_H
#define HTTP_HEADER_H

#include <stddef.h>

#include <libwebsockets.h>

#define HEADER_NAME_BYTES 64 /* with ':' and NUL */
#define HEADER_VALUE_BYTES 2048 /* longest value that is read, with NUL */

struct header_name {
	char text[HEADER_NAME_BYTES]; /* lower case, with the colon */
	int len;
	int token; /* -1: libwebsockets stores it as text */
};

/* "name" is in lower case, without the colon. Returns -1 if it is too long. */
int header_name_init(struct header_name *n, const char *name);
/*
 * Returns the length of the copied value, or -1 if the header is missing or too
 * long.
 */
int header_name_copy(
    const struct header_name *n, struct lws *wsi, char *value, size_t size);

#endif
