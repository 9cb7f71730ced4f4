/*
 * Spilling: a request for which this data centre has no free capacity is sent
 * to a daemon of another data centre that has a free slot, over one hop at
 * most. Each peer and service has a window, which grows with every answer and
 * is halved by a refusal, so that a data centre without free capacity is not
 * flooded.
 */
#ifndef PATH_SPILL_H
#define PATH_SPILL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "frame.h"
#include "path_request.h"

struct path_ctx;
struct path_result;

/* Request numbers of a peer that are checked for duplicates. */
#define SPILL_REPLAY_WINDOW 1024

/* Flow control for one service at one peer. */
struct spill_channel {
	uint64_t peer;
	char service[NAME_BYTES];
	int window; /* maximum of in_flight */
	int in_flight; /* requests sent there that have no answer yet */
	int64_t closed_until_us; /* no request is sent before then */
	TAILQ_ENTRY(spill_channel) link;
};
TAILQ_HEAD(spill_channel_list, spill_channel);

/*
 * Request numbers that a peer has used. A duplicate frame must not run its
 * request again.
 */
struct spill_source {
	uint64_t peer;
	uint64_t incarnation;
	uint64_t newest_number;
	/* Bit n: newest_number - n. */
	uint64_t seen_bits[SPILL_REPLAY_WINDOW / 64];
	TAILQ_ENTRY(spill_source) link;
};
TAILQ_HEAD(spill_source_list, spill_source);

struct spill {
	struct spill_channel_list channels;
	struct spill_source_list sources;
	struct path_request_list in_flight; /* in PATH_SPILLED */
	uint64_t last_number; /* of requests sent to other daemons */
	/* Of requests received from other daemons. */
	uint64_t last_inbound_number;
	uint64_t sent_count, refused_count, received_count;
};

void spill_init(struct spill *sp);
void spill_uninit(struct spill *sp);
/*
 * Sends a request to another data centre; the request must be in no queue.
 * False where no peer is available. "reason" and "retry_after_ms" are for the
 * caller's answer, should that daemon refuse the request too.
 */
bool spill_send(const struct path_ctx *x, struct path_request *r,
    const char *reason, int retry_after_ms);
/*
 * Withdraws a request from the peer that it was spilled to. No effect on
 * requests in other states.
 */
void spill_cancel(const struct path_ctx *x, struct path_request *r);
/* Sends the result to the daemon that spilled the request to this one. */
void spill_send_answer(const struct path_ctx *x, const struct path_origin *to,
    const struct path_result *result);
/* Handles FRAME_SPILL, FRAME_SPILL_ANSWER and FRAME_SPILL_CANCEL. */
void spill_frame(const struct path_ctx *x, const struct frame *f);
/* Ends the requests at a lost peer; their outcome is unknown. */
void spill_peer_down(const struct path_ctx *x, uint64_t peer);
/*
 * True where a request from another data centre is admitted: few requests wait
 * compared with the usable slots.
 */
bool spill_has_capacity(const struct path_ctx *x, const struct path_service *s);

#endif
