/* Encodes the entries of a RECORD_TASK; see enum task_op. */
#ifndef TASK_BATCH_H
#define TASK_BATCH_H

#include <stdint.h>

#include "fold_tasks.h"
#include "wire.h"

/* A member's task submission. */
struct task_submit {
	char member[NAME_BYTES];
	char name[NAME_BYTES]; /* unique per member; repeats are dropped */
	bool urgent;
	enum task_yield yield;
	struct task_size size;
};

/* Tasks to cancel: a task must meet every criterion that is set. */
struct task_cancel {
	char member[NAME_BYTES]; /* "": any member */
	char prefix[NAME_BYTES]; /* of the task's name; "": any name */
	/* Inclusive range of names; "": no bound. */
	char from[NAME_BYTES], to[NAME_BYTES];
	const uint64_t *ids; /* NULL: any task */
	size_t id_count;
};

struct task_batch {
	struct wire_writer writer; /* msgpack maps, one per entry */
	uint32_t count;
};

void task_batch_init(struct task_batch *b);
void task_batch_uninit(struct task_batch *b);
/* Each of these appends one entry. */
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
/* Returns the record's body and empties the batch; the caller owns it. */
struct buf *task_batch_take(struct task_batch *b);

#endif
