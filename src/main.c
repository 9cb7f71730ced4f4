/* Entry point: the first argument selects the subcommand. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

const char *argp_program_version = "mimosalead 0.1";

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct subcommand subcommands[] = {
    {"serve", cli_serve},
    {"schedule", cli_schedule},
    {"check", cli_check},
    {"publish", cli_publish},
    {"status", cli_status},
    {"dump", cli_dump},
    {"plan", cli_plan},
};

static const struct subcommand *
find_subcommand(const char *name)
{
	size_t n = sizeof(subcommands) / sizeof(subcommands[0]), i;

	for (i = 0; i < n; i++) {
		if (strcmp(subcommands[i].name, name) == 0)
			return &subcommands[i];
	}
	return NULL;
}

static int
run_subcommand(struct argp_state *state, const char *name)
{
	const struct subcommand *sub = find_subcommand(name);
	char *const *rest = state->argv + state->next - 1;
	char title[64];
	char **argv;
	int argc, code;

	if (sub == NULL) {
		argp_error(state,
		    "\"%s\" is not a subcommand; use serve, schedule, check, "
		    "publish, "
		    "status, dump or plan",
		    name);
		return CLI_USAGE;
	}
	argc = state->argc - state->next + 1;
	argv = calloc((size_t)argc + 1, sizeof(*argv));
	if (argv == NULL)
		return CLI_UNREACHABLE;
	memcpy(argv, rest, (size_t)argc * sizeof(*argv));
	snprintf(title, sizeof(title), "mimosalead %s", name);
	argv[0] = title;
	code = sub->run(argc, argv);
	free(argv);
	return code;
}

static error_t
main_option(int key, char *arg, struct argp_state *state)
{
	int *code = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		*code = run_subcommand(state, arg);
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    .parser = main_option,
	    .args_doc = "SUBCOMMAND [ARGUMENT…]",
	    .doc = "Manages fleet capacity and maintenance."
		   "\vSubcommands, each with its own --help:\n"
		   "  serve -c FILE   run the daemon\n"
		   "  schedule        run the scheduler of jobs\n"
		   "  check FILE      check an operators' text off line\n"
		   "  publish FILE    publish a text and wait for the verdict\n"
		   "  status          services, budgets, pools and versions\n"
		   "  dump ADDRESS    the whole state of one daemon as JSON\n"
		   "  plan            what would be moved or maintained, and "
		   "why\n",
	};
	int code = CLI_OK;

	argp_err_exit_status = CLI_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &code);
	return code;
}
