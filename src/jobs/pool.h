/*
 * Reducer for the jobs of one pool under one term of its owner: takes events
 * and returns effects, without I/O and without reading a clock.  Each term has
 * a fence that workers and the store compare, so that an owner that has been
 * replaced changes nothing any more.
 */
#ifndef JOBS_POOL_H
#define JOBS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "account.h"
#include "cap_share.h"
#include "demand.h"
#include "effect.h"
#include "job.h"
#include "job_record.h"
#include "worker.h"

struct pool;

struct pool_opts {
	char name[NAME_BYTES];
	int64_t fence; /* of this term; from 1, rises with each term */
	int64_t now_us; /* monotonic clock */
	int64_t now_ms; /* Unix time */
	int lease_ms; /* granted to tasks at each renewal */
	int lease_max_ms; /* workers shorten longer ones to this */
	/* From the term's start until all tasks of earlier terms have ended. */
	int reconcile_max_ms;
	int status_retention_ms; /* finished jobs are kept this long */
	int stop_max_ms; /* longest time that a worker takes to stop a run */
	/* A worker's reported capacity is relied on this long. */
	int capacity_valid_ms;
	int restore_ms; /* time to start from a checkpoint */
	/* Run time away from the data's rack, relative to that on it. */
	double remote_factor;
	size_t record_max_bytes; /* limit of the store; 0: none */
	/* Of all checkpoints, and of all tickets, kept; 0: unlimited. */
	size_t checkpoints_max_bytes, tickets_max_bytes;
	/*
	 * Overload is resolved by load_select() also where no accounts are
	 * configured.  For trials.
	 */
	bool select_by_cost;
};

struct worker_target {
	char id[NAME_BYTES];
	char addr[ADDR_BYTES];
	int port;
	int64_t fence; /* of commands to this incarnation of the worker */
};

/* Result of a command to a worker. */
enum command_result {
	COMMAND_ACCEPTED,
	COMMAND_UNSENT, /* the worker has not received it */
	COMMAND_UNANSWERED, /* it may have been received, or arrive later */
	COMMAND_FENCED, /* a later owner commands the worker */
	COMMAND_RUN_ENDED, /* the run has ended on the worker */
	COMMAND_NO_CAPACITY,
	COMMAND_NO_TICKET,
	COMMAND_REFUSED, /* for another reason */
	/* The addressed incarnation of the worker has ended. */
	COMMAND_OTHER_INCARNATION
};

enum pool_event_kind {
	POOL_TICK,
	POOL_LOADED, /* all records of earlier terms are loaded */
	POOL_QUEUE_CHANGE, /* a queue's settings have changed */
	POOL_ACCOUNT_CHANGE, /* an account's settings have changed */
	POOL_CAP_REQUEST, /* from the allocator of caps */
	POOL_WORKER_ENTRY, /* a worker's entry, new or changed */
	POOL_WORKER_UNLISTED, /* a worker's entry was dropped */
	POOL_CORDON, /* cordon, maintenance or removal of a worker */
	POOL_INCOMING, /* number of workers that are joining the pool */
	POOL_RENEWAL_DONE, /* answer to a lease renewal, or none */
	POOL_START_DONE, /* result of a start */
	POOL_STOP_DONE, /* result of a stop */
	POOL_SUBMIT,
	POOL_CANCEL,
	POOL_JOB_QUERY, /* a caller requests a job's state */
	POOL_COUNT_WAITING, /* a caller requests a queue's waiting jobs */
	POOL_STORED, /* writes up to a serial are in the store */
	POOL_POLICY_ANSWER, /* the policy's answer for a step */
	POOL_LIVENESS_LIST /* workers that exist according to the platform */
};

