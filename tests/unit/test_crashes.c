/* Tasks that crash their workers: a bound on their starts. */
#include <criterion/criterion.h>

#include "jobs_world.h"

#define WORKERS 24
#define CUT_INTERVAL_MS 100
#define CUT_MS 1500
#define STARTS_MAX 5 /* callers allow three crashes and two more starts */

struct trouble {
	bool cordons; /* each worker is cordoned once the task is on it */
	bool cuts; /* single workers are cut off, one after the other */
	/* Answers after every second start are read so much later. */
	int answers_wait_ms;
	int crash_after_ms;
	int same_id_after_ms; /* crashed workers come back under their ids */
};

/* The worker that the only job's task has just started on; -1: none. */
static int
find_new_start(struct jobs_world *w, bool *busy)
{
	int i, found = -1;

	for (i = 0; i < WORKERS; i++) {
		if (jobs_world_tasks_on(w, i) > 0 && !busy[i])
			found = i;
		busy[i] = jobs_world_tasks_on(w, i) > 0;
	}
	return found;
}

/* Each worker is cut off for CUT_MS once in WORKERS times CUT_INTERVAL_MS. */
static void
cut_next(struct jobs_world *w, int ms)
{
	int turn = ms / CUT_INTERVAL_MS;

	if (ms % CUT_INTERVAL_MS != 0)
		return;
	jobs_world_cut_worker(w, 5 * turn % WORKERS, true);
	if (turn >= CUT_MS / CUT_INTERVAL_MS)
		jobs_world_cut_worker(
		    w, 5 * (turn - CUT_MS / CUT_INTERVAL_MS) % WORKERS, false);
}

static void
expect_starts_bounded(const struct trouble *t)
{
	struct jobs_world_opts o = {
	    .seed = 20261205,
	    .workers = WORKERS,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	    .crash_after_ms = t->crash_after_ms,
	    .revive_ms = t->same_id_after_ms > 0 ? t->same_id_after_ms : 3000,
	    .revives_same_id = t->same_id_after_ms > 0,
	    .crash_dark = t->cuts,
	};
	struct job_spec *spec = jobs_order(1, 1, 1000, 5000);
	int i, at, starts = 0;
	bool busy[WORKERS] = {false};
	struct jobs_world *w;
	struct jobs_verdict v;
	char id[JOB_ID_BYTES];

	w = jobs_world_new(&o);
	jobs_world_run(w, 1500);
	jobs_world_submit(w, spec, id);
	job_spec_unref(spec);
	jobs_world_deadly(w, id, 0, 0);
	for (i = 0; i < 40000; i++) {
		jobs_world_run(w, 1);
		at = find_new_start(w, busy);
		if (t->cuts)
			cut_next(w, i);
		if (at < 0)
			continue;
		if (t->answers_wait_ms > 0 && starts++ % 2 == 1)
			jobs_world_answers_wait(w, t->answers_wait_ms);
		if (t->cordons)
			jobs_world_cordon_worker(w, at);
	}
	cr_expect_eq(jobs_world_state(w, id), JOB_FAILED);
	cr_expect_leq(jobs_world_crashes(w, id, 0, 0), STARTS_MAX);
	jobs_world_judge(w, &v);
	cr_expect_str_eq(v.first, "");
	jobs_world_free(w);
}

Test(crashes, a_cordon_hides_no_crash)
{
	struct trouble t = {.cordons = true, .crash_after_ms = 12};

	expect_starts_bounded(&t);
}

Test(crashes, single_silent_workers_of_a_rack_hide_no_crash)
{
	struct trouble t = {.cuts = true, .crash_after_ms = 10};

	expect_starts_bounded(&t);
}

Test(crashes, answers_that_are_read_late_prove_no_longer_run)
{
	struct trouble t = {.answers_wait_ms = 390, .crash_after_ms = 10};

	expect_starts_bounded(&t);
}

Test(crashes, answers_of_an_earlier_incarnation_prove_no_longer_run)
{
	struct trouble t = {
	    .answers_wait_ms = 390,
	    .crash_after_ms = 10,
	    .same_id_after_ms = 100,
	};

	expect_starts_bounded(&t);
}
