/* Waves of upkeep: in time, never more machines down than a wave allows. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

#define ROUND_OVERHEAD_MS 1500 /* a machine's way to its upkeep and back */
#define URGENCY_FACTOR \
	1.6 /* times the rounds that are left, to begin forcing */
/* Machines of a pool whose lasting tasks move at a time: the others work on. */
#define LONG_RUNNING_EVACUATIONS_MAX 4
#define POOL_AWAY_DIVISOR 4 /* one in so many of a pool's machines at once */

static struct wave *
find_wave(struct roster *f, int64_t number)
{
	struct wave *w;

	LIST_FOREACH(w, &f->waves, entries) {
		if (w->number == number)
			return w;
	}
	return NULL;
}

/* Found or added; NULL when memory is short. */
static struct wave *
find_or_add_wave(struct roster *f, int64_t number)
{
	struct wave *w = find_wave(f, number);

	if (w != NULL)
		return w;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	w->number = number;
	LIST_INSERT_HEAD(&f->waves, w, entries);
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
roster_handle_wave_request(struct roster *f, const struct roster_event *ev)
{
	struct wave *w = find_or_add_wave(f, ev->u.wave_request.wave_number);
	size_t i;

	if (w == NULL || w->max_down > 0 || w->completed)
		return;
	w->max_down =
	    ev->u.wave_request.max_down > 0 ? ev->u.wave_request.max_down : 1;
	if (w->requested_us == 0) {
		w->requested_us = f->now_us;
		roster_add_effect(f, ROSTER_EFFECT_RECORD_WAVE_REQUEST)
		    ->wave_number = w->number;
	}
	w->deadline_us =
	    w->requested_us + ev->u.wave_request.within_ms * US_PER_MS;
	for (i = 0; i < ev->u.wave_request.count; i++)
		wave_add_machine(w, ev->u.wave_request.machine_names[i]);
	roster_log(f,
	    "msg=\"wave asked for\" wave=%lld machines=%zu within_ms=%d cap=%d "
	    "ago_ms=%lld",
	    (long long)w->number, w->machine_count,
	    ev->u.wave_request.within_ms, w->max_down,
	    (long long)((f->now_us - w->requested_us) / US_PER_MS));
}

/* A successor has what is left of the time, not all of it again. */
void
roster_handle_wave_request_time(struct roster *f, const struct roster_event *ev)
{
	struct wave *w =
	    find_or_add_wave(f, ev->u.wave_request_time.wave_number);

	if (w != NULL && w->requested_us == 0)
		w->requested_us =
		    f->now_us - ev->u.wave_request_time.ago_ms * US_PER_MS;
}

/* A predecessor's records come before the operators' order, or after. */
void
roster_handle_wave_progress(struct roster *f, const struct roster_event *ev)
{
	struct wave *w = find_or_add_wave(f, ev->u.wave_progress.wave_number);
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
roster_maintenance_started(struct roster *f, struct machine *m)
{
	struct wave *w = find_wave(f, m->wave_number);
	struct wave_machine *e;
	struct roster_effect *x;

	e = w != NULL ? wave_find_machine(w, m->report.machine) : NULL;
	if (e == NULL || e->maintenance_started)
		return;
	e->maintenance_started = true;
	x = roster_add_effect(f, ROSTER_EFFECT_RECORD_MAINTENANCE);
	x->wave_number = w->number;
	snprintf(x->machine, sizeof(x->machine), "%s", e->machine);
}

/* Counts what is down, may be down or is about to be. */
static size_t
count_wave_down(struct roster *f, struct wave *w)
{
	struct machine *m;
	size_t i, n = 0;

	for (i = 0; i < w->machine_count; i++) {
		m = roster_find_machine(f, w->machines[i].machine);
		if (m == NULL)
			continue;
		if (m->report.state == MACHINE_MAINTENANCE ||
		    (m->command == MACHINE_COMMAND_MAINTENANCE &&
			m->wave_number == w->number))
			n++;
	}
	return n;
}

/* Machines of a pool that upkeep keeps away; those it gives up do not count. */
static size_t
count_pool_away(const struct roster *f, const char *pool, size_t *all)
{
	const struct machine *m;
	size_t n = 0;

	*all = 0;
	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->command == MACHINE_COMMAND_MOVE ||
		    strcmp(m->report.pool, pool) != 0)
			continue;
		(*all)++;
		n += m->command != MACHINE_COMMAND_NONE ||
		    m->report.state != MACHINE_UP;
	}
	return n;
}

/* Rounds that are left need most of the time that is left. */
static bool
wave_is_urgent(const struct roster *f, const struct wave *w, size_t left)
{
	int64_t round_us =
	    (f->opts.maintenance_ms + ROUND_OVERHEAD_MS) * US_PER_MS;
	size_t rounds = (left + (size_t)w->max_down - 1) / (size_t)w->max_down;

	return (double)(w->deadline_us - f->now_us) <
	    URGENCY_FACTOR * (double)rounds * (double)round_us +
	    (double)round_us;
}

