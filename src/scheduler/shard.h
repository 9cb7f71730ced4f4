/* One owned pool; for shards.c, shard_takeover.c and shard_commands.c only. */
#ifndef SHARD_H
#define SHARD_H

#include <sys/queue.h>

#include <uthash.h>

#include "shards.h"
#include "store_writer.h"

/*
 * An owner that has not been confirmed for so long gives up: the next one
 * counts on it before it starts again what a silent worker may run.
 */
#define OWNERSHIP_TIMEOUT_MS 3000
/* Granted to tasks; two thirds of what workers allow, for a fast take-over. */
#define TASK_LEASE_MS 4000
/* Until tasks of an earlier term have ended at workers that are silent. */
#define SETTLE_MS \
	(OWNERSHIP_TIMEOUT_MS + TASK_LEASE_MS + TASK_LEASE_MS / 20 + 300)

enum shard_state {
	SHARD_TAKING_OVER, /* reads what its predecessors wrote */
	SHARD_OWNING,
	SHARD_RELEASING /* writes out, answers nothing new */
};

struct shard_command; /* an order to a worker under way */
struct machine_list_reader;
struct takeover;

/* A request that waits for the reducer's answer. */
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
	int64_t confirmed_boot_us; /* the group said so when asked then */
	int64_t takeover_start_us;
	int64_t fence;
	int64_t next_seq; /* of the term's first append after its claim */
	struct takeover *takeover; /* while SHARD_TAKING_OVER */
	struct pool *pool;
	struct store_writer *writer;
	struct pool_effects effects;
	bool stepping;
	bool term_ended; /* fenced: to be dropped once the step has ended */
	struct pending_request *requests;
	uint64_t last_request_id;
	LIST_HEAD(shard_commands, shard_command) commands;
	struct machine_list_reader *liveness_check; /* under way */
	lws_sorted_usec_list_t tick_sul;
	int64_t tick_due_us;
	int64_t lag_us; /* by which ticks came late, averaged */
	LIST_ENTRY(shard) entries;
};

/* Stamps the event, lets the reducer take it, carries the effects out. */
void shard_handle_event(struct shard *sh, struct pool_event *ev);
/* Nothing of the term is taken any more: the shard is dropped from the loop. */
void shard_end_term(struct shard *sh, const char *why);

/* shard_takeover.c */
int takeover_start(struct shard *sh);
void takeover_cancel(struct shard *sh);
/* Workers' entries have become known. */
void takeover_workers_loaded(struct shard *sh);
/* shards.c: the take-over has made pool and writer. */
void shard_takeover_done(struct shard *sh);

/* shard_census.c */
void shard_check_liveness(struct shard *sh);

/* shard_commands.c */
void shard_send_command(struct shard *sh, const struct pool_effect *x);
void shard_cancel_commands(struct shard *sh);

#endif
