/*
 * Tables that describe the keys of a JSON object.  Parsing, checks, defaults,
 * --help and the reference page are all derived from the same table, both for
 * the operators' text and for a daemon's settings.
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
	KEY_PATH, /* char[NAME_BYTES]: URL path prefix; "" if min is 0 */
	KEY_INT, /* int */
	KEY_INT64, /* int64_t */
	KEY_SHARE, /* int in parts per million; 0 to 1 in the text */
	KEY_BOOL, /* bool */
	KEY_CHOICE, /* enum: index into "choices" */
	KEY_OBJECT, /* struct described by "table" */
	KEY_OBJECTS, /* array of such structs, and its size_t count */
	KEY_NAMES, /* char ** of names, and its size_t count */
	KEY_CUSTOM /* parsed by read() */
};

struct key_reader;
struct key_table;

struct key {
	const char *name;
	enum key_type type;
	bool required;
	/* Numbers: value.  Shares: ppm.  Lists: entries.  Names: length. */
	int64_t min, max;
	int64_t default_value; /* default of numbers, shares, bools, choices */
	const char *default_text; /* default of names; shown only for others */
	size_t offset; /* of the field in the struct */
	size_t count_offset; /* of a list's count */
	const struct key_table *table; /* of objects */
	const char *const *choices; /* NULL-terminated */
	void (*read)(struct key_reader *r, const struct key *k,
	    struct json_object *v, const char *path, void *field);
	const char *help;
};

struct key_table {
	const char *description; /* for errors, with article: "a service" */
	const struct key *keys;
	size_t count;
	size_t size; /* of the struct */
};

/* Context of keys_read(): positions of values, and the errors found. */
struct key_reader {
	const struct text_lines *lines;
	struct text_errors *errors;
};

/* Adds an error at the line of "path"; the texts are copied. */
void keys_error(struct key_reader *r, enum err_kind kind, const char *path,
    const char *remedy, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void text_errors_add(struct text_errors *errors, const struct err *e);

/* Sets all keys of the struct "out" to their defaults. */
void keys_set_defaults(const struct key_table *t, void *out);
/*
 * Stores the values of "o" in "out", which must hold the defaults.  Adds an
 * error for each unknown, missing or invalid key.
 */
void keys_read(struct key_reader *r, const struct key_table *t,
    struct json_object *o, const char *path, void *out);
/* Frees the lists that keys_read() allocated in "out". */
void keys_free(const struct key_table *t, void *out);
/*
 * Returns the entry of "names" with the smallest edit distance to "name", or
 * NULL if none is close.
 */
const char *keys_find_nearest(
    const char *name, const char *const *names, size_t count);

/*
 * Parses JSON with comments.  Returns NULL and adds errors if the source is too
 * large, not well-formed, or its root is not an object; returns NULL without an
 * error if memory is short.  Duplicate keys and keys with escapes add errors
 * too, but the object is returned.  Sets *lines on success only.
 */
struct json_object *keys_parse(const char *source, size_t len, size_t max_bytes,
    struct text_errors *errors, struct text_lines **lines);

/* Writes the table and its nested tables as Markdown. */
void keys_write_markdown(
    const struct key_table *t, const char *title, FILE *out);
/* Writes the table in the format of --help. */
void keys_write_help(const struct key_table *t, FILE *out);

#endif
