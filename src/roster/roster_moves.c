/*
 * Moves of machines between pools.  Answers demand that comes by turns: a
 * pool grows at once, from the spare pool and from pools that need less, and
 * gives machines back to the spare pool when it has needed them no more for
 * longer than two moves cost.
 */
#include <stdio.h>
#include <string.h>

#include "roster_state.h"

#define NEED_FRESH_MS 1500 /* a need older than this moves nothing */
#define PEAK_MS 3000 /* a need counts so long after it was seen */
#define HEADROOM 1.1 /* times what is wanted: tasks do not fit evenly */
/*
 * Times what arriving work will take up: a reserve for what queues up while
 * machines are on their way.  Measured; see docs/JOBS.md.
 */
#define FORESEEN 2.0
/*
 * A machine that is up, whose pool's owner has had nothing of its worker for so
 * long: the owner was new, or the worker starts; then it is not there.
 */
#define ABSENT_MS 2500
#define POOL_MIN 2 /* machines a pool keeps, for the first jobs of a turn */
/* Machines on their way to be off: one in so many of all, but some always. */
#define SHRINKS_SHARE 4
#define SHRINKS_MIN 12

static bool
pool_fresh(const struct roster *f, const struct roster_pool *p)
{
	return p->told_us != 0 &&
	    f->now_us - p->told_us < NEED_FRESH_MS * US_PER_MS;
}

/* Its owner does not hear of workers that are new. */
static bool
pool_blind(const struct roster_pool *p)
{
	return p->told_us != 0 && p->sighted_us == 0;
}

static size_t
machines_for(const struct roster_pool *p, double milli)
{
	size_t n = (size_t)(milli / 1000 + 0.99);

	if (n < p->demand.long_running_workers)
		n = p->demand.long_running_workers;
	if (n < p->demand.min_workers)
		n = p->demand.min_workers;
	return n < POOL_MIN ? POOL_MIN : n;
}

static size_t
larger(size_t a, size_t b)
{
	return a > b ? a : b;
}

/* A new owner does not know all at once; what was known before stands in. */
static void
update_keeps(struct roster *f, struct roster_pool *p)
{
	bool lasts =
	    p->known_us != 0 && f->now_us - p->known_us < PEAK_MS * US_PER_MS;

	if (p->demand.coverage == DEMAND_COMPLETE) {
		p->known_need = p->need;
		p->known_foreseen = p->foreseen;
		p->known_us = f->now_us;
	}
	p->known = lasts ? DEMAND_COMPLETE : p->demand.coverage;
	p->keeps = p->need;
	p->keeps_foreseen = p->foreseen;
	if (lasts && p->demand.coverage == DEMAND_UNKNOWN)
		p->keeps = larger(p->need, p->known_need);
	if (lasts)
		p->keeps_foreseen = larger(p->foreseen, p->known_foreseen);
}

static void
update_peak(struct roster *f, struct roster_pool *p)
{
	bool was_known = p->peak_known;

	p->peak_known = p->known == DEMAND_COMPLETE;
	if (!p->peak_known)
		return;
	if (!was_known) {
		/* what it has was needed, as far as anybody knew */
		p->peak = larger(p->have, p->peak);
		p->peak_us = f->now_us;
	}
	if (p->keeps_foreseen >= p->peak ||
	    f->now_us - p->peak_us > PEAK_MS * US_PER_MS) {
		p->peak = p->keeps_foreseen;
		p->peak_us = f->now_us;
	}
}

static void
update_need(struct roster *f, struct roster_pool *p)
{
	if (!pool_fresh(f, p))
		return;
	p->need =
	    machines_for(p, (double)p->demand.wanted_workers_milli * HEADROOM);
	p->foreseen = machines_for(
	    p, (double)p->demand.arriving_workers_milli * FORESEEN);
	p->foreseen = larger(p->foreseen, p->need);
	update_keeps(f, p);
	update_peak(f, p);
}

static struct roster_pool *
pool_of(struct roster *f, const struct machine *m)
{
	return roster_find_pool(f, m->report.pool);
}

/* The pool that a machine is in or is about to be in. */
static struct roster_pool *
pool_to_be(struct roster *f, const struct machine *m)
{
	if (m->order == ORDER_MOVE)
		return roster_find_pool(f, m->to_pool);
	return m->report.state != MACHINE_DOWN ? pool_of(f, m) : NULL;
}

