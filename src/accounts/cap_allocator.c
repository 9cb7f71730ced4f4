#include "cap_allocator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cap_allocator_state.h"

struct cap_allocator *
cap_allocator_new(int64_t controller)
{
	struct cap_allocator *al = calloc(1, sizeof(*al));

	if (al != NULL)
		al->controller = controller;
	return al;
}

static void
account_free(struct cap_allocator *al, struct allocator_account *a)
{
	size_t i;

	for (i = 0; i < al->slot_count; i++)
		free(a->entries[i]);
	free(a->entries);
	free(a);
}

void
cap_allocator_free(struct cap_allocator *al)
{
	struct allocator_account *a, *next;

	if (al == NULL)
		return;
	HASH_ITER(hh, al->accounts, a, next)
	{
		HASH_DEL(al->accounts, a);
		account_free(al, a);
	}
	free(al->pools);
	free(al->plan);
	free(al->order);
	free(al);
}

static struct allocator_pool *
find_pool(const struct cap_allocator *al, const char *name)
{
	size_t i;

	for (i = 0; i < al->slot_count; i++) {
		if (al->pools[i].used && strcmp(al->pools[i].name, name) == 0)
			return &al->pools[i];
	}
	return NULL;
}

/* Memory for "size" bytes each; the allocator cannot go on without. */
static void *
grow(void *list, size_t size, size_t from, size_t to)
{
	char *p = realloc(list, size * to);

	if (p == NULL)
		abort(); /* a share that is held would be given away */
	memset(p + size * from, 0, size * (to - from));
	return p;
}

static struct allocator_account *
get_account(struct cap_allocator *al, const char *name)
{
	struct allocator_account *a;

	HASH_FIND_STR(al->accounts, name, a);
	if (a != NULL)
		return a;
	a = grow(NULL, sizeof(*a), 0, 1);
	snprintf(a->settings.name, sizeof(a->settings.name), "%s", name);
	a->entries =
	    grow(NULL, sizeof(struct allocator_entry *), 0, al->slot_count + 1);
	HASH_ADD_STR(al->accounts, settings.name, a);
	return a;
}

static struct allocator_entry *
get_entry(struct allocator_account *a, size_t slot)
{
	if (a->entries[slot] == NULL) {
		a->entries[slot] =
		    grow(NULL, sizeof(struct allocator_entry), 0, 1);
		a->entry_count++;
	}
	return a->entries[slot];
}

static size_t
add_slot(struct cap_allocator *al)
{
	struct allocator_account *a;
	size_t i, n = al->slot_count;

	for (i = 0; i < n; i++) {
		if (!al->pools[i].used)
			return i;
	}
	al->pools = grow(al->pools, sizeof(*al->pools), n, n + 1);
	al->plan = grow(al->plan, sizeof(*al->plan), n, n + 1);
	al->order = grow(al->order, sizeof(*al->order), n, n + 1);
	for (a = al->accounts; a != NULL; a = a->hh.next)
		a->entries = grow(
		    a->entries, sizeof(struct allocator_entry *), n, n + 1);
	al->slot_count = n + 1;
	return n;
}

/* Forgets what the pool was reported to hold. */
static void
clear_entries(struct cap_allocator *al, size_t slot)
{
	struct allocator_account *a;

	for (a = al->accounts; a != NULL; a = a->hh.next) {
		if (a->entries[slot] == NULL)
			continue;
		free(a->entries[slot]);
		a->entries[slot] = NULL;
		a->entry_count--;
		a->dirty = true;
	}
	al->pools[slot].pending_count = al->pools[slot].unconfirmed_count = 0;
}

static void
mark_all_dirty(struct cap_allocator *al)
{
	struct allocator_account *a;

	for (a = al->accounts; a != NULL; a = a->hh.next)
		a->dirty = true;
}

static void
configure_account(void *arg, const struct account_settings *s)
{
	struct cap_allocator *al = arg;
	struct allocator_account *a = get_account(al, s->name);

	a->settings = *s;
	a->configured = true;
	a->dirty = true;
}

