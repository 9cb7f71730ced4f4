/*
 * Moves of machines between pools.  Demand alternates between the pools.  A
 * pool grows at once, from the spare pool and from pools that need fewer
 * machines.  It returns machines to the spare pool when it has not needed them
 * for longer than two moves take.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "roster_state.h"

#define DEMAND_MAX_AGE_MS 1500 /* no moves by demand that is older */
#define PEAK_HOLD_MS 3000 /* a need counts for this long after it was seen */
/* Multiplies the wanted capacity: tasks do not fill machines evenly. */
#define NEED_HEADROOM_FACTOR 1.1
/*
 * Multiplies the capacity that arriving work takes: a reserve for the work that
 * queues up while machines move.  See docs/JOBS.md.
 */
#define FORECAST_FACTOR 2.0
/*
 * A worker counts as missing when its machine has no command and is neither
 * down nor in maintenance, but the pool's owner has not reported the worker for
 * this long.  Until then the owner may be new or the worker may be starting.
 */
#define WORKER_MISSING_MS 2500
#define POOL_MIN_MACHINES 2 /* for the first jobs of the next demand peak */
/*
 * Limit of moves to the spare pool that wait for an idle worker: one in four
 * of all machines, but at least 12.
 */
#define SPARE_MOVES_DIVISOR 4
#define SPARE_MOVES_MIN 12

static bool
pool_demand_is_fresh(const struct roster *r, const struct roster_pool *p)
{
	return p->last_report_us != 0 &&
	    r->now_us - p->last_report_us < DEMAND_MAX_AGE_MS * US_PER_MS;
}

/* The pool's owner does not see workers that are new. */
static bool
worker_list_is_stale(const struct roster_pool *p)
{
	return p->last_report_us != 0 && p->worker_list_fresh_since_us == 0;
}

static size_t
machines_for_demand(const struct roster_pool *p, double workers_milli)
{
	size_t n = (size_t)(workers_milli / 1000 + 0.99);

	if (n < p->demand.long_running_workers)
		n = p->demand.long_running_workers;
	if (n < p->demand.min_workers)
		n = p->demand.min_workers;
	return n < POOL_MIN_MACHINES ? POOL_MIN_MACHINES : n;
}

static size_t
size_max(size_t a, size_t b)
{
	return a > b ? a : b;
}

/*
 * A new owner learns the demand over some time.  Until then the last known
 * values count, too.
 */
static void
update_retained(struct roster *r, struct roster_pool *p)
{
	bool recently_known = p->last_known_us != 0 &&
	    r->now_us - p->last_known_us < PEAK_HOLD_MS * US_PER_MS;

	if (p->demand.coverage == DEMAND_COMPLETE) {
		p->last_known_need = p->need;
		p->last_known_forecast = p->forecast;
		p->last_known_us = r->now_us;
	}
	p->demand_coverage =
	    recently_known ? DEMAND_COMPLETE : p->demand.coverage;
	p->retained_need = p->need;
	p->retained_forecast = p->forecast;
	if (recently_known && p->demand.coverage == DEMAND_UNKNOWN)
		p->retained_need = size_max(p->need, p->last_known_need);
	if (recently_known)
		p->retained_forecast =
		    size_max(p->forecast, p->last_known_forecast);
}

static void
update_peak(struct roster *r, struct roster_pool *p)
{
	bool was_known = p->peak_known;

	p->peak_known = p->demand_coverage == DEMAND_COMPLETE;
	if (!p->peak_known)
		return;
	if (!was_known) {
		/* assume that it needed all machines that it had */
		p->peak = size_max(p->machine_count, p->peak);
		p->peak_us = r->now_us;
	}
	if (p->retained_forecast >= p->peak ||
	    r->now_us - p->peak_us > PEAK_HOLD_MS * US_PER_MS) {
		p->peak = p->retained_forecast;
		p->peak_us = r->now_us;
	}
}

static void
update_need(struct roster *r, struct roster_pool *p)
{
	if (!pool_demand_is_fresh(r, p))
		return;
	p->need = machines_for_demand(p,
	    fmax((double)p->demand.wanted_workers_milli * NEED_HEADROOM_FACTOR,
		(double)p->demand.arriving_workers_milli));
	p->forecast = machines_for_demand(
	    p, (double)p->demand.arriving_workers_milli * FORECAST_FACTOR);
	p->forecast = size_max(p->forecast, p->need);
	update_retained(r, p);
	update_peak(r, p);
}

