/*
 * A pool's reducer in virtual time: workers that run tasks under leases, a
 * store that takes writes late or not, links that delay, lose or hold up
 * orders, owners that are replaced while they go on.  It judges what callers
 * were promised from what workers and the store have seen.
 */
#ifndef JOBS_WORLD_H
#define JOBS_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pool.h"

#define JOBS_WORLD_WORKERS 350

struct jobs_world;

struct jobs_world_opts {
	uint64_t seed;
	int workers;
	int64_t cpu; /* thousandths of a core of a worker */
	int64_t memory_mb;
	int link_ms; /* one way, owner to worker */
	int link_bytes_per_ms; /* of the owner's link; 0: unlimited */
	int store_ms; /* a write */
	int begin_ms; /* until a task that lasts is at work */
	double lose; /* share of orders whose answer is lost */
	double late; /* share of orders carried out 2 to 12 s later */
	double fail; /* share of runs that fail */
	double estimate_spread; /* true time: estimate times 1 ± this */
	int run_ms; /* replaces the estimate in the true time; 0: it does not */
	/* A deadly task crashes its worker so long after its start, … */
	int crash_after_ms;
	int crash_sooner_ms; /* … each time sooner by this */
	int revive_ms; /* from a crash until the worker is back */
	bool revives_same_id; /* the worker keeps its id */
	bool crash_dark; /* the crashed worker's address does not answer */
	bool guarded; /* workers refuse what does not fit */
	/*
	 * The owner is told that they do.  A start that does not fit is judged
	 * all the same.
	 */
	bool said_guarded;
	int allowed_from; /* the policy allows workers from this on; 0: none
			     asked */
	int policy_ms; /* until it answers */
	/* A late loop reads answers that have arrived before time-outs run. */
	bool answers_first;
	/* A worker's clock starts at up to this; 0: at 0. */
	int64_t clock_start_max_ms;
	bool timed; /* the reducer's processor time is measured */
	int64_t accelerators; /* of a worker */
	bool select_by_cost; /* see struct pool_opts */
	/*
	 * Checkpoints and tickets are drawn from the seed and have up to this
	 * many bytes; 0: they are short and plain.
	 */
	int text_max_bytes;
	/* Limits of the pool, see struct pool_opts. */
	size_t record_max_bytes, texts_max_bytes;
	/* What workers, callers and the policy see, a line each; NULL: none. */
	void (*trace)(void *arg, int64_t ms, const char *line);
	void *trace_arg;
};

/* What went wrong, 0 each on a world that kept its promises. */
struct jobs_verdict {
	int ran_twice; /* two runs of a task at once, or after its end */
	int out_of_order; /* a start before the steps before it were done */
	int over_room; /* a worker over its room */
	/* A start after the last attempt had failed, or too many crashes. */
	int over_budget;
	/*
	 * An order, or a lease that lapsed while neither the worker's link nor
	 * orders were disturbed, ended a lasting task at work while as many
	 * others of its step as may be missed were away.
	 */
	int over_unavailable;
	int unasked; /* a start of a job that was cancelled long before */
	int lost; /* accepted, and unknown or without cause not completed */
	/*
	 * Jobs that could be done and failed, as two workers ended under one of
	 * their tasks: callers allow it.
	 */
	int given_up;
	int unfinished; /* accepted, and not ended when asked */
	char first[160]; /* the first of all */
};

struct jobs_world *jobs_world_new(const struct jobs_world_opts *opts);
void jobs_world_free(struct jobs_world *w);
int64_t jobs_world_ms(const struct jobs_world *w);
/* Lets so many ms pass. */
void jobs_world_run(struct jobs_world *w, int ms);

/* A job of "steps" steps of "count" tasks, each step after the one before. */
struct job_spec *jobs_order(
    int steps, unsigned count, int64_t cpu, int64_t estimate_ms);
