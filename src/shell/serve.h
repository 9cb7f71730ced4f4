/*
 * The daemon: one libwebsockets event loop on one thread around core_step().
 * Owns all sockets and timers and carries out the reducer's effects.
 */
#ifndef SERVE_H
#define SERVE_H

#include "errors.h"
#include "settings.h"

/* Returns 0 after a planned stop, -1 with "e" filled if the start failed. */
int serve_run(const struct settings *s, struct err *e);

#endif
