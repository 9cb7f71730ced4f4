/* The daemon's libwebsockets context, and the vhost for its client calls. */
#ifndef SERVICE_H
#define SERVICE_H

#include <stdbool.h>

#include <libwebsockets.h>

struct http_context_opts {
	/* requests whose headers are read at the same time */
	unsigned header_pool_size;
	bool ipv4_only;
};

/* Returns NULL if memory is short. */
struct lws_context *http_context_new(const struct http_context_opts *opts);
/* Returns -1 if memory is short. */
int http_context_add_client_vhost(
    struct lws_context *context, const struct http_context_opts *opts);

#endif
