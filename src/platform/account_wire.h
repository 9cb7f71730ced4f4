/* The client accounts of the operators' configuration. */
#ifndef ACCOUNT_WIRE_H
#define ACCOUNT_WIRE_H

#include <stddef.h>

#include <json-c/json.h>

#include "account.h"
#include "bounds.h"

/* Settings of an account that are malformed; flags. */
enum account_field {
	ACCOUNT_WEIGHT = 1,
	ACCOUNT_CAP_CPU = 2,
	ACCOUNT_CAP_MEMORY = 4,
	ACCOUNT_CAP_ACCELERATORS = 8
};

struct malformed_account {
	char name[NAME_BYTES];
	unsigned fields; /* of enum account_field */
};

/* What is malformed in a configuration's list of accounts, for the log. */
struct account_faults {
	size_t left_out; /* accounts without a usable name of their own */
	size_t first_left_out; /* its index in the list */
	size_t keys_left_out; /* empty, too long or not a string */
	char first_keys_left_out[NAME_BYTES]; /* account */
	size_t shared_keys; /* the first account in the list has them */
	char first_shared[NAME_BYTES], first_sharing[NAME_BYTES]; /* accounts */
	struct malformed_account *settings;
	size_t settings_count;
};

/*
 * Sets "out" to a table of the accounts, or to NULL if "list" is NULL or empty:
 * the wire leaves empty lists out.  Malformed settings are 1 (weight) and 0
 * (cap) until accounts_inherit() replaces them.  -1 when out of memory.
 */
int accounts_parse(struct account_table **out, struct account_faults *f,
    struct json_object *list);
/*
 * Gives malformed settings the values that "before" has for the account.
 * "before" may be NULL.
 */
void accounts_inherit(struct account_table *t, const struct account_faults *f,
    const struct account_table *before);
void account_faults_uninit(struct account_faults *f);

#endif
