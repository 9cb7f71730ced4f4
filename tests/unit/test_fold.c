/* The fold: texts in parts, unknown records, states that are not whole. */
#include <criterion/criterion.h>

#include "fold.h"
#include "snapshot.h"
#include "wire.h"

#define TEXT                                                                  \
	"{\"deployment\": \"d\", \"data_centres\": [{\"name\": \"dc1\", "     \
	"\"region\": \"r\"}], \"pools\": [{\"name\": \"a\"}], \"services\": " \
	"[{\"name\": \"s\", \"path\": \"/s\", \"pool\": \"a\", "              \
	"\"availability\": 0.5}], \"members\": [{\"name\": \"m\"}]}"

static void
apply(struct fold *f, unsigned kind, uint64_t offset, struct buf *body)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 1, offset},
	    .kind = kind,
	    .offset = offset,
	    .body = body};

	fold_apply(f, &r);
	buf_unref(body);
}

static struct buf *
whole_text(uint64_t base, const char *text)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", base);
	wire_bin(&w, "text", text, strlen(text));
	return wire_writer_finish(&w);
}

static struct buf *
spliced_text(uint64_t base, uint64_t at, uint64_t del, const char *ins)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", base);
	wire_array(&w, "splices", 1);
	wire_map(&w, 3);
	wire_u64(&w, "at", at);
	wire_u64(&w, "del", del);
	wire_bin(&w, "ins", ins, strlen(ins));
	return wire_writer_finish(&w);
}

static struct fold *
fold_with_text(void)
{
	struct fold *f = fold_new();

	apply(f, RECORD_CONFIG, 1, whole_text(0, TEXT));
	cr_assert_eq(fold_config_version(f), 1);
	return f;
}

Test(fold, splices_change_a_part_of_the_base)
{
	struct fold *f = fold_with_text();
	size_t at = (size_t)(strstr(TEXT, "0.5") - TEXT);

	apply(f, RECORD_CONFIG, 2, spliced_text(1, at, 3, "0.75"));
	cr_assert_eq(fold_config_version(f), 2);
	cr_assert_eq(text_service(fold_text(f), "s")->availability_ppm, 750000);
	fold_free(f);
}

Test(fold, splices_past_the_base_or_of_another_base_are_void)
{
	struct fold *f = fold_with_text();
	size_t len = strlen(TEXT);

	apply(f, RECORD_CONFIG, 2, spliced_text(1, len + 1, 0, " "));
	apply(f, RECORD_CONFIG, 3, spliced_text(1, len, 1, " "));
	apply(f, RECORD_CONFIG, 4, spliced_text(1, 0, UINT64_MAX, " "));
	apply(f, RECORD_CONFIG, 5, spliced_text(4, 0, 0, " "));
	cr_assert_eq(fold_config_version(f), 1);
	cr_assert_not(fold_verdict(f, 0)->admitted);
	cr_assert_str_eq(fold_verdict(f, 0)->reason,
	    "based on version 4, but 1 is in force");
	fold_free(f);
}

Test(fold, unknown_records_are_carried_through_a_state)
{
	struct fold *f = fold_with_text(), *g;
	struct buf *state, *again;

	apply(f, 77, 2, spliced_text(9, 9, 9, "what a newer version says"));
	cr_assert_eq(fold_unknown_count(f), 1);
	state = fold_encode(f);
	g = fold_decode(state->data, state->len, NULL);
	cr_assert_not_null(g);
	again = fold_encode(g);
	cr_assert_eq(again->len, state->len);
	cr_assert_eq(memcmp(again->data, state->data, state->len), 0);
	cr_assert_not_null(
	    memmem(again->data, again->len, "a newer version", 15));
	buf_unref(state);
	buf_unref(again);
	fold_free(f);
	fold_free(g);
}

