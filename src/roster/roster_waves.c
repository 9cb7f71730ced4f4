/*
 * Maintenance waves: completed by their deadline, with never more machines down
 * than a wave allows.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

/*
 * Part of a round besides the maintenance itself: evacuation of the machines
 * before it and their return afterwards.  A round has up to max_down machines.
 */
#define ROUND_OVERHEAD_MS 1500
/*
 * Multiplies the duration of the remaining rounds.  A wave is urgent when it
 * has less time left than that and one more round.
 */
#define URGENCY_FACTOR 1.6
/*
 * Machines of a pool that long-running tasks leave at a time, while the other
 * machines serve.  Not applied when a wave is urgent.
 */
#define LONG_RUNNING_EVACUATIONS_MAX 4
/* At most one in four machines of a pool is away, unless a wave is urgent. */
#define POOL_AWAY_DIVISOR 4
/*
 * An evacuation is withdrawn when no task has left the evacuated workers of its
 * pool for this long: those that are left have no other worker to go to.  The
 * machine serves again and is evacuated anew after a pause.
 */
#define EVACUATION_STALL_MS 8000
#define EVACUATION_PAUSE_MS 4000

static struct wave *
find_wave(struct roster *r, int64_t number)
{
	struct wave *w;

	LIST_FOREACH(w, &r->waves, entries) {
		if (w->number == number)
			return w;
	}
	return NULL;
}

/* NULL when memory is short. */
static struct wave *
find_or_add_wave(struct roster *r, int64_t number)
{
	struct wave *w = find_wave(r, number);

	if (w != NULL)
		return w;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->number = number;
	LIST_INSERT_HEAD(&r->waves, w, entries);
	return w;
}

static struct wave_machine *
wave_find_machine(struct wave *w, const char *machine)
{
	size_t i;

	for (i = 0; i < w->machine_count; i++) {
		if (strcmp(w->machines[i].machine, machine) == 0)
			return &w->machines[i];
	}
	return NULL;
}

/* The existing entry, or a new one; NULL when memory is short. */
static struct wave_machine *
wave_add_machine(struct wave *w, const char *machine)
{
	struct wave_machine *list, *e = wave_find_machine(w, machine);

	if (e != NULL)
		return e;
	list = realloc(w->machines, (w->machine_count + 1) * sizeof(*list));
	if (list == NULL)
		return NULL;
	w->machines = list;
	e = &list[w->machine_count++];
	memset(e, 0, sizeof(*e));
	snprintf(e->machine, sizeof(e->machine), "%s", machine);
	return e;
}

void
roster_handle_wave_request(struct roster *r, const struct roster_event *ev)
{
	struct wave *w = find_or_add_wave(r, ev->u.wave_request.wave_number);
	size_t i;

	if (w == NULL || w->max_down > 0 || w->completed)
		return;
	w->max_down =
	    ev->u.wave_request.max_down > 0 ? ev->u.wave_request.max_down : 1;
	if (w->requested_us == 0) {
		w->requested_us = r->now_us;
		roster_add_effect(r, ROSTER_EFFECT_RECORD_WAVE_REQUEST)
		    ->wave_number = w->number;
	}
	w->deadline_us =
	    w->requested_us + ev->u.wave_request.within_ms * US_PER_MS;
	for (i = 0; i < ev->u.wave_request.count; i++)
		wave_add_machine(w, ev->u.wave_request.machine_names[i]);
	roster_log(r,
	    "msg=\"wave requested\" wave=%lld machines=%zu within_ms=%d cap=%d "
	    "ago_ms=%lld",
	    (long long)w->number, w->machine_count,
	    ev->u.wave_request.within_ms, w->max_down,
	    (long long)((r->now_us - w->requested_us) / US_PER_MS));
}

/* A successor gets the rest of the time, not all of it again. */
void
roster_handle_wave_request_time(struct roster *r, const struct roster_event *ev)
{
	struct wave *w =
	    find_or_add_wave(r, ev->u.wave_request_time.wave_number);

	if (w != NULL && w->requested_us == 0)
		w->requested_us =
		    r->now_us - ev->u.wave_request_time.ago_ms * US_PER_MS;
}

/* A predecessor's records can arrive before or after the wave's request. */
void
roster_handle_wave_progress(struct roster *r, const struct roster_event *ev)
{
	struct wave *w = find_or_add_wave(r, ev->u.wave_progress.wave_number);
	struct wave_machine *e;

	if (w == NULL)
		return;
	w->completed |= ev->u.wave_progress.completed;
	w->running_reported = true;
	if (ev->u.wave_progress.machine == NULL)
		return;
	e = wave_add_machine(w, ev->u.wave_progress.machine);
	if (e != NULL)
		e->maintenance_started = true;
}

void
roster_maintenance_started(struct roster *r, struct machine *m)
{
	struct wave *w = find_wave(r, m->wave_number);
	struct wave_machine *e;
	struct roster_effect *x;

	e = w != NULL ? wave_find_machine(w, m->report.machine) : NULL;
	if (e == NULL || e->maintenance_started)
		return;
	e->maintenance_started = true;
	x = roster_add_effect(r, ROSTER_EFFECT_RECORD_MAINTENANCE);
	x->wave_number = w->number;
	snprintf(x->machine, sizeof(x->machine), "%s", e->machine);
}

