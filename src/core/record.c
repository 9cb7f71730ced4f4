#include "record.h"

#include <string.h>

#include "bounds.h"
#include "wire.h"

const char *
stream_name(enum stream s)
{
	switch (s) {
	case STREAM_CONTROL:
		return "control";
	case STREAM_CLAIMS:
		return "claims";
	case STREAM_SNAPSHOT:
		return "snapshot";
	case STREAM_COUNT:
		break;
	}
	return "none";
}

struct buf *
record_encode(const struct record *r)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 7);
	wire_u64(&w, "f", (uint64_t)r->format);
	wire_u64(&w, "p", r->id.process);
	wire_u64(&w, "i", r->id.incarnation);
	wire_u64(&w, "s", r->id.seq);
	wire_u64(&w, "k", r->kind);
	wire_i64(&w, "t", r->time_ms);
	wire_bin(&w, "b", r->body->data, r->body->len);
	return wire_writer_finish(&w);
}

static int
record_set_error(struct err *e, const char *what)
{
	return err_set(e, ERR_PROTOCOL, 0,
	    "check that only mimosalead appends to this stream",
	    "log record: %s", what);
}

static int
record_decode_map(struct record *r, const msgpack_object *map, struct err *e)
{
	const uint8_t *body;
	uint64_t format, kind;
	size_t len;

	if (!wire_get_u64(map, "f", &format))
		return record_set_error(e, "field f (format) is missing");
	if (format > RECORD_FORMAT_VERSION)
		return err_set(e, ERR_VERSION, 0, "upgrade this daemon",
		    "log record: format %llu, this binary reads up to %d",
		    (unsigned long long)format, RECORD_FORMAT_VERSION);
	if (!wire_get_u64(map, "p", &r->id.process) ||
	    !wire_get_u64(map, "i", &r->id.incarnation) ||
	    !wire_get_u64(map, "s", &r->id.seq))
		return record_set_error(e, "field p, i or s (id) is missing");
	if (!wire_get_u64(map, "k", &kind) || kind > UINT16_MAX)
		return record_set_error(
		    e, "field k (kind) is missing or too large");
	if (!wire_get_i64(map, "t", &r->time_ms))
		return record_set_error(e, "field t (time) is missing");
	if (!wire_get_bin(map, "b", &body, &len))
		return record_set_error(e, "field b (body) is missing");
	r->format = (int)format;
	r->kind = (unsigned)kind;
	r->body = buf_from(body, len);
	if (r->body == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "cannot allocate a record body of %zu bytes", len);
	return 0;
}

int
record_decode(struct record *r, const void *data, size_t len, struct err *e)
{
	struct wire_reader rd;
	int ret;

	memset(r, 0, sizeof(*r));
	if (len > RECORD_MAX_BYTES)
		return err_set(e, ERR_LIMIT, 0, "split the record",
		    "log record of %zu bytes exceeds the limit of %d bytes",
		    len, RECORD_MAX_BYTES);
	if (wire_reader_init(&rd, data, len, e) == -1)
		return -1;
	ret = record_decode_map(r, rd.root, e);
	wire_reader_uninit(&rd);
	return ret;
}

void
record_uninit(struct record *r)
{
	buf_unref(r->body);
	r->body = NULL;
}
