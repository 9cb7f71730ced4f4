/*
 * Retries of failed attempts: a token bucket for each service and the back-off.
 * The budget is a share of the service's fresh requests, so that retries do not
 * multiply the load of a failing pool.
 */
#ifndef PATH_RETRY_H
#define PATH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	int64_t tokens_ppm; /* TEXT_PPM is one retry */
	int64_t last_tick_us; /* last deposit by retry_tick() */
};

/*
 * Starts with a full bucket, so that a single failure of a quiet service may be
 * retried.
 */
void retry_init(struct retry_budget *b);
/* Deposits one retry each second, whatever the load. */
void retry_tick(struct retry_budget *b, int64_t now_us);

/* Deposits a fresh request's share of a retry. */
void retry_deposit(struct retry_budget *b, int budget_ppm);
/* Withdraws one retry; false where the budget is used up. */
bool retry_withdraw(struct retry_budget *b);
/* Back-off before attempt number attempts + 1: exponential with jitter. */
int64_t retry_backoff_us(unsigned attempts, uint64_t *prng);

#endif
