/*
 * Client of the platform: long polls of the log's streams, appends, polls of
 * the VM list and of usage, operations on VMs and tasks. See platform.h for the
 * format of its requests.
 */
#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include "buf.h"
#include "errors.h"
#include "shell.h"

/*
 * Starts to read the control and claims streams from offset 0, and to poll the
 * lists.
 */
struct platform_client *platform_client_new(struct shell *sh, struct err *e);
/* Cancels all calls in flight. */
void platform_client_free(struct platform_client *pc);
void platform_client_read(
    struct platform_client *pc, enum stream s, uint64_t from);
void platform_client_append(struct platform_client *pc, const struct effect *x);
void platform_client_operate(
    struct platform_client *pc, const struct effect *x);
void platform_client_metrics(const struct platform_client *pc, struct buf *out);

#endif
