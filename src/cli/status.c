/* Subcommands "status", "dump" and "plan", which show a daemon's state. */
#include "cli.h"
#include "status_text.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

#define CALL_TIMEOUT_MS 5000

struct query_args {
	struct settings_addr daemon;
	bool have_daemon;
	bool json;
};

static error_t
query_option(int key, char *arg, struct argp_state *state)
{
	struct query_args *a = state->input;

	switch (key) {
	case 'j':
		a->json = true;
		return 0;
	case 'd':
	case ARGP_KEY_ARG:
		cli_parse_address(state, &a->daemon, arg);
		a->have_daemon = true;
		return 0;
	case ARGP_KEY_END:
		if (!a->have_daemon)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static struct json_object *
query_daemon(const struct query_args *a, const char *path)
{
	const struct cli_call call = {"GET", path, NULL, CALL_TIMEOUT_MS};
	struct err e = {0};
	struct json_object *o;
	enum http_outcome outcome;
	int status;

	o = cli_call_json(&a->daemon, &call, &outcome, &status, &e);
	if (o == NULL)
		cli_error(&e);
	return o;
}

static void
print_json(struct json_object *o)
{
	printf("%s\n",
	    json_object_to_json_string_ext(o,
		JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
		    JSON_C_TO_STRING_NOSLASHESCAPE));
}

/* Prints one line per move with its reason, then the state of maintenance. */
static void
print_plan(struct json_object *o)
{
	struct json_object *moves = cli_get(o, "moves"), *m;
	struct json_object *maintenance = cli_get(o, "maintenance");
	struct json_object *due = cli_get(maintenance, "due"), *v;
	size_t i, n;

	n = moves != NULL ? json_object_array_length(moves) : 0;
	printf("moves planned now: %zu\n", n);
	for (i = 0; i < n; i++) {
		m = json_object_array_get_idx(moves, i);
		printf("  %s: %s -> %s (score %s): %s\n",
		    cli_get_string(m, "vm"), cli_get_string(m, "from"),
		    cli_get_string(m, "to"), cli_get_string(m, "score"),
		    cli_get_string(m, "reason"));
	}
	v = cli_get(maintenance, "wave");
	printf("maintenance wave: %s\n",
	    v != NULL
		? json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN)
		: "none");
	n = due != NULL ? json_object_array_length(due) : 0;
	printf("VMs due for maintenance: %zu\n", n);
	for (i = 0; i < n; i++) {
		v = json_object_array_get_idx(due, i);
		printf("  %s in %s: %s\n", cli_get_string(v, "vm"),
		    cli_get_string(v, "failure_domain"),
		    json_object_get_boolean(cli_get(v, "allowed_now"))
			? "allowed now"
			: cli_get_string(v, "reason"));
	}
}

static const struct argp_option query_options[] = {
    {"daemon", 'd', "IP:PORT", 0, "Admin address of a daemon", 0},
    {"json", 'j', NULL, 0, "Print JSON for programs", 0}, {0}};

static int
query_and_print(
    int argc, char **argv, const struct argp *argp, const char *path)
{
	struct query_args a = {0};
	struct json_object *o;

	argp_parse(argp, argc, argv, 0, NULL, &a);
	o = query_daemon(&a, path);
	if (o == NULL)
		return CLI_UNREACHABLE;
	if (a.json || strcmp(path, "/dump") == 0)
		print_json(o);
	else if (strcmp(path, "/plan") == 0)
		print_plan(o);
	else
		status_text_print(o, stdout);
	json_object_put(o);
	return CLI_OK;
}

int
cli_status(int argc, char **argv)
{
	static const struct argp argp = {.options = query_options,
	    .parser = query_option,
	    .args_doc = "ADDRESS",
	    .doc =
		"Shows services, budgets, pools, leaving VMs and versions as "
		"one daemon knows them.\vExit codes: 0 shown, 2 usage, 4 no "
		"answer."};

	return query_and_print(argc, argv, &argp, "/status");
}

int
cli_dump(int argc, char **argv)
{
	static const struct argp argp = {.options = query_options,
	    .parser = query_option,
	    .args_doc = "ADDRESS",
	    .doc = "Prints the whole state of one daemon as JSON.\vExit codes: "
		   "0 shown, 2 usage, 4 no answer."};

	return query_and_print(argc, argv, &argp, "/dump");
}

int
cli_plan(int argc, char **argv)
{
	static const struct argp argp = {.options = query_options,
	    .parser = query_option,
	    .args_doc = "ADDRESS",
	    .doc = "Shows what would be moved or maintained, and why.\vExit "
		   "codes: 0 shown, 2 usage, 4 no answer."};

	return query_and_print(argc, argv, &argp, "/plan");
}
