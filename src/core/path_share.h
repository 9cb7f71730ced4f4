/*
 * Base shares: which of a worker's slots belong to which entry daemon of the
 * data centre.  The daemons on record (the fold's table) divide every worker's
 * slots evenly.  Shares change only when every daemon concerned has agreed,
 * and the share of a silent daemon is divided among the others only when a
 * majority has promised to renew none of its leases and the last of them has
 * lapsed.  Two daemons can't tell a dead fellow from a cut-off one, so there
 * the share of the silent one stays unused until the fold drops it.
 */
#ifndef PATH_SHARE_H
#define PATH_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "effect.h"
#include "event.h"
#include "path_upstream.h"
#include "view.h"

#define SHARE_DAEMONS_MAX 16 /* of one data centre */
#define SHARE_LEASE_US (1500 * US_PER_MS)
#define SHARE_SILENCE_MAX_US (1 * US_PER_S) /* silence before an exclusion */
#define LOAN_LEASE_US (1 * US_PER_S) /* a lent slot's lease */

/* Daemons in ascending order of their ids. */
struct share_set {
	unsigned count;
	uint64_t ids[SHARE_DAEMONS_MAX];
	uint64_t hash; /* of the ids; 0 where empty */
};

/* What passed between this daemon and one other of the set. */
struct share_peer {
	uint64_t id;
	uint64_t incarnation;
	int64_t last_status_us; /* last status from it */
	int64_t last_status_peer_us; /* its own clock in that status */
	int64_t
	    lease_held_until_us; /* it renewed ours until then, by our clock */
	int64_t lease_granted_until_us; /* we renewed its lease until then */
	int64_t lease_blocked_until_us; /* after an exclusion */
	uint64_t agreed_hash; /* hash of the set that it has agreed to */
	uint64_t active_hash; /* hash of the set that it works by */
	uint64_t exclusion_hash; /* mask hash that it consents to … */
	int64_t exclusion_until_us; /* … until then, by our clock */
	int64_t acked_us; /* our clock in the status of ours it answered */
	int64_t status_sent_us; /* our last status to it */
};

struct share {
	uint64_t version; /* grows with each change of a set or the mask */
	struct share_set target; /* by the fold */
	struct share_set active; /* that everybody has agreed to */
	struct share_peer peers[SHARE_DAEMONS_MAX];
	unsigned peer_count;
	bool restarted; /* was on record before this incarnation */
	bool restart_checked;
	int64_t started_us;
	/* Exclusion under way: ids of the target set that are left out. */
	struct share_set exclusion;
	bool exclusion_ending; /* no promise for it is renewed any more */
	int64_t exclusion_promised_until_us;
	int64_t exclusion_active_since_us; /* all others consent since then; 0:
					      no */
	int64_t
	    exclusion_active_until_us; /* the first of their consents lapses */
	int64_t longest_attempt_us; /* longest attempt of any pool */
	uint64_t exclusion_count;
};

void share_init(struct share *s);
/* Follows the fold's table of daemons. */
void share_sync(struct share *s, const struct view *v);
/* Sends statuses that are due and moves exclusions on. */
void share_tick(struct share *s, const struct view *v,
    const struct upstream_table *t, struct effects *fx);
/* Takes in a FRAME_PATH_STATUS. */
void share_handle_status(
    struct share *s, const struct view *v, const struct frame *f);
/* Slots of an upstream that belong to this daemon at this moment. */
int share_slots(const struct share *s, const struct view *v, struct upstream *u,
    int slots, int timeout_ms);
/* Time until which the leases that this daemon needs hold; 0: none. */
int64_t share_leases_until(const struct share *s);
/* True where a peer has answered a status that was sent at or after "t". */
bool share_acked_since(const struct share *s, int64_t t_us);
bool share_set_has(const struct share_set *set, uint64_t id);

#endif
