/*
 * Links to other daemons: raw TCP with length-prefixed frames. Listens on the
 * peer address, dials the seeds and the addresses added later, exchanges HELLO
 * frames, and keeps one link per peer. A malformed frame, or one from another
 * sender, closes only its own connection.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "buf.h"
#include "errors.h"
#include "shell.h"

struct peer_links *peer_links_new(struct shell *sh, struct err *e);
/* Call before lws_context_destroy(). */
void peer_links_close(struct peer_links *ls);
/* Call after lws_context_destroy(). */
void peer_links_free(struct peer_links *ls);
/* Carries out an EFFECT_PEER_SEND. The frame is dropped if no link is up. */
void peer_links_send(struct peer_links *ls, const struct effect *x);
/* Adds an address to dial, unless it is known. */
void peer_links_add_address(struct peer_links *ls, const char *addr, int port);
/* Number of queued bytes that were not passed to their connections yet. */
size_t peer_links_unsent_bytes(const struct peer_links *ls);
void peer_links_metrics(const struct peer_links *ls, struct buf *out);

#endif