static struct roster_pool *
machine_pool(struct roster *r, const struct machine *m)
{
	return roster_find_pool(r, m->report.pool);
}

/* The pool that a machine is in or moves to; NULL if it is down. */
static struct roster_pool *
machine_target_pool(struct roster *r, const struct machine *m)
{
	if (m->command == MACHINE_COMMAND_MOVE)
		return roster_find_pool(r, m->to_pool);
	return m->report.state != MACHINE_DOWN ? machine_pool(r, m) : NULL;
}

/* The pool's owner has not reported the machine's worker for too long. */
static bool
worker_is_missing(const struct roster *r, const struct machine *m,
    const struct roster_pool *p)
{
	int64_t since_us = m->last_report_us > m->worker_listed_us
	    ? m->last_report_us
	    : m->worker_listed_us;

	if (m->last_report_us == 0 && worker_list_is_stale(p))
		return false; /* the owner cannot have seen the worker yet */
	if (m->last_report_us == 0 && p->worker_list_fresh_since_us > since_us)
		since_us = p->worker_list_fresh_since_us;
	return m->command == MACHINE_COMMAND_NONE && !p->spare &&
	    pool_demand_is_fresh(r, p) &&
	    r->now_us - since_us > WORKER_MISSING_MS * US_PER_MS;
}

/*
 * A machine in maintenance, or about to be, does not count for its pool: its
 * tasks need capacity elsewhere before they leave it.
 */
static bool
in_maintenance(const struct machine *m)
{
	return m->command == MACHINE_COMMAND_MAINTENANCE ||
	    m->report.state == MACHINE_MAINTENANCE;
}

static void
count_machines(struct roster *r)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < r->pool_count; i++)
		r->pools[i].machine_count = 0;
	for (m = r->machines; m != NULL; m = m->hh.next) {
		p = machine_target_pool(r, m);
		if (p != NULL && !in_maintenance(m) &&
		    !worker_is_missing(r, m, p))
			p->machine_count++;
	}
}

/* The move is not sent yet: another pool can take the machine instead. */
static bool
is_moving_to_spare(struct roster *r, const struct machine *m)
{
	const struct roster_pool *to = roster_find_pool(r, m->to_pool);

	return m->command == MACHINE_COMMAND_MOVE &&
	    m->phase == COMMAND_PHASE_CORDON && m->unconfirmed_us == 0 &&
	    to != NULL && to->spare;
}

static bool
can_move(const struct roster *r, const struct machine *m)
{
	return m->command == MACHINE_COMMAND_NONE &&
	    m->report.state == MACHINE_UP &&
	    r->now_us >= m->command_not_before_us &&
	    machine_report_is_current(m) && machine_idle(r, m);
}

static void
start_move(struct roster *r, struct machine *m, struct roster_pool *to)
{
	struct roster_pool *from = machine_target_pool(r, m);

	if (from != NULL)
		from->machine_count--;
	to->machine_count++;
	if (m->command == MACHINE_COMMAND_NONE)
		machine_set_command(r, m, MACHINE_COMMAND_MOVE);
	snprintf(m->to_pool, sizeof(m->to_pool), "%s", to->name);
	roster_log(r,
	    "msg=\"moving machine once it is idle\" machine=%s pool=%s to=%s "
	    "need=%zu foreseen=%zu wanted_milli=%lld report_age_ms=%lld",
	    m->report.machine, m->report.pool, to->name, to->need, to->forecast,
	    (long long)to->demand.wanted_workers_milli,
	    (long long)((r->now_us - to->last_report_us) / US_PER_MS));
}

/* Why a pool grows, most urgent first. */
enum growth_reason {
	/* long-running tasks lack capacity: takes machines that others need */
	GROW_LONG_RUNNING,
	/* takes machines that others do not need now, also busy ones */
	GROW_NEED,
	GROW_FORECAST /* takes machines that others will not need either */
};

/* All tasks of its worker end by themselves. */
static bool
can_drain(const struct roster *r, const struct machine *m)
{
	return m->command == MACHINE_COMMAND_NONE &&
	    m->report.state == MACHINE_UP &&
	    r->now_us >= m->command_not_before_us && m->last_report_us != 0 &&
	    m->long_running_count == 0;
}

