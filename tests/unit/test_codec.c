/* Round trips of log records and peer frames, and refusal of bad bytes. */
#include <criterion/criterion.h>

#include "frame.h"
#include "bounds.h"
#include "record.h"
#include "wire.h"

static struct buf *
sample_body(void)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_str(&w, "vm", "vm-1");
	return wire_writer_finish(&w);
}

Test(record, round_trip)
{
	struct record in = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 2, 3},
	    .kind = RECORD_VM,
	    .time_ms = 4,
	    .body = sample_body()};
	struct record out;
	struct buf *bytes = record_encode(&in);
	struct err e = {0};

	cr_assert_eq(record_decode(&out, bytes->data, bytes->len, &e), 0);
	cr_assert_eq(out.id.seq, 3);
	cr_assert_eq(out.kind, RECORD_VM);
	cr_assert_eq(out.time_ms, 4);
	cr_assert_eq(out.body->len, in.body->len);
	record_uninit(&out);
	record_uninit(&in);
	buf_unref(bytes);
}

Test(record, newer_format_is_refused_with_remedy)
{
	struct record in = {.format = RECORD_FORMAT_VERSION + 1,
	    .id = {1, 2, 3},
	    .kind = RECORD_VM,
	    .body = sample_body()};
	struct record out;
	struct buf *bytes = record_encode(&in);
	struct err e = {0};

	cr_assert_eq(record_decode(&out, bytes->data, bytes->len, &e), -1);
	cr_assert_eq(e.kind, ERR_VERSION);
	cr_assert_str_eq(e.remedy, "upgrade this daemon");
	record_uninit(&in);
	buf_unref(bytes);
}

Test(frame, round_trip_and_every_truncation_is_refused)
{
	struct frame in = {.kind = FRAME_PING,
	    .source = 7,
	    .incarnation = 8,
	    .request_id = 9,
	    .payload = sample_body()};
	struct frame out;
	struct buf *bytes = frame_encode(&in);
	struct err e = {0};
	size_t n;

	for (n = 0; n < bytes->len - FRAME_LENGTH_BYTES; n++)
		cr_assert_eq(
		    frame_decode(&out, bytes->data + FRAME_LENGTH_BYTES, n, &e),
		    -1);
	cr_assert_eq(
	    frame_decode(&out, bytes->data + FRAME_LENGTH_BYTES, n, &e), 0);
	cr_assert_eq(out.request_id, 9);
	frame_uninit(&out);
	frame_uninit(&in);
	buf_unref(bytes);
}
