/* Private to peer_link.c and peer_target.c. */
#ifndef PEER_LINK_STATE_H
#define PEER_LINK_STATE_H

#include <sys/queue.h>

#include "frame_reader.h"
#include "peer_link.h"

enum link_state {
	LINK_CONNECTING,
	LINK_AWAITING_HELLO, /* connected; our HELLO is queued */
	LINK_UP, /* the peer's HELLO was received */
	LINK_CLOSED
};

struct peer_target;

struct peer_link {
	struct peer_links *peer_links;
	struct lws *wsi;
	enum link_state state;
	struct peer_target *dial_target; /* NULL if the peer dialled */
	uint64_t peer_id, incarnation;
	char name[NAME_BYTES];
	struct frame_reader reader;
	struct buf *out; /* frames not passed to the connection yet */
	size_t out_sent_bytes;
	TAILQ_ENTRY(peer_link) entries;
};

/* An address to keep a link to. */
struct peer_target {
	struct peer_links *peer_links;
	char addr[ADDR_BYTES];
	int port;
	uint64_t peer_id; /* daemon that last answered there; 0: unknown */
	bool is_self;
	bool is_seed; /* from the settings; never evicted */
	struct peer_link *dialled_link; /* opened by a dial of this target */
	int64_t back_off_ms;
	lws_sorted_usec_list_t dial_timer;
	TAILQ_ENTRY(peer_target) entries;
};

struct peer_links {
	struct shell *shell;
	struct lws_vhost *vhost;
	struct lws_protocols protocols[2];
	TAILQ_HEAD(link_list, peer_link) links;
	TAILQ_HEAD(target_list, peer_target) targets;
	size_t target_count;
	size_t unidentified_count;
	bool closing;
	uint64_t frames_in, frames_out, bytes_in, bytes_out;
	uint64_t frames_dropped; /* frames for peers without a link */
	uint64_t malformed; /* connections closed for a malformed frame */
	uint64_t overflows; /* links closed because their send queue was full */
};

struct peer_link *peer_links_find(struct peer_links *ls, uint64_t peer);
/* "t" is the target that was dialled, NULL if the peer dialled. */
struct peer_link *peer_link_new(
    struct peer_links *ls, struct lws *wsi, struct peer_target *t);
/* Frees the link without an event. Its target, if any, is dialled again. */
void peer_link_free(struct peer_link *l);
/* Closes the connection and frees the link, without an event. */
void peer_link_close(struct peer_link *l);

/* Adds an address from the settings, which is never evicted. */
void peer_links_add_seed(struct peer_links *ls, const struct settings_addr *a);
void peer_targets_free(struct peer_links *ls);
/* Dials after about "ms", unless a link exists by then. */
void peer_target_schedule(struct peer_target *t, int64_t ms);
/*
 * Records who answered: the HELLO of a link that this daemon dialled came in.
 */
void peer_target_identified(struct peer_link *l);

#endif
