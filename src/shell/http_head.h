/* The head of a caller's request, as the library has parsed it. */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <stddef.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "http_header.h"
#include "request.h"

/*
 * Method, path and those of the named headers that are there; NULL where the
 * method is not one that is handed on, or memory is short.  "uri" is the
 * decoded path.
 */
struct request *http_head_request(struct lws *wsi, const char *uri,
    const struct header_name *names, size_t count);
/* Length of the body; -1 where it is not stated by a Content-Length. */
int64_t http_head_content_length(struct lws *wsi);
/*
 * Bytes of the headers that the library knows, path and query included.  It
 * tells nothing of the others; its own memory bounds all of them.
 */
size_t http_head_recognised_bytes(struct lws *wsi);
const char *http_status_phrase(int status);

#endif