/* Suitability of a machine as the source of a move, best last. */
enum source {
	SOURCE_NONE,
	SOURCE_BUSY, /* its tasks must end first */
	SOURCE_IDLE, /* idle, but its pool needs it, too */
	SOURCE_SURPLUS, /* idle, and its pool does not need it */
	SOURCE_SPARE /* in the spare pool or moving there */
};

static enum source
rate_source(struct roster *r, struct machine *m, struct roster_pool *to,
    enum growth_reason g)
{
	struct roster_pool *from = machine_pool(r, m);

	if (from == NULL || from == to)
		return SOURCE_NONE;
	if (is_moving_to_spare(r, m) || (from->spare && can_move(r, m)))
		return SOURCE_SPARE;
	if (from->spare || !pool_demand_is_fresh(r, from))
		return SOURCE_NONE;
	if (from->machine_count > (g == GROW_FORECAST ? from->retained_forecast
						      : from->retained_need)) {
		if (from->demand_coverage == DEMAND_UNKNOWN) {
			if (can_move(r, m))
				from->withhold_reason = WITHHOLD_NEED_UNKNOWN;
		} else if (can_move(r, m))
			return SOURCE_SURPLUS;
		else if (g == GROW_NEED && !worker_list_is_stale(to) &&
		    can_drain(r, m))
			return SOURCE_BUSY; /* its tasks are late work */
	}
	if (g != GROW_LONG_RUNNING ||
	    from->machine_count <= from->demand.long_running_workers ||
	    from->machine_count <= POOL_MIN_MACHINES)
		return SOURCE_NONE;
	if (worker_list_is_stale(to)) {
		to->withhold_reason = WITHHOLD_STALE_WORKER_LIST;
		return SOURCE_NONE;
	}
	if (can_move(r, m))
		return SOURCE_IDLE;
	return can_drain(r, m) ? SOURCE_BUSY : SOURCE_NONE;
}

/* The most suitable machine; of equal ones, that with the fewest tasks. */
static struct machine *
find_source(struct roster *r, struct roster_pool *to, enum growth_reason g)
{
	enum source source, best_source = SOURCE_NONE;
	struct machine *m, *best = NULL;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		source = rate_source(r, m, to, g);
		if (source == SOURCE_NONE || source < best_source ||
		    (source == best_source &&
			m->task_count >= best->task_count))
			continue;
		best = m;
		best_source = source;
	}
	return best;
}

static size_t
pool_target(const struct roster_pool *p, enum growth_reason g)
{
	switch (g) {
	case GROW_LONG_RUNNING:
		return p->demand.long_running_workers;
	case GROW_NEED:
		return p->need;
	case GROW_FORECAST:
		return p->forecast;
	}
	return 0;
}

/*
 * Pools whose owner sees new workers come first, as they can use a machine at
 * once; then the pool that lacks most.
 */
static bool
has_precedence(const struct roster_pool *p, size_t lacking,
    const struct roster_pool *other, size_t other_lacking)
{
	if (other != NULL &&
	    worker_list_is_stale(p) != worker_list_is_stale(other))
		return worker_list_is_stale(other);
	return lacking > other_lacking;
}

/* The first pool in order that lacks machines and may find a source. */
static struct roster_pool *
find_pool_to_grow(struct roster *r, enum growth_reason g)
{
	struct roster_pool *p, *first = NULL;
	size_t i, target, max_lacking = 0;

	for (i = 0; i < r->pool_count; i++) {
		p = &r->pools[i];
		if (p->spare || p->source_exhausted ||
		    !pool_demand_is_fresh(r, p))
			continue;
		target = pool_target(p, g);
		if (target > p->machine_count &&
		    has_precedence(
			p, target - p->machine_count, first, max_lacking)) {
			max_lacking = target - p->machine_count;
			first = p;
		}
	}
	return first;
}

static void
grow(struct roster *r, enum growth_reason g)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < r->pool_count; i++)
		r->pools[i].source_exhausted = false;
	while ((p = find_pool_to_grow(r, g)) != NULL) {
		m = find_source(r, p, g);
		if (m != NULL)
			start_move(r, m, p);
		else
			p->source_exhausted = true;
	}
}

static struct roster_pool *
find_spare_pool(struct roster *r)
{
	size_t i;

	for (i = 0; i < r->pool_count; i++) {
		if (r->pools[i].spare)
			return &r->pools[i];
	}
	return NULL;
}

