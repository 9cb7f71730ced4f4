/* The fold: records, state, snapshots, at growing numbers of VMs. */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "slope.h"
#include "slope_fold.h"
#include "wire.h"

#define BATCH 64 /* VMs in one record */
#define CHANGES 2000 /* single changes measured at each size */
#define PER_RACK 4

static const int sizes[] = {1250, 2500, 5000, 10000, 20000};

#define SIZE_COUNT (sizeof(sizes) / sizeof(sizes[0]))

static void
write_vm(struct wire_writer *w, int i, uint64_t incarnation, uint64_t epoch)
{
	char text[NAME_BYTES];

	wire_map(w, 13);
	snprintf(text, sizeof(text), "worker-%05d", i);
	wire_str(w, "vm", text);
	wire_u64(w, "inc", incarnation);
	wire_u64(w, "ep", epoch);
	wire_u64(w, "st", VM_REPORT_LIVE);
	wire_u64(w, "role", VM_WORKER);
	snprintf(text, sizeof(text), "dc%d", i % SLOPE_DATA_CENTRES);
	wire_str(w, "dc", text);
	snprintf(text, sizeof(text), "rack-%05d", i / PER_RACK);
	wire_str(w, "fd", text);
	snprintf(text, sizeof(text), "pool-%d", i % SLOPE_POOLS);
	wire_str(w, "pool", text);
	snprintf(text, sizeof(text), "10.%d.%d.%d", i >> 16, (i >> 8) & 255,
	    i & 255);
	wire_str(w, "addr", text);
	wire_i64(w, "port", 8080);
	wire_i64(w, "c", 64);
	wire_i64(w, "m", 262144);
	wire_i64(w, "a", i % 5 * 2);
}

void
slope_apply(struct fold *f, unsigned kind, struct wire_writer *w)
{
	uint64_t offset = fold_next(f) > 0 ? fold_next(f) : 1;
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 1, offset},
	    .kind = kind,
	    .time_ms = 1000,
	    .offset = offset};

	r.body = wire_writer_finish(w);
	fold_apply(f, &r);
	record_uninit(&r);
}

void
slope_add_vms(struct fold *f, int vms)
{
	struct wire_writer w;
	int i, n, k;

	for (i = 0; i < vms; i += n) {
		n = vms - i < BATCH ? vms - i : BATCH;
		wire_writer_init(&w);
		wire_map(&w, 1);
		wire_array(&w, "vms", (uint32_t)n);
		for (k = 0; k < n; k++)
			write_vm(&w, i + k, 1, 0);
		slope_apply(f, RECORD_VM, &w);
	}
}

/* Each worker comes back once with a new incarnation. */
static double
change_us(struct fold *f, int vms)
{
	struct wire_writer w;
	const struct vm *v;
	char name[NAME_BYTES];
	double begun = cpu_us();
	int i, k;

	for (i = 0; i < CHANGES; i++) {
		k = (int)((int64_t)i * 7919 % vms);
		snprintf(name, sizeof(name), "worker-%05d", k);
		v = fold_vm(f, name);
		wire_writer_init(&w);
		wire_map(&w, 1);
		wire_array(&w, "vms", 1);
		write_vm(&w, k, 2 + (uint64_t)i, v->epoch);
		slope_apply(f, RECORD_VM, &w);
		if (v->incarnation != 2 + (uint64_t)i)
			errx(1, "%s did not change", name);
	}
	return (cpu_us() - begun) / CHANGES;
}

static void
codec_us(const struct fold *f, double *encode, double *decode, double *bytes)
{
	double begun = cpu_us();
	struct buf *b = fold_encode(f);
	struct fold *copy;

	*encode = cpu_us() - begun;
	begun = cpu_us();
	copy = fold_decode(b->data, b->len, NULL);
	*decode = cpu_us() - begun;
	*bytes = (double)b->len;
	if (copy == NULL)
		errx(1, "the encoded fold can't be decoded");
	fold_free(copy);
	buf_unref(b);
}

void
slopes_fold(const char *dir)
{
	struct slope heap = {"fold.heap_bytes", "VM", "B", {0}, {0}, 0};
	struct slope state = {"fold.state_bytes", "VM", "B", {0}, {0}, 0};
	struct slope load = {"fold.load_us", "VM", "us", {0}, {0}, 0};
	struct slope change = {"fold.change_us", "VM", "us", {0}, {0}, 0};
	struct slope encode = {"fold.encode_us", "VM", "us", {0}, {0}, 0};
	struct slope decode = {"fold.decode_us", "VM", "us", {0}, {0}, 0};
	double before, begun, e, d, b;
	struct fold *f;
	size_t i;

	for (i = 0; i < SIZE_COUNT; i++) {
		before = heap_bytes();
		begun = cpu_us();
		f = fold_new();
		slope_add_vms(f, sizes[i]);
		slope_add(&load, sizes[i], cpu_us() - begun);
		slope_add(&heap, sizes[i], heap_bytes() - before);
		codec_us(f, &e, &d, &b);
		slope_add(&encode, sizes[i], e);
		slope_add(&decode, sizes[i], d);
		slope_add(&state, sizes[i], b);
		slope_add(&change, sizes[i], change_us(f, sizes[i]));
		fold_free(f);
	}
	slope_report(&heap, dir);
	slope_report(&state, dir);
	slope_report(&load, dir);
	slope_report(&change, dir);
	slope_report(&encode, dir);
	slope_report(&decode, dir);
}
