#include "frame.h"

#include <string.h>

#include "bounds.h"
#include "wire.h"

struct buf *
frame_encode(const struct frame *f)
{
	struct wire_writer w;
	struct buf *body, *out;
	uint8_t prefix[FRAME_LENGTH_BYTES];

	wire_writer_init(&w);
	wire_map(&w, 6);
	wire_u64(&w, "v", FRAME_PROTOCOL_VERSION);
	wire_u64(&w, "k", f->kind);
	wire_u64(&w, "s", f->source);
	wire_u64(&w, "i", f->incarnation);
	wire_u64(&w, "r", f->request_id);
	wire_bin(&w, "b", f->payload ? f->payload->data : NULL,
	    f->payload ? f->payload->len : 0);
	body = wire_writer_finish(&w);
	if (body == NULL)
		return NULL;
	prefix[0] = (uint8_t)(body->len >> 24);
	prefix[1] = (uint8_t)(body->len >> 16);
	prefix[2] = (uint8_t)(body->len >> 8);
	prefix[3] = (uint8_t)body->len;
	out = buf_new(body->len + sizeof(prefix));
	if (out != NULL) {
		buf_append(out, prefix, sizeof(prefix));
		buf_append(out, body->data, body->len);
	}
	buf_unref(body);
	return out;
}

static int
frame_decode_map(struct frame *f, const msgpack_object *map, struct err *e)
{
	const uint8_t *payload;
	uint64_t protocol, kind;
	size_t len;

	if (!wire_get_u64(map, "v", &protocol) ||
	    !wire_get_u64(map, "k", &kind) || kind > UINT16_MAX ||
	    !wire_get_u64(map, "s", &f->source) ||
	    !wire_get_u64(map, "i", &f->incarnation) ||
	    !wire_get_u64(map, "r", &f->request_id) ||
	    !wire_get_bin(map, "b", &payload, &len))
		return err_set(e, ERR_PROTOCOL, 0,
		    "check that only mimosalead daemons use the peer port",
		    "peer frame: a header field is missing or invalid");
	if (protocol > FRAME_PROTOCOL_VERSION)
		return err_set(e, ERR_VERSION, 0, "upgrade this daemon",
		    "peer frame: protocol %llu, this binary reads up to %d",
		    (unsigned long long)protocol, FRAME_PROTOCOL_VERSION);
	f->protocol = (unsigned)protocol;
	f->kind = (unsigned)kind;
	f->payload = buf_from(payload, len);
	if (f->payload == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "cannot allocate a frame payload of %zu bytes", len);
	return 0;
}

int
frame_decode(struct frame *f, const void *data, size_t len, struct err *e)
{
	struct wire_reader rd;
	int ret;

	memset(f, 0, sizeof(*f));
	if (len > FRAME_MAX_BYTES)
		return err_set(e, ERR_LIMIT, 0,
		    "check that only mimosalead daemons use the peer port",
		    "peer frame of %zu bytes exceeds the limit of %d bytes",
		    len, FRAME_MAX_BYTES);
	if (wire_reader_init(&rd, data, len, e) == -1)
		return -1;
	ret = frame_decode_map(f, rd.root, e);
	wire_reader_uninit(&rd);
	return ret;
}

void
frame_uninit(struct frame *f)
{
	buf_unref(f->payload);
	f->payload = NULL;
}

const char *
frame_kind_name(unsigned kind)
{
	switch ((enum frame_kind)kind) {
	case FRAME_HELLO:
		return "hello";
	case FRAME_PING:
		return "ping";
	case FRAME_PONG:
		return "pong";
	case FRAME_BYE:
		return "bye";
	case FRAME_CREDIT_REQUEST:
		return "credit-ask";
	case FRAME_CREDIT_GRANT:
		return "credit-grant";
	case FRAME_CREDIT_RETURN:
		return "credit-return";
	case FRAME_SPILL:
		return "spill";
	case FRAME_SPILL_ANSWER:
		return "spill-answer";
	case FRAME_CLAIM_QUERY:
		return "claim-ask";
	case FRAME_CLAIM_ANSWER:
		return "claim-answer";
	case FRAME_SPILL_CANCEL:
		return "spill-cancel";
	case FRAME_PATH_STATUS:
		return "path-status";
	case FRAME_LEAVING:
		return "leaving";
	case FRAME_LEAVING_ACK:
		return "leaving-ack";
	case FRAME_STATE_REQUEST:
		return "state-ask";
	case FRAME_STATE_CHUNK:
		return "state-chunk";
	case FRAME_GOSSIP:
		return "gossip";
	}
	return "unknown";
}
