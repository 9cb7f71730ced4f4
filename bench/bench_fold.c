/*
 * fold.ns_per_record: records of one VM each, folded into a state of 20,000
 * workers; also what a text and the state as bytes cost.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "bounds.h"
#include "control_bench.h"
#include "fold.h"
#include "wire.h"

#define WORKERS 20000
#define RECORDS 100000
#define TEXTS 200

static double
now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct buf *
vm_body(unsigned i, uint64_t epoch, int port)
{
	struct wire_writer w;
	char vm[NAME_BYTES], domain[NAME_BYTES];

	snprintf(vm, sizeof(vm), "worker-%u", i);
	snprintf(domain, sizeof(domain), "rack-%u", i / 4);
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", 1);
	wire_map(&w, 13);
	wire_str(&w, "vm", vm);
	wire_u64(&w, "inc", 1 + i);
	wire_u64(&w, "ep", epoch);
	wire_u64(&w, "st", VM_REPORT_LIVE);
	wire_u64(&w, "role", VM_WORKER);
	wire_str(&w, "dc", "dc1");
	wire_str(&w, "fd", domain);
	wire_str(&w, "pool", i % 2 == 0 ? "a" : "b");
	wire_str(&w, "addr", "10.0.0.1");
	wire_i64(&w, "port", port);
	wire_i64(&w, "c", 64);
	wire_i64(&w, "m", 262144);
	wire_i64(&w, "a", 2);
	return wire_writer_finish(&w);
}

static struct buf *
text_body(uint64_t base)
{
	const char *text = bench_text(NULL);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", base);
	wire_bin(&w, "text", text, strlen(text));
	return wire_writer_finish(&w);
}

static void
apply(struct fold *f, unsigned kind, uint64_t offset, struct buf *body)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 1, offset},
	    .kind = kind,
	    .time_ms = (int64_t)offset,
	    .offset = offset,
	    .body = body};

	fold_apply(f, &r);
	buf_unref(body);
}

static void
bench_records(struct fold *f, uint64_t *offset)
{
	static struct buf *bodies[RECORDS];
	double start;
	unsigned i;

	for (i = 0; i < RECORDS; i++)
		bodies[i] = vm_body(
		    i % WORKERS, 1 + i / WORKERS, (int)(81 + i / WORKERS));
	start = now_s();
	for (i = 0; i < RECORDS; i++)
		apply(f, RECORD_VM, (*offset)++, bodies[i]);
	printf(
	    "fold.ns_per_record %.0f ns\n", (now_s() - start) * 1e9 / RECORDS);
}

static void
bench_texts(struct fold *f, uint64_t *offset)
{
	double start = now_s();
	unsigned i;

	for (i = 0; i < TEXTS; i++)
		apply(f, RECORD_CONFIG, (*offset)++,
		    text_body(fold_config_version(f)));
	printf("fold.us_per_text %.1f us\n", (now_s() - start) * 1e6 / TEXTS);
}

static void
bench_state(struct fold *f)
{
	struct buf *state;
	struct fold *copy;
	double start = now_s();

	state = fold_encode(f);
	printf("fold.encode_ms %.1f ms\n", (now_s() - start) * 1e3);
	printf(
	    "fold.state_bytes_per_vm %.0f B\n", (double)state->len / WORKERS);
	start = now_s();
	copy = fold_decode(state->data, state->len, NULL);
	printf("fold.decode_ms %.1f ms\n", (now_s() - start) * 1e3);
	fold_free(copy);
	buf_unref(state);
}

int
main(void)
{
	struct fold *f = fold_new();
	uint64_t offset = 1;
	unsigned i;

	for (i = 0; i < WORKERS; i++)
		apply(f, RECORD_VM, offset++, vm_body(i, 0, 80));
	bench_records(f, &offset);
	bench_texts(f, &offset);
	bench_state(f);
	fold_free(f);
	return 0;
}
