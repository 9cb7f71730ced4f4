/*
 * Division of one account's cap.  Half of it is cut into equal fixed parts of
 * the pools, the other half follows what they need.  Shares change only where
 * a pool lacks share.
 */
#include <stdlib.h>
#include <string.h>

#include "cap_allocator_state.h"

static int64_t
minimum(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
maximum(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* What the pool may start up to, as far as the allocator knows. */
static int64_t
pool_limit(const struct cap_allocator *al, const struct allocator_account *a,
    size_t slot, int d)
{
	const struct account_cap *cap = &a->settings.cap;
	const struct allocator_entry *e = a->entries[slot];
	int64_t divisor = al->pools[slot].sent_divisor;

	if (e != NULL && e->proposed && cap_get(&e->target.cap, d) > 0)
		return cap_share_limit(&e->target, cap, d);
	if (e != NULL && cap_get(&e->held.cap, d) > 0)
		return cap_share_limit(&e->held, cap, d);
	return divisor > 0 ? cap_get(cap, d) / divisor : 0;
}

static void
plan_pool(
    struct cap_allocator *al, const struct allocator_account *a, size_t slot)
{
	const struct account_cap *cap = &a->settings.cap;
	const struct allocator_entry *e = a->entries[slot];
	struct allocator_plan *t = &al->plan[slot];
	double part;
	int d;

	memset(t, 0, sizeof(*t));
	t->counts = al->pools[slot].used && al->pools[slot].retired_us == 0;
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(cap, d) == 0)
			continue;
		*cap_at(&t->held, d) = allocator_held(al, a, slot, cap, d);
		if (!t->counts)
			continue;
		*cap_at(&t->limit, d) = pool_limit(al, a, slot, d);
		*cap_at(&t->kept, d) = cap_get(&t->held, d);
		if (e != NULL && e->proposed && cap_get(&e->target.cap, d) > 0)
			*cap_at(&t->kept, d) = minimum(cap_get(&t->held, d),
			    cap_share_held(&e->target, cap, d));
		if (e == NULL)
			continue;
		*cap_at(&t->need, d) =
		    minimum(cap_get(&e->need, d), cap_get(cap, d));
		*cap_at(&t->unit, d) =
		    minimum(cap_get(&e->unit, d), cap_get(cap, d));
		*cap_at(&t->usage, d) = cap_get(&e->usage, d);
		t->demanding |= cap_get(&t->need, d) > 0;
		t->lacks |= cap_get(&t->need, d) > cap_get(&t->limit, d);
		part = (double)cap_get(&e->usage, d) / (double)cap_get(cap, d);
		t->used_part = part > t->used_part ? part : t->used_part;
	}
	t->next = t->limit;
}

/*
 * Sorts the pools by what they use, so that those that run nothing of the
 * account come first.  An insertion sort, as few of them differ.
 */
static void
sort_pools(struct cap_allocator *al)
{
	size_t i, k;

	for (i = 0; i < al->slot_count; i++) {
		for (k = i; k > 0 &&
		     al->plan[al->order[k - 1]].used_part >
			 al->plan[i].used_part;
		     k--)
			al->order[k] = al->order[k - 1];
		al->order[k] = i;
	}
}

/* Takes "amount" from what is left, in all dimensions or in none. */
static bool
take(struct account_cap *left, struct account_cap *to,
    const struct account_cap *amount)
{
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(amount, d) > cap_get(left, d))
			return false;
	}
	cap_add(left, amount, -1);
	cap_add(to, amount, 1);
	return true;
}

/* Gives what is left to needs, the smallest first, and then to all equally. */
static void
fill(struct cap_allocator *al, struct account_cap *left, int d)
{
	struct allocator_plan *t;
	int64_t missing, each, rest = cap_get(left, d);
	size_t i, open, before = 0;

	for (;;) {
		open = 0;
		for (i = 0; i < al->slot_count; i++) {
			t = &al->plan[i];
			open += t->counts &&
			    cap_get(&t->need, d) > cap_get(&t->target, d);
		}
		if (open == 0 || open == before)
			break;
		before = open;
		each = rest / (int64_t)open;
		for (i = 0; i < al->slot_count; i++) {
			t = &al->plan[i];
			missing = cap_get(&t->need, d) - cap_get(&t->target, d);
			if (!t->counts || missing <= 0 || missing > each)
				continue;
			*cap_at(&t->target, d) += missing;
			rest -= missing;
		}
	}
	each = open > 0          ? rest / (int64_t)open
	    : al->pool_count > 0 ? rest / (int64_t)al->pool_count
				 : 0;
	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[i];
		if (t->counts &&
		    (open == 0 ||
			cap_get(&t->need, d) > cap_get(&t->target, d)))
			*cap_at(&t->target, d) += each;
	}
}

