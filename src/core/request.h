/*
 * A caller's request and an upstream's answer as the reducer handles them. Both
 * are reference-counted, and immutable once they are shared.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "bounds.h"

#define REQUEST_HEADERS_MAX 24

struct header {
	char *name; /* lower case, without the colon */
	char *value;
};

struct headers {
	struct header list[REQUEST_HEADERS_MAX];
	size_t count;
};

/* Copies both strings; -1 where memory is short or the list is full. */
int headers_add(struct headers *h, const char *name, const char *value);
/* NULL where the header is missing. "name" must be in lower case. */
const char *headers_get(const struct headers *h, const char *name);
void headers_uninit(struct headers *h);

/* What is wrong with a header that the listener checks. */
enum header_fault {
	HEADER_SOUND, /* or missing */
	HEADER_TOO_LONG,
	HEADER_CONFLICTING /* present more than once, with different values */
};

struct request {
	unsigned refs;
	char method[16];
	char *path; /* with the query string */
	struct headers headers;
	struct buf *body; /* NULL where empty */
	enum header_fault checked_header_fault;
};

struct request *request_new(const char *method, const char *path);
struct request *request_ref(struct request *r);
void request_unref(struct request *r);
/* Memory that the request uses. */
size_t request_bytes(const struct request *r);

struct answer {
	unsigned refs;
	int status;
	bool resent; /* to a request that may have been processed before */
	struct headers headers;
	struct buf *body;
};

struct answer *answer_new(int status);
struct answer *answer_ref(struct answer *a);
void answer_unref(struct answer *a);

#endif
