/*
 * Operators' HTTP server: health, metrics, status, state dump, plan, text and
 * tasks.
 */
#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include "errors.h"
#include "shell.h"

struct admin_server *admin_server_new(struct shell *sh, struct err *e);
void admin_server_free(struct admin_server *as);
/* Number of connections with a request or an answer in progress. */
size_t admin_server_busy_count(const struct admin_server *as);

#endif
