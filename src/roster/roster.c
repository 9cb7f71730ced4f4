#include "roster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

#define TASK_COUNT_MAX_AGE_MS 600 /* a report may be so old to act on it */
/* An owner reads workers' entries each 0.2 s, or fails after 0.9 s. */
#define WORKER_LIST_MAX_AGE_MS 1500
#define LIST_INTERVAL_MS 4000 /* read the list of machines at least … */
#define LIST_BUSY_INTERVAL_MS 500 /* … and while machines are away */
#define LIST_TIMEOUT_MS 1500
#define MOVE_CORDON_TIMEOUT_MS \
	2500 /* a worker to be moved that gets not idle */
#define COMMAND_RETRY_MS 400
#define REMOVED_WORKER_NOTICE_MS 6000 /* until the worker's entry has lapsed \
				       */
#define MAINTENANCE_PENDING_MS \
	1000 /* five looks: what a wave said is in force */
#define WORKER_REGISTRATION_MS \
	500 /* from the end of a move until its worker is listed */
#define EXECUTION_TIMEOUT_MS \
	15000 /* a machine that is not seen again: forgotten */

struct roster_effect *
roster_add_effect(struct roster *f, enum roster_effect_kind kind)
{
	struct roster_effects *fx = f->fx;
	struct roster_effect *x;

	if (fx->count == fx->capacity) {
		fx->capacity = fx->capacity > 0 ? fx->capacity * 2 : 16;
		fx->list = realloc(fx->list, fx->capacity * sizeof(*fx->list));
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
	struct roster_effect *x = roster_add_effect(f, ROSTER_EFFECT_LOG);
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
	LIST_INIT(&f->holdoffs);
	return f;
}

void
roster_free(struct roster *f)
{
	struct machine *m, *next;
	struct command_holdoff *q;

	if (f == NULL)
		return;
	HASH_ITER(hh, f->machines, m, next)
	{
		HASH_DEL(f->machines, m);
		free(m);
	}
	while ((q = LIST_FIRST(&f->holdoffs)) != NULL) {
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
task_count_is_fresh(const struct roster *f, const struct machine *m)
{
	return m->last_report_us != 0 &&
	    f->now_us - m->last_report_us < TASK_COUNT_MAX_AGE_MS * US_PER_MS;
}

/* A machine of a spare pool is off; elsewhere its worker is to come. */
static bool
machine_is_off(const struct roster *f, const struct machine *m)
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
	return machine_is_off(f, m) ||
	    (task_count_is_fresh(f, m) && m->task_count == 0);
}

bool
machine_drained(const struct roster *f, const struct machine *m)
{
	return machine_is_off(f, m) ||
	    (task_count_is_fresh(f, m) && m->task_count == 0 && m->cordoned);
}

void
machine_set_phase(
    struct roster *f, struct machine *m, enum machine_command_phase phase)
{
	m->phase = phase;
	m->phase_since_us = f->now_us;
}

void
machine_set_command(
    struct roster *f, struct machine *m, enum machine_command order)
{
	m->command = order;
	m->cordoned = false; /* what was said before is of no use */
	machine_set_phase(f, m, COMMAND_PHASE_CORDON);
}

void
machine_clear_command(struct machine *m)
{
	m->command = MACHINE_COMMAND_NONE;
	m->to_pool[0] = '\0';
	m->cordoned = false;
}

/* A machine that is seen up again after its order has been carried out. */
static void
clear_finished_command(struct roster *f, struct machine *m)
{
	/* at the time that the list was asked for */
	int64_t away_ms =
	    (f->list_requested_us - m->phase_since_us) / US_PER_MS;
	int took_ms = m->command == MACHINE_COMMAND_MAINTENANCE
	    ? f->opts.maintenance_ms
	    : f->opts.move_ms;

	if (m->command == MACHINE_COMMAND_NONE ||
	    m->phase != COMMAND_PHASE_EXECUTING)
		return;
	if ((m->report.state == MACHINE_UP && away_ms > took_ms) ||
	    away_ms > EXECUTION_TIMEOUT_MS)
		machine_clear_command(m);
}

static void
handle_past_command(struct roster *f, const struct roster_event *ev)
{
	int64_t left_ms =
	    f->opts.command_holdoff_ms - ev->u.past_command.ago_ms;
	struct command_holdoff *q;

	if (left_ms <= 0)
		return;
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		abort(); /* two holders would take turns at the machine */
	snprintf(
	    q->machine, sizeof(q->machine), "%s", ev->u.past_command.machine);
	q->until_us = f->now_us + left_ms * US_PER_MS;
	LIST_INSERT_HEAD(&f->holdoffs, q, entries);
}

static int64_t
holdoff_until_us(const struct roster *f, const char *machine)
{
	const struct command_holdoff *q;

	LIST_FOREACH(q, &f->holdoffs, entries) {
		if (strcmp(q->machine, machine) == 0)
			return q->until_us;
	}
	return 0;
}

static void
update_machine(struct roster *f, const struct machine_report *r)
{
	struct machine *m = roster_find_machine(f, r->machine);

	if (m == NULL) {
		m = calloc(1, sizeof(*m));
		if (m == NULL)
			return; /* the next list tries again */
		m->report = *r;
		m->worker_listed_us = f->now_us;
		m->command_not_before_us = holdoff_until_us(f, r->machine);
		HASH_ADD(hh, f->machines, report.machine,
		    strlen(m->report.machine), m);
	}
	if (strcmp(m->report.worker, r->worker) != 0) {
		m->last_report_us = 0;
		m->worker_listed_us = f->now_us;
		m->task_count = 0;
		m->cordoned = false;
	}
	m->report = *r;
	m->list_round = f->list_round;
	clear_finished_command(f, m);
}

static void
handle_machine_list(struct roster *f, const struct roster_event *ev)
{
	struct machine *m, *next;
	size_t i;

	f->list_in_flight = false;
	if (ev->u.machine_list.list == NULL)
		return;
	f->list_round++;
	f->list_received = true;
	for (i = 0; i < ev->u.machine_list.count; i++)
		update_machine(f, &ev->u.machine_list.list[i]);
	HASH_ITER(hh, f->machines, m, next)
	{
		if (m->list_round == f->list_round)
			continue;
		roster_log(f, "msg=\"machine is gone\" machine=%s pool=%s",
		    m->report.machine, m->report.pool);
		HASH_DEL(f->machines, m);
		free(m);
	}
}

static void
handle_pool_config(struct roster *f, const struct roster_event *ev)
{
	struct roster_pool *p = roster_find_pool(f, ev->u.pool_config.name);

	if (p == NULL && f->pool_count < ROSTER_POOLS_MAX) {
		p = &f->pools[f->pool_count++];
		memset(p, 0, sizeof(*p));
		snprintf(
		    p->name, sizeof(p->name), "%s", ev->u.pool_config.name);
	}
	if (p != NULL)
		p->spare = ev->u.pool_config.spare;
}

static struct machine *
find_machine_of_worker(struct roster *f, const char *worker)
{
	struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (strcmp(m->report.worker, worker) == 0)
			return m;
	}
	return NULL;
}

static void
handle_pool_report(struct roster *f, const struct pool_report *r)
{
	struct roster_pool *p = roster_find_pool(f, r->pool);
	struct machine *m;
	size_t i;

	if (p == NULL)
		return;
	p->demand = r->demand;
	p->worker_list_us = f->now_us - r->worker_list_age_ms * US_PER_MS;
	if (r->worker_list_age_ms > WORKER_LIST_MAX_AGE_MS)
		p->worker_list_fresh_since_us = 0;
	else if (p->worker_list_fresh_since_us == 0)
		p->worker_list_fresh_since_us = f->now_us;
	p->last_report_us = f->now_us;
	for (i = 0; i < r->worker_count; i++) {
		m = find_machine_of_worker(f, r->workers[i].worker);
		if (m == NULL) {
			f->list_refresh_needed = true; /* a worker of late */
			continue;
		}
		m->task_count = r->workers[i].task_count;
		m->long_running_count = r->workers[i].long_running_count;
		m->cordoned = r->workers[i].cordoned;
		m->last_report_us = f->now_us;
	}
}

static void
handle_command_result(struct roster *f, const struct roster_event *ev)
{
	struct machine *m =
	    roster_find_machine(f, ev->u.command_result.machine);

	if (m == NULL || m->command == MACHINE_COMMAND_NONE ||
	    m->phase != COMMAND_PHASE_SENT)
		return;
	m->command_not_before_us = f->now_us + COMMAND_RETRY_MS * US_PER_MS;
	switch (ev->u.command_result.result) {
	case ROSTER_COMMAND_DONE:
		roster_log(f,
		    "msg=\"machine %s\" machine=%s pool=%s to=%s wave=%lld",
		    m->command == MACHINE_COMMAND_MAINTENANCE ? "is in upkeep"
							      : "moves",
		    m->report.machine, m->report.pool, m->to_pool,
		    (long long)m->wave_number);
		if (m->command == MACHINE_COMMAND_MAINTENANCE)
			roster_maintenance_started(f, m);
		memcpy(m->from_pool, m->report.pool, NAME_BYTES);
		memcpy(m->removed_worker, m->report.worker, NAME_BYTES);
		m->removed_us = f->now_us;
		machine_set_phase(f, m, COMMAND_PHASE_EXECUTING);
		break;
	case ROSTER_COMMAND_REJECTED:
		roster_log(f,
		    "msg=\"platform refuses for good\" machine=%s "
		    "wave=%lld",
		    m->report.machine, (long long)m->wave_number);
		if (m->command == MACHINE_COMMAND_MAINTENANCE)
			roster_maintenance_started(f, m);
		machine_clear_command(m);
		break;
	case ROSTER_COMMAND_BUSY:
	case ROSTER_COMMAND_FENCED:
	case ROSTER_COMMAND_UNKNOWN: /* the same again: done twice is done once
				      */
		machine_set_phase(f, m, COMMAND_PHASE_CORDON);
		break;
	}
}

static void
send_command(struct roster *f, struct machine *m)
{
	struct roster_effect *x;

	x = roster_add_effect(f,
	    m->command == MACHINE_COMMAND_MOVE ? ROSTER_EFFECT_MOVE
					       : ROSTER_EFFECT_MAINTENANCE);
	snprintf(x->machine, sizeof(x->machine), "%s", m->report.machine);
	snprintf(x->to_pool, sizeof(x->to_pool), "%s", m->to_pool);
	x->wave_number = m->wave_number;
	machine_set_phase(f, m, COMMAND_PHASE_SENT);
}

static void
run_commands(struct roster *f)
{
	struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->command == MACHINE_COMMAND_NONE ||
		    m->phase != COMMAND_PHASE_CORDON)
			continue;
		if (m->command == MACHINE_COMMAND_MOVE &&
		    f->now_us - m->phase_since_us >
			MOVE_CORDON_TIMEOUT_MS * US_PER_MS) {
			machine_clear_command(m);
			continue;
		}
		if (f->now_us >= m->command_not_before_us &&
		    m->report.state == MACHINE_UP && machine_drained(f, m))
			send_command(f, m);
	}
}

