/*
 * A fold's state in numbered parts, as it travels through the log's snapshot
 * stream and between peers.  Parts may come in any order and more than once;
 * the whole is used only when its checksum fits.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "errors.h"
#include "fold.h"

#define SNAPSHOT_PART_BYTES (192 * 1024)
#define SNAPSHOT_PARTS_MAX 1024

/* What is known of a state before its parts are there. */
struct snapshot_head {
	uint64_t next; /* fold_next() of the state */
	uint64_t hash; /* xxhash of the whole */
	uint64_t len; /* bytes of the whole */
};

struct snapshot_parts {
	struct snapshot_head head;
	uint32_t part_count, received_count;
	struct buf **parts;
};

/* Number of parts of a state of so many bytes; 0 where it is too large. */
uint32_t snapshot_part_count(uint64_t len);
/* -1 where the head makes no sense.  Drops what was there before. */
int snapshot_parts_begin(
    struct snapshot_parts *p, const struct snapshot_head *head);
void snapshot_parts_uninit(struct snapshot_parts *p);
/* True once all parts are there. */
bool snapshot_parts_add(
    struct snapshot_parts *p, uint64_t index, const uint8_t *data, size_t len);
/* Checks and decodes the whole; NULL with "e" filled. */
struct fold *snapshot_parts_decode(
    const struct snapshot_parts *p, struct err *e);

/* Bytes of one part of an encoded state. */
const uint8_t *snapshot_part(
    const struct buf *state, uint32_t index, size_t *len);
void snapshot_head_init(
    struct snapshot_head *head, const struct fold *f, const struct buf *state);

#endif
