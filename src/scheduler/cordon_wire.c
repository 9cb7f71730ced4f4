#include "cordon_wire.h"

#include <stdlib.h>
#include <string.h>

#include "cap_wire.h"
#include "codec.h"
#include "wire.h"

static const struct codec_field cordon_fields[] = {
    CODEC_FIELD("w", CODEC_STR, struct cordon, worker),
    CODEC_FIELD("k", CODEC_INT, struct cordon, kind),
    CODEC_FIELD("a", CODEC_I64, struct cordon, age_ms),
};

static const struct codec_field worker_report_fields[] = {
    CODEC_FIELD("w", CODEC_STR, struct pool_worker_report, worker),
    CODEC_FIELD("n", CODEC_U64, struct pool_worker_report, task_count),
    CODEC_FIELD("l", CODEC_U64, struct pool_worker_report, long_running_count),
    CODEC_FIELD("c", CODEC_BOOL, struct pool_worker_report, cordoned),
};

#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

struct buf *
cordon_request_encode(const struct cordon_request *r)
{
	struct wire_writer w;
	size_t i;

	wire_writer_init(&w);
	wire_map(&w, r->caps.controller > 0 ? 5 : 4);
	wire_str(&w, "pool", r->pool);
	wire_u64(&w, "coming", r->incoming_count);
	wire_u64(&w, "within", r->incoming_within_ms);
	wire_array(&w, "cordons", (uint32_t)r->count);
	for (i = 0; i < r->count; i++)
		codec_write(
		    &w, cordon_fields, ARRAY_LEN(cordon_fields), &r->list[i]);
	if (r->caps.controller > 0)
		cap_request_write(&w, &r->caps);
	return wire_writer_finish(&w);
}

int
cordon_request_decode(
    struct cordon_request *r, const void *data, size_t len, struct err *e)
{
	const msgpack_object_array *list;
	struct wire_reader in;
	uint32_t i;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	/* a controller of the previous version does not send these */
	wire_get_u64(in.root, "coming", &r->incoming_count);
	wire_get_u64(in.root, "within", &r->incoming_within_ms);
	ok = wire_get_str(in.root, "pool", r->pool, sizeof(r->pool)) &&
	    wire_get_array(in.root, "cordons", &list);
	for (i = 0; ok && i < list->size && r->count < CORDONS_MAX; i++) {
		if (codec_read(&list->ptr[i], cordon_fields,
			ARRAY_LEN(cordon_fields), &r->list[r->count]))
			r->count++;
	}
	if (ok && !cap_request_read(in.root, &r->caps))
		memset(&r->caps, 0, sizeof(r->caps));
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run the same version on all daemons",
		    "a peer's cordon request lacks a required field");
	return 0;
}

void
cordon_request_uninit(struct cordon_request *r)
{
	cap_request_uninit(&r->caps);
}

struct buf *
pool_report_encode(const struct pool_report *r)
{
	struct wire_writer w;
	size_t i;

	wire_writer_init(&w);
	wire_map(&w, r->caps != NULL ? 10 : 9);
	wire_str(&w, "pool", r->pool);
	wire_i64(&w, "fence", r->fence);
	wire_u64(&w, "known", r->demand.coverage);
	wire_i64(&w, "view", r->worker_list_age_ms);
	wire_i64(&w, "wanted", r->demand.wanted_workers_milli);
	wire_i64(&w, "offered", r->demand.arriving_workers_milli);
	wire_u64(&w, "floor", r->demand.long_running_workers);
	wire_u64(&w, "least", r->demand.min_workers);
	wire_array(&w, "workers", (uint32_t)r->worker_count);
	for (i = 0; i < r->worker_count; i++)
		codec_write(&w, worker_report_fields,
		    ARRAY_LEN(worker_report_fields), &r->workers[i]);
	if (r->caps != NULL)
		cap_report_write(&w, r->caps);
	return wire_writer_finish(&w);
}

static bool
read_report(struct pool_report *r, const msgpack_object *root)
{
	const msgpack_object_array *list;
	uint64_t floor, least, known = DEMAND_COMPLETE;
	uint32_t i;

	/* an owner of the previous version does not send these */
	wire_get_i64(root, "fence", &r->fence);
	wire_get_u64(root, "known", &known);
	wire_get_i64(root, "view", &r->worker_list_age_ms);
	if (!wire_get_str(root, "pool", r->pool, sizeof(r->pool)) ||
	    !wire_get_i64(root, "wanted", &r->demand.wanted_workers_milli) ||
	    !wire_get_i64(root, "offered", &r->demand.arriving_workers_milli) ||
	    !wire_get_u64(root, "floor", &floor) ||
	    !wire_get_u64(root, "least", &least) ||
	    !wire_get_array(root, "workers", &list))
		return false;
	r->demand.coverage = known <= DEMAND_COMPLETE
	    ? (enum demand_coverage)known
	    : DEMAND_UNKNOWN;
	r->demand.long_running_workers = (size_t)floor;
	r->demand.min_workers = (size_t)least;
	r->workers = calloc(list->size + 1, sizeof(*r->workers));
	for (i = 0; r->workers != NULL && i < list->size; i++) {
		if (codec_read(&list->ptr[i], worker_report_fields,
			ARRAY_LEN(worker_report_fields),
			&r->workers[r->worker_count]))
			r->worker_count++;
	}
	if (r->workers == NULL)
		return false;
	r->caps = calloc(1, sizeof(*r->caps));
	if (r->caps != NULL && !cap_report_read(root, r->caps)) {
		free(r->caps);
		r->caps = NULL;
	}
	return true;
}

int
pool_report_decode(
    struct pool_report *r, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = read_report(r, in.root);
	wire_reader_uninit(&in);
	if (!ok)
		return err_set(e, ERR_PROTOCOL, 0,
		    "run the same version on all daemons",
		    "the report of a pool's owner lacks a required field");
	return 0;
}

void
pool_report_uninit(struct pool_report *r)
{
	free(r->workers);
	if (r->caps != NULL)
		cap_report_uninit(r->caps);
	free(r->caps);
	memset(r, 0, sizeof(*r));
}
