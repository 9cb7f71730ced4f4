/*
 * Decides, for a daemon whose reads of the operators' topic fail, when it asks
 * another daemon for the configuration, which one, as of when its own
 * configuration is confirmed, and whether calls that need a key are taken.
 * All times are of the boot clock, so that a suspended process finds its
 * configuration old when it goes on.  No I/O and no clock.
 */
#ifndef CONFIG_TRUST_H
#define CONFIG_TRUST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platform_settings.h"

#define CONFIG_PEERS_MAX 64
/* Part of a bound that is left for a request's way and for reading it. */
#define CONFIG_TRUST_MARGIN_MS 300
#define CONFIG_READ_OVERDUE_MS 300 /* beyond the long poll */
#define CONFIG_ASK_INTERVAL_MS 250
#define CONFIG_ASK_TIMEOUT_MS 200

enum config_read_end {
	CONFIG_READ_COMPLETE, /* up to the topic's end */
	CONFIG_READ_PARTIAL, /* the store answers; the rest follows */
	CONFIG_READ_FAILED
};

struct config_peer {
	struct endpoint at;
	int64_t seen_us; /* last known as an owner, or heard of */
};

struct config_trust {
	/* As of then the configuration is known to be current; 0: never. */
	int64_t confirmed_us;
	bool read_failed; /* the last read that ended */
	int64_t read_due_us; /* the read in flight is overdue then; 0: none */
	struct config_peer peers[CONFIG_PEERS_MAX];
	size_t peer_count;
	size_t next_peer; /* whose turn it is */
	bool asking;
	int64_t asked_us; /* when the last ask began */
	int64_t next_ask_us; /* earliest time of the next ask in turn */
	int64_t answered_us; /* last answer of any peer; 0: none */
	/* Asks in a row that brought no recent confirmation. */
	int stale_asks;
	/* Version that a peer has shown, newer than the own one; 0: none. */
	int64_t hint_version;
	int64_t hint_due_us;
	int64_t hint_asked_us; /* last ask because of one; 0: none */
	struct endpoint hint_peer;
};

struct config_trust_bounds {
	int apply_ms; /* a version applies so long after it was stored */
	int max_stretch_ms; /* added while the whole store is out */
};

void config_trust_init(struct config_trust *t, int64_t now_us);

/* A read of the operators' topic was sent; it holds for "long_poll_ms". */
void config_trust_read_started(
    struct config_trust *t, int64_t now_us, int long_poll_ms);
/* "sent_us": when the read, or the first page of a scan, was sent. */
void config_trust_read_ended(
    struct config_trust *t, enum config_read_end end, int64_t sent_us);
/* The last read failed, or the one in flight is overdue. */
bool config_trust_reads_fail(const struct config_trust *t, int64_t now_us);

/* Adds a peer, or notes that it is in use; the least recent one makes room. */
void config_trust_add_peer(
    struct config_trust *t, int64_t now_us, const struct endpoint *at);
/*
 * A peer has shown a version newer than the one in force.  It is asked at once
 * where reads fail, and otherwise if the store does not deliver the version
 * soon.
 */
void config_trust_newer_seen(struct config_trust *t, int64_t now_us,
    const struct endpoint *at, int64_t version);

/*
 * True where a peer is to be asked now, and "to" says which; the ask counts as
 * begun then.  "version" is the one in force; -1: none.
 */
bool config_trust_ask(struct config_trust *t, int64_t now_us, int64_t version,
    struct endpoint *to);
/*
 * A peer's answer to a request that was sent at "sent_us".  "age_us" is how
 * long ago, at its answer, the peer's configuration was confirmed; -1: never.
 * A newer configuration in the answer is in force already.
 */
void config_trust_answered(
    struct config_trust *t, int64_t now_us, int64_t sent_us, int64_t age_us);
/* The ask had no answer of use. */
void config_trust_unanswered(struct config_trust *t, int64_t now_us);

/* Time at which the module is to be called again; INT64_MAX: no time. */
int64_t config_trust_wake_us(const struct config_trust *t, int64_t now_us);

/* Age of the confirmation; -1: never confirmed. */
int64_t config_trust_age_us(const struct config_trust *t, int64_t now_us);
/* The configuration can be taken for current. */
bool config_trust_current(const struct config_trust *t, int64_t now_us,
    const struct config_trust_bounds *b);

/*
 * A configuration of version "offered" replaces that of version "own" (-1:
 * none): the version never goes back.
 */
static inline bool
config_trust_supersedes(int64_t offered, int64_t own)
{
	return offered > own;
}

#endif