void
cap_allocator_configure(struct cap_allocator *al,
    const char (*pools)[NAME_BYTES], size_t pool_count,
    const struct account_table *accounts, int64_t now_us)
{
	struct allocator_account *a;
	struct allocator_pool *p;
	size_t i, slot;

	for (i = 0; i < al->slot_count; i++) {
		p = &al->pools[i];
		if (p->used && p->retired_us == 0)
			p->retired_us = now_us; /* unless it is in the list */
	}
	for (i = 0; i < pool_count; i++) {
		p = find_pool(al, pools[i]);
		if (p == NULL) {
			slot = add_slot(al);
			p = &al->pools[slot];
			memset(p, 0, sizeof(*p));
			p->used = true;
			snprintf(p->name, sizeof(p->name), "%s", pools[i]);
		}
		p->retired_us = 0;
		p->wanted_divisor = 2 * (int64_t)pool_count;
	}
	al->pool_count = pool_count;
	for (a = al->accounts; a != NULL; a = a->hh.next)
		a->configured = false;
	account_table_each(accounts, configure_account, al);
}

void
cap_allocator_note_owner(
    struct cap_allocator *al, const char *pool, int64_t owner)
{
	struct allocator_pool *p = find_pool(al, pool);

	if (p == NULL || owner <= p->owner)
		return;
	p->owner = owner;
	p->reported = false; /* until then, it holds what its records say */
}

/* The smaller divisor is the larger part; 0 is none. */
static int64_t
larger_part(int64_t a, int64_t b)
{
	if (a == 0 || b == 0)
		return a + b;
	return a < b ? a : b;
}

static int64_t
held_divisor(const struct allocator_pool *p)
{
	return p->divisor_number > p->echoed_number
	    ? larger_part(p->divisor, p->sent_divisor)
	    : p->divisor;
}

int64_t
allocator_held(const struct cap_allocator *al,
    const struct allocator_account *a, size_t slot,
    const struct account_cap *cap, int d)
{
	const struct allocator_pool *p = &al->pools[slot];
	const struct allocator_entry *e = a->entries[slot];
	int64_t divisor = e != NULL && e->excepted[d] && e->proposed
	    ? p->divisor
	    : held_divisor(p);
	int64_t held = 0, other;

	if ((e == NULL || cap_get(&e->held.cap, d) == 0) && divisor > 0)
		held = cap_scale_up(1, cap_get(cap, d), divisor);
	if (e == NULL)
		return held;
	other = cap_share_held(&e->held, cap, d);
	held = other > held ? other : held;
	if (e->pending) { /* else several pools would get the same room */
		other = cap_share_held(&e->target, cap, d);
		held = other > held ? other : held;
	}
	if (!e->unconfirmed)
		return held;
	other = cap_share_held(&e->unconfirmed_max, cap, d);
	return other > held ? other : held;
}

void
allocator_propose(struct cap_allocator *al, struct allocator_account *a,
    size_t slot, const struct cap_share *target)
{
	struct allocator_entry *e = get_entry(a, slot);
	struct cap_share merged = *target;
	int d;

	/* other dimensions stay as proposed: that may not have arrived yet */
	for (d = 0; e->proposed && d < CAP_DIMENSIONS; d++) {
		if (cap_get(&target->cap, d) > 0)
			continue;
		*cap_at(&merged.share, d) = cap_get(&e->target.share, d);
		*cap_at(&merged.cap, d) = cap_get(&e->target.cap, d);
	}
	if (e->proposed && cap_share_equal(&e->target, &merged))
		return;
	if (!e->pending)
		al->pools[slot].pending_count++;
	e->target = merged;
	e->proposed = e->pending = true;
	al->stats.proposals++;
}

static void
apply_account_report(
    struct cap_allocator *al, size_t slot, const struct cap_account_report *r)
{
	struct allocator_account *a = get_account(al, r->account);
	struct allocator_entry *e = get_entry(a, slot);

	e->held = r->held;
	e->usage = r->usage;
	e->need = r->need;
	e->unit = r->unit;
	a->dirty = true;
}

/* The owner has processed all requests up to the echoed one. */
static void
confirm_entries(struct cap_allocator *al, size_t slot)
{
	struct allocator_pool *p = &al->pools[slot];
	struct allocator_account *a;
	struct allocator_entry *e;

	if (p->unconfirmed_count == 0)
		return;
	for (a = al->accounts; a != NULL; a = a->hh.next) {
		e = a->entries[slot];
		if (e == NULL || !e->unconfirmed ||
		    e->sent_number > p->echoed_number)
			continue;
		e->unconfirmed = false;
		p->unconfirmed_count--;
		a->dirty = true;
	}
}

