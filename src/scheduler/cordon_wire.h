/* What the keeper of machines and a pool's owner say to each other. */
#ifndef CORDON_WIRE_H
#define CORDON_WIRE_H

#include "buf.h"
#include "errors.h"
#include "roster.h"

#define CORDONS_MAX 1024 /* workers of one question */

struct cordon {
	char worker[NAME_BYTES];
	enum cordon_kind kind;
};

struct cordon_request {
	char pool[NAME_BYTES];
	struct cordon list[CORDONS_MAX];
	size_t count;
	uint64_t incoming_count; /* workers on their way to the pool … */
	uint64_t incoming_within_ms; /* … that work within so long */
};

/* msgpack; NULL when memory is short. */
struct buf *cordon_request_encode(const struct cordon_request *r);
int cordon_request_decode(
    struct cordon_request *r, const void *data, size_t len, struct err *e);
struct buf *pool_report_encode(const struct pool_report *r);
int pool_report_decode(
    struct pool_report *r, const void *data, size_t len, struct err *e);
void pool_report_uninit(struct pool_report *r);

#endif
