/*
 * The job scheduler: a daemon that accepts jobs from callers and runs their
 * tasks on the users' workers.  State shared by the modules of this folder.
 * Everything runs in one event loop on one thread.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "caller_auth.h"
#include "platform_settings.h"
#include "config_wire.h"
#include "daemon_log.h"
#include "http_client.h"
#include "http_listener.h"
#include "loop_lag.h"
#include "reachability.h"
#include "repeat_timer.h"
#include "store_health.h"
#include "store_wire.h"

struct config_relay;
struct controller;
struct home_registry;
struct job_frontend;
struct membership;
struct peer_server;
struct shards;
struct store_watch;

/* Totals since the process started; served as metrics. */
struct scheduler_counters {
	uint64_t requests, accepted, refused, outcome_unknown, not_found;
	/* refused, since the configuration is not known to be current */
	uint64_t config_unconfirmed;
	uint64_t store_calls, store_calls_failed, appends_repeated;
	uint64_t records_too_large, appends_unreadable;
	uint64_t worker_commands, worker_commands_unanswered;
	/* attempts delayed because the owner was unresponsive or busy */
	uint64_t forwards_deferred;
	/* to learn whether an owner without an answer is alive */
	uint64_t owner_queries;
	uint64_t requests_forwarded, forwards_failed, takeovers, pools_released;
	/* latency from a submission's arrival until the job is stored */
	uint64_t submit_ms_sum, submit_count;
	uint64_t submit_ms_buckets[10]; /* upper bounds: count_submit() */
};

struct scheduler {
	struct platform_settings settings;
	char settings_path[256];
	struct lws_context *context;
	struct loop_lag loop_lag;
	struct http_pool *http_connections; /* idle, shared by all calls */
	struct config *config; /* NULL until the first one is read */
	struct store_watch *watcher;
	struct config_relay *relay;
	struct membership *membership;
	struct home_registry *homes;
	struct shards *shards;
	struct controller *controller;
	struct job_frontend *frontend;
	struct peer_server *peer_listener;
	/* own name in the group, from member_format() */
	char member[MEMBER_BYTES];
	bool stopping; /* SIGTERM or SIGINT was received */
	struct store_health store_state; /* derived from its answers */
	struct repeat_timer append_timer;
	struct reachability owner_reachability; /* from callers' requests */
	struct caller_auth caller_auth;
	struct scheduler_counters counters;
};

/* Does not advance while suspended: for what the loop's timers measure. */
int64_t sched_monotonic_us(void);
/*
 * Includes time spent suspended: for the ages of what others have reported and
 * for their deadlines, so also for the events of the pools and the roster.
 */
int64_t sched_boottime_us(void);
int64_t sched_unix_ms(void); /* wall clock */

/* Runs the daemon until a stop requested by SIGTERM or SIGINT is complete. */
int scheduler_run(const char *settings_path, struct err *e);
/*
 * Replaces the configuration by a newer one and notifies the modules.  Takes
 * over the reference to "c".
 */
void scheduler_set_config(struct scheduler *s, struct config *c);
void scheduler_metrics(const struct scheduler *s, struct buf *out);

#endif
