/* Callers' HTTP/1.1 side: requests become events, effects become answers. */
#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include "buf.h"
#include "errors.h"
#include "shell.h"

struct caller_server *caller_server_new(struct shell *sh, struct err *e);
void caller_server_free(struct caller_server *cs);
/* Carries out an EFFECT_ANSWER. */
void caller_server_answer(struct caller_server *cs, const struct effect *x);
/*
 * Planned stop: requests are refused with not-run and their connections
 * closed; after caller_server_stop_listening() new ones are refused.
 */
void caller_server_close_after_answers(struct caller_server *cs);
void caller_server_stop_listening(struct caller_server *cs);
/* See http_listener_check_disconnected(). */
void caller_server_check_disconnected(struct caller_server *cs, bool all);
/* Connections with a part of a request or of its answer. */
size_t caller_server_busy_count(const struct caller_server *cs);
void caller_server_metrics(const struct caller_server *cs, struct buf *out);

#endif
