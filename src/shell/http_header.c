#include "http_header.h"

#include <stdio.h>
#include <string.h>

int
header_name_init(struct header_name *n, const char *name)
{
	const char *s;
	int i;

	n->len = snprintf(n->text, sizeof(n->text), "%s:", name);
	n->token = -1;
	if (n->len < 0 || (size_t)n->len >= sizeof(n->text))
		return -1;
	for (i = 0; i < WSI_TOKEN_COUNT; i++) {
		s = (const char *)lws_token_to_string(i);
		if (s != NULL && strcmp(s, n->text) == 0) {
			n->token = i;
			break;
		}
	}
	return 0;
}

int
header_name_copy(
    const struct header_name *n, struct lws *wsi, char *value, size_t size)
{
	int len;

	if (n->token == -1)
		return lws_hdr_custom_copy(
		    wsi, value, (int)size, n->text, n->len);
	len = lws_hdr_total_length(wsi, n->token);
	if (len <= 0)
		return -1;
	return lws_hdr_copy(wsi, value, (int)size, n->token);
}
