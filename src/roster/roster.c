#include "roster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

/* Reported task counts that are older are not acted on. */
#define TASK_COUNT_MAX_AGE_MS 600
/* An owner reads the worker entries every 0.2 s; a read fails after 0.9 s. */
#define WORKER_LIST_MAX_AGE_MS 1500
#define MACHINE_LIST_INTERVAL_MS 4000 /* between reads of the machine list */
/* Interval while a machine is not up, or after a report of a new worker. */
#define MACHINE_LIST_BUSY_INTERVAL_MS 500
#define MACHINE_LIST_TIMEOUT_MS 1500
/* A move is dropped when it is not sent by then, as when its worker is busy. */
#define MOVE_CORDON_TIMEOUT_MS 2500
#define COMMAND_RETRY_MS 400
/* A slow platform may carry out a command this long after it got no answer. */
#define UNCONFIRMED_MAX_MS 8000
/* Owners get notice of a removed worker until its entry has expired. */
#define REMOVED_WORKER_NOTICE_MS 6000
/* A wave marks its pending machines at each tick; a mark lasts five ticks. */
#define MAINTENANCE_PENDING_MS 1000
/* From the end of a move until the worker is in its owner's list. */
#define WORKER_REGISTRATION_MS 500
/* A command is dropped when its machine is not listed as up by then. */
#define EXECUTION_TIMEOUT_MS 15000
/*
 * A machine is gone if this many lists in a row lack it.  One list is not
 * enough: its pages are not a consistent snapshot.
 */
#define MISSING_LISTS_MIN 2

