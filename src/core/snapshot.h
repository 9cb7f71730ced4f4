/*
 * Serialised fold state in numbered parts, for the log's snapshot stream and
 * for transfer between peers.  Parts may arrive in any order and more than
 * once; the state is used only if its checksum is correct.
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

/* Describes a state; known before its parts arrive. */
struct snapshot_head {
	uint64_t next; /* fold_next() of the state */
	uint64_t hash; /* xxhash of the encoded state */
	uint64_t len; /* bytes of the encoded state */
};

struct snapshot_parts {
	struct snapshot_head head;
	uint32_t part_count, received_count;
	struct buf **parts;
};

/* Number of parts of a state of "len" bytes; 0 if it is empty or too large. */
uint32_t snapshot_part_count(uint64_t len);
/*
 * Frees earlier parts and prepares for the parts of a new state.  -1 if the
 * length in the head is invalid or memory is short.
 */
int snapshot_parts_begin(
    struct snapshot_parts *p, const struct snapshot_head *head);
void snapshot_parts_uninit(struct snapshot_parts *p);
/* Stores a copy of one part.  True once all parts have been received. */
bool snapshot_parts_add(
    struct snapshot_parts *p, uint64_t index, const uint8_t *data, size_t len);
/* Checks and decodes a complete state; on failure, NULL with "e" set. */
struct fold *snapshot_parts_decode(
    const struct snapshot_parts *p, struct err *e);

/* Data and length of one part of an encoded state, which stays the owner. */
const uint8_t *snapshot_part(
    const struct buf *state, uint32_t index, size_t *len);
void snapshot_head_init(
    struct snapshot_head *head, const struct fold *f, const struct buf *state);

#endif
