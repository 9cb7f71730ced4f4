/* An upstream worker's stand-in for tests and the demo. */
#include <argp.h>
#include <stdlib.h>

#include "listen.h"
#include "upstream.h"

struct arguments {
	struct listen_addr listen;
	struct upstream_opts opts;
};

enum {
	OPT_SLOTS = 0x100,
	OPT_CONNECTIONS,
	OPT_SERVICE,
	OPT_SEED
};

static const struct argp_option options[] = {
    LISTEN_OPTION,
    {"name", 'n', "NAME", 0, "Name of the VM", 0},
    {"slots", OPT_SLOTS, "N", 0, "Concurrent requests", 0},
    {"connections", OPT_CONNECTIONS, "N", 0, "Open connections", 0},
    {"service-ms", OPT_SERVICE, "MIN:MAX", 0, "Time of one request", 0},
    {"seed", OPT_SEED, "N", 0, "Seed of service times", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	if (listen_option(&a->listen, key, arg, state))
		return 0;
	switch (key) {
	case 'n':
		a->opts.name = arg;
		break;
	case OPT_SLOTS:
		a->opts.slots = (int)strtol(arg, NULL, 10);
		break;
	case OPT_CONNECTIONS:
		a->opts.connections = (int)strtol(arg, NULL, 10);
		break;
	case OPT_SERVICE:
		if (range_parse(arg, &a->opts.service_min_ms,
			&a->opts.service_max_ms) == -1)
			argp_error(state, "--service-ms takes MIN:MAX");
		break;
	case OPT_SEED:
		a->opts.seed = strtoull(arg, NULL, 10) | 1;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL,
	    "Stand-in of an upstream worker.", NULL, NULL, NULL};
	struct arguments a = {.opts = {.name = "upstream",
				  .slots = 8,
				  .connections = 64,
				  .service_min_ms = 5,
				  .service_max_ms = 20,
				  .seed = 1}};
	struct upstream *u;
	struct err e = {0};
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	a.opts.addr = a.listen.addr;
	a.opts.port = a.listen.port;
	u = upstream_new(&a.opts, &e);
	if (u == NULL)
		return listen_failed("standin-upstream", &e);
	code = upstream_run(u);
	upstream_free(u);
	return code;
}
