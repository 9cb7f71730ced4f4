#include "view.h"

uint64_t
prng_next(uint64_t *state)
{
	uint64_t x = *state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	*state = x;
	return x * UINT64_C(2685821657736338717);
}

uint64_t
prng_below(uint64_t *state, uint64_t bound)
{
	return prng_next(state) % bound;
}
