/*
 * Spill: a request that finds no room here goes to a daemon of another data
 * centre that has a free slot for it, one hop at most.  A window for each
 * peer and service, opened by answers and halved by refusals, keeps a data
 * centre without room from being flooded.
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

#define SPILL_REPLAY_WINDOW \
	1024 /* numbers behind the newest that are remembered */

/* The way to one service at one peer. */
struct spill_channel {
	uint64_t peer;
	char service[NAME_BYTES];
	int window; /* most requests there at once */
	int in_flight; /* requests there now */
	int64_t closed_until_us;
	TAILQ_ENTRY(spill_channel) link;
};
TAILQ_HEAD(spill_channel_list, spill_channel);

/* Numbers that a peer has used, so that a repeated frame runs nothing. */
struct spill_source {
	uint64_t peer;
	uint64_t incarnation;
	uint64_t newest_number;
	uint64_t seen_bits[SPILL_REPLAY_WINDOW / 64]; /* bit n: newest - n */
	TAILQ_ENTRY(spill_source) link;
};
TAILQ_HEAD(spill_source_list, spill_source);

struct spill {
	struct spill_channel_list channels;
	struct spill_source_list sources;
	struct path_request_list in_flight; /* PATH_SPILLED */
	uint64_t last_number; /* of requests sent to others */
	uint64_t
	    last_inbound_number; /* of requests of others, for their attempts */
	uint64_t sent_count, refused_count, received_count;
};

void spill_init(struct spill *sp);
void spill_uninit(struct spill *sp);
/*
 * Sends a request that is in no queue to another data centre; false where
 * nobody may get it.  "reason" and "retry_after_ms" are what the caller is
 * told when that daemon has no room either.
 */
bool spill_send(const struct path_ctx *x, struct path_request *r,
    const char *reason, int retry_after_ms);
/* Forgets a spilled request that ends; tells the other daemon to drop it. */
void spill_cancel(const struct path_ctx *x, struct path_request *r);
/* Answers the daemon that spilled a request to us. */
void spill_send_answer(const struct path_ctx *x, const struct path_origin *to,
    const struct path_result *end);
/* Takes in FRAME_SPILL, FRAME_SPILL_ANSWER and FRAME_SPILL_CANCEL. */
void spill_frame(const struct path_ctx *x, const struct frame *f);
/* Requests at a peer that is gone have an unknown outcome. */
void spill_peer_down(const struct path_ctx *x, uint64_t peer);
/* True where a guest's request would start at once. */
bool spill_has_capacity(const struct path_ctx *x, const struct path_service *s);

#endif
