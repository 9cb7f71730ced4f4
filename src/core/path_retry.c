#include "path_retry.h"

#include "bounds.h"
#include "text.h"
#include "view.h"

#define RETRY_BURST_MAX 5 /* capacity of the token bucket, in retries */
#define BACKOFF_BASE_US (10 * US_PER_MS)
#define BACKOFF_MAX_US (400 * US_PER_MS)

void
retry_init(struct retry_budget *b)
{
	b->tokens_ppm = (int64_t)RETRY_BURST_MAX * TEXT_PPM;
	b->last_tick_us = 0;
}

void
retry_tick(struct retry_budget *b, int64_t now_us)
{
	if (now_us - b->last_tick_us < US_PER_S)
		return;
	b->last_tick_us = now_us;
	retry_deposit(b, TEXT_PPM);
}

void
retry_deposit(struct retry_budget *b, int budget_ppm)
{
	b->tokens_ppm += budget_ppm;
	if (b->tokens_ppm > (int64_t)RETRY_BURST_MAX * TEXT_PPM)
		b->tokens_ppm = (int64_t)RETRY_BURST_MAX * TEXT_PPM;
}

bool
retry_withdraw(struct retry_budget *b)
{
	if (b->tokens_ppm < TEXT_PPM)
		return false;
	b->tokens_ppm -= TEXT_PPM;
	return true;
}

int64_t
retry_backoff_us(unsigned attempts, uint64_t *prng)
{
	int64_t max_us = BACKOFF_BASE_US;

	while (attempts > 1 && max_us < BACKOFF_MAX_US) {
		max_us *= 2;
		attempts--;
	}
	return max_us / 2 + (int64_t)prng_below(prng, (uint64_t)max_us / 2 + 1);
}
