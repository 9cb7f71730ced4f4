#include "settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "text_keys.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SETTINGS_MAX_BYTES (256 * 1024)
#define PATH_BYTES 512
#define PORT_MAX 65535

static const char *const log_levels[] = {"error", "warn", "info", "debug"};

static bool
is_numeric_ip(const char *s)
{
	unsigned char bytes[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, s, bytes) == 1 ||
	    inet_pton(AF_INET6, s, bytes) == 1;
}

int
settings_addr_parse(struct settings_addr *out, const char *s)
{
	const char *colon = strrchr(s, ':');
	char *end;
	size_t len;
	long port;

	if (colon == NULL || colon == s)
		return -1;
	len = (size_t)(colon - s);
	if (s[0] == '[' && s[len - 1] == ']') {
		s++;
		len -= 2;
	}
	if (len >= sizeof(out->addr))
		return -1;
	memcpy(out->addr, s, len);
	out->addr[len] = '\0';
	if (!isdigit((unsigned char)colon[1]) || !is_numeric_ip(out->addr))
		return -1;
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > PORT_MAX)
		return -1;
	out->port = (int)port;
	return 0;
}

static void
read_addr(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path, void *field)
{
	struct settings_addr a;

	if (!json_object_is_type(v, json_type_string) ||
	    settings_addr_parse(&a, json_object_get_string(v)) == -1) {
		keys_error(r, ERR_RANGE, path,
		    "write \"10.0.0.1:8080\": a numeric IP and a port of 1 "
		    "to 65535",
		    "\"%s\" is %.60s, not an address", k->name,
		    json_object_to_json_string(v));
		return;
	}
	*(struct settings_addr *)field = a;
}

static size_t
list_length(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path)
{
	size_t n;

	if (!json_object_is_type(v, json_type_array)) {
		keys_error(r, ERR_TYPE, path, "write a list: [ … ]",
		    "\"%s\" is not a list", k->name);
		return 0;
	}
	n = json_object_array_length(v);
	if (n <= SETTINGS_LIST_MAX)
		return n;
	keys_error(r, ERR_LIMIT, path, "list at most 64 entries",
	    "\"%s\" has %zu entries, more than the limit", k->name, n);
	return 0;
}

static void
read_peers(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path, void *field)
{
	struct settings *s = field;
	size_t n = list_length(r, k, v, path), i;
	char entry[PATH_BYTES];

	for (i = 0; i < n; i++) {
		snprintf(entry, sizeof(entry), "%.400s/%zu", path, i);
		read_addr(
		    r, k, json_object_array_get_idx(v, i), entry, &s->peers[i]);
	}
	s->peer_count = n;
}

static bool
is_header_name(const char *s)
{
	if (*s == '\0')
		return false;
	for (; *s != '\0'; s++) {
		if (!islower((unsigned char)*s) &&
		    !isdigit((unsigned char)*s) && *s != '-' && *s != '_')
			return false;
	}
	return true;
}

static void
read_header_names(struct key_reader *r, const struct key *k,
    struct json_object *v, const char *path, void *field)
{
	struct settings *s = field;
	size_t n = list_length(r, k, v, path), i;
	char entry[PATH_BYTES];
	struct json_object *o;

	for (i = 0; i < n; i++) {
		snprintf(entry, sizeof(entry), "%.400s/%zu", path, i);
		o = json_object_array_get_idx(v, i);
		if (!json_object_is_type(o, json_type_string) ||
		    !is_header_name(json_object_get_string(o))) {
			keys_error(r, ERR_RANGE, entry,
			    "write the header's name in lower case",
			    "%.60s is not a lower-case header name",
			    json_object_to_json_string(o));
			continue;
		}
		s->forward_headers[s->forward_header_count] =
		    strdup(json_object_get_string(o));
		if (s->forward_headers[s->forward_header_count] != NULL)
			s->forward_header_count++;
	}
}

static void
read_log_level(struct key_reader *r, const struct key *k, struct json_object *v,
    const char *path, void *field)
{
	const char *level = json_object_get_string(v);
	size_t i;

	(void)k;
	for (i = 0; level != NULL && i < COUNT(log_levels); i++) {
		if (strcmp(level, log_levels[i]) == 0) {
			snprintf(field,
			    sizeof(((struct settings *)0)->log_level), "%s",
			    level);
			return;
		}
	}
	keys_error(r, ERR_RANGE, path,
	    "use one of: \"error\" \"warn\" \"info\" \"debug\"",
	    "\"log_level\" is %.60s, not a log level",
	    json_object_to_json_string(v));
}

#define AT(field) .offset = offsetof(struct settings, field)

