#include "account.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

struct account_entry {
	struct account_settings settings;
	UT_hash_handle hh; /* by settings.name */
};

struct account_key {
	char text[ACCOUNT_KEY_MAX_BYTES + 1];
	const struct account_entry *account;
	UT_hash_handle hh; /* by text */
};

struct account_table {
	unsigned ref_count;
	struct account_entry *accounts; /* uthash keeps the order */
	struct account_key *keys;
};

struct account_table *
account_table_new(void)
{
	struct account_table *t = calloc(1, sizeof(*t));

	if (t != NULL)
		t->ref_count = 1;
	return t;
}

struct account_table *
account_table_ref(struct account_table *t)
{
	t->ref_count++;
	return t;
}

void
account_table_unref(struct account_table *t)
{
	struct account_entry *a, *next_account;
	struct account_key *k, *next_key;

	if (t == NULL || --t->ref_count > 0)
		return;
	HASH_ITER(hh, t->keys, k, next_key)
	{
		HASH_DEL(t->keys, k);
		free(k);
	}
	HASH_ITER(hh, t->accounts, a, next_account)
	{
		HASH_DEL(t->accounts, a);
		free(a);
	}
	free(t);
}

static struct account_entry *
find_entry(const struct account_table *t, const char *name)
{
	struct account_entry *a;

	HASH_FIND_STR(t->accounts, name, a);
	return a;
}

enum account_add_result
account_table_add(struct account_table *t, const struct account_settings *s)
{
	struct account_entry *a;

	if (s->name[0] == '\0')
		return ACCOUNT_INVALID;
	if (find_entry(t, s->name) != NULL)
		return ACCOUNT_DUPLICATE;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return ACCOUNT_NO_MEMORY;
	a->settings = *s;
	HASH_ADD(hh, t->accounts, settings.name, strlen(a->settings.name), a);
	return ACCOUNT_ADDED;
}

void
account_table_update(struct account_table *t, const struct account_settings *s)
{
	struct account_entry *a = find_entry(t, s->name);

	if (a != NULL)
		a->settings = *s;
}

enum account_add_result
account_table_add_key(
    struct account_table *t, const char *account, const char *key)
{
	size_t len = strlen(key);
	struct account_key *k;

	if (len == 0 || len > ACCOUNT_KEY_MAX_BYTES)
		return ACCOUNT_INVALID;
	if (account_table_find_key(t, key) != NULL)
		return ACCOUNT_DUPLICATE;
	k = calloc(1, sizeof(*k));
	if (k == NULL)
		return ACCOUNT_NO_MEMORY;
	memcpy(k->text, key, len);
	k->account = find_entry(t, account);
	if (k->account == NULL) {
		free(k);
		return ACCOUNT_INVALID;
	}
	HASH_ADD_STR(t->keys, text, k);
	return ACCOUNT_ADDED;
}

const struct account_settings *
account_table_find(const struct account_table *t, const char *name)
{
	const struct account_entry *a = find_entry(t, name);

	return a != NULL ? &a->settings : NULL;
}

const struct account_settings *
account_table_find_key(const struct account_table *t, const char *key)
{
	const struct account_key *k;

	HASH_FIND_STR(t->keys, key, k);
	return k != NULL ? &k->account->settings : NULL;
}

size_t
account_table_count(const struct account_table *t)
{
	return t != NULL ? HASH_COUNT(t->accounts) : 0;
}

size_t
account_table_key_count(const struct account_table *t)
{
	return t != NULL ? HASH_COUNT(t->keys) : 0;
}

void
account_table_each(const struct account_table *t,
    void (*each)(void *arg, const struct account_settings *a), void *arg)
{
	const struct account_entry *a;

	for (a = t != NULL ? t->accounts : NULL; a != NULL; a = a->hh.next)
		each(arg, &a->settings);
}

bool
account_settings_equal(
    const struct account_settings *a, const struct account_settings *b)
{
	return strcmp(a->name, b->name) == 0 && a->priority == b->priority &&
	    a->weight == b->weight && a->cap.cpu_milli == b->cap.cpu_milli &&
	    a->cap.memory_mb == b->cap.memory_mb &&
	    a->cap.accelerators == b->cap.accelerators;
}
