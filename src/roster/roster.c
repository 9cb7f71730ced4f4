#include "roster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

#define REPORT_FRESH_MS 600 /* a report may be so old to act on it */
/* An owner reads workers' entries each 0.2 s, or fails after 0.9 s. */
#define VIEW_FRESH_MS 1500
#define LIST_EVERY_MS 4000 /* read the list of machines at least … */
#define LIST_BUSY_MS 500 /* … and while machines are away */
#define LIST_TIMEOUT_MS 1500
#define CORDON_GIVE_UP_MS 2500 /* a worker to be moved that gets not idle */
#define BUSY_RETRY_MS 400
#define TELL_GONE_MS 6000 /* until the worker's entry has lapsed */
#define DUE_FRESH_MS 1000 /* five looks: what a wave said is in force */
#define ARRIVAL_MS 500 /* from the end of a move until its worker is listed */
#define AWAY_MAX_MS 15000 /* a machine that is not seen again: forgotten */

struct roster_effect *
roster_fx(struct roster *f, enum roster_effect_kind kind)
{
	struct roster_effects *fx = f->fx;
	struct roster_effect *x;

	if (fx->count == fx->room) {
		fx->room = fx->room > 0 ? fx->room * 2 : 16;
		fx->list = realloc(fx->list, fx->room * sizeof(*fx->list));
		if (fx->list == NULL)
			abort(); /* an order must not be dropped */
	}
	x = &fx->list[fx->count++];
	memset(x, 0, sizeof(*x));
	x->kind = kind;
	return x;
}

void
roster_effects_uninit(struct roster_effects *fx)
{
	free(fx->list);
	memset(fx, 0, sizeof(*fx));
}

void
roster_log(struct roster *f, const char *fmt, ...)
{
	struct roster_effect *x = roster_fx(f, ROSTER_LOG);
	va_list ap;

	x->level = LOG_LEVEL_INFO;
	va_start(ap, fmt);
	vsnprintf(x->line, sizeof(x->line), fmt, ap);
	va_end(ap);
}

struct roster *
roster_new(const struct roster_opts *opts)
{
	struct roster *f;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return NULL;
	f->opts = *opts;
	LIST_INIT(&f->waves);
	LIST_INIT(&f->quiet);
	return f;
}

void
roster_free(struct roster *f)
{
	struct machine *m, *next;
	struct quiet_machine *q;

	if (f == NULL)
		return;
	HASH_ITER(hh, f->machines, m, next)
	{
		HASH_DEL(f->machines, m);
		free(m);
	}
	while ((q = LIST_FIRST(&f->quiet)) != NULL) {
		LIST_REMOVE(q, entries);
		free(q);
	}
	roster_waves_free(f);
	free(f);
}

struct roster_pool *
roster_find_pool(struct roster *f, const char *name)
{
	size_t i;

	for (i = 0; i < f->pool_count; i++) {
		if (strcmp(f->pools[i].name, name) == 0)
			return &f->pools[i];
	}
	return NULL;
}

struct machine *
roster_find_machine(struct roster *f, const char *name)
{
	struct machine *m;

	HASH_FIND_STR(f->machines, name, m);
	return m;
}

static bool
report_fresh(const struct roster *f, const struct machine *m)
{
	return m->told_us != 0 &&
	    f->now_us - m->told_us < REPORT_FRESH_MS * US_PER_MS;
}

/* A machine of a spare pool is off; elsewhere its worker is to come. */
static bool
machine_off(const struct roster *f, const struct machine *m)
{
	size_t i;

	for (i = 0; i < f->pool_count; i++) {
		if (strcmp(f->pools[i].name, m->report.pool) == 0)
			return f->pools[i].spare;
	}
	return false;
}

bool
machine_idle(const struct roster *f, const struct machine *m)
{
	return machine_off(f, m) || (report_fresh(f, m) && m->tasks == 0);
}

bool
machine_empty(const struct roster *f, const struct machine *m)
{
	return machine_off(f, m) ||
	    (report_fresh(f, m) && m->tasks == 0 && m->cordoned);
}

void
machine_set_phase(struct roster *f, struct machine *m, enum order_phase phase)
{
	m->phase = phase;
	m->since_us = f->now_us;
}

void
machine_set_order(struct roster *f, struct machine *m, enum machine_order order)
{
	m->order = order;
	m->cordoned = false; /* what was said before is of no use */
	machine_set_phase(f, m, PHASE_CORDON);
}

void
machine_drop_order(struct machine *m)
{
	m->order = ORDER_NONE;
	m->to_pool[0] = '\0';
	m->cordoned = false;
}

