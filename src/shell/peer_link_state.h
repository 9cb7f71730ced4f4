/* Shared by peer_link.c and peer_target.c only. */
#ifndef PEER_LINK_STATE_H
#define PEER_LINK_STATE_H

#include <sys/queue.h>

#include "frame_reader.h"
#include "peer_link.h"

enum link_state {
	LINK_CONNECTING,
	LINK_AWAITING_HELLO, /* connected; our HELLO is queued */
	LINK_UP, /* their HELLO has come */
	LINK_CLOSED
};

struct target;

struct link {
	struct peer_links *links;
	struct lws *wsi;
	enum link_state state;
	struct target *dial_target; /* NULL where the peer dialled us */
	uint64_t peer_id, incarnation;
	char name[NAME_BYTES];
	struct frame_reader reader;
	struct buf *out; /* frames not handed over yet */
	size_t out_sent_bytes;
	TAILQ_ENTRY(link) entries;
};

/* An address to keep a link to. */
struct target {
	struct peer_links *links;
	char addr[ADDR_BYTES];
	int port;
	uint64_t peer_id; /* who answered there last; 0 unknown */
	bool is_self;
	bool is_seed; /* of the settings */
	struct link *dialled_link; /* that this target dialled */
	int64_t back_off_ms;
	lws_sorted_usec_list_t dial_timer;
	TAILQ_ENTRY(target) entries;
};

struct peer_links {
	struct shell *shell;
	struct lws_vhost *vhost;
	struct lws_protocols protocols[2];
	TAILQ_HEAD(link_list, link) links;
	TAILQ_HEAD(target_list, target) targets;
	size_t target_count;
	size_t unidentified_count;
	bool closing;
	uint64_t frames_in, frames_out, bytes_in, bytes_out;
	uint64_t frames_dropped; /* frames for peers without a link */
	uint64_t malformed; /* connections ended for a broken frame */
	uint64_t overflows; /* links ended because their queue was full */
};

struct link *peer_links_find(struct peer_links *ls, uint64_t peer);
/* "t" is the target that dialled, NULL where the peer did. */
struct link *peer_link_new(
    struct peer_links *ls, struct lws *wsi, struct target *t);
/* Without an event; the target, if any, dials again. */
void peer_link_free(struct link *l);
/* As above; its connection closes by itself. */
void peer_link_close(struct link *l);

/* An address of the settings, which is never given up. */
void peer_links_add_seed(struct peer_links *ls, const struct settings_addr *a);
void peer_targets_free(struct peer_links *ls);
/* Dials after about "ms", unless a link makes that unnecessary. */
void peer_target_schedule(struct target *t, int64_t ms);
/* The HELLO of a link that this side dialled has come. */
void peer_target_identified(struct link *l);

#endif
