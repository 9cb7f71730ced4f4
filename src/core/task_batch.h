/* Writes the entries of one RECORD_TASK; see enum task_op. */
#ifndef TASK_BATCH_H
#define TASK_BATCH_H

#include <stdint.h>

#include "fold_tasks.h"
#include "wire.h"

/* A task as its member asks for it. */
struct task_submit {
	char member[NAME_BYTES];
	char name[NAME_BYTES]; /* unique for the member: a repeat is dropped */
	bool urgent;
	enum task_yield yield;
	struct task_size size;
};

/* Tasks to cancel: every criterion that is given must hold. */
struct task_cancel {
	char member[NAME_BYTES]; /* "" any */
	char prefix[NAME_BYTES]; /* of the name; "" any */
	char from[NAME_BYTES], to[NAME_BYTES]; /* range of names; "" open */
	const uint64_t *ids; /* NULL any */
	size_t id_count;
};

struct task_batch {
	struct wire_writer writer;
	uint32_t count;
};

void task_batch_init(struct task_batch *b);
void task_batch_uninit(struct task_batch *b);
void task_batch_submit(struct task_batch *b, const struct task_submit *s);
void task_batch_place(struct task_batch *b, uint64_t task, uint64_t epoch,
    const char *vm, uint64_t incarnation);
void task_batch_stop(struct task_batch *b, uint64_t task, uint64_t epoch);
void task_batch_end(struct task_batch *b, uint64_t task, uint64_t epoch,
    enum task_result result);
void task_batch_cancel(struct task_batch *b, const struct task_cancel *c);
void task_batch_usage(struct task_batch *b, uint64_t task, uint64_t epoch,
    const struct task_size *size);
void task_batch_throttle(struct task_batch *b, uint64_t task, uint64_t epoch);
void task_batch_refuse(struct task_batch *b, uint64_t task);
/* The record's body with all entries so far; the batch is empty again. */
struct buf *task_batch_take(struct task_batch *b);

#endif
