/*
 * Names of the platform have any length; inside, a name has less than
 * NAME_BYTES.  A longer one is replaced by its beginning and a hash, by all
 * daemons alike, so that names are compared, stored and exchanged as they are.
 * Where a name goes back to the platform, its full text is looked up.
 */
#ifndef LONG_NAME_H
#define LONG_NAME_H

#include <stdbool.h>
#include <stddef.h>

#include <json-c/json.h>

#include "bounds.h"

/* Bound of the texts that are kept; those unused for longest go first. */
#define LONG_NAMES_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Copies the name, or what stands for a long one. */
void name_shorten(char out[NAME_BYTES], const char *text);
/* The same, and keeps the text of a long one for name_full(). */
void name_keep(char out[NAME_BYTES], const char *text);
/*
 * As json_copy_text(), for a name of any length, which is only compared: what
 * callers choose is never kept.
 */
bool json_copy_name(struct json_object *v, char out[NAME_BYTES]);
/* As json_get_text(), in the same way. */
bool json_get_name(
    struct json_object *o, const char *key, char out[NAME_BYTES]);
/* The same two for names that go back to the platform. */
bool json_copy_kept_name(struct json_object *v, char out[NAME_BYTES]);
bool json_get_kept_name(
    struct json_object *o, const char *key, char out[NAME_BYTES]);
/*
 * The platform's text of a name.  NULL if "name" stands for a long one that
 * this process has not read, or not for a long time.  Valid until the next
 * call of a function of this file.
 */
const char *name_full(const char *name);
/* Frees the texts that are kept. */
void long_names_uninit(void);

#endif