static void
request_list_if_due(struct roster *f)
{
	const struct machine *m;
	int64_t every_ms =
	    f->list_refresh_needed ? LIST_BUSY_INTERVAL_MS : LIST_INTERVAL_MS;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if ((m->command != MACHINE_COMMAND_NONE &&
			m->phase == COMMAND_PHASE_EXECUTING) ||
		    m->report.state != MACHINE_UP)
			every_ms = LIST_BUSY_INTERVAL_MS;
	}
	if (f->list_in_flight &&
	    f->now_us - f->list_requested_us < LIST_TIMEOUT_MS * US_PER_MS)
		return;
	if (f->list_received &&
	    f->now_us - f->list_requested_us < every_ms * US_PER_MS)
		return;
	f->list_in_flight = true;
	f->list_refresh_needed = false;
	f->list_requested_us = f->now_us;
	roster_add_effect(f, ROSTER_EFFECT_LIST_MACHINES);
}

void
roster_step(
    struct roster *f, const struct roster_event *ev, struct roster_effects *fx)
{
	f->now_us = ev->now_us;
	f->fx = fx;
	switch (ev->kind) {
	case ROSTER_EVENT_TICK:
		break;
	case ROSTER_EVENT_MACHINE_LIST:
		handle_machine_list(f, ev);
		break;
	case ROSTER_EVENT_POOL_CONFIG:
		handle_pool_config(f, ev);
		break;
	case ROSTER_EVENT_POOL_REPORT:
		handle_pool_report(f, ev->u.report);
		break;
	case ROSTER_EVENT_WAVE_REQUEST:
		roster_handle_wave_request(f, ev);
		break;
	case ROSTER_EVENT_WAVE_PROGRESS:
		roster_handle_wave_progress(f, ev);
		break;
	case ROSTER_EVENT_WAVE_REQUEST_TIME:
		roster_handle_wave_request_time(f, ev);
		break;
	case ROSTER_EVENT_PAST_COMMAND:
		handle_past_command(f, ev);
		break;
	case ROSTER_EVENT_COMMAND_RESULT:
		handle_command_result(f, ev);
		break;
	}
	if (ev->kind != ROSTER_EVENT_TICK)
		return;
	request_list_if_due(f);
	if (!f->list_received)
		return;
	roster_run_waves(f);
	roster_run_moves(f);
	run_commands(f);
}

