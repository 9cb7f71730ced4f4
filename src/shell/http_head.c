#include "http_head.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"

const char *
http_status_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 202:
		return "Accepted";
	case 204:
		return "No Content";
	case 304:
		return "Not Modified";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 411:
		return "Length Required";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Answer";
	}
}

static bool
is_path_char(unsigned char ch)
{
	return ch > ' ' && ch < 0x7f && strchr("\"<>\\^`{|}%#", ch) == NULL;
}

/*
 * Appends a path or an argument that libwebsockets has percent-decoded, encoded
 * again. "reserved" lists further characters to encode.
 */
static int
path_append(struct buf *b, const char *s, const char *reserved)
{
	for (; *s != '\0'; s++) {
		if (is_path_char((unsigned char)*s) && !strchr(reserved, *s)) {
			if (buf_append(b, s, 1) == -1)
				return -1;
		} else if (buf_printf(b, "%%%02X", (unsigned char)*s) == -1) {
			return -1;
		}
	}
	return 0;
}

static struct buf *
head_path(struct lws *wsi, const char *uri)
{
	char part[HEADERS_MAX_BYTES];
	struct buf *b;
	int i, ret;

	b = buf_new(strlen(uri) + 32);
	if (b == NULL)
		return NULL;
	ret = path_append(b, uri, "?");
	for (i = 0; lws_hdr_copy_fragment(wsi, part, sizeof(part),
			WSI_TOKEN_HTTP_URI_ARGS, i) >= 0;
	     i++) {
		ret |= buf_append(b, i == 0 ? "?" : "&", 1);
		ret |= path_append(b, part, "&");
	}
	ret |= buf_append(b, "", 1);
	if (ret == 0)
		return b;
	buf_unref(b);
	return NULL;
}

static void
head_add_header(struct request *r, struct lws *wsi, const struct header_name *n)
{
	char value[HEADER_VALUE_BYTES], name[HEADER_NAME_BYTES];

	if (n->checked && n->token == -1)
		r->checked_header_fault = header_name_check(n, wsi);
	if (header_name_copy(n, wsi, value, sizeof(value)) <= 0)
		return;
	memcpy(name, n->text, (size_t)n->len - 1);
	name[n->len - 1] = '\0';
	if (headers_get(&r->headers, name) == NULL)
		headers_add(&r->headers, name, value);
}

static const char *
head_method(struct lws *wsi)
{
	static const char *const methods[] = {
	    [LWSHUMETH_GET] = "GET",
	    [LWSHUMETH_POST] = "POST",
	    [LWSHUMETH_OPTIONS] = "OPTIONS",
	    [LWSHUMETH_PUT] = "PUT",
	    [LWSHUMETH_PATCH] = "PATCH",
	    [LWSHUMETH_DELETE] = "DELETE",
	    [LWSHUMETH_CONNECT] = "CONNECT",
	    [LWSHUMETH_HEAD] = "HEAD",
	};
	char *uri;
	int len, n;

	n = lws_http_get_uri_and_method(wsi, &uri, &len);
	if (n < 0 || n > LWSHUMETH_HEAD || n == LWSHUMETH_CONNECT)
		return NULL;
	return methods[n];
}

struct request *
http_head_request(struct lws *wsi, const char *uri,
    const struct header_name *names, size_t count)
{
	const char *method = head_method(wsi);
	struct request *r;
	struct buf *path;
	size_t i;

	if (method == NULL)
		return NULL;
	path = head_path(wsi, uri);
	if (path == NULL)
		return NULL;
	r = request_new(method, (const char *)path->data);
	buf_unref(path);
	for (i = 0; r != NULL && i < count; i++)
		head_add_header(r, wsi, &names[i]);
	return r;
}

int64_t
http_head_content_length(struct lws *wsi)
{
	char value[24], *end;
	long long n;

	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
		return -1;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
		return 0;
	if (lws_hdr_copy(
		wsi, value, sizeof(value), WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
		return INT64_MAX;
	n = strtoll(value, &end, 10);
	return *end != '\0' || n < 0 ? -1 : n;
}

size_t
http_head_recognised_bytes(struct lws *wsi)
{
	size_t n = 0;
	int i;

	for (i = 0; i < _WSI_TOKEN_CLIENT_SENT_PROTOCOLS; i++)
		n += (size_t)lws_hdr_total_length(wsi, i);
	return n;
}
