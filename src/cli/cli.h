/*
 * Subcommands of the binary. Each parses its own arguments (argv[0] is the
 * subcommand) and returns the process's exit code.
 */
#ifndef CLI_H
#define CLI_H

#include <argp.h>

#include <json-c/json.h>

#include "errors.h"
#include "http_client.h"
#include "settings.h"
#include "text.h"

enum cli_exit {
	CLI_OK = 0, /* publish: admitted and in force */
	CLI_REFUSED = 1, /* text has errors, or refused by the fleet */
	CLI_USAGE = 2,
	CLI_UNKNOWN = 3, /* publish: no verdict; may have taken effect */
	CLI_UNREACHABLE = 4 /* no answer; nothing was changed */
};

int cli_serve(int argc, char **argv);
int cli_schedule(int argc, char **argv);
int cli_check(int argc, char **argv);
int cli_publish(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_dump(int argc, char **argv);
int cli_plan(int argc, char **argv);

/*
 * Reads and parses a text and prints every error. If it returns NULL, *code is
 * the exit code.
 */
struct text *cli_read_text(const char *file, int *code);
/* Prints "error: …; remedy: …" to stderr. */
void cli_error(const struct err *e);
/* Exits with a usage error if "s" is not "IP:PORT". */
void cli_parse_address(
    struct argp_state *state, struct settings_addr *out, const char *s);

struct cli_call {
	const char *method;
	const char *path;
	const char *body; /* JSON, or NULL */
	int timeout_ms;
};

/*
 * Makes one HTTP call. Returns the parsed JSON of a 200, or NULL with "e"
 * filled. *outcome tells whether the request may have been taken, *status the
 * HTTP status, 0 without an answer.
 */
struct json_object *cli_call_json(const struct settings_addr *to,
    const struct cli_call *call, enum http_outcome *outcome, int *status,
    struct err *e);

/* Look up a key of an object. A missing key gives "", 0 or NULL. */
const char *cli_get_string(struct json_object *o, const char *key);
uint64_t cli_get_u64(struct json_object *o, const char *key);
struct json_object *cli_get(struct json_object *o, const char *key);

#endif
