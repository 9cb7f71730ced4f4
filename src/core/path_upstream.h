/*
 * The upstreams of this data centre: which of them are eligible for requests,
 * how many slots of each this daemon may use, and their health. The table
 * follows the fold. An upstream that has left the fold stays allocated until
 * its last attempt has ended.
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
	UPSTREAM_EJECTED, /* gets only one probe at a time */
};

struct upstream {
	char vm[NAME_BYTES];
	uint64_t incarnation;
	char addr[ADDR_BYTES];
	int port;
	struct upstream_pool *pool;
	bool synced; /* found by the sync in progress */
	bool serving; /* is eligible for new requests */
	/* Slots that this daemon may use now, slots in use included. */
	int credits;
	int base_slots; /* this daemon's share of the slots */
	struct {
		/* Version of the share that these were computed for. */
		uint64_t version;
		int slots;
		int own; /* assigned to it by the active and the target set */
		int inherited; /* from excluded daemons */
	} share;
	int lent_slots; /* of base_slots: lent to peers and not returned yet */
	int borrowed_slots; /* borrowed from peers and not returned yet */
	int lapsed_slots; /* of borrowed_slots: the lease has ended */
	/* Of borrowed_slots: the lender has left or restarted. */
	int orphaned_slots;
	int inflight_slots; /* in use by this daemon */
	int batch_slots; /* of inflight_slots: in use by class batch */
	enum upstream_health health;
	int64_t next_probe_us; /* earliest time of the next probe, if ejected */
	int64_t probe_interval_us; /* between two probes */
	int64_t latency_sampled_us; /* last change of latency_us */
	bool probing;
	int consecutive_failures;
	int64_t failure_ppm; /* ratio of failed attempts; moving average */
	int64_t latency_us; /* of complete answers; moving average */
	uint64_t answered_count, failed_count;
	/* In its pool, or in the retired upstreams. */
	TAILQ_ENTRY(upstream) link;
	UT_hash_handle hh; /* by VM name */
};
TAILQ_HEAD(upstream_list, upstream);

struct upstream_pool {
	char name[NAME_BYTES];
	int worker_slots; /* slots of one worker, shared by all daemons */
	/* Longest attempt timeout of the pool's services. */
	int attempt_timeout_ms;
	int availability_ppm;
	struct upstream_list upstreams;
	int upstream_count;
	UT_hash_handle hh;
};

struct upstream_table {
	struct upstream *by_vm;
	/* Left the table while attempts were in flight. */
	struct upstream_list retired;
	struct upstream_pool *pools;
};

void upstream_table_init(struct upstream_table *t);
void upstream_table_uninit(struct upstream_table *t);
/*
 * Updates the table from the fold and its text. Cheap enough for every change
 * of either.
 */
void upstream_sync(
    struct upstream_table *t, const struct view *v, const struct text *text);
struct upstream_pool *upstream_pool_get(
    struct upstream_table *t, const char *name);
/*
 * upstream_acquire() marks a slot as used; upstream_release() marks it as free
 * and frees a retired "u" with its last slot.
 */
void upstream_acquire(struct upstream *u, enum text_class_id class);
void upstream_release(
    struct upstream_table *t, struct upstream *u, enum text_class_id class);

#endif