static size_t
count_moves_to_spare(struct roster *r)
{
	const struct machine *m;
	size_t n = 0;

	for (m = r->machines; m != NULL; m = m->hh.next)
		n += is_moving_to_spare(r, m);
	return n;
}

static void
shrink(struct roster *r)
{
	struct roster_pool *spare = find_spare_pool(r), *from;
	size_t max_moves = HASH_COUNT(r->machines) / SPARE_MOVES_DIVISOR, moves;
	struct machine *m;

	if (spare == NULL)
		return;
	if (max_moves < SPARE_MOVES_MIN)
		max_moves = SPARE_MOVES_MIN;
	moves = count_moves_to_spare(r);
	for (m = r->machines; m != NULL; m = m->hh.next) {
		from = machine_pool(r, m);
		if (from == NULL || from->spare ||
		    !pool_demand_is_fresh(r, from) || !can_move(r, m) ||
		    from->machine_count <= from->peak)
			continue;
		if (!from->peak_known || worker_list_is_stale(from)) {
			from->withhold_reason = from->peak_known
			    ? WITHHOLD_STALE_WORKER_LIST
			    : WITHHOLD_NEED_UNKNOWN;
			continue;
		}
		if (moves++ >= max_moves)
			return;
		start_move(r, m, spare);
	}
}

static const char *const withhold_reason_names[] = {
    [WITHHOLD_NONE] = "",
    [WITHHOLD_NEED_UNKNOWN] = "need-unknown",
    [WITHHOLD_STALE_WORKER_LIST] = "owner-reads-no-list",
};

/* Logs pools from or to which moves were withheld since the last line. */
static void
log_withheld(struct roster *r)
{
	char text[ROSTER_LOG_BYTES] = "";
	struct roster_pool *p;
	size_t i, n = 0;

	if (r->now_us - r->withheld_logged_us < US_PER_S)
		return;
	for (i = 0; i < r->pool_count && n < sizeof(text) - 100; i++) {
		p = &r->pools[i];
		if (p->withhold_reason == WITHHOLD_NONE)
			continue;
		n += (size_t)snprintf(text + n, sizeof(text) - n, " %s=%s/%zu",
		    p->name, withhold_reason_names[p->withhold_reason],
		    p->machine_count);
		p->withhold_reason = WITHHOLD_NONE;
	}
	if (n == 0)
		return;
	r->withheld_logged_us = r->now_us;
	roster_log(r, "msg=\"moves withheld: reason/machines\"%s", text);
}

static const char *const demand_coverage_names[] = {
    [DEMAND_UNKNOWN] = "unknown",
    [DEMAND_BACKLOG] = "queued",
    [DEMAND_COMPLETE] = "known",
};

/* Logs the figures that moves are decided by, once a second. */
static void
log_pools(struct roster *r)
{
	char text[ROSTER_LOG_BYTES] = "";
	const struct roster_pool *p;
	size_t i, n = 0;

	if (r->now_us - r->pools_logged_us < US_PER_S)
		return;
	r->pools_logged_us = r->now_us;
	for (i = 0; i < r->pool_count && n < sizeof(text) - 100; i++) {
		p = &r->pools[i];
		if (p->spare || p->last_report_us == 0) {
			n += (size_t)snprintf(text + n, sizeof(text) - n,
			    " %s=%zu/%s", p->name, p->machine_count,
			    p->spare ? "spare" : "unknown");
			continue;
		}
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    " %s=%zu/%zu/%zu/%zu/%lld/%lld/%s/%lld/%lld", p->name,
		    p->machine_count, p->need, p->forecast, p->peak,
		    (long long)p->demand.wanted_workers_milli,
		    (long long)p->demand.arriving_workers_milli,
		    demand_coverage_names[p->demand.coverage],
		    (long long)((r->now_us - p->last_report_us) / US_PER_MS),
		    (long long)((r->now_us - p->worker_list_us) / US_PER_MS));
	}
	roster_log(r,
	    "msg=\"pools: machines/need/forecast/peak/wanted/arriving milli/"
	    "demand/report age/worker list age ms\"%s",
	    text);
}

void
roster_run_moves(struct roster *r)
{
	size_t i;

	count_machines(r);
	log_pools(r);
	for (i = 0; i < r->pool_count; i++)
		update_need(r, &r->pools[i]);
	grow(r, GROW_LONG_RUNNING);
	grow(r, GROW_NEED);
	grow(r, GROW_FORECAST);
	shrink(r);
	log_withheld(r);
}
