/*
 * The scheduler of jobs: a daemon in front of the users' workers.  What the
 * modules of this folder share.  One loop on one thread.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "boot.h"
#include "config_wire.h"
#include "daemon_log.h"
#include "http_client.h"
#include "http_listener.h"
#include "reachability.h"
#include "repeat_timer.h"
#include "store_health.h"
#include "store_wire.h"

struct duty;
struct job_frontend;
struct owners;
struct peer_server;
struct shards;
struct store_watch;

/* Counted since the start; served as metrics. */
struct scheduler_counters {
	uint64_t requests, accepted, refused, unknown_outcome, not_found;
	uint64_t store_calls, store_calls_failed, appends_repeated;
	uint64_t records_too_large, appends_unreadable;
	uint64_t worker_commands, worker_commands_unanswered;
	uint64_t forwards_deferred; /* for the sake of a silent or busy owner */
	uint64_t requests_forwarded, forwards_failed, takeovers, pools_released;
	uint64_t submit_ms_sum, submit_count; /* request to stored */
	uint64_t submit_ms_buckets[10]; /* upper bounds: handin_ms_bounds */
};

struct scheduler {
	struct boot boot;
	char settings_path[256];
	struct lws_context *context;
	struct http_pool *http_connections; /* kept connections of all calls */
	struct config *config; /* NULL until one was read */
	struct store_watch *watcher;
	struct owners *owners;
	struct shards *shards;
	struct duty *duty;
	struct job_frontend *frontend;
	struct peer_server *peer_listener;
	char member[MEMBER_BYTES]; /* own name in the group: "IP:PORT" */
	bool stopping; /* SIGTERM has come */
	struct store_health store_state; /* as its answers tell */
	struct repeat_timer append_timer;
	struct reachability
	    owner_reachability; /* of owners, by callers' requests */
	struct scheduler_counters counters;
};

int64_t sched_monotonic_us(void); /* monotonic; stands still while suspended */
int64_t sched_boottime_us(void); /* counts suspension too */
int64_t sched_unix_ms(void); /* Unix time */

/* Runs until SIGTERM or SIGINT has been carried out. */
int scheduler_run(const char *settings_path, struct err *e);
/* A new configuration is in force. */
void scheduler_config_changed(struct scheduler *s);
void scheduler_metrics(const struct scheduler *s, struct buf *out);

#endif
