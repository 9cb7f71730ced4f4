/*
 * Peer frames: what daemons say to each other over TCP.  On the wire a frame
 * is a 4-byte big-endian length and one msgpack map.  The payload belongs to
 * the module that owns the kind; the shell looks at nothing but the header.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdint.h>

#include "buf.h"
#include "errors.h"

#define FRAME_PROTOCOL_VERSION 1 /* raised when an old reader would misread */
#define FRAME_LENGTH_BYTES 4

enum frame_kind {
	/* owned by peers.c */
	FRAME_HELLO = 1, /* name, data centre, addresses, versions */
	FRAME_PING = 2,
	FRAME_PONG = 3,
	FRAME_BYE = 4, /* planned stop */
	/* owned by the request path */
	FRAME_CREDIT_REQUEST = 32,
	FRAME_CREDIT_GRANT = 33,
	FRAME_CREDIT_RETURN = 34,
	FRAME_SPILL = 35, /* a request for another data centre */
	FRAME_SPILL_ANSWER = 36,
	FRAME_CLAIM_QUERY = 37, /* a repeat asks the claimer for the answer */
	FRAME_CLAIM_ANSWER = 38,
	FRAME_SPILL_CANCEL = 39,
	FRAME_PATH_STATUS = 40, /* slots, queues and suspects of a daemon */
	/* owned by the control path */
	FRAME_LEAVING = 64, /* a VM is leaving: no new work there */
	FRAME_LEAVING_ACK = 65, /* nothing in flight, nothing more sent */
	FRAME_STATE_REQUEST = 66, /* a starting daemon asks for the fold */
	FRAME_STATE_CHUNK = 67,
	FRAME_GOSSIP = 68
};

struct frame {
	unsigned protocol;
	unsigned kind; /* enum frame_kind, or one this binary doesn't know */
	uint64_t source; /* the sending daemon's id */
	uint64_t incarnation; /* of the sender; random for each start */
	uint64_t request_id; /* id that an answer repeats; 0 where none */
	struct buf *payload; /* msgpack map owned by the kind's module */
};

/* Includes the length prefix.  NULL when memory is short. */
struct buf *frame_encode(const struct frame *f);
/* "data" is without the length prefix.  The payload is a new reference. */
int frame_decode(struct frame *f, const void *data, size_t len, struct err *e);
void frame_uninit(struct frame *f);
const char *frame_kind_name(unsigned kind);

#endif
