/* Binary heap of indices into arrays of the caller. */
#ifndef JOBS_INDEX_HEAP_H
#define JOBS_INDEX_HEAP_H

#include <stdbool.h>
#include <stddef.h>

struct index_heap {
	size_t *items; /* first one first; large enough, by the caller */
	/* Of each index, from 1; 0: it is not in the heap.  May be NULL. */
	size_t *positions;
	size_t count;
};

/* Index "a" comes before "b". */
typedef bool (*index_before_fn)(const void *arg, size_t a, size_t b);

void index_heap_push(
    const void *arg, struct index_heap *h, size_t item, index_before_fn before);
void index_heap_remove(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before);
/* The item may come earlier than it did; returns where it is now. */
size_t index_heap_up(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before);
/* The item may come later than it did. */
void index_heap_down(
    const void *arg, struct index_heap *h, size_t at, index_before_fn before);

#endif
