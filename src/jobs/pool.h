/*
 * The jobs of one pool under one term of its owner, as a reducer: events in,
 * effects out, no I/O and no clock.  A term has a fence that workers and the
 * store compare, so that an outlived owner changes nothing any more.
 */
#ifndef JOBS_POOL_H
#define JOBS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
	int lease_ms; /* granted to tasks at each hold */
	int reconcile_max_ms; /* tasks of an earlier term have ended after this
			       */
	int status_retention_ms; /* finished jobs are known this long */
	int stop_max_ms; /* a stop takes so long at most */
	int restore_ms; /* a start from a checkpoint takes so long */
	double remote_factor; /* work time away from its data */
	size_t record_max_bytes; /* largest record of the store; 0: any */
};

struct worker_target {
	char id[NAME_BYTES];
	char addr[ADDR_BYTES];
	int port;
};

enum command_result {
	COMMAND_ACCEPTED,
	COMMAND_UNSENT, /* the worker has not got it */
	COMMAND_UNANSWERED, /* it may have got it, or may get it later */
	COMMAND_FENCED, /* a later owner commands the worker */
	COMMAND_RUN_ENDED, /* that run has ended there */
	COMMAND_NO_CAPACITY,
	COMMAND_NO_TICKET,
	COMMAND_REFUSED, /* not done for another reason */
	COMMAND_OTHER_INCARNATION /* the worker has gone for good */
};

enum pool_event_kind {
	POOL_TICK,
	POOL_LOADED, /* all records of earlier terms are in */
	POOL_QUEUE_CHANGE, /* a queue's terms have changed */
	POOL_WORKER_ENTRY, /* a worker's entry, new or changed */
	POOL_WORKER_UNLISTED, /* its entry was dropped */
	POOL_CORDON, /* a worker gets no new tasks for a while */
	POOL_INCOMING, /* workers on their way to the pool */
	POOL_RENEWAL_DONE, /* answer to a hold, or none */
	POOL_START_DONE, /* answer to a start */
	POOL_STOP_DONE, /* answer to a stop */
	POOL_SUBMIT,
	POOL_CANCEL,
	POOL_JOB_QUERY, /* a caller asks for a job's state */
	POOL_COUNT_WAITING, /* a caller asks how many jobs of a queue wait */
	POOL_STORED, /* writes up to a serial are in the store */
	POOL_POLICY_ANSWER, /* the policy's answer for a step */
	POOL_LIVENESS_LIST /* which workers there are, as the platform says */
};

