/*
 * Membership of daemons ("member" is a customer's word here): who is alive,
 * suspected, dead or gone in a planned way.  It only chooses who does work;
 * no promise rests on it.
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
	bool linked; /* a frame sent now goes onto a connection */
	int64_t last_frame_us; /* last frame from it, our monotonic clock */
	uint64_t config_version; /* as it last told us */
	uint64_t fold_next; /* as it last told us */
	bool ineligible; /* says that it cannot read the log, or isn't ready */
	UT_hash_handle hh; /* by id */
};

struct peers;

struct peers *peers_new(void);
void peers_free(struct peers *p);
/* Handles peer events, EVENT_VM_LIST, EVENT_TICK and EVENT_STOP. */
void peers_step(struct peers *p, const struct view *v, const struct event *ev,
    struct effects *fx);
/* Head of the table: iterate with HASH_ITER(hh, …); do not change it. */
const struct peer *peers_all(const struct peers *p);
const struct peer *peers_get(const struct peers *p, uint64_t id);
/* Daemons of a data centre that are alive and linked, without ourselves. */
unsigned peers_alive_count(const struct peers *p, const char *data_centre);
/*
 * True where this daemon has the duty "key" (rendezvous hashing over itself
 * and the live daemons of its data centre that can read the log).  Two may
 * think so at once.
 */
bool peers_is_responsible(
    const struct peers *p, const struct view *v, const char *key);

struct json_object *peers_dump(const struct peers *p);
void peers_metrics(const struct peers *p, struct buf *out);

#endif
