#include "cap_exchange.h"

#include <stdio.h>
#include <stdlib.h>

#include "cap_allocator.h"
#include "metric.h"

/*
 * From a report until proposals that follow from it are sent: reports on
 * several pools arrive together.
 */
#define FOLLOW_UP_MS 5
#define FOLLOW_UP_SPACING_MS 50 /* least time between two of them */
#define LOG_INTERVAL_US (1 * US_PER_S)

struct cap_exchange {
	struct scheduler *scheduler;
	struct cap_allocator *allocator; /* NULL until an account has a cap */
	bool active; /* an account has a cap */
	int64_t controller;
	void (*send)(void *arg, const char *pool);
	void *arg;
	lws_sorted_usec_list_t follow_up_sul;
	bool follow_up_due; /* further reports do not put it off */
	int64_t followed_up_us;
	int64_t logged_us;
	uint64_t logged_proposals;
};

static void
find_cap(void *arg, const struct account_settings *a)
{
	bool *found = arg;

	*found |= account_capped(a);
}

bool
config_has_caps(const struct config *c)
{
	bool found = false;

	if (c != NULL)
		account_table_each(c->accounts, find_cap, &found);
	return found;
}

void
cap_exchange_config_changed(struct cap_exchange *x)
{
	const struct config *c = x->scheduler->config;
	char(*pools)[NAME_BYTES];
	size_t i, n = 0;

	x->active = config_has_caps(c);
	if (x->allocator == NULL) {
		if (!x->active)
			return;
		x->allocator = cap_allocator_new(x->controller);
	}
	pools = calloc(c->pool_count + 1, sizeof(*pools));
	if (x->allocator == NULL || pools == NULL)
		abort(); /* accounts would run at their fixed parts for good */
	for (i = 0; i < c->pool_count; i++) {
		if (!c->pools[i].spare)
			snprintf(
			    pools[n++], NAME_BYTES, "%s", c->pools[i].name);
	}
	cap_allocator_configure(x->allocator, (const char(*)[NAME_BYTES])pools,
	    n, c->accounts, sched_boottime_us());
	free(pools);
}

struct cap_exchange *
cap_exchange_new(struct scheduler *s, int64_t controller,
    void (*send)(void *arg, const char *pool), void *arg)
{
	struct cap_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->scheduler = s;
	x->controller = controller;
	x->send = send;
	x->arg = arg;
	cap_exchange_config_changed(x);
	return x;
}

void
cap_exchange_free(struct cap_exchange *x)
{
	if (x == NULL)
		return;
	lws_sul_cancel(&x->follow_up_sul);
	x->follow_up_due = false;
	cap_allocator_free(x->allocator);
	free(x);
}

/* One line a second at most; owners log each share that they write. */
static void
log_proposals(struct cap_exchange *x)
{
	struct cap_allocator_stats st;
	int64_t now_us = sched_boottime_us();

	cap_allocator_stats(x->allocator, &st);
	if (st.proposals == x->logged_proposals ||
	    now_us - x->logged_us < LOG_INTERVAL_US)
		return;
	x->logged_us = now_us;
	x->logged_proposals = st.proposals;
	daemon_log(LOG_LEVEL_INFO, "caps",
	    "msg=\"proposes shares of accounts' caps\" proposals=%llu "
	    "raises=%llu reductions=%llu pools=%zu reported=%zu fence=%lld",
	    (unsigned long long)st.proposals, (unsigned long long)st.raises,
	    (unsigned long long)st.reductions, st.pools, st.pools_reported,
	    (long long)x->controller);
}

void
cap_exchange_tick(struct cap_exchange *x)
{
	if (!x->active)
		return;
	cap_allocator_step(x->allocator, sched_boottime_us());
	log_proposals(x);
}

void
cap_exchange_fill(
    struct cap_exchange *x, const char *pool, struct cap_request *r)
{
	if (x->active)
		cap_allocator_request(x->allocator, pool, r);
}

static void
on_follow_up(lws_sorted_usec_list_t *sul)
{
	struct cap_exchange *x =
	    lws_container_of(sul, struct cap_exchange, follow_up_sul);
	const struct config *c = x->scheduler->config;
	size_t i;

	x->follow_up_due = false;
	if (!x->active)
		return;
	x->followed_up_us = sched_boottime_us();
	cap_exchange_tick(x);
	for (i = 0; i < c->pool_count; i++) {
		if (cap_allocator_has_news(x->allocator, c->pools[i].name))
			x->send(x->arg, c->pools[i].name);
	}
}

void
cap_exchange_report(struct cap_exchange *x, const char *pool, int64_t owner,
    const struct cap_report *r)
{
	int64_t wait_us;

	if (x->allocator == NULL)
		return;
	cap_allocator_note_owner(x->allocator, pool, owner);
	if (r == NULL)
		return;
	cap_allocator_report(x->allocator, pool, r);
	if (x->follow_up_due)
		return;
	x->follow_up_due = true;
	wait_us = x->followed_up_us + FOLLOW_UP_SPACING_MS * US_PER_MS -
	    sched_boottime_us();
	if (wait_us < FOLLOW_UP_MS * US_PER_MS)
		wait_us = FOLLOW_UP_MS * US_PER_MS;
	lws_sul_schedule(
	    x->scheduler->context, 0, &x->follow_up_sul, on_follow_up, wait_us);
}

void
cap_exchange_metrics(const struct cap_exchange *x, struct buf *out)
{
	struct cap_allocator_stats st;

	if (x == NULL || x->allocator == NULL)
		return;
	cap_allocator_stats(x->allocator, &st);
	metric_counter(out, "cap_proposals_total",
	    "shares of caps proposed to owners", "", st.proposals);
	metric_gauge(out, "cap_pools_reported",
	    "pools whose owners have reported their shares", "",
	    (int64_t)st.pools_reported);
}
