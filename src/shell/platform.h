/*
 * Encodes requests to the platform and decodes its answers. platform.c is the
 * only file that depends on the platform's format; it does no I/O.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "effect.h"
#include "errors.h"
#include "event.h"
#include "fold_tasks.h"
#include "record.h"

#define PLATFORM_PATH_BYTES 320

struct platform_call {
	const char *method;
	char path[PLATFORM_PATH_BYTES];
	struct buf *body; /* may be NULL */
};

/* Encode a request. All return -1 if memory is short or a name is not valid. */
int platform_read_call(struct platform_call *c, enum stream s, uint64_t from,
    int limit, int wait_ms);
int platform_append_call(
    struct platform_call *c, enum stream s, const struct buf *record);
int platform_vms_call(
    struct platform_call *c, const char *data_centre, uint64_t since);
int platform_usage_call(
    struct platform_call *c, const char *data_centre, uint64_t since);
/* "size" is the size of the task for PLATFORM_TASK_START; may be NULL. */
int platform_operate_call(struct platform_call *c, const struct effect *x,
    const struct task_size *size);
void platform_call_uninit(struct platform_call *c);

enum platform_status {
	PLATFORM_OK,
	PLATFORM_NOT_DONE, /* refused; nothing was changed */
	PLATFORM_GAP, /* read below the first retained offset */
	PLATFORM_OUTCOME_UNKNOWN /* the change may have been made */
};
enum platform_status platform_status(int http_status);

struct platform_batch {
	struct record *records;
	size_t count;
	size_t malformed_count; /* records that could not be decoded */
	uint64_t first_retained_offset, next_offset, tail_offset;
};

/* Each fills its struct, or returns -1 with "e" filled and nothing to free. */
int platform_parse_batch(
    struct platform_batch *b, const void *data, size_t len, struct err *e);
void platform_batch_uninit(struct platform_batch *b);
int platform_parse_gap(uint64_t *first, uint64_t *tail, const void *data,
    size_t len, struct err *e);
int platform_parse_append(
    uint64_t *offset, const void *data, size_t len, struct err *e);

struct platform_vms {
	uint64_t revision;
	bool full_list;
	struct vm_list_entry *list;
	size_t count;
	size_t malformed_count; /* skipped entries */
};
int platform_parse_vms(
    struct platform_vms *v, const void *data, size_t len, struct err *e);
void platform_vms_uninit(struct platform_vms *v);

struct platform_usage {
	uint64_t revision;
	struct usage_entry *list;
	size_t count;
	size_t malformed_count;
};
int platform_parse_usage(
    struct platform_usage *u, const void *data, size_t len, struct err *e);
void platform_usage_uninit(struct platform_usage *u);

#endif