/*
 * A pool's first part of the cap: what runs, and the largest waiting task or
 * gang.  It may exceed the fixed part, without which that could never start.
 * What runs gives way only if other pools, which run less, need its room.
 */
static void
take_first_part(struct allocator_plan *t, struct account_cap *left,
    const struct account_cap *cap, const struct account_cap *fixed)
{
	struct account_cap used, first;
	int64_t sum;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		sum = cap_get(&t->usage, d) + cap_get(&t->unit, d);
		*cap_at(&first, d) =
		    maximum(cap_get(fixed, d), minimum(sum, cap_get(cap, d)));
		*cap_at(&used, d) = maximum(cap_get(fixed, d),
		    minimum(cap_get(&t->usage, d), cap_get(cap, d)));
	}
	if (!take(left, &t->target, &first) && !take(left, &t->target, &used))
		take(left, &t->target, fixed);
}

/*
 * Sets the targets, whose sum is within the cap: the first parts of pools with
 * work, the fixed parts of the others, then further needs.
 */
static void
set_targets(struct cap_allocator *al, const struct account_cap *cap)
{
	struct account_cap left = *cap, fixed;
	struct allocator_plan *t;
	size_t i;
	int d;

	fixed = cap_share_fixed(cap, 2 * (int64_t)al->pool_count).share;
	for (i = 0; i < al->slot_count; i++) {
		if (!al->plan[i].counts)
			cap_add(&left, &al->plan[i].held, -1);
	}
	for (d = 0; d < CAP_DIMENSIONS; d++)
		*cap_at(&left, d) = maximum(cap_get(&left, d), 0);
	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[al->order[i]];
		if (t->counts && t->demanding)
			take_first_part(t, &left, cap, &fixed);
	}
	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[al->order[i]];
		if (t->counts && !t->demanding)
			take(&left, &t->target, &fixed);
	}
	for (d = 0; d < CAP_DIMENSIONS; d++)
		fill(al, &left, d);
}

/* The present share does not let the largest waiting task or gang start. */
static bool
unit_fits(const struct allocator_plan *t, const struct account_cap *share)
{
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&t->usage, d) + cap_get(&t->unit, d) >
			cap_get(share, d) &&
		    cap_get(&t->unit, d) > 0)
			return false;
	}
	return true;
}

/* The raise is large enough to be worth a record. */
static bool
raise_matters(const struct allocator_plan *t, const struct account_cap *cap,
    const struct account_cap *next)
{
	bool satisfied = true;
	int64_t more;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		more = cap_get(next, d) - cap_get(&t->limit, d);
		if (more > 0 && more >= cap_get(cap, d) / CHANGE_STEPS)
			return true;
		satisfied &= cap_get(next, d) >= cap_get(&t->need, d);
	}
	return satisfied || (unit_fits(t, next) && !unit_fits(t, &t->limit));
}

/*
 * Raises the share of a pool that lacks share, out of what nobody holds.  Adds
 * what it could not get to "missing".
 */
static void
raise_pool(struct allocator_plan *t, const struct account_cap *cap,
    struct account_cap *free_cap, struct account_cap *missing)
{
	struct account_cap next = t->limit;
	int64_t target, held, got;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		target = cap_get(&t->target, d);
		held = cap_get(&t->held, d);
		if (target <= cap_get(&t->limit, d))
			continue;
		got = target <= held
		    ? target
		    : held + minimum(target - held, cap_get(free_cap, d));
		*cap_at(&next, d) = maximum(got, cap_get(&next, d));
		/* also if it waits for more, so that it gets that in the end */
		*cap_at(free_cap, d) -= maximum(got - held, 0);
		*cap_at(missing, d) += target - maximum(got, held);
	}
	if (!raise_matters(t, cap, &next))
		return;
	t->next = next;
	t->changes = true;
}

/* Lowers shares above their targets until "missing" is covered. */
static void
lower_pools(struct cap_allocator *al, const struct account_cap *cap, int d,
    int64_t missing)
{
	int64_t surplus, step = cap_get(cap, d) / CHANGE_STEPS;
	struct allocator_plan *t;
	size_t i;
	int pass;

	/* shares that are being lowered come back without a proposal */
	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[i];
		if (t->counts)
			missing -= maximum(cap_get(&t->held, d) -
				maximum(
				    cap_get(&t->kept, d), cap_get(&t->next, d)),
			    0);
	}
	for (pass = 0; pass < 2; pass++) {
		for (i = al->slot_count; i-- > 0 && missing > 0;) {
			t = &al->plan[al->order[i]];
			surplus = maximum(cap_get(&t->kept, d),
				      cap_get(&t->next, d)) -
			    cap_get(&t->target, d);
			if (!t->counts || surplus <= 0 ||
			    (pass == 0 && surplus < step))
				continue;
			*cap_at(&t->next, d) = cap_get(&t->target, d);
			*cap_at(&t->kept, d) = cap_get(&t->target, d);
			t->changes = true;
			missing -= surplus;
		}
	}
}

