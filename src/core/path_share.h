/*
 * Base shares: which of a worker's slots belong to which entry daemon of the
 * data centre. The daemons in the fold's table divide every worker's slots
 * evenly. Shares change only after all daemons concerned have agreed. The share
 * of a silent daemon is divided among the others only after a majority has
 * promised to renew none of its leases and the last of these leases has
 * expired. With two daemons a crash cannot be distinguished from a network
 * partition, so the share of the silent daemon stays unused until the fold
 * removes it.
 */
#ifndef PATH_SHARE_H
#define PATH_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "effect.h"
#include "event.h"
#include "path_upstream.h"
#include "view.h"

#define SHARE_DAEMONS_MAX 16 /* in one data centre */
#define SHARE_LEASE_US (1500 * US_PER_MS)
/* Silence after which a daemon is excluded. */
#define SHARE_SILENCE_MAX_US (1 * US_PER_S)
#define LOAN_LEASE_US (1 * US_PER_S) /* lease of a loan, for the borrower */

/* Daemon ids in ascending order. */
struct share_set {
	unsigned count;
	uint64_t ids[SHARE_DAEMONS_MAX];
	uint64_t hash; /* of the ids; 0 for an empty set */
};

/* State of the status exchange with one other daemon of the target set. */
struct share_peer {
	uint64_t id;
	uint64_t incarnation;
	int64_t last_status_us; /* when the last status from it arrived */
	int64_t last_status_peer_us; /* its clock in that status */
	/*
	 * End of the lease that it has granted to this daemon, by this daemon's
	 * clock.
	 */
	int64_t lease_held_until_us;
	/* End of the lease that this daemon has granted to it. */
	int64_t lease_granted_until_us;
	/* No lease is granted to it before this time, after it was excluded. */
	int64_t lease_blocked_until_us;
	uint64_t agreed_hash; /* hash of the target set that it has agreed to */
	uint64_t active_hash; /* hash of the set that is active there */
	/* Hash of the excluded set that it consents to; 0: none. */
	uint64_t exclusion_hash;
	/* End of that consent, by this daemon's clock. */
	int64_t exclusion_until_us;
	/*
	 * Send time of the newest status of this daemon that it has
	 * acknowledged.
	 */
	int64_t acked_us;
	int64_t status_sent_us; /* when the last status to it was sent */
};

struct share {
	/* Changes with every change of a set or of the exclusion. */
	uint64_t version;
	struct share_set target; /* daemons in the fold's table */
	/* Last target set that all daemons have agreed to. */
	struct share_set active;
	struct share_peer peers[SHARE_DAEMONS_MAX];
	unsigned peer_count;
	/* An earlier incarnation of this daemon was in the fold's table. */
	bool restarted;
	bool restart_checked;
	int64_t started_us;
	/*
	 * Exclusion in progress: daemons of the target set that get no share.
	 */
	struct share_set exclusion;
	bool exclusion_ending; /* consent to it is no longer renewed */
	/* End of the consent that this daemon has promised to others. */
	int64_t exclusion_promised_until_us;
	/* All other daemons have consented since then; 0: they have not. */
	int64_t exclusion_active_since_us;
	/* When the first of these consents ends. */
	int64_t exclusion_active_until_us;
	int64_t longest_attempt_us; /* longest attempt timeout of any pool */
	uint64_t exclusion_count;
};

void share_init(struct share *s);
/* Updates the target set from the fold's table of daemons. */
void share_sync(struct share *s, const struct view *v);
/* Sends statuses that are due and updates the exclusion. */
void share_tick(struct share *s, const struct view *v,
    const struct upstream_table *t, struct effects *fx);
/* Handles a FRAME_PATH_STATUS. */
void share_handle_status(
    struct share *s, const struct view *v, const struct frame *f);
/*
 * Slots of an upstream that belong to this daemon now. "slots" is the number of
 * slots of a worker.
 */
int share_slots(const struct share *s, const struct view *v, struct upstream *u,
    int slots, int timeout_ms);
/*
 * Time until which this daemon holds the leases that its share requires;
 * INT64_MAX where it requires none, 0 where too few are held.
 */
int64_t share_leases_until(const struct share *s);
/*
 * True where a peer has acknowledged a status that was sent at or after "t_us".
 */
bool share_acked_since(const struct share *s, int64_t t_us);
bool share_set_has(const struct share_set *set, uint64_t id);

#endif