/* Hands a job in under a new id, which is copied to "id" unless NULL. */
void jobs_world_submit(
    struct jobs_world *w, struct job_spec *job_spec, char id[JOB_ID_BYTES]);
/* The same job again, as a caller without an answer does. */
void jobs_world_submit_again(
    struct jobs_world *w, struct job_spec *job_spec, const char *id);
void jobs_world_cancel(struct jobs_world *w, const char *id);
/* State as the present owner shows it; -1: no such job. */
int jobs_world_state(struct jobs_world *w, const char *id);
/* Retry time of the newest refusal of the job in ms; 0: it was accepted. */
int jobs_world_retry_ms(const struct jobs_world *w, const char *id);
/* From the first submission to the end in ms; -1: it has not completed. */
int64_t jobs_world_took_ms(const struct jobs_world *w, const char *id);
/* Jobs whose submission was acknowledged. */
int jobs_world_accepted(const struct jobs_world *w);
int jobs_world_refused(const struct jobs_world *w);
/* ms from first handing in to the end, of jobs that are completed. */
size_t jobs_world_completed(
    const struct jobs_world *w, int64_t *ms, size_t room);

/* Processor time of the reducer, in microseconds; 0 unless "timed". */
double jobs_world_step_us(const struct jobs_world *w);

/* Faults. */
/* The owner reads workers' entries; false: the store does not answer. */
void jobs_world_entries(struct jobs_world *w, bool read);
/* The worker's room changes while it runs. */
void jobs_world_room(struct jobs_world *w, int worker, int64_t cpu);
void jobs_world_cut_worker(struct jobs_world *w, int worker, bool cut);
/* A task of step "step" crashes each worker that starts it. */
void jobs_world_deadly(
    struct jobs_world *w, const char *id, unsigned step, unsigned index);
/* Workers that have crashed under the task. */
int jobs_world_crashes(
    struct jobs_world *w, const char *id, unsigned step, unsigned index);
/* Only the owner with this number, from 1, reaches it; 0: all do. */
void jobs_world_side(struct jobs_world *w, int worker, int side);
void jobs_world_crash_worker(struct jobs_world *w, int worker);
/*
 * Its process has ended.  Its address refuses connections (COMMAND_UNSENT)
 * or is another's by now (COMMAND_OTHER_INCARNATION).
 */
void jobs_world_end_worker(
    struct jobs_world *w, int worker, enum command_result end);
/* Owners' time of day is off by so much from now on. */
void jobs_world_clock_step(struct jobs_world *w, int64_t ms);
/* The share of orders whose answer is lost from now on. */
void jobs_world_lose(struct jobs_world *w, double lose);
/* The share of orders carried out 2 to 12 s later from now on. */
void jobs_world_late(struct jobs_world *w, double late);
/* A cut before it refuses connections; it works on. */
void jobs_world_refuse_worker(struct jobs_world *w, int worker, bool refuse);
/* The platform's list of machines can be read. */
void jobs_world_census(struct jobs_world *w, bool readable);
void jobs_world_restart_worker(struct jobs_world *w, int worker);
void jobs_world_drain_worker(struct jobs_world *w, int worker, int ms);
/* The entry in the store comes and goes. */
void jobs_world_list_worker(struct jobs_world *w, int worker, bool listed);
void jobs_world_cordon_worker(struct jobs_world *w, int worker);
/* The upkeep of its machine is to come, and has not begun. */
void jobs_world_due_worker(struct jobs_world *w, int worker);
/* The keeper says that so many workers are on their way. */
void jobs_world_coming(struct jobs_world *w, size_t count, int within_ms);
/* Its machine is taken away; its entry is still listed. */
void jobs_world_take_worker(struct jobs_world *w, int worker);
/*
 * The controller reports, by news of so long ago, that the machine of a worker
 * was taken away, though the worker is up.
 */