void
cap_allocator_report(
    struct cap_allocator *al, const char *pool, const struct cap_report *r)
{
	struct allocator_pool *p = find_pool(al, pool);
	bool divisor_changed;
	size_t i, slot;

	/* until its owner has stored this controller's fence, it may drop it */
	if (p == NULL || r->controller != al->controller)
		return;
	cap_allocator_note_owner(al, pool, r->owner);
	if (r->owner < p->owner || r->number < p->echoed_number ||
	    (p->reported && r->number == p->echoed_number &&
		r->revision < p->revision))
		return;
	slot = (size_t)(p - al->pools);
	if (!p->reported) {
		if (!r->complete)
			return;
		clear_entries(al, slot);
		p->divisor_number = 0;
		p->sent_divisor = r->fixed_divisor;
		p->acked_revision = 0;
		p->reported = true;
		mark_all_dirty(al);
	}
	p->echoed_number = r->number;
	p->revision = r->revision;
	divisor_changed = p->divisor != r->fixed_divisor;
	p->divisor = r->fixed_divisor;
	for (i = 0; i < r->count; i++)
		apply_account_report(al, slot, &r->list[i]);
	confirm_entries(al, slot);
	if (divisor_changed)
		mark_all_dirty(al);
}

static bool
all_reported(const struct cap_allocator *al)
{
	size_t i;

	for (i = 0; i < al->slot_count; i++) {
		if (al->pools[i].used && al->pools[i].retired_us == 0 &&
		    !al->pools[i].reported)
			return false;
	}
	return true;
}

/*
 * Proposes the room that is left of an account to a pool whose fixed part
 * would exceed it, also in dimensions that have no limit at present.
 */
static void
except_account(
    struct cap_allocator *al, struct allocator_account *a, size_t slot)
{
	static const struct account_cap whole = {
	    ACCOUNT_CAP_MAX, ACCOUNT_CAP_MAX, ACCOUNT_CAP_MAX};
	const struct allocator_entry *e = a->entries[slot];
	int64_t fixed = ACCOUNT_CAP_MAX / al->pools[slot].wanted_divisor;
	struct cap_share share = {0};
	bool excepted[CAP_DIMENSIONS] = {false}, exception = false;
	int64_t room;
	size_t i;
	int d;

	if (a->entry_count == 0)
		return;
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (e != NULL &&
		    (cap_get(&e->held.cap, d) > 0 ||
			(e->proposed && cap_get(&e->target.cap, d) > 0)))
			continue; /* it has a share of its own */
		room = ACCOUNT_CAP_MAX;
		for (i = 0; i < al->slot_count; i++) {
			if (i != slot)
				room -= allocator_held(al, a, i, &whole, d);
		}
		if (room >= fixed)
			continue;
		exception = excepted[d] = true;
		*cap_at(&share.share, d) = room < 0 ? 0 : room;
		*cap_at(&share.cap, d) = ACCOUNT_CAP_MAX;
	}
	if (!exception)
		return;
	allocator_propose(al, a, slot, &share);
	for (d = 0; d < CAP_DIMENSIONS; d++)
		a->entries[slot]->excepted[d] |= excepted[d];
}

/* The fixed parts of all pools fit an account that has nothing else. */
static bool
fixed_parts_fit(const struct cap_allocator *al, size_t slot)
{
	double sum = 0;
	int64_t divisor;
	size_t i;

	for (i = 0; i < al->slot_count; i++) {
		if (!al->pools[i].used)
			continue;
		divisor = i == slot ? al->pools[i].wanted_divisor
				    : held_divisor(&al->pools[i]);
		sum += divisor > 0 ? 1 / (double)divisor : 0;
	}
	return sum <= 1 + 1e-9;
}

