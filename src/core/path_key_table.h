/*
 * Table of the idempotency keys whose original request is or was at this
 * daemon, and cache of their results for duplicates.
 */
#ifndef PATH_KEY_TABLE_H
#define PATH_KEY_TABLE_H

#include <stdint.h>

#include "path_key.h"

/* Both return NULL where the key is not in the table. */
struct path_key *key_find(struct path_keys *ks, struct claim_hash hash);
struct path_key *key_find_by_claim(struct path_keys *ks, uint64_t number);
/* Removes the key from the table and frees it with its waiters. */
void key_remove(struct path_keys *ks, struct path_key *k);
/*
 * Caches the result for duplicates until "until_us" of the monotonic clock. The
 * oldest entries are evicted when the cache is full.
 */
void key_cache_result(
    struct path_keys *ks, struct path_key *k, int64_t until_us);

#endif
