#include "path_key_table.h"

#include <stdlib.h>
#include <string.h>

#include "path_wire.h"

#define CACHED_RESULTS_MAX 4096
#define CACHED_BYTES_MAX (INT64_C(16) * 1024 * 1024)
#define CACHE_ENTRY_BYTES 256 /* size of an entry without its answer */

void
keys_init(struct path_keys *ks)
{
	memset(ks, 0, sizeof(*ks));
	claims_init(&ks->claims);
	TAILQ_INIT(&ks->cached);
	TAILQ_INIT(&ks->queries);
}

static void
key_free(struct path_key *k)
{
	struct key_waiter *w;

	while ((w = TAILQ_FIRST(&k->waiters)) != NULL) {
		TAILQ_REMOVE(&k->waiters, w, link);
		free(w);
	}
	answer_unref(k->answer);
	free(k);
}

void
keys_uninit(struct path_keys *ks)
{
	struct path_key *k, *next;

	k = ks->by_hash;
	HASH_CLEAR(hh_number, ks->by_claim_number);
	HASH_CLEAR(hh, ks->by_hash);
	for (; k != NULL; k = next) {
		next = k->hh.next;
		key_free(k);
	}
	claims_uninit(&ks->claims);
}

struct path_key *
key_find(struct path_keys *ks, struct claim_hash hash)
{
	struct path_key *k;

	HASH_FIND(hh, ks->by_hash, &hash, sizeof(hash), k);
	return k;
}

struct path_key *
key_find_by_claim(struct path_keys *ks, uint64_t number)
{
	struct path_key *k;

	HASH_FIND(hh_number, ks->by_claim_number, &number, sizeof(number), k);
	return k;
}

void
key_remove(struct path_keys *ks, struct path_key *k)
{
	if (k->cached) {
		TAILQ_REMOVE(&ks->cached, k, link);
		ks->cached_count--;
		ks->cached_bytes -= k->cached_bytes;
	}
	if (k->claim_number != 0) /* then it is in the table of numbers */
		HASH_DELETE(hh_number, ks->by_claim_number, k); /* NOLINT */
	HASH_DELETE(hh, ks->by_hash, k); /* NOLINT: it is in the table */
	key_free(k);
}

void
key_cache_result(struct path_keys *ks, struct path_key *k, int64_t until_us)
{
	k->cached = true;
	k->cache_expiry_us = until_us;
	k->cached_bytes = CACHE_ENTRY_BYTES;
	if (k->answer != NULL)
		k->cached_bytes += (int64_t)path_wire_answer_bytes(k->answer);
	TAILQ_INSERT_TAIL(&ks->cached, k, link);
	ks->cached_count++;
	ks->cached_bytes += k->cached_bytes;
	while (ks->cached_count > CACHED_RESULTS_MAX ||
	    ks->cached_bytes > CACHED_BYTES_MAX)
		key_remove(ks, TAILQ_FIRST(&ks->cached));
}
