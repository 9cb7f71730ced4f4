/* Numbers from a seed (SplitMix64). */
#ifndef SOAK_RNG_H
#define SOAK_RNG_H

#include <stdint.h>

struct soak_rng {
	uint64_t state;
};

static inline void
soak_rng_init(struct soak_rng *r, uint64_t seed)
{
	r->state = seed;
}

static inline uint64_t
soak_rng_next(struct soak_rng *r)
{
	uint64_t z = r->state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

static inline uint32_t
soak_rng_below(struct soak_rng *r, uint32_t n)
{
	return (uint32_t)(soak_rng_next(r) % n);
}

#endif
