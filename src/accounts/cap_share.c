#include "cap_share.h"

#include <stdlib.h>
#include <string.h>

int64_t *
cap_at(struct account_cap *c, int dimension)
{
	switch (dimension) {
	case CAP_CPU:
		return &c->cpu_milli;
	case CAP_MEMORY:
		return &c->memory_mb;
	default:
		return &c->accelerators;
	}
}

int64_t
cap_get(const struct account_cap *c, int dimension)
{
	switch (dimension) {
	case CAP_CPU:
		return c->cpu_milli;
	case CAP_MEMORY:
		return c->memory_mb;
	default:
		return c->accelerators;
	}
}

void
cap_add(struct account_cap *to, const struct account_cap *c, int sign)
{
	to->cpu_milli += sign * c->cpu_milli;
	to->memory_mb += sign * c->memory_mb;
	to->accelerators += sign * c->accelerators;
}

/* Products of two caps exceed 64 bits. */
int64_t
cap_scale(int64_t value, int64_t to, int64_t from)
{
	return from > 0 ? (int64_t)((__int128)value * to / from) : 0;
}

int64_t
cap_scale_up(int64_t value, int64_t to, int64_t from)
{
	return from > 0 ? (int64_t)(((__int128)value * to + from - 1) / from)
			: 0;
}

static bool
cap_equal(const struct account_cap *a, const struct account_cap *b)
{
	return a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
	    a->accelerators == b->accelerators;
}

bool
cap_share_equal(const struct cap_share *a, const struct cap_share *b)
{
	return cap_equal(&a->share, &b->share) && cap_equal(&a->cap, &b->cap);
}

int64_t
cap_share_limit(
    const struct cap_share *s, const struct account_cap *cap, int dimension)
{
	int64_t share = cap_get(&s->share, dimension);
	int64_t from = cap_get(&s->cap, dimension);
	int64_t to = cap_get(cap, dimension);

	if (to <= 0)
		return INT64_MAX;
	return to < from || from == 0 ? cap_scale(share, to, from) : share;
}

int64_t
cap_share_held(
    const struct cap_share *s, const struct account_cap *cap, int dimension)
{
	return cap_scale_up(cap_get(&s->share, dimension),
	    cap_get(cap, dimension), cap_get(&s->cap, dimension));
}

void
cap_share_raise_to(struct cap_share *s, const struct cap_share *other)
{
	int64_t share, from;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		share = cap_get(&other->share, d);
		from = cap_get(&other->cap, d);
		if (from == 0 ||
		    (cap_get(&s->cap, d) != 0 &&
			(__int128)share * cap_get(&s->cap, d) <=
			    (__int128)cap_get(&s->share, d) * from))
			continue;
		*cap_at(&s->share, d) = share;
		*cap_at(&s->cap, d) = from;
	}
}

struct cap_share
cap_share_fixed(const struct account_cap *cap, int64_t divisor)
{
	struct cap_share s;
	int d;

	memset(&s, 0, sizeof(s));
	for (d = 0; divisor > 0 && d < CAP_DIMENSIONS; d++) {
		*cap_at(&s.share, d) = cap_get(cap, d) / divisor;
		*cap_at(&s.cap, d) = cap_get(cap, d);
	}
	return s;
}

void
cap_request_uninit(struct cap_request *r)
{
	free(r->list);
	memset(r, 0, sizeof(*r));
}

void
cap_report_uninit(struct cap_report *r)
{
	free(r->list);
	memset(r, 0, sizeof(*r));
}
