#include "job_call.h"

#include <string.h>

#include "wire.h"

static const char *const op_names[] = {
    [JOB_SUBMIT] = "submit",
    [JOB_CANCEL] = "cancel",
    [JOB_QUERY] = "look",
    [JOB_COUNT_WAITING] = "count",
};

const char *
job_op_name(enum job_op op)
{
	return op_names[op];
}

bool
job_reply_decided(const struct job_reply *r)
{
	return r->kind == REPLY_ANSWER || r->kind == REPLY_INVALID ||
	    r->kind == REPLY_ELSEWHERE || r->kind == REPLY_SEARCH;
}

struct buf *
job_request_encode(const struct job_request *r)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 8 + (r->account[0] != '\0') + (r->left_ms > 0));
	wire_u64(&w, "op", r->op);
	wire_str(&w, "pool", r->pool);
	wire_str(&w, "id", r->id);
	wire_key(&w, "terms");
	queue_settings_write(&w, &r->settings);
	wire_bin(&w, "body", r->body != NULL ? r->body->data : NULL,
	    r->body != NULL ? r->body->len : 0);
	wire_i64(&w, "config", r->config_version);
	wire_bool(&w, "searched", r->searched);
	wire_bool(&w, "probe", r->probe);
	if (r->account[0] != '\0')
		wire_str(&w, "acct", r->account);
	if (r->left_ms > 0)
		wire_u64(&w, "left", (uint64_t)r->left_ms);
	return wire_writer_finish(&w);
}

int
job_request_decode(
    struct job_request *r, const void *data, size_t len, struct err *e)
{
	const msgpack_object *settings, *account;
	struct wire_reader in;
	const uint8_t *body;
	size_t body_len;
	uint64_t op, left_ms;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_u64(in.root, "op", &op) && op <= JOB_COUNT_WAITING &&
	    wire_get_str(in.root, "pool", r->pool, sizeof(r->pool)) &&
	    wire_get_str(in.root, "id", r->id, sizeof(r->id)) &&
	    wire_get(in.root, "terms", &settings) &&
	    queue_settings_read(settings, &r->settings) &&
	    wire_get_bin(in.root, "body", &body, &body_len) &&
	    /* missing: no account; a malformed one must not pass for that */
	    (!wire_get(in.root, "acct", &account) ||
		wire_get_str(in.root, "acct", r->account, sizeof(r->account)));
	if (ok) {
		/* missing: an earlier version's daemon forwards it */
		if (wire_get_u64(in.root, "left", &left_ms) &&
		    left_ms <= INT32_MAX)
			r->left_ms = (int)left_ms;
		if (!wire_get_i64(in.root, "config", &r->config_version) ||
		    r->config_version < 0)
			r->config_version = 0;
		if (!wire_get_bool(in.root, "searched", &r->searched))
			r->searched = false;
		if (!wire_get_bool(in.root, "probe", &r->probe))
			r->probe = false;
		r->op = (enum job_op)op;
		r->body = buf_from(body, body_len);
		ok = r->body != NULL;
	}
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run one version on all daemons",
		    "a peer's job request lacks a field or has an invalid one");
	return 0;
}

struct buf *
job_reply_encode(const struct job_reply *r)
{
	struct wire_writer w;
	size_t i;

	wire_writer_init(&w);
	wire_map(&w, 7 + (r->config_version > 0) + (r->pool_count > 0));
	wire_u64(&w, "kind", r->kind);
	wire_u64(&w, "answer", r->answer);
	wire_u64(&w, "state", r->state);
	wire_u64(&w, "waiting", r->waiting_count);
	wire_i64(&w, "retry", r->retry_after_ms);
	wire_str(&w, "error", r->kind == REPLY_INVALID ? r->error.message : "");
	wire_str(&w, "remedy", r->kind == REPLY_INVALID ? r->error.remedy : "");
	if (r->config_version > 0)
		wire_i64(&w, "config", r->config_version);
	if (r->pool_count > 0) {
		wire_array(&w, "pools", (uint32_t)r->pool_count);
		for (i = 0; i < r->pool_count; i++) {
			msgpack_pack_str_with_body(
			    &w.pk, r->pools[i], strlen(r->pools[i]));
		}
	}
	return wire_writer_finish(&w);
}

/* False when the reply names no pool that it has to name, or an odd one. */
static bool
read_pools(struct job_reply *r, const msgpack_object *root)
{
	const msgpack_object_array *list;
	const msgpack_object *o;
	size_t i;

	if (!wire_get_array(root, "pools", &list))
		return true;
	if (list->size > HOMES_ASKED_MAX)
		return false;
	for (i = 0; i < list->size; i++) {
		o = &list->ptr[i];
		if (o->type != MSGPACK_OBJECT_STR || o->via.str.size == 0 ||
		    o->via.str.size >= NAME_BYTES)
			return false;
		memcpy(r->pools[i], o->via.str.ptr, o->via.str.size);
	}
	r->pool_count = list->size;
	return true;
}

int
job_reply_decode(
    struct job_reply *r, const void *data, size_t len, struct err *e)
{
	uint64_t kind, answer, state, waiting;
	struct wire_reader in;
	int64_t retry;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_u64(in.root, "kind", &kind) && kind <= REPLY_SEARCH &&
	    read_pools(r, in.root) &&
	    (r->pool_count > 0 || kind < REPLY_ELSEWHERE) &&
	    wire_get_u64(in.root, "answer", &answer) &&
	    answer <= POOL_WAITING_COUNT &&
	    wire_get_u64(in.root, "state", &state) && state <= JOB_CANCELLED &&
	    wire_get_u64(in.root, "waiting", &waiting) &&
	    wire_get_i64(in.root, "retry", &retry) &&
	    wire_get_str(
		in.root, "error", r->error.message, sizeof(r->error.message)) &&
	    wire_get_str(
		in.root, "remedy", r->error.remedy, sizeof(r->error.remedy));
	if (!wire_get_i64(in.root, "config", &r->config_version) ||
	    r->config_version < 0)
		r->config_version = 0;
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run one version on all daemons",
		    "a peer's job reply lacks a field or has an invalid one");
	r->kind = (enum job_reply_kind)kind;
	r->answer = (enum pool_answer)answer;
	r->state = (enum job_state)state;
	r->waiting_count = (size_t)waiting;
	r->retry_after_ms = (int)retry;
	return 0;
}