/* A machine that is seen up again after its order has been carried out. */
static void
check_away(struct roster *f, struct machine *m)
{
	/* at the time that the list was asked for */
	int64_t away_ms = (f->list_us - m->since_us) / US_PER_MS;
	int took_ms =
	    m->order == ORDER_UPKEEP ? f->opts.upkeep_ms : f->opts.move_ms;

	if (m->order == ORDER_NONE || m->phase != PHASE_AWAY)
		return;
	if ((m->report.state == MACHINE_UP && away_ms > took_ms) ||
	    away_ms > AWAY_MAX_MS)
		machine_drop_order(m);
}

static void
take_ordered(struct roster *f, const struct roster_event *ev)
{
	int64_t left_ms = f->opts.quiet_ms - ev->u.ordered.ago_ms;
	struct quiet_machine *q;

	if (left_ms <= 0)
		return;
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		abort(); /* two holders would take turns at the machine */
	snprintf(q->machine, sizeof(q->machine), "%s", ev->u.ordered.machine);
	q->until_us = f->now_us + left_ms * US_PER_MS;
	LIST_INSERT_HEAD(&f->quiet, q, entries);
}

static int64_t
quiet_until_us(const struct roster *f, const char *machine)
{
	const struct quiet_machine *q;

	LIST_FOREACH(q, &f->quiet, entries) {
		if (strcmp(q->machine, machine) == 0)
			return q->until_us;
	}
	return 0;
}

static void
take_machine(struct roster *f, const struct machine_report *r)
{
	struct machine *m = roster_find_machine(f, r->machine);

	if (m == NULL) {
		m = calloc(1, sizeof(*m));
		if (m == NULL)
			return; /* the next list tries again */
		m->report = *r;
		m->worker_us = f->now_us;
		m->retry_us = quiet_until_us(f, r->machine);
		HASH_ADD(hh, f->machines, report.machine,
		    strlen(m->report.machine), m);
	}
	if (strcmp(m->report.worker, r->worker) != 0) {
		m->told_us = 0;
		m->worker_us = f->now_us;
		m->tasks = 0;
		m->cordoned = false;
	}
	m->report = *r;
	m->round = f->round;
	check_away(f, m);
}

static void
take_machines(struct roster *f, const struct roster_event *ev)
{
	struct machine *m, *next;
	size_t i;

	f->listing = false;
	if (ev->u.machines.list == NULL)
		return;
	f->round++;
	f->listed = true;
	for (i = 0; i < ev->u.machines.count; i++)
		take_machine(f, &ev->u.machines.list[i]);
	HASH_ITER(hh, f->machines, m, next)
	{
		if (m->round == f->round)
			continue;
		roster_log(f, "msg=\"machine is gone\" machine=%s pool=%s",
		    m->report.machine, m->report.pool);
		HASH_DEL(f->machines, m);
		free(m);
	}
}

static void
take_pool(struct roster *f, const struct roster_event *ev)
{
	struct roster_pool *p = roster_find_pool(f, ev->u.pool.name);

	if (p == NULL && f->pool_count < ROSTER_POOLS_MAX) {
		p = &f->pools[f->pool_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%s", ev->u.pool.name);
	}
	if (p != NULL)
		p->spare = ev->u.pool.spare;
}

static struct machine *
machine_of_worker(struct roster *f, const char *worker)
{
	struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (strcmp(m->report.worker, worker) == 0)
			return m;
	}
	return NULL;
}

static void
take_report(struct roster *f, const struct pool_report *r)
{
	struct roster_pool *p = roster_find_pool(f, r->pool);
	struct machine *m;
	size_t i;

	if (p == NULL)
		return;
	p->demand = r->demand;
	p->view_us = f->now_us - r->view_age_ms * US_PER_MS;
	if (r->view_age_ms > VIEW_FRESH_MS)
		p->sighted_us = 0;
	else if (p->sighted_us == 0)
		p->sighted_us = f->now_us;
	p->told_us = f->now_us;
	for (i = 0; i < r->worker_count; i++) {
		m = machine_of_worker(f, r->workers[i].worker);
		if (m == NULL) {
			f->list_wanted = true; /* a worker of late */
			continue;
		}
		m->tasks = r->workers[i].tasks;
		m->lasting = r->workers[i].lasting;
		m->cordoned = r->workers[i].cordoned;
		m->told_us = f->now_us;
	}
}

