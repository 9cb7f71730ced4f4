/*
 * Log records: a common header around a body that belongs to the module
 * that owns the kind.  Encoded as one msgpack map, so that an unknown kind or
 * field can be carried on unchanged.
 */
#ifndef RECORD_H
#define RECORD_H

#include <stdint.h>

#include "buf.h"
#include "errors.h"

#define RECORD_FORMAT_VERSION 1 /* raised when an old reader would misread */

/*
 * Streams of the log.  Control readers read only STREAM_CONTROL; claims of
 * idempotency keys have a stream of their own.
 */
enum stream {
	STREAM_CONTROL,
	STREAM_CLAIMS,
	STREAM_SNAPSHOT, /* chunks of snapshots; read by starting daemons */
	STREAM_COUNT
};
const char *stream_name(enum stream s); /* "control", "claims", … */

enum record_kind {
	RECORD_CONFIG = 1, /* an operators' text */
	RECORD_VM = 2, /* VMs seen, changed or lost (a batch) */
	RECORD_MOVE = 3, /* pool moves: leaving, acknowledged, moved */
	RECORD_DISRUPTION = 4, /* drain or reboot: proposed, ended */
	RECORD_TASK = 5, /* tasks: submitted, placed, ended, cancelled */
	RECORD_SNAPSHOT = 6, /* one chunk of a snapshot of the fold */
	RECORD_CLAIM = 7, /* idempotency keys: claimed, released, ended */
	RECORD_WAVE = 8 /* maintenance waves: opened, stopped, closed */
};

/* One append is one record; a repeat of a lost append has the same id. */
struct record_id {
	uint64_t process; /* hash of the daemon's or operator's name */
	uint64_t incarnation; /* random, never used twice */
	uint64_t seq; /* grows by one with each append of the incarnation */
};

struct record {
	int format;
	struct record_id id;
	unsigned kind; /* enum record_kind, or one this binary doesn't know */
	int64_t time_ms; /* the author's wall clock; judged, never trusted */
	uint64_t offset; /* set by the log; 0 before the append */
	struct buf *body; /* msgpack map owned by the kind's module */
};

/* Encodes header and body.  Returns NULL when memory is short. */
struct buf *record_encode(const struct record *r);
/* Fills "r"; its body is a new reference.  Refuses a larger
 * RECORD_FORMAT_VERSION. */
int record_decode(
    struct record *r, const void *data, size_t len, struct err *e);
void record_uninit(struct record *r);

#endif
