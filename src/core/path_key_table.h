/*
 * The table of idempotency keys whose first request is or was with this
 * daemon, with the outcomes that are kept for repeats.
 */
#ifndef PATH_KEY_TABLE_H
#define PATH_KEY_TABLE_H

#include <stdint.h>

#include "path_key.h"

/* Both return NULL where the key is not in the table. */
struct path_key *key_find(struct path_keys *ks, struct claim_hash hash);
struct path_key *key_find_by_claim(struct path_keys *ks, uint64_t number);
/* Takes the key out of the table and frees it with its waiters. */
void key_remove(struct path_keys *ks, struct path_key *k);
/*
 * Keeps the outcome for repeats until a time of the monotonic clock, within
 * bounds; the oldest go first.
 */
void key_cache_result(
    struct path_keys *ks, struct path_key *k, int64_t until_us);

#endif
