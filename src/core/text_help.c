/* Descriptions of a key table, for --help and docs/CONFIG.md. */
#include "text_keys.h"

#include <inttypes.h>

static const char *
type_name(const struct key *k)
{
	switch (k->type) {
	case KEY_NAME:
		return "name";
	case KEY_PATH:
		return "path";
	case KEY_INT:
	case KEY_INT64:
		return "number";
	case KEY_SHARE:
		return "share";
	case KEY_BOOL:
		return "true or false";
	case KEY_CHOICE:
		return "choice";
	case KEY_OBJECT:
		return "object";
	case KEY_OBJECTS:
		return "list of objects";
	case KEY_NAMES:
		return "list of names";
	case KEY_CUSTOM:
		return "as stated";
	}
	return "";
}

static void
print_limits(const struct key *k, FILE *out)
{
	size_t i;

	switch (k->type) {
	case KEY_INT:
	case KEY_INT64:
		if (k->max == INT64_MAX)
			fprintf(out, "from %" PRId64, k->min);
		else
			fprintf(out, "%" PRId64 " to %" PRId64, k->min, k->max);
		break;
	case KEY_SHARE:
		fprintf(out, "%g to %g", (double)k->min / TEXT_PPM,
		    (double)k->max / TEXT_PPM);
		break;
	case KEY_CHOICE:
		for (i = 0; k->choices[i] != NULL; i++)
			fprintf(out, "%s%s", i > 0 ? ", " : "", k->choices[i]);
		break;
	case KEY_OBJECTS:
	case KEY_NAMES:
		fprintf(
		    out, "%" PRId64 " to %" PRId64 " entries", k->min, k->max);
		break;
	case KEY_NAME:
	case KEY_PATH:
		fprintf(out, "up to %d characters", NAME_BYTES - 1);
		break;
	case KEY_BOOL:
	case KEY_OBJECT:
	case KEY_CUSTOM:
		fprintf(out, "-");
		break;
	}
}

static void
print_default(const struct key *k, FILE *out)
{
	if (k->required) {
		fprintf(out, "required");
		return;
	}
	switch (k->type) {
	case KEY_INT:
	case KEY_INT64:
		fprintf(out, "%" PRId64, k->default_value);
		break;
	case KEY_SHARE:
		fprintf(out, "%g", (double)k->default_value / TEXT_PPM);
		break;
	case KEY_BOOL:
		fprintf(out, "%s", k->default_value ? "true" : "false");
		break;
	case KEY_CHOICE:
		fprintf(out, "%s", k->choices[k->default_value]);
		break;
	case KEY_NAME:
	case KEY_PATH:
	case KEY_OBJECT:
	case KEY_OBJECTS:
	case KEY_NAMES:
	case KEY_CUSTOM:
		fprintf(out, "%s", k->default_text ? k->default_text : "none");
		break;
	}
}

void
keys_write_markdown(const struct key_table *t, const char *title, FILE *out)
{
	const struct key *k;

	fprintf(out, "### %s\n\n", title);
	fprintf(out, "| key | type | limits | default | meaning |\n");
	fprintf(out, "| --- | --- | --- | --- | --- |\n");
	for (k = t->keys; k < t->keys + t->count; k++) {
		fprintf(out, "| `%s` | %s | ", k->name, type_name(k));
		print_limits(k, out);
		fprintf(out, " | ");
		print_default(k, out);
		fprintf(out, " | %s |\n", k->help);
	}
	fprintf(out, "\n");
	for (k = t->keys; k < t->keys + t->count; k++) {
		if (k->table != NULL)
			keys_write_markdown(k->table, k->name, out);
	}
}

void
keys_write_help(const struct key_table *t, FILE *out)
{
	const struct key *k;

	for (k = t->keys; k < t->keys + t->count; k++) {
		fprintf(out, "  %-20s %s\n", k->name, k->help);
		fprintf(out, "  %-20s (%s; ", "", type_name(k));
		print_limits(k, out);
		fprintf(out, "; default: ");
		print_default(k, out);
		fprintf(out, ")\n");
	}
}