/* Machines of the wave that are down, possibly down or about to be. */
static size_t
count_wave_down(struct roster *r, struct wave *w)
{
	struct machine *m;
	size_t i, n = 0;

	for (i = 0; i < w->machine_count; i++) {
		m = roster_find_machine(r, w->machines[i].machine);
		if (m == NULL)
			continue;
		if (m->report.state == MACHINE_MAINTENANCE ||
		    (m->command == MACHINE_COMMAND_MAINTENANCE &&
			m->wave_number == w->number))
			n++;
	}
	return n;
}

/*
 * Machines of a pool that are not up, or that are to enter maintenance.  "all"
 * is set to the number of its machines.  Machines that move to another pool
 * count in neither.
 */
static size_t
count_pool_away(const struct roster *r, const char *pool, size_t *all)
{
	const struct machine *m;
	size_t n = 0;

	*all = 0;
	for (m = r->machines; m != NULL; m = m->hh.next) {
		if (m->command == MACHINE_COMMAND_MOVE ||
		    strcmp(m->report.pool, pool) != 0)
			continue;
		(*all)++;
		n += m->command != MACHINE_COMMAND_NONE ||
		    m->report.state != MACHINE_UP;
	}
	return n;
}

/* The remaining rounds need most of the remaining time. */
static bool
wave_is_urgent(const struct roster *r, const struct wave *w, size_t remaining)
{
	int64_t round_us =
	    (r->opts.maintenance_ms + ROUND_OVERHEAD_MS) * US_PER_MS;
	size_t rounds =
	    (remaining + (size_t)w->max_down - 1) / (size_t)w->max_down;

	return (double)(w->deadline_us - r->now_us) <
	    URGENCY_FACTOR * (double)rounds * (double)round_us +
	    (double)round_us;
}

/* Machines of a pool of "all" that may be away where its workers are busy. */
static size_t
pool_away_max(size_t all, bool urgent)
{
	return urgent ? (all + 1) / 2
		      : (all + POOL_AWAY_DIVISOR - 1) / POOL_AWAY_DIVISOR;
}

/*
 * An idle machine can start in any pool.  A busy one is evacuated only while
 * few machines of its pool are away; an urgent wave allows half of them.
 */
static bool
can_start_maintenance(struct roster *r, struct machine *m, bool urgent)
{
	size_t all, away;

	if (m->command != MACHINE_COMMAND_NONE || m->report.state != MACHINE_UP)
		return false;
	if (machine_idle(r, m))
		return true;
	if (m->last_report_us == 0)
		return false; /* the pool's owner is possibly unreachable */
	if (r->now_us < m->evacuation_not_before_us)
		return false;
	away = count_pool_away(r, m->report.pool, &all);
	return away < pool_away_max(all, urgent);
}

/* Long-running tasks keep the machine from being emptied, by a fresh report. */
static bool
evacuates_long_running(const struct roster *r, const struct machine *m)
{
	return m->command == MACHINE_COMMAND_MAINTENANCE &&
	    m->phase == COMMAND_PHASE_CORDON && m->long_running_count > 0 &&
	    machine_report_is_fresh(r, m);
}

static size_t
count_evacuating_long_running(const struct roster *r, const char *pool)
{
	const struct machine *m;
	size_t n = 0;

	for (m = r->machines; m != NULL; m = m->hh.next)
		n += evacuates_long_running(r, m) &&
		    strcmp(m->report.pool, pool) == 0;
	return n;
}

/* Since then no task has left the evacuated workers of the machine's pool. */
static int64_t
evacuation_stalled_since_us(struct roster *r, const struct machine *m)
{
	const struct roster_pool *p = roster_find_pool(r, m->report.pool);

	return p != NULL && p->evacuation_progress_us > m->phase_since_us
	    ? p->evacuation_progress_us
	    : m->phase_since_us;
}

/* Why an evacuation cannot succeed; NULL: it may. */
static const char *
evacuation_hopeless(struct roster *r, const struct machine *m, bool urgent)
{
	size_t all;

	if (!evacuates_long_running(r, m) ||
	    machine_command_may_be_executed(r, m))
		return NULL;
	/*
	 * Tasks came before the cordon did: workers that are all evacuated
	 * take no tasks from each other.
	 */
	(void)count_pool_away(r, m->report.pool, &all);
	if (count_evacuating_long_running(r, m->report.pool) >
	    pool_away_max(all, urgent))
		return "too-many-of-pool";
	return r->now_us - evacuation_stalled_since_us(r, m) >
		EVACUATION_STALL_MS * US_PER_MS
	    ? "stalled"
	    : NULL;
}

