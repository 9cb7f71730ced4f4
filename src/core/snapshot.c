#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

uint32_t
snapshot_part_count(uint64_t len)
{
	uint64_t n = (len + SNAPSHOT_PART_BYTES - 1) / SNAPSHOT_PART_BYTES;

	return n <= SNAPSHOT_PARTS_MAX ? (uint32_t)n : 0;
}

void
snapshot_parts_uninit(struct snapshot_parts *p)
{
	uint32_t i;

	for (i = 0; i < p->part_count; i++)
		buf_unref(p->parts[i]);
	free(p->parts);
	memset(p, 0, sizeof(*p));
}

int
snapshot_parts_begin(struct snapshot_parts *p, const struct snapshot_head *head)
{
	uint32_t count = snapshot_part_count(head->len);

	snapshot_parts_uninit(p);
	if (count == 0)
		return -1;
	p->parts = calloc(count, sizeof(struct buf *));
	if (p->parts == NULL)
		return -1;
	p->head = *head;
	p->part_count = count;
	return 0;
}

bool
snapshot_parts_add(
    struct snapshot_parts *p, uint64_t index, const uint8_t *data, size_t len)
{
	if (index >= p->part_count || len > SNAPSHOT_PART_BYTES)
		return false;
	if (p->parts[index] == NULL) {
		p->parts[index] = buf_from(data, len);
		p->received_count += p->parts[index] != NULL;
	}
	return p->received_count == p->part_count;
}

static struct buf *
snapshot_parts_join(const struct snapshot_parts *p)
{
	struct buf *state = buf_new(p->head.len);
	uint32_t i;

	for (i = 0; state != NULL && i < p->part_count; i++)
		buf_append(state, p->parts[i]->data, p->parts[i]->len);
	return state;
}

struct fold *
snapshot_parts_decode(const struct snapshot_parts *p, struct err *e)
{
	struct buf *state = snapshot_parts_join(p);
	struct fold *f = NULL;

	if (state == NULL)
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "cannot allocate a fold state of %llu bytes",
		    (unsigned long long)p->head.len);
	else if (state->len != p->head.len ||
	    XXH64(state->data, state->len, 0) != p->head.hash)
		err_set(e, ERR_PROTOCOL, 0, "wait for the next snapshot",
		    "fold state of %zu bytes has a wrong length or checksum",
		    state->len);
	else
		f = fold_decode(state->data, state->len, e);
	buf_unref(state);
	return f;
}

const uint8_t *
snapshot_part(const struct buf *state, uint32_t index, size_t *len)
{
	size_t offset = (size_t)index * SNAPSHOT_PART_BYTES;

	*len = state->len - offset < SNAPSHOT_PART_BYTES ? state->len - offset
							 : SNAPSHOT_PART_BYTES;
	return state->data + offset;
}

void
snapshot_head_init(
    struct snapshot_head *head, const struct fold *f, const struct buf *state)
{
	head->next = fold_next(f);
	head->hash = XXH64(state->data, state->len, 0);
	head->len = state->len;
}
