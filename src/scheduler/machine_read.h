/* Reads the platform's whole list of machines, page by page. */
#ifndef MACHINE_READ_H
#define MACHINE_READ_H

#include "machine_wire.h"
#include "scheduler.h"

struct machine_read;

/*
 * Calls back once unless cancelled, never from within machine_read_start();
 * "list" is NULL where a page could not be read, and the reader's otherwise.
 */
typedef void machine_read_fn(void *arg, const struct machine_list *list);

/* NULL when memory is short, or where the deployment has no such service. */
struct machine_read *machine_read_start(
    struct scheduler *s, machine_read_fn *on_end, void *arg);
void machine_read_cancel(struct machine_read *r);

#endif