size_t
roster_incoming(const struct roster *f, const char *pool, int *within_ms)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += m->command == MACHINE_COMMAND_MOVE &&
		    strcmp(m->to_pool, pool) == 0;
	*within_ms = f->opts.move_ms + WORKER_REGISTRATION_MS;
	return n;
}

void
roster_each_cordon(const struct roster *f, const char *pool,
    void (*each)(void *arg, const char *worker, enum cordon_kind kind),
    void *arg)
{
	const struct machine *m;

	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->removed_worker[0] != '\0' &&
		    f->now_us - m->removed_us <
			REMOVED_WORKER_NOTICE_MS * US_PER_MS &&
		    strcmp(m->from_pool, pool) == 0)
			each(arg, m->removed_worker, CORDON_MACHINE_REMOVED);
		if (m->report.worker[0] == '\0' ||
		    strcmp(m->report.pool, pool) != 0)
			continue;
		if (m->command != MACHINE_COMMAND_NONE) {
			if (m->phase != COMMAND_PHASE_EXECUTING)
				each(arg, m->report.worker,
				    m->command == MACHINE_COMMAND_MAINTENANCE
					? CORDON_EVACUATE
					: CORDON_NO_NEW_TASKS);
		} else if (m->maintenance_pending_us != 0 &&
		    f->now_us - m->maintenance_pending_us <
			MAINTENANCE_PENDING_MS * US_PER_MS) {
			each(arg, m->report.worker, CORDON_MAINTENANCE_PENDING);
		}
	}
}
