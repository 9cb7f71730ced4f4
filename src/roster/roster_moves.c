/*
 * Moves of machines between pools.  Answers demand that comes by turns: a
 * pool grows at once, from the spare pool and from pools that need less, and
 * gives machines back to the spare pool when it has needed them no more for
 * longer than two moves cost.
 */
#include <stdio.h>
#include <string.h>

#include "roster_state.h"

#define DEMAND_MAX_AGE_MS 1500 /* a need older than this moves nothing */
#define PEAK_HOLD_MS 3000 /* a need counts so long after it was seen */
#define NEED_HEADROOM_FACTOR \
	1.1 /* times what is wanted: tasks do not fit evenly */
/*
 * Times what arriving work will take up: a reserve for what queues up while
 * machines are on their way.  Measured; see docs/JOBS.md.
 */
#define FORECAST_FACTOR 2.0
/*
 * A machine that is up, whose pool's owner has had nothing of its worker for so
 * long: the owner was new, or the worker starts; then it is not there.
 */
#define WORKER_MISSING_MS 2500
#define POOL_MIN_MACHINES \
	2 /* machines a pool keeps, for the first jobs of a turn */
/* Machines on their way to be off: one in so many of all, but some always. */
#define SPARE_MOVES_DIVISOR 4
#define SPARE_MOVES_MIN 12

static bool
pool_demand_is_fresh(const struct roster *f, const struct roster_pool *p)
{
	return p->last_report_us != 0 &&
	    f->now_us - p->last_report_us < DEMAND_MAX_AGE_MS * US_PER_MS;
}

/* Its owner does not hear of workers that are new. */
static bool
worker_list_is_stale(const struct roster_pool *p)
{
	return p->last_report_us != 0 && p->worker_list_fresh_since_us == 0;
}

static size_t
machines_for_demand(const struct roster_pool *p, double milli)
{
	size_t n = (size_t)(milli / 1000 + 0.99);

	if (n < p->demand.floor)
		n = p->demand.floor;
	if (n < p->demand.least)
		n = p->demand.least;
	return n < POOL_MIN_MACHINES ? POOL_MIN_MACHINES : n;
}

static size_t
size_max(size_t a, size_t b)
{
	return a > b ? a : b;
}

/* A new owner does not know all at once; what was known before stands in. */
static void
update_retained(struct roster *f, struct roster_pool *p)
{
	bool lasts = p->last_known_us != 0 &&
	    f->now_us - p->last_known_us < PEAK_HOLD_MS * US_PER_MS;

	if (p->demand.known == DEMAND_KNOWN) {
		p->last_known_need = p->need;
		p->last_known_forecast = p->forecast;
		p->last_known_us = f->now_us;
	}
	p->demand_known = lasts ? DEMAND_KNOWN : p->demand.known;
	p->retained_need = p->need;
	p->retained_forecast = p->forecast;
	if (lasts && p->demand.known == DEMAND_UNKNOWN)
		p->retained_need = size_max(p->need, p->last_known_need);
	if (lasts)
		p->retained_forecast =
		    size_max(p->forecast, p->last_known_forecast);
}

static void
update_peak(struct roster *f, struct roster_pool *p)
{
	bool was_known = p->peak_known;

	p->peak_known = p->demand_known == DEMAND_KNOWN;
	if (!p->peak_known)
		return;
	if (!was_known) {
		/* what it has was needed, as far as anybody knew */
		p->peak = size_max(p->machine_count, p->peak);
		p->peak_us = f->now_us;
	}
	if (p->retained_forecast >= p->peak ||
	    f->now_us - p->peak_us > PEAK_HOLD_MS * US_PER_MS) {
		p->peak = p->retained_forecast;
		p->peak_us = f->now_us;
	}
}

static void
update_need(struct roster *f, struct roster_pool *p)
{
	if (!pool_demand_is_fresh(f, p))
		return;
	p->need = machines_for_demand(
	    p, (double)p->demand.wanted_milli * NEED_HEADROOM_FACTOR);
	p->forecast = machines_for_demand(
	    p, (double)p->demand.offered_milli * FORECAST_FACTOR);
	p->forecast = size_max(p->forecast, p->need);
	update_retained(f, p);
	update_peak(f, p);
}

