/* The library's context of a daemon, and the vhost of its calls. */
#ifndef SERVICE_H
#define SERVICE_H

#include <stdbool.h>

#include <libwebsockets.h>

struct http_context_opts {
	unsigned header_pool_size; /* requests whose headers are being read */
	bool ipv4_only;
};

/* NULL when memory is short. */
struct lws_context *http_context_new(const struct http_context_opts *opts);
/* -1 when memory is short. */
int http_context_add_client_vhost(
    struct lws_context *context, const struct http_context_opts *opts);

#endif