struct pool_event {
	enum pool_event_kind kind;
	int64_t now_us; /* monotonic clock */
	int64_t now_ms; /* Unix time */
	int64_t loop_lag_us; /* recent delay of the daemon's event loop */
	/* When this daemon was last confirmed to be the pool's owner. */
	int64_t ownership_confirmed_us;
	int64_t entries_read_us; /* when the workers' entries were last read */
	bool workers_guarded; /* workers refuse tasks beyond their capacity */
	union pool_event_data {
		struct pool_event_queue_settings {
			const struct queue_settings *settings;
		} queue_change;
		struct pool_event_account {
			const struct account_settings *settings;
			bool removed; /* the configuration has it no longer */
		} account_change;
		const struct cap_request *cap_request;
		struct pool_event_worker {
			const struct worker_report *report;
		} worker;
		struct pool_event_unlisted {
			char id[NAME_BYTES];
		} unlisted;
		struct pool_event_cordon {
			char id[NAME_BYTES];
			bool evacuate; /* its tasks move to other workers */
			bool machine_removed; /* all its runs have ended */
			int64_t age_ms; /* since machine_removed was known */
			/*
			 * Not cordoned yet: an open maintenance wave will reach
			 * it.
			 */
			bool maintenance_pending;
		} cordon;
		struct pool_event_incoming {
			size_t count;
			int within_ms; /* until they accept tasks */
		} incoming;
		struct pool_event_renewal {
			char worker[NAME_BYTES];
			int64_t sent_us; /* when the renewal was sent */
			/* NULL: no answer; "result" says why. */
			const struct renewal_report *report;
			enum command_result result;
		} renewal;
		struct pool_event_command {
			char worker[NAME_BYTES];
			struct task_name task;
			int64_t run;
			enum command_result result;
			/* Worker's clock at its answer; -1: unknown. */
			int64_t clock_ms;
		} command;
		struct pool_event_submit {
			uint64_t token; /* returned with the answer */
			char id[JOB_ID_BYTES];
			const struct queue_settings *queue;
			char account[NAME_BYTES]; /* "": none */
			bool isolated; /* as for queries and cancellations */
			struct job_spec *spec;
			const struct buf *text; /* of it, for the store */
			/*
			 * If not 0, the store takes no new jobs now, and the
			 * caller may retry after this time.
			 */
			int refuse_ms;
		} submit;
		struct pool_event_job {
			uint64_t token;
			char id[JOB_ID_BYTES];
			char account[NAME_BYTES]; /* of the caller; "": none */
			/*
			 * The configuration has accounts: callers without one
			 * reach only jobs without one.
			 */
			bool isolated;
		} job;
		struct pool_event_count {
			uint64_t token;
			char queue[NAME_BYTES];
		} count;
		struct pool_event_stored {
			uint64_t serial;
		} stored;
		struct pool_event_policy {
			struct task_name step; /* its index is unused */
			bool ok;
			const struct step_ticket *tickets;
			size_t count;
			int valid_ms; /* of the tickets, from the query on */
		} policy_answer;
		struct pool_event_liveness {
			bool complete; /* false: the list was not read */
			const char (*sorted_ids)[NAME_BYTES];
			size_t count;
		} liveness;
	} u;
};

enum pool_effect_kind {
	POOL_START,
	POOL_STOP,
	POOL_RENEW,
	POOL_THROTTLE,
	POOL_WRITE,
	POOL_ANSWER,
	POOL_QUERY_POLICY,
	/* List the platform's workers; answered by POOL_LIVENESS_LIST. */
	POOL_CHECK_LIVENESS,
	POOL_LOG
};

/* Answer to a caller's request. */
enum pool_answer {
	POOL_ACCEPTED, /* the job is stored */
	/* The job is not stored and never runs; submit it again later. */
	POOL_OVERLOADED,
	POOL_CANCELLING, /* the cancellation is stored */
	POOL_JOB_STATE,
	POOL_NO_JOB,
	POOL_WAITING_COUNT
};

#define POOL_LOG_BYTES 256
#define POOL_POLICY_WORKERS_MAX 100 /* upper bound of workers in one query */

struct pool_effect {
	enum pool_effect_kind kind;
	union pool_effect_data {
		struct pool_effect_start {
			struct worker_target worker;
			struct task_name task;
			int64_t run;
			struct job_spec *spec; /* a reference */
			int64_t lease_end_ms; /* on the worker's clock */
			struct buf *checkpoint; /* a reference; NULL: none */
			struct buf *ticket; /* in the same way */
		} start;
		struct pool_effect_command {
			struct worker_target worker;
			struct task_name task;
			int64_t run;
			int percent; /* POOL_THROTTLE */
		} command;
		struct pool_effect_renewal {
			struct worker_target worker;
			/* The worker may forget ends up to this; 0: none. */
			int64_t acked_end;
			/* On the worker's clock; 0: leases stay as they are. */
			int64_t lease_end_ms;
			int wait_ms; /* longest wait for the end of a run */
			/*
			 * Ends as COMMAND_UNSENT if the worker has not accepted
			 * a connection by then; 0: waits as for any command.
			 */
			int connect_ms;
		} renewal;
		struct pool_effect_write {
			char key[JOB_KEY_BYTES];
			struct buf *value; /* a reference; NULL drops the key */
			uint64_t serial; /* rises by one */
		} write;
		struct pool_effect_answer {
			uint64_t token;
			enum pool_answer answer;
			enum job_state state; /* POOL_JOB_STATE */
			size_t waiting; /* jobs; POOL_WAITING_COUNT */
			int retry_ms; /* POOL_OVERLOADED */
		} answer;
		struct pool_effect_policy {
			struct task_name step;
			char (*workers)[NAME_BYTES]; /* owned by the effect */
			size_t count;
		} policy_query;
		struct pool_effect_log {
			enum log_level level;
			char line[POOL_LOG_BYTES];
		} log;
	} u;
};

