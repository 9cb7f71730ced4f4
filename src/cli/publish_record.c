#include "publish.h"

#include <string.h>

#include "bounds.h"
#include "clock.h"
#include "wire.h"

/* a change is sent instead of the text if it is this many times smaller */
#define SPLICE_MIN_RATIO 4

struct publish_splice
publish_diff(const char *base, size_t base_len, const char *text, size_t len)
{
	size_t shorter = base_len < len ? base_len : len;
	size_t head = 0, tail = 0;

	while (head < shorter && base[head] == text[head])
		head++;
	while (tail < shorter - head &&
	    base[base_len - tail - 1] == text[len - tail - 1])
		tail++;
	return (struct publish_splice){
	    head, base_len - head - tail, text + head, len - head - tail};
}

static struct buf *
encode_body(uint64_t base, const char *base_text, const struct text *t)
{
	struct publish_splice s = {0};
	struct wire_writer w;
	bool splice = false;

	if (base_text != NULL) {
		s = publish_diff(
		    base_text, strlen(base_text), t->source, t->source_len);
		splice = s.ins_len * SPLICE_MIN_RATIO < t->source_len;
	}
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", base);
	if (!splice) {
		wire_bin(&w, "text", t->source, t->source_len);
		return wire_writer_finish(&w);
	}
	wire_array(&w, "splices", 1);
	wire_map(&w, 3);
	wire_u64(&w, "at", s.at);
	wire_u64(&w, "del", s.del);
	wire_bin(&w, "ins", s.ins, s.ins_len);
	return wire_writer_finish(&w);
}

struct buf *
publish_encode(const struct record_id *id, uint64_t base, const char *base_text,
    const struct text *t, struct err *e)
{
	struct record r = {
	    .format = RECORD_FORMAT_VERSION, .id = *id, .kind = RECORD_CONFIG};
	struct buf *out;

	r.time_ms = clock_read_us(CLOCK_REALTIME) / US_PER_MS;
	r.body = encode_body(base, base_text, t);
	out = r.body != NULL ? record_encode(&r) : NULL;
	buf_unref(r.body);
	if (out == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the process more memory",
		    "no memory for the record");
		return NULL;
	}
	if (out->len <= RECORD_MAX_BYTES)
		return out;
	err_set(e, ERR_LIMIT, 0,
	    "publish the change in parts, each smaller than the limit",
	    "the record has %zu bytes, more than the limit of %d", out->len,
	    RECORD_MAX_BYTES);
	buf_unref(out);
	return NULL;
}
