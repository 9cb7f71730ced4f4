#include "publish.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include <libwebsockets.h>
#include <xxhash.h>

#include "bounds.h"
#include "cli.h"
#include "clock.h"

#define APPEND_ATTEMPTS_MAX 8
#define CALL_TIMEOUT_MS 2000
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 2000
#define POLL_MS 100
#define WAIT_DEFAULT_S 30

enum append_state {
	APPENDED, /* confirmed by the platform */
	NOT_APPENDED, /* every attempt was refused or never sent */
	MAYBE_APPENDED /* an answer was lost */
};

struct publish {
	const char *file;
	struct settings_addr platform, daemon;
	bool have_platform, have_daemon, have_base;
	uint64_t base;
	int wait_s;
	struct record_id id;
	int64_t deadline_ms;
};

static int64_t
clock_ms(void)
{
	return clock_read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

static void
sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (ms % 1000) * 1000000L};

	nanosleep(&t, NULL);
}

static struct json_object *
query_daemon(const struct publish *p, const char *path, struct err *e)
{
	const struct cli_call call = {"GET", path, NULL, CALL_TIMEOUT_MS};
	enum http_outcome outcome;
	int status;

	return cli_call_json(&p->daemon, &call, &outcome, &status, e);
}

static struct json_object *
get_status(const struct publish *p, struct err *e)
{
	return query_daemon(p, "/status", e);
}

/* Encodes the JSON body of an append, with the record in base64. */
static char *
append_body(const struct buf *record)
{
	size_t cap = record->len * 4 / 3 + 8;
	char *data = malloc(cap), *body = malloc(cap + 16);

	if (data == NULL || body == NULL ||
	    lws_b64_encode_string((const char *)record->data, (int)record->len,
		data, (int)cap) < 0) {
		free(data);
		free(body);
		return NULL;
	}
	snprintf(body, cap + 16, "{\"data\":\"%s\"}", data);
	free(data);
	return body;
}

/*
 * Appends the record, with retries. Each attempt sends the same record: the
 * fold ignores a second record with the same id.
 */
static enum append_state
append_with_retries(
    const struct publish *p, const char *body, uint64_t *offset, struct err *e)
{
	const struct cli_call call = {
	    "POST", "/log/control", body, CALL_TIMEOUT_MS};
	enum append_state state = NOT_APPENDED;
	int backoff = BACKOFF_FIRST_MS, status, attempt;
	struct json_object *o;
	enum http_outcome outcome;

	for (attempt = 0; attempt < APPEND_ATTEMPTS_MAX; attempt++) {
		o = cli_call_json(&p->platform, &call, &outcome, &status, e);
		if (o != NULL) {
			*offset = cli_get_u64(o, "offset");
			json_object_put(o);
			return APPENDED;
		}
		if (status == 200 || (status == 0 && outcome != HTTP_UNSENT))
			state = MAYBE_APPENDED;
		fprintf(stderr, "attempt %d of %d failed: %s\n", attempt + 1,
		    APPEND_ATTEMPTS_MAX, e->message);
		sleep_ms(backoff);
		backoff =
		    backoff * 2 < BACKOFF_MAX_MS ? backoff * 2 : BACKOFF_MAX_MS;
	}
	return state;
}

static struct json_object *
find_verdict(const struct publish *p, struct json_object *status)
{
	struct json_object *list = cli_get(status, "verdicts"), *v;
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return NULL;
	for (i = 0; i < json_object_array_length(list); i++) {
		v = json_object_array_get_idx(list, i);
		if (cli_get_u64(v, "process") == p->id.process &&
		    cli_get_u64(v, "incarnation") == p->id.incarnation &&
		    cli_get_u64(v, "seq") == p->id.seq)
			return json_object_get(v);
	}
	return NULL;
}

static struct json_object *
wait_verdict(const struct publish *p, struct err *e)
{
	struct json_object *status, *v;

	for (;;) {
		status = get_status(p, e);
		v = status != NULL ? find_verdict(p, status) : NULL;
		json_object_put(status);
		if (v != NULL || clock_ms() >= p->deadline_ms)
			return v;
		sleep_ms(POLL_MS);
	}
}

