/* Waves of upkeep: in time, never more machines down than a wave allows. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "roster_state.h"

#define ROUND_SPARE_MS 1500 /* a machine's way to its upkeep and back */
#define PRESSURE 1.6 /* times the rounds that are left, to begin forcing */
/* Machines of a pool whose lasting tasks move at a time: the others work on. */
#define LASTING_AT_ONCE 4
#define POOL_SHARE 4 /* one in so many of a pool's machines at once */

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
wave_of(struct roster *f, int64_t number)
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
wave_entry(struct wave *w, const char *machine)
{
	size_t i;

	for (i = 0; i < w->count; i++) {
		if (strcmp(w->list[i].machine, machine) == 0)
			return &w->list[i];
	}
	return NULL;
}

static struct wave_machine *
wave_add(struct wave *w, const char *machine)
{
	struct wave_machine *list, *e = wave_entry(w, machine);

	if (e != NULL)
		return e;
	list = realloc(w->list, (w->count + 1) * sizeof(*list));
	if (list == NULL)
		return NULL;
	w->list = list;
	e = &list[w->count++];
	memset(e, 0, sizeof(*e));
	snprintf(e->machine, sizeof(e->machine), "%s", machine);
	return e;
}

void
roster_take_wave(struct roster *f, const struct roster_event *ev)
{
	struct wave *w = wave_of(f, ev->u.wave.wave);
	size_t i;

	if (w == NULL || w->cap > 0 || w->completed)
		return;
	w->cap = ev->u.wave.cap > 0 ? ev->u.wave.cap : 1;
	if (w->since_us == 0) {
		w->since_us = f->now_us;
		roster_fx(f, ROSTER_SINCE)->wave = w->number;
	}
	w->until_us = w->since_us + ev->u.wave.within_ms * US_PER_MS;
	for (i = 0; i < ev->u.wave.count; i++)
		wave_add(w, ev->u.wave.machines[i]);
	roster_log(f,
	    "msg=\"wave asked for\" wave=%lld machines=%zu within_ms=%d cap=%d "
	    "ago_ms=%lld",
	    (long long)w->number, w->count, ev->u.wave.within_ms, w->cap,
	    (long long)((f->now_us - w->since_us) / US_PER_MS));
}

/* A successor has what is left of the time, not all of it again. */
void
roster_take_since(struct roster *f, const struct roster_event *ev)
{
	struct wave *w = wave_of(f, ev->u.since.wave);

	if (w != NULL && w->since_us == 0)
		w->since_us = f->now_us - ev->u.since.ago_ms * US_PER_MS;
}

/* A predecessor's records come before the operators' order, or after. */
void
roster_take_known(struct roster *f, const struct roster_event *ev)
{
	struct wave *w = wave_of(f, ev->u.known.wave);
	struct wave_machine *e;

	if (w == NULL)
		return;
	w->completed |= ev->u.known.completed;
	w->told_running = true;
	if (ev->u.known.machine == NULL)
		return;
	e = wave_add(w, ev->u.known.machine);
	if (e != NULL)
		e->begun = true;
}

void
roster_upkeep_begun(struct roster *f, struct machine *m)
{
	struct wave *w = find_wave(f, m->wave);
	struct wave_machine *e;
	struct roster_effect *x;

	e = w != NULL ? wave_entry(w, m->report.machine) : NULL;
	if (e == NULL || e->begun)
		return;
	e->begun = true;
	x = roster_fx(f, ROSTER_NOTE);
	x->wave = w->number;
	snprintf(x->machine, sizeof(x->machine), "%s", e->machine);
}

/* Counts what is down, may be down or is about to be. */
static size_t
wave_down(struct roster *f, struct wave *w)
{
	struct machine *m;
	size_t i, n = 0;

	for (i = 0; i < w->count; i++) {
		m = roster_find_machine(f, w->list[i].machine);
		if (m == NULL)
			continue;
		if (m->report.state == MACHINE_UPKEEP ||
		    (m->order == ORDER_UPKEEP && m->wave == w->number))
			n++;
	}
	return n;
}

/* Machines of a pool that upkeep keeps away; those it gives up do not count. */
static size_t
pool_away(const struct roster *f, const char *pool, size_t *all)
{
	const struct machine *m;
	size_t n = 0;

	*all = 0;
	for (m = f->machines; m != NULL; m = m->hh.next) {
		if (m->order == ORDER_MOVE || strcmp(m->report.pool, pool) != 0)
			continue;
		(*all)++;
		n += m->order != ORDER_NONE || m->report.state != MACHINE_UP;
	}
	return n;
}

