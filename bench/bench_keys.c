/*
 * What callers' keys cost: checks of a key a second on one core, and the
 * processor time until a configuration with one changed key is in force at a
 * daemon that owns one pool.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "caller_auth.h"
#include "slope.h"

#define ACCOUNTS 370 /* of the deployment in two years */
#define KEYS_PER_ACCOUNT 2
#define KEYS_LARGE 37000
#define POOLS 98
#define CHECKS 2000000
#define CONFIGS 200
#define STRIDE 7919 /* a prime: keys come in no order of the table */

/* The key has the 20 characters of the deployment's. */
static void
key_of(char *out, size_t size, size_t account, size_t key, int version)
{
	snprintf(out, size, "k%03zu-%05zu-%09d", account % 1000, key, version);
}

/* The last key of all is of "version", the others of version 0. */
static struct buf *
config_text(size_t keys_per_account, int version)
{
	struct buf *b = buf_new(64 * 1024);
	char key[ACCOUNT_KEY_MAX_BYTES];
	size_t i, k;

	buf_printf(b, "{\"configVersion\":%d,\"routes\":[", version);
	for (i = 0; i < POOLS; i++)
		buf_printf(b,
		    "%s{\"name\":\"q%zu\",\"host\":\"jobs.example\","
		    "\"pathPrefix\":\"/q%zu/\",\"service\":\"pool-%zu\","
		    "\"maxAttempts\":3,\"stretch\":1.6,"
		    "\"targetLatencyMs\":600}",
		    i > 0 ? "," : "", i, i, i);
	buf_printf(b, "],\"services\":[");
	for (i = 0; i < POOLS; i++)
		buf_printf(b, "%s{\"name\":\"pool-%zu\"}", i > 0 ? "," : "", i);
	buf_printf(b, "],\"tenants\":[");
	for (i = 0; i < ACCOUNTS; i++) {
		buf_printf(b,
		    "%s{\"name\":\"account-%zu\",\"weight\":2.5,"
		    "\"priority\":1,\"cap\":{\"cpu\":64000,\"memMb\":262144},"
		    "\"apiKeys\":[",
		    i > 0 ? "," : "", i);
		for (k = 0; k < keys_per_account; k++) {
			key_of(key, sizeof(key), i, k,
			    i + 1 == ACCOUNTS && k + 1 == keys_per_account
				? version
				: 0);
			buf_printf(b, "%s\"%s\"", k > 0 ? "," : "", key);
		}
		buf_printf(b, "]}");
	}
	buf_printf(b, "]}");
	return b;
}

static struct config *
parse(const struct buf *text)
{
	struct config *c;
	struct err e;

	c = config_parse(text->data, text->len, &e);
	if (c == NULL)
		errx(1, "%s", e.message);
	return c;
}

static void
bench_checks(size_t keys_per_account)
{
	size_t n = ACCOUNTS * keys_per_account, i, accepted = 0;
	char(*keys)[32] = calloc(n, sizeof(*keys));
	struct buf *text = config_text(keys_per_account, 0);
	struct config *c = parse(text);
	struct caller_key key = {.fault = HEADER_SOUND};
	double from_us, us;

	if (keys == NULL)
		err(1, "no memory for the keys");
	for (i = 0; i < n; i++)
		key_of(keys[i], sizeof(keys[i]), i / keys_per_account,
		    i % keys_per_account, 0);
	from_us = cpu_us();
	for (i = 0; i < CHECKS; i++) {
		key.value = keys[i * STRIDE % n];
		accepted += caller_auth_decide(&c->queues[0], c->accounts, &key)
				.status == 0;
	}
	us = cpu_us() - from_us;
	if (accepted != CHECKS)
		errx(1, "%zu of %d keys accepted", accepted, CHECKS);
	printf("keys.check accounts=%d keys=%zu %.0f checks/s %.3f us each\n",
	    ACCOUNTS, n, CHECKS / us * 1e6, us / CHECKS);
	config_unref(c);
	buf_unref(text);
	free(keys);
}

struct comparison {
	const struct account_table *before;
	size_t changed;
};

/* As shards_config_changed() does for each pool that the daemon owns. */
static void
compare(void *arg, const struct account_settings *a)
{
	struct comparison *c = arg;
	const struct account_settings *before =
	    account_table_find(c->before, a->name);

	c->changed += before == NULL || !account_settings_equal(a, before);
}

/* Puts "text" in force in the place of "before". */
static struct config *
apply(const struct buf *text, struct config *before)
{
	struct config *c = parse(text);
	struct comparison changes = {.before = before->accounts};

	config_inherit_accounts(c, before);
	account_table_each(c->accounts, compare, &changes);
	if (changes.changed != 0)
		errx(1, "%zu accounts changed", changes.changed);
	config_unref(before);
	return c;
}

static void
bench_apply(void)
{
	struct buf *texts[2] = {
	    config_text(KEYS_PER_ACCOUNT, 1), config_text(KEYS_PER_ACCOUNT, 2)};
	struct config *c = parse(texts[1]);
	double from_us = cpu_us();
	int i;

	for (i = 0; i < CONFIGS; i++)
		c = apply(texts[i % 2], c);
	printf("keys.apply accounts=%d keys=%zu bytes=%zu %.3f ms each\n",
	    ACCOUNTS, account_table_key_count(c->accounts), texts[0]->len,
	    (cpu_us() - from_us) / CONFIGS / 1000);
	config_unref(c);
	buf_unref(texts[0]);
	buf_unref(texts[1]);
}

int
main(void)
{
	bench_checks(KEYS_PER_ACCOUNT);
	bench_checks(KEYS_LARGE / ACCOUNTS);
	bench_apply();
	return 0;
}
