#include "task_batch.h"

void
task_batch_init(struct task_batch *b)
{
	wire_writer_init(&b->writer);
	b->count = 0;
}

void
task_batch_uninit(struct task_batch *b)
{
	msgpack_sbuffer_destroy(&b->writer.buffer);
	b->count = 0;
}

static struct wire_writer *
entry_begin(struct task_batch *b, enum task_op op, uint32_t fields)
{
	b->count++;
	wire_map(&b->writer, fields + 1);
	wire_u64(&b->writer, "op", op);
	return &b->writer;
}

static void
put_size(struct wire_writer *w, const struct task_size *s)
{
	wire_i64(w, "cores", s->cores_milli);
	wire_i64(w, "mem", s->memory_mb);
	wire_i64(w, "acc", s->accelerators);
}

void
task_batch_submit(struct task_batch *b, const struct task_submit *s)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_SUBMIT, 7);

	wire_str(w, "member", s->member);
	wire_str(w, "name", s->name);
	wire_bool(w, "urgent", s->urgent);
	wire_u64(w, "yield", s->yield);
	put_size(w, &s->size);
}

void
task_batch_place(struct task_batch *b, uint64_t task, uint64_t epoch,
    const char *vm, uint64_t incarnation)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_PLACE, 4);

	wire_u64(w, "task", task);
	wire_u64(w, "epoch", epoch);
	wire_str(w, "vm", vm);
	wire_u64(w, "inc", incarnation);
}

void
task_batch_stop(struct task_batch *b, uint64_t task, uint64_t epoch)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_STOP, 2);

	wire_u64(w, "task", task);
	wire_u64(w, "epoch", epoch);
}

void
task_batch_end(struct task_batch *b, uint64_t task, uint64_t epoch,
    enum task_result result)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_END, 3);

	wire_u64(w, "task", task);
	wire_u64(w, "epoch", epoch);
	wire_u64(w, "result", result);
}

void
task_batch_cancel(struct task_batch *b, const struct task_cancel *c)
{
	struct wire_writer *w =
	    entry_begin(b, TASK_OP_CANCEL, c->ids != NULL ? 5 : 4);
	size_t i;

	wire_str(w, "member", c->member);
	wire_str(w, "prefix", c->prefix);
	wire_str(w, "from", c->from);
	wire_str(w, "to", c->to);
	if (c->ids == NULL)
		return;
	wire_array(w, "tasks", (uint32_t)c->id_count);
	for (i = 0; i < c->id_count; i++)
		msgpack_pack_uint64(&w->pk, c->ids[i]);
}

void
task_batch_usage(struct task_batch *b, uint64_t task, uint64_t epoch,
    const struct task_size *size)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_USAGE, 5);

	wire_u64(w, "task", task);
	wire_u64(w, "epoch", epoch);
	put_size(w, size);
}

void
task_batch_throttle(struct task_batch *b, uint64_t task, uint64_t epoch)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_THROTTLE, 3);

	wire_u64(w, "task", task);
	wire_u64(w, "epoch", epoch);
	wire_bool(w, "on", true);
}

void
task_batch_refuse(struct task_batch *b, uint64_t task)
{
	struct wire_writer *w = entry_begin(b, TASK_OP_REFUSE, 1);

	wire_u64(w, "task", task);
}

struct buf *
task_batch_take(struct task_batch *b)
{
	struct wire_writer body;

	wire_writer_init(&body);
	wire_map(&body, 1);
	wire_array(&body, "e", b->count);
	msgpack_sbuffer_write(
	    &body.buffer, b->writer.buffer.data, b->writer.buffer.size);
	msgpack_sbuffer_clear(&b->writer.buffer);
	b->count = 0;
	return wire_writer_finish(&body);
}
