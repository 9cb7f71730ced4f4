#include "index_heap.h"

static void
heap_set(struct index_heap *h, size_t at, size_t item)
{
	h->items[at] = item;
	if (h->positions != NULL)
		h->positions[item] = at + 1;
}

size_t
index_heap_up(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before)
{
	size_t item = h->items[at], parent;

	while (at > 0) {
		parent = (at - 1) / 2;
		if (!before(arg, item, h->items[parent]))
			break;
		heap_set(h, at, h->items[parent]);
		at = parent;
	}
	heap_set(h, at, item);
	return at;
}

void
index_heap_down(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before)
{
	size_t item = h->items[at], child;

	while ((child = 2 * at + 1) < h->count) {
		if (child + 1 < h->count &&
		    before(arg, h->items[child + 1], h->items[child]))
			child++;
		if (!before(arg, h->items[child], item))
			break;
		heap_set(h, at, h->items[child]);
		at = child;
	}
	heap_set(h, at, item);
}

void
index_heap_push(
    const void *arg, struct index_heap *h, size_t item, index_before_fn before)
{
	heap_set(h, h->count++, item);
	index_heap_up(arg, h, h->count - 1, before);
}

void
index_heap_remove(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before)
{
	size_t last = h->items[--h->count];

	if (h->positions != NULL)
		h->positions[h->items[at]] = 0;
	if (at == h->count)
		return;
	heap_set(h, at, last);
	if (index_heap_up(arg, h, at, before) == at)
		index_heap_down(arg, h, at, before);
}