static struct roster_pool *
machine_pool(struct roster *f, const struct machine *m)
{
	return roster_find_pool(f, m->report.pool);
}

/* The pool that a machine is in or is about to be in. */
static struct roster_pool *
machine_target_pool(struct roster *f, const struct machine *m)
{
	if (m->command == MACHINE_COMMAND_MOVE)
		return roster_find_pool(f, m->to_pool);
	return m->report.state != MACHINE_DOWN ? machine_pool(f, m) : NULL;
}

/* Listed as up by the platform, and its owner does not reach its worker. */
static bool
worker_is_missing(const struct roster *f, const struct machine *m,
    const struct roster_pool *p)
{
	int64_t since_us = m->last_report_us > m->worker_listed_us
	    ? m->last_report_us
	    : m->worker_listed_us;

	if (m->last_report_us == 0 && worker_list_is_stale(p))
		return false; /* its owner could not have heard of it yet */
	if (m->last_report_us == 0 && p->worker_list_fresh_since_us > since_us)
		since_us = p->worker_list_fresh_since_us;
	return m->command == MACHINE_COMMAND_NONE && !p->spare &&
	    pool_demand_is_fresh(f, p) &&
	    f->now_us - since_us > WORKER_MISSING_MS * US_PER_MS;
}

/* What leaves it needs room elsewhere before it goes. */
static bool
in_maintenance(const struct machine *m)
{
	return m->command == MACHINE_COMMAND_MAINTENANCE ||
	    m->report.state == MACHINE_MAINTENANCE;
}

static void
count_machines(struct roster *f)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < f->pool_count; i++)
		f->pools[i].machine_count = 0;
	for (m = f->machines; m != NULL; m = m->hh.next) {
		p = machine_target_pool(f, m);
		if (p != NULL && !in_maintenance(m) &&
		    !worker_is_missing(f, m, p))
			p->machine_count++;
	}
}

static bool
is_moving_to_spare(struct roster *f, const struct machine *m)
{
	const struct roster_pool *to = roster_find_pool(f, m->to_pool);

	return m->command == MACHINE_COMMAND_MOVE &&
	    m->phase == COMMAND_PHASE_CORDON && to != NULL && to->spare;
}

static bool
can_move(const struct roster *f, const struct machine *m)
{
	return m->command == MACHINE_COMMAND_NONE &&
	    m->report.state == MACHINE_UP &&
	    f->now_us >= m->command_not_before_us && machine_idle(f, m);
}

static void
start_move(struct roster *f, struct machine *m, struct roster_pool *to)
{
	struct roster_pool *from = machine_target_pool(f, m);

	if (from != NULL)
		from->machine_count--;
	to->machine_count++;
	if (m->command == MACHINE_COMMAND_NONE)
		machine_set_command(f, m, MACHINE_COMMAND_MOVE);
	snprintf(m->to_pool, sizeof(m->to_pool), "%s", to->name);
	roster_log(f,
	    "msg=\"machine is to move\" machine=%s pool=%s to=%s need=%zu "
	    "foreseen=%zu wanted_milli=%lld report_age_ms=%lld",
	    m->report.machine, m->report.pool, to->name, to->need, to->forecast,
	    (long long)to->demand.wanted_milli,
	    (long long)((f->now_us - to->last_report_us) / US_PER_MS));
}

/* Why a pool grows, the most urgent first. */
enum growth_reason {
	GROW_FLOOR, /* lasting tasks have no room: others give way */
	GROW_NEED, /* takes what others do not need */
	GROW_FORECAST /* takes what others will not need either */
};

/* It runs nothing that would not end by itself soon. */
static bool
can_evacuate(const struct roster *f, const struct machine *m)
{
	return m->command == MACHINE_COMMAND_NONE &&
	    m->report.state == MACHINE_UP &&
	    f->now_us >= m->command_not_before_us && m->last_report_us != 0 &&
	    m->long_running_count == 0;
}

