/*
 * Shares of an account's cap, and the messages about them between the
 * allocator and the owners of pools.  Does no I/O and reads no clock.
 *
 * A share is stored with the cap that it was cut from.  The fractions
 * share / cap of all pools add up to at most 1 in each dimension, so that the
 * shares are within the cap of whichever configuration is in force.
 */
#ifndef ACCOUNTS_CAP_SHARE_H
#define ACCOUNTS_CAP_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "account.h"
#include "bounds.h"

enum cap_dimension {
	CAP_CPU,
	CAP_MEMORY,
	CAP_ACCELERATORS,
	CAP_DIMENSIONS
};

struct cap_share {
	struct account_cap share;
	/* That it was cut from; 0: it says nothing of the dimension. */
	struct account_cap cap;
};

int64_t *cap_at(struct account_cap *c, int dimension);
int64_t cap_get(const struct account_cap *c, int dimension);
void cap_add(struct account_cap *to, const struct account_cap *c, int sign);
/* "value", as a part of "from", in terms of "to"; rounded down or up. */
int64_t cap_scale(int64_t value, int64_t to, int64_t from);
int64_t cap_scale_up(int64_t value, int64_t to, int64_t from);

bool cap_share_equal(const struct cap_share *a, const struct cap_share *b);
/*
 * What the share allows under the cap of a configuration; INT64_MAX where that
 * is unlimited.  A raised cap alone does not raise it.
 */
int64_t cap_share_limit(
    const struct cap_share *s, const struct account_cap *cap, int dimension);
/* The part of "cap" that the share occupies, rounded up. */
int64_t cap_share_held(
    const struct cap_share *s, const struct account_cap *cap, int dimension);
/* Raises each dimension of "s" to that of "other" if it is a larger part. */
void cap_share_raise_to(struct cap_share *s, const struct cap_share *other);
/* Part "1 / divisor" of the cap; nothing if the divisor is 0. */
struct cap_share cap_share_fixed(
    const struct account_cap *cap, int64_t divisor);

/* A share that the allocator proposes to the owner of a pool. */
struct cap_proposal {
	char account[NAME_BYTES];
	struct cap_share share;
};

/* From the allocator to the owner of a pool. */
struct cap_request {
	int64_t controller; /* fence of the controller's term; 0: none */
	int64_t number; /* rises with each request of the term */
	int64_t owner; /* fence of the owner's term; 0: not known */
	uint64_t seen_revision; /* newest that the allocator has; 0: none */
	/* Divisor of shares without a record or proposal; 0: unchanged. */
	int64_t fixed_divisor;
	struct cap_proposal *list;
	size_t count;
};

struct cap_account_report {
	char account[NAME_BYTES];
	/* Upper bound of what the pool may run, now or without being asked. */
	struct cap_share held;
	struct account_cap usage;
	struct account_cap need; /* usage and what waits */
	struct account_cap unit; /* of the largest task or gang that waits */
};

/* Answer of the owner. */
struct cap_report {
	/* Highest fence of a controller that is stored; 0: none. */
	int64_t controller;
	int64_t number; /* newest request that was processed */
	int64_t owner; /* fence of the owner's term */
	uint64_t revision;
	bool complete; /* of all accounts, not only of changed ones */
	int64_t fixed_divisor;
	struct cap_account_report *list;
	size_t count;
};

void cap_request_uninit(struct cap_request *r);
void cap_report_uninit(struct cap_report *r);

#endif