void jobs_world_report_removed(struct jobs_world *w, int worker, int age_ms);
/* Terms of the queue that jobs are handed in at from now on. */
void jobs_world_terms(struct jobs_world *w, const struct queue_settings *terms);
/* The owner is told to refuse new jobs for so long; 0: to take them. */
void jobs_world_refuse(struct jobs_world *w, int retry_ms);
/* Answers of workers wait for the owner's loop for so long. */
void jobs_world_answers_wait(struct jobs_world *w, int ms);
/* The owner's loop is behind by so much. */
void jobs_world_lag(struct jobs_world *w, int ms);
/*
 * The owner's loop stands still for so long; what arrives waits, and time-outs
 * come before it unless answers_first is set.  0: the loop goes on at once.
 */
void jobs_world_stall(struct jobs_world *w, int ms);
/* Writes of the present owner are not taken while the store is down. */
void jobs_world_store(struct jobs_world *w, bool down);
/*
 * Another owner takes over.  "zombie_ms": the one before goes on so long,
 * cut from the store; 0: it has died.
 */
void jobs_world_take_over(struct jobs_world *w, int zombie_ms);

/* Starts that no worker has answered yet, as the present owner sees it. */
size_t jobs_world_unanswered(struct jobs_world *w);
size_t jobs_world_tasks_on(const struct jobs_world *w, int worker);
struct pool *jobs_world_pool(struct jobs_world *w);
/* Asks the owner for every job and closes the account. */
void jobs_world_judge(struct jobs_world *w, struct jobs_verdict *v);
uint64_t jobs_world_renewals(const struct jobs_world *w);
uint64_t jobs_world_starts(const struct jobs_world *w);

/* Each message takes up to so much longer, so that they overtake each other. */
void jobs_world_jitter(struct jobs_world *w, int ms);
/* So many of the worker's next answers have a further row nobody can read. */
void jobs_world_garble(struct jobs_world *w, int worker, int reports);
/* The row is the one of its newest run. */
void jobs_world_hide_run(struct jobs_world *w, int worker, int reports);
/* The worker's clock is 2 % slow from now on. */
void jobs_world_slow_clock(struct jobs_world *w, int worker);
/* So many of the next lists of machines lack the worker, which is up. */
void jobs_world_list_lacks(struct jobs_world *w, int worker, int lists);
/* Orders reach a worker that has restarted since they were sent. */
void jobs_world_late_orders_cross_restarts(struct jobs_world *w);
/* When the next start that is held up reaches its worker, which is returned. */
int jobs_world_held_up(const struct jobs_world *w, int64_t *arrives_ms);
/*
 * Another owner takes over, as the one before is suspended.  It goes on after
 * so long, and takes the answers that came meanwhile.
 */
void jobs_world_suspend_owner(struct jobs_world *w, int ms);
/*
 * An entry of the worker that tells of a start so much later than the true one,
 * as another writer leaves it; -1: of none.
 */
void jobs_world_entry(struct jobs_world *w, int worker, int64_t later_ms);

/*
 * Another worker joins, whose entry is not listed yet, under the id "w-N".
 * Returns its number N; -1 when there are too many.
 */
int jobs_world_add_worker(struct jobs_world *w);
/* Jobs are handed in for this account from now on; "": for none. */
void jobs_world_caller(struct jobs_world *w, const char *account);
/* Settings of an account, as all owners read them from now on. */
void jobs_world_account(
    struct jobs_world *w, const struct account_settings *settings);
/* What runs of the account, as the workers see it. */
struct account_cap jobs_world_usage(
    const struct jobs_world *w, const char *account);
/* The number of the present owner, from 0. */
int jobs_world_owner(const struct jobs_world *w);
/*
 * A request of the allocator reaches an owner; false: it does not answer.  "r"
 * may be NULL, for an update without one.
 */
bool jobs_world_cap_request(struct jobs_world *w, int owner,
    const struct cap_request *r, struct cap_report *report);

/* A cordon of the controller's, as the present owner hears of it. */
void jobs_world_cordon(
    struct jobs_world *w, int worker, const struct pool_event_cordon *cordon);

#endif
