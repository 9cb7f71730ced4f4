/* Reads the head of a caller's request after libwebsockets has parsed it. */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "http_header.h"
#include "request.h"

/*
 * Returns the request's method, its path and those of the named headers that it
 * has. Returns NULL if the method is not supported or memory is short. "uri" is
 * the decoded path.
 */
struct request *http_head_request(struct lws *wsi, const char *uri,
    const struct header_name *names, size_t count);
/* Returns the body's length in bytes, or -1 if no Content-Length states it. */
int64_t http_head_content_length(struct lws *wsi);
/*
 * Returns the size of path, query and headers that libwebsockets recognises.
 * Other headers are not counted; libwebsockets' header memory bounds the sum of
 * all.
 */
size_t http_head_recognised_bytes(struct lws *wsi);
const char *http_status_phrase(int status);

#endif
