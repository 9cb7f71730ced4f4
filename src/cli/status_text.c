#include "status_text.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

#include "cli.h"

#define VERDICTS_SHOWN 5

static size_t
list_length(struct json_object *list)
{
	if (!json_object_is_type(list, json_type_array))
		return 0;
	return json_object_array_length(list);
}

static struct json_object *
list_get(struct json_object *list, size_t i)
{
	return json_object_array_get_idx(list, i);
}

static bool
get_flag(struct json_object *o, const char *key)
{
	return json_object_get_boolean(cli_get(o, key));
}

static double
get_percent(struct json_object *o, const char *key)
{
	return (double)cli_get_u64(o, key) / 10000;
}

static unsigned
alarm_services(struct json_object *status, FILE *out)
{
	struct json_object *list = cli_get(status, "services"), *o;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		if (get_flag(o, "budget_held"))
			continue;
		n++;
		fprintf(out,
		    "ALARM service %s: %.1f%% of its VMs are available, "
		    "%.1f%% are promised\n",
		    cli_get_string(o, "name"), get_percent(o, "available_ppm"),
		    get_percent(o, "availability_ppm"));
	}
	return n;
}

static unsigned
alarm_daemons(struct json_object *status, FILE *out)
{
	struct json_object *list = cli_get(status, "daemons"), *o;
	uint64_t version = cli_get_u64(status, "config_version");
	const char *state;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		state = cli_get_string(o, "state");
		if (strcmp(state, "suspect") == 0 ||
		    strcmp(state, "dead") == 0) {
			n++;
			fprintf(out, "ALARM daemon %s is %s\n",
			    cli_get_string(o, "name"), state);
		} else if (strcmp(state, "alive") == 0 &&
		    cli_get_u64(o, "config_version") != version) {
			n++;
			fprintf(out,
			    "ALARM daemon %s runs version %" PRIu64
			    ", this one %" PRIu64 "\n",
			    cli_get_string(o, "name"),
			    cli_get_u64(o, "config_version"), version);
		}
	}
	return n;
}

static unsigned
alarm_pools(struct json_object *status, FILE *out)
{
	struct json_object *list = cli_get(status, "pools"), *o;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		if (cli_get_u64(o, "lost") == 0)
			continue;
		n++;
		fprintf(out, "ALARM pool %s: %" PRIu64 " VMs are lost\n",
		    cli_get_string(o, "name"), cli_get_u64(o, "lost"));
	}
	return n;
}

unsigned
status_text_alarms(struct json_object *status, FILE *out)
{
	struct json_object *unknown = cli_get(status, "unknown_records");
	unsigned n = 0;

	if (get_flag(status, "log_down")) {
		n++;
		fprintf(out,
		    "ALARM the platform's log cannot be read: texts, "
		    "moves and claims wait\n");
	}
	n += alarm_services(status, out);
	n += alarm_daemons(status, out);
	n += alarm_pools(status, out);
	if (json_object_is_type(unknown, json_type_object) &&
	    json_object_object_length(unknown) > 0) {
		n++;
		fprintf(out,
		    "ALARM records of kinds that this binary does not know: "
		    "%s; upgrade this daemon\n",
		    json_object_to_json_string(unknown));
	}
	return n;
}

static void
print_services(struct json_object *list, FILE *out)
{
	struct json_object *o;
	size_t i;

	fprintf(out, "\n%-24s %-20s %9s %10s\n", "service", "pool", "promised",
	    "available");
	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		fprintf(out, "%-24s %-20s %8.1f%% %9.1f%%\n",
		    cli_get_string(o, "name"), cli_get_string(o, "pool"),
		    get_percent(o, "availability_ppm"),
		    get_percent(o, "available_ppm"));
	}
}

static void
print_pools(struct json_object *list, FILE *out)
{
	struct json_object *o;
	size_t i;

	fprintf(out, "\n%-24s %5s %8s %8s %5s %5s %13s\n", "pool", "VMs",
	    "serving", "leaving", "out", "lost", "demand, slots");
	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		fprintf(out,
		    "%-24s %5" PRIu64 " %8" PRIu64 " %8" PRIu64 " %5" PRIu64
		    " %5" PRIu64 " %13.1f%s\n",
		    cli_get_string(o, "name"), cli_get_u64(o, "vms"),
		    cli_get_u64(o, "serving"), cli_get_u64(o, "leaving"),
		    cli_get_u64(o, "out"), cli_get_u64(o, "lost"),
		    (double)cli_get_u64(o, "demand_ppm_slots") / 1e6,
		    get_flag(o, "spare") ? "  (spare)" : "");
	}
}

static void
print_daemons(struct json_object *list, FILE *out)
{
	struct json_object *o;
	size_t i;

	fprintf(out, "\n%-24s %-20s %-9s %8s %12s\n", "daemon", "data centre",
	    "state", "version", "next offset");
	for (i = 0; i < list_length(list); i++) {
		o = list_get(list, i);
		fprintf(out, "%-24s %-20s %-9s %8" PRIu64 " %12" PRIu64 "\n",
		    cli_get_string(o, "name"), cli_get_string(o, "data_centre"),
		    cli_get_string(o, "state"),
		    cli_get_u64(o, "config_version"),
		    cli_get_u64(o, "fold_next"));
	}
}

static void
print_leaving(struct json_object *list, FILE *out)
{
	size_t i;

	fprintf(out, "\nleaving:");
	if (list_length(list) == 0)
		fprintf(out, " none");
	for (i = 0; i < list_length(list); i++)
		fprintf(out, " %s", json_object_get_string(list_get(list, i)));
	fprintf(out, "\n");
}

static void
print_verdicts(struct json_object *list, FILE *out)
{
	struct json_object *o;
	size_t i;

	fprintf(out, "\nlast published texts:\n");
	for (i = 0; i < list_length(list) && i < VERDICTS_SHOWN; i++) {
		o = list_get(list, i);
		fprintf(out,
		    "  record %016" PRIx64 "-%016" PRIx64 "-%" PRIu64 ": ",
		    cli_get_u64(o, "process"), cli_get_u64(o, "incarnation"),
		    cli_get_u64(o, "seq"));
		if (get_flag(o, "admitted"))
			fprintf(out, "admitted, version %" PRIu64 "\n",
			    cli_get_u64(o, "offset"));
		else
			fprintf(out, "refused at offset %" PRIu64 ": %s\n",
			    cli_get_u64(o, "offset"),
			    cli_get_string(o, "reason"));
	}
}

void
status_text_print(struct json_object *status, FILE *out)
{
	const char *state = "starting";

	if (get_flag(status, "stopping"))
		state = "stopping";
	else if (get_flag(status, "ready"))
		state = "ready";
	fprintf(out,
	    "deployment %s, version %" PRIu64
	    ", as daemon %s in %s knows it (%s)\n",
	    cli_get_string(status, "deployment"),
	    cli_get_u64(status, "config_version"),
	    cli_get_string(status, "name"),
	    cli_get_string(status, "data_centre"), state);
	if (status_text_alarms(status, out) == 0)
		fprintf(out, "no alarms\n");
	print_services(cli_get(status, "services"), out);
	print_pools(cli_get(status, "pools"), out);
	print_daemons(cli_get(status, "daemons"), out);
	print_leaving(cli_get(status, "leaving"), out);
	print_verdicts(cli_get(status, "verdicts"), out);
}
