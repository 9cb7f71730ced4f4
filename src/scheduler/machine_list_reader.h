/* Reads the platform's list of machines, page by page to its end. */
#ifndef MACHINE_LIST_READER_H
#define MACHINE_LIST_READER_H

#include "machine_wire.h"
#include "scheduler.h"

struct machine_list_reader;

/*
 * Called exactly once unless the reader is cancelled, and never from within
 * machine_list_reader_start().  "list" is NULL where a page could not be read;
 * otherwise it belongs to the reader and is valid during the call.
 */
typedef void machine_list_fn(void *arg, const struct machine_list *list);

/*
 * Returns NULL when memory is short, or where the deployment has no machine
 * service.  The reader frees itself after "on_end".
 */
struct machine_list_reader *machine_list_reader_start(
    struct scheduler *s, machine_list_fn *on_end, void *arg);
/* Frees the reader without a call of "on_end".  Accepts NULL. */
void machine_list_reader_cancel(struct machine_list_reader *r);

#endif
