/*
 * Log records: a common header and a body whose layout is defined by the
 * module that owns the record's kind.  A record is one msgpack map; records of
 * unknown kinds can be stored and forwarded unchanged.
 */
#ifndef RECORD_H
#define RECORD_H

#include <stdint.h>

#include "buf.h"
#include "errors.h"

#define RECORD_FORMAT_VERSION 1 /* incremented by incompatible changes */

/*
 * Streams of the log.  The fold reads STREAM_CONTROL only; claims of
 * idempotency keys have a separate stream.
 */
enum stream {
	STREAM_CONTROL,
	STREAM_CLAIMS,
	STREAM_SNAPSHOT, /* parts of snapshots, read by starting daemons */
	STREAM_COUNT
};
const char *stream_name(enum stream s); /* "control", "claims", ... */

enum record_kind {
	RECORD_CONFIG = 1, /* an operators' text */
	RECORD_VM = 2, /* VMs added, changed or lost; daemons */
	RECORD_MOVE = 3, /* moves of VMs between pools */
	RECORD_DISRUPTION = 4, /* withdrawals of VMs for maintenance */
	RECORD_TASK = 5, /* tasks: submitted, placed, ended, cancelled */
	RECORD_SNAPSHOT = 6, /* part of a snapshot, or a reference to one */
	RECORD_CLAIM = 7, /* idempotency keys: claimed, released, ended */
	RECORD_WAVE = 8 /* maintenance waves: opened, stopped, closed */
};

/* Identifies one append.  Retransmissions of an append have the same id. */
struct record_id {
	uint64_t process; /* xxhash of the daemon's or operator's name */
	uint64_t incarnation; /* random, never reused */
	uint64_t seq; /* incremented with each record of the incarnation */
};

struct record {
	int format;
	struct record_id id;
	unsigned kind; /* enum record_kind, or a value unknown to this binary */
	int64_t time_ms; /* the author's wall clock; may be wrong */
	uint64_t offset; /* set by the log; 0 before the append */
	struct buf *body; /* msgpack map owned by the kind's module */
};

/* Encodes header and body.  Returns NULL if out of memory. */
struct buf *record_encode(const struct record *r);
/*
 * Fills in "r" with a copy of the body, to be freed by record_uninit().
 * Refuses records of a newer format version.
 */
int record_decode(
    struct record *r, const void *data, size_t len, struct err *e);
void record_uninit(struct record *r);

#endif
