/*
 * Membership of daemons: which of them are alive, suspected, dead or have left
 * in a planned stop. It only selects which daemon does a piece of work; no
 * guarantee depends on it. ("member" means a client account in this project.)
 */
#ifndef PEERS_H
#define PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>
#include <uthash.h>

#include "effect.h"
#include "event.h"
#include "view.h"

enum peer_state {
	PEER_ALIVE,
	PEER_SUSPECT,
	PEER_DEAD,
	PEER_LEFT
};
const char *peer_state_name(enum peer_state s);

struct peer {
	uint64_t id;
	uint64_t incarnation;
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	enum peer_state state;
	bool linked; /* a connection for frames is open */
	/* Arrival of its last frame, by this daemon's monotonic clock. */
	int64_t last_frame_us;
	uint64_t config_version; /* as last reported */
	uint64_t fold_next; /* as last reported */
	/* Reports that it cannot read the log, or is not ready. */
	bool ineligible;
	UT_hash_handle hh; /* by id */
};

struct peers;

struct peers *peers_new(void);
void peers_free(struct peers *p);
/*
 * Handles EVENT_PEER_UP, EVENT_PEER_DOWN, EVENT_PEER_FRAME, EVENT_TICK and
 * EVENT_STOP.
 */
void peers_step(struct peers *p, const struct view *v, const struct event *ev,
    struct effects *fx);
/* Head of the table, to be iterated with HASH_ITER(hh, ...). Read-only. */
const struct peer *peers_all(const struct peers *p);
const struct peer *peers_get(const struct peers *p, uint64_t id);
/* Other daemons of a data centre that are alive and linked. */
unsigned peers_alive_count(const struct peers *p, const char *data_centre);
/*
 * True where this daemon is responsible for "key", by rendezvous hashing over
 * itself and the live daemons of its data centre that can read the log. For a
 * time two daemons may both be responsible.
 */
bool peers_is_responsible(
    const struct peers *p, const struct view *v, const char *key);

struct json_object *peers_dump(const struct peers *p);
void peers_metrics(const struct peers *p, struct buf *out);

#endif