static void
take_call_end(struct roster *f, const struct roster_event *ev)
{
	struct machine *m = roster_find_machine(f, ev->u.call.machine);

	if (m == NULL || m->order == ORDER_NONE || m->phase != PHASE_CALL)
		return;
	m->retry_us = f->now_us + BUSY_RETRY_MS * US_PER_MS;
	switch (ev->u.call.end) {
	case ROSTER_DONE:
		roster_log(f,
		    "msg=\"machine %s\" machine=%s pool=%s to=%s wave=%lld",
		    m->order == ORDER_UPKEEP ? "is in upkeep" : "moves",
		    m->report.machine, m->report.pool, m->to_pool,
		    (long long)m->wave);
		if (m->order == ORDER_UPKEEP)
			roster_upkeep_begun(f, m);
		memcpy(m->from_pool, m->report.pool, NAME_BYTES);
		memcpy(m->left_worker, m->report.worker, NAME_BYTES);
		m->left_us = f->now_us;
		machine_set_phase(f, m, PHASE_AWAY);
		break;
	case ROSTER_NEVER:
		roster_log(f,
		    "msg=\"platform refuses for good\" machine=%s "
		    "wave=%lld",
		    m->report.machine, (long long)m->wave);
		if (m->order == ORDER_UPKEEP)
			roster_upkeep_begun(f, m);
		machine_drop_order(m);
		break;
	case ROSTER_BUSY:
	case ROSTER_FENCED:
	case ROSTER_UNKNOWN: /* the same again: done twice is done once */
		machine_set_phase(f, m, PHASE_CORDON);
		break;
	}
}

static void
send_call(struct roster *f, struct machine *m)
{
	struct roster_effect *x;

	x = roster_fx(f, m->order == ORDER_MOVE ? ROSTER_MOVE : ROSTER_UPKEEP);
	snprintf(x->machine, sizeof(x->machine), "%s", m->report.machine);
	snprintf(x->pool, sizeof(x->pool), "%s", m->to_pool);
	x->wave = m->wave;
	machine_set_phase(f, m, PHASE_CALL);
}

static void
run_orders(struct roster *f)
{
	struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->order == ORDER_NONE || m->phase != PHASE_CORDON)
			continue;
		if (m->order == ORDER_MOVE &&
		    f->now_us - m->since_us > CORDON_GIVE_UP_MS * US_PER_MS) {
			machine_drop_order(m);
			continue;
		}
		if (f->now_us >= m->retry_us && m->report.state == MACHINE_UP &&
		    machine_empty(f, m))
			send_call(f, m);
	}
}

static void
list_due(struct roster *f)
{
	const struct machine *m;
	int64_t every_ms = f->list_wanted ? LIST_BUSY_MS : LIST_EVERY_MS;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if ((m->order != ORDER_NONE && m->phase == PHASE_AWAY) ||
		    m->report.state != MACHINE_UP)
			every_ms = LIST_BUSY_MS;
	}
	if (f->listing && f->now_us - f->list_us < LIST_TIMEOUT_MS * US_PER_MS)
		return;
	if (f->listed && f->now_us - f->list_us < every_ms * US_PER_MS)
		return;
	f->listing = true;
	f->list_wanted = false;
	f->list_us = f->now_us;
	roster_fx(f, ROSTER_LIST);
}

void
roster_step(
    struct roster *f, const struct roster_event *ev, struct roster_effects *fx)
{
	f->now_us = ev->now_us;
	f->fx = fx;
	switch (ev->kind) {
	case ROSTER_TICK:
		break;
	case ROSTER_MACHINES:
		take_machines(f, ev);
		break;
	case ROSTER_POOL:
		take_pool(f, ev);
		break;
	case ROSTER_REPORT:
		take_report(f, ev->u.report);
		break;
	case ROSTER_WAVE:
		roster_take_wave(f, ev);
		break;
	case ROSTER_WAVE_KNOWN:
		roster_take_known(f, ev);
		break;
	case ROSTER_WAVE_SINCE:
		roster_take_since(f, ev);
		break;
	case ROSTER_ORDERED:
		take_ordered(f, ev);
		break;
	case ROSTER_CALL_END:
		take_call_end(f, ev);
		break;
	}
	if (ev->kind != ROSTER_TICK)
		return;
	list_due(f);
	if (!f->listed)
		return;
	roster_run_waves(f);
	roster_run_moves(f);
	run_orders(f);
}

size_t
roster_coming(const struct roster *f, const char *pool, int *within_ms)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += m->order == ORDER_MOVE && strcmp(m->to_pool, pool) == 0;
	*within_ms = f->opts.move_ms + ARRIVAL_MS;
	return n;
}

void
roster_cordons(const struct roster *f, const char *pool,
    void (*each)(void *arg, const char *worker, enum cordon_kind kind),
    void *arg)
{
	const struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->left_worker[0] != '\0' &&
		    f->now_us - m->left_us < TELL_GONE_MS * US_PER_MS &&
		    strcmp(m->from_pool, pool) == 0)
			each(arg, m->left_worker, CORDON_GONE);
		if (m->report.worker[0] == '\0' ||
		    strcmp(m->report.pool, pool) != 0)
			continue;
		if (m->order != ORDER_NONE) {
			if (m->phase != PHASE_AWAY)
				each(arg, m->report.worker,
				    m->order == ORDER_UPKEEP ? CORDON_EMPTY
							     : CORDON_HOLD);
		} else if (m->due_us != 0 &&
		    f->now_us - m->due_us < DUE_FRESH_MS * US_PER_MS) {
			each(arg, m->report.worker, CORDON_DUE);
		}
	}
}