/* How well a machine suits, the last best. */
enum source {
	SOURCE_NONE,
	SOURCE_EVACUATE, /* is to be emptied first */
	SOURCE_IDLE, /* its pool needs it too */
	SOURCE_SURPLUS, /* its pool does not need it */
	SOURCE_SPARE /* in the spare pool, or on its way there */
};

static enum source
rate_source(struct roster *f, struct machine *m, struct roster_pool *to,
    enum growth_reason g)
{
	struct roster_pool *from = machine_pool(f, m);

	if (from == NULL || from == to)
		return SOURCE_NONE;
	if (is_moving_to_spare(f, m) || (from->spare && can_move(f, m)))
		return SOURCE_SPARE;
	if (from->spare || !pool_demand_is_fresh(f, from))
		return SOURCE_NONE;
	if (can_move(f, m) &&
	    from->machine_count > (g == GROW_FORECAST ? from->retained_forecast
						      : from->retained_need)) {
		if (from->demand_known != DEMAND_UNKNOWN)
			return SOURCE_SURPLUS;
		from->withhold_reason = WITHHOLD_NEED_UNKNOWN;
	}
	if (g != GROW_FLOOR || from->machine_count <= from->demand.floor ||
	    from->machine_count <= POOL_MIN_MACHINES)
		return SOURCE_NONE;
	if (worker_list_is_stale(to)) {
		to->withhold_reason = WITHHOLD_STALE_WORKER_LIST;
		return SOURCE_NONE;
	}
	if (can_move(f, m))
		return SOURCE_IDLE;
	return can_evacuate(f, m) ? SOURCE_EVACUATE : SOURCE_NONE;
}

/* The one that suits best; of these the one that runs least. */
static struct machine *
find_source(struct roster *f, struct roster_pool *to, enum growth_reason g)
{
	enum source source, best_source = SOURCE_NONE;
	struct machine *m, *best = NULL;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		source = rate_source(f, m, to, g);
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
	case GROW_FLOOR:
		return p->demand.floor;
	case GROW_NEED:
		return p->need;
	case GROW_FORECAST:
		return p->forecast;
	}
	return 0;
}

/* Where it can be used at once goes before where more is lacking. */
static bool
has_precedence(const struct roster_pool *p, size_t lacks,
    const struct roster_pool *other, size_t other_lacks)
{
	if (other != NULL &&
	    worker_list_is_stale(p) != worker_list_is_stale(other))
		return worker_list_is_stale(other);
	return lacks > other_lacks;
}

/* The pool that lacks most and that a machine may be found for. */
static struct roster_pool *
find_pool_to_grow(struct roster *f, enum growth_reason g)
{
	struct roster_pool *p, *worst = NULL;
	size_t i, want, most = 0;

	for (i = 0; i < f->pool_count; i++) {
		p = &f->pools[i];
		if (p->spare || p->source_exhausted ||
		    !pool_demand_is_fresh(f, p))
			continue;
		want = pool_target(p, g);
		if (want > p->machine_count &&
		    has_precedence(p, want - p->machine_count, worst, most)) {
			most = want - p->machine_count;
			worst = p;
		}
	}
	return worst;
}

static void
grow(struct roster *f, enum growth_reason g)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < f->pool_count; i++)
		f->pools[i].source_exhausted = false;
	while ((p = find_pool_to_grow(f, g)) != NULL) {
		m = find_source(f, p, g);
		if (m != NULL)
			start_move(f, m, p);
		else
			p->source_exhausted = true;
	}
}

static struct roster_pool *
find_spare_pool(struct roster *f)
{
	size_t i;

	for (i = 0; i < f->pool_count; i++) {
		if (f->pools[i].spare)
			return &f->pools[i];
	}
	return NULL;
}

static size_t
count_moves_to_spare(struct roster *f)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += is_moving_to_spare(f, m);
	return n;
}

