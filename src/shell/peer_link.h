/*
 * Links to the other daemons: raw TCP with length-prefixed frames.  Listens
 * on the peer address, dials the seeds and what it learns of, exchanges
 * HELLO, and keeps one link for each peer.  Any broken or foreign frame ends
 * its connection and nothing else.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "buf.h"
#include "errors.h"
#include "shell.h"

struct peer_links *peer_links_new(struct shell *sh, struct err *e);
/* Call before lws_context_destroy(). */
void peer_links_close(struct peer_links *ls);
/* Call after it. */
void peer_links_free(struct peer_links *ls);
/* Carries out an EFFECT_PEER_SEND; dropped where no link is up. */
void peer_links_send(struct peer_links *ls, const struct effect *x);
/* One more address to dial; known ones are ignored. */
void peer_links_add_address(struct peer_links *ls, const char *addr, int port);
/* Bytes not yet handed to their connections. */
size_t peer_links_unsent_bytes(const struct peer_links *ls);
void peer_links_metrics(const struct peer_links *ls, struct buf *out);

#endif