static void
plan_fixed_part(struct cap_allocator *al, size_t slot)
{
	struct allocator_pool *p = &al->pools[slot];
	struct allocator_account *a;
	bool raises;

	/* one change at a time: an earlier one may still be in force */
	if (p->sent_divisor == p->wanted_divisor ||
	    p->divisor_number > p->echoed_number)
		return;
	raises =
	    larger_part(held_divisor(p), p->wanted_divisor) != held_divisor(p);
	if (raises) {
		if (!fixed_parts_fit(al, slot))
			return;
		for (a = al->accounts; a != NULL; a = a->hh.next)
			except_account(al, a, slot);
	}
	p->sent_divisor = p->wanted_divisor;
	p->divisor_number = INT64_MAX; /* set when it is sent */
}

static void
drop_retired(struct cap_allocator *al, int64_t now_us)
{
	struct allocator_pool *p;
	size_t i;

	for (i = 0; i < al->slot_count; i++) {
		p = &al->pools[i];
		if (!p->used || p->retired_us == 0 ||
		    now_us - p->retired_us < RETIRED_HOLD_US)
			continue;
		clear_entries(al, i);
		memset(p, 0, sizeof(*p));
		mark_all_dirty(al);
	}
}

void
cap_allocator_step(struct cap_allocator *al, int64_t now_us)
{
	struct allocator_account *a;
	size_t i;

	drop_retired(al, now_us);
	if (!all_reported(al))
		return;
	for (i = 0; i < al->slot_count; i++) {
		if (al->pools[i].used && al->pools[i].retired_us == 0)
			plan_fixed_part(al, i);
	}
	for (a = al->accounts; a != NULL; a = a->hh.next) {
		if (!a->dirty)
			continue;
		a->dirty = false;
		if (a->configured && account_capped(&a->settings) &&
		    a->entry_count > 0)
			allocator_plan_account(al, a);
	}
}

bool
cap_allocator_has_news(const struct cap_allocator *al, const char *pool)
{
	const struct allocator_pool *p = find_pool(al, pool);

	return p != NULL && p->reported &&
	    (p->pending_count > 0 || p->divisor_number == INT64_MAX);
}

static void
add_proposals(struct cap_allocator *al, size_t slot, struct cap_request *r)
{
	struct allocator_pool *p = &al->pools[slot];
	size_t n = p->pending_count + p->unconfirmed_count;
	struct allocator_account *a;
	struct allocator_entry *e;

	r->list = n > 0 ? grow(NULL, sizeof(*r->list), 0, n) : NULL;
	for (a = al->accounts; n > 0 && a != NULL; a = a->hh.next) {
		e = a->entries[slot];
		if (e == NULL || (!e->pending && !e->unconfirmed))
			continue;
		if (!e->unconfirmed) {
			memset(
			    &e->unconfirmed_max, 0, sizeof(e->unconfirmed_max));
			p->unconfirmed_count++;
		}
		cap_share_raise_to(&e->unconfirmed_max, &e->target);
		e->unconfirmed = true;
		e->pending = false;
		e->sent_number = r->number;
		memcpy(r->list[r->count].account, a->settings.name,
		    sizeof(r->list[r->count].account));
		r->list[r->count++].share = e->target;
	}
	p->pending_count = 0;
}

bool
cap_allocator_request(
    struct cap_allocator *al, const char *pool, struct cap_request *r)
{
	struct allocator_pool *p = find_pool(al, pool);

	memset(r, 0, sizeof(*r));
	if (p == NULL)
		return false;
	if (p->reported && p->revision == p->acked_revision &&
	    p->sent_number == p->echoed_number &&
	    !cap_allocator_has_news(al, pool))
		return false;
	r->controller = al->controller;
	r->number = ++p->sent_number;
	r->owner = p->owner;
	if (!p->reported)
		return true;
	r->seen_revision = p->acked_revision = p->revision;
	if (p->divisor_number > p->echoed_number) {
		r->fixed_divisor = p->sent_divisor;
		p->divisor_number = r->number;
	}
	add_proposals(al, (size_t)(p - al->pools), r);
	return true;
}

void
cap_allocator_stats(
    const struct cap_allocator *al, struct cap_allocator_stats *s)
{
	size_t i;

	*s = al->stats;
	for (i = 0; i < al->slot_count; i++) {
		s->pools += al->pools[i].used;
		s->pools_reported += al->pools[i].reported;
	}
}
