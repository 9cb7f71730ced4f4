/*
 * Frames that daemons exchange over TCP.  On the wire, a frame is a 4-byte
 * big-endian length followed by one msgpack map.  The payload is defined by
 * the module that owns the frame's kind; the shell reads only the header.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdint.h>

#include "buf.h"
#include "errors.h"

#define FRAME_PROTOCOL_VERSION 1 /* incremented by incompatible changes */
#define FRAME_LENGTH_BYTES 4

enum frame_kind {
	/* peers.c */
	FRAME_HELLO = 1, /* name, data centre, addresses, versions */
	FRAME_PING = 2,
	FRAME_PONG = 3,
	FRAME_BYE = 4, /* planned stop */
	/* request path */
	FRAME_CREDIT_REQUEST = 32,
	FRAME_CREDIT_GRANT = 33,
	FRAME_CREDIT_RETURN = 34,
	FRAME_SPILL = 35, /* request spilled to another data centre */
	FRAME_SPILL_ANSWER = 36,
	FRAME_CLAIM_QUERY = 37, /* duplicate: asks the claimer for the answer */
	FRAME_CLAIM_ANSWER = 38,
	FRAME_SPILL_CANCEL = 39,
	FRAME_PATH_STATUS = 40, /* slots, queues and suspects of the sender */
	/* control path */
	FRAME_LEAVING = 64, /* a VM is leaving and gets no new work */
	FRAME_LEAVING_ACK = 65, /* nothing in flight there; nothing more sent */
	FRAME_STATE_REQUEST = 66, /* a starting daemon requests the fold */
	FRAME_STATE_CHUNK = 67,
	FRAME_GOSSIP = 68 /* reserved */
};

struct frame {
	unsigned protocol;
	unsigned kind; /* enum frame_kind, or a value unknown to this binary */
	uint64_t source; /* the sending daemon's id */
	uint64_t incarnation; /* of the sending process */
	uint64_t request_id; /* same in request and answer; 0: none */
	struct buf *payload; /* msgpack map, owned */
};

/* The result includes the length prefix; NULL if out of memory. */
struct buf *frame_encode(const struct frame *f);
/*
 * Decodes a frame without its length prefix.  The payload is copied, to be
 * freed by frame_uninit().
 */
int frame_decode(struct frame *f, const void *data, size_t len, struct err *e);
void frame_uninit(struct frame *f);
/* "unknown" for kinds that this binary does not know. */
const char *frame_kind_name(unsigned kind);

#endif
