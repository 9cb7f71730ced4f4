/* The platform's machine service: machine list, moves and maintenance. */
#ifndef MACHINE_WIRE_H
#define MACHINE_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "roster.h"

#define MACHINE_PATH_MOVE "/machine-move"
#define MACHINE_PATH_MAINTENANCE "/machine-upkeep"
/* Headers of commands: name of the controller and its fencing token. */
#define MACHINE_HEADER_HOLDER "Mimosalead-Lease-Holder"
#define MACHINE_HEADER_FENCE "Mimosalead-Fencing-Token"

/*
 * "page_token" comes from the previous page; NULL for the first page.  NULL
 * when memory is short; free() the path.
 */
char *machine_list_path(const char *page_token);

struct machine_list {
	struct machine_report *machines;
	size_t count;
	size_t malformed_count; /* rows that were left out */
	char *next_page_token; /* of any length; NULL: last page */
};

/* Appends a page; -1 when it is malformed or memory is short. */
int machine_list_add_page(struct machine_list *l, const void *data, size_t len);
void machine_list_uninit(struct machine_list *l);

/* JSON bodies of commands; NULL when memory is short. */
struct buf *machine_move_body(const char *machine, const char *pool);
struct buf *machine_maintenance_body(const char *machine, int64_t wave_number);
/* Interprets the response to a command. */
enum roster_command_result machine_command_result(
    int status, const void *body, size_t len);

/* Record with which operators follow a wave. */
void wave_status_key(char *out, size_t size, int64_t wave_number);
struct buf *wave_status_body(bool completed);

#endif
