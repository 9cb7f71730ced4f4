/*
 * Messages between the controller and a pool's owner, as msgpack: a request
 * with the pool's cordons, answered by a report on the pool.
 */
#ifndef CORDON_WIRE_H
#define CORDON_WIRE_H

#include "buf.h"
#include "cap_share.h"
#include "errors.h"
#include "roster.h"

#define CORDONS_MAX 1024 /* workers in one request */

struct cordon_request {
	char pool[NAME_BYTES];
	struct cordon list[CORDONS_MAX];
	size_t count;
	uint64_t incoming_count; /* workers being moved to the pool */
	uint64_t incoming_within_ms; /* until the last of them runs tasks */
	struct cap_request caps; /* controller 0: none */
};

/* The encoders return NULL when memory is short. */
struct buf *cordon_request_encode(const struct cordon_request *r);
/*
 * Cordons beyond CORDONS_MAX are dropped; -1 where the bytes are damaged.
 * Otherwise free the request with cordon_request_uninit().
 */
int cordon_request_decode(
    struct cordon_request *r, const void *data, size_t len, struct err *e);
void cordon_request_uninit(struct cordon_request *r);
struct buf *pool_report_encode(const struct pool_report *r);
/*
 * -1 where the bytes are damaged or memory is short; there is nothing to free
 * then.  Otherwise free the report with pool_report_uninit().
 */
int pool_report_decode(
    struct pool_report *r, const void *data, size_t len, struct err *e);
void pool_report_uninit(struct pool_report *r);

#endif
