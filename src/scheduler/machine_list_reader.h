/* Reads the platform's whole list of machines, page by page. */
#ifndef MACHINE_LIST_READER_H
#define MACHINE_LIST_READER_H

#include "machine_wire.h"
#include "scheduler.h"

struct machine_list_reader;

/*
 * Calls back once unless cancelled, never from within
 * machine_list_reader_start(); "list" is NULL where a page could not be read,
 * and the reader's otherwise.
 */
typedef void machine_list_fn(void *arg, const struct machine_list *list);

/* NULL when memory is short, or where the deployment has no such service. */
struct machine_list_reader *machine_list_reader_start(
    struct scheduler *s, machine_list_fn *on_end, void *arg);
void machine_list_reader_cancel(struct machine_list_reader *r);

#endif
