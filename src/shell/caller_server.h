/*
 * Callers' HTTP/1.1 server: turns requests into events and effects into
 * answers.
 */
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
 * For a planned stop: from now on each answer closes its connection. Requests
 * are then refused with not-run. After caller_server_stop_listening() new
 * connections are refused as well.
 */
void caller_server_close_after_answers(struct caller_server *cs);
void caller_server_stop_listening(struct caller_server *cs);
/* See http_listener_check_disconnected(). */
void caller_server_check_disconnected(struct caller_server *cs, bool all);
/* Number of connections with a request or an answer in progress. */
size_t caller_server_busy_count(const struct caller_server *cs);
void caller_server_metrics(const struct caller_server *cs, struct buf *out);

#endif