struct pool_event {
	enum pool_event_kind kind;
	int64_t now_us;
	int64_t now_ms;
	int64_t
	    loop_lag_us; /* of late, the daemon's loop is behind by so much */
	int64_t ownership_confirmed_us; /* the owner was known to be it then */
	union pool_event_data {
		struct pool_event_queue_settings {
			const struct queue_settings *settings;
		} queue_change;
		struct pool_event_worker {
			const struct worker_report *report;
		} worker;
		struct pool_event_unlisted {
			char id[NAME_BYTES];
		} unlisted;
		struct pool_event_cordon {
			char id[NAME_BYTES];
			bool evacuate; /* its tasks are to go elsewhere */
			bool machine_removed; /* its machine was taken away */
			bool maintenance_pending; /* only told: upkeep is to
						     come */
		} cordon;
		struct pool_event_incoming {
			size_t count;
			int within_ms; /* they work by then */
		} incoming;
		struct pool_event_renewal {
			char worker[NAME_BYTES];
			int64_t sent_us; /* when the hold was sent */
			const struct renewal_report
			    *report; /* NULL: none came */
			enum command_result result;
		} renewal;
		struct pool_event_command {
			char worker[NAME_BYTES];
			struct task_name task;
			int64_t run;
			enum command_result result;
		} command;
		struct pool_event_submit {
			uint64_t token; /* of the answer */
			char id[JOB_ID_BYTES];
			const struct queue_settings *queue;
			struct job_spec *spec;
			int refuse_ms; /* new jobs cannot be stored now: told */
		} submit;
		struct pool_event_job {
			uint64_t token;
			char id[JOB_ID_BYTES];
		} job;
		struct pool_event_count {
			uint64_t token;
			char queue[NAME_BYTES];
		} count;
		struct pool_event_stored {
			uint64_t serial;
		} stored;
		struct pool_event_policy {
			struct task_name step; /* its index is of no meaning */
			bool ok;
			const struct step_ticket *tickets;
			size_t count;
			int valid_ms;
		} policy_answer;
		struct pool_event_liveness {
			bool complete; /* else it could not be read */
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
	POOL_CHECK_LIVENESS, /* of the platform; answered by POOL_LIVENESS_LIST
			      */
	POOL_LOG
};

enum pool_answer {
	POOL_ACCEPTED, /* the job is stored */
	POOL_OVERLOADED, /* it is not, and never runs; come back later */
	POOL_CANCELLING, /* the cancel is stored */
	POOL_JOB_STATE,
	POOL_NO_JOB,
	POOL_WAITING_COUNT
};

#define POOL_LOG_BYTES 256
#define POOL_POLICY_WORKERS_MAX 100 /* workers of one question */

struct pool_effect {
	enum pool_effect_kind kind;
	union pool_effect_data {
		struct pool_effect_start {
			struct worker_target worker;
			struct task_name task;
			int64_t run;
			struct job_spec *spec; /* a reference */
			int64_t lease_end_ms; /* on the worker's clock */
			char checkpoint[CHECKPOINT_BYTES];
			char ticket[CHECKPOINT_BYTES];
		} start;
		struct pool_effect_command {
			struct worker_target worker;
			struct task_name task;
			int64_t run;
			int percent; /* POOL_THROTTLE */
		} command;
		struct pool_effect_renewal {
			struct worker_target worker;
			int64_t acked_end;
			int64_t lease_end_ms; /* 0: leaves leases alone */
			int wait_ms;
		} renewal;
		struct pool_effect_write {
			char key[JOB_KEY_BYTES];
			struct buf *value; /* a reference; NULL drops the key */
			uint64_t serial; /* rises by one */
		} write;
		struct pool_effect_answer {
			uint64_t token;
			enum pool_answer answer;
			enum job_state state;
			size_t waiting;
			int retry_ms;
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

struct pool *pool_new(const struct pool_opts *opts);
void pool_free(struct pool *p);
/*
 * A job of an earlier term, before POOL_LOADED; "progress" may be NULL.
 * -1 with "e" filled where the record is damaged.
 */
int pool_load_job(struct pool *p, const char *id,
    const struct job_spec_record *r, struct job_spec *job_spec,
    const struct buf *progress, struct err *e);
/* A worker that an earlier term may have ordered tasks to, from its record. */
int pool_load_worker(struct pool *p, const char *id, const void *data,
    size_t len, struct err *e);
/* The same for a list of them (KEY_WORKER_LIST). */
int pool_load_worker_list(
    struct pool *p, const void *data, size_t len, struct err *e);
void pool_step(
    struct pool *p, const struct pool_event *ev, struct pool_effects *fx);
/* Monotonic time at which a POOL_TICK is due. */
int64_t pool_next_us(const struct pool *p);

struct pool_stats {
	size_t jobs, jobs_waiting, jobs_finished, workers, workers_confirmed;
	size_t tasks_placed;
	size_t starts_in_flight; /* ordered, not answered yet */
	uint64_t accepted, refused, completed, failed, cancelled;
	uint64_t worker_scans; /* at a worker, for a task's place */
	uint64_t starts, starts_refused, ends_done, ends_failed, ends_other;
};

void pool_stats(const struct pool *p, struct pool_stats *s);
/* The same and each unfinished job and worker, as JSON text. */
void pool_dump(const struct pool *p, struct buf *out);

/* What is known of a worker that has answered. */
struct pool_worker_view {
	const char *id;
	size_t task_count;
	size_t long_running_count; /* of them: they do not end by themselves */
	bool cordoned; /* gets no new tasks, as it was asked */
};

void pool_demand(struct pool *p, struct pool_demand *d);
/* Workers that are listed, for whoever moves machines. */
void pool_each_worker(const struct pool *p,
    void (*each)(void *arg, const struct pool_worker_view *w), void *arg);

#endif
