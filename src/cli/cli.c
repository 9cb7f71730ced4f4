#include "cli.h"

#include <stdlib.h>
#include <string.h>

/* room for the dump of a large fleet */
#define ANSWER_SIZE_MAX_BYTES ((size_t)64 * 1024 * 1024)

void
cli_error(const struct err *e)
{
	fprintf(stderr, "error: %s; remedy: %s\n", e->message, e->remedy);
}

void
cli_parse_address(
    struct argp_state *state, struct settings_addr *out, const char *s)
{
	if (settings_addr_parse(out, s) == -1)
		argp_error(state,
		    "\"%s\" is not an address; write a numeric IP and a port, "
		    "for instance 10.0.0.1:8081",
		    s);
}

struct text *
cli_read_text(const char *file, int *code)
{
	struct text_errors errors = {0};
	struct err e = {0};
	struct text *t;
	char *source;
	size_t len, i;

	source = settings_read_file(file, TEXT_MAX_BYTES, &len, &e);
	if (source == NULL) {
		cli_error(&e);
		*code = CLI_USAGE;
		return NULL;
	}
	t = text_parse(source, len, &errors);
	for (i = 0; i < errors.count; i++)
		printf("%s:%d: %s; remedy: %s\n", file, errors.list[i].line,
		    errors.list[i].message, errors.list[i].remedy);
	text_errors_uninit(&errors);
	free(source);
	*code = t != NULL ? CLI_OK : CLI_REFUSED;
	return t;
}

static struct json_object *
parse_answer(const struct answer *a, struct err *e)
{
	struct json_object *o = NULL;
	struct json_tokener *tok;

	tok = json_tokener_new();
	if (tok != NULL && a->body != NULL)
		o = json_tokener_parse_ex(
		    tok, (const char *)a->body->data, (int)a->body->len);
	json_tokener_free(tok);
	if (o == NULL)
		err_set(e, ERR_PROTOCOL, 0,
		    "check that the address is the admin address of a daemon "
		    "or the platform's",
		    "the answer is not valid JSON");
	return o;
}

struct json_object *
cli_call_json(const struct settings_addr *to, const struct cli_call *call,
    enum http_outcome *outcome, int *status, struct err *e)
{
	struct headers headers = {0};
	struct http_call_opts opts = {.addr = to->addr,
	    .port = to->port,
	    .method = call->method,
	    .path = call->path,
	    .headers = &headers,
	    .timeout_ms = call->timeout_ms,
	    .answer_body_max_bytes = ANSWER_SIZE_MAX_BYTES};
	struct answer *answer = NULL;
	struct json_object *o = NULL;

	*status = 0;
	if (call->body != NULL) {
		headers_add(&headers, "content-type", "application/json");
		opts.body = buf_from(call->body, strlen(call->body));
	}
	if (http_sync(&opts, &answer, outcome, e) == 0) {
		*status = answer->status;
		if (answer->status == 200)
			o = parse_answer(answer, e);
		else
			err_set(e, ERR_IO, 0, "try again later",
			    "%s:%d answered %d to %s %s", to->addr, to->port,
			    answer->status, call->method, call->path);
	}
	answer_unref(answer);
	buf_unref(opts.body);
	headers_uninit(&headers);
	return o;
}

struct json_object *
cli_get(struct json_object *o, const char *key)
{
	struct json_object *v = NULL;

	if (json_object_is_type(o, json_type_object))
		json_object_object_get_ex(o, key, &v);
	return v;
}

const char *
cli_get_string(struct json_object *o, const char *key)
{
	struct json_object *v = cli_get(o, key);

	return v != NULL ? json_object_get_string(v) : "";
}

uint64_t
cli_get_u64(struct json_object *o, const char *key)
{
	struct json_object *v = cli_get(o, key);

	return v != NULL ? json_object_get_uint64(v) : 0;
}