/* The owner of the pool uses a worker again that it is not told to evacuate. */
static void
withdraw_hopeless_evacuations(struct roster *r, struct wave *w, bool urgent)
{
	struct machine *m;
	const char *why;

	for (m = r->machines; m != NULL; m = m->hh.next) {
		if (m->wave_number != w->number)
			continue;
		why = evacuation_hopeless(r, m, urgent);
		if (why == NULL)
			continue;
		roster_log(r,
		    "msg=\"withdraws the evacuation of a machine\" machine=%s "
		    "pool=%s worker=%s wave=%lld why=%s tasks=%zu "
		    "long_running=%zu report_age_ms=%lld stalled_ms=%lld",
		    m->report.machine, m->report.pool, m->report.worker,
		    (long long)w->number, why, m->task_count,
		    m->long_running_count,
		    (long long)((r->now_us - m->last_report_us) / US_PER_MS),
		    (long long)((r->now_us -
				    evacuation_stalled_since_us(r, m)) /
			US_PER_MS));
		machine_clear_command(m);
		m->evacuation_not_before_us =
		    r->now_us + EVACUATION_PAUSE_MS * US_PER_MS;
	}
}

static void
start_maintenance(struct roster *r, struct wave *w, struct machine *m)
{
	machine_set_command(r, m, MACHINE_COMMAND_MAINTENANCE);
	m->wave_number = w->number;
	roster_log(r,
	    "msg=\"evacuating machine for maintenance\" machine=%s pool=%s "
	    "worker=%s tasks=%zu wave=%lld",
	    m->report.machine, m->report.pool, m->report.worker, m->task_count,
	    (long long)w->number);
}

static void
report_wave_status(struct roster *r, const struct wave *w)
{
	struct roster_effect *x =
	    roster_add_effect(r, ROSTER_EFFECT_WAVE_STATUS);

	x->wave_number = w->number;
	x->completed = w->completed;
}

/* Passes over the machines of a wave, in this order. */
enum wave_pass {
	/* takes longest: long-running tasks leave few machines at a time */
	PASS_LONG_RUNNING,
	PASS_IDLE,
	PASS_OTHER
};

static size_t
count_long_running_evacuations(const struct roster *r, const char *pool)
{
	const struct machine *m;
	size_t n = 0;

	for (m = r->machines; m != NULL; m = m->hh.next)
		n += m->command == MACHINE_COMMAND_MAINTENANCE &&
		    m->long_running_count > 0 &&
		    strcmp(m->report.pool, pool) == 0;
	return n;
}

static bool
is_in_pass(const struct roster *r, const struct machine *m, enum wave_pass pass,
    bool urgent)
{
	switch (pass) {
	case PASS_LONG_RUNNING:
		return m->long_running_count > 0 &&
		    (urgent ||
			count_long_running_evacuations(r, m->report.pool) <
			    LONG_RUNNING_EVACUATIONS_MAX);
	case PASS_IDLE:
		return machine_idle(r, m);
	case PASS_OTHER:
		return m->long_running_count == 0;
	}
	return false;
}

static void
run_wave_pass(
    struct roster *r, struct wave *w, size_t remaining, enum wave_pass pass)
{
	bool urgent = wave_is_urgent(r, w, remaining);
	size_t down = count_wave_down(r, w), i;
	struct machine *m;

	for (i = 0; i < w->machine_count && down < (size_t)w->max_down; i++) {
		if (w->machines[i].maintenance_started)
			continue;
		m = roster_find_machine(r, w->machines[i].machine);
		if (m == NULL || !is_in_pass(r, m, pass, urgent) ||
		    !can_start_maintenance(r, m, urgent))
			continue;
		start_maintenance(r, w, m);
		down++;
	}
}

static void
run_wave(struct roster *r, struct wave *w)
{
	struct machine *m;
	size_t i, remaining = 0;

	if (!w->running_reported) {
		w->running_reported = true;
		report_wave_status(r, w);
	}
	for (i = 0; i < w->machine_count; i++) {
		/* a machine that is no longer listed needs none */
		m = w->machines[i].maintenance_started
		    ? NULL
		    : roster_find_machine(r, w->machines[i].machine);
		if (m == NULL)
			continue;
		m->maintenance_pending_us = r->now_us;
		remaining++;
	}
	if (remaining == 0) {
		w->completed = true;
		roster_log(r,
		    "msg=\"wave completed; publishing its status\" wave=%lld "
		    "left_ms=%lld",
		    (long long)w->number,
		    (long long)((w->deadline_us - r->now_us) / US_PER_MS));
		report_wave_status(r, w);
		return;
	}
	withdraw_hopeless_evacuations(r, w, wave_is_urgent(r, w, remaining));
	run_wave_pass(r, w, remaining, PASS_LONG_RUNNING);
	run_wave_pass(r, w, remaining, PASS_IDLE);
	run_wave_pass(r, w, remaining, PASS_OTHER);
}

void
roster_run_waves(struct roster *r)
{
	struct wave *w;

	LIST_FOREACH(w, &r->waves, entries) {
		if (w->max_down > 0 && !w->completed)
			run_wave(r, w);
	}
}

void
roster_waves_free(struct roster *r)
{
	struct wave *w;

	while ((w = LIST_FIRST(&r->waves)) != NULL) {
		LIST_REMOVE(w, entries);
		free(w->machines);
		free(w);
	}
}
