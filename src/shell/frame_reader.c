#include "frame_reader.h"

#include <string.h>

#include "bounds.h"

void
frame_reader_init(struct frame_reader *fr)
{
	memset(fr, 0, sizeof(*fr));
}

void
frame_reader_uninit(struct frame_reader *fr)
{
	buf_unref(fr->body);
	memset(fr, 0, sizeof(*fr));
}

static size_t
min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

/* Reads the length prefix, or the part of it that has arrived. */
static int
read_prefix(
    struct frame_reader *fr, const uint8_t **p, size_t *left, struct err *e)
{
	size_t n = min_size(FRAME_LENGTH_BYTES - fr->prefix_len, *left);

	memcpy(fr->prefix + fr->prefix_len, *p, n);
	fr->prefix_len += n;
	*p += n;
	*left -= n;
	if (fr->prefix_len < FRAME_LENGTH_BYTES)
		return 0;
	fr->body_len = (size_t)fr->prefix[0] << 24 |
	    (size_t)fr->prefix[1] << 16 | (size_t)fr->prefix[2] << 8 |
	    (size_t)fr->prefix[3];
	if (fr->body_len == 0 || fr->body_len > FRAME_MAX_BYTES)
		return err_set(e, ERR_LIMIT, 0,
		    "check that only mimosalead daemons use the peer port",
		    "peer frame of %zu bytes, must be 1 to %d", fr->body_len,
		    FRAME_MAX_BYTES);
	return 0;
}

static int
read_body(
    struct frame_reader *fr, const uint8_t **p, size_t *left, struct err *e)
{
	size_t n;

	if (fr->body == NULL)
		fr->body = buf_new(min_size(fr->body_len, *left + 1));
	if (fr->body == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for a peer frame");
	n = min_size(fr->body_len - fr->body->len, *left);
	if (buf_append(fr->body, *p, n) == -1)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for a peer frame of %zu bytes", fr->body_len);
	*p += n;
	*left -= n;
	return 0;
}

static int
deliver_frame(struct frame_reader *fr,
    int (*on_frame)(void *arg, const struct frame *f), void *arg, struct err *e)
{
	struct frame f;
	int ret;

	if (frame_decode(&f, fr->body->data, fr->body->len, e) == -1)
		return -1;
	frame_reader_uninit(fr);
	ret = on_frame(arg, &f) == 0 ? 0 : -1;
	frame_uninit(&f);
	return ret;
}

int
frame_reader_feed(struct frame_reader *fr, const void *data, size_t len,
    int (*on_frame)(void *arg, const struct frame *f), void *arg, struct err *e)
{
	const uint8_t *p = data;
	size_t left = len;

	while (left > 0) {
		if (fr->prefix_len < FRAME_LENGTH_BYTES) {
			if (read_prefix(fr, &p, &left, e) == -1)
				return -1;
			continue;
		}
		if (read_body(fr, &p, &left, e) == -1)
			return -1;
		if (fr->body->len == fr->body_len &&
		    deliver_frame(fr, on_frame, arg, e) == -1)
			return -1;
	}
	return 0;
}
