#include "cap_wire.h"

#include <stdlib.h>
#include <string.h>

#define REQUEST_FIELDS 6
#define REPORT_FIELDS 7
#define SHARE_FIELDS (2 * CAP_DIMENSIONS)
#define PROPOSAL_FIELDS (1 + SHARE_FIELDS)
/* Name, share held, usage, need, unit. */
#define ACCOUNT_FIELDS (1 + SHARE_FIELDS + 3 * CAP_DIMENSIONS)

static void
write_name(struct wire_writer *w, const char *name)
{
	msgpack_pack_str(&w->pk, strlen(name));
	msgpack_pack_str_body(&w->pk, name, strlen(name));
}

static void
write_cap(struct wire_writer *w, const struct account_cap *c)
{
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++)
		msgpack_pack_int64(&w->pk, cap_get(c, d));
}

static void
write_share(struct wire_writer *w, const struct cap_share *s)
{
	write_cap(w, &s->share);
	write_cap(w, &s->cap);
}

static bool
read_int(const msgpack_object *o, int64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)o->via.u64;
	return true;
}

static bool
read_name(const msgpack_object *o, char out[NAME_BYTES])
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size == 0 ||
	    o->via.str.size >= NAME_BYTES)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return strlen(out) == o->via.str.size;
}

/* Reads the values of a cap from consecutive objects. */
static bool
read_cap(const msgpack_object *o, struct account_cap *c)
{
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (!read_int(&o[d], cap_at(c, d)))
			return false;
	}
	return true;
}

static bool
read_share(const msgpack_object *o, struct cap_share *s)
{
	int d;

	if (!read_cap(o, &s->share) || !read_cap(o + CAP_DIMENSIONS, &s->cap))
		return false;
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&s->share, d) > cap_get(&s->cap, d) ||
		    cap_get(&s->cap, d) > ACCOUNT_CAP_MAX)
			return false;
	}
	return true;
}

/* The array under the key if it has so many elements; NULL: it has not. */
static const msgpack_object *
find_fields(const msgpack_object *root, const char *key, uint32_t count)
{
	const msgpack_object_array *a;

	return wire_get_array(root, key, &a) && a->size >= count ? a->ptr
								 : NULL;
}

static bool
is_entry(const msgpack_object *o, uint32_t fields)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= fields;
}

void
cap_request_write(struct wire_writer *w, const struct cap_request *r)
{
	size_t i;

	wire_array(w, CAP_REQUEST_KEY, REQUEST_FIELDS);
	msgpack_pack_int64(&w->pk, r->controller);
	msgpack_pack_int64(&w->pk, r->number);
	msgpack_pack_int64(&w->pk, r->owner);
	msgpack_pack_uint64(&w->pk, r->seen_revision);
	msgpack_pack_int64(&w->pk, r->fixed_divisor);
	msgpack_pack_array(&w->pk, r->count);
	for (i = 0; i < r->count; i++) {
		msgpack_pack_array(&w->pk, PROPOSAL_FIELDS);
		write_name(w, r->list[i].account);
		write_share(w, &r->list[i].share);
	}
}

/*
 * A malformed entry makes the whole request invalid: the allocator takes the
 * proposals of an answered request for received.
 */
bool
cap_request_read(const msgpack_object *root, struct cap_request *r)
{
	const msgpack_object *f =
	    find_fields(root, CAP_REQUEST_KEY, REQUEST_FIELDS);
	const msgpack_object *e;
	int64_t seen;
	uint32_t i;

	memset(r, 0, sizeof(*r));
	if (f == NULL || !read_int(&f[0], &r->controller) ||
	    !read_int(&f[1], &r->number) || !read_int(&f[2], &r->owner) ||
	    !read_int(&f[3], &seen) || !read_int(&f[4], &r->fixed_divisor) ||
	    f[5].type != MSGPACK_OBJECT_ARRAY)
		return false;
	r->seen_revision = (uint64_t)seen;
	r->list = calloc(f[5].via.array.size + 1, sizeof(*r->list));
	for (i = 0; r->list != NULL && i < f[5].via.array.size; i++) {
		e = &f[5].via.array.ptr[i];
		if (!is_entry(e, PROPOSAL_FIELDS) ||
		    !read_name(&e->via.array.ptr[0], r->list[i].account) ||
		    !read_share(&e->via.array.ptr[1], &r->list[i].share))
			break;
		r->count++;
	}
	if (r->list != NULL && r->count == f[5].via.array.size)
		return true;
	cap_request_uninit(r);
	return false;
}

void
cap_report_write(struct wire_writer *w, const struct cap_report *r)
{
	size_t i;

	wire_array(w, CAP_REPORT_KEY, REPORT_FIELDS);
	msgpack_pack_int64(&w->pk, r->controller);
	msgpack_pack_int64(&w->pk, r->number);
	msgpack_pack_int64(&w->pk, r->owner);
	msgpack_pack_uint64(&w->pk, r->revision);
	msgpack_pack_int64(&w->pk, r->complete);
	msgpack_pack_int64(&w->pk, r->fixed_divisor);
	msgpack_pack_array(&w->pk, r->count);
	for (i = 0; i < r->count; i++) {
		msgpack_pack_array(&w->pk, ACCOUNT_FIELDS);
		write_name(w, r->list[i].account);
		write_share(w, &r->list[i].held);
		write_cap(w, &r->list[i].usage);
		write_cap(w, &r->list[i].need);
		write_cap(w, &r->list[i].unit);
	}
}

static bool
read_account(const msgpack_object *o, struct cap_account_report *r)
{
	const msgpack_object *f = o->via.array.ptr;

	if (!is_entry(o, ACCOUNT_FIELDS) || !read_name(&f[0], r->account) ||
	    !read_share(&f[1], &r->held))
		return false;
	f += 1 + SHARE_FIELDS;
	return read_cap(f, &r->usage) &&
	    read_cap(f + CAP_DIMENSIONS, &r->need) &&
	    read_cap(f + 2 * CAP_DIMENSIONS, &r->unit);
}

bool
cap_report_read(const msgpack_object *root, struct cap_report *r)
{
	const msgpack_object *f =
	    find_fields(root, CAP_REPORT_KEY, REPORT_FIELDS);
	int64_t revision, complete;
	uint32_t i;

	memset(r, 0, sizeof(*r));
	if (f == NULL || !read_int(&f[0], &r->controller) ||
	    !read_int(&f[1], &r->number) || !read_int(&f[2], &r->owner) ||
	    !read_int(&f[3], &revision) || !read_int(&f[4], &complete) ||
	    !read_int(&f[5], &r->fixed_divisor) ||
	    f[6].type != MSGPACK_OBJECT_ARRAY)
		return false;
	r->revision = (uint64_t)revision;
	r->complete = complete != 0;
	r->list = calloc(f[6].via.array.size + 1, sizeof(*r->list));
	for (i = 0; r->list != NULL && i < f[6].via.array.size; i++) {
		if (!read_account(&f[6].via.array.ptr[i], &r->list[i]))
			break;
		r->count++;
	}
	if (r->list != NULL && r->count == f[6].via.array.size)
		return true;
	cap_report_uninit(r);
	return false;
}