struct roster_effect *
roster_add_effect(struct roster *r, enum roster_effect_kind kind)
{
	struct roster_effects *fx = r->effects;
	struct roster_effect *x;

	if (fx->count == fx->capacity) {
		fx->capacity = fx->capacity > 0 ? fx->capacity * 2 : 16;
		fx->list = realloc(fx->list, fx->capacity * sizeof(*fx->list));
		if (fx->list == NULL)
			abort(); /* a command must not be lost */
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
roster_log(struct roster *r, const char *fmt, ...)
{
	struct roster_effect *x = roster_add_effect(r, ROSTER_EFFECT_LOG);
	va_list ap;

	x->level = LOG_LEVEL_INFO;
	va_start(ap, fmt);
	vsnprintf(x->line, sizeof(x->line), fmt, ap);
	va_end(ap);
}

struct roster *
roster_new(const struct roster_opts *opts)
{
	struct roster *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->opts = *opts;
	LIST_INIT(&r->waves);
	LIST_INIT(&r->holdoffs);
	return r;
}

void
roster_free(struct roster *r)
{
	struct machine *m, *next;
	struct command_holdoff *h;

	if (r == NULL)
		return;
	HASH_ITER(hh, r->machines, m, next)
	{
		HASH_DEL(r->machines, m);
		free(m);
	}
	while ((h = LIST_FIRST(&r->holdoffs)) != NULL) {
		LIST_REMOVE(h, entries);
		free(h);
	}
	roster_waves_free(r);
	free(r);
}

struct roster_pool *
roster_find_pool(struct roster *r, const char *name)
{
	size_t i;

	for (i = 0; i < r->pool_count; i++) {
		if (strcmp(r->pools[i].name, name) == 0)
			return &r->pools[i];
	}
	return NULL;
}

struct machine *
roster_find_machine(struct roster *r, const char *name)
{
	struct machine *m;

	HASH_FIND_STR(r->machines, name, m);
	return m;
}

bool
machine_report_is_fresh(const struct roster *r, const struct machine *m)
{
	return m->last_report_us != 0 &&
	    r->now_us - m->last_report_us < TASK_COUNT_MAX_AGE_MS * US_PER_MS;
}

/*
 * Machines of a spare pool are switched off.  A machine of another pool has a
 * worker or will have one.
 */
static bool
machine_is_off(const struct roster *r, const struct machine *m)
{
	size_t i;

	for (i = 0; i < r->pool_count; i++) {
		if (strcmp(r->pools[i].name, m->report.pool) == 0)
			return r->pools[i].spare;
	}
	return false;
}

bool
machine_report_is_current(const struct machine *m)
{
	return m->listed_us >= m->holdoff_until_us;
}

bool
machine_idle(const struct roster *r, const struct machine *m)
{
	return machine_is_off(r, m) ||
	    (machine_report_is_fresh(r, m) && m->task_count == 0);
}

bool
machine_drained(const struct roster *r, const struct machine *m)
{
	return machine_is_off(r, m) ||
	    (machine_report_is_fresh(r, m) && m->task_count == 0 &&
		m->cordoned);
}

void
machine_set_phase(
    struct roster *r, struct machine *m, enum machine_command_phase phase)
{
	m->phase = phase;
	m->phase_since_us = r->now_us;
}

void
machine_set_command(
    struct roster *r, struct machine *m, enum machine_command command)
{
	m->command = command;
	m->cordoned = false; /* reports from before the command do not count */
	machine_set_phase(r, m, COMMAND_PHASE_CORDON);
}

void
machine_clear_command(struct machine *m)
{
	m->command = MACHINE_COMMAND_NONE;
	m->to_pool[0] = '\0';
	m->commanded_worker[0] = '\0';
	m->cordoned = false;
	m->unconfirmed_us = 0;
}

bool
machine_command_may_be_executed(const struct roster *r, const struct machine *m)
{
	return m->unconfirmed_us != 0 &&
	    r->now_us - m->unconfirmed_us < UNCONFIRMED_MAX_MS * US_PER_MS;
}

/*
 * Clears a command once its machine is listed as up and the command can have
 * been carried out.  The list shows the state at the time of its request.
 */
static void
clear_finished_command(struct roster *r, struct machine *m)
{
	int64_t executing_ms =
	    (r->list_requested_us - m->phase_since_us) / US_PER_MS;
	int duration_ms = m->command == MACHINE_COMMAND_MAINTENANCE
	    ? r->opts.maintenance_ms
	    : r->opts.move_ms;

	if (m->command == MACHINE_COMMAND_NONE ||
	    m->phase != COMMAND_PHASE_EXECUTING)
		return;
	if ((m->report.state == MACHINE_UP && executing_ms > duration_ms) ||
	    executing_ms > EXECUTION_TIMEOUT_MS)
		machine_clear_command(m);
}

static void
command_accepted(struct roster *r, struct machine *m)
{
	roster_log(r,
	    "msg=\"command accepted: machine %s\" machine=%s pool=%s to=%s "
	    "wave=%lld unconfirmed=%d",
	    m->command == MACHINE_COMMAND_MAINTENANCE ? "enters maintenance"
						      : "moves",
	    m->report.machine, m->report.pool, m->to_pool,
	    (long long)m->wave_number, m->unconfirmed_us != 0);
	if (m->command == MACHINE_COMMAND_MAINTENANCE)
		roster_maintenance_started(r, m);
	m->unconfirmed_us = 0;
	machine_set_phase(r, m, COMMAND_PHASE_EXECUTING);
}

/* The list shows the effect of a command that got no answer. */
static bool
list_confirms_command(
    const struct machine *m, const struct machine_report *report)
{
	if (m->unconfirmed_us == 0 || m->phase != COMMAND_PHASE_CORDON)
		return false;
	switch (m->command) {
	case MACHINE_COMMAND_MOVE:
		return report->state == MACHINE_MOVING ||
		    strcmp(report->pool, m->to_pool) == 0;
	case MACHINE_COMMAND_MAINTENANCE:
		return report->state == MACHINE_MAINTENANCE;
	case MACHINE_COMMAND_NONE:
		break;
	}
	return false;
}

/*
 * Notes the end of the worker that a command was sent for, once a list shows
 * the machine without it.  That the platform accepts a command does not show
 * it: the command may have been carried out before, at an earlier controller's
 * request or one whose answer was lost, and the worker be the one from after.
 */
static void
note_worker_end(
    struct roster *r, struct machine *m, const struct machine_report *report)
{
	bool is_up = report->state == MACHINE_UP;

	if (is_up && strcmp(report->worker, m->removed_worker) == 0)
		m->removed_worker[0] = '\0'; /* it has started again */
	if (m->commanded_worker[0] == '\0' || report->state == MACHINE_DOWN ||
	    (is_up &&
		(report->worker[0] == '\0' ||
		    strcmp(report->worker, m->commanded_worker) == 0)))
		return;
	roster_log(r,
	    "msg=\"the worker of a commanded machine has ended\" machine=%s "
	    "worker=%s pool=%s state=%d next=%s list_age_ms=%lld",
	    report->machine, m->commanded_worker, m->commanded_pool,
	    report->state, report->worker,
	    (long long)((r->now_us - r->list_requested_us) / US_PER_MS));
	memcpy(m->removed_worker, m->commanded_worker, NAME_BYTES);
	memcpy(m->removed_pool, m->commanded_pool, NAME_BYTES);
	m->removed_us = r->now_us;
	m->commanded_worker[0] = '\0';
}

/*
 * The predecessor's term had ended when this one began: whatever its time of
 * day, the hold-off is never longer than that of a command sent now.
 */
static void
handle_past_command(struct roster *r, const struct roster_event *ev)
{
	int64_t remaining_ms =
	    r->opts.command_holdoff_ms - ev->u.past_command.ago_ms;
	struct command_holdoff *h;

	if (remaining_ms <= 0)
		return;
	if (remaining_ms > r->opts.command_holdoff_ms)
		remaining_ms = r->opts.command_holdoff_ms;
	h = calloc(1, sizeof(*h));
	if (h == NULL)
		abort(); /* two controllers would command the machine in turn */
	snprintf(
	    h->machine, sizeof(h->machine), "%s", ev->u.past_command.machine);
	h->until_us = r->now_us + remaining_ms * US_PER_MS;
	LIST_INSERT_HEAD(&r->holdoffs, h, entries);
}

static int64_t
holdoff_until_us(const struct roster *r, const char *machine)
{
	const struct command_holdoff *h;

	LIST_FOREACH(h, &r->holdoffs, entries) {
		if (strcmp(h->machine, machine) == 0)
			return h->until_us;
	}
	return 0;
}

static void
update_machine(struct roster *r, const struct machine_report *report)
{
	struct machine *m = roster_find_machine(r, report->machine);

	if (m == NULL) {
		m = calloc(1, sizeof(*m));
		if (m == NULL)
			return; /* added with the next list */
		m->report = *report;
		m->worker_listed_us = r->now_us;
		m->holdoff_until_us = holdoff_until_us(r, report->machine);
		m->command_not_before_us = m->holdoff_until_us;
		HASH_ADD(hh, r->machines, report.machine,
		    strlen(m->report.machine), m);
	}
	if (list_confirms_command(m, report))
		command_accepted(r, m);
	note_worker_end(r, m, report);
	if (strcmp(m->report.worker, report->worker) != 0) {
		m->last_report_us = 0;
		m->worker_listed_us = r->now_us;
		m->task_count = 0;
		m->cordoned = false;
	}
	m->report = *report;
	m->listed_us = r->list_requested_us;
	m->missing_from_lists = 0;
	clear_finished_command(r, m);
}

static void
handle_machine_list(struct roster *r, const struct roster_event *ev)
{
	struct machine *m, *next;
	size_t i;

	r->list_in_flight = false;
	if (ev->u.machine_list.list == NULL)
		return;
	r->list_received = true;
	for (i = 0; i < ev->u.machine_list.count; i++)
		update_machine(r, &ev->u.machine_list.list[i]);
	HASH_ITER(hh, r->machines, m, next)
	{
		/* a row that was left out may be this machine's */
		if (m->listed_us == r->list_requested_us ||
		    ev->u.machine_list.malformed_count > 0 ||
		    ++m->missing_from_lists < MISSING_LISTS_MIN)
			continue;
		roster_log(r,
		    "msg=\"machine is no longer listed; dropping it\" "
		    "machine=%s pool=%s",
		    m->report.machine, m->report.pool);
		HASH_DEL(r->machines, m);
		free(m);
	}
}

static void
handle_pool_config(struct roster *r, const struct roster_event *ev)
{
	struct roster_pool *p = roster_find_pool(r, ev->u.pool_config.name);

	if (p == NULL && r->pool_count < ROSTER_POOLS_MAX) {
		p = &r->pools[r->pool_count++];
		memset(p, 0, sizeof(*p));
		snprintf(
		    p->name, sizeof(p->name), "%s", ev->u.pool_config.name);
	}
	if (p != NULL)
		p->spare = ev->u.pool_config.spare;
}

static struct machine *
find_machine_of_worker(struct roster *r, const char *worker)
{
	struct machine *m;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		if (strcmp(m->report.worker, worker) == 0)
			return m;
	}
	return NULL;
}

/* Another owner with a higher fence has reported on the pool before. */
static bool
owner_is_replaced(struct roster *r, struct roster_pool *p, int64_t fence)
{
	/* an owner of the previous version does not report its fence */
	if (fence == 0 || fence >= p->owner_fence) {
		if (fence > p->owner_fence)
			p->owner_fence = fence;
		return false;
	}
	if (fence != p->ignored_fence)
		roster_log(r,
		    "msg=\"report of a pool's replaced owner is ignored\" "
		    "pool=%s fence=%lld newest=%lld",
		    p->name, (long long)fence, (long long)p->owner_fence);
	p->ignored_fence = fence;
	return true;
}

static void
handle_pool_report(struct roster *r, const struct pool_report *report)
{
	struct roster_pool *p = roster_find_pool(r, report->pool);
	struct machine *m;
	size_t i;

	if (p == NULL || owner_is_replaced(r, p, report->fence) ||
	    report->request_sent_us < p->last_report_us)
		return;
	p->demand = report->demand;
	p->worker_list_us =
	    report->request_sent_us - report->worker_list_age_ms * US_PER_MS;
	if (report->worker_list_age_ms > WORKER_LIST_MAX_AGE_MS)
		p->worker_list_fresh_since_us = 0;
	else if (p->worker_list_fresh_since_us == 0)
		p->worker_list_fresh_since_us = report->request_sent_us;
	p->last_report_us = report->request_sent_us;
	for (i = 0; i < report->worker_count; i++) {
		m = find_machine_of_worker(r, report->workers[i].worker);
		if (m == NULL) {
			r->list_refresh_needed = true; /* for the new worker */
			continue;
		}
		if (m->command == MACHINE_COMMAND_MAINTENANCE &&
		    report->workers[i].task_count < m->task_count)
			p->evacuation_progress_us = r->now_us;
		m->task_count = report->workers[i].task_count;
		m->long_running_count = report->workers[i].long_running_count;
		m->cordoned = report->workers[i].cordoned;
		m->last_report_us = report->request_sent_us;
	}
}

static void
handle_command_result(struct roster *r, const struct roster_event *ev)
{
	struct machine *m =
	    roster_find_machine(r, ev->u.command_result.machine);

	if (m == NULL || m->command == MACHINE_COMMAND_NONE ||
	    m->phase != COMMAND_PHASE_SENT)
		return;
	m->command_not_before_us = r->now_us + COMMAND_RETRY_MS * US_PER_MS;
	switch (ev->u.command_result.result) {
	case ROSTER_COMMAND_DONE:
		command_accepted(r, m);
		break;
	case ROSTER_COMMAND_REJECTED:
		roster_log(r,
		    "msg=\"platform rejects the command for good; dropping "
		    "it\" machine=%s wave=%lld",
		    m->report.machine, (long long)m->wave_number);
		if (m->command == MACHINE_COMMAND_MAINTENANCE)
			roster_maintenance_started(r, m);
		machine_clear_command(m);
		break;
	case ROSTER_COMMAND_UNKNOWN: /* sent again: commands are idempotent */
		m->unconfirmed_us = r->now_us;
		r->list_refresh_needed = true;
		machine_set_phase(r, m, COMMAND_PHASE_CORDON);
		break;
	case ROSTER_COMMAND_BUSY:
	case ROSTER_COMMAND_FENCED:
		machine_set_phase(r, m, COMMAND_PHASE_CORDON);
		break;
	}
}

static void
send_command(struct roster *r, struct machine *m)
{
	struct roster_effect *x;

	x = roster_add_effect(r,
	    m->command == MACHINE_COMMAND_MOVE ? ROSTER_EFFECT_MOVE
					       : ROSTER_EFFECT_MAINTENANCE);
	snprintf(x->machine, sizeof(x->machine), "%s", m->report.machine);
	snprintf(x->to_pool, sizeof(x->to_pool), "%s", m->to_pool);
	x->wave_number = m->wave_number;
	memcpy(m->commanded_worker, m->report.worker, NAME_BYTES);
	memcpy(m->commanded_pool, m->report.pool, NAME_BYTES);
	machine_set_phase(r, m, COMMAND_PHASE_SENT);
}

/* The machine can carry a command out without ending a task. */
static bool
command_is_safe(const struct roster *r, const struct machine *m)
{
	return m->report.state == MACHINE_UP && machine_report_is_current(m) &&
	    machine_drained(r, m);
}

bool
roster_command_holds(struct roster *r, const char *machine, int64_t now_us)
{
	const struct machine *m = roster_find_machine(r, machine);

	r->now_us = now_us;
	return m != NULL && m->command != MACHINE_COMMAND_NONE &&
	    m->phase == COMMAND_PHASE_SENT && command_is_safe(r, m);
}

static void
run_commands(struct roster *r)
{
	struct machine *m;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		if (m->command == MACHINE_COMMAND_NONE ||
		    m->phase != COMMAND_PHASE_CORDON)
			continue;
		if (m->command == MACHINE_COMMAND_MOVE &&
		    r->now_us - m->phase_since_us >
			MOVE_CORDON_TIMEOUT_MS * US_PER_MS &&
		    !machine_command_may_be_executed(r, m)) {
			machine_clear_command(m);
			continue;
		}
		if (r->now_us >= m->command_not_before_us &&
		    command_is_safe(r, m))
			send_command(r, m);
	}
}

