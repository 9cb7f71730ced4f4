/*
 * Looks up HTTP headers by name. libwebsockets stores headers that it
 * recognises by token and all others as text.
 */
#ifndef HTTP_HEADER_H
#define HTTP_HEADER_H

#include <stdbool.h>
#include <stddef.h>

#include <libwebsockets.h>

#include "request.h"

#define HEADER_NAME_BYTES 64 /* with ':' and NUL */
/* libwebsockets' memory for the head of a request */
#define HEADER_MEMORY_BYTES (2 * HEADERS_MAX_BYTES)
#define HEADER_VALUE_BYTES 2048 /* longest value that is read, with NUL */

struct header_name {
	char text[HEADER_NAME_BYTES]; /* lower case, with the colon */
	int len;
	int token; /* -1: libwebsockets stores it as text */
	bool checked; /* faults are noticed, white space at the end is cut */
};

/* "name" is in lower case, without the colon. Returns -1 if it is too long. */
int header_name_init(struct header_name *n, const char *name);
/*
 * Returns the length of the copied value, or -1 if the header is missing or too
 * long.
 */
int header_name_copy(
    const struct header_name *n, struct lws *wsi, char *value, size_t size);
/* For a header that libwebsockets stores as text. */
enum header_fault header_name_check(
    const struct header_name *n, struct lws *wsi);

#endif