/* Listed as up by the platform, and its owner does not reach its worker. */
static bool
machine_absent(const struct roster *f, const struct machine *m,
    const struct roster_pool *p)
{
	int64_t since_us =
	    m->told_us > m->worker_us ? m->told_us : m->worker_us;

	if (m->told_us == 0 && pool_blind(p))
		return false; /* its owner could not have heard of it yet */
	if (m->told_us == 0 && p->sighted_us > since_us)
		since_us = p->sighted_us;
	return m->order == ORDER_NONE && !p->spare && pool_fresh(f, p) &&
	    f->now_us - since_us > ABSENT_MS * US_PER_MS;
}

/* What leaves it needs room elsewhere before it goes. */
static bool
in_upkeep(const struct machine *m)
{
	return m->order == ORDER_UPKEEP || m->report.state == MACHINE_UPKEEP;
}

static void
count_machines(struct roster *f)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < f->pool_count; i++)
		f->pools[i].have = 0;
	for (m = f->machines; m != NULL; m = m->hh.next) {
		p = pool_to_be(f, m);
		if (p != NULL && !in_upkeep(m) && !machine_absent(f, m, p))
			p->have++;
	}
}

static bool
goes_to_spare(struct roster *f, const struct machine *m)
{
	const struct roster_pool *to = roster_find_pool(f, m->to_pool);

	return m->order == ORDER_MOVE && m->phase == PHASE_CORDON &&
	    to != NULL && to->spare;
}

static bool
may_move(const struct roster *f, const struct machine *m)
{
	return m->order == ORDER_NONE && m->report.state == MACHINE_UP &&
	    f->now_us >= m->retry_us && machine_idle(f, m);
}

static void
begin_move(struct roster *f, struct machine *m, struct roster_pool *to)
{
	struct roster_pool *from = pool_to_be(f, m);

	if (from != NULL)
		from->have--;
	to->have++;
	if (m->order == ORDER_NONE)
		machine_set_order(f, m, ORDER_MOVE);
	snprintf(m->to_pool, sizeof(m->to_pool), "%s", to->name);
	roster_log(f,
	    "msg=\"machine is to move\" machine=%s pool=%s to=%s need=%zu "
	    "foreseen=%zu wanted_milli=%lld report_age_ms=%lld",
	    m->report.machine, m->report.pool, to->name, to->need, to->foreseen,
	    (long long)to->demand.wanted_workers_milli,
	    (long long)((f->now_us - to->told_us) / US_PER_MS));
}

/* Why a pool grows, the most urgent first. */
enum growth {
	GROW_FLOOR, /* lasting tasks have no room: others give way */
	GROW_NEED, /* takes what others do not need */
	GROW_FORESEEN /* takes what others will not need either */
};

/* It runs nothing that would not end by itself soon. */
static bool
may_be_emptied(const struct roster *f, const struct machine *m)
{
	return m->order == ORDER_NONE && m->report.state == MACHINE_UP &&
	    f->now_us >= m->retry_us && m->told_us != 0 && m->lasting == 0;
}

/* How well a machine suits, the last best. */
enum source {
	SOURCE_NONE,
	SOURCE_BUSY, /* is to be emptied first */
	SOURCE_IDLE, /* its pool needs it too */
	SOURCE_SURPLUS, /* its pool does not need it */
	SOURCE_OFF /* in the spare pool, or on its way there */
};

static enum source
source_of(
    struct roster *f, struct machine *m, struct roster_pool *to, enum growth g)
{
	struct roster_pool *from = pool_of(f, m);

	if (from == NULL || from == to)
		return SOURCE_NONE;
	if (goes_to_spare(f, m) || (from->spare && may_move(f, m)))
		return SOURCE_OFF;
	if (from->spare || !pool_fresh(f, from))
		return SOURCE_NONE;
	if (may_move(f, m) &&
	    from->have >
		(g == GROW_FORESEEN ? from->keeps_foreseen : from->keeps)) {
		if (from->known != DEMAND_UNKNOWN)
			return SOURCE_SURPLUS;
		from->withheld = WITHHELD_UNKNOWN;
	}
	if (g != GROW_FLOOR ||
	    from->have <= from->demand.long_running_workers ||
	    from->have <= POOL_MIN)
		return SOURCE_NONE;
	if (pool_blind(to)) {
		to->withheld = WITHHELD_BLIND;
		return SOURCE_NONE;
	}
	if (may_move(f, m))
		return SOURCE_IDLE;
	return may_be_emptied(f, m) ? SOURCE_BUSY : SOURCE_NONE;
}

/* The one that suits best; of these the one that runs least. */
static struct machine *
find_source(struct roster *f, struct roster_pool *to, enum growth g)
{
	enum source source, best_source = SOURCE_NONE;
	struct machine *m, *best = NULL;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		source = source_of(f, m, to, g);
		if (source == SOURCE_NONE || source < best_source ||
		    (source == best_source && m->tasks >= best->tasks))
			continue;
		best = m;
		best_source = source;
	}
	return best;
}

