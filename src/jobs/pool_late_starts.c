/*
 * Starts without an answer.  Such a start may reach its worker seconds later.
 * While the worker answers, its fence or a stop keeps the start out; the next
 * incarnation of the worker has neither until it has answered.  A task waits
 * for that answer before it starts on another worker.  What runs elsewhere or
 * is done by then cannot wait: probes bring the next incarnation a higher fence
 * as soon as it can be reached.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/*
 * Longest times that a long-running task waits, from the start: callers miss it
 * all the while, and its worker may never come back.  It waits longer if the
 * worker has answered since, as such a start is held up and not lost.
 */
#define LONG_RUNNING_WAIT_MS 2000
#define LONG_RUNNING_HELD_UP_WAIT_MS 5000
/*
 * Between probes of silent workers, over all of a pool's workers: of one that
 * has been silent for less than PROBE_CLOSE_MS since this owner sent it a start
 * that may be late, and of any other.  Probes take processor time.
 */
#define PROBE_CLOSE_INTERVAL_MS 5
#define PROBE_CLOSE_MS 2500
#define PROBE_INTERVAL_MS 50
/* An owner whose loop is later than this has no processor time for probes. */
#define PROBE_LOOP_LAG_MAX_MS 20

static void
late_start_free(struct late_start *l)
{
	LIST_REMOVE(l, entries);
	free(l);
}

/* NULL: no start of this run is known to be late at the worker. */
static struct late_start *
find_late_start(const struct task *t, const char *worker, int64_t run)
{
	struct late_start *l;

	LIST_FOREACH(l, &t->late_starts, entries) {
		if (l->run == run && strcmp(l->worker, worker) == 0)
			return l;
	}
	return NULL;
}

void
task_note_late_start(struct task *t)
{
	int64_t until_us = t->placed_us + LATE_COMMAND_MAX_MS * US_PER_MS;
	struct pool_worker *w = t->worker;
	struct late_start *l = find_late_start(t, w->report.id, t->run);

	if (until_us > w->late_start_until_us)
		w->late_start_until_us = until_us;
	if (t->placed_us > w->late_start_sent_us)
		w->late_start_sent_us = t->placed_us;
	if (l != NULL)
		return;
	account_note_late_start(t);
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		abort(); /* the task could run twice */
	snprintf(l->worker, sizeof(l->worker), "%s", w->report.id);
	l->run = t->run;
	l->sent_us = t->placed_us;
	LIST_INSERT_HEAD(&t->late_starts, l, entries);
}

void
task_start_arrived(struct task *t, const char *worker, int64_t run)
{
	struct late_start *l = find_late_start(t, worker, run);

	account_start_arrived(t, worker, run);
	if (l != NULL)
		late_start_free(l);
}

/* "w", which may be NULL, would not carry out a start that arrives now. */
static bool
keeps_late_starts_out(const struct pool_worker *w)
{
	return w != NULL &&
	    (w->machine_removed ||
		(w->fence_confirmed && w->missed_renewals == 0));
}

static void
log_waiting(struct pool *p, const struct task *t, const struct late_start *l,
    const struct pool_worker *w)
{
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"a start may still arrive: its task waits\" job=%s "
	    "task=%u.%u.%u run=%lld worker=%s sent_ms_ago=%lld known=%d "
	    "heard_ms_ago=%lld",
	    t->step->occurrence->job->id, t->step->occurrence->number,
	    t->step->number, t->index, (long long)l->run, l->worker,
	    (long long)((p->now_us - l->sent_us) / US_PER_MS), w != NULL,
	    w != NULL ? (long long)((p->now_us - w->last_reply_us) / US_PER_MS)
		      : -1);
}

/* How long the task waits at most, from the start. */
static int64_t
late_start_wait_ms(const struct task *t, const struct late_start *l,
    const struct pool_worker *w)
{
	if (!t->step->spec->long_running)
		return LATE_COMMAND_MAX_MS;
	return w != NULL && w->alive_us > l->sent_us
	    ? LONG_RUNNING_HELD_UP_WAIT_MS
	    : LONG_RUNNING_WAIT_MS;
}

bool
task_awaits_late_start(struct pool *p, struct task *t)
{
	const struct pool_worker *w;
	struct late_start *l, *next;
	bool waits = false;
	int64_t end_us;

	for (l = LIST_FIRST(&t->late_starts); l != NULL; l = next) {
		next = LIST_NEXT(l, entries);
		if (p->now_us - l->sent_us >= LATE_COMMAND_MAX_MS * US_PER_MS) {
			late_start_free(l);
			continue;
		}
		w = pool_find_worker(p, l->worker);
		end_us = l->sent_us + late_start_wait_ms(t, l, w) * US_PER_MS;
		if (p->now_us >= end_us || keeps_late_starts_out(w))
			continue;
		if (end_us < p->wait_end_us)
			p->wait_end_us = end_us;
		if (!l->wait_logged)
			log_waiting(p, t, l, w);
		l->wait_logged = true;
		waits = true;
	}
	return waits;
}

bool
worker_awaits_late_starts(const struct pool *p, const struct pool_worker *w)
{
	return p->now_us < w->late_start_until_us ||
	    p->now_us < w->earlier_starts_until_us;
}

void
worker_fence_late_starts(struct pool *p, struct pool_worker *w)
{
	bool late = p->now_us < w->late_start_until_us &&
	    w->late_start_sent_us >= w->fence_raised_us;
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, on_worker) {
		late |= t->place == PLACE_STARTING &&
		    t->placed_us >= w->fence_raised_us;
	}
	if (!late)
		return;
	worker_raise_fence(p, w);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"starts to a silent worker may still arrive: raises its "
	    "fence\" worker=%s fence=%lld start_ms_ago=%lld misses=%d",
	    w->report.id, (long long)w->fence,
	    (long long)((p->now_us - w->late_start_sent_us) / US_PER_MS),
	    w->missed_renewals);
}

static bool
worker_probed_closely(const struct pool *p, const struct pool_worker *w)
{
	return p->now_us < w->late_start_until_us &&
	    p->now_us - w->silent_since_us < PROBE_CLOSE_MS * US_PER_MS;
}

int64_t
worker_probe_pause_us(struct pool *p, const struct pool_worker *w, int64_t us)
{
	int64_t interval_ms = worker_probed_closely(p, w)
	    ? PROBE_CLOSE_INTERVAL_MS
	    : PROBE_INTERVAL_MS;
	int64_t due_us =
	    p->last_probe_us > p->now_us ? p->last_probe_us : p->now_us;

	due_us += interval_ms * US_PER_MS;
	if (due_us > p->now_us + us ||
	    p->loop_lag_us > PROBE_LOOP_LAG_MAX_MS * US_PER_MS)
		return us;
	p->last_probe_us = due_us;
	return due_us - p->now_us;
}