/* Rounds that are left need most of the time that is left. */
static bool
wave_presses(const struct roster *f, const struct wave *w, size_t left)
{
	int64_t round_us = (f->opts.upkeep_ms + ROUND_SPARE_MS) * US_PER_MS;
	size_t rounds = (left + (size_t)w->cap - 1) / (size_t)w->cap;

	return (double)(w->until_us - f->now_us) <
	    PRESSURE * (double)rounds * (double)round_us + (double)round_us;
}

/*
 * Machines that run nothing go wherever they are; one that works is emptied
 * only in a pool that has few away, sooner when time presses.
 */
static bool
may_begin(struct roster *f, struct machine *m, bool presses)
{
	size_t all, away;

	if (m->order != ORDER_NONE || m->report.state != MACHINE_UP)
		return false;
	if (machine_idle(f, m))
		return true;
	if (m->told_us == 0) /* its pool's owner is not known to hear us */
		return false;
	away = pool_away(f, m->report.pool, &all);
	if (presses)
		return away < (all + 1) / 2;
	return away < (all + POOL_SHARE - 1) / POOL_SHARE;
}

static void
begin_upkeep(struct roster *f, struct wave *w, struct machine *m)
{
	machine_set_order(f, m, ORDER_UPKEEP);
	m->wave = w->number;
	roster_log(f,
	    "msg=\"machine is emptied for its upkeep\" machine=%s pool=%s "
	    "worker=%s tasks=%zu wave=%lld",
	    m->report.machine, m->report.pool, m->report.worker, m->tasks,
	    (long long)w->number);
}

static void
tell(struct roster *f, const struct wave *w)
{
	struct roster_effect *x = roster_fx(f, ROSTER_STATUS);

	x->wave = w->number;
	x->completed = w->completed;
}

/* What a look at a wave's machines begins with, in this order. */
enum wave_turn {
	/* tasks that last leave one after the other: what takes longest */
	TURN_LASTING,
	TURN_IDLE,
	TURN_ANY
};

static size_t
pool_moves_lasting(const struct roster *f, const char *pool)
{
	const struct machine *m;
	size_t n = 0;

	for (m = f->machines; m != NULL; m = m->hh.next)
		n += m->order == ORDER_UPKEEP && m->lasting > 0 &&
		    strcmp(m->report.pool, pool) == 0;
	return n;
}

static bool
has_turn(const struct roster *f, const struct machine *m, enum wave_turn t,
    bool presses)
{
	switch (t) {
	case TURN_LASTING:
		return m->lasting > 0 &&
		    (presses ||
			pool_moves_lasting(f, m->report.pool) <
			    LASTING_AT_ONCE);
	case TURN_IDLE:
		return machine_idle(f, m);
	case TURN_ANY:
		return m->lasting == 0;
	}
	return false;
}

static void
begin_some(struct roster *f, struct wave *w, size_t left, enum wave_turn t)
{
	bool presses = wave_presses(f, w, left);
	size_t down = wave_down(f, w), i;
	struct machine *m;

	for (i = 0; i < w->count && down < (size_t)w->cap; i++) {
		if (w->list[i].begun)
			continue;
		m = roster_find_machine(f, w->list[i].machine);
		if (m == NULL || !has_turn(f, m, t, presses) ||
		    !may_begin(f, m, presses))
			continue;
		begin_upkeep(f, w, m);
		down++;
	}
}

static void
run_wave(struct roster *f, struct wave *w)
{
	struct machine *m;
	size_t i, left = 0;

	if (!w->told_running) {
		w->told_running = true;
		tell(f, w);
	}
	for (i = 0; i < w->count; i++) {
		/* a machine that has left needs none */
		m = w->list[i].begun
		    ? NULL
		    : roster_find_machine(f, w->list[i].machine);
		if (m == NULL)
			continue;
		m->due_us = f->now_us;
		left++;
	}
	if (left == 0) {
		w->completed = true;
		roster_log(f,
		    "msg=\"wave is completed\" wave=%lld "
		    "left_ms=%lld",
		    (long long)w->number,
		    (long long)((w->until_us - f->now_us) / US_PER_MS));
		tell(f, w);
		return;
	}
	begin_some(f, w, left, TURN_LASTING);
	begin_some(f, w, left, TURN_IDLE);
	begin_some(f, w, left, TURN_ANY);
}

void
roster_run_waves(struct roster *f)
{
	struct wave *w;

	LIST_FOREACH(w, &f->waves, entries) {
		if (w->cap > 0 && !w->completed)
			run_wave(f, w);
	}
}

void
roster_waves_free(struct roster *f)
{
	struct wave *w;

	while ((w = LIST_FIRST(&f->waves)) != NULL) {
		LIST_REMOVE(w, entries);
		free(w->list);
		free(w);
	}
}
