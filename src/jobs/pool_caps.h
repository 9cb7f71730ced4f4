/*
 * Shares of accounts' caps in the pool's reducer.  Only pool_state.h includes
 * this file.
 */
#ifndef JOBS_POOL_CAPS_H
#define JOBS_POOL_CAPS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cap_share.h"
#include "pool.h"

struct pool_account;
struct pool_worker;

/* A run that is not a placed task, and occupies part of an account's cap. */
struct unplaced_run;

/* The pool's share of an account's cap. */
struct account_share {
	struct cap_share stored; /* by the newest record that is stored */
	struct cap_share written; /* by the record that is being written */
	uint64_t written_serial; /* 0: none is being written */
	/* Proposed in this term, or scaled to a lowered cap; cap 0: neither. */
	struct cap_share target;
	/*
	 * What runs that are not placed tasks may occupy: late starts, runs
	 * that are being stopped, and runs on workers that have not answered
	 * this owner yet.
	 */
	struct account_cap unplaced;
	LIST_HEAD(unplaced_runs, unplaced_run) unplaced_runs;
	struct account_cap need; /* usage and what waits */
	struct account_cap unit; /* of the largest task or gang that waits */
	struct account_cap reported_need;
	bool reported_lack;
	bool blocked; /* a start did not fit since the last update */
	/* pool.caps.revision of the newest change of what is reported. */
	uint64_t revision;
	bool tracked; /* in pool.caps.accounts */
	LIST_ENTRY(pool_account) entries;
};

/* Shares of accounts' caps; all zero while no account has a cap. */
struct pool_caps {
	/* Accounts that have a share, or had a job or a proposal. */
	LIST_HEAD(tracked_accounts, pool_account) accounts;
	/* Highest fence of a controller, and the write that stores it. */
	int64_t controller;
	uint64_t controller_serial;
	int64_t number; /* newest request of that controller in this term */
	uint64_t seen_revision; /* that the controller has */
	/* Divisor of shares without a record or proposal; 0: no share. */
	int64_t fixed_divisor;
	uint64_t revision; /* rises with changes of what is reported */
	bool update_due;
	int64_t updated_us;
};

/* pool_caps.c */
/* The cap that limits the account: of the configuration, or of its share. */
struct account_cap account_cap_now(const struct pool_account *a);
/* What the account's tasks may occupy; INT64_MAX: no limit. */
int64_t account_start_limit(
    const struct pool_account *a, const struct account_cap *cap, int dimension);
/* What one task of the step occupies of a cap; best-effort ones, too. */
struct account_cap step_spec_cap_size(const struct step_spec *s);
/* The pool's share of its account's cap has room for the task. */
bool caps_allow_start(const struct pool *p, const struct task *t);
/* It has room for so many tasks of the step, e.g. for a gang. */
bool caps_allow_starts(const struct job_step *s, unsigned count);
/* A start of the job's account did not fit in the last scheduling pass. */
bool caps_hold_back(const struct job *j);
/* Why a job can never run under its account's cap; NULL: it can. */
const char *caps_submit_refusal(
    const struct pool *p, const struct pool_event *ev);
/* Updates shares and writes their records; called before a pass. */
void caps_update(struct pool *p);
/* The account has a job, a share or a proposal. */
void caps_track(struct pool *p, struct pool_account *a);
/* The account's settings have changed. */
void caps_settings_changed(struct pool *p, struct pool_account *a);

/* pool_cap_exchange.c */
void caps_apply_request(struct pool *p, const struct cap_request *r);
/* Sets need and unit of the accounts. */
void caps_count_needs(struct pool *p);
/* Part of what the account's work wants that its share allows, 0 to 1. */
double caps_demand_factor(const struct pool_account *a);
/* The reported state of the account has changed. */
void caps_mark_changed(struct pool *p, struct pool_account *a);
/* What the pool may run of the account, now or without being asked. */
struct cap_share caps_held(const struct pool *p, const struct pool_account *a);

/* pool_unplaced_runs.c */
/* The start of the placed task has got no answer. */
void account_note_late_start(struct task *t);
/* It has arrived: the run is placed or has ended. */
void account_start_arrived(
    const struct task *t, const char *worker, int64_t run);
/* The worker lists a run that is being stopped. */
void account_note_unwanted_run(
    struct pool *p, struct pool_worker *w, const struct run_report *r);
/* Sets share.unplaced of the tracked accounts. */
void caps_count_unplaced(struct pool *p);
void account_unplaced_free(struct pool_account *a);

#endif
