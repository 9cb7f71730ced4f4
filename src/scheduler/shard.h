/* One owned pool.  For the files shards.c and shard_*.c only. */
#ifndef SHARD_H
#define SHARD_H

#include <sys/queue.h>

#include <uthash.h>

#include "shards.h"
#include "store_writer.h"

/*
 * An owner whose ownership has not been confirmed for this long releases the
 * pool.  Its successor relies on that before it restarts tasks that may run on
 * a worker without an answer.
 */
#define OWNERSHIP_TIMEOUT_MS 3000
/*
 * Lease granted to tasks: two thirds of the longest that workers grant, so
 * that a takeover waits less for leases of the previous term.
 */
#define TASK_LEASE_MS 4000
/*
 * Time from the start of a term until all tasks of earlier terms have ended on
 * workers that do not answer: the timeout of their owner, the lease and 5 % of
 * it, and a margin of 300 ms.
 */
#define RECONCILE_MAX_MS \
	(OWNERSHIP_TIMEOUT_MS + TASK_LEASE_MS + TASK_LEASE_MS / 20 + 300)

enum shard_state {
	SHARD_TAKING_OVER, /* reads the records of earlier terms */
	SHARD_OWNING,
	SHARD_RELEASING /* stores pending writes, ignores other events */
};

struct machine_list_reader;
struct shard_command;
struct takeover;

/* A caller's request that the reducer has yet to answer. */
struct pending_request {
	uint64_t id;
	job_reply_fn *reply;
	void *arg;
	UT_hash_handle hh;
};

struct shard {
	struct shards *all;
	struct scheduler *scheduler;
	char pool_name[NAME_BYTES];
	char topic[TOPIC_BYTES];
	enum shard_state state;
	/* When the newest join that confirmed the ownership was sent. */
	int64_t confirmed_boot_us;
	int64_t takeover_start_us;
	int64_t fence; /* epoch of the term; 0 until it is claimed */
	int64_t next_seq; /* of the term's first append after the claim */
	struct takeover *takeover; /* NULL unless SHARD_TAKING_OVER */
	struct pool *pool; /* NULL while SHARD_TAKING_OVER */
	struct store_writer *writer; /* NULL while SHARD_TAKING_OVER */
	struct pool_effects
	    effects; /* memory for the effects of the next step */
	bool stepping;
	bool term_ended; /* fenced or expired; the next tick releases it */
	struct pending_request *requests; /* by id */
	uint64_t last_request_id;
	LIST_HEAD(shard_commands, shard_command) commands; /* in flight */
	struct machine_list_reader *liveness_check; /* NULL none in flight */
	lws_sorted_usec_list_t tick_sul;
	LIST_ENTRY(shard) entries;
};

struct shards {
	struct scheduler *scheduler;
	LIST_HEAD(shard_list, shard) list;
};

/*
 * Stamps the event with the present time, runs a step of the reducer and
 * applies its effects.  Does nothing once the term has ended.
 */
void shard_handle_event(struct shard *sh, struct pool_event *ev);
/*
 * Marks the term as ended: the store or a worker rejects its fence, or the
 * store rejects the bytes of an append for good.  The event loop releases the
 * shard afterwards.  "why" is logged.
 */
void shard_end_term(struct shard *sh, const char *why);

/* shards.c */
/* NULL: the group has not dealt the pool to this daemon. */
struct shard *shards_find(const struct shards *all, const char *pool);
/*
 * Whether the last confirmation is so old that a successor may assume that
 * this daemon no longer acts for the pool.
 */
bool shard_ownership_expired(const struct shard *sh);

/* shard_takeover.c */
/* Returns -1 when memory is short. */
int takeover_start(struct shard *sh);
void takeover_cancel(struct shard *sh);
/* Continues a takeover that waits for the workers' entries. */
void takeover_workers_loaded(struct shard *sh);
/* In shards.c: starts the pool that the takeover has built. */
void shard_takeover_done(struct shard *sh);

/* shard_homes.c */
/*
 * The request may be passed to the pool.  If not, "reply" is the answer: the
 * job may be elsewhere, or it is not known here whether it is.
 */
bool shard_homes_admit(
    struct shard *sh, const struct job_request *r, struct job_reply *reply);
/* Registers the pool as a home of the queues that are pointed at it. */
void shard_homes_register(struct shard *sh);
/* The same, and drops homes that are no longer needed. */
void shard_homes_check(struct shard *sh);

/* shard_liveness.c */
/*
 * Reads the platform's list of machines, for the reducer to see which workers
 * still exist.  Answered by one POOL_LIVENESS_LIST event.
 */
void shard_check_liveness(struct shard *sh);

/* shard_commands.c */
/* Sends a command to a worker, or a request to the advice service. */
/* What a worker's answer says of a command; "clock_ms": -1 when missing. */
enum command_result shard_command_result(
    int status, const struct buf *body, int64_t *clock_ms);
void shard_send_command(struct shard *sh, const struct pool_effect *x);
void shard_cancel_commands(struct shard *sh);

#endif