/* Offers pools their fixed parts again; they write nothing until needed. */
static void
restore_fixed_parts(struct cap_allocator *al, const struct account_cap *cap,
    struct account_cap *free_cap)
{
	struct account_cap fixed =
	    cap_share_fixed(cap, 2 * (int64_t)al->pool_count).share;
	struct allocator_plan *t;
	int64_t next, held;
	size_t i;
	int d;

	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[i];
		if (!t->counts)
			continue;
		for (d = 0; d < CAP_DIMENSIONS; d++) {
			held = cap_get(&t->held, d);
			next = minimum(
			    cap_get(&fixed, d), held + cap_get(free_cap, d));
			if (next <= cap_get(&t->limit, d))
				continue;
			*cap_at(&t->next, d) = next;
			t->changes = true;
			*cap_at(free_cap, d) -= maximum(next - held, 0);
		}
	}
}

static void
propose_changes(struct cap_allocator *al, struct allocator_account *a)
{
	struct cap_share target = {.cap = a->settings.cap};
	struct allocator_plan *t;
	size_t i;
	int d;

	for (i = 0; i < al->slot_count; i++) {
		t = &al->plan[i];
		if (!t->changes)
			continue;
		/* other dimensions keep what the pool holds */
		for (d = 0; d < CAP_DIMENSIONS; d++) {
			if (cap_get(&t->next, d) == cap_get(&t->limit, d))
				*cap_at(&t->next, d) =
				    maximum(cap_get(&t->limit, d),
					cap_get(&t->kept, d));
		}
		if (t->next.cpu_milli > t->limit.cpu_milli ||
		    t->next.memory_mb > t->limit.memory_mb ||
		    t->next.accelerators > t->limit.accelerators)
			al->stats.raises++;
		else
			al->stats.reductions++;
		target.share = t->next;
		allocator_propose(al, a, i, &target);
	}
}

/*
 * After a cap was lowered, pools may run more than their shares.  Others start
 * less meanwhile, so that the sum of what runs comes within the cap.
 */
static bool
make_room_for_usage(struct cap_allocator *al, const struct account_cap *cap)
{
	struct allocator_plan *t;
	int64_t excess, spare;
	bool over = false;
	size_t i;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(cap, d) == 0)
			continue;
		excess = -cap_get(cap, d);
		for (i = 0; i < al->slot_count; i++) {
			t = &al->plan[i];
			excess += maximum(
			    cap_get(&t->kept, d), cap_get(&t->usage, d));
		}
		for (i = 0; i < al->slot_count && excess > 0; i++) {
			t = &al->plan[i];
			spare = cap_get(&t->kept, d) - cap_get(&t->usage, d);
			if (!t->counts || spare <= 0)
				continue;
			spare = minimum(spare, excess);
			*cap_at(&t->kept, d) -= spare;
			*cap_at(&t->next, d) = minimum(
			    cap_get(&t->kept, d), cap_get(&t->limit, d));
			t->changes = over = true;
			excess -= spare;
		}
		over |= excess > 0;
	}
	return over;
}

void
allocator_plan_account(struct cap_allocator *al, struct allocator_account *a)
{
	const struct account_cap *cap = &a->settings.cap;
	struct account_cap free_cap = *cap, missing = {0};
	bool lacks = false;
	size_t i;
	int d;

	for (i = 0; i < al->slot_count; i++) {
		plan_pool(al, a, i);
		for (d = 0; d < CAP_DIMENSIONS; d++)
			*cap_at(&free_cap, d) -=
			    maximum(cap_get(&al->plan[i].held, d),
				cap_get(&al->plan[i].usage, d));
		lacks |= al->plan[i].lacks;
	}
	if (make_room_for_usage(al, cap)) {
		propose_changes(al, a);
		return;
	}
	for (d = 0; d < CAP_DIMENSIONS; d++)
		*cap_at(&free_cap, d) = maximum(cap_get(&free_cap, d), 0);
	if (!lacks) {
		restore_fixed_parts(al, cap, &free_cap);
		propose_changes(al, a);
		return;
	}
	sort_pools(al);
	set_targets(al, cap);
	for (i = 0; i < al->slot_count; i++) {
		if (al->plan[al->order[i]].lacks)
			raise_pool(
			    &al->plan[al->order[i]], cap, &free_cap, &missing);
	}
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&missing, d) > 0)
			lower_pools(al, cap, d, cap_get(&missing, d));
	}
	propose_changes(al, a);
}
