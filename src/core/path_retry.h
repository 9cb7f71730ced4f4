/*
 * Whether a failed attempt may be repeated, and when.  A retry budget per
 * service (a share of its fresh requests) keeps retries from multiplying the
 * load of a pool that fails.
 */
#ifndef PATH_RETRY_H
#define PATH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	int64_t tokens_ppm; /* TEXT_PPM buys one retry */
	int64_t last_tick_us; /* last earning by time */
};

/* A lone failure of a quiet service may be repeated. */
void retry_init(struct retry_budget *b);
/* Earns one retry a second, whatever the load. */
void retry_tick(struct retry_budget *b, int64_t now_us);

/* A fresh request earns its share of a retry. */
void retry_deposit(struct retry_budget *b, int budget_ppm);
/* Takes one retry out of the budget; false where there is none left. */
bool retry_withdraw(struct retry_budget *b);
/* Jittered exponential back-off before attempt "attempts" + 1. */
int64_t retry_backoff_us(unsigned attempts, uint64_t *prng);

#endif
