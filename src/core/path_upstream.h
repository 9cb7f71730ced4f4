/*
 * The upstreams of this data centre as the request path sees them: who may
 * get work, how many slots of each this daemon may use, and their health.
 * The table follows the fold; an upstream that left it stays until the last
 * attempt there has ended.
 */
#ifndef PATH_UPSTREAM_H
#define PATH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uthash.h>

#include "fold.h"
#include "view.h"

enum upstream_health {
	UPSTREAM_HEALTHY,
	UPSTREAM_EJECTED, /* gets nothing but one probe at a time */
};

struct upstream {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	char addr[ADDR_BYTES];
	int port;
	struct upstream_pool *pool;
	bool synced; /* by the sync that is running */
	bool serving; /* may get new work */
	int credits; /* slots that this daemon may use now */
	int base_slots; /* its own share of the slots */
	struct {
		uint64_t version; /* of the share that it was worked out for */
		int slots;
		int own; /* by the sets in force */
		int inherited; /* of excluded daemons */
	} share;
	int lent_slots; /* of these, lent to peers and not yet back */
	int borrowed_slots; /* borrowed from peers and not yet returned */
	int lapsed_slots; /* of these, those whose lease has ended */
	int orphaned_slots; /* of these, those whose lender is on record no more
			     */
	int inflight_slots; /* slots in use by this daemon */
	int batch_slots; /* of these, by requests of class batch */
	enum upstream_health health;
	int64_t next_probe_us; /* earliest next probe of an ejected one */
	int64_t probe_interval_us; /* between two probes */
	int64_t latency_sampled_us; /* last sample of its latency */
	bool probing;
	int consecutive_failures; /* in a row */
	int64_t failure_ppm; /* share of failed attempts, smoothed */
	int64_t latency_us; /* of whole answers, smoothed */
	uint64_t answered_count, failed_count;
	TAILQ_ENTRY(upstream) link; /* in its pool */
	UT_hash_handle hh; /* by VM name */
};
TAILQ_HEAD(upstream_list, upstream);

struct upstream_pool {
	char name[NAME_BYTES];
	int worker_slots; /* of one worker, shared by all daemons */
	int attempt_timeout_ms; /* longest attempt of the pool's services */
	int availability_ppm;
	struct upstream_list upstreams;
	int upstream_count;
	UT_hash_handle hh;
};

struct upstream_table {
	struct upstream *by_vm;
	struct upstream_list retired; /* replaced while attempts were there */
	struct upstream_pool *pools;
};

void upstream_table_init(struct upstream_table *t);
void upstream_table_uninit(struct upstream_table *t);
/* Follows the fold and its text; cheap enough for every change of either. */
void upstream_sync(
    struct upstream_table *t, const struct view *v, const struct text *text);
struct upstream_pool *upstream_pool_get(
    struct upstream_table *t, const char *name);
/* Counts a slot as used, or as free again (may free "u"). */
void upstream_acquire(struct upstream *u, enum text_class_id class);
void upstream_release(
    struct upstream_table *t, struct upstream *u, enum text_class_id class);

#endif
