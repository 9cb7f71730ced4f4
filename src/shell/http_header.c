#include "http_header.h"

#include <stdio.h>
#include <string.h>

#include "bounds.h"

#define HEADER_REPEATS_MAX 8 /* more of one name are a fault */
/* First byte of a stored name that is not to match. */
#define MASKED_NAME '\0'

int
header_name_init(struct header_name *n, const char *name)
{
	const char *s;
	int i;

	n->len = snprintf(n->text, sizeof(n->text), "%s:", name);
	n->token = -1;
	n->checked = false;
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

/* libwebsockets leaves the white space behind a value (RFC 9110, 5.5). */
static int
trim_end(char *value, int len)
{
	while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		value[--len] = '\0';
	return len;
}

int
header_name_copy(
    const struct header_name *n, struct lws *wsi, char *value, size_t size)
{
	int len;

	if (n->token == -1) {
		len =
		    lws_hdr_custom_copy(wsi, value, (int)size, n->text, n->len);
		return n->checked ? trim_end(value, len) : len;
	}
	len = lws_hdr_total_length(wsi, n->token);
	if (len <= 0)
		return -1;
	return lws_hdr_copy(wsi, value, (int)size, n->token);
}

/*
 * The stored name of the header whose value is "value", at or after "from".
 * libwebsockets stores the value right behind the name.
 */
static char *
find_stored(const struct header_name *n, char *from, const char *value)
{
	char *end = from + HEADER_MEMORY_BYTES - n->len - strlen(value);

	for (; from < end; from++) {
		if (*from == n->text[0] &&
		    strncmp(from, n->text, (size_t)n->len) == 0 &&
		    strncmp(from + n->len, value, strlen(value)) == 0)
			return from;
	}
	return NULL;
}

/*
 * libwebsockets only ever returns the first header of a name.  So the stored
 * name of each one is made unreadable once its value is known, until the next
 * is not found; then they are restored.  All of them lie behind the path in
 * the memory of the request's head.
 */
enum header_fault
header_name_check(const struct header_name *n, struct lws *wsi)
{
	char first[HEADER_VALUE_BYTES], value[HEADER_VALUE_BYTES];
	enum header_fault fault = HEADER_SOUND;
	char *stored[HEADER_REPEATS_MAX], *at;
	int uri_len, count = 0;

	if (lws_http_get_uri_and_method(wsi, &at, &uri_len) < 0)
		return HEADER_SOUND;
	while (lws_hdr_custom_length(wsi, n->text, n->len) >= 0) {
		if (header_name_copy(n, wsi, value, sizeof(value)) == -1) {
			fault = HEADER_TOO_LONG;
			break;
		}
		if (count == 0)
			snprintf(first, sizeof(first), "%s", value);
		if (strcmp(first, value) != 0 || count == HEADER_REPEATS_MAX) {
			fault = HEADER_CONFLICTING;
			break;
		}
		at = find_stored(n, at, value);
		if (at == NULL)
			break;
		stored[count++] = at;
		at[0] = MASKED_NAME;
	}
	while (count > 0)
		stored[--count][0] = n->text[0];
	return fault;
}
