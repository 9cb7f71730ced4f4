/*
 * Moves of machines between pools.  Answers demand that comes by turns: a
 * pool grows at once, from the spare pool and from pools that need less, and
 * gives machines back to the spare pool when it has needed them no more for
 * longer than two moves cost.
 */
#include <stdio.h>
#include <string.h>

#include "fleet_state.h"

#define REPORT_FRESH_MS 1500 /* a need older than this moves nothing */
#define PEAK_MS 3000 /* a need counts so long after it was seen */
#define HEADROOM 1.1 /* times what is wanted: tasks do not fit evenly */
#define TREND_MS 600 /* over which growth is measured */
#define LEAD_SPARE_MS 1500 /* a moved machine's way into its new pool */
#define POOL_MIN 2 /* machines a pool keeps, for the first jobs of a turn */
#define MOVES_AT_ONCE 24

static bool
pool_fresh(const struct fleet *f, const struct fleet_pool *p)
{
	return p->told_us != 0 &&
	    f->now_us - p->told_us < REPORT_FRESH_MS * US_PER_MS;
}

/*
 * What the pool will want by the time that a machine moved now can work, if
 * its demand goes on to grow as it does.
 */
static double
projected_milli(struct fleet *f, struct fleet_pool *p)
{
	int64_t age_ms = (f->now_us - p->earlier_us) / US_PER_MS;
	double grown = (double)(p->wanted_milli - p->earlier_milli);
	double lead_ms = f->opts.move_ms + LEAD_SPARE_MS;

	if (p->earlier_us == 0 || age_ms >= TREND_MS) {
		p->trend_milli = p->earlier_us == 0 || grown < 0
		    ? 0
		    : grown * lead_ms / (double)age_ms;
		p->earlier_milli = p->wanted_milli;
		p->earlier_us = f->now_us;
	}
	return (double)p->wanted_milli * HEADROOM + p->trend_milli;
}

static void
update_need(struct fleet *f, struct fleet_pool *p)
{
	size_t need;

	if (!pool_fresh(f, p))
		return;
	need = (size_t)(projected_milli(f, p) / 1000 + 0.99);
	if (need < p->floor)
		need = p->floor;
	if (need < POOL_MIN)
		need = POOL_MIN;
	p->need = need;
	if (need >= p->peak || f->now_us - p->peak_us > PEAK_MS * US_PER_MS) {
		p->peak = need;
		p->peak_us = f->now_us;
	}
}

/* Machines a pool has or is about to have. */
static size_t
pool_have(const struct fleet *f, const struct fleet_pool *p)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->order == ORDER_MOVE)
			n += strcmp(m->to_pool, p->name) == 0;
		else
			n += strcmp(m->report.pool, p->name) == 0 &&
			    m->report.state != MACHINE_DOWN;
	}
	return n;
}

static size_t
moves_under_way(const struct fleet *f)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += m->order == ORDER_MOVE;
	return n;
}

static bool
may_move(const struct fleet *f, const struct machine *m)
{
	return m->order == ORDER_NONE && m->report.state == MACHINE_UP &&
	    f->now_us >= m->retry_us && machine_idle(f, m);
}

static void
begin_move(struct fleet *f, struct machine *m, const struct fleet_pool *to)
{
	machine_set_order(f, m, ORDER_MOVE);
	snprintf(m->to_pool, sizeof(m->to_pool), "%s", to->name);
	fleet_log(f,
	    "msg=\"machine is to move\" machine=%s pool=%s to=%s need=%zu "
	    "peak=%zu wanted_milli=%lld report_age_ms=%lld",
	    m->report.machine, m->report.pool, to->name, to->need, to->peak,
	    (long long)to->wanted_milli,
	    (long long)((f->now_us - to->told_us) / US_PER_MS));
}

/* A machine of the spare pool, or one that its pool does not need. */
static struct machine *
find_source(struct fleet *f, const struct fleet_pool *to)
{
	struct machine *m, *best = NULL;
	struct fleet_pool *from;
	bool spare, best_spare = false;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		from = fleet_find_pool(f, m->report.pool);
		if (from == NULL || from == to || !may_move(f, m))
			continue;
		spare = from->spare;
		if (!spare &&
		    (!pool_fresh(f, from) || pool_have(f, from) <= from->peak))
			continue;
		if (best == NULL || (spare && !best_spare)) {
			best = m;
			best_spare = spare;
		}
	}
	return best;
}

static void
grow(struct fleet *f)
{
	struct fleet_pool *p, *worst;
	size_t i, have, lacks, most;
	struct machine *m;

	while (moves_under_way(f) < MOVES_AT_ONCE) {
		worst = NULL;
		most = 0;
		for (i = 0; i < f->pool_count; i++) {
			p = &f->pools[i];
			if (p->spare || !pool_fresh(f, p))
				continue;
			have = pool_have(f, p);
			lacks = p->need > have ? p->need - have : 0;
			if (lacks > most) {
				most = lacks;
				worst = p;
			}
		}
		m = worst != NULL ? find_source(f, worst) : NULL;
		if (m == NULL)
			return;
		begin_move(f, m, worst);
	}
}

static struct fleet_pool *
spare_pool(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->pool_count; i++) {
		if (f->pools[i].spare)
			return &f->pools[i];
	}
	return NULL;
}

static void
shrink(struct fleet *f)
{
	struct fleet_pool *spare = spare_pool(f), *from;
	struct machine *m;

	if (spare == NULL)
		return;
	for (m = f->machines; m != NULL; m = m->hh.next) {
		from = fleet_find_pool(f, m->report.pool);
		if (from == NULL || from->spare || !pool_fresh(f, from) ||
		    !may_move(f, m) || pool_have(f, from) <= from->peak ||
		    moves_under_way(f) >= MOVES_AT_ONCE)
			continue;
		begin_move(f, m, spare);
	}
}

/* One line a second: what moves are decided by. */
static void
log_pools(struct fleet *f)
{
	char text[FLEET_LOG_BYTES] = "";
	const struct fleet_pool *p;
	size_t i, n = 0;

	if (f->now_us - f->pools_logged_us < US_PER_S)
		return;
	f->pools_logged_us = f->now_us;
	for (i = 0; i < f->pool_count && n < sizeof(text) - 60; i++) {
		p = &f->pools[i];
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    " %s=%zu/%zu/%zu/%lld", p->name, pool_have(f, p), p->need,
		    p->peak, (long long)p->wanted_milli);
	}
	fleet_log(f, "msg=\"pools: have/need/peak/wanted milli\"%s", text);
}

void
fleet_run_moves(struct fleet *f)
{
	size_t i;

	log_pools(f);

	for (i = 0; i < f->pool_count; i++)
		update_need(f, &f->pools[i]);
	grow(f);
	shrink(f);
}