static void
shrink(struct roster *f)
{
	struct roster_pool *spare = find_spare_pool(f), *from;
	size_t most = HASH_COUNT(f->machines) / SPARE_MOVES_DIVISOR, under_way;
	struct machine *m;

	if (spare == NULL)
		return;
	if (most < SPARE_MOVES_MIN)
		most = SPARE_MOVES_MIN;
	under_way = count_moves_to_spare(f);
	for (m = f->machines; m != NULL; m = m->hh.next) {
		from = machine_pool(f, m);
		if (from == NULL || from->spare ||
		    !pool_demand_is_fresh(f, from) || !can_move(f, m) ||
		    from->machine_count <= from->peak)
			continue;
		if (!from->peak_known || worker_list_is_stale(from)) {
			from->withhold_reason = from->peak_known
			    ? WITHHOLD_STALE_WORKER_LIST
			    : WITHHOLD_NEED_UNKNOWN;
			continue;
		}
		if (under_way++ >= most)
			return;
		start_move(f, m, spare);
	}
}

static const char *const withhold_reason_names[] = {
    [WITHHOLD_NONE] = "",
    [WITHHOLD_NEED_UNKNOWN] = "need-unknown",
    [WITHHOLD_STALE_WORKER_LIST] = "owner-reads-no-list",
};

/* Pools whose machines, or machines for which, have been withheld of late. */
static void
log_withheld(struct roster *f)
{
	char text[ROSTER_LOG_BYTES] = "";
	struct roster_pool *p;
	size_t i, n = 0;

	if (f->now_us - f->withheld_logged_us < US_PER_S)
		return;
	for (i = 0; i < f->pool_count && n < sizeof(text) - 100; i++) {
		p = &f->pools[i];
		if (p->withhold_reason == WITHHOLD_NONE)
			continue;
		n += (size_t)snprintf(text + n, sizeof(text) - n, " %s=%s/%zu",
		    p->name, withhold_reason_names[p->withhold_reason],
		    p->machine_count);
		p->withhold_reason = WITHHOLD_NONE;
	}
	if (n == 0)
		return;
	f->withheld_logged_us = f->now_us;
	roster_log(f, "msg=\"moves withheld: why/have\"%s", text);
}

static const char *const demand_known_names[] = {
    [DEMAND_UNKNOWN] = "unknown",
    [DEMAND_QUEUED] = "queued",
    [DEMAND_KNOWN] = "known",
};

/* One line a second: what moves are decided by. */
static void
log_pools(struct roster *f)
{
	char text[ROSTER_LOG_BYTES] = "";
	const struct roster_pool *p;
	size_t i, n = 0;

	if (f->now_us - f->pools_logged_us < US_PER_S)
		return;
	f->pools_logged_us = f->now_us;
	for (i = 0; i < f->pool_count && n < sizeof(text) - 100; i++) {
		p = &f->pools[i];
		if (p->spare || p->last_report_us == 0) {
			n += (size_t)snprintf(text + n, sizeof(text) - n,
			    " %s=%zu/%s", p->name, p->machine_count,
			    p->spare ? "spare" : "unknown");
			continue;
		}
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    " %s=%zu/%zu/%zu/%zu/%lld/%lld/%s/%lld/%lld", p->name,
		    p->machine_count, p->need, p->forecast, p->peak,
		    (long long)p->demand.wanted_milli,
		    (long long)p->demand.offered_milli,
		    demand_known_names[p->demand.known],
		    (long long)((f->now_us - p->last_report_us) / US_PER_MS),
		    (long long)((f->now_us - p->worker_list_us) / US_PER_MS));
	}
	roster_log(f,
	    "msg=\"pools: have/need/foreseen/peak/wanted/offered milli/known/"
	    "report ms ago/view of workers ms ago\"%s",
	    text);
}

void
roster_run_moves(struct roster *f)
{
	size_t i;

	count_machines(f);
	log_pools(f);
	for (i = 0; i < f->pool_count; i++)
		update_need(f, &f->pools[i]);
	grow(f, GROW_FLOOR);
	grow(f, GROW_NEED);
	grow(f, GROW_FORECAST);
	shrink(f);
	log_withheld(f);
}
