/* Sizes of single records, as the log holds them. */
#include <stdio.h>
#include <string.h>

#include "record.h"
#include "slope.h"
#include "task_batch.h"
#include "wire.h"

static void
report(const char *name, unsigned kind, struct buf *body)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {UINT64_MAX, UINT64_MAX, 1},
	    .kind = kind,
	    .time_ms = INT64_C(1800000000000),
	    .body = body};
	struct buf *b = record_encode(&r);

	printf("slopes.record.%s %zu B\n", name, b->len);
	buf_unref(b);
	buf_unref(body);
}

static struct buf *
config_body(void)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", 1000000);
	wire_array(&w, "splices", 1);
	wire_map(&w, 3);
	wire_u64(&w, "at", 40000);
	wire_u64(&w, "del", 20);
	wire_bin(&w, "ins", "\"availability\": 0.85", 20);
	return wire_writer_finish(&w);
}

static struct buf *
vm_body(bool live)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", 1);
	wire_map(&w, live ? 13 : 4);
	wire_str(&w, "vm", "worker-01234");
	wire_u64(&w, "inc", UINT64_C(1) << 60);
	wire_u64(&w, "ep", 12);
	wire_u64(&w, "st", 0);
	if (!live)
		return wire_writer_finish(&w);
	wire_u64(&w, "role", 0);
	wire_str(&w, "dc", "queretaro-2");
	wire_str(&w, "fd", "rack-01234");
	wire_str(&w, "pool", "reconciliation");
	wire_str(&w, "addr", "10.100.100.100");
	wire_i64(&w, "port", 8080);
	wire_i64(&w, "c", 64);
	wire_i64(&w, "m", 262144);
	wire_i64(&w, "a", 4);
	return wire_writer_finish(&w);
}

static struct buf *
task_body(int op)
{
	struct task_submit s = {.member = "academia-bella",
	    .name = "sorting-2026-12-04-000123",
	    .size = {4000, 16384, 1}};
	uint64_t id = task_id(s.member, s.name);
	struct task_batch b;
	struct buf *body;

	task_batch_init(&b);
	if (op == TASK_OP_SUBMIT)
		task_batch_submit(&b, &s);
	else if (op == TASK_OP_PLACE)
		task_batch_place(&b, id, 1, "worker-01234", UINT64_C(1) << 60);
	else
		task_batch_end(&b, id, 2, TASK_RESULT_DONE);
	body = task_batch_take(&b);
	task_batch_uninit(&b);
	return body;
}

void
slopes_records(void)
{
	report("config_splice", RECORD_CONFIG, config_body());
	report("vm_live", RECORD_VM, vm_body(true));
	report("vm_gone", RECORD_VM, vm_body(false));
	report("task_submit", RECORD_TASK, task_body(TASK_OP_SUBMIT));
	report("task_place", RECORD_TASK, task_body(TASK_OP_PLACE));
	report("task_end", RECORD_TASK, task_body(TASK_OP_END));
}