static void
request_list_if_due(struct roster *r)
{
	const struct machine *m;
	int64_t interval_ms = r->list_refresh_needed
	    ? MACHINE_LIST_BUSY_INTERVAL_MS
	    : MACHINE_LIST_INTERVAL_MS;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		if ((m->command != MACHINE_COMMAND_NONE &&
			m->phase == COMMAND_PHASE_EXECUTING) ||
		    m->report.state != MACHINE_UP ||
		    (r->now_us >= m->holdoff_until_us &&
			!machine_report_is_current(m)))
			interval_ms = MACHINE_LIST_BUSY_INTERVAL_MS;
	}
	if (r->list_in_flight &&
	    r->now_us - r->list_requested_us <
		MACHINE_LIST_TIMEOUT_MS * US_PER_MS)
		return;
	if (r->list_received &&
	    r->now_us - r->list_requested_us < interval_ms * US_PER_MS)
		return;
	r->list_in_flight = true;
	r->list_refresh_needed = false;
	r->list_requested_us = r->now_us;
	roster_add_effect(r, ROSTER_EFFECT_LIST_MACHINES);
}

void
roster_step(
    struct roster *r, const struct roster_event *ev, struct roster_effects *fx)
{
	r->now_us = ev->now_us;
	r->effects = fx;
	switch (ev->kind) {
	case ROSTER_EVENT_TICK:
		break;
	case ROSTER_EVENT_MACHINE_LIST:
		handle_machine_list(r, ev);
		break;
	case ROSTER_EVENT_POOL_CONFIG:
		handle_pool_config(r, ev);
		break;
	case ROSTER_EVENT_POOL_REPORT:
		handle_pool_report(r, ev->u.report);
		break;
	case ROSTER_EVENT_WAVE_REQUEST:
		roster_handle_wave_request(r, ev);
		break;
	case ROSTER_EVENT_WAVE_PROGRESS:
		roster_handle_wave_progress(r, ev);
		break;
	case ROSTER_EVENT_WAVE_REQUEST_TIME:
		roster_handle_wave_request_time(r, ev);
		break;
	case ROSTER_EVENT_PAST_COMMAND:
		handle_past_command(r, ev);
		break;
	case ROSTER_EVENT_COMMAND_RESULT:
		handle_command_result(r, ev);
		break;
	}
	if (ev->kind != ROSTER_EVENT_TICK)
		return;
	request_list_if_due(r);
	if (!r->list_received)
		return;
	roster_run_waves(r);
	roster_run_moves(r);
	run_commands(r);
}

