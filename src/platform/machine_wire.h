/* The platform's service for machines: its list, moves and upkeep. */
#ifndef MACHINE_WIRE_H
#define MACHINE_WIRE_H

#include <stddef.h>

#include "buf.h"
#include "roster.h"

#define MACHINE_PATH_BYTES 256
#define MACHINE_PATH_MOVE "/machine-move"
#define MACHINE_PATH_MAINTENANCE "/machine-upkeep"
/* Headers of orders: who gives them, under which fence. */
#define MACHINE_HEADER_HOLDER "Mimosalead-Lease-Holder"
#define MACHINE_HEADER_FENCE "Mimosalead-Fencing-Token"

/* "page" is what the page before has said; "" the first. */
void machine_list_path(char out[MACHINE_PATH_BYTES], const char *page);

struct machine_list {
	struct machine_report *machines;
	size_t count;
	size_t malformed_count; /* rows that could not be read */
	char next_page_token[MACHINE_PATH_BYTES /
	    2]; /* page that follows; "" none */
};

/* Appends a page to the list; -1 where it cannot be read. */
int machine_list_add_page(struct machine_list *l, const void *data, size_t len);
void machine_list_uninit(struct machine_list *l);

/* JSON bodies; NULL when memory is short. */
struct buf *machine_move_body(const char *machine, const char *pool);
struct buf *machine_maintenance_body(const char *machine, int64_t wave);
enum roster_command_result machine_command_result(
    int status, const void *body, size_t len);

/* Record that tells operators how far a wave is. */
void wave_status_key(char *out, size_t size, int64_t wave);
struct buf *wave_status_body(bool completed);

#endif