/* Counts the live daemons, and those that run the version or a later one. */
static void
count_daemons(struct json_object *status, uint64_t version, size_t *live,
    size_t *in_force)
{
	struct json_object *list = cli_get(status, "daemons"), *d;
	size_t i;

	*live = *in_force = 0;
	if (!json_object_is_type(list, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(list); i++) {
		d = json_object_array_get_idx(list, i);
		if (strcmp(cli_get_string(d, "state"), "alive") != 0)
			continue;
		*live += 1;
		*in_force += cli_get_u64(d, "config_version") >= version;
	}
}

static void
wait_in_force(const struct publish *p, uint64_t version)
{
	struct json_object *status;
	struct err e = {0};
	size_t live = 0, in_force = 0;

	for (;;) {
		status = get_status(p, &e);
		if (status != NULL)
			count_daemons(status, version, &live, &in_force);
		json_object_put(status);
		if ((live > 0 && in_force == live) ||
		    clock_ms() >= p->deadline_ms)
			break;
		sleep_ms(POLL_MS);
	}
	printf("in force on %zu of %zu daemons\n", in_force, live);
	if (in_force < live)
		printf("the others take it as soon as they reach the log or "
		       "a peer; see \"mimosalead status\"\n");
}

static int
report_verdict(const struct publish *p, struct json_object *v)
{
	uint64_t version = cli_get_u64(v, "offset");

	if (!json_object_get_boolean(cli_get(v, "admitted"))) {
		printf("refused: %s\n", cli_get_string(v, "reason"));
		printf("read the text in force, merge your change and publish "
		       "again\n");
		return CLI_REFUSED;
	}
	printf("admitted: version %" PRIu64 "\n", version);
	wait_in_force(p, version);
	return CLI_OK;
}

static int
report_unknown(const struct publish *p)
{
	printf("unknown: no verdict for record %016" PRIx64 "-%016" PRIx64
	       "-%" PRIu64 "\n",
	    p->id.process, p->id.incarnation, p->id.seq);
	printf("look for it with \"mimosalead status\"; publishing again with "
	       "--base %" PRIu64 " is harmless: at most one is admitted\n",
	    p->base);
	return CLI_UNKNOWN;
}

static int
publish_record(const struct publish *p, const struct buf *record)
{
	char *body = append_body(record);
	struct json_object *v;
	struct err e = {0};
	uint64_t offset = 0;
	enum append_state state;
	int code;

	if (body == NULL)
		return CLI_UNREACHABLE;
	state = append_with_retries(p, body, &offset, &e);
	free(body);
	if (state == NOT_APPENDED) {
		cli_error(&e);
		printf("not published: the platform did not take the record\n");
		return CLI_UNREACHABLE;
	}
	if (state == APPENDED)
		printf("appended at offset %" PRIu64 "\n", offset);
	v = wait_verdict(p, &e);
	code = v != NULL ? report_verdict(p, v) : report_unknown(p);
	json_object_put(v);
	return code;
}

/*
 * Publishes over the base version. If the daemon has the base text in force,
 * only the change to it is sent.
 */
static int
publish_text(struct publish *p, const struct text *t)
{
	struct json_object *in_force;
	const char *base_text = NULL;
	struct buf *record;
	struct err e = {0};
	int code;

	in_force = query_daemon(p, "/text", &e);
	if (in_force == NULL && !p->have_base) {
		cli_error(&e);
		return CLI_UNREACHABLE;
	}
	if (!p->have_base)
		p->base = cli_get_u64(in_force, "version");
	if (p->base != 0 && cli_get_u64(in_force, "version") == p->base)
		base_text = cli_get_string(in_force, "text");
	record = publish_encode(&p->id, p->base, base_text, t, &e);
	json_object_put(in_force);
	if (record == NULL) {
		cli_error(&e);
		return CLI_REFUSED;
	}
	code = publish_record(p, record);
	buf_unref(record);
	return code;
}

static void
parse_number(
    struct argp_state *state, const char *what, const char *arg, uint64_t *out)
{
	char *end;

	*out = strtoull(arg, &end, 10);
	if (*arg < '0' || *arg > '9' || *end != '\0')
		argp_error(state, "%s takes a whole number", what);
}

static error_t
publish_option(int key, char *arg, struct argp_state *state)
{
	struct publish *p = state->input;
	uint64_t n;

	switch (key) {
	case 'p':
		cli_parse_address(state, &p->platform, arg);
		p->have_platform = true;
		return 0;
	case 'd':
		cli_parse_address(state, &p->daemon, arg);
		p->have_daemon = true;
		return 0;
	case 'b':
		parse_number(state, "--base", arg, &p->base);
		p->have_base = true;
		return 0;
	case 'w':
		parse_number(state, "--wait", arg, &n);
		p->wait_s = n > 3600 ? 3600 : (int)n;
		return 0;
	case ARGP_KEY_ARG:
		if (p->file != NULL)
			argp_usage(state);
		p->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (p->file == NULL || !p->have_platform || !p->have_daemon)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
cli_publish(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"platform", 'p', "IP:PORT", 0, "The platform's service", 0},
	    {"daemon", 'd', "IP:PORT", 0, "Admin address of a daemon", 0},
	    {"base", 'b', "VERSION", 0,
		"Version that the text was based on (default: in force)", 0},
	    {"wait", 'w', "SECONDS", 0, "Wait for the verdict (default: 30)",
		0},
	    {0}};
	static const struct argp argp = {.options = options,
	    .parser = publish_option,
	    .args_doc = "FILE",
	    .doc =
		"Checks a text, publishes it, and waits for the verdict and "
		"until it is in force.\vExit codes: 0 admitted and in force, "
		"1 refused or bad text, 2 usage, 3 unknown (it may have "
		"been admitted), 4 no answer, nothing changed."};
	struct publish p = {.wait_s = WAIT_DEFAULT_S, .id = {.seq = 1}};
	struct text *t;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &p);
	t = cli_read_text(p.file, &code);
	if (t == NULL)
		return code;
	p.id.process = XXH64("operator", strlen("operator"), 0);
	if (getrandom(&p.id.incarnation, sizeof(p.id.incarnation), 0) !=
	    sizeof(p.id.incarnation)) {
		fprintf(stderr, "error: no random number; remedy: try again\n");
		text_unref(t);
		return CLI_UNREACHABLE;
	}
	p.deadline_ms = clock_ms() + p.wait_s * MS_PER_S;
	code = publish_text(&p, t);
	text_unref(t);
	return code;
}
