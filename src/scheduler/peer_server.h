/*
 * HTTP server for other daemons' requests about pools owned by this one, for
 * metrics and for the state dump.
 */
#ifndef PEER_SERVER_H
#define PEER_SERVER_H

#include "scheduler.h"

struct peer_server;

struct peer_server *peer_server_new(struct scheduler *s, struct err *e);
void peer_server_free(struct peer_server *p);

#endif
