/*
 * Client accounts as the operators configure them: who may call, with which
 * keys, and what an account may use.  Does no I/O and reads no clock.
 */
#ifndef ACCOUNTS_ACCOUNT_H
#define ACCOUNTS_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"

#define ACCOUNT_KEY_MAX_BYTES 128 /* without NUL; longer keys are unknown */
#define ACCOUNT_WEIGHT_MAX 1e6
/* Larger caps mean no more than this, in any unit. */
#define ACCOUNT_CAP_MAX INT64_C(1000000000000)

/* What the account's tasks may occupy at once on all workers; 0: no limit. */
struct account_cap {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
};

struct account_settings {
	char name[NAME_BYTES];
	int priority; /* 0 comes first */
	/* Share of scarce capacity, and jobs a second that are owed; above 0 */
	double weight;
	struct account_cap cap;
};

/*
 * The accounts of one configuration, by name and by key.  Immutable once the
 * configuration is in force; reference-counted.
 */
struct account_table;

/* Returns one reference; NULL when out of memory. */
struct account_table *account_table_new(void);
struct account_table *account_table_ref(struct account_table *t);
void account_table_unref(struct account_table *t); /* accepts NULL */

enum account_add_result {
	ACCOUNT_ADDED,
	ACCOUNT_DUPLICATE, /* of a name, or a key that an account has */
	ACCOUNT_INVALID, /* an empty name, or an empty or too long key */
	ACCOUNT_NO_MEMORY
};

enum account_add_result account_table_add(
    struct account_table *t, const struct account_settings *a);
/* Replaces the settings of an account that has been added, if there is one. */
void account_table_update(
    struct account_table *t, const struct account_settings *a);
/* "account" has been added before. */
enum account_add_result account_table_add_key(
    struct account_table *t, const char *account, const char *key);
/* NULL when there is none; valid as long as the table. */
const struct account_settings *account_table_find(
    const struct account_table *t, const char *name);
const struct account_settings *account_table_find_key(
    const struct account_table *t, const char *key);
size_t account_table_count(const struct account_table *t); /* accepts NULL */
size_t account_table_key_count(const struct account_table *t);
/* In the order in which they were added; "t" may be NULL. */
void account_table_each(const struct account_table *t,
    void (*each)(void *arg, const struct account_settings *a), void *arg);

bool account_settings_equal(
    const struct account_settings *a, const struct account_settings *b);
/* Limits what the account may run at once. */
static inline bool
account_capped(const struct account_settings *a)
{
	return a->cap.cpu_milli > 0 || a->cap.memory_mb > 0 ||
	    a->cap.accelerators > 0;
}

#endif
