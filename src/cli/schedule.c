/* Subcommand "schedule", the job scheduler. */
#include <stdio.h>
#include <stdlib.h>

#include "cli.h"
#include "scheduler.h"

#define ENV_SETTINGS "MIMOSALEAD_SETTINGS"

static error_t
schedule_option(int key, char *arg, struct argp_state *state)
{
	const char **file = state->input;

	switch (key) {
	case 'c':
		*file = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
cli_schedule(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"config", 'c', "FILE", 0,
		"settings of the users' platform; by default the file that "
		"the variable " ENV_SETTINGS " names",
		0},
	    {0},
	};
	static const struct argp argp = {
	    .options = options,
	    .parser = schedule_option,
	    .doc = "Runs jobs on the platform's workers until SIGTERM.",
	};
	const char *file = getenv(ENV_SETTINGS);
	struct err e;

	argp_parse(&argp, argc, argv, 0, NULL, &file);
	if (file == NULL) {
		fprintf(stderr,
		    "error: no settings; remedy: give -c FILE or "
		    "set " ENV_SETTINGS "\n");
		return CLI_USAGE;
	}
	if (scheduler_run(file, &e) == 0)
		return CLI_OK;
	cli_error(&e);
	return CLI_REFUSED;
}
