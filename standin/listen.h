/* Command-line options and values that the stand-ins share. */
#ifndef STANDIN_LISTEN_H
#define STANDIN_LISTEN_H

#include <stdbool.h>

#include <argp.h>

#include "bounds.h"
#include "errors.h"

struct listen_addr {
	char addr[ADDR_BYTES];
	int port;
};

#define LISTEN_OPTION                                                   \
	{                                                               \
		"listen", 'l', "ADDR:PORT", 0, "Address to serve on", 0 \
	}

/* True where the key was --listen, or the end that asks for it. */
bool listen_option(
    struct listen_addr *l, int key, const char *arg, struct argp_state *state);
/* Says why a stand-in did not start.  Returns its exit code. */
int listen_failed(const char *program, const struct err *e);
/* Parses ADDR:PORT; -1 where it is not one. */
int listen_parse(struct listen_addr *l, const char *s);
/* Parses MIN:MAX, or one number for both; -1 on anything else. */
int range_parse(const char *s, int *min, int *max);

#endif