struct pool_effects {
	struct pool_effect *list;
	size_t count;
	size_t capacity;
};

void pool_effects_clear(struct pool_effects *fx);
void pool_effects_uninit(struct pool_effects *fx);

/* NULL when out of memory. */
struct pool *pool_new(const struct pool_opts *opts);
void pool_free(struct pool *p);
/*
 * Loads a job of an earlier term, before POOL_LOADED; "progress" may be NULL.
 * Returns -1 and fills "e" if the record is damaged or memory is short.
 */
int pool_load_job(struct pool *p, const char *id,
    const struct job_spec_record *r, struct job_spec *spec,
    const struct buf *progress, struct err *e);
/*
 * Loads the record of a worker that an earlier term may have started tasks on,
 * before POOL_LOADED.  Returns -1 and fills "e" if the record is damaged.
 */
int pool_load_worker(struct pool *p, const char *id, const void *data,
    size_t len, struct err *e);
/* Loads a list of workers (KEY_WORKER_LIST) in the same way. */
int pool_load_worker_list(
    struct pool *p, const void *data, size_t len, struct err *e);
/*
 * Loads the share of an account's cap (KEY_SHARE_PREFIX), or the newest
 * controller that proposed shares (KEY_CAP_CONTROLLER), before POOL_LOADED.
 * Returns -1 and fills "e" if the record is damaged.
 */
int pool_load_cap_record(struct pool *p, const char *key, const void *data,
    size_t len, struct err *e);
/* Processes one event and appends its effects to "fx". */
void pool_step(
    struct pool *p, const struct pool_event *ev, struct pool_effects *fx);
/*
 * Fence of commands that are sent to the worker now; the term's newest if the
 * pool does not have it.  A worker that rejects this one follows a later owner.
 */
int64_t pool_worker_fence(const struct pool *p, const char *worker);
/* The pool has the job, which may have ended. */
bool pool_has_job(const struct pool *p, const char *id);
/* The pool has jobs of the queue, some of which may have ended. */
bool pool_has_queue_jobs(const struct pool *p, const char *queue);
/* Monotonic time at which a POOL_TICK is due. */
int64_t pool_next_us(const struct pool *p);

struct pool_stats {
	size_t jobs, jobs_waiting, jobs_finished, workers;
	/* Workers that have answered under this term's fence. */
	size_t workers_confirmed;
	size_t tasks_placed;
	size_t starts_in_flight; /* sent and not answered */
	uint64_t accepted, refused, completed, failed, cancelled;
	/* Refused by selection: an account's rate, its share, the backlog. */
	uint64_t refused_rate, refused_share, refused_backlog;
	uint64_t deferred; /* occurrences that were deferred at least once */
	bool under_pressure; /* work is deferred */
	uint64_t worker_scans; /* workers examined to place tasks */
	uint64_t starts, starts_refused, ends_done, ends_failed, ends_other;
	uint64_t crashes; /* unexpected ends of workers under tasks */
	uint64_t trials, given_up; /* starts of suspects; jobs convicted */
	uint64_t second_runs; /* listed by a worker while placed on another */
	uint64_t checkpoints_lost; /* runs with one that could not be kept */
};

void pool_stats(const struct pool *p, struct pool_stats *s);
/* Appends the unfinished jobs and the workers as JSON. */
void pool_dump(const struct pool *p, struct buf *out);

/* A worker that has answered. */
struct pool_worker_view {
	const char *id;
	size_t task_count;
	/* Those of its tasks that do not end by themselves. */
	size_t long_running_count;
	bool cordoned; /* gets no new tasks, at the controller's request */
};

void pool_demand(struct pool *p, struct pool_demand *d);
/*
 * Report on the shares of accounts that have changed since the revision that
 * the allocator has; on all if that is 0.  "request" is NULL if the
 * controller's message has none; then returns false if nothing has changed.
 * Free the report with cap_report_uninit().
 */
bool pool_cap_report(
    struct pool *p, const struct cap_request *request, struct cap_report *r);
/* Calls back for each listed worker that answers, for the controller. */
void pool_each_worker(const struct pool *p,
    void (*each)(void *arg, const struct pool_worker_view *w), void *arg);

#endif
