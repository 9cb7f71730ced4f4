#include "long_name.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "json_get.h"

/* What stands for a long name: its beginning, '~' and 16 digits. */
#define HASH_DIGITS 16
#define BEGINNING_BYTES (NAME_BYTES - 2 - HASH_DIGITS)
struct long_name {
	char name[NAME_BYTES]; /* stands for the text */
	char *text;
	UT_hash_handle hh; /* by name, in the order of their newest use */
};

/* Names in use are looked up or read again all the time. */
static struct long_name *texts;
static size_t kept_bytes;

static size_t
long_name_bytes(const struct long_name *n)
{
	return sizeof(*n) + strlen(n->text) + 1;
}

static void
long_name_free(struct long_name *n)
{
	HASH_DEL(texts, n);
	kept_bytes -= long_name_bytes(n);
	free(n->text);
	free(n);
}

static struct long_name *
find_used(const char *name)
{
	struct long_name *n;

	HASH_FIND_STR(texts, name, n);
	if (n == NULL)
		return NULL;
	HASH_DEL(texts, n);
	HASH_ADD_STR(texts, name, n);
	return n;
}

static void
keep_text(const char *name, const char *text)
{
	struct long_name *n = find_used(name);

	if (n != NULL)
		return;
	n = calloc(1, sizeof(*n));
	if (n != NULL)
		n->text = strdup(text);
	if (n == NULL || n->text == NULL) {
		free(n);
		return; /* the next time that the name is read tries again */
	}
	snprintf(n->name, sizeof(n->name), "%s", name);
	HASH_ADD_STR(texts, name, n);
	kept_bytes += long_name_bytes(n);
	while (kept_bytes > LONG_NAMES_MAX_BYTES)
		long_name_free(texts);
}

static bool
stands_for_long_name(const char *name)
{
	return strlen(name) == NAME_BYTES - 1 && name[BEGINNING_BYTES] == '~' &&
	    strspn(name + BEGINNING_BYTES + 1, "0123456789abcdef") ==
	    HASH_DIGITS;
}

/* The beginning goes into topics, keys and log lines. */
static void
copy_beginning(char out[NAME_BYTES], const char *text)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789-_.";
	size_t i;

	for (i = 0; i < BEGINNING_BYTES; i++)
		out[i] = strchr(plain, text[i]) != NULL ? text[i] : '_';
}

void
name_shorten(char out[NAME_BYTES], const char *text)
{
	size_t len = strlen(text);

	if (len < NAME_BYTES && !stands_for_long_name(text)) {
		memcpy(out, text, len + 1);
		return;
	}
	copy_beginning(out, text);
	snprintf(out + BEGINNING_BYTES, NAME_BYTES - BEGINNING_BYTES,
	    "~%016" PRIx64, (uint64_t)XXH64(text, len, 0));
}

void
name_keep(char out[NAME_BYTES], const char *text)
{
	name_shorten(out, text);
	if (stands_for_long_name(out))
		keep_text(out, text);
}

/* A missing string is "". */
static bool
copy_name(struct json_object *v, char out[NAME_BYTES],
    void (*copy)(char out[NAME_BYTES], const char *text))
{
	const char *text;

	out[0] = '\0';
	if (v == NULL)
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	text = json_object_get_string(v);
	if (strlen(text) != (size_t)json_object_get_string_len(v))
		return false;
	copy(out, text);
	return true;
}

bool
json_copy_name(struct json_object *v, char out[NAME_BYTES])
{
	return copy_name(v, out, name_shorten);
}

bool
json_copy_kept_name(struct json_object *v, char out[NAME_BYTES])
{
	return copy_name(v, out, name_keep);
}

bool
json_get_name(struct json_object *o, const char *key, char out[NAME_BYTES])
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return json_copy_name(v, out);
}

bool
json_get_kept_name(struct json_object *o, const char *key, char out[NAME_BYTES])
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return json_copy_kept_name(v, out);
}

const char *
name_full(const char *name)
{
	const struct long_name *n;

	if (!stands_for_long_name(name))
		return name;
	n = find_used(name);
	return n != NULL ? n->text : NULL;
}

void
long_names_uninit(void)
{
	struct long_name *n, *next;

	HASH_ITER(hh, texts, n, next)
	{
		long_name_free(n);
	}
}
