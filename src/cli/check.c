/* Subcommands "check" and "serve", which call no other process. */
#include "cli.h"

#include <stdbool.h>

#include "serve.h"
#include "tasks.h"
#include "text_table.h"

struct file_args {
	const char *file;
	bool keys;
};

static error_t
check_option(int key, char *arg, struct argp_state *state)
{
	struct file_args *a = state->input;

	switch (key) {
	case 'k':
		a->keys = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->file != NULL)
			argp_usage(state);
		a->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (a->file == NULL && !a->keys)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
cli_check(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"keys", 'k', NULL, 0,
		"Print every key of a text and of the "
		"settings as Markdown",
		0},
	    {0}};
	static const struct argp argp = {.options = options,
	    .parser = check_option,
	    .args_doc = "FILE",
	    .doc = "Checks an operators' text off line.\vPrints every error as "
		   "FILE:LINE: message; remedy: what to do.  Exit codes: 0 the "
		   "text is good, 1 it has errors, 2 usage."};
	struct file_args a = {0};
	struct text *t;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.keys) {
		keys_write_markdown(&text_root_table, "text", stdout);
		settings_document(stdout);
		tasks_write_markdown(stdout);
		return CLI_OK;
	}
	t = cli_read_text(a.file, &code);
	if (t == NULL)
		return code;
	printf("%s: good: %zu services, %zu pools, %zu members, "
	       "%zu data centres\n",
	    a.file, t->service_count, t->pool_count, t->member_count,
	    t->data_centre_count);
	text_unref(t);
	return CLI_OK;
}

static error_t
serve_option(int key, char *arg, struct argp_state *state)
{
	struct file_args *a = state->input;

	switch (key) {
	case 'c':
		a->file = arg;
		return 0;
	case 'k':
		printf("Settings (JSON with comments):\n");
		settings_help(stdout);
		a->keys = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (a->file == NULL && !a->keys)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends every key of the settings to the output of --help. */
static char *
serve_help(int key, const char *text, void *input)
{
	char *out = NULL;
	size_t len = 0;
	FILE *f;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	f = open_memstream(&out, &len);
	if (f == NULL)
		return (char *)text;
	fprintf(f, "Settings in FILE, JSON with comments:\n");
	settings_help(f);
	fprintf(f,
	    "\nSIGTERM is the planned stop: in-flight requests are "
	    "finished first.  Exit codes: 0 after a planned stop, 1 "
	    "failed start, 2 usage.");
	fclose(f);
	return out;
}

int
cli_serve(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"config", 'c', "FILE", 0, "Settings of this daemon", 0},
	    {"keys", 'k', NULL, 0, "Print every key of the settings", 0}, {0}};
	static const struct argp argp = {.options = options,
	    .parser = serve_option,
	    .args_doc = "",
	    .doc = "Runs the daemon.\v",
	    .help_filter = serve_help};
	struct file_args a = {0};
	struct settings s;
	struct err e = {0};
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.file == NULL)
		return CLI_OK;
	if (settings_load(&s, a.file, &e) == -1) {
		fprintf(stderr, "%s:%d: %s; remedy: %s\n", a.file, e.line,
		    e.message, e.remedy);
		return CLI_REFUSED;
	}
	ret = serve_run(&s, &e);
	settings_uninit(&s);
	if (ret == 0)
		return CLI_OK;
	cli_error(&e);
	return CLI_REFUSED;
}
