#include "http_context.h"

#include <string.h>

#include "bounds.h"
#include "http_client.h"
#include "http_header.h"

/* libwebsockets' buffer for request headers */
#define HEADER_BUFFER_BYTES 32768
#define IO_TIMEOUT_S 120 /* longer than each of the daemon's own timers */

static uint64_t
address_options(const struct http_context_opts *opts)
{
	return opts->ipv4_only ? LWS_SERVER_OPTION_DISABLE_IPV6 : 0;
}

struct lws_context *
http_context_new(const struct http_context_opts *opts)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
	    LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS | address_options(opts);
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	info.max_http_header_data2 = HEADER_MEMORY_BYTES;
	info.max_http_header_pool2 = opts->header_pool_size;
	info.pt_serv_buf_size = HEADER_BUFFER_BYTES;
	info.timeout_secs = IO_TIMEOUT_S;
	info.connect_timeout_secs = IO_TIMEOUT_S;
	return lws_create_context(&info);
}

int
http_context_add_client_vhost(
    struct lws_context *context, const struct http_context_opts *opts)
{
	static struct lws_protocols protocols[2];
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	protocols[0] = http_client_protocol;
	info.vhost_name = "client";
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = protocols;
	info.options = address_options(opts);
	return lws_create_vhost(context, &info) == NULL ? -1 : 0;
}
