#include "path_health.h"

/* Weight of the old value in the moving average, of 8. */
#define EWMA_OLD_WEIGHT 7
#define CONSECUTIVE_FAILURES_BAD 5
#define FAILURE_BAD_PPM 500000
#define FAILURE_DEGRADED_PPM 200000
#define PROBE_INTERVAL_MIN_US (500 * US_PER_MS)
#define PROBE_INTERVAL_MAX_US (16 * US_PER_S)
#define DECAY_AFTER_US (1 * US_PER_S)
#define LATENCY_DEFAULT_US (10 * US_PER_MS)

static int64_t
smooth(int64_t old, int64_t sample)
{
	return (old * EWMA_OLD_WEIGHT + sample) / (EWMA_OLD_WEIGHT + 1);
}

static void
health_restore(struct upstream *u)
{
	u->health = UPSTREAM_HEALTHY;
	u->probing = false;
	u->probe_interval_us = 0;
	u->consecutive_failures = 0;
	u->failure_ppm = 0;
}

void
health_record_answer(
    struct upstream *u, int64_t now_us, int64_t elapsed_us, bool good)
{
	if (!good) {
		health_record_failure(u, now_us);
		return;
	}
	u->answered_count++;
	u->consecutive_failures = 0;
	u->failure_ppm = smooth(u->failure_ppm, 0);
	u->latency_us =
	    u->latency_us == 0 ? elapsed_us : smooth(u->latency_us, elapsed_us);
	u->latency_sampled_us = now_us;
	if (u->health == UPSTREAM_EJECTED)
		health_restore(u);
}

void
health_record_failure(struct upstream *u, int64_t now_us)
{
	u->failed_count++;
	u->consecutive_failures++;
	u->failure_ppm = smooth(u->failure_ppm, TEXT_PPM);
	if (u->health != UPSTREAM_EJECTED)
		return;
	u->probing = false;
	u->probe_interval_us *= 2;
	if (u->probe_interval_us > PROBE_INTERVAL_MAX_US)
		u->probe_interval_us = PROBE_INTERVAL_MAX_US;
	u->next_probe_us = now_us + u->probe_interval_us;
}

void
health_release_probe(struct upstream *u)
{
	u->probing = false;
}

bool
health_is_bad(const struct upstream *u)
{
	return u->consecutive_failures >= CONSECUTIVE_FAILURES_BAD ||
	    u->failure_ppm >= FAILURE_BAD_PPM;
}

/*
 * Number of upstreams of a pool that may be ejected: by the availability
 * budget, but at least one in a pool of two or more.
 */
static int
health_ejection_limit(const struct upstream_pool *p)
{
	int64_t limit = (int64_t)p->upstream_count *
	    (TEXT_PPM - p->availability_ppm) / TEXT_PPM;

	if (limit < 1)
		limit = p->upstream_count > 1 ? 1 : 0;
	return (int)limit;
}

static void
health_eject(struct upstream *u, int64_t now_us)
{
	u->health = UPSTREAM_EJECTED;
	u->probing = false;
	u->probe_interval_us = PROBE_INTERVAL_MIN_US;
	u->next_probe_us = now_us + PROBE_INTERVAL_MIN_US;
}

void
health_update_ejections(struct upstream_pool *p, int64_t now_us,
    bool (*confirm)(const struct upstream *u, const void *arg), const void *arg)
{
	struct upstream *u;
	int ejected = 0, bad = 0, limit = health_ejection_limit(p);

	TAILQ_FOREACH(u, &p->upstreams, link) {
		ejected += u->health == UPSTREAM_EJECTED;
		bad += u->health != UPSTREAM_EJECTED && health_is_bad(u);
	}
	if (bad == 0)
		return;
	TAILQ_FOREACH(u, &p->upstreams, link) {
		if (ejected >= limit)
			return;
		if (u->health == UPSTREAM_EJECTED || !health_is_bad(u))
			continue;
		/*
		 * With more bad upstreams than the budget allows, this daemon's
		 * own link may be the cause.
		 */
		if (bad + ejected > limit && !confirm(u, arg))
			continue;
		health_eject(u, now_us);
		ejected++;
	}
}

bool
health_probe_due(const struct upstream *u, int64_t now_us)
{
	return u->health == UPSTREAM_EJECTED && !u->probing &&
	    u->inflight_slots == 0 && now_us >= u->next_probe_us;
}

static int64_t
health_pool_latency_us(const struct upstream_pool *p)
{
	const struct upstream *u;
	int64_t sum = 0, n = 0;

	TAILQ_FOREACH(u, &p->upstreams, link) {
		if (u->latency_us == 0)
			continue;
		sum += u->latency_us;
		n++;
	}
	return n == 0 ? LATENCY_DEFAULT_US : sum / n;
}

void
health_decay(struct upstream_pool *p, int64_t now_us)
{
	int64_t mean = health_pool_latency_us(p);
	struct upstream *u;

	TAILQ_FOREACH(u, &p->upstreams, link) {
		if (u->latency_us == 0 ||
		    now_us - u->latency_sampled_us < DECAY_AFTER_US)
			continue;
		u->latency_us = smooth(u->latency_us, mean);
		u->failure_ppm = smooth(u->failure_ppm, 0);
		u->latency_sampled_us = now_us;
	}
}

int64_t
health_expected_time_us(const struct upstream *u)
{
	int64_t latency_us = u->latency_us ? u->latency_us : LATENCY_DEFAULT_US;

	return latency_us * (u->inflight_slots + 1);
}

int
health_rank(const struct upstream *u)
{
	if (health_is_bad(u))
		return 2;
	return u->failure_ppm >= FAILURE_DEGRADED_PPM ? 1 : 0;
}
