/*
 * Allocator of accounts' caps: divides each cap into shares of the pools, by
 * the reports of their owners.  It only proposes; owners store their shares.
 * Belongs to a term of the controller.  Does no I/O and reads no clock.
 */
#ifndef ACCOUNTS_CAP_ALLOCATOR_H
#define ACCOUNTS_CAP_ALLOCATOR_H

#include "cap_share.h"

struct cap_allocator;

/* "controller" is the fence of its term.  NULL when out of memory. */
struct cap_allocator *cap_allocator_new(int64_t controller);
void cap_allocator_free(struct cap_allocator *al);
/*
 * Sets the pools that get shares, and the caps; "accounts" may be NULL.  The
 * share of a pool that is left out counts as held for some time.
 */
void cap_allocator_configure(struct cap_allocator *al,
    const char (*pools)[NAME_BYTES], size_t pool_count,
    const struct account_table *accounts, int64_t now_us);
/* The pool's owner has answered under this fence. */
void cap_allocator_note_owner(
    struct cap_allocator *al, const char *pool, int64_t owner);
void cap_allocator_report(
    struct cap_allocator *al, const char *pool, const struct cap_report *r);
/* Decides on proposals, from the reports since the last step. */
void cap_allocator_step(struct cap_allocator *al, int64_t now_us);
/* There are proposals for the pool that have not been sent yet. */
bool cap_allocator_has_news(const struct cap_allocator *al, const char *pool);
/*
 * Fills in what is to be sent to the pool's owner now, with all proposals that
 * it has not confirmed; false: nothing.  Free it with cap_request_uninit().
 */
bool cap_allocator_request(
    struct cap_allocator *al, const char *pool, struct cap_request *r);

struct cap_allocator_stats {
	uint64_t proposals, raises, reductions;
	size_t pools, pools_reported;
};

void cap_allocator_stats(
    const struct cap_allocator *al, struct cap_allocator_stats *s);

#endif
