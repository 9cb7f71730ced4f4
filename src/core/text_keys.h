/*
 * Tables of the keys of a JSON object.  One table drives reading, checks,
 * defaults, help and the reference page, for the operators' text and for a
 * daemon's own settings alike.
 */
#ifndef TEXT_KEYS_H
#define TEXT_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <json-c/json.h>

#include "errors.h"
#include "text.h"
#include "text_lines.h"

enum key_type {
	KEY_NAME, /* char[NAME_BYTES]: letters, digits, '.', '_', '-' */
	KEY_PATH, /* char[NAME_BYTES]: URL path prefix, or "" where allowed */
	KEY_INT, /* int */
	KEY_INT64, /* int64_t */
	KEY_SHARE, /* int in parts per million, written 0 to 1 */
	KEY_BOOL, /* bool */
	KEY_CHOICE, /* an enum: index into "choices" */
	KEY_OBJECT, /* a struct described by "table" */
	KEY_OBJECTS, /* pointer to structs and their size_t count */
	KEY_NAMES, /* char ** of names and their size_t count */
	KEY_CUSTOM /* read by "read" */
};

struct key_reader;
struct key_table;

struct key {
	const char *name;
	enum key_type type;
	bool required;
	int64_t min, max; /* numbers; shares in ppm; lists: entries */
	int64_t default_value; /* default of numbers, shares, bools, choices */
	const char *default_text; /* default of names; shown for others */
	size_t offset;
	size_t count_offset; /* of lists */
	const struct key_table *table;
	const char *const *choices; /* NULL-terminated */
	void (*read)(struct key_reader *r, const struct key *k,
	    struct json_object *v, const char *path, void *field);
	const char *help;
};

struct key_table {
	const char *description; /* "a service" */
	const struct key *keys;
	size_t count;
	size_t size; /* of the struct */
};

struct key_reader {
	const struct text_lines *lines;
	struct text_errors *errors;
};

/* Adds an error with the line of "path". */
void keys_error(struct key_reader *r, enum err_kind kind, const char *path,
    const char *remedy, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void text_errors_add(struct text_errors *errors, const struct err *e);

/* Sets every default. */
void keys_set_defaults(const struct key_table *t, void *out);
/* Reads an object over the defaults; every fault becomes an error. */
void keys_read(struct key_reader *r, const struct key_table *t,
    struct json_object *o, const char *path, void *out);
/* Frees the lists below "out". */
void keys_free(const struct key_table *t, void *out);
/* Entry of "names" nearest to "name" by edit distance, NULL where none is. */
const char *keys_find_nearest(
    const char *name, const char *const *names, size_t count);

/*
 * Parses JSON with comments.  Returns NULL with one or more errors added for
 * what is not well-formed, a root that is no object, and keys that stand
 * twice.  *lines is set on success only.
 */
struct json_object *keys_parse(const char *source, size_t len, size_t max_bytes,
    struct text_errors *errors, struct text_lines **lines);

/* Writes the table, and those below it, as Markdown. */
void keys_write_markdown(
    const struct key_table *t, const char *title, FILE *out);
/* Writes the table for --help. */
void keys_write_help(const struct key_table *t, FILE *out);

#endif