size_t
roster_incoming(const struct roster *r, const char *pool, int *within_ms)
{
	const struct machine *m;
	size_t n = 0;

	for (m = r->machines; m != NULL; m = m->hh.next)
		n += m->command == MACHINE_COMMAND_MOVE &&
		    strcmp(m->to_pool, pool) == 0;
	*within_ms = r->opts.move_ms + WORKER_REGISTRATION_MS;
	return n;
}

/*
 * The machine's present worker is to get no new tasks: it has a command, and no
 * list from after its acceptance shows the machine yet.
 */
static bool
worker_is_commanded(const struct machine *m)
{
	return m->command != MACHINE_COMMAND_NONE &&
	    (m->phase != COMMAND_PHASE_EXECUTING ||
		m->listed_us < m->phase_since_us);
}

void
roster_each_cordon(const struct roster *r, const char *pool,
    void (*each)(void *arg, const struct cordon *c), void *arg)
{
	const struct machine *m;
	struct cordon c;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		memset(&c, 0, sizeof(c));
		if (m->removed_worker[0] != '\0' &&
		    r->now_us - m->removed_us <
			REMOVED_WORKER_NOTICE_MS * US_PER_MS &&
		    strcmp(m->removed_pool, pool) == 0) {
			memcpy(c.worker, m->removed_worker, NAME_BYTES);
			c.kind = CORDON_MACHINE_REMOVED;
			c.age_ms = (r->now_us - m->removed_us) / US_PER_MS;
			each(arg, &c);
		}
		if (m->report.worker[0] == '\0' ||
		    strcmp(m->report.pool, pool) != 0)
			continue;
		memcpy(c.worker, m->report.worker, NAME_BYTES);
		c.age_ms = 0;
		if (worker_is_commanded(m)) {
			c.kind = m->command == MACHINE_COMMAND_MAINTENANCE
			    ? CORDON_EVACUATE
			    : CORDON_NO_NEW_TASKS;
			each(arg, &c);
		} else if (m->command == MACHINE_COMMAND_NONE &&
		    m->maintenance_pending_us != 0 &&
		    r->now_us - m->maintenance_pending_us <
			MAINTENANCE_PENDING_MS * US_PER_MS) {
			c.kind = CORDON_MAINTENANCE_PENDING;
			each(arg, &c);
		}
	}
}
