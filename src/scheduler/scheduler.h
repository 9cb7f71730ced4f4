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
#include "reach.h"
#include "repeat_timer.h"
#include "store_health.h"
#include "store_wire.h"

struct controller;
struct front;
struct membership;
struct peer_server;
struct shards;
struct watch;

/* Counted since the start; served as metrics. */
struct scheduler_counts {
	uint64_t requests, accepted, refused, unknown_outcome, not_found;
	uint64_t store_calls, store_failed, store_repeats;
	uint64_t records_too_large, appends_unreadable;
	uint64_t worker_orders, worker_unanswered;
	uint64_t held_back; /* for the sake of a silent or busy owner */
	uint64_t forwarded, forward_failed, takeovers, takeovers_given_up;
	uint64_t handin_ms_sum, handin_count; /* request to stored */
	uint64_t handin_ms_bucket[10]; /* upper bounds: handin_ms_bounds */
};

struct scheduler {
	struct boot boot;
	char settings_path[256];
	struct lws_context *context;
	struct http_pool *conns; /* kept connections of all calls */
	struct config *config; /* NULL until one was read */
	struct watch *watch;
	struct membership *membership;
	struct shards *shards;
	struct controller *controller;
	struct front *front;
	struct peer_server *peers;
	char member[MEMBER_BYTES]; /* own name in the group: "IP:PORT" */
	bool stopping; /* SIGTERM has come */
	struct store_health store; /* as its answers tell */
	struct repeat_timer append_timer;
	struct reach reach; /* of owners, by callers' requests */
	struct scheduler_counts counts;
};

int64_t sched_now_us(void); /* monotonic; stands still while suspended */
int64_t sched_boot_us(void); /* counts suspension too */
int64_t sched_now_ms(void); /* Unix time */

/* Runs until SIGTERM or SIGINT has been carried out. */
int scheduler_run(const char *settings_path, struct err *e);
/* A new configuration is in force. */
void scheduler_config_changed(struct scheduler *s);
void scheduler_metrics(const struct scheduler *s, struct buf *out);

#endif