/*
 * Machines that run nothing go wherever they are; one that works is emptied
 * only in a pool that has few away, sooner when time presses.
 */
static bool
can_start_maintenance(struct roster *f, struct machine *m, bool urgent)
{
	size_t all, away;

	if (m->command != MACHINE_COMMAND_NONE || m->report.state != MACHINE_UP)
		return false;
	if (machine_idle(f, m))
		return true;
	if (m->last_report_us ==
	    0) /* its pool's owner is not known to hear us */
		return false;
	away = count_pool_away(f, m->report.pool, &all);
	if (urgent)
		return away < (all + 1) / 2;
	return away < (all + POOL_AWAY_DIVISOR - 1) / POOL_AWAY_DIVISOR;
}

static void
start_maintenance(struct roster *f, struct wave *w, struct machine *m)
{
	machine_set_command(f, m, MACHINE_COMMAND_MAINTENANCE);
	m->wave_number = w->number;
	roster_log(f,
	    "msg=\"machine is emptied for its upkeep\" machine=%s pool=%s "
	    "worker=%s tasks=%zu wave=%lld",
	    m->report.machine, m->report.pool, m->report.worker, m->task_count,
	    (long long)w->number);
}

static void
report_wave_status(struct roster *f, const struct wave *w)
{
	struct roster_effect *x =
	    roster_add_effect(f, ROSTER_EFFECT_WAVE_STATUS);

	x->wave_number = w->number;
	x->completed = w->completed;
}

/* What a look at a wave's machines begins with, in this order. */
enum wave_pass {
	/* tasks that last leave one after the other: what takes longest */
	PASS_LONG_RUNNING,
	PASS_IDLE,
	PASS_OTHER
};

static size_t
count_long_running_evacuations(const struct roster *f, const char *pool)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += m->command == MACHINE_COMMAND_MAINTENANCE &&
		    m->long_running_count > 0 &&
		    strcmp(m->report.pool, pool) == 0;
	return n;
}

static bool
is_in_pass(const struct roster *f, const struct machine *m, enum wave_pass t,
    bool urgent)
{
	switch (t) {
	case PASS_LONG_RUNNING:
		return m->long_running_count > 0 &&
		    (urgent ||
			count_long_running_evacuations(f, m->report.pool) <
			    LONG_RUNNING_EVACUATIONS_MAX);
	case PASS_IDLE:
		return machine_idle(f, m);
	case PASS_OTHER:
		return m->long_running_count == 0;
	}
	return false;
}

static void
run_wave_pass(struct roster *f, struct wave *w, size_t left, enum wave_pass t)
{
	bool urgent = wave_is_urgent(f, w, left);
	size_t down = count_wave_down(f, w), i;
	struct machine *m;

	for (i = 0; i < w->machine_count && down < (size_t)w->max_down; i++) {
		if (w->machines[i].maintenance_started)
			continue;
		m = roster_find_machine(f, w->machines[i].machine);
		if (m == NULL || !is_in_pass(f, m, t, urgent) ||
		    !can_start_maintenance(f, m, urgent))
			continue;
		start_maintenance(f, w, m);
		down++;
	}
}

static void
run_wave(struct roster *f, struct wave *w)
{
	struct machine *m;
	size_t i, left = 0;

	if (!w->running_reported) {
		w->running_reported = true;
		report_wave_status(f, w);
	}
	for (i = 0; i < w->machine_count; i++) {
		/* a machine that has left needs none */
		m = w->machines[i].maintenance_started
		    ? NULL
		    : roster_find_machine(f, w->machines[i].machine);
		if (m == NULL)
			continue;
		m->maintenance_pending_us = f->now_us;
		left++;
	}
	if (left == 0) {
		w->completed = true;
		roster_log(f,
		    "msg=\"wave is completed\" wave=%lld "
		    "left_ms=%lld",
		    (long long)w->number,
		    (long long)((w->deadline_us - f->now_us) / US_PER_MS));
		report_wave_status(f, w);
		return;
	}
	run_wave_pass(f, w, left, PASS_LONG_RUNNING);
	run_wave_pass(f, w, left, PASS_IDLE);
	run_wave_pass(f, w, left, PASS_OTHER);
}

void
roster_run_waves(struct roster *f)
{
	struct wave *w;

	LIST_FOREACH(w, &f->waves, entries) {
		if (w->max_down > 0 && !w->completed)
			run_wave(f, w);
	}
}

void
roster_waves_free(struct roster *f)
{
	struct wave *w;

	while ((w = LIST_FIRST(&f->waves)) != NULL) {
		LIST_REMOVE(w, entries);
		free(w->machines);
		free(w);
	}
}
