#include "config_call.h"

#include <string.h>

#include "candidacy.h"
#include "wire.h"

struct buf *
config_request_encode(int64_t have)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_i64(&w, "have", have);
	return wire_writer_finish(&w);
}

int
config_request_decode(
    int64_t *have, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_i64(in.root, "have", have) && *have >= -1;
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run one version on all daemons",
		    "a peer's configuration request has no valid version");
	return 0;
}

static void
owners_write(struct wire_writer *w, const struct group_owners *o)
{
	size_t i;

	wire_key(w, "owners");
	wire_map(w, 3);
	wire_i64(w, "gen", o->generation);
	wire_i64(w, "age", o->age_ms);
	wire_array(w, "members", (uint32_t)o->count);
	for (i = 0; i < o->count; i++) {
		msgpack_pack_str(&w->pk, strlen(o->members[i]));
		msgpack_pack_str_body(
		    &w->pk, o->members[i], strlen(o->members[i]));
	}
}

struct buf *
config_answer_encode(const struct config_answer *a)
{
	bool has_owners = a->owners.age_ms >= 0;
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(
	    &w, (uint32_t)((a->age_ms >= 0) + (a->value != NULL) + has_owners));
	if (a->age_ms >= 0)
		wire_i64(&w, "age", a->age_ms);
	if (a->value != NULL)
		wire_bin(&w, "value", a->value->data, a->value->len);
	if (has_owners)
		owners_write(&w, &a->owners);
	return wire_writer_finish(&w);
}

/* False for an age that is there and negative, or no number. */
static bool
age_read(const msgpack_object *map, int64_t *age_ms)
{
	const msgpack_object *o;

	*age_ms = -1;
	if (!wire_get(map, "age", &o))
		return true;
	if (!wire_get_i64(map, "age", age_ms) || *age_ms < 0)
		return false;
	if (*age_ms > CONFIG_AGE_MAX_MS)
		*age_ms = -1;
	return true;
}

/* A member's name is an address, or "" where none owns the partition. */
static bool
member_read(char out[MEMBER_BYTES], const msgpack_object *o)
{
	char addr[ADDR_BYTES];
	int port;

	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= MEMBER_BYTES ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return out[0] == '\0' ||
	    member_parse(out, addr, sizeof(addr), &port, NULL);
}

static bool
owners_read(const msgpack_object *map, struct group_owners *o)
{
	const msgpack_object_array *list;
	const msgpack_object *owners;
	uint32_t i;

	o->age_ms = -1;
	if (!wire_get(map, "owners", &owners))
		return true;
	if (!age_read(owners, &o->age_ms) ||
	    !wire_get_i64(owners, "gen", &o->generation) ||
	    !wire_get_array(owners, "members", &list) ||
	    list->size > GROUP_PARTITIONS_MAX)
		return false;
	for (i = 0; i < list->size; i++) {
		if (!member_read(o->members[i], &list->ptr[i]))
			return false;
	}
	o->count = list->size;
	return true;
}

int
config_answer_decode(
    struct config_answer *a, const void *data, size_t len, struct err *e)
{
	const msgpack_object *value;
	struct wire_reader in;
	const uint8_t *bytes;
	size_t size;
	bool ok;

	memset(a, 0, sizeof(*a));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = age_read(in.root, &a->age_ms) && owners_read(in.root, &a->owners);
	if (ok && wire_get(in.root, "value", &value)) {
		ok = wire_get_bin(in.root, "value", &bytes, &size);
		a->value = ok ? buf_from(bytes, size) : NULL;
		ok = a->value != NULL;
	}
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run one version on all daemons",
		    "a peer's answer about the configuration has a malformed "
		    "field");
	return 0;
}

void
config_answer_uninit(struct config_answer *a)
{
	buf_unref(a->value);
	a->value = NULL;
}