static const struct key settings_keys[] = {
    {"name", KEY_NAME, .required = true, .min = 1, AT(name),
	.help = "name of this daemon, unique among all daemons"},
    {"data_centre", KEY_NAME, .required = true, .min = 1, AT(data_centre),
	.help = "data centre that this VM is in"},
    {"listen", KEY_CUSTOM, .required = true, .read = read_addr, AT(listen),
	.help = "address for callers, \"IP:PORT\""},
    {"admin", KEY_CUSTOM, .required = true, .read = read_addr, AT(admin),
	.help = "address for operators, \"IP:PORT\""},
    {"peer", KEY_CUSTOM, .required = true, .read = read_addr, AT(peer),
	.help = "address for other daemons, \"IP:PORT\""},
    {"peers", KEY_CUSTOM, .read = read_peers, .default_text = "[]",
	.help = "addresses of daemons to dial first, [\"IP:PORT\", …]"},
    {"platform", KEY_CUSTOM, .required = true, .read = read_addr, AT(platform),
	.help = "address of the platform's service, \"IP:PORT\""},
    {"log_level", KEY_CUSTOM, .read = read_log_level, AT(log_level),
	.default_text = "info", .help = "error, warn, info or debug"},
    {"forward_headers", KEY_CUSTOM, .read = read_header_names,
	.default_text = "[\"content-type\", \"accept\"]",
	.help = "callers' headers handed on to upstreams, in lower case"},
    {"body_max_bytes", KEY_INT, .min = 0, .max = BODY_MAX_BYTES,
	.default_value = BODY_MAX_BYTES, AT(body_max_bytes),
	.help = "largest body of a request; 413 above"},
    {"callers_max", KEY_INT, .min = 1, .max = 100000, .default_value = 4000,
	AT(callers_max), .help = "open connections of callers"},
    {"platform_timeout_ms", KEY_INT, .min = 10, .max = 600000,
	.default_value = 2000, AT(platform_timeout_ms),
	.help = "milliseconds until a platform request is given up"},
    {"log_wait_ms", KEY_INT, .min = 0, .max = 60000, .default_value = 1000,
	AT(log_wait_ms), .help = "milliseconds that a log read may wait"},
    {"vm_list_poll_ms", KEY_INT, .min = 10, .max = 600000, .default_value = 500,
	AT(vm_list_poll_ms),
	.help = "milliseconds between reads of the VM list"},
    {"tick_ms", KEY_INT, .min = 1, .max = 100, .default_value = 20, AT(tick_ms),
	.help = "milliseconds between timer events"},
    {"stop_linger_ms", KEY_INT, .min = 0, .max = 60000, .default_value = 2000,
	AT(stop_linger_ms),
	.help = "milliseconds that a stopped daemon still refuses callers, "
		"longer than the balancer's health interval"},
};
static const struct key_table settings_table = {"the settings", settings_keys,
    COUNT(settings_keys), sizeof(struct settings)};

static void
set_list_defaults(struct settings *s)
{
	static const char *const headers[] = {"content-type", "accept"};
	size_t i;

	for (i = 0; i < COUNT(headers); i++) {
		s->forward_headers[i] = strdup(headers[i]);
		if (s->forward_headers[i] != NULL)
			s->forward_header_count++;
	}
}

/* Errors are not sorted by line; returns the one with the lowest line. */
static int
first_error(const struct text_errors *errors, struct err *e)
{
	const struct err *first = &errors->list[0];
	size_t i;

	for (i = 1; i < errors->count; i++) {
		if (errors->list[i].line < first->line)
			first = &errors->list[i];
	}
	return err_set(
	    e, first->kind, first->line, first->remedy, "%s", first->message);
}

int
settings_parse(
    struct settings *s, const char *source, size_t len, struct err *e)
{
	struct text_errors errors = {0};
	struct key_reader r = {.errors = &errors};
	struct text_lines *lines = NULL;
	struct json_object *root;
	int ret = 0;

	memset(s, 0, sizeof(*s));
	root = keys_parse(source, len, SETTINGS_MAX_BYTES, &errors, &lines);
	if (root != NULL) {
		r.lines = lines;
		keys_set_defaults(&settings_table, s);
		if (!json_object_object_get_ex(root, "forward_headers", NULL))
			set_list_defaults(s);
		snprintf(s->log_level, sizeof(s->log_level), "info");
		keys_read(&r, &settings_table, root, "", s);
	}
	if (errors.count > 0) {
		ret = first_error(&errors, e);
		settings_uninit(s);
	} else if (root == NULL)
		ret = err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the settings");
	text_lines_free(lines);
	json_object_put(root);
	text_errors_uninit(&errors);
	return ret;
}

char *
settings_read_file(const char *file, size_t max, size_t *len, struct err *e)
{
	char *data = NULL;
	FILE *f;

	f = fopen(file, "rb");
	if (f == NULL) {
		err_set(e, ERR_IO, 0, "check the path and its permissions",
		    "%.120s: %s", file, strerror(errno));
		return NULL;
	}
	data = malloc(max + 2);
	if (data == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for %zu bytes", max);
		goto out;
	}
	*len = fread(data, 1, max + 1, f);
	data[*len] = '\0';
	if (ferror(f)) {
		err_set(e, ERR_IO, 0, "name a regular file", "%.120s: %s", file,
		    strerror(errno));
		free(data);
		data = NULL;
	}
out:
	fclose(f);
	return data;
}

int
settings_load(struct settings *s, const char *file, struct err *e)
{
	size_t len;
	char *source = settings_read_file(file, SETTINGS_MAX_BYTES, &len, e);
	int ret;

	memset(s, 0, sizeof(*s));
	if (source == NULL)
		return -1;
	ret = settings_parse(s, source, len, e);
	free(source);
	return ret;
}

void
settings_uninit(struct settings *s)
{
	size_t i;

	for (i = 0; i < s->forward_header_count; i++)
		free(s->forward_headers[i]);
	s->forward_header_count = 0;
}

void
settings_help(FILE *out)
{
	keys_write_help(&settings_table, out);
}

void
settings_document(FILE *out)
{
	keys_write_markdown(&settings_table, "settings", out);
}
