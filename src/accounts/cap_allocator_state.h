/* State of the allocator of caps.  Only cap_allocator*.c include this file. */
#ifndef ACCOUNTS_CAP_ALLOCATOR_STATE_H
#define ACCOUNTS_CAP_ALLOCATOR_STATE_H

#include <uthash.h>

#include "cap_allocator.h"

/*
 * The share of a pool that has left the configuration counts this long: until
 * its owner has released it (3 s), leases have ended (4.3 s) and late starts
 * have arrived (12 s).
 */
#define RETIRED_HOLD_US (INT64_C(20) * 1000 * 1000)
/* A change of a share is at least this part of the cap, in general. */
#define CHANGE_STEPS 16

struct allocator_pool {
	char name[NAME_BYTES];
	bool used; /* the slot */
	int64_t retired_us; /* not in the configuration since; 0: it is */
	int64_t owner; /* fence of its owner's term; 0: not known */
	bool reported; /* under this term of both */
	uint64_t revision; /* newest that was reported */
	uint64_t acked_revision; /* that the owner knows to have been seen */
	int64_t sent_number; /* newest request */
	int64_t echoed_number; /* newest request that a report answers */
	/* Fixed part: reported, sent and not confirmed, and due to be sent. */
	int64_t divisor, sent_divisor, wanted_divisor;
	int64_t divisor_number; /* request that sent it last */
	size_t pending_count; /* entries that are to be sent */
	size_t unconfirmed_count; /* entries sent and not confirmed */
};

/* An account in a pool, where it is not just the pool's fixed part. */
struct allocator_entry {
	struct cap_share held; /* reported; cap 0: the fixed part */
	struct account_cap usage, need, unit; /* reported */
	bool proposed; /* "target" has been sent in this term of the owner */
	struct cap_share target;
	/* Proposed with a fixed part that does not apply to the account. */
	bool excepted[CAP_DIMENSIONS];
	bool pending; /* "target" is to be sent */
	bool unconfirmed; /* sent, and no report answers that yet */
	struct cap_share unconfirmed_max; /* largest of these targets */
	int64_t sent_number;
};

struct allocator_account {
	struct account_settings settings; /* newest of the configuration */
	bool configured;
	bool dirty; /* a report or the configuration has changed */
	struct allocator_entry **entries; /* by pool slot; NULL: fixed part */
	size_t entry_count; /* that are not NULL */
	UT_hash_handle hh; /* by settings.name */
};

struct cap_allocator {
	int64_t controller;
	struct allocator_pool *pools; /* slots */
	size_t slot_count;
	size_t pool_count; /* in the configuration */
	struct allocator_account *accounts;
	struct allocator_plan *plan; /* scratch memory, slot_count of them */
	size_t *order; /* the same */
	struct cap_allocator_stats stats;
};

/* What the pool may hold of the account at most, as a part of "cap". */
int64_t allocator_held(const struct cap_allocator *al,
    const struct allocator_account *a, size_t slot,
    const struct account_cap *cap, int dimension);
/* Proposes a share; the entry is added unless the account has it. */
void allocator_propose(struct cap_allocator *al, struct allocator_account *a,
    size_t slot, const struct cap_share *target);

/* cap_allocator_plan.c */
/* Plan for one pool of an account. */
struct allocator_plan {
	bool counts; /* the pool is in the configuration */
	bool demanding; /* something of the account runs or waits there */
	bool lacks; /* its share is below what it needs */
	double used_part; /* of the cap, in the scarcest dimension */
	struct account_cap held, limit, need, unit, usage;
	struct account_cap target; /* share by the present needs */
	/* Held once what has been proposed is stored. */
	struct account_cap kept;
	struct account_cap next; /* to be proposed … */
	bool changes; /* … unless this is false */
};

/* Proposes new shares of the account where they are needed. */
void allocator_plan_account(
    struct cap_allocator *al, struct allocator_account *a);

#endif