static size_t
pool_wants(const struct roster_pool *p, enum growth g)
{
	switch (g) {
	case GROW_FLOOR:
		return p->demand.long_running_workers;
	case GROW_NEED:
		return p->need;
	case GROW_FORESEEN:
		return p->foreseen;
	}
	return 0;
}

/* Where it can be used at once goes before where more is lacking. */
static bool
goes_before(const struct roster_pool *p, size_t lacks,
    const struct roster_pool *other, size_t other_lacks)
{
	if (other != NULL && pool_blind(p) != pool_blind(other))
		return pool_blind(other);
	return lacks > other_lacks;
}

/* The pool that lacks most and that a machine may be found for. */
static struct roster_pool *
find_lacking(struct roster *f, enum growth g)
{
	struct roster_pool *p, *worst = NULL;
	size_t i, want, most = 0;

	for (i = 0; i < f->pool_count; i++) {
		p = &f->pools[i];
		if (p->spare || p->no_source || !pool_fresh(f, p))
			continue;
		want = pool_wants(p, g);
		if (want > p->have &&
		    goes_before(p, want - p->have, worst, most)) {
			most = want - p->have;
			worst = p;
		}
	}
	return worst;
}

static void
grow(struct roster *f, enum growth g)
{
	struct roster_pool *p;
	struct machine *m;
	size_t i;

	for (i = 0; i < f->pool_count; i++)
		f->pools[i].no_source = false;
	while ((p = find_lacking(f, g)) != NULL) {
		m = find_source(f, p, g);
		if (m != NULL)
			begin_move(f, m, p);
		else
			p->no_source = true;
	}
}

static struct roster_pool *
spare_pool(struct roster *f)
{
	size_t i;

	for (i = 0; i < f->pool_count; i++) {
		if (f->pools[i].spare)
			return &f->pools[i];
	}
	return NULL;
}

static size_t
shrinks_under_way(struct roster *f)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += goes_to_spare(f, m);
	return n;
}

static void
shrink(struct roster *f)
{
	struct roster_pool *spare = spare_pool(f), *from;
	size_t most = HASH_COUNT(f->machines) / SHRINKS_SHARE, under_way;
	struct machine *m;

	if (spare == NULL)
		return;
	if (most < SHRINKS_MIN)
		most = SHRINKS_MIN;
	under_way = shrinks_under_way(f);
	for (m = f->machines; m != NULL; m = m->hh.next) {
		from = pool_of(f, m);
		if (from == NULL || from->spare || !pool_fresh(f, from) ||
		    !may_move(f, m) || from->have <= from->peak)
			continue;
		if (!from->peak_known || pool_blind(from)) {
			from->withheld = from->peak_known ? WITHHELD_BLIND
							  : WITHHELD_UNKNOWN;
			continue;
		}
		if (under_way++ >= most)
			return;
		begin_move(f, m, spare);
	}
}

static const char *const withheld_names[] = {
    [WITHHELD_NONE] = "",
    [WITHHELD_UNKNOWN] = "need-unknown",
    [WITHHELD_BLIND] = "owner-reads-no-list",
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
		if (p->withheld == WITHHELD_NONE)
			continue;
		n += (size_t)snprintf(text + n, sizeof(text) - n, " %s=%s/%zu",
		    p->name, withheld_names[p->withheld], p->have);
		p->withheld = WITHHELD_NONE;
	}
	if (n == 0)
		return;
	f->withheld_logged_us = f->now_us;
	roster_log(f, "msg=\"moves withheld: why/have\"%s", text);
}

static const char *const known_names[] = {
    [DEMAND_UNKNOWN] = "unknown",
    [DEMAND_BACKLOG] = "queued",
    [DEMAND_COMPLETE] = "known",
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
		if (p->spare || p->told_us == 0) {
			n += (size_t)snprintf(text + n, sizeof(text) - n,
			    " %s=%zu/%s", p->name, p->have,
			    p->spare ? "spare" : "unknown");
			continue;
		}
		n += (size_t)snprintf(text + n, sizeof(text) - n,
		    " %s=%zu/%zu/%zu/%zu/%lld/%lld/%s/%lld/%lld", p->name,
		    p->have, p->need, p->foreseen, p->peak,
		    (long long)p->demand.wanted_workers_milli,
		    (long long)p->demand.arriving_workers_milli,
		    known_names[p->demand.coverage],
		    (long long)((f->now_us - p->told_us) / US_PER_MS),
		    (long long)((f->now_us - p->view_us) / US_PER_MS));
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
	grow(f, GROW_FORESEEN);
	shrink(f);
	log_withheld(f);
}
