#include "listen.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

bool
listen_option(
    struct listen_addr *l, int key, const char *arg, struct argp_state *state)
{
	if (key == 'l' && listen_parse(l, arg) == -1)
		argp_error(state, "--listen takes ADDR:PORT");
	if (key == ARGP_KEY_END && l->port == 0)
		argp_error(state, "--listen ADDR:PORT is needed");
	return key == 'l' || key == ARGP_KEY_END;
}

int
listen_failed(const char *program, const struct err *e)
{
	fprintf(stderr, "%s: %s; %s\n", program, e->message, e->remedy);
	return 1;
}

int
listen_parse(struct listen_addr *l, const char *s)
{
	const char *colon = strrchr(s, ':');
	char *end;
	long port;

	if (colon == NULL || (size_t)(colon - s) >= sizeof(l->addr))
		return -1;
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > PORT_MAX)
		return -1;
	snprintf(l->addr, sizeof(l->addr), "%.*s", (int)(colon - s), s);
	l->port = (int)port;
	return 0;
}

int
range_parse(const char *s, int *min, int *max)
{
	char *end;

	*min = (int)strtol(s, &end, 10);
	*max = *min;
	if (*end == ':')
		*max = (int)strtol(end + 1, &end, 10);
	return *end != '\0' || *min < 0 || *max < *min ? -1 : 0;
}