static struct buf *
vm_report(enum vm_report state, uint64_t epoch)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", 1);
	wire_map(&w, 6);
	wire_str(&w, "vm", "vm-1");
	wire_u64(&w, "inc", 1);
	wire_u64(&w, "ep", epoch);
	wire_u64(&w, "st", state);
	wire_str(&w, "dc", "dc1");
	wire_str(&w, "pool", "a");
	return wire_writer_finish(&w);
}

static struct buf *
registration(uint64_t process)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 4);
	wire_u64(&w, "p", process);
	wire_u64(&w, "inc", 1);
	wire_str(&w, "dc", "dc1");
	wire_u64(&w, "st", VM_REPORT_LIVE);
	return wire_writer_finish(&w);
}

static void
apply_at(struct fold *f, uint64_t process, int64_t time_ms, struct buf *body)
{
	uint64_t offset = fold_next(f);
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {process, 1, offset},
	    .kind = RECORD_VM,
	    .time_ms = time_ms,
	    .offset = offset,
	    .body = body};

	fold_apply(f, &r);
	buf_unref(body);
}

Test(fold, a_lost_vm_is_forgotten_after_a_day_of_log_time)
{
	struct fold *f = fold_with_text();

	apply_at(f, 8, 1000, registration(8));
	apply_at(f, 8, 1000, vm_report(VM_REPORT_LIVE, 0));
	apply_at(f, 8, 1000, vm_report(VM_REPORT_EXPIRED, 1));
	cr_assert_not_null(fold_vm(f, "vm-1"), "forgot one that serves");
	apply_at(f, 8, 1000, vm_report(VM_REPORT_GONE, 1));
	apply_at(
	    f, 8, 999 + VM_LOST_RETENTION_MS, vm_report(VM_REPORT_EXPIRED, 2));
	cr_assert_eq(fold_pool(f, "a")->total, 1);
	apply_at(
	    f, 8, 1000 + VM_LOST_RETENTION_MS, vm_report(VM_REPORT_EXPIRED, 2));
	cr_assert_null(fold_vm(f, "vm-1"));
	cr_assert_eq(fold_pool(f, "a")->total, 0);
	fold_free(f);
}

Test(fold, clocks_of_operators_do_not_move_the_logs_time)
{
	struct fold *f = fold_with_text();

	apply_at(f, 8, 1000, registration(8));
	apply_at(f, 9, 1200, registration(9));
	cr_assert_eq(fold_log_ms(f), 1000);
	apply_at(f, 50, INT64_MAX, vm_report(VM_REPORT_LIVE, 0));
	apply_at(f, 51, INT64_MAX, vm_report(VM_REPORT_LIVE, 0));
	apply_at(f, 8, INT64_MAX, vm_report(VM_REPORT_LIVE, 0));
	cr_assert_eq(fold_log_ms(f), 1200);
	fold_free(f);
}

/* Every truncation and a flipped bit anywhere is refused, never a crash. */
Test(snapshot, damaged_states_are_refused)
{
	struct fold *f = fold_with_text(), *g;
	struct snapshot_parts p = {0};
	struct snapshot_head head;
	struct buf *state = fold_encode(f);
	struct err e = {0};
	size_t i;

	snapshot_head_init(&head, f, state);
	for (i = 0; i < state->len; i += 7) {
		cr_assert_eq(snapshot_parts_begin(&p, &head), 0);
		cr_assert(snapshot_parts_add(&p, 0, state->data, i));
		cr_assert_null(snapshot_parts_decode(&p, &e));
		state->data[i] ^= 1;
		cr_assert_eq(snapshot_parts_begin(&p, &head), 0);
		snapshot_parts_add(&p, 0, state->data, state->len);
		cr_assert_null(snapshot_parts_decode(&p, &e));
		cr_assert_str_eq(e.remedy, "wait for the next snapshot");
		g = fold_decode(state->data, state->len, &e);
		fold_free(g);
		g = fold_decode(state->data, i, &e);
		cr_assert_null(g);
		state->data[i] ^= 1;
	}
	snapshot_parts_uninit(&p);
	buf_unref(state);
	fold_free(f);
}
