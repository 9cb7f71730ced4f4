/*
 * Reassembles peer frames from a byte stream: a 4-byte big-endian length, then
 * a body of that many bytes. Memory is bounded by FRAME_MAX_BYTES and grows
 * with the bytes received, not with the announced length.
 */
#ifndef FRAME_READER_H
#define FRAME_READER_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "errors.h"
#include "frame.h"

struct frame_reader {
	uint8_t prefix[FRAME_LENGTH_BYTES];
	size_t prefix_len;
	size_t body_len; /* as announced; valid once the prefix is complete */
	struct buf *body;
};

void frame_reader_init(struct frame_reader *fr);
void frame_reader_uninit(struct frame_reader *fr);
/*
 * Takes bytes in portions of any size and calls on_frame for each complete
 * frame. Returns -1 with "e" filled on a malformed or oversized frame, or with
 * "e" unchanged if on_frame returned nonzero. The stream cannot be used after
 * that.
 */
int frame_reader_feed(struct frame_reader *fr, const void *data, size_t len,
    int (*on_frame)(void *arg, const struct frame *f), void *arg,
    struct err *e);

#endif
